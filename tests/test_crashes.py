"""Crash counts between nodes: lost reports, table outages, races and releases."""

import pytest
import trio
import trio.testing

from snipelug_core import quarantine, refusal
from snipelug_node import crashes, ports
from tests import peer_fakes

Standing = quarantine.Standing
NAMES = ("a", "b", "c")


class Fleet:
    def __init__(self) -> None:
        self.net = peer_fakes.Net()
        self.tables = peer_fakes.Tables()
        self.wall_s = 1e9
        self.nodes = {name: self.start(name) for name in NAMES}
        self.print = self.nodes["a"].fingerprint("t", b"body")

    def start(self, name: str) -> crashes.Crashes:
        peers = peer_fakes.Peers(self.net, name)
        return crashes.Crashes(
            peers, self.tables, b"k", f"{name}/1", lambda: self.wall_s
        )

    async def crash(self, name: str, upstream_id: str) -> crashes.Recorded:
        node = self.nodes[name]
        epoch = node.epoch(self.print)
        return await node.record(self.print, "t", upstream_id, epoch)

    def standings(self) -> list[object]:
        checks = [node.check(self.print) for node in self.nodes.values()]
        return [
            "refused" if isinstance(check, refusal.Refusal) else check
            for check in checks
        ]


async def test_two_crashes_quarantine_everywhere() -> None:
    """Guards against a third upstream dying of the same request."""
    fleet = Fleet()
    first = await fleet.crash("a", "u1")
    assert first == crashes.Recorded(Standing.SUSPECT, True, ())
    assert first.allows_retry
    assert fleet.standings() == [Standing.SUSPECT] * 3
    second = await fleet.crash("b", "u2")
    assert not second.allows_retry
    assert fleet.standings() == ["refused"] * 3
    assert len(fleet.nodes["c"].quarantined()) == 1


async def test_count_survives_all_nodes() -> None:
    """Guards against a count that is lost with the memory of nodes."""
    fleet = Fleet()
    fleet.net.down = set(NAMES)
    for name in ("a", "b"):
        recorded = await fleet.crash(name, "u")
        assert recorded.is_written
    fleet.nodes = {"d": fleet.start("d")}
    assert fleet.standings() == [Standing.CLEAR]
    assert await fleet.nodes["d"].scan()
    assert fleet.standings() == ["refused"]


async def test_racing_nodes_lose_no_crash() -> None:
    """Guards against one node's write replacing another's crash."""
    fleet = Fleet()
    fleet.net.down = set(NAMES)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.crash, "a", "u1")
        nursery.start_soon(fleet.crash, "b", "u2")
    await fleet.nodes["c"].scan()
    assert fleet.standings()[2] == "refused"


async def test_lost_answer_counts_once() -> None:
    """Guards against one crash counting twice after an unclear write."""
    fleet = Fleet()
    fleet.tables.lose_answers = 1
    recorded = await fleet.crash("a", "u1")
    assert recorded.standing is Standing.SUSPECT
    assert recorded.is_written
    await fleet.nodes["b"].scan()
    assert fleet.standings() == [Standing.SUSPECT] * 3


@pytest.mark.parametrize(("down", "allows"), [(set(), True), ({"c"}, False)])
async def test_table_outage(down: set[str], allows: bool) -> None:
    """Guards against a retry that a node could not know of, and a lost count."""
    fleet = Fleet()
    fleet.tables.is_down = True
    fleet.net.down = down
    live = sorted(NAMES)
    fleet.nodes["a"]._peers.live = lambda: live
    recorded = await fleet.crash("a", "u1")
    assert not recorded.is_written
    assert recorded.allows_retry is allows
    fleet.tables.is_down = False
    await fleet.nodes["a"].scan()
    await fleet.nodes["c"].scan()
    assert fleet.standings() == [Standing.SUSPECT] * 3


async def test_release_holds_against_late_reports() -> None:
    """Guards against a late report undoing a release, and against one for good."""
    fleet = Fleet()
    await fleet.crash("a", "u1")
    await fleet.crash("b", "u2")
    fleet.net.down = {"c"}
    answer = await fleet.nodes["a"].release(fleet.print)
    assert isinstance(answer, crashes.Released)
    assert fleet.standings() == [Standing.CLEAR, Standing.CLEAR, "refused"]
    late = await fleet.nodes["b"].record(fleet.print, "t", "u3", epoch=0)
    assert late.standing is Standing.CLEAR
    await fleet.nodes["c"].scan()
    assert fleet.standings() == [Standing.CLEAR] * 3
    again = await fleet.crash("a", "u4")
    assert again.standing is Standing.SUSPECT
    assert isinstance(await fleet.nodes["a"].release("f0"), crashes.Unknown)
    fleet.tables.is_down = True
    down = await fleet.nodes["a"].release(fleet.print)
    assert isinstance(down, ports.Unavailable)


async def test_old_suspects_are_forgotten(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a table of suspects that grows without end."""
    fleet = Fleet()
    await fleet.crash("a", "u1")
    fleet.wall_s += crashes.SUSPECT_KEEP_S + 1
    for node in fleet.nodes.values():
        nursery.start_soon(node.run)
    await trio.sleep(5.0)
    assert fleet.standings() == [Standing.CLEAR] * 3
    assert not fleet.tables.rows


async def test_damaged_row_blocks_nothing() -> None:
    """Guards against one unreadable row stopping the whole scan."""
    fleet = Fleet()
    await fleet.crash("a", "u1")
    await fleet.tables.write(
        ports.Write(crashes.TABLE, "00", b"{", ports.Expect.ABSENT)
    )
    fleet.nodes = {"d": fleet.start("d")}
    assert await fleet.nodes["d"].scan()
    assert fleet.standings() == [Standing.SUSPECT]

"""Tests of crash counts between nodes: lost reports, table outages, races, releases."""

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
        self.network = peer_fakes.Network()
        self.tables = peer_fakes.Tables()
        self.wall_s = 1e9
        self.nodes = {name: self.start(name) for name in NAMES}
        self.fingerprint = self.nodes["a"].fingerprint("t", b"body")

    def start(self, name: str) -> crashes.Crashes:
        peers = peer_fakes.Peers(self.network, name)
        return crashes.Crashes(
            peers, self.tables, b"k", f"{name}/1", lambda: self.wall_s
        )

    async def crash(self, name: str, upstream_id: str) -> crashes.Recorded:
        node = self.nodes[name]
        epoch = node.epoch(self.fingerprint)
        return await node.record(self.fingerprint, "t", upstream_id, epoch)

    def standings(self) -> list[object]:
        checks = [node.check(self.fingerprint) for node in self.nodes.values()]
        return [
            "refused" if isinstance(check, refusal.Refusal) else check
            for check in checks
        ]


async def test_two_crashes_quarantine_everywhere() -> None:
    """Guards against one request that crashes a third upstream."""
    fleet = Fleet()
    first = await fleet.crash("a", "u1")
    assert first == crashes.Recorded(Standing.SUSPECT, True, ())
    assert first.allows_retry
    assert fleet.standings() == [Standing.SUSPECT] * 3
    second = await fleet.crash("b", "u2")
    assert not second.allows_retry
    assert fleet.standings() == ["refused"] * 3
    assert len(fleet.nodes["c"].quarantined()) == 1


async def test_count_survives_restart_of_all_nodes() -> None:
    """Guards against a crash count that is lost when all nodes restart."""
    fleet = Fleet()
    fleet.network.down = set(NAMES)
    for name in ("a", "b"):
        recorded = await fleet.crash(name, "u")
        assert recorded.is_written
    fleet.nodes = {"d": fleet.start("d")}
    assert fleet.standings() == [Standing.CLEAR]
    assert await fleet.nodes["d"].scan()
    assert fleet.standings() == ["refused"]


async def test_racing_nodes_lose_no_crash() -> None:
    """Guards against a write of one node that overwrites another node's crash."""
    fleet = Fleet()
    fleet.network.down = set(NAMES)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.crash, "a", "u1")
        nursery.start_soon(fleet.crash, "b", "u2")
    await fleet.nodes["c"].scan()
    assert fleet.standings()[2] == "refused"


async def test_lost_answer_counts_once() -> None:
    """Guards against counting one crash twice if the answer to the write is lost."""
    fleet = Fleet()
    fleet.tables.lose_answers = 1
    recorded = await fleet.crash("a", "u1")
    assert recorded.standing is Standing.SUSPECT
    assert recorded.is_written
    await fleet.nodes["b"].scan()
    assert fleet.standings() == [Standing.SUSPECT] * 3


@pytest.mark.parametrize(("down", "allows"), [(set(), True), ({"c"}, False)])
async def test_table_outage(down: set[str], allows: bool) -> None:
    """Guards against a lost count, and a retry while some node misses the crash."""
    fleet = Fleet()
    fleet.tables.is_down = True
    fleet.network.down = down
    live = sorted(NAMES)
    fleet.nodes["a"]._peers.live = lambda: live
    recorded = await fleet.crash("a", "u1")
    assert not recorded.is_written
    assert recorded.allows_retry is allows
    fleet.tables.is_down = False
    await fleet.nodes["a"].scan()
    await fleet.nodes["c"].scan()
    assert fleet.standings() == [Standing.SUSPECT] * 3


async def test_late_report_does_not_undo_a_release() -> None:
    """Guards against a late report undoing a release.

    Crashes after the release must still be counted.
    """
    fleet = Fleet()
    await fleet.crash("a", "u1")
    await fleet.crash("b", "u2")
    fleet.network.down = {"c"}
    answer = await fleet.nodes["a"].release(fleet.fingerprint)
    assert isinstance(answer, crashes.Released)
    assert fleet.standings() == [Standing.CLEAR, Standing.CLEAR, "refused"]
    late = await fleet.nodes["b"].record(fleet.fingerprint, "t", "u3", epoch=0)
    assert late.standing is Standing.CLEAR
    await fleet.nodes["c"].scan()
    assert fleet.standings() == [Standing.CLEAR] * 3
    again = await fleet.crash("a", "u4")
    assert again.standing is Standing.SUSPECT
    assert isinstance(await fleet.nodes["a"].release("f0"), crashes.Unknown)
    fleet.tables.is_down = True
    down = await fleet.nodes["a"].release(fleet.fingerprint)
    assert isinstance(down, ports.Unavailable)


async def test_old_suspects_are_deleted(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against unbounded growth of the table of suspects."""
    fleet = Fleet()
    await fleet.crash("a", "u1")
    fleet.wall_s += crashes.SUSPECT_RETENTION_S + 1
    for node in fleet.nodes.values():
        nursery.start_soon(node.run)
    await trio.sleep(5.0)
    assert fleet.standings() == [Standing.CLEAR] * 3
    assert not fleet.tables.rows


async def test_corrupt_row_does_not_block_the_scan() -> None:
    """Guards against one unreadable row that aborts the whole scan."""
    fleet = Fleet()
    await fleet.crash("a", "u1")
    await fleet.tables.write(
        ports.Write(crashes.TABLE, "00", b"{", ports.Expect.ABSENT)
    )
    fleet.nodes = {"d": fleet.start("d")}
    assert await fleet.nodes["d"].scan()
    assert fleet.standings() == [Standing.SUSPECT]

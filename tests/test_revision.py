"""Tests of nodes that follow and accept changes, over real RPC connections."""

import collections.abc
import contextlib
import dataclasses

import msgspec
import pytest
import trio
import trio_asyncio

from snipelug_core import change, contract, currency, member
from snipelug_net import rpc
from snipelug_node import peer, ports, revision

KEY = b"test key"
WAIT_S = 8.0


class MemoryTable:
    """A table service in memory that can be down or lose answers."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], ports.Row] = {}
        self.up = True
        self.lose_answers = 0
        self.count = 0

    async def read(
        self, table_name: str, key: str
    ) -> ports.Row | ports.Absent | ports.Unavailable:
        await trio.lowlevel.checkpoint()
        if not self.up:
            return ports.Unavailable("down", maybe_applied=False)
        return self.rows.get((table_name, key), ports.Absent())

    async def scan(
        self, table_name: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> list[ports.Row] | ports.Unavailable:
        await trio.lowlevel.checkpoint()
        if not self.up:
            return ports.Unavailable("down", maybe_applied=False)
        keys = sorted(k for t, k in self.rows if t == table_name and k > after)
        return [self.rows[table_name, k] for k in keys[:limit]]

    async def write(
        self, write: ports.Write
    ) -> ports.Written | ports.Conflict | ports.Unavailable:
        return await self.transact([write])

    async def transact(
        self, writes: collections.abc.Sequence[ports.Write]
    ) -> ports.Written | ports.Conflict | ports.Unavailable:
        await trio.lowlevel.checkpoint()
        if not self.up:
            return ports.Unavailable("down", maybe_applied=False)
        if not all(self.holds(write) for write in writes):
            return ports.Conflict()
        for write in writes:
            self.put(write.table, write.key, write.content or b"")
        if self.lose_answers:
            self.lose_answers -= 1
            return ports.Unavailable("answer lost", maybe_applied=True)
        return ports.Written(str(self.count))

    def holds(self, write: ports.Write) -> bool:
        row = self.rows.get((write.table, write.key))
        if write.expect is ports.Expect.ANY:
            return True
        if write.expect is ports.Expect.ABSENT:
            return row is None
        return row is not None and row.version == write.expect

    def put(self, table_name: str, key: str, content: bytes) -> None:
        self.count += 1
        row = ports.Row(table_name, key, str(self.count), content)
        self.rows[table_name, key] = row


@dataclasses.dataclass
class Running:
    """One node and the scope that ends it."""

    peers: peer.Peers
    keeper: revision.Keeper
    scope: trio.CancelScope


@dataclasses.dataclass
class Fleet:
    """Nodes of one process that share a table service."""

    table: MemoryTable
    nursery: trio.Nursery
    ports: dict[str, int]
    nodes: dict[str, Running] = dataclasses.field(default_factory=dict)

    async def boot(self, node_id: str) -> Running:
        static = tuple(
            member.Member(k, "", "127.0.0.1", port)
            for k, port in self.ports.items()
            if k != node_id
        )
        settings = peer.Settings(
            node_id, "1", "127.0.0.1", self.ports[node_id], KEY, static=static
        )
        peers = peer.Peers(settings)
        keeper = revision.Keeper(self.table, peers)
        scope = trio.CancelScope()
        running = Running(peers, keeper, scope)
        await self.nursery.start(self.run_node, running)
        self.nodes[node_id] = running
        return running

    async def run_node(
        self,
        running: Running,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        with running.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(running.peers.run)
                await nursery.start(running.keeper.run)
                task_status.started()

    async def until(self, condition: collections.abc.Callable[[], bool]) -> None:
        with trio.fail_after(WAIT_S):
            while not condition():
                await trio.sleep(0.05)

    async def until_current(self, *node_ids: str) -> None:
        nodes = [self.nodes[k] for k in node_ids or self.nodes]
        await self.until(
            lambda: all(
                n.keeper.is_current(n.peers.clock())
                and len(n.peers.live()) >= len(nodes)
                for n in nodes
            )
        )


async def free_port() -> int:
    with trio.socket.socket() as sock:
        await sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


@contextlib.asynccontextmanager
async def fleet(size: int) -> collections.abc.AsyncIterator[Fleet]:
    numbers = {f"n{i}": await free_port() for i in range(size)}
    async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
        made = Fleet(MemoryTable(), nursery, numbers)
        for node_id in numbers:
            await made.boot(node_id)
        await made.until_current()
        yield made
        nursery.cancel_scope.cancel()


def wish(zone: str, nonce: str = "", expected: int | None = None) -> revision.Proposal:
    operations = (change.ZoneOut(zone),)
    return revision.Proposal(operations, "ann", nonce or f"nonce-{zone}", expected)


async def test_change_is_in_force_everywhere_and_survives_outage() -> None:
    """Guards against a change that is accepted and then missing on some node."""
    async with fleet(3) as made:
        outcome = await made.nodes["n0"].keeper.propose(wish("tamar-a", expected=0))
        assert isinstance(outcome, revision.Accepted)
        spread = await made.nodes["n0"].keeper.wait_in_force(1, WAIT_S)
        assert spread == revision.Spread(1, ("n0", "n1", "n2"), ())
        for running in made.nodes.values():
            assert running.keeper.cfg.zones_out == {"tamar-a"}
        made.table.up = False
        refused = await made.nodes["n1"].keeper.propose(wish("esk-b"))
        reason = "the table service did not take the change"
        assert refused == revision.NotAllowed(reason)
        made.nodes["n2"].scope.cancel()
        await trio.sleep(5.2)
        for node_id in ("n0", "n1"):
            running = made.nodes[node_id]
            judged = running.keeper.judge(running.peers.clock())
            assert isinstance(judged, currency.Current)
            assert judged.rule == "majority"
        booted = await made.boot("n2")
        await made.until(lambda: booted.keeper.is_current(booted.peers.clock()))
        assert booted.keeper.cfg.zones_out == {"tamar-a"}


async def test_racing_operators_get_one_winner() -> None:
    """Guards against two operators who both believe that they have a revision."""
    async with fleet(3) as made:
        outcomes: dict[str, revision.Outcome] = {}

        async def propose(node_id: str) -> None:
            keeper = made.nodes[node_id].keeper
            proposed = wish(f"zone-{node_id}", expected=0)
            outcomes[node_id] = await keeper.propose(proposed)

        async with trio.open_nursery() as nursery:
            for node_id in made.nodes:
                nursery.start_soon(propose, node_id)
        accepted = [v for v in outcomes.values() if isinstance(v, revision.Accepted)]
        lost = [v for v in outcomes.values() if isinstance(v, revision.Outdated)]
        assert (len(accepted), len(lost)) == (1, 2)
        assert {v.revision for v in lost} == {1}
        last = await made.nodes["n0"].keeper.propose(wish("late"))
        assert isinstance(last, revision.Accepted)
        assert last.spread.revision == 2


async def test_lost_answer_and_repeated_call_are_one_change() -> None:
    """Guards against a lost answer that becomes a refusal or a second change."""
    async with fleet(3) as made:
        made.table.lose_answers = 1
        first = await made.nodes["n0"].keeper.propose(wish("esk-b", expected=0))
        assert isinstance(first, revision.Accepted)
        again = await made.nodes["n1"].keeper.propose(wish("esk-b", expected=0))
        assert isinstance(again, revision.Accepted)
        assert made.nodes["n1"].keeper.cfg.revision == 1


async def test_node_alone_neither_accepts_nor_serves_without_store() -> None:
    """Guards against a minority that goes on with an old configuration."""
    async with fleet(3) as made:
        for node_id in ("n1", "n2"):
            made.nodes[node_id].scope.cancel()
        running = made.nodes["n0"]
        await made.until(lambda: running.peers.live() == ["n0"])
        outcome = await running.keeper.propose(wish("esk-b"))
        assert outcome == revision.NotAllowed("only 1 of 3 members are heard")
        assert ("changes", change.row_key(1)) not in made.table.rows
        made.table.up = False
        await trio.sleep(5.2)
        assert not running.keeper.is_current(running.peers.clock())


async def test_late_node_catches_up_from_snapshot_of_peer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a node that cannot boot once old changes left the memory."""
    monkeypatch.setattr(revision, "LOG_LENGTH", 2)
    async with fleet(2) as made:
        for number in range(5):
            outcome = await made.nodes["n0"].keeper.propose(wish(f"z{number}"))
            assert isinstance(outcome, revision.Accepted)
        keeper = made.nodes["n0"].keeper
        request = revision.DeltasRequest(0)
        reply = await made.nodes["n1"].peers.call("n0", revision.DELTAS, request, 1.0)
        assert isinstance(reply, revision.DeltasReply)
        assert reply.snapshot is not None
        loaded = change.load_snapshot(contract.Config(), reply.snapshot)
        assert loaded == keeper.cfg
        history = await keeper.history(0, 10)
        assert isinstance(history, list)
        assert [item.revision for item in history] == [1, 2, 3, 4, 5]


async def test_members_come_from_sessions_once_written() -> None:
    """Guards against majorities over peers that are not members."""
    async with fleet(2) as made:
        for node_id, port in made.ports.items():
            session = revision.Session(node_id, 1, "127.0.0.1", port)
            made.table.put("sessions", node_id, msgspec.json.encode(session))
        gone = revision.Session("n9", 1, "127.0.0.1", 1, revoked=True)
        made.table.put("sessions", "n9", msgspec.json.encode(gone))
        members = made.nodes["n0"].peers.members
        await made.until(lambda: "n9" in members.rows)
        assert members.voters() == {"n0", "n1", "n9"}


async def test_unknown_node_is_unreachable_and_local_call_is_direct() -> None:
    """Guards against calls that hang or leave the process needlessly."""
    async with fleet(1) as made:
        peers = made.nodes["n0"].peers
        message = currency.Heartbeat("n0", "1", 0, False)
        assert isinstance(
            await peers.call("nobody", peer.HEARTBEAT, message, 1.0), rpc.Unreachable
        )
        reply = await peers.call("n0", peer.HEARTBEAT, message, 1.0)
        assert isinstance(reply, currency.HeartbeatReply)


PEERS = [
    ("n1=10.0.0.1:7000", member.Member("n1", "", "10.0.0.1", 7000)),
    ("n1=[::1]:7000", member.Member("n1", "", "::1", 7000)),
    ("n1", peer.BadPeer("peer 'n1' is not of the form ID=HOST:PORT")),
    ("n1=h:0", peer.BadPeer("peer 'n1=h:0': port 0 is not between 1 and 65535")),
]


@pytest.mark.parametrize(("text", "expected"), PEERS)
def test_peer_setting(text: str, expected: object) -> None:
    """Guards against a mistyped peer that is silently ignored."""
    assert peer.parse_peer(text) == expected

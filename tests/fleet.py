"""Nodes of one process that share a table service in memory."""

import collections.abc
import contextlib
import dataclasses

import trio
import trio_asyncio

from snipelug_core import member
from snipelug_node import peer, ports, revision
from tests import port_numbers

KEY = b"test key"
WAIT_S = 8.0


class MemoryTable:
    """A table service in memory that can be down or lose answers."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], ports.Row] = {}
        self.up = True
        self.lose_answers = 0
        self.fail_after_write = False
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
        if self.fail_after_write:
            self.up = False
            return ports.Unavailable("went down", maybe_applied=True)
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


@contextlib.asynccontextmanager
async def fleet(size: int) -> collections.abc.AsyncIterator[Fleet]:
    free = port_numbers.free_ports(size)
    numbers = {f"n{i}": port for i, port in enumerate(free)}
    async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
        made = Fleet(MemoryTable(), nursery, numbers)
        for node_id in numbers:
            await made.boot(node_id)
        await made.until_current()
        yield made
        nursery.cancel_scope.cancel()

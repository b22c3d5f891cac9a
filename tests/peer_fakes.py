"""In-process fakes of the node's ports."""

import typing

import msgspec
import trio

from snipelug_net import rpc
from snipelug_node import ports


class Network:
    """Connects fake peers; calls to nodes in ``down`` and lost answers fail."""

    def __init__(self) -> None:
        self.nodes: dict[str, Peers] = {}
        self.down: set[str] = set()
        self.lose_answers: set[str] = set()
        self.calls: list[tuple[str, str]] = []


class Peers:
    """One node's view of a `Network`; messages are encoded and decoded."""

    def __init__(self, network: Network, node_id: str) -> None:
        self.node_id = node_id
        self.network = network
        self.procedures: dict[str, rpc.Procedure] = {}
        network.nodes[node_id] = self

    def live(self) -> list[str]:
        return sorted(set(self.network.nodes) - self.network.down)

    async def call(
        self,
        node_id: str,
        method: rpc.Method[typing.Any, typing.Any],
        message: msgspec.Struct,
        timeout_s: float,
    ) -> typing.Any:
        self.network.calls.append((node_id, method.name))
        if node_id in self.network.down:
            return rpc.Unreachable("down")
        encoded = msgspec.msgpack.encode(message)
        received = msgspec.msgpack.decode(encoded, type=method.request)
        answer = await self.network.nodes[node_id].procedures[method.name](received)
        if method.name in self.network.lose_answers:
            return rpc.Unreachable("answer lost")
        return answer

    def register(
        self, method: rpc.Method[typing.Any, typing.Any], procedure: rpc.Procedure
    ) -> None:
        self.procedures[method.name] = procedure


class Tables:
    """An in-memory table service that can simulate an outage and lost answers."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], ports.Row] = {}
        self.is_down = False
        self.lose_answers = 0
        self.version = 0

    async def read(
        self, table_name: str, key: str
    ) -> ports.Row | ports.Absent | ports.Unavailable:
        if self.is_down:
            return ports.Unavailable("down", maybe_applied=False)
        # Lets other tasks run between a read and the write that depends on it.
        row = self.rows.get((table_name, key), ports.Absent())
        await trio.lowlevel.checkpoint()
        return row

    async def scan(
        self, table_name: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> list[ports.Row] | ports.Unavailable:
        if self.is_down:
            return ports.Unavailable("down", maybe_applied=False)
        rows = sorted(self.rows.values(), key=lambda row: row.key)
        found = [r for r in rows if r.table == table_name and r.key > after]
        return [row for row in found if row.key.startswith(prefix)][:limit]

    async def write(
        self, write: ports.Write
    ) -> ports.Written | ports.Conflict | ports.Unavailable:
        if self.is_down:
            return ports.Unavailable("down", maybe_applied=False)
        row_id = (write.table, write.key)
        row = self.rows.get(row_id)
        version = row.version if row else ports.Expect.ABSENT
        if write.expect not in (version, ports.Expect.ANY):
            return ports.Conflict()
        if write.content is None:
            del self.rows[row_id]
            return ports.Written("")
        self.version += 1
        new = ports.Row(write.table, write.key, str(self.version), write.content)
        self.rows[row_id] = new
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return ports.Unavailable("answer lost", maybe_applied=True)
        return ports.Written(new.version)

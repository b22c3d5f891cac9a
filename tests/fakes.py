"""In-memory fakes of the platform services and peers in ``snipelug_node.ports``."""

import collections.abc
import itertools
import typing

import msgspec
import trio

from snipelug_net import rpc
from snipelug_node import platform, ports

SERVICE_DELAY_S = 0.001


class Tables:
    """A fake table service that counts operations and can fail.

    Attributes
    ----------
    down : bool
        Fail every operation without effect.
    lose : int
        Number of next writes that take effect but whose response is lost.
    reads, writes, scans : int
        Operations received.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[str, bytes]] = {}
        self.down = False
        self.lose = 0
        self.reads = 0
        self.writes = 0
        self.scans = 0
        self._versions = itertools.count(1)

    async def read(
        self, table_name: str, key: str
    ) -> ports.Row | ports.Absent | ports.Unavailable:
        self.reads += 1
        await trio.sleep(SERVICE_DELAY_S)
        if self.down:
            return ports.Unavailable("down", False)
        row = self.rows.get((table_name, key))
        return ports.Row(table_name, key, *row) if row else ports.Absent()

    async def scan(
        self, table_name: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> list[ports.Row] | ports.Unavailable:
        self.scans += 1
        await trio.sleep(SERVICE_DELAY_S)
        if self.down:
            return ports.Unavailable("down", False)
        found = [
            ports.Row(name, key, *row)
            for (name, key), row in self.rows.items()
            if name == table_name and key.startswith(prefix) and key > after
        ]
        page = sorted(found, key=lambda row: row.key)[:limit]
        if sum(len(row.content) for row in page) > platform.MAX_TABLE_RESPONSE_BYTES:
            return ports.Unavailable("the response is too large", True)
        return page

    async def write(
        self, write: ports.Write
    ) -> ports.Written | ports.Conflict | ports.Unavailable:
        self.writes += 1
        await trio.sleep(SERVICE_DELAY_S)
        if self.down:
            return ports.Unavailable("down", False)
        outcome = self._apply(write)
        if self.lose:
            self.lose -= 1
            return ports.Unavailable("lost", True)
        return outcome

    async def transact(
        self, writes: collections.abc.Sequence[ports.Write]
    ) -> ports.Written | ports.Conflict | ports.Unavailable:
        raise NotImplementedError("these tests need no transactions")

    def _apply(self, write: ports.Write) -> ports.Written | ports.Conflict:
        row_key = (write.table, write.key)
        current = self.rows.get(row_key)
        if write.expect is ports.Expect.ABSENT and current is not None:
            return ports.Conflict()
        if isinstance(write.expect, str) and (
            current is None or current[0] != write.expect
        ):
            return ports.Conflict()
        if write.content is None:
            self.rows.pop(row_key, None)
            return ports.Written("")
        version = str(next(self._versions))
        self.rows[row_key] = (version, write.content)
        return ports.Written(version)


class Objects:
    """A fake object store."""

    def __init__(self) -> None:
        self.contents: dict[str, bytes] = {}
        self.down = False

    async def get(self, key: str) -> bytes | ports.Absent | ports.Unavailable:
        await trio.sleep(SERVICE_DELAY_S)
        if self.down:
            return ports.Unavailable("down", False)
        return self.contents.get(key, ports.Absent())

    async def put(self, key: str, content: bytes) -> ports.Written | ports.Unavailable:
        await trio.sleep(SERVICE_DELAY_S)
        if self.down:
            return ports.Unavailable("down", False)
        self.contents[key] = content
        return ports.Written("1")

    async def delete(self, key: str) -> ports.Written | ports.Unavailable:
        await trio.sleep(SERVICE_DELAY_S)
        if self.down:
            return ports.Unavailable("down", False)
        self.contents.pop(key, None)
        return ports.Written("")


class Network:
    """Connects fake peers; ``cut`` holds the ids of unreachable nodes."""

    def __init__(self) -> None:
        self.peers: dict[str, Peers] = {}
        self.cut: set[str] = set()

    def join(self, node_id: str) -> "Peers":
        self.peers[node_id] = Peers(self, node_id)
        return self.peers[node_id]


class Peers:
    """The peers of one node."""

    def __init__(self, network: Network, node_id: str) -> None:
        self.node_id = node_id
        self._network = network
        self._procedures: dict[str, rpc.Procedure] = {}

    def live(self) -> list[str]:
        return [n for n in self._network.peers if n not in self._network.cut]

    async def call(
        self,
        node_id: str,
        method: rpc.Method[typing.Any, typing.Any],
        message: msgspec.Struct,
        timeout_s: float,
    ) -> typing.Any:
        if {node_id, self.node_id} & self._network.cut and node_id != self.node_id:
            return rpc.Unreachable("cut")
        peer = self._network.peers.get(node_id)
        if peer is None:
            return rpc.Unreachable("no such node")
        encoded_request = msgspec.msgpack.encode(message)
        with trio.move_on_after(timeout_s):
            request = msgspec.msgpack.decode(encoded_request, type=method.request)
            answer = await peer._procedures[method.name](request)
            encoded_reply = msgspec.msgpack.encode(answer)
            return msgspec.msgpack.decode(encoded_reply, type=method.reply)
        return rpc.Unreachable("no answer in time")

    def register(
        self, method: rpc.Method[typing.Any, typing.Any], procedure: rpc.Procedure
    ) -> None:
        self._procedures[method.name] = procedure

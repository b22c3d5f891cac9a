"""RPC between nodes: connections, heartbeats and the recently reported members."""

import collections.abc
import dataclasses
import logging
import random
import typing

import grpclib.const
import grpclib.exceptions
import msgspec
import trio

from snipelug_core import currency, member
from snipelug_net import rpc
from snipelug_node import ticker

LOG = logging.getLogger("snipelug.peer")

HEARTBEAT_INTERVAL_S = 1.0
HEARTBEAT_TIMEOUT_S = 1.5
# If a peer vanishes without closing its connection, the kernel keeps the connection for
# minutes. After this many consecutive calls without an answer, a new one is opened.
FAILURES_BEFORE_RECONNECT = 3

HEARTBEAT = rpc.Method("Heartbeat", currency.Heartbeat, currency.HeartbeatReply)

Message = typing.TypeVar("Message", bound=msgspec.Struct)
Answer = typing.TypeVar("Answer", bound=msgspec.Struct)
Clock = collections.abc.Callable[[], float]


@dataclasses.dataclass(frozen=True)
class Settings:
    """Identity of this node and the peers it knows before it reads the store.

    Attributes
    ----------
    host, rpc_port : str, int
        Address at which other nodes reach this one.
    listen : tuple of (str, int), optional
        Address to bind, if it differs.
    key : bytes
        Secret that signs messages between nodes.
    static : tuple of Member
        Peers named in the settings.
    """

    node_id: str
    incarnation: str
    host: str
    rpc_port: int
    key: bytes
    zone: str = ""
    static: tuple[member.Member, ...] = ()
    listen: tuple[str, int] | None = None

    def own_member(self) -> member.Member:
        """Return the member entry of this node."""
        return member.Member(
            self.node_id, self.incarnation, self.host, self.rpc_port, self.zone
        )

    def static_members(self) -> list[member.Member]:
        """Return the static peers and this node."""
        return [*self.static, self.own_member()]


@dataclasses.dataclass(frozen=True)
class InvalidPeer:
    """A peer in the settings has an invalid format."""

    reason: str


def parse_peer(text: str) -> member.Member | InvalidPeer:
    """Parse a peer given as ``ID=HOST:PORT``."""
    node_id, equals, address = text.partition("=")
    host, colon, port = address.rpartition(":")
    if not (node_id and equals and host and colon and port.isdecimal()):
        return InvalidPeer(f"peer {text!r} is not of the form ID=HOST:PORT")
    if not 0 < int(port) < 65536:
        return InvalidPeer(f"peer {text!r}: port {port} is not between 1 and 65535")
    return member.Member(node_id, "", host.strip("[]"), int(port))


@dataclasses.dataclass
class _Connection:
    """The connection to one peer."""

    address: tuple[str, int]
    client: rpc.Client
    failures: int = 0


class Peers:
    """The other nodes; implements ``ports.Peers``. Requires a trio-asyncio loop.

    Parameters
    ----------
    settings : Settings
        Identity and static peers.
    clock : callable, optional
        Monotonic time in seconds; shared by all parts of the node.
    rng : random.Random, optional
        Used to choose heartbeat targets.

    Attributes
    ----------
    node_id : str
        Id of this node.
    state : State
        Currency of this node, shared with `revision.Keeper`.
    members : Members
        Members known to this node.
    on_newer_revision : callable
        Called when a peer reports a newer revision than this node has.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock = trio.current_time,
        rng: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self.node_id = settings.node_id
        self.clock = clock
        self.rng = rng or random.Random()
        self.state = currency.State(settings.node_id, settings.incarnation, clock())
        self.members = member.Members(settings.node_id)
        self.members.rows = {row.node_id: row for row in settings.static_members()}
        self.on_newer_revision: collections.abc.Callable[[], None] = lambda: None
        self._procedures: dict[rpc.Method[typing.Any, typing.Any], rpc.Procedure] = {}
        self._connections: dict[str, _Connection] = {}
        self._is_serving = False
        self._is_closed = False
        self.register(HEARTBEAT, self._answer_heartbeat)

    def live(self) -> list[str]:
        """Return the ids of the recently reported nodes, including this one."""
        return self.members.live_node_ids(self.clock())

    def register(
        self, method: rpc.Method[typing.Any, typing.Any], procedure: rpc.Procedure
    ) -> None:
        """Offer a procedure to the other nodes; call this before ``run``."""
        if self._is_serving:
            raise RuntimeError(f"{method.name} is registered after serving began")
        self._procedures[method] = procedure

    async def call(
        self,
        node_id: str,
        method: rpc.Method[Message, Answer],
        message: Message,
        timeout_s: float,
    ) -> Answer | rpc.Unreachable:
        """Call a procedure of a node; a call to this node runs locally."""
        if node_id == self.node_id:
            return await self._call_locally(method, message, timeout_s)
        connection = self._connect(node_id)
        if connection is None:
            return rpc.Unreachable(f"node {node_id} is not a known member")
        answer = await connection.client.call(method, message, timeout_s)
        if isinstance(answer, rpc.Unreachable):
            self._count_failure(node_id, connection)
        else:
            connection.failures = 0
        return answer

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve peers and send heartbeats until cancelled."""
        self._is_serving = True
        settings = self.settings
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(
                    rpc.serve,
                    *(settings.listen or (settings.host, settings.rpc_port)),
                    settings.key,
                    {
                        method: self._reject_when_closed(procedure)
                        for method, procedure in self._procedures.items()
                    },
                )
                task_status.started()
                await self._send_heartbeats(nursery)
        finally:
            self.close()

    def close(self) -> None:
        """Close the connections to all peers and stop answering calls."""
        self._is_closed = True
        for connection in self._connections.values():
            connection.client.close()
        self._connections.clear()

    def _reject_when_closed(self, procedure: rpc.Procedure) -> rpc.Procedure:
        """Reject calls after closing, since the RPC server keeps connections open."""

        async def run(message: typing.Any) -> msgspec.Struct:
            if self._is_closed:
                raise grpclib.exceptions.GRPCError(
                    grpclib.const.Status.UNAVAILABLE, "the node is closed"
                )
            return await procedure(message)

        return run

    async def _call_locally(
        self,
        method: rpc.Method[Message, Answer],
        message: Message,
        timeout_s: float,
    ) -> Answer | rpc.Unreachable:
        procedure = self._procedures.get(method)
        if procedure is None:
            return rpc.Unreachable(f"this node does not offer {method.name}")
        with trio.move_on_after(timeout_s):
            return typing.cast(Answer, await procedure(message))
        return rpc.Unreachable(f"no answer within {timeout_s} s")

    def _connect(self, node_id: str) -> _Connection | None:
        row = self.members.rows.get(node_id)
        if row is None:
            return None
        address = (row.host, row.rpc_port)
        connection = self._connections.get(node_id)
        if connection is not None and connection.address == address:
            return connection
        if connection is not None:
            connection.client.close()
        connection = _Connection(address, rpc.Client(*address, self.settings.key))
        self._connections[node_id] = connection
        return connection

    def _count_failure(self, node_id: str, connection: _Connection) -> None:
        connection.failures += 1
        if connection.failures < FAILURES_BEFORE_RECONNECT:
            return
        if self._connections.get(node_id) is connection:
            del self._connections[node_id]
            connection.client.close()

    async def _answer_heartbeat(
        self, message: currency.Heartbeat
    ) -> currency.HeartbeatReply:
        if message.revision > self.state.revision:
            self.on_newer_revision()
        return currency.build_heartbeat_reply(
            self.state, self.members, self.clock(), self.rng, message.wants_rows
        )

    async def _send_heartbeats(self, nursery: trio.Nursery) -> None:
        while True:
            self._drop_removed_connections()
            for node_id in member.choose_heartbeat_targets(self.members, self.rng):
                nursery.start_soon(self._send_heartbeat, node_id)
            await ticker.sleep(HEARTBEAT_INTERVAL_S)

    def _drop_removed_connections(self) -> None:
        for node_id in [
            key for key in self._connections if key not in self.members.rows
        ]:
            self._connections.pop(node_id).client.close()

    async def _send_heartbeat(self, node_id: str) -> None:
        state = self.state
        message = currency.Heartbeat(
            state.node_id,
            state.incarnation,
            state.revision,
            not self.members.complete,
        )
        asked_at = self.clock()
        reply = await self.call(node_id, HEARTBEAT, message, HEARTBEAT_TIMEOUT_S)
        if isinstance(reply, rpc.Unreachable):
            extra = {"peer": node_id, "reason": reply.reason}
            LOG.debug("no answer to a heartbeat", extra=extra)
            return
        currency.record_heartbeat_reply(state, self.members, asked_at, reply)
        if currency.latest_known_revision(state, self.members) > state.revision:
            self.on_newer_revision()

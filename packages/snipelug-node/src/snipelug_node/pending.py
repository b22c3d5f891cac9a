"""Exchange of pending work between the nodes that share upstreams and stores."""

import collections
import collections.abc
import itertools
import typing

import msgspec
import trio

from snipelug_core import hashing, prefill
from snipelug_net import rpc
from snipelug_node import cache, ports, ticker

INTERVAL_S = 0.25
"""Time between two exchanges.

In the decision benchmark p95 TTFT rises from 2.5 s to 3.2 s with an interval of 1 s
(trial on 300 s of tas-north).
"""

TIMEOUT_S = 0.2
SLOT_BYTES = 2
MAX_UPSTREAMS = 256

Seconds = typing.Annotated[float, msgspec.Meta(ge=0, le=1e6)]


class Pending(msgspec.Struct, frozen=True):
    """One node's pending work at some upstreams and stores, in seconds.

    That of an upstream is prefill, that of a store is transfers over its link.
    """

    node: cache.Name
    work_s: typing.Annotated[dict[str, Seconds], msgspec.Meta(max_length=MAX_UPSTREAMS)]


class PendingReply(msgspec.Struct, frozen=True):
    """The sum of all other nodes' pending work at the same upstreams and stores."""

    others_s: dict[str, Seconds]


PENDING = rpc.Method("Pending", Pending, PendingReply)


class Board:
    """Sums of pending work at the instances that rendezvous gives to this node."""

    def __init__(self) -> None:
        self._told: dict[str, dict[str, tuple[float, float]]] = {}

    def register(self, peers: ports.Peers) -> None:
        """Offer the board to the other nodes."""
        peers.register(PENDING, self.tell)

    async def tell(self, message: Pending) -> PendingReply:
        """Take one node's values and answer with the sums of the others."""
        now = trio.current_time()
        others: dict[str, float] = {}
        for upstream, work_s in message.work_s.items():
            told = self._told.setdefault(upstream, {})
            told[message.node] = (work_s, now)
            others[upstream] = sum(w for n, (w, _) in told.items() if n != message.node)
        return PendingReply(others)

    def prune(self) -> None:
        """Forget what no node tells any more."""
        now = trio.current_time()
        for upstream in list(self._told):
            _drop_old(self._told[upstream], now)
            if not self._told[upstream]:
                del self._told[upstream]


def _drop_old(told: dict[str, tuple[float, float]], now: float) -> None:
    for node, (_, at) in list(told.items()):
        if now - at > prefill.PEER_SUM_MAX_AGE_S:
            del told[node]


class Exchange:
    """Tell the boards what is pending here, and learn what is pending elsewhere.

    Parameters
    ----------
    upstreams : callable
        Returns the ids of the upstreams and stores that this node works with.
    is_active : callable, optional
        Returns whether this node decides now; without decisions and own requests
        nothing is exchanged, because an idle node has little processor time to spend.
    """

    def __init__(
        self,
        peers: ports.Peers,
        backlog: prefill.PrefillBacklog,
        board: Board,
        upstreams: collections.abc.Callable[[], collections.abc.Iterable[str]],
        is_active: collections.abc.Callable[[], bool] = lambda: True,
    ) -> None:
        self.is_active = is_active
        self.was_pending = False
        self.peers = peers
        self.backlog = backlog
        self.board = board
        self.upstreams = upstreams
        self._owners = cache.ShardMap()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Exchange until cancelled."""
        task_status.started()
        while True:
            await self.exchange()
            await ticker.sleep(INTERVAL_S)

    async def exchange(self) -> None:
        """Exchange once with all boards that keep this node's upstreams."""
        self.board.prune()
        self._owners.update(self.peers.live())
        known = set(self.upstreams())
        self.backlog.retain(known)
        pending = self.backlog.pending_s()
        if not (pending or self.was_pending or self.is_active()):
            return
        # Zeros are told once, so that the boards forget this node's share.
        self.was_pending = bool(pending)
        parts: dict[str, dict[str, float]] = collections.defaultdict(dict)
        for upstream in known:
            owner = self._owners.owner(_slot(upstream))
            if owner is not None:
                parts[owner][upstream] = pending.get(upstream, 0.0)
        async with trio.open_nursery() as nursery:
            for owner, work_s in parts.items():
                for piece in _cut(work_s):
                    nursery.start_soon(self._tell, owner, piece)

    async def _tell(self, owner: str, work_s: dict[str, float]) -> None:
        asked_at = trio.current_time()
        message = Pending(self.peers.node_id, work_s)
        reply = await self.peers.call(owner, PENDING, message, TIMEOUT_S)
        if isinstance(reply, rpc.Unreachable):
            return
        for upstream, others_s in reply.others_s.items():
            self.backlog.note_peers(upstream, others_s, asked_at)


def _cut(work_s: dict[str, float]) -> collections.abc.Iterator[dict[str, float]]:
    """Yield pieces that a message may hold."""
    items = iter(work_s.items())
    while piece := dict(itertools.islice(items, MAX_UPSTREAMS)):
        yield piece


def _slot(upstream: str) -> int:
    digest = hashing.keyed_digest(b"pending", upstream.encode())
    return int.from_bytes(digest[:SLOT_BYTES], "big") % cache.SHARD_SLOTS

"""Exchange of pending work between nodes that share upstreams and stores."""

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
"""Interval between exchanges.

An interval of 1 s raises p95 TTFT in the decision benchmark from 2.5 s to 3.2 s (trial
on 300 s of tas-north).
"""

CALL_TIMEOUT_S = 0.2
SHARD_HASH_BYTES = 2
MAX_UPSTREAMS = 256

Seconds = typing.Annotated[float, msgspec.Meta(ge=0, le=1e6)]


class Pending(msgspec.Struct, frozen=True):
    """One node's pending work at some upstreams and stores, in seconds.

    For an upstream this is prefill, for a store it is transfers over its link.
    """

    node: cache.Name
    work_s: typing.Annotated[dict[str, Seconds], msgspec.Meta(max_length=MAX_UPSTREAMS)]


class PendingReply(msgspec.Struct, frozen=True):
    """The other nodes' total pending work at the same upstreams and stores."""

    others_s: dict[str, Seconds]


PENDING = rpc.Method("Pending", Pending, PendingReply)


class PendingSums:
    """Sums of pending work at the instances that rendezvous hashing assigns here."""

    def __init__(self) -> None:
        self._reported: dict[str, dict[str, tuple[float, float]]] = {}

    def register(self, peers: ports.Peers) -> None:
        """Offer the sums to the other nodes."""
        peers.register(PENDING, self.report)

    async def report(self, message: Pending) -> PendingReply:
        """Store one node's values and return the sums of the other nodes' values."""
        now = trio.current_time()
        others: dict[str, float] = {}
        for upstream, work_s in message.work_s.items():
            reported = self._reported.setdefault(upstream, {})
            reported[message.node] = (work_s, now)
            others[upstream] = sum(
                w for n, (w, _) in reported.items() if n != message.node
            )
        return PendingReply(others)

    def prune(self) -> None:
        """Drop values that no node has reported recently."""
        now = trio.current_time()
        for upstream in list(self._reported):
            _drop_expired(self._reported[upstream], now)
            if not self._reported[upstream]:
                del self._reported[upstream]


def _drop_expired(reported: dict[str, tuple[float, float]], now: float) -> None:
    for node, (_, reported_at) in list(reported.items()):
        if now - reported_at > prefill.PEER_SUM_MAX_AGE_S:
            del reported[node]


class Exchange:
    """Reports this node's pending work and collects that of the other nodes.

    Parameters
    ----------
    upstreams : callable
        Returns the ids of the upstreams and stores that this node uses.
    is_active : callable, optional
        Returns whether this node currently makes routing decisions. An inactive node
        without pending work exchanges nothing, which saves processor time.
    """

    def __init__(
        self,
        peers: ports.Peers,
        backlog: prefill.PrefillBacklog,
        sums: PendingSums,
        upstreams: collections.abc.Callable[[], collections.abc.Iterable[str]],
        is_active: collections.abc.Callable[[], bool] = lambda: True,
    ) -> None:
        self.is_active = is_active
        self.was_pending = False
        self.peers = peers
        self.backlog = backlog
        self.sums = sums
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
        """Exchange once with all nodes that keep sums for this node's upstreams."""
        self.sums.prune()
        self._owners.update(self.peers.live())
        known = set(self.upstreams())
        self.backlog.retain(known)
        pending = self.backlog.pending_s()
        if not (pending or self.was_pending or self.is_active()):
            return
        # Zeros are reported once, so that other nodes drop this node's share.
        self.was_pending = bool(pending)
        parts: dict[str, dict[str, float]] = collections.defaultdict(dict)
        for upstream in known:
            owner = self._owners.owner(_shard_slot(upstream))
            if owner is not None:
                parts[owner][upstream] = pending.get(upstream, 0.0)
        async with trio.open_nursery() as nursery:
            for owner, work_s in parts.items():
                for chunk in _split(work_s):
                    nursery.start_soon(self._report, owner, chunk)

    async def _report(self, owner: str, work_s: dict[str, float]) -> None:
        asked_at = trio.current_time()
        message = Pending(self.peers.node_id, work_s)
        reply = await self.peers.call(owner, PENDING, message, CALL_TIMEOUT_S)
        if isinstance(reply, rpc.Unreachable):
            return
        for upstream, others_s in reply.others_s.items():
            self.backlog.note_peers(upstream, others_s, asked_at)


def _split(work_s: dict[str, float]) -> collections.abc.Iterator[dict[str, float]]:
    """Yield chunks that fit into one message."""
    items = iter(work_s.items())
    while chunk := dict(itertools.islice(items, MAX_UPSTREAMS)):
        yield chunk


def _shard_slot(upstream: str) -> int:
    digest = hashing.keyed_digest(b"pending", upstream.encode())
    return int.from_bytes(digest[:SHARD_HASH_BYTES], "big") % cache.SHARD_SLOTS

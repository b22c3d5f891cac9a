"""The block index across nodes: shards, and the directory that asks them."""

import collections
import collections.abc
import dataclasses
import logging
import typing

import msgspec
import trio

from snipelug_core import block, hashing, index
from snipelug_net import rpc
from snipelug_node import ports

LOG = logging.getLogger("snipelug.cache")

LOOKUP_TIMEOUT_S = 0.020
"""Least time after which a look-up without an answer is a miss."""

LOOKUP_BLOCK_S = 0.010
"""Wait that each block of the prompt justifies: an engine that prefills 16,000
tokens/s takes 128 ms to recompute a block."""

LOOKUP_LIMIT_S = 0.200

RECORD_TIMEOUT_S = 1.0
FLUSH_S = 0.1
FLUSH_EVENTS = 500
PENDING_EVENTS = 20_000
"""Events waiting to be sent to shards; further ones are dropped and counted."""

SLOTS = 4096
"""Parts of the conversations' id space; a slot belongs to one node."""


MAX_KEYS = 4096
MAX_EVENTS = 4096

Key = typing.Annotated[
    bytes, msgspec.Meta(min_length=block.KEY_BYTES, max_length=block.KEY_BYTES)
]
Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Number = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


# Messages between nodes.


class Lookup(msgspec.Struct, frozen=True):
    """Ask a shard for the locations of a prompt's blocks."""

    keys: typing.Annotated[list[Key], msgspec.Meta(max_length=MAX_KEYS)]


class Copy(msgspec.Struct, frozen=True, array_like=True):
    """A copy in a store, as ``index.StoredCopy``."""

    store: Name
    boot_id: Name
    generation: Number
    checksum: str


class LookupReply(msgspec.Struct, frozen=True):
    """Known locations, as ``index.PrefixLocations``."""

    memory: dict[str, int] = {}
    stored: list[list[Copy]] = []


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A block that a source gained or lost."""

    key: Key
    added: bool
    seq: Number = 0
    generation: Number = 0
    checksum: str = ""


class Batch(msgspec.Struct, frozen=True):
    """Changes at one source; none if only its boot is reported."""

    id: Name
    boot_id: Name
    is_store: bool
    changes: list[Change] = []


class Appraisal(msgspec.Struct, frozen=True):
    """Expected seconds that each block of a prompt saves."""

    keys: list[Key]
    value_s: typing.Annotated[float, msgspec.Meta(ge=0, le=1e6)]


class Record(msgspec.Struct, frozen=True):
    """Tell a shard what changed."""

    batches: list[Batch] = []
    appraisals: list[Appraisal] = []


class Recorded(msgspec.Struct, frozen=True):
    """The shard took the changes."""


LOOKUP = rpc.Method("Lookup", Lookup, LookupReply)
RECORD = rpc.Method("Record", Record, Recorded)


class Shard:
    """The part of the block index that one node keeps.

    Parameters
    ----------
    limit_bytes : int
        Memory allowed for the index.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.index = index.Index(limit_bytes)

    def register(self, peers: ports.Peers) -> None:
        """Offer the shard to the other nodes."""
        peers.register(LOOKUP, self.lookup)
        peers.register(RECORD, self.record)

    def retain(self, instance_ids: collections.abc.Container[str]) -> None:
        """Forget sources that the platform does not list any more."""
        self.index.retain(instance_ids)

    async def lookup(self, message: Lookup) -> LookupReply:
        """Answer a look-up."""
        found = self.index.lookup(message.keys, trio.current_time())
        stored = [[_to_wire(c) for c in copies] for copies in found.stored]
        return LookupReply(found.memory, stored)

    async def record(self, message: Record) -> Recorded:
        """Apply changes."""
        now = trio.current_time()
        for batch in message.batches:
            source = index.Source(batch.id, batch.boot_id, batch.is_store)
            self.index.observe_boot(source)
            for change in batch.changes:
                self.index.apply(_to_event(source, change), now)
        for appraisal in message.appraisals:
            self.index.appraise(appraisal.keys, appraisal.value_s, now)
        return Recorded()


def _to_wire(copy: index.StoredCopy) -> Copy:
    return Copy(copy.store, copy.boot_id, copy.generation, copy.checksum)


def _to_found(reply: LookupReply) -> index.PrefixLocations:
    stored = tuple(
        tuple(
            index.StoredCopy(c.store, c.boot_id, c.generation, c.checksum) for c in at
        )
        for at in reply.stored
    )
    return index.PrefixLocations(reply.memory, stored)


def _to_event(
    source: index.Source, change: Change
) -> index.BlockAdded | index.BlockDropped:
    if change.added:
        return index.BlockAdded(
            source, change.key, change.seq, change.generation, change.checksum
        )
    return index.BlockDropped(source, change.key, change.seq, change.generation)


def lookup_timeout_s(blocks: int) -> float:
    """Return how long a look-up may take for a prompt of some blocks, in seconds."""
    return min(LOOKUP_LIMIT_S, max(LOOKUP_TIMEOUT_S, blocks * LOOKUP_BLOCK_S))


# Which node keeps which conversations.


class ShardMap:
    """The node of each slot of conversations, by rendezvous.

    Owners are remembered per slot, so that a look-up does not hash all nodes, and
    a change of one node costs one hash per slot.
    """

    def __init__(self) -> None:
        self._nodes: set[str] = set()
        self._owners: dict[int, tuple[int, str]] = {}

    def update(self, nodes: collections.abc.Iterable[str]) -> set[int]:
        """Take over the live nodes; return the slots whose node changed."""
        wanted = set(nodes)
        if wanted == self._nodes:
            return set()
        added = wanted - self._nodes
        removed = self._nodes - wanted
        self._nodes = wanted
        moved: set[int] = set()
        for slot, owner in list(self._owners.items()):
            if owner[1] in removed:
                del self._owners[slot]
                moved.add(slot)
                continue
            best = max([owner, *(_score(slot, n) for n in added)])
            if best != owner:
                self._owners[slot] = best
                moved.add(slot)
        return moved

    def owner(self, slot: int) -> str | None:
        """Return the node of a slot; None if no node is known."""
        if slot not in self._owners:
            if not self._nodes:
                return None
            self._owners[slot] = max(_score(slot, n) for n in self._nodes)
        return self._owners[slot][1]


def _score(slot: int, node: str) -> tuple[int, str]:
    return hashing.rendezvous_score(f"slot{slot}", node), node


def slot_of(key: block.Key) -> int:
    """Return the slot of the conversation that a block belongs to."""
    return int.from_bytes(key[:2], "big") % SLOTS


def reader_of(instance_id: str, nodes: collections.abc.Iterable[str]) -> str:
    """Return the node that reads an instance's feed.

    Nodes that disagree about the live ones read a feed twice or not for a while,
    which costs time only.
    """
    return hashing.rank(f"feed {instance_id}", nodes)[0]


# Client of the shards.


@dataclasses.dataclass
class _Pending:
    """What waits to be sent to one node."""

    changes: dict[index.Source, list[Change]] = dataclasses.field(default_factory=dict)
    appraisals: list[Appraisal] = dataclasses.field(default_factory=list)
    count: int = 0


class Directory:
    """Look-ups in the shards of all nodes, and changes sent to them in batches.

    Attributes
    ----------
    counts : Counter
        ``lookups``, ``lookup_misses`` (no answer in time), ``changes_dropped``.
    """

    def __init__(self, peers: ports.Peers) -> None:
        self.peers = peers
        self.shards = ShardMap()
        self.counts: collections.Counter[str] = collections.Counter()
        self._pending: dict[str, _Pending] = {}
        self._queued = trio.Event()
        self._waiting = 0

    async def lookup(
        self, keys: collections.abc.Sequence[block.Key]
    ) -> index.PrefixLocations:
        """Return the known locations; none if the shard does not answer in time."""
        if not keys:
            return index.PrefixLocations()
        self.counts["lookups"] += 1
        self.shards.update(self.peers.live())
        owner = self.shards.owner(slot_of(keys[0]))
        if owner is not None:
            message = Lookup(list(keys[:MAX_KEYS]))
            timeout_s = lookup_timeout_s(len(keys))
            with trio.move_on_after(timeout_s):
                reply = await self.peers.call(owner, LOOKUP, message, timeout_s)
                if isinstance(reply, LookupReply):
                    return _to_found(reply)
        self.counts["lookup_misses"] += 1
        return index.PrefixLocations()

    def note(
        self, source: index.Source, changes: collections.abc.Iterable[Change]
    ) -> None:
        """Queue changes at a source for the shards that they concern."""
        for change in changes:
            pending = self._queue(change.key)
            if pending is not None:
                pending.changes.setdefault(source, []).append(change)

    def appraise(
        self, keys: collections.abc.Sequence[block.Key], value_s: float
    ) -> None:
        """Queue the value of a prompt's blocks for its shard."""
        pending = self._queue(keys[0]) if keys else None
        if pending is not None:
            pending.appraisals.append(Appraisal(list(keys[:MAX_KEYS]), value_s))

    def announce(self, source: index.Source) -> None:
        """Queue a new boot of a source for all shards."""
        for node in self.peers.live():
            pending = self._pending_of(node)
            pending.changes.setdefault(source, [])

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Send queued changes until cancelled."""
        task_status.started()
        while True:
            await self._queued.wait()
            await trio.sleep(FLUSH_S)
            await self.flush()

    async def flush(self) -> None:
        """Send all that is queued; what a node does not take is lost."""
        pending, self._pending = self._pending, {}
        if self._queued.is_set():
            self._queued = trio.Event()
        self._waiting = 0
        async with trio.open_nursery() as nursery:
            for node, parts in pending.items():
                nursery.start_soon(self._send, node, parts)

    def _queue(self, key: block.Key) -> _Pending | None:
        self.shards.update(self.peers.live())
        owner = self.shards.owner(slot_of(key))
        if owner is None or self._waiting >= PENDING_EVENTS:
            self.counts["changes_dropped"] += 1
            return None
        self._waiting += 1
        pending = self._pending_of(owner)
        pending.count += 1
        return pending

    def _pending_of(self, node: str) -> _Pending:
        self._queued.set()
        return self._pending.setdefault(node, _Pending())

    async def _send(self, node: str, parts: _Pending) -> None:
        for message in _messages(parts):
            reply = await self.peers.call(node, RECORD, message, RECORD_TIMEOUT_S)
            if isinstance(reply, rpc.Unreachable):
                self.counts["changes_dropped"] += parts.count
                LOG.warning(
                    "index_changes_lost",
                    extra={"peer": node, "count": parts.count, "reason": reply.reason},
                )
                return


def _messages(parts: _Pending) -> collections.abc.Iterator[Record]:
    """Cut what is queued for one node into messages of bounded size."""
    for source, changes in parts.changes.items():
        starts = range(0, max(1, len(changes)), FLUSH_EVENTS)
        for i in starts:
            piece = changes[i : i + FLUSH_EVENTS]
            batch = Batch(source.id, source.boot_id, source.is_store, piece)
            yield Record([batch])
    if parts.appraisals:
        yield Record([], parts.appraisals)

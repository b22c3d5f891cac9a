"""The block index over all nodes: its shards, and the client that queries them."""

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

MIN_LOOKUP_TIMEOUT_S = 0.020
"""Shortest timeout of a look-up; one without a reply by then is a miss."""

LOOKUP_TIMEOUT_PER_BLOCK_S = 0.010
"""Timeout per block of the prompt. An engine that prefills 16,000 tokens/s takes
128 ms to recompute a block, so a hit is worth the wait."""

MAX_LOOKUP_TIMEOUT_S = 0.200

RECORD_TIMEOUT_S = 1.0
FLUSH_INTERVAL_S = 0.1
MAX_BATCH_CHANGES = 500
MAX_QUEUED_CHANGES = 20_000
"""Changes queued for the shards; further ones are dropped and counted."""

SHARD_SLOTS = 4096
"""Slots of the key space of conversations; each slot belongs to one node."""

MAX_KEYS = 4096
MAX_EVENTS = 4096

Key = typing.Annotated[
    bytes, msgspec.Meta(min_length=block.KEY_BYTES, max_length=block.KEY_BYTES)
]
Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
NonNegativeInt = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


# Messages between nodes


class Lookup(msgspec.Struct, frozen=True):
    """Request for the locations of a prompt's blocks."""

    keys: typing.Annotated[list[Key], msgspec.Meta(max_length=MAX_KEYS)]


class Copy(msgspec.Struct, frozen=True, array_like=True):
    """A block's copy in a KV cache store, as ``index.StoredCopy``."""

    store: Name
    boot_id: Name
    generation: NonNegativeInt
    checksum: str


class LookupReply(msgspec.Struct, frozen=True):
    """Known locations, as ``index.PrefixLocations``."""

    memory: dict[str, int] = {}
    stored: list[list[Copy]] = []


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A block that was added to a source or dropped from it."""

    key: Key
    added: bool
    seq: NonNegativeInt = 0
    generation: NonNegativeInt = 0
    checksum: str = ""


class Batch(msgspec.Struct, frozen=True):
    """Changes at one source; empty if only its boot is reported."""

    id: Name
    boot_id: Name
    is_store: bool
    changes: list[Change] = []


class Appraisal(msgspec.Struct, frozen=True):
    """Prefill time that each block of a prompt is expected to save, in seconds."""

    keys: list[Key]
    value_s: typing.Annotated[float, msgspec.Meta(ge=0, le=1e6)]


class Record(msgspec.Struct, frozen=True):
    """Changes and block values for a shard to record."""

    batches: list[Batch] = []
    appraisals: list[Appraisal] = []


class Recorded(msgspec.Struct, frozen=True):
    """Acknowledges ``Record``."""


LOOKUP = rpc.Method("Lookup", Lookup, LookupReply)
RECORD = rpc.Method("Record", Record, Recorded)


class Shard:
    """The shard of the block index that one node keeps.

    Parameters
    ----------
    limit_bytes : int
        Memory limit of the index.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.index = index.Index(limit_bytes)

    def register(self, peers: ports.Peers) -> None:
        """Register the RPC methods of the shard."""
        peers.register(LOOKUP, self.lookup)
        peers.register(RECORD, self.record)

    def retain(self, instance_ids: collections.abc.Container[str]) -> None:
        """Drop sources that are no longer in the platform's instance list."""
        self.index.retain(instance_ids)

    async def lookup(self, message: Lookup) -> LookupReply:
        """Handle a look-up."""
        locations = self.index.lookup(message.keys, trio.current_time())
        stored = [[_to_message(c) for c in copies] for copies in locations.stored]
        return LookupReply(locations.memory, stored)

    async def record(self, message: Record) -> Recorded:
        """Handle changes and block values."""
        now = trio.current_time()
        for batch in message.batches:
            source = index.Source(batch.id, batch.boot_id, batch.is_store)
            self.index.observe_boot(source)
            for change in batch.changes:
                self.index.apply(_to_event(source, change), now)
        for appraisal in message.appraisals:
            self.index.appraise(appraisal.keys, appraisal.value_s, now)
        return Recorded()


def _to_message(copy: index.StoredCopy) -> Copy:
    return Copy(copy.store, copy.boot_id, copy.generation, copy.checksum)


def _to_locations(reply: LookupReply) -> index.PrefixLocations:
    stored = tuple(
        tuple(
            index.StoredCopy(c.store, c.boot_id, c.generation, c.checksum)
            for c in copies
        )
        for copies in reply.stored
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
    """Return the look-up timeout for a prompt of this many blocks, in seconds."""
    return min(
        MAX_LOOKUP_TIMEOUT_S,
        max(MIN_LOOKUP_TIMEOUT_S, blocks * LOOKUP_TIMEOUT_PER_BLOCK_S),
    )


# Assignment of conversations to nodes


class ShardMap:
    """Assigns each slot of conversations to a node, by rendezvous hashing.

    Caches the owner of each slot, so that a look-up does not hash all nodes, and
    adding or removing a node costs one hash per slot.
    """

    def __init__(self) -> None:
        self._nodes: set[str] = set()
        self._owners: dict[int, tuple[int, str]] = {}

    def update(self, nodes: collections.abc.Iterable[str]) -> set[int]:
        """Set the live nodes; return the cached slots whose owner changed."""
        live_nodes = set(nodes)
        if live_nodes == self._nodes:
            return set()
        added = live_nodes - self._nodes
        removed = self._nodes - live_nodes
        self._nodes = live_nodes
        moved_slots: set[int] = set()
        for slot, owner in list(self._owners.items()):
            if owner[1] in removed:
                del self._owners[slot]
                moved_slots.add(slot)
                continue
            new_owner = max([owner, *(_score_node(slot, n) for n in added)])
            if new_owner != owner:
                self._owners[slot] = new_owner
                moved_slots.add(slot)
        return moved_slots

    def owner(self, slot: int) -> str | None:
        """Return the node that owns a slot; None if no node is known."""
        if slot not in self._owners:
            if not self._nodes:
                return None
            self._owners[slot] = max(_score_node(slot, n) for n in self._nodes)
        return self._owners[slot][1]


def _score_node(slot: int, node: str) -> tuple[int, str]:
    return hashing.rendezvous_score(f"slot{slot}", node), node


def shard_slot_of(key: block.Key) -> int:
    """Return the slot of a block's conversation."""
    return int.from_bytes(key[:2], "big") % SHARD_SLOTS


def feed_reader(instance_id: str, nodes: collections.abc.Iterable[str]) -> str:
    """Return the node that reads an instance's feed.

    While nodes disagree about which nodes are live, two of them or none may read a
    feed, which only costs time.
    """
    return hashing.rank(f"feed {instance_id}", nodes)[0]


# Client of the shards


@dataclasses.dataclass
class _Outbox:
    """Changes and block values queued for one node."""

    changes: dict[index.Source, list[Change]] = dataclasses.field(default_factory=dict)
    appraisals: list[Appraisal] = dataclasses.field(default_factory=list)
    count: int = 0


class Directory:
    """Queries the shards of all nodes and sends them changes in batches.

    Attributes
    ----------
    counts : Counter
        ``lookups``, ``lookup_misses`` (no reply in time), ``changes_dropped``.
    """

    def __init__(self, peers: ports.Peers) -> None:
        self.peers = peers
        self.shards = ShardMap()
        self.counts: collections.Counter[str] = collections.Counter()
        self._outboxes: dict[str, _Outbox] = {}
        self._has_queued = trio.Event()
        self._queued_count = 0

    async def lookup(
        self, keys: collections.abc.Sequence[block.Key]
    ) -> index.PrefixLocations:
        """Return the known locations; none if the shard does not reply in time."""
        if not keys:
            return index.PrefixLocations()
        self.counts["lookups"] += 1
        self.shards.update(self.peers.live())
        owner = self.shards.owner(shard_slot_of(keys[0]))
        if owner is not None:
            message = Lookup(list(keys[:MAX_KEYS]))
            timeout_s = lookup_timeout_s(len(keys))
            with trio.move_on_after(timeout_s):
                reply = await self.peers.call(owner, LOOKUP, message, timeout_s)
                if isinstance(reply, LookupReply):
                    return _to_locations(reply)
        self.counts["lookup_misses"] += 1
        return index.PrefixLocations()

    def record_changes(
        self, source: index.Source, changes: collections.abc.Iterable[Change]
    ) -> None:
        """Queue changes at a source for the shards that index the blocks."""
        for change in changes:
            outbox = self._queue(change.key)
            if outbox is not None:
                outbox.changes.setdefault(source, []).append(change)

    def appraise(
        self, keys: collections.abc.Sequence[block.Key], value_s: float
    ) -> None:
        """Queue the value of a prompt's blocks for the shard of its conversation."""
        outbox = self._queue(keys[0]) if keys else None
        if outbox is not None:
            outbox.appraisals.append(Appraisal(list(keys[:MAX_KEYS]), value_s))

    def announce_boot(self, source: index.Source) -> None:
        """Queue the new boot of a source for all shards."""
        for node in self.peers.live():
            outbox = self._outbox_of(node)
            outbox.changes.setdefault(source, [])

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Send queued changes until cancelled."""
        task_status.started()
        while True:
            await self._has_queued.wait()
            await trio.sleep(FLUSH_INTERVAL_S)
            await self.flush()

    async def flush(self) -> None:
        """Send all queued messages; those that a node does not acknowledge are lost."""
        outboxes, self._outboxes = self._outboxes, {}
        if self._has_queued.is_set():
            self._has_queued = trio.Event()
        self._queued_count = 0
        async with trio.open_nursery() as nursery:
            for node, queued in outboxes.items():
                nursery.start_soon(self._send, node, queued)

    def _queue(self, key: block.Key) -> _Outbox | None:
        self.shards.update(self.peers.live())
        owner = self.shards.owner(shard_slot_of(key))
        if owner is None or self._queued_count >= MAX_QUEUED_CHANGES:
            self.counts["changes_dropped"] += 1
            return None
        self._queued_count += 1
        outbox = self._outbox_of(owner)
        outbox.count += 1
        return outbox

    def _outbox_of(self, node: str) -> _Outbox:
        self._has_queued.set()
        return self._outboxes.setdefault(node, _Outbox())

    async def _send(self, node: str, queued: _Outbox) -> None:
        for message in _split_into_messages(queued):
            reply = await self.peers.call(node, RECORD, message, RECORD_TIMEOUT_S)
            if isinstance(reply, rpc.Unreachable):
                self.counts["changes_dropped"] += queued.count
                LOG.warning(
                    "index_changes_lost",
                    extra={"peer": node, "count": queued.count, "reason": reply.reason},
                )
                return


def _split_into_messages(queued: _Outbox) -> collections.abc.Iterator[Record]:
    """Split what is queued for one node into messages of bounded size."""
    for source, changes in queued.changes.items():
        offsets = range(0, max(1, len(changes)), MAX_BATCH_CHANGES)
        for i in offsets:
            batch_changes = changes[i : i + MAX_BATCH_CHANGES]
            batch = Batch(source.id, source.boot_id, source.is_store, batch_changes)
            yield Record([batch])
    if queued.appraisals:
        yield Record([], queued.appraisals)

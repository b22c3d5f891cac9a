"""One shard of the block index, which maps KV cache blocks to their locations.

Entries are hints. Engines and stores verify the blocks that they read, so a wrong entry
costs time but never leads to a wrong answer.
"""

import collections
import collections.abc
import dataclasses
import heapq
import math

from snipelug_core import block

BYTES_PER_ENTRY = 320
BYTES_PER_LOCATION = 224
"""Memory of an entry and of each of its locations, in bytes.

Both are set above the sizes that ``python -m bench`` measures.
"""

DECAY_S = 86_400.0
"""Time in which the value of an unused entry decays to 1/e, in seconds.

Chosen to be of the order of the time between two uses of a prompt.
"""

DEFAULT_VALUE = 1e-3
"""Value of a block known only from an event feed, in seconds.

Lower than the value of any prompt that a node has recorded.
"""

POSITION_WEIGHT = 1e-6
"""Rank decrease per position, so that a prompt's last blocks are evicted first."""

MAX_LOCATIONS = 6
MAX_TOMBSTONES = 4096
MAX_EARLY_VALUES = 4096
MAX_PAST_BOOTS = 8


@dataclasses.dataclass(frozen=True)
class Source:
    """An engine or a KV cache store, from one start of its process to the next."""

    id: str
    boot_id: str
    is_store: bool = False


@dataclasses.dataclass(frozen=True)
class StoredCopy:
    """A readable copy of a block in a KV cache store.

    Attributes
    ----------
    generation, checksum : int, str
        Expected generation and checksum; a read that finds others is a miss.
    """

    store: str
    boot_id: str
    generation: int
    checksum: str


@dataclasses.dataclass(frozen=True)
class BlockAdded:
    """Event: a source now holds a block.

    Attributes
    ----------
    seq : int
        Sequence number in the source's event feed; 0 if the event is not from a feed.
    """

    source: Source
    key: block.Key
    seq: int = 0
    generation: int = 0
    checksum: str = ""


@dataclasses.dataclass(frozen=True)
class BlockDropped:
    """Event: a source no longer holds a block.

    Attributes
    ----------
    seq : int
        Sequence number in the source's event feed; 0 if the event is a missed read.
    generation : int
        Generation that the missed read expected; a newer copy is kept.
    """

    source: Source
    key: block.Key
    seq: int = 0
    generation: int = 0


@dataclasses.dataclass(frozen=True)
class PrefixLocations:
    """Known locations of a prompt's leading blocks.

    Attributes
    ----------
    memory : dict of str to int
        Number of leading blocks in the memory of each upstream.
    stored : tuple of tuple of Stored
        Copies in stores of each leading block; a block that only upstreams hold
        has none.
    """

    memory: dict[str, int] = dataclasses.field(default_factory=dict)
    stored: tuple[tuple[StoredCopy, ...], ...] = ()

    def prefixes(self) -> dict[str, int]:
        """Return the longest usable prefix at each location, in blocks."""
        lengths = dict(self.memory)
        held = self._stores_at(0)
        for i in range(len(self.stored)):
            held &= self._stores_at(i)
            lengths.update(dict.fromkeys(held, i + 1))
        return lengths

    def _stores_at(self, i: int) -> set[str]:
        return (
            {copy.store for copy in self.stored[i]} if i < len(self.stored) else set()
        )


class _Boot:
    """One boot of a source.

    All places at the source share it, so clearing `alive` invalidates all of them.
    """

    __slots__ = ("alive", "source")

    def __init__(self, source: Source) -> None:
        self.source = source
        self.alive = True


class _Place:
    """Location of a block at one source."""

    __slots__ = ("boot", "checksum", "generation", "seq")

    def __init__(self, boot: _Boot, event: BlockAdded) -> None:
        self.boot = boot
        self.seq = event.seq
        self.generation = event.generation
        self.checksum = event.checksum


class _Entry:
    """All known locations of one block."""

    __slots__ = ("log_value", "places", "rank")

    def __init__(self) -> None:
        self.places: tuple[_Place, ...] = ()
        self.log_value = math.log(DEFAULT_VALUE)
        self.rank = -math.inf


class Index:
    """Index of block locations with bounded memory.

    Parameters
    ----------
    limit_bytes : int
        Memory limit in bytes; the entries of least expected value are evicted.
    decay_s : float
        Time in which the value of an unused entry decays to 1/e, in seconds.
    """

    def __init__(self, limit_bytes: int, decay_s: float = DECAY_S) -> None:
        self.limit_bytes = limit_bytes
        self.decay_s = decay_s
        self._location_count = 0
        self._entries: dict[block.Key, _Entry] = {}
        self._heap: list[tuple[float, block.Key]] = []
        self._boots: dict[str, _Boot] = {}
        self._past_boots: dict[str, collections.deque[str]] = {}
        self._tombstones: collections.OrderedDict[tuple[_Boot, block.Key], int]
        self._tombstones = collections.OrderedDict()
        self._early_values: collections.OrderedDict[block.Key, float]
        self._early_values = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def size_bytes(self) -> int:
        """Estimated memory of all entries, in bytes."""
        entries = len(self._entries) * BYTES_PER_ENTRY
        return entries + self._location_count * BYTES_PER_LOCATION

    def apply(self, event: BlockAdded | BlockDropped, now: float) -> bool:
        """Apply an event, in any order; return whether the index has changed."""
        boot = self._register_boot(event.source)
        if boot is None:
            return False
        if isinstance(event, BlockDropped):
            return self._drop(event, boot)
        return self._add(event, boot, now)

    def observe_boot(self, source: Source) -> None:
        """Record the boot that a load report or store status names."""
        self._register_boot(source)

    def remove_source(self, source_id: str) -> None:
        """Remove a source that no longer exists, with all its locations."""
        boot = self._boots.pop(source_id, None)
        if boot is not None:
            boot.alive = False
        self._past_boots.pop(source_id, None)

    def retain(self, source_ids: collections.abc.Container[str]) -> None:
        """Remove all sources except the given ones."""
        for source_id in [i for i in self._boots if i not in source_ids]:
            self.remove_source(source_id)

    def appraise(
        self, keys: collections.abc.Iterable[block.Key], value: float, now: float
    ) -> None:
        """Set the expected value of a prompt's blocks and mark the blocks as used.

        Parameters
        ----------
        keys : iterable of bytes
            Keys in prompt order.
        value : float
            Expected prefill time that one cached block saves, in seconds.
        now : float
            Time in seconds.
        """
        log_value = math.log(max(value, 1e-12))
        for position, key in enumerate(keys):
            entry = self._entries.get(key)
            if entry is not None:
                entry.log_value = log_value
                self._touch(key, entry, position, now)
            else:
                self._keep_early_value(key, log_value)

    def lookup(
        self,
        keys: collections.abc.Sequence[block.Key],
        now: float,
        mark_used: bool = True,
    ) -> PrefixLocations:
        """Return the known locations of a prompt's leading blocks.

        Parameters
        ----------
        keys : sequence of bytes
            Keys in prompt order.
        now : float
            Time in seconds.
        mark_used : bool
            Whether to mark the entries as used, which delays their eviction. False
            for scans of many prompts, which would make all entries look recent.
        """
        memory: dict[str, int] = {}
        stored: list[tuple[StoredCopy, ...]] = []
        for position, key in enumerate(keys):
            entry = self._entries.get(key)
            if entry is None:
                break
            holders, copies = self._usable(entry)
            contiguous = {u for u in holders if memory.get(u, 0) == position}
            if not contiguous and not copies:
                break
            memory.update(dict.fromkeys(contiguous, position + 1))
            stored.append(copies)
            if mark_used:
                self._touch(key, entry, position, now)
        return PrefixLocations(memory, tuple(stored))

    def least_valuable(
        self,
        store_id: str,
        share: float,
        unreadable: collections.abc.Container[str] = frozenset(),
    ) -> list[BlockAdded]:
        """Return the least valuable copies in a store.

        Each shard returns the same share of the copies that it knows, so that no node
        has to know the value of all blocks in a full store. Redundant copies, which
        are not the oldest readable copy of their block, come first.

        Parameters
        ----------
        store_id : str
            Id of the store.
        share : float
            Share of this shard's copies in the store to return.
        unreadable : container of str
            Stores that cannot be read now. Their copies make no other copy redundant:
            while a zone is out, only the copies outside it can be read.
        """
        boot = self._boots.get(store_id)
        held = [
            (not _is_redundant(entry, place, unreadable), entry.rank, key, place)
            for key, entry in self._entries.items()
            for place in entry.places
            if place.boot is boot
        ]
        count = math.ceil(share * len(held))
        chosen = heapq.nsmallest(count, held, key=lambda item: item[:3])
        return [
            BlockAdded(p.boot.source, key, p.seq, p.generation, p.checksum)
            for _, _, key, p in chosen
        ]

    def _usable(self, entry: _Entry) -> tuple[list[str], tuple[StoredCopy, ...]]:
        holders: list[str] = []
        copies: list[StoredCopy] = []
        for place in entry.places:
            source = place.boot.source
            if not place.boot.alive:
                continue
            if not source.is_store:
                holders.append(source.id)
                continue
            copy = StoredCopy(
                source.id, source.boot_id, place.generation, place.checksum
            )
            copies.append(copy)
        return holders, tuple(copies)

    def _register_boot(self, source: Source) -> _Boot | None:
        """Return the boot of a source; None if a later boot is known."""
        current = self._boots.get(source.id)
        if current is not None and current.source == source:
            return current
        past = self._past_boots.setdefault(
            source.id, collections.deque(maxlen=MAX_PAST_BOOTS)
        )
        if source.boot_id in past:
            return None
        if current is not None:
            current.alive = False
            past.append(current.source.boot_id)
        boot = _Boot(source)
        self._boots[source.id] = boot
        return boot

    def _add(self, event: BlockAdded, boot: _Boot, now: float) -> bool:
        if 0 < event.seq < self._tombstones.get((boot, event.key), 0):
            return False
        entry = self._entries.get(event.key) or _Entry()
        others, known = _split_by_boot(entry, boot)
        if known is not None and not _supersedes(event, known):
            return False
        kept = others[-(MAX_LOCATIONS - 1) :]
        self._set_places(entry, (*kept, _Place(boot, event)))
        if event.key not in self._entries:
            self._entries[event.key] = entry
            entry.log_value = self._early_values.pop(event.key, entry.log_value)
            entry.rank = entry.log_value + now / self.decay_s
            self._push(event.key, entry)
        self._evict()
        return True

    def _drop(self, event: BlockDropped, boot: _Boot) -> bool:
        entry = self._entries.get(event.key)
        others, known = _split_by_boot(entry, boot) if entry else ([], None)
        if event.seq:
            self._add_tombstone(event, boot)
        if entry is None or known is None or (0 < event.seq < known.seq):
            return False
        if 0 < event.generation < known.generation:
            return False
        self._set_places(entry, tuple(others))
        if not others:
            del self._entries[event.key]
        return True

    def _set_places(self, entry: _Entry, places: tuple[_Place, ...]) -> None:
        self._location_count += len(places) - len(entry.places)
        entry.places = places

    def _keep_early_value(self, key: block.Key, log_value: float) -> None:
        """Keep the value of a block whose first event has not arrived yet."""
        self._early_values[key] = log_value
        self._early_values.move_to_end(key)
        while len(self._early_values) > MAX_EARLY_VALUES:
            self._early_values.popitem(last=False)

    def _add_tombstone(self, event: BlockDropped, boot: _Boot) -> None:
        """Record a drop, so that an older addition that arrives later is ignored."""
        name = (boot, event.key)
        self._tombstones[name] = max(event.seq, self._tombstones.pop(name, 0))
        while len(self._tombstones) > MAX_TOMBSTONES:
            self._tombstones.popitem(last=False)

    def _touch(self, key: block.Key, entry: _Entry, position: int, now: float) -> None:
        rank = entry.log_value + now / self.decay_s - position * POSITION_WEIGHT
        has_decreased = rank < entry.rank
        entry.rank = rank
        if has_decreased:
            self._push(key, entry)

    def _push(self, key: block.Key, entry: _Entry) -> None:
        heapq.heappush(self._heap, (entry.rank, key))
        if len(self._heap) > 2 * len(self._entries) + 64:
            self._heap = [(e.rank, k) for k, e in self._entries.items()]
            heapq.heapify(self._heap)

    def _evict(self) -> None:
        # The rank stored in the heap may be outdated but never exceeds the current
        # rank. An entry whose rank has risen is pushed again instead of being evicted.
        while self._entries and self.size_bytes > self.limit_bytes:
            rank, key = heapq.heappop(self._heap)
            entry = self._entries.get(key)
            if entry is None:
                continue
            if entry.rank > rank and any(p.boot.alive for p in entry.places):
                self._push(key, entry)
                continue
            self._set_places(entry, ())
            del self._entries[key]


def _split_by_boot(entry: _Entry, boot: _Boot) -> tuple[list[_Place], _Place | None]:
    """Split an entry's places into the live ones at other boots and that at `boot`."""
    others = [p for p in entry.places if p.boot is not boot and p.boot.alive]
    known = next((p for p in entry.places if p.boot is boot), None)
    return others, known


def _is_redundant(
    entry: _Entry, place: _Place, unreadable: collections.abc.Container[str]
) -> bool:
    """Return whether another store has an older readable copy."""
    first = next(
        p
        for p in entry.places
        if p is place
        or (
            p.boot.alive
            and p.boot.source.is_store
            and p.boot.source.id not in unreadable
        )
    )
    return place is not first


def _supersedes(event: BlockAdded, known: _Place) -> bool:
    # A store keeps the last write. If two nodes export at once, its generation may be
    # the lower one, so only the sequence numbers of the store's feed give the order.
    if event.seq and known.seq:
        return event.seq > known.seq
    if event.generation != known.generation:
        return event.generation > known.generation
    return event.seq > known.seq

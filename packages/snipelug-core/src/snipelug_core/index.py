"""One shard of the block index: where the KV cache of prompts is kept.

Entries are hints. Engines and stores check what they read themselves, so a wrong
entry costs time and never a wrong answer.
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

``python -m bench`` measures both; the constants are set above the measured sizes.
"""

DECAY_S = 86_400.0
"""Time after which an unused entry's value counts as 1/e, in seconds.

Of the order of the gaps before a return.
"""

DEFAULT_VALUE = 1e-3
"""Value of an entry known only from a feed: below that of any recorded prompt."""

POSITION_WEIGHT = 1e-6
"""Lowers the rank of later blocks, so that a prompt loses its end first."""

MAX_LOCATIONS = 6
MAX_TOMBSTONES = 4096
MAX_EARLY_VALUES = 4096
MAX_PAST_BOOTS = 8


@dataclasses.dataclass(frozen=True)
class Source:
    """An engine or store instance during one boot."""

    id: str
    boot_id: str
    is_store: bool = False


@dataclasses.dataclass(frozen=True)
class StoredCopy:
    """A readable copy of a block in a store.

    Attributes
    ----------
    generation, checksum : int, str
        A read that finds others is a miss.
    """

    store: str
    boot_id: str
    generation: int
    checksum: str


@dataclasses.dataclass(frozen=True)
class BlockAdded:
    """A source holds a block.

    Attributes
    ----------
    seq : int
        Number of the event in the source's feed; 0 if it comes from elsewhere.
    """

    source: Source
    key: block.Key
    seq: int = 0
    generation: int = 0
    checksum: str = ""


@dataclasses.dataclass(frozen=True)
class BlockDropped:
    """A source no longer holds a block.

    Attributes
    ----------
    seq : int
        Number of the event in the source's feed; 0 if a read missed.
    generation : int
        Generation that the read expected; a newer one stays.
    """

    source: Source
    key: block.Key
    seq: int = 0
    generation: int = 0


@dataclasses.dataclass(frozen=True)
class PrefixLocations:
    """What is known of a prompt's leading blocks.

    Attributes
    ----------
    memory : dict of str to int
        Number of leading blocks that each upstream holds.
    stored : tuple of tuple of Stored
        Copies in stores of each leading block; a block that only upstreams hold
        has none.
    """

    memory: dict[str, int] = dataclasses.field(default_factory=dict)
    stored: tuple[tuple[StoredCopy, ...], ...] = ()

    def prefixes(self) -> dict[str, int]:
        """Return the longest usable prefix of each location, in blocks."""
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
    """A boot of a source; shared by all places so that one flag ends them all."""

    __slots__ = ("alive", "source")

    def __init__(self, source: Source) -> None:
        self.source = source
        self.alive = True


class _Place:
    """A block at one source."""

    __slots__ = ("boot", "checksum", "generation", "seq")

    def __init__(self, boot: _Boot, event: BlockAdded) -> None:
        self.boot = boot
        self.seq = event.seq
        self.generation = event.generation
        self.checksum = event.checksum


class _Entry:
    """All places of one block."""

    __slots__ = ("log_value", "places", "rank")

    def __init__(self) -> None:
        self.places: tuple[_Place, ...] = ()
        self.log_value = math.log(DEFAULT_VALUE)
        self.rank = -math.inf


class Index:
    """Locations of blocks, bounded in memory.

    Parameters
    ----------
    limit_bytes : int
        Memory allowed, in bytes; entries of the least expected value are evicted.
    decay_s : float
        Time after which an unused entry's value counts as 1/e, in seconds.
    """

    def __init__(self, limit_bytes: int, decay_s: float = DECAY_S) -> None:
        self.limit_bytes = limit_bytes
        self.decay_s = decay_s
        self._locations = 0
        self._entries: dict[block.Key, _Entry] = {}
        self._heap: list[tuple[float, block.Key]] = []
        self._boots: dict[str, _Boot] = {}
        self._past: dict[str, collections.deque[str]] = {}
        self._tombstones: collections.OrderedDict[tuple[_Boot, block.Key], int]
        self._tombstones = collections.OrderedDict()
        self._early: collections.OrderedDict[block.Key, float]
        self._early = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def size_bytes(self) -> int:
        """Memory of all entries, by the sizes measured for one."""
        entries = len(self._entries) * BYTES_PER_ENTRY
        return entries + self._locations * BYTES_PER_LOCATION

    def apply(self, event: BlockAdded | BlockDropped, now: float) -> bool:
        """Apply one event, whatever its order; return whether it changed anything."""
        boot = self._boot(event.source)
        if boot is None:
            return False
        if isinstance(event, BlockDropped):
            return self._drop(event, boot)
        return self._add(event, boot, now)

    def observe_boot(self, source: Source) -> None:
        """Note the boot that a load report or a store's status names."""
        self._boot(source)

    def remove_source(self, source_id: str) -> None:
        """Forget what an instance holds, because it is gone."""
        boot = self._boots.pop(source_id, None)
        if boot is not None:
            boot.alive = False
        self._past.pop(source_id, None)

    def retain(self, source_ids: collections.abc.Container[str]) -> None:
        """Forget the sources that are not among these."""
        for source_id in [i for i in self._boots if i not in source_ids]:
            self.remove_source(source_id)

    def appraise(
        self, keys: collections.abc.Iterable[block.Key], value: float, now: float
    ) -> None:
        """Set the expected value of a prompt's blocks and mark them as used.

        Parameters
        ----------
        keys : iterable of bytes
            Keys in the prompt's order.
        value : float
            Expected seconds saved by a return, per block.
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
                self._keep_early(key, log_value)

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
            Keys in the prompt's order.
        now : float
            Time in seconds.
        mark_used : bool
            Whether the look-up is for a request and keeps the entries longer; a
            scan over many prompts would make them all look recent.
        """
        memory: dict[str, int] = {}
        stored: list[tuple[StoredCopy, ...]] = []
        for position, key in enumerate(keys):
            entry = self._entries.get(key)
            if entry is None:
                break
            holders, copies = self._usable(entry)
            reached = {u for u in holders if memory.get(u, 0) == position}
            if not reached and not copies:
                break
            memory.update(dict.fromkeys(reached, position + 1))
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
        """Return the copies in a store that are worth the least.

        Each shard frees the same share of what it knows, so that a full store gets
        room without an owner that would have to know the value of all blocks. Copies
        that are not a block's oldest readable one go first.

        Parameters
        ----------
        store_id : str
            The store.
        share : float
            Share of this shard's copies in that store to return.
        unreadable : container of str
            Stores that cannot be read now. A copy is not spare because of one there:
            while a zone is out, the copies outside it are all that is left.
        """
        boot = self._boots.get(store_id)
        held = [
            (not _is_spare(entry, place, unreadable), entry.rank, key, place)
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

    def _boot(self, source: Source) -> _Boot | None:
        """Return the boot of a source; None if a later one is known."""
        current = self._boots.get(source.id)
        if current is not None and current.source == source:
            return current
        past = self._past.setdefault(
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
        others, known = _split(entry, boot)
        if known is not None and not _supersedes(event, known):
            return False
        kept = others[-(MAX_LOCATIONS - 1) :]
        self._place(entry, (*kept, _Place(boot, event)))
        if event.key not in self._entries:
            self._entries[event.key] = entry
            entry.log_value = self._early.pop(event.key, entry.log_value)
            entry.rank = entry.log_value + now / self.decay_s
            self._push(event.key, entry)
        self._evict()
        return True

    def _drop(self, event: BlockDropped, boot: _Boot) -> bool:
        entry = self._entries.get(event.key)
        others, known = _split(entry, boot) if entry else ([], None)
        if event.seq:
            self._bury(event, boot)
        if entry is None or known is None or (0 < event.seq < known.seq):
            return False
        if 0 < event.generation < known.generation:
            return False
        self._place(entry, tuple(others))
        if not others:
            del self._entries[event.key]
        return True

    def _place(self, entry: _Entry, places: tuple[_Place, ...]) -> None:
        self._locations += len(places) - len(entry.places)
        entry.places = places

    def _keep_early(self, key: block.Key, log_value: float) -> None:
        """Remember the value of a block whose first event is still on its way."""
        self._early[key] = log_value
        self._early.move_to_end(key)
        while len(self._early) > MAX_EARLY_VALUES:
            self._early.popitem(last=False)

    def _bury(self, event: BlockDropped, boot: _Boot) -> None:
        """Remember a drop, so that an older addition that comes later is ignored."""
        name = (boot, event.key)
        self._tombstones[name] = max(event.seq, self._tombstones.pop(name, 0))
        while len(self._tombstones) > MAX_TOMBSTONES:
            self._tombstones.popitem(last=False)

    def _touch(self, key: block.Key, entry: _Entry, position: int, now: float) -> None:
        rank = entry.log_value + now / self.decay_s - position * POSITION_WEIGHT
        has_fallen = rank < entry.rank
        entry.rank = rank
        if has_fallen:
            self._push(key, entry)

    def _push(self, key: block.Key, entry: _Entry) -> None:
        heapq.heappush(self._heap, (entry.rank, key))
        if len(self._heap) > 2 * len(self._entries) + 64:
            self._heap = [(e.rank, k) for k, e in self._entries.items()]
            heapq.heapify(self._heap)

    def _evict(self) -> None:
        # An entry's rank in the heap may be out of date, but never above its rank
        # now. One that has risen is pushed again instead of being evicted.
        while self._entries and self.size_bytes > self.limit_bytes:
            rank, key = heapq.heappop(self._heap)
            entry = self._entries.get(key)
            if entry is None:
                continue
            if entry.rank > rank and any(p.boot.alive for p in entry.places):
                self._push(key, entry)
                continue
            self._place(entry, ())
            del self._entries[key]


def _split(entry: _Entry, boot: _Boot) -> tuple[list[_Place], _Place | None]:
    """Separate the place at one boot from the other places that are alive."""
    others = [p for p in entry.places if p.boot is not boot and p.boot.alive]
    known = next((p for p in entry.places if p.boot is boot), None)
    return others, known


def _is_spare(
    entry: _Entry, place: _Place, unreadable: collections.abc.Container[str]
) -> bool:
    """Return whether another store has an older copy that can be read."""
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
    # A store keeps the last write, whose generation may be lower when two nodes
    # export at once. Only its feed knows the order.
    if event.seq and known.seq:
        return event.seq > known.seq
    if event.generation != known.generation:
        return event.generation > known.generation
    return event.seq > known.seq

"""Where copies of cached blocks are kept, by the expected value of a return."""

import collections
import collections.abc
import dataclasses
import enum
import math
import types

from snipelug_core import block, hashing, index, route

PRIOR_RETURNS = 1.0
PRIOR_ANSWERS = 4.0
"""A team without history counts as returning once in four answers."""

TURN_BUCKETS = 3
"""Prompts are told apart by earlier turns: none, one, more."""

LONG_BLOCKS = 2
"""Prompts of at least this many blocks are counted apart from short questions."""

SECOND_COPY_RESERVE = 0.5
"""Share of a link's saved-up budget that second copies leave to first ones."""

MAX_LINK_WAIT_S = 0.4
"""Expected wait on a link above which exports leave it to reads, in seconds.

A request waits for its reads, and nothing waits for an export.
"""

MIN_PRICE_S = 1e-3
"""Expected seconds saved per block below which an export is not worth a write."""

FULL_PRICE_S = 1.0
"""Expected seconds saved per block that the last free bytes of a store cost."""

SCARCE_SHARE = 0.07
"""Free share of a store below which the price rises from the lowest to the highest.

A full store loses its least valuable blocks (`Index.least_valuable`) before the price
reaches the value of common prompts. A price that rose earlier would reject new prompts
in favor of old ones of the same value.
"""

SECOND_SCARCE_SHARE = 0.5
"""The same for second copies, which only use space to spare."""

RESERVE_SHARE = 0.02
"""Free share of a store below which nothing is placed there."""


# Probability of a return.


@dataclasses.dataclass
class _Count:
    answers: float = 0.0
    returns: float = 0.0


class ReuseEstimator:
    """Estimate how likely a prompt comes back, per team, turns and length.

    Parameters
    ----------
    half_life : int
        Answers of a team after which older ones count half.
    """

    def __init__(self, half_life: int = 2000) -> None:
        self._keep = 0.5 ** (1 / half_life)
        self._counts: dict[tuple[str, int, bool], _Count] = {}

    def observe(self, team: str, turns: int, blocks: int) -> None:
        """Count a prompt of some blocks with a number of earlier turns.

        A prompt with earlier turns is the return of the previous one.
        """
        count = self._count(team, turns, blocks)
        count.answers = count.answers * self._keep + 1
        count.returns *= self._keep
        if turns > 0:
            self._count(team, turns - 1, blocks).returns += 1

    def probability(self, team: str, turns: int, blocks: int) -> float:
        """Return the estimated probability that the prompt comes back."""
        count = self._count(team, turns, blocks)
        share = PRIOR_RETURNS + count.returns
        return min(1.0, share / (PRIOR_ANSWERS + count.answers))

    def forget(self, teams: collections.abc.Container[str]) -> None:
        """Drop teams that no longer have a contract."""
        self._counts = {k: v for k, v in self._counts.items() if k[0] not in teams}

    def _count(self, team: str, turns: int, blocks: int) -> _Count:
        bucket = (team, min(turns, TURN_BUCKETS - 1), blocks >= LONG_BLOCKS)
        return self._counts.setdefault(bucket, _Count())


# Link budgets.


class TokenBucket:
    """A token bucket for the bytes that may use one link.

    Parameters
    ----------
    rate : float
        Bytes per second.
    burst : float
        Most bytes saved up.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._level = burst
        self._at: float | None = None

    def available(self, now: float) -> float:
        """Return the bytes that may be sent now."""
        if self._at is not None:
            gained = max(0.0, now - self._at) * self.rate
            self._level = min(self.burst, self._level + gained)
        self._at = now if self._at is None else max(now, self._at)
        return self._level

    def consume(self, size_bytes: float, now: float, reserve: float = 0.0) -> bool:
        """Use up bytes if they are available.

        More than the burst is allowed when the bucket is full and leaves a debt;
        a transfer of that size could otherwise never start.

        Parameters
        ----------
        size_bytes : float
            Bytes to use.
        now : float
            Time in seconds.
        reserve : float
            Share of the burst that must remain.
        """
        needed = min(size_bytes + reserve * self.burst, self.burst)
        if self.available(now) < needed:
            return False
        self._level -= size_bytes
        return True


# Stores.


@dataclasses.dataclass(frozen=True)
class Store:
    """A store instance as last seen.

    Attributes
    ----------
    alive : bool
        Whether it answered its last status request.
    free_bytes, size_bytes : float
        Over all tiers.
    """

    id: str
    zone: str
    boot_id: str
    alive: bool = True
    free_bytes: float = 0.0
    size_bytes: float = 0.0

    def price_s(self, is_second: bool = False) -> float:
        """Return the expected seconds that a block must save to get a place.

        The price rises as the store fills, so that the last space is kept for
        the prompts that save the most.

        Parameters
        ----------
        is_second : bool
            Whether another zone has a copy.
        """
        scarce_share = SECOND_SCARCE_SHARE if is_second else SCARCE_SHARE
        free = self.free_bytes / self.size_bytes if self.size_bytes > 0 else 0.0
        scarcity = max(0.0, 1 - free / scarce_share)
        return MIN_PRICE_S * math.pow(FULL_PRICE_S / MIN_PRICE_S, scarcity)


@dataclasses.dataclass(frozen=True)
class Prompt:
    """An answered prompt whose blocks an engine holds.

    Attributes
    ----------
    chance : float
        Probability of a return (`ReuseEstimator.probability`).
    block_s : float
        Prefill of one block, in seconds.
    found : index.PrefixLocations
        Copies that the index knows.
    in_transit : frozenset of (str, int)
        Stores and positions of blocks that are on their way there.
    """

    chain: block.Chain
    team: str
    upstream: str
    zone: str
    chance: float
    block_s: float
    block_bytes: float
    found: index.PrefixLocations = index.PrefixLocations()
    in_transit: frozenset[tuple[str, int]] = frozenset()

    @property
    def value_s(self) -> float:
        """Expected seconds that one block saves."""
        return self.chance * self.block_s


class Reason(enum.StrEnum):
    """Why blocks are or are not placed in a store."""

    PLACED = "placed"
    PARTLY = "partly_placed"
    THERE = "already_there"
    DEAD = "store_dead"
    FULL = "store_full"
    LEAVING = "zone_leaving"
    VALUE = "value_below_price"
    BUDGET = "link_budget"
    BUSY = "link_busy"
    NO_SOURCE = "no_readable_copy"


@dataclasses.dataclass(frozen=True)
class Export:
    """Order an engine to write blocks to a store."""

    upstream: str
    store: str
    positions: tuple[int, ...]
    keys: tuple[block.Key, ...]


@dataclasses.dataclass(frozen=True)
class StoreDecision:
    """One store's part in a decision."""

    store: str
    reason: Reason
    price_s: float
    value_s: float


@dataclasses.dataclass(frozen=True)
class Placement:
    """The exports of one prompt, and how each store was judged."""

    exports: tuple[Export, ...]
    decisions: tuple[StoreDecision, ...]


Budgets = collections.abc.Mapping[tuple[str, str], TokenBucket]
"""Budget of each link, by store and engine zone."""


def place(
    prompt: Prompt,
    stores: collections.abc.Iterable[Store],
    budgets: Budgets,
    mode: route.Mode,
    zones_out: collections.abc.Set[str],
    now: float,
    waits: collections.abc.Mapping[str, float] = types.MappingProxyType({}),
) -> Placement:
    """Decide which blocks of a prompt to export, and to which stores.

    The first copy goes to the first store that takes it, the engine's own zone
    first. A second copy goes to another zone if its value, weighted by the mode's
    spread, still exceeds the price there. A store whose link has a longer expected
    wait, in seconds, than `MAX_LINK_WAIT_S` takes nothing now.
    """
    exports: list[Export] = []
    decisions: list[StoreDecision] = []
    zones_with_copy: set[str] = set()
    for store in _order(prompt, stores):
        is_second = bool(zones_with_copy)
        if is_second and store.zone in zones_with_copy:
            continue
        if len(zones_with_copy) == 2:
            break
        weight = mode.second_copy if is_second else 1.0
        value_s = prompt.value_s * weight
        reserve = SECOND_COPY_RESERVE if is_second else 0.0
        wanted = _missing(prompt, store)
        price_s = store.price_s(is_second)
        reason, fitting = _judge(prompt, store, wanted, value_s >= price_s, zones_out)
        positions: tuple[int, ...] = ()
        if reason is Reason.PLACED and waits.get(store.id, 0.0) > MAX_LINK_WAIT_S:
            reason = Reason.BUSY
        if reason is Reason.PLACED:
            bucket = budgets.get((store.id, prompt.zone))
            reason, positions = _spend(prompt, wanted, fitting, bucket, reserve, now)
        decisions.append(StoreDecision(store.id, reason, price_s, value_s))
        if reason in (Reason.PLACED, Reason.PARTLY, Reason.THERE):
            zones_with_copy.add(store.zone)
        if positions:
            keys = tuple(prompt.chain.keys[i] for i in positions)
            exports.append(Export(prompt.upstream, store.id, positions, keys))
    return Placement(tuple(exports), tuple(decisions))


def _order(
    prompt: Prompt, stores: collections.abc.Iterable[Store]
) -> collections.abc.Iterator[Store]:
    """Yield stores with part of the prompt first, then the own zone, then others.

    Within a zone the conversation ranks the stores, so that its blocks stay together.
    """
    held = collections.Counter(store for store, _ in prompt.in_transit)
    held.update(prompt.found.prefixes())
    by_id = {s.id: s for s in stores}
    ranked = hashing.rank(prompt.chain.conversation, by_id)
    ordered = sorted(ranked, key=lambda i: (-held[i], by_id[i].zone != prompt.zone))
    return (by_id[i] for i in ordered)


def _missing(prompt: Prompt, store: Store) -> list[int]:
    held = {
        position
        for position, copies in enumerate(prompt.found.stored)
        if any(c.store == store.id and c.boot_id == store.boot_id for c in copies)
    }
    held.update(position for s, position in prompt.in_transit if s == store.id)
    return [i for i in range(len(prompt.chain.keys)) if i not in held]


def _judge(
    prompt: Prompt,
    store: Store,
    wanted: list[int],
    is_worth_it: bool,
    zones_out: collections.abc.Set[str],
) -> tuple[Reason, int]:
    """Return whether a store takes blocks, and how many fit."""
    if not store.alive:
        return Reason.DEAD, 0
    if store.zone in zones_out:
        return Reason.LEAVING, 0
    if not wanted:
        return Reason.THERE, 0
    room = store.free_bytes - RESERVE_SHARE * store.size_bytes
    fitting = int(room // prompt.block_bytes) if prompt.block_bytes > 0 else 0
    if fitting <= 0:
        return Reason.FULL, 0
    if not is_worth_it:
        return Reason.VALUE, 0
    return Reason.PLACED, fitting


def _spend(
    prompt: Prompt,
    wanted: list[int],
    fitting: int,
    bucket: TokenBucket | None,
    reserve: float,
    now: float,
) -> tuple[Reason, tuple[int, ...]]:
    """Return the positions that the link's budget allows.

    Later blocks are useless without the earlier ones, so the end is left out.
    """
    allowed = 0
    while bucket and allowed < min(fitting, len(wanted)):
        if not bucket.consume(prompt.block_bytes, now, reserve):
            break
        allowed += 1
    if allowed == 0:
        return Reason.BUDGET, ()
    reason = Reason.PLACED if allowed == len(wanted) else Reason.PARTLY
    return reason, tuple(wanted[:allowed])


WAIT_S = 20.0
"""Time after which an engine is expected to have evicted a waiting prompt."""

MAX_WAITING = 512


class ExportQueue:
    """Prompts whose export waits for link budget, the most valuable first.

    A link that is busy when an answer ends is often free some seconds later, while
    the engine still holds the blocks.
    """

    def __init__(self, wait_s: float = WAIT_S, limit: int = MAX_WAITING) -> None:
        self.wait_s = wait_s
        self.limit = limit
        self._prompts: dict[str, tuple[Prompt, float]] = {}

    def __len__(self) -> int:
        return len(self._prompts)

    def add(self, prompt: Prompt, now: float) -> None:
        """Add a prompt; a newer one of the same conversation replaces it."""
        self._prompts[prompt.chain.conversation] = (prompt, now + self.wait_s)
        if len(self._prompts) > self.limit:
            least = min(self._prompts, key=lambda c: (self._value(c), c))
            del self._prompts[least]

    def due(self, now: float) -> list[Prompt]:
        """Return what still waits, in order of value."""
        self._prompts = {c: p for c, p in self._prompts.items() if p[1] > now}
        order = sorted(self._prompts, key=lambda c: (-self._value(c), c))
        return [self._prompts[c][0] for c in order]

    def remove(self, prompt: Prompt) -> None:
        """Remove a prompt that was placed, or that no store will take."""
        self._prompts.pop(prompt.chain.conversation, None)

    def _value(self, conversation: str) -> float:
        return self._prompts[conversation][0].value_s


def with_in_transit(prompt: Prompt, placed: Placement) -> Prompt:
    """Note exports, so that they are not ordered again before the index hears."""
    new = {(e.store, position) for e in placed.exports for position in e.positions}
    return dataclasses.replace(prompt, in_transit=prompt.in_transit | new)


def is_retryable(placed: Placement) -> bool:
    """Return whether only a link's budget or wait keeps blocks from a store."""
    passing = (Reason.BUDGET, Reason.BUSY, Reason.PARTLY)
    return any(j.reason in passing for j in placed.decisions)


def record(prompt: Prompt, placement: Placement, request_id: str) -> dict[str, object]:
    """Return the fields of the log line of one placement decision."""
    return {
        "event": "place",
        "request": request_id,
        "team": prompt.team,
        "conversation": prompt.chain.conversation,
        "upstream": prompt.upstream,
        "chance": round(prompt.chance, 4),
        "value_s": round(prompt.value_s, 6),
        "exports": {e.store: len(e.keys) for e in placement.exports},
        "stores": [_judged_fields(j) for j in placement.decisions],
    }


def _judged_fields(decisions: StoreDecision) -> dict[str, object]:
    return {
        "store": decisions.store,
        "reason": decisions.reason.value,
        "price_s": round(decisions.price_s, 6),
        "value_s": round(decisions.value_s, 6),
    }


# Planned moves of a zone.


@dataclasses.dataclass(frozen=True)
class CachedConversation:
    """A conversation whose blocks are in a zone that leaves.

    Attributes
    ----------
    value_s : float
        Expected seconds that one of its blocks saves.
    upstreams : tuple of str
        Engines of the zone that hold all the blocks in memory.
    copies : tuple of tuple of index.StoredCopy
        Copies in stores of each block, in the prompt's order.
    """

    conversation: str
    keys: tuple[block.Key, ...]
    value_s: float
    block_bytes: float
    upstreams: tuple[str, ...] = ()
    copies: tuple[tuple[index.StoredCopy, ...], ...] = ()


@dataclasses.dataclass(frozen=True)
class Move:
    """Order an engine of the zone to copy blocks to a store outside.

    Attributes
    ----------
    imports : tuple of route.Fetch
        Blocks that the engine reads first because it does not hold them.
    """

    conversation: str
    upstream: str
    imports: tuple[route.Fetch, ...]
    export: Export
    value_s: float


@dataclasses.dataclass(frozen=True)
class PostponedMove:
    """A conversation that is not copied now, and why."""

    conversation: str
    reason: Reason


def plan_move(
    zone: str,
    held: collections.abc.Iterable[CachedConversation],
    stores: collections.abc.Iterable[Store],
    engines: collections.abc.Sequence[str],
    budgets: Budgets,
    zones_out: collections.abc.Set[str],
    now: float,
) -> collections.abc.Iterator[Move | PostponedMove]:
    """Yield the copies that leave a zone, the highest expected return first.

    Call again with what was postponed for lack of budget. Conversations with a
    complete copy outside the zone are left out.

    Parameters
    ----------
    zone : str
        Zone that leaves.
    held : iterable of Held
        Conversations with blocks in the zone.
    stores : iterable of Store
        All stores.
    engines : sequence of str
        Engines of the zone that can carry out copies.
    budgets : mapping of (str, str) to Bucket
        Budget of each link from an engine zone to a store.
    zones_out : set of str
        Zones that take no copies.
    now : float
        Time in seconds.
    """
    usable = [s for s in stores if s.alive and s.zone not in {zone, *zones_out}]
    room = {s.id: s.free_bytes - RESERVE_SHARE * s.size_bytes for s in usable}
    boots = {s.id: s.boot_id for s in usable}
    for item in sorted(held, key=lambda h: (-h.value_s, h.conversation)):
        wanted = _not_outside(item, boots)
        if not wanted:
            continue
        yield _move(zone, item, wanted, room, engines, budgets, now)


def _not_outside(item: CachedConversation, boots: dict[str, str]) -> list[int]:
    outside = {
        position
        for position, copies in enumerate(item.copies)
        if any(boots.get(c.store) == c.boot_id for c in copies)
    }
    return [i for i in range(len(item.keys)) if i not in outside]


def _move(
    zone: str,
    item: CachedConversation,
    wanted: list[int],
    room: dict[str, float],
    engines: collections.abc.Sequence[str],
    budgets: Budgets,
    now: float,
) -> Move | PostponedMove:
    if not room:
        return PostponedMove(item.conversation, Reason.DEAD)
    carriers = [e for e in item.upstreams if e in engines]
    imports: tuple[route.Fetch, ...] = ()
    if not carriers:
        carriers = list(engines)
        imports = tuple(_readable(item, wanted))
        wanted = [fetch.position for fetch in imports]
    if not carriers or not wanted:
        return PostponedMove(item.conversation, Reason.NO_SOURCE)
    size_bytes = len(wanted) * item.block_bytes
    fitting = [s for s in room if room[s] >= size_bytes]
    if not fitting:
        return PostponedMove(item.conversation, Reason.FULL)
    for store_id in hashing.rank(item.conversation, fitting):
        bucket = budgets.get((store_id, zone))
        if bucket is None or not bucket.consume(size_bytes, now):
            continue
        room[store_id] -= size_bytes
        upstream = hashing.rank(item.conversation, carriers)[0]
        keys = tuple(item.keys[i] for i in wanted)
        export = Export(upstream, store_id, tuple(wanted), keys)
        return Move(item.conversation, upstream, imports, export, item.value_s)
    return PostponedMove(item.conversation, Reason.BUDGET)


def _readable(
    item: CachedConversation, wanted: list[int]
) -> collections.abc.Iterator[route.Fetch]:
    """Yield reads of the wanted blocks up to the first without a copy."""
    for position in wanted:
        copies = item.copies[position] if position < len(item.copies) else ()
        if not copies:
            return
        yield route.Fetch(position, copies[0])


def record_move(zone: str, step: Move | PostponedMove) -> dict[str, object]:
    """Return the fields of the log line of one step of a zone's move."""
    fields: dict[str, object] = {
        "event": "move",
        "zone": zone,
        "conversation": step.conversation,
    }
    if isinstance(step, PostponedMove):
        return fields | {"reason": step.reason.value}
    return fields | {
        "reason": Reason.PLACED.value,
        "upstream": step.upstream,
        "store": step.export.store,
        "blocks": len(step.export.keys),
        "imported_first": len(step.imports),
        "value_s": round(step.value_s, 6),
    }

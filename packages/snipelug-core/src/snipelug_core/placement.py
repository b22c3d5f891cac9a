"""Where copies of cached blocks are kept, by the expected value of a return."""

import collections.abc
import dataclasses
import enum
import math

from snipelug_core import block, hashing, index, route

PRIOR_RETURNS = 1.0
PRIOR_ANSWERS = 4.0
"""A team without history counts as returning once in four answers."""

TURN_BUCKETS = 3
"""Prompts are told apart by earlier turns: none, one, more."""

MIN_PRICE_S = 1e-3
"""Expected seconds saved per block below which an export is not worth a write."""

FULL_PRICE_S = 1.0
"""Expected seconds saved per block that the last free bytes of a store cost."""

RESERVE_SHARE = 0.02
"""Free share of a store below which nothing is placed there."""


# Probability of a return.


@dataclasses.dataclass
class _Count:
    answers: float = 0.0
    returns: float = 0.0


class Returns:
    """Estimate how likely a prompt comes back, per team and number of turns.

    Parameters
    ----------
    half_life : int
        Answers of a team after which older ones count half.
    """

    def __init__(self, half_life: int = 2000) -> None:
        self._keep = 0.5 ** (1 / half_life)
        self._counts: dict[tuple[str, int], _Count] = {}

    def observe(self, team: str, turns: int) -> None:
        """Count an answer to a prompt with a number of earlier turns.

        A prompt with earlier turns is the return of the previous one.
        """
        count = self._count(team, turns)
        count.answers = count.answers * self._keep + 1
        count.returns *= self._keep
        if turns > 0:
            self._count(team, turns - 1).returns += 1

    def probability(self, team: str, turns: int) -> float:
        """Return the estimated probability that the prompt comes back."""
        count = self._count(team, turns)
        share = PRIOR_RETURNS + count.returns
        return min(1.0, share / (PRIOR_ANSWERS + count.answers))

    def forget(self, teams: collections.abc.Container[str]) -> None:
        """Drop teams that no longer have a contract."""
        self._counts = {k: v for k, v in self._counts.items() if k[0] not in teams}

    def _count(self, team: str, turns: int) -> _Count:
        bucket = min(turns, TURN_BUCKETS - 1)
        return self._counts.setdefault((team, bucket), _Count())


# Link budgets.


class Bucket:
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

    def take(self, size_bytes: float, now: float) -> bool:
        """Use up bytes if they are available.

        More than the burst is allowed when the bucket is full and leaves a debt;
        a transfer of that size could otherwise never start.
        """
        if self.available(now) < min(size_bytes, self.burst):
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

    def price_s(self) -> float:
        """Return the expected seconds that a block must save to get a place.

        The price rises as the store fills, so that the last space is kept for
        the prompts that save the most.
        """
        free = self.free_bytes / self.size_bytes if self.size_bytes > 0 else 0.0
        scarcity = max(0.0, 1 - 2 * free)
        return MIN_PRICE_S * math.pow(FULL_PRICE_S / MIN_PRICE_S, scarcity)


@dataclasses.dataclass(frozen=True)
class Prompt:
    """An answered prompt whose blocks an engine holds.

    Attributes
    ----------
    chance : float
        Probability of a return (`Returns.probability`).
    block_s : float
        Prefill of one block, in seconds.
    found : index.Found
        Copies known before the answer.
    """

    chain: block.Chain
    team: str
    upstream: str
    zone: str
    chance: float
    block_s: float
    block_bytes: float
    found: index.Found = index.Found()

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
    NO_SOURCE = "no_readable_copy"


@dataclasses.dataclass(frozen=True)
class Export:
    """Order an engine to write blocks to a store."""

    upstream: str
    store: str
    positions: tuple[int, ...]
    keys: tuple[block.Key, ...]


@dataclasses.dataclass(frozen=True)
class Judged:
    """One store's part in a decision."""

    store: str
    reason: Reason
    price_s: float
    value_s: float


@dataclasses.dataclass(frozen=True)
class Placement:
    """The exports of one prompt, and how each store was judged."""

    exports: tuple[Export, ...]
    judged: tuple[Judged, ...]


Budgets = collections.abc.Mapping[tuple[str, str], Bucket]
"""Budget of each link, by store and engine zone."""


def place(
    prompt: Prompt,
    stores: collections.abc.Iterable[Store],
    budgets: Budgets,
    mode: route.Mode,
    zones_out: collections.abc.Set[str],
    now: float,
) -> Placement:
    """Decide which blocks of a prompt to export, and to which stores.

    The first copy goes to the first store that takes it, the engine's own zone
    first. A second copy goes to another zone if its value, weighted by the mode's
    spread, still exceeds the price there.
    """
    exports: list[Export] = []
    judged: list[Judged] = []
    zones_with_copy: set[str] = set()
    for store in _order(prompt, stores):
        is_second = bool(zones_with_copy)
        if is_second and store.zone in zones_with_copy:
            continue
        if len(zones_with_copy) == 2:
            break
        weight = mode.spread if is_second else 1.0
        value_s = prompt.value_s * weight
        wanted = _missing(prompt, store)
        reason, positions = _judge(
            prompt, store, wanted, value_s, budgets, zones_out, now
        )
        judged.append(Judged(store.id, reason, store.price_s(), value_s))
        if reason in (Reason.PLACED, Reason.PARTLY, Reason.THERE):
            zones_with_copy.add(store.zone)
        if positions:
            keys = tuple(prompt.chain.keys[i] for i in positions)
            exports.append(Export(prompt.upstream, store.id, positions, keys))
    return Placement(tuple(exports), tuple(judged))


def _order(
    prompt: Prompt, stores: collections.abc.Iterable[Store]
) -> collections.abc.Iterator[Store]:
    """Yield stores with part of the prompt first, then the own zone, then others.

    Within a zone the conversation ranks the stores, so that its blocks stay together.
    """
    held = prompt.found.prefixes()
    by_id = {s.id: s for s in stores}
    ranked = hashing.rank(prompt.chain.conversation, by_id)
    ordered = sorted(
        ranked, key=lambda i: (-held.get(i, 0), by_id[i].zone != prompt.zone)
    )
    return (by_id[i] for i in ordered)


def _missing(prompt: Prompt, store: Store) -> list[int]:
    held = {
        position
        for position, copies in enumerate(prompt.found.stored)
        if any(c.store == store.id and c.boot_id == store.boot_id for c in copies)
    }
    return [i for i in range(len(prompt.chain.keys)) if i not in held]


def _judge(
    prompt: Prompt,
    store: Store,
    wanted: list[int],
    value_s: float,
    budgets: Budgets,
    zones_out: collections.abc.Set[str],
    now: float,
) -> tuple[Reason, tuple[int, ...]]:
    """Return the reason and the positions that fit, from the start of the prompt."""
    if not store.alive:
        return Reason.DEAD, ()
    if store.zone in zones_out:
        return Reason.LEAVING, ()
    if not wanted:
        return Reason.THERE, ()
    room = store.free_bytes - RESERVE_SHARE * store.size_bytes
    fitting = int(room // prompt.block_bytes) if prompt.block_bytes > 0 else 0
    if fitting <= 0:
        return Reason.FULL, ()
    if value_s < store.price_s():
        return Reason.VALUE, ()
    bucket = budgets.get((store.id, prompt.zone))
    # Later blocks are useless without the earlier ones, so the end is left out.
    allowed = 0
    while bucket and allowed < min(fitting, len(wanted)):
        if not bucket.take(prompt.block_bytes, now):
            break
        allowed += 1
    if allowed == 0:
        return Reason.BUDGET, ()
    reason = Reason.PLACED if allowed == len(wanted) else Reason.PARTLY
    return reason, tuple(wanted[:allowed])


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
        "stores": [_judged_fields(j) for j in placement.judged],
    }


def _judged_fields(judged: Judged) -> dict[str, object]:
    return {
        "store": judged.store,
        "reason": judged.reason.value,
        "price_s": round(judged.price_s, 6),
        "value_s": round(judged.value_s, 6),
    }


# Planned moves of a zone.


@dataclasses.dataclass(frozen=True)
class Held:
    """A conversation whose blocks are in a zone that leaves.

    Attributes
    ----------
    value_s : float
        Expected seconds that one of its blocks saves.
    upstreams : tuple of str
        Engines of the zone that hold all the blocks in memory.
    copies : tuple of tuple of index.Stored
        Copies in stores of each block, in the prompt's order.
    """

    conversation: str
    keys: tuple[block.Key, ...]
    value_s: float
    block_bytes: float
    upstreams: tuple[str, ...] = ()
    copies: tuple[tuple[index.Stored, ...], ...] = ()


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
class Postponed:
    """A conversation that is not copied now, and why."""

    conversation: str
    reason: Reason


def plan_move(
    zone: str,
    held: collections.abc.Iterable[Held],
    stores: collections.abc.Iterable[Store],
    engines: collections.abc.Sequence[str],
    budgets: Budgets,
    zones_out: collections.abc.Set[str],
    now: float,
) -> collections.abc.Iterator[Move | Postponed]:
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


def _not_outside(item: Held, boots: dict[str, str]) -> list[int]:
    outside = {
        position
        for position, copies in enumerate(item.copies)
        if any(boots.get(c.store) == c.boot_id for c in copies)
    }
    return [i for i in range(len(item.keys)) if i not in outside]


def _move(
    zone: str,
    item: Held,
    wanted: list[int],
    room: dict[str, float],
    engines: collections.abc.Sequence[str],
    budgets: Budgets,
    now: float,
) -> Move | Postponed:
    if not room:
        return Postponed(item.conversation, Reason.DEAD)
    carriers = [e for e in item.upstreams if e in engines]
    imports: tuple[route.Fetch, ...] = ()
    if not carriers:
        carriers = list(engines)
        imports = tuple(_readable(item, wanted))
        wanted = [fetch.position for fetch in imports]
    if not carriers or not wanted:
        return Postponed(item.conversation, Reason.NO_SOURCE)
    size_bytes = len(wanted) * item.block_bytes
    fitting = [s for s in room if room[s] >= size_bytes]
    if not fitting:
        return Postponed(item.conversation, Reason.FULL)
    for store_id in hashing.rank(item.conversation, fitting):
        bucket = budgets.get((store_id, zone))
        if bucket is None or not bucket.take(size_bytes, now):
            continue
        room[store_id] -= size_bytes
        upstream = hashing.rank(item.conversation, carriers)[0]
        keys = tuple(item.keys[i] for i in wanted)
        export = Export(upstream, store_id, tuple(wanted), keys)
        return Move(item.conversation, upstream, imports, export, item.value_s)
    return Postponed(item.conversation, Reason.BUDGET)


def _readable(item: Held, wanted: list[int]) -> collections.abc.Iterator[route.Fetch]:
    """Yield reads of the wanted blocks up to the first without a copy."""
    for position in wanted:
        copies = item.copies[position] if position < len(item.copies) else ()
        if not copies:
            return
        yield route.Fetch(position, copies[0])


def record_move(zone: str, step: Move | Postponed) -> dict[str, object]:
    """Return the fields of the log line of one step of a zone's move."""
    fields: dict[str, object] = {
        "event": "move",
        "zone": zone,
        "conversation": step.conversation,
    }
    if isinstance(step, Postponed):
        return fields | {"reason": step.reason.value}
    return fields | {
        "reason": Reason.PLACED.value,
        "upstream": step.upstream,
        "store": step.export.store,
        "blocks": len(step.export.keys),
        "imported_first": len(step.imports),
        "value_s": round(step.value_s, 6),
    }

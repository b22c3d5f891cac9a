"""Placement of KV cache blocks in stores, by the expected value of their reuse."""

import collections
import collections.abc
import dataclasses
import enum
import math
import types

from snipelug_core import block, hashing, index, route

PRIOR_USES = 1.0
PRIOR_PROMPTS = 4.0
"""Prior for a team without history: one in four prompts is reused."""

TURN_CLASSES = 3
"""Prompts are counted apart by the number of earlier turns: none, one or more."""

LONG_PROMPT_BLOCKS = 2
"""Prompts of at least this many blocks are counted apart from shorter ones."""

SECOND_COPY_RESERVE = 0.5
"""Share of a link's burst budget that second copies leave to first copies."""

MAX_LINK_WAIT_S = 0.4
"""Expected wait on a link above which nothing is exported over it, in seconds.

Reads take precedence: requests wait for them, and nothing waits for an export.
"""

MIN_PRICE_S = 1e-3
"""Lowest price, in expected seconds saved per block; a write is not worth less."""

FULL_PRICE_S = 1.0
"""Highest price, in expected seconds saved per block, for a store's last free bytes."""

SCARCE_FREE_SHARE = 0.07
"""Free share of a store below which the price rises from the lowest to the highest.

A full store loses its least valuable blocks (`Index.least_valuable`) before the price
reaches the value of common prompts. A price that rose earlier would reject new prompts
in favor of old ones of the same value.
"""

SECOND_COPY_SCARCE_FREE_SHARE = 0.5
"""The same share for second copies, which use only space that is not scarce."""

RESERVED_FREE_SHARE = 0.02
"""Free share of a store that is kept unused; below it nothing is placed there."""


# Reuse probability.


@dataclasses.dataclass
class _ReuseCount:
    prompts: float = 0.0
    uses: float = 0.0


class ReuseEstimator:
    """Estimate the probability that a prompt is reused, by team, turns and length.

    Parameters
    ----------
    half_life : int
        Number of prompts of a team after which older ones count half.
    """

    def __init__(self, half_life: int = 2000) -> None:
        self._decay = 0.5 ** (1 / half_life)
        self._counts: dict[tuple[str, int, bool], _ReuseCount] = {}

    def observe(self, team: str, turns: int, blocks: int) -> None:
        """Count a prompt with the given numbers of earlier turns and of blocks.

        A prompt with earlier turns reuses the prompt of the previous turn.
        """
        count = self._count(team, turns, blocks)
        count.prompts = count.prompts * self._decay + 1
        count.uses *= self._decay
        if turns > 0:
            self._count(team, turns - 1, blocks).uses += 1

    def probability(self, team: str, turns: int, blocks: int) -> float:
        """Return the estimated probability that the prompt is reused."""
        count = self._count(team, turns, blocks)
        share = PRIOR_USES + count.uses
        return min(1.0, share / (PRIOR_PROMPTS + count.prompts))

    def forget(self, teams: collections.abc.Container[str]) -> None:
        """Drop the counts of teams that no longer have a contract."""
        self._counts = {k: v for k, v in self._counts.items() if k[0] not in teams}

    def _count(self, team: str, turns: int, blocks: int) -> _ReuseCount:
        bucket = (team, min(turns, TURN_CLASSES - 1), blocks >= LONG_PROMPT_BLOCKS)
        return self._counts.setdefault(bucket, _ReuseCount())


# Link budgets.


class TokenBucket:
    """A token bucket that limits the bytes sent over one link.

    Parameters
    ----------
    rate : float
        Refill rate in bytes per second.
    burst : float
        Capacity in bytes.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._available_bytes = burst
        self._updated_at: float | None = None

    def available(self, now: float) -> float:
        """Return the bytes that may be sent now."""
        if self._updated_at is not None:
            refilled = max(0.0, now - self._updated_at) * self.rate
            self._available_bytes = min(self.burst, self._available_bytes + refilled)
        self._updated_at = (
            now if self._updated_at is None else max(now, self._updated_at)
        )
        return self._available_bytes

    def consume(self, size_bytes: float, now: float, reserve: float = 0.0) -> bool:
        """Consume bytes from the budget if they are available.

        A full bucket also allows a transfer larger than the burst, which could
        otherwise never start. The level is negative afterwards.

        Parameters
        ----------
        size_bytes : float
            Bytes to consume.
        now : float
            Time in seconds.
        reserve : float
            Share of the burst that must remain available.
        """
        needed = min(size_bytes + reserve * self.burst, self.burst)
        if self.available(now) < needed:
            return False
        self._available_bytes -= size_bytes
        return True


# Stores.


@dataclasses.dataclass(frozen=True)
class Store:
    """Last known state of a KV cache store.

    Attributes
    ----------
    alive : bool
        Whether the store answered the last status request.
    free_bytes, size_bytes : float
        Free space and capacity over all tiers, in bytes.
    """

    id: str
    zone: str
    boot_id: str
    alive: bool = True
    free_bytes: float = 0.0
    size_bytes: float = 0.0

    def price_s(self, is_second_copy: bool = False) -> float:
        """Return the expected time that a block must save to be placed, in seconds.

        The price rises as the store fills up, so that the last space is kept for
        the prompts that save the most.

        Parameters
        ----------
        is_second_copy : bool
            Whether another zone already has a copy.
        """
        scarce_free_share = (
            SECOND_COPY_SCARCE_FREE_SHARE if is_second_copy else SCARCE_FREE_SHARE
        )
        free = self.free_bytes / self.size_bytes if self.size_bytes > 0 else 0.0
        scarcity = max(0.0, 1 - free / scarce_free_share)
        return MIN_PRICE_S * math.pow(FULL_PRICE_S / MIN_PRICE_S, scarcity)


@dataclasses.dataclass(frozen=True)
class Prompt:
    """An answered prompt whose KV cache blocks are in an engine's memory.

    Attributes
    ----------
    chance : float
        Probability that the prompt is reused (`ReuseEstimator.probability`).
    block_s : float
        Prefill time of one block, in seconds.
    found : index.PrefixLocations
        Copies that the block index knows.
    in_transit : frozenset of (str, int)
        Blocks that are being exported, as store id and position.
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
        """Expected prefill time that one cached block saves, in seconds."""
        return self.chance * self.block_s


class Reason(enum.StrEnum):
    """Why blocks are placed in a store or not."""

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
    """Instruction to an engine to write blocks to a store."""

    upstream: str
    store: str
    positions: tuple[int, ...]
    keys: tuple[block.Key, ...]


@dataclasses.dataclass(frozen=True)
class StoreDecision:
    """The decision on one store, with the price and value it is based on."""

    store: str
    reason: Reason
    price_s: float
    value_s: float


@dataclasses.dataclass(frozen=True)
class Placement:
    """The exports of one prompt, and the decision on each store considered."""

    exports: tuple[Export, ...]
    decisions: tuple[StoreDecision, ...]


Budgets = collections.abc.Mapping[tuple[str, str], TokenBucket]
"""Link budgets by store and engine zone."""


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

    The first copy goes to the first store that accepts it; stores in the engine's
    zone are tried before others. A second copy goes to another zone if its value,
    weighted by `route.Mode.second_copy`, is at least the price there. Nothing is
    exported to a store whose expected link wait in `waits`, in seconds, exceeds
    `MAX_LINK_WAIT_S`.
    """
    exports: list[Export] = []
    decisions: list[StoreDecision] = []
    zones_with_copy: set[str] = set()
    for store in _rank_stores(prompt, stores):
        is_second_copy = bool(zones_with_copy)
        if is_second_copy and store.zone in zones_with_copy:
            continue
        if len(zones_with_copy) == 2:
            break
        weight = mode.second_copy if is_second_copy else 1.0
        value_s = prompt.value_s * weight
        reserve = SECOND_COPY_RESERVE if is_second_copy else 0.0
        wanted = _missing_positions(prompt, store)
        price_s = store.price_s(is_second_copy)
        reason, fitting = _check_store(
            prompt, store, wanted, value_s >= price_s, zones_out
        )
        positions: tuple[int, ...] = ()
        if reason is Reason.PLACED and waits.get(store.id, 0.0) > MAX_LINK_WAIT_S:
            reason = Reason.BUSY
        if reason is Reason.PLACED:
            bucket = budgets.get((store.id, prompt.zone))
            reason, positions = _consume_budget(
                prompt, wanted, fitting, bucket, reserve, now
            )
        decisions.append(StoreDecision(store.id, reason, price_s, value_s))
        if reason in (Reason.PLACED, Reason.PARTLY, Reason.THERE):
            zones_with_copy.add(store.zone)
        if positions:
            keys = tuple(prompt.chain.keys[i] for i in positions)
            exports.append(Export(prompt.upstream, store.id, positions, keys))
    return Placement(tuple(exports), tuple(decisions))


def _rank_stores(
    prompt: Prompt, stores: collections.abc.Iterable[Store]
) -> collections.abc.Iterator[Store]:
    """Yield stores holding part of the prompt, then the engine's zone, then others.

    Within a zone, stores are ranked by conversation, so that the blocks of a
    conversation stay together.
    """
    held = collections.Counter(store for store, _ in prompt.in_transit)
    held.update(prompt.found.prefixes())
    by_id = {s.id: s for s in stores}
    ranked = hashing.rank(prompt.chain.conversation, by_id)
    ordered = sorted(ranked, key=lambda i: (-held[i], by_id[i].zone != prompt.zone))
    return (by_id[i] for i in ordered)


def _missing_positions(prompt: Prompt, store: Store) -> list[int]:
    held = {
        position
        for position, copies in enumerate(prompt.found.stored)
        if any(c.store == store.id and c.boot_id == store.boot_id for c in copies)
    }
    held.update(position for s, position in prompt.in_transit if s == store.id)
    return [i for i in range(len(prompt.chain.keys)) if i not in held]


def _check_store(
    prompt: Prompt,
    store: Store,
    wanted: list[int],
    meets_price: bool,
    zones_out: collections.abc.Set[str],
) -> tuple[Reason, int]:
    """Return whether a store accepts blocks, and how many fit."""
    if not store.alive:
        return Reason.DEAD, 0
    if store.zone in zones_out:
        return Reason.LEAVING, 0
    if not wanted:
        return Reason.THERE, 0
    usable_bytes = store.free_bytes - RESERVED_FREE_SHARE * store.size_bytes
    fitting = int(usable_bytes // prompt.block_bytes) if prompt.block_bytes > 0 else 0
    if fitting <= 0:
        return Reason.FULL, 0
    if not meets_price:
        return Reason.VALUE, 0
    return Reason.PLACED, fitting


def _consume_budget(
    prompt: Prompt,
    wanted: list[int],
    fitting: int,
    bucket: TokenBucket | None,
    reserve: float,
    now: float,
) -> tuple[Reason, tuple[int, ...]]:
    """Return the leading positions that fit the store and the link's budget.

    Blocks are useless without those before them, so the last ones are left out.
    """
    affordable = 0
    while bucket and affordable < min(fitting, len(wanted)):
        if not bucket.consume(prompt.block_bytes, now, reserve):
            break
        affordable += 1
    if affordable == 0:
        return Reason.BUDGET, ()
    reason = Reason.PLACED if affordable == len(wanted) else Reason.PARTLY
    return reason, tuple(wanted[:affordable])


EXPORT_WAIT_S = 20.0
"""Time after which an engine has probably evicted a waiting prompt, in seconds."""

MAX_WAITING_PROMPTS = 512


class ExportQueue:
    """Queue of prompts whose export waits for a link, the most valuable first.

    A link that is busy when a response ends is often free a few seconds later, while
    the engine still holds the blocks.
    """

    def __init__(
        self, wait_s: float = EXPORT_WAIT_S, limit: int = MAX_WAITING_PROMPTS
    ) -> None:
        self.wait_s = wait_s
        self.limit = limit
        self._prompts: dict[str, tuple[Prompt, float]] = {}

    def __len__(self) -> int:
        return len(self._prompts)

    def add(self, prompt: Prompt, now: float) -> None:
        """Add a prompt, which replaces an older one of the same conversation."""
        self._prompts[prompt.chain.conversation] = (prompt, now + self.wait_s)
        if len(self._prompts) > self.limit:
            least = min(self._prompts, key=lambda c: (self._value(c), c))
            del self._prompts[least]

    def due(self, now: float) -> list[Prompt]:
        """Return the prompts that have not expired, the most valuable first."""
        self._prompts = {c: p for c, p in self._prompts.items() if p[1] > now}
        order = sorted(self._prompts, key=lambda c: (-self._value(c), c))
        return [self._prompts[c][0] for c in order]

    def remove(self, prompt: Prompt) -> None:
        """Remove a prompt that was placed or that no store accepts."""
        self._prompts.pop(prompt.chain.conversation, None)

    def _value(self, conversation: str) -> float:
        return self._prompts[conversation][0].value_s


def with_in_transit(prompt: Prompt, placed: Placement) -> Prompt:
    """Return the prompt with new exports marked as in transit.

    This prevents a second export before the block index learns of the first.
    """
    new = {(e.store, position) for e in placed.exports for position in e.positions}
    return dataclasses.replace(prompt, in_transit=prompt.in_transit | new)


def is_retryable(placed: Placement) -> bool:
    """Return whether blocks are missing in a store only because a link was busy.

    Such a placement is worth another try.
    """
    temporary = (Reason.BUDGET, Reason.BUSY, Reason.PARTLY)
    return any(j.reason in temporary for j in placed.decisions)


def record(prompt: Prompt, placement: Placement, request_id: str) -> dict[str, object]:
    """Return the log fields of a placement decision."""
    return {
        "event": "place",
        "request": request_id,
        "team": prompt.team,
        "conversation": prompt.chain.conversation,
        "upstream": prompt.upstream,
        "chance": round(prompt.chance, 4),
        "value_s": round(prompt.value_s, 6),
        "exports": {e.store: len(e.keys) for e in placement.exports},
        "stores": [_store_decision_fields(j) for j in placement.decisions],
    }


def _store_decision_fields(decision: StoreDecision) -> dict[str, object]:
    return {
        "store": decision.store,
        "reason": decision.reason.value,
        "price_s": round(decision.price_s, 6),
        "value_s": round(decision.value_s, 6),
    }


# Evacuation of a zone.


@dataclasses.dataclass(frozen=True)
class CachedConversation:
    """A conversation with blocks in a zone that is to be evacuated.

    Attributes
    ----------
    value_s : float
        Expected prefill time that one cached block saves, in seconds.
    upstreams : tuple of str
        Engines of the zone that hold all the blocks in memory.
    copies : tuple of tuple of index.StoredCopy
        Copies of each block in stores, in prompt order.
    """

    conversation: str
    keys: tuple[block.Key, ...]
    value_s: float
    block_bytes: float
    upstreams: tuple[str, ...] = ()
    copies: tuple[tuple[index.StoredCopy, ...], ...] = ()


@dataclasses.dataclass(frozen=True)
class Move:
    """Instruction to an engine to copy blocks to a store outside the zone.

    Attributes
    ----------
    imports : tuple of route.Fetch
        Blocks that the engine imports first because it does not hold them.
    """

    conversation: str
    upstream: str
    imports: tuple[route.Fetch, ...]
    export: Export
    value_s: float


@dataclasses.dataclass(frozen=True)
class PostponedMove:
    """A conversation that is not copied now, with the reason."""

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
    """Yield the copies to make when a zone is evacuated, the most valuable first.

    Conversations with a complete copy outside the zone are skipped. Those postponed
    for lack of link budget can be passed in again later.

    Parameters
    ----------
    zone : str
        Zone to evacuate.
    held : iterable of CachedConversation
        Conversations with blocks in the zone.
    stores : iterable of Store
        All stores.
    engines : sequence of str
        Engines of the zone that can make copies.
    budgets : mapping of (str, str) to TokenBucket
        Link budgets by store and engine zone.
    zones_out : set of str
        Zones that accept no copies.
    now : float
        Time in seconds.
    """
    usable = [s for s in stores if s.alive and s.zone not in {zone, *zones_out}]
    usable_bytes = {
        s.id: s.free_bytes - RESERVED_FREE_SHARE * s.size_bytes for s in usable
    }
    boot_ids = {s.id: s.boot_id for s in usable}
    for item in sorted(held, key=lambda h: (-h.value_s, h.conversation)):
        wanted = _missing_outside(item, boot_ids)
        if not wanted:
            continue
        yield _plan_conversation(
            zone, item, wanted, usable_bytes, engines, budgets, now
        )


def _missing_outside(item: CachedConversation, boot_ids: dict[str, str]) -> list[int]:
    outside = {
        position
        for position, copies in enumerate(item.copies)
        if any(boot_ids.get(c.store) == c.boot_id for c in copies)
    }
    return [i for i in range(len(item.keys)) if i not in outside]


def _plan_conversation(
    zone: str,
    item: CachedConversation,
    wanted: list[int],
    usable_bytes: dict[str, float],
    engines: collections.abc.Sequence[str],
    budgets: Budgets,
    now: float,
) -> Move | PostponedMove:
    if not usable_bytes:
        return PostponedMove(item.conversation, Reason.DEAD)
    exporters = [e for e in item.upstreams if e in engines]
    imports: tuple[route.Fetch, ...] = ()
    if not exporters:
        exporters = list(engines)
        imports = tuple(_readable_fetches(item, wanted))
        wanted = [fetch.position for fetch in imports]
    if not exporters or not wanted:
        return PostponedMove(item.conversation, Reason.NO_SOURCE)
    size_bytes = len(wanted) * item.block_bytes
    fitting = [s for s in usable_bytes if usable_bytes[s] >= size_bytes]
    if not fitting:
        return PostponedMove(item.conversation, Reason.FULL)
    for store_id in hashing.rank(item.conversation, fitting):
        bucket = budgets.get((store_id, zone))
        if bucket is None or not bucket.consume(size_bytes, now):
            continue
        usable_bytes[store_id] -= size_bytes
        upstream = hashing.rank(item.conversation, exporters)[0]
        keys = tuple(item.keys[i] for i in wanted)
        export = Export(upstream, store_id, tuple(wanted), keys)
        return Move(item.conversation, upstream, imports, export, item.value_s)
    return PostponedMove(item.conversation, Reason.BUDGET)


def _readable_fetches(
    item: CachedConversation, wanted: list[int]
) -> collections.abc.Iterator[route.Fetch]:
    """Yield fetches of the wanted blocks up to the first one without a copy."""
    for position in wanted:
        copies = item.copies[position] if position < len(item.copies) else ()
        if not copies:
            return
        yield route.Fetch(position, copies[0])


def record_move(zone: str, step: Move | PostponedMove) -> dict[str, object]:
    """Return the log fields of one step of a zone evacuation."""
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

"""Which parts of prompts the stores of KV cache hold, and who may use them.

A store neither drops parts nor knows its readers, so three rules keep readers
from parts that are not whole:

* A part is read only after the store has reported it as complete, in the epoch
  that the last poll saw, and only while that poll is younger than ``FRESH_S``.
* After a store has restarted, nothing is saved to it for ``SETTLE_S``. Every node
  has seen the new epoch or its polls are too old by then.
* Parts of replaced weights are neither read nor saved once a node has known of a
  newer version for ``READ_OLD_S``, and freed ``FREE_AFTER_S`` after that version
  was named. A node that uses stores has heard of it within ``BELIEF_S``, and its
  last transfer ends ``FETCH_S`` later.
"""

import collections.abc
import dataclasses
import math

from snipelug_core import catalog, choice, hashing

FRESH_S = 1.6
"""Age of a store's last answered poll up to which its parts are read."""

SETTLE_S = 2.0
"""Time without saves after a store's restart; more than ``FRESH_S``."""

FETCH_S = 1.0
"""Longest transfer from a store; later ones are discarded by the engine."""

BELIEF_S = 2.5
"""Age of the confirmed configuration up to which stores are used."""

READ_OLD_S = 3.0
"""Time for which parts of replaced weights are used while engines switch."""

FREE_AFTER_S = BELIEF_S + READ_OLD_S + FETCH_S + 0.5
"""Time after which nothing reads parts of replaced weights."""

MIN_TOKENS = 128
"""Prompts that share less are read again in less time than a transfer needs."""

SMALL_TOKENS = 2048
"""Smaller parts go to the stores that start a transfer soonest."""

SAVE_PENDING_S = 3.0
"""Time for which a save counts as under way at the node that asked for it."""

FULL_PART = 0.97
"""Part of a store's space above which no save is asked for."""

ZONE_FACTOR = 2.0
"""Transfers between zones take twice as long."""

MOST_ORDERS = 20_000
"""Orders of stores that are kept, about 4 MB."""

PartKey = tuple[str, str]
"""Salt and id of a part."""


@dataclasses.dataclass
class Shelf:
    """What one node knows of one store.

    Attributes
    ----------
    epoch : int or None
        Changes when the store restarts; None before the first answer.
    next : int
        Number from which the next events are read.
    polled_at : float
        When the last answered poll was sent, in seconds.
    settled_at : float
        When saves may begin, in seconds.
    clock_offset_s : float
        The store's clock minus this node's, at least, in seconds.
    clock_at : (float, float) or None
        When a poll was sent, in seconds, and the store's clock in its answer.
    parts : dict of PartKey to int
        Complete parts with their tokens.
    """

    store: catalog.KvStore
    epoch: int | None = None
    next: int = 0
    polled_at: float = -1e9
    settled_at: float = 0.0
    clock_offset_s: float | None = None
    clock_at: tuple[float, float] | None = None
    parts: dict[PartKey, int] = dataclasses.field(default_factory=dict)
    saving: dict[PartKey, float] = dataclasses.field(default_factory=dict)
    used_tokens: int = 0

    def forget(self) -> None:
        """Drop everything known of the store's content."""
        self.parts.clear()
        self.saving.clear()
        self.used_tokens = 0

    def restart(self, epoch: int, now: float) -> None:
        """Take a new epoch; a node that has just started cannot tell if it is new."""
        self.forget()
        self.epoch = epoch
        self.settled_at = now + SETTLE_S

    def add(self, key: PartKey, tokens: int) -> None:
        """Take the report that a part is complete."""
        self.used_tokens += tokens - self.parts.get(key, 0)
        self.parts[key] = tokens
        self.saving.pop(key, None)

    def drop(self, key: PartKey) -> None:
        """Take the report that a part is no longer there."""
        self.used_tokens -= self.parts.pop(key, 0)
        self.saving.pop(key, None)

    def is_fresh(self, now: float) -> bool:
        """Tell whether the known parts may be read."""
        return self.epoch is not None and now - self.polled_at < FRESH_S

    def is_saving(self, key: PartKey, now: float) -> bool:
        """Tell whether this node has asked for the part to be saved just now."""
        return now - self.saving.get(key, -1e9) < SAVE_PENDING_S

    def may_save(self, key: PartKey, tokens: int, now: float) -> bool:
        """Tell whether a part should be saved."""
        if not self.is_fresh(now) or now < self.settled_at or key in self.parts:
            return False
        return self.used_tokens + tokens < FULL_PART * self.store.capacity_tokens


@dataclasses.dataclass(frozen=True)
class Source:
    """Where one part is read from, or None in its place.

    Attributes
    ----------
    tokens : int
        Tokens that the store reported as complete.
    """

    store: catalog.KvStore
    tokens: int


@dataclasses.dataclass(frozen=True)
class Plan:
    """Which parts of a prompt are read from stores and which are saved.

    Attributes
    ----------
    sources : tuple of (Source or None)
        One for each part.
    targets : tuple of (catalog.KvStore or None)
        One for each part.
    until_s : float or None
        Time on the stores' clock at which transfers are discarded, in seconds.
    """

    sources: tuple[Source | None, ...] = ()
    targets: tuple[catalog.KvStore | None, ...] = ()
    until_s: float | None = None


NO_PLAN = Plan()


def salt(model: str, version: int, team: catalog.Team | None) -> str:
    """Return the name under which a request's parts are cached.

    It binds the weight version, and the team where that team shares nothing.
    """
    owner = team.name if team is not None and team.is_isolated else ""
    owned = hashing.keyed_digest(b"salt", owner.encode()).hex()[:12] if owner else "-"
    return f"{model}.{version}.{owned}"


class Index:
    """The stores by name."""

    def __init__(self) -> None:
        self.shelves: dict[str, Shelf] = {}
        self._orders: dict[tuple[str, bool], list[Shelf]] = {}

    def set_stores(self, stores: collections.abc.Iterable[catalog.KvStore]) -> None:
        """Take the stores in force; those that moved start empty."""
        wanted = {store.name: store for store in stores}
        self._orders.clear()
        for name in [n for n in self.shelves if n not in wanted]:
            del self.shelves[name]
        for name, store in wanted.items():
            known = self.shelves.get(name)
            if known is None or known.store != store:
                self.shelves[name] = Shelf(store)

    def order(self, part: choice.Part) -> list[Shelf]:
        """Return the stores in the order in which they keep a part.

        The order is a rendezvous weighted by space; small parts go first to the
        stores that start a transfer soonest.
        """
        is_small = part.tokens < SMALL_TOKENS
        known = self._orders.get((part.id, is_small))
        if known is not None:
            return known
        if len(self._orders) >= MOST_ORDERS:
            self._orders.clear()
        soonest_s = min((s.store.first_s for s in self.shelves.values()), default=0.0)

        def preference(shelf: Shelf) -> tuple[bool, float]:
            is_soon = shelf.store.first_s <= soonest_s
            score = hashing.rendezvous_score(part.id, shelf.store.name)
            weight = max(1.0, shelf.store.capacity_tokens / 1000)
            return is_small and is_soon, math.pow((score + 1) / 2.0**64, 1.0 / weight)

        found = sorted(self.shelves.values(), key=preference, reverse=True)
        self._orders[(part.id, is_small)] = found
        return found

    def fetch_s(
        self,
        parts: tuple[choice.Part, ...],
        key_salt: str,
        engine: catalog.Engine,
        zone: str,
        now: float,
    ) -> dict[str, float]:
        """Return the time of a transfer, in seconds, for each part in a store."""
        times = {}
        for part in _worth_storing(parts):
            shelf = self._holder(part, key_salt, now)
            if shelf is None:
                continue
            rate = min(shelf.store.link_bits_per_s, engine.link_bits_per_s)
            size = 8.0 * engine.kv_token_bytes * part.tokens
            factor = 1.0 if zone == shelf.store.zone else ZONE_FACTOR
            times[part.id] = shelf.store.first_s + factor * size / rate
        return times

    def plan(
        self,
        parts: tuple[choice.Part, ...],
        key_salt: str,
        now: float,
    ) -> Plan:
        """Decide which parts the chosen engine reads and saves."""
        sources: list[Source | None] = []
        targets: list[catalog.KvStore | None] = []
        offsets: list[float] = []
        shared = _worth_storing(parts)
        for index, part in enumerate(parts):
            is_own = index >= len(shared)
            shelf = None if is_own else self._holder(part, key_salt, now)
            if shelf is not None and shelf.clock_offset_s is not None:
                tokens = shelf.parts[(key_salt, part.id)]
                sources.append(Source(shelf.store, tokens))
                offsets.append(shelf.clock_offset_s)
                targets.append(None)
                continue
            sources.append(None)
            targets.append(None if is_own else self._target(part, key_salt, now))
        if not any(sources) and not any(targets):
            return NO_PLAN
        until_s = now + min(offsets) + FETCH_S if offsets else None
        return Plan(tuple(sources), tuple(targets), until_s)

    def _holder(self, part: choice.Part, key_salt: str, now: float) -> Shelf | None:
        key = (key_salt, part.id)
        for shelf in self.order(part):
            if key in shelf.parts and shelf.is_fresh(now):
                return shelf
        return None

    def _target(
        self, part: choice.Part, key_salt: str, now: float
    ) -> catalog.KvStore | None:
        key = (key_salt, part.id)
        order = self.order(part)
        if any(shelf.is_saving(key, now) for shelf in order):
            return None
        for shelf in order:
            if shelf.may_save(key, part.tokens, now):
                shelf.saving[key] = now
                return shelf.store
        return None


def _worth_storing(parts: tuple[choice.Part, ...]) -> tuple[choice.Part, ...]:
    """Return the shared parts of a prompt, none if they are short together."""
    shared = parts[:-1]
    return shared if sum(part.tokens for part in shared) >= MIN_TOKENS else ()


def is_in_use(
    version: int, named_at: collections.abc.Mapping[int, float], now: float
) -> bool:
    """Tell whether parts of a weight version may be read and saved.

    Parameters
    ----------
    named_at : mapping of int to float
        When this node learned of each version, in seconds.
    """
    newer = [at for named, at in named_at.items() if named > version]
    return not newer or now - min(newer) < READ_OLD_S


def outdated(
    shelf: Shelf, newest: collections.abc.Mapping[str, int]
) -> collections.abc.Iterator[PartKey]:
    """Yield the parts of weight versions older than the newest of their model."""
    for key in shelf.parts:
        model, version, _ = key[0].rsplit(".", 2)
        if int(version) < newest.get(model, 0):
            yield key

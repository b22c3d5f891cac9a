"""Which parts of prompts the stores of KV cache hold, and who may use them.

A store neither drops parts nor knows its readers, so three rules keep readers
from parts that are not whole:

* A part is read only after the store has reported it as complete, in the epoch
  that the last poll saw, and only while that poll is younger than ``FRESH_S``.
* After a store has restarted, nothing is saved to it for ``SETTLE_S``. Every node
  has seen the new epoch or its polls are too old by then.
* Parts of replaced weights are read for ``READ_OLD_S`` after the last poll that saw no
  newer ones in the same store, and freed ``FREE_AFTER_S`` after several newer ones
  were seen there. So a node needs nothing but its polls of that store to know that
  what it reads stays, also while it does not reach the platform.
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

READ_OLD_S = 3.0
"""Time for which parts of replaced weights are used while engines switch."""

NEWER_PARTS = 3
"""Newer parts seen before older ones are freed; about one event in 100 gets lost."""

EVENT_LAG_S = 0.2
"""Most that an event can be late; the sites' stores tell them after 60 to 80 ms."""

FREE_AFTER_S = READ_OLD_S + FETCH_S + EVENT_LAG_S + 0.3
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

Weights = tuple[str, int]
"""Model and weight version."""


@dataclasses.dataclass
class Generation:
    """Parts of one weight version in a store.

    Attributes
    ----------
    since : float
        When the last poll before the first of them was sent, in seconds.
    parts : int
        Parts that were reported so far.
    settled_at : float
        When ``NEWER_PARTS`` had been reported, in seconds.
    """

    since: float
    parts: int = 0
    settled_at: float = math.inf


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
    generations : dict of Weights to Generation
        The weight versions whose parts it has or had.
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
    generations: dict[Weights, Generation] = dataclasses.field(default_factory=dict)
    used_tokens: int = 0

    def forget(self) -> None:
        """Drop everything known of the store's content."""
        self.parts.clear()
        self.saving.clear()
        self.used_tokens = 0

    def restart(self, epoch: int, now: float) -> None:
        """Take a new epoch; a node that has just started cannot tell if it is new."""
        self.forget()
        self.generations.clear()
        self.epoch = epoch
        self.settled_at = now + SETTLE_S

    def add(self, key: PartKey, tokens: int, now: float) -> None:
        """Take the report that a part is complete, before ``polled_at`` is set anew."""
        if key not in self.parts:
            weights = weights_of(key)
            found = self.generations.setdefault(weights, Generation(self.polled_at))
            found.parts += 1
            if found.parts == NEWER_PARTS:
                found.settled_at = now
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

    def is_replaced(self, key_salt: str, now: float) -> bool:
        """Tell whether newer parts are there for so long that this one may be freed."""
        model, version = weights_of((key_salt, ""))
        return any(
            known == model and newer > version and now - found.since >= READ_OLD_S
            for (known, newer), found in self.generations.items()
        )

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


def weights_of(key: PartKey) -> Weights:
    """Return the model and weight version that a part's salt binds."""
    model, version, _ = key[0].rsplit(".", 2)
    return model, int(version)


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

    def order(self, part: choice.PromptPart) -> list[Shelf]:
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
        soonest_s = min((s.store.setup_s for s in self.shelves.values()), default=0.0)

        def preference(shelf: Shelf) -> tuple[bool, float]:
            is_soon = shelf.store.setup_s <= soonest_s
            score = hashing.rendezvous_score(part.id, shelf.store.name)
            weight = max(1.0, shelf.store.capacity_tokens / 1000)
            return is_small and is_soon, math.pow((score + 1) / 2.0**64, 1.0 / weight)

        found = sorted(self.shelves.values(), key=preference, reverse=True)
        self._orders[(part.id, is_small)] = found
        return found

    def fetch_s(
        self,
        parts: tuple[choice.PromptPart, ...],
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
            times[part.id] = shelf.store.setup_s + factor * size / rate
        return times

    def plan(
        self,
        parts: tuple[choice.PromptPart, ...],
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

    def withdraw(
        self, plan: Plan, parts: tuple[choice.PromptPart, ...], key_salt: str
    ) -> None:
        """Forget the saves of a request that no engine has run."""
        for part, target in zip(parts, plan.targets, strict=False):
            shelf = self.shelves.get(target.name) if target is not None else None
            if shelf is not None:
                shelf.saving.pop((key_salt, part.id), None)

    def _holder(
        self, part: choice.PromptPart, key_salt: str, now: float
    ) -> Shelf | None:
        key = (key_salt, part.id)
        for shelf in self.order(part):
            if key not in shelf.parts or not shelf.is_fresh(now):
                continue
            if not shelf.is_replaced(key_salt, now):
                return shelf
        return None

    def _target(
        self, part: choice.PromptPart, key_salt: str, now: float
    ) -> catalog.KvStore | None:
        key = (key_salt, part.id)
        order = self.order(part)
        if any(shelf.is_saving(key, now) for shelf in order):
            return None
        for shelf in order:
            if shelf.is_replaced(key_salt, now):
                continue
            if shelf.may_save(key, part.tokens, now):
                shelf.saving[key] = now
                return shelf.store
        return None


def _worth_storing(
    parts: tuple[choice.PromptPart, ...],
) -> tuple[choice.PromptPart, ...]:
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


def outdated(shelf: Shelf, now: float) -> collections.abc.Iterator[PartKey]:
    """Yield the parts that nothing reads any more, as newer ones are there."""
    newest: dict[str, int] = {}
    for (model, version), found in shelf.generations.items():
        if now - found.settled_at > FREE_AFTER_S:
            newest[model] = max(version, newest.get(model, 0))
    for key in shelf.parts if newest else ():
        model, version = weights_of(key)
        if version < newest.get(model, 0):
            yield key

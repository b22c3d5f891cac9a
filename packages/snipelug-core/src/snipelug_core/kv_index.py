"""Which parts of prompts the stores of KV cache hold, and who may use them.

A store neither drops parts nor knows its readers, so three rules keep readers
from parts that are not whole:

* A part is read only after the store has reported it as complete, in the epoch
  that the last poll saw, and only while that poll is younger than ``MAX_POLL_AGE_S``.
* After a store has restarted, nothing is saved to it for ``RESTART_SAVE_DELAY_S``. Every node
  has seen the new epoch or its polls are too old by then.
* Parts of replaced weights are read for ``OLD_VERSION_READ_S`` after the last poll that saw no
  newer ones in the same store, and freed ``OLD_VERSION_FREE_DELAY_S`` after several newer ones
  were seen there. So a node needs nothing but its polls of that store to know that
  what it reads stays, also while it does not reach the platform.
"""

import collections.abc
import dataclasses
import math

from snipelug_core import catalog, choice, hashing

MAX_POLL_AGE_S = 1.6
"""Age of a store's last answered poll up to which its parts are read."""

RESTART_SAVE_DELAY_S = 2.0
"""Time without saves after a store's restart; more than ``MAX_POLL_AGE_S``."""

FETCH_TIMEOUT_S = 1.0
"""Longest transfer from a store; later ones are discarded by the engine."""

OLD_VERSION_READ_S = 3.0
"""Time for which parts of replaced weights are used while engines switch."""

MIN_NEWER_PARTS = 3
"""Newer parts seen before older ones are freed; about one event in 100 gets lost."""

MAX_EVENT_DELAY_S = 0.2
"""Most that an event can be late; the sites' stores tell them after 60 to 80 ms."""

OLD_VERSION_FREE_DELAY_S = (
    OLD_VERSION_READ_S + FETCH_TIMEOUT_S + MAX_EVENT_DELAY_S + 0.3
)
"""Time after which nothing reads parts of replaced weights."""

MIN_STORED_TOKENS = 128
"""Prompts that share less are read again in less time than a transfer needs."""

SMALL_PART_TOKENS = 2048
"""Smaller parts go to the stores that start a transfer soonest."""

SAVE_TIMEOUT_S = 3.0
"""Time for which a save counts as under way at the node that asked for it."""

MAX_FILL_FRACTION = 0.97
"""Part of a store's space above which no save is asked for."""

CROSS_ZONE_FACTOR = 2.0
"""Transfers between zones take twice as long."""

MAX_CACHED_RANKINGS = 20_000
"""Orders of stores that are kept, about 4 MB."""

PartKey = tuple[str, str]
"""Salt and id of a part."""

ModelVersion = tuple[str, int]
"""Model and weight version."""


@dataclasses.dataclass
class VersionStatus:
    """Parts of one weight version in a store.

    Attributes
    ----------
    since : float
        When the last poll before the first of them was sent, in seconds.
    parts : int
        Parts that were reported so far.
    confirmed_at : float
        When ``MIN_NEWER_PARTS`` had been reported, in seconds.
    """

    first_seen_at: float
    parts: int = 0
    confirmed_at: float = math.inf


@dataclasses.dataclass
class StoreState:
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
    next_event: int = 0
    polled_at: float = -1e9
    saves_allowed_at: float = 0.0
    clock_offset_s: float | None = None
    clock_sample: tuple[float, float] | None = None
    parts: dict[PartKey, int] = dataclasses.field(default_factory=dict)
    pending_saves: dict[PartKey, float] = dataclasses.field(default_factory=dict)
    versions: dict[ModelVersion, VersionStatus] = dataclasses.field(
        default_factory=dict
    )
    used_tokens: int = 0

    def clear(self) -> None:
        """Drop everything known of the store's content."""
        self.parts.clear()
        self.pending_saves.clear()
        self.used_tokens = 0

    def restart(self, epoch: int, now: float) -> None:
        """Take a new epoch; a node that has just started cannot tell if it is new."""
        self.clear()
        self.versions.clear()
        self.epoch = epoch
        self.saves_allowed_at = now + RESTART_SAVE_DELAY_S

    def add(self, key: PartKey, tokens: int, now: float) -> None:
        """Take the report that a part is complete, before ``polled_at`` is set anew."""
        if key not in self.parts:
            weights = model_version_of(key)
            found = self.versions.setdefault(weights, VersionStatus(self.polled_at))
            found.parts += 1
            if found.parts == MIN_NEWER_PARTS:
                found.confirmed_at = now
        self.used_tokens += tokens - self.parts.get(key, 0)
        self.parts[key] = tokens
        self.pending_saves.pop(key, None)

    def drop(self, key: PartKey) -> None:
        """Take the report that a part is no longer there."""
        self.used_tokens -= self.parts.pop(key, 0)
        self.pending_saves.pop(key, None)

    def is_fresh(self, now: float) -> bool:
        """Tell whether the known parts may be read."""
        return self.epoch is not None and now - self.polled_at < MAX_POLL_AGE_S

    def is_superseded(self, key_salt: str, now: float) -> bool:
        """Tell whether newer parts are there for so long that this one may be freed."""
        model, version = model_version_of((key_salt, ""))
        return any(
            known == model
            and newer > version
            and now - found.first_seen_at >= OLD_VERSION_READ_S
            for (known, newer), found in self.versions.items()
        )

    def has_pending_save(self, key: PartKey, now: float) -> bool:
        """Tell whether this node has asked for the part to be saved just now."""
        return now - self.pending_saves.get(key, -1e9) < SAVE_TIMEOUT_S

    def may_save(self, key: PartKey, tokens: int, now: float) -> bool:
        """Tell whether a part should be saved."""
        if not self.is_fresh(now) or now < self.saves_allowed_at or key in self.parts:
            return False
        return (
            self.used_tokens + tokens < MAX_FILL_FRACTION * self.store.capacity_tokens
        )


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
    deadline_s: float | None = None


NO_PLAN = Plan()


def salt(model: str, version: int, team: catalog.Team | None) -> str:
    """Return the name under which a request's parts are cached.

    It binds the weight version, and the team where that team shares nothing.
    """
    owner = team.name if team is not None and team.is_isolated else ""
    owned = hashing.keyed_digest(b"salt", owner.encode()).hex()[:12] if owner else "-"
    return f"{model}.{version}.{owned}"


def model_version_of(key: PartKey) -> ModelVersion:
    """Return the model and weight version that a part's salt binds."""
    model, version, _ = key[0].rsplit(".", 2)
    return model, int(version)


class Index:
    """The stores by name."""

    def __init__(self) -> None:
        self.store_states: dict[str, StoreState] = {}
        self._rankings: dict[tuple[str, bool], list[StoreState]] = {}

    def set_stores(self, stores: collections.abc.Iterable[catalog.KvStore]) -> None:
        """Take the stores in force; those that moved start empty."""
        wanted = {store.name: store for store in stores}
        self._rankings.clear()
        for name in [n for n in self.store_states if n not in wanted]:
            del self.store_states[name]
        for name, store in wanted.items():
            known = self.store_states.get(name)
            if known is None or known.store != store:
                self.store_states[name] = StoreState(store)

    def ranked_stores(self, part: choice.PromptPart) -> list[StoreState]:
        """Return the stores in the order in which they keep a part.

        The order is a rendezvous weighted by space; small parts go first to the
        stores that start a transfer soonest.
        """
        is_small = part.tokens < SMALL_PART_TOKENS
        known = self._rankings.get((part.id, is_small))
        if known is not None:
            return known
        if len(self._rankings) >= MAX_CACHED_RANKINGS:
            self._rankings.clear()
        soonest_s = min(
            (s.store.setup_s for s in self.store_states.values()), default=0.0
        )

        def preference(state: StoreState) -> tuple[bool, float]:
            is_soon = state.store.setup_s <= soonest_s
            score = hashing.rendezvous_score(part.id, state.store.name)
            weight = max(1.0, state.store.capacity_tokens / 1000)
            return is_small and is_soon, math.pow((score + 1) / 2.0**64, 1.0 / weight)

        found = sorted(self.store_states.values(), key=preference, reverse=True)
        self._rankings[(part.id, is_small)] = found
        return found

    def transfer_times_s(
        self,
        parts: tuple[choice.PromptPart, ...],
        key_salt: str,
        engine: catalog.Engine,
        zone: str,
        now: float,
    ) -> dict[str, float]:
        """Return the time of a transfer, in seconds, for each part in a store."""
        times = {}
        for part in _storable_parts(parts):
            state = self._readable_store(part, key_salt, now)
            if state is None:
                continue
            rate = min(state.store.link_bits_per_s, engine.link_bits_per_s)
            size = 8.0 * engine.kv_token_bytes * part.tokens
            factor = 1.0 if zone == state.store.zone else CROSS_ZONE_FACTOR
            times[part.id] = state.store.setup_s + factor * size / rate
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
        shared = _storable_parts(parts)
        for index, part in enumerate(parts):
            is_private = index >= len(shared)
            state = None if is_private else self._readable_store(part, key_salt, now)
            if state is not None and state.clock_offset_s is not None:
                tokens = state.parts[(key_salt, part.id)]
                sources.append(Source(state.store, tokens))
                offsets.append(state.clock_offset_s)
                targets.append(None)
                continue
            sources.append(None)
            targets.append(
                None if is_private else self._save_target(part, key_salt, now)
            )
        if not any(sources) and not any(targets):
            return NO_PLAN
        deadline_s = now + min(offsets) + FETCH_TIMEOUT_S if offsets else None
        return Plan(tuple(sources), tuple(targets), deadline_s)

    def cancel_saves(
        self, plan: Plan, parts: tuple[choice.PromptPart, ...], key_salt: str
    ) -> None:
        """Forget the saves of a request that no engine has run."""
        for part, target in zip(parts, plan.targets, strict=False):
            state = self.store_states.get(target.name) if target is not None else None
            if state is not None:
                state.pending_saves.pop((key_salt, part.id), None)

    def _readable_store(
        self, part: choice.PromptPart, key_salt: str, now: float
    ) -> StoreState | None:
        key = (key_salt, part.id)
        for state in self.ranked_stores(part):
            if key not in state.parts or not state.is_fresh(now):
                continue
            if not state.is_superseded(key_salt, now):
                return state
        return None

    def _save_target(
        self, part: choice.PromptPart, key_salt: str, now: float
    ) -> catalog.KvStore | None:
        key = (key_salt, part.id)
        ranked_stores = self.ranked_stores(part)
        if any(state.has_pending_save(key, now) for state in ranked_stores):
            return None
        for state in ranked_stores:
            if state.is_superseded(key_salt, now):
                continue
            if state.may_save(key, part.tokens, now):
                state.pending_saves[key] = now
                return state.store
        return None


def _storable_parts(
    parts: tuple[choice.PromptPart, ...],
) -> tuple[choice.PromptPart, ...]:
    """Return the shared parts of a prompt, none if they are short together."""
    shared = parts[:-1]
    return shared if sum(part.tokens for part in shared) >= MIN_STORED_TOKENS else ()


def is_version_usable(
    version: int, named_at: collections.abc.Mapping[int, float], now: float
) -> bool:
    """Tell whether parts of a weight version may be read and saved.

    Parameters
    ----------
    named_at : mapping of int to float
        When this node learned of each version, in seconds.
    """
    newer = [at for named, at in named_at.items() if named > version]
    return not newer or now - min(newer) < OLD_VERSION_READ_S


def outdated_parts(state: StoreState, now: float) -> collections.abc.Iterator[PartKey]:
    """Yield the parts that nothing reads any more, as newer ones are there."""
    newest: dict[str, int] = {}
    for (model, version), found in state.versions.items():
        if now - found.confirmed_at > OLD_VERSION_FREE_DELAY_S:
            newest[model] = max(version, newest.get(model, 0))
    for key in state.parts if newest else ():
        model, version = model_version_of(key)
        if version < newest.get(model, 0):
            yield key

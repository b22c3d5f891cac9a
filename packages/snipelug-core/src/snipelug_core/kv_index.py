"""Index of the prompt parts in the KV cache stores, and rules for their use.

A store neither evicts parts nor knows its readers, so four rules keep readers
from incomplete parts:

* A part is read only after the store has reported it as complete, in the epoch
  seen by the last poll, and only while that poll is younger than
  ``MAX_POLL_AGE_S``.
* A part is saved only with a grant of the store's coordinator (``save_grants``), as an
  engine may make a save after the store has restarted. The save then writes no part
  that another node still expects there from before.
* After a store has restarted, nothing is saved to it for
  ``RESTART_SAVE_DELAY_S``. By then, each node has seen the new epoch or its last
  poll is too old, and what was read after that poll has ended.
* Parts of an outdated weight version are read for a time (``old_version_read_s``)
  after the last poll that saw no parts of a newer version in the same store, and freed
  ``OLD_VERSION_FREE_DELAY_S`` later than that after several of these were seen there.
  The time follows from the deployment's bounds, so it is the same at all nodes. A node
  therefore needs only its polls of that store to know that a part will not be freed
  during a read, even while it cannot reach the platform.
"""

import collections.abc
import dataclasses
import math
import re

from snipelug_core import catalog, choice, hashing, rollout, transfers

MAX_POLL_AGE_S = 1.6
"""Maximum age of a store's last successful poll at which its parts are read."""

FETCH_TIMEOUT_S = 1.0
"""Maximum duration of a transfer; engines discard transfers that take longer."""

RESTART_SAVE_DELAY_S = MAX_POLL_AGE_S + FETCH_TIMEOUT_S + 0.2
"""Time without saves after a store restart.

A node that polled just before the restart reads for ``MAX_POLL_AGE_S`` after that poll,
and its last transfer ends ``FETCH_TIMEOUT_S`` later. The rest covers different clocks.
"""

OLD_VERSION_READ_S = 3.0
"""Minimum time for which outdated parts are read while engines load new weights."""

OLD_VERSION_END_S = 2.0
"""Outdated parts are read until this long before a rollout should end.

The last engines on old weights get few requests, and newer parts need the room.
"""

MIN_NEWER_PARTS = 3
"""Newer parts required before older ones are freed; about 1% of events are lost."""

MAX_EVENT_DELAY_S = 0.2
"""Maximum delay of a store event; the stores report events after 60 to 80 ms."""

OLD_VERSION_FREE_DELAY_S = FETCH_TIMEOUT_S + MAX_EVENT_DELAY_S + 0.3
"""Time after the last reads began at which no node reads parts of outdated weights."""

OWNER_READ_S = 10.0
"""Age of the configuration at which parts are not read if others may free them.

This is the case once parts of another shared owner were reported since.
"""

OWNER_CONFIRMED_S = 3.0
"""Maximum age of the configuration at which parts of other owners are freed."""

OWNER_PAUSE_S = OWNER_CONFIRMED_S + 2.0
"""Time without use of stores after a change of the owners.

A node that has not seen the change may still free parts that are to be used again.
"""

OWNER_FREE_DELAY_S = OWNER_READ_S + MAX_POLL_AGE_S + OLD_VERSION_FREE_DELAY_S
"""Time after which parts of owners that no configuration has any more are freed."""

MIN_STORED_TOKENS = 128
"""Minimum shared tokens; for fewer, prefill is faster than a transfer."""

SMALL_PART_TOKENS = 2048
"""Smaller parts go to the stores with the shortest setup time."""

SAVE_TIMEOUT_S = 3.0
"""Time for which a save is considered pending at the node that requested it."""

MAX_PENDING_SAVES = 1_000
"""Maximum number of saves of one store that a node considers pending."""

FAILED_SAVE_S = 20.0
"""Time for which a part whose save has failed goes to another store."""

MAX_FILL_FRACTION = 0.97
"""Fraction of a store's capacity above which no save is requested."""

CROSS_ZONE_FACTOR = 2.0
"""Relative duration of transfers between zones."""

MAX_SHARED_OWNERS = 100
"""Maximum number of shared owners that are remembered for a store."""

MAX_CACHED_RANKINGS = 20_000
"""Maximum number of cached store rankings, about 4 MB."""

SALT_PATTERN = re.compile(r"(.*)\.([0-9]{1,18})\.([^.]*)", re.DOTALL)
"""Salts of this system: model, weight version and owner."""

PartKey = tuple[str, str]
"""Cache salt and id of a part."""

ModelVersion = tuple[str, int]
"""Model and weight version."""


@dataclasses.dataclass
class VersionStatus:
    """Reported parts of one weight version, or one shared owner, in a store.

    Attributes
    ----------
    first_seen_at : float
        Send time of the last poll before the first part was reported, in seconds.
    parts : int
        Number of parts reported so far.
    confirmed_at : float
        When ``MIN_NEWER_PARTS`` parts had been reported, in seconds.
    last_at : float
        When the last part was reported, in seconds.
    """

    first_seen_at: float
    parts: int = 0
    confirmed_at: float = math.inf
    last_at: float = -math.inf

    def count(self, now: float) -> None:
        """Count a reported part."""
        self.parts += 1
        self.last_at = now
        if self.parts == MIN_NEWER_PARTS:
            self.confirmed_at = now


@dataclasses.dataclass
class StoreState:
    """What this node knows about one KV cache store.

    Attributes
    ----------
    old_version_read_s : float
        Time for which parts of outdated weights are read, in seconds.
    epoch : int or None
        Changes when the store restarts; None before the first response.
    next_event : int
        Sequence number of the next event to read.
    polled_at : float
        Send time of the last successful poll, in seconds.
    saves_allowed_at : float
        Time from which saves are allowed, in seconds.
    clock_offset_s : float
        Lower bound of the store's clock minus this node's, in seconds.
    clock_sample : (float, float) or None
        Send time of a poll, in seconds, and the store's clock in the response.
    parts : dict of PartKey to int
        Complete parts with their token counts.
    pending_saves : dict of PartKey to float
        When this node requested saves that have not completed, in seconds.
    failed_saves : dict of PartKey to float
        When this node learned that saves of other nodes have failed, in seconds.
    closed_until : float
        Time until which nothing is saved as no coordinator grants it, in seconds.
    versions : dict of ModelVersion to VersionStatus
        Weight versions whose parts are or were in the store.
    shared_owners : dict of str to VersionStatus
        Owners of shared parts that are or were in the store.
    """

    store: catalog.KvStore
    old_version_read_s: float = OLD_VERSION_READ_S
    epoch: int | None = None
    next_event: int = 0
    polled_at: float = -1e9
    saves_allowed_at: float = 0.0
    clock_offset_s: float | None = None
    clock_sample: tuple[float, float] | None = None
    parts: dict[PartKey, int] = dataclasses.field(default_factory=dict)
    pending_saves: dict[PartKey, float] = dataclasses.field(default_factory=dict)
    failed_saves: dict[PartKey, float] = dataclasses.field(default_factory=dict)
    closed_until: float = -math.inf
    versions: dict[ModelVersion, VersionStatus] = dataclasses.field(
        default_factory=dict
    )
    shared_owners: dict[str, VersionStatus] = dataclasses.field(default_factory=dict)
    used_tokens: int = 0

    def clear(self) -> None:
        """Discard all information on the store's content."""
        self.parts.clear()
        self.pending_saves.clear()
        self.failed_saves.clear()
        self.used_tokens = 0

    def restart(self, epoch: int, now: float) -> None:
        """Start a new epoch.

        A node that has just started cannot tell whether the store has restarted. The
        store's clock may have started anew as well.
        """
        self.clear()
        self.clock_offset_s = self.clock_sample = None
        self.versions.clear()
        self.shared_owners.clear()
        self.epoch = epoch
        self.saves_allowed_at = now + RESTART_SAVE_DELAY_S

    def add(self, key: PartKey, tokens: int, now: float) -> None:
        """Record that a part is complete; call this before updating ``polled_at``."""
        if key not in self.parts:
            weights = model_version_of(key)
            found = self.versions.setdefault(weights, VersionStatus(self.polled_at))
            found.count(now)
            owner = owner_of(key)
            if owner.startswith(catalog.SHARED):
                self._add_shared_owner(owner).count(now)
        self.used_tokens += tokens - self.parts.get(key, 0)
        self.parts[key] = tokens
        self.pending_saves.pop(key, None)

    def _add_shared_owner(self, owner: str) -> VersionStatus:
        """Return the status of an owner, the earliest ones are forgotten."""
        while len(self.shared_owners) >= MAX_SHARED_OWNERS:
            if owner in self.shared_owners:
                break
            del self.shared_owners[next(iter(self.shared_owners))]
        return self.shared_owners.setdefault(owner, VersionStatus(self.polled_at))

    def drop(self, key: PartKey) -> None:
        """Record that a part is no longer in the store."""
        self.used_tokens -= self.parts.pop(key, 0)
        self.pending_saves.pop(key, None)

    def replace(
        self, parts: collections.abc.Mapping[PartKey, int], now: float
    ) -> list[PartKey]:
        """Record the complete content of the store; return the parts that are gone."""
        gone = [key for key in self.parts if key not in parts]
        for key in gone:
            self.drop(key)
        for key, tokens in parts.items():
            self.add(key, tokens, now)
        return gone

    def add_pending(self, key: PartKey, now: float) -> None:
        """Record that this node requests a save; the oldest ones are forgotten."""
        self.pending_saves.pop(key, None)
        while len(self.pending_saves) >= MAX_PENDING_SAVES:
            del self.pending_saves[next(iter(self.pending_saves))]
        self.pending_saves[key] = now

    def record_failed(self, key: PartKey, now: float) -> None:
        """Record that a save of a part has failed, so that another store takes it."""
        self.pending_saves.pop(key, None)
        self.failed_saves.pop(key, None)
        while len(self.failed_saves) >= MAX_PENDING_SAVES:
            del self.failed_saves[next(iter(self.failed_saves))]
        self.failed_saves[key] = now

    def is_fresh(self, now: float) -> bool:
        """Return whether the last poll is recent enough to read parts."""
        return self.epoch is not None and now - self.polled_at < MAX_POLL_AGE_S

    def is_superseded(self, key_salt: str, now: float) -> bool:
        """Return whether newer parts were seen too long ago to read this one."""
        model, version = model_version_of((key_salt, ""))
        return any(
            known == model
            and newer > version
            and now - found.first_seen_at >= self.old_version_read_s
            for (known, newer), found in self.versions.items()
        )

    def has_pending_save(self, key: PartKey, now: float) -> bool:
        """Return whether this node has recently requested a save of the part."""
        return now - self.pending_saves.get(key, -1e9) < SAVE_TIMEOUT_S

    def may_save(self, key: PartKey, tokens: int, now: float) -> bool:
        """Return whether the part may be saved to this store."""
        if not self.is_fresh(now) or now < self.saves_allowed_at or key in self.parts:
            return False
        if now < self.closed_until:
            return False
        if now - self.failed_saves.get(key, -math.inf) < FAILED_SAVE_S:
            return False
        return (
            self.used_tokens + tokens < MAX_FILL_FRACTION * self.store.capacity_tokens
        )


@dataclasses.dataclass(frozen=True)
class Source:
    """Store from which one part is read.

    Attributes
    ----------
    tokens : int
        Number of tokens that the store reported as complete.
    """

    store: catalog.KvStore
    tokens: int


@dataclasses.dataclass(frozen=True)
class Saving:
    """Store to which one part is to be saved, in an epoch of that store."""

    state: StoreState
    epoch: int | None


@dataclasses.dataclass(frozen=True)
class Plan:
    """Transfers for a prompt: which parts to read from and save to stores.

    Attributes
    ----------
    sources : tuple of (Source or None)
        Store to read each part from, or None.
    targets : tuple of (catalog.KvStore or None)
        Store to save each part to, or None.
    deadline_s : float or None
        Time on the stores' clock after which engines discard transfers, in seconds.
    """

    sources: tuple[Source | None, ...] = ()
    targets: tuple[catalog.KvStore | None, ...] = ()
    deadline_s: float | None = None


NO_PLAN = Plan()


def salt(model: str, version: int, owner: str = catalog.SHARED) -> str:
    """Return the cache salt for the parts of a request.

    Parameters
    ----------
    owner : str
        Owner of the parts by ``catalog.Catalog.owner_of``.
    """
    return f"{model}.{version}.{owner}"


def owner_of(key: PartKey) -> str:
    """Return the owner from the salt of a part; empty for those of other writers."""
    match = SALT_PATTERN.fullmatch(key[0])
    return "" if match is None else match[3]


def model_version_of(key: PartKey) -> ModelVersion:
    """Return the model and weight version from the salt of a part.

    Parts under salts of other writers belong to no model.
    """
    match = SALT_PATTERN.fullmatch(key[0])
    return ("", 0) if match is None else (match[1], int(match[2]))


class Index:
    """The known state of all KV cache stores.

    Parameters
    ----------
    old_version_read_s : float
        Time for which parts of outdated weights are read, in seconds.
    """

    def __init__(self, old_version_read_s: float = OLD_VERSION_READ_S) -> None:
        self.old_version_read_s = old_version_read_s
        self.store_states: dict[str, StoreState] = {}
        self._rankings: dict[tuple[str, bool], list[StoreState]] = {}

    def set_stores(self, stores: collections.abc.Iterable[catalog.KvStore]) -> None:
        """Set the configured stores; new and changed ones start without known parts."""
        wanted = {store.name: store for store in stores}
        self._rankings.clear()
        for name in [n for n in self.store_states if n not in wanted]:
            del self.store_states[name]
        for name, store in wanted.items():
            known = self.store_states.get(name)
            if known is None or known.store != store:
                self.store_states[name] = StoreState(store, self.old_version_read_s)

    def state_at(self, address: str) -> StoreState | None:
        """Return the state of the store at an address, if one is configured."""
        for state in self.store_states.values():
            if state.store.address == address:
                return state
        return None

    def has_other_owner(self, owner: str, since: float = -math.inf) -> bool:
        """Return whether parts of another shared owner were reported after a time."""
        return any(
            other != owner and found.last_at > since
            for state in self.store_states.values()
            for other, found in state.shared_owners.items()
        )

    def ranked_stores(self, part: choice.PromptPart) -> list[StoreState]:
        """Return the stores in order of preference for a part.

        The order follows rendezvous hashing weighted by capacity; small parts prefer
        the stores with the shortest setup time.
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

    def transfers(
        self,
        parts: tuple[choice.PromptPart, ...],
        key_salt: str,
        engine: catalog.Engine,
        zone: str,
        now: float,
    ) -> collections.abc.Iterator[transfers.Transfer]:
        """Yield the transfers of the parts that stores hold, to an engine in a zone."""
        for part in _storable_parts(parts):
            state = self._readable_store(part, key_salt, now)
            if state is None:
                continue
            rate = min(state.store.link_bits_per_s, engine.link_bits_per_s)
            size = 8.0 * engine.kv_token_bytes * part.tokens
            factor = 1.0 if zone == state.store.zone else CROSS_ZONE_FACTOR
            # A link without a stated rate counts as fast, so that its parts are read.
            link_s = factor * size / rate if rate > 0 else 0.0
            expected_s = state.store.setup_s + link_s
            yield transfers.Transfer(part.id, part.tokens, state.store.name, expected_s)

    def plan(
        self,
        parts: tuple[choice.PromptPart, ...],
        key_salt: str,
        now: float,
        wanted: collections.abc.Container[str] | None = None,
        saves: collections.abc.Mapping[str, Saving] | None = None,
    ) -> Plan:
        """Plan which parts the chosen engine reads from and saves to stores.

        Parameters
        ----------
        wanted : container of str or None
            Ids of the parts to read; None for all that stores hold. The others are
            computed, and not saved again.
        saves : mapping of str to Saving, or None
            Granted saves by the id of the part; None if no grants are needed.
        """
        sources: list[Source | None] = []
        targets: list[catalog.KvStore | None] = []
        offsets: list[float] = []
        shared = _storable_parts(parts)
        for index, part in enumerate(parts):
            is_private = index >= len(shared)
            state = None if is_private else self._readable_store(part, key_salt, now)
            if state is not None and wanted is not None and part.id not in wanted:
                sources.append(None)
                targets.append(None)
                continue
            if state is not None and state.clock_offset_s is not None:
                tokens = state.parts[(key_salt, part.id)]
                sources.append(Source(state.store, tokens))
                offsets.append(state.clock_offset_s)
                targets.append(None)
                continue
            sources.append(None)
            if is_private:
                targets.append(None)
            elif saves is None:
                saving = self._save_target(part, key_salt, now)
                targets.append(saving.state.store if saving is not None else None)
            else:
                targets.append(_granted_target(saves.get(part.id)))
        if not any(sources) and not any(targets):
            return NO_PLAN
        deadline_s = now + min(offsets) + FETCH_TIMEOUT_S if offsets else None
        return Plan(tuple(sources), tuple(targets), deadline_s)

    def wanted_saves(
        self,
        parts: tuple[choice.PromptPart, ...],
        key_salt: str,
        now: float,
    ) -> dict[str, Saving]:
        """Return by their ids the parts to save, for which grants are needed.

        They count as pending from now on.
        """
        found = {}
        for part in _storable_parts(parts):
            if self._readable_store(part, key_salt, now) is not None:
                continue
            saving = self._save_target(part, key_salt, now)
            if saving is not None:
                found[part.id] = saving
        return found

    def cancel_saves(
        self, plan: Plan, parts: tuple[choice.PromptPart, ...], key_salt: str
    ) -> None:
        """Cancel the pending saves of a request that no engine has run."""
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
    ) -> Saving | None:
        key = (key_salt, part.id)
        ranked_stores = self.ranked_stores(part)
        if any(state.has_pending_save(key, now) for state in ranked_stores):
            return None
        for state in ranked_stores:
            if state.is_superseded(key_salt, now):
                continue
            if state.may_save(key, part.tokens, now):
                state.add_pending(key, now)
                return Saving(state, state.epoch)
        return None


def _granted_target(saving: Saving | None) -> catalog.KvStore | None:
    """Return the store of a granted save, unless it has restarted since."""
    if saving is None or saving.state.epoch != saving.epoch:
        return None
    return saving.state.store


def _storable_parts(
    parts: tuple[choice.PromptPart, ...],
) -> tuple[choice.PromptPart, ...]:
    """Return the shared parts of a prompt, or none if they are short in total."""
    shared = parts[:-1]
    return shared if sum(part.tokens for part in shared) >= MIN_STORED_TOKENS else ()


def old_version_read_s(bound_s: float) -> float:
    """Return for how long parts of outdated weights are read, in seconds.

    Parameters
    ----------
    bound_s : float
        Time for which the deployment allows outdated weights, in seconds.
    """
    ends_s = rollout.longest_target_s(bound_s) - OLD_VERSION_END_S
    return max(OLD_VERSION_READ_S, ends_s)


def is_version_usable(outdated_ms: float, read_s: float = OLD_VERSION_READ_S) -> bool:
    """Return whether parts of a weight version may be read and saved.

    Parameters
    ----------
    outdated_ms : float
        Time since a newer version was named, in milliseconds.
    read_s : float
        Time for which parts of outdated weights are read, in seconds.
    """
    return outdated_ms < 1e3 * read_s


def unowned_parts(
    state: StoreState,
    known: catalog.Catalog,
    since: float,
    now: float,
) -> collections.abc.Iterator[PartKey]:
    """Yield the parts whose owners a configuration lacks and that no node reads.

    Parameters
    ----------
    since : float
        Time since which the configuration has had the same owners, in seconds.
    """
    shared = state.shared_owners.get(known.shared_owner)
    confirmed_at = math.inf if shared is None else shared.confirmed_at
    if now - max(since, confirmed_at) <= OWNER_FREE_DELAY_S:
        return
    owners = known.owners
    for key in state.parts:
        owner = owner_of(key)
        if owner and owner not in owners:
            yield key


def outdated_parts(state: StoreState, now: float) -> collections.abc.Iterator[PartKey]:
    """Yield the parts that newer versions have replaced and no node reads any more."""
    newest: dict[str, int] = {}
    for (model, version), found in state.versions.items():
        delay_s = state.old_version_read_s + OLD_VERSION_FREE_DELAY_S
        if now - found.confirmed_at > delay_s:
            newest[model] = max(version, newest.get(model, 0))
    for key in state.parts if newest else ():
        model, version = model_version_of(key)
        if version < newest.get(model, 0):
            yield key

"""What a node believes about the upstreams that the platform lists."""

import collections
import collections.abc
import dataclasses
import math

REMOVAL_GRACE_S = 2.2
"""Entries that lapsed during an outage of the list are back within 2 s of its end."""

HELD_PART = 0.3
"""Part of an engine's memory that is taken to keep the parts that nodes told of.

Running requests and short parts of other nodes, which are not told, fill the rest.
"""

HEAL_PER_S = 0.25
"""Part of the remembered failure rate that is forgotten each second."""

MEAN_LOAD_S = 1.0
"""Time over which the load that upstreams tell of is averaged."""

MEAN_LOAD_LEAST_WEIGHT = 0.1
"""Least weight of one report in that average, for reports that come together."""

MEAN_LOAD_FADE_S = 3.0
"""Age at which that average no longer counts."""

FAILURE_WEIGHT = 0.2
"""Weight of the newest outcome in the failure rate."""


@dataclasses.dataclass(frozen=True)
class Entry:
    """One upstream as listed.

    Attributes
    ----------
    born : int
        Start of the process in Unix milliseconds; 0 if not told.
    cold_s : float
        How much longer it stays cold, in seconds, when the entry was written.
    versions : dict of str to int
        Weight version of each model.
    """

    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int = 1
    is_leaving: bool = False
    cold_s: float = 0.0
    born: int = 0
    versions: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def addr(self) -> tuple[str, int]:
        """Host and port."""
        return self.host, self.port


@dataclasses.dataclass(frozen=True)
class LoadNote:
    """Load that an upstream told with an answer.

    Attributes
    ----------
    own : int
        Requests of this node that ran there then.
    at : float
        Monotonic time of the answer, in seconds.
    """

    running: int
    waiting: int
    own: int
    at: float

    def others(self) -> tuple[int, int]:
        """Return other nodes' requests running and waiting."""
        total = max(0, self.running + self.waiting - self.own)
        waiting = min(self.waiting, total)
        return total - waiting, waiting


@dataclasses.dataclass
class MeanLoad:
    """Mean load of other nodes at the upstreams of one service, as told lately.

    Attributes
    ----------
    at : float
        When the last report came, in seconds.
    """

    running: float = 0.0
    waiting: float = 0.0
    at: float = -math.inf

    def note(self, load: LoadNote) -> None:
        """Add what an upstream told."""
        weight = 1.0 - math.exp(-max(0.0, load.at - self.at) / MEAN_LOAD_S)
        weight = max(MEAN_LOAD_LEAST_WEIGHT, weight)
        running, waiting = load.others()
        self.running += weight * (running - self.running)
        self.waiting += weight * (waiting - self.waiting)
        self.at = load.at

    def at_time(self, now: float) -> tuple[float, float]:
        """Return requests running and waiting; an old average fades."""
        fade = max(0.0, 1.0 - (now - self.at) / MEAN_LOAD_FADE_S)
        return fade * self.running, fade * self.waiting


@dataclasses.dataclass(frozen=True)
class Announced:
    """A prompt that another node has sent to an upstream.

    Attributes
    ----------
    until : float
        When it no longer counts, in seconds.
    """

    tokens: int
    until: float


@dataclasses.dataclass
class Upstream:
    """One upstream and what this node knows of it.

    Attributes
    ----------
    running : int
        Requests that this node has there.
    prefill_tokens : int
        Prompt tokens of this node's requests without a first event.
    oldest_silence_at : float or None
        Since when a request waits and nothing has been heard, in seconds.
    failure_rate : float
        Part of the latest requests that failed.
    blocked_until : float
        No request is sent before, after connecting failed; in seconds.
    switching_until : float
        The upstream loads weights and turns requests away; in seconds.
    announced : dict
        Prompts of other nodes, by sender and number.
    held : collections.OrderedDict
        Parts of prompts that it is taken to have cached, with their tokens.
    """

    entry: Entry
    cold_until: float = 0.0
    cold_start_budget: float = 0.0
    cold_start_refilled_at: float = 0.0
    running: int = 0
    prefill_tokens: int = 0
    tokens: int = 0
    load: LoadNote | None = None
    oldest_silence_at: float | None = None
    failure_rate: float = 0.0
    failure_at: float = 0.0
    connect_failures: int = 0
    blocked_until: float = 0.0
    switching_until: float = 0.0
    versions: dict[str, int] = dataclasses.field(default_factory=dict)
    held: "collections.OrderedDict[str, int]" = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    held_tokens: int = 0
    announced: dict[tuple[str, int], Announced] = dataclasses.field(
        default_factory=dict
    )

    def announced_tokens(self, now: float) -> int:
        """Return the prompt tokens of other nodes that wait to be read."""
        for key in [k for k, item in self.announced.items() if item.until <= now]:
            del self.announced[key]
        return sum(item.tokens for item in self.announced.values())

    def note_version(self, model: str, version: int) -> None:
        """Note the weight version that the upstream serves now."""
        if self.versions.get(model) != version:
            self.versions[model] = version
            self.forget_cache()

    def forget_cache(self) -> None:
        """Forget which parts are cached there."""
        self.held.clear()
        self.held_tokens = 0

    def note_held(self, part: str, tokens: int, capacity: float) -> None:
        """Note a part that was sent there; the least recently sent ones yield."""
        if part in self.held:
            self.held.move_to_end(part)
            return
        self.held[part] = tokens
        self.held_tokens += tokens
        while self.held_tokens > capacity and len(self.held) > 1:
            _, dropped = self.held.popitem(last=False)
            self.held_tokens -= dropped

    def note_outcome(self, is_failure: bool, now: float) -> None:
        """Add an outcome to the failure rate."""
        rate = self.failure_rate_at(now)
        self.failure_rate = rate + FAILURE_WEIGHT * (float(is_failure) - rate)
        self.failure_at = now

    def failure_rate_at(self, now: float) -> float:
        """Return the failure rate, which fades while nothing is sent."""
        fade = max(0.0, 1.0 - HEAL_PER_S * (now - self.failure_at))
        return self.failure_rate * fade

    def others(
        self, now: float, mean: tuple[float, float] = (0.0, 0.0), fade_s: float = 1.0
    ) -> tuple[float, float]:
        """Return other nodes' requests running and waiting.

        What the upstream told last gives way to the mean load of its service as it
        ages, so that the one heard of longest ago does not look idle.
        """
        if self.load is None:
            return mean
        fade = max(0.0, 1.0 - (now - self.load.at) / fade_s)
        running, waiting = self.load.others()
        return (
            fade * running + (1.0 - fade) * mean[0],
            fade * waiting + (1.0 - fade) * mean[1],
        )


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of what the node believes about an upstream, for the log."""

    upstream_id: str
    what: str


class Fleet:
    """The upstreams by id, and those whose entries vanished during an outage."""

    def __init__(self) -> None:
        self.upstreams: dict[str, Upstream] = {}
        self._mean_loads: dict[str, MeanLoad] = {}
        self._of_service: dict[str, list[Upstream]] = {}
        self._doubtful: dict[str, float] = {}

    def of_service(self, name: str) -> list[Upstream]:
        """Return the upstreams of a service."""
        return self._of_service.get(name, [])

    def note_load(self, upstream: Upstream, load: LoadNote) -> None:
        """Take the load that an upstream told with an answer."""
        upstream.load = load
        service = upstream.entry.service
        self._mean_loads.setdefault(service, MeanLoad()).note(load)

    def mean_load(self, service: str, now: float) -> tuple[float, float]:
        """Return other nodes' requests running and waiting at a mean upstream."""
        mean = self._mean_loads.get(service)
        return (0.0, 0.0) if mean is None else mean.at_time(now)

    def put(self, entry: Entry, now: float) -> Change | None:
        """Take a listed entry."""
        was_missing = self._doubtful.pop(entry.id, None) is not None
        known = self.upstreams.get(entry.id)
        if known is None or known.entry.born != entry.born:
            known = Upstream(entry, versions=dict(entry.versions))
            known.cold_until = now + entry.cold_s
            self.upstreams[entry.id] = known
            self._index()
            return Change(entry.id, "listed")
        before, known.entry = known.entry, entry
        known.cold_until = now + entry.cold_s if entry.cold_s > 0 else 0.0
        for model, version in entry.versions.items():
            if before.versions.get(model) != version:
                known.note_version(model, version)
        if (before.service, before.is_leaving) == (entry.service, entry.is_leaving):
            return Change(entry.id, "back") if was_missing else None
        self._index()
        return Change(entry.id, "leaving" if entry.is_leaving else "ready")

    def differs(self, entry: Entry) -> bool:
        """Tell whether an entry changes what is known, a missing one included."""
        known = self.upstreams.get(entry.id)
        return known is None or known.entry != entry or entry.id in self._doubtful

    def remove(self, upstream_id: str, now: float, in_grace: bool) -> Change | None:
        """Take the removal of an entry; one that may have lapsed is kept a while."""
        if upstream_id not in self.upstreams:
            return None
        if in_grace:
            self._doubtful.setdefault(upstream_id, now + REMOVAL_GRACE_S)
            return Change(upstream_id, "missing")
        del self.upstreams[upstream_id]
        self._doubtful.pop(upstream_id, None)
        self._index()
        return Change(upstream_id, "gone")

    def replace(
        self, entries: collections.abc.Sequence[Entry], now: float, in_grace: bool
    ) -> collections.abc.Iterator[Change]:
        """Take the whole list."""
        listed = {entry.id for entry in entries}
        for entry in entries:
            if (change := self.put(entry, now)) is not None:
                yield change
        for upstream_id in [i for i in self.upstreams if i not in listed]:
            if (change := self.remove(upstream_id, now, in_grace)) is not None:
                yield change

    def expire(self, now: float) -> collections.abc.Iterator[Change]:
        """Remove the entries that did not come back after an outage."""
        for upstream_id in [i for i, at in self._doubtful.items() if at <= now]:
            if (change := self.remove(upstream_id, now, in_grace=False)) is not None:
                yield change

    def _index(self) -> None:
        self._of_service = {}
        for upstream in self.upstreams.values():
            if not upstream.entry.is_leaving:
                name = upstream.entry.service
                self._of_service.setdefault(name, []).append(upstream)

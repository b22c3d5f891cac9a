"""What a node believes about the upstreams that the platform lists."""

import collections
import collections.abc
import dataclasses
import math

REMOVAL_GRACE_S = 2.2
"""Entries that lapsed during an outage of the list are back within 2 s of its end."""

CACHED_PARTS_FRACTION = 0.3
"""Part of an engine's memory that is taken to keep the parts that nodes told of.

Running requests and short parts of other nodes, which are not told, fill the rest.
"""

FAILURE_DECAY_PER_S = 0.25
"""Part of the remembered failure rate that is forgotten each second."""

MEAN_LOAD_WINDOW_S = 1.0
"""Time over which the load that upstreams tell of is averaged."""

MEAN_LOAD_MIN_WEIGHT = 0.1
"""Least weight of one report in that average, for reports that come together."""

MEAN_LOAD_MAX_AGE_S = 3.0
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
class LoadReport:
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

    def other_nodes_load(self) -> tuple[int, int]:
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

    def add(self, load: LoadReport) -> None:
        """Add what an upstream told."""
        weight = 1.0 - math.exp(-max(0.0, load.at - self.at) / MEAN_LOAD_WINDOW_S)
        weight = max(MEAN_LOAD_MIN_WEIGHT, weight)
        running, waiting = load.other_nodes_load()
        self.running += weight * (running - self.running)
        self.waiting += weight * (waiting - self.waiting)
        self.at = load.at

    def value_at(self, now: float) -> tuple[float, float]:
        """Return requests running and waiting; an old average fades."""
        fade = max(0.0, 1.0 - (now - self.at) / MEAN_LOAD_MAX_AGE_S)
        return fade * self.running, fade * self.waiting


@dataclasses.dataclass(frozen=True)
class AnnouncedPrompt:
    """A prompt that another node has sent to an upstream.

    Attributes
    ----------
    until : float
        When it no longer counts, in seconds.
    """

    tokens: int
    expires_at: float


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
    reserved_tokens: int = 0
    load: LoadReport | None = None
    silent_since: float | None = None
    failure_rate: float = 0.0
    failure_rate_updated_at: float = 0.0
    connect_failures: int = 0
    blocked_until: float = 0.0
    switching_until: float = 0.0
    versions: dict[str, int] = dataclasses.field(default_factory=dict)
    cached_parts: "collections.OrderedDict[str, int]" = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    cached_part_tokens: int = 0
    announced: dict[tuple[str, int], AnnouncedPrompt] = dataclasses.field(
        default_factory=dict
    )

    def announced_tokens(self, now: float) -> int:
        """Return the prompt tokens of other nodes that wait to be read."""
        for key in [k for k, item in self.announced.items() if item.expires_at <= now]:
            del self.announced[key]
        return sum(item.tokens for item in self.announced.values())

    def set_version(self, model: str, version: int) -> None:
        """Note the weight version that the upstream serves now."""
        if self.versions.get(model) != version:
            self.versions[model] = version
            self.clear_cache()

    def clear_cache(self) -> None:
        """Forget which parts are cached there."""
        self.cached_parts.clear()
        self.cached_part_tokens = 0

    def add_cached_part(self, part: str, tokens: int, capacity: float) -> None:
        """Note a part that was sent there; the least recently sent ones yield."""
        if part in self.cached_parts:
            self.cached_parts.move_to_end(part)
            return
        self.cached_parts[part] = tokens
        self.cached_part_tokens += tokens
        while self.cached_part_tokens > capacity and len(self.cached_parts) > 1:
            _, dropped = self.cached_parts.popitem(last=False)
            self.cached_part_tokens -= dropped

    def record_outcome(self, is_failure: bool, now: float) -> None:
        """Add an outcome to the failure rate."""
        rate = self.failure_rate_at(now)
        self.failure_rate = rate + FAILURE_WEIGHT * (float(is_failure) - rate)
        self.failure_rate_updated_at = now

    def failure_rate_at(self, now: float) -> float:
        """Return the failure rate, which fades while nothing is sent."""
        fade = max(
            0.0, 1.0 - FAILURE_DECAY_PER_S * (now - self.failure_rate_updated_at)
        )
        return self.failure_rate * fade

    def other_nodes_load(
        self, now: float, mean: tuple[float, float] = (0.0, 0.0), fade_s: float = 1.0
    ) -> tuple[float, float]:
        """Return other nodes' requests running and waiting.

        What the upstream told last gives way to the mean load of its service as it
        ages, so that the one heard of longest ago does not look idle.
        """
        if self.load is None:
            return mean
        fade = max(0.0, 1.0 - (now - self.load.at) / fade_s)
        running, waiting = self.load.other_nodes_load()
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
        self._by_service: dict[str, list[Upstream]] = {}
        self._removal_due: dict[str, float] = {}

    def of_service(self, name: str) -> list[Upstream]:
        """Return the upstreams of a service."""
        return self._by_service.get(name, [])

    def record_load(self, upstream: Upstream, load: LoadReport) -> None:
        """Take the load that an upstream told with an answer."""
        upstream.load = load
        service = upstream.entry.service
        self._mean_loads.setdefault(service, MeanLoad()).add(load)

    def mean_load(self, service: str, now: float) -> tuple[float, float]:
        """Return other nodes' requests running and waiting at a mean upstream."""
        mean = self._mean_loads.get(service)
        return (0.0, 0.0) if mean is None else mean.value_at(now)

    def put(self, entry: Entry, now: float) -> Change | None:
        """Take a listed entry."""
        was_missing = self._removal_due.pop(entry.id, None) is not None
        known = self.upstreams.get(entry.id)
        if known is None or known.entry.born != entry.born:
            known = Upstream(entry, versions=dict(entry.versions))
            known.cold_until = now + entry.cold_s
            self.upstreams[entry.id] = known
            self._rebuild_index()
            return Change(entry.id, "listed")
        before, known.entry = known.entry, entry
        known.cold_until = now + entry.cold_s if entry.cold_s > 0 else 0.0
        for model, version in entry.versions.items():
            if before.versions.get(model) != version:
                known.set_version(model, version)
        if (before.service, before.is_leaving) == (entry.service, entry.is_leaving):
            return Change(entry.id, "back") if was_missing else None
        self._rebuild_index()
        return Change(entry.id, "leaving" if entry.is_leaving else "ready")

    def differs(self, entry: Entry) -> bool:
        """Tell whether an entry changes what is known, a missing one included."""
        known = self.upstreams.get(entry.id)
        return known is None or known.entry != entry or entry.id in self._removal_due

    def remove(self, upstream_id: str, now: float, in_grace: bool) -> Change | None:
        """Take the removal of an entry; one that may have lapsed is kept a while."""
        if upstream_id not in self.upstreams:
            return None
        if in_grace:
            self._removal_due.setdefault(upstream_id, now + REMOVAL_GRACE_S)
            return Change(upstream_id, "missing")
        del self.upstreams[upstream_id]
        self._removal_due.pop(upstream_id, None)
        self._rebuild_index()
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
        for upstream_id in [i for i, at in self._removal_due.items() if at <= now]:
            if (change := self.remove(upstream_id, now, in_grace=False)) is not None:
                yield change

    def _rebuild_index(self) -> None:
        self._by_service = {}
        for upstream in self.upstreams.values():
            if not upstream.entry.is_leaving:
                name = upstream.entry.service
                self._by_service.setdefault(name, []).append(upstream)

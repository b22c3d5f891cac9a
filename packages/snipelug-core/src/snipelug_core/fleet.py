"""A node's view of the upstreams that the platform lists."""

import collections
import collections.abc
import dataclasses
import functools
import math
import operator

import msgspec

from snipelug_core import (
    hashing,
    named_limit,
    queueing,
    ranges,
    restore,
    slowness,
    speed,
    triage,
)

CACHED_PARTS_FRACTION = 0.3
"""Fraction of an engine's KV cache that is assumed to hold known prompt parts.

Running requests and short parts sent by other nodes, which are not announced, use the
rest.
"""

FAILURE_DECAY_PER_S = 0.25
"""Linear decay of the failure rate per second without a new outcome."""

MEAN_LOAD_WINDOW_S = 1.0
"""Time constant of the moving average over reported load."""

MEAN_LOAD_MIN_WEIGHT = 0.1
"""Minimum weight of a report in the average, for reports that arrive together."""

MEAN_LOAD_MAX_AGE_S = 3.0
"""Age at which the average is no longer used."""

MAX_PAUSE_S = 300.0
"""Maximum pause that an upstream can request with one response.

A wrong value does not exclude an upstream for good. After it, one request shows
whether the pause goes on.
"""

MAX_NOTICES = 4096
"""Maximum number of processes whose notices are remembered after they are unlisted."""

MAX_GONE = 4096
"""Maximum number of processes that are remembered as gone."""

FAILURE_WEIGHT = 0.2
"""Weight of the latest outcome in the failure rate."""


@dataclasses.dataclass(frozen=True)
class Entry:
    """Entry of one upstream in the platform's list.

    Attributes
    ----------
    born : int
        Start of the process in Unix milliseconds; 0 if unknown.
    release : str
        Version of the software; empty if unknown.
    cold_s : float
        Remaining cold start time when the entry was written, in seconds.
    versions : dict of str to int
        Weight version of each model.
    """

    id: ranges.Name
    service: ranges.Name
    host: ranges.Name
    port: ranges.Count
    zone: ranges.Name
    slots: ranges.Count = 1
    is_leaving: bool = False
    cold_s: ranges.DurationS = 0.0
    born: ranges.Born = 0
    versions: dict[ranges.Name, ranges.Number] = dataclasses.field(default_factory=dict)
    release: ranges.Name = ""

    @property
    def addr(self) -> tuple[str, int]:
        """Host and port."""
        return self.host, self.port


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load that an upstream reported with a response.

    Attributes
    ----------
    own : int
        Requests that this node had in flight there at that time.
    at : float
        Monotonic time of the response, in seconds.
    """

    running: int
    waiting: int
    own: int
    at: float

    def other_nodes_load(self) -> tuple[int, int]:
        """Return the numbers of other nodes' running and waiting requests."""
        total = max(0, self.running + self.waiting - self.own)
        waiting = min(self.waiting, total)
        return total - waiting, waiting


@dataclasses.dataclass
class MeanLoad:
    """Moving average of other nodes' load per upstream of a service.

    Attributes
    ----------
    at : float
        Monotonic time of the last report, in seconds.
    """

    running: float = 0.0
    waiting: float = 0.0
    at: float = -math.inf

    def add(self, load: LoadReport) -> None:
        """Add a load report of one upstream."""
        weight = 1.0 - math.exp(-max(0.0, load.at - self.at) / MEAN_LOAD_WINDOW_S)
        weight = max(MEAN_LOAD_MIN_WEIGHT, weight)
        running, waiting = load.other_nodes_load()
        self.running += weight * (running - self.running)
        self.waiting += weight * (waiting - self.waiting)
        self.at = load.at

    def value_at(self, now: float) -> tuple[float, float]:
        """Return the average running and waiting requests, decayed with age."""
        fade = max(0.0, 1.0 - (now - self.at) / MEAN_LOAD_MAX_AGE_S)
        return fade * self.running, fade * self.waiting


@dataclasses.dataclass(frozen=True)
class AnnouncedPrompt:
    """A prompt that another node has sent to an upstream.

    Attributes
    ----------
    expires_at : float
        Monotonic time at which it is no longer counted, in seconds.
    """

    tokens: int
    expires_at: float


@dataclasses.dataclass
class Notice:
    """What one process of an upstream stated about itself in its responses.

    Attributes
    ----------
    is_leaving : bool
        Whether it is leaving. The statement is never withdrawn.
    paused_until : float
        Monotonic time before which it asked this node for no requests, in seconds.
    limit : named_limit.Limit or None
        The rate limit that it names, or named; None if it never named one.
    """

    is_leaving: bool = False
    paused_until: float = 0.0
    limit: named_limit.Limit | None = None


@dataclasses.dataclass
class Upstream:
    """One upstream and what this node knows about it.

    Attributes
    ----------
    running : int
        Requests that this node has in flight there.
    prefill_tokens : int
        Prompt tokens of this node's requests that have not received a first event.
    reserved_tokens : int
        Prompt and maximum output tokens of this node's requests.
    notice : Notice
        Its own statements; they outlast a removal from the list.
    slow_factor : slowness.Slowness
        How slowly it works, from its reports.
    silent_since : float or None
        Since when a request has waited without any response, in seconds.
    failure_rate : float
        Moving average of the fraction of requests that failed.
    misdirected : int
        Number of rejections in a row that named another instance or weight version.
    blocked_until : float
        No request is sent before this time, after a failed connect; in seconds.
    switching_until : float
        Until then the upstream loads weights and rejects requests; in seconds.
    announced : dict
        Prompts announced by other nodes, by sender and number.
    cached_parts : collections.OrderedDict
        Prompt parts assumed to be in its cache, with their token counts, least
        recently sent first.
    """

    entry: Entry
    notice: Notice = dataclasses.field(default_factory=Notice)
    cold_until: float = 0.0
    running: int = 0
    prefill_tokens: int = 0
    reserved_tokens: int = 0
    load: LoadReport | None = None
    slow_factor: slowness.Slowness = dataclasses.field(
        default_factory=slowness.Slowness
    )
    silent_since: float | None = None
    failure_rate: float = 0.0
    failure_rate_updated_at: float = 0.0
    connect_failures: int = 0
    misdirected: int = 0
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

    @property
    def is_leaving(self) -> bool:
        """Whether the list or the upstream itself states that it is leaving."""
        return self.entry.is_leaving or self.notice.is_leaving

    @property
    def available_at(self) -> float:
        """Monotonic time from which it may receive requests, in seconds."""
        return max(self.blocked_until, self.switching_until, self.notice.paused_until)

    @property
    def limit_per_s(self) -> float | None:
        """Requests per second that it takes from all nodes; None if not limited."""
        limit = self.notice.limit
        return None if limit is None else limit.per_s

    def announced_tokens(self, now: float) -> int:
        """Return the prompt tokens of other nodes that await prefill."""
        for key in [k for k, item in self.announced.items() if item.expires_at <= now]:
            del self.announced[key]
        return sum(item.tokens for item in self.announced.values())

    def set_version(self, model: str, version: int) -> None:
        """Set the weight version; a new version invalidates the cached parts.

        An upstream that serves newer weights has finished loading them.
        """
        before = self.versions.get(model)
        if before == version:
            return
        self.versions[model] = version
        self.clear_cache()
        if before is not None and version > before:
            self.switching_until = 0.0

    def clear_cache(self) -> None:
        """Discard the record of cached parts."""
        self.cached_parts.clear()
        self.cached_part_tokens = 0

    def add_cached_part(self, part: str, tokens: int, capacity: float) -> None:
        """Record a sent part as cached and evict the least recently sent ones."""
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
        """Return the failure rate, decayed since the last outcome."""
        fade = max(
            0.0, 1.0 - FAILURE_DECAY_PER_S * (now - self.failure_rate_updated_at)
        )
        return self.failure_rate * fade

    def other_nodes_load(
        self, now: float, mean: tuple[float, float] = (0.0, 0.0), fade_s: float = 1.0
    ) -> tuple[float, float]:
        """Return the estimated numbers of other nodes' running and waiting requests.

        As the last report ages, its weight shifts to the mean load of the service, so
        that the upstream with the oldest report does not look idle.
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
    """A change in the known state of an upstream, for the log."""

    upstream_id: str
    what: str


def entry_digest(entry: Entry) -> int:
    """Return a digest of an entry, from 1 to ``ranges.MAX_NUMBER``."""
    data = msgspec.msgpack.encode(entry, order="deterministic")
    number = int.from_bytes(hashing.keyed_digest(b"", data)[:8], "big")
    return 1 + number % ranges.MAX_NUMBER


class Fleet:
    """The upstreams by id, including entries that vanished during an outage.

    Attributes
    ----------
    changes : int
        Number of changes of the upstreams that a service has, or of their releases.
    """

    def __init__(self) -> None:
        self.upstreams: dict[str, Upstream] = {}
        self.changes = 0
        self._digests: dict[str, int] = {}
        self._mean_loads: dict[str, MeanLoad] = {}
        self._wait_models: dict[str, queueing.WaitModel] = {}
        self._speed_models: dict[str, speed.SpeedModel] = {}
        self._competitions: dict[str, triage.Competition] = {}
        self._by_service: dict[str, list[Upstream]] = {}
        self._removal_due: dict[str, float] = {}
        # Processes, by id and start, that were listed once and are not any more.
        self._gone: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )
        self._withheld: set[tuple[str, int]] = set()
        self._withheld_until = math.inf
        self._notices: collections.OrderedDict[tuple[str, int], Notice] = (
            collections.OrderedDict()
        )

    def of_service(self, name: str) -> list[Upstream]:
        """Return the upstreams of a service."""
        return self._by_service.get(name, [])

    def record_load(self, upstream: Upstream, load: LoadReport) -> None:
        """Record the load that an upstream reported with a response."""
        upstream.load = load
        service = upstream.entry.service
        self._mean_loads.setdefault(service, MeanLoad()).add(load)

    def mean_load(self, service: str, now: float) -> tuple[float, float]:
        """Return other nodes' running and waiting requests at an average upstream."""
        mean = self._mean_loads.get(service)
        return (0.0, 0.0) if mean is None else mean.value_at(now)

    def wait_model(self, service: str) -> queueing.WaitModel:
        """Return what was learned about waiting at the upstreams of a service."""
        return self._wait_models.setdefault(service, queueing.WaitModel())

    def speed_model(self, service: str) -> speed.SpeedModel:
        """Return what was learned about the speed of the upstreams of a service."""
        return self._speed_models.setdefault(service, speed.SpeedModel())

    def competition(self, service: str) -> triage.Competition:
        """Return what is known of the requests that compete for a service."""
        return self._competitions.setdefault(service, triage.Competition())

    @property
    def digest(self) -> int | None:
        """Digest of the listed entries, the same at all nodes that know the same list.

        None while the entries in use differ from the list, as some are kept after an
        outage or withheld after a restore.
        """
        if self._removal_due or self._withheld:
            return None
        return functools.reduce(operator.xor, self._digests.values(), 0)

    def put(self, entry: Entry, now: float) -> Change | None:
        """Add or update a listed entry."""
        self._gone.pop((entry.id, entry.born), None)
        self._withheld.discard((entry.id, entry.born))
        was_missing = self._removal_due.pop(entry.id, None) is not None
        known = self.upstreams.get(entry.id)
        if known is None or known.entry != entry:
            self._digests[entry.id] = entry_digest(entry)
        if known is None or known.entry.born != entry.born:
            if known is not None:
                self._remember_gone(known)
            notice = self._notices.get((entry.id, entry.born), Notice())
            known = Upstream(entry, notice, versions=dict(entry.versions))
            known.cold_until = now + entry.cold_s
            self.upstreams[entry.id] = known
            self._rebuild_index()
            return Change(entry.id, "listed")
        was_leaving = known.is_leaving
        before, known.entry = known.entry, entry
        known.cold_until = now + entry.cold_s if entry.cold_s > 0 else 0.0
        for model, version in entry.versions.items():
            # A process never returns to older weights, but a restored copy of the list
            # can have them.
            is_listed = before.versions.get(model) != version
            if is_listed and version > known.versions.get(model, -1):
                known.set_version(model, version)
        if before.release != entry.release:
            self.changes += 1
        if (before.service, was_leaving) == (entry.service, known.is_leaving):
            return Change(entry.id, "back") if was_missing else None
        self._rebuild_index()
        return Change(entry.id, "leaving" if known.is_leaving else "ready")

    def record_leaving(self, upstream: Upstream) -> bool:
        """Record that an upstream stated that it leaves; return whether this is new.

        The statement concerns one process: it holds while the list still states that
        the upstream is ready, and if the entry vanishes and returns unchanged.
        """
        notice = self._remembered_notice(upstream)
        if notice.is_leaving:
            return False
        notice.is_leaving = True
        self._rebuild_index()
        return True

    def record_pause(self, upstream: Upstream, for_s: float, now: float) -> bool:
        """Record that an upstream asked for a pause; return whether one starts.

        The latest end of all requested pauses counts: responses on several
        connections overtake each other, and a shorter pause that is requested later
        does not withdraw the earlier request.
        """
        notice = self._remembered_notice(upstream)
        starts = notice.paused_until <= now
        until = now + min(for_s, MAX_PAUSE_S)
        notice.paused_until = max(notice.paused_until, until)
        return starts and until > now

    def record_limit(
        self, upstream: Upstream, statement: named_limit.Statement
    ) -> named_limit.Change | None:
        """Record what a process stated about its limit; return the change, if any.

        Like other statements, it outlasts a removal from the list, but not the process.
        """
        if upstream.notice.limit is None and statement.per_s is None:
            return None
        notice = self._remembered_notice(upstream)
        before = notice.limit
        notice.limit = named_limit.update(before, statement)
        return named_limit.difference(before, notice.limit)

    def _remembered_notice(self, upstream: Upstream) -> Notice:
        """Return the notice of an upstream's process, which is now remembered."""
        key = upstream.entry.id, upstream.entry.born
        notice = self._notices.setdefault(key, upstream.notice)
        self._notices.move_to_end(key)
        if len(self._notices) > MAX_NOTICES:
            self._notices.popitem(last=False)
        listed = self.upstreams.get(upstream.entry.id)
        for item in (upstream, listed):
            if item is not None and item.entry.born == upstream.entry.born:
                item.notice = notice
        return notice

    def differs(self, entry: Entry) -> bool:
        """Return whether an entry is new, changed or back after it was missing."""
        known = self.upstreams.get(entry.id)
        return known is None or known.entry != entry or entry.id in self._removal_due

    def remove(
        self, upstream_id: str, now: float, kept_until: float = -math.inf
    ) -> Change | None:
        """Remove an entry, or keep it as missing if it may return until a later time.

        Entries that are missing after that time are removed by ``replace``.
        """
        if upstream_id not in self.upstreams:
            return None
        if now < kept_until:
            self._removal_due.setdefault(upstream_id, kept_until)
            return Change(upstream_id, "missing")
        self._remember_gone(self.upstreams.pop(upstream_id))
        del self._digests[upstream_id]
        self._removal_due.pop(upstream_id, None)
        self._rebuild_index()
        return Change(upstream_id, "gone")

    def replace(
        self,
        entries: collections.abc.Sequence[Entry],
        now: float,
        kept_until: float = -math.inf,
        is_restored: bool = False,
    ) -> collections.abc.Iterator[Change]:
        """Replace all entries by a complete list.

        After a restore from a copy, a process that was gone is withheld until its row
        is written again or ``restore.RESTORE_GRACE_S`` have passed, and a process that
        was leaving stays leaving, as this is never withdrawn.

        Parameters
        ----------
        kept_until : float
            Time until which vanished entries are kept, in seconds.
        is_restored : bool
            Whether this is the first read of the list since a restore.
        """
        if is_restored:
            self._withheld = {(e.id, e.born) for e in entries} & self._gone.keys()
            self._withheld_until = now + restore.RESTORE_GRACE_S
            for upstream in self.upstreams.values():
                self._remember_leaving(upstream)
        used = [e for e in entries if (e.id, e.born) not in self._withheld]
        listed = {entry.id for entry in used}
        for entry in entries:
            if entry.id not in listed:
                yield Change(entry.id, "withheld")
        for entry in used:
            if (change := self.put(entry, now)) is not None:
                yield change
        for upstream_id in [i for i in self.upstreams if i not in listed]:
            # A later gap does not prolong the time for which an entry is kept.
            until = min(kept_until, self._removal_due.get(upstream_id, kept_until))
            if (change := self.remove(upstream_id, now, until)) is not None:
                yield change

    def end_withholding(self, now: float) -> bool:
        """Stop withholding processes after the grace period of a restore.

        Returns
        -------
        bool
            Whether the list must be read whole, as processes were withheld.
        """
        if now < self._withheld_until:
            return False
        had_any = bool(self._withheld)
        self._withheld.clear()
        self._withheld_until = math.inf
        return had_any

    def _remember_leaving(self, upstream: Upstream) -> None:
        if upstream.entry.is_leaving:
            self._remembered_notice(upstream).is_leaving = True

    def _remember_gone(self, upstream: Upstream) -> None:
        self._remember_leaving(upstream)
        self._gone[(upstream.entry.id, upstream.entry.born)] = None
        if len(self._gone) > MAX_GONE:
            self._gone.popitem(last=False)

    def is_removal_due(self, now: float) -> bool:
        """Return whether a whole read must tell if missing entries have returned."""
        return any(at <= now for at in self._removal_due.values())

    def _rebuild_index(self) -> None:
        self.changes += 1
        self._by_service = {}
        for upstream in self.upstreams.values():
            if not upstream.is_leaving:
                name = upstream.entry.service
                self._by_service.setdefault(name, []).append(upstream)

"""Cold start and delayed load reports, shared by engines and plain services."""

import collections
import dataclasses
import enum
import itertools
import uuid

import trio

from snipelug_standins import faults, standin

EXIT_OVERLOAD = 70
SAMPLE_INTERVAL_S = 0.05
COUNTERS = (
    "requests",
    "completed",
    "cancelled",
    "max_concurrent",
    "max_concurrent_cold",
    "overloads",
    "refused_broken",
    "turned_cold",
)


class OnOverload(enum.StrEnum):
    """What an upstream does when it is overloaded while cold."""

    EXIT = "exit"
    RECORD = "record"


@dataclasses.dataclass(frozen=True)
class Overloaded:
    """The upstream failed under load and returns errors until it recovers."""


@dataclasses.dataclass(eq=False)
class ActiveRequest:
    """A request that the upstream has admitted and not yet finished.

    Attributes
    ----------
    cut : bool
        The upstream failed under load while the request was active.
    """

    is_cold: bool
    aborted: bool = False


class Warmth:
    """Warm or cold state of an upstream, and its active requests.

    Parameters
    ----------
    cold_limit : int
        Concurrent requests that the upstream can serve while cold.
    warm_requests : int
        Number of completed requests after which a cold upstream is warm.
    is_cold : bool
        Whether the upstream starts cold.
    on_overload : OnOverload
        What happens when the limit is exceeded.
    recover_s : float
        Time for which the upstream returns errors after an overload, in seconds.

    Notes
    -----
    Requests that are active when the upstream turns cold do not count towards
    the limit, because no sender could have known about the change.
    """

    def __init__(
        self,
        cold_limit: int,
        warm_requests: int,
        on_overload: OnOverload = OnOverload.EXIT,
        recover_s: float = 1.0,
        is_cold: bool = False,
    ) -> None:
        self.cold_limit = cold_limit
        self.warm_requests = warm_requests
        self.on_overload = on_overload
        self.recover_s = recover_s
        self.boot_id = uuid.uuid4().hex
        self.is_cold = is_cold
        self.active_requests: set[ActiveRequest] = set()
        self.counts: collections.Counter[str] = collections.Counter()
        self._completed_cold = 0
        self._failing_until = 0.0

    def admit(self) -> ActiveRequest | Overloaded:
        """Admit a request, or fail if it exceeds the cold limit."""
        self.counts["requests"] += 1
        if trio.current_time() < self._failing_until:
            self.counts["refused_broken"] += 1
            return Overloaded()
        active_request = ActiveRequest(self.is_cold)
        self.active_requests.add(active_request)
        concurrent = len(self.active_requests)
        self.counts["max_concurrent"] = max(self.counts["max_concurrent"], concurrent)
        cold = sum(t.is_cold for t in self.active_requests)
        self.counts["max_concurrent_cold"] = max(
            self.counts["max_concurrent_cold"], cold
        )
        if active_request.is_cold and cold > self.cold_limit:
            return self._fail_overloaded(cold)
        return active_request

    def finish(self, active_request: ActiveRequest, completed: bool) -> None:
        """Remove an active request and count its outcome."""
        self.active_requests.discard(active_request)
        self.counts["completed" if completed else "cancelled"] += 1
        if not completed or not active_request.is_cold or not self.is_cold:
            return
        self._completed_cold += 1
        if self._completed_cold >= self.warm_requests:
            self.is_cold = False
            for other in self.active_requests:
                other.is_cold = False

    def turn_cold(self, new_boot_id: bool) -> None:
        """Reset the upstream to its cold state."""
        self.is_cold = True
        self._completed_cold = 0
        self.counts["turned_cold"] += 1
        if new_boot_id:
            self.boot_id = uuid.uuid4().hex

    def _fail_overloaded(self, cold: int) -> Overloaded:
        self.counts["overloads"] += 1
        if self.on_overload is OnOverload.EXIT:
            reason = f"{cold} concurrent requests while cold, limit {self.cold_limit}"
            standin.stop_process(EXIT_OVERLOAD, reason)
        for active_request in self.active_requests:
            active_request.aborted = True
        self.active_requests.clear()
        self._failing_until = trio.current_time() + self.recover_s
        self.turn_cold(new_boot_id=True)
        return Overloaded()

    def apply(self, wanted: faults.UpstreamFaults) -> bool:
        """Apply the fault ``turn_cold``; return whether to close connections."""
        match wanted.turn_cold:
            case faults.TurnCold(close_connections=close, new_boot_id=new):
                self.turn_cold(new)
                return close
            case True:
                self.turn_cold(new_boot_id=False)
        return False


@dataclasses.dataclass(frozen=True)
class Sample:
    """One load report; ``made_at`` is a monotonic time in seconds."""

    made_at: float
    seq: int
    content: dict[str, object]


class Reports:
    """Load reports that become readable with a delay.

    Parameters
    ----------
    lag_s : float
        Minimum age of the report that a reader gets, in seconds; 0 for none.
    """

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self._numbers = itertools.count(1)
        self._samples: collections.deque[Sample] = collections.deque()

    def add(self, content: dict[str, object]) -> None:
        """Record a report of the current load."""
        now = trio.current_time()
        self._samples.append(Sample(now, next(self._numbers), content))
        newest = now - self.lag_s
        while len(self._samples) > 1 and self._samples[1].made_at <= newest:
            self._samples.popleft()

    def read(self) -> dict[str, object]:
        """Return the newest report of the minimum age, or else the oldest report."""
        now = trio.current_time()
        old = [s for s in self._samples if s.made_at <= now - self.lag_s]
        sample = old[-1] if old else self._samples[0]
        return {**sample.content, "seq": sample.seq, "age_s": now - sample.made_at}


def sample(
    warmth: Warmth, leaving: bool, running: int, waiting: int, version: str
) -> dict[str, object]:
    """Build the content of a load report."""
    state = "cold" if warmth.is_cold else "warm"
    return {
        "state": "leaving" if leaving else state,
        "boot_id": warmth.boot_id,
        "running": running,
        "waiting": waiting,
        "weight_version": version,
    }


def warmth_stats(warmth: Warmth) -> dict[str, object]:
    """Return the counters that engines and services have in common."""
    return {name: warmth.counts[name] for name in COUNTERS}

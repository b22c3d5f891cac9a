"""Cold start and lagged load reports, shared by engines and plain services."""

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
    """What an upstream does when it gets too much load while cold."""

    EXIT = "exit"
    RECORD = "record"


@dataclasses.dataclass(frozen=True)
class Broken:
    """The upstream fell over and answers only errors for a while."""


@dataclasses.dataclass(eq=False)
class Ticket:
    """One request inside the upstream.

    Attributes
    ----------
    cut : bool
        The upstream fell over while the request was inside.
    """

    is_cold: bool
    cut: bool = False


class Warmth:
    """Warm or cold state of an upstream and the requests inside it.

    Parameters
    ----------
    cold_limit : int
        Concurrent requests that the upstream sustains while cold.
    warm_requests : int
        Completed requests after which a cold upstream is warm.
    is_cold : bool
        Whether it starts cold.
    on_overload : OnOverload
        What happens above the limit.
    recover_s : float
        Time for which a fallen upstream answers only errors, in seconds.

    Notes
    -----
    Requests that were already inside when the upstream turns cold do not count
    towards the limit: no sender could have known.
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
        self.tickets: set[Ticket] = set()
        self.counts: collections.Counter[str] = collections.Counter()
        self._completed_cold = 0
        self._broken_until = 0.0

    def enter(self) -> Ticket | Broken:
        """Admit a request, or fall over if it is one too many."""
        self.counts["requests"] += 1
        if trio.current_time() < self._broken_until:
            self.counts["refused_broken"] += 1
            return Broken()
        ticket = Ticket(self.is_cold)
        self.tickets.add(ticket)
        inside = len(self.tickets)
        self.counts["max_concurrent"] = max(self.counts["max_concurrent"], inside)
        cold = sum(t.is_cold for t in self.tickets)
        self.counts["max_concurrent_cold"] = max(
            self.counts["max_concurrent_cold"], cold
        )
        if ticket.is_cold and cold > self.cold_limit:
            return self._fall_over(cold)
        return ticket

    def leave(self, ticket: Ticket, completed: bool) -> None:
        """Take a request out again."""
        self.tickets.discard(ticket)
        self.counts["completed" if completed else "cancelled"] += 1
        if not completed or not ticket.is_cold or not self.is_cold:
            return
        self._completed_cold += 1
        if self._completed_cold >= self.warm_requests:
            self.is_cold = False
            for other in self.tickets:
                other.is_cold = False

    def turn_cold(self, new_boot_id: bool) -> None:
        """Return to cold start."""
        self.is_cold = True
        self._completed_cold = 0
        self.counts["turned_cold"] += 1
        if new_boot_id:
            self.boot_id = uuid.uuid4().hex

    def _fall_over(self, cold: int) -> Broken:
        self.counts["overloads"] += 1
        if self.on_overload is OnOverload.EXIT:
            reason = f"{cold} concurrent requests while cold, limit {self.cold_limit}"
            standin.stop_process(EXIT_OVERLOAD, reason)
        for ticket in self.tickets:
            ticket.cut = True
        self.tickets.clear()
        self._broken_until = trio.current_time() + self.recover_s
        self.turn_cold(new_boot_id=True)
        return Broken()

    def apply(self, wanted: faults.UpstreamFaults) -> bool:
        """Apply the fault ``turn_cold``; return whether to cut connections."""
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
    """Load reports that readers get with a lag.

    Parameters
    ----------
    lag_s : float
        Least age of the report that a reader gets, in seconds; 0 for fresh ones.
    """

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self._numbers = itertools.count(1)
        self._samples: collections.deque[Sample] = collections.deque()

    def add(self, content: dict[str, object]) -> None:
        """Record the present load."""
        now = trio.current_time()
        self._samples.append(Sample(now, next(self._numbers), content))
        newest = now - self.lag_s
        while len(self._samples) > 1 and self._samples[1].made_at <= newest:
            self._samples.popleft()

    def read(self) -> dict[str, object]:
        """Return the newest report that is old enough, else the oldest one."""
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

"""Decides which requests a node still sends on while it shuts down."""

import dataclasses

from snipelug_core import catalog

DEREGISTRATION_FRACTION = 0.65
"""Maximum fraction of the grace period that deregistration may take."""

EXIT_MARGIN_S = 0.65
EXIT_MARGIN_FRACTION = 0.125
"""Margin between the abort of connections and the time the platform kills the node.

The larger of both applies. The process must end 0.5 s before that time, and its exit
takes longer on a busy machine.
"""

ANSWER_MARGIN_S = 0.1
"""Time to write final responses before the remaining connections are aborted."""

READ_MARGIN_S = 0.2
"""Margin before the final responses at which incomplete requests are refused.

Clients need it to notice the refusal while they are still sending.
"""

RETRY_AFTER_S = 0.1
"""Retry-after time of requests that another node can serve at once."""

MEASURED_WINDOW_S = 30.0
"""Length of the two windows over which the longest response time is kept."""


@dataclasses.dataclass(frozen=True)
class Schedule:
    """Monotonic times of a shutdown, in seconds.

    Attributes
    ----------
    closes_at : float
        The listener and idle connections are closed.
    reading_ends_at : float
        Requests that are still being read are refused.
    answers_at : float
        Requests without a response get their final one.
    cut_at : float
        The remaining connections are aborted.
    """

    began_at: float
    closes_at: float
    reading_ends_at: float
    answers_at: float
    cut_at: float

    def limit(self, deadline: float, is_stream: bool) -> float:
        """Return the time until which a request may be served.

        A stream has been answered with its head, so it may use the time up to the cut.
        """
        return min(deadline, self.cut_at if is_stream else self.answers_at)


def schedule(began_at: float, grace_s: float, deregistration_s: float) -> Schedule:
    """Divide a grace period.

    Parameters
    ----------
    grace_s : float
        Time from the request to stop until the platform kills the process, in seconds.
    deregistration_s : float
        Time until the load balancer sends no more requests, in seconds.
    """
    exit_margin_s = max(EXIT_MARGIN_S, EXIT_MARGIN_FRACTION * grace_s)
    cut_at = began_at + max(0.0, grace_s - exit_margin_s)
    answers_at = max(began_at, cut_at - ANSWER_MARGIN_S)
    reading_ends_at = max(began_at, answers_at - READ_MARGIN_S)
    closes_s = min(deregistration_s, DEREGISTRATION_FRACTION * grace_s)
    closes_at = min(began_at + closes_s, reading_ends_at)
    return Schedule(began_at, closes_at, reading_ends_at, answers_at, cut_at)


@dataclasses.dataclass
class LongestTime:
    """Longest of the recent response times of a route.

    Attributes
    ----------
    window : int
        Number of the current window.
    current_s, previous_s : float
        Longest time in the current window and in the one before, in seconds.
    """

    window: int = 0
    current_s: float = 0.0
    previous_s: float = 0.0

    def record(self, duration_s: float, now: float) -> None:
        """Record a response time."""
        self._advance(now)
        self.current_s = max(self.current_s, duration_s)

    def longest_s(self, now: float) -> float:
        """Return the longest recent response time, in seconds; 0 if there is none."""
        self._advance(now)
        return max(self.current_s, self.previous_s)

    def _advance(self, now: float) -> None:
        window = int(now // MEASURED_WINDOW_S)
        if window == self.window:
            return
        self.previous_s = self.current_s if window == self.window + 1 else 0.0
        self.current_s = 0.0
        self.window = window


def may_send(
    plan: Schedule,
    now: float,
    route: catalog.Route,
    deadline: float,
    longest_s: float,
    has_begun: bool,
) -> bool:
    """Return whether a request may be sent to an upstream during a shutdown.

    A request that is not sent can run at another node at once, while one that is cut
    may have run.

    Parameters
    ----------
    deadline : float
        Monotonic time until which the caller and the route let it run, in seconds.
    longest_s : float
        Longest recent response time of the route, in seconds; 0 if unknown.
    has_begun : bool
        Whether it is a stream of which the caller has received a part.
    """
    if route.is_stream:
        # The load balancer still sends new streams before the listener is closed, and
        # a stream that has begun is worth continuing for any further event.
        is_served = has_begun or now < plan.closes_at
        ends_at = min(deadline, now + route.objective_s) if is_served else deadline
        return ends_at <= plan.cut_at
    needed_s = max(route.objective_s, longest_s)
    return min(deadline, now + needed_s) <= plan.answers_at

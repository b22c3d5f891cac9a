"""What follows after one attempt of a request: answer, try again, or give up."""

import dataclasses
import enum

from snipelug_core import catalog

MAX_SENDS = 4
"""Sends of one request, those that upstreams turned away included."""

MIN_REMAINING_S = 0.02
"""With less time left no further attempt is made."""


class Result(enum.Enum):
    """How one attempt ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    """The upstream answered with a failure of its own, so the request ran."""
    NOT_CONNECTED = "not_connected"
    """No byte was sent."""
    REJECTED = "turned_away"
    """The upstream says that it did not run the request."""
    LOST = "lost"
    """Whether the request ran is not known."""


NOT_RUN = (Result.NOT_CONNECTED, Result.REJECTED)
"""Results after which the upstream has not run the request and never will."""


class Action(enum.Enum):
    """What to do next."""

    DELIVER = "deliver"
    TRY_AGAIN = "try_again"
    REFUSE = "refuse"
    """Answer that nothing was run and nothing will be."""
    FAIL = "fail"
    """Answer that nothing is known about the request."""


@dataclasses.dataclass
class History:
    """The attempts of one request so far.

    Attributes
    ----------
    sends : int
        Attempts that reached or may have reached an upstream.
    runs : int
        Attempts that ran or may have run.
    """

    sends: int = 0
    runs: int = 0
    failed_connects: int = 0

    def add(self, result: Result) -> None:
        """Count an attempt."""
        if result is Result.NOT_CONNECTED:
            self.failed_connects += 1
            return
        self.sends += 1
        if result not in NOT_RUN:
            self.runs += 1


def decide(
    result: Result,
    history: History,
    route: catalog.Route,
    remaining_s: float,
    has_budget: bool,
) -> Action:
    """Decide after an attempt that ``history`` already counts.

    Parameters
    ----------
    left_s : float
        Time until the deadline, in seconds.
    has_budget : bool
        The retry budget allows one more send.
    """
    if result is Result.ANSWERED:
        return Action.DELIVER
    may_run_again = (
        route.repeat is not catalog.RepeatPolicy.AT_MOST_ONCE
        and history.runs < route.max_attempts
    )
    may_send = (
        history.sends < MAX_SENDS
        and history.failed_connects <= MAX_SENDS
        and remaining_s > MIN_REMAINING_S
        and (has_budget or result is Result.NOT_CONNECTED)
        and (history.runs == 0 or may_run_again)
    )
    if may_send:
        return Action.TRY_AGAIN
    if result is Result.FAILED:
        return Action.DELIVER
    return Action.REFUSE if history.runs == 0 else Action.FAIL

"""Decides after each attempt of a request whether to answer, retry or give up."""

import dataclasses
import enum

from snipelug_core import catalog

MAX_SENDS = 4
"""Maximum sends of one request, including those that upstreams rejected."""

MIN_REMAINING_S = 0.02
"""Minimum time to the deadline for a further attempt."""


class Result(enum.Enum):
    """How one attempt ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    """The upstream ran the request and answered with an error."""
    NOT_CONNECTED = "not_connected"
    """No byte was sent."""
    REJECTED = "turned_away"
    """The upstream reported that it did not run the request."""
    LOST = "lost"
    """It is unknown whether the request ran."""


NOT_RUN = (Result.NOT_CONNECTED, Result.REJECTED)
"""Results that guarantee that the upstream did not and will not run the request."""


class Action(enum.Enum):
    """The next step for a request."""

    DELIVER = "deliver"
    TRY_AGAIN = "try_again"
    REFUSE = "refuse"
    """Answer that the request did not run and will not run."""
    FAIL = "fail"
    """Answer that the outcome of the request is unknown."""


@dataclasses.dataclass
class History:
    """Counts of the attempts of one request so far.

    Attributes
    ----------
    sends : int
        Attempts that reached or may have reached an upstream.
    runs : int
        Attempts that ran or may have run.
    failed_connects : int
        Attempts that failed to connect.
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
    """Return the next step after an attempt that ``history`` already includes.

    Parameters
    ----------
    remaining_s : float
        Time until the deadline, in seconds.
    has_budget : bool
        Whether the retry budget allows one more send.
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

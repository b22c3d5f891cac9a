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


@dataclasses.dataclass(eq=False)
class Attempt:
    """One attempt of a request.

    Attributes
    ----------
    process : str
        Id of the upstream's process.
    is_sent : bool
        Whether a byte of the request was or may have been sent.
    result : Result or None
        How it ended; None while it is under way.
    has_ended_upstream : bool
        Whether the upstream's process is known to have ended since.
    """

    process: str = ""
    is_sent: bool = False
    result: Result | None = None
    has_ended_upstream: bool = False

    def end(self, result: Result) -> None:
        """Record how the attempt ended."""
        self.result = result

    @property
    def is_under_way(self) -> bool:
        """Whether the request was sent and the attempt has not ended."""
        return self.is_sent and self.result is None

    @property
    def is_send(self) -> bool:
        """Whether the request reached or may have reached the upstream."""
        is_ended = self.result not in (None, Result.NOT_CONNECTED)
        return is_ended or self.is_under_way

    @property
    def is_run(self) -> bool:
        """Whether the upstream ran or may have run the request."""
        return self.is_send and self.result not in NOT_RUN


class History:
    """The attempts of one request so far.

    An attempt counts from the moment it is sent, and whatever becomes of it: a stream
    that goes on elsewhere has run on both upstreams.

    Attributes
    ----------
    attempts : list of Attempt
        All attempts in order.
    """

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []

    def begin(self, process: str = "") -> Attempt:
        """Add an attempt that is not sent yet."""
        made = Attempt(process)
        self.attempts.append(made)
        return made

    @property
    def sends(self) -> int:
        """Number of attempts that reached or may have reached an upstream."""
        return sum(item.is_send for item in self.attempts)

    @property
    def runs(self) -> int:
        """Number of attempts that ran or may have run."""
        return sum(item.is_run for item in self.attempts)

    @property
    def limited_runs(self) -> int:
        """Number of runs that count for the limit of the route.

        Runs on upstreams that have ended do not.
        """
        return sum(
            item.is_run and not item.has_ended_upstream for item in self.attempts
        )

    @property
    def failed_connects(self) -> int:
        """Number of attempts that failed to connect."""
        return sum(item.result is Result.NOT_CONNECTED for item in self.attempts)

    @property
    def is_under_way(self) -> bool:
        """Whether an attempt was sent and has not ended."""
        return any(item.is_under_way for item in self.attempts)


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
        and history.limited_runs < route.max_attempts
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

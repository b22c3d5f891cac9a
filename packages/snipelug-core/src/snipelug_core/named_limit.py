"""What one node knows of the rate limit that a process of an upstream names.

An upstream in need names in its answers the rate of requests that it takes from all
nodes together, for as long as the limit holds. Answers on several connections overtake
each other, and messages of other nodes arrive late. Each statement therefore has the
interval in which the upstream made it: from the request to the arrival of its answer.
Of the statements that may be the latest, the lowest limit holds.
"""

import dataclasses
import math

from snipelug_core import ranges

MAX_PER_S = ranges.MAX_RATE
"""Maximum limit; higher ones are as good as none."""

MAX_STATEMENTS = 8
"""Maximum number of statements that are kept; the lowest limits are kept."""


@dataclasses.dataclass(frozen=True)
class Answer:
    """What an upstream's answer tells about its limit.

    Attributes
    ----------
    per_s : float or None
        Requests per second that it takes from all nodes; None if it names no limit.
    """

    per_s: float | None


@dataclasses.dataclass(frozen=True)
class Statement:
    """What an upstream told this node or another one.

    Attributes
    ----------
    per_s : float or None
        Requests per second that it takes from all nodes; None if it names no limit.
    asked_at : float
        Monotonic time at which the answered request was sent, in seconds. The upstream
        made the statement later.
    heard_at : float
        Monotonic time at which the answer arrived, in seconds.
    is_first_hand : bool
        Whether this node received the answer.
    """

    per_s: float | None
    asked_at: float
    heard_at: float
    is_first_hand: bool = True


@dataclasses.dataclass(frozen=True)
class Limit:
    """What a node knows of the limit of one process.

    Attributes
    ----------
    statements : tuple of Statement
        Statements that may be the latest, one for each value, lowest limit first.
    since : float
        Monotonic time from which the process has been limited, or not any more, in
        seconds.
    """

    statements: tuple[Statement, ...]
    since: float

    @property
    def statement(self) -> Statement:
        """The statement that is in force."""
        return self.statements[0]

    @property
    def per_s(self) -> float | None:
        """Requests per second in force; None once the limit has ended."""
        return self.statement.per_s


@dataclasses.dataclass(frozen=True)
class Change:
    """A limit that is new, changed or ended.

    Attributes
    ----------
    before, per_s : float or None
        Requests per second before and from now on; None for no limit.
    """

    before: float | None
    per_s: float | None


def update(known: Limit | None, statement: Statement) -> Limit | None:
    """Return what is known of a limit after a statement."""
    if known is None:
        if statement.per_s is None:
            return None
        return Limit((statement,), statement.heard_at)
    if any(_replaces(item, statement) for item in known.statements):
        return known
    same = [item for item in known.statements if item.per_s == statement.per_s]
    others = [
        item
        for item in known.statements
        if item.per_s != statement.per_s and item.heard_at >= statement.asked_at
    ]
    merged = _merge(same[0], statement) if same else statement
    statements = sorted([merged, *others], key=_order)[:MAX_STATEMENTS]
    is_ended = statements[0].per_s is None
    is_same_state = is_ended == (known.per_s is None)
    since = known.since if is_same_state else statement.heard_at
    return Limit(tuple(statements), since)


def difference(before: Limit | None, after: Limit | None) -> Change | None:
    """Return the change of the limit in force, None if there is none."""
    before_per_s = None if before is None else before.per_s
    per_s = None if after is None else after.per_s
    return None if per_s == before_per_s else Change(before_per_s, per_s)


def _replaces(known: Statement, statement: Statement) -> bool:
    """Return whether a known statement is newer, or known at first hand instead."""
    if known.asked_at > statement.heard_at:
        return True
    is_retold = known.is_first_hand and not statement.is_first_hand
    return is_retold and known.heard_at >= statement.heard_at


def _merge(known: Statement, statement: Statement) -> Statement:
    """Merge two statements of the same value."""
    latest = max(known, statement, key=lambda item: item.heard_at)
    asked_at = max(known.asked_at, statement.asked_at)
    return dataclasses.replace(latest, asked_at=asked_at)


def _order(statement: Statement) -> float:
    return math.inf if statement.per_s is None else statement.per_s

"""Requests sent to an upstream since it was last known to be warm.

Nothing but a load report says whether an upstream is warm: one in cold start accepts
requests and sends first tokens like a warm one, until it gets too many. Reports lag.
Every request therefore takes one of the slots of a cold start, and gives it back when
it has ended or when a report made after its arrival says warm.
"""

import collections.abc
import dataclasses
import math

from snipelug_core import table

ACCEPTANCE_DELAY_S = 0.25
"""Time after a send within which the upstream has accepted the request, where its
answer has not started yet. The head of an answer shows it earlier."""

MIN_READ_S = 0.02
"""Shortest time between two reads of the load of a warm upstream."""

COLD_READ_S = 0.25
"""Time between two reads of the load of an upstream that is not warm."""

SLOT_STALL_S = 5.0
"""Time without any slot after which a node uses its allowance.

A node that dies keeps its slots for `admission.ARRIVAL_BOUND_S`; a warm upstream must not
stand still for that long.
"""

MAX_SENT_WITHOUT_SLOT = 1
"""Unconfirmed requests of one node at one warm upstream without a slot."""


@dataclasses.dataclass
class SentRequest:
    """A request that was sent.

    Attributes
    ----------
    at : float
        Monotonic time of the send, in seconds.
    head_at : float or None
        Monotonic time at which the head of its answer was read, in seconds.
    """

    at: float
    head_at: float | None = None


def latest_arrival(sent: SentRequest) -> float:
    """Return a time by which the upstream had accepted the request."""
    return sent.at + ACCEPTANCE_DELAY_S if sent.head_at is None else sent.head_at


def is_confirmed(sent: SentRequest, report: table.LoadReport | None) -> bool:
    """Return whether the upstream was warm after the request arrived."""
    if report is None or report.state is not table.Warmth.WARM:
        return False
    return report.made_at > latest_arrival(sent)


def next_read_at(
    sent_requests: collections.abc.Iterable[SentRequest],
    upstream: table.Upstream,
    now: float,
) -> float:
    """Return when to read the load so that it may confirm a request.

    The lag of the newest report tells when a report made after the arrival can be
    read, so that reads before that time are saved.
    """
    report = upstream.report
    if report is None or report.state is not table.Warmth.WARM:
        return now + COLD_READ_S
    due = min(
        (latest_arrival(sent) for sent in sent_requests), default=now
    ) + report_age_s(upstream)
    return max(now + MIN_READ_S, due)


def report_age_s(upstream: table.Upstream) -> float:
    """Return how old the newest report was when it was read, in seconds."""
    report = upstream.report
    if report is None or upstream.load_read_at is None:
        return 0.0
    return max(0.0, upstream.load_read_at - report.made_at)


def expected_wait_s(unconfirmed: int, limit: int, age_s: float) -> float:
    """Return how long a further request waits for a slot of a warm upstream.

    Parameters
    ----------
    unconfirmed : int
        Requests in slots, and those that wait for one.
    limit : int
        Slots of the upstream.
    age_s : float
        Age of reports when they are read, in seconds: slots in use get free after it.
    """
    ahead = unconfirmed - limit + 1
    return math.ceil(max(0, ahead) / limit) * (age_s + MIN_READ_S)


def may_send_without_slot(
    silent_slots: int, rank: int, stalled_s: float, used: int
) -> bool:
    """Return whether a node may send to a warm upstream without a slot.

    While a holder is silent, as many nodes as it has slots may: those that rank first
    for the upstream among the live nodes. So a warm upstream is served on, and nodes
    that agree on who is live do not exceed the limit.

    Parameters
    ----------
    silent_slots : int
        Slots of the parts that have no holder, or one that does not answer.
    rank : int
        Place of this node among the live nodes, from 0.
    stalled_s : float
        Time for which this node has asked for slots and got none, in seconds.
    used : int
        Unconfirmed requests that this node has sent there on its allowance.
    """
    return used < MAX_SENT_WITHOUT_SLOT and (
        rank < silent_slots or stalled_s >= SLOT_STALL_S
    )

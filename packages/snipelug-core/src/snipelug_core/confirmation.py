"""Requests sent to an upstream since it was last known to be warm.

Only a load report shows whether an upstream is warm. An upstream in cold start accepts
requests and sends first tokens like a warm one until it gets too many, and reports lag.
Every request therefore takes a cold-start slot and returns it when it has ended, or
when a report made after its arrival shows that the upstream was warm.
"""

import collections.abc
import dataclasses
import math

from snipelug_core import table

ACCEPTANCE_DELAY_S = 0.25
"""Time in seconds after a send by which the upstream has accepted the request, used
until its response starts. The response headers prove acceptance earlier."""

MIN_READ_S = 0.02
"""Shortest interval between two reads of a warm upstream's load, in seconds."""

COLD_READ_S = 0.25
"""Interval in seconds between two reads of the load of an upstream that is not warm."""

SLOT_STALL_S = 5.0
"""Time in seconds without any slot after which a node sends without one.

The slots of a node that dies stay in use for `admission.ARRIVAL_BOUND_S`; a warm
upstream must not be idle for that long.
"""

MAX_SENT_WITHOUT_SLOT = 1
"""Unconfirmed requests that one node may have at one warm upstream without a slot."""


@dataclasses.dataclass
class SentRequest:
    """A request that was sent.

    Attributes
    ----------
    at : float
        Monotonic time of the send, in seconds.
    arrived_at : float or None
        Monotonic time, in seconds, at which the response headers were read, or at which
        the upstream had closed the connection: the request had arrived by then or never
        will.
    """

    at: float
    arrived_at: float | None = None


def latest_arrival(sent: SentRequest) -> float:
    """Return a time by which the upstream had accepted the request."""
    return sent.at + ACCEPTANCE_DELAY_S if sent.arrived_at is None else sent.arrived_at


def is_confirmed(sent: SentRequest, report: table.LoadReport | None) -> bool:
    """Return whether the report shows a warm upstream after the request arrived."""
    if report is None or report.state is not table.Warmth.WARM:
        return False
    return report.made_at > latest_arrival(sent)


def next_read_at(
    sent_requests: collections.abc.Iterable[SentRequest],
    upstream: table.Upstream,
    now: float,
) -> float:
    """Return when to read the load next so that it may confirm a request.

    The age of the latest report tells how soon a report made after the arrival can be
    read, which avoids useless reads before that time.
    """
    report = upstream.report
    if report is None or report.state is not table.Warmth.WARM:
        return now + COLD_READ_S
    due = min(
        (latest_arrival(sent) for sent in sent_requests), default=now
    ) + report_age_s(upstream)
    return max(now + MIN_READ_S, due)


def report_age_s(upstream: table.Upstream) -> float:
    """Return the age of the latest report when it was read, in seconds."""
    report = upstream.report
    if report is None or upstream.load_read_at is None:
        return 0.0
    return max(0.0, upstream.load_read_at - report.made_at)


def expected_wait_s(unconfirmed: int, limit: int, age_s: float) -> float:
    """Return how long a further request waits for a slot of a warm upstream.

    Parameters
    ----------
    unconfirmed : int
        Requests in slots or waiting for one.
    limit : int
        Slots of the upstream.
    age_s : float
        Age of reports when they are read, in seconds; slots in use become free after
        it.
    """
    ahead = unconfirmed - limit + 1
    return math.ceil(max(0, ahead) / limit) * (age_s + MIN_READ_S)


def may_send_without_slot(
    silent_slots: int, rank: int, stalled_s: float, used: int
) -> bool:
    """Return whether a node may send to a warm upstream without a slot.

    While holders do not answer, as many nodes as those holders have slots may send: the
    nodes that rank first for the upstream among the live nodes. A warm upstream is thus
    still served, and nodes that agree on the live nodes do not exceed the limit.

    Parameters
    ----------
    silent_slots : int
        Slots of the parts without a holder, or whose holder does not answer.
    rank : int
        Position of this node among the live nodes, from 0.
    stalled_s : float
        Time for which this node has requested slots and got none, in seconds.
    used : int
        Unconfirmed requests that this node has sent there without a slot.
    """
    return used < MAX_SENT_WITHOUT_SLOT and (
        rank < silent_slots or stalled_s >= SLOT_STALL_S
    )

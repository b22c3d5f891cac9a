"""Load reports, corrected for this node's recent requests, and checks before a send.

Reports lag behind the actual load, so the requests that this node has sent or
completed since a report was made are added to it.
"""

import dataclasses
import enum
import math

from snipelug_core import contract, table

STALE_S = 2.0
"""Maximum age of the last successful load read and completed list read at a send.

A leaving upstream must get no new work after 3 s. A notice that appears right after
a read is seen within this time, or else sending stops. The remaining second is for
the send itself.
"""

RECHECK_AGE_S = 0.75
"""Age of an idle upstream's load report from which a send reads it again first.

Without callers, idle upstreams are polled only once a second. The additional read
detects an upstream that has turned cold as early as at upstreams that are polled
every 0.5 s.
"""


class Reason(enum.StrEnum):
    """Why no request may be sent to an upstream, or why it needs a grant."""

    NOT_CURRENT = "node_not_current"
    ZONE_OUT = "zone_out"
    INSTANCE_OUT = "instance_out"
    LISTED_LEAVING = "listed_leaving"
    REPORTED_LEAVING = "reported_leaving"
    LIST_STALE = "list_stale"
    REPORT_STALE = "report_stale"
    NO_REPORT = "no_report"
    REPORTED_COLD = "reported_cold"
    CONNECTION_CLOSED = "connection_closed"
    CONNECTION_NEWER = "connection_newer_than_report"


@dataclasses.dataclass(frozen=True)
class Allowed:
    """The upstream is warm on this connection; no grant is needed."""


@dataclasses.dataclass(frozen=True)
class NeedsGrant:
    """The upstream counts as cold on this connection, so a grant is needed."""

    reason: Reason


@dataclasses.dataclass(frozen=True)
class Excluded:
    """No new request may be sent to the upstream."""

    reason: Reason


Verdict = Allowed | NeedsGrant | Excluded


def accept_report(
    upstream: table.Upstream, report: table.LoadReport, asked_at: float
) -> bool:
    """Store a load report unless a newer one is known.

    Reports of one boot are ordered by ``seq``. Boot ids are unordered, so reports
    of different boots are ordered by ``made_at``. A wrong order lasts only until
    the next report, since no boot id is ever excluded permanently.

    Parameters
    ----------
    upstream : Upstream
        Updated in place.
    report : LoadReport
        The received report.
    asked_at : float
        Monotonic time, in seconds, taken before the report was requested.

    Returns
    -------
    bool
        Whether the report was stored.
    """
    known = upstream.report
    is_newer = _is_newer(report, known)
    if not is_newer and not _is_same(report, known):
        return False
    if upstream.load_read_at is None or asked_at > upstream.load_read_at:
        upstream.load_read_at = asked_at
    if not is_newer:
        return False
    upstream.report = report
    changes = upstream.changes
    while changes and changes[0][0] <= report.made_at:
        changes.popleft()
    return True


def _is_newer(report: table.LoadReport, known: table.LoadReport | None) -> bool:
    if known is None:
        return True
    if report.boot_id == known.boot_id:
        return report.seq > known.seq
    return report.made_at > known.made_at


def _is_same(report: table.LoadReport, known: table.LoadReport | None) -> bool:
    if known is None:
        return False
    return (report.boot_id, report.seq) == (known.boot_id, known.seq)


def record_sent(upstream: table.Upstream, now: float) -> None:
    """Record that this node has sent a request to the upstream."""
    upstream.in_flight += 1
    upstream.changes.append((now, 1))


def record_ended(upstream: table.Upstream, now: float) -> None:
    """Record that a request of this node at the upstream has ended."""
    upstream.in_flight -= 1
    upstream.changes.append((now, -1))


def estimate_queue(upstream: table.Upstream) -> int:
    """Estimate the number of requests running and waiting at the upstream.

    The estimate is the reported number, plus the requests that this node has sent
    since the report, minus those that have ended, plus those that it has queued for
    the upstream. The part at the upstream is at least the number of requests that
    this node has in flight there, which an outdated report would otherwise hide.
    """
    report = upstream.report
    if report is None:
        return upstream.in_flight + upstream.queued
    net_change = sum(delta for _, delta in upstream.changes)
    running = max(report.running + report.waiting + net_change, upstream.in_flight)
    return running + upstream.queued


def mark_connection_closed(upstream: table.Upstream, now: float) -> None:
    """Treat the upstream as cold because a connection to it was closed.

    Also used for notices from peers, with their time of arrival. The effect lasts
    until a report made later than ``now`` says warm.
    """
    if upstream.suspect_since is None or now > upstream.suspect_since:
        upstream.suspect_since = now


def is_idle(upstream: table.Upstream) -> bool:
    """Return whether the upstream is known to be warm and to have no requests."""
    report = upstream.report
    return (
        report is not None
        and isinstance(check_warmth(upstream, -math.inf), Allowed)
        and upstream.in_flight == report.running == report.waiting == 0
    )


def needs_recheck(upstream: table.Upstream, now: float) -> bool:
    """Return whether an idle upstream's load must be read again before a send."""
    load_read_at = upstream.load_read_at
    return (
        load_read_at is not None
        and now - load_read_at > RECHECK_AGE_S
        and is_idle(upstream)
    )


def find_exclusion(
    upstream: table.Upstream,
    cfg: contract.Config,
    now: float,
    list_tried_at: float | None,
) -> Excluded | None:
    """Return why the upstream must not get new work; None if it may.

    Parameters
    ----------
    upstream : Upstream
        Upstream to check.
    cfg : Config
        Configuration in force. The caller must check that it is current.
    now : float
        Monotonic time in seconds.
    list_tried_at : float or None
        Monotonic time, in seconds, taken before the start of the most recent
        completed read of the instance list. A failed read counts as completed, so
        that an outage of the list does not stop all work, while a node that was
        paused reads the list before it sends again.
    """
    inst = upstream.instance
    report = upstream.report
    if inst.zone in cfg.zones_out:
        return Excluded(Reason.ZONE_OUT)
    if inst.id in cfg.instances_out:
        return Excluded(Reason.INSTANCE_OUT)
    if inst.leaving:
        return Excluded(Reason.LISTED_LEAVING)
    if report is not None and report.state is table.Warmth.LEAVING:
        return Excluded(Reason.REPORTED_LEAVING)
    if list_tried_at is None or now - list_tried_at > STALE_S:
        return Excluded(Reason.LIST_STALE)
    if upstream.load_read_at is None or now - upstream.load_read_at > STALE_S:
        return Excluded(Reason.REPORT_STALE)
    return None


def check_warmth(
    upstream: table.Upstream, conn_opened_at: float
) -> Allowed | NeedsGrant:
    """Check whether the upstream counts as warm on a connection.

    Parameters
    ----------
    upstream : Upstream
        Upstream to check.
    conn_opened_at : float
        Monotonic time at which the connection was opened, in seconds; ``inf``
        for a connection that is not open yet.
    """
    report = upstream.report
    if report is None:
        return NeedsGrant(Reason.NO_REPORT)
    if report.state is not table.Warmth.WARM:
        return NeedsGrant(Reason.REPORTED_COLD)
    suspect_since = upstream.suspect_since
    if suspect_since is not None and report.made_at <= suspect_since:
        return NeedsGrant(Reason.CONNECTION_CLOSED)
    if report.made_at <= conn_opened_at:
        return NeedsGrant(Reason.CONNECTION_NEWER)
    return Allowed()


def may_send(
    upstream: table.Upstream,
    cfg: contract.Config,
    conn_opened_at: float,
    now: float,
    list_tried_at: float | None,
) -> Verdict:
    """Check whether a request may be sent to the upstream over a connection now.

    The check has no side effects and does not suspend, so that it can be the last
    step before the bytes are sent. For the parameters see `find_exclusion` and
    `check_warmth`.
    """
    excluded = find_exclusion(upstream, cfg, now, list_tried_at)
    if excluded is not None:
        return excluded
    return check_warmth(upstream, conn_opened_at)

"""Lagged load reports, corrected by this node's own sends, and what they permit."""

import dataclasses
import enum
import math

from snipelug_core import contract, table

STALE_S = 2.0
"""Longest time without an answered load read or a finished list read before a send.

Below the bound of 3 s on new work for a leaving upstream: a notice that appears
right after a read is seen, or sending stops, within this time. The rest is for
the send itself.
"""

LOOK_S = 0.75
"""Age of a quiet upstream's load from which a send reads it again first.

Without callers quiet upstreams are read only every second; the look keeps a silent
change to cold visible as early as at upstreams that are read every 0.5 s.
"""


class Reason(enum.StrEnum):
    """Why an upstream may not be sent to, or needs a grant."""

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
    """The upstream counts as cold on this connection."""

    reason: Reason


@dataclasses.dataclass(frozen=True)
class Excluded:
    """No new work may go to the upstream."""

    reason: Reason


Verdict = Allowed | NeedsGrant | Excluded


def accept_report(
    upstream: table.Upstream, report: table.LoadReport, asked_at: float
) -> bool:
    """Take a load report unless a newer one is known.

    Reports of one boot are ordered by ``seq``. Boot ids have no order, so reports
    of different boots are ordered by ``made_at``; an error there lasts until the
    next report, since no boot id is excluded for good.

    Parameters
    ----------
    upstream : Upstream
        Changed in place.
    report : LoadReport
        The report read.
    asked_at : float
        Monotonic time before the report was asked for, in seconds.

    Returns
    -------
    bool
        Whether the report was taken.
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
    """Count a request as sent to the upstream."""
    upstream.in_flight += 1
    upstream.changes.append((now, 1))


def record_ended(upstream: table.Upstream, now: float) -> None:
    """Count a request of this node at the upstream as ended."""
    upstream.in_flight -= 1
    upstream.changes.append((now, -1))


def estimate_queue(upstream: table.Upstream) -> int:
    """Estimate the requests running and waiting at the upstream now.

    The report plus this node's sends since it was made, less the ends since then, and
    what this node is about to send.
    It is never below the requests that this node has at the upstream, which a late
    report of an older state would otherwise hide.
    """
    report = upstream.report
    if report is None:
        return upstream.in_flight + upstream.queued
    since = sum(step for _, step in upstream.changes)
    running = max(report.running + report.waiting + since, upstream.in_flight)
    return running + upstream.queued


def mark_connection_closed(upstream: table.Upstream, now: float) -> None:
    """Count the upstream as cold because a connection to it was closed.

    Also applies to a peer's notice, with the time at which it arrived. Lasts until
    a report made later says warm.
    """
    if upstream.suspect_since is None or now > upstream.suspect_since:
        upstream.suspect_since = now


def is_idle(upstream: table.Upstream) -> bool:
    """Return whether the upstream is known as warm and without any request."""
    report = upstream.report
    return (
        report is not None
        and isinstance(check_warmth(upstream, -math.inf), Allowed)
        and upstream.in_flight == report.running == report.waiting == 0
    )


def needs_recheck(upstream: table.Upstream, now: float) -> bool:
    """Return whether the load of a quiet upstream is to be read before a send."""
    load_read_at = upstream.load_read_at
    return (
        load_read_at is not None and now - load_read_at > LOOK_S and is_idle(upstream)
    )


def judge_leaving(
    upstream: table.Upstream,
    cfg: contract.Config,
    now: float,
    list_tried_at: float | None,
) -> Excluded | None:
    """Return why the upstream gets no new work at all, if so.

    Parameters
    ----------
    upstream : Upstream
        The upstream.
    cfg : Config
        Configuration in force. The caller checks that it is current.
    now : float
        Monotonic time in seconds.
    list_tried_at : float or None
        Monotonic time before the newest finished read of the instance list was
        started, in seconds. A read that failed counts as finished: an outage of the
        list stops no work, but a node that was paused reads the list before it
        sends again.
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
    """Judge whether the upstream is warm on one connection.

    Parameters
    ----------
    upstream : Upstream
        The upstream.
    conn_opened_at : float
        Monotonic time at which the connection was opened, in seconds; ``inf``
        for one that is still to be opened.
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
    """Judge whether a request may go to the upstream over one connection now.

    Pure and without suspension, so that it can be the last step before the bytes
    are sent. Parameters as in `judge_leaving` and `judge_warmth`.
    """
    barred = judge_leaving(upstream, cfg, now, list_tried_at)
    if barred is not None:
        return barred
    return check_warmth(upstream, conn_opened_at)

"""Membership: the nodes of the deployment and their most recent status reports."""

import collections.abc
import dataclasses
import heapq
import math
import random
import typing
import zlib

import msgspec

REPORT_TTL_S = 3.0
# In deployments of more than LARGE_SIZE members, reports take several hops, and each
# hop can add a heartbeat interval of one second.
LARGE_SIZE = 20
LARGE_REPORT_TTL_S = 12.0
MAX_DIGEST_ENTRIES = 48
MAX_MEMBER_ROWS = 16
# With fewer peers than FULL_FAN_OUT, each heartbeat round goes to all of them;
# otherwise to FAN_OUT of them, chosen at random.
FULL_FAN_OUT = 8
FAN_OUT = 3
AGE_STEP_S = 0.1
ESTABLISHED_FLAG = 1
SEES_STORE_FLAG = 2


@dataclasses.dataclass(frozen=True)
class Member:
    """A member: a row of table ``sessions`` or an entry of a static peer list.

    Attributes
    ----------
    incarnation : str
        Distinguishes processes that ran under the same node id; empty if unknown.
    revoked : bool
        Whether another node has revoked the session.
    gone : bool
        Whether the instance has disappeared from the platform's instance list.
    """

    node_id: str
    incarnation: str
    host: str
    rpc_port: int
    zone: str = ""
    revoked: bool = False
    gone: bool = False

    @property
    def is_voter(self) -> bool:
        """Whether the member counts toward majorities.

        A revoked node that is partitioned from the rest may still serve under the
        majority rule, based on the member rows that it last read. It therefore
        counts until its instance is gone.
        """
        return not (self.revoked and self.gone)


class NodeStatus(msgspec.Struct, frozen=True, array_like=True):
    """Status of a node, as reported by the node itself.

    Attributes
    ----------
    established : bool
        Whether the process has shown since its start that it is current; only
        then may others count it toward a majority.
    sees_store : bool
        Whether it has recently read the table service.
    """

    node_id: str
    incarnation: str
    revision: int
    established: bool
    sees_store: bool


class Relayed(msgspec.Struct, frozen=True, array_like=True):
    """Compact status of a third node, relayed by a peer.

    Attributes
    ----------
    tag : int
        Hash of the incarnation.
    lag : int
        Revision of the relaying node minus that of the reported node.
    flags : int
        Bit field of ``ESTABLISHED_FLAG`` and ``SEES_STORE_FLAG``.
    age : int
        Upper bound of the age of the status, in units of ``AGE_STEP_S``; each hop
        increases it.
    """

    node_id: str
    tag: int
    lag: int
    flags: int
    age: typing.Annotated[int, msgspec.Meta(ge=0)]


class MemberRow(msgspec.Struct, frozen=True, array_like=True):
    """Wire format of a member."""

    node_id: str
    incarnation: str
    host: str
    rpc_port: int
    zone: str
    revoked: bool
    gone: bool


@dataclasses.dataclass(frozen=True)
class Report:
    """The newest status of a node, timed by the receiver's clock.

    Attributes
    ----------
    tag : int
        Hash of the incarnation.
    reported_at : float
        Lower bound of the time at which the status was created, in seconds of
        the receiver's monotonic clock.
    """

    tag: int
    revision: int
    established: bool
    sees_store: bool
    reported_at: float


@dataclasses.dataclass
class Members:
    """A node's view of the members.

    Attributes
    ----------
    rows : dict of str to Member
        Members by node id.
    complete : bool
        Whether all rows are known; until then there is no majority.
    reports : dict of str to Report
        Newest report by node id, excluding this node.
    """

    node_id: str
    rows: dict[str, Member] = dataclasses.field(default_factory=dict)
    complete: bool = False
    reports: dict[str, Report] = dataclasses.field(default_factory=dict)

    def replace(self, rows: collections.abc.Iterable[Member]) -> None:
        """Replace the rows after a complete read; drop reports of nodes not listed."""
        self.rows = {row.node_id: row for row in rows}
        self.complete = True
        self.reports = {k: v for k, v in self.reports.items() if k in self.rows}

    def add_rows(self, rows: collections.abc.Iterable[Member], total: int) -> None:
        """Add rows received from a peer until the view is complete."""
        if self.complete:
            return
        for row in rows:
            self.rows[row.node_id] = row
        self.complete = total > 0 and len(self.rows) >= total

    def record_status(self, status: NodeStatus, asked_at: float) -> None:
        """Record a status received in the response to a call.

        Parameters
        ----------
        status : NodeStatus
            Status of the responding node.
        asked_at : float
            Local monotonic time, in seconds, taken before the call was sent. The
            time of arrival would hide the transit time, which is unbounded.
        """
        report = Report(
            zlib.crc32(status.incarnation.encode()),
            status.revision,
            status.established,
            status.sees_store,
            asked_at,
        )
        self._record(status.node_id, report)

    def record_relayed_status(
        self, item: Relayed, asked_at: float, revision: int
    ) -> None:
        """Record a status relayed by a peer whose own revision is ``revision``."""
        report = Report(
            item.tag,
            revision - item.lag,
            bool(item.flags & ESTABLISHED_FLAG),
            bool(item.flags & SEES_STORE_FLAG),
            asked_at - item.age * AGE_STEP_S,
        )
        self._record(item.node_id, report)

    def _record(self, node_id: str, report: Report) -> None:
        if node_id != self.node_id:
            known = self.reports.get(node_id)
            self.reports[node_id] = _newer_report(known, report)

    @property
    def is_large(self) -> bool:
        """Whether reports take several hops to reach all members."""
        return len(self.rows) > LARGE_SIZE

    @property
    def report_ttl_s(self) -> float:
        """Age up to which a report is valid, in seconds."""
        return LARGE_REPORT_TTL_S if self.is_large else REPORT_TTL_S

    def live_node_ids(self, now: float) -> list[str]:
        """Return the ids of the nodes with fresh reports, including this node."""
        return sorted({self.node_id, *self.fresh_reports(now)})

    def fresh_reports(
        self, now: float, age_s: float | None = None
    ) -> dict[str, Report]:
        """Return the reports younger than ``age_s``, by default ``report_ttl_s``."""
        after = now - (self.report_ttl_s if age_s is None else age_s)
        return {k: v for k, v in self.reports.items() if v.reported_at > after}

    def voters(self) -> frozenset[str]:
        """Return the ids that count toward majorities; empty until ``complete``."""
        if not self.complete:
            return frozenset()
        return frozenset(k for k, row in self.rows.items() if row.is_voter)

    def is_majority(self, node_ids: collections.abc.Iterable[str]) -> bool:
        """Return whether the nodes are a strict majority of the members."""
        voters = self.voters()
        return 2 * len(voters & frozenset(node_ids)) > len(voters)

    def newest_revision(self) -> int:
        """Return the newest revision that any node reported."""
        return max((report.revision for report in self.reports.values()), default=0)


def _newer_report(known: Report | None, report: Report) -> Report:
    if known is None:
        return report
    newer = report if report.reported_at >= known.reported_at else known
    if known.tag != report.tag:
        return newer
    # Within one process revisions never decrease, so both reports support the larger
    # one.
    return dataclasses.replace(
        newer,
        revision=max(known.revision, report.revision),
        established=known.established or report.established,
    )


def choose_heartbeat_targets(members: Members, rng: random.Random) -> list[str]:
    """Choose the nodes to send heartbeats to in this round.

    In small deployments all members are chosen, so that each node gets their
    statuses directly. In larger ones, a fixed number bounds the control traffic.
    """
    others = sorted(
        k for k, row in members.rows.items() if k != members.node_id and row.is_voter
    )
    if len(others) < FULL_FAN_OUT:
        return others
    return rng.sample(others, FAN_OUT)


def build_digest(members: Members, revision: int, now: float) -> tuple[Relayed, ...]:
    """Build the digest of the newest reports that is relayed to peers.

    Relaying randomly chosen fresh reports instead spreads mostly reports that are
    about to expire: in a simulation of 780 members, a node then had fresh reports
    of only 288 members, which is no majority.

    Parameters
    ----------
    members : Members
        Members and their reports.
    revision : int
        Revision of this node.
    now : float
        Local monotonic time, in seconds.
    """
    fresh_reports = members.fresh_reports(now).items()
    newest = heapq.nlargest(
        MAX_DIGEST_ENTRIES, fresh_reports, key=lambda item: item[1].reported_at
    )
    return tuple(
        Relayed(
            node_id,
            report.tag,
            revision - report.revision,
            ESTABLISHED_FLAG * report.established | SEES_STORE_FLAG * report.sees_store,
            max(math.ceil((now - report.reported_at) / AGE_STEP_S), 0),
        )
        for node_id, report in newest
    )


def sample_rows(members: Members, rng: random.Random) -> tuple[MemberRow, ...]:
    """Return at most ``MAX_MEMBER_ROWS`` random member rows in wire format."""
    rows = sorted(members.rows.items())
    if len(rows) > MAX_MEMBER_ROWS:
        rows = rng.sample(rows, MAX_MEMBER_ROWS)
    return tuple(
        MemberRow(
            row.node_id,
            row.incarnation,
            row.host,
            row.rpc_port,
            row.zone,
            row.revoked,
            row.gone,
        )
        for _, row in rows
    )


def member_from_row(row: MemberRow) -> Member:
    """Convert a member from its wire format."""
    return Member(
        row.node_id,
        row.incarnation,
        row.host,
        row.rpc_port,
        row.zone,
        row.revoked,
        row.gone,
    )

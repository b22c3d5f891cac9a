"""The members table: who belongs to the deployment and who was heard lately."""

import collections.abc
import dataclasses
import heapq
import math
import random
import typing
import zlib

import msgspec

HEARD_AGE_S = 3.0
# In large deployments reports travel over several nodes, once a second each.
LARGE_SIZE = 20
LARGE_HEARD_AGE_S = 12.0
DIGEST_ENTRIES = 48
MEMBER_ROWS = 16
FULL_FAN_OUT = 8
FAN_OUT = 3
AGE_STEP_S = 0.1
ESTABLISHED_FLAG = 1
SEES_STORE_FLAG = 2


@dataclasses.dataclass(frozen=True)
class Member:
    """One row of table ``sessions``, or one entry of a static peer list.

    Attributes
    ----------
    incarnation : str
        Differs between processes that had the same node id; empty if unknown.
    revoked : bool
        Another node has ended the session.
    gone : bool
        The platform's list no longer contains the instance.
    """

    node_id: str
    incarnation: str
    host: str
    rpc_port: int
    zone: str = ""
    revoked: bool = False
    gone: bool = False

    @property
    def counts(self) -> bool:
        """Whether the member counts for majorities.

        A revoked node that is cut off may still serve by the majority rule with
        the members it last read, so it counts until its instance is gone.
        """
        return not (self.revoked and self.gone)


class NodeStatus(msgspec.Struct, frozen=True, array_like=True):
    """What a node says about itself.

    Attributes
    ----------
    established : bool
        The process has shown currency since it started; only then may others
        count it in a majority.
    sees_store : bool
        It read the table service lately.
    """

    node_id: str
    incarnation: str
    revision: int
    established: bool
    sees_store: bool


class Relayed(msgspec.Struct, frozen=True, array_like=True):
    """What another node said about itself, in few bytes.

    Attributes
    ----------
    tag : int
        Hash of the incarnation.
    lag : int
        Revision of the relaying node less that of the other.
    flags : int
        ``ESTABLISHED_FLAG`` and ``SEES_STORE_FLAG``.
    age : int
        Upper bound of the time since it said so, in steps of ``AGE_STEP_S``; it
        grows at each relay.
    """

    node_id: str
    tag: int
    lag: int
    flags: int
    age: typing.Annotated[int, msgspec.Meta(ge=0)]


class MemberRow(msgspec.Struct, frozen=True, array_like=True):
    """A member in its wire form."""

    node_id: str
    incarnation: str
    host: str
    rpc_port: int
    zone: str
    revoked: bool
    gone: bool


@dataclasses.dataclass(frozen=True)
class Report:
    """The newest status of a node, on the receiver's clock.

    Attributes
    ----------
    tag : int
        Hash of the incarnation.
    said_at : float
        Receiver's monotonic time before which the status was not made, in
        seconds.
    """

    tag: int
    revision: int
    established: bool
    sees_store: bool
    reported_at: float


@dataclasses.dataclass
class Members:
    """The members as one node knows them.

    Attributes
    ----------
    rows : dict of str to Member
        Members by node id.
    complete : bool
        All rows are known; majorities are not computed before.
    reports : dict of str to Report
        Newest report by node id, this node's own excluded.
    """

    node_id: str
    rows: dict[str, Member] = dataclasses.field(default_factory=dict)
    complete: bool = False
    reports: dict[str, Report] = dataclasses.field(default_factory=dict)

    def replace(self, rows: collections.abc.Iterable[Member]) -> None:
        """Take over the rows of a complete read; forget reports of others."""
        self.rows = {row.node_id: row for row in rows}
        self.complete = True
        self.reports = {k: v for k, v in self.reports.items() if k in self.rows}

    def learn(self, rows: collections.abc.Iterable[Member], total: int) -> None:
        """Add rows heard from a peer until a complete view is known."""
        if self.complete:
            return
        for row in rows:
            self.rows[row.node_id] = row
        self.complete = total > 0 and len(self.rows) >= total

    def record_status(self, status: NodeStatus, asked_at: float) -> None:
        """Record a status that came in the answer to a call.

        Parameters
        ----------
        status : NodeStatus
            What a node said.
        asked_at : float
            Own monotonic time before the call was sent, in seconds. The time of
            arrival would hide the transit time, which has no bound.
        """
        report = Report(
            zlib.crc32(status.incarnation.encode()),
            status.revision,
            status.established,
            status.sees_store,
            asked_at,
        )
        self._record(status.node_id, report)

    def hear_relayed(self, item: Relayed, asked_at: float, revision: int) -> None:
        """Record what a peer at a revision relayed in the answer to a call."""
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
        """Whether reports need several hops to reach all members."""
        return len(self.rows) > LARGE_SIZE

    @property
    def heard_age_s(self) -> float:
        """Age up to which a report counts as heard, in seconds."""
        return LARGE_HEARD_AGE_S if self.is_large else HEARD_AGE_S

    def live_node_ids(self, now: float) -> list[str]:
        """Return the ids of the nodes heard of lately, this one included."""
        return sorted({self.node_id, *self.fresh_reports(now)})

    def fresh_reports(
        self, now: float, age_s: float | None = None
    ) -> dict[str, Report]:
        """Return the reports younger than an age, ``heard_age_s`` by default."""
        after = now - (self.heard_age_s if age_s is None else age_s)
        return {k: v for k, v in self.reports.items() if v.reported_at > after}

    def voters(self) -> frozenset[str]:
        """Return the ids that count for majorities; empty while incomplete."""
        if not self.complete:
            return frozenset()
        return frozenset(k for k, row in self.rows.items() if row.counts)

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
    # One process never goes back, so the larger revision holds for both times.
    return dataclasses.replace(
        newer,
        revision=max(known.revision, report.revision),
        established=known.established or report.established,
    )


def choose_heartbeat_targets(members: Members, rng: random.Random) -> list[str]:
    """Choose the nodes that get a heartbeat now.

    In small deployments all members are chosen, so that each node hears all of
    them directly. In larger ones a fixed number bounds the control traffic.
    """
    others = sorted(
        k for k, row in members.rows.items() if k != members.node_id and row.counts
    )
    if len(others) < FULL_FAN_OUT:
        return others
    return rng.sample(others, FAN_OUT)


def digest(members: Members, revision: int, now: float) -> tuple[Relayed, ...]:
    """Return the newest reports, to relay them.

    Random fresh reports would mostly be about to expire: at 780 members a node
    then knows fresh reports of 288 members in simulation, no majority.

    Parameters
    ----------
    members : Members
        Holds the reports.
    revision : int
        Revision of this node.
    now : float
        Own monotonic time, in seconds.
    """
    fresh_reports = members.fresh_reports(now).items()
    newest = heapq.nlargest(
        DIGEST_ENTRIES, fresh_reports, key=lambda item: item[1].reported_at
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


def select_rows(members: Members, rng: random.Random) -> tuple[MemberRow, ...]:
    """Return a bounded random selection of member rows in wire form."""
    rows = sorted(members.rows.items())
    if len(rows) > MEMBER_ROWS:
        rows = rng.sample(rows, MEMBER_ROWS)
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


def load_row(row: MemberRow) -> Member:
    """Return the member that a wire row describes."""
    return Member(
        row.node_id,
        row.incarnation,
        row.host,
        row.rpc_port,
        row.zone,
        row.revoked,
        row.gone,
    )

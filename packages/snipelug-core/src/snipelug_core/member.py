"""The members table: who belongs to the deployment and who was heard lately."""

import collections.abc
import dataclasses
import random

import msgspec

HEARD_AGE_S = 3.0
DIGEST_ENTRIES = 16
FULL_FAN_OUT = 8
FAN_OUT = 3


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


class Vouch(msgspec.Struct, frozen=True, array_like=True):
    """What a node said about itself, with the age that grows at each relay.

    Attributes
    ----------
    established : bool
        The process has shown currency since it started; only then may others
        count it in a majority.
    sees_store : bool
        It read the table service lately.
    age_s : float
        Upper bound of the time since it said so, in seconds.
    """

    node_id: str
    incarnation: str
    revision: int
    established: bool
    sees_store: bool
    age_s: float


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
    """The newest vouch of a node, on the receiver's clock.

    Attributes
    ----------
    said_at : float
        Receiver's monotonic time before which the vouch was not made, in
        seconds.
    """

    incarnation: str
    revision: int
    established: bool
    sees_store: bool
    said_at: float


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

    def hear(self, vouch: Vouch, asked_at: float) -> None:
        """Record a vouch that came in the answer to a call.

        Parameters
        ----------
        vouch : Vouch
            What a node said.
        asked_at : float
            Own monotonic time before the call was sent, in seconds. The time of
            arrival would hide the transit time, which has no bound.
        """
        if vouch.node_id == self.node_id:
            return
        said_at = asked_at - max(vouch.age_s, 0.0)
        report = Report(
            vouch.incarnation,
            vouch.revision,
            vouch.established,
            vouch.sees_store,
            said_at,
        )
        known = self.reports.get(vouch.node_id)
        self.reports[vouch.node_id] = _newer_report(known, report)

    def live(self, now: float) -> list[str]:
        """Return the ids of the nodes heard of lately, this one included."""
        heard = [k for k, v in self.reports.items() if _is_fresh(v, now)]
        return sorted({self.node_id, *heard})

    def fresh(self, now: float, since: float = float("-inf")) -> dict[str, Report]:
        """Return the reports of members that were made lately and after a time."""
        return {
            node_id: report
            for node_id, report in self.reports.items()
            if _is_fresh(report, now) and report.said_at >= since
        }

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


def _is_fresh(report: Report, now: float) -> bool:
    return now - report.said_at < HEARD_AGE_S


def _newer_report(known: Report | None, report: Report) -> Report:
    if known is None:
        return report
    newer = report if report.said_at >= known.said_at else known
    if known.incarnation != report.incarnation:
        return newer
    # One process never goes back, so the larger revision holds for both times.
    return dataclasses.replace(
        newer,
        revision=max(known.revision, report.revision),
        established=known.established or report.established,
    )


def choose_targets(members: Members, rng: random.Random) -> list[str]:
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


def digest(members: Members, now: float, rng: random.Random) -> tuple[Vouch, ...]:
    """Return a bounded random selection of fresh vouches to relay."""
    fresh = sorted(members.fresh(now).items())
    if len(fresh) > DIGEST_ENTRIES:
        fresh = rng.sample(fresh, DIGEST_ENTRIES)
    return tuple(
        Vouch(
            node_id,
            report.incarnation,
            report.revision,
            report.established,
            report.sees_store,
            now - report.said_at,
        )
        for node_id, report in fresh
    )


def select_rows(members: Members, rng: random.Random) -> tuple[MemberRow, ...]:
    """Return a bounded random selection of member rows in wire form."""
    rows = sorted(members.rows.items())
    if len(rows) > DIGEST_ENTRIES:
        rows = rng.sample(rows, DIGEST_ENTRIES)
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

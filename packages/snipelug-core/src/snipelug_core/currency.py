"""Configuration currency: whether a node can show that its revision is the newest.

A node is current, and may serve, under one of three rules:

* ``store``: it read the store itself a short time ago;
* ``peer``: a peer passed on a confirmation from its own read of the store;
* ``majority``: the store is unreachable, and a strict majority of the members
  reports no newer revision.

Once a change has been answered with "accepted", every node that still serves more
than ``CONFIRMATION_TTL_S`` later has applied it, for these reasons:

* A confirmation (rules ``store`` and ``peer``) states that at a given time the store
  held no revision newer than the confirmed one. That time is taken before the
  request is sent.
* A change is accepted only after a strict majority of the members has reported it
  within ``ACK_TTL_S``. A node that serves under the rule ``majority`` has reports
  from a strict majority that are younger than ``report_ttl_s``. The two majorities
  have a node in common, and that node reports the change.
* In deployments of more than ``LARGE_SIZE`` members, confirmations and reports are
  valid for 12 s instead, because reports take several hops there; the bound above
  grows accordingly.
* A restarted process has lost the revisions that its predecessor reported. It
  counts toward no majority until it is established, either by a confirmation made
  after its start or by a majority of other established members that were asked
  more than ``BOOT_WAIT_S`` after its start. By that time, a change that relied on
  a report of the predecessor has either been accepted, so that one of the other
  members knows it, or can no longer be accepted on the strength of that report.
"""

import dataclasses
import random

import msgspec

from snipelug_core import member

CONFIRMATION_TTL_S = 5.0
LARGE_CONFIRMATION_TTL_S = 12.0
# Shorter than CONFIRMATION_TTL_S, so that the nodes agree that the store is
# unreachable before their last confirmation expires. Otherwise no rule would hold
# for the first second or two of each store outage.
STORE_READ_TTL_S = 2.5
ACK_TTL_S = 3.0
# ACK_TTL_S measured on a clock that is 10% slow lasts 3.7 s on a clock that is 10%
# fast.
BOOT_WAIT_S = 4.0
MAX_PENDING = 8


@dataclasses.dataclass(frozen=True)
class Confirmation:
    """Evidence that the store held no revision newer than this one at a given time.

    Attributes
    ----------
    revision : int
        Newest revision in the store at that time.
    at : float
        Local monotonic time, in seconds, taken before the store was read.
    own : bool
        Whether this node read the store itself.
    """

    revision: int
    at: float
    own: bool


class WireConfirmation(msgspec.Struct, frozen=True, array_like=True):
    """A confirmation as sent to peers, with its age in seconds."""

    revision: int
    age_s: float


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Periodic request to a peer; its revision tells the peer whether it lags behind.

    Attributes
    ----------
    wants_rows : bool
        The sender does not know all members yet and asks for member rows.
    """

    node_id: str
    incarnation: str
    revision: int
    wants_rows: bool


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True):
    """Response to a heartbeat.

    Attributes
    ----------
    status : NodeStatus
        Status of the responding node.
    confirmation : WireConfirmation or None
        Its newest confirmation of a revision that it has applied.
    digest : tuple of Relayed
        Recent statuses of other nodes.
    rows : tuple of MemberRow
        A selection of member rows, if they were asked for.
    total : int
        Total number of members; 0 if the node does not know all of them.
    """

    status: member.NodeStatus
    confirmation: WireConfirmation | None
    digest: tuple[member.Relayed, ...]
    rows: tuple[member.MemberRow, ...]
    total: int


@dataclasses.dataclass
class State:
    """State from which a process derives whether it is current.

    Attributes
    ----------
    started_at : float
        Local monotonic time at which the process started, in seconds.
    revision : int
        Newest revision applied at this node.
    established : bool
        Whether the process has shown since its start that it is current.
    confirmation : Confirmation or None
        Latest confirmation of a revision that is not newer than ``revision``.
    pending : list of Confirmation
        Confirmations of revisions that this node has not applied yet.
    store_read_at : float or None
        Local monotonic time, in seconds, taken before the last successful read of
        the store was sent.
    """

    node_id: str
    incarnation: str
    started_at: float
    revision: int = 0
    established: bool = False
    confirmation: Confirmation | None = None
    pending: list[Confirmation] = dataclasses.field(default_factory=list)
    store_read_at: float | None = None


@dataclasses.dataclass(frozen=True)
class Current:
    """The node may serve.

    Attributes
    ----------
    rule : str
        Rule that holds: ``store``, ``peer`` or ``majority``.
    age_s : float
        Age of the oldest evidence that the decision relies on, in seconds.
    """

    rule: str
    age_s: float


@dataclasses.dataclass(frozen=True)
class NotCurrent:
    """The node must refuse new work."""

    reason: str


@dataclasses.dataclass(frozen=True)
class MayAccept:
    """The node may write a change."""


@dataclasses.dataclass(frozen=True)
class MayNotAccept:
    """The node must refuse a change before writing it."""

    reason: str


def record_store_read(state: State, asked_at: float, head_revision: int) -> None:
    """Record a successful read of ``head``.

    Parameters
    ----------
    state : State
        Updated in place.
    asked_at : float
        Local monotonic time, in seconds, taken before the read was sent.
    head_revision : int
        Revision that ``head`` refers to.
    """
    if state.store_read_at is None or asked_at > state.store_read_at:
        state.store_read_at = asked_at
    _add_confirmation(state, Confirmation(head_revision, asked_at, own=True))


def record_revision(state: State, revision: int) -> None:
    """Record that this node has applied a newer revision."""
    if revision <= state.revision:
        return
    state.revision = revision
    pending = state.pending
    state.pending = []
    for confirmation in pending:
        _add_confirmation(state, confirmation)


def _add_confirmation(state: State, confirmation: Confirmation) -> None:
    if confirmation.revision > state.revision:
        state.pending.append(confirmation)
        state.pending.sort(key=lambda item: item.at)
        del state.pending[:-MAX_PENDING]
        return
    known = state.confirmation
    if known is None or confirmation.at > known.at:
        state.confirmation = confirmation


def latest_known_revision(state: State, members: member.Members) -> int:
    """Return the newest revision that this node knows to exist."""
    pending = max((item.revision for item in state.pending), default=0)
    return max(pending, members.newest_revision(), state.revision)


def sees_store(state: State, now: float, age_s: float = STORE_READ_TTL_S) -> bool:
    """Return whether the store was read within the last ``age_s`` seconds."""
    return state.store_read_at is not None and now - state.store_read_at < age_s


def confirmation_ttl_s(members: member.Members) -> float:
    """Return the age up to which a confirmation is valid, in seconds."""
    return LARGE_CONFIRMATION_TTL_S if members.is_large else CONFIRMATION_TTL_S


def own_status(state: State, now: float) -> member.NodeStatus:
    """Return the current status of this node."""
    return member.NodeStatus(
        state.node_id,
        state.incarnation,
        state.revision,
        state.established,
        sees_store(state, now),
    )


def build_heartbeat_reply(
    state: State,
    members: member.Members,
    now: float,
    rng: random.Random,
    wants_rows: bool,
) -> HeartbeatReply:
    """Build the response to a heartbeat."""
    update_established(state, members, now)
    shared = None
    known = state.confirmation
    if known is not None and now - known.at < confirmation_ttl_s(members):
        shared = WireConfirmation(known.revision, now - known.at)
    return HeartbeatReply(
        own_status(state, now),
        shared,
        member.build_digest(members, state.revision, now),
        member.sample_rows(members, rng) if wants_rows else (),
        len(members.rows) if members.complete else 0,
    )


def record_heartbeat_reply(
    state: State, members: member.Members, asked_at: float, reply: HeartbeatReply
) -> None:
    """Record the response to a heartbeat that was sent at ``asked_at``."""
    members.add_rows(map(member.member_from_row, reply.rows), reply.total)
    members.record_status(reply.status, asked_at)
    for relayed in reply.digest:
        members.record_relayed_status(relayed, asked_at, reply.status.revision)
    shared = reply.confirmation
    if shared is not None:
        at = asked_at - max(shared.age_s, 0.0)
        _add_confirmation(state, Confirmation(shared.revision, at, own=False))


def update_established(state: State, members: member.Members, now: float) -> None:
    """Mark the process as established once it has been current since its start."""
    if state.established:
        return
    known = state.confirmation
    if known is not None and known.at >= state.started_at:
        state.established = True
        return
    asked_after = state.started_at + BOOT_WAIT_S
    reports = _consistent_reports(state, members, now) or {}
    confirming = [k for k, v in reports.items() if v.reported_at >= asked_after]
    state.established = members.is_majority(confirming)


def _consistent_reports(
    state: State, members: member.Members, now: float
) -> dict[str, member.Report] | None:
    """Return the fresh reports of established nodes.

    Returns None if any fresh report rules out the majority rule, because its node
    has a newer revision or can still read the store.
    """
    fresh = members.fresh_reports(now)
    for report in fresh.values():
        is_new = now - report.reported_at < member.REPORT_TTL_S
        if report.revision > state.revision or (report.sees_store and is_new):
            return None
    return {k: v for k, v in fresh.items() if v.established}


def evaluate(state: State, members: member.Members, now: float) -> Current | NotCurrent:
    """Decide whether this node may accept new work now."""
    update_established(state, members, now)
    if not state.established:
        return NotCurrent("the node has not shown that it is current since its start")
    known = state.confirmation
    if known is not None and now - known.at < confirmation_ttl_s(members):
        return Current("store" if known.own else "peer", now - known.at)
    return _evaluate_majority(state, members, now)


def _evaluate_majority(
    state: State, members: member.Members, now: float
) -> Current | NotCurrent:
    if sees_store(state, now):
        return NotCurrent("the store holds a newer revision")
    reports = _consistent_reports(state, members, now)
    if reports is None:
        return NotCurrent("a peer can read the store or has a newer revision")
    if not members.is_majority({*reports, state.node_id}):
        count = len(members.voters() & {*reports, state.node_id})
        total = len(members.voters())
        return NotCurrent(f"no store, and only {count} of {total} members are heard")
    oldest = min((report.reported_at for report in reports.values()), default=now)
    return Current("majority", now - oldest)


def may_accept(
    state: State, members: member.Members, now: float
) -> MayAccept | MayNotAccept:
    """Decide whether this node may write a change."""
    outcome = evaluate(state, members, now)
    if isinstance(outcome, NotCurrent):
        return MayNotAccept(outcome.reason)
    if not sees_store(state, now, CONFIRMATION_TTL_S):
        return MayNotAccept("the table service does not answer")
    reachable = {*members.fresh_reports(now), state.node_id}
    if not members.is_majority(reachable):
        count = len(members.voters() & reachable)
        total = len(members.voters())
        return MayNotAccept(f"only {count} of {total} members are heard")
    return MayAccept()


def members_at_revision(
    state: State, members: member.Members, revision: int, now: float
) -> frozenset[str]:
    """Return the members that have recently reported the revision.

    This node is included if it has applied the revision.
    """
    fresh = members.fresh_reports(now, ACK_TTL_S)
    up_to_date = {k for k, v in fresh.items() if v.revision >= revision}
    if state.revision >= revision:
        up_to_date.add(state.node_id)
    return members.voters() & up_to_date


def is_accepted(
    state: State, members: member.Members, revision: int, now: float
) -> bool:
    """Return whether a written change may be answered with "accepted"."""
    return members.is_majority(members_at_revision(state, members, revision, now))

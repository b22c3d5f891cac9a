"""Currency: whether a node can show that no newer revision is in force elsewhere.

Why a change that was answered "accepted" is known to every node that serves
later than ``CONFIRMED_AGE_S`` after the answer:

* A confirmation (a, b) says that at a given time the store held no revision newer
  than the confirmed one. Its time is counted from before the question was sent.
* A change counts as accepted only after a strict majority of members reported it
  within ``ACK_AGE_S``. A node that serves by majority (c) heard a strict majority
  within ``heard_age_s``; the two share a node, which reports the change.
* In deployments of more than ``LARGE_SIZE`` members both ages are 12 s instead,
  because news travels there over several nodes; the bound grows with them.
* A process that restarted has lost what it reported. It counts in no majority until
  it is established: by a confirmation made after its start, or by a majority of
  established others asked later than ``BOOT_WAIT_S`` after its start. By then a
  change that counted the report of the earlier process is accepted, so that one
  of the others knows it, or it is not accepted with that report.
"""

import dataclasses
import random

import msgspec

from snipelug_core import member

CONFIRMED_AGE_S = 5.0
LARGE_CONFIRMED_AGE_S = 12.0
# Shorter than CONFIRMED_AGE_S, so that nodes agree that the store is silent before
# their last confirmation expires; otherwise each outage starts with a second or two
# in which no rule holds.
SEES_STORE_AGE_S = 2.5
ACK_AGE_S = 3.0
# ACK_AGE_S of a node whose clock is up to 10% slow, with this clock 10% fast, is
# 3.7 s.
BOOT_WAIT_S = 4.0
MAX_PENDING = 8


@dataclasses.dataclass(frozen=True)
class Confirmation:
    """At a time, the store held no revision newer than this one.

    Attributes
    ----------
    revision : int
        Newest revision in the store.
    at : float
        Own monotonic time before which the store was not read, in seconds.
    own : bool
        This node read the store itself.
    """

    revision: int
    at: float
    own: bool


class WireConfirmation(msgspec.Struct, frozen=True, array_like=True):
    """A confirmation with its age in seconds, as told to peers."""

    revision: int
    age_s: float


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Question of one node to another; its revision tells the peer to catch up.

    Attributes
    ----------
    wants_rows : bool
        The asking node does not know all members yet.
    """

    node_id: str
    incarnation: str
    revision: int
    wants_rows: bool


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a heartbeat.

    Attributes
    ----------
    status : NodeStatus
        The answering node about itself.
    confirmation : WireConfirmation or None
        Its newest confirmation at or below its revision.
    digest : tuple of Relayed
        What it heard from others lately.
    rows : tuple of MemberRow
        Some members that it knows.
    total : int
        Number of members it knows; 0 if it does not know all.
    """

    status: member.NodeStatus
    confirmation: WireConfirmation | None
    digest: tuple[member.Relayed, ...]
    rows: tuple[member.MemberRow, ...]
    total: int


@dataclasses.dataclass
class State:
    """What one process knows about its own currency.

    Attributes
    ----------
    started_at : float
        Own monotonic time at the start of the process, in seconds.
    revision : int
        Revision in force at this node.
    established : bool
        Currency was shown since the start.
    confirmation : Confirmation or None
        Newest confirmation that is not newer than ``revision``.
    pending : list of Confirmation
        Confirmations of revisions that this node does not have yet.
    store_read_at : float or None
        Time before the last successful read of the store was sent, in seconds.
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
        ``store``, ``peer`` or ``majority``.
    age_s : float
        Age of the oldest fact that the decision rests on, in seconds.
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
        Changed in place.
    asked_at : float
        Own monotonic time before the read was sent, in seconds.
    head_revision : int
        Revision that ``head`` names.
    """
    if state.store_read_at is None or asked_at > state.store_read_at:
        state.store_read_at = asked_at
    _offer(state, Confirmation(head_revision, asked_at, own=True))


def record_revision(state: State, revision: int) -> None:
    """Record that a newer revision is in force at this node."""
    if revision <= state.revision:
        return
    state.revision = revision
    waiting = state.pending
    state.pending = []
    for confirmation in waiting:
        _offer(state, confirmation)


def _offer(state: State, confirmation: Confirmation) -> None:
    if confirmation.revision > state.revision:
        state.pending.append(confirmation)
        state.pending.sort(key=lambda item: item.at)
        del state.pending[:-MAX_PENDING]
        return
    known = state.confirmation
    if known is None or confirmation.at > known.at:
        state.confirmation = confirmation


def latest_known_revision(state: State, members: member.Members) -> int:
    """Return the newest revision known to exist."""
    pending = max((item.revision for item in state.pending), default=0)
    return max(pending, members.newest_revision(), state.revision)


def sees_store(state: State, now: float, age_s: float = SEES_STORE_AGE_S) -> bool:
    """Return whether the store was read lately."""
    return state.store_read_at is not None and now - state.store_read_at < age_s


def confirmed_age_s(members: member.Members) -> float:
    """Return the age up to which a confirmation counts, in seconds."""
    return LARGE_CONFIRMED_AGE_S if members.is_large else CONFIRMED_AGE_S


def own_status(state: State, now: float) -> member.NodeStatus:
    """Return what this node says about itself now."""
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
    """Build the answer to a heartbeat."""
    refresh(state, members, now)
    told = None
    known = state.confirmation
    if known is not None and now - known.at < confirmed_age_s(members):
        told = WireConfirmation(known.revision, now - known.at)
    return HeartbeatReply(
        own_status(state, now),
        told,
        member.digest(members, state.revision, now),
        member.select_rows(members, rng) if wants_rows else (),
        len(members.rows) if members.complete else 0,
    )


def record_heartbeat_reply(
    state: State, members: member.Members, asked_at: float, reply: HeartbeatReply
) -> None:
    """Record the answer to a heartbeat that was sent at ``asked_at``."""
    members.learn(map(member.load_row, reply.rows), reply.total)
    members.record_status(reply.status, asked_at)
    for relayed in reply.digest:
        members.hear_relayed(relayed, asked_at, reply.status.revision)
    told = reply.confirmation
    if told is not None:
        at = asked_at - max(told.age_s, 0.0)
        _offer(state, Confirmation(told.revision, at, own=False))


def refresh(state: State, members: member.Members, now: float) -> None:
    """Establish the process once it has shown currency since its start."""
    if state.established:
        return
    known = state.confirmation
    if known is not None and known.at >= state.started_at:
        state.established = True
        return
    asked_after = state.started_at + BOOT_WAIT_S
    heard = _agreeing(state, members, now) or {}
    settled = [k for k, v in heard.items() if v.reported_at >= asked_after]
    state.established = members.is_majority(settled)


def _agreeing(
    state: State, members: member.Members, now: float
) -> dict[str, member.Report] | None:
    """Return established fresh reports, or None if one contradicts the majority."""
    fresh = members.fresh_reports(now)
    for report in fresh.values():
        is_new = now - report.reported_at < member.HEARD_AGE_S
        if report.revision > state.revision or (report.sees_store and is_new):
            return None
    return {k: v for k, v in fresh.items() if v.established}


def evaluate(state: State, members: member.Members, now: float) -> Current | NotCurrent:
    """Decide whether this node may serve new work now."""
    refresh(state, members, now)
    if not state.established:
        return NotCurrent("the node has not shown currency since its start")
    known = state.confirmation
    if known is not None and now - known.at < confirmed_age_s(members):
        return Current("store" if known.own else "peer", now - known.at)
    return _judge_by_majority(state, members, now)


def _judge_by_majority(
    state: State, members: member.Members, now: float
) -> Current | NotCurrent:
    if sees_store(state, now):
        return NotCurrent("the store holds a newer revision")
    heard = _agreeing(state, members, now)
    if heard is None:
        return NotCurrent("a peer sees the store or has a newer revision")
    if not members.is_majority({*heard, state.node_id}):
        count = len(members.voters() & {*heard, state.node_id})
        total = len(members.voters())
        return NotCurrent(f"no store, and only {count} of {total} members are heard")
    oldest = min((report.reported_at for report in heard.values()), default=now)
    return Current("majority", now - oldest)


def may_accept(
    state: State, members: member.Members, now: float
) -> MayAccept | MayNotAccept:
    """Decide whether this node may write a change."""
    outcome = evaluate(state, members, now)
    if isinstance(outcome, NotCurrent):
        return MayNotAccept(outcome.reason)
    if not sees_store(state, now, CONFIRMED_AGE_S):
        return MayNotAccept("the table service does not answer")
    heard = {*members.fresh_reports(now), state.node_id}
    if not members.is_majority(heard):
        count = len(members.voters() & heard)
        total = len(members.voters())
        return MayNotAccept(f"only {count} of {total} members are heard")
    return MayAccept()


def members_at_revision(
    state: State, members: member.Members, revision: int, now: float
) -> frozenset[str]:
    """Return the members that reported the revision lately, this one included."""
    fresh = members.fresh_reports(now, ACK_AGE_S)
    having = {k for k, v in fresh.items() if v.revision >= revision}
    if state.revision >= revision:
        having.add(state.node_id)
    return members.voters() & having


def is_accepted(
    state: State, members: member.Members, revision: int, now: float
) -> bool:
    """Return whether a written change may be answered "accepted"."""
    return members.is_majority(members_at_revision(state, members, revision, now))

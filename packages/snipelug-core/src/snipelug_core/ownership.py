"""Owner rows with fencing numbers for upstreams, teams and stores.

A row names the session that owns an item. It is taken over only after that
session is gone, or is given away by its owner, so while a session's lease is
valid on its holder's clock its rows belong to nobody else.
"""

import collections.abc
import dataclasses
import enum
import math

from snipelug_core import session, step

TABLE = "owners"

UNLISTED_S = 30.0
"""Time that an instance must be missing from all readings of the lagging
instance list before its outage slot moves."""

HAND_OVER_ATTEMPTS = 3


class Kind(enum.StrEnum):
    """What is owned."""

    UPSTREAM = "upstream"
    TEAM = "team"
    STORE = "store"


@dataclasses.dataclass(frozen=True)
class Process:
    """A process of a node; the node id is its id in the instance list."""

    node: str
    process: str


@dataclasses.dataclass(frozen=True)
class Row:
    """A row of the table ``owners``.

    Attributes
    ----------
    session : str
        Session that owns the item; empty if the last owner freed it.
    owner : Process or None
        The process with that session.
    fencing : int
        Grows with every write of the row, so it also orders readings.
    outage_holder : Process or None
        The process that may use the outage slot, with or without a lease.
    """

    session: str
    owner: Process | None
    fencing: int
    outage_holder: Process | None


@dataclasses.dataclass
class Seen:
    """An owner row as this process last saw it.

    Attributes
    ----------
    since : float
        Monotonic time at which this process learnt of the row's session.
    outage_since : float
        Monotonic time at which it learnt of the row's outage holder.
    given_up : bool
        This process began to hand the item over; only a new write by this
        process makes it the owner again.
    outage_given_up : bool
        The same for the outage slot.
    """

    version: str
    row: Row
    since: float
    outage_since: float
    given_up: bool = False
    outage_given_up: bool = False


@dataclasses.dataclass
class Owners:
    """What this process knows of owner rows, by row key."""

    me: Process
    lease: session.Lease
    seen: dict[str, Seen] = dataclasses.field(default_factory=dict)


def row_key(kind: Kind, key: str) -> str:
    """Return the key of an owner row."""
    return f"{kind.value}:{key}"


def fencing(owners: Owners, key: str, now: float) -> int | None:
    """Return the fencing number if this process owns the item now."""
    seen = owners.seen.get(key)
    if seen is None or seen.given_up or not owners.lease.valid(now):
        return None
    return seen.row.fencing if _is_mine(owners, seen.row) else None


def has_outage_slot(owners: Owners, key: str) -> bool:
    """Tell whether this process holds the outage slot, with or without a lease."""
    seen = owners.seen.get(key)
    if seen is None or seen.outage_given_up:
        return False
    return seen.row.outage_holder == owners.me


def note(owners: Owners, key: str, version: str, row: Row, now: float) -> None:
    """Take in a row that was read; a reading older than the known row is ignored."""
    old = owners.seen.get(key)
    if old is not None and row.fencing < old.row.fencing:
        return
    if old is None:
        owners.seen[key] = Seen(version, row, now, now)
        return
    old.given_up = old.given_up and _is_mine(owners, row)
    holds_slot = row.outage_holder == owners.me
    old.outage_given_up = old.outage_given_up and holds_slot
    if row.session != old.row.session:
        old.since = now
    if row.outage_holder != old.row.outage_holder:
        old.outage_since = now
    old.version, old.row = version, row


@dataclasses.dataclass
class Unlisted:
    """What the last reading of the instance list showed.

    Attributes
    ----------
    since : dict
        Since when nodes are missing, on this node's clock.
    """

    since: dict[str, float] = dataclasses.field(default_factory=dict)
    observed_at: float = -math.inf
    self_listed: bool = False
    listed: frozenset[str] = frozenset()


def observe_list(
    unlisted: Unlisted,
    listed: collections.abc.Set[str],
    nodes: collections.abc.Iterable[str],
    me: str,
    now: float,
) -> None:
    """Take in a reading of the instance list.

    Parameters
    ----------
    unlisted : Unlisted
        Changed in place.
    listed : set of str
        Ids in the list.
    nodes : iterable of str
        Nodes whose absence matters.
    me : str
        This node; a reading without it is older than this process and proves
        nothing about others.
    now : float
        Monotonic time, in seconds.
    """
    unlisted.listed = frozenset(listed)
    unlisted.self_listed = me in listed
    if not unlisted.self_listed:
        unlisted.since.clear()
        return
    unlisted.observed_at = now
    absent = [node for node in nodes if node not in listed]
    unlisted.since = {node: unlisted.since.get(node, now) for node in absent}


def is_removed(unlisted: Unlisted, node: str) -> bool:
    """Tell whether the list has not contained the node for long enough."""
    since = unlisted.since.get(node, math.inf)
    return unlisted.observed_at - since >= UNLISTED_S


Flow = collections.abc.Generator[step.Write | step.Read, step.Event, None]


def acquire(owners: Owners, key: str, unlisted: Unlisted) -> Flow:
    """Read an owner row and take the item if nobody owns it.

    The caller runs it for items that this node is preferred for, while its
    lease is valid, and one flow at a time for an item.
    """
    event = yield step.Read(TABLE, key, Row)
    match event.outcome:
        case step.Missing():
            yield from _take(owners, key, step.ABSENT, None, unlisted, event.now)
        case step.Found(version, row):
            note(owners, key, version, row, event.now)
            if _is_mine(owners, row) and not owners.seen[key].given_up:
                yield from _claim_outage_slot(owners, key, unlisted)
                return
            # The session is read after the owner row: a session exists before
            # it takes a row, so an absent one has ended.
            if row.session and not _is_mine(owners, row):
                event = yield step.Read(session.TABLE, row.session, session.Row)
                if not isinstance(event.outcome, step.Missing):
                    return
            yield from _take(owners, key, version, row, unlisted, event.now)


def _take(
    owners: Owners,
    key: str,
    expect: step.Precondition,
    old: Row | None,
    unlisted: Unlisted,
    now: float,
) -> Flow:
    if not owners.lease.valid(now):
        # A session whose creation is unclear may be missing from its table,
        # and others would take this row for abandoned.
        return
    number = 1 if old is None else old.fencing + 1
    slot = None if old is None else old.outage_holder
    if _may_take_slot(owners, slot, unlisted):
        slot = owners.me
    row = Row(owners.lease.session, owners.me, number, slot)
    yield from _write_mine(owners, key, row, expect)


def _claim_outage_slot(owners: Owners, key: str, unlisted: Unlisted) -> Flow:
    seen = owners.seen[key]
    slot = seen.row.outage_holder
    stuck = slot == owners.me and seen.outage_given_up
    if stuck or (slot != owners.me and _may_take_slot(owners, slot, unlisted)):
        number = seen.row.fencing + 1
        row = dataclasses.replace(seen.row, fencing=number, outage_holder=owners.me)
        yield from _write_mine(owners, key, row, seen.version)


def _write_mine(owners: Owners, key: str, row: Row, expect: step.Precondition) -> Flow:
    event = yield step.Write(TABLE, key, row, expect)
    if isinstance(event.outcome, step.Applied):
        # This write replaced the version that a late hand-over would need.
        note(owners, key, event.outcome.version, row, event.now)
        owners.seen[key].given_up = False
        owners.seen[key].outage_given_up = False


def _may_take_slot(owners: Owners, slot: Process | None, unlisted: Unlisted) -> bool:
    """Tell whether the outage slot is free.

    A node that the list does not contain yet takes none, because others
    would see its instance as removed. An earlier process of this node has
    ended, since this one listens on its port.
    """
    if not unlisted.self_listed:
        return False
    if slot is None or slot.node == owners.me.node:
        return True
    return is_removed(unlisted, slot.node)


@dataclasses.dataclass(frozen=True)
class Successor:
    """A live session that receives an item.

    Attributes
    ----------
    listed : bool
        The instance list contains its node. Others see an unlisted node as
        removed, so it does not receive the outage slot.
    """

    session: str
    process: Process
    listed: bool = False


def hand_over(owners: Owners, key: str, successor: Successor | None) -> Flow:
    """Give away what this process has of an item; without a successor, free it.

    This process stops using the item before the write is sent, whatever
    becomes of the write.
    """
    for _ in range(HAND_OVER_ATTEMPTS):
        seen = owners.seen.get(key)
        if seen is None or not _gives_anything(owners, seen.row):
            return
        seen.given_up = _is_mine(owners, seen.row)
        seen.outage_given_up = seen.row.outage_holder == owners.me
        row = _without_me(owners, seen.row, successor)
        event = yield step.Write(TABLE, key, row, seen.version)
        if isinstance(event.outcome, step.Applied):
            note(owners, key, event.outcome.version, row, event.now)
            return
        event = yield step.Read(TABLE, key, Row)
        if isinstance(event.outcome, step.Found):
            found = event.outcome
            note(owners, key, found.version, found.content, event.now)


def _gives_anything(owners: Owners, row: Row) -> bool:
    return _is_mine(owners, row) or row.outage_holder == owners.me


def _without_me(owners: Owners, row: Row, successor: Successor | None) -> Row:
    if not _is_mine(owners, row):
        # Only the outage slot is this process's; the item's owner takes it
        # when the list contains the owner.
        return dataclasses.replace(row, fencing=row.fencing + 1, outage_holder=None)
    slot = row.outage_holder
    if slot == owners.me:
        slot = successor.process if successor and successor.listed else None
    return Row(
        successor.session if successor else "",
        successor.process if successor else None,
        row.fencing + 1,
        slot,
    )


def _is_mine(owners: Owners, row: Row) -> bool:
    return bool(row.session) and row.session == owners.lease.session

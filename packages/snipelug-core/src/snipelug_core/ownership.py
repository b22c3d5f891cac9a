"""Owner rows with fencing tokens for upstreams, teams and KV cache stores.

A row names the session that owns an item. Another session may take the row over only
after that session has ended or its owner has handed it over. While a session's lease
is valid on its holder's clock, its rows therefore belong to no other session.
"""

import collections.abc
import dataclasses
import enum
import math

from snipelug_core import session, step

TABLE = "owners"

REMOVAL_DELAY_S = 30.0
"""Time in seconds for which an instance must be missing from all readings of the
instance list, which lags, before its outage slot may move."""

HAND_OVER_ATTEMPTS = 3


class Kind(enum.StrEnum):
    """Type of an owned item."""

    UPSTREAM = "upstream"
    TEAM = "team"
    STORE = "store"


@dataclasses.dataclass(frozen=True)
class Process:
    """A process of a node; the node id is also its id in the instance list."""

    node: str
    process: str


@dataclasses.dataclass(frozen=True)
class Row:
    """A row of the table ``owners``.

    Attributes
    ----------
    session : str
        Session that owns the item; empty if the last owner released it.
    owner : Process or None
        The process with that session.
    fencing : int
        Fencing token. It increases with every write of the row, so it also orders
        readings of the row.
    outage_holder : Process or None
        The process that may use the outage slot, with or without a lease.
    """

    session: str
    owner: Process | None
    fencing: int
    outage_holder: Process | None


@dataclasses.dataclass
class KnownRow:
    """An owner row as this process last saw it.

    Attributes
    ----------
    since : float
        Monotonic time at which this process learned of the row's session.
    outage_since : float
        Monotonic time at which it learned of the row's outage holder.
    relinquished : bool
        This process has begun to hand the item over; it becomes the owner again only
        by a new write of its own.
    outage_relinquished : bool
        The same for the outage slot.
    """

    version: str
    row: Row
    since: float
    outage_since: float
    relinquished: bool = False
    outage_relinquished: bool = False


@dataclasses.dataclass
class OwnerRows:
    """The owner rows known to this process, by row key."""

    own_process: Process
    lease: session.Lease
    known_rows: dict[str, KnownRow] = dataclasses.field(default_factory=dict)


def row_key(kind: Kind, key: str) -> str:
    """Return the key of an owner row."""
    return f"{kind.value}:{key}"


def fencing_token(owners: OwnerRows, key: str, now: float) -> int | None:
    """Return the fencing token if this process owns the item now."""
    known = owners.known_rows.get(key)
    if known is None or known.relinquished or not owners.lease.valid(now):
        return None
    return known.row.fencing if _is_owned_here(owners, known.row) else None


def has_outage_slot(owners: OwnerRows, key: str) -> bool:
    """Return whether this process holds the outage slot, with or without a lease."""
    known = owners.known_rows.get(key)
    if known is None or known.outage_relinquished:
        return False
    return known.row.outage_holder == owners.own_process


def observe_row(
    owners: OwnerRows, key: str, version: str, row: Row, now: float
) -> None:
    """Record a row that was read; a reading older than the known row is ignored."""
    old = owners.known_rows.get(key)
    if old is not None and row.fencing < old.row.fencing:
        return
    if old is None:
        owners.known_rows[key] = KnownRow(version, row, now, now)
        return
    old.relinquished = old.relinquished and _is_owned_here(owners, row)
    holds_slot = row.outage_holder == owners.own_process
    old.outage_relinquished = old.outage_relinquished and holds_slot
    if row.session != old.row.session:
        old.since = now
    if row.outage_holder != old.row.outage_holder:
        old.outage_since = now
    old.version, old.row = version, row


@dataclasses.dataclass
class InstanceListView:
    """State derived from readings of the instance list.

    Attributes
    ----------
    missing_since : dict
        Time since which each missing node has been missing, on this node's clock.
    """

    missing_since: dict[str, float] = dataclasses.field(default_factory=dict)
    observed_at: float = -math.inf
    self_listed: bool = False
    listed: frozenset[str] = frozenset()


def observe_instance_list(
    instance_list: InstanceListView,
    listed: collections.abc.Set[str],
    nodes: collections.abc.Iterable[str],
    own_node: str,
    now: float,
) -> None:
    """Record a reading of the instance list.

    Parameters
    ----------
    instance_list : InstanceListView
        Modified in place.
    listed : set of str
        Ids in the list.
    nodes : iterable of str
        Nodes whose absence is tracked.
    own_node : str
        This node. A reading without it predates this process, so it proves nothing
        about other nodes.
    now : float
        Monotonic time, in seconds.
    """
    instance_list.listed = frozenset(listed)
    instance_list.self_listed = own_node in listed
    if not instance_list.self_listed:
        instance_list.missing_since.clear()
        return
    instance_list.observed_at = now
    absent = [node for node in nodes if node not in listed]
    instance_list.missing_since = {
        node: instance_list.missing_since.get(node, now) for node in absent
    }


def is_removed(instance_list: InstanceListView, node: str) -> bool:
    """Return whether the node has been missing from the list for long enough."""
    since = instance_list.missing_since.get(node, math.inf)
    return instance_list.observed_at - since >= REMOVAL_DELAY_S


Flow = collections.abc.Generator[step.Write | step.Read, step.Event, None]


def acquire(owners: OwnerRows, key: str, instance_list: InstanceListView) -> Flow:
    """Read an owner row and take ownership if nobody owns the item.

    The caller runs this while its lease is valid, for the items that this node is
    preferred for, and only one flow at a time per item.
    """
    event = yield step.Read(TABLE, key, Row)
    match event.outcome:
        case step.Missing():
            yield from _take_ownership(
                owners, key, step.ABSENT, None, instance_list, event.now
            )
        case step.Found(version, row):
            observe_row(owners, key, version, row, event.now)
            if _is_owned_here(owners, row) and not owners.known_rows[key].relinquished:
                yield from _take_outage_slot(owners, key, instance_list)
                return
            # Read the session after the owner row: a session exists before it
            # takes a row, so a missing session has ended.
            if row.session and not _is_owned_here(owners, row):
                event = yield step.Read(session.TABLE, row.session, session.Row)
                if not isinstance(event.outcome, step.Missing):
                    return
            yield from _take_ownership(
                owners, key, version, row, instance_list, event.now
            )


def _take_ownership(
    owners: OwnerRows,
    key: str,
    expect: step.Precondition,
    old: Row | None,
    instance_list: InstanceListView,
    now: float,
) -> Flow:
    if not owners.lease.valid(now):
        # A session whose creation is unconfirmed may be missing from its table, and
        # other nodes would consider this row abandoned.
        return
    token = 1 if old is None else old.fencing + 1
    slot = None if old is None else old.outage_holder
    if _may_take_slot(owners, slot, instance_list):
        slot = owners.own_process
    row = Row(owners.lease.session, owners.own_process, token, slot)
    yield from _write_own_row(owners, key, row, expect)


def _take_outage_slot(
    owners: OwnerRows, key: str, instance_list: InstanceListView
) -> Flow:
    known = owners.known_rows[key]
    slot = known.row.outage_holder
    stuck = slot == owners.own_process and known.outage_relinquished
    if stuck or (
        slot != owners.own_process and _may_take_slot(owners, slot, instance_list)
    ):
        token = known.row.fencing + 1
        row = dataclasses.replace(
            known.row, fencing=token, outage_holder=owners.own_process
        )
        yield from _write_own_row(owners, key, row, known.version)


def _write_own_row(
    owners: OwnerRows, key: str, row: Row, expect: step.Precondition
) -> Flow:
    event = yield step.Write(TABLE, key, row, expect)
    if isinstance(event.outcome, step.Applied):
        # This write replaced the version that a delayed hand-over write expects.
        observe_row(owners, key, event.outcome.version, row, event.now)
        owners.known_rows[key].relinquished = False
        owners.known_rows[key].outage_relinquished = False


def _may_take_slot(
    owners: OwnerRows, slot: Process | None, instance_list: InstanceListView
) -> bool:
    """Return whether this process may take the outage slot.

    A node that is not in the instance list yet takes none, because other nodes would
    consider its instance removed. An earlier process of this node must have ended,
    since this process listens on its port.
    """
    if not instance_list.self_listed:
        return False
    if slot is None or slot.node == owners.own_process.node:
        return True
    return is_removed(instance_list, slot.node)


@dataclasses.dataclass(frozen=True)
class Successor:
    """A session in force that receives an item.

    Attributes
    ----------
    listed : bool
        The instance list contains its node. Other nodes consider an unlisted node
        removed, so it must not receive the outage slot.
    """

    session: str
    process: Process
    listed: bool = False


def hand_over(owners: OwnerRows, key: str, successor: Successor | None) -> Flow:
    """Hand over what this process holds of an item; without a successor, release it.

    This process stops using the item before the write is sent, whether or not the write
    succeeds.
    """
    for _ in range(HAND_OVER_ATTEMPTS):
        known = owners.known_rows.get(key)
        if known is None or not _holds_anything(owners, known.row):
            return
        known.relinquished = _is_owned_here(owners, known.row)
        known.outage_relinquished = known.row.outage_holder == owners.own_process
        row = _handed_over_row(owners, known.row, successor)
        event = yield step.Write(TABLE, key, row, known.version)
        if isinstance(event.outcome, step.Applied):
            observe_row(owners, key, event.outcome.version, row, event.now)
            return
        event = yield step.Read(TABLE, key, Row)
        if isinstance(event.outcome, step.Found):
            found = event.outcome
            observe_row(owners, key, found.version, found.content, event.now)


def _holds_anything(owners: OwnerRows, row: Row) -> bool:
    return _is_owned_here(owners, row) or row.outage_holder == owners.own_process


def _handed_over_row(owners: OwnerRows, row: Row, successor: Successor | None) -> Row:
    if not _is_owned_here(owners, row):
        # This process holds only the outage slot. The item's owner takes it once
        # the instance list contains the owner.
        return dataclasses.replace(row, fencing=row.fencing + 1, outage_holder=None)
    slot = row.outage_holder
    if slot == owners.own_process:
        slot = successor.process if successor and successor.listed else None
    return Row(
        successor.session if successor else "",
        successor.process if successor else None,
        row.fencing + 1,
        slot,
    )


def _is_owned_here(owners: OwnerRows, row: Row) -> bool:
    return bool(row.session) and row.session == owners.lease.session

"""Cold-start slots of an upstream: accounting by their holder, use by requesters.

An upstream sustains ``cold_limit`` concurrent requests while cold. Its slots are
divided into two parts with separate holders: the leased part (``cold_limit - 1``)
of the node whose session owns the upstream, and the outage part (1). A holder
counts a slot as used from the grant until the request has surely ended.
"""

import collections.abc
import dataclasses
import enum
import math

from snipelug_core import table

MAX_CLOCK_RATE_RATIO = 1.1
"""Bound on the ratio of the rates of any two nodes' clocks."""

GRANT_VALID_S = 3.0
"""Time from before a grant is asked for until the last moment to send, in seconds."""

MAX_SEND_DELAY_S = 10.0
"""Longest time from a requester's last check to the arrival of its request at the
upstream for which the limit holds. It covers a paused process and a slow link."""

MAX_DURATION_S = 600.0
"""Longest time from asking for a grant to the end of the request, in seconds."""

ARRIVAL_BOUND_S = MAX_CLOCK_RATE_RATIO * (GRANT_VALID_S + MAX_SEND_DELAY_S)
"""Time after which a granted request has arrived at the upstream or never will."""

TOMBSTONE_S = 60.0
"""Time for which a release is remembered, so that a grant request that arrives
after its own release takes no slot."""


class PartName(enum.StrEnum):
    """Parts of the slots of one upstream.

    ``SUSPECT`` is one further slot, of the leased part's holder, for requests that
    were running when another upstream died. It is needed warm or cold, besides a
    cold-start slot where the upstream is cold.
    """

    LEASED = "leased"
    OUTAGE = "outage"
    SUSPECT = "suspect"


@dataclasses.dataclass(frozen=True)
class SlotRequest:
    """A request for one slot.

    Attributes
    ----------
    nonce : str
        Never used for another slot.
    duration_s : float
        Time from asking to the latest end of the request, in seconds.
    local : bool
        The requester is the holder's own process.
    """

    nonce: str
    duration_s: float
    local: bool = False


@dataclasses.dataclass(frozen=True)
class Granted:
    """The requester may send one request within `GRANT_VALID_S` of its asking."""


@dataclasses.dataclass(frozen=True)
class Full:
    """All slots are, or may be, in use.

    Attributes
    ----------
    used : int
        Slots counted as used.
    """

    used: int


@dataclasses.dataclass(frozen=True)
class NotHolder:
    """The asked node does not hold the part now."""


@dataclasses.dataclass(frozen=True)
class AlreadyReleased:
    """The requester already released this nonce."""


@dataclasses.dataclass(frozen=True)
class TooLong:
    """The request may last longer than a slot can be held.

    Attributes
    ----------
    limit_s : float
        Longest duration accepted, in seconds.
    """

    limit_s: float


Decision = Granted | Full | NotHolder | AlreadyReleased | TooLong


@dataclasses.dataclass
class Slot:
    """One slot in use.

    Attributes
    ----------
    granted_at, expires_at : float
        Times on the holder's monotonic clock, in seconds.
    released_at : float
        Time of the release; infinite while the slot is in use.
    local : bool
        In use by the holder's own process. Such a slot ends by its release only: a
        process that was paused right before it sent must find its slot in use.
    arrived_at : float
        Time by which the request is known to have arrived; infinite if unknown.
    """

    granted_at: float
    expires_at: float
    released_at: float = math.inf
    local: bool = False
    arrived_at: float = math.inf


@dataclasses.dataclass
class Part:
    """One part of an upstream's slots, in the memory of its holder.

    Attributes
    ----------
    name : PartName
        Which part.
    held : bool
        Whether this process began to hold the part and did not end it.
    slots : dict of str to Slot
        Slots in use, by nonce.
    released : dict of str to Slot
        Slots released lately, and nonces released before they were asked for.
    report : LoadReport or None
        Newest load report of the upstream.
    """

    name: PartName
    held: bool = False
    slots: dict[str, Slot] = dataclasses.field(default_factory=dict)
    released: dict[str, Slot] = dataclasses.field(default_factory=dict)
    report: table.LoadReport | None = None


def capacity(name: PartName, cold_limit: int) -> int:
    """Return the number of slots of a part of an upstream's limit while cold."""
    return cold_limit - 1 if name is PartName.LEASED else 1


def start_holding(part: Part, cold_limit: int, now: float, had_holder: bool) -> None:
    """Start to hold a part.

    Grants of an earlier holder may still be in use. Each slot counts as used until
    load reports made `ARRIVAL_BOUND_S` after this moment show otherwise, or until no grant
    of the earlier holder can be running.

    Parameters
    ----------
    part : Part
        Changed in place.
    cold_limit : int
        Concurrent requests that the upstream sustains while cold.
    now : float
        Monotonic time, in seconds, after the holder's row was written.
    had_holder : bool
        False only if the row did not exist before this node inserted it.
    """
    part.held = True
    part.slots.clear()
    if not had_holder:
        return
    expires_at = now + MAX_CLOCK_RATE_RATIO * (MAX_DURATION_S + MAX_SEND_DELAY_S)
    for number in range(capacity(part.name, cold_limit)):
        part.slots[f"earlier-{number}"] = Slot(now, expires_at)


def stop_holding(part: Part) -> None:
    """Stop to hold a part; before its row is handed over."""
    part.held = False


def apply_report(part: Part, report: table.LoadReport) -> None:
    """Take the newest load report of the upstream.

    An idle upstream shows that every request that must have arrived has ended. A
    warm one needs no slots for them any more, but for suspects.
    """
    part.report = report
    is_warm = report.state is table.Warmth.WARM and part.name is not PartName.SUSPECT
    if report.running + report.waiting > 0 and not is_warm:
        return
    settled = [n for n, slot in part.slots.items() if _has_arrived(slot, report)]
    for nonce in settled:
        del part.slots[nonce]


def _has_arrived(slot: Slot, report: table.LoadReport) -> bool:
    arrived_at = min(slot.granted_at + ARRIVAL_BOUND_S, slot.arrived_at)
    return not slot.local and arrived_at < report.made_at


def count_used(part: Part, cold_limit: int) -> int:
    """Count the slots of a part that are, or may be, in use.

    Of the slots whose requests arrived before the newest report was made, at most
    as many are in use as that report counts requests. Requests in the report that
    neither part granted count as used as well: they were sent while the upstream
    was warm. Those that a warm upstream runs are no part of a cold start.
    """
    report = part.report
    is_suspect = part.name is PartName.SUSPECT
    if report is None or (report.state is table.Warmth.WARM and not is_suspect):
        return len(part.slots)
    busy = report.running + report.waiting
    arrived = sum(_has_arrived(slot, report) for slot in part.slots.values())
    own = len(part.slots) - arrived + min(arrived, busy)
    if is_suspect:
        return own
    slots = [*part.slots.values(), *part.released.values()]
    held_then = sum(
        slot.granted_at <= report.made_at < slot.released_at for slot in slots
    )
    other_part = cold_limit - capacity(part.name, cold_limit)
    return own + max(0, busy - held_then - other_part)


def admit(
    part: Part, ask: SlotRequest, cold_limit: int, now: float, holds_row: bool
) -> Decision:
    """Decide on a request for a slot.

    Parameters
    ----------
    part : Part
        Changed in place.
    ask : Ask
        The request. Asked again with the same nonce, it gets the same slot.
    cold_limit : int
        Concurrent requests that the upstream sustains while cold.
    now : float
        Monotonic time, in seconds.
    holds_row : bool
        Whether this node holds the part at this moment: for the leased part by an
        owner row and a lease that is valid on its own clock, for the outage part by
        being named in the row.
    """
    _drop_expired(part, now)
    if not (part.held and holds_row):
        return NotHolder()
    if ask.duration_s > MAX_DURATION_S:
        return TooLong(MAX_DURATION_S)
    if ask.nonce in part.released:
        return AlreadyReleased()
    if ask.nonce in part.slots:
        return Granted()
    used = count_used(part, cold_limit)
    if used >= capacity(part.name, cold_limit):
        return Full(used)
    expires_at = math.inf if ask.local else now + _hold_s(ask.duration_s)
    part.slots[ask.nonce] = Slot(now, expires_at, local=ask.local)
    return Granted()


def _hold_s(duration_s: float) -> float:
    return MAX_CLOCK_RATE_RATIO * (duration_s + MAX_SEND_DELAY_S)


def release(
    part: Part, nonce: str, has_ended: bool, now: float, has_arrived: bool = False
) -> None:
    """Take the release of a slot.

    Parameters
    ----------
    part : Part
        Changed in place.
    nonce : str
        The nonce under which the slot was asked for.
    has_ended : bool
        True if nothing was sent, the answer came to its end, or the upstream was warm
        after the request arrived. False if the connection was closed before: the
        upstream may still run the request, and the slot stays in use until it expires
        or a report shows the upstream idle or warm.
    now : float
        Monotonic time, in seconds.
    has_arrived : bool
        The head of the answer was read, so that a report made from now on tells of
        this request.
    """
    slot = part.slots.get(nonce)
    if has_ended:
        part.slots.pop(nonce, None)
        part.released.pop(nonce, None)
        granted_at = math.inf if slot is None else slot.granted_at
        part.released[nonce] = Slot(granted_at, now + TOMBSTONE_S, now)
        return
    if slot is None:
        return
    if slot.local:
        slot.local = False
        slot.granted_at = now
        slot.expires_at = now + _hold_s(MAX_DURATION_S)
    if has_arrived:
        slot.arrived_at = now


def _drop_expired(part: Part, now: float) -> None:
    expired = [nonce for nonce, slot in part.slots.items() if slot.expires_at <= now]
    for nonce in expired:
        del part.slots[nonce]
    # Releases are kept in the order of their ends; a warm upstream has many.
    while part.released:
        nonce = next(iter(part.released))
        if part.released[nonce].expires_at > now:
            return
        del part.released[nonce]


@dataclasses.dataclass(frozen=True)
class Grant:
    """A slot as its requester holds it.

    Attributes
    ----------
    holder : str
        Node that granted it.
    asked_at : float
        Requester's monotonic time before it asked, in seconds.
    """

    upstream_id: str
    part: PartName
    holder: str
    nonce: str
    asked_at: float


def is_valid(grant: Grant, now: float) -> bool:
    """Return whether a request may be sent on the grant; the last step before it."""
    return now - grant.asked_at < GRANT_VALID_S


def may_take_outage_part(
    holder_instance: str,
    own_instance: str,
    listed: collections.abc.Collection[str],
    list_asked_at: float,
    row_read_at: float,
) -> bool:
    """Return whether the outage part's holder is gone, so that it may be taken.

    A node takes the part only while the list names its own instance, so the list
    named the holder before the holder's row was written. A list that was asked for
    after that row was read and lacks the holder therefore shows its removal, and not
    a lag in naming a new instance. A node on the holder's own instance replaces the
    holder's process, which has ended.

    Parameters
    ----------
    holder_instance, own_instance : str
        Instances of the holder named in the row and of this node.
    listed : collection of str
        Ids of the instances in the list.
    list_asked_at, row_read_at : float
        Monotonic times before the list was asked for and after the row was read, in
        seconds.
    """
    if list_asked_at <= row_read_at or own_instance not in listed:
        return False
    return holder_instance == own_instance or holder_instance not in listed

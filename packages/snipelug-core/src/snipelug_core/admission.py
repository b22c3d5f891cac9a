"""Admission of requests to an upstream in cold start by means of slots.

An upstream in cold start sustains ``cold_limit`` concurrent requests. Its slots are
divided into two parts, each granted by one node: the leased part (``cold_limit - 1``)
by the node whose session owns the upstream, and the outage part (1) by its outage
holder, which needs no lease. A holder counts a slot as used from the grant until the
request has certainly ended.
"""

import collections.abc
import dataclasses
import enum
import math

from snipelug_core import table

MAX_CLOCK_RATE_RATIO = 1.1
"""Upper bound on the ratio of the clock rates of any two nodes."""

GRANT_VALID_S = 3.0
"""Validity of a grant in seconds, counted from before the request for it was sent."""

MAX_SEND_DELAY_S = 10.0
"""Longest delay, in seconds, between a requester's last check and the arrival of its
request at the upstream for which the limit is guaranteed. It covers a paused process
and a slow link."""

MAX_DURATION_S = 600.0
"""Longest time from the request for a slot to the end of the upstream request, in
seconds."""

ARRIVAL_BOUND_S = MAX_CLOCK_RATE_RATIO * (GRANT_VALID_S + MAX_SEND_DELAY_S)
"""Time after a grant, in seconds, by which its request has reached the upstream or
never will."""

TOMBSTONE_S = 60.0
"""Time in seconds for which a release is remembered, so that a slot request that
arrives after its own release takes no slot."""


class PartName(enum.StrEnum):
    """Parts of the slots of one upstream.

    ``SUSPECT`` is one additional slot, granted by the holder of the leased part, for
    requests that were running when another upstream died. Such a request needs it
    whether the upstream is warm or cold, in addition to a cold-start slot if it is
    cold.
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
        Identifies the slot; never reused for another one.
    duration_s : float
        Time from this request to the latest end of the upstream request, in seconds.
    local : bool
        The requester is the holder's own process.
    """

    nonce: str
    duration_s: float
    local: bool = False


@dataclasses.dataclass(frozen=True)
class Granted:
    """The requester may send one request within `GRANT_VALID_S` of asking."""


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
    """The node does not currently hold the part."""


@dataclasses.dataclass(frozen=True)
class AlreadyReleased:
    """The requester has already released the slot with this nonce."""


@dataclasses.dataclass(frozen=True)
class TooLong:
    """The request may last longer than a slot can be held.

    Attributes
    ----------
    limit_s : float
        Longest accepted duration, in seconds.
    """

    limit_s: float


@dataclasses.dataclass(frozen=True)
class AwaitsReport:
    """Only cut requests may still run; the next load report shows whether they do."""


Decision = Granted | Full | NotHolder | AlreadyReleased | TooLong | AwaitsReport


@dataclasses.dataclass
class Slot:
    """A slot in use.

    Attributes
    ----------
    granted_at, expires_at : float
        Times on the holder's monotonic clock, in seconds.
    released_at : float
        Time of the release; infinite while the slot is in use.
    local : bool
        Used by the holder's own process. Such a slot does not expire and is freed only
        by its release: if the process is paused right before it sends, the slot must
        still be counted when it resumes.
    arrived_at : float
        Time by which the request is known to have reached the upstream; infinite if
        unknown.
    is_cut : bool
        The connection was closed before the end of the response.
    """

    granted_at: float
    expires_at: float
    released_at: float = math.inf
    local: bool = False
    arrived_at: float = math.inf
    is_cut: bool = False


@dataclasses.dataclass
class Part:
    """One part of an upstream's slots, kept in its holder's memory.

    Attributes
    ----------
    name : PartName
        Which part.
    held : bool
        Whether this process holds the part.
    slots : dict of str to Slot
        Slots in use, by nonce.
    released : dict of str to Slot
        Recently released slots by nonce, including releases that arrived before their
        slot request.
    report : LoadReport or None
        Latest load report of the upstream.
    ended_at : float
        Time at which a slot was last released by a request that ended, in seconds.
    """

    name: PartName
    held: bool = False
    slots: dict[str, Slot] = dataclasses.field(default_factory=dict)
    released: dict[str, Slot] = dataclasses.field(default_factory=dict)
    report: table.LoadReport | None = None
    ended_at: float = -math.inf


def capacity(name: PartName, cold_limit: int) -> int:
    """Return the number of slots in a part, given the upstream's cold limit."""
    return cold_limit - 1 if name is PartName.LEASED else 1


def start_holding(part: Part, cold_limit: int, now: float, had_holder: bool) -> None:
    """Start holding a part.

    Grants of a previous holder may still be in use. Each slot therefore counts as used
    until a load report made at least `ARRIVAL_BOUND_S` from now shows otherwise, or
    until no request granted by the previous holder can still be running.

    Parameters
    ----------
    part : Part
        Modified in place.
    cold_limit : int
        Concurrent requests that the upstream sustains while cold.
    now : float
        Monotonic time, in seconds, after the row that names the holder was written.
    had_holder : bool
        False only if this node inserted the row and it did not exist before.
    """
    part.held = True
    part.slots.clear()
    if not had_holder:
        return
    expires_at = now + MAX_CLOCK_RATE_RATIO * (MAX_DURATION_S + MAX_SEND_DELAY_S)
    for number in range(capacity(part.name, cold_limit)):
        part.slots[f"earlier-{number}"] = Slot(now, expires_at)


def stop_holding(part: Part) -> None:
    """Stop holding a part; call it before the row is handed over."""
    part.held = False


def apply_report(part: Part, report: table.LoadReport) -> None:
    """Update a part with the latest load report of the upstream.

    A report of an idle upstream proves that all requests that must have arrived by then
    have ended. A warm upstream no longer needs slots for those requests, except for
    suspect requests.
    """
    part.report = report
    is_warm = report.state is table.Warmth.WARM and part.name is not PartName.SUSPECT
    if report.running + report.waiting > 0 and not is_warm:
        return
    ended = [n for n, slot in part.slots.items() if _has_arrived(slot, report)]
    for nonce in ended:
        del part.slots[nonce]


def _has_arrived(slot: Slot, report: table.LoadReport) -> bool:
    return _latest_arrival(slot) < report.made_at


def _latest_arrival(slot: Slot) -> float:
    if slot.local:
        return math.inf
    return min(slot.granted_at + ARRIVAL_BOUND_S, slot.arrived_at)


def awaits_report(parts: collections.abc.Collection[Part], now: float) -> bool:
    """Return whether to wait for a report that may show a cold upstream idle.

    Only an idle report frees the slots of cut requests for good. Reports are seldom
    made in the moment between two requests, so without this wait such a slot stays in
    use for as long as requests follow one another in the other slots.

    Parameters
    ----------
    parts : collection of Part
        The cold-start parts of one upstream that this node holds.
    now : float
        Monotonic time, in seconds.
    """
    slots = [slot for part in parts for slot in part.slots.values()]
    reports = [part.report for part in parts if part.report is not None]
    if not (slots and reports) or reports[0].state is table.Warmth.WARM:
        return False
    arrivals = [_latest_arrival(slot) for slot in slots]
    if max(arrivals) >= now or not all(slot.is_cut for slot in slots):
        return False
    made_at = max(report.made_at for report in reports)
    return made_at <= max(*arrivals, *(part.ended_at for part in parts))


def count_used(part: Part, cold_limit: int) -> int:
    """Count the slots of a part that are, or may be, in use.

    Among slots whose requests arrived before the latest report was made, no more are in
    use than that report counts requests. Requests in the report that neither part
    granted also count as used: they were sent while the upstream was warm. Requests
    that a warm upstream runs do not count towards a cold start.
    """
    report = part.report
    is_suspect = part.name is PartName.SUSPECT
    if report is None or (report.state is table.Warmth.WARM and not is_suspect):
        return len(part.slots)
    active = report.running + report.waiting
    arrived = sum(_has_arrived(slot, report) for slot in part.slots.values())
    used_by_part = len(part.slots) - arrived + min(arrived, active)
    if is_suspect:
        return used_by_part
    slots = [*part.slots.values(), *part.released.values()]
    counted_at_report = sum(
        slot.granted_at <= report.made_at < slot.released_at for slot in slots
    )
    other_capacity = cold_limit - capacity(part.name, cold_limit)
    return used_by_part + max(0, active - counted_at_report - other_capacity)


def admit(
    part: Part,
    request: SlotRequest,
    cold_limit: int,
    now: float,
    holds_row: bool,
    other: Part | None = None,
) -> Decision:
    """Decide on a request for a slot.

    Parameters
    ----------
    part : Part
        Modified in place.
    request : SlotRequest
        The request. A repeated request with the same nonce gets the same slot.
    cold_limit : int
        Concurrent requests that the upstream sustains while cold.
    now : float
        Monotonic time, in seconds.
    holds_row : bool
        Whether this node holds the part at this moment. The leased part requires an
        owner row and a lease that is valid on this node's clock; the outage part
        requires that the row names this node as its outage holder.
    other : Part, optional
        The other cold-start part, if this node holds it too.
    """
    _drop_expired(part, now)
    if not (part.held and holds_row):
        return NotHolder()
    if request.duration_s > MAX_DURATION_S:
        return TooLong(MAX_DURATION_S)
    if request.nonce in part.released:
        return AlreadyReleased()
    if request.nonce in part.slots:
        return Granted()
    used = count_used(part, cold_limit)
    if used >= capacity(part.name, cold_limit):
        return Full(used)
    cold_parts = [part] if other is None else [part, other]
    if part.name is not PartName.SUSPECT and awaits_report(cold_parts, now):
        return AwaitsReport()
    expires_at = (
        math.inf if request.local else now + _slot_lifetime_s(request.duration_s)
    )
    part.slots[request.nonce] = Slot(now, expires_at, local=request.local)
    return Granted()


def _slot_lifetime_s(duration_s: float) -> float:
    return MAX_CLOCK_RATE_RATIO * (duration_s + MAX_SEND_DELAY_S)


def release(
    part: Part, nonce: str, has_ended: bool, now: float, has_arrived: bool = False
) -> None:
    """Release a slot.

    Parameters
    ----------
    part : Part
        Modified in place.
    nonce : str
        The nonce of the slot request.
    has_ended : bool
        True if nothing was sent, the response was complete, or the upstream was warm
        after the request arrived. False if the connection was closed earlier: the
        upstream may still be running the request, so the slot stays in use until it
        expires or a report shows the upstream idle or warm.
    now : float
        Monotonic time, in seconds.
    has_arrived : bool
        The response headers were read or the upstream closed the connection, so any
        report made from now on accounts for this request.
    """
    slot = part.slots.get(nonce)
    if has_ended:
        if slot is not None:
            part.ended_at = now
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
        slot.expires_at = now + _slot_lifetime_s(MAX_DURATION_S)
    slot.is_cut = True
    if has_arrived:
        slot.arrived_at = now


def _drop_expired(part: Part, now: float) -> None:
    expired = [nonce for nonce, slot in part.slots.items() if slot.expires_at <= now]
    for nonce in expired:
        del part.slots[nonce]
    # Releases are ordered by expiry. A warm upstream has many, so stop at the first
    # one that has not expired.
    while part.released:
        nonce = next(iter(part.released))
        if part.released[nonce].expires_at > now:
            return
        del part.released[nonce]


@dataclasses.dataclass(frozen=True)
class Grant:
    """A granted slot as seen by the requester.

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
    """Return whether a request may be sent; the last check before sending."""
    return now - grant.asked_at < GRANT_VALID_S


def may_take_outage_part(
    holder_instance: str,
    own_instance: str,
    listed: collections.abc.Collection[str],
    list_asked_at: float,
    row_read_at: float,
) -> bool:
    """Return whether the holder of the outage part is gone, so this node may take it.

    A node takes the part only while the instance list contains its own instance, so the
    list contained the holder before the holder's row was written. Therefore, if a list
    requested after reading that row lacks the holder, its instance was removed; the
    list is not merely late in showing a new instance. A node on the holder's own
    instance replaces the holder's process, which has ended.

    Parameters
    ----------
    holder_instance, own_instance : str
        Instances of the holder named in the row and of this node.
    listed : collection of str
        Ids of the instances in the list.
    list_asked_at, row_read_at : float
        Monotonic times before the list was requested and after the row was read, in
        seconds.
    """
    if list_asked_at <= row_read_at or own_instance not in listed:
        return False
    return holder_instance == own_instance or holder_instance not in listed

"""Team limits shared by all nodes: a floor per node and slices lent by one owner.

A quarter of each limit is divided evenly between the members as floors, guaranteed
shares that need no owner. The team's owner lends the rest in slices according to
demand. The sum of all floors and slices in force never exceeds the limit while the
clock rates of any two nodes differ by less than 10%. Requests in flight may outlast a
slice, so the owner counts those that borrowers report. The in-flight limit can still be
exceeded when a borrower is cut off from the owner: requests that it started on slices
count for at most `IN_FLIGHT_RETENTION_S`, not after its session is revoked, and not at
a new owner that it has never reached. Each case adds at most the borrower's last share.
"""

import collections.abc
import dataclasses
import math

from snipelug_core import contract

FLOOR_FRACTION = 0.25
"""Fraction of each limit that is divided into floors."""

SLICE_LEASE_S = 10.0
"""Time for which the owner counts a slice as lent, on the owner's clock, in seconds."""

SLICE_USE_S = 8.0
"""Time for which a borrower may use a slice, counted from before it asked, on the
borrower's clock, in seconds."""

NEW_OWNER_WAIT_S = 12.0
"""Time in seconds for which a new owner lends nothing, so earlier slices expire."""

IN_FLIGHT_RETENTION_S = 60.0
"""Time for which the in-flight requests of a silent borrower count, in seconds."""

JOIN_WAIT_S = 30.0
"""Time for which a new member uses no floor, in seconds. Meanwhile all members learn
of it and reduce their own floors."""

MAX_DEMAND_RATIO = 1.5
"""Largest slice as a multiple of the borrower's demand, besides the even share. The
rest stays free for borrowers that have not asked yet."""

EVEN_SHARE_FRACTION = 0.5
"""Fraction of the pool that is shared evenly between the members regardless of
demand, so that a request after an idle period does not wait for a larger slice."""

EVEN_SHARE_OF_FREE = 0.25
"""Largest fraction of the free amount that an even share may take. It leaves some
for the next borrower even if the owner knows too few members."""

REQUEST_INTERVAL_S = 3.0
"""Interval between a borrower's slice requests, in seconds. A borrower asks while it
has demand or running requests above its floor, so a new owner learns of them before
it lends."""

BURST_S = 1.0
"""Depth of a rate's token bucket, in seconds of that rate."""


@dataclasses.dataclass(frozen=True)
class Amounts:
    """Amounts of the three limited quantities.

    Attributes
    ----------
    in_flight : int
        Requests running at once.
    requests_per_s, tokens_per_s : float
        Rates per second.
    """

    in_flight: int = 0
    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0

    def plus(self, other: "Amounts") -> "Amounts":
        """Return the sum of both amounts."""
        return Amounts(
            self.in_flight + other.in_flight,
            self.requests_per_s + other.requests_per_s,
            self.tokens_per_s + other.tokens_per_s,
        )


ZERO = Amounts()


def floor(limits: contract.Limits, members: int, joined_for_s: float) -> Amounts:
    """Return a node's floor: the share that it may use without an owner.

    Parameters
    ----------
    limits : Limits
        Limits of the team.
    members : int
        Largest recent number of members that this node has read or received.
    joined_for_s : float
        Time since this node wrote its session row, in seconds.
    """
    if joined_for_s < JOIN_WAIT_S:
        return ZERO
    part = FLOOR_FRACTION / max(1, members)
    return Amounts(
        int(limits.in_flight * part),
        limits.requests_per_s * part,
        limits.tokens_per_s * part,
    )


def pool(limits: contract.Limits) -> Amounts:
    """Return the total amounts that the owner may lend."""
    part = 1.0 - FLOOR_FRACTION
    return Amounts(
        limits.in_flight - int(limits.in_flight * FLOOR_FRACTION),
        limits.requests_per_s * part,
        limits.tokens_per_s * part,
    )


@dataclasses.dataclass(frozen=True)
class SliceRequest:
    """A request for a slice.

    Attributes
    ----------
    node_id : str
        The borrower.
    number : int
        Increases with each request of one borrower.
    in_flight : int
        Requests that the borrower currently runs above its floor.
    demand : Amounts
        What the borrower could use above its floor.
    """

    node_id: str
    number: int
    in_flight: int
    demand: Amounts


@dataclasses.dataclass(frozen=True)
class Lent:
    """The borrower may use the amounts for `SLICE_USE_S` from before it asked."""

    amounts: Amounts


@dataclasses.dataclass(frozen=True)
class NotOwner:
    """The node does not currently own the team."""


@dataclasses.dataclass(frozen=True)
class OwnerNotReady:
    """Slices of a previous owner may still be in use.

    Attributes
    ----------
    wait_s : float
        Time after which to ask again, in seconds.
    """

    wait_s: float


@dataclasses.dataclass(frozen=True)
class Outdated:
    """A later request of this borrower has already been answered."""


Reply = Lent | NotOwner | OwnerNotReady | Outdated


@dataclasses.dataclass(frozen=True)
class Slice:
    """A lent slice, as its owner counts it."""

    amounts: Amounts
    expires_at: float


@dataclasses.dataclass
class Borrower:
    """The owner's record of one borrower.

    Attributes
    ----------
    slices : list of Slice
        Slices not covered by a later report. The reply with the newest one may have
        been lost, so the borrower is charged for the largest.
    """

    number: int = -1
    in_flight: int = 0
    reported_at: float = -math.inf
    demand: Amounts = ZERO
    slices: list[Slice] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Owner:
    """State of a team's owner, kept by the node that holds the team's row.

    Attributes
    ----------
    since : float
        Monotonic time after the owner row was written, in seconds.
    had_owner : bool
        False only if the row did not exist before.
    """

    since: float
    had_owner: bool
    borrowers: dict[str, Borrower] = dataclasses.field(default_factory=dict)


def lend(
    owner: Owner,
    request: SliceRequest,
    limits: contract.Limits,
    members: collections.abc.Collection[str],
    now: float,
    holds_row: bool,
) -> Reply:
    """Decide on a request for a slice.

    Parameters
    ----------
    owner : Owner
        Modified in place.
    request : SliceRequest
        The request.
    limits : Limits
        Limits of the team.
    members : collection of str
        Ids of the nodes whose sessions are not revoked.
    now : float
        Monotonic time, in seconds.
    holds_row : bool
        Whether this node holds the team's row, with a valid lease, at this moment.
    """
    if not holds_row:
        return NotOwner()
    borrower = owner.borrowers.setdefault(request.node_id, Borrower())
    if request.number <= borrower.number:
        return Outdated()
    borrower.number = request.number
    borrower.in_flight = request.in_flight
    borrower.reported_at = now
    borrower.demand = request.demand
    borrower.slices = [slice_ for slice_ in borrower.slices if slice_.expires_at > now]
    _remove_departed(owner, members, now)
    wait_s = owner.since + NEW_OWNER_WAIT_S - now if owner.had_owner else 0.0
    if wait_s > 0:
        return OwnerNotReady(wait_s)
    amounts = _allocate(owner, borrower, pool(limits), len(members), now)
    borrower.slices.append(Slice(amounts, now + SLICE_LEASE_S))
    return Lent(amounts)


def _remove_departed(
    owner: Owner, members: collections.abc.Collection[str], now: float
) -> None:
    gone = [
        node_id
        for node_id, borrower in owner.borrowers.items()
        if node_id not in members and borrower.reported_at + SLICE_LEASE_S <= now
    ]
    for node_id in gone:
        del owner.borrowers[node_id]


def _committed(borrower: Borrower, now: float) -> Amounts:
    """Return the maximum amounts that a borrower may be using."""
    in_use = [slice_.amounts for slice_ in borrower.slices if slice_.expires_at > now]
    carried = [
        slice_.amounts.in_flight
        for slice_ in borrower.slices
        if slice_.expires_at + IN_FLIGHT_RETENTION_S > now
    ]
    if borrower.reported_at + IN_FLIGHT_RETENTION_S > now:
        carried.append(borrower.in_flight)
    return Amounts(
        max(carried, default=0),
        max((amounts.requests_per_s for amounts in in_use), default=0.0),
        max((amounts.tokens_per_s for amounts in in_use), default=0.0),
    )


def _allocate(
    owner: Owner, borrower: Borrower, total: Amounts, members: int, now: float
) -> Amounts:
    others = [other for other in owner.borrowers.values() if other is not borrower]
    committed = [_committed(other, now) for other in others]
    active = [
        other.demand for other in others if other.reported_at + SLICE_LEASE_S > now
    ]
    demand = borrower.demand

    def share(name: str) -> float:
        wanted = float(getattr(demand, name))
        total_wanted = wanted + sum(float(getattr(amounts, name)) for amounts in active)
        limit = float(getattr(total, name))
        free = limit - sum(float(getattr(amounts, name)) for amounts in committed)
        fair = limit * wanted / total_wanted if total_wanted > 0 else 0.0
        base = min(
            limit * EVEN_SHARE_FRACTION / max(1, members), free * EVEN_SHARE_OF_FREE
        )
        return max(0.0, min(free, max(fair, base), wanted * MAX_DEMAND_RATIO + base))

    return Amounts(
        int(share("in_flight")), share("requests_per_s"), share("tokens_per_s")
    )


@dataclasses.dataclass
class Bucket:
    """A token bucket whose rate changes with the share in force.

    A request passes while the level is positive and may make it negative. A request
    larger than the depth therefore passes too; later requests wait until the level has
    recovered.

    Attributes
    ----------
    level : float
        Units available now.
    filled_at : float
        Monotonic time up to which the level is computed, in seconds.
    """

    level: float = 0.0
    filled_at: float = 0.0

    def refill(self, until: float, rate: float) -> None:
        """Add the units accrued up to a time, at a rate in units per second."""
        if until <= self.filled_at:
            return
        depth = max(1.0, rate * BURST_S)
        self.level = min(depth, self.level + rate * (until - self.filled_at))
        self.filled_at = until


@dataclasses.dataclass
class Account:
    """A node's use of a team's limits.

    Attributes
    ----------
    lent : Amounts
        Newest slice.
    lent_until : float
        Time at which this node stops using the slice, in seconds.
    lent_asked_at : float
        Time before that slice was requested, in seconds.
    """

    lent: Amounts = ZERO
    lent_until: float = -math.inf
    lent_asked_at: float = -math.inf
    in_flight: int = 0
    requests: Bucket = dataclasses.field(default_factory=Bucket)
    tokens: Bucket = dataclasses.field(default_factory=Bucket)


def apply_slice(
    account: Account, amounts: Amounts, asked_at: float, own_floor: Amounts
) -> None:
    """Use a lent slice, unless a slice from a later request is already known."""
    if asked_at <= account.lent_asked_at:
        return
    _refill_buckets(account, own_floor, asked_at)
    account.lent = amounts
    account.lent_asked_at = asked_at
    account.lent_until = asked_at + SLICE_USE_S


def share_in_force(account: Account, own_floor: Amounts, now: float) -> Amounts:
    """Return the floor, plus the slice while it is valid."""
    return own_floor.plus(account.lent) if now < account.lent_until else own_floor


def _refill_buckets(account: Account, own_floor: Amounts, now: float) -> None:
    before = share_in_force(account, own_floor, -math.inf)
    for until, share in ((min(now, account.lent_until), before), (now, own_floor)):
        account.requests.refill(until, share.requests_per_s)
        account.tokens.refill(until, share.tokens_per_s)


def try_start(account: Account, own_floor: Amounts, cost: float, now: float) -> bool:
    """Start a request if all three limits permit it; return whether they do.

    Parameters
    ----------
    account : Account
        Modified in place.
    own_floor : Amounts
        This node's floor.
    cost : float
        Expected number of prompt and generated tokens.
    now : float
        Monotonic time, in seconds.
    """
    _refill_buckets(account, own_floor, now)
    share = share_in_force(account, own_floor, now)
    if account.in_flight >= share.in_flight:
        return False
    if account.requests.level <= 0.0 or account.tokens.level <= 0.0:
        return False
    account.in_flight += 1
    account.requests.level -= 1.0
    account.tokens.level -= cost
    return True


def finish(account: Account, unused_tokens: float = 0.0) -> None:
    """End a request; ``unused_tokens`` is negative if it used more than its cost."""
    account.in_flight -= 1
    account.tokens.level += unused_tokens

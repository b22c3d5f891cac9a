"""Contract limits over all nodes: a floor at each node and slices from one owner.

A quarter of each limit is divided evenly between the members as floors, which need
no owner. The team's owner lends the rest in slices by demand. The sum of all floors
and slices in force never exceeds the limit while any two clocks' rates differ by less
than 10%. Requests in flight may outlast a slice, so the owner counts what borrowers
report. Windows remain for a borrower that is cut off from the owner: what it started on
slices counts for `IN_FLIGHT_RETENTION_S` at most, not after its session is revoked, and not at a new
owner that it never reached. Each adds at most the borrower's own last share.
"""

import collections.abc
import dataclasses
import math

from snipelug_core import contract

FLOOR_FRACTION = 0.25
"""Part of each limit that is divided into floors."""

SLICE_LEASE_S = 10.0
"""Time for which the owner counts a slice as lent, on its clock, in seconds."""

SLICE_USE_S = 8.0
"""Time from before a slice is asked for until the borrower stops using it, on its
clock, in seconds."""

NEW_OWNER_WAIT_S = 12.0
"""Time for which a new owner lends nothing, so that earlier slices end, in seconds."""

IN_FLIGHT_RETENTION_S = 60.0
"""Time for which requests in flight of a silent borrower count, in seconds."""

JOIN_WAIT_S = 30.0
"""Time for which a new member uses no floor, so that all members learn of it and
reduce their own floors, in seconds."""

MAX_DEMAND_RATIO = 1.5
"""Most that a borrower gets as a multiple of its demand; the rest stays free for
borrowers that did not ask yet."""

EVEN_SHARE_FRACTION = 0.5
"""Part of the pool from which each borrower gets an even share whatever it asks for,
so that the request after a quiet moment does not wait for a larger slice."""

EVEN_SHARE_OF_FREE = 0.25
"""Most of what is free that an even share takes, so that the next borrower finds some
also when the owner knows too few members."""

REQUEST_INTERVAL_S = 3.0
"""Time after which a borrower asks again, in seconds. It asks while it has demand, or
runs requests, above its floor; a new owner so hears of them before it lends."""

BURST_S = 1.0
"""Depth of a rate's bucket, as seconds of that rate."""


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
        """Return the sum."""
        return Amounts(
            self.in_flight + other.in_flight,
            self.requests_per_s + other.requests_per_s,
            self.tokens_per_s + other.tokens_per_s,
        )


ZERO = Amounts()


def floor(limits: contract.Limits, members: int, joined_for_s: float) -> Amounts:
    """Return the share that a node may use without an owner.

    Parameters
    ----------
    limits : Limits
        Limits of the team.
    members : int
        Highest number of members that this node read or heard of lately.
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
    """Return what the owner may lend in total."""
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
        Grows with each request of one borrower.
    in_flight : int
        Requests that the borrower runs now above its floor.
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
    """The asked node does not own the team now."""


@dataclasses.dataclass(frozen=True)
class OwnerNotReady:
    """Slices of an earlier owner may still be in use.

    Attributes
    ----------
    wait_s : float
        Time after which to ask again, in seconds.
    """

    wait_s: float


@dataclasses.dataclass(frozen=True)
class Outdated:
    """A later request of this borrower was already answered."""


Reply = Lent | NotOwner | OwnerNotReady | Outdated


@dataclasses.dataclass(frozen=True)
class Slice:
    """A slice lent, as its owner counts it."""

    amounts: Amounts
    expires_at: float


@dataclasses.dataclass
class Borrower:
    """What the owner knows of one borrower.

    Attributes
    ----------
    slices : list of Slice
        Slices not covered by a later report. The answer that brought a newer slice
        may be lost, so the borrower counts with the largest.
    """

    number: int = -1
    in_flight: int = 0
    reported_at: float = -math.inf
    demand: Amounts = ZERO
    slices: list[Slice] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Owner:
    """A team's owner, in the memory of the node that holds the team's row.

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
    ask: SliceRequest,
    limits: contract.Limits,
    members: collections.abc.Collection[str],
    now: float,
    holds_row: bool,
) -> Reply:
    """Decide on a request for a slice.

    Parameters
    ----------
    owner : Owner
        Changed in place.
    ask : Ask
        The request.
    limits : Limits
        Limits of the team.
    members : collection of str
        Ids of the nodes whose sessions are not revoked.
    now : float
        Monotonic time in seconds.
    holds_row : bool
        Whether this node holds the team's row, with a valid lease, at this moment.
    """
    if not holds_row:
        return NotOwner()
    borrower = owner.borrowers.setdefault(ask.node_id, Borrower())
    if ask.number <= borrower.number:
        return Outdated()
    borrower.number = ask.number
    borrower.in_flight = ask.in_flight
    borrower.reported_at = now
    borrower.demand = ask.demand
    borrower.slices = [one for one in borrower.slices if one.expires_at > now]
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
    """Return what a borrower may be using at most."""
    in_use = [one.amounts for one in borrower.slices if one.expires_at > now]
    carried = [
        one.amounts.in_flight
        for one in borrower.slices
        if one.expires_at + IN_FLIGHT_RETENTION_S > now
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
    others = [one for one in owner.borrowers.values() if one is not borrower]
    taken = [_committed(one, now) for one in others]
    active = [one.demand for one in others if one.reported_at + SLICE_LEASE_S > now]
    demand = borrower.demand

    def share(name: str) -> float:
        wanted = float(getattr(demand, name))
        all_wanted = wanted + sum(float(getattr(one, name)) for one in active)
        limit = float(getattr(total, name))
        free = limit - sum(float(getattr(one, name)) for one in taken)
        fair = limit * wanted / all_wanted if all_wanted > 0 else 0.0
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

    A request passes if the level is positive and may take it below zero, so a request
    larger than the depth passes too and is paid for by the following wait.

    Attributes
    ----------
    level : float
        Units that may be used now.
    filled_at : float
        Monotonic time up to which the level is computed, in seconds.
    """

    level: float = 0.0
    filled_at: float = 0.0

    def refill(self, until: float, rate: float) -> None:
        """Add what a rate, in units per second, gives up to a time."""
        if until <= self.filled_at:
            return
        depth = max(1.0, rate * BURST_S)
        self.level = min(depth, self.level + rate * (until - self.filled_at))
        self.filled_at = until


@dataclasses.dataclass
class Account:
    """A team's limits as one node uses them.

    Attributes
    ----------
    lent : Amounts
        Newest slice.
    lent_until : float
        Time at which this node stops using the slice, in seconds.
    lent_asked_at : float
        Time before that slice was asked for, in seconds.
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
    """Use a slice that was lent, unless one asked for later is known."""
    if asked_at <= account.lent_asked_at:
        return
    _refill_buckets(account, own_floor, asked_at)
    account.lent = amounts
    account.lent_asked_at = asked_at
    account.lent_until = asked_at + SLICE_USE_S


def share_in_force(account: Account, own_floor: Amounts, now: float) -> Amounts:
    """Return the floor plus the slice while it is valid."""
    return own_floor.plus(account.lent) if now < account.lent_until else own_floor


def _refill_buckets(account: Account, own_floor: Amounts, now: float) -> None:
    before = share_in_force(account, own_floor, -math.inf)
    for until, share in ((min(now, account.lent_until), before), (now, own_floor)):
        account.requests.refill(until, share.requests_per_s)
        account.tokens.refill(until, share.tokens_per_s)


def try_start(account: Account, own_floor: Amounts, cost: float, now: float) -> bool:
    """Count a request as started if all three limits permit it.

    Parameters
    ----------
    account : Account
        Changed in place.
    own_floor : Amounts
        This node's floor.
    cost : float
        Expected prompt plus generated tokens.
    now : float
        Monotonic time in seconds.
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
    """Count a request as ended; tokens used beyond the cost are a negative rest."""
    account.in_flight -= 1
    account.tokens.level += unused_tokens

"""Retry budgets: token buckets per node, and the part that all nodes share.

What a node earns by its own requests is its own; the additional retries of all nodes
are granted as permits (`shared_rate`).
"""

import dataclasses

from snipelug_core import shared_rate

RETRY_RATIO = 0.1
"""Retries per request; retries add at most 10% to an upstream's load."""

MIN_RETRIES_PER_S = 0.1
"""Retries per second that are allowed even without requests."""

MAX_SAVED_RETRIES = 10.0
"""Capacity of the token bucket."""

ROUNDING = 1e-9
"""Bound of rounding errors, by which a whole retry may lack a little."""

RATIO_FRACTION = 0.75
"""Fraction of the retries per request that the nodes use."""

MIN_OWN_CAPACITY = 1.0
OWN_FRACTION = 0.1
"""Retries that a node saves of those that its own requests earned.

They are a fraction of its equal part of the additional retries, and one at least.

Saved ones may be sent in a later window than the requests, so the additional retries
cover them.
"""

OWN_REMAINDER = 0.1
"""Part of another retry that a node saves where it saves one.

What requests earn beyond the capacity is lost, and a retry is seldom complete with the
last request that it needs.
"""

MIN_EXTRA_FOR_INITIAL = 6.0
"""Additional retries for each node from which on nodes have some at their start."""

SHARED_FRACTION = 0.7
"""Fraction of the additional retries of a window that is shared, at most."""

USED_FRACTION = 0.9
"""Fraction of the additional retries that is shared or covers what nodes save.

The rest covers retries that are sent some time after they were granted, and the time in
which an allocator does not know yet that another one grants.
"""

BURST_FRACTION = 0.4
"""Fraction of the shared part that fills its bucket; the rest refills it in a window.

In one window the nodes send at most what the bucket holds plus what is refilled.
"""

MAX_PARTS = 2
"""Retries of its part that a node saves at most; also the least urgent priority.

A node that has saved more asks more urgently: after a quiet time all nodes have saved
their parts, and none gets a second retry before the others have had one.
"""


@dataclasses.dataclass(frozen=True)
class Policy:
    """How many retries a budget allows.

    Attributes
    ----------
    ratio : float
        Retries per request.
    min_per_s : float
        Retries per second that are allowed even without requests.
    capacity : float
        Maximum number of accumulated retries.
    initial : float
        Retries that a node may send right after its start. All nodes may restart within
        one window, so this is less than one for each node where nodes are many.
    """

    ratio: float = RETRY_RATIO
    min_per_s: float = MIN_RETRIES_PER_S
    capacity: float = MAX_SAVED_RETRIES
    initial: float = 1.0


DEFAULT_POLICY = Policy()


def own_policy(ratio: float, extra: float, nodes: int) -> Policy:
    """Return the policy for the retries that a node's own requests earn.

    Parameters
    ----------
    ratio : float
        Retries per request that all nodes may send.
    extra : float
        Additional retries that they may send within one window.
    nodes : int
        Number of nodes; 0 if not known yet.
    """
    initial = _initial(extra, nodes) if nodes > 0 else 0.0
    capacity = _own_capacity(extra, nodes) if nodes > 0 else MIN_OWN_CAPACITY
    return Policy(RATIO_FRACTION * ratio, 0.0, capacity, initial)


def _own_capacity(extra: float, nodes: int) -> float:
    return max(MIN_OWN_CAPACITY + OWN_REMAINDER, OWN_FRACTION * extra / nodes)


def _initial(extra: float, nodes: int) -> float:
    """Return the retries that a node may send right after its start.

    All nodes may restart within one window. No permits are granted right after that.
    """
    has_enough = MIN_EXTRA_FOR_INITIAL * nodes <= extra
    return _own_capacity(extra, nodes) if has_enough else 0.0


def shared_part(extra: float, window_s: float, nodes: int) -> shared_rate.Rate | None:
    """Return the rate of the additional retries that all nodes share.

    Where the saved retries of the nodes are more than `USED_FRACTION` of the additional
    ones, nothing is left to share.

    Parameters
    ----------
    extra : float
        Additional retries that all nodes may send within one window.
    window_s : float
        Length of the window, in seconds.
    nodes : int
        Number of nodes.

    Returns
    -------
    shared_rate.Rate or None
        None if there is less than one retry in a window, or none to fill the bucket.
    """
    own = nodes * (_own_capacity(extra, nodes) + _initial(extra, nodes))
    shared = min(SHARED_FRACTION * extra, USED_FRACTION * extra - own)
    burst = BURST_FRACTION * shared
    per_s = (shared - burst) / max(window_s, 1.0)
    if burst < 1.0 or per_s < shared_rate.MIN_PER_S:
        return None
    return shared_rate.Rate(per_s, burst)


def part_policy(shared: shared_rate.Rate, nodes: int) -> Policy:
    """Return the policy for a node's part of the shared retries.

    The refill is divided into equal parts. They decide only how urgently a node asks,
    so what a node does not use is left to the others. Without them, nodes with few
    failed requests would get almost no retries while others ask all the time.

    Parameters
    ----------
    shared : shared_rate.Rate
        Rate of the retries that all nodes share.
    nodes : int
        Number of nodes.
    """
    return Policy(0.0, shared.per_s / max(1, nodes), MAX_PARTS, MAX_PARTS)


def priority_of(saved: float) -> int:
    """Return the priority of an ask by what a node has saved of its part."""
    return max(0, MAX_PARTS - int(saved + ROUNDING))


@dataclasses.dataclass
class Budget:
    """Token bucket for the retries of one node at one upstream.

    Attributes
    ----------
    available : float
        Retries available now.
    refilled_at : float
        Monotonic time of the last refill, in seconds.
    """

    available: float = 1.0
    refilled_at: float = 0.0


def record_request(budget: Budget, policy: Policy = DEFAULT_POLICY) -> None:
    """Add the retries earned by a first attempt."""
    budget.available = min(policy.capacity, budget.available + policy.ratio)


def put_back(budget: Budget, policy: Policy = DEFAULT_POLICY) -> bool:
    """Return a retry that was taken but not sent.

    Returns
    -------
    bool
        Whether the bucket had room for a whole retry.
    """
    has_room = budget.available + 1.0 <= policy.capacity
    budget.available = min(policy.capacity, budget.available + 1.0)
    return has_room


def refill(budget: Budget, now: float, policy: Policy) -> None:
    """Add the retries that the budget gets without requests."""
    gained = policy.min_per_s * max(0.0, now - budget.refilled_at)
    budget.available = min(policy.capacity, budget.available + gained)
    budget.refilled_at = max(now, budget.refilled_at)


def try_acquire(budget: Budget, now: float, policy: Policy = DEFAULT_POLICY) -> bool:
    """Take one retry from the budget and return whether it had one."""
    refill(budget, now, policy)
    if budget.available < 1.0 - ROUNDING:
        return False
    budget.available -= 1.0
    return True

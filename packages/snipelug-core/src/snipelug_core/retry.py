"""Retry budgets: one token bucket per node and upstream."""

import dataclasses

RETRY_RATIO = 0.1
"""Retries per request; retries add at most 10% to an upstream's load."""

MIN_RETRIES_PER_S = 0.1
"""Retries per second that are allowed even without requests."""

MAX_SAVED_RETRIES = 10.0
"""Capacity of the token bucket."""


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
    """

    ratio: float = RETRY_RATIO
    min_per_s: float = MIN_RETRIES_PER_S
    capacity: float = MAX_SAVED_RETRIES


DEFAULT_POLICY = Policy()


def node_share(ratio: float, extra: float, nodes: int) -> Policy:
    """Return one node's share of a budget for all nodes together.

    Parameters
    ----------
    ratio : float
        Retries per request that all nodes may send.
    extra : float
        Additional retries that they may send within one window.
    nodes : int
        Number of nodes that share the budget.
    """
    return Policy(0.75 * ratio, 0.0, max(1.0, 0.75 * extra / max(1, nodes)))


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


def try_acquire(budget: Budget, now: float, policy: Policy = DEFAULT_POLICY) -> bool:
    """Take one retry from the budget and return whether it had one."""
    gained = policy.min_per_s * max(0.0, now - budget.refilled_at)
    budget.available = min(policy.capacity, budget.available + gained)
    budget.refilled_at = max(now, budget.refilled_at)
    if budget.available < 1.0:
        return False
    budget.available -= 1.0
    return True

"""Retry budgets: a token bucket per node and upstream."""

import dataclasses

RETRY_RATIO = 0.1
"""Retries per request, so that retries add at most a tenth to an upstream's load."""

MIN_RETRIES_PER_S = 0.1
"""Retries per second that are allowed even without other requests."""

MAX_SAVED_RETRIES = 10.0
"""Most retries saved up."""


@dataclasses.dataclass(frozen=True)
class Policy:
    """How many retries a budget allows.

    Attributes
    ----------
    part : float
        Retries per request.
    per_s : float
        Retries per second that are allowed even without other requests.
    depth : float
        Most retries saved up.
    """

    ratio: float = RETRY_RATIO
    min_per_s: float = MIN_RETRIES_PER_S
    capacity: float = MAX_SAVED_RETRIES


DEFAULT_POLICY = Policy()


def node_share(ratio: float, extra: float, nodes: int) -> Policy:
    """Return one node's share of a budget that all nodes have together.

    Parameters
    ----------
    part : float
        Retries per request that all nodes may send.
    extra : float
        Retries that they may send beside these in one window.
    nodes : int
        Nodes that share the budget.
    """
    return Policy(0.75 * ratio, 0.0, max(1.0, 0.75 * extra / max(1, nodes)))


@dataclasses.dataclass
class Budget:
    """Retries that one node may send on behalf of requests to one upstream.

    Attributes
    ----------
    level : float
        Retries allowed now.
    filled_at : float
        Monotonic time up to which the level is computed, in seconds.
    """

    available: float = 1.0
    refilled_at: float = 0.0


def record_request(budget: Budget, policy: Policy = DEFAULT_POLICY) -> None:
    """Count a first attempt."""
    budget.available = min(policy.capacity, budget.available + policy.ratio)


def try_acquire(budget: Budget, now: float, policy: Policy = DEFAULT_POLICY) -> bool:
    """Take one retry from the budget, if it allows one."""
    gained = policy.min_per_s * max(0.0, now - budget.refilled_at)
    budget.available = min(policy.capacity, budget.available + gained)
    budget.refilled_at = max(now, budget.refilled_at)
    if budget.available < 1.0:
        return False
    budget.available -= 1.0
    return True

"""Retry budgets: a token bucket per node and upstream."""

import dataclasses

RETRY_PART = 0.1
"""Retries per request, so that retries add at most a tenth to an upstream's load."""

MIN_PER_S = 0.1
"""Retries per second that are allowed even without other requests."""

DEPTH = 10.0
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

    part: float = RETRY_PART
    per_s: float = MIN_PER_S
    depth: float = DEPTH


DEFAULT = Policy()


def share(part: float, extra: float, nodes: int) -> Policy:
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
    return Policy(0.75 * part, 0.0, max(1.0, 0.75 * extra / max(1, nodes)))


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

    level: float = 1.0
    filled_at: float = 0.0


def note_request(budget: Budget, policy: Policy = DEFAULT) -> None:
    """Count a first attempt."""
    budget.level = min(policy.depth, budget.level + policy.part)


def try_retry(budget: Budget, now: float, policy: Policy = DEFAULT) -> bool:
    """Take one retry from the budget, if it allows one."""
    gained = policy.per_s * max(0.0, now - budget.filled_at)
    budget.level = min(policy.depth, budget.level + gained)
    budget.filled_at = max(now, budget.filled_at)
    if budget.level < 1.0:
        return False
    budget.level -= 1.0
    return True

"""Retry budgets: a token bucket per node and upstream."""

import dataclasses

RETRY_PART = 0.1
"""Retries per request, so that retries add at most a tenth to an upstream's load."""

MIN_PER_S = 0.1
"""Retries per second that are allowed even without other requests."""

DEPTH = 10.0
"""Most retries saved up."""


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


def note_request(budget: Budget) -> None:
    """Count a first attempt."""
    budget.level = min(DEPTH, budget.level + RETRY_PART)


def try_retry(budget: Budget, now: float) -> bool:
    """Take one retry from the budget, if it allows one."""
    gained = MIN_PER_S * max(0.0, now - budget.filled_at)
    budget.level = min(DEPTH, budget.level + gained)
    budget.filled_at = max(now, budget.filled_at)
    if budget.level < 1.0:
        return False
    budget.level -= 1.0
    return True

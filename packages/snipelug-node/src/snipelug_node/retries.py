"""Retry budgets of this node, one per upstream."""

import collections

from snipelug_core import retry


class Budgets:
    """Retry budgets by upstream; implements ``dispatch.Budget``."""

    def __init__(self) -> None:
        self._budgets: dict[str, retry.Budget] = collections.defaultdict(retry.Budget)

    def record_request(self, upstream_id: str, now: float) -> None:
        """Record a first attempt, which increases the budget."""
        del now
        retry.record_request(self._budgets[upstream_id])

    def try_acquire(self, upstream_id: str, now: float) -> bool:
        """Consume one retry from the budget; return whether one was available."""
        return retry.try_acquire(self._budgets[upstream_id], now)

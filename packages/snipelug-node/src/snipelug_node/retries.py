"""Retry budgets of this node, one for each upstream."""

import collections

from snipelug_core import retry


class Budgets:
    """Implements ``dispatch.Budget``."""

    def __init__(self) -> None:
        self._budgets: dict[str, retry.Budget] = collections.defaultdict(retry.Budget)

    def record_request(self, upstream_id: str, now: float) -> None:
        """Count a first send."""
        del now
        retry.record_request(self._budgets[upstream_id])

    def try_acquire(self, upstream_id: str, now: float) -> bool:
        """Take one retry from the budget if there is one."""
        return retry.try_acquire(self._budgets[upstream_id], now)

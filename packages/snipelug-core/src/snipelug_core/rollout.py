"""Which engines are ordered to load newer weights, and when.

One node at a time gives the orders, under a lease whose row is kept in the
platform's store. The store's clock decides when the lease ends, so that nodes
need no common time of day.
"""

import collections.abc
import dataclasses
import math

from snipelug_core import fleet

ROLLOUT_TARGET_S = 5.0
"""Time in which all engines are to serve a version after it was named.

Shorter leaves too few engines for the load; the deployments allow 8 s in all.
"""

LOAD_DURATION_S = 0.8
"""Time for which an engine is away: its runs finish, then the weights load."""

MAX_LOADING_FRACTION = 1 / 2
"""Part of the engines that load at once, at most; the rest serve meanwhile."""

LEASE_MARGIN_MS = 400.0
"""The holder stops this long before its lease ends on the store's clock."""

RENEW_BEFORE_MS = 2_200.0
"""A lease that ends sooner is renewed before the next order."""

ORDER_REPEAT_S = 2.5
"""An order without visible effect is given again after this time."""

TAKEOVER_DELAY_MS = 200.0
"""Time beyond the end of a lease before another node takes it."""


@dataclasses.dataclass(frozen=True)
class Lease:
    """The row that names the node that gives orders.

    Attributes
    ----------
    until_ms : float
        End of the lease on the store's clock, in milliseconds.
    fencing : int
        Grows with each holder.
    """

    holder: str
    until_ms: float
    fencing: int


@dataclasses.dataclass(frozen=True)
class HeldLease:
    """A lease of this node.

    Attributes
    ----------
    sent_at : float
        Monotonic time at which the write that gained it was sent, in seconds.
    store_ms : float
        The store's clock in the answer to that write, in milliseconds.
    """

    lease: Lease
    sent_at: float
    store_ms: float

    def remaining_ms(self, now: float) -> float:
        """Return for how long orders may be given, in milliseconds.

        The store answered after ``sent_at``, so its clock now is at most
        ``store_ms`` plus the time since then.
        """
        store_now = self.store_ms + 1000.0 * (now - self.sent_at)
        return self.lease.until_ms - LEASE_MARGIN_MS - store_now


def may_take(row: Lease | None, node_id: str, store_ms: float) -> bool:
    """Tell whether a node may take the lease that it read from the store."""
    if row is None or row.holder == node_id:
        return True
    return store_ms > row.until_ms + TAKEOVER_DELAY_MS


@dataclasses.dataclass
class Order:
    """An order that was given and is not seen carried out.

    Attributes
    ----------
    at : float
        Monotonic time, in seconds.
    """

    model: str
    version: int
    at: float


Orders = dict[str, Order]
"""Orders by upstream."""


def outdated_upstreams(
    upstreams: collections.abc.Iterable[fleet.Upstream],
    newest: collections.abc.Mapping[str, int],
) -> collections.abc.Iterator[tuple[fleet.Upstream, str, int]]:
    """Yield the upstreams that serve old weights, with model and newest version."""
    for upstream in upstreams:
        if upstream.entry.is_leaving:
            continue
        for model, version in upstream.versions.items():
            if version < newest.get(model, 0):
                yield upstream, model, newest[model]


def prune_orders(
    orders: Orders,
    upstreams: collections.abc.Mapping[str, fleet.Upstream],
    now: float,
) -> None:
    """Forget orders that were carried out, that concern lost upstreams, or are old."""
    for upstream_id, order in list(orders.items()):
        upstream = upstreams.get(upstream_id)
        is_done = (
            upstream is None or upstream.versions.get(order.model, 0) >= order.version
        )
        if is_done or now - order.at > ORDER_REPEAT_S:
            del orders[upstream_id]


def plan_orders(
    upstreams: collections.abc.Collection[fleet.Upstream],
    newest: collections.abc.Mapping[str, int],
    orders: Orders,
    age_s: float,
) -> list[tuple[fleet.Upstream, str, int]]:
    """Return the upstreams to order now, those with the least work first.

    Parameters
    ----------
    age_s : float
        Time since the newest version was named, in seconds.
    """
    waiting = [
        item
        for item in outdated_upstreams(upstreams, newest)
        if item[0].entry.id not in orders
    ]
    room = max_concurrent_loads(
        len(upstreams), len(waiting) + len(orders), age_s
    ) - len(orders)
    waiting.sort(key=lambda item: (item[0].running, item[0].entry.id))
    return waiting[: max(0, room)]


def max_concurrent_loads(engines: int, outdated_engines: int, age_s: float) -> int:
    """Return how many engines load at once, so that all are done in time."""
    waves = max(1.0, (ROLLOUT_TARGET_S - age_s) / LOAD_DURATION_S)
    most = max(1, math.floor(MAX_LOADING_FRACTION * engines))
    return min(most, max(1, math.ceil(outdated_engines / waves)))

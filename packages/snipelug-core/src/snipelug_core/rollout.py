"""Rollout of new weight versions: which engines load them, and when.

One node at a time gives the orders. It holds a lease that is a row in the platform's
store. The lease expires by the store's clock, so that nodes need no synchronized
clocks.
"""

import collections.abc
import dataclasses
import math
import types

from snipelug_core import fleet

ROLLOUT_TARGET_S = 5.0
"""Target duration of a rollout to all engines, unless loads take long.

A shorter rollout leaves too few engines for the load; the deployments allow 8 s or
more in total.
"""

LOAD_DURATION_S = 0.8
"""Time an engine is unavailable: running requests finish, then the weights load."""

TARGET_RESERVE_S = 7.5
"""Part of the deployment's bound for old weights that no target duration uses.

It is for engines that load late, and for another node that takes over. A bound of up
to 12.5 s leaves no time to stretch a rollout.
"""

MAX_OBSERVED_LOAD_S = 10.0
LOAD_WEIGHT = 0.3
"""Weight of a shorter load in the observed duration; a longer one counts at once."""

MAX_LOADING_FRACTION = 1 / 2
"""Maximum fraction of the engines that load at once; the others keep serving."""

LEASE_MARGIN_MS = 400.0
"""Safety margin: the holder stops this long before the lease expires."""

RENEW_BEFORE_MS = 2_200.0
"""A lease with less remaining time is renewed before the next order."""

ORDER_REPEAT_S = 2.5
"""Time after which an order without visible effect is repeated, unless stretched."""

TAKEOVER_DELAY_MS = 200.0
"""Delay after the end of a lease before another node takes it."""


@dataclasses.dataclass(frozen=True)
class Lease:
    """Row in the platform's store that names the node that gives orders.

    Attributes
    ----------
    until_ms : float
        End of the lease on the store's clock, in milliseconds.
    fencing : int
        Fencing token; increases with each holder.
    epoch : int
        Epoch of the store in which the holder read the row that it replaced.
    """

    holder: str
    until_ms: float
    fencing: int
    epoch: int = 0


@dataclasses.dataclass(frozen=True)
class HeldLease:
    """A lease that this node holds.

    Attributes
    ----------
    sent_at : float
        Monotonic send time of the write that acquired it, in seconds.
    store_ms : float
        The store's clock in the response to that write, in milliseconds.
    """

    lease: Lease
    sent_at: float
    store_ms: float

    def remaining_ms(self, now: float) -> float:
        """Return the time for which orders may still be given, in milliseconds.

        The store responded after ``sent_at``, so its clock is now at most
        ``store_ms`` plus the time since ``sent_at``.
        """
        store_now = self.store_ms + 1000.0 * (now - self.sent_at)
        return self.lease.until_ms - LEASE_MARGIN_MS - store_now


def may_take(row: Lease | None, node_id: str, store_ms: float) -> bool:
    """Return whether a node may acquire the lease that it read from the store."""
    if row is None or row.holder == node_id:
        return True
    return store_ms > row.until_ms + TAKEOVER_DELAY_MS


@dataclasses.dataclass
class Order:
    """An order to load weights that is not known to be completed.

    Attributes
    ----------
    at : float
        Monotonic time at which it was given, in seconds.
    excluded_at : float
        Monotonic time from which the engine gets no requests, in seconds.
    """

    model: str
    version: int
    at: float
    excluded_at: float = math.inf


Orders = dict[str, Order]
"""Outstanding orders by upstream id."""


def outdated_upstreams(
    upstreams: collections.abc.Iterable[fleet.Upstream],
    newest: collections.abc.Mapping[str, int],
) -> collections.abc.Iterator[tuple[fleet.Upstream, str, int]]:
    """Yield the upstreams with outdated weights, with model and newest version."""
    for upstream in upstreams:
        if upstream.is_leaving:
            continue
        for model, version in upstream.versions.items():
            if version < newest.get(model, 0):
                yield upstream, model, newest[model]


def longest_target_s(bound_s: float) -> float:
    """Return the longest target duration of a rollout, in seconds.

    Parameters
    ----------
    bound_s : float
        Time for which the deployment allows old weights, in seconds.
    """
    return max(ROLLOUT_TARGET_S, bound_s - TARGET_RESERVE_S)


class Pace:
    """How fast a rollout should proceed, by the time that loads take.

    Engines of some deployments load weights within half a second, those of others take
    several. With a fixed duration, slow loads put half of the engines out of service
    at once as the target came near, and the others were overloaded.

    Parameters
    ----------
    bound_s : float
        Time for which the deployment allows old weights, in seconds.
    """

    def __init__(self, bound_s: float = 8.0) -> None:
        self._max_stretch = longest_target_s(bound_s) / ROLLOUT_TARGET_S
        # Until loads have been observed, they may take as long as the bound allows.
        self._observed_s = LOAD_DURATION_S * self._max_stretch
        self._pending_s = 0.0

    def record_pending(self, duration_s: float) -> None:
        """Set the time since the longest load in progress began, in seconds."""
        self._pending_s = duration_s

    def record_load(self, duration_s: float) -> None:
        """Add the time for which an engine was unavailable, in seconds."""
        duration_s = min(max(0.0, duration_s), MAX_OBSERVED_LOAD_S)
        decayed_s = self._observed_s + LOAD_WEIGHT * (duration_s - self._observed_s)
        self._observed_s = max(duration_s, decayed_s)

    @property
    def stretch(self) -> float:
        """Factor by which a rollout should take longer than ``ROLLOUT_TARGET_S``.

        It follows the duration of the loads, so that no more engines load at once, as
        far as the deployment's bound allows.
        """
        load_s = max(LOAD_DURATION_S, self._observed_s, self._pending_s)
        return min(self._max_stretch, load_s / LOAD_DURATION_S)

    @property
    def order_repeat_s(self) -> float:
        """Time after which an order without visible effect is repeated, in seconds."""
        return ORDER_REPEAT_S * self.stretch


DEFAULT_PACE = Pace()


def prune_orders(
    orders: Orders,
    upstreams: collections.abc.Mapping[str, fleet.Upstream],
    now: float,
    pace: Pace,
) -> list[str]:
    """Remove orders that are completed, expired or for upstreams that are gone.

    Parameters
    ----------
    pace : Pace
        Learns how long the completed loads took.

    Returns
    -------
    list of str
        The upstreams whose order has expired without visible effect.
    """
    expired = []
    for upstream_id, order in list(orders.items()):
        upstream = upstreams.get(upstream_id)
        is_done = (
            upstream is None or upstream.versions.get(order.model, 0) >= order.version
        )
        if upstream is not None and is_done and order.excluded_at <= now:
            pace.record_load(now - order.excluded_at)
        is_expired = not is_done and now - order.at > pace.order_repeat_s
        if is_expired:
            expired.append(upstream_id)
        if is_done or is_expired:
            del orders[upstream_id]
    begun = (order.excluded_at for order in orders.values())
    pace.record_pending(max(0.0, now - min(begun, default=now)))
    return expired


def plan_orders(
    upstreams: collections.abc.Collection[fleet.Upstream],
    newest: collections.abc.Mapping[str, int],
    orders: Orders,
    age_s: float,
    pace: Pace = DEFAULT_PACE,
    expired: collections.abc.Mapping[str, int] = types.MappingProxyType({}),
) -> list[tuple[fleet.Upstream, str, int]]:
    """Return the upstreams to order now, those with the fewest requests first.

    Parameters
    ----------
    age_s : float
        Time since the newest version was requested, in seconds.
    pace : Pace
        How fast the rollout should proceed.
    expired : mapping of str to int
        Expired orders of each upstream. Upstreams with fewer of them come first, as
        one that cannot load would otherwise be ordered again and again before others.
    """
    waiting = [
        item
        for item in outdated_upstreams(upstreams, newest)
        if item[0].entry.id not in orders
    ]
    room = max_concurrent_loads(
        len(upstreams), len(waiting) + len(orders), age_s, pace
    ) - len(orders)
    waiting.sort(
        key=lambda item: (
            expired.get(item[0].entry.id, 0),
            item[0].running,
            item[0].entry.id,
        )
    )
    return waiting[: max(0, room)]


def max_concurrent_loads(
    engines: int, outdated_engines: int, age_s: float, pace: Pace = DEFAULT_PACE
) -> int:
    """Return how many engines should load at once to finish in time."""
    left_s = ROLLOUT_TARGET_S - age_s / pace.stretch
    waves = max(1.0, left_s / LOAD_DURATION_S)
    most = max(1, math.floor(MAX_LOADING_FRACTION * engines))
    return min(most, max(1, math.ceil(outdated_engines / waves)))

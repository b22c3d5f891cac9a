"""Orders engines to load the weight versions that the operator named."""

import collections
import logging

import trio

from snipelug_core import catalog, fleet, order_lease, rollout, shared_rate
from snipelug_net import lines
from snipelug_relay import announce, clock, permits, ports, state, stats

LOG = logging.getLogger("snipelug.weights")

ACTIVE_INTERVAL_S = 0.15
"""Interval between rounds of orders during a rollout."""

IDLE_INTERVAL_S = 1.0
"""Interval between checks while all engines serve the newest weights."""

RANK_DELAY_S = 0.35
"""Delay per rank before a node tries to acquire the lease."""

MAX_SWITCH_S = 4.0
"""Maximum time without requests for an engine that was ordered to load weights.

It ends when the engine reports the new weights. Running requests finish first, which
takes two seconds under load.
"""

PRE_ORDER_DELAY_S = 0.15
"""Delay between the announcement to the nodes and the order to the engine.

Queued requests start during this time; an engine rejects those still queued when it
gets the order.
"""

MAX_QUEUE_DRAIN_S = 0.8
"""Maximum time for which an order waits until the engine has started all requests.

Under load an engine starts a queued request after a second, so the delay above is too
short. The engine works meanwhile, so no capacity is lost.
"""

ACCEPTED = 202
FENCED = 412


class WeightUpdater:
    """Orders engines to load weights while this node holds the lease."""

    def __init__(
        self,
        cfg: ports.Settings,
        node_state: state.State,
        store: ports.ControlStore,
        machines: ports.Machines,
        metrics: stats.Stats,
        announcer: announce.Announcer,
        upstream_permits: permits.Permits,
    ) -> None:
        self._announcer = announcer
        self._permits = upstream_permits
        self._cfg = cfg
        self._state = node_state
        self._store = store
        self._machines = machines
        self._stats = metrics
        self._candidate = order_lease.Candidate(cfg.node_id, cfg.bounds.lease_ms)
        self._is_renewing = False
        self._orders: rollout.Orders = {}
        self._pace = rollout.Pace(cfg.bounds.version_s)
        self._expired: collections.Counter[str] = collections.Counter()
        self._needed_since: float | None = None
        self._wait_until = 0.0
        self._changed = trio.Event()
        node_state.add_restore_handler(self.wake)

    def wake(self) -> None:
        """Check the engines at once, as the operator's intents have changed."""
        self._changed.set()

    async def run(self) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            await self._run_loop(nursery)

    async def _run_loop(self, nursery: trio.Nursery) -> None:
        while True:
            if not self._is_needed():
                self._needed_since = None
                self._orders.clear()
                self._expired.clear()
                self._changed = trio.Event()
                await self._see_row()
                with trio.move_on_after(IDLE_INTERVAL_S):
                    await self._changed.wait()
                continue
            now = clock.now()
            if self._needed_since is None:
                self._needed_since = now
                self._wait_until = now + RANK_DELAY_S * self._state.rank("weights")
            if self._lease_remaining_ms() > 0:
                self._renew_soon(nursery)
                await self._send_orders(nursery)
            elif now >= self._wait_until:
                await self._acquire_lease()
                continue
            await trio.sleep(ACTIVE_INTERVAL_S)

    def _engines(self) -> list[list[fleet.Upstream]]:
        known = self._state.catalog
        services: list[catalog.Service] = []
        if known is not None:
            services = [s for s in known.services.values() if s.engine is not None]
        return [self._state.fleet.of_service(s.name) for s in services]

    def _is_needed(self) -> bool:
        newest = self._state.latest_versions()
        return any(
            next(rollout.outdated_upstreams(group, newest), None) is not None
            for group in self._engines()
        )

    def _held(self) -> rollout.HeldLease | None:
        return self._candidate.held(self._state.store_epoch or 0, clock.now())

    def _lease_remaining_ms(self) -> float:
        """Return the remaining time of this node's lease, in milliseconds."""
        held = self._held()
        return held.remaining_ms(clock.now()) if held is not None else 0.0

    async def _see_row(self) -> None:
        """Read the lease row once in each epoch of the store.

        A row of an earlier epoch may be taken only some time after it was first read,
        which is better spent before a version is named.
        """
        epoch = self._state.store_epoch
        if epoch is not None and not self._candidate.has_seen(epoch):
            await self._read_lease()

    def _renew_soon(self, nursery: trio.Nursery) -> None:
        """Renew a lease that ends soon, concurrently with the orders."""
        is_due = self._lease_remaining_ms() < rollout.RENEW_BEFORE_MS
        if is_due and not self._is_renewing:
            self._is_renewing = True
            nursery.start_soon(self._renew)

    async def _renew(self) -> None:
        try:
            held = self._held()
            if held is not None:
                await self._write_lease(self._candidate.renewal(held, clock.now()))
        finally:
            self._is_renewing = False

    async def _read_lease(self) -> ports.LeaseRow | ports.Unavailable:
        row = await self._store.read_lease()
        if isinstance(row, ports.Unavailable):
            lines.warning(LOG, "lease_unreadable", reason=row.reason)
            return row
        self._state.record_epoch(row.epoch)
        if row.epoch < (self._state.store_epoch or 0):
            return ports.Unavailable("the response precedes a restore of the store")
        self._candidate.record_row(row.epoch, row.version, clock.now())
        return row

    async def _acquire_lease(self) -> None:
        row = await self._read_lease()
        now = clock.now()
        if isinstance(row, ports.Unavailable):
            self._wait_until = now + RANK_DELAY_S
            return
        wait_s = self._candidate.takeover_wait_s(row.lease, row.clock_ms, now)
        if wait_s > 0:
            if row.lease is None or row.lease.epoch < row.epoch:
                # All nodes have seen the row since the same restore.
                wait_s += RANK_DELAY_S * self._state.rank("weights")
            self._wait_until = now + wait_s + 0.01
            return
        claim = self._candidate.claim(row.clock_ms, now)
        if await self._write_lease(claim):
            lines.event(
                LOG,
                "lease_taken",
                fencing=claim.lease.fencing,
                until_ms=claim.lease.until_ms,
            )
        else:
            self._wait_until = clock.now() + RANK_DELAY_S

    async def _write_lease(self, write: order_lease.Write) -> bool:
        """Write the lease row; return whether this node holds the lease now."""
        response = await self._store.write_lease(write.lease, write.expected)
        if isinstance(response, ports.LeaseWritten):
            self._state.record_epoch(response.epoch)
            if self._candidate.record_written(
                write, response.epoch, response.version, response.clock_ms
            ):
                return True
            reason = "the store was restored or this node wrote the row again meanwhile"
        elif isinstance(response, ports.Conflict):
            self._candidate.record_conflict(write)
            reason = "another node wrote the lease row first"
        else:
            reason = response.reason
        lines.event(LOG, "lease_not_taken", reason=reason, expected=write.expected)
        return False

    async def _send_orders(self, nursery: trio.Nursery) -> None:
        """Start the orders that are due, without waiting for the engines' queues."""
        newest = self._state.latest_versions()
        async with trio.open_nursery() as reports:
            for group in self._engines():
                known = {u.entry.id: u for u in group}
                for upstream_id in list(self._orders):
                    if upstream_id in known:
                        reports.start_soon(self._refresh_report, known[upstream_id])
        upstreams = self._state.fleet.upstreams
        expired = rollout.prune_orders(self._orders, upstreams, clock.now(), self._pace)
        self._expired.update(expired)
        age_s = self._latest_version_age_s()
        for group in self._engines():
            for upstream, model, version in rollout.plan_orders(
                group, newest, self._orders, age_s, self._pace, self._expired
            ):
                order = rollout.Order(model, version, clock.now())
                self._orders[upstream.entry.id] = order
                nursery.start_soon(self._send_order, upstream, order)

    def _latest_version_age_s(self) -> float:
        """Return the time since the latest version was named, in seconds."""
        now_ms = self._state.store_clock.latest_ms(clock.now())
        named = self._state.named_versions.values()
        return min(item.outdated_ms(item.version - 1, now_ms) for item in named) / 1e3

    async def _refresh_report(self, upstream: fleet.Upstream) -> ports.Report | None:
        asked_at = clock.now()
        if upstream.limit_per_s is not None:
            permit = await self._permits.acquire(upstream, priority=0)
            if isinstance(permit, shared_rate.Denied):
                return None
        report = await self._machines.report(upstream.entry.addr)
        if isinstance(report, ports.Unavailable):
            return None
        if report.limit is not None and report.limit.per_s is not None:
            # Only answers to requests are known to name each limit.
            self._announcer.record_limit(upstream, report.limit, asked_at)
        if report.is_leaving:
            self._announcer.record_leaving(upstream, "the engine's report states it")
        for model, version in report.versions.items():
            if upstream.versions.get(model) != version:
                upstream.set_version(model, version)
                upstream.switching_until = 0.0
                self._announcer.announce_serving(upstream.entry, model, version)
        return report

    def _exclude(self, upstream: fleet.Upstream, for_s: float) -> None:
        """Exclude an engine from requests for a time, on this node and all others."""
        upstream.switching_until = clock.now() + for_s
        self._announcer.announce_switching(upstream.entry.id, for_s)

    async def _wait_for_empty_queue(
        self, upstream: fleet.Upstream, report: ports.Report
    ) -> ports.Report:
        """Wait until an engine has started its requests; return its last report."""
        until = clock.now() + MAX_QUEUE_DRAIN_S
        while True:
            await trio.sleep(PRE_ORDER_DELAY_S)
            report = await self._refresh_report(upstream) or report
            if report.waiting == 0 or clock.now() >= until:
                return report

    async def _send_order(self, upstream: fleet.Upstream, order: rollout.Order) -> None:
        report = await self._refresh_report(upstream)
        served = upstream.versions.get(order.model, 0)
        if report is None:
            reason = "the engine does not report its state"
            lines.event(LOG, "order_skipped", upstream=upstream.entry.id, reason=reason)
            return
        if report.is_busy or served >= order.version:
            # A busy engine is asked again in the next round, as it may only be loading
            # an older version.
            self._orders.pop(upstream.entry.id, None)
            return
        self._exclude(upstream, MAX_SWITCH_S + MAX_QUEUE_DRAIN_S)
        order.excluded_at = clock.now()
        report = await self._wait_for_empty_queue(upstream, report)
        held = self._held()
        if held is None:
            self._orders.pop(upstream.entry.id, None)
            self._exclude(upstream, 0.0)
            return
        order.at = clock.now()
        self._permits.charge(upstream)
        response = await self._machines.order_version(
            upstream.entry, order.model, order.version, held.lease, report.orders
        )
        self._stats.orders.labels(str(response.status)).inc()
        lines.event(
            LOG,
            "order",
            upstream=upstream.entry.id,
            model=order.model,
            version=order.version,
            before=served,
            accepted=report.orders,
            loading=len(self._orders),
            stretch=round(self._pace.stretch, 2),
            fencing=held.lease.fencing,
            lease_left_ms=round(held.remaining_ms(clock.now())),
            status=response.status,
            reason=response.reason,
        )
        if response.status == 0:
            # The order may still arrive; the engine then rejects it if it has accepted
            # another one since.
            self._orders.pop(upstream.entry.id, None)
        if response.status == ACCEPTED:
            upstream.switching_until = clock.now() + MAX_SWITCH_S
        elif response.status != 0:
            self._exclude(upstream, 0.0)
        if response.status == FENCED:
            self._candidate.record_fenced()
            self._wait_until = clock.now() + self._cfg.bounds.lease_ms / 1e3

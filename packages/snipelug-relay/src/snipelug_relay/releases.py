"""Moves services to the releases that the operator orders.

One node leads a release under a lease, which is in the release's row. It collects what
all nodes report of the responses, decides on each step, writes it to the row and tells
the other nodes. A node sends to a release that is not in use only while it knows that
the lease holds, and each request of a canary needs a permit from the rate that all
nodes share.
"""

import collections
import collections.abc
import dataclasses
import logging
import math

import trio

from snipelug_core import (
    attempt,
    canary,
    fleet,
    release,
    shared_rate,
)
from snipelug_net import lines
from snipelug_relay import announce, clock, job, messages, permits, ports, state, stats

LOG = logging.getLogger("snipelug.releases")

ACTIVE_INTERVAL_S = 0.2
"""Interval between checks of a release under way."""

IDLE_INTERVAL_S = 1.0
REPEAT_INTERVAL_S = 0.5
"""Interval at which the leading node repeats the progress, as datagrams are lost."""

REPEAT_INTERVAL_PER_NODE_S = 0.005
REPORT_INTERVAL_S = 0.25
"""Interval between reports of a node that has responses to report."""

DRAIN_REPORT_INTERVAL_S = 0.5
LEASE_MS = 3_000.0
RENEW_BEFORE_MS = 2_000.0
TAKEOVER_DELAY_MS = 200.0
"""Duration of the lease, when it is renewed, and when others take it after its end."""

RANK_DELAY_S = 0.35
SILENCE_S = 1.5
"""Time without news of the leading node after which others read the row."""

MAX_RANK_DELAY_S = 2.1
RANK_DELAY_PER_NODE_S = 0.005
"""Delay by which the reads of nodes that rank low are spread."""

RETRY_S = 0.5
REJECTING_NODES = 2
REWRITING_NODES = 3
"""Nodes in rank that answer a wrong order, and that write rows again."""

MIN_EXPECTED_S = 0.02
"""Minimum expected time to a response, as a divisor of the real one."""

DEMAND_WINDOW_S = 5.0
"""Time constant of the measured demand by route."""


class Demand:
    """Requests for one service at this node, by route."""

    def __init__(self, now: float) -> None:
        self._counts: dict[str, float] = {}
        self._since = self._at = now

    def record(self, route: str, now: float) -> None:
        """Count a request."""
        self._decay(now)
        self._counts[route] = self._counts.get(route, 0.0) + 1.0

    def parts(self, now: float) -> dict[str, float]:
        """Return the part of each route in the requests of the last seconds."""
        self._decay(now)
        total = sum(self._counts.values())
        return {r: count / total for r, count in self._counts.items()} if total else {}

    def per_s(self, now: float) -> float:
        """Return the requests per second."""
        self._decay(now)
        age_s = max(1.0, now - self._since)
        measured_s = DEMAND_WINDOW_S * (1.0 - math.exp(-age_s / DEMAND_WINDOW_S))
        return sum(self._counts.values()) / measured_s

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self._at) / DEMAND_WINDOW_S)
        self._at = max(now, self._at)
        self._counts = {r: factor * n for r, n in self._counts.items() if n > 1e-3}


@dataclasses.dataclass
class Lead:
    """A release that this node leads.

    Attributes
    ----------
    row_version : int or None
        Version of the row; None if a write of it was not answered.
    until_ms : float
        End of the lease on the store's clock, in milliseconds.
    drained : set of str
        Nodes that have no request in flight on the previous release.
    """

    row_version: int | None
    epoch: int
    until_ms: float
    evidence: canary.Evidence = dataclasses.field(default_factory=canary.Evidence)
    drained: set[str] = dataclasses.field(default_factory=set)
    repeat_at: float = -math.inf


@dataclasses.dataclass
class Following:
    """What this node knows of the node that leads a release.

    Attributes
    ----------
    leader : str
        Id of the node; empty if it is not known.
    until_ms : float
        End of its lease on the store's clock, in milliseconds.
    act_at : float
        Monotonic time from which this node reads the row and may take the lease, in
        seconds.
    """

    leader: str = ""
    until_ms: float = -math.inf
    act_at: float = math.inf


class Releases:
    """The part of one node in the releases of all services."""

    def __init__(
        self,
        cfg: ports.Settings,
        node_state: state.State,
        store: ports.ControlStore,
        announcer: announce.Announcer,
        upstream_permits: permits.Permits,
        metrics: stats.Stats,
    ) -> None:
        self._cfg = cfg
        self._state = node_state
        self._store = store
        self._announcer = announcer
        self._permits = upstream_permits
        self._stats = metrics
        self._exposure = cfg.exposure
        self._leads: dict[str, Lead] = {}
        self._following: dict[str, Following] = {}
        self._demands: dict[str, Demand] = collections.defaultdict(
            lambda: Demand(clock.now())
        )
        self._bases: dict[str, str] = {}
        self._ids: dict[tuple[str, str, int], tuple[int, frozenset[str]]] = {}
        self._canary: dict[str, canary.Recorder] = {}
        self._control: dict[str, canary.Recorder] = {}
        self._reported_at: dict[str, float] = {}
        self._rejected: dict[str, tuple[int, int]] = {}
        self._rewrite: set[str] = set()
        self._seen: dict[str, tuple[tuple[int, int], float]] = {}
        self._changed = trio.Event()
        if self._exposure is not None:
            announcer.set_peer_handler(messages.ReleaseState, self._on_state)
            announcer.set_peer_handler(messages.ReleaseReport, self._on_report)
            node_state.add_restore_handler(self._on_restore)

    # Requests.

    def record_request(self, work: job.Job) -> None:
        """Count a request of a caller."""
        if self._exposure is not None:
            self._demands[work.service].record(work.route.name, clock.now())

    async def assign(self, work: job.Job) -> None:
        """Set which upstreams may take the next attempt of a request.

        A first attempt may test a release. All later ones go to the release in use, so
        that a bad one costs a caller no more than an attempt.
        """
        work.is_canary = False
        if self._exposure is None:
            return
        work.allowed_ids = self._ids_in_use(work.service)
        progress = self._state.progress.get(work.service)
        if progress is None or progress.is_final or not self._is_led(work.service):
            return
        ids = self._ids_tested(progress)
        if progress.stage is release.Stage.SHIFT and progress.share >= 1.0:
            if self._has_available(work, ids):
                work.allowed_ids = ids
            return
        if work.history.attempts or not self._is_drawn(work, progress):
            return
        if not self._has_available(work, ids):
            return
        if progress.per_s > 0:
            rate = shared_rate.release_rate(progress.per_s)
            permit = await self._permits.acquire_for(
                progress.rate_key, rate, work.priority
            )
            if isinstance(permit, shared_rate.Denied):
                return
        work.allowed_ids = ids
        work.is_canary = True

    def widen(self, work: job.Job) -> bool:
        """Let a request use the release in use after all; return whether this helps."""
        if self._exposure is None or work.allowed_ids is None:
            return False
        in_use = self._ids_in_use(work.service)
        is_other = work.allowed_ids != in_use
        work.allowed_ids, work.is_canary = in_use, False
        return is_other

    def may_send(self, work: job.Job, upstream: fleet.Upstream) -> bool:
        """Return whether an upstream's release may still get a request."""
        if self._exposure is None:
            return True
        progress = self._state.progress.get(work.service)
        name = upstream.entry.release
        if progress is None or not progress.is_final or name == progress.in_use:
            return True
        if progress.stage is release.Stage.ROLLED_BACK:
            return name != progress.target
        # The upstreams of the previous release stop once a release is completed.
        return not self._ids_of(work.service, progress.target, 0)

    def record(
        self,
        work: job.Job,
        entry: fleet.Entry,
        result: attempt.Result,
        response_s: float,
        expected_s: float,
    ) -> None:
        """Record the result of an attempt while a release is tested.

        Parameters
        ----------
        response_s : float
            Time to the response or the first event, in seconds.
        expected_s : float
            Expected time to the first event, in seconds; 0 if unknown.
        """
        if result in attempt.NOT_RUN:
            return
        is_failure = result is not attempt.Result.ANSWERED
        expected_s = max(MIN_EXPECTED_S, expected_s or work.route.objective_s)
        time = None if is_failure else response_s / expected_s
        self._record(work, entry, time)

    def record_failure(self, work: job.Job, upstream_id: str) -> None:
        """Record a response that was broken off, or that its caller did not get."""
        upstream = self._state.fleet.upstreams.get(upstream_id)
        if upstream is not None:
            self._record(work, upstream.entry, None)

    def _record(self, work: job.Job, entry: fleet.Entry, time: float | None) -> None:
        progress = self._state.progress.get(work.service)
        if progress is None or progress.is_final:
            return
        route = work.route.name
        result = "failed" if time is None else "answered"
        if entry.release == progress.target:
            upstream = self._state.fleet.upstreams.get(entry.id)
            is_cold = upstream is not None and clock.now() < upstream.cold_until
            if time is not None and is_cold:
                # In cold start every release is slow.
                return
            recorder = self._canary.setdefault(work.service, canary.Recorder())
            recorder.record(route, entry.id, time)
            self._stats.releases.labels(work.service, "target", result).inc()
        elif entry.release == progress.base:
            recorder = self._control.setdefault(work.service, canary.Recorder())
            recorder.record(route, "", time)
            self._stats.releases.labels(work.service, "base", result).inc()

    def _is_led(self, service: str) -> bool:
        """Return whether some node is known to lead a release."""
        now_ms = self._state.store_clock.latest_ms(clock.now())
        lead = self._leads.get(service)
        if lead is not None:
            return now_ms < lead.until_ms
        following = self._following.get(service)
        return following is not None and now_ms < following.until_ms

    def _is_drawn(self, work: job.Job, progress: release.Progress) -> bool:
        parts = self._demands[work.service].parts(clock.now())
        part = parts.get(work.route.name, 0.0)
        share = release.route_share(progress, part, len(parts))
        return release.is_drawn(progress, work.request.request_id, share)

    def _has_available(self, work: job.Job, ids: frozenset[str]) -> bool:
        """Return whether a request can be sent to one of some upstreams now."""
        now = clock.now()
        model = work.request.model
        return any(
            upstream.entry.id in ids
            and upstream.entry.id not in work.tried
            and upstream.available_at <= now
            and upstream.entry.zone not in self._state.zones_out
            and (not model or model in upstream.versions)
            for upstream in self._state.fleet.of_service(work.service)
        )

    def _ids_in_use(self, service: str) -> frozenset[str] | None:
        """Return the upstreams of the release in use; None if these are all."""
        base = self._release_in_use(service)
        ids = self._ids_of(service, base, 0)
        if not ids:
            # Its upstreams are gone, so only a release that was rolled back is bad.
            progress = self._state.progress.get(service)
            bad = progress.target if progress is not None else None
            ids = frozenset(
                upstream.entry.id
                for upstream in self._state.fleet.of_service(service)
                if upstream.entry.release != bad
            )
        return None if len(ids) == len(self._state.fleet.of_service(service)) else ids

    def _ids_tested(self, progress: release.Progress) -> frozenset[str]:
        return self._ids_of(progress.service, progress.target, progress.upstreams)

    def _ids_of(self, service: str, name: str, most: int) -> frozenset[str]:
        """Return the upstreams of a release, or as many of them as are tested."""
        key = service, name, most
        changes = self._state.fleet.changes
        known = self._ids.get(key)
        if known is not None and known[0] == changes:
            return known[1]
        found = [
            upstream.entry.id
            for upstream in self._state.fleet.of_service(service)
            if upstream.entry.release == name
        ]
        progress = self._state.progress.get(service)
        if most and progress is not None:
            found = list(release.tested_upstreams(progress, found))
        if len(self._ids) > 1000:
            self._ids.clear()
        self._ids[key] = changes, frozenset(found)
        return self._ids[key][1]

    def _release_in_use(self, service: str) -> str:
        """Return the release in use: that of the last order, or the first one seen."""
        progress = self._state.progress.get(service)
        if progress is not None:
            return progress.in_use
        if service not in self._bases:
            upstreams = self._state.fleet.of_service(service)
            if not upstreams:
                return ""
            counts = collections.Counter(u.entry.release for u in upstreams)
            born = {u.entry.release: -u.entry.born for u in upstreams}
            self._bases[service] = max(counts, key=lambda r: (counts[r], born[r]))
        return self._bases[service]

    # The node's part in leading releases.

    async def run(self) -> None:
        """Carry out the operator's orders until cancelled."""
        if self._exposure is None:
            return
        await self._read_at_start()
        while True:
            self._changed = trio.Event()
            services = self._find_active()
            for service in services:
                await self._check(service)
            pause_s = ACTIVE_INTERVAL_S if services else IDLE_INTERVAL_S
            with trio.move_on_after(pause_s):
                await self._changed.wait()

    def wake(self) -> None:
        """Check the operator's orders at once."""
        self._changed.set()

    def _on_restore(self) -> None:
        """Write again what the copy may lack, and give up leases of before."""
        self._leads.clear()
        self._following.clear()
        self._rewrite = {
            service
            for service in self._state.progress
            if self._state.rank(f"release/{service}") < REWRITING_NODES
        }
        self.wake()

    async def _read_at_start(self) -> None:
        """Read the rows before the first request, as they tell the releases in use."""
        while not self._state.releases_known:
            if await self._read_rows() is not None:
                self._state.releases_known = True
            else:
                await trio.sleep(RETRY_S)

    async def _read_rows(self) -> dict[str, ports.ReleaseRow] | None:
        sent_at = clock.now()
        page = await self._store.read_releases()
        if isinstance(page, ports.Unavailable):
            lines.warning(LOG, "releases_unreadable", reason=page.reason)
            return None
        if not self._state.record_response(page, sent_at, clock.now()):
            return None
        for row in page.items:
            self._merge(row.progress)
        return {row.progress.service: row for row in page.items}

    def _find_active(self) -> list[str]:
        """Return the services with something left to do."""
        for service in self._state.catalog.services if self._state.catalog else ():
            # Before an order, all listed upstreams are of the release in use.
            self._release_in_use(service)
        services = {*self._state.orders.services, *self._state.progress, *self._leads}
        return sorted(s for s in services if self._is_active(s))

    def _is_active(self, service: str) -> bool:
        if service in self._leads or service in self._rewrite:
            return True
        progress = self._state.progress.get(service)
        if progress is not None and not progress.is_final:
            return True
        order = self._state.orders.get(service)
        return order is not None and not self._is_settled(order, progress)

    def _is_settled(
        self, order: release.Order, progress: release.Progress | None
    ) -> bool:
        """Return whether nothing has to be done for an order any more."""
        if self._rejected.get(order.service) == (order.epoch, order.version):
            return True
        return not self._error_of(order) and release.is_answered(order, progress)

    def _error_of(self, order: release.Order) -> str:
        """Return why an order cannot be carried out, or ""."""
        known = self._state.catalog
        if order.error or known is None or order.service in known.services:
            return order.error
        return f"the configuration has no service {order.service}"

    async def _check(self, service: str) -> None:
        now = clock.now()
        self._send_report(service, now)
        if service in self._leads:
            await self._lead(service, self._leads[service])
            return
        following = self._following.setdefault(service, Following())
        if math.isinf(following.act_at):
            following.act_at = now + self._rank_delay_s(service)
        if now >= following.act_at:
            await self._take_over(service, following)

    def _rank_delay_s(self, service: str) -> float:
        rank = self._state.rank(f"release/{service}")
        delay_s = min(RANK_DELAY_S * rank, MAX_RANK_DELAY_S)
        return delay_s + RANK_DELAY_PER_NODE_S * rank

    async def _take_over(self, service: str, following: Following) -> None:
        """Read the row, and take the lease if no other node holds it."""
        now = clock.now()
        following.act_at = now + RETRY_S + self._rank_delay_s(service)
        order = self._state.orders.get(service)
        if order is not None and (error := self._error_of(order)):
            await self._reject(dataclasses.replace(order, error=error))
            if self._state.progress.get(service) is None:
                return
        rows = await self._read_rows()
        if rows is None:
            return
        row = rows.get(service)
        left_ms = self._lease_left_ms(row)
        if row is not None and left_ms > 0 and row.holder != self._cfg.node_id:
            self._follow(service, row.holder, row.until_ms)
            if row.progress.position == self._state.progress[service].position:
                self._rewrite.discard(service)
            return
        epoch = self._state.store_epoch or 0
        version = 0 if row is None else row.version
        lead = Lead(version, epoch, -math.inf)
        progress = self._next_progress(service, lead)
        is_known = row is not None and progress is not None and progress == row.progress
        if progress is None or (progress.is_final and is_known):
            self._rewrite.discard(service)
            following.act_at = math.inf
            return
        self._leads[service] = lead
        await self._write(service, lead, progress)

    def _lease_left_ms(self, row: ports.ReleaseRow | None) -> float:
        """Return the time after which another node may take a lease.

        The clock of a restored store may be behind that of the row, so a row that was
        not written again for the time of a lease counts as lapsed.
        """
        if row is None:
            return -math.inf
        now = clock.now()
        state_seen = row.epoch, row.version
        seen, since = self._seen.get(row.progress.service, ((-1, -1), now))
        if seen != state_seen:
            since = now
        self._seen[row.progress.service] = state_seen, since
        unchanged_ms = 1e3 * (now - since)
        left_ms = row.until_ms - self._state.store_clock.latest_ms(now)
        return TAKEOVER_DELAY_MS + min(left_ms, LEASE_MS - unchanged_ms)

    async def _reject(self, order: release.Order) -> None:
        """Tell the operator that an order is not carried out, which changes nothing."""
        is_first = self._state.rank(f"release/{order.service}") < REJECTING_NODES
        if is_first and await self._store.write_release_status(order) is not None:
            return
        self._rejected[order.service] = order.epoch, order.version
        lines.warning(
            LOG,
            "release_rejected",
            service=order.service,
            target=order.release,
            reason=order.error,
        )

    async def _lead(self, service: str, lead: Lead) -> None:
        """Take the next step of a release, or prolong the lease."""
        if lead.row_version is None and not await self._confirm_row(service, lead):
            return
        now = clock.now()
        now_ms = self._state.store_clock.latest_ms(now)
        progress = self._next_progress(service, lead)
        if progress is None:
            del self._leads[service]
        elif progress != self._state.progress.get(service):
            if progress.stage is release.Stage.ROLLED_BACK:
                # The nodes must not wait for the store.
                self._merge(progress)
                self._announce(service, lead)
            await self._write(service, lead, progress)
        elif lead.until_ms - now_ms < RENEW_BEFORE_MS:
            await self._write(service, lead, progress)
        elif now >= lead.repeat_at:
            self._announce(service, lead)

    async def _confirm_row(self, service: str, lead: Lead) -> bool:
        """Find out whether a write that was not answered took effect."""
        rows = await self._read_rows()
        if rows is None:
            return False
        row = rows.get(service)
        if row is not None and row.holder != self._cfg.node_id:
            del self._leads[service]
            return False
        lead.row_version = 0 if row is None else row.version
        lead.epoch = self._state.store_epoch or 0
        return True

    def _next_progress(self, service: str, lead: Lead) -> release.Progress | None:
        """Return the progress of a service's releases as it should be now."""
        order = self._state.orders.get(service)
        progress = self._state.progress.get(service)
        now_ms = self._state.store_clock.latest_ms(clock.now())
        if order is None and progress is not None and not progress.is_final:
            return progress.rolled_back("the order was withdrawn", now_ms)
        if order is None or self._error_of(order):
            return self._advance(progress, lead, now_ms)
        if release.is_answered(order, progress):
            return self._advance(progress, lead, now_ms)
        assert self._exposure is not None
        base = self._release_in_use(service)
        demand = self._demand_per_s(service)
        begun = release.begin(order, progress, base, demand, self._exposure, now_ms)
        lead.evidence, lead.drained = canary.Evidence(), set()
        return begun

    def _advance(
        self, progress: release.Progress | None, lead: Lead, now_ms: float
    ) -> release.Progress | None:
        if progress is None or progress.is_final:
            return progress
        service = progress.service
        members = {m.node_id for m in self._state.members} | {self._cfg.node_id}
        if self._is_drained(progress):
            lead.drained.add(self._cfg.node_id)
        is_load_test = progress.stage is release.Stage.LOAD_TEST
        load_tested = self._ids_tested(progress) if is_load_test else frozenset[str]()
        outlook = release.Outlook(
            lead.evidence.judge(clock.now(), load_tested),
            len(self._ids_of(service, progress.target, 0)),
            len(self._ids_of(service, progress.base, 0)),
            self._demand_per_s(service),
            members <= lead.drained,
        )
        return release.advance(progress, outlook, now_ms)

    def _demand_per_s(self, service: str) -> float:
        """Return the requests per second for a service at all nodes."""
        now = clock.now()
        own = {s: demand.per_s(now) for s, demand in self._demands.items()}
        total = sum(own.values())
        part = own.get(service, 0.0) / total if total > 0 else 0.0
        published = sum(m.demand_per_s for m in self._state.members)
        return max(part * published, own.get(service, 0.0) * self._state.nodes)

    async def _write(
        self, service: str, lead: Lead, progress: release.Progress
    ) -> None:
        """Write a progress, which prolongs the lease, and tell it to the nodes."""
        assert lead.row_version is not None
        now_ms = self._state.store_clock.latest_ms(clock.now())
        row = ports.ReleaseRow(
            progress, self._cfg.node_id, now_ms + LEASE_MS, lead.row_version, lead.epoch
        )
        response = await self._store.write_release(row)
        if isinstance(response, ports.Unavailable):
            lead.row_version = None
            return
        if isinstance(response, ports.Conflict) or response.epoch != lead.epoch:
            self._leads.pop(service, None)
            following = self._following.setdefault(service, Following())
            following.act_at = clock.now() + self._rank_delay_s(service)
            return
        lead.row_version = response.version
        lead.until_ms = row.until_ms
        self._rewrite.discard(service)
        if progress != self._state.progress.get(service):
            lead.drained.clear()
        self._merge(progress)
        self._announce(service, lead)
        if progress.is_final:
            self._leads.pop(service, None)
            self._following.pop(service, None)

    def _announce(self, service: str, lead: Lead) -> None:
        by_nodes_s = REPEAT_INTERVAL_PER_NODE_S * self._state.nodes
        lead.repeat_at = clock.now() + max(REPEAT_INTERVAL_S, by_nodes_s)
        progress = self._state.progress[service]
        self._announcer.send_to_all(
            messages.ReleaseState(progress, max(0.0, lead.until_ms), lead.epoch)
        )

    def _merge(self, progress: release.Progress) -> None:
        """Apply a progress unless a later one is known."""
        service = progress.service
        before = self._state.progress.get(service)
        after = release.merge(before, progress)
        if after is before:
            return
        self._state.progress[service] = after
        self._ids.clear()
        if before is None or before.number != after.number:
            self._canary.pop(service, None)
            self._control.pop(service, None)
        self._stats.release_share.labels(service).set(after.share)
        lines.event(
            LOG,
            "release",
            service=service,
            base=after.base,
            target=after.target,
            number=after.number,
            stage=after.stage.name.lower(),
            share=round(after.share, 4),
            per_s=round(after.per_s, 2),
            upstreams=after.upstreams,
            left_s=round(self._left_s(after), 2),
            reason=after.reason,
        )
        self.wake()

    def _left_s(self, progress: release.Progress) -> float:
        now_ms = self._state.store_clock.latest_ms(clock.now())
        return (progress.deadline_ms - now_ms) / 1e3

    # Messages.

    def _on_state(self, sender: str, message: messages.ReleaseState) -> None:
        """Apply the progress that the leading node tells."""
        if message.epoch < (self._state.store_epoch or 0):
            return
        now_ms = self._state.store_clock.latest_ms(clock.now())
        self._merge(message.progress)
        service = message.progress.service
        if message.until_ms > now_ms and service not in self._leads:
            self._follow(service, sender, message.until_ms)

    def _follow(self, service: str, leader: str, until_ms: float) -> None:
        following = self._following.setdefault(service, Following())
        if until_ms >= following.until_ms or leader == following.leader:
            following.leader = leader
            following.until_ms = max(until_ms, following.until_ms)
        delay_s = SILENCE_S + self._rank_delay_s(service)
        following.act_at = clock.now() + delay_s

    def _send_report(self, service: str, now: float) -> None:
        """Report the responses since the last report to the leading node."""
        progress = self._state.progress.get(service)
        if progress is None or progress.is_final:
            return
        tested = self._canary.setdefault(service, canary.Recorder())
        used = self._control.setdefault(service, canary.Recorder())
        is_drained = self._is_drained(progress)
        interval_s = REPORT_INTERVAL_S
        if is_drained and not tested:
            by_nodes_s = REPEAT_INTERVAL_PER_NODE_S * self._state.nodes
            interval_s = max(DRAIN_REPORT_INTERVAL_S, by_nodes_s)
        is_due = now >= self._reported_at.get(service, -math.inf) + interval_s
        if not is_due or not (tested or is_drained):
            return
        self._reported_at[service] = now
        report = messages.ReleaseReport(
            service, progress.number, tested.take(), used.take(), is_drained
        )
        following = self._following.get(service)
        if service in self._leads:
            self._on_report(self._cfg.node_id, report)
        elif following is not None and following.leader:
            self._announcer.send_to(following.leader, report)

    def _is_drained(self, progress: release.Progress) -> bool:
        """Return whether this node uses the previous release no more."""
        if progress.stage is not release.Stage.SHIFT or progress.share < 1.0:
            return False
        return not any(
            upstream.running
            for upstream in self._state.fleet.upstreams.values()
            if upstream.entry.service == progress.service
            and upstream.entry.release == progress.base
        )

    def _on_report(self, sender: str, message: messages.ReleaseReport) -> None:
        """Add what a node reports to the evidence."""
        lead = self._leads.get(message.service)
        progress = self._state.progress.get(message.service)
        if lead is None or progress is None or progress.number != message.number:
            return
        lead.evidence.add(message.tested, message.used, clock.now())
        if message.is_drained:
            lead.drained.add(sender)
        else:
            lead.drained.discard(sender)

"""A relay node: its components, its start and its graceful shutdown."""

import collections.abc
import dataclasses
import gc
import logging
import signal

import msgspec
import trio

from snipelug_core import catalog, refusal, shutdown
from snipelug_net import http_client, http_server, lines, memory
from snipelug_relay import (
    announce,
    clock,
    connections,
    crashes,
    discards,
    drops,
    kv_stores,
    permits,
    ports,
    preview,
    record,
    relay,
    releases,
    retirements,
    saves,
    state,
    stats,
    supervise,
    suspects,
    transfer_delays,
    watch,
    weights,
)

LOG = logging.getLogger("snipelug.node")

DEREGISTRATION_S = 2.6
"""Time after a stop until the load balancer has seen two refusals, one per second."""

ABORT_TIMEOUT_S = 0.1
"""Timeout for the end of the connections that are aborted at the end of a stop."""

MAX_LOGGED_IDS = 100
"""Maximum number of cut requests that are named in one log line."""

CONNECT_TIMEOUT_S = 0.3
"""Connect timeout for upstreams; zones are 1.4 ms apart."""

CONTROL_CONNECT_TIMEOUT_S = 0.5
"""Connect timeout for control calls to the store, engines and KV cache stores."""

IDLE_FRACTION = 0.6
"""Fraction of an upstream's connections that all nodes together keep idle."""

MAX_IDLE = 64
MAX_IDLE_CONTROL = 8
"""Idle connections for control calls; each kind of read has one of its own."""

EXPIRY_INTERVAL_S = 0.1
SETTINGS_CHECK_INTERVAL_S = 2.0
CLOSE_CHECK_INTERVAL_S = 0.05

OK = 200
UNAVAILABLE = 503
NOT_FOUND = 404
BAD_REQUEST = 400

STOPPING = http_server.RequestError(
    UNAVAILABLE,
    refusal.NODE_STOPPING.code,
    "the node stopped before it had received the whole request",
    shutdown.RETRY_AFTER_S,
)
"""The refusal of requests that are still being read at the end of a stop."""


@dataclasses.dataclass(frozen=True)
class Platform:
    """Adapters for one platform."""

    dialect: ports.Dialect
    store: ports.ControlStore
    machines: ports.Machines


Build = collections.abc.Callable[[ports.Settings, http_client.Pool], Platform]
"""Builds the platform adapters."""

Reload = collections.abc.Callable[[], ports.Settings | str | None]
"""Returns changed settings, an error message, or None if nothing changed."""


class Node:
    """A relay node.

    Attributes
    ----------
    callers_port, ready_port : int
        Bound ports.

    Parameters
    ----------
    reload : Reload
        Checks for changed settings.
    """

    def __init__(
        self, cfg: ports.Settings, build: Build, reload: Reload, log: record.Buffer
    ) -> None:
        self._cfg = cfg
        self._reload = reload
        self._log = log
        self._stats = stats.Stats()
        self._state = state.State(cfg)
        discarded = discards.Discards(self._state, self._stats)
        self._pool = http_client.Pool(
            CONNECT_TIMEOUT_S,
            idle_per_addr=MAX_IDLE,
            on_discard=discarded.record_request,
            max_buffered_bytes=min(
                http_client.BUFFER_BYTES, memory.body_bytes(cfg.memory_bytes)
            ),
        )
        control_pool = http_client.Pool(
            CONTROL_CONNECT_TIMEOUT_S,
            idle_per_addr=MAX_IDLE_CONTROL,
            on_discard=discarded.record_control,
        )
        self._idle_check = connections.IdleCheck(
            cfg, self._state, [self._pool, control_pool]
        )
        platform = build(cfg, control_pool)
        self._store = platform.store
        self._announcer = announce.Announcer(cfg.peers, self._state)
        self._suspects = suspects.Suspects(
            cfg, self._state, platform.store, self._stats, self._announcer
        )
        self._detector = crashes.Detector(
            self._state, self._stats, self._suspects.charge
        )
        self._permits = permits.Permits(self._state, self._announcer, self._stats)
        self._releases = releases.Releases(
            cfg,
            self._state,
            platform.store,
            self._announcer,
            self._permits,
            self._stats,
        )
        self._delays = transfer_delays.TransferDelays(
            self._state, self._announcer, self._stats
        )
        self._saves = saves.Saves(self._state, self._announcer, self._stats)
        self._relay = relay.Relay(
            cfg,
            self._state,
            platform.dialect,
            self._pool,
            self._stats,
            self._announcer,
            self._detector,
            self._suspects,
            self._permits,
            self._releases,
            self._delays,
            self._saves,
        )
        self._preview = preview.Preview(cfg, self._state)
        self.callers_port = 0
        self.ready_port = 0
        self._dropped = drops.Drops(self._stats)
        self._callers = http_server.Server(
            self._relay.handle,
            http_server.Limits(connections=self._max_connections()),
            memory.Budget(memory.body_bytes(cfg.memory_bytes)),
            self._dropped.record,
        )
        self._ready = http_server.Server(self._handle_ready)
        self._metrics = http_server.Server(self._handle_metrics)
        self._watch = watch.Watch(
            cfg,
            self._state,
            platform.store,
            self._stats,
            self._apply_intents,
            self._announcer,
        )
        self._weights = weights.WeightUpdater(
            cfg,
            self._state,
            platform.store,
            platform.machines,
            self._stats,
            self._announcer,
            self._permits,
        )
        self._retirements = retirements.RetirementSync(
            cfg, self._state, platform.store, self._stats
        )
        self._kv_stores = kv_stores.KvStorePoller(
            cfg, self._state, platform.machines, self._announcer, self._stats
        )

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send requests to this node."""
        return self._state.is_ready

    @property
    def knows_stores(self) -> bool:
        """Whether the contents of all KV cache stores are known."""
        return self._state.knows_stores(clock.now())

    @property
    def grants_saves(self) -> bool:
        """Whether this node grants saves to the KV cache stores of which it must."""
        return self._state.grants_saves(clock.now())

    @property
    def configuration_age_s(self) -> float:
        """Time since the operator's intents were last known up to date, in seconds."""
        return clock.now() - self._state.confirmed_at

    def store_age_s(self, name: str) -> float:
        """Return the age of the last poll of a KV cache store, in seconds."""
        return clock.now() - self._state.index.store_states[name].polled_at

    @property
    def members(self) -> int:
        """Number of known nodes, including this one."""
        return self._state.nodes

    def drop_datagrams(self) -> None:
        """Stop sending and receiving datagrams, to simulate a network failure."""
        self._announcer.close()

    async def run(self) -> None:
        """Serve until a graceful shutdown is complete."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._log.run)
                await nursery.start(self.serve)
                async for number in signals:
                    if number == signal.SIGTERM:
                        break
                    self._check_settings(is_requested=True)
                nursery.start_soon(self._ignore_signals, signals)
                await self.stop()
                nursery.cancel_scope.cancel()
        self._log.write_out()

    async def _ignore_signals(
        self, signals: collections.abc.AsyncIterator[int]
    ) -> None:
        # Signals that are left in the receiver would end the process by their default
        # action, before the last log lines are written.
        async for number in signals:
            lines.event(LOG, "signal_ignored", signal=signal.Signals(number).name)

    async def serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; report as started once callers can connect."""
        async with trio.open_nursery() as nursery:
            self.callers_port = await nursery.start(
                self._callers.serve, *self._cfg.callers
            )
            self.ready_port = await nursery.start(self._ready.serve, *self._cfg.ready)
            if self._cfg.metrics is not None:
                nursery.start_soon(self._serve_metrics)
            tasks: dict[str, supervise.Task] = {
                "intents": self._watch.run_intents,
                "upstreams": self._watch.run_upstreams,
                "members": self._watch.run_members,
                "announcements": self._announcer.run,
                "upstream_limits": self._announcer.run_limits,
                "weights": self._weights.run,
                "retirements": self._retirements.run,
                "kv_stores": self._kv_stores.run,
                "settings": self._watch_settings,
                "expiry": self._run_expiry,
                "crashes": self._detector.run,
                "suspects": self._suspects.run,
                "releases": self._releases.run,
                "transfer_delays": self._delays.run,
                "saves": self._saves.run,
            }
            for name, task in tasks.items():
                nursery.start_soon(supervise.run, task, name, self._stats)
            lines.event(LOG, "start", settings=dataclasses.asdict(self._cfg))
            task_status.started()

    async def _serve_metrics(self) -> None:
        assert self._cfg.metrics is not None
        try:
            await self._metrics.serve(*self._cfg.metrics)
        except OSError as exc:
            lines.warning(LOG, "metrics_not_served", reason=str(exc))

    async def stop(self) -> None:
        """Leave the load balancer, let open requests finish, then close."""
        plan = shutdown.schedule(
            clock.now(), self._cfg.bounds.grace_s, DEREGISTRATION_S
        )
        self._state.is_stopping = True
        lines.event(LOG, "stop", open_requests=self._callers.open_requests)
        self._relay.begin_stop(plan)
        self._saves.leave()
        self._callers.draining = True
        with trio.move_on_after(min(1.0, plan.closes_at - plan.began_at)):
            await self._store.remove_member(self._cfg.node_id)
        await trio.sleep(max(0.0, plan.closes_at - clock.now()))
        # Later requests could not be finished, so callers must use another node.
        self._callers.stop_accepting()
        self._callers.close_idle()
        incomplete = 0
        is_open = True
        # This includes connections on which a request is still being read, and those
        # of the backlog, which are not open before the first pause.
        while is_open and clock.now() < plan.cut_at:
            left_s = max(0.0, plan.cut_at - clock.now())
            await trio.sleep(min(CLOSE_CHECK_INTERVAL_S, left_s))
            self._callers.close_idle()
            if clock.now() >= plan.reading_ends_at:
                incomplete += self._callers.refuse_incomplete(STOPPING)
            is_open = self._callers.open_connections > 0
        cut = [self._relay.request_id(req) for req in self._callers.unfinished_requests]
        with trio.move_on_after(ABORT_TIMEOUT_S):
            await self._callers.abort()
        cut_ids = list(dict.fromkeys([*cut, *self._relay.cut_ids]))
        lines.event(
            LOG,
            "stopped",
            cut_requests=len(cut_ids),
            cut_ids=cut_ids[:MAX_LOGGED_IDS],
            incomplete_requests=incomplete,
            after_s=round(clock.now() - plan.began_at, 2),
        )

    async def abort_connections(self) -> None:
        """Abort the remaining connections of callers."""
        await self._callers.abort()

    async def _handle_ready(self, _req: http_server.Request) -> http_server.Response:
        return http_server.Response(OK if self.is_ready else UNAVAILABLE)

    async def _handle_metrics(self, req: http_server.Request) -> http_server.Response:
        if req.path == "/where":
            return self._handle_preview(req)
        if req.path != "/metrics":
            return http_server.Response(NOT_FOUND)
        left_out = self._relay.sampler.left_out
        text = self._stats.render(self._state, clock.now(), left_out)
        return http_server.Response(OK, text, {"content-type": "text/plain"})

    def _handle_preview(self, req: http_server.Request) -> http_server.Response:
        """Explain where a request would be sent now."""
        query = preview.parse(req.query)
        found = query if isinstance(query, str) else self._preview.explain(query)
        status = BAD_REQUEST if isinstance(found, str) else OK
        body = {"error": found} if isinstance(found, str) else found
        headers = {"content-type": "application/json"}
        return http_server.Response(status, msgspec.json.encode(body), headers)

    def _apply_intents(self) -> None:
        """Apply the operator's intents that concern this node itself."""
        handlers: dict[str, supervise.Handler] = {
            "limits": self._apply_limits,
            "attempts": self._relay.apply_versions,
            "wake_weights": self._weights.wake,
            "wake_retirements": self._retirements.wake,
            "wake_releases": self._releases.wake,
        }
        supervise.call_each(handlers, self._stats)

    def _apply_limits(self) -> None:
        known = self._state.catalog
        if known is None:
            return
        limits = known.limits
        self._callers.limits = http_server.Limits(
            body_bytes=limits.body_bytes,
            head_s=limits.head_s,
            idle_s=limits.idle_s,
            connections=self._max_connections(),
        )
        self._pool.idle_per_addr = self._idle_connections(known)

    def _max_connections(self) -> int:
        cfg = self._cfg
        return memory.max_connections(
            cfg.memory_bytes, cfg.descriptors, http_server.MAX_CONNECTIONS
        )

    def _idle_connections(self, known: catalog.Catalog) -> int:
        fewest = min(
            (s.connection_limit for s in known.services.values()), default=MAX_IDLE
        )
        return max(2, min(MAX_IDLE, int(IDLE_FRACTION * fewest / self._state.nodes)))

    async def _run_expiry(self) -> None:
        """End what is kept for some time only.

        The list is read when upstreams may not have returned after an outage, and idle
        connections of no further use are closed.
        """
        while True:
            await trio.sleep(EXPIRY_INTERVAL_S)
            self._watch.expire()
            self._idle_check.run(clock.now())

    async def _watch_settings(self) -> None:
        while True:
            await trio.sleep(SETTINGS_CHECK_INTERVAL_S)
            self._check_settings(is_requested=False)

    def _check_settings(self, is_requested: bool) -> None:
        found = self._reload()
        if isinstance(found, str):
            lines.warning(LOG, "settings_invalid", reason=found)
        elif found is not None or is_requested:
            # Addresses take effect at the next start; nothing else changes here.
            lines.event(LOG, "reload", is_changed=found is not None)


def run(cfg: ports.Settings, build: Build, reload: Reload) -> None:
    """Run a node until its graceful shutdown is complete."""
    log = record.setup(cfg.node_id)
    trio.run(Node(cfg, build, reload, log).run)
    # Without this, the exit of the interpreter searches all objects for cycles, which
    # takes most of its time.
    gc.freeze()

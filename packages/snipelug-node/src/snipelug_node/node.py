"""Builds a node from its components and runs it until a planned stop."""

import collections.abc
import dataclasses
import functools
import gc
import logging
import random
import signal
import time
import typing
import uuid

import trio
import trio_asyncio

from snipelug_core import (
    block,
    connection,
    load,
    member,
    ownership,
    prefill,
    quarantine,
    route,
    session,
    stream,
    subset,
    table,
    unlisted,
)
from snipelug_net import http_client, http_server, lines, poller
from snipelug_node import (
    admin,
    admitter,
    cache,
    cleaner,
    confirmer,
    crashes,
    dispatch,
    expiry,
    feeds,
    gateway,
    lease,
    limiter,
    loader,
    metrics,
    operations,
    order,
    peer,
    pending,
    platform,
    retries,
    reuse,
    revision,
    router,
    sender,
    settings,
    slots,
    teams,
    ticker,
    transfers,
    watcher,
)

LOG = logging.getLogger("snipelug.node")

MAX_INDEX_BYTES = 48 * 1024 * 1024
"""Memory limit of this node's shard of the block index."""

LISTENER_CLOSE_DELAY_S = 2.0
"""Time between reporting not ready and closing the listener.

Lets the load balancer stop sending requests to this node first.
"""

DRAIN_POLL_INTERVAL_S = 0.05

GC_THRESHOLD = 20_000
"""Allocations between collections; the default of 700 took 4% of the relay's time."""


class Node:
    """All components of one node.

    Parameters
    ----------
    cfg : settings.Settings
        Settings of the node.
    nursery : trio.Nursery
        Runs the background tasks until the process ends.
    """

    def __init__(self, cfg: settings.Settings, nursery: trio.Nursery) -> None:
        self.cfg = cfg
        self.nursery = nursery
        self.rng = random.Random()
        self.tables = table.Tables()
        self.metrics = metrics.build_client(cfg.statsd)
        self.pool = http_client.Pool(
            on_closed=self._connection_closed, on_discard=self._response_discarded
        )
        self.unlisted = unlisted.Unlisted()
        self.store = platform.HttpTableService(self.pool, cfg.tables)
        self.instance_list = platform.HttpInstanceList(self.pool, cfg.instances)
        self.peers = peer.Peers(peer_settings(cfg), rng=self.rng)
        self.watcher = watcher.Watcher(
            self.tables,
            self.instance_list,
            self.pool,
            self._choose_upstreams,
            self._apply_report,
            self._apply_instance_list,
            lambda: self.gateway.is_active(trio.current_time()),
        )
        self.keeper = revision.Keeper(self.store, self.peers, self.watcher)
        self.lease = lease.Keeper(
            self.peers.settings.incarnation,
            self.store,
            self.peers,
            self._owned_items,
            self.rng,
            session.NodeAddress(*cfg.rpc_address, cfg.zone),
            reads_sessions=False,
        )
        self.keeper.on_sessions = self.lease.apply_sessions
        self.objects = platform.HttpObjectStore(self.pool, cfg.objects)
        self.keyed_calls = order.KeyedCalls(
            self.peers.settings.incarnation,
            self.lease.lease,
            self.store,
            self.objects,
            self.peers,
        )
        self._build_slots()
        self._build_limits()
        self._build_cache()
        self._build_request_path()
        operator_actions = operations.Operations(
            self.tables,
            self.keeper,
            self.lease,
            self.keyed_calls,
            self.crashes,
            self.limiter,
            self._may_send,
        )
        self.admin = admin.Admin(
            self.keeper, self.peers, cfg.admin_key, operator_actions.providers()
        )

    def _build_slots(self) -> None:
        self.admitter = admitter.Admitter(
            self.peers,
            functools.partial(slots.holder_of, self.lease),
            functools.partial(slots.holds, self.lease),
            lambda _: self.cfg.cold_limit,
            self.peers.settings.incarnation,
            self.nursery,
            self.cfg.unconfirmed_limit,
        )
        self.confirmer = confirmer.Confirmer(
            self.tables, self.watcher.read_load, self.nursery
        )
        self.slots = slots.Slots(
            self.admitter,
            self.lease,
            self._upstream_ids,
            self.confirmer,
            self.nursery,
        )

    def _build_limits(self) -> None:
        process = self.peers.settings.incarnation
        self.crashes = crashes.Crashes(
            self.peers, self.store, self.cfg.key, process, time.time
        )
        self.teams = teams.Teams(self.lease, lambda: self.keeper.cfg)
        self.expiry = expiry.Expiry(self.store, self.objects, self.teams.owned)
        self.limiter = limiter.Limiter(
            self.peers,
            process,
            self.teams.owner_of,
            self.teams.holds,
            self._processes_sharing_limits,
            self.teams.session_age_s,
            self.lease.is_listed,
            self.teams.limits_of,
            self.teams.note_unowned_request,
        )

    def _build_cache(self) -> None:
        self.shard = cache.Shard(MAX_INDEX_BYTES)
        self.shard.register(self.peers)
        self.directory = cache.Directory(self.peers)
        self.backlog = prefill.PrefillBacklog()
        self.feeds = feeds.Feeds(self.pool, self.directory, self._instances_to_read)
        self.transfers = transfers.Transfers(
            self.pool,
            self.directory,
            lambda inst_id: self.tables.instances.get(inst_id),
            self.backlog,
            lambda store_id, blocks: self.reuse.link_s(store_id, blocks),
        )
        self.reuse = reuse.Reuse(
            self.cfg,
            route.MODES[self.cfg.mode],
            self.tables,
            self.pool,
            self.directory,
            self.transfers,
            lambda: self.keeper.cfg,
            self._block_prefill_s,
            self.backlog,
        )

        self.cleaner = cleaner.Cleaner(
            self.pool,
            self.shard,
            lambda: [state.view for state in self.reuse.stores.values()],
            lambda inst_id: self.tables.instances.get(inst_id),
            lambda: self.keeper.cfg.zones_out,
        )

    def _build_request_path(self) -> None:
        cfg = self.cfg
        self.router = router.CostRouter(
            settings=cfg,
            tables=self.tables,
            cfg=lambda: self.keeper.cfg,
            may_send=self._may_send,
            cache=self.reuse,
            grants=self.slots,
            is_suspect=self._is_suspect,
            suspects_at=lambda _: 0,
            chooser=route.LowestCost(route.MODES[cfg.mode]),
            rng=self.rng,
            backlog=self.backlog,
        )
        board = pending.PendingSums()
        board.register(self.peers)
        self.exchange = pending.Exchange(
            self.peers,
            self.backlog,
            board,
            lambda: [*self.tables.upstreams, *self.reuse.stores],
            lambda: self.gateway.is_active(trio.current_time()),
        )
        self.sender = sender.Sender(
            self.pool, self.slots, self._may_send, self.watcher.read_load
        )
        self.poller = poller.Poller(stream.next_pass_at)
        self.dispatcher = dispatch.Dispatcher(
            sender=self.sender,
            router=self.router,
            crashes=self.crashes,
            budget=retries.Budgets(),
            cache_salt=functools.partial(block.cache_salt, cfg.key),
            on_finished=functools.partial(gateway.report_finished, self.metrics),
            poller=self.poller,
        )
        self.gateway = gateway.Gateway(
            node_id=cfg.node_id,
            key=cfg.key,
            revisions=self.keeper,
            tables=self.tables,
            pool=self.pool,
            dispatcher=self.dispatcher,
            limits=self.limiter,
            keyed_calls=self.keyed_calls,
            metrics=self.metrics,
        )

    # Callbacks between components

    def _may_send(
        self, upstream: table.Upstream, conn_opened_at: float, now: float
    ) -> load.Verdict:
        if not self.keeper.is_current(now):
            return load.Excluded(load.Reason.NOT_CURRENT)
        return load.may_send(
            upstream,
            self.keeper.cfg,
            conn_opened_at,
            now,
            self.watcher.list_tried_at,
        )

    def _apply_report(
        self, upstream_id: str, report: table.LoadReport, asked_at: float
    ) -> None:
        upstream = self.tables.upstreams.get(upstream_id)
        if upstream is None:
            return
        if load.accept_report(upstream, report, asked_at):
            self.admitter.apply_report(upstream_id, report)
            self.confirmer.apply_report(upstream_id)

    def _apply_instance_list(self, listed: list[table.Instance], now: float) -> None:
        self.lease.observe_instance_list(listed, now)
        self.shard.retain({inst.id for inst in listed})

    def _owned_items(self) -> list[lease.Item]:
        """Return the items that need exactly one owner among all nodes."""
        kinds = {
            table.Role.ENGINE: ownership.Kind.UPSTREAM,
            table.Role.SERVICE: ownership.Kind.UPSTREAM,
            table.Role.STORE: ownership.Kind.STORE,
        }
        instances = self.tables.instances.values()
        items = [(kinds[i.role], i.id) for i in instances if i.role in kinds]
        teams = [(ownership.Kind.TEAM, team) for team in self.keeper.cfg.contracts]
        return items + teams

    def _upstream_ids(self) -> list[str]:
        return [
            inst.id
            for inst in self.tables.instances.values()
            if inst.role in watcher.UPSTREAM_ROLES
        ]

    def _fencing_of(self, upstream_id: str) -> int | None:
        now = trio.current_time()
        return self.lease.holds(ownership.Kind.UPSTREAM, upstream_id, now)

    def _systems(self) -> list[ticker.System[typing.Any]]:
        weight_loader = loader.Loader(
            tables=self.tables,
            store=self.store,
            pool=self.pool,
            cfg=lambda: self.keeper.cfg,
            fencing_of=self._fencing_of,
            session=lambda: self.lease.lease.session,
            live_sessions=self.lease.live_sessions,
            refresh=self.watcher.read_load,
            limit=self.cfg.weight_loads,
        )
        return [
            ticker.System("slots", self.slots.plan, self.slots.execute),
            ticker.System("teams", self.teams.plan, self._change_team),
            ticker.System("weights", weight_loader.plan, weight_loader.execute),
            ticker.System("connections", self._plan_connections, self._connect),
            ticker.System("unlisted", self._plan_closing, self._close_idle),
        ]

    async def _change_team(
        self, action: teams.StartOwning | teams.StopOwning | teams.FindOwner
    ) -> None:
        match action:
            case teams.FindOwner(""):
                await self.lease.acquire()
            case teams.FindOwner(team):
                await self.lease.read_or_acquire_owner(ownership.Kind.TEAM, team)
            case teams.StartOwning(team, had_owner):
                lines.event(LOG, "team_taken", team=team, had_owner=had_owner)
                self.limiter.start_owning(team, had_owner)
            case teams.StopOwning(team):
                self.limiter.stop_owning(team)

    def _processes_sharing_limits(self) -> frozenset[str]:
        """Return all processes that may use a share of a limit.

        Includes the members besides the sessions: shortly after a start, the sessions
        may have been read before other nodes wrote theirs, and counting too few
        processes would make the shares too large.
        """
        members = self.peers.members.rows.values()
        known = frozenset(row.incarnation or row.node_id for row in members)
        return self.lease.processes() | known

    def _is_suspect(self, fingerprint: str) -> bool:
        return self.crashes.check(fingerprint) is quarantine.Standing.SUSPECT

    def _plan_connections(self) -> collections.abc.Iterator[connection.OpenConnections]:
        return connection.plan_connections(
            self.tables, lambda inst: self.pool.idle_count((inst.host, inst.port))
        )

    async def _connect(self, action: connection.OpenConnections) -> None:
        inst = self.tables.instances.get(action.upstream_id)
        if inst is None:
            return
        for _ in range(action.count):
            await self.pool.preconnect((inst.host, inst.port))

    def _plan_closing(self) -> list[http_client.Address]:
        """Return the addresses to which no call goes any more."""
        listed = {
            self.cfg.tables,
            self.cfg.objects,
            self.cfg.instances,
            *((inst.host, inst.port) for inst in self.tables.instances.values()),
        }
        now = trio.current_time()
        return self.unlisted.update(self.pool.idle_addresses, listed, now)

    async def _close_idle(self, addr: http_client.Address) -> None:
        self.pool.close_idle(addr)

    def _connection_closed(self, addr: http_client.Address) -> None:
        now = trio.current_time()
        for upstream in self.tables.upstreams.values():
            inst = upstream.instance
            if (inst.host, inst.port) == addr:
                load.mark_connection_closed(upstream, now)

    def _response_discarded(self, found: http_client.Discarded) -> None:
        self.metrics.incr(f"responses.discarded.{found.reason.value}")

    def _choose_upstreams(
        self, upstreams: collections.abc.Iterable[table.Instance]
    ) -> list[table.Instance]:
        by_id = {inst.id: inst for inst in upstreams}
        chosen = subset.Subset(self.cfg.node_id)
        chosen.update({i: f"{inst.zone}/{inst.name}" for i, inst in by_id.items()})
        owned = [i for i in by_id if i not in chosen.ids and self.slots.has_part(i)]
        return [by_id[i] for i in (*chosen.ids, *owned)]

    def _instances_to_read(self) -> list[table.Instance]:
        """Return the engines and KV cache stores whose feeds this node reads."""
        live = self.peers.live()
        roles = (table.Role.ENGINE, table.Role.STORE)
        return [
            inst
            for inst in self.tables.instances.values()
            if inst.role in roles
            and cache.feed_reader(inst.id, live) == self.cfg.node_id
        ]

    def _block_prefill_s(self, inst: table.Instance) -> float:
        return self.router.pace_of(inst).prefill_s * block.BLOCK_TOKENS

    # Start and stop

    async def run(self) -> None:
        """Serve requests until a planned stop is complete."""
        cfg = self.cfg
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD)
        caller_server = http_server.Server(self.gateway.handle)
        admin_server = http_server.Server(self.admin.handle)
        await self._start_background()
        await self.nursery.start(caller_server.serve, cfg.host, cfg.port)
        await self.nursery.start(admin_server.serve, cfg.host, cfg.admin_port)
        lines.event(
            LOG, "started", zone=cfg.zone, port=cfg.port, admin_port=cfg.admin_port
        )
        await self._wait_for_stop(caller_server)
        await self.lease.stop()
        lines.event(LOG, "stopped")

    async def _start_background(self) -> None:
        nursery = self.nursery
        await nursery.start(self.peers.run)
        await nursery.start(self.keeper.run)
        await nursery.start(self.watcher.run)
        await nursery.start(self.lease.run)
        await nursery.start(self.keyed_calls.serve)
        await nursery.start(self.expiry.run)
        await nursery.start(self.directory.run)
        await nursery.start(self.feeds.run)
        await nursery.start(self.transfers.run)
        await nursery.start(self.reuse.run)
        await nursery.start(self.cleaner.run)
        await nursery.start(self.exchange.run)
        nursery.start_soon(self.crashes.run)
        nursery.start_soon(self.limiter.run)
        nursery.start_soon(self.poller.run)
        nursery.start_soon(self.dispatcher.abort_stalled_streams)
        nursery.start_soon(ticker.run, self._systems())

    async def _wait_for_stop(self, caller_server: http_server.Server) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            await anext(signals)
            self.gateway.stopping = True
            lines.event(LOG, "stopping", open_requests=caller_server.open_requests)
            with trio.move_on_after(self.cfg.drain_s) as drain_scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        _end_drain_on_second_signal, signals, drain_scope
                    )
                    await trio.sleep(LISTENER_CLOSE_DELAY_S)
                    caller_server.stop_accepting()
                    while (
                        caller_server.open_requests or self.keyed_calls.active_calls()
                    ):
                        await trio.sleep(DRAIN_POLL_INTERVAL_S)
                    nursery.cancel_scope.cancel()
        if caller_server.open_requests or self.keyed_calls.active_calls():
            await self._abort_open_requests(caller_server)

    async def _abort_open_requests(self, caller_server: http_server.Server) -> None:
        """Abort the requests and keyed calls that are still open, and log them.

        Leases are handed over next, so nothing may run under them any more.
        """
        requests = list(self.gateway.open_requests.values())
        orders = self.keyed_calls.active_calls()
        lines.warning(LOG, "requests_cut", requests=len(requests), orders=len(orders))
        for request in requests:
            lines.warning(LOG, "request_cut", **dataclasses.asdict(request))
        for call in orders:
            lines.warning(LOG, "order_cut", **dataclasses.asdict(call))
        await caller_server.abort()
        await self.keyed_calls.abort()


async def _end_drain_on_second_signal(
    signals: collections.abc.AsyncIterator[int], drain_scope: trio.CancelScope
) -> None:
    await anext(signals)
    drain_scope.cancel()


def peer_settings(cfg: settings.Settings) -> peer.Settings:
    """Return the settings of the communication with other nodes."""
    static = tuple(
        member.Member(node_id, "", host, port)
        for node_id, (host, port) in cfg.peers.items()
    )
    return peer.Settings(
        node_id=cfg.node_id,
        incarnation=uuid.uuid4().hex[:12],
        host=cfg.rpc_address[0],
        rpc_port=cfg.rpc_address[1],
        key=cfg.key,
        zone=cfg.zone,
        static=static,
        listen=(cfg.host, cfg.rpc_port),
    )


async def run(cfg: settings.Settings) -> None:
    """Run a node until it is stopped."""
    async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
        await Node(cfg, nursery).run()
        nursery.cancel_scope.cancel()

"""State of a node: the operator's intents, upstreams, KV cache stores and members."""

import collections.abc
import dataclasses
import logging
import math
import random
import typing

import trio

from snipelug_core import (
    catalog,
    choice,
    fleet,
    hashing,
    kv_index,
    release,
    restore,
    retirement,
    save_grants,
    shared_rate,
    store_clock,
    transfers,
    watcher,
)
from snipelug_net import lines
from snipelug_relay import clock, ports

LOG = logging.getLogger("snipelug.state")

MEMBER_MAX_AGE_S = 50.0
"""Age at which a member's row is ignored; rows are written every 15 s."""


RECENT_MEMBER_S = 60.0
"""Time for which a node without a row is still reached at its address."""

STORES_READY_TIMEOUT_S = 1.0
"""Maximum time a starting node waits for KV cache stores and suspects.

Without the stores every prompt needs a full prefill. The limit keeps a store that is
down from blocking the start of nodes.
"""


RestoreHandler = collections.abc.Callable[[], None]
"""Handles a restore of the platform's store from a copy."""


class State:
    """Shared state of the components of a node.

    Attributes
    ----------
    catalog : catalog.Catalog or None
        The configuration; None until the store has been read.
    owners_since : float
        Monotonic time at which the owners of prompt parts changed last, in seconds.
    store_clock : store_clock.StoreClock
        Bounds of the clock of the platform's store.
    store_epoch : int or None
        Newest epoch of the platform's store; None until it has responded.
    clock_epoch : int
        First epoch since which the store's clock has gone on steadily, as far as this
        node knows.
    named_versions : dict of str to retirement.History
        The named weight versions of each model.
    intents_current_ms : float
        Time on the store's clock at which the intents were last up to date.
    confirmed_at : float
        The same as a monotonic time, in seconds.
    upstream_list_known : bool
        Whether the list of upstreams has been read.
    configured_since : float or None
        Monotonic time at which the first configuration was read, in seconds.
    demand_share : float
        This node's share of what all nodes divide by their demand, from 0 to 1.
    sharing : shared_rate.Sharing
        This node's part in the rates that all nodes share.
    recent_members : list of ports.Member
        The members, and those of the last minute, which may have restarted.
    saves : save_grants.Coordinator
        This node's part in granting saves to KV cache stores.
    requests_received : int
        Requests of callers on known routes since the start.
    is_reader : bool
        Whether this node reads from the platform, for its zone or for itself.
    transfer_delays : transfers.Delays
        Delays of transfers from the KV cache stores.
    suspects_known : bool
        Whether the suspects of crashes have been read.
    orders : release.Orders
        The operator's orders to move services to other releases.
    progress : dict of str to release.Progress
        The latest known progress of each service's releases.
    releases_known : bool
        Whether the progress of releases has been read.
    stores_changed : trio.Event
        Set when the configuration may have changed the KV cache stores.
    """

    def __init__(self, cfg: ports.Settings) -> None:
        self.cfg = cfg
        self.catalog: catalog.Catalog | None = None
        self.owners_since = math.inf
        self._catalog_epoch = 0
        self.store_clock = store_clock.StoreClock()
        self.store_epoch: int | None = None
        self.clock_epoch = 0
        self._sampled_epoch = -1
        self._epoch_known_at = -math.inf
        self._restore_handlers: list[RestoreHandler] = []
        self.named_versions: dict[str, retirement.History] = {}
        self.intents_current_ms = -math.inf
        self._intents_epoch: int | None = None
        self._zones = restore.ZonesOut()
        self.zones_out: frozenset[str] = frozenset()
        self.fleet = fleet.Fleet()
        self.index = kv_index.Index(kv_index.old_version_read_s(cfg.bounds.version_s))
        self.transfer_delays = transfers.Delays()
        self.confirmed_at = -1e9
        self.upstream_list_known = False
        self.members: list[ports.Member] = []
        self.recent_members: list[ports.Member] = []
        self._seen_at: dict[str, tuple[ports.Member, float]] = {}
        # Other nodes are unknown until the member table has been read.
        self.demand_share = 0.0
        self.sharing = shared_rate.Sharing(cfg.node_id, random.Random())
        self.saves = save_grants.Coordinator(
            cfg.node_id, cfg.is_first_start, random.Random()
        )
        self.requests_received = 0
        self.is_reader = True
        self._reads_store: dict[str, bool] = {}
        self._frees_store: dict[str, bool] = {}
        self.stores_changed = trio.Event()
        self.configured_since: float | None = None
        self.suspects_known = False
        self.orders = release.Orders()
        self.progress: dict[str, release.Progress] = {}
        self.releases_known = cfg.exposure is None
        self.is_stopping = False

    @property
    def is_ready(self) -> bool:
        """Whether this node may receive requests."""
        if (
            self.configured_since is None
            or not self.upstream_list_known
            or self.is_stopping
        ):
            return False
        now = clock.now()
        return (
            self.knows_stores(now) and self.suspects_known and self.releases_known
        ) or now - self.configured_since > STORES_READY_TIMEOUT_S

    def knows_stores(self, now: float) -> bool:
        """Return whether the contents of all KV cache stores are known."""
        return all(
            store_state.is_fresh(now)
            for store_state in self.index.store_states.values()
        )

    @property
    def nodes(self) -> int:
        """Number of nodes that share the upstreams, including this one."""
        return max(1, len(self.members))

    def latest_versions(self) -> dict[str, int]:
        """Return the newest weight version of each model."""
        return {model: named.version for model, named in self.named_versions.items()}

    def latest_version(self, model: str, service: str) -> int:
        """Return the newest named weight version, or the newest served one if none."""
        named = self.named_versions.get(model)
        if named is not None:
            return named.version
        upstreams = self.fleet.of_service(service)
        return max((u.versions.get(model, 0) for u in upstreams), default=0)

    def may_use_stores(self, model: str, version: int, now: float) -> bool:
        """Return whether parts of a weight version may be read from KV cache stores."""
        if self._may_lack_owners(now):
            return False
        named = self.named_versions.get(model)
        return named is None or kv_index.is_version_usable(
            named.outdated_ms(version, self.store_clock.latest_ms(now)),
            self.index.old_version_read_s,
        )

    def _may_lack_owners(self, now: float) -> bool:
        """Return whether other nodes may free what this one would read.

        The isolated teams have just changed, or have in a configuration that this node
        has not read.
        """
        if self.catalog is None:
            return False
        owner = self.catalog.shared_owner
        if now - self.owners_since < kv_index.OWNER_PAUSE_S:
            return self.index.has_other_owner(owner)
        return self._has_missed_owners(now)

    def _has_missed_owners(self, now: float) -> bool:
        """Return whether others use owners of a configuration that was not read."""
        if self.catalog is None or now - self.confirmed_at < kv_index.OWNER_READ_S:
            return False
        return self.index.has_other_owner(self.catalog.shared_owner, self.confirmed_at)

    def least_version(self, model: str, now: float, margin_s: float) -> int:
        """Return the oldest weight version of a model that may still be used.

        Parameters
        ----------
        margin_s : float
            Time before the end of the deployment's bound, in seconds.
        """
        named = self.named_versions.get(model)
        if named is None:
            return 0
        return named.least_usable(
            self.store_clock.latest_ms(now),
            1e3 * (self.cfg.bounds.version_s - margin_s),
        )

    def retired_at(self, model: str, version: int) -> float:
        """Return the monotonic time from which a version must not be used any more."""
        named = self.named_versions.get(model)
        if named is None or version >= named.version:
            return math.inf
        last_ms = named.last_current_ms(version) + 1e3 * self.cfg.bounds.version_s
        return self.store_clock.earliest_at(last_ms)

    def merge_history(self, model: str, other: retirement.History) -> None:
        """Add what another node knows about the times of a model's versions."""
        known = self.named_versions.get(model, retirement.History())
        merged = known.merge(other)
        if merged != known:
            self.named_versions[model] = merged
            self._log_named(model, known, "node")

    def rank(self, purpose: str) -> int:
        """Return this node's rank; all nodes compute the same ranking."""
        ids = {member.node_id for member in self.members} | {self.cfg.node_id}
        return hashing.rank(purpose, ids).index(self.cfg.node_id)

    def assumed_cached_tokens(self, upstream: fleet.Upstream) -> float:
        """Return how many tokens an engine is assumed to keep cached."""
        known = self.catalog
        service = known.services.get(upstream.entry.service) if known else None
        if service is None or service.engine is None:
            return 0.0
        return fleet.CACHED_PARTS_FRACTION * service.engine.kv_capacity_tokens

    def shared_rate_of(
        self, upstream: fleet.Upstream, now: float
    ) -> shared_rate.Rate | None:
        """Return the rate of all nodes together at an upstream, None if it has none."""
        known = self.catalog
        found = known.services.get(upstream.entry.service) if known else None
        return choice.shared_rate_of(upstream, found, now)

    def opens_at(
        self, service: str, priority: int, now: float
    ) -> collections.abc.Mapping[str, float]:
        """Return from when a request may ask for permits at upstreams that need some.

        Returns
        -------
        collections.abc.Mapping
            Monotonic times in seconds by the id of the upstream.
        """
        times = {}
        for upstream in self.fleet.of_service(service):
            if upstream.limit_per_s is not None or now < upstream.cold_until:
                key = choice.rate_key(upstream.entry)
                at = self.sharing.opens_at(key, now, priority)
                times[upstream.entry.id] = at if at > now else -math.inf
        return times

    def context(
        self, service: str, priority: int, removed: catalog.Service | None = None
    ) -> choice.Context | None:
        """Return the routing context shared by all upstreams of a service.

        Parameters
        ----------
        removed : catalog.Service or None
            The service if it has been removed from the configuration.
        priority : int
            Priority of the request; 0 is the highest.
        """
        found = self.catalog.services.get(service, removed) if self.catalog else None
        if found is None:
            return None
        now = clock.now()
        mean = self.fleet.mean_load(service, now)
        waits = self.fleet.wait_model(service)
        speeds = self.fleet.speed_model(service)
        return choice.Context(
            found,
            self.zones_out,
            self.nodes,
            mean,
            waits.request_s,
            waits.scale(priority, now),
            self.opens_at(service, priority, now),
            speeds.prefill_tokens_per_s(now),
            speeds.plain_s(now),
        )

    def record_response(
        self, page: ports.Page[typing.Any], sent_at: float, received_at: float
    ) -> bool:
        """Record the clock and the epoch in a response of the platform's store.

        Returns
        -------
        bool
            Whether the response may be used; False if the store has been restored
            since.
        """
        if page.epoch < (self.store_epoch or 0):
            return False
        if self._sampled_epoch < 0:
            self._sampled_epoch = self.clock_epoch = page.epoch
        if page.epoch == self._sampled_epoch:
            self.store_clock.record(sent_at, received_at, page.clock_ms)
        elif sent_at >= self._epoch_known_at:
            self._follow_clock(page, sent_at, received_at)
        self.record_epoch(page.epoch)
        return True

    def _follow_clock(
        self, page: ports.Page[typing.Any], sent_at: float, received_at: float
    ) -> None:
        """Use the first clock after a restore; translate earlier times if it jumped.

        The call was sent when the epoch was known, as a response that was held during
        the restore may tell the clock of before. The translation errs towards earlier
        times, which retire outdated weight versions sooner.
        """
        self._sampled_epoch = page.epoch
        shift_ms = self.store_clock.restart(sent_at, received_at, page.clock_ms)
        if not shift_ms:
            return
        lines.warning(LOG, "store_clock_jumped", epoch=page.epoch, shift_ms=shift_ms)
        self.clock_epoch = page.epoch
        self.intents_current_ms += shift_ms
        self.named_versions = {
            model: named.shifted(shift_ms)
            for model, named in self.named_versions.items()
        }

    def record_epoch(self, epoch: int) -> None:
        """Record the store's epoch; call the handlers if it has been restored."""
        before = self.store_epoch
        if before is not None and epoch <= before:
            return
        self.store_epoch = epoch
        self._epoch_known_at = clock.now()
        if before is None:
            return
        lines.warning(LOG, "store_restored", epoch=epoch, before=before)
        for handler in self._restore_handlers:
            try:
                handler()
            except Exception as exc:
                # The other components must still learn of the restore.
                LOG.error("restore_handler_failed", exc_info=exc)

    def add_restore_handler(self, handler: RestoreHandler) -> None:
        """Add a handler that is called when the store was restored from a copy."""
        self._restore_handlers.append(handler)

    def apply_intents(
        self,
        items: collections.abc.Iterable[ports.Intent],
        clock_ms: float,
        is_whole: bool,
        epoch: int = 0,
    ) -> None:
        """Apply the operator's intents.

        Parameters
        ----------
        clock_ms : float
            Time on the store's clock at which the items were up to date.
        is_whole : bool
            Whether the items are the whole table rather than changes.
        epoch : int
            Epoch of the store in which they were read.
        """
        is_restored = self._intents_epoch is not None and epoch > self._intents_epoch
        self._intents_epoch = epoch
        items = list(items)
        for item in items:
            if is_whole and isinstance(item, release.Order):
                continue
            try:
                self._apply_intent(item, epoch)
            except Exception as exc:
                # The page is not read again, so the other items must not be lost.
                LOG.error("intent_failed", extra={"intent": repr(item)}, exc_info=exc)
        if is_whole:
            listed = {item.zone for item in items if isinstance(item, ports.Evacuation)}
            self._zones.replace(listed, clock.now(), is_restored)
            orders = [
                self._dated(i, epoch) for i in items if isinstance(i, release.Order)
            ]
            self.orders.replace(orders, clock.now(), is_restored)
        self._update_zones_out()
        self.confirm(clock_ms)

    def _apply_intent(self, item: ports.Intent, epoch: int) -> None:
        match item:
            case catalog.Catalog():
                self._apply_catalog(item, epoch)
            case ports.Version(model, version):
                self._apply_version(model, version)
            case ports.Evacuation(zone):
                self._zones.add(zone)
            case ports.Removed(ports.Evacuation(zone)):
                self._zones.discard(zone)
            case release.Order():
                self.orders.put(self._dated(item, epoch))
            case ports.Removed(release.Order(service)):
                self.orders.remove(service)
            case ports.Unreadable(key, reason):
                lines.warning(LOG, "intent_unreadable", key=key, reason=reason)

    def _dated(self, order: release.Order, epoch: int) -> release.Order:
        """Return an order with the earliest time at which it can have been given."""
        ordered_ms = self.intents_current_ms
        if math.isinf(ordered_ms):
            ordered_ms = self.store_clock.latest_ms(clock.now())
        return dataclasses.replace(order, ordered_ms=ordered_ms, epoch=epoch)

    def _update_zones_out(self) -> None:
        zones = self._zones.zones
        if zones != self.zones_out:
            self.zones_out = zones
            lines.event(LOG, "zones_out", zones=sorted(zones))

    def confirm(self, clock_ms: float) -> None:
        """Record that the operator's intents were up to date at a time of the store."""
        # A malformed announcement must not date the intents into the future.
        clock_ms = min(clock_ms, self.store_clock.latest_ms(clock.now()))
        self.intents_current_ms = max(self.intents_current_ms, clock_ms)
        at = self.store_clock.earliest_at(clock_ms)
        now = clock.now()
        if self._has_missed_owners(now) and at > self.confirmed_at:
            # Configurations with other owners may have been in force meanwhile.
            self.owners_since = now
        self.confirmed_at = max(self.confirmed_at, at)

    def _apply_catalog(self, new: catalog.Catalog, epoch: int) -> None:
        known = self.catalog
        if known is not None and not restore.replaces_configuration(
            new.version,
            known.version,
            epoch,
            self._catalog_epoch,
            new.has_same_content(known),
        ):
            if new.version < known.version:
                lines.warning(
                    LOG,
                    "configuration_ignored",
                    version=new.version,
                    in_force=known.version,
                )
            return
        self._catalog_epoch = epoch
        lines.event(
            LOG,
            "configuration",
            version=new.version,
            before=known.version if known is not None else None,
            routes=len(new.routes),
            teams=len(new.teams),
        )
        if known is None or known.owners != new.owners:
            self.owners_since = clock.now()
            for upstream in self.fleet.upstreams.values():
                upstream.clear_cache()
        self.catalog = new
        self.index.set_stores(new.stores)
        self.stores_changed.set()
        if self.configured_since is None:
            self.configured_since = clock.now()

    def _apply_version(self, model: str, version: int) -> None:
        known = self.named_versions.get(model, retirement.History())
        if version <= known.version:
            return
        now_ms = self.store_clock.latest_ms(clock.now())
        self.named_versions[model] = known.observe(
            version, self.intents_current_ms, now_ms
        )
        self._log_named(model, known, "operator")

    def _log_named(self, model: str, before: retirement.History, source: str) -> None:
        named = self.named_versions[model]
        now_ms = self.store_clock.latest_ms(clock.now())
        bound_age_ms = now_ms - named.last_current_ms(named.version - 1)
        lines.event(
            LOG,
            "weights_named",
            model=model,
            version=named.version,
            before=before.version or None,
            source=source,
            age_s=None if math.isinf(bound_age_ms) else round(bound_age_ms / 1e3, 2),
        )

    def apply_listings(
        self,
        items: collections.abc.Iterable[ports.Listing],
        is_whole: bool,
        kept_until: float = -math.inf,
        is_restored: bool = False,
    ) -> None:
        """Apply entries of the list of upstreams.

        Parameters
        ----------
        is_whole : bool
            Whether the items are the whole list rather than changes.
        kept_until : float
            Monotonic time until which missing entries are kept, as they may have
            expired during an outage of the store, in seconds.
        is_restored : bool
            Whether this is the first read of the list since a restore of the store.
        """
        now = clock.now()
        entries = []
        changes: list[fleet.Change | None] = []
        for item in items:
            match item:
                case fleet.Entry() if is_whole:
                    entries.append(item)
                case fleet.Entry():
                    changes.append(self.fleet.put(item, now))
                case ports.Removed(str() as upstream_id):
                    changes.append(self.fleet.remove(upstream_id, now, kept_until))
                case ports.Unreadable(key, reason):
                    lines.warning(LOG, "entry_unreadable", key=key, reason=reason)
                    changes.append(self.fleet.remove(key, now))
        if is_whole:
            changes += self.fleet.replace(entries, now, kept_until, is_restored)
            self.upstream_list_known = True
        for change in changes:
            if change is not None:
                self._log_change(change)

    def expire(self) -> bool:
        """End what is kept for some time after an outage or a restore of the store.

        Returns
        -------
        bool
            Whether the list of upstreams must be read whole.
        """
        now = clock.now()
        self._zones.expire(now)
        self._update_zones_out()
        self.orders.expire(now)
        return self.fleet.end_withholding(now) or self.fleet.is_removal_due(now)

    def _log_change(self, change: fleet.Change) -> None:
        upstream = self.fleet.upstreams.get(change.upstream_id)
        lines.event(
            LOG,
            "upstream",
            upstream=change.upstream_id,
            what=change.what,
            service=upstream.entry.service if upstream is not None else None,
            zone=upstream.entry.zone if upstream is not None else None,
            release=upstream.entry.release if upstream is not None else None,
            versions=upstream.versions if upstream is not None else None,
        )

    def apply_members(self, page: ports.Page[ports.Member], sent_at: float) -> None:
        """Apply the rows of all nodes, ignoring expired ones.

        Parameters
        ----------
        sent_at : float
            Monotonic time at which they were requested, in seconds.
        """
        oldest = page.clock_ms - 1000 * MEMBER_MAX_AGE_S
        live = [member for member in page.items if member.seen_ms >= oldest]
        if len(live) != len(self.members):
            lines.event(LOG, "members", count=len(live), before=len(self.members))
        self.members = live
        self.demand_share = shared_rate.demand_share(
            self.cfg.node_id, {m.node_id: m.demand_per_s for m in live}, self.nodes
        )
        now = clock.now()
        self.sharing.set_members({m.node_id for m in live}, now)
        self._seen_at |= {m.node_id: (m, now) for m in live}
        self._seen_at = {
            node_id: (member, at)
            for node_id, (member, at) in self._seen_at.items()
            if now - at < RECENT_MEMBER_S
        }
        self.recent_members = [member for member, _ in self._seen_at.values()]
        started_ms = {m.node_id: m.started_ms for m in live}
        self.saves.set_members(save_grants.View(started_ms, sent_at), now)
        self.is_reader = self._is_assigned_reader(None)
        self._reads_store.clear()
        self._frees_store.clear()

    def follow_stores(self, now: float) -> None:
        """Begin and end this node's terms as coordinator of KV cache stores."""
        states = self.index.store_states.values()
        longest_s = self._longest_prompt_s()
        self.saves.follow({item.store.address for item in states}, longest_s, now)

    def _longest_prompt_s(self) -> float:
        """Return the longest time for which an engine may run a request."""
        known = self.catalog
        if known is None:
            return 0.0
        engines = {s.name for s in known.services.values() if s.engine is not None}
        times = (
            route.timeout_s
            for route in known.routes
            if any(name in engines for name, _ in route.services)
        )
        return max(times, default=0.0)

    def grants_saves(self, now: float) -> bool:
        """Return whether this node grants saves to all stores that it coordinates."""
        for item in self.index.store_states.values():
            coordinator = self.saves.coordinator_of(item.store.address)
            if coordinator is None:
                return False
            if coordinator == self.cfg.node_id and not self.saves.may_grant(item, now):
                return False
        return True

    def reads_store(self, store: str) -> bool:
        """Return whether this node polls a KV cache store, for its zone or itself."""
        if store not in self._reads_store:
            self._reads_store[store] = self._is_assigned_reader(store)
        return self._reads_store[store]

    def frees_store(self, store: catalog.KvStore) -> bool:
        """Return whether this node frees the outdated parts of a KV cache store.

        It is the store's coordinator, unless this node is not among the members yet.
        """
        address = store.address
        if address not in self._frees_store:
            ids = {member.node_id for member in self.members} | {self.cfg.node_id}
            is_first = hashing.rank(address, ids)[0] == self.cfg.node_id
            self._frees_store[address] = is_first
        return self._frees_store[address]

    def _is_assigned_reader(self, store: str | None) -> bool:
        nodes = [watcher.Node(m.node_id, m.zone) for m in self.members]
        picked = watcher.pick_readers(nodes, self.cfg.zone, store)
        return self.cfg.node_id in picked or not picked

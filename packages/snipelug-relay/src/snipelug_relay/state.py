"""What a node believes: the operator's intents, upstreams, stores and members."""

import collections.abc
import dataclasses
import logging

import trio

from snipelug_core import catalog, choice, fleet, hashing, kv_index, watcher
from snipelug_net import lines
from snipelug_relay import clock, ports

LOG = logging.getLogger("snipelug.state")

MEMBER_S = 50.0
"""Age at which a member's row no longer counts; rows are written every 15 s."""


STORES_WAIT_S = 1.0
"""How long a node that starts waits for the stores of KV cache before it is ready.

Without them every prompt is read anew; a store that is down stops no node.
"""


@dataclasses.dataclass
class Named:
    """The newest weight version of a model.

    Attributes
    ----------
    at : float
        When this node learned of it, in seconds.
    times : dict of int to float
        When this node learned of each version, in seconds.
    """

    version: int
    at: float
    times: dict[int, float] = dataclasses.field(default_factory=dict)

    def settled(self, now: float, after_s: float) -> int:
        """Return the newest version that was named at least a time ago, or 0."""
        ages = (v for v, at in self.times.items() if now - at > after_s)
        return max(ages, default=0)


class State:
    """The tables that the systems of a node read and write.

    Attributes
    ----------
    catalog : catalog.Catalog or None
        None until the store was read.
    confirmed_at : float
        When the operator's intents were last confirmed, in seconds.
    list_known : bool
        The list of upstreams was read.
    known_since : float or None
        When the first configuration was read, in seconds.
    is_watcher : bool
        This node reads from the platform for its zone, or for itself.
    stores_changed : trio.Event
        Set when the configuration may name other stores of KV cache.
    """

    def __init__(self, cfg: ports.Settings) -> None:
        self.cfg = cfg
        self.catalog: catalog.Catalog | None = None
        self.named: dict[str, Named] = {}
        self.zones_out: frozenset[str] = frozenset()
        self.fleet = fleet.Fleet()
        self.index = kv_index.Index()
        self.confirmed_at = -1e9
        self.list_known = False
        self.members: list[ports.Member] = []
        self.is_watcher = True
        self._watched: dict[str, bool] = {}
        self._cleaned: dict[str, bool] = {}
        self.stores_changed = trio.Event()
        self.known_since: float | None = None
        self.is_stopping = False

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        if self.known_since is None or not self.list_known or self.is_stopping:
            return False
        now = clock.now()
        return self.knows_stores(now) or now - self.known_since > STORES_WAIT_S

    def knows_stores(self, now: float) -> bool:
        """Tell whether all stores of KV cache have told what they hold."""
        return all(
            store_state.is_fresh(now)
            for store_state in self.index.store_states.values()
        )

    @property
    def nodes(self) -> int:
        """Number of nodes that share the upstreams, this one included."""
        return max(1, len(self.members))

    def newest(self) -> dict[str, int]:
        """Return the newest weight version of each model."""
        return {model: named.version for model, named in self.named.items()}

    def newest_version(self, model: str, service: str) -> int:
        """Return the newest weight version named, or served if none is named."""
        named = self.named.get(model)
        if named is not None:
            return named.version
        upstreams = self.fleet.of_service(service)
        return max((u.versions.get(model, 0) for u in upstreams), default=0)

    def may_use_stores(self, model: str, version: int, now: float) -> bool:
        """Tell whether parts of a weight version may be read from stores."""
        named = self.named.get(model)
        return named is None or kv_index.is_version_usable(version, named.times, now)

    def held_tokens(self, upstream: fleet.Upstream) -> float:
        """Return how many tokens an engine is taken to keep cached."""
        known = self.catalog
        service = known.services.get(upstream.entry.service) if known else None
        if service is None or service.engine is None:
            return 0.0
        return fleet.CACHED_PARTS_FRACTION * service.engine.kv_capacity_tokens

    def context(self, service: str) -> choice.Context | None:
        """Return what all upstreams of a service have in common."""
        if self.catalog is None or service not in self.catalog.services:
            return None
        found = self.catalog.services[service]
        mean = self.fleet.mean_load(service, clock.now())
        return choice.Context(found, self.zones_out, self.nodes, mean)

    def take_intents(
        self,
        items: collections.abc.Iterable[ports.Intent],
        read_at: float,
        is_whole: bool,
    ) -> None:
        """Take what the operator wants.

        Parameters
        ----------
        read_at : float
            Time at which the items were up to date at least, in seconds.
        is_whole : bool
            The items are all there are, not only changes.
        """
        zones = set() if is_whole else set(self.zones_out)
        for item in items:
            match item:
                case catalog.Catalog():
                    self._take_catalog(item)
                case ports.Version(model, version):
                    self._take_version(model, version)
                case ports.Evacuation(zone):
                    zones.add(zone)
                case ports.Removed(ports.Evacuation(zone)):
                    zones.discard(zone)
                case ports.Unreadable(key, reason):
                    lines.warning(LOG, "intent_unreadable", key=key, reason=reason)
        if zones != self.zones_out:
            self.zones_out = frozenset(zones)
            lines.event(LOG, "zones_out", zones=sorted(zones))
        self.confirm(read_at)

    def confirm(self, at: float) -> None:
        """Note that the operator's intents were up to date at a time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def _take_catalog(self, new: catalog.Catalog) -> None:
        if self.catalog is not None and new.version <= self.catalog.version:
            return
        lines.event(
            LOG,
            "configuration",
            version=new.version,
            before=self.catalog.version if self.catalog is not None else None,
            routes=len(new.routes),
            teams=len(new.teams),
        )
        self.catalog = new
        self.index.set_stores(new.stores)
        self.stores_changed.set()
        if self.known_since is None:
            self.known_since = clock.now()

    def _take_version(self, model: str, version: int) -> None:
        known = self.named.get(model)
        if known is not None and version <= known.version:
            return
        # Weights that were named before this node started are not new.
        at = clock.now() if self.list_known else -1e9
        times = dict(known.times) if known is not None else {}
        times[version] = at
        self.named[model] = Named(version, at, times)
        lines.event(
            LOG,
            "weights_named",
            model=model,
            version=version,
            before=known.version if known is not None else None,
        )

    def take_listings(
        self,
        items: collections.abc.Iterable[ports.Listing],
        is_whole: bool,
        in_grace: bool,
    ) -> None:
        """Take entries of the list of upstreams.

        Parameters
        ----------
        is_whole : bool
            The items are the whole list, not only changes.
        in_grace : bool
            Missing entries may have lapsed during an outage of the list.
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
                    changes.append(self.fleet.remove(upstream_id, now, in_grace))
                case ports.Unreadable(key, reason):
                    lines.warning(LOG, "entry_unreadable", key=key, reason=reason)
                    changes.append(self.fleet.remove(key, now, in_grace=False))
        if is_whole:
            changes += self.fleet.replace(entries, now, in_grace)
            self.list_known = True
        for change in changes:
            if change is not None:
                self._log(change)

    def expire(self) -> bool:
        """Remove upstreams that did not come back after an outage of the list.

        Returns
        -------
        bool
            Whether there were any.
        """
        changes = list(self.fleet.expire(clock.now()))
        for change in changes:
            self._log(change)
        return bool(changes)

    def _log(self, change: fleet.Change) -> None:
        upstream = self.fleet.upstreams.get(change.upstream_id)
        lines.event(
            LOG,
            "upstream",
            upstream=change.upstream_id,
            what=change.what,
            service=upstream.entry.service if upstream is not None else None,
            zone=upstream.entry.zone if upstream is not None else None,
            versions=upstream.versions if upstream is not None else None,
        )

    def take_members(self, page: ports.Page[ports.Member]) -> None:
        """Take the rows of all nodes; old ones do not count."""
        oldest = page.clock_ms - 1000 * MEMBER_S
        live = [member for member in page.items if member.seen_ms >= oldest]
        if len(live) != len(self.members):
            lines.event(LOG, "members", count=len(live), before=len(self.members))
        self.members = live
        self.is_watcher = self._is_picked(None)
        self._watched.clear()
        self._cleaned.clear()

    def watches(self, store: str) -> bool:
        """Tell whether this node reads a store of KV cache for its zone or itself."""
        if store not in self._watched:
            self._watched[store] = self._is_picked(store)
        return self._watched[store]

    def cleans(self, store: str) -> bool:
        """Tell whether this node frees what nothing reads any more in a store."""
        if store not in self._cleaned:
            ids = {member.node_id for member in self.members} | {self.cfg.node_id}
            self._cleaned[store] = hashing.rank(store, ids)[0] == self.cfg.node_id
        return self._cleaned[store]

    def _is_picked(self, store: str | None) -> bool:
        nodes = [watcher.Node(m.node_id, m.zone) for m in self.members]
        picked = watcher.pick_readers(nodes, self.cfg.zone, store)
        return self.cfg.node_id in picked or not picked

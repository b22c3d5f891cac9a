"""Reuse of KV cache blocks: look-up before a request, placement after its response."""

import collections
import collections.abc
import dataclasses
import http
import logging

import msgspec
import trio

from snipelug_core import block, contract, index, link, placement, prefill, route, table
from snipelug_net import http_client, lines
from snipelug_node import cache, dispatch, settings, ticker, transfers

LOG = logging.getLogger("snipelug.reuse")

STATUS_INTERVAL_S = 1.0
STATUS_TIMEOUT_S = 1.0
MAX_STATUS_BYTES = 64 * 1024
EXPORT_LINK_SHARE = 0.8
"""Share of a link that exports may use while no imports for requests wait."""

EXPORT_BURST_S = 10.0
"""Longest time over which an idle link accumulates export budget, in seconds."""

IMPORT_TIMEOUT_FACTOR = 3.0
IMPORT_TIMEOUT_MARGIN_S = 0.25
"""Imports time out after the expected time multiplied by the factor, plus the margin,
in seconds."""

MAX_RECENT_CONVERSATIONS = 4096
EVACUATION_INTERVAL_S = 0.5
EXPORT_RETRY_INTERVAL_S = 0.5


class Tier(msgspec.Struct):
    """State of one tier of a KV cache store."""

    size_bytes: float = 0.0
    used_bytes: float = 0.0
    rate_bytes_per_s: float = 0.0


class Status(msgspec.Struct):
    """Response of a store to ``/status``."""

    boot_id: str
    tiers: dict[str, Tier] = msgspec.field(default_factory=dict)


@dataclasses.dataclass
class StoreState:
    """Latest known state of a KV cache store.

    Attributes
    ----------
    rate : float
        Transfer rate of its idle link, in bytes per second.
    """

    view: placement.Store
    rate: float


def to_store(inst: table.Instance, status: Status) -> placement.Store:
    """Summarise the tiers of a store."""
    size = sum(tier.size_bytes for tier in status.tiers.values())
    used = sum(tier.used_bytes for tier in status.tiers.values())
    return placement.Store(inst.id, inst.zone, status.boot_id, True, size - used, size)


def link_rate(status: Status, limit: float) -> float:
    """Return the rate of a store's idle link, which its slowest tier limits."""
    rates = [t.rate_bytes_per_s for t in status.tiers.values() if t.rate_bytes_per_s]
    return min([limit, *rates])


class Reuse:
    """The KV cache for the request path; implements ``router.Cache``.

    Parameters
    ----------
    cfg : settings.Settings
        Settings of the node.
    mode : route.Mode
        Routing mode of the deployment, with its weights.
    config : callable
        The configuration in force.
    block_s : callable
        Prefill time of one block at an engine, in seconds.
    backlog : prefill.PrefillBacklog
        Pending transfers of all nodes on the links of the stores.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        mode: route.Mode,
        tables: table.Tables,
        pool: http_client.Pool,
        directory: cache.Directory,
        block_transfers: transfers.Transfers,
        config: collections.abc.Callable[[], contract.Config],
        block_s: collections.abc.Callable[[table.Instance], float],
        backlog: prefill.PrefillBacklog,
    ) -> None:
        self.cfg = cfg
        self.mode = mode
        self.tables = tables
        self.pool = pool
        self.directory = directory
        self.transfers = block_transfers
        self.config = config
        self.block_s = block_s
        self.backlog = backlog
        self.stores: dict[str, StoreState] = {}
        self.budgets: dict[tuple[str, str], placement.TokenBucket] = {}
        self.link_waits: dict[tuple[str, str], link.LinkWaitEstimator] = {}
        self.reuse_estimator = placement.ReuseEstimator()
        self.export_queue = placement.ExportQueue()
        self.recent: collections.OrderedDict[str, placement.Prompt]
        self.recent = collections.OrderedDict()

    # Before a request

    async def lookup(self, chain: block.Chain) -> index.PrefixLocations:
        """Return the known locations of a prompt's blocks."""
        return await self.directory.lookup(chain.keys)

    def links(self) -> collections.abc.Mapping[tuple[str, str], link.Link]:
        """Return the usable links, by store and zone.

        Omits stores out of service, which must not get new work.
        """
        zones_out = self.config().zones_out
        now = trio.current_time()
        zones = {u.instance.zone for u in self.tables.upstreams.values()}
        return {
            (store_id, zone): self._link_wait(store_id, zone).link(
                state.rate,
                2 * settings.zone_delay_s(self.cfg, state.view.zone, zone)
                + self.backlog.estimate_s(store_id, 0, now),
                now,
            )
            for store_id, state in self._in_service().items()
            if state.view.alive and state.view.zone not in zones_out
            for zone in zones
        }

    def _in_service(self) -> dict[str, StoreState]:
        """Return the stores except those that operators took out of service by id."""
        out = self.config().instances_out
        return {k: state for k, state in self.stores.items() if k not in out}

    def link_s(self, store_id: str, blocks: int) -> float:
        """Return how long a store's idle link takes to transfer blocks, in seconds."""
        state = self.stores.get(store_id)
        if state is None or state.rate <= 0:
            return 0.0
        return blocks * float(self.cfg.block_bytes) / state.rate

    def _link_wait(self, store_id: str, zone: str) -> link.LinkWaitEstimator:
        return self.link_waits.setdefault((store_id, zone), link.LinkWaitEstimator())

    async def fetch(
        self,
        inst: table.Instance,
        blocks: collections.abc.Sequence[route.Fetch],
        keys: collections.abc.Sequence[block.Key],
        expected_s: float,
    ) -> None:
        """Have an engine import blocks; it recomputes those that it does not get."""
        boot_id = self._boot_of(inst.id)
        timeout_s = IMPORT_TIMEOUT_MARGIN_S + IMPORT_TIMEOUT_FACTOR * expected_s
        started_at = trio.current_time()
        counts = collections.Counter(fetch.copy.store for fetch in blocks)
        pending_s = {s: self.backlog.estimate_s(s, 0, started_at) for s in counts}
        await self.transfers.import_blocks(inst, boot_id, keys, blocks, timeout_s)
        elapsed_s = trio.current_time() - started_at
        for store_id, count in counts.items():
            state = self.stores.get(store_id)
            if state is not None:
                size = count * float(self.cfg.block_bytes)
                link_wait = self._link_wait(store_id, inst.zone)
                now = started_at + elapsed_s
                link_wait.note(state.rate, size, elapsed_s, now, pending_s[store_id])

    def _boot_of(self, upstream_id: str) -> str:
        upstream = self.tables.upstreams.get(upstream_id)
        if upstream is None or upstream.report is None:
            return ""
        return upstream.report.boot_id

    # After a response

    def record_response(
        self, job: dispatch.Job, choice: dispatch.Choice, found: index.PrefixLocations
    ) -> None:
        """Record that an engine caches a prompt's blocks, and place copies of them."""
        chain = choice.chain
        inst = choice.upstream.instance
        turns = sum(message.role == "assistant" for message in job.chat.body.messages)
        self.reuse_estimator.observe(job.contract.team, turns, len(chain.keys))
        if not chain.keys:
            return
        boot_id = self._boot_of(inst.id)
        if boot_id:
            changes = [cache.Change(key, True) for key in chain.keys]
            self.directory.record_changes(index.Source(inst.id, boot_id), changes)
        prompt = placement.Prompt(
            chain=chain,
            team=job.contract.team,
            upstream=inst.id,
            zone=inst.zone,
            chance=self.reuse_estimator.probability(
                job.contract.team, turns, len(chain.keys)
            ),
            block_s=self.block_s(inst),
            block_bytes=float(self.cfg.block_bytes),
            found=found,
        )
        self.directory.appraise(chain.keys, prompt.value_s)
        self._place(prompt, job.request_id)
        self.recent[chain.conversation] = prompt
        self.recent.move_to_end(chain.conversation)
        while len(self.recent) > MAX_RECENT_CONVERSATIONS:
            self.recent.popitem(last=False)

    def _place(self, prompt: placement.Prompt, request_id: str) -> None:
        """Export a prompt's blocks, or queue the prompt if a link lacks budget."""
        stores = [state.view for state in self._in_service().values()]
        zones_out = self.config().zones_out
        now = trio.current_time()
        self._add_budgets(prompt.zone)
        waits = {s: self.backlog.estimate_s(s, 0, now) for s in self.stores}
        decision = placement.place(
            prompt, stores, self.budgets, self.mode, zones_out, now, waits
        )
        fields = placement.record(prompt, decision, request_id)
        lines.event(LOG, str(fields.pop("event")), **fields)
        for export in decision.exports:
            self._submit(export, ())
        if placement.is_retryable(decision):
            self.export_queue.add(placement.with_in_transit(prompt, decision), now)
        else:
            self.export_queue.remove(prompt)

    async def _retry_placements(self) -> None:
        while True:
            await ticker.sleep(EXPORT_RETRY_INTERVAL_S)
            for prompt in self.export_queue.due(trio.current_time()):
                if self._has_budget(prompt):
                    self._place(prompt, "")

    def _has_budget(self, prompt: placement.Prompt) -> bool:
        now = trio.current_time()
        return any(
            bucket.available(now) >= prompt.block_bytes
            for (_, zone), bucket in self.budgets.items()
            if zone == prompt.zone
        )

    def _submit(
        self, export: placement.Export, imports: tuple[route.Fetch, ...]
    ) -> None:
        engine = self.tables.instances.get(export.upstream)
        state = self.stores.get(export.store)
        if engine is None or state is None:
            return
        boot_id = self._boot_of(engine.id)
        self.transfers.submit(
            transfers.ExportJob(engine, boot_id, state.view.boot_id, export, imports)
        )

    def _add_budgets(self, zone: str) -> None:
        """Create or update the export budget of each link of a zone.

        A budget is this node's share of the link's rate.
        """
        nodes = max(1, len(self.directory.peers.live()))
        rate = self.cfg.link_bytes_per_s * EXPORT_LINK_SHARE / nodes
        for store_id in self.stores:
            bucket = self.budgets.get((store_id, zone))
            if bucket is None:
                burst = max(rate * EXPORT_BURST_S, 64.0 * self.cfg.block_bytes)
                self.budgets[store_id, zone] = placement.TokenBucket(rate, burst)
            else:
                bucket.rate = rate

    # Stores

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Poll the stores and evacuate zones out of service until cancelled."""
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_stores)
            nursery.start_soon(self._evacuate_zones)
            nursery.start_soon(self._retry_placements)

    async def _poll_stores(self) -> None:
        while True:
            listed = [
                inst
                for inst in self.tables.instances.values()
                if inst.role is table.Role.STORE and not inst.leaving
            ]
            ids = {inst.id for inst in listed}
            self.stores = {k: v for k, v in self.stores.items() if k in ids}
            async with trio.open_nursery() as nursery:
                for inst in listed:
                    nursery.start_soon(self._read_status, inst)
            await ticker.sleep(STATUS_INTERVAL_S)

    async def _read_status(self, inst: table.Instance) -> None:
        call = http_client.Call(
            (inst.host, inst.port), "GET", "/status", timeout_s=STATUS_TIMEOUT_S
        )
        response = await self.pool.fetch(call, MAX_STATUS_BYTES)
        status = _decode_status(response)
        known = self.stores.get(inst.id)
        if status is None:
            if known is not None:
                known.view = dataclasses.replace(known.view, alive=False)
            return
        rate = link_rate(status, self.cfg.link_bytes_per_s)
        self.stores[inst.id] = StoreState(to_store(inst, status), rate)

    # Planned evacuation of a zone

    async def _evacuate_zones(self) -> None:
        while True:
            for zone in self.config().zones_out:
                self._evacuate_zone(zone)
            await ticker.sleep(EVACUATION_INTERVAL_S)

    def _evacuate_zone(self, zone: str) -> None:
        """Copy recent conversations out of a zone, as far as export budgets allow."""
        prompts = {
            conversation: prompt
            for conversation, prompt in self.recent.items()
            if prompt.zone == zone
        }
        if not prompts:
            return
        self._add_budgets(zone)
        cached = [_to_cached_conversation(prompt) for prompt in prompts.values()]
        engines = [
            u.instance.id
            for u in self.tables.upstreams.values()
            if u.instance.role is table.Role.ENGINE and u.instance.zone == zone
        ]
        stores = [state.view for state in self._in_service().values()]
        moves = placement.plan_move(
            zone,
            cached,
            stores,
            engines,
            self.budgets,
            self.config().zones_out,
            trio.current_time(),
        )
        postponed = set()
        for move in moves:
            fields = placement.record_move(zone, move)
            if isinstance(move, placement.PostponedMove):
                postponed.add(move.conversation)
                continue
            lines.event(LOG, str(fields.pop("event")), **fields)
            self._submit(move.export, move.imports)
        for conversation in prompts:
            if conversation not in postponed:
                del self.recent[conversation]


def _to_cached_conversation(prompt: placement.Prompt) -> placement.CachedConversation:
    return placement.CachedConversation(
        prompt.chain.conversation,
        prompt.chain.keys,
        prompt.value_s,
        prompt.block_bytes,
        (prompt.upstream,),
        prompt.found.stored,
    )


def _decode_status(response: object) -> Status | None:
    if (
        not isinstance(response, http_client.FullResponse)
        or response.status != http.HTTPStatus.OK
    ):
        return None
    try:
        return msgspec.json.decode(response.body, type=Status)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None

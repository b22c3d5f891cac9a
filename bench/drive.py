"""Virtual-clock drive of the real decision code against the models."""

import collections
import collections.abc
import dataclasses
import heapq
import itertools
import math
import random

from bench import loss, model, workload
from snipelug_core import (
    baseline,
    block,
    contract,
    index,
    link,
    load,
    placement,
    prefill,
    route,
    subset,
    table,
)

TICK_S = 0.5
LAG_S = 0.2
FLUSH_S = 0.1
PENDING_S = 0.25
PENDING_LAG_S = 0.01
LOOKUP_S = 0.001
LOOKUP_LOSS = 0.01
CONFIG_LAG_S = 1.0
RETRY_S = 0.2
ANNOUNCED_S = 60.0
"""A planned zone move starts this long before the zone is out, in seconds."""

EXPORT_SHARE = 0.8
"""Share of a link that exports may use while no reads wait."""

MOVE_SHARE = 0.3
"""Share of a link that copies out of a leaving zone may use."""

BURST_BYTES = 4 * model.BLOCK_BYTES
INDEX_BYTES = 128 * 1024 * 1024
CLEAN_S = 5.0
CLEAN_BELOW = 0.04
CLEAN_SHARE = 0.03
SERVICE_S = 0.020
OVERHEAD_S = 0.002
ORACLE = route.Mode("oracle", ttft=0.01, recompute=100.0, second_copy=1.0)


@dataclasses.dataclass(frozen=True)
class Policy:
    """What is compared.

    Attributes
    ----------
    stores : bool
        Whether blocks are exported to and imported from stores.
    exact : bool
        Whether all state and the future are known without lag.
    """

    name: str
    make: collections.abc.Callable[[workload.Deployment], route.Router]
    stores: bool = False
    exact: bool = False


POLICIES = (
    Policy("snipelug", lambda d: route.LowestCost(route.MODES[d.mode]), stores=True),
    Policy("round_robin", lambda _: baseline.RoundRobin()),
    Policy("least_loaded", lambda _: baseline.LeastLoaded()),
    Policy("prefix_affinity", lambda _: baseline.PrefixAffinity()),
    Policy("oracle", lambda _: route.LowestCost(ORACLE), stores=True, exact=True),
)


@dataclasses.dataclass
class Node:
    """One entry node: its view of upstreams and its own random choices."""

    id: str
    rng: random.Random
    router: route.Router
    cfg: contract.Config
    upstreams: dict[str, table.Upstream]
    subset: subset.Subset
    backlog: prefill.PrefillBacklog
    returns: placement.ReuseEstimator
    budgets: dict[tuple[str, str], placement.TokenBucket]
    waiting: placement.ExportQueue
    watches: dict[str, link.LinkWaitEstimator]


@dataclasses.dataclass
class Outcome:
    """What was measured in one run."""

    ttft: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    orders: list[float] = dataclasses.field(default_factory=list)
    prompt_tokens: int = 0
    recomputed_tokens: int = 0
    arrived: int = 0
    answered: int = 0
    retries: int = 0
    late_in_zone: int = 0
    cold_overloads: int = 0
    read_bytes: float = 0.0
    carried_bytes: float = 0.0
    refused_exports: int = 0
    moved: int = 0
    postponed: int = 0
    uses: dict[str, loss.Use] = dataclasses.field(default_factory=dict)


class Drive:
    """One run of one policy over a list of arrivals."""

    def __init__(
        self,
        dep: workload.Deployment,
        policy: Policy,
        arrivals: list[workload.Arrival],
        duration_s: float,
        seed: int,
    ) -> None:
        self.dep = dep
        self.policy = policy
        self.arrivals = arrivals
        self.duration_s = duration_s
        self.leave_at = duration_s * 0.5
        self.back_at = duration_s * 0.7
        self.now = 0.0
        self.out = Outcome()
        self.index = index.Index(INDEX_BYTES, workload.DECAY_S)
        self.leaving: frozenset[str] = frozenset()
        self._seq = itertools.count(1)
        self._queue: list[tuple[float, int, collections.abc.Callable[[], None]]] = []
        self._order = itertools.count()
        self._seen: dict[str, workload.Arrival] = {}
        self._fates = loss.Fates()
        self._build(seed)

    def _build(self, seed: int) -> None:
        dep = self.dep
        zones = itertools.cycle(dep.zones)
        insts = [
            _inst(f"e{i}", table.Role.ENGINE, next(zones)) for i in range(dep.engines)
        ]
        zones = itertools.cycle(dep.zones)
        insts += [
            _inst(f"p{i}", table.Role.SERVICE, next(zones)) for i in range(dep.services)
        ]
        self.servers = {i.id: model.Server(i) for i in insts}
        stores = [_inst(f"s{i}", table.Role.STORE, z) for i, z in enumerate(dep.stores)]
        self.stores = {i.id: model.Store(i) for i in stores}
        self.move_budgets = self._budgets(MOVE_SHARE * model.LINK_BYTES_PER_S)
        self.nodes = [self._node(f"n{i}", seed + i) for i in range(dep.nodes)]
        self.rng = random.Random(seed + 100)

    def _node(self, name: str, seed: int) -> Node:
        own = subset.Subset(name)
        own.update({s.inst.id: s.inst.zone for s in self.servers.values()})
        rate = EXPORT_SHARE * model.LINK_BYTES_PER_S / self.dep.nodes
        budgets = self._budgets(rate)
        return Node(
            id=name,
            rng=random.Random(seed),
            router=self.policy.make(self.dep),
            cfg=workload.config(self.dep),
            upstreams={k: table.Upstream(s.inst) for k, s in self.servers.items()},
            subset=own,
            backlog=prefill.PrefillBacklog(),
            returns=placement.ReuseEstimator(),
            budgets=budgets,
            waiting=placement.ExportQueue(),
            watches={s: link.LinkWaitEstimator() for s in self.stores},
        )

    def _budgets(self, rate: float) -> dict[tuple[str, str], placement.TokenBucket]:
        """Return one bucket per store, whose link all zones share."""
        buckets = {s: placement.TokenBucket(rate, BURST_BYTES) for s in self.stores}
        return {(s, z): buckets[s] for s in self.stores for z in self.dep.zones}

    # Clock.

    def at(self, time_s: float, action: collections.abc.Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._queue, (time_s, next(self._order), action))

    def run(self) -> Outcome:
        """Run to the end of all answers."""
        for arrival in self.arrivals:
            self.at(arrival.at + self.dep.client_delay_s, self._arrive(arrival))
        for i in range(int(self.duration_s / PENDING_S)):
            self.at(i * PENDING_S, self._exchange_pending)
        ticks = int(self.duration_s / TICK_S) + 1
        for i in range(ticks):
            self.at(i * TICK_S, self._tick)
        for i in range(int(self.duration_s / CLEAN_S)):
            self.at(i * CLEAN_S, self._clean)
        for i in range(int(ANNOUNCED_S)):
            self.at(self.leave_at - ANNOUNCED_S + i, self._move)
        self.at(self.leave_at, self._leave)
        self.at(self.back_at, self._return)
        while self._queue:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        stores = self.stores.values()
        self.out.carried_bytes = sum(s.carried_bytes for s in stores)
        self.out.refused_exports = sum(s.refused for s in stores)
        return self.out

    # Periodic work.

    def _tick(self) -> None:
        made = {k: s.report(self.now) for k, s in self.servers.items()}
        asked_at = self.now
        self.at(self.now + LAG_S, lambda: self._deliver(made, asked_at))
        events = self._drain_events()
        self.at(self.now + FLUSH_S, lambda: self._apply(events))
        for node in self.nodes:
            for prompt in node.waiting.due(self.now):
                if not self._has_budget(node):
                    break
                self._place(node, prompt)

    def _exchange_pending(self) -> None:
        told = {n.id: n.backlog.pending_s() for n in self.nodes}
        self.at(self.now + PENDING_LAG_S, lambda: self._take_pending(told))

    def _take_pending(self, told: dict[str, dict[str, float]]) -> None:
        for node in self.nodes:
            for name in (*node.upstreams, *self.stores):
                sums = (p.get(name, 0.0) for n, p in told.items() if n != node.id)
                node.backlog.note_peers(name, sum(sums), self.now - PENDING_LAG_S)

    def _has_budget(self, node: Node) -> bool:
        size = model.BLOCK_BYTES
        return any(b.available(self.now) >= size for b in node.budgets.values())

    def _deliver(self, made: dict[str, table.LoadReport], asked_at: float) -> None:
        for node in self.nodes:
            for name, report in made.items():
                load.accept_report(node.upstreams[name], report, asked_at)
        for name, report in made.items():
            self.index.observe_boot(index.Source(name, report.boot_id))

    def _drain_events(self) -> list[index.BlockAdded | index.BlockDropped]:
        events: list[index.BlockAdded | index.BlockDropped] = []
        for name, server in self.servers.items():
            source = index.Source(name, server.boot_id)
            for _, added, key in server.events:
                kind = index.BlockAdded if added else index.BlockDropped
                events.append(kind(source, key, next(self._seq)))
            server.events.clear()
        for name, store in self.stores.items():
            source = index.Source(name, "b1", is_store=True)
            for added, key, generation in store.events:
                kind = index.BlockAdded if added else index.BlockDropped
                events.append(kind(source, key, next(self._seq), generation))
            store.events.clear()
        return events

    def _apply(self, events: list[index.BlockAdded | index.BlockDropped]) -> None:
        for event in events:
            self.index.apply(event, self.now)

    def _clean(self) -> None:
        if self.policy.exact or not self.policy.stores:
            return
        out = {n for n, s in self.stores.items() if s.inst.zone in self.leaving}
        for name, store in self.stores.items():
            free = 1 - len(store.blocks) / model.STORE_BLOCKS
            if free < CLEAN_BELOW:
                for copy in self.index.least_valuable(name, CLEAN_SHARE, out):
                    store.delete(copy.key)
                    self._fates.note([copy.key], loss.Cause.DELETED)

    # The zone that leaves and comes back.

    def _set_zones_out(self, node: Node, zones: frozenset[str]) -> None:
        revision = node.cfg.revision + 1
        node.cfg = dataclasses.replace(node.cfg, revision=revision, zones_out=zones)

    def _switch(self, zones: frozenset[str]) -> None:
        for node in self.nodes:
            due = self.now + self.rng.random() * CONFIG_LAG_S
            self.at(due, lambda n=node: self._set_zones_out(n, zones))

    def _leave(self) -> None:
        self.leaving = frozenset({self.dep.leaving})
        self._switch(self.leaving)

    def _return(self) -> None:
        self.leaving = frozenset()
        for server in self.servers.values():
            if server.inst.zone == self.dep.leaving:
                server.restart()
                # The nodes see their connections close.
                for node in self.nodes:
                    load.mark_connection_closed(
                        node.upstreams[server.inst.id], self.now
                    )
        self._switch(frozenset())

    def _move(self) -> None:
        """Copy blocks out of the zone that is about to leave."""
        self.leaving = frozenset({self.dep.leaving})
        if self.policy.exact or not self.policy.stores:
            return
        zone = self.dep.leaving
        engines = [s.inst.id for s in self.servers.values() if s.inst.zone == zone]
        mover = self.nodes[0]
        held = [h for h in self._held_in(zone) if h.value_s > placement.MIN_PRICE_S]
        stores = self._store_views()
        plan = placement.plan_move(
            zone, held, stores, engines, self.move_budgets, frozenset(), self.now
        )
        for step in plan:
            if isinstance(step, placement.PostponedMove):
                self.out.postponed += 1
                continue
            self.out.moved += 1
            done = self.now
            for fetch in step.imports:
                source = self.stores[fetch.copy.store]
                done = max(done, self._carry(mover, source, 1, self.now))
            store = self.stores[step.export.store]
            self._write(mover, store, step.export.keys, done)

    def _held_in(
        self, zone: str
    ) -> collections.abc.Iterator[placement.CachedConversation]:
        node = self.nodes[0]
        inside = [s for s in self.stores.values() if s.inst.zone == zone]
        for conversation, arrival in self._seen.items():
            assert arrival.chain is not None
            keys = arrival.chain.keys
            if not keys or not any(keys[0] in s.blocks for s in inside):
                continue
            found = self.index.lookup(keys, self.now, mark_used=False)
            chance = _chance(node, arrival)
            value_s = chance * block.BLOCK_TOKENS / model.PREFILL_TOKENS_PER_S
            size = model.BLOCK_BYTES
            count = len(found.stored)
            holders = tuple(e for e, n in found.memory.items() if n >= count)
            yield placement.CachedConversation(
                conversation, keys[:count], value_s, size, holders, found.stored
            )

    # Requests.

    def _arrive(self, arrival: workload.Arrival) -> collections.abc.Callable[[], None]:
        def action() -> None:
            self.out.arrived += 1
            node = self.rng.choice(self.nodes)
            if arrival.chain is not None:
                blocks = len(arrival.chain.keys)
                node.returns.observe(arrival.team, arrival.turns, blocks)
                self.out.prompt_tokens += arrival.chain.tokens
            self._dispatch(node, arrival)

        return action

    def _dispatch(self, node: Node, arrival: workload.Arrival) -> None:
        facts = self._facts(node, arrival)
        is_order = arrival.chain is None
        req = route.Request(
            id=arrival.id,
            team=arrival.team,
            wants=workload.SERVICE if is_order else workload.MODEL,
            weight_version="" if is_order else workload.WEIGHT_VERSION,
            chain=arrival.chain,
        )
        targets = {k: self._target(node, u) for k, u in node.upstreams.items()}
        made = node.router.choose(req, node.subset.select(targets), facts, node.rng)
        if isinstance(made, route.NoUpstream):
            self.out.retries += 1
            self.at(self.now + RETRY_S, lambda: self._dispatch(node, arrival))
            return
        self._send(node, arrival, made.chosen, facts)

    def _target(self, node: Node, upstream: table.Upstream) -> route.Target:
        name = upstream.instance.id
        server = self.servers[name]
        queue = load.estimate_queue(upstream)
        cold = isinstance(load.check_warmth(upstream, -math.inf), load.NeedsGrant)
        if upstream.report is None:
            cold = False
        if upstream.instance.role is table.Role.SERVICE:
            profile = SERVICE_PROFILE
            backlog_s = queue * SERVICE_S
        else:
            profile = ENGINE_PROFILE
            backlog_s = node.backlog.estimate_s(name, queue, self.now)
        if self.policy.exact:
            backlog_s = max(0.0, server.busy_until - self.now)
        made = route.make_target(upstream, profile, queue, cold, backlog_s)
        # The owner of a cold upstream grants a slot if one is free.
        has_slot = server.running < model.COLD_LIMIT
        return dataclasses.replace(made, granted=cold and has_slot)

    def _facts(self, node: Node, arrival: workload.Arrival) -> route.RoutingContext:
        delay = dict.fromkeys(self.dep.zones, self.dep.delay_s / 2)
        if not self.policy.stores or arrival.chain is None:
            return route.RoutingContext(node.cfg, delay_s=delay)
        keys = arrival.chain.keys
        if self.policy.exact:
            found = self._exact_found(keys)
        elif self.rng.random() < LOOKUP_LOSS:
            found = index.PrefixLocations()
        else:
            found = self.index.lookup(keys, self.now)
        links = {
            (s.inst.id, z): self._link(node, s, z)
            for s in self.stores.values()
            for z in self.dep.zones
            if s.inst.zone not in node.cfg.zones_out
        }
        return route.RoutingContext(node.cfg, found, delay, links, model.BLOCK_BYTES)

    def _link(self, node: Node, store: model.Store, zone: str) -> link.Link:
        delay_s = 0.0 if store.inst.zone == zone else 2 * self.dep.delay_s
        if self.policy.exact:
            wait_s = max(0.0, store.busy_until - self.now)
            return link.Link(model.LINK_BYTES_PER_S, wait_s + delay_s)
        name = store.inst.id
        delay_s += node.backlog.estimate_s(name, 0, self.now)
        return node.watches[name].link(model.LINK_BYTES_PER_S, delay_s, self.now)

    def _exact_found(self, keys: tuple[block.Key, ...]) -> index.PrefixLocations:
        engines = [s for s in self.servers.values() if s.inst.id.startswith("e")]
        memory = {s.inst.id: s.held(keys) for s in engines}
        longest = max(memory.values(), default=0)
        stored: list[tuple[index.StoredCopy, ...]] = []
        for i, key in enumerate(keys):
            copies = tuple(
                index.StoredCopy(n, "b1", s.blocks[key], "")
                for n, s in self.stores.items()
                if key in s.blocks
            )
            if not copies and i >= longest:
                break
            stored.append(copies)
        return index.PrefixLocations(memory, tuple(stored))

    def _send(
        self,
        node: Node,
        arrival: workload.Arrival,
        chosen: route.Candidate,
        facts: route.RoutingContext,
    ) -> None:
        server = self.servers[chosen.id]
        load.record_sent(node.upstreams[chosen.id], self.now)
        if server.inst.zone == self.dep.leaving:
            late = self.leave_at + 5.0 < self.now < self.back_at
            self.out.late_in_zone += late
        if server.cold_answers and server.running >= model.COLD_LIMIT:
            self.out.cold_overloads += 1
        server.running += 1
        sent_at = self.now + (0.0 if arrival.chain is None else LOOKUP_S)
        if arrival.chain is None:
            done = server.work(SERVICE_S, sent_at)
            self.at(done, lambda: self._end(node, arrival, chosen.id))
            return
        work_s = chosen.fetch_s + chosen.prefill_s
        node.backlog.sent(chosen.id, arrival.id, work_s, self.now)
        ready_at, count = self._fetch(node, arrival, chosen, facts, sent_at)
        first = chosen.memory_blocks
        imported = arrival.chain.keys[first : first + count]
        start_at = ready_at + self.dep.delay_s / 2
        self.at(start_at, lambda: self._prefill(node, arrival, chosen, imported, facts))

    def _hear(
        self, watch: link.LinkWaitEstimator, size: float, took_s: float, known_s: float
    ) -> collections.abc.Callable[[], None]:
        return lambda: watch.note(
            model.LINK_BYTES_PER_S, size, took_s, self.now, known_s
        )

    def _carry(self, node: Node, store: model.Store, count: int, now: float) -> float:
        """Use a link; return the time at which the blocks arrive."""
        name, run_id = store.inst.id, f"transfer{next(self._order)}"
        work_s = count * model.BLOCK_BYTES / model.LINK_BYTES_PER_S
        node.backlog.sent(name, run_id, work_s, self.now)
        done = store.transfer(count, now)
        self.at(done, lambda: node.backlog.ended(name, run_id, self.now))
        return done

    def _fetch(
        self,
        node: Node,
        arrival: workload.Arrival,
        chosen: route.Candidate,
        facts: route.RoutingContext,
        now: float,
    ) -> tuple[float, int]:
        """Import blocks; return when the request can start, and how many came."""
        assert arrival.chain is not None
        counts: collections.Counter[str] = collections.Counter()
        good = 0
        for fetch in route.plan_fetch(chosen, facts):
            key = arrival.chain.keys[fetch.position]
            copy = fetch.copy
            store = self.stores[copy.store]
            if store.blocks.get(key) != copy.generation:
                source = index.Source(copy.store, "b1", is_store=True)
                missed = index.BlockDropped(source, key, 0, copy.generation)
                self.index.apply(missed, self.now)
                break
            counts[copy.store] += 1
            good += 1
        done = now
        for name, count in counts.items():
            known_s = node.backlog.estimate_s(name, 0, self.now)
            arrived = self._carry(node, self.stores[name], count, now)
            done = max(done, arrived)
            size = count * model.BLOCK_BYTES
            watch = node.watches[name]
            took_s = arrived - now
            # The node hears of it when the import ends; the models know it now.
            self.at(arrived, self._hear(watch, size, took_s, known_s))
            self.out.read_bytes += count * model.BLOCK_BYTES
        compute_s = good * block.BLOCK_TOKENS / model.PREFILL_TOKENS_PER_S
        mode = ORACLE if self.policy.exact else route.MODES[self.dep.mode]
        limit_s = compute_s * (1 + mode.recompute / mode.ttft)
        if done > now + limit_s:
            return now + limit_s, 0
        return done, good

    def _prefill(
        self,
        node: Node,
        arrival: workload.Arrival,
        chosen: route.Candidate,
        imported: tuple[block.Key, ...],
        facts: route.RoutingContext,
    ) -> None:
        assert arrival.chain is not None
        name = chosen.id
        server = self.servers[name]
        server.keep(imported)
        held = server.held(arrival.chain.keys)
        if arrival.kind is workload.Kind.RETURN and self.policy.stores:
            self._note_use(arrival, held, chosen, facts)
        rest = arrival.chain.tokens - held * block.BLOCK_TOKENS
        self.out.recomputed_tokens += rest
        work_s = OVERHEAD_S + rest / model.PREFILL_TOKENS_PER_S
        done = server.work(work_s, self.now)
        self.at(done, lambda: self._first(node, arrival, name))

    def _note_use(
        self,
        arrival: workload.Arrival,
        held: int,
        chosen: route.Candidate,
        facts: route.RoutingContext,
    ) -> None:
        assert arrival.chain is not None
        inside = [s.blocks for s in self.stores.values() if s.inst.zone in self.leaving]
        outside = [
            s.blocks for s in self.stores.values() if s.inst.zone not in self.leaving
        ]
        known = self._seen[arrival.chain.conversation].chain
        assert known is not None
        keys = arrival.chain.keys[: len(known.keys)]
        causes = self._fates.explain(keys, held, chosen, facts, outside, inside)
        self.out.uses[arrival.id] = loss.Use(held, causes)

    def _first(self, node: Node, arrival: workload.Arrival, name: str) -> None:
        assert arrival.chain is not None
        self.servers[name].keep(arrival.chain.keys)
        node.backlog.first_token(name, arrival.id, self.now)
        back_s = self.dep.delay_s / 2 + self.dep.client_delay_s
        self.out.ttft.append((arrival.at, self.now + back_s - arrival.at))
        self._seen[arrival.chain.conversation] = arrival
        end = self.now + arrival.generated * model.DECODE_S
        self.at(end, lambda: self._end(node, arrival, name))
        if self.policy.exact:
            self._export_exactly(node, arrival)
        elif self.policy.stores:
            self._export(node, arrival, name)

    def _end(self, node: Node, arrival: workload.Arrival, name: str) -> None:
        server = self.servers[name]
        server.running -= 1
        server.cold_answers = max(0, server.cold_answers - 1)
        load.record_ended(node.upstreams[name], self.now)
        node.backlog.ended(name, arrival.id, self.now)
        self.out.answered += 1
        if arrival.chain is None:
            back_s = self.dep.delay_s + self.dep.client_delay_s
            self.out.orders.append(self.now + back_s - arrival.at)

    # Placement.

    def _store_views(self) -> list[placement.Store]:
        size = model.STORE_BLOCKS * model.BLOCK_BYTES
        return [
            placement.Store(
                id=n,
                zone=s.inst.zone,
                boot_id="b1",
                free_bytes=size - len(s.blocks) * model.BLOCK_BYTES,
                size_bytes=size,
            )
            for n, s in self.stores.items()
        ]

    def _export(self, node: Node, arrival: workload.Arrival, name: str) -> None:
        assert arrival.chain is not None
        chain = arrival.chain
        prompt = placement.Prompt(
            chain=chain,
            team=arrival.team,
            upstream=name,
            zone=self.servers[name].inst.zone,
            chance=_chance(node, arrival),
            block_s=block.BLOCK_TOKENS / model.PREFILL_TOKENS_PER_S,
            block_bytes=model.BLOCK_BYTES,
        )
        self.index.appraise(chain.keys, prompt.value_s, self.now)
        self._place(node, prompt)

    def _place(self, node: Node, prompt: placement.Prompt) -> None:
        held = self.servers[prompt.upstream].held(prompt.chain.keys)
        keys = prompt.chain.keys[:held]
        chain = dataclasses.replace(prompt.chain, keys=keys)
        found = self.index.lookup(keys, self.now, mark_used=False)
        prompt = dataclasses.replace(prompt, chain=chain, found=found)
        mode = route.MODES[self.dep.mode]
        stores = self._store_views()
        waits = {s: node.backlog.estimate_s(s, 0, self.now) for s in self.stores}
        placed = placement.place(
            prompt, stores, node.budgets, mode, self.leaving, self.now, waits
        )
        self._fates.note_placed(keys, placed)
        for export in placed.exports:
            self._write(node, self.stores[export.store], export.keys, self.now)
        if placement.is_retryable(placed):
            node.waiting.add(placement.with_in_transit(prompt, placed), self.now)
        else:
            node.waiting.remove(prompt)

    def _write(
        self,
        node: Node,
        store: model.Store,
        keys: tuple[block.Key, ...],
        now: float,
    ) -> None:
        done = self._carry(node, store, len(keys), now)
        self._fates.note(keys, loss.Cause.ON_THE_WAY)

        def arrive() -> None:
            for key in keys:
                store.put(key)
                self._fates.note([key], loss.Cause.REFUSED)

        self.at(done, arrive)

    def _export_exactly(self, node: Node, arrival: workload.Arrival) -> None:
        """Store exactly what returns, where it can be read at that time."""
        assert arrival.chain is not None
        if math.isinf(arrival.returns_at):
            return
        out = self.leave_at <= arrival.returns_at < self.back_at
        usable = [
            s
            for s in self.stores.values()
            if not (s.inst.zone == self.dep.leaving and (out or self.leaving))
        ]
        store = min(usable, key=lambda s: len(s.blocks))
        keys = tuple(k for k in arrival.chain.keys if k not in store.blocks)
        excess = len(store.blocks) + len(keys) - model.STORE_BLOCKS
        if excess > 0:
            self._free_exactly(store, excess)
        self._write(node, store, keys, self.now)

    def _free_exactly(self, store: model.Store, count: int) -> None:
        due = {
            key: a.returns_at
            for a in self._seen.values()
            if a.chain is not None and a.returns_at > self.now
            for key in a.chain.keys
        }
        last = sorted(store.blocks, key=lambda k: due.get(k, math.inf), reverse=True)
        for key in last[:count]:
            store.delete(key)


SERVICE_PROFILE = route.Profile(frozenset({workload.SERVICE}), slots=1_000)
ENGINE_PROFILE = route.Profile(
    frozenset({workload.MODEL}),
    slots=1_000,
    prefill_s=1 / model.PREFILL_TOKENS_PER_S,
)


def _chance(node: Node, arrival: workload.Arrival) -> float:
    assert arrival.chain is not None
    blocks = len(arrival.chain.keys)
    return node.returns.probability(arrival.team, arrival.turns, blocks)


def _inst(name: str, role: table.Role, zone: str) -> table.Instance:
    return table.Instance(name, role, "127.0.0.1", 0, zone)

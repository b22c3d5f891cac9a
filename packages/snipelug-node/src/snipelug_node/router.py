"""Chooses engines for chat requests and prepares their caches."""

import collections.abc
import dataclasses
import logging
import random
import typing

import trio

from snipelug_core import (
    block,
    contract,
    index,
    link,
    load,
    pace,
    prefill,
    refusal,
    route,
    stream,
    table,
)
from snipelug_net import lines
from snipelug_node import dispatch, sender, settings

LOG = logging.getLogger("snipelug.router")

DEFAULT_ENGINE_SLOTS = 16
"""Number of requests that an engine runs concurrently unless the settings differ."""


class Cache(typing.Protocol):
    """The block index and the transfers between engines and KV cache stores."""

    async def lookup(self, chain: block.Chain) -> index.PrefixLocations:
        """Return the known locations of a prompt's KV cache blocks."""
        ...

    def links(self) -> collections.abc.Mapping[tuple[str, str], link.Link]:
        """Return the available rate of each link, by KV cache store and zone."""
        ...

    async def fetch(
        self,
        inst: table.Instance,
        blocks: collections.abc.Sequence[route.Fetch],
        keys: collections.abc.Sequence[block.Key],
        expected_s: float,
    ) -> None:
        """Make an engine import KV cache blocks."""
        ...

    def record_response(
        self, job: dispatch.Job, choice: dispatch.Choice, found: index.PrefixLocations
    ) -> None:
        """Record a complete response; the engine now has the prompt's blocks cached."""
        ...


class Grants(typing.Protocol):
    """What routing needs to know about cold-start slots."""

    def is_granted(self, upstream_id: str, now: float) -> bool:
        """Return whether this node itself can grant a send to a cold upstream."""
        ...

    def wait_s(self, upstream: table.Upstream, now: float) -> float:
        """Return the expected wait for a slot of a warm upstream, in seconds."""
        ...


@dataclasses.dataclass
class CostRouter:
    """Chooses the engine with the lowest expected cost.

    Attributes
    ----------
    cfg : callable
        Returns the configuration in force.
    is_suspect : callable
        Returns whether a request, given its fingerprint, crashed an engine before.
    suspects_at : callable
        Returns how many requests with one crash this node runs on an upstream.
    """

    settings: settings.Settings
    tables: table.Tables
    cfg: collections.abc.Callable[[], contract.Config]
    may_send: sender.SendCheck
    cache: Cache
    grants: Grants
    is_suspect: collections.abc.Callable[[str], bool]
    suspects_at: collections.abc.Callable[[str], int]
    chooser: route.Router
    rng: random.Random
    paces: dict[str, pace.Pace] = dataclasses.field(default_factory=dict)
    backlog: prefill.PrefillBacklog = dataclasses.field(
        default_factory=prefill.PrefillBacklog
    )

    async def choose(self, job: dispatch.Job) -> dispatch.Choice | refusal.Refusal:
        """Choose an engine that is not excluded and prepare its cache."""
        cfg = self.cfg()
        targets = list(self._targets(cfg))
        outcome: route.Decision | route.NoUpstream = route.NoUpstream(())
        req = self._request(job, "", cfg)
        for version in self._weight_versions(job, targets, cfg):
            req = self._request(job, version, cfg)
            assert req.chain is not None
            found = await self.cache.lookup(req.chain)
            context = self._routing_context(cfg, found)
            outcome = self.chooser.choose(req, targets, context, self.rng)
            fields = route.record(req, self.chooser, outcome)
            lines.event(LOG, str(fields.pop("event")), **fields)
            if isinstance(outcome, route.Decision):
                return await self._prepare(req, outcome, context)
            awaiting = outcome.awaiting_grant()
            if awaiting:
                upstream = self.tables.upstreams[self.rng.choice(awaiting)]
                return dispatch.Choice(upstream, version, req.chain, found)
        message = f"no engine can run model {job.chat.body.model!r} now"
        return refusal.refuse(refusal.NO_UPSTREAM, message)

    def record_completed(
        self, job: dispatch.Job, choice: dispatch.Choice, usage: stream.Usage
    ) -> None:
        """Update the speed estimates and the cache from a complete response."""
        now = trio.current_time()
        first_at = job.first_data_at or now
        sample = pace.Sample(
            recomputed_tokens=usage.prompt_tokens - usage.cached_tokens,
            first_token_s=max(0.0, first_at - choice.sent_at),
            service_s=max(0.0, now - choice.sent_at),
        )
        pace.observe(self.pace_of(choice.upstream.instance), sample)
        self.cache.record_response(job, choice, choice.found)

    def record_sent(self, choice: dispatch.Choice, run_id: str) -> None:
        """Record that a run was sent."""
        upstream_id = choice.upstream.instance.id
        self.backlog.sent(upstream_id, run_id, choice.work_s, trio.current_time())

    def record_first_token(self, choice: dispatch.Choice, run_id: str) -> None:
        """Record the first token of a run."""
        upstream_id = choice.upstream.instance.id
        self.backlog.first_token(upstream_id, run_id, trio.current_time())

    def record_ended(self, choice: dispatch.Choice, run_id: str) -> None:
        """Record the end of a run."""
        upstream_id = choice.upstream.instance.id
        self.backlog.ended(upstream_id, run_id, trio.current_time())

    def pace_of(self, inst: table.Instance) -> pace.Pace:
        """Return the speed estimates of engines with this instance's name."""
        return self.paces.setdefault(inst.name, pace.Pace())

    def _targets(self, cfg: contract.Config) -> collections.abc.Iterator[route.Target]:
        now = trio.current_time()
        for upstream in self.tables.upstreams.values():
            inst = upstream.instance
            if inst.role is not table.Role.ENGINE:
                continue
            target = self._target(upstream, cfg, now)
            yield dataclasses.replace(
                target,
                granted=target.needs_grant and self.grants.is_granted(inst.id, now),
                suspects=self.suspects_at(inst.id),
            )

    def _target(
        self, upstream: table.Upstream, cfg: contract.Config, now: float
    ) -> route.Target:
        inst = upstream.instance
        engine_pace = self.pace_of(inst)
        served_names = frozenset({inst.name}) if inst.name else frozenset(cfg.models)
        profile = route.Profile(
            serves=served_names,
            slots=self.settings.engine_slots,
            service_s=engine_pace.service_s,
            prefill_s=engine_pace.prefill_s,
        )
        # Whether the connection is newer than the last report is checked at the send.
        verdict = self.may_send(upstream, -1.0, now)
        needs_grant = isinstance(verdict, load.NeedsGrant)
        queue = load.estimate_queue(upstream)
        backlog_s = self.backlog.estimate_s(inst.id, queue, now)
        if not needs_grant:
            backlog_s += self.grants.wait_s(upstream, now)
        target = route.make_target(upstream, profile, queue, needs_grant, backlog_s)
        is_full = upstream.in_flight >= self.settings.upstream_in_flight
        if isinstance(verdict, load.Excluded) or is_full:
            target = dataclasses.replace(target, leaving=True)
        return target

    def _weight_versions(
        self,
        job: dispatch.Job,
        targets: collections.abc.Iterable[route.Target],
        cfg: contract.Config,
    ) -> list[str]:
        if job.pinned_version:
            return [job.pinned_version]
        model = job.chat.body.model
        return route.weight_versions(targets, model, cfg.models[model].weight_version)

    def _request(
        self, job: dispatch.Job, version: str, cfg: contract.Config
    ) -> route.Request:
        body = job.chat.body
        served_model = with_version(cfg.models[body.model], version)
        secret = self.settings.key
        chain = block.chain(secret, job.contract.team, served_model, job.chat.prompt)
        return route.Request(
            id=job.request_id,
            team=job.contract.team,
            wants=body.model,
            weight_version=version,
            chain=chain,
            suspect=self.is_suspect(job.fingerprint),
            excluded=frozenset(job.excluded),
        )

    def _routing_context(
        self, cfg: contract.Config, found: index.PrefixLocations
    ) -> route.RoutingContext:
        zones = {u.instance.zone for u in self.tables.upstreams.values()}
        own_zone = self.settings.zone
        delays = {z: settings.zone_delay_s(self.settings, own_zone, z) for z in zones}
        return route.RoutingContext(
            cfg=cfg,
            found=found,
            delay_s=delays,
            links=self.cache.links(),
            block_bytes=float(self.settings.block_bytes),
        )

    async def _prepare(
        self,
        req: route.Request,
        decision: route.Decision,
        context: route.RoutingContext,
    ) -> dispatch.Choice:
        assert req.chain is not None
        upstream = self.tables.upstreams[decision.chosen.id]
        fetches = route.plan_fetch(decision.chosen, context)
        if fetches:
            expected_s = decision.chosen.fetch_s
            await self.cache.fetch(
                upstream.instance, fetches, req.chain.keys, expected_s
            )
        work_s = decision.chosen.fetch_s + decision.chosen.prefill_s
        return dispatch.Choice(
            upstream, req.weight_version, req.chain, context.found, work_s
        )


def with_version(model: contract.Model, version: str) -> contract.Model:
    """Return the model with the weight version that an engine serves."""
    return contract.Model(model.name, model.tokenizer, model.adapter, version)

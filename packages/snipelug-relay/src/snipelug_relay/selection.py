"""Selects the upstream for a request, or refuses the request with a reason."""

import collections.abc
import dataclasses
import random

import trio

from snipelug_core import catalog, choice, fleet, kv_index, overload, refusal, transfers
from snipelug_relay import clock, job, ports, state

VERSION_MARGIN_S = 1.0
"""Margin before the deployment's bound at which outdated weights are no longer chosen.

The bound applies to the moment at which an engine starts a request. One that queues
there for longer is aborted before the bound.
"""

WAIT_FRACTION = 0.25
"""Fraction of the objective that a request waits for an upstream to be available."""

RETRY_AFTER_S = 0.5
"""Retry-after time while no upstream is available."""

RETRY_ELSEWHERE_S = 0.1
"""Retry-after time if another upstream has capacity, but no retry is left."""


@dataclasses.dataclass(frozen=True)
class Turn:
    """When a request may be sent that no upstream can take now.

    Attributes
    ----------
    at : float or None
        Monotonic time in seconds; None if it is not known.
    limited : list of fleet.Upstream
        Upstreams that could take it but for the limit that they name.
    opens_at : collections.abc.Mapping
        Monotonic time from which a permit may be asked for, in seconds, by upstream.
    """

    at: float | None
    limited: list[fleet.Upstream]
    opens_at: collections.abc.Mapping[str, float]


class Selector:
    """Applies the rules of ``choice`` and ``overload`` to the state of a node."""

    def __init__(self, cfg: ports.Settings, node_state: state.State) -> None:
        self._cfg = cfg
        self._state = node_state
        self._rng = random.Random()

    async def pick(self, work: job.Job) -> choice.Choice | refusal.Refusal:
        """Choose an upstream; wait for one if it becomes available soon enough."""
        wait_until = work.started_at + WAIT_FRACTION * work.route.objective_s
        while True:
            now = clock.now()
            if now >= work.deadline:
                message = "the deadline has passed"
                return refusal.refuse(refusal.DEADLINE_UNREACHABLE, message)
            pick = self.choose(work, now)
            if pick is not None:
                return self._check_overload(work, pick, now)
            turn = self._next_turn(work, now)
            if turn.at is None or turn.at > min(wait_until, work.deadline):
                return self._refuse_unavailable(work, turn, now)
            await trio.sleep(max(0.005, turn.at - now))

    def _refuse_unavailable(
        self, work: job.Job, turn: Turn, now: float
    ) -> refusal.Refusal:
        """Refuse a request for which no upstream becomes available soon enough."""
        if turn.limited:
            work.limits = [_log_limit(upstream, turn, now) for upstream in turn.limited]
            message = f"the upstreams of {work.service} name limits that are used up"
            kind = refusal.UPSTREAM_LIMITED
        else:
            message = f"no upstream of {work.service} is available"
            kind = refusal.NO_UPSTREAM
        wait_s = self._soonest_s(work, now)
        if turn.at is not None:
            wait_s = turn.at - now if turn.limited else min(turn.at - now, wait_s)
            wait_s = max(RETRY_ELSEWHERE_S, wait_s)
        return refusal.refuse(kind, message, retry_after_s=wait_s)

    def _check_overload(
        self, work: job.Job, pick: choice.Choice, now: float
    ) -> choice.Choice | refusal.Refusal:
        """Refuse a request at once if even the best upstream would be too late.

        Streams that have started and requests that may have run are not refused.
        """
        if work.first_byte_at is not None or work.history.runs > 0:
            return pick
        wait_s = self.retry_after(work, pick)
        if wait_s is not None:
            pick = self.choose(work, now, consider_all=True) or pick
            wait_s = self.retry_after(work, pick)
        competition = self._state.fleet.competition(work.service)
        competition.record(work.priority, wait_s is not None, now)
        if wait_s is None:
            return pick
        message = (
            f"expected wait is {pick.wait_s:.2f} s on the best of "
            f"{pick.candidates} upstreams, {work.left_s():.2f} s left"
        )
        return refusal.refuse(refusal.OVERLOADED, message, retry_after_s=wait_s)

    def retry_after(self, work: job.Job, pick: choice.Choice) -> float | None:
        """Return after how many seconds to retry, or None if there is no overload."""
        now = clock.now()
        known = self._state.fleet
        if not work.request.model:
            plain_s = known.speed_model(work.service).plain_s(now)
            return overload.plain_retry_after(
                pick.wait_s, plain_s, work.left_s(), self._rng
            )
        return overload.retry_after(
            pick.wait_s,
            pick.read_s,
            work.route.objective_s,
            work.left_s(),
            known.wait_model(work.service).request_s,
            self._rng,
            known.competition(work.service).stance(work.priority, now),
        )

    def choose(
        self, work: job.Job, now: float, consider_all: bool = False
    ) -> choice.Choice | None:
        """Return the available upstream with the lowest expected cost."""
        context = self._state.context(work.service, work.priority, work.service_cfg)
        if context is None:
            return None
        if work.held_back:
            context = _hold_back(context, work.held_back)
        upstreams = self._state.fleet.of_service(work.service)
        request = self._request(work, context, now)
        return choice.choose(
            upstreams, request, context, work.tried, now, self._rng, consider_all
        )

    def candidates(
        self, work: job.Job, now: float
    ) -> tuple[list[choice.Choice], dict[str, str]]:
        """Return what each upstream of a service would cost, and why others are out.

        Returns
        -------
        list of choice.Choice
            The upstreams that may take the request, that with the lowest cost first.
        dict of str to str
            The reason by the id of each of the others.
        """
        context = self._state.context(work.service, work.priority, work.service_cfg)
        if context is None:
            return [], {}
        upstreams = self._state.fleet.of_service(work.service)
        request = self._request(work, context, now)
        excluded = {
            u.entry.id: choice.exclusion(u, request, context, (), now)
            for u in upstreams
        }
        ranked = choice.rank(upstreams, request, context, now)
        return ranked, {key: why for key, why in excluded.items() if why}

    def _request(
        self, work: job.Job, context: choice.Context, now: float
    ) -> choice.Request:
        request = work.request
        engine = context.service.engine
        if engine is None:
            return choice.Request(
                work.service,
                self._cfg.zone,
                len(request.body),
                allowed_ids=work.allowed_ids,
            )
        version = self._state.latest_version(request.model, work.service)
        fetch_s = {
            usable: self._transfer_times_s(work, usable, context, engine, now)
            for usable in self._usable_store_versions(work, version, now)
        }
        return choice.Request(
            work.service,
            self._cfg.zone,
            len(request.body),
            request.model,
            request.parts,
            version,
            self._state.least_version(request.model, now, VERSION_MARGIN_S),
            fetch_s,
            request.output_tokens,
            work.allowed_ids,
        )

    def _transfer_times_s(
        self,
        work: job.Job,
        version: int,
        context: choice.Context,
        engine: catalog.Engine,
        now: float,
    ) -> dict[str, float]:
        """Return the parts to read from stores, with the expected time in seconds."""
        if work.is_transfer_probe is None:
            is_probe = self._rng.random() < transfers.PROBE_FRACTION
            work.is_transfer_probe = is_probe
        found = self._state.index.transfers(
            work.request.parts, self.salt(work, version), engine, self._cfg.zone, now
        )
        delays = self._state.transfer_delays
        return dict(
            transfers.times_s(
                found, delays, context.compute_s, work.is_transfer_probe, now
            )
        )

    def _usable_store_versions(
        self, work: job.Job, newest: int, now: float
    ) -> collections.abc.Iterator[int]:
        """Yield the weight versions whose parts may be read from KV cache stores.

        During a rollout, engines on the old version can still fetch the old parts,
        while the others must compute them.
        """
        request = work.request
        versions = {newest}
        named = self._state.named_versions.get(request.model)
        if named is not None and self._state.may_use_stores(
            request.model, named.version - 1, now
        ):
            upstreams = self._state.fleet.of_service(work.service)
            versions |= {u.versions.get(request.model, newest) for u in upstreams}
        for version in versions if request.parts else ():
            if self._state.may_use_stores(request.model, version, now):
                yield version

    def salt(self, work: job.Job, version: int) -> str:
        """Return the cache salt for the parts of a request."""
        # Not the configuration with which the request arrived: the team may have
        # become isolated while it waited.
        known = self._state.catalog
        owner = known.owner_of(work.team) if known is not None else catalog.SHARED
        return kv_index.salt(work.request.model, version, owner)

    def _next_turn(self, work: job.Job, now: float) -> Turn:
        """Return when the next untried upstream may take the request.

        At an upstream whose rate all nodes share, callers that wait get a turn each.
        """
        opens_at = self._state.opens_at(work.service, work.priority, now)
        times = []
        closed = []
        for upstream in self._allowed(work):
            if upstream.entry.id in work.tried:
                continue
            if upstream.available_at > now:
                times.append(upstream.available_at)
            elif self._is_held_back(work, upstream, opens_at, now):
                closed.append(upstream)
        limited = [u for u in closed if u.limit_per_s is not None]
        if closed:
            first = min(closed, key=lambda upstream: opens_at[upstream.entry.id])
            key = choice.rate_key(first.entry)
            times.append(now + self._state.sharing.promise(key, now))
        return Turn(min(times, default=None), limited, opens_at)

    def _allowed(self, work: job.Job) -> collections.abc.Iterator[fleet.Upstream]:
        """Yield the upstreams whose release may take the request."""
        for upstream in self._state.fleet.of_service(work.service):
            if work.allowed_ids is None or upstream.entry.id in work.allowed_ids:
                yield upstream

    def _is_held_back(
        self,
        work: job.Job,
        upstream: fleet.Upstream,
        opens_at: collections.abc.Mapping[str, float],
        now: float,
    ) -> bool:
        """Return whether an upstream could take the request if it had a permit."""
        entry = upstream.entry
        if upstream.is_leaving or entry.zone in self._state.zones_out:
            return False
        if entry.id not in opens_at:
            return False
        return max(opens_at[entry.id], work.held_back.get(entry.id, 0.0)) > now

    def _soonest_s(self, work: job.Job, now: float) -> float:
        """Return after how many seconds a caller's next request may be accepted.

        It may go to upstreams that this request has tried.
        """
        opens_at = self._state.opens_at(work.service, work.priority, now)
        times = (
            max(upstream.available_at, opens_at.get(upstream.entry.id, 0.0))
            for upstream in self._allowed(work)
        )
        return max(RETRY_AFTER_S, min(times, default=now) - now)

    def refuse_rejected(self, work: job.Job, reason: str) -> refusal.Refusal:
        """Refuse a request that all tried upstreams rejected without running it."""
        now = clock.now()
        other = self.choose(work, now)
        has_capacity = other is not None and self.retry_after(work, other) is None
        wait_s = RETRY_ELSEWHERE_S if has_capacity else self._soonest_s(work, now)
        message = f"no upstream accepted the request: {reason}"
        return refusal.refuse(refusal.NO_UPSTREAM, message, retry_after_s=wait_s)


def _hold_back(
    context: choice.Context, held_back: collections.abc.Mapping[str, float]
) -> choice.Context:
    """Return a context in which a request asks for no permit that it was denied."""
    opens_at = dict(context.opens_at)
    for upstream_id in opens_at.keys() & held_back.keys():
        opens_at[upstream_id] = max(opens_at[upstream_id], held_back[upstream_id])
    return dataclasses.replace(context, opens_at=opens_at)


def _log_limit(upstream: fleet.Upstream, turn: Turn, now: float) -> dict[str, object]:
    """Return the log entry of a limited upstream."""
    opens_in_s = max(0.0, turn.opens_at[upstream.entry.id] - now)
    return {
        "upstream": upstream.entry.id,
        "per_s": upstream.limit_per_s,
        "opens_in_s": round(opens_in_s, 2),
    }

"""Selects the upstream for a request, or refuses the request with a reason."""

import collections.abc
import random

import trio

from snipelug_core import choice, kv_index, overload, refusal
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
            at = self._next_available_at(work, now)
            if at is None or at > min(wait_until, work.deadline):
                wait_s = self._soonest_s(work, now)
                if at is not None:
                    wait_s = max(0.1, min(at - now, wait_s))
                message = f"no upstream of {work.service} is available"
                return refusal.refuse(
                    refusal.NO_UPSTREAM, message, retry_after_s=wait_s
                )
            await trio.sleep(max(0.005, at - now))

    def _check_overload(
        self, work: job.Job, pick: choice.Choice, now: float
    ) -> choice.Choice | refusal.Refusal:
        """Refuse a prompt at once if even the best engine would respond too late.

        Streams that have started and requests that may have run are not refused.
        """
        if work.first_byte_at is not None or work.history.runs > 0:
            return pick
        wait_s = self.retry_after(work, pick)
        if wait_s is not None:
            pick = self.choose(work, now, consider_all=True) or pick
            wait_s = self.retry_after(work, pick)
        if wait_s is None:
            return pick
        message = (
            f"expected wait is {pick.wait_s:.2f} s on the best of "
            f"{pick.candidates} engines, {work.left_s():.2f} s left"
        )
        return refusal.refuse(refusal.OVERLOADED, message, retry_after_s=wait_s)

    def retry_after(self, work: job.Job, pick: choice.Choice) -> float | None:
        """Return after how many seconds to retry, or None if there is no overload."""
        if not work.request.model:
            return None
        return overload.retry_after(
            pick.wait_s,
            pick.read_s,
            work.route.objective_s,
            work.left_s(),
            self._state.fleet.wait_model(work.service).request_s,
            self._rng,
        )

    def choose(
        self, work: job.Job, now: float, consider_all: bool = False
    ) -> choice.Choice | None:
        """Return the available upstream with the lowest expected cost."""
        context = self._state.context(work.service, work.priority, work.service_cfg)
        if context is None:
            return None
        upstreams = self._state.fleet.of_service(work.service)
        request = self._request(work, context, now)
        return choice.choose(
            upstreams, request, context, work.tried, now, self._rng, consider_all
        )

    def _request(
        self, work: job.Job, context: choice.Context, now: float
    ) -> choice.Request:
        request = work.request
        engine = context.service.engine
        if engine is None:
            return choice.Request(work.service, self._cfg.zone, len(request.body))
        version = self._state.latest_version(request.model, work.service)
        fetch_s = {
            usable: self._state.index.transfer_times_s(
                request.parts, self.salt(work, usable), engine, self._cfg.zone, now
            )
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
        return kv_index.salt(work.request.model, version, work.team)

    def _next_available_at(self, work: job.Job, now: float) -> float | None:
        """Return when the next untried upstream becomes available."""
        times = [
            upstream.available_at
            for upstream in self._state.fleet.of_service(work.service)
            if upstream.entry.id not in work.tried
        ]
        return min((at for at in times if at > now), default=None)

    def _soonest_s(self, work: job.Job, now: float) -> float:
        """Return after how many seconds a caller's next request may be accepted.

        It may go to upstreams that this request has tried.
        """
        upstreams = self._state.fleet.of_service(work.service)
        soonest = min((upstream.available_at for upstream in upstreams), default=now)
        return max(RETRY_AFTER_S, soonest - now)

    def refuse_rejected(self, work: job.Job, reason: str) -> refusal.Refusal:
        """Refuse a request that all tried upstreams rejected without running it."""
        now = clock.now()
        other = self.choose(work, now)
        has_capacity = other is not None and self.retry_after(work, other) is None
        wait_s = RETRY_ELSEWHERE_S if has_capacity else self._soonest_s(work, now)
        message = f"no upstream accepted the request: {reason}"
        return refusal.refuse(refusal.NO_UPSTREAM, message, retry_after_s=wait_s)

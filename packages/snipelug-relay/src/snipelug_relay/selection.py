"""Picks the upstream for a request, or says why none should get it now."""

import collections.abc
import random

import trio

from snipelug_core import choice, kv_index, overload, refusal
from snipelug_relay import clock, job, ports, state

VERSION_MARGIN_S = 2.0
"""Old weights are given up this long before the deployment's bound.

The bound holds for the moment at which an engine begins with a request, and
requests wait there for up to 1.3 s when many engines load weights.
"""

WAIT_FRACTION = 0.25
"""Part of the objective for which a request waits for an upstream to come back."""

RETRY_AFTER_S = 0.5
"""Pause for callers while no upstream can be used."""

RETRY_ELSEWHERE_S = 0.1
"""Pause for callers while another upstream has room, but no retry is left."""


class Selector:
    """Applies the decisions of ``choice`` and ``overload`` to what a node believes."""

    def __init__(self, cfg: ports.Settings, node_state: state.State) -> None:
        self._cfg = cfg
        self._state = node_state
        self._rng = random.Random()

    async def pick(self, work: job.Job) -> choice.Choice | refusal.Refusal:
        """Choose an upstream; wait a little for one that comes back soon."""
        wait_until = work.started_at + WAIT_FRACTION * work.route.objective_s
        while True:
            now = clock.now()
            if now >= work.deadline:
                message = "the deadline passed"
                return refusal.refuse(refusal.DEADLINE_UNREACHABLE, message)
            pick = self.choose(work, now)
            if pick is not None:
                return self._check_overload(work, pick, now)
            at = self._next_available_at(work, now)
            if at is None or at > min(wait_until, work.deadline):
                wait_s = RETRY_AFTER_S if at is None else max(0.1, at - now)
                message = f"no upstream of {work.service} can be used now"
                return refusal.refuse(
                    refusal.NO_UPSTREAM, message, retry_after_s=wait_s
                )
            await trio.sleep(max(0.005, at - now))

    def _check_overload(
        self, work: job.Job, pick: choice.Choice, now: float
    ) -> choice.Choice | refusal.Refusal:
        """Turn a prompt away at once if even the best engine would answer it late.

        Streams that have begun go on, and what was sent before is not refused.
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
            f"expected wait of {pick.wait_s:.2f} s at the best of "
            f"{pick.candidates} engines, {work.left_s():.2f} s left"
        )
        return refusal.refuse(refusal.OVERLOADED, message, retry_after_s=wait_s)

    def retry_after(self, work: job.Job, pick: choice.Choice) -> float | None:
        """Return when a caller should come back, or None if it need not."""
        if not work.request.model:
            return None
        return overload.retry_after(
            pick.wait_s,
            pick.ttft_s - pick.wait_s,
            work.route.objective_s,
            work.left_s(),
            self._rng,
        )

    def choose(
        self, work: job.Job, now: float, consider_all: bool = False
    ) -> choice.Choice | None:
        """Return the upstream with the least expected cost that may be used now."""
        context = self._state.context(work.service)
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
        named = self._state.named_versions.get(request.model)
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
            named.newest_learned_before(now, self._old_version_limit_s())
            if named is not None
            else 0,
            fetch_s,
            request.output_tokens,
        )

    def _usable_store_versions(
        self, work: job.Job, newest: int, now: float
    ) -> collections.abc.Iterator[int]:
        """Yield the weight versions whose parts may be read from stores.

        While engines load new weights, those that have not yet done so can still
        fetch what the others must read.
        """
        request = work.request
        versions = {newest}
        named = self._state.named_versions.get(request.model)
        if named is not None and now - named.learned_at < kv_index.OLD_VERSION_READ_S:
            upstreams = self._state.fleet.of_service(work.service)
            versions |= {u.versions.get(request.model, newest) for u in upstreams}
        for version in versions if request.parts else ():
            if self._state.may_use_stores(request.model, version, now):
                yield version

    def _old_version_limit_s(self) -> float:
        """Return the time after which old weights are not used, in seconds."""
        return self._cfg.bounds.version_s - VERSION_MARGIN_S

    def salt(self, work: job.Job, version: int) -> str:
        """Return the name under which the parts of a request are cached."""
        return kv_index.salt(work.request.model, version, work.team)

    def _next_available_at(self, work: job.Job, now: float) -> float | None:
        """Return when the first upstream may be asked again."""
        times = [
            max(upstream.blocked_until, upstream.switching_until)
            for upstream in self._state.fleet.of_service(work.service)
            if upstream.entry.id not in work.tried
        ]
        return min((at for at in times if at > now), default=None)

    def refuse_rejected(self, work: job.Job, reason: str) -> refusal.Refusal:
        """Refuse a request that no upstream took, though none has run it."""
        other = self.choose(work, clock.now())
        has_room = other is not None and self.retry_after(work, other) is None
        wait_s = RETRY_ELSEWHERE_S if has_room else RETRY_AFTER_S
        message = f"no upstream took the request: {reason}"
        return refusal.refuse(refusal.NO_UPSTREAM, message, retry_after_s=wait_s)

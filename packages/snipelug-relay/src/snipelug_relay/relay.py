"""Relays callers' requests to upstreams: selection, attempts, retries and streams."""

import collections.abc
import contextlib
import dataclasses
import functools
import logging
import math

import trio

from snipelug_core import (
    attempt,
    catalog,
    choice,
    fleet,
    kv_index,
    refusal,
    retry,
    shared_rate,
    shutdown,
)
from snipelug_net import http_client, http_server, lines
from snipelug_relay import (
    announce,
    clock,
    crashes,
    job,
    permits,
    ports,
    record,
    releases,
    saves,
    selection,
    sse,
    state,
    stats,
    stream,
    suspects,
    transfer_delays,
)

LOG = logging.getLogger("snipelug.relay")

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_REJECTION_BYTES = 64 * 1024
FIRST_EVENT_TIMEOUT_S = 2.0
"""Timeout for the first event of a resumable stream, plus the expected wait for it.

On the routes of the deployments, callers disconnect after 3 s without a first event.
"""

ATTEMPT_TIMEOUT_OBJECTIVES = 2.0
"""Timeout of an idempotent attempt, as a multiple of the route's objective."""

AT_MOST_ONCE_MAX_IDLE_S = 1.0
"""Maximum idle time of a connection that is reused for an at-most-once request.

The upstream may close an idle connection just as the request is sent, which leaves
unknown whether the request ran.
"""

CONNECT_BACKOFF_S = 0.25
"""Backoff after the first failed connect; doubles with each further failure."""

MAX_CONNECT_BACKOFF_S = 2.0
MAX_BACKOFF_STEPS = 8
REJECTION_READ_TIMEOUT_S = 0.2
"""Timeout for reading the rest of a response that rejects a request."""

REJECTION_PAUSE_S = 0.1
SWITCHING_PAUSE_S = 0.3
"""Pauses before the next request to an upstream that rejected one.

The longer one applies to engines, which reject requests while they load weights.
"""

BEGIN_MARGIN_S = 0.25
"""Margin before the bound on outdated weights at which a queued request is aborted.

An engine notices a closed connection only after a round trip and its current step.
"""

MIN_HOLD_S = 0.01
"""Minimum time after which a request that got no permit asks for one again."""

WAITED = (attempt.Result.ANSWERED, attempt.Result.LOST)
"""Results that show how long a prompt has waited at least."""

OK = 200
CLIENT_ERROR = 400
SERVER_ERROR = 500
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that tell a caller that its request did not run and never will."""


@dataclasses.dataclass(eq=False)
class Beginning:
    """An attempt of which it is not known that the engine has begun it.

    Attributes
    ----------
    timeout_at : float
        Monotonic time at which the attempt ends in any case, in seconds.
    """

    model: str
    version: int
    timeout_at: float
    scope: trio.CancelScope = dataclasses.field(default_factory=trio.CancelScope)

    @property
    def is_cut_short(self) -> bool:
        """Whether the attempt was aborted before its timeout."""
        return self.scope.cancelled_caught and clock.now() < self.timeout_at

    def limit(self, retired_at: float) -> None:
        """Abort the attempt before a weight version must not be used any more."""
        ends_at = min(self.timeout_at, retired_at - BEGIN_MARGIN_S)
        self.scope.deadline = trio.current_time() + ends_at - clock.now()


class Relay:
    """Relays requests from callers to upstreams.

    Parameters
    ----------
    pool : http_client.Pool
        Connections to upstreams.
    dialect : ports.Dialect
        Codec for the header fields of the platform.
    detector : crashes.Detector
        Classifies attempts that were broken off.
    suspect_requests : suspects.Suspects
        Decides which requests are withheld because they may crash upstreams.
    upstream_permits : permits.Permits
        Permits for upstreams whose rate all nodes share.
    service_releases : releases.Releases
        Decides which releases of a service get a request.
    delays : transfer_delays.TransferDelays
        Records the delays of transfers from KV cache stores.
    part_saves : saves.Saves
        Obtains grants to save prompt parts to KV cache stores.
    """

    def __init__(
        self,
        cfg: ports.Settings,
        node_state: state.State,
        dialect: ports.Dialect,
        pool: http_client.Pool,
        metrics: stats.Stats,
        announcer: announce.Announcer,
        detector: crashes.Detector,
        suspect_requests: suspects.Suspects,
        upstream_permits: permits.Permits,
        service_releases: releases.Releases,
        delays: transfer_delays.TransferDelays,
        part_saves: saves.Saves,
    ) -> None:
        self._delays = delays
        self._saves = part_saves
        self._releases = service_releases
        self._announcer = announcer
        self._detector = detector
        self._suspects = suspect_requests
        self._permits = upstream_permits
        self._cfg = cfg
        self._state = node_state
        self._dialect = dialect
        self._pool = pool
        self._stats = metrics
        self._budgets: dict[str, retry.Budget] = {}
        self._selector = selection.Selector(cfg, node_state)
        self._beginning: set[Beginning] = set()
        self._open: set[job.Job] = set()
        self._response_times: dict[str, shutdown.LongestTime] = {}
        self._stop_plan: shutdown.Schedule | None = None
        self.cut_ids: list[str] = []
        self.sampler = record.Sampler()

    async def handle(self, req: http_server.Request) -> http_server.Response:
        """Handle one request."""
        request = self._dialect.decode_request(req)
        if isinstance(request, refusal.Refusal):
            lines.warning(LOG, "request_unreadable", reason=request.message)
            return self._dialect.build_refusal(None, request)
        work = self._create_job(request)
        if isinstance(work, refusal.Refusal):
            self._log_refused(request, work)
            return self._dialect.build_refusal(request, work)
        self._open.add(work)
        if self._stop_plan is not None:
            work.limit(self._stop_plan)
        try:
            with work.scope:
                return await self._run_attempts(work)
            return self._answer_at_stop(work)
        except trio.Cancelled:
            self._record_unanswered(work)
            self._finish(work, "left", "the caller closed the connection")
            raise
        except Exception as exc:
            LOG.error("request_error", extra={"id": request.request_id}, exc_info=exc)
            reason = f"unexpected error: {exc!r}"
            return self._fail(work, job.Outcome(attempt.Result.LOST, reason))

    def _record_unanswered(self, work: job.Job) -> None:
        """Count an attempt whose caller left after the objective as a failed one."""
        waited_s = clock.now() - work.started_at
        if work.history.is_under_way and waited_s > work.route.objective_s:
            self._releases.record_failure(work, str(work.trace[-1]["upstream"]))

    def request_id(self, req: http_server.Request) -> str:
        """Return the id of a request, empty if it has none."""
        request = self._dialect.decode_request(req)
        return "" if isinstance(request, refusal.Refusal) else request.request_id

    def begin_stop(self, plan: shutdown.Schedule) -> None:
        """End all requests within the times of a shutdown, open ones included."""
        self._stop_plan = plan
        self._state.sharing.leave()
        for work in self._open:
            work.limit(plan)

    def _refuse_for_stop(self, work: job.Job) -> refusal.Refusal | None:
        """Refuse a request that may not end before the node does."""
        plan = self._stop_plan
        if plan is None:
            return None
        now = clock.now()
        longest = self._response_times.get(work.route.name)
        may_send = shutdown.may_send(
            plan,
            now,
            work.route,
            work.allowed_until,
            0.0 if longest is None else longest.longest_s(now),
            work.first_byte_at is not None,
        )
        if may_send:
            return None
        message = "the node is stopping and has too little time left for the request"
        return refusal.refuse(
            refusal.NODE_STOPPING, message, retry_after_s=shutdown.RETRY_AFTER_S
        )

    def _answer_at_stop(self, work: job.Job) -> http_server.Response:
        """Answer a request that is open when the node sends its final responses."""
        if work.history.is_under_way and work.trace:
            work.trace[-1]["result"] = attempt.Result.LOST.value
        message = "the node stopped before the request was answered"
        stopping = refusal.refuse(
            refusal.NODE_STOPPING, message, retry_after_s=shutdown.RETRY_AFTER_S
        )
        return self._refuse(work, stopping)

    def _create_job(self, request: ports.CallerRequest) -> job.Job | refusal.Refusal:
        known = self._state.catalog
        if known is None or not self._state.upstream_list_known:
            message = "the node has not read its configuration"
            return refusal.refuse(refusal.NODE_NOT_CURRENT, message)
        route = known.find_route(request.host, request.path)
        if isinstance(route, refusal.Refusal):
            return route
        team = known.find_team(route, request.key)
        if isinstance(team, refusal.Refusal):
            return team
        now = clock.now()
        wait_s = min(
            math.inf if request.time_left_s is None else request.time_left_s,
            route.timeout_s,
        )
        service = known.pick_service(route, request.request_id)
        self._state.requests_received += 1
        policy = self._policy()
        if service not in self._budgets:
            self._budgets[service] = retry.Budget(policy.initial, now)
        retry.record_request(self._budgets[service], policy)
        deadline = now + wait_s
        work = job.Job(
            request,
            route,
            team,
            service,
            now,
            deadline,
            deadline,
            service_cfg=known.services.get(service),
        )
        self._releases.record_request(work)
        return work

    def _policy(self) -> retry.Policy:
        bounds = self._cfg.bounds
        return retry.node_share(
            bounds.retry_part,
            bounds.retry_extra,
            bounds.retry_window_s,
            self._state.demand_share,
        )

    async def _run_attempts(self, work: job.Job) -> http_server.Response:
        while True:
            withheld = await self._suspects.check(work)
            if withheld is None:
                withheld = self._refuse_for_stop(work)
            if withheld is not None:
                return self._refuse(work, withheld)
            chosen = await self._choose(work)
            # The request may have waited for an upstream.
            stopping = self._refuse_for_stop(work)
            if stopping is not None:
                return self._refuse(work, stopping)
            if isinstance(chosen, refusal.Refusal):
                return self._refuse(work, chosen)
            if self._suspects.is_withheld(work):
                continue
            outcome = await self._attempt(work, chosen, work.request.resume_after)
            decision = self._record_and_decide(work, outcome)
            if decision is attempt.Action.TRY_AGAIN:
                continue
            if decision is attempt.Action.DELIVER and outcome.reply is not None:
                return self._stream(work, outcome)
            if decision is attempt.Action.DELIVER and outcome.response is not None:
                is_good = outcome.response.status < SERVER_ERROR
                if outcome.response.status < CLIENT_ERROR:
                    self._suspects.record_sound(work)
                self._finish(work, "answered" if is_good else "failed", outcome.reason)
                return outcome.response
            if decision is attempt.Action.REFUSE:
                rejected = self._refuse_for_stop(work)
                if rejected is None:
                    rejected = self._selector.refuse_rejected(work, outcome.reason)
                return self._refuse(work, rejected)
            return self._fail(work, outcome)

    async def _choose(self, work: job.Job) -> choice.Choice | refusal.Refusal:
        """Choose an upstream, with a permit if its rate is shared by all nodes."""
        await self._releases.assign(work)
        while True:
            chosen = await self._selector.pick(work)
            if isinstance(chosen, refusal.Refusal):
                if self._releases.widen(work):
                    continue
                return chosen
            permit = await self._permits.acquire(chosen.upstream, work.priority)
            if isinstance(permit, shared_rate.Granted):
                work.permit_until = permit.expires_at
                return chosen
            not_before = clock.now() + MIN_HOLD_S
            work.held_back[chosen.upstream.entry.id] = max(permit.opens_at, not_before)

    def _record_and_decide(self, work: job.Job, outcome: job.Outcome) -> attempt.Action:
        self._stats.attempts.labels(work.service, outcome.result.value).inc()
        if outcome.upstream_attempt is not None:
            outcome.upstream_attempt.trace_entry["result"] = outcome.result.value
            if outcome.reason:
                outcome.upstream_attempt.trace_entry["reason"] = outcome.reason
        is_last = outcome.result is attempt.Result.ANSWERED
        may_try = not is_last and self._can_retry(work)
        # An upstream that was not connected to has received nothing, so the next
        # attempt adds no load.
        is_free = outcome.result is attempt.Result.NOT_CONNECTED
        if may_try and not is_free and not work.holds_retry:
            work.holds_retry = retry.try_acquire(
                self._budgets[work.service], clock.now(), self._policy()
            )
        has_budget = may_try and (is_free or work.holds_retry)
        return attempt.decide(
            outcome.result, work.history, work.route, work.left_s(), has_budget
        )

    def _return_retry(self, work: job.Job) -> None:
        """Put a retry that was not sent back into the budget."""
        if work.holds_retry:
            work.holds_retry = False
            retry.put_back(self._budgets[work.service], self._policy())

    def _can_retry(self, work: job.Job) -> bool:
        """Return whether a retry is possible, without spending retry budget."""
        if self._suspects.stops_retry(work) or self._refuse_for_stop(work) is not None:
            return False
        decision = attempt.decide(
            attempt.Result.LOST, work.history, work.route, work.left_s(), True
        )
        return decision is attempt.Action.TRY_AGAIN

    async def _attempt(
        self, work: job.Job, chosen: choice.Choice, resume_after: str | None
    ) -> job.Outcome:
        """Send the request once and read the response, or a stream's first events."""
        grants = await self._claim_saves(work, chosen)
        now = clock.now()
        upstream_attempt, call = self._prepare(work, chosen, resume_after, now, grants)
        upstream_attempt.start(now)
        work.sent_at = now
        counted = work.history.begin(crashes.crash_id(chosen.upstream.entry))
        waits = self._state.fleet.wait_model(work.service)
        if work.request.model:
            waits.record_sent(chosen.read_s)
        entry = chosen.upstream.entry
        shared = choice.shared_part(work.request.parts)
        upstream_attempt.on_prompt_read = self._announcer.announce_prompt(
            entry.id, upstream_attempt.prefill_tokens, shared
        )
        reply: http_client.StreamingResponse | None = None
        outcome = job.Outcome(attempt.Result.LOST, "no response in time")
        is_kept = False
        try:
            with (
                self._limit_beginning(work, chosen) as beginning,
                self._suspects.track(work, beginning.scope) as waiting,
            ):
                check = self._pre_send_check(work, chosen, counted, grants.valid_until)
                sent = await self._pool.send(call, check)
                if isinstance(sent, http_client.StreamingResponse):
                    reply = sent
                    upstream_attempt.record_data(clock.now())
                    upstream_attempt.trace_entry |= {
                        "connection": reply.connection,
                        "earlier_requests": reply.earlier_requests,
                    }
                    outcome = await self._read_response(
                        work, upstream_attempt, reply, resume_after
                    )
                else:
                    outcome = _send_failure(sent)
            counted.end(outcome.result)
            if beginning.scope.cancelled_caught and waiting.is_withheld:
                outcome = job.Outcome(attempt.Result.LOST, "aborted: suspect withheld")
                outcome.upstream_attempt = upstream_attempt
                return outcome
            if beginning.is_cut_short:
                outcome.reason = "not begun before its weights had to be retired"
            is_kept = outcome.reply is not None
        finally:
            if not is_kept:
                upstream_attempt.finish()
                if reply is not None:
                    reply.abort()
        outcome.upstream_attempt = upstream_attempt
        self._releases.record(
            work, entry, outcome.result, clock.now() - now, chosen.ttft_s
        )
        if outcome.result is attempt.Result.ANSWERED:
            self._record_speed(work, chosen, clock.now() - now)
        if work.request.model and outcome.result in WAITED:
            waited_s = clock.now() - now - chosen.read_s
            waits.record_wait(work.priority, chosen.load_wait_s, waited_s, clock.now())
            if outcome.result is attempt.Result.ANSWERED and upstream_attempt.is_long:
                self._delays.record(upstream_attempt, waited_s - chosen.wait_s)
        if (
            upstream_attempt.on_not_run is not None
            and outcome.result in attempt.NOT_RUN
        ):
            upstream_attempt.on_not_run()
        self._update_upstream(chosen.upstream, outcome)
        if outcome.is_closed:
            await self._detector.record_lost(work, entry)
        return outcome

    def _record_speed(
        self, work: job.Job, chosen: choice.Choice, response_s: float
    ) -> None:
        """Learn from the time to a response, or to the first event of a stream."""
        now = clock.now()
        speeds = self._state.fleet.speed_model(work.service)
        slowness = chosen.upstream.slow_factor
        if work.request.model:
            expected_s = chosen.ttft_s / chosen.slowness
            speeds.record_prompt(
                chosen.prefill_tokens,
                response_s / slowness.value_at(now),
                chosen.other_s / chosen.slowness,
                now,
            )
        else:
            expected_s = chosen.wait_s / chosen.slowness + speeds.plain_s(now)
            speeds.record_plain(response_s / slowness.value_at(now), now)
        if expected_s > 0:
            slowness.record_response(response_s / expected_s)

    @contextlib.contextmanager
    def _limit_beginning(
        self, work: job.Job, chosen: choice.Choice
    ) -> collections.abc.Iterator[Beginning]:
        """End an attempt at its timeout, or before its weights are retired."""
        model = work.request.model
        version = chosen.upstream.versions.get(model, 0)
        timeout_at = clock.now() + self._attempt_timeout_s(work, chosen)
        beginning = Beginning(model, version, timeout_at)
        beginning.limit(self._state.retired_at(model, version))
        self._beginning.add(beginning)
        try:
            with beginning.scope:
                yield beginning
        finally:
            self._beginning.discard(beginning)

    def apply_versions(self) -> None:
        """Limit the attempts whose weights are outdated by now."""
        for item in self._beginning:
            item.limit(self._state.retired_at(item.model, item.version))

    async def _claim_saves(self, work: job.Job, chosen: choice.Choice) -> saves.Grants:
        """Obtain grants for the saves that a prompt needs."""
        request = work.request
        version = chosen.upstream.versions.get(request.model) if request.model else None
        if version is None or not self._state.may_use_stores(
            request.model, version, clock.now()
        ):
            return saves.Grants()
        key_salt = self._selector.salt(work, version)
        return await self._saves.claim(request.parts, key_salt, work.left_s())

    def _prepare(
        self,
        work: job.Job,
        chosen: choice.Choice,
        resume_after: str | None,
        now: float,
        grants: saves.Grants,
    ) -> tuple[job.UpstreamAttempt, http_client.Call]:
        request = work.request
        upstream = chosen.upstream
        work.tried.add(upstream.entry.id)
        plan = kv_index.NO_PLAN
        source = ""
        version = upstream.versions.get(request.model) if request.model else None
        key_salt = ""
        granted: dict[str, kv_index.Saving] = {}
        if version is not None:
            key_salt = self._selector.salt(work, version)
            if key_salt == grants.key_salt:
                granted = grants.saves
            if self._state.may_use_stores(request.model, version, now):
                plan = self._state.index.plan(
                    request.parts,
                    key_salt,
                    now,
                    chosen.transfer_times_s,
                    granted,
                )
            source = _largest_source(plan, request, upstream)
            self._record_cached_parts(upstream, request)
        options = ports.AttemptOptions(
            upstream.entry.id,
            work.left_s(),
            work.team.name if work.team is not None else None,
            version,
            key_salt,
            plan,
            work.priority if request.model else None,
            resume_after,
        )
        call = self._dialect.build_call(request, options, upstream.entry.addr)
        if work.route.repeat is catalog.RepeatPolicy.AT_MOST_ONCE:
            call = dataclasses.replace(call, max_idle_s=AT_MOST_ONCE_MAX_IDLE_S)
        entry: dict[str, object] = {
            "upstream": upstream.entry.id,
            "addr": f"{upstream.entry.host}:{upstream.entry.port}",
            "at_ms": round(1000 * (now - work.started_at), 1),
            "cost_ms": round(1000 * chosen.cost_s, 1),
            "wait_ms": round(1000 * chosen.wait_s, 1),
            "load_wait_ms": round(1000 * chosen.load_wait_s, 1),
            "candidates": chosen.candidates,
            "slow": round(chosen.slowness, 2),
            "running": upstream.running,
        }
        if work.allowed_ids is not None:
            entry |= {"release": upstream.entry.release, "canary": work.is_canary}
        if version is not None:
            entry["version"] = version
            retired_at = self._state.retired_at(request.model, version)
            if not math.isinf(retired_at):
                entry["version_left_s"] = round(retired_at - now, 2)
            entry["prefill"] = chosen.prefill_tokens
            shared = choice.shared_part(request.parts)
            entry["part"] = shared.id if shared is not None else None
            entry["salt"] = key_salt
            entry["fetched"] = sum(s is not None for s in plan.sources)
            entry["saved"] = sum(s is not None for s in plan.targets)
        work.trace.append(entry)
        tokens = sum(part.tokens for part in request.parts) + request.output_tokens
        upstream_attempt = job.UpstreamAttempt(
            upstream, tokens, chosen.prefill_tokens, entry
        )
        if source:
            upstream_attempt.store = entry["store"] = source
            delay_s = self._state.transfer_delays.delay_s(source, now)
            upstream_attempt.store_delay_s = delay_s
            entry["store_delay_ms"] = round(1000 * delay_s)
        if any(plan.targets):
            upstream_attempt.on_not_run = functools.partial(
                self._cancel_saves, plan, request.parts, key_salt, grants
            )
        else:
            self._saves.release(grants)
        return upstream_attempt, call

    def _cancel_saves(
        self,
        plan: kv_index.Plan,
        parts: tuple[choice.PromptPart, ...],
        key_salt: str,
        grants: saves.Grants,
    ) -> None:
        """Cancel the saves of a request that no engine has run."""
        self._state.index.cancel_saves(plan, parts, key_salt)
        self._saves.release(grants)

    def _record_cached_parts(
        self, upstream: fleet.Upstream, request: ports.CallerRequest
    ) -> None:
        capacity = self._state.assumed_cached_tokens(upstream)
        for part in request.parts[:-1]:
            upstream.add_cached_part(part.id, part.tokens, capacity)

    def _pre_send_check(
        self,
        work: job.Job,
        chosen: choice.Choice,
        counted: attempt.Attempt,
        grants_until: float,
    ) -> http_client.PreSendCheck:
        """Return the check to run immediately before the first byte is sent."""
        entry = chosen.upstream.entry
        model = work.request.model
        version = chosen.upstream.versions.get(model, 0)

        def is_still_usable(_opened_at: float) -> bool:
            known = self._state.fleet.upstreams.get(entry.id)
            now = clock.now()
            counted.is_sent = (
                known is chosen.upstream
                and not known.is_leaving
                and now >= known.notice.paused_until
                and entry.zone not in self._state.zones_out
                and now < work.deadline
                and now < work.permit_until
                and now < grants_until
                and self._releases.may_send(work, chosen.upstream)
                and now + BEGIN_MARGIN_S < self._state.retired_at(model, version)
            )
            work.holds_retry &= not counted.is_sent
            return counted.is_sent

        return is_still_usable

    def _attempt_timeout_s(self, work: job.Job, chosen: choice.Choice) -> float:
        """Return the timeout of an attempt, in seconds.

        For streams it includes the expected time to the first token: abandoning a
        prompt that is still queued would repeat its prefill on another engine.
        """
        left_s = max(0.0, work.left_s())
        if work.history.limited_runs + 1 >= work.route.max_attempts:
            return left_s
        match work.route.repeat:
            case catalog.RepeatPolicy.IDEMPOTENT:
                return min(left_s, ATTEMPT_TIMEOUT_OBJECTIVES * work.route.objective_s)
            case catalog.RepeatPolicy.RESUMABLE:
                return min(left_s, FIRST_EVENT_TIMEOUT_S + chosen.ttft_s)
            case catalog.RepeatPolicy.AT_MOST_ONCE:
                return left_s

    async def _read_response(
        self,
        work: job.Job,
        upstream_attempt: job.UpstreamAttempt,
        reply: http_client.StreamingResponse,
        resume_after: str | None,
    ) -> job.Outcome:
        response_head = self._dialect.decode_head(
            work.request, reply.status, reply.headers
        )
        if not reply.is_identified:
            response_head = _without_statements(response_head)
        if not _is_from_upstream(reply, response_head):
            # What another process, or an earlier response, tells is no limit of this
            # process, and its silence is no end of one.
            response_head = dataclasses.replace(response_head, limit=None)
        if refusal.may_be_copy(reply.status, reply.is_identified):
            response_head = dataclasses.replace(response_head, is_turned_away=False)
        self._apply_response_head(work, upstream_attempt, response_head)
        if response_head.is_turned_away:
            # Reading the whole body allows the connection to be reused.
            await reply.read(MAX_REJECTION_BYTES, REJECTION_READ_TIMEOUT_S)
            reason = f"rejected with status {reply.status}"
            if response_head.is_other_instance:
                reason += ", wrong instance or weight version"
            return job.Outcome(attempt.Result.REJECTED, reason)
        if not response_head.is_own:
            reason = (
                f"status {reply.status} without a signature or with another request id"
            )
            if not reply.is_identified:
                reason = (
                    f"status {reply.status} without the request's id, on a connection "
                    "that has carried other requests"
                )
            return job.Outcome(attempt.Result.LOST, reason)
        is_events = work.route.is_stream and response_head.is_event_stream
        if is_events and reply.status == OK:
            return await self._read_first_event(upstream_attempt, reply, resume_after)
        body = await reply.read(MAX_RESPONSE_BYTES, max(0.0, work.left_s()))
        if not isinstance(body, bytes):
            return job.Outcome(
                attempt.Result.LOST,
                f"the response was interrupted: {body}",
                is_closed=isinstance(body, http_client.Lost) and body.is_closed,
            )
        if reply.status in NOT_RUN_STATUSES:
            reason = f"status {reply.status}, but the request may have run"
            return job.Outcome(attempt.Result.FAILED, reason)
        headers = self._dialect.response_headers(reply.headers)
        response = http_server.Response(reply.status, body, headers)
        if reply.status >= SERVER_ERROR:
            reason = f"the upstream responded with status {reply.status}"
            return job.Outcome(attempt.Result.FAILED, reason, response=response)
        work.first_byte_at = clock.now()
        return job.Outcome(attempt.Result.ANSWERED, response=response)

    async def _read_first_event(
        self,
        upstream_attempt: job.UpstreamAttempt,
        reply: http_client.StreamingResponse,
        resume_after: str | None,
    ) -> job.Outcome:
        """Read a stream up to its first complete event."""
        splitter = sse.Splitter(resume_after)
        while True:
            part = await reply.next_part()
            if isinstance(part, http_client.Lost):
                reason = f"the stream was interrupted: {part.reason}"
                return job.Outcome(attempt.Result.LOST, reason, is_closed=True)
            events = splitter.push(part or b"")
            if splitter.is_overlong:
                return job.Outcome(attempt.Result.LOST, stream.OVERLONG_EVENT)
            if part is None and (splitter.ends_in_event or not reply.is_framed):
                reason = (
                    stream.PARTIAL_EVENT if splitter.ends_in_event else stream.NO_EVENT
                )
                return job.Outcome(
                    attempt.Result.LOST, reason, is_closed=not reply.is_framed
                )
            if part is None or events:
                upstream_attempt.record_prompt_read()
                return job.Outcome(
                    attempt.Result.ANSWERED,
                    reply=reply,
                    splitter=splitter,
                    events=events,
                    has_ended=part is None,
                )

    def _apply_response_head(
        self,
        work: job.Job,
        upstream_attempt: job.UpstreamAttempt,
        response_head: ports.ResponseHead,
    ) -> None:
        upstream = upstream_attempt.upstream
        now = clock.now()
        if response_head.is_leaving:
            self._announcer.record_leaving(
                upstream, "the upstream states it in a response to a request"
            )
        if response_head.pause_s is not None:
            self._record_pause(upstream, response_head)
        if response_head.limit is not None:
            self._announcer.record_limit(
                upstream, response_head.limit, upstream_attempt.sent_at
            )
        if response_head.load is not None:
            running, waiting, _ = response_head.load
            load = fleet.LoadReport(running, waiting, upstream.running, now)
            self._state.fleet.record_load(upstream, load)
        if response_head.slowness is not None:
            upstream.slow_factor.record(response_head.slowness, now)
            upstream_attempt.trace_entry["slowness"] = response_head.slowness
        if response_head.cold_s is not None and response_head.cold_s > 0:
            upstream.cold_until = now + response_head.cold_s
        model = work.request.model
        if model and response_head.version is not None:
            upstream.set_version(model, response_head.version)
        if not response_head.is_other_instance:
            upstream.misdirected = 0
        if not response_head.is_turned_away:
            return
        if response_head.is_other_instance:
            self._apply_mismatch(upstream, model, now)
        elif model:
            upstream.switching_until = now + SWITCHING_PAUSE_S
        else:
            upstream.blocked_until = now + REJECTION_PAUSE_S

    def _record_pause(
        self, upstream: fleet.Upstream, response_head: ports.ResponseHead
    ) -> None:
        """Record that the upstream asked this node to send nothing for a time."""
        assert response_head.pause_s is not None
        now = clock.now()
        if self._state.fleet.record_pause(upstream, response_head.pause_s, now):
            run = "did not run" if response_head.is_turned_away else "may have run"
            lines.event(
                LOG,
                "upstream_paused",
                upstream=upstream.entry.id,
                service=upstream.entry.service,
                for_s=round(upstream.notice.paused_until - now, 2),
                reason=f"requested in a response to a request that {run}",
            )

    def _apply_mismatch(self, upstream: fleet.Upstream, model: str, now: float) -> None:
        """Record that an entry's address serves another process or weight version.

        An entry whose process is gone may stay listed for seconds. Each request to it
        reaches the process that uses its address now.
        """
        named = self._state.named_versions.get(model) if model else None
        if named is not None and upstream.versions.get(model, 0) < named.version:
            upstream.set_version(model, named.version)
            return
        first_s = SWITCHING_PAUSE_S if model else CONNECT_BACKOFF_S
        pause_s = min(MAX_CONNECT_BACKOFF_S, first_s * 2**upstream.misdirected)
        upstream.misdirected = min(upstream.misdirected + 1, MAX_BACKOFF_STEPS)
        if model:
            upstream.switching_until = now + pause_s
        else:
            upstream.blocked_until = now + pause_s

    def _update_upstream(self, upstream: fleet.Upstream, outcome: job.Outcome) -> None:
        now = clock.now()
        if outcome.result is attempt.Result.NOT_CONNECTED and outcome.is_withheld:
            return
        if outcome.result is attempt.Result.NOT_CONNECTED:
            pause_s = min(
                MAX_CONNECT_BACKOFF_S, CONNECT_BACKOFF_S * 2**upstream.connect_failures
            )
            upstream.blocked_until = now + pause_s
            upstream.connect_failures += 1
            lines.event(
                LOG,
                "upstream_blocked",
                upstream=upstream.entry.id,
                for_s=pause_s,
                failures=upstream.connect_failures,
                reason=outcome.reason,
            )
        elif outcome.result is not attempt.Result.REJECTED:
            upstream.record_outcome(outcome.result is attempt.Result.LOST, now)

    def _stream(self, work: job.Job, outcome: job.Outcome) -> http_server.Response:
        assert outcome.reply is not None
        work.first_byte_at = clock.now()
        headers = self._dialect.response_headers(outcome.reply.headers)
        body = stream.Stream(self, work, outcome)
        return http_server.Response(outcome.reply.status, body, headers)

    async def resume(self, work: job.Job, lost: job.Outcome) -> job.Outcome | None:
        """Resume a stream on another upstream; return None if that is not possible."""
        assert lost.splitter is not None
        last_id = lost.splitter.last_id
        while True:
            await self._find_ended(work, lost)
            if self._record_and_decide(work, lost) is not attempt.Action.TRY_AGAIN:
                return None
            if self._refuse_for_stop(work) is not None:
                return None
            chosen = await self._choose(work)
            if isinstance(chosen, refusal.Refusal) or self._suspects.is_withheld(work):
                self._return_retry(work)
                return None
            try:
                outcome = await self._attempt(work, chosen, last_id)
            except trio.Cancelled:
                work.trace[-1]["reason"] = "cancelled: the previous upstream went on"
                raise
            if outcome.reply is None:
                lost = outcome
                if outcome.response is not None:
                    reason = f"no events but status {outcome.response.status}"
                    lost = dataclasses.replace(
                        outcome, result=attempt.Result.LOST, reason=reason
                    )
                continue
            if sse.follows(last_id, outcome.events):
                trace_entry = (
                    outcome.upstream_attempt.trace_entry
                    if outcome.upstream_attempt
                    else {}
                )
                trace_entry["resumed_after"] = last_id
                return outcome
            outcome.reply.abort()
            if outcome.upstream_attempt is not None:
                outcome.upstream_attempt.finish()
            reason = "the resumed stream does not continue after the last event"
            lost = job.Outcome(attempt.Result.LOST, reason, outcome.upstream_attempt)

    async def _find_ended(self, work: job.Job, lost: job.Outcome) -> None:
        """Find out which upstreams of a stream have ended, if its limit is reached."""
        if work.history.limited_runs < work.route.max_attempts:
            return
        if lost.is_closed and lost.upstream_attempt is not None:
            await self._detector.classify(lost.upstream_attempt.upstream.entry)
        for item in work.history.attempts:
            item.has_ended_upstream |= self._detector.has_crashed(item.process)

    def _refuse(self, work: job.Job, reason: refusal.Refusal) -> http_server.Response:
        """Refuse a request that has not run; fail one that may have run."""
        if work.may_have_run:
            return self._fail(work, job.Outcome(attempt.Result.LOST, reason.message))
        self._finish(work, "refused", reason.message, reason.kind.code)
        return self._dialect.build_refusal(work.request, reason)

    def _fail(self, work: job.Job, outcome: job.Outcome) -> http_server.Response:
        is_late = work.left_s() <= attempt.MIN_REMAINING_S
        kind = refusal.UPSTREAM_TIMEOUT if is_late else refusal.UPSTREAM_LOST
        plan = self._stop_plan
        if plan is not None and _has_come(plan.answers_at) and work.is_shortened:
            kind = refusal.NODE_STOPPED
        self._finish(work, "failed", outcome.reason, kind.code)
        reason = refusal.refuse(kind, outcome.reason, refusal.RunState.UNKNOWN)
        return self._dialect.build_refusal(work.request, reason)

    def _log_refused(
        self, request: ports.CallerRequest, reason: refusal.Refusal
    ) -> None:
        known = self._state.catalog
        self._stats.requests.labels("", "refused", reason.kind.code).inc()
        lines.warning(
            LOG,
            "request",
            id=request.request_id,
            outcome="refused",
            code=reason.kind.code,
            reason=reason.message,
            host=request.host,
            path=request.path,
            config=known.version if known is not None else None,
        )

    def _finish(self, work: job.Job, outcome: str, reason: str, code: str = "") -> None:
        """Log and count the end of a request; further calls have no effect."""
        self._return_retry(work)
        if work.is_finished:
            return
        work.is_finished = True
        self._open.discard(work)
        now = clock.now()
        if outcome in ("left", "broken") and self._is_cut(work):
            outcome, reason = "cut", "the node stopped within the response"
            self.cut_ids.append(work.request.request_id)
        if outcome == "answered" and not work.route.is_stream:
            times = self._response_times.setdefault(
                work.route.name, shutdown.LongestTime()
            )
            times.record(now - work.started_at, now)
        self._stats.requests.labels(work.route.name, outcome, code).inc()
        first_s = (
            None if work.first_byte_at is None else work.first_byte_at - work.started_at
        )
        if first_s is not None:
            self._stats.first_byte.labels(work.route.name).observe(first_s)
        self._stats.request_seconds.labels(work.route.name).observe(
            now - work.started_at
        )
        is_routine = (
            outcome == "answered"
            and len(work.trace) == 1
            and first_s is not None
            and first_s <= work.route.objective_s
        )
        if is_routine and not self.sampler.admit():
            return
        known = self._state.catalog
        fields: dict[str, object] = {
            "id": work.request.request_id,
            "route": work.route.name,
            "team": work.team.name if work.team is not None else None,
            "outcome": outcome,
            "reason": reason,
            "code": code,
            "first_ms": None if first_s is None else round(1000 * first_s, 1),
            "ms": round(1000 * (now - work.started_at), 1),
            "allowed_ms": round(1000 * (work.allowed_until - work.started_at)),
            "attempts": work.trace,
            "config": known.version if known is not None else None,
            "config_age_s": round(now - self._state.confirmed_at, 2),
        }
        if work.limits:
            fields["limits"] = work.limits
        left_out = self.sampler.pop_left_out()
        if left_out:
            fields["left_out"] = left_out
        lines.event(LOG, "request", **fields)

    def _is_cut(self, work: job.Job) -> bool:
        """Return whether the end of the node has ended a response."""
        plan = self._stop_plan
        return plan is not None and work.is_shortened and _has_come(plan.cut_at)

    def record_broken(self, work: job.Job, outcome: job.Outcome) -> None:
        """Record that the upstream of a stream closed the connection within it."""
        work.was_broken = True
        if outcome.upstream_attempt is not None:
            entry = outcome.upstream_attempt.upstream.entry
            sent_at = outcome.upstream_attempt.sent_at
            self._releases.record_failure(work, entry.id)
            self._detector.record_broken(work, entry, sent_at)

    def finish_stream(self, work: job.Job, outcome: str, reason: str) -> None:
        """Log and count the end of a stream; further calls have no effect."""
        if outcome == "answered" and not work.is_finished and work.is_one_run:
            self._suspects.record_sound(work)
        self._finish(work, outcome, reason)


def _largest_source(
    plan: kv_index.Plan, request: ports.CallerRequest, upstream: fleet.Upstream
) -> str:
    """Return the store from which an engine reads the largest part; empty if none.

    Small parts tell little of a store, and an engine reads none that it has cached.
    """
    sources = [
        (source.tokens, source.store.name)
        for part, source in zip(request.parts, plan.sources, strict=False)
        if source is not None and part.id not in upstream.cached_parts
    ]
    tokens, store = max(sources, default=(0, ""))
    return store if tokens >= kv_index.SMALL_PART_TOKENS else ""


def _is_from_upstream(
    reply: http_client.StreamingResponse, response_head: ports.ResponseHead
) -> bool:
    """Return whether the expected process has responded to this request."""
    return (
        reply.is_identified
        and not response_head.is_other_instance
        and (response_head.is_own or response_head.is_turned_away)
    )


def _without_statements(response_head: ports.ResponseHead) -> ports.ResponseHead:
    """Return a head without what it tells about the upstream.

    What the copy of an earlier response tells may be outdated.
    """
    return dataclasses.replace(
        response_head,
        load=None,
        slowness=None,
        version=None,
        cold_s=None,
        is_leaving=False,
        pause_s=None,
    )


def _has_come(at: float) -> bool:
    """Return whether a time of a shutdown has come, or comes within an attempt."""
    return clock.now() >= at - attempt.MIN_REMAINING_S


def _send_failure(
    sent: http_client.NotSent | http_client.Withheld | http_client.Lost,
) -> job.Outcome:
    match sent:
        case http_client.NotSent(reason):
            return job.Outcome(attempt.Result.NOT_CONNECTED, reason)
        case http_client.Withheld():
            reason = "the upstream became unusable before the request was sent"
            return job.Outcome(attempt.Result.NOT_CONNECTED, reason, is_withheld=True)
        case http_client.Lost(reason, is_closed):
            return job.Outcome(attempt.Result.LOST, reason, is_closed=is_closed)

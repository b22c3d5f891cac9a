"""HTTP interface for callers."""

import collections.abc
import dataclasses
import http
import logging
import math
import typing
import urllib.parse
import uuid

import msgspec
import trio

from snipelug_core import claim, contract, load, quarantine, refusal, stream, table
from snipelug_net import http_client, http_server, lines
from snipelug_node import (
    chat,
    dispatch,
    engine,
    limiter,
    metrics,
    order,
    sender,
    service,
)

LOG = logging.getLogger("snipelug.gateway")

CHAT_PATH = "/v1/chat/completions"
MAX_KEY_CHARS = 255
DEFAULT_COMPLETION_TOKENS = 256
SERVICE_CALL_TOKENS = 1
"""Tokens that a plain service call counts as under a team's limits."""

BEARER_PREFIX = "bearer "

ACTIVITY_WINDOW_S = 2.0
"""Time after a call in which the node counts as active, in seconds."""

RESEND_WINDOW_S = 5.0
"""Time in seconds in which a keyed chat call may be sent again after an engine declined
it."""


class Revisions(typing.Protocol):
    """The configuration in force."""

    @property
    def cfg(self) -> contract.Config:
        """The newest known configuration."""
        ...

    def is_current(self, now: float) -> bool:
        """Return whether no other node can have a newer revision in force."""
        ...


@dataclasses.dataclass(frozen=True)
class OpenRequest:
    """A request that is waiting or running."""

    request: str
    team: str
    path: str


@dataclasses.dataclass
class Gateway:
    """Handles the requests of callers.

    Attributes
    ----------
    key : bytes
        Secret key of the deployment.
    stopping : bool
        Whether a planned stop has begun; new requests are refused.
    open_requests : dict
        Waiting and running requests, by request id.
    last_call_at : float
        Monotonic time of the last call, in seconds.
    """

    node_id: str
    key: bytes
    revisions: Revisions
    tables: table.Tables
    pool: http_client.Pool
    dispatcher: dispatch.Dispatcher
    limits: limiter.Limiter
    keyed_calls: order.KeyedCalls
    metrics: metrics.Metrics
    stopping: bool = False
    open_requests: dict[str, OpenRequest] = dataclasses.field(default_factory=dict)
    last_call_at: float = -math.inf

    async def handle(self, req: http_server.Request) -> http_server.Response:
        """Handle one request."""
        if req.path == "/healthz":
            return http_server.json_response(http.HTTPStatus.OK, {"alive": True})
        if req.path == "/readyz":
            return self._readiness()
        self.last_call_at = trio.current_time()
        caller = self._authenticate(req)
        if isinstance(caller, refusal.Refusal):
            return self._refusal_response(caller, req.path)
        if req.path == CHAT_PATH:
            response = await self._chat(req, caller)
        elif req.path.startswith(service.PREFIX):
            response = await self._service(req, caller)
        else:
            message = f"path {req.path!r} does not exist"
            response = refusal.refuse(refusal.NOT_FOUND, message)
        if isinstance(response, refusal.Refusal):
            return self._refusal_response(response, req.path)
        return response

    def is_active(self, now: float) -> bool:
        """Return whether a request is open or arrived recently."""
        return bool(self.open_requests) or now - self.last_call_at < ACTIVITY_WINDOW_S

    def unready_reason(self) -> refusal.Refusal | None:
        """Return why this node accepts no new requests, or None if it does."""
        if self.stopping:
            message = "this node is stopping"
            return refusal.refuse(refusal.NODE_STOPPING, message)
        if not self.revisions.is_current(trio.current_time()):
            message = "this node cannot prove that its configuration is current"
            return refusal.refuse(refusal.NODE_NOT_CURRENT, message)
        return None

    def _readiness(self) -> http_server.Response:
        reason = self.unready_reason()
        if reason is not None:
            return self._refusal_response(reason, "/readyz")
        content = {"ready": True, "revision": self.revisions.cfg.revision}
        return http_server.json_response(http.HTTPStatus.OK, content)

    def _authenticate(
        self, req: http_server.Request
    ) -> contract.Contract | refusal.Refusal:
        unready = self.unready_reason()
        if unready is not None:
            return unready
        header = req.headers.get("authorization", "")
        if not header.lower().startswith(BEARER_PREFIX):
            message = "the request has no bearer key"
            return refusal.refuse(refusal.UNAUTHENTICATED, message)
        matched = contract.find_contract(
            self.revisions.cfg, header[len(BEARER_PREFIX) :].strip()
        )
        if matched is None:
            message = "the bearer key belongs to no contract"
            return refusal.refuse(refusal.UNAUTHENTICATED, message)
        return matched

    def _refusal_response(
        self, refused: refusal.Refusal, path: str
    ) -> http_server.Response:
        headers: dict[str, str] = {}
        if refused.retry_after_s is not None:
            headers["retry-after"] = str(max(1, round(refused.retry_after_s)))
        if path != "/readyz":
            self.metrics.incr(f"refused.{refused.kind.code}")
            lines.event(
                LOG,
                "refused",
                path=path,
                code=refused.kind.code,
                run_state=refused.run_state.value,
                reason=refused.message,
            )
        return http_server.json_response(
            refused.kind.status, refused.content(), headers
        )

    # Chat completions

    async def _chat(
        self, req: http_server.Request, team: contract.Contract
    ) -> http_server.Response | refusal.Refusal:
        if req.method != "POST":
            message = f"method {req.method} is not allowed here"
            return refusal.refuse(refusal.BAD_REQUEST, message)
        parsed = chat.parse(req.body)
        if isinstance(parsed, refusal.Refusal):
            return parsed
        denied = check_model(parsed, team, self.revisions.cfg)
        if denied is not None:
            return denied
        key = idempotency_key(req)
        if isinstance(key, refusal.Refusal):
            return key
        now = trio.current_time()
        request_id = uuid.uuid4().hex
        job = dispatch.Job(
            request_id=request_id,
            contract=team,
            chat=parsed,
            fingerprint=quarantine.fingerprint(self.key, team.team, req.body),
            started_at=now,
            deadline=now + team.deadline_s,
            response=stream.Response(request_id),
            at_most_once=bool(key),
        )
        cost = parsed.prompt_tokens + (
            parsed.body.max_tokens or DEFAULT_COMPLETION_TOKENS
        )
        open_request = OpenRequest(request_id, team.team, req.path)
        permit = await self._acquire_permit(open_request, team, cost, job.deadline)
        if isinstance(permit, refusal.Refusal):
            return permit
        release_request = self._release_callback(open_request, permit, job)
        if key:
            try:
                return await self._chat_keyed(job, key, req.body)
            finally:
                release_request()
        return await self._chat_unkeyed(job, release_request)

    async def _acquire_permit(
        self,
        open_request: OpenRequest,
        team: contract.Contract,
        cost: float,
        deadline: float,
    ) -> limiter.Permit | refusal.Refusal:
        """Add an open request and wait until its team's limits permit it to run."""
        self.open_requests[open_request.request] = open_request
        permit: limiter.Permit | refusal.Refusal | None = None
        try:
            permit = await self.limits.acquire(team, cost, deadline)
            return permit
        finally:
            if not isinstance(permit, limiter.Permit):
                del self.open_requests[open_request.request]

    def _release_callback(
        self,
        open_request: OpenRequest,
        permit: limiter.Permit,
        job: dispatch.Job | None = None,
    ) -> collections.abc.Callable[[], None]:
        """Return a function that closes a request and releases its permit once."""

        def release_request() -> None:
            if self.open_requests.pop(open_request.request, None) is not None:
                permit.release(job.used_tokens if job is not None else None)

        return release_request

    async def _chat_unkeyed(
        self, job: dispatch.Job, release_request: collections.abc.Callable[[], None]
    ) -> http_server.Response | refusal.Refusal:
        is_handed_over = False
        try:
            if not job.chat.body.stream:
                complete = await self.dispatcher.collect(job)
                if isinstance(complete, refusal.Refusal):
                    return complete
                return self._json_response(job, complete)
            exchange = await self.dispatcher.open(job)
            if isinstance(exchange, refusal.Refusal):
                return exchange
            headers = self._headers(job)
            headers["content-type"] = "text/event-stream"
            headers["cache-control"] = "no-store"
            headers["x-snipelug-upstream"] = exchange.choice.upstream.instance.id
            is_handed_over = True
            body = StreamBody(self.dispatcher, job, exchange, release_request)
            return http_server.Response(http.HTTPStatus.OK, body, headers)
        finally:
            if not is_handed_over:
                release_request()

    def _headers(self, job: dispatch.Job) -> dict[str, str]:
        return {"x-request-id": job.request_id, "x-snipelug-node": self.node_id}

    def _json_response(
        self, job: dispatch.Job, complete: engine.CompleteResponse
    ) -> http_server.Response:
        headers = self._headers(job)
        headers["x-snipelug-upstream"] = complete.upstream_id
        return http_server.json_response(http.HTTPStatus.OK, complete.content, headers)

    async def _chat_keyed(
        self, job: dispatch.Job, key: str, request_body: bytes
    ) -> http_server.Response | refusal.Refusal:
        """Run a chat request at most once; its response is stored as JSON."""
        is_streamed = job.chat.body.stream
        job.chat.body.stream = False

        async def send(
            claim_check: http_client.PreSendCheck, _send_by: float
        ) -> order.SendOutcome:
            job.claim_check = allow_resend(claim_check)
            complete = await self.dispatcher.collect(job)
            if isinstance(complete, refusal.Refusal):
                return (
                    claim.OutcomeUnknown(complete)
                    if job.may_have_run
                    else claim.NotSent(complete)
                )
            body = msgspec.json.encode(complete.content)
            headers = {
                "content-type": "application/json",
                "x-snipelug-upstream": complete.upstream_id,
            }
            return claim.Delivered(claim.Response(http.HTTPStatus.OK, headers, body))

        response = await self.keyed_calls.run(
            job.contract.team, key, "POST", CHAT_PATH, request_body, send, job.deadline
        )
        if isinstance(response, refusal.Refusal):
            return response
        headers = self._headers(job) | response.headers
        if not is_streamed:
            return http_server.Response(response.status, response.body, headers)
        headers["content-type"] = "text/event-stream"
        return http_server.Response(
            response.status, engine.to_events(response.body), headers
        )

    # Plain services

    async def _service(
        self, req: http_server.Request, team: contract.Contract
    ) -> http_server.Response | refusal.Refusal:
        target = service.parse_path(req.path)
        if isinstance(target, refusal.Refusal):
            return target
        if target.name not in team.services:
            message = f"the contract does not include service {target.name!r}"
            return refusal.refuse(refusal.FORBIDDEN, message)
        key = idempotency_key(req)
        if isinstance(key, refusal.Refusal):
            return key
        if not key and service.requires_key(target, req.method, team.require_key):
            message = f"{req.method} {req.path} needs an Idempotency-Key"
            return refusal.refuse(refusal.KEY_REQUIRED, message)
        call = ServiceCall(
            req, target, uuid.uuid4().hex, trio.current_time() + team.deadline_s
        )
        open_request = OpenRequest(call.request_id, team.team, req.path)
        permit = await self._acquire_permit(
            open_request, team, SERVICE_CALL_TOKENS, call.deadline
        )
        if isinstance(permit, refusal.Refusal):
            return permit
        release_request = self._release_callback(open_request, permit)
        try:
            response = await self._run_service(call, team, key)
        finally:
            release_request()
        if isinstance(response, refusal.Refusal):
            return response
        headers = dict(response.headers)
        headers["x-request-id"] = call.request_id
        headers["x-snipelug-node"] = self.node_id
        return http_server.Response(response.status, response.body, headers)

    async def _run_service(
        self, call: "ServiceCall", team: contract.Contract, key: str
    ) -> order.Response | refusal.Refusal:
        may_resend = call.req.method in service.IDEMPOTENT_METHODS
        if not key:
            sent = await self._send_service(call, None, may_resend, call.deadline)
            if isinstance(sent, claim.Delivered):
                response = sent.answer
                return order.Response(response.status, response.headers, response.body)
            return sent.refusal

        async def send(
            claim_check: http_client.PreSendCheck, send_by: float
        ) -> order.SendOutcome:
            return await self._send_service(call, claim_check, False, send_by)

        req = call.req
        target = req.path + "?" + urllib.parse.urlencode(req.query)
        return await self.keyed_calls.run(
            team.team, key, req.method, target, req.body, send, call.deadline
        )

    async def _send_service(
        self,
        call: "ServiceCall",
        claim_check: http_client.PreSendCheck | None,
        may_resend: bool,
        send_by: float,
    ) -> order.SendOutcome:
        """Send a call to the service's instances in turn until one accepts it."""
        refused = refusal.refuse(
            refusal.NO_UPSTREAM, f"no instance of service {call.target.name!r} is up"
        )
        was_sent = False
        excluded: set[str] = set()
        for _ in range(dispatch.MAX_SENDS):
            upstream = self._choose_instance(call.target.name, excluded)
            if upstream is None or trio.current_time() >= send_by:
                break
            # Attempts before the first byte was sent consume no retry budget.
            if not self._allow_attempt(upstream, is_retry=was_sent):
                break
            excluded.add(upstream.instance.id)
            outcome = await self._send_to_instance(call, upstream, claim_check, send_by)
            match outcome:
                case http_client.FullResponse(status, headers, body):
                    kept_headers = service.response_headers(headers)
                    kept_headers["x-snipelug-upstream"] = upstream.instance.id
                    return claim.Delivered(claim.Response(status, kept_headers, body))
                case http_client.NotSent(reason):
                    load.mark_connection_closed(upstream, trio.current_time())
                    refused = refusal.refuse(refusal.NO_UPSTREAM, reason)
                case sender.Blocked(blocked):
                    refused = blocked
                case http_client.Lost() | http_client.TooLarge():
                    was_sent = True
                    load.mark_connection_closed(upstream, trio.current_time())
                    text = f"the service's response was lost: {outcome}"
                    refused = refusal.refuse(
                        refusal.UPSTREAM_LOST, text, refusal.RunState.UNKNOWN
                    )
                    if not may_resend:
                        break
        if not was_sent:
            return claim.NotSent(refused)
        # The last attempt may have sent nothing although an earlier one did.
        unknown = refusal.RunState.UNKNOWN
        return claim.OutcomeUnknown(dataclasses.replace(refused, run_state=unknown))

    def _allow_attempt(self, upstream: table.Upstream, is_retry: bool) -> bool:
        budget = self.dispatcher.budget
        now = trio.current_time()
        if is_retry:
            return budget.try_acquire(upstream.instance.id, now)
        budget.record_request(upstream.instance.id, now)
        return True

    def _choose_instance(self, name: str, excluded: set[str]) -> table.Upstream | None:
        now = trio.current_time()
        candidates = [
            upstream
            for upstream in self.tables.upstreams.values()
            if upstream.instance.role is table.Role.SERVICE
            and upstream.instance.name == name
            and upstream.instance.id not in excluded
            and not isinstance(
                self.dispatcher.sender.may_send(upstream, now, now), load.Excluded
            )
        ]
        if not candidates:
            return None
        return min(candidates, key=lambda u: (load.estimate_queue(u), u.instance.id))

    async def _send_to_instance(
        self,
        call: "ServiceCall",
        upstream: table.Upstream,
        claim_check: http_client.PreSendCheck | None,
        send_by: float,
    ) -> (
        http_client.FullResponse
        | http_client.NotSent
        | http_client.Lost
        | http_client.TooLarge
        | sender.Blocked
    ):
        remaining_s = max(0.0, call.deadline - trio.current_time())
        wire = service.build_call(
            upstream.instance, call.target, call.req, call.request_id, remaining_s
        )
        sent = await self.dispatcher.sender.send(upstream, wire, send_by, claim_check)
        if not isinstance(sent, sender.Opened):
            return sent
        try:
            body = await sent.reply.read(service.MAX_RESPONSE_BYTES, remaining_s)
        finally:
            sent.permit.release(sent.reply.has_ended)
            with trio.CancelScope(shield=True):
                await sent.reply.aclose()
        if not isinstance(body, bytes):
            return body
        return http_client.FullResponse(sent.reply.status, sent.reply.headers, body)


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """A call to a plain service."""

    req: http_server.Request
    target: service.Target
    request_id: str
    deadline: float


class StreamBody:
    """The body of a streamed response; closing it ends the run even if never sent."""

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        job: dispatch.Job,
        exchange: dispatch.Exchange,
        release_request: collections.abc.Callable[[], None],
    ) -> None:
        self._dispatcher = dispatcher
        self._job = job
        self._exchange = exchange
        self._release_request = release_request

    async def send_to(self, writer: http_server.BodyWriter) -> None:
        """Relay the response."""
        await self._dispatcher.relay(self._job, self._exchange, writer)

    async def aclose(self) -> None:
        """End the run."""
        try:
            await self._exchange.aclose()
        finally:
            self._release_request()


def allow_resend(claim_check: http_client.PreSendCheck) -> http_client.PreSendCheck:
    """Return a check that permits resends for a short time after the first send.

    The dispatcher resends a keyed call only after an engine responded that it did
    not run the call; the claim's own check succeeds only once.
    """
    first_permitted_at: float | None = None

    def check(conn_opened_at: float) -> bool:
        nonlocal first_permitted_at
        now = trio.current_time()
        if first_permitted_at is not None:
            return now - first_permitted_at < RESEND_WINDOW_S
        if not claim_check(conn_opened_at):
            return False
        first_permitted_at = now
        return True

    return check


def report_finished(
    target: metrics.Metrics,
    job: dispatch.Job,
    choice: dispatch.Choice,
    usage: stream.Usage,
) -> None:
    """Log a complete response and update the metrics."""
    now = trio.current_time()
    first_at = job.first_data_at or now
    ttft_ms = (first_at - job.started_at) * 1000
    target.incr("chat.finished")
    target.timing("chat.first_token_ms", ttft_ms)
    target.incr("chat.prompt_tokens", usage.prompt_tokens)
    target.incr("chat.cached_tokens", usage.cached_tokens)
    target.incr("chat.completion_tokens", usage.completion_tokens)
    lines.event(
        LOG,
        "chat_finished",
        request=job.request_id,
        team=job.contract.team,
        model=job.chat.body.model,
        upstream=choice.upstream.instance.id,
        attempts=job.response.attempt,
        ttft_ms=round(ttft_ms, 1),
        elapsed_ms=round((now - job.started_at) * 1000, 1),
        prompt_tokens=usage.prompt_tokens,
        cached_tokens=usage.cached_tokens,
        completion_tokens=usage.completion_tokens,
    )


def idempotency_key(req: http_server.Request) -> str | refusal.Refusal:
    """Return the request's idempotency key, or an empty string if it has none."""
    key = req.headers.get("idempotency-key", "")
    if len(key) > MAX_KEY_CHARS:
        message = f"the Idempotency-Key is longer than {MAX_KEY_CHARS} characters"
        return refusal.refuse(refusal.BAD_REQUEST, message)
    return key


def check_model(
    parsed: chat.ChatRequest, team: contract.Contract, cfg: contract.Config
) -> refusal.Refusal | None:
    """Return why the team may not send this chat request, or None if it may."""
    model = parsed.body.model
    if model not in team.models or model not in cfg.models:
        message = f"the contract does not include model {model!r}"
        return refusal.refuse(refusal.FORBIDDEN, message)
    limit = team.limits.prompt_tokens
    if parsed.prompt_tokens > limit:
        message = f"the prompt has {parsed.prompt_tokens} tokens, the limit is {limit}"
        return refusal.refuse(refusal.PROMPT_TOO_LONG, message)
    return None

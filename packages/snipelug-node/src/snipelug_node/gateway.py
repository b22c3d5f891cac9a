"""The callers' HTTP interface."""

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
DEFAULT_GENERATED_TOKENS = 256
SERVICE_TOKENS = 1
"""Cost of a plain service call where limits count tokens."""

BEARER = "bearer "

ACTIVE_S = 2.0

REPEAT_S = 5.0
"""Time in which a keyed chat call may go to another engine after one declined it."""


class Revisions(typing.Protocol):
    """The configuration in force."""

    @property
    def cfg(self) -> contract.Config:
        """Newest configuration known."""
        ...

    def is_current(self, now: float) -> bool:
        """Whether no newer revision can be in force elsewhere."""
        ...


@dataclasses.dataclass(frozen=True)
class OpenRequest:
    """A request that waits or runs."""

    request: str
    team: str
    path: str


@dataclasses.dataclass
class Gateway:
    """Answers callers.

    Attributes
    ----------
    key : bytes
        Secret of the deployment.
    stopping : bool
        A planned stop has begun; new work is refused.
    open : dict
        Requests that wait or run, by request id.
    """

    node_id: str
    key: bytes
    revisions: Revisions
    tables: table.Tables
    pool: http_client.Pool
    dispatcher: dispatch.Dispatcher
    limits: limiter.Limiter
    orders: order.Orders
    metrics: metrics.Metrics
    stopping: bool = False
    open: dict[str, OpenRequest] = dataclasses.field(default_factory=dict)
    called_at: float = -math.inf

    async def handle(self, req: http_server.Request) -> http_server.Response:
        """Answer one request."""
        if req.path == "/healthz":
            return http_server.json_response(http.HTTPStatus.OK, {"alive": True})
        if req.path == "/readyz":
            return self._readiness()
        self.called_at = trio.current_time()
        caller = self._authenticate(req)
        if isinstance(caller, refusal.Refusal):
            return self._refuse(caller, req.path)
        if req.path == CHAT_PATH:
            answer = await self._chat(req, caller)
        elif req.path.startswith(service.PREFIX):
            answer = await self._service(req, caller)
        else:
            message = f"path {req.path!r} does not exist"
            answer = refusal.refuse(refusal.NOT_FOUND, message)
        if isinstance(answer, refusal.Refusal):
            return self._refuse(answer, req.path)
        return answer

    def is_active(self, now: float) -> bool:
        """Return whether callers were here lately."""
        return bool(self.open) or now - self.called_at < ACTIVE_S

    def unready_reason(self) -> refusal.Refusal | None:
        """Return why this node takes no new work, if so."""
        if self.stopping:
            message = "this node is being stopped"
            return refusal.refuse(refusal.NODE_STOPPING, message)
        if not self.revisions.is_current(trio.current_time()):
            message = "this node cannot show that its configuration is current"
            return refusal.refuse(refusal.NODE_NOT_CURRENT, message)
        return None

    def _readiness(self) -> http_server.Response:
        reason = self.unready_reason()
        if reason is not None:
            return self._refuse(reason, "/readyz")
        content = {"ready": True, "revision": self.revisions.cfg.revision}
        return http_server.json_response(http.HTTPStatus.OK, content)

    def _authenticate(
        self, req: http_server.Request
    ) -> contract.Contract | refusal.Refusal:
        unready = self.unready_reason()
        if unready is not None:
            return unready
        field = req.headers.get("authorization", "")
        if not field.lower().startswith(BEARER):
            message = "the request has no bearer key"
            return refusal.refuse(refusal.UNAUTHENTICATED, message)
        found = contract.find_contract(self.revisions.cfg, field[len(BEARER) :].strip())
        if found is None:
            message = "the bearer key belongs to no contract"
            return refusal.refuse(refusal.UNAUTHENTICATED, message)
        return found

    def _refuse(self, refused: refusal.Refusal, path: str) -> http_server.Response:
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
            answer=stream.Response(request_id),
            once=bool(key),
        )
        cost = parsed.prompt_tokens + (
            parsed.body.max_tokens or DEFAULT_GENERATED_TOKENS
        )
        opened = OpenRequest(request_id, team.team, req.path)
        ticket = await self._enter(opened, team, cost, job.deadline)
        if isinstance(ticket, refusal.Refusal):
            return ticket
        leave = self._leaver(opened, ticket, job)
        if key:
            try:
                return await self._chat_once(job, key, req.body)
            finally:
                leave()
        return await self._chat_answer(job, leave)

    async def _enter(
        self,
        opened: OpenRequest,
        team: contract.Contract,
        cost: float,
        deadline: float,
    ) -> limiter.Permit | refusal.Refusal:
        """Wait for the right to run a request; it is open from here on."""
        self.open[opened.request] = opened
        ticket: limiter.Permit | refusal.Refusal | None = None
        try:
            ticket = await self.limits.acquire(team, cost, deadline)
            return ticket
        finally:
            if not isinstance(ticket, limiter.Permit):
                del self.open[opened.request]

    def _leaver(
        self,
        opened: OpenRequest,
        ticket: limiter.Permit,
        job: dispatch.Job | None = None,
    ) -> collections.abc.Callable[[], None]:
        """Return a function that ends a request's accounting, once."""

        def leave() -> None:
            if self.open.pop(opened.request, None) is not None:
                ticket.release(job.used_tokens if job is not None else None)

        return leave

    async def _chat_answer(
        self, job: dispatch.Job, leave: collections.abc.Callable[[], None]
    ) -> http_server.Response | refusal.Refusal:
        handed_over = False
        try:
            if not job.chat.body.stream:
                whole = await self.dispatcher.collect(job)
                if isinstance(whole, refusal.Refusal):
                    return whole
                return self._json_answer(job, whole)
            opened = await self.dispatcher.open(job)
            if isinstance(opened, refusal.Refusal):
                return opened
            headers = self._headers(job)
            headers["content-type"] = "text/event-stream"
            headers["cache-control"] = "no-store"
            headers["x-snipelug-upstream"] = opened.choice.upstream.instance.id
            handed_over = True
            body = StreamBody(self.dispatcher, job, opened, leave)
            return http_server.Response(http.HTTPStatus.OK, body, headers)
        finally:
            if not handed_over:
                leave()

    def _headers(self, job: dispatch.Job) -> dict[str, str]:
        return {"x-request-id": job.request_id, "x-snipelug-node": self.node_id}

    def _json_answer(
        self, job: dispatch.Job, whole: engine.Whole
    ) -> http_server.Response:
        headers = self._headers(job)
        headers["x-snipelug-upstream"] = whole.upstream_id
        return http_server.json_response(http.HTTPStatus.OK, whole.content, headers)

    async def _chat_once(
        self, job: dispatch.Job, key: str, sent_body: bytes
    ) -> http_server.Response | refusal.Refusal:
        """Run a chat request at most once; its answer is kept as JSON."""
        streamed = job.chat.body.stream
        job.chat.body.stream = False

        async def send(
            granted: http_client.PreSendCheck, _send_by: float
        ) -> order.Sent:
            job.granted = grant_again(granted)
            whole = await self.dispatcher.collect(job)
            if isinstance(whole, refusal.Refusal):
                return claim.OutcomeUnknown(whole) if job.sent else claim.NotSent(whole)
            body = msgspec.json.encode(whole.content)
            headers = {
                "content-type": "application/json",
                "x-snipelug-upstream": whole.upstream_id,
            }
            return claim.Delivered(claim.Response(http.HTTPStatus.OK, headers, body))

        answer = await self.orders.run(
            job.contract.team, key, "POST", CHAT_PATH, sent_body, send, job.deadline
        )
        if isinstance(answer, refusal.Refusal):
            return answer
        headers = self._headers(job) | answer.headers
        if not streamed:
            return http_server.Response(answer.status, answer.body, headers)
        headers["content-type"] = "text/event-stream"
        return http_server.Response(
            answer.status, engine.as_events(answer.body), headers
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
        if not key and service.needs_key(target, req.method, team.require_key):
            message = f"{req.method} {req.path} needs an Idempotency-Key"
            return refusal.refuse(refusal.KEY_REQUIRED, message)
        call = ServiceCall(
            req, target, uuid.uuid4().hex, trio.current_time() + team.deadline_s
        )
        opened = OpenRequest(call.request_id, team.team, req.path)
        ticket = await self._enter(opened, team, SERVICE_TOKENS, call.deadline)
        if isinstance(ticket, refusal.Refusal):
            return ticket
        leave = self._leaver(opened, ticket)
        try:
            answer = await self._run_service(call, team, key)
        finally:
            leave()
        if isinstance(answer, refusal.Refusal):
            return answer
        headers = dict(answer.headers)
        headers["x-request-id"] = call.request_id
        headers["x-snipelug-node"] = self.node_id
        return http_server.Response(answer.status, answer.body, headers)

    async def _run_service(
        self, call: "ServiceCall", team: contract.Contract, key: str
    ) -> order.Answer | refusal.Refusal:
        repeatable = call.req.method in service.IDEMPOTENT_METHODS
        if not key:
            sent = await self._send_service(call, None, repeatable, call.deadline)
            if isinstance(sent, claim.Delivered):
                answer = sent.answer
                return order.Answer(answer.status, answer.headers, answer.body)
            return sent.refusal

        async def send(granted: http_client.PreSendCheck, send_by: float) -> order.Sent:
            return await self._send_service(call, granted, False, send_by)

        req = call.req
        target = req.path + "?" + urllib.parse.urlencode(req.query)
        return await self.orders.run(
            team.team, key, req.method, target, req.body, send, call.deadline
        )

    async def _send_service(
        self,
        call: "ServiceCall",
        granted: http_client.PreSendCheck | None,
        repeatable: bool,
        send_by: float,
    ) -> order.Sent:
        """Send a call to the service's instances until one has taken it."""
        refused = refusal.refuse(
            refusal.NO_UPSTREAM, f"no instance of service {call.target.name!r} is up"
        )
        has_left = False
        excluded: set[str] = set()
        for _ in range(dispatch.MAX_TRIES):
            upstream = self._choose_service(call.target.name, excluded)
            if upstream is None or trio.current_time() >= send_by:
                break
            # An instance that was not sent anything costs no retry budget.
            if not self._may_try(upstream, is_retry=has_left):
                break
            excluded.add(upstream.instance.id)
            outcome = await self._try_service(call, upstream, granted, send_by)
            match outcome:
                case http_client.FullResponse(status, headers, body):
                    kept = service.answer_headers(headers)
                    kept["x-snipelug-upstream"] = upstream.instance.id
                    return claim.Delivered(claim.Response(status, kept, body))
                case http_client.NotSent(reason):
                    load.mark_connection_closed(upstream, trio.current_time())
                    refused = refusal.refuse(refusal.NO_UPSTREAM, reason)
                case sender.Blocked(blocked):
                    refused = blocked
                case http_client.Lost() | http_client.TooLarge():
                    has_left = True
                    load.mark_connection_closed(upstream, trio.current_time())
                    text = f"the service's answer was lost: {outcome}"
                    refused = refusal.refuse(
                        refusal.UPSTREAM_LOST, text, refusal.RunState.UNKNOWN
                    )
                    if not repeatable:
                        break
        if not has_left:
            return claim.NotSent(refused)
        # The last instance may have been sent nothing, while an earlier one was.
        unknown = refusal.RunState.UNKNOWN
        return claim.OutcomeUnknown(dataclasses.replace(refused, run_state=unknown))

    def _may_try(self, upstream: table.Upstream, is_retry: bool) -> bool:
        budget = self.dispatcher.budget
        now = trio.current_time()
        if is_retry:
            return budget.take_retry(upstream.instance.id, now)
        budget.note_request(upstream.instance.id, now)
        return True

    def _choose_service(self, name: str, excluded: set[str]) -> table.Upstream | None:
        now = trio.current_time()
        able = [
            upstream
            for upstream in self.tables.upstreams.values()
            if upstream.instance.role is table.Role.SERVICE
            and upstream.instance.name == name
            and upstream.instance.id not in excluded
            and not isinstance(
                self.dispatcher.sender.may_send(upstream, now, now), load.Excluded
            )
        ]
        if not able:
            return None
        return min(able, key=lambda u: (load.estimate_queue(u), u.instance.id))

    async def _try_service(
        self,
        call: "ServiceCall",
        upstream: table.Upstream,
        granted: http_client.PreSendCheck | None,
        send_by: float,
    ) -> (
        http_client.FullResponse
        | http_client.NotSent
        | http_client.Lost
        | http_client.TooLarge
        | sender.Blocked
    ):
        left_s = max(0.0, call.deadline - trio.current_time())
        wire = service.build_call(
            upstream.instance, call.target, call.req, call.request_id, left_s
        )
        sent = await self.dispatcher.sender.send(upstream, wire, send_by, granted)
        if not isinstance(sent, sender.Opened):
            return sent
        try:
            body = await sent.reply.read(service.MAX_ANSWER_BYTES, left_s)
        finally:
            sent.permit.release(sent.reply.has_ended)
            with trio.CancelScope(shield=True):
                await sent.reply.aclose()
        if not isinstance(body, bytes):
            return body
        return http_client.FullResponse(sent.reply.status, sent.reply.headers, body)


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """One call of a plain service."""

    req: http_server.Request
    target: service.Target
    request_id: str
    deadline: float


class StreamBody:
    """The body of a streamed answer; closing it ends the run even if unsent."""

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        job: dispatch.Job,
        exchange: dispatch.Exchange,
        leave: collections.abc.Callable[[], None],
    ) -> None:
        self._dispatcher = dispatcher
        self._job = job
        self._exchange = exchange
        self._leave = leave

    async def send_to(self, sink: http_server.BodyWriter) -> None:
        """Relay the answer."""
        await self._dispatcher.relay(self._job, self._exchange, sink)

    async def aclose(self) -> None:
        """End the run."""
        try:
            await self._exchange.aclose()
        finally:
            self._leave()


def grant_again(granted: http_client.PreSendCheck) -> http_client.PreSendCheck:
    """Let a granted call be sent again for a short time.

    The dispatcher sends a keyed call again only after an engine answered that it
    did not run it; the claim's own check consents only once.
    """
    granted_at: float | None = None

    def check(conn_opened_at: float) -> bool:
        nonlocal granted_at
        now = trio.current_time()
        if granted_at is not None:
            return now - granted_at < REPEAT_S
        if not granted(conn_opened_at):
            return False
        granted_at = now
        return True

    return check


def report_finished(
    target: metrics.Metrics,
    job: dispatch.Job,
    choice: dispatch.Choice,
    usage: stream.Usage,
) -> None:
    """Log a whole answer and update the metrics."""
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
        attempts=job.answer.attempt,
        ttft_ms=round(ttft_ms, 1),
        elapsed_ms=round((now - job.started_at) * 1000, 1),
        prompt_tokens=usage.prompt_tokens,
        cached_tokens=usage.cached_tokens,
        completion_tokens=usage.completion_tokens,
    )


def idempotency_key(req: http_server.Request) -> str | refusal.Refusal:
    """Return the call's idempotency key, empty if it has none."""
    key = req.headers.get("idempotency-key", "")
    if len(key) > MAX_KEY_CHARS:
        message = f"the Idempotency-Key is longer than {MAX_KEY_CHARS} characters"
        return refusal.refuse(refusal.BAD_REQUEST, message)
    return key


def check_model(
    parsed: chat.Chat, team: contract.Contract, cfg: contract.Config
) -> refusal.Refusal | None:
    """Return why the team may not send this chat request, if so."""
    model = parsed.body.model
    if model not in team.models or model not in cfg.models:
        message = f"the contract does not include model {model!r}"
        return refusal.refuse(refusal.FORBIDDEN, message)
    limit = team.limits.prompt_tokens
    if parsed.prompt_tokens > limit:
        message = f"the prompt has {parsed.prompt_tokens} tokens, the limit is {limit}"
        return refusal.refuse(refusal.PROMPT_TOO_LONG, message)
    return None

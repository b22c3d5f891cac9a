"""Runs chat requests: chooses an engine, sends, relays the response and recovers."""

import collections.abc
import dataclasses
import http
import logging
import typing

import trio

from snipelug_core import (
    block,
    contract,
    index,
    load,
    quarantine,
    refusal,
    stream,
    table,
)
from snipelug_net import http_client, http_server, lines, poller
from snipelug_node import chat, crashes, engine, sender

LOG = logging.getLogger("snipelug.dispatch")

STREAM_IDLE_TIMEOUT_S = 30.0
"""A stream counts as lost after it was idle for between half of this and all of it, in
seconds."""

ENGINE_WAIT_S = 5.0
"""Longest time in seconds that a request waits while no engine may be sent to; its
deadline may end the wait earlier."""

RETRY_INTERVAL_S = 0.1
"""Interval between attempts to choose an engine, in seconds."""

MAX_BUSY_ENGINES = 2
"""Number of warm engines without a free slot that are tried before waiting for one."""

MAX_SENDS = 6
"""Maximum number of sends of one request, including declined ones."""


@dataclasses.dataclass
class Job:
    """A chat request while the node handles it.

    Attributes
    ----------
    fingerprint : str
        Identifies the team and the body; equal for repeated requests.
    deadline : float
        Monotonic time by which the response must start, in seconds.
    at_most_once : bool
        Whether the request must not be resent once it may have run.
    response : stream.Response
        State of the response across all runs.
    excluded : set of str
        Upstreams that are not tried again.
    may_have_run : bool
        Whether bytes of the request were sent to an upstream that did not decline it.
    pinned_version : str
        The only weight version that may continue the response; empty for any.
    claim_check : PreSendCheck or None
        Check of the request's claim, made just before the first byte is sent.
    first_data_at : float or None
        Monotonic time at which the first data was relayed, in seconds.
    is_suspect : bool
        Whether the request has crashed an upstream once.
    crash_epoch : int
        Epoch of the crash record as known before the last attempt.
    used_tokens : int or None
        Number of tokens of the prompt and the complete response, once known.
    """

    request_id: str
    contract: contract.Contract
    chat: chat.ChatRequest
    fingerprint: str
    started_at: float
    deadline: float
    response: stream.Response
    at_most_once: bool = False
    excluded: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    pinned_version: str = ""
    claim_check: http_client.PreSendCheck | None = None
    first_data_at: float | None = None
    is_suspect: bool = False
    crash_epoch: int = 0
    used_tokens: int | None = None

    @property
    def run_state(self) -> refusal.RunState:
        """Run state to report if the request is refused now."""
        if self.response.text:
            return refusal.RunState.RAN
        return (
            refusal.RunState.UNKNOWN if self.may_have_run else refusal.RunState.NOT_RUN
        )


@dataclasses.dataclass
class Choice:
    """An engine chosen for one run.

    Attributes
    ----------
    weight_version : str
        Weight version that the engine reports; empty before its first report.
    chain : block.Chain
        Block keys of the prompt for that weight version.
    found : index.PrefixLocations
        Locations of the prompt's blocks as known before the run.
    work_s : float
        Expected duration of the fetch and the prefill, in seconds.
    sent_at : float
        Monotonic time at which the request was sent, in seconds.
    """

    upstream: table.Upstream
    weight_version: str
    chain: block.Chain
    found: index.PrefixLocations
    work_s: float = 0.0
    sent_at: float = 0.0


class Router(typing.Protocol):
    """Chooses engines and records the progress of runs."""

    async def choose(self, job: Job) -> Choice | refusal.Refusal:
        """Choose an engine that is not excluded and prepare its cache."""
        ...

    def record_sent(self, choice: Choice, run_id: str) -> None:
        """Record that a run was sent."""
        ...

    def record_first_token(self, choice: Choice, run_id: str) -> None:
        """Record the first token of a run."""
        ...

    def record_ended(self, choice: Choice, run_id: str) -> None:
        """Record the end of a run, even if it had no response."""
        ...

    def record_completed(self, job: Job, choice: Choice, usage: stream.Usage) -> None:
        """Record a complete response."""
        ...


class Budget(typing.Protocol):
    """Retry budgets, one for each upstream."""

    def record_request(self, upstream_id: str, now: float) -> None:
        """Count a request that is not a retry."""
        ...

    def try_acquire(self, upstream_id: str, now: float) -> bool:
        """Consume one retry; return False if the budget is empty."""
        ...


@dataclasses.dataclass
class Exchange:
    """A run in progress on an engine.

    Attributes
    ----------
    fault : str
        Why the run cannot produce a complete response; empty while it can.
    is_closed : bool
        Whether the engine closed the connection, as it does when it crashes.
    is_idle : bool
        Whether nothing has arrived since the last check for stalled streams.
    is_paused : bool
        Whether reading is paused because the caller has not received the earlier data.
    """

    choice: Choice
    run_id: str
    permit: sender.SendPermit
    router: Router
    reply: http_client.StreamingResponse | None = None
    fault: str = ""
    is_closed: bool = False
    is_idle: bool = False
    is_paused: bool = False

    async def aclose(self) -> None:
        """End the run: close its connection, release its slot and stop counting it."""
        has_ended = self.reply is not None and self.reply.has_ended
        self.permit.release(has_ended)
        self.router.record_ended(self.choice, self.run_id)
        if self.reply is not None:
            reply = self.reply
            self.reply = None
            await reply.aclose()


@dataclasses.dataclass
class Dispatcher:
    """Runs chat requests on engines."""

    sender: sender.Sender
    router: Router
    crashes: crashes.Crashes
    budget: Budget
    cache_salt: collections.abc.Callable[[str], str]
    on_finished: collections.abc.Callable[[Job, Choice, stream.Usage], None]
    poller: poller.Poller
    active_streams: dict[str, Exchange] = dataclasses.field(default_factory=dict)

    async def open(self, job: Job) -> Exchange | refusal.Refusal:
        """Send the request to engines in turn until one starts to respond."""
        message = "the request's deadline passed before an engine accepted it"
        refused = refusal.refuse(refusal.DEADLINE_UNREACHABLE, message)
        wait_until = min(job.deadline, trio.current_time() + ENGINE_WAIT_S)
        attempts = 0
        ran_nothing = True
        busy_ids: set[str] = set()
        may_wait = False
        while attempts < MAX_SENDS and trio.current_time() < job.deadline:
            standing = self.crashes.check(job.fingerprint)
            if isinstance(standing, refusal.Refusal):
                return dataclasses.replace(standing, run_state=job.run_state)
            job.is_suspect = standing is quarantine.Standing.SUSPECT
            job.crash_epoch = self.crashes.epoch(job.fingerprint)
            choice = await self.router.choose(job)
            if isinstance(choice, refusal.Refusal):
                if not job.may_have_run:
                    refused = choice
                if busy_ids and not may_wait:
                    may_wait = True
                    job.excluded -= busy_ids
                    continue
                if trio.current_time() + RETRY_INTERVAL_S > wait_until:
                    break
                # Engines that declined the request may accept it later.
                job.excluded.clear()
                await trio.sleep(RETRY_INTERVAL_S)
                continue
            if not self._allow_attempt(choice, attempts > 0 and not ran_nothing):
                break
            opened = await self._attempt(job, choice, may_wait)
            if isinstance(opened, Exchange):
                return opened
            if opened.is_busy:
                busy_ids.add(choice.upstream.instance.id)
                if len(busy_ids) == MAX_BUSY_ENGINES:
                    may_wait = True
                    job.excluded -= busy_ids
                continue
            attempts += 1
            refused, ran_nothing = opened.refusal, opened.ran_nothing
            if opened.is_final or (job.at_most_once and job.may_have_run):
                break
        # The last engine may not have run the request although an earlier one may
        # have.
        return dataclasses.replace(refused, run_state=job.run_state)

    def _allow_attempt(self, choice: Choice, is_retry: bool) -> bool:
        upstream_id = choice.upstream.instance.id
        now = trio.current_time()
        if is_retry:
            return self.budget.try_acquire(upstream_id, now)
        self.budget.record_request(upstream_id, now)
        return True

    async def _attempt(
        self, job: Job, choice: Choice, may_wait: bool
    ) -> "Exchange | _FailedAttempt":
        """Make one attempt to send the request to an engine."""
        upstream = choice.upstream
        job.excluded.add(upstream.instance.id)
        call = engine.build_call(upstream.instance, self._build_run(job, choice))
        choice.sent_at = trio.current_time()
        sent = await self.sender.send(
            upstream, call, job.deadline, job.claim_check, job.is_suspect, may_wait
        )
        match sent:
            case sender.Blocked(refused, is_busy):
                return _FailedAttempt(refused, ran_nothing=True, is_busy=is_busy)
            case http_client.NotSent(reason):
                load.mark_connection_closed(upstream, trio.current_time())
                refused = refusal.refuse(refusal.NO_UPSTREAM, reason)
                return _FailedAttempt(refused, ran_nothing=True)
            case http_client.Lost():
                return await self._handle_lost(job, choice, sent)
            case sender.Opened(permit, reply):
                run_id = job.response.run_id
                exchange = Exchange(choice, run_id, permit, self.router, reply)
                self.router.record_sent(choice, run_id)
        if reply.status == http.HTTPStatus.OK:
            job.may_have_run = True
            return exchange
        try:
            return await self._handle_declined(job, exchange, reply)
        finally:
            with trio.CancelScope(shield=True):
                await exchange.aclose()

    def _build_run(self, job: Job, choice: Choice) -> engine.Run:
        return engine.Run(
            run_id=job.response.run_id,
            chat=job.chat,
            weight_version=choice.weight_version,
            cache_salt=self.cache_salt(job.contract.team),
            priority=job.contract.priority,
            block_keys=choice.chain.hex_keys(),
            resume_text=job.response.text,
            is_streamed=job.chat.body.stream,
            timeout_s=max(0.0, job.deadline - trio.current_time()),
        )

    async def _handle_declined(
        self, job: Job, exchange: Exchange, reply: http_client.StreamingResponse
    ) -> "_FailedAttempt":
        """Handle an error response of an engine."""
        upstream_id = exchange.choice.upstream.instance.id
        error = await engine.read_error(reply)
        lines.warning(
            LOG,
            "engine_declined",
            request=job.request_id,
            upstream=upstream_id,
            status=error.status,
            reason=error.message,
        )
        if isinstance(error, engine.Declined):
            if error.has_other_version:
                # The engine's weights were swapped; its next report names the version.
                await self.sender.refresh(exchange.choice.upstream)
                await trio.sleep(RETRY_INTERVAL_S)
                job.excluded.discard(upstream_id)
            return _FailedAttempt(
                error.refusal(),
                not error.is_retryable,
                ran_nothing=error.has_other_version,
            )
        job.may_have_run = True
        text = f"the engine responded with {error.status}: {error.message}"
        return _FailedAttempt(
            refusal.refuse(refusal.UPSTREAM_LOST, text, job.run_state)
        )

    async def _handle_lost(
        self, job: Job, choice: Choice, lost: http_client.Lost
    ) -> "_FailedAttempt":
        """Handle the loss of an engine after bytes were sent to it."""
        job.may_have_run = True
        upstream = choice.upstream
        load.mark_connection_closed(upstream, trio.current_time())
        lines.warning(
            LOG,
            "engine_lost",
            request=job.request_id,
            upstream=upstream.instance.id,
            reason=lost.reason,
        )
        text = f"the engine was lost: {lost.reason}"
        refused = refusal.refuse(refusal.UPSTREAM_LOST, text, job.run_state)
        if not lost.is_closed:
            return _FailedAttempt(refused)
        crash = await self.crashes.record(
            job.fingerprint, job.contract.team, upstream.instance.id, job.crash_epoch
        )
        return _FailedAttempt(refused, is_final=not crash.allows_retry)

    async def relay(
        self, job: Job, exchange: Exchange, writer: http_server.BodyWriter
    ) -> None:
        """Relay the response; end it with an error event if it cannot be completed."""
        current = exchange
        try:
            while True:
                self.active_streams[current.run_id] = current
                await self._read_stream(job, current, writer)
                del self.active_streams[current.run_id]
                outcome = job.response.outcome()
                if isinstance(outcome, stream.Complete):
                    self._record_completed(job, current.choice, outcome.usage)
                    return
                next_exchange = await self._recover(job, current)
                if not isinstance(next_exchange, Exchange):
                    writer.write_nowait(next_exchange)
                    await writer.drain()
                    return
                current = next_exchange
        finally:
            self.active_streams.pop(current.run_id, None)
            with trio.CancelScope(shield=True):
                await current.aclose()

    def _record_completed(self, job: Job, choice: Choice, usage: stream.Usage) -> None:
        job.used_tokens = usage.prompt_tokens + usage.completion_tokens
        self.router.record_completed(job, choice, usage)
        self.on_finished(job, choice, usage)

    async def abort_stalled_streams(self) -> None:
        """Abort streams on which nothing arrives, until cancelled."""
        while True:
            await trio.sleep(STREAM_IDLE_TIMEOUT_S / 2)
            for exchange in list(self.active_streams.values()):
                if exchange.is_paused:
                    continue
                if exchange.is_idle and exchange.reply is not None:
                    exchange.fault = f"no data within {STREAM_IDLE_TIMEOUT_S / 2:g} s"
                    exchange.reply.abort()
                exchange.is_idle = True

    async def _read_stream(
        self, job: Job, exchange: Exchange, writer: http_server.BodyWriter
    ) -> None:
        """Relay the events of one run as they are read."""
        reply = exchange.reply
        assert reply is not None
        response = job.response
        parser = stream.Parser()

        def relay_part(part: bytes) -> bool:
            exchange.is_idle = False
            data = (
                response.relay_by_template(part) if parser.is_between_events() else None
            )
            if data is None:
                data = b"".join(
                    [_process_event(job, exchange, e) for e in parser.feed(part)]
                )
            if not data:
                return not exchange.fault
            if job.first_data_at is None:
                job.first_data_at = trio.current_time()
                self.router.record_first_token(exchange.choice, exchange.run_id)
            # Reading from the engine pauses while the caller does not receive data.
            return writer.write_nowait(data) and not exchange.fault

        # The first part is read directly, without waiting for a pass of the poller.
        first = await reply.next_part()
        ended: http_client.Lost | http_client.Paused | None
        if isinstance(first, bytes):
            relay_part(first)
            ended = http_client.Paused()
        else:
            ended = first
        while isinstance(ended, http_client.Paused):
            exchange.is_paused = True
            await writer.drain()
            exchange.is_paused = exchange.is_idle = False
            if exchange.fault:
                return
            ended = await reply.read_with(self.poller, relay_part)
        if ended is not None and not exchange.fault:
            exchange.fault, exchange.is_closed = ended.reason, ended.is_closed

    async def _recover(self, job: Job, lost: Exchange) -> Exchange | bytes:
        """Continue the response on another engine, or return the event that ends it."""
        fault = lost.fault or "the response ended early"
        version = lost.choice.weight_version
        await lost.aclose()
        reason = http_client.Lost(fault, lost.is_closed)
        refused = await self._handle_lost(job, lost.choice, reason)
        sampling = stream.Sampling(job.chat.body.temperature, job.chat.body.seed)
        decision = stream.recover(job.response, sampling, version, version)
        if refused.is_final and not isinstance(decision, stream.SendDone):
            decision = stream.EndWithError(refused.refusal)
        match decision:
            case stream.SendDone():
                return stream.DONE_EVENT
            case stream.EndWithError(final_refusal):
                return self._error_event(job, final_refusal)
            case stream.Resume() | stream.Restart():
                pass
        # The request includes the relayed text, so the engine does not repeat it.
        job.response.resume(repeats=False)
        job.pinned_version = version if job.response.text else ""
        job.deadline = max(job.deadline, trio.current_time() + STREAM_IDLE_TIMEOUT_S)
        opened = await self.open(job)
        if isinstance(opened, refusal.Refusal):
            return self._error_event(job, opened)
        lines.event(
            LOG,
            "stream_resumed",
            request=job.request_id,
            upstream=opened.choice.upstream.instance.id,
            attempt=job.response.attempt,
            sent_chars=len(job.response.text),
        )
        return opened

    def _error_event(self, job: Job, refused: refusal.Refusal) -> bytes:
        lines.warning(
            LOG,
            "stream_ended_with_error",
            request=job.request_id,
            code=refused.kind.code,
            reason=refused.message,
        )
        return stream.error_event(refused)

    async def collect(self, job: Job) -> engine.CompleteResponse | refusal.Refusal:
        """Run a request whose response is not streamed."""
        for _ in range(stream.MAX_ATTEMPTS):
            opened = await self.open(job)
            if isinstance(opened, refusal.Refusal):
                return opened
            try:
                complete = await self._read_complete(job, opened)
            finally:
                with trio.CancelScope(shield=True):
                    await opened.aclose()
            if isinstance(complete, engine.CompleteResponse):
                self._record_completed(job, opened.choice, complete.usage)
                upstream_id = opened.choice.upstream.instance.id
                return dataclasses.replace(complete, upstream_id=upstream_id)
            refused = await self._handle_lost(job, opened.choice, complete)
            if refused.is_final or job.at_most_once:
                return refused.refusal
            job.response.resume(repeats=False)
        return refused.refusal

    async def _read_complete(
        self, job: Job, exchange: Exchange
    ) -> engine.CompleteResponse | http_client.Lost:
        """Read a response that is not streamed, or return why it is unusable."""
        reply = exchange.reply
        assert reply is not None
        remaining_s = max(STREAM_IDLE_TIMEOUT_S, job.deadline - trio.current_time())
        body = await reply.read(engine.MAX_RESPONSE_BYTES, remaining_s)
        if isinstance(body, http_client.Lost):
            return body
        if isinstance(body, http_client.TooLarge):
            return http_client.Lost(f"the response exceeds {body.limit_bytes} bytes")
        complete = engine.parse_complete(body, exchange.run_id, job.request_id)
        if isinstance(complete, engine.CompleteResponse):
            return complete
        return http_client.Lost(str(complete))


@dataclasses.dataclass(frozen=True)
class _FailedAttempt:
    """A failed attempt.

    Attributes
    ----------
    is_final : bool
        Whether no other engine may be tried.
    ran_nothing : bool
        Whether the engine did no work, so that the next attempt needs no retry budget.
    is_busy : bool
        Whether all slots of the engine are in use; others may have free slots.
    """

    refusal: refusal.Refusal
    is_final: bool = False
    ran_nothing: bool = False
    is_busy: bool = False


def _process_event(
    job: Job, exchange: Exchange, event: stream.Event | stream.Oversized
) -> bytes:
    """Return the data to relay for one event; record a fault if the event has one."""
    if exchange.fault:
        return b""
    if isinstance(event, stream.Oversized):
        exchange.fault = f"an event exceeds {event.limit_bytes} bytes"
        return b""
    verdict = job.response.accept(event)
    if isinstance(verdict, stream.Relay):
        return verdict.data
    if not isinstance(verdict, stream.Ignored):
        exchange.fault = str(verdict)
    return b""

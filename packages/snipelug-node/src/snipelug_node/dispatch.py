"""The run of a chat request: choice of an engine, send, relay and recovery."""

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

CHUNK_GAP_S = 30.0
"""A stream that is silent for half of this to all of this counts as lost."""

WAIT_FOR_ENGINE_S = 5.0
"""Time that a request waits while no engine may be sent to, within its deadline."""

NEXT_LOOK_S = 0.1

MAX_BUSY = 2
"""Warm engines with all slots in use that are passed over before one is waited for."""

MAX_TRIES = 6
"""Sends of one request, those that were declined included."""


@dataclasses.dataclass
class Job:
    """One chat request on its way through the node.

    Attributes
    ----------
    fingerprint : str
        Identifies the team and the body, also in later repeats.
    deadline : float
        Monotonic time by which the answer has to start, in seconds.
    once : bool
        The request must not be sent again after a byte of it was sent.
    answer : stream.Response
        Account of the answer over all runs.
    excluded : set of str
        Upstreams that are not tried again.
    sent : bool
        Bytes of the request have been sent to an upstream that did not decline.
    pinned_version : str
        The only weight version that may go on with the answer; empty for any.
    granted : PreSendCheck or None
        Further check before the first byte, of the claim of this request.
    first_data_at : float or None
        Monotonic time at which the answer's first part was relayed, in seconds.
    is_suspect : bool
        The request has crashed an upstream once.
    crash_epoch : int
        Epoch of the crash record known before the last send.
    used_tokens : int or None
        Tokens of the whole answer and its prompt, once known.
    """

    request_id: str
    contract: contract.Contract
    chat: chat.Chat
    fingerprint: str
    started_at: float
    deadline: float
    answer: stream.Response
    once: bool = False
    excluded: set[str] = dataclasses.field(default_factory=set)
    sent: bool = False
    pinned_version: str = ""
    granted: http_client.PreSendCheck | None = None
    first_data_at: float | None = None
    is_suspect: bool = False
    crash_epoch: int = 0
    used_tokens: int | None = None

    @property
    def run_state(self) -> refusal.RunState:
        """What is known about the execution if the request is refused now."""
        if self.answer.text:
            return refusal.RunState.RAN
        return refusal.RunState.UNKNOWN if self.sent else refusal.RunState.NOT_RUN


@dataclasses.dataclass
class Choice:
    """An engine chosen for one run.

    Attributes
    ----------
    weight_version : str
        Version that the engine reports; empty before its first report.
    chain : block.Chain
        The prompt's identity in the cache, for that version.
    found : index.PrefixLocations
        Locations of the prompt's blocks, as known before the run.
    work_s : float
        Expected time of the fetch and prefill, in seconds.
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
    """Chooses engines."""

    async def choose(self, job: Job) -> Choice | refusal.Refusal:
        """Choose an engine that is not excluded, and prepare its cache."""
        ...

    def record_sent(self, choice: Choice, run_id: str) -> None:
        """Take note of a run that was sent."""
        ...

    def record_first_token(self, choice: Choice, run_id: str) -> None:
        """Take note of a run's first token."""
        ...

    def record_ended(self, choice: Choice, run_id: str) -> None:
        """Take note of the end of a run, also of one that was not answered."""
        ...

    def record_completed(self, job: Job, choice: Choice, usage: stream.Usage) -> None:
        """Take note of a whole answer."""
        ...


class Budget(typing.Protocol):
    """Retry budgets."""

    def record_request(self, upstream_id: str, now: float) -> None:
        """Count a first send."""
        ...

    def try_acquire(self, upstream_id: str, now: float) -> bool:
        """Take one retry from the budget if there is one."""
        ...


@dataclasses.dataclass
class Exchange:
    """A run in progress at an engine.

    Attributes
    ----------
    fault : str
        Why the run cannot give a whole answer; empty while it can.
    is_closed : bool
        The engine closed the connection, as it does when it dies.
    idle : bool
        Nothing arrived since the last look for stalled streams.
    is_paused : bool
        The caller has not taken what arrived, so nothing more is read.
    """

    choice: Choice
    run_id: str
    permit: sender.Permit
    router: Router
    reply: http_client.StreamingResponse | None = None
    fault: str = ""
    is_closed: bool = False
    idle: bool = False
    is_paused: bool = False

    async def aclose(self) -> None:
        """End the run: its connection, slot and count of requests in flight."""
        has_ended = self.reply is not None and self.reply.has_ended
        self.permit.release(has_ended)
        self.router.record_ended(self.choice, self.run_id)
        if self.reply is not None:
            reply = self.reply
            self.reply = None
            await reply.aclose()


@dataclasses.dataclass
class Dispatcher:
    """Runs chat requests at engines."""

    sender: sender.Sender
    router: Router
    crashes: crashes.Crashes
    budget: Budget
    cache_salt: collections.abc.Callable[[str], str]
    on_finished: collections.abc.Callable[[Job, Choice, stream.Usage], None]
    poller: poller.Poller
    streams: dict[str, Exchange] = dataclasses.field(default_factory=dict)

    async def open(self, job: Job) -> Exchange | refusal.Refusal:
        """Send the request until an engine starts to answer it."""
        message = "the request's deadline passed before an engine accepted it"
        refused = refusal.refuse(refusal.DEADLINE_UNREACHABLE, message)
        wait_until = min(job.deadline, trio.current_time() + WAIT_FOR_ENGINE_S)
        tries = 0
        is_free = True
        busy: set[str] = set()
        may_wait = False
        while tries < MAX_TRIES and trio.current_time() < job.deadline:
            standing = self.crashes.check(job.fingerprint)
            if isinstance(standing, refusal.Refusal):
                return dataclasses.replace(standing, run_state=job.run_state)
            job.is_suspect = standing is quarantine.Standing.SUSPECT
            job.crash_epoch = self.crashes.epoch(job.fingerprint)
            choice = await self.router.choose(job)
            if isinstance(choice, refusal.Refusal):
                if not job.sent:
                    refused = choice
                if busy and not may_wait:
                    may_wait = True
                    job.excluded -= busy
                    continue
                if trio.current_time() + NEXT_LOOK_S > wait_until:
                    break
                # Engines that declined may accept the request after a while.
                job.excluded.clear()
                await trio.sleep(NEXT_LOOK_S)
                continue
            if not self._may_try(choice, tries > 0 and not is_free):
                break
            opened = await self._try(job, choice, may_wait)
            if isinstance(opened, Exchange):
                return opened
            if opened.is_busy:
                busy.add(choice.upstream.instance.id)
                if len(busy) == MAX_BUSY:
                    may_wait = True
                    job.excluded -= busy
                continue
            tries += 1
            refused, is_free = opened.refusal, opened.is_free
            if opened.final or (job.once and job.sent):
                break
        # The last refusal may come from an engine that did not run the request,
        # while an earlier one may have.
        return dataclasses.replace(refused, run_state=job.run_state)

    def _may_try(self, choice: Choice, is_retry: bool) -> bool:
        upstream_id = choice.upstream.instance.id
        now = trio.current_time()
        if is_retry:
            return self.budget.try_acquire(upstream_id, now)
        self.budget.record_request(upstream_id, now)
        return True

    async def _try(
        self, job: Job, choice: Choice, may_wait: bool
    ) -> "Exchange | _Refused":
        """Send the request to one engine."""
        upstream = choice.upstream
        job.excluded.add(upstream.instance.id)
        call = engine.build_call(upstream.instance, self._run(job, choice))
        choice.sent_at = trio.current_time()
        sent = await self.sender.send(
            upstream, call, job.deadline, job.granted, job.is_suspect, may_wait
        )
        match sent:
            case sender.Blocked(refused, is_busy):
                return _Refused(refused, is_free=True, is_busy=is_busy)
            case http_client.NotSent(reason):
                load.mark_connection_closed(upstream, trio.current_time())
                refused = refusal.refuse(refusal.NO_UPSTREAM, reason)
                return _Refused(refused, is_free=True)
            case http_client.Lost():
                return await self._lost(job, choice, sent)
            case sender.Opened(permit, reply):
                run_id = job.answer.run_id
                exchange = Exchange(choice, run_id, permit, self.router, reply)
                self.router.record_sent(choice, run_id)
        if reply.status == http.HTTPStatus.OK:
            job.sent = True
            return exchange
        try:
            return await self._declined(job, exchange, reply)
        finally:
            with trio.CancelScope(shield=True):
                await exchange.aclose()

    def _run(self, job: Job, choice: Choice) -> engine.Run:
        return engine.Run(
            run_id=job.answer.run_id,
            chat=job.chat,
            weight_version=choice.weight_version,
            cache_salt=self.cache_salt(job.contract.team),
            priority=job.contract.priority,
            block_keys=choice.chain.hex_keys(),
            resume_text=job.answer.text,
            streamed=job.chat.body.stream,
            timeout_s=max(0.0, job.deadline - trio.current_time()),
        )

    async def _declined(
        self, job: Job, exchange: Exchange, reply: http_client.StreamingResponse
    ) -> "_Refused":
        """Account for an engine that answered with an error."""
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
            if error.other_version:
                # The vendor swapped weights; the next report names the version.
                await self.sender.refresh(exchange.choice.upstream)
                await trio.sleep(NEXT_LOOK_S)
                job.excluded.discard(upstream_id)
            return _Refused(
                error.refusal(), not error.retryable, is_free=error.other_version
            )
        job.sent = True
        text = f"the engine answered {error.status}: {error.message}"
        return _Refused(refusal.refuse(refusal.UPSTREAM_LOST, text, job.run_state))

    async def _lost(
        self, job: Job, choice: Choice, lost: http_client.Lost
    ) -> "_Refused":
        """Account for an engine that was lost after bytes were sent."""
        job.sent = True
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
            return _Refused(refused)
        recorded = await self.crashes.record(
            job.fingerprint, job.contract.team, upstream.instance.id, job.crash_epoch
        )
        return _Refused(refused, final=not recorded.allows_retry)

    async def relay(
        self, job: Job, exchange: Exchange, sink: http_server.BodyWriter
    ) -> None:
        """Send the events of the answer; an error event if it cannot be whole."""
        current = exchange
        try:
            while True:
                self.streams[current.run_id] = current
                await self._read(job, current, sink)
                del self.streams[current.run_id]
                outcome = job.answer.outcome()
                if isinstance(outcome, stream.Complete):
                    self._completed(job, current.choice, outcome.usage)
                    return
                following = await self._recover(job, current)
                if not isinstance(following, Exchange):
                    sink.write_nowait(following)
                    await sink.drain()
                    return
                current = following
        finally:
            self.streams.pop(current.run_id, None)
            with trio.CancelScope(shield=True):
                await current.aclose()

    def _completed(self, job: Job, choice: Choice, usage: stream.Usage) -> None:
        job.used_tokens = usage.prompt_tokens + usage.completion_tokens
        self.router.record_completed(job, choice, usage)
        self.on_finished(job, choice, usage)

    async def abort_stalled_streams(self) -> None:
        """End streams on which nothing arrives, until cancelled."""
        while True:
            await trio.sleep(CHUNK_GAP_S / 2)
            for exchange in list(self.streams.values()):
                if exchange.is_paused:
                    continue
                if exchange.idle and exchange.reply is not None:
                    exchange.fault = f"no data within {CHUNK_GAP_S / 2:g} s"
                    exchange.reply.abort()
                exchange.idle = True

    async def _read(
        self, job: Job, exchange: Exchange, sink: http_server.BodyWriter
    ) -> None:
        """Send the relayed events of one run, as they are read."""
        reply = exchange.reply
        assert reply is not None
        answer = job.answer
        parser = stream.Parser()

        def take(part: bytes) -> bool:
            exchange.idle = False
            data = (
                answer.relay_by_template(part) if parser.is_between_events() else None
            )
            if data is None:
                data = b"".join([_judge(job, exchange, e) for e in parser.feed(part)])
            if not data:
                return not exchange.fault
            if job.first_data_at is None:
                job.first_data_at = trio.current_time()
                self.router.record_first_token(exchange.choice, exchange.run_id)
            # A caller that does not read stops the reading of its engine.
            return sink.write_nowait(data) and not exchange.fault

        # The first part does not wait for a pass of the poller.
        first = await reply.next_part()
        ended: http_client.Lost | http_client.Paused | None
        if isinstance(first, bytes):
            take(first)
            ended = http_client.Paused()
        else:
            ended = first
        while isinstance(ended, http_client.Paused):
            exchange.is_paused = True
            await sink.drain()
            exchange.is_paused = exchange.idle = False
            if exchange.fault:
                return
            ended = await reply.read_with(self.poller, take)
        if ended is not None and not exchange.fault:
            exchange.fault, exchange.is_closed = ended.reason, ended.is_closed

    async def _recover(self, job: Job, lost: Exchange) -> Exchange | bytes:
        """Continue an answer elsewhere, or return the event that ends it."""
        fault = lost.fault or "the answer ended early"
        version = lost.choice.weight_version
        await lost.aclose()
        reason = http_client.Lost(fault, lost.is_closed)
        refused = await self._lost(job, lost.choice, reason)
        sampling = stream.Sampling(job.chat.body.temperature, job.chat.body.seed)
        decision = stream.recover(job.answer, sampling, version, version)
        if refused.final and not isinstance(decision, stream.SendDone):
            decision = stream.EndWithError(refused.refusal)
        match decision:
            case stream.SendDone():
                return stream.DONE_EVENT
            case stream.EndWithError(refused_now):
                return self._end(job, refused_now)
            case stream.Resume() | stream.Restart():
                pass
        # The engine repeats nothing: it is given the text that was relayed.
        job.answer.resume(repeats=False)
        job.pinned_version = version if job.answer.text else ""
        job.deadline = max(job.deadline, trio.current_time() + CHUNK_GAP_S)
        opened = await self.open(job)
        if isinstance(opened, refusal.Refusal):
            return self._end(job, opened)
        lines.event(
            LOG,
            "stream_resumed",
            request=job.request_id,
            upstream=opened.choice.upstream.instance.id,
            attempt=job.answer.attempt,
            sent_chars=len(job.answer.text),
        )
        return opened

    def _end(self, job: Job, refused: refusal.Refusal) -> bytes:
        lines.warning(
            LOG,
            "stream_ended_with_error",
            request=job.request_id,
            code=refused.kind.code,
            reason=refused.message,
        )
        return stream.error_event(refused)

    async def collect(self, job: Job) -> engine.Whole | refusal.Refusal:
        """Run a request whose answer is not streamed."""
        for _ in range(stream.MAX_ATTEMPTS):
            opened = await self.open(job)
            if isinstance(opened, refusal.Refusal):
                return opened
            try:
                whole = await self._read_whole(job, opened)
            finally:
                with trio.CancelScope(shield=True):
                    await opened.aclose()
            if isinstance(whole, engine.Whole):
                self._completed(job, opened.choice, whole.usage)
                upstream_id = opened.choice.upstream.instance.id
                return dataclasses.replace(whole, upstream_id=upstream_id)
            refused = await self._lost(job, opened.choice, whole)
            if refused.final or job.once:
                return refused.refusal
            job.answer.resume(repeats=False)
        return refused.refusal

    async def _read_whole(
        self, job: Job, exchange: Exchange
    ) -> engine.Whole | http_client.Lost:
        """Read an answer in one piece, or return what is wrong with it."""
        reply = exchange.reply
        assert reply is not None
        left_s = max(CHUNK_GAP_S, job.deadline - trio.current_time())
        body = await reply.read(engine.MAX_ANSWER_BYTES, left_s)
        if isinstance(body, http_client.Lost):
            return body
        if isinstance(body, http_client.TooLarge):
            return http_client.Lost(f"the answer exceeds {body.limit_bytes} bytes")
        whole = engine.read_whole(body, exchange.run_id, job.request_id)
        if isinstance(whole, engine.Whole):
            return whole
        return http_client.Lost(str(whole))


@dataclasses.dataclass(frozen=True)
class _Refused:
    """One try failed.

    Attributes
    ----------
    final : bool
        No other engine should be tried.
    is_free : bool
        The engine did no work, so that another try needs no retry budget.
    is_busy : bool
        The engine's slots are in use; another one may have free slots.
    """

    refusal: refusal.Refusal
    final: bool = False
    is_free: bool = False
    is_busy: bool = False


def _judge(
    job: Job, exchange: Exchange, event: stream.Event | stream.Oversized
) -> bytes:
    """Return what the caller gets of one event; note a fault if there is one."""
    if exchange.fault:
        return b""
    if isinstance(event, stream.Oversized):
        exchange.fault = f"an event exceeds {event.limit_bytes} bytes"
        return b""
    verdict = job.answer.accept(event)
    if isinstance(verdict, stream.Relay):
        return verdict.data
    if not isinstance(verdict, stream.Ignored):
        exchange.fault = str(verdict)
    return b""

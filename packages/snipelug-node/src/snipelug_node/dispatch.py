"""The run of a chat request: choice of an engine, send, relay and recovery."""

import collections.abc
import dataclasses
import http
import logging
import typing

import trio

from snipelug_core import block, contract, index, load, refusal, stream, table
from snipelug_net import http_client
from snipelug_node import chat, engine, journal, sender

LOG = logging.getLogger("snipelug.dispatch")

CHUNK_GAP_S = 30.0
"""A stream that is silent for half of this to all of this counts as lost."""

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
    answer : stream.Answer
        Account of the answer over all runs.
    excluded : set of str
        Upstreams that are not tried again.
    sent : bool
        Bytes of the request have been sent to an upstream that did not decline.
    pinned_version : str
        The only weight version that may go on with the answer; empty for any.
    granted : LastCheck or None
        Further check before the first byte, of the claim of this request.
    first_data_at : float or None
        Monotonic time at which the answer's first part was relayed, in seconds.
    """

    request_id: str
    contract: contract.Contract
    chat: chat.Chat
    fingerprint: str
    started_at: float
    deadline: float
    answer: stream.Answer
    once: bool = False
    excluded: set[str] = dataclasses.field(default_factory=set)
    sent: bool = False
    pinned_version: str = ""
    granted: http_client.LastCheck | None = None
    first_data_at: float | None = None

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
    found : index.Found
        Locations of the prompt's blocks, as known before the run.
    work_s : float
        Expected time of the fetch and prefill, in seconds.
    sent_at : float
        Monotonic time at which the request was sent, in seconds.
    """

    upstream: table.Upstream
    weight_version: str
    chain: block.Chain
    found: index.Found
    work_s: float = 0.0
    sent_at: float = 0.0


class Router(typing.Protocol):
    """Chooses engines."""

    async def choose(self, job: Job) -> Choice | refusal.Refusal:
        """Choose an engine that is not excluded, and prepare its cache."""
        ...

    def sent(self, choice: Choice, run_id: str) -> None:
        """Take note of a run that was sent."""
        ...

    def first_token(self, choice: Choice, run_id: str) -> None:
        """Take note of a run's first token."""
        ...

    def ended(self, choice: Choice, run_id: str) -> None:
        """Take note of the end of a run, also of one that was not answered."""
        ...

    def completed(self, job: Job, choice: Choice, usage: stream.Usage) -> None:
        """Take note of a whole answer."""
        ...


class Crashes(typing.Protocol):
    """Requests that upstreams crashed on."""

    def check(self, fingerprint: str) -> refusal.Refusal | None:
        """Return why the request may not run."""
        ...

    async def crashed(self, fingerprint: str, upstream_id: str) -> bool:
        """Record a crash; return whether the request may run again."""
        ...


class Budget(typing.Protocol):
    """Retry budgets."""

    def note_request(self, upstream_id: str, now: float) -> None:
        """Count a first send."""
        ...

    def take_retry(self, upstream_id: str, now: float) -> bool:
        """Take one retry from the budget if there is one."""
        ...


@dataclasses.dataclass
class Exchange:
    """A run in progress at an engine.

    Attributes
    ----------
    fault : str
        Why the run cannot give a whole answer; empty while it can.
    idle : bool
        Nothing arrived since the last look for stalled streams.
    """

    choice: Choice
    run_id: str
    permit: sender.Permit
    router: Router
    reply: http_client.Reply | None = None
    fault: str = ""
    idle: bool = False

    async def aclose(self) -> None:
        """End the run: its connection, slot and count of requests in flight."""
        has_ended = self.reply is not None and self.reply.has_ended
        self.permit.release(has_ended)
        self.router.ended(self.choice, self.run_id)
        if self.reply is not None:
            reply = self.reply
            self.reply = None
            await reply.aclose()


@dataclasses.dataclass
class Dispatcher:
    """Runs chat requests at engines."""

    sender: sender.Sender
    router: Router
    crashes: Crashes
    budget: Budget
    cache_salt: collections.abc.Callable[[str], str]
    on_finished: collections.abc.Callable[[Job, Choice, stream.Usage], None]
    streams: dict[str, Exchange] = dataclasses.field(default_factory=dict)

    async def open(self, job: Job) -> Exchange | refusal.Refusal:
        """Send the request until an engine starts to answer it."""
        refused: refusal.Refusal | None = None
        for attempt in range(MAX_TRIES):
            blocked = self.crashes.check(job.fingerprint)
            if blocked is not None:
                return dataclasses.replace(blocked, run_state=job.run_state)
            if trio.current_time() >= job.deadline:
                break
            choice = await self.router.choose(job)
            if isinstance(choice, refusal.Refusal):
                found = refused or choice
                return dataclasses.replace(found, run_state=job.run_state)
            if not self._may_try(choice, attempt):
                break
            opened = await self._try(job, choice)
            if isinstance(opened, Exchange):
                return opened
            refused = opened.refusal
            if opened.final or (job.once and job.sent):
                return refused
        if refused is None:
            message = "the request's deadline passed before an engine accepted it"
            refused = refusal.refuse(refusal.DEADLINE_UNREACHABLE, message)
        return dataclasses.replace(refused, run_state=job.run_state)

    def _may_try(self, choice: Choice, attempt: int) -> bool:
        upstream_id = choice.upstream.instance.id
        now = trio.current_time()
        if attempt == 0:
            self.budget.note_request(upstream_id, now)
            return True
        return self.budget.take_retry(upstream_id, now)

    async def _try(self, job: Job, choice: Choice) -> "Exchange | _Refused":
        """Send the request to one engine."""
        upstream = choice.upstream
        job.excluded.add(upstream.instance.id)
        call = engine.build_call(upstream.instance, self._run(job, choice))
        choice.sent_at = trio.current_time()
        sent = await self.sender.send(upstream, call, job.deadline, job.granted)
        match sent:
            case sender.Blocked(refused):
                return _Refused(refused)
            case http_client.NotSent(reason):
                load.mark_closed(upstream, trio.current_time())
                return _Refused(refusal.refuse(refusal.NO_UPSTREAM, reason))
            case http_client.Lost(reason):
                return await self._lost(job, choice, reason)
            case sender.Opened(permit, reply):
                run_id = job.answer.run_id
                exchange = Exchange(choice, run_id, permit, self.router, reply)
                self.router.sent(choice, run_id)
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
        self, job: Job, exchange: Exchange, reply: http_client.Reply
    ) -> "_Refused":
        """Account for an engine that answered with an error."""
        upstream_id = exchange.choice.upstream.instance.id
        error = await engine.read_error(reply)
        journal.warning(
            LOG,
            "engine_declined",
            request=job.request_id,
            upstream=upstream_id,
            status=error.status,
            reason=error.message,
        )
        if isinstance(error, engine.Declined):
            return _Refused(error.refusal(), final=not error.retryable)
        job.sent = True
        text = f"the engine answered {error.status}: {error.message}"
        return _Refused(refusal.refuse(refusal.UPSTREAM_LOST, text, job.run_state))

    async def _lost(self, job: Job, choice: Choice, reason: str) -> "_Refused":
        """Account for an engine that was lost after bytes were sent."""
        job.sent = True
        upstream = choice.upstream
        load.mark_closed(upstream, trio.current_time())
        journal.warning(
            LOG,
            "engine_lost",
            request=job.request_id,
            upstream=upstream.instance.id,
            reason=reason,
        )
        may_repeat = await self.crashes.crashed(job.fingerprint, upstream.instance.id)
        text = f"the engine was lost: {reason}"
        refused = refusal.refuse(refusal.UPSTREAM_LOST, text, job.run_state)
        return _Refused(refused, final=not may_repeat)

    async def relay(
        self, job: Job, exchange: Exchange
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        """Yield the events of the answer; an error event if it cannot be whole."""
        current = exchange
        try:
            while True:
                self.streams[current.run_id] = current
                async for data in self._read(job, current):
                    if job.first_data_at is None:
                        job.first_data_at = trio.current_time()
                        self.router.first_token(current.choice, current.run_id)
                    yield data
                del self.streams[current.run_id]
                outcome = job.answer.outcome()
                if isinstance(outcome, stream.Complete):
                    self._completed(job, current.choice, outcome.usage)
                    return
                following = await self._recover(job, current)
                if not isinstance(following, Exchange):
                    yield following
                    return
                current = following
        finally:
            self.streams.pop(current.run_id, None)
            with trio.CancelScope(shield=True):
                await current.aclose()

    def _completed(self, job: Job, choice: Choice, usage: stream.Usage) -> None:
        self.router.completed(job, choice, usage)
        self.on_finished(job, choice, usage)

    async def watch(self) -> None:
        """End streams on which nothing arrives, until cancelled."""
        while True:
            await trio.sleep(CHUNK_GAP_S / 2)
            for exchange in list(self.streams.values()):
                if exchange.idle and exchange.reply is not None:
                    exchange.fault = f"no data within {CHUNK_GAP_S / 2:g} s"
                    exchange.reply.abort()
                exchange.idle = True

    async def _read(
        self, job: Job, exchange: Exchange
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        """Yield the relayed events of one run, as they are read."""
        assert exchange.reply is not None
        parser = stream.Parser()
        previous_read_at: float | None = None
        while True:
            part = await exchange.reply.next_part()
            exchange.idle = False
            if part is None:
                return
            if isinstance(part, http_client.Lost):
                exchange.fault = exchange.fault or part.reason
                return
            read_at = trio.current_time()
            data = b"".join([_judge(job, exchange, e) for e in parser.feed(part)])
            if data:
                yield data
            if exchange.fault:
                return
            wait_until = stream.next_read_at(previous_read_at, read_at)
            if wait_until > read_at:
                await trio.sleep_until(wait_until)
            previous_read_at = read_at

    async def _recover(self, job: Job, lost: Exchange) -> Exchange | bytes:
        """Continue an answer elsewhere, or return the event that ends it."""
        fault = lost.fault or "the answer ended early"
        version = lost.choice.weight_version
        await lost.aclose()
        refused = await self._lost(job, lost.choice, fault)
        sampling = stream.Sampling(job.chat.body.temperature, job.chat.body.seed)
        decision = stream.recover(job.answer, sampling, version, version)
        if refused.final and not isinstance(decision, stream.Finish):
            decision = stream.End(refused.refusal)
        match decision:
            case stream.Finish():
                return stream.DONE_EVENT
            case stream.End(refused_now):
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
        journal.event(
            LOG,
            "stream_resumed",
            request=job.request_id,
            upstream=opened.choice.upstream.instance.id,
            attempt=job.answer.attempt,
            sent_chars=len(job.answer.text),
        )
        return opened

    def _end(self, job: Job, refused: refusal.Refusal) -> bytes:
        journal.warning(
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

    async def _read_whole(self, job: Job, exchange: Exchange) -> engine.Whole | str:
        """Read an answer in one piece, or return what is wrong with it."""
        reply = exchange.reply
        assert reply is not None
        left_s = max(CHUNK_GAP_S, job.deadline - trio.current_time())
        body = await reply.read(engine.MAX_ANSWER_BYTES, left_s)
        if isinstance(body, http_client.Lost):
            return body.reason
        if isinstance(body, http_client.TooLarge):
            return f"the answer exceeds {body.limit_bytes} bytes"
        whole = engine.read_whole(body, exchange.run_id, job.request_id)
        if isinstance(whole, engine.Whole):
            return whole
        return str(whole)


@dataclasses.dataclass(frozen=True)
class _Refused:
    """One try failed; ``final`` if no other engine should be tried."""

    refusal: refusal.Refusal
    final: bool = False


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

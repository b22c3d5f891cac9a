"""Stand-in of a model engine: chat completions, prefix cache, KV transfer."""

import collections
import collections.abc
import contextlib
import dataclasses
import http
import typing
import uuid

import msgspec
import trio

from snipelug_net import http_client, http_server
from snipelug_standins import batch, events, faults, kv, load, prefix, standin, text

EXIT_CRASH = 71
MAX_COMPLETION_TOKENS = 100_000


class Chat(msgspec.Struct, frozen=True):
    """Body of a chat completion.

    Attributes
    ----------
    block_keys : list of str
        Keys of the prompt's full blocks, in order; the node makes them.
    resume_text : str
        Text of this answer that was already sent; the answer continues after it.
    """

    model: str
    messages: typing.Annotated[list[dict[str, typing.Any]], msgspec.Meta(min_length=1)]
    tools: typing.Any = None
    stream: bool = False
    max_tokens: (
        typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_COMPLETION_TOKENS)] | None
    ) = None
    priority: int = 0
    cache_salt: str = ""
    weight_version: str = ""
    block_keys: list[str] = msgspec.field(default_factory=list)
    resume_text: str = ""


class LoadOrder(msgspec.Struct, frozen=True):
    """What ``POST /orders`` asks for: serve a weight version."""

    weight_version: typing.Annotated[str, msgspec.Meta(min_length=1)]


class Order(msgspec.Struct, frozen=True):
    """Body of ``POST /orders``; the fencing number comes from the owner row."""

    order: LoadOrder
    fencing: int = 0


@dataclasses.dataclass(frozen=True)
class Options:
    """Speed and size of an engine.

    Attributes
    ----------
    prefill_rate : float
        Prompt tokens per second of the whole engine.
    decode_rate : float
        Generated tokens per second of one request.
    max_batch : int
        Most requests running at once.
    cache_tokens : int
        Tokens that the prefix cache holds.
    block_bytes : int
        Size of one exported block, in bytes.
    load_s : float
        Time that loading a weight version takes, in seconds.
    check_fencing : bool
        Refuse orders with an old fencing number.
    """

    prefill_rate: float = 100_000.0
    decode_rate: float = 200.0
    max_batch: int = 16
    cache_tokens: int = 400_000
    block_bytes: int = 65_536
    weight_version: str = "w1"
    load_s: float = 0.5
    check_fencing: bool = False
    lag_s: float = 0.0


@dataclasses.dataclass(frozen=True, eq=False)
class Job:
    """One accepted chat request."""

    id: str
    chat: Chat
    prompt: bytes
    version: str
    ticket: load.Ticket
    crossed: bool


@dataclasses.dataclass
class Usage:
    """Token counts of one answer."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0


class Engine:
    """An engine with a batch, a prefix cache and one loaded weight version."""

    faults_type = faults.EngineFaults

    def __init__(self, options: Options, warmth: load.Warmth) -> None:
        self.options = options
        self.warmth = warmth
        self.faults = faults.EngineFaults()
        self.version = options.weight_version
        self.fencing = 0
        self.feed = events.Feed()
        self.cache = prefix.Cache(options.cache_tokens // text.BLOCK_TOKENS, self.feed)
        self.batch = batch.Batch(options.max_batch)
        self.reports = load.Reports(options.lag_s)
        self.pool = http_client.Pool()
        self.jobs: set[Job] = set()
        self.counts: collections.Counter[str] = collections.Counter()
        self.runs: collections.Counter[str] = collections.Counter()
        self._compute = trio.Lock()
        self._loading = trio.Lock()
        self._answers_to_cross = 0

    async def handle(self, req: http_server.Request) -> http_server.Response:
        """Answer one request."""
        match req.method, req.path:
            case "POST", "/v1/chat/completions":
                return await self._chat(req)
            case "GET", "/load":
                if not self.reports.lag_s:
                    self.reports.add(self._sample())
                return http_server.json_response(
                    http.HTTPStatus.OK, self.reports.read()
                )
            case "GET", "/cache/events":
                return self._events(req)
            case "POST", "/kv/export":
                return await self._export(req)
            case "POST", "/kv/import":
                return await self._import(req)
            case "POST", "/orders":
                return await self._order(req)
        return standin.not_found(req)

    # Chat completions

    async def _chat(self, req: http_server.Request) -> http_server.Response:
        try:
            chat = msgspec.json.decode(req.body, type=Chat)
        except msgspec.MsgspecError as exc:
            return standin.error(http.HTTPStatus.BAD_REQUEST, "bad_chat", str(exc))
        if chat.weight_version not in ("", self.version):
            self.counts["version_mismatches"] += 1
            message = f"{self.version} is loaded, not {chat.weight_version}"
            return standin.error(http.HTTPStatus.CONFLICT, "weight_version", message)
        ticket = self.warmth.enter()
        if isinstance(ticket, load.Broken):
            self.cache.clear(trio.current_time())
            return _overloaded()
        crossed = self._answers_to_cross > 0
        self._answers_to_cross -= crossed
        job = Job(
            id=req.headers.get("x-request-id") or uuid.uuid4().hex,
            chat=chat,
            prompt=text.render(chat.messages, chat.tools),
            version=self.version,
            ticket=ticket,
            crossed=crossed,
        )
        self.jobs.add(job)
        if not chat.stream:
            return await self._answer_whole(job)
        stream = _Stream(self._sse(job), lambda: self._leave(job, False))
        headers = {"content-type": "text/event-stream", "cache-control": "no-store"}
        return http_server.Response(http.HTTPStatus.OK, stream, headers)

    async def _answer_whole(self, job: Job) -> http_server.Response:
        usage = Usage()
        parts: list[str] = []
        try:
            async with contextlib.aclosing(self._run(job, usage)) as tokens:
                async for new in tokens:
                    parts.extend(new)
            self._leave(job, not job.ticket.cut)
        finally:
            self._leave(job, False)
        if job.ticket.cut:
            return _overloaded()
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": "".join(parts)},
            "finish_reason": "length",
        }
        content = _chunk(job, "chat.completion", choice) | {"usage": _usage(usage)}
        if job.crossed:
            content["id"] = self._other_id(job)
            choice["message"] = {"role": "assistant", "content": "crossed "}
        return http_server.json_response(http.HTTPStatus.OK, content)

    async def _sse(self, job: Job) -> collections.abc.AsyncGenerator[bytes, None]:
        usage = Usage()
        crossed = not job.crossed
        async with contextlib.aclosing(self._run(job, usage)) as tokens:
            async for new in tokens:
                yield b"".join(_sse_event(_delta(job, token)) for token in new)
                if not crossed:
                    crossed = True
                    yield _sse_event(_delta(job, "crossed ") | self._foreign_id(job))
        if job.ticket.cut:
            raise trio.BrokenResourceError("the engine fell over")
        self._leave(job, True)
        choice = {"index": 0, "delta": {}, "finish_reason": "length"}
        last = _chunk(job, "chat.completion.chunk", choice)
        yield _sse_event(last | {"usage": _usage(usage)}) + b"data: [DONE]\n\n"

    async def _run(
        self, job: Job, usage: Usage
    ) -> collections.abc.AsyncGenerator[list[str], None]:
        """Run a request; yield the texts of the tokens that are due."""
        await self.batch.acquire(job.chat.priority)
        try:
            if self.faults.crash_on and self.faults.crash_on.encode() in job.prompt:
                standin.stop_process(EXIT_CRASH, "the prompt crashes the engine")
            self.runs[text.marker(job.prompt)] += 1
            await self._prefill(job, usage)
            tokens = _tokens_to_send(job)
            start = trio.current_time()
            sent = 0
            while sent < len(tokens) and not job.ticket.cut:
                due = start + (sent + 1) / self.options.decode_rate
                await trio.sleep_until(due)
                elapsed = trio.current_time() - start
                count = max(sent + 1, int(elapsed * self.options.decode_rate))
                new = tokens[sent:count]
                sent += len(new)
                usage.completion_tokens = sent
                self.counts["completion_tokens"] += len(new)
                yield new
        finally:
            self.batch.release()

    async def _prefill(self, job: Job, usage: Usage) -> None:
        ids = prefix.chain(job.chat.cache_salt, job.chat.model, job.version, job.prompt)
        keys = job.chat.block_keys
        cached_blocks = self.cache.matched(ids)
        usage.prompt_tokens = text.count_tokens(job.prompt)
        usage.cached_tokens = cached_blocks * text.BLOCK_TOKENS
        recomputed = usage.prompt_tokens - usage.cached_tokens
        self.counts["prompt_tokens"] += usage.prompt_tokens
        self.counts["cached_tokens"] += usage.cached_tokens
        self.counts["recomputed_tokens"] += recomputed
        for index, block_id in enumerate(ids):
            key = keys[index] if index < len(keys) else ""
            if index < cached_blocks:
                self.cache.name(block_id, key, trio.current_time())
                continue
            await self._compute_tokens(text.BLOCK_TOKENS)
            if not job.ticket.cut and job.version == self.version:
                self.cache.store(block_id, key, trio.current_time())
        self.cache.matched(ids)
        rest = usage.prompt_tokens - len(ids) * text.BLOCK_TOKENS
        await self._compute_tokens(rest)

    async def _compute_tokens(self, count: int) -> None:
        # One block at a time, so that a long prompt does not hold up short ones.
        async with self._compute:
            await trio.sleep(count / self.options.prefill_rate)

    def _leave(self, job: Job, completed: bool) -> None:
        """Take a job out, once; later calls have no effect."""
        if job not in self.jobs:
            return
        self.jobs.remove(job)
        self.warmth.leave(job.ticket, completed)

    def _other_id(self, job: Job) -> str:
        others = (other.id for other in self.jobs if other.id != job.id)
        return next(others, f"other-{job.id}")

    def _foreign_id(self, job: Job) -> dict[str, typing.Any]:
        return {"id": self._other_id(job)}

    # KV transfer and cache events

    def _events(self, req: http_server.Request) -> http_server.Response:
        after = events.parse_after(req.query)
        if after is None:
            message = "after is not a number"
            return standin.error(http.HTTPStatus.BAD_REQUEST, "bad_after", message)
        found = self.feed.after(after, trio.current_time())
        content = {"boot_id": self.warmth.boot_id, "events": found}
        return http_server.json_response(http.HTTPStatus.OK, content)

    async def _export(self, req: http_server.Request) -> http_server.Response:
        try:
            order = msgspec.json.decode(req.body, type=kv.ExportOrder)
        except msgspec.MsgspecError as exc:
            return standin.error(http.HTTPStatus.BAD_REQUEST, "bad_export", str(exc))
        stored: list[kv.Stored] = []
        missed: list[str] = []
        for block in order.blocks:
            block_id = self.cache.id_of(block.key)
            done = None
            if block_id is not None:
                body = kv.pack(block_id, self.options.block_bytes)
                done = await kv.export_block(self.pool, order, block.key, body)
            if done is None:
                missed.append(block.key)
            else:
                stored.append(done)
        self.counts["exported_blocks"] += len(stored)
        content = {"stored": stored, "missed": missed}
        return http_server.json_response(http.HTTPStatus.OK, content)

    async def _import(self, req: http_server.Request) -> http_server.Response:
        try:
            order = msgspec.json.decode(req.body, type=kv.ImportOrder)
        except msgspec.MsgspecError as exc:
            return standin.error(http.HTTPStatus.BAD_REQUEST, "bad_import", str(exc))
        imported: list[str] = []
        missed: list[str] = []
        for block in order.blocks:
            block_id = await kv.import_block(self.pool, order.store, block)
            if block_id is None:
                missed.append(block.key)
                continue
            self.cache.store(block_id, block.key, trio.current_time())
            imported.append(block.key)
        self.counts["imported_blocks"] += len(imported)
        self.counts["import_misses"] += len(missed)
        content = {"imported": imported, "missed": missed}
        return http_server.json_response(http.HTTPStatus.OK, content)

    # Orders

    async def _order(self, req: http_server.Request) -> http_server.Response:
        try:
            order = msgspec.json.decode(req.body, type=Order)
        except msgspec.MsgspecError as exc:
            return standin.error(http.HTTPStatus.BAD_REQUEST, "bad_order", str(exc))
        if self.options.check_fencing and order.fencing < self.fencing:
            self.counts["orders_refused"] += 1
            message = f"fencing number {order.fencing} is older than {self.fencing}"
            return standin.error(http.HTTPStatus.CONFLICT, "old_fencing", message)
        self.fencing = max(self.fencing, order.fencing)
        async with self._loading:
            wanted = order.order.weight_version
            if wanted != self.version:
                await trio.sleep(self.options.load_s)
                self._swap(wanted)
        self.counts["orders"] += 1
        content = {"weight_version": self.version, "fencing": order.fencing}
        return http_server.json_response(http.HTTPStatus.OK, content)

    def _swap(self, version: str) -> None:
        self.version = version
        self.cache.clear(trio.current_time())

    # Role

    def set_faults(self, wanted: faults.Faults) -> bool:
        """Take over faults."""
        assert isinstance(wanted, faults.EngineFaults)
        self.faults = wanted
        self.feed.dropping = wanted.drop_events
        self.feed.delay_s = wanted.delay_events_s
        self._answers_to_cross = wanted.cross_answers
        if wanted.swap_weights:
            self._swap(wanted.swap_weights)
        if wanted.turn_cold:
            self.cache.clear(trio.current_time())
        return self.warmth.apply(wanted)

    def stats(self) -> dict[str, object]:
        """Return counters for tests."""
        names = (
            "prompt_tokens",
            "cached_tokens",
            "recomputed_tokens",
            "completion_tokens",
            "exported_blocks",
            "imported_blocks",
            "import_misses",
            "orders",
            "orders_refused",
            "version_mismatches",
        )
        own = {name: self.counts[name] for name in names}
        state = {
            "runs": dict(self.runs),
            "cached_blocks": len(self.cache),
            "evicted_blocks": self.cache.evictions,
            "weight_version": self.version,
            "running": self.batch.running,
            "waiting": self.batch.waiting,
        }
        return load.warmth_stats(self.warmth) | own | state

    def _sample(self) -> dict[str, object]:
        return load.sample(
            self.warmth,
            self.faults.leaving,
            self.batch.running,
            self.batch.waiting,
            self.version,
        )

    async def run(self) -> None:
        """Sample the load."""
        while True:
            self.reports.add(self._sample())
            await trio.sleep(load.SAMPLE_INTERVAL_S)


class _Stream(collections.abc.AsyncGenerator[bytes, None]):
    """A body that calls ``on_close`` also when it is closed before its start."""

    def __init__(
        self,
        parts: collections.abc.AsyncGenerator[bytes, None],
        on_close: collections.abc.Callable[[], None],
    ) -> None:
        self._parts = parts
        self._on_close = on_close

    async def asend(self, value: None) -> bytes:
        return await self._parts.asend(value)

    async def athrow(self, *args: typing.Any) -> bytes:
        return await self._parts.athrow(*args)

    async def aclose(self) -> None:
        try:
            await self._parts.aclose()
        finally:
            self._on_close()


def _tokens_to_send(job: Job) -> list[str]:
    length = job.chat.max_tokens or text.DEFAULT_COMPLETION_TOKENS
    tokens = text.answer_tokens(job.prompt, length)
    skip = len(job.chat.resume_text)
    while tokens and skip >= len(tokens[0]):
        skip -= len(tokens.pop(0))
    if tokens:
        tokens[0] = tokens[0][skip:]
    return tokens


def _chunk(job: Job, kind: str, choice: dict[str, typing.Any]) -> dict[str, typing.Any]:
    return {
        "id": job.id,
        "object": kind,
        "created": 0,
        "model": job.chat.model,
        "weight_version": job.version,
        "choices": [choice],
    }


def _delta(job: Job, token: str) -> dict[str, typing.Any]:
    choice = {
        "index": 0,
        "delta": {"role": "assistant", "content": token},
        "finish_reason": None,
    }
    return _chunk(job, "chat.completion.chunk", choice)


def _sse_event(content: dict[str, typing.Any]) -> bytes:
    return b"data: " + msgspec.json.encode(content) + b"\n\n"


def _usage(usage: Usage) -> dict[str, int]:
    counts = dataclasses.asdict(usage)
    return counts | {"total_tokens": usage.prompt_tokens + usage.completion_tokens}


def _overloaded() -> http_server.Response:
    message = "the engine fell over under load while cold"
    return standin.error(http.HTTPStatus.INTERNAL_SERVER_ERROR, "overloaded", message)

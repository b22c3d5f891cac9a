"""Stand-in for an engine: chat completions, prefix cache and KV block transfer."""

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


class ChatRequest(msgspec.Struct, frozen=True):
    """Body of a chat completion request.

    Attributes
    ----------
    block_keys : list of str
        Keys that the node computed for the prompt's full blocks, in order.
    resume_text : str
        Part of the response text that was already sent; generation continues
        after it.
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
    """The weight version that ``POST /orders`` tells the engine to serve."""

    weight_version: typing.Annotated[str, msgspec.Meta(min_length=1)]


class Order(msgspec.Struct, frozen=True):
    """Body of ``POST /orders``; ``fencing`` is the token from the owner row."""

    order: LoadOrder
    fencing: int = 0


@dataclasses.dataclass(frozen=True)
class Options:
    """Throughput and capacity of an engine.

    Attributes
    ----------
    prefill_rate : float
        Prompt tokens per second, shared by all requests.
    decode_rate : float
        Generated tokens per second and request.
    max_batch : int
        Maximum number of requests that run concurrently.
    cache_tokens : int
        Capacity of the prefix cache, in tokens.
    block_bytes : int
        Size of one exported block, in bytes.
    load_s : float
        Duration of loading a weight version, in seconds.
    check_fencing : bool
        Reject orders whose fencing token is older than the newest one seen.
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
    chat: ChatRequest
    prompt: bytes
    version: str
    active_request: load.ActiveRequest
    has_wrong_id: bool


@dataclasses.dataclass
class Usage:
    """Token counts of one response."""

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
        self._wrong_id_responses_left = 0

    async def handle(self, req: http_server.Request) -> http_server.Response:
        """Handle one request."""
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
            chat = msgspec.json.decode(req.body, type=ChatRequest)
        except msgspec.MsgspecError as exc:
            return standin.error(http.HTTPStatus.BAD_REQUEST, "bad_chat", str(exc))
        if chat.weight_version not in ("", self.version):
            self.counts["version_mismatches"] += 1
            message = (
                f"{self.version} is loaded, but the request wants {chat.weight_version}"
            )
            return standin.error(http.HTTPStatus.CONFLICT, "weight_version", message)
        active_request = self.warmth.admit()
        if isinstance(active_request, load.Overloaded):
            self.cache.clear(trio.current_time())
            return _overloaded()
        has_wrong_id = self._wrong_id_responses_left > 0
        self._wrong_id_responses_left -= has_wrong_id
        job = Job(
            id=req.headers.get("x-request-id") or uuid.uuid4().hex,
            chat=chat,
            prompt=text.render(chat.messages, chat.tools),
            version=self.version,
            active_request=active_request,
            has_wrong_id=has_wrong_id,
        )
        self.jobs.add(job)
        if not chat.stream:
            return await self._respond_complete(job)
        stream = _ClosingStream(
            self._stream_events(job), lambda: self._finish(job, False)
        )
        headers = {"content-type": "text/event-stream", "cache-control": "no-store"}
        return http_server.Response(http.HTTPStatus.OK, stream, headers)

    async def _respond_complete(self, job: Job) -> http_server.Response:
        usage = Usage()
        parts: list[str] = []
        try:
            async with contextlib.aclosing(self._run(job, usage)) as tokens:
                async for new in tokens:
                    parts.extend(new)
            self._finish(job, not job.active_request.aborted)
        finally:
            self._finish(job, False)
        if job.active_request.aborted:
            return _overloaded()
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": "".join(parts)},
            "finish_reason": "length",
        }
        content = _chunk(job, "chat.completion", choice) | {"usage": _usage(usage)}
        if job.has_wrong_id:
            content["id"] = self._wrong_id(job)
            choice["message"] = {"role": "assistant", "content": "crossed "}
        return http_server.json_response(http.HTTPStatus.OK, content)

    async def _stream_events(
        self, job: Job
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        usage = Usage()
        wrong_id_sent = not job.has_wrong_id
        async with contextlib.aclosing(self._run(job, usage)) as tokens:
            async for new in tokens:
                yield b"".join(_sse_event(_delta(job, token)) for token in new)
                if not wrong_id_sent:
                    wrong_id_sent = True
                    yield _sse_event(
                        _delta(job, "crossed ") | self._wrong_id_field(job)
                    )
        if job.active_request.aborted:
            raise trio.BrokenResourceError("the engine failed under load while cold")
        self._finish(job, True)
        choice = {"index": 0, "delta": {}, "finish_reason": "length"}
        last = _chunk(job, "chat.completion.chunk", choice)
        yield _sse_event(last | {"usage": _usage(usage)}) + b"data: [DONE]\n\n"

    async def _run(
        self, job: Job, usage: Usage
    ) -> collections.abc.AsyncGenerator[list[str], None]:
        """Run a request; yield the token texts as they fall due."""
        await self.batch.acquire(job.chat.priority)
        try:
            if self.faults.crash_on and self.faults.crash_on.encode() in job.prompt:
                standin.stop_process(
                    EXIT_CRASH, "the prompt matches the crash_on fault"
                )
            self.runs[text.marker(job.prompt)] += 1
            await self._prefill(job, usage)
            tokens = _remaining_tokens(job)
            start = trio.current_time()
            sent = 0
            while sent < len(tokens) and not job.active_request.aborted:
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
        ids = prefix.hash_blocks(
            job.chat.cache_salt, job.chat.model, job.version, job.prompt
        )
        keys = job.chat.block_keys
        cached_blocks = self.cache.match_prefix(ids)
        usage.prompt_tokens = text.count_tokens(job.prompt)
        usage.cached_tokens = cached_blocks * text.BLOCK_TOKENS
        recomputed = usage.prompt_tokens - usage.cached_tokens
        self.counts["prompt_tokens"] += usage.prompt_tokens
        self.counts["cached_tokens"] += usage.cached_tokens
        self.counts["recomputed_tokens"] += recomputed
        for index, block_id in enumerate(ids):
            key = keys[index] if index < len(keys) else ""
            if index < cached_blocks:
                self.cache.set_key(block_id, key, trio.current_time())
                continue
            await self._compute_tokens(text.BLOCK_TOKENS)
            if not job.active_request.aborted and job.version == self.version:
                self.cache.store(block_id, key, trio.current_time())
        self.cache.match_prefix(ids)
        rest = usage.prompt_tokens - len(ids) * text.BLOCK_TOKENS
        await self._compute_tokens(rest)

    async def _compute_tokens(self, count: int) -> None:
        # The lock is held for one block at a time, so that a long prompt does not
        # delay short ones.
        async with self._compute:
            await trio.sleep(count / self.options.prefill_rate)

    def _finish(self, job: Job, completed: bool) -> None:
        """Remove a job; further calls for the same job have no effect."""
        if job not in self.jobs:
            return
        self.jobs.remove(job)
        self.warmth.finish(job.active_request, completed)

    def _wrong_id(self, job: Job) -> str:
        other_ids = (other.id for other in self.jobs if other.id != job.id)
        return next(other_ids, f"other-{job.id}")

    def _wrong_id_field(self, job: Job) -> dict[str, typing.Any]:
        return {"id": self._wrong_id(job)}

    # KV transfer and cache events

    def _events(self, req: http_server.Request) -> http_server.Response:
        after = events.parse_after(req.query)
        if after is None:
            message = "the query parameter after is not a number"
            return standin.error(http.HTTPStatus.BAD_REQUEST, "bad_after", message)
        found = self.feed.read_after(after, trio.current_time())
        content = {"boot_id": self.warmth.boot_id, "events": found}
        return http_server.json_response(http.HTTPStatus.OK, content)

    async def _export(self, req: http_server.Request) -> http_server.Response:
        try:
            order = msgspec.json.decode(req.body, type=kv.ExportOrder)
        except msgspec.MsgspecError as exc:
            return standin.error(http.HTTPStatus.BAD_REQUEST, "bad_export", str(exc))
        stored: list[kv.StoredBlock] = []
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
            message = f"fencing token {order.fencing} is older than {self.fencing}"
            return standin.error(http.HTTPStatus.CONFLICT, "old_fencing", message)
        self.fencing = max(self.fencing, order.fencing)
        async with self._loading:
            wanted = order.order.weight_version
            if wanted != self.version:
                await trio.sleep(self.options.load_s)
                self._set_version(wanted)
        self.counts["orders"] += 1
        content = {"weight_version": self.version, "fencing": order.fencing}
        return http_server.json_response(http.HTTPStatus.OK, content)

    def _set_version(self, version: str) -> None:
        self.version = version
        self.cache.clear(trio.current_time())

    # Role

    def set_faults(self, wanted: faults.Faults) -> bool:
        """Apply new faults."""
        assert isinstance(wanted, faults.EngineFaults)
        self.faults = wanted
        self.feed.dropping = wanted.drop_events
        self.feed.delay_s = wanted.delay_events_s
        self._wrong_id_responses_left = wanted.cross_answers
        if wanted.swap_weights:
            self._set_version(wanted.swap_weights)
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
        """Record load reports until cancelled."""
        while True:
            self.reports.add(self._sample())
            await trio.sleep(load.SAMPLE_INTERVAL_S)


class _ClosingStream(collections.abc.AsyncGenerator[bytes, None]):
    """A body that calls ``on_close`` on close, even if it was never started."""

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


def _remaining_tokens(job: Job) -> list[str]:
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
    message = "the engine failed under load while cold"
    return standin.error(http.HTTPStatus.INTERNAL_SERVER_ERROR, "overloaded", message)

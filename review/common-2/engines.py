"""Stand-ins of engines and of a managed KV cache store, as PROTOCOL.md tells them.

Parts are kept by salt and id. A store drops nothing by itself, a save reserves its
space at once and is complete once its transfer has ended, and a fetch takes what the
store has when it begins. The transfers of an engine run one after another.
"""

import collections
import collections.abc
import dataclasses
import itertools
import math
import random
import time

import msgspec
import trio

from snipelug_net import http_server

Key = tuple[str, str]

EVENT_LAG_S = 0.06
MISS_S = 0.001
DEAD_SOURCE_S = 0.3
MAX_TRANSFER_WAIT_S = 2.0
PREFILL_TOKENS_PER_S = 51_100.0
EVENT_INTERVAL_S = 0.005
CROSS_ZONE_FACTOR = 2.0
IDS = itertools.count(1)


def clock_ms() -> float:
    """The clock of the servers."""
    return 1e3 * time.monotonic()


@dataclasses.dataclass
class Part:
    """A part in a store.

    Attributes
    ----------
    owner : str
        Tenant of the request that made it.
    """

    tokens: int
    owner: str
    model: str
    is_complete: bool = False


class KvStore:
    """A managed store that can crash and return empty at the same address.

    Attributes
    ----------
    on_poll : callable or None
        Called with the port of the caller for each call for events.
    """

    def __init__(
        self, name: str, zone: str, capacity_tokens: int, link_mbps: float
    ) -> None:
        self.name = name
        self.zone = zone
        self.capacity_tokens = capacity_tokens
        self.link_mbps = link_mbps
        self.first_s = 0.0005
        self.port = 0
        self.epoch = random.getrandbits(47)
        self.is_up = True
        self.parts: dict[Key, Part] = {}
        self.on_poll: collections.abc.Callable[[int], None] | None = None
        self._events: list[tuple[float, tuple[int, str, str, str, int, str]]] = []
        self._process = trio.CancelScope()
        self._down_s = 0.0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def config(self) -> dict[str, object]:
        return {
            "name": self.name,
            "kv_store_address": self.address,
            "zone": self.zone,
            "kv_capacity_tokens": self.capacity_tokens,
            "link_mbps": self.link_mbps,
            "max_concurrency": 12,
            "managed": True,
            "first_ms": 1e3 * self.first_s,
        }

    async def serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        while True:
            listeners = await trio.open_tcp_listeners(self.port, host="127.0.0.1")
            self.port = listeners[0].socket.getsockname()[1]
            self.is_up = True
            with trio.CancelScope() as self._process:
                task_status.started()
                task_status = trio.TASK_STATUS_IGNORED
                await trio.serve_listeners(self._serve_connection, listeners)
            await trio.sleep(self._down_s)
            self.epoch = random.getrandbits(47)
            self.parts.clear()
            self._events.clear()

    def crash(self, down_s: float) -> None:
        """End the process; it returns empty after a time."""
        self.is_up = False
        self._down_s = down_s
        self._process.cancel()

    def reserve(self, key: Key, part: Part) -> bool:
        """Reserve the space of a save; return whether there is room."""
        used = sum(item.tokens for item in self.parts.values())
        if not self.is_up or key in self.parts:
            return False
        if used + part.tokens > self.capacity_tokens:
            return False
        self.parts[key] = part
        return True

    def complete(self, key: Key, part: Part) -> None:
        if self.parts.get(key) is part:
            part.is_complete = True
            self._add_event("+", key, part)

    def _add_event(self, sign: str, key: Key, part: Part) -> None:
        event = (len(self._events) + 1, sign, *key, part.tokens, part.model)
        self._events.append((time.monotonic() + EVENT_LAG_S, event))

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        caller = stream.socket.getpeername()[1]
        buffer = b""
        try:
            while True:
                while b"\r\n\r\n" not in buffer:
                    received = bytes(await stream.receive_some(65536))
                    if not received:
                        return
                    buffer += received
                head, _, buffer = buffer.partition(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                fields = dict(line.lower().split(": ", 1) for line in lines[1:])
                length = int(fields.get("content-length", "0"))
                while len(buffer) < length:
                    buffer += bytes(await stream.receive_some(65536))
                body, buffer = buffer[:length], buffer[length:]
                target = lines[0].split(" ")[1]
                status, content = self._answer(target, body, caller)
                data = msgspec.json.encode(content)
                answer = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                answer += f"Content-Length: {len(data)}\r\n\r\n"
                await stream.send_all(answer.encode() + data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            await trio.aclose_forcefully(stream)

    def _answer(
        self, target: str, body: bytes, caller: int
    ) -> tuple[int, dict[str, object]]:
        path, _, query = target.partition("?")
        now = time.monotonic()
        visible = [event for at, event in self._events if at <= now]
        common = {"epoch": self.epoch, "clock_ms": clock_ms()}
        if path == "/api/kv-events":
            if self.on_poll is not None:
                self.on_poll(caller)
            since = int(query.partition("=")[2])
            page = {
                "next": len(visible),
                "lost": since > len(visible),
                "events": visible[since:],
            }
            return 200, common | page
        if path == "/api/kv-list":
            held = [
                [*key, part.tokens, part.model]
                for key, part in self.parts.items()
                if part.is_complete
            ]
            partial = [
                [*key, 0, part.tokens]
                for key, part in self.parts.items()
                if not part.is_complete
            ]
            return 200, common | {
                "next": len(visible),
                "held": held,
                "partial": partial,
            }
        if path == "/api/kv-free":
            request = msgspec.json.decode(body)
            if request.get("epoch", self.epoch) != self.epoch:
                return 409, {}
            for salt, part_id in request["parts"]:
                part = self.parts.pop((salt, part_id), None)
                if part is not None and part.is_complete:
                    self._add_event("-", (salt, part_id), part)
            return 200, {}
        return 404, {}


Report = collections.abc.Callable[..., None]


@dataclasses.dataclass
class Use:
    """A part that a request took from a store or from its engine's own memory."""

    request_id: str
    tenant: str
    key: Key
    source: str
    made_by: str
    is_whole: bool


class Engine:
    """An engine that fetches parts, reads prompts, saves parts and streams events.

    Attributes
    ----------
    silent_until : float
        Monotonic time until which it is silent: it begins nothing and goes on then.
    uses : list of Use
        The memory that requests took.
    """

    def __init__(
        self,
        service: str,
        zone: str,
        model: str,
        stores: list[KvStore],
        report: Report,
        kv_tokens: int = 77_652,
        kv_token_bytes: int = 163_840,
        link_mbps: float = 280_000.0,
    ) -> None:
        self.id = f"i-{next(IDS):06x}"
        self.service = service
        self.zone = zone
        self.model = model
        self.version = 1
        self.born = int(1e3 * time.time())
        self.port = 0
        self.running = 0
        self.silent_until = -math.inf
        self.uses: list[Use] = []
        self._report = report
        self._stores = {}
        self._all_stores = stores
        self._kv_tokens = kv_tokens
        self._kv_token_bytes = kv_token_bytes
        self._link_mbps = link_mbps
        self._link = trio.Lock()
        self._cache: collections.OrderedDict[Key, Part] = collections.OrderedDict()
        self._numbers = itertools.count(1)
        self._http = http_server.Server(self._handle)

    async def serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        async with trio.open_nursery() as self._nursery:
            self.port = await self._nursery.start(self._http.serve, "127.0.0.1", 0)
            self._stores = {store.address: store for store in self._all_stores}
            task_status.started()

    def entry(self) -> dict[str, object]:
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
            "born": self.born,
            "stage": "both",
            "models": [{"name": self.model, "version": self.version, "adapters": []}],
        }

    async def _handle(self, req: http_server.Request) -> http_server.Response:
        while (left_s := self.silent_until - time.monotonic()) > 0:
            await trio.sleep(left_s)
        if req.path == "/api/report":
            entry = self.entry()
            content = {"stage": "both", "models": entry["models"], "born": self.born}
            content |= {"busy": False, "seq": 0, "waiting": 0, "running": self.running}
            return http_server.json_response(200, content)
        request_id = req.headers["request-id"]
        headers = {"request-id": request_id, "server-load": f"{self.running},0,64"}
        if req.headers.get("expected-instance", self.id) != self.id:
            return http_server.Response(421, b"", headers)
        if int(req.headers.get("expected-version", self.version)) != self.version:
            return http_server.Response(421, b"", headers)
        self.running += 1
        try:
            await self._read_prompt(req)
        finally:
            self.running -= 1
        self._report("runs", self.id, request_id, req.headers.get("tenant"))
        headers["server-signature"] = f"{self.id}.{next(self._numbers)}"
        headers["weight-versions"] = str(self.version)
        headers["content-type"] = "text/event-stream"
        return http_server.Response(200, _Events(), headers)

    async def _read_prompt(self, req: http_server.Request) -> None:
        request_id = req.headers["request-id"]
        tenant = req.headers.get("tenant", "")
        salt = req.headers.get("cache-salt", "")
        parts = [
            (item.partition(":")[0].strip(), int(item.partition(":")[2]))
            for item in req.headers["prompt-prefix"].split(",")
        ]
        blank = ["-"] * len(parts)
        sources = [t.strip() for t in req.headers.get("cache-source", "").split(",")]
        targets = [t.strip() for t in req.headers.get("cache-target", "").split(",")]
        sources = sources if len(sources) == len(parts) else blank
        targets = targets if len(targets) == len(parts) else blank
        until_ms = float(req.headers.get("cache-retain-until", "inf"))
        is_read = True
        for (part_id, tokens), source, target in zip(
            parts, sources, targets, strict=True
        ):
            key = salt, part_id
            is_found = False
            if is_read and key in self._cache:
                is_found = True
                self._cache.move_to_end(key)
                made_by = self._cache[key].owner
                self.uses.append(Use(request_id, tenant, key, self.id, made_by, True))
            elif is_read and source != "-":
                is_found = await self._fetch(request_id, tenant, key, source, until_ms)
            is_read = is_found
            if not is_found:
                await trio.sleep(tokens / PREFILL_TOKENS_PER_S)
                self._keep(key, Part(tokens, tenant, self.model, True))
                if target != "-":
                    self._save(request_id, key, tokens, tenant, target)

    def _keep(self, key: Key, part: Part) -> None:
        self._cache[key] = part
        self._cache.move_to_end(key)
        while sum(item.tokens for item in self._cache.values()) > self._kv_tokens:
            self._cache.popitem(last=False)

    def _transfer_s(self, store: KvStore, tokens: int) -> float:
        rate = 1e6 * min(self._link_mbps, store.link_mbps)
        factor = 1.0 if store.zone == self.zone else CROSS_ZONE_FACTOR
        return store.first_s + factor * 8 * self._kv_token_bytes * tokens / rate

    async def _fetch(
        self, request_id: str, tenant: str, key: Key, source: str, until_ms: float
    ) -> bool:
        """Fetch a part; return whether the request goes on from it."""
        address, _, wanted = source.partition("/")
        store = self._stores[address]
        came_at = time.monotonic()
        async with self._link:
            if time.monotonic() - came_at > MAX_TRANSFER_WAIT_S:
                return False
            if not store.is_up:
                await trio.sleep(DEAD_SOURCE_S)
                return False
            part = store.parts.get(key)
            if part is None:
                await trio.sleep(MISS_S)
                return False
            began_at, was_complete = time.monotonic(), part.is_complete
            tokens = int(wanted) if wanted else part.tokens
            await trio.sleep(self._transfer_s(store, tokens))
        if clock_ms() > until_ms:
            self._report("fetch discarded", self.id, request_id, key[1])
            return False
        is_whole = was_complete and store.parts.get(key) is part
        self.uses.append(Use(request_id, tenant, key, store.name, part.owner, is_whole))
        if not is_whole:
            self._report(
                "fetch of a part that was not whole",
                self.id,
                request_id,
                key[1],
                f"began {time.monotonic() - began_at:.3f} s ago,",
                f"complete then: {was_complete}, still there:",
                store.parts.get(key) is part,
                f"time left {until_ms - clock_ms():.0f} ms",
            )
        self._keep(key, Part(tokens, part.owner, self.model, True))
        return True

    def _save(
        self, request_id: str, key: Key, tokens: int, tenant: str, target: str
    ) -> None:
        store = self._stores[target]
        part = Part(tokens, tenant, self.model)
        if store.reserve(key, part):
            self._report("save begins", self.id, request_id, key[1], store.name)
            self._nursery.start_soon(self._send_save, store, key, part)

    async def _send_save(self, store: KvStore, key: Key, part: Part) -> None:
        async with self._link:
            if store.parts.get(key) is part:
                await trio.sleep(self._transfer_s(store, part.tokens))
        store.complete(key, part)


class _Events:
    """A short stream."""

    def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        return self._generate()

    async def _generate(self) -> collections.abc.AsyncIterator[bytes]:
        for number in range(1, 6):
            yield b"id: %d\ndata: piece %d\n\n" % (number, number)
            await trio.sleep(EVENT_INTERVAL_S)

    async def aclose(self) -> None:
        pass

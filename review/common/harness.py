"""Small deployment for the review cases: store, servers, clients and real nodes.

The nodes are processes started with the command of the deploy file. The platform's
store is the project's own stand-in; servers and clients are small raw ones, so that
they send exactly the bytes that a case needs.
"""

import collections.abc
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import resource
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import typing

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "platform"), str(ROOT / "target" / "deps")]
sys.path[:0] = [str(path) for path in sorted(ROOT.glob("packages/*/src"))]

import trio  # noqa: E402

from snipelug_platform_standin import store as store_standin  # noqa: E402

LOOPBACK = "127.0.0.1"
HOST = "desk.example"
MODEL = "m0"
KEY = "key-of-team-one"
READY_TIMEOUT_S = 20.0
HEARTBEAT_S = 1.2
MEMORY_MB = 150
FILE_DESCRIPTORS = 4100
BOUNDS = {
    "contact_ms": 3000,
    "drain_timeout_ms": 2000,
    "grace_period_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_extra": 52,
    "lease_ms": 3000,
    "thaw_slack_ms": 300,
    "version_ms": 8000,
    "version_all_ms": 11000,
}
IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_at = time.monotonic()
        self("trouble" if IS_TROUBLE else "no trouble")

    def __call__(self, what: str, **fields: object) -> None:
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        passed_s = time.monotonic() - self._began_at
        self._file.write(f"{passed_s:8.3f} {what} {text}".rstrip() + "\n")
        self._file.flush()


def limit_descriptors() -> None:
    """Set the limit that the settings tell, in the process of a node."""
    limits = (FILE_DESCRIPTORS, FILE_DESCRIPTORS)
    resource.setrlimit(resource.RLIMIT_NOFILE, limits)


def free_port() -> int:
    """Return a port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((LOOPBACK, 0))
            port: int = tcp.getsockname()[1]
            with contextlib.suppress(OSError):
                udp.bind((LOOPBACK, port))
                return port


@dataclasses.dataclass
class Message:
    """A request or a response as received; header names are in lower case."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""
    is_complete: bool = True

    @property
    def target(self) -> str:
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        return int(self.first_line.split(" ")[1])


class Conn:
    """Buffered reader of HTTP messages on one connection."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.buffer = b""

    async def fill(self) -> bool:
        try:
            data = await self.stream.receive_some(65536)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        self.buffer += data
        return bool(data)

    async def read_until(self, end: bytes) -> bytes | None:
        while end not in self.buffer:
            if not await self.fill():
                return None
        found, self.buffer = self.buffer.split(end, 1)
        return found

    async def read_exactly(self, size: int) -> bytes | None:
        while len(self.buffer) < size:
            if not await self.fill():
                return None
        found, self.buffer = self.buffer[:size], self.buffer[size:]
        return found

    async def read_head(self) -> Message | None:
        head = await self.read_until(b"\r\n\r\n")
        if head is None:
            return None
        first, *rest = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in rest)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        return Message(first, headers)

    async def body_parts(
        self, message: Message
    ) -> collections.abc.AsyncIterator[bytes | None]:
        """Generate the parts of a body; None if it is broken off."""
        if "chunked" in message.headers.get("transfer-encoding", ""):
            while True:
                line = await self.read_until(b"\r\n")
                size = None if line is None else int(line.split(b";")[0], 16)
                data = None if size is None else await self.read_exactly(size + 2)
                if data is None:
                    yield None
                    return
                if size == 0:
                    return
                yield data[:-2]
        elif "content-length" in message.headers:
            size = int(message.headers["content-length"])
            yield await self.read_exactly(size) if size else b""

    async def read_message(self) -> Message | None:
        message = await self.read_head()
        while message is not None and message.first_line.startswith("HTTP/1.1 1"):
            message = await self.read_head()
        if message is None:
            return None
        async for part in self.body_parts(message):
            if part is None:
                message.is_complete = False
            else:
                message.body += part
        return message


Handler = collections.abc.Callable[
    ["Server", Message, Conn], collections.abc.Awaitable[bool | None]
]
"""Serves one request; returns False to close the connection."""


class Server:
    """A server that is listed in the platform's store and beats there."""

    numbers = itertools.count(1)

    def __init__(self, service: str, zone: str, handler: Handler, **entry: object):
        self.id = f"i-{next(self.numbers):04d}"
        self.service = service
        self.zone = zone
        self.handler = handler
        self.port = 0
        self.born = int(1000 * time.time())
        self.extra = entry
        self.cache: dict[tuple[str, str], str] = {}
        self.at_work: set[str] = set()
        self._scope = trio.CancelScope()

    def end(self) -> None:
        """End the server; its connections and its listener are closed."""
        self._scope.cancel()

    async def serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        with self._scope:
            listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
            self.port = listeners[0].socket.getsockname()[1]
            task_status.started()
            await trio.serve_listeners(self._connection, listeners)

    async def _connection(self, stream: trio.SocketStream) -> None:
        conn = Conn(stream)
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async with stream:
                while (message := await conn.read_message()) is not None:
                    if await self.handler(self, message, conn) is False:
                        return

    def entry(self) -> dict[str, object]:
        return {
            "service": self.service,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 0,
            "born": self.born,
        } | self.extra

    def head(self, message: Message, status: str = "200 OK", **more: str) -> bytes:
        """Return a response head with the request's id and a signature."""
        fields = {
            "Request-Id": message.headers.get("request-id", ""),
            "Server-Signature": f"{self.id}.1",
            "Server-Load": f"{len(self.at_work)},0,8",
        } | {name.replace("_", "-"): value for name, value in more.items()}
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        return f"HTTP/1.1 {status}\r\n{lines}\r\n".encode("latin-1")


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body; the last one if there is no data."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Node:
    """A node process, started with the command of the deploy file."""

    def __init__(self, folder: pathlib.Path, name: str, zone: str, store_port: int):
        self.name = name
        self.callers, self.ready, self.peers = (free_port() for _ in range(3))
        self.settings = folder / f"{name}.conf"
        values: dict[str, object] = {
            "node_name": name,
            "zone": zone,
            "listen.frontend": f"{LOOPBACK}:{self.callers}",
            "listen.ready": f"{LOOPBACK}:{self.ready}",
            "internal_port_range": f"{self.peers},{self.peers}",
            "platform.address": f"{LOOPBACK}:{store_port}",
            "heartbeat_interval_ms": int(1000 * HEARTBEAT_S),
            "limits.memory_mb": MEMORY_MB,
            "limits.file_descriptors": FILE_DESCRIPTORS,
        }
        values |= {f"bounds.{name}": value for name, value in BOUNDS.items()}
        self.settings.write_text("".join(f"{k}={v}\n" for k, v in values.items()))
        self._log = (folder / f"{name}.log").open("ab")
        self.process = self.start()

    def start(self) -> "subprocess.Popen[bytes]":
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["node"]["run"])
        path = os.environ["PATH"]
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={
                "PATH": path,
                "HOME": os.environ.get("HOME", "/"),
                "LANG": "C.UTF-8",
                "PYTHONDONTWRITEBYTECODE": "1",
                "SNIPELUG_CONFIG": str(self.settings),
            },
            stdout=self._log,
            stderr=self._log,
            preexec_fn=limit_descriptors,
        )
        return self.process

    def stop(self) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    async def wait_ready(self) -> None:
        with trio.fail_after(READY_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    stream = await trio.open_tcp_stream(LOOPBACK, self.ready)
                    async with stream:
                        await stream.send_all(
                            b"GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n"
                        )
                        found = await Conn(stream).read_message()
                    if found is not None and found.status == 200:
                        return
                await trio.sleep(0.1)


class Client:
    """A client with one kept connection to a node."""

    ids = itertools.count(1)

    def __init__(self, node: Node) -> None:
        self.node = node
        self.conn: Conn | None = None

    @staticmethod
    def new_id() -> str:
        return f"{os.getpid():06x}{next(Client.ids):08x}"

    async def connect(self) -> Conn:
        if self.conn is None:
            self.conn = Conn(await trio.open_tcp_stream(LOOPBACK, self.node.callers))
        return self.conn

    async def close(self) -> None:
        if self.conn is not None:
            await trio.aclose_forcefully(self.conn.stream)
            self.conn = None

    @staticmethod
    def encode(
        method: str,
        target: str,
        request_id: str,
        body: bytes = b"",
        deadline_ms: int = 5000,
        key: str | None = KEY,
        **headers: str,
    ) -> bytes:
        fields = {
            "Host": HOST,
            "Request-Id": request_id,
            "Request-Deadline": str(deadline_ms),
        }
        if key is not None:
            fields["Authorization"] = f"Token {key}"
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        return f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode("latin-1") + body

    async def send(
        self,
        method: str,
        target: str,
        request_id: str,
        body: bytes = b"",
        deadline_ms: int = 5000,
        **options: typing.Any,
    ) -> Message | None:
        """Send one request and read the answer; None if there is none."""
        conn = await self.connect()
        data = self.encode(method, target, request_id, body, deadline_ms, **options)
        message: Message | None = None
        with trio.move_on_after(deadline_ms / 1000 + 1.0):
            try:
                await conn.stream.send_all(data)
                message = await conn.read_message()
            except trio.BrokenResourceError:
                message = None
        if (
            message is None
            or not message.is_complete
            or (message.headers.get("connection", "").lower() == "close")
        ):
            await self.close()
        return message


def route(name: str, kind: str, service: str, **fields: object) -> dict[str, object]:
    """Return a route with values like those of the sites."""
    base: dict[str, object] = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 800,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "allow_anonymous": False,
    }
    return base | fields


def config(version: int, routes: list[dict[str, object]], **fields: object) -> object:
    """Return a configuration with engines, a plain service and one tenant."""
    engine = {
        "slots": 64,
        "kv_capacity_tokens": 77652,
        "kv_token_bytes": 163840,
        "link_mbps": 280000.0,
        "models": [{"name": MODEL}],
    }
    base: dict[str, object] = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "desk", "max_connections": 96},
            {"name": "engines", "max_connections": 360, "engine": engine},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "team-one", "api_keys": [KEY]}],
    }
    return base | fields


@dataclasses.dataclass
class World:
    """A running deployment."""

    store: store_standin.Store
    nodes: list[Node]
    servers: list[Server]
    nursery: trio.Nursery

    async def beat(self) -> None:
        """Write the entries of the servers, as these do."""
        while True:
            for server in self.servers:
                self.store.put("servers", server.id, server.entry())
            await trio.sleep(HEARTBEAT_S)


@contextlib.asynccontextmanager
async def deployment(
    configuration: object, servers: list[Server], nodes: int = 1
) -> collections.abc.AsyncIterator[World]:
    """Run a deployment until the end of the context, then end all its processes."""
    started: list[Node] = []
    with tempfile.TemporaryDirectory() as name:
        try:
            async with trio.open_nursery() as nursery:
                rows = store_standin.Store()
                port = await nursery.start(rows.serve)
                for server in servers:
                    await nursery.start(server.serve)
                rows.put("op", "config", configuration)
                world = World(rows, started, servers, nursery)
                nursery.start_soon(world.beat)
                folder = pathlib.Path(name)
                for number in range(nodes):
                    started.append(Node(folder, f"front-{number + 1}", "zone-a", port))
                for node in started:
                    await node.wait_ready()
                await trio.sleep(1.5)
                yield world
                nursery.cancel_scope.cancel()
        finally:
            for node in started:
                node.stop()
            keep = os.environ.get("KEEP_LOGS")
            for node in started if keep else ():
                text = (pathlib.Path(name) / f"{node.name}.log").read_bytes()
                pathlib.Path(keep, f"{node.name}.log").write_bytes(text)


def main(
    case: collections.abc.Callable[[Record], collections.abc.Awaitable[bool]],
    folder: pathlib.Path,
) -> typing.NoReturn:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 on an error."""
    record = Record(folder)
    try:
        is_broken = trio.run(case, record)
    except BaseException as exc:
        record("the case could not run", error=repr(exc))
        print(f"the case could not run: {exc!r}", file=sys.stderr)
        sys.exit(2)
    verdict = "broken" if is_broken else "held"
    record(f"the rule was {verdict}")
    print(json.dumps({"trouble": IS_TROUBLE, "rule": verdict}))
    sys.exit(1 if is_broken else 0)

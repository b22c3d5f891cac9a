"""Contract tests of the transports over real sockets."""

import collections
import collections.abc
import gc
import http
import socket
import struct

import msgspec
import pytest
import trio
import trio_asyncio

from snipelug_net import http_client, http_server, poller, rpc

LIMITS = http_server.Limits(body_bytes=100, head_s=0.2, body_s=0.2)


async def echo(req: http_server.Request) -> http_server.Response:
    return http_server.Response(200, req.body or req.path.encode())


MALFORMED = [
    (b"nonsense\r\n\r\n", http.HTTPStatus.BAD_REQUEST),
    (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nab", 408),
    (b"POST / HTTP/1.1\r\nhost: a\r\n", 408),
    (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 101\r\n\r\n" + b"x" * 101, 413),
    (b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 40_000 + b"\r\n\r\n", 431),
]


@pytest.mark.parametrize(("data", "status"), MALFORMED)
async def test_malformed_request_gets_clear_error(
    nursery: trio.Nursery, data: bytes, status: int
) -> None:
    """Guards against silent closes and unbounded reads on bad input."""
    server = http_server.Server(echo, LIMITS)
    port = await nursery.start(server.serve, "127.0.0.1", 0)
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    await stream.send_all(data)
    received = b""
    with trio.fail_after(5):
        async for part in stream:
            received += part
    head, _, body = received.partition(b"\r\n\r\n")
    assert f" {int(status)} ".encode() in head.splitlines()[0]
    assert msgspec.json.decode(body)["error"]["run_state"] == "not_run"


async def test_pre_send_check_withholds_request(nursery: trio.Nursery) -> None:
    """Guards against sending on a right that lapsed while connecting."""
    server = http_server.Server(echo)
    port = await nursery.start(server.serve, "127.0.0.1", 0)
    pool = http_client.Pool()
    call = http_client.Call(("127.0.0.1", port), "GET", "/x")
    assert (
        await pool.fetch(call, pre_send_check=lambda _: False) == http_client.Withheld()
    )
    full = await pool.fetch(call, pre_send_check=lambda _: True)
    assert isinstance(full, http_client.FullResponse)
    assert full.body == b"/x"


async def test_refused_connection_is_not_sent() -> None:
    """Guards against reporting a refused connection as possibly executed."""
    call = http_client.Call(("127.0.0.1", 1), "GET", "/")
    assert isinstance(await http_client.Pool().fetch(call), http_client.NotSent)


async def test_client_reset_leaves_server_up(nursery: trio.Nursery) -> None:
    """Guards against one client's reset ending the whole server process."""

    async def endless() -> collections.abc.AsyncGenerator[bytes, None]:
        while True:
            yield b"x" * 60_000

    async def answer(req: http_server.Request) -> http_server.Response:
        return http_server.Response(200, endless())

    server = http_server.Server(answer)
    port = await nursery.start(server.serve, "127.0.0.1", 0)
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    await stream.send_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
    await stream.receive_some(10)
    linger = struct.pack("ii", 1, 0)
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.socket.close()
    with trio.fail_after(5):
        while server.open_connections:
            await trio.sleep(0.01)
    again = await trio.open_tcp_stream("127.0.0.1", port)
    await again.aclose()


class Pushed:
    """A body that sends itself; the last of its parts may be a fault."""

    def __init__(self, parts: list[str]) -> None:
        self.parts = parts
        self.closed = 0
        # On a busy machine the first read would bring the next parts as well.
        self.first_was_read = trio.Event()

    async def send_to(self, sink: http_server.BodyWriter) -> None:
        for part in self.parts:
            if part == "cut":
                raise trio.BrokenResourceError
            if part == "silence":
                await trio.sleep_forever()
            sink.write_nowait(part.encode())
            await sink.drain()
            await self.first_was_read.wait()
            await trio.sleep(0.001)

    async def aclose(self) -> None:
        self.closed += 1


def raise_fault(part: bytes) -> bool:
    raise ValueError("fault of one reader")


FOLLOWED = [
    ("whole", ["a", "b", "c"], lambda _: True, None),
    ("large", ["a" * 300_000, "b" * 300_000], lambda _: True, None),
    ("cut", ["a", "b", "cut"], lambda _: True, http_client.Lost),
    ("paused", ["a", "b", "silence"], lambda _: False, http_client.Paused),
    ("aborted", ["a", "b", "silence"], lambda _: True, http_client.Lost),
    ("reader fails", ["a", "b", "silence"], raise_fault, ValueError),
]


async def test_followed_bodies_end_apart(nursery: trio.Nursery) -> None:
    """Guards against one stream's end or fault that ends or stalls the others."""
    bodies = [Pushed(parts) for _, parts, _, _ in FOLLOWED]

    async def answer(req: http_server.Request) -> http_server.Response:
        return http_server.Response(200, bodies[int(req.path[1:])])

    server = http_server.Server(answer)
    port = await nursery.start(server.serve, "127.0.0.1", 0)
    reader = poller.Poller(lambda begun_at, _: begun_at + 0.005)
    nursery.start_soon(reader.run)
    pool = http_client.Pool()
    ends: list[object] = [None] * len(FOLLOWED)
    texts = [b""] * len(FOLLOWED)

    async def follow(number: int) -> None:
        name, _, take, _ = FOLLOWED[number]
        call = http_client.Call(("127.0.0.1", port), "GET", f"/{number}")
        reply = await pool.send(call)
        assert isinstance(reply, http_client.StreamingResponse)
        first = await reply.next_part()
        assert isinstance(first, bytes)
        texts[number] += first
        bodies[number].first_was_read.set()

        def take_part(part: bytes) -> bool:
            texts[number] += part
            return take(part)

        if name == "aborted":
            nursery.start_soon(abort_later, reply)
        try:
            ends[number] = await reply.read_with(reader, take_part)
        except ValueError as exc:
            ends[number] = exc
        await reply.aclose()

    async def abort_later(reply: http_client.StreamingResponse) -> None:
        await trio.sleep(0.1)
        reply.abort()

    with trio.fail_after(5):
        async with trio.open_nursery() as followers:
            for number in range(len(FOLLOWED)):
                followers.start_soon(follow, number)
        for number, (name, parts, _, kind) in enumerate(FOLLOWED):
            expected = "".join(p for p in parts if p not in ("cut", "silence"))
            assert texts[number] == expected.encode(), name
            assert isinstance(ends[number], kind or type(None)), name
        # The server notices the connections that were closed from here.
        while any(body.closed != 1 for body in bodies):
            await trio.sleep(0.01)
    assert pool.idle_count(("127.0.0.1", port)) == 2


async def test_cancelled_follower_leaves_its_socket(nursery: trio.Nursery) -> None:
    """Guards against a descriptor that is reused while it is still followed."""
    reader = poller.Poller(lambda begun_at, _: begun_at)
    nursery.start_soon(reader.run)
    reads: list[int] = []
    for number in range(3):
        here, there = socket.socketpair()
        with here, there, trio.move_on_after(0.02):
            there.send(b"x")

            def on_readable(sock: socket.socket = here, number: int = number) -> bool:
                sock.recv(1)
                reads.append(number)
                return True

            await reader.watch(here.fileno(), on_readable)
    assert reads == [0, 1, 2]


class Ping(msgspec.Struct):
    text: str


PING = rpc.Method("Ping", Ping, Ping)


@pytest.mark.parametrize("key", [b"right", b"wrong"])
async def test_rpc_needs_deployment_key(key: bytes) -> None:
    """Guards against accepting messages of processes without the shared key."""

    async def reply(message: Ping) -> Ping:
        return Ping(message.text + "!")

    listener = trio.socket.socket()
    await listener.bind(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    listener.close()
    async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
        await nursery.start(rpc.serve, "127.0.0.1", port, b"right", {PING: reply})
        client = rpc.Client("127.0.0.1", port, key)
        answer = await client.call(PING, Ping("hi"), timeout_s=5.0)
        client.close()
        nursery.cancel_scope.cancel()
    if key == b"right":
        assert answer == Ping("hi!")
    else:
        assert isinstance(answer, rpc.Unreachable)


@pytest.mark.parametrize("greeting", [b"", b"not HTTP/2 " * 10])
async def test_rpc_survives_connections_that_break(greeting: bytes) -> None:
    """Guards against a peer's broken connections ending the calling process."""

    async def break_off(stream: trio.SocketStream) -> None:
        if greeting:
            await stream.send_all(greeting)
        await trio.sleep(0.002)
        linger = struct.pack("ii", 1, 0)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, break_off, listeners)
        client = rpc.Client("127.0.0.1", port, b"key")

        async def call_often() -> None:
            for _ in range(100):
                answer = await client.call(PING, Ping("hi"), timeout_s=1.0)
                assert isinstance(answer, rpc.Unreachable)

        async with trio.open_nursery() as callers:
            for _ in range(5):
                callers.start_soon(call_often)
        client.close()
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("closes_at", ["before_call", "while_connecting", "in_call"])
async def test_rpc_client_closed_by_another_task(closes_at: str) -> None:
    """Guards against a connection made after closing, whose collection ends a node.

    The library reports a connection that is collected while open to the event loop,
    which then ends the process. Peers close the client of a frozen node while other
    calls to it go on.
    """
    listener = trio.socket.socket()
    await listener.bind(("127.0.0.1", 0))
    # One connection fits the queue; the kernel completes a second one, a second or
    # two later, once the first has been accepted.
    listener.listen(0)
    port = listener.getsockname()[1]
    async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
        first = await trio.open_tcp_stream("127.0.0.1", port)
        client = rpc.Client("127.0.0.1", port, b"key")
        answers: list[object] = []

        async def call(to: rpc.Client) -> None:
            answers.append(await to.call(PING, Ping("hi"), timeout_s=4.0))

        if closes_at == "before_call":
            client.close()
        if closes_at != "while_connecting":
            await listener.accept()
        nursery.start_soon(call, client)
        await trio.sleep(0.2)
        if closes_at != "before_call":
            client.close()
        if closes_at == "while_connecting":
            await listener.accept()
        with trio.fail_after(6.0):
            while not answers:
                await trio.sleep(0.05)
        assert [type(answer) for answer in answers] == [rpc.Unreachable]
        await first.aclose()
        del client
        gc.collect()
        await trio.sleep(0.1)
    listener.close()


async def test_rpc_takes_one_write_in_each_direction() -> None:
    """Guards against calls whose head, message and end are sent one by one."""
    chunks: collections.Counter[str] = collections.Counter()

    async def pong(message: Ping) -> Ping:
        return message

    async def copy(
        name: str, source: trio.SocketStream, target: trio.SocketStream
    ) -> None:
        async for data in source:
            chunks[name] += 1
            await target.send_all(data)

    async def forward(near: trio.SocketStream) -> None:
        far = await trio.open_tcp_stream("127.0.0.1", port)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(copy, "there", near, far)
            nursery.start_soon(copy, "back", far, near)

    listener = trio.socket.socket()
    await listener.bind(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    listener.close()
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    relay_port = listeners[0].socket.getsockname()[1]
    async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
        await nursery.start(rpc.serve, "127.0.0.1", port, b"key", {PING: pong})
        nursery.start_soon(trio.serve_listeners, forward, listeners)
        client = rpc.Client("127.0.0.1", relay_port, b"key")
        for number in range(11):
            if number == 1:
                # The first call also exchanges the settings of the connection.
                await trio.sleep(0.2)
                chunks.clear()
            answer = await client.call(PING, Ping("hi"), timeout_s=5.0)
            assert answer == Ping("hi")
        assert chunks == {"there": 10, "back": 10}
        client.close()
        nursery.cancel_scope.cancel()


async def serve_script(
    nursery: trio.Nursery, *answers: bytes, reads: int = 65536
) -> int:
    """Serve one connection: read once, send the next answer, for each answer."""

    async def handle(stream: trio.SocketStream) -> None:
        for answer in answers:
            if not await stream.receive_some(reads):
                return
            await stream.send_all(answer)
        await trio.sleep_forever()

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, handle, listeners)
    port: int = listeners[0].socket.getsockname()[1]
    return port


def scripted(body: bytes, request_id: str, extra: str = "") -> bytes:
    head = f"HTTP/1.1 200 OK\r\nx-id: {request_id}\r\n{extra}"
    return f"{head}content-length: {len(body)}\r\n\r\n".encode() + body


def numbered(port: int, request_id: str, body: bytes = b"") -> http_client.Call:
    fields = (("host", "h"), ("x-id", request_id))
    addr = ("127.0.0.1", port)
    return http_client.Call(
        addr, "POST", "/", body=body, timeout_s=2.0, fields=fields, echo="x-id"
    )


async def test_late_response_of_an_earlier_request_is_skipped(
    nursery: trio.Nursery,
) -> None:
    """Guards against another request's answer on a connection used again."""
    both = scripted(b"old", "1") + scripted(b"new", "2")
    port = await serve_script(nursery, scripted(b"first", "1"), both)
    pool = http_client.Pool()
    bodies = []
    for request_id in ("1", "2"):
        full = await pool.fetch(numbered(port, request_id))
        assert isinstance(full, http_client.FullResponse)
        bodies.append(full.body)
    assert bodies == [b"first", b"new"]
    nursery.cancel_scope.cancel()


async def test_connection_with_extra_bytes_is_not_used_again(
    nursery: trio.Nursery,
) -> None:
    """Guards against bytes behind a response that are taken for the next one."""
    twice = scripted(b"a", "1") + scripted(b"b", "1")
    port = await serve_script(nursery, twice)
    pool = http_client.Pool()
    full = await pool.fetch(numbered(port, "1"))
    assert isinstance(full, http_client.FullResponse)
    assert full.body == b"a"
    assert pool.idle_count(("127.0.0.1", port)) == 0
    nursery.cancel_scope.cancel()


async def test_answer_before_the_body_was_read(nursery: trio.Nursery) -> None:
    """Guards against a connection on which the rest of a body is still due."""
    port = await serve_script(nursery, scripted(b"no", "1"), reads=10)
    pool = http_client.Pool()
    with trio.fail_after(2):
        full = await pool.fetch(numbered(port, "1", b"x" * 8_000_000))
    assert isinstance(full, http_client.FullResponse)
    assert full.body == b"no"
    assert pool.idle_count(("127.0.0.1", port)) == 0
    nursery.cancel_scope.cancel()


async def test_idle_connections_end_before_the_server_closes_them(
    nursery: trio.Nursery,
) -> None:
    """Guards against requests on connections that the server is about to close."""
    keep = "keep-alive: timeout=1\r\n"
    port = await serve_script(nursery, scripted(b"a", "1", keep))
    pool = http_client.Pool()
    addr = ("127.0.0.1", port)
    await pool.fetch(numbered(port, "1"))
    assert pool.idle_count(addr) == 1
    await trio.sleep(0.6)
    again_at = trio.current_time()
    opened_at: list[float] = []

    def note_opening(opening: float) -> bool:
        opened_at.append(opening)
        return False

    await pool.send(numbered(port, "2"), note_opening)
    assert opened_at[0] >= again_at
    nursery.cancel_scope.cancel()


async def test_request_keeps_its_target_and_repeated_fields(
    nursery: trio.Nursery,
) -> None:
    """Guards against targets that are decoded and fields that are merged."""
    seen: list[http_server.Request] = []

    async def keep(req: http_server.Request) -> http_server.Response:
        seen.append(req)
        return http_server.Response(200)

    port = await nursery.start(http_server.Server(keep).serve, "127.0.0.1", 0)
    fields = (("host", "h"), ("x-a", "1"), ("x-a", "2"))
    call = http_client.Call(("127.0.0.1", port), "GET", "/%2F?a=%20", fields=fields)
    assert isinstance(await http_client.Pool().fetch(call), http_client.FullResponse)
    assert seen[0].target == "/%2F?a=%20"
    assert [f for f in seen[0].fields if f[0] == "x-a"] == [("x-a", "1"), ("x-a", "2")]
    nursery.cancel_scope.cancel()

"""Tests of the HTTP and RPC transports over real sockets."""

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


async def echo_body(req: http_server.Request) -> http_server.Response:
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
    """Guards against malformed requests that get no error or are read without limit."""
    server = http_server.Server(echo_body, LIMITS)
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
    """Guards against sending with a permission that expired while connecting."""
    server = http_server.Server(echo_body)
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


async def test_client_reset_does_not_stop_server(nursery: trio.Nursery) -> None:
    """Guards against a client's connection reset that ends the server process."""

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


class PushedParts:
    """Pushed body; its last part may stand for a broken connection or a stall."""

    def __init__(self, parts: list[str]) -> None:
        self.parts = parts
        self.close_count = 0
        # Without it, the first read on a busy machine could include the next parts.
        self.first_part_read = trio.Event()

    async def send_to(self, sink: http_server.BodyWriter) -> None:
        for part in self.parts:
            if part == "cut":
                raise trio.BrokenResourceError
            if part == "silence":
                await trio.sleep_forever()
            sink.write_nowait(part.encode())
            await sink.drain()
            await self.first_part_read.wait()
            await trio.sleep(0.001)

    async def aclose(self) -> None:
        self.close_count += 1


def raise_error(part: bytes) -> bool:
    raise ValueError("error in one reader")


STREAMS = [
    ("whole", ["a", "b", "c"], lambda _: True, None),
    ("large", ["a" * 300_000, "b" * 300_000], lambda _: True, None),
    ("cut", ["a", "b", "cut"], lambda _: True, http_client.Lost),
    ("paused", ["a", "b", "silence"], lambda _: False, http_client.Paused),
    ("aborted", ["a", "b", "silence"], lambda _: True, http_client.Lost),
    ("reader fails", ["a", "b", "silence"], raise_error, ValueError),
]


async def test_polled_streams_end_independently(nursery: trio.Nursery) -> None:
    """Guards against the end of, or an error in, one stream that affects the others."""
    bodies = [PushedParts(parts) for _, parts, _, _ in STREAMS]

    async def answer(req: http_server.Request) -> http_server.Response:
        return http_server.Response(200, bodies[int(req.path[1:])])

    server = http_server.Server(answer)
    port = await nursery.start(server.serve, "127.0.0.1", 0)
    reader = poller.Poller(lambda started_at, _: started_at + 0.005)
    nursery.start_soon(reader.run)
    pool = http_client.Pool()
    results: list[object] = [None] * len(STREAMS)
    received_bodies = [b""] * len(STREAMS)

    async def read_stream(number: int) -> None:
        name, _, on_part, _ = STREAMS[number]
        call = http_client.Call(("127.0.0.1", port), "GET", f"/{number}")
        reply = await pool.send(call)
        assert isinstance(reply, http_client.StreamingResponse)
        first = await reply.next_part()
        assert isinstance(first, bytes)
        received_bodies[number] += first
        bodies[number].first_part_read.set()

        def record_part(part: bytes) -> bool:
            received_bodies[number] += part
            return on_part(part)

        if name == "aborted":
            nursery.start_soon(abort_later, reply)
        try:
            results[number] = await reply.read_with(reader, record_part)
        except ValueError as exc:
            results[number] = exc
        await reply.aclose()

    async def abort_later(reply: http_client.StreamingResponse) -> None:
        await trio.sleep(0.1)
        reply.abort()

    with trio.fail_after(5):
        async with trio.open_nursery() as readers:
            for number in range(len(STREAMS)):
                readers.start_soon(read_stream, number)
        for number, (name, parts, _, kind) in enumerate(STREAMS):
            expected = "".join(p for p in parts if p not in ("cut", "silence"))
            assert received_bodies[number] == expected.encode(), name
            assert isinstance(results[number], kind or type(None)), name
        # Wait until the server has noticed the connections closed by the client.
        while any(body.close_count != 1 for body in bodies):
            await trio.sleep(0.01)
    assert pool.idle_count(("127.0.0.1", port)) == 2


async def test_cancelled_watch_unregisters_its_socket(nursery: trio.Nursery) -> None:
    """Guards against a file descriptor that is reused while it is still watched."""
    reader = poller.Poller(lambda started_at, _: started_at)
    nursery.start_soon(reader.run)
    read_numbers: list[int] = []
    for number in range(3):
        read_end, write_end = socket.socketpair()
        with read_end, write_end, trio.move_on_after(0.02):
            write_end.send(b"x")

            def on_readable(
                sock: socket.socket = read_end, number: int = number
            ) -> bool:
                sock.recv(1)
                read_numbers.append(number)
                return True

            await reader.watch(read_end.fileno(), on_readable)
    assert read_numbers == [0, 1, 2]


class Ping(msgspec.Struct):
    text: str


PING = rpc.Method("Ping", Ping, Ping)


@pytest.mark.parametrize("key", [b"right", b"wrong"])
async def test_rpc_needs_deployment_key(key: bytes) -> None:
    """Guards against accepting messages from processes without the shared key."""

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
async def test_rpc_survives_broken_connections(greeting: bytes) -> None:
    """Guards against broken connections to a peer that end the calling process."""

    async def reset_connection(stream: trio.SocketStream) -> None:
        if greeting:
            await stream.send_all(greeting)
        await trio.sleep(0.002)
        linger = struct.pack("ii", 1, 0)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, reset_connection, listeners)
        client = rpc.Client("127.0.0.1", port, b"key")

        async def call_repeatedly() -> None:
            for _ in range(100):
                answer = await client.call(PING, Ping("hi"), timeout_s=1.0)
                assert isinstance(answer, rpc.Unreachable)

        async with trio.open_nursery() as callers:
            for _ in range(5):
                callers.start_soon(call_repeatedly)
        client.close()
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("closes_at", ["before_call", "while_connecting", "in_call"])
async def test_rpc_client_closed_concurrently(closes_at: str) -> None:
    """Guards against a connection that is opened after its client was closed.

    If it is garbage-collected while open, grpclib reports it to the event loop, which
    ends the process. This happens when peers close the client of a frozen node while
    other calls to it are in progress.
    """
    listener = trio.socket.socket()
    await listener.bind(("127.0.0.1", 0))
    # The backlog holds one connection. The kernel completes a second one only after
    # the first has been accepted, with a delay of one to two seconds.
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


async def test_rpc_uses_one_write_in_each_direction() -> None:
    """Guards against separate writes for the headers, message and end of a call."""
    chunks: collections.Counter[str] = collections.Counter()

    async def echo_message(message: Ping) -> Ping:
        return message

    async def forward_chunks(
        name: str, source: trio.SocketStream, target: trio.SocketStream
    ) -> None:
        async for data in source:
            chunks[name] += 1
            await target.send_all(data)

    async def proxy(client_stream: trio.SocketStream) -> None:
        server_stream = await trio.open_tcp_stream("127.0.0.1", port)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(forward_chunks, "there", client_stream, server_stream)
            nursery.start_soon(forward_chunks, "back", server_stream, client_stream)

    listener = trio.socket.socket()
    await listener.bind(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    listener.close()
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    proxy_port = listeners[0].socket.getsockname()[1]
    async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
        await nursery.start(rpc.serve, "127.0.0.1", port, b"key", {PING: echo_message})
        nursery.start_soon(trio.serve_listeners, proxy, listeners)
        client = rpc.Client("127.0.0.1", proxy_port, b"key")
        for number in range(11):
            if number == 1:
                # The first call also exchanges the HTTP/2 settings.
                await trio.sleep(0.2)
                chunks.clear()
            answer = await client.call(PING, Ping("hi"), timeout_s=5.0)
            assert answer == Ping("hi")
        assert chunks == {"there": 10, "back": 10}
        client.close()
        nursery.cancel_scope.cancel()


async def serve_responses(
    nursery: trio.Nursery, *answers: bytes, receive_bytes: int = 65536
) -> int:
    """Serve connections: for each given response, read once, then send it."""

    async def handle(stream: trio.SocketStream) -> None:
        for answer in answers:
            if not await stream.receive_some(receive_bytes):
                return
            await stream.send_all(answer)
        await trio.sleep_forever()

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, handle, listeners)
    port: int = listeners[0].socket.getsockname()[1]
    return port


def build_response(body: bytes, request_id: str, extra: str = "") -> bytes:
    head = f"HTTP/1.1 200 OK\r\nx-id: {request_id}\r\n{extra}"
    return f"{head}content-length: {len(body)}\r\n\r\n".encode() + body


def build_call(port: int, request_id: str, body: bytes = b"") -> http_client.Call:
    fields = (("host", "h"), ("x-id", request_id))
    addr = ("127.0.0.1", port)
    return http_client.Call(
        addr, "POST", "/", body=body, timeout_s=2.0, fields=fields, echoed_header="x-id"
    )


async def test_late_response_to_earlier_request_is_discarded(
    nursery: trio.Nursery,
) -> None:
    """Guards against the response to an earlier request on a reused connection."""
    old_and_new = build_response(b"old", "1") + build_response(b"new", "2")
    port = await serve_responses(nursery, build_response(b"first", "1"), old_and_new)
    pool = http_client.Pool()
    bodies = []
    for request_id in ("1", "2"):
        full = await pool.fetch(build_call(port, request_id))
        assert isinstance(full, http_client.FullResponse)
        bodies.append(full.body)
    assert bodies == [b"first", b"new"]
    nursery.cancel_scope.cancel()


async def test_connection_with_extra_bytes_is_not_reused(
    nursery: trio.Nursery,
) -> None:
    """Guards against reading extra bytes after a response as the next response."""
    doubled = build_response(b"a", "1") + build_response(b"b", "1")
    port = await serve_responses(nursery, doubled)
    pool = http_client.Pool()
    full = await pool.fetch(build_call(port, "1"))
    assert isinstance(full, http_client.FullResponse)
    assert full.body == b"a"
    assert pool.idle_count(("127.0.0.1", port)) == 0
    nursery.cancel_scope.cancel()


async def test_response_before_body_was_read(nursery: trio.Nursery) -> None:
    """Guards against reusing a connection before the request body was fully sent."""
    port = await serve_responses(nursery, build_response(b"no", "1"), receive_bytes=10)
    pool = http_client.Pool()
    with trio.fail_after(2):
        full = await pool.fetch(build_call(port, "1", b"x" * 8_000_000))
    assert isinstance(full, http_client.FullResponse)
    assert full.body == b"no"
    assert pool.idle_count(("127.0.0.1", port)) == 0
    nursery.cancel_scope.cancel()


async def test_idle_connections_expire_before_server_timeout(
    nursery: trio.Nursery,
) -> None:
    """Guards against reusing connections that the server is about to close."""
    keep_alive = "keep-alive: timeout=1\r\n"
    port = await serve_responses(nursery, build_response(b"a", "1", keep_alive))
    pool = http_client.Pool()
    addr = ("127.0.0.1", port)
    await pool.fetch(build_call(port, "1"))
    assert pool.idle_count(addr) == 1
    await trio.sleep(0.6)
    resent_at = trio.current_time()
    opened_at: list[float] = []

    def record_opening(opening_time: float) -> bool:
        opened_at.append(opening_time)
        return False

    await pool.send(build_call(port, "2"), record_opening)
    assert opened_at[0] >= resent_at
    nursery.cancel_scope.cancel()


async def test_request_keeps_raw_target_and_repeated_fields(
    nursery: trio.Nursery,
) -> None:
    """Guards against decoding the request target or merging repeated fields."""
    received_requests: list[http_server.Request] = []

    async def record_request(req: http_server.Request) -> http_server.Response:
        received_requests.append(req)
        return http_server.Response(200)

    port = await nursery.start(http_server.Server(record_request).serve, "127.0.0.1", 0)
    fields = (("host", "h"), ("x-a", "1"), ("x-a", "2"))
    call = http_client.Call(("127.0.0.1", port), "GET", "/%2F?a=%20", fields=fields)
    assert isinstance(await http_client.Pool().fetch(call), http_client.FullResponse)
    assert received_requests[0].target == "/%2F?a=%20"
    assert [f for f in received_requests[0].fields if f[0] == "x-a"] == [
        ("x-a", "1"),
        ("x-a", "2"),
    ]
    nursery.cancel_scope.cancel()


OCTETS = "".join(chr(code) for code in (0x21, 0x7E, 0x80, 0xA0, 0xE9, 0xFF))


async def test_octets_above_127_pass_unchanged(nursery: trio.Nursery) -> None:
    """Guards against a connection that is closed without a response to the request."""

    async def echo(req: http_server.Request) -> http_server.Response:
        return http_server.Response(200, b"x", {"x-back": req.headers["x-there"]})

    port = await nursery.start(http_server.Server(echo).serve, "127.0.0.1", 0)
    call = http_client.Call(
        ("127.0.0.1", port), "GET", "/", headers={"x-there": OCTETS}
    )
    found = await http_client.Pool().fetch(call)
    assert isinstance(found, http_client.FullResponse)
    assert found.headers["x-back"] == OCTETS


@pytest.mark.parametrize("value", ["a\nb", "a\x00b"])
async def test_response_that_http_does_not_allow_is_an_error(
    nursery: trio.Nursery, value: str
) -> None:
    """Guards against a connection that is closed after the request has run."""

    async def answer(_: http_server.Request) -> http_server.Response:
        return http_server.Response(200, b"x", {"x-odd": value})

    port = await nursery.start(http_server.Server(answer).serve, "127.0.0.1", 0)
    found = await http_client.Pool().fetch(
        http_client.Call(("127.0.0.1", port), "GET", "/")
    )
    assert isinstance(found, http_client.FullResponse)
    assert found.status == 502
    assert b'"run_state":"unknown"' in found.body


async def test_new_connection_is_not_closed_for_stalled_uploads() -> None:
    """Guards against ordinary callers who pay for clients that hold all connections.

    A new connection is idle until its first request has arrived.
    """

    async def answer(req: http_server.Request) -> http_server.Response:
        return http_server.Response(200, b"ok")

    upload = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n1"
    srv = http_server.Server(answer, http_server.Limits(connections=3))
    async with trio.open_nursery() as nursery:
        port = await nursery.start(srv.serve, "127.0.0.1", 0)
        stalled = [await trio.open_tcp_stream("127.0.0.1", port) for _ in range(3)]
        for stream in stalled:
            await stream.send_all(upload)
        await trio.sleep(1.5 * http_server.NEW_CONNECTION_S)
        ordinary = [await trio.open_tcp_stream("127.0.0.1", port) for _ in range(2)]
        # The server accepts both before the first one sends a request.
        await trio.testing.wait_all_tasks_blocked(0.05)
        for stream in ordinary:
            await stream.send_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            with trio.fail_after(5.0):
                assert (await stream.receive_some(100)).startswith(b"HTTP/1.1 200")
        nursery.cancel_scope.cancel()

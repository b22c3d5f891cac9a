"""Tests with peers that send bytes without end, or too slowly to make progress.

Each is given up within a bounded time and a bounded number of bytes, and the request is
tried elsewhere where that is allowed. A slow peer that makes progress is not given up.
"""

import itertools
import socket
import time
import tracemalloc

import pytest
import trio

from snipelug_net import http_client, http_server
from snipelug_platform_standin import server
from snipelug_relay import sse, stream
from tests import platform_world

CALL_TIMEOUT_S = 3.0
MAX_RECEIVED_BYTES = 16 * 1024 * 1024
"""Includes what the kernel buffers between the two ends."""

HEAD = b"HTTP/1.1 200 OK\r\nx-id: 1\r\n"
ENDLESS = [
    # What is sent once, and what follows without end.
    pytest.param(b"", b"x" * 4096, id="no_status_line"),
    pytest.param(HEAD, b"x-a: b\r\n" * 500, id="head"),
    pytest.param(HEAD + b"x-a: ", b"y" * 4096, id="header_value"),
    pytest.param(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100, id="informational"),
    pytest.param(
        HEAD.replace(b": 1", b": 0") + b"transfer-encoding: chunked\r\n\r\n",
        b"1000\r\n" + b"z" * 4096 + b"\r\n",
        id="response_to_another_request",
    ),
    pytest.param(
        HEAD + b"transfer-encoding: chunked\r\n\r\n", b"0" * 4096, id="chunk_size"
    ),
    pytest.param(
        HEAD + b"transfer-encoding: chunked\r\n\r\n1;",
        b"a=b;" * 1000,
        id="chunk_extension",
    ),
    pytest.param(
        HEAD + b"transfer-encoding: chunked\r\n\r\n0\r\n",
        b"x-a: b\r\n" * 500,
        id="trailers",
    ),
    pytest.param(HEAD + b"\r\n", b"z" * 4096, id="body"),
]


async def serve_endless(
    nursery: trio.Nursery, first: bytes, rest: bytes, sent: list[int]
) -> int:
    """Answer each request with bytes that never end; record how many were sent."""

    async def handle(conn: trio.SocketStream) -> None:
        await conn.receive_some()
        number = len(sent)
        sent.append(0)
        try:
            for data in itertools.chain([first], itertools.repeat(rest)):
                await conn.send_all(data)
                sent[number] += len(data)
        except trio.BrokenResourceError:
            return

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, handle, listeners)
    port: int = listeners[0].socket.getsockname()[1]
    return port


def call_to(port: int) -> http_client.Call:
    fields = (("host", "h"), ("x-id", "1"))
    return http_client.Call(
        ("127.0.0.1", port),
        "GET",
        "/",
        timeout_s=CALL_TIMEOUT_S,
        fields=fields,
        echoed_header="x-id",
    )


@pytest.mark.parametrize(("first", "rest"), ENDLESS)
async def test_endless_response_ends_soon(
    nursery: trio.Nursery, first: bytes, rest: bytes
) -> None:
    """Guards against upstreams that keep the node's core busy until a timeout."""
    sent: list[int] = []
    port = await serve_endless(nursery, first, rest, sent)
    started_at = time.monotonic()
    found = await http_client.Pool().fetch(call_to(port), limit_bytes=1024 * 1024)
    elapsed_s = time.monotonic() - started_at
    assert isinstance(found, http_client.Lost | http_client.TooLarge)
    assert elapsed_s < CALL_TIMEOUT_S / 2
    assert sent[0] < MAX_RECEIVED_BYTES
    nursery.cancel_scope.cancel()


async def test_endless_bodies_do_not_fill_the_memory(nursery: trio.Nursery) -> None:
    """Guards against 100 upstreams at once whose bodies do not end.

    A node of the deployments has 150 MB or more, of which the interpreter takes 60 MB.
    """
    sent: list[int] = []
    port = await serve_endless(nursery, HEAD + b"\r\n", b"z" * 65536, sent)
    pool = http_client.Pool()
    found: list[object] = []

    async def fetch() -> None:
        found.append(await pool.fetch(call_to(port)))

    tracemalloc.start()
    try:
        with trio.fail_after(60):
            async with trio.open_nursery() as callers:
                for _ in range(100):
                    callers.start_soon(fetch)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(found) == 100
    assert all(isinstance(item, http_client.TooLarge) for item in found)
    assert peak < 60 * 1024 * 1024
    assert pool.buffered_bytes == 0
    nursery.cancel_scope.cancel()


def test_comments_between_events_have_no_limit_in_all() -> None:
    """Guards against cutting long streams with a keep-alive now and then."""
    splitter = sse.Splitter()
    for _ in range(1000):
        splitter.push(b": " + b"x" * 1000 + b"\n\n")
        splitter.push(b"id: 1\n\n")
        assert not splitter.is_overlong


def test_event_without_end_is_bounded() -> None:
    """Guards against an event that is buffered, and searched again, without limit."""
    splitter = sse.Splitter()
    started_at = time.process_time()
    pieces = 0
    while not splitter.is_overlong:
        assert splitter.push(b"x" * 16) == b""
        pieces += 1
        assert pieces * 16 <= 2 * sse.MAX_EVENT_BYTES
    assert time.process_time() - started_at < 1.0


SPLITS = [[b"id: 1\n", b"\nid: 2\n\n"], [b"id: 1\n\ni", b"d: 2\n", b"\n"]]


@pytest.mark.parametrize("pieces", SPLITS)
def test_events_end_at_any_split(pieces: list[bytes]) -> None:
    """Guards against an end of an event that is missed between two reads."""
    splitter = sse.Splitter()
    assert b"".join(splitter.push(piece) for piece in pieces) == b"id: 1\n\nid: 2\n\n"
    assert splitter.last_id == "2"


FILLERS = [
    pytest.param(b": ping\n", id="comments"),
    pytest.param(b"data: x", id="event_without_end"),
]


@pytest.mark.parametrize("filler", FILLERS)
async def test_stalled_stream_with_filler_is_resumed(filler: bytes) -> None:
    """Guards against a stalled stream that holds its caller by bytes now and then."""
    async with platform_world.deployment(apps=0) as world:
        caller = platform_world.Caller(world.nodes[0])
        faults = server.Faults(fills_after=1, filler=filler)
        for engine in world.engines:
            engine.faults = faults
        started_at = trio.current_time()
        first = await caller.send_prompt("/check/")
        assert isinstance(first, http_client.FullResponse), first
        assert first.body.count(b"\n\n") == 3
        assert filler not in first.body
        assert trio.current_time() - started_at < stream.MAX_EVENT_GAP_S + 1.0


COMMENTS = (b": " + b"x" * 1000 + b"\n\n") * 300


@pytest.mark.parametrize("target", ["/check/", "/ask/"])
async def test_comments_without_end_are_given_up(target: str) -> None:
    """Guards against a stream of comments that holds its caller until its deadline."""
    async with platform_world.deployment(apps=0) as world:
        caller = platform_world.Caller(world.nodes[0])
        faults = server.Faults(fills_after=1, filler=COMMENTS)
        for engine in world.engines:
            engine.faults = faults
        with trio.fail_after(1.5):
            found = await caller.send_prompt(target)
        if target == "/ask/":
            assert isinstance(found, http_client.Lost)
            return
        assert isinstance(found, http_client.FullResponse), found
        assert found.body.replace(COMMENTS[:1004], b"").count(b"\n\n") == 3


async def test_endless_streams_do_not_fill_the_memory() -> None:
    """Guards against streams without end whose callers do not read them."""
    filler = b"data: " + b"x" * 100_000 + b"\n\n"
    async with platform_world.deployment(apps=0) as world:
        for engine in world.engines:
            engine.faults = server.Faults(fills_after=1, filler=filler)
        callers = [platform_world.Caller(world.nodes[0], n) for n in range(60)]
        replies: list[object] = []

        async def send(caller: platform_world.Caller) -> None:
            headers = {"model": platform_world.MODEL, "token_usage": "9,9"}
            call = caller.call("POST", "/ask/", b"x", **headers, prompt_prefix="aa:9")
            replies.append(await caller.pool.send(call))

        tracemalloc.start()
        try:
            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(send, caller)
            await trio.sleep(1.0)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert len(replies) == len(callers)
        assert peak < 60 * 1024 * 1024


async def test_slow_stream_without_alternative_goes_on() -> None:
    """Guards against cutting a slow but sound stream that no other engine can take."""
    async with platform_world.deployment(apps=0, engines=1) as world:
        gap_s = stream.MAX_EVENT_GAP_S + 0.4
        world.engines[0].event_interval_s = gap_s
        slow = platform_world.route(
            "slow", "/slow/", "streaming", "llm", resumable=True, max_attempts=2
        )
        world.configure(2, routes=[slow | {"timeout_ms": 9000}])
        caller = platform_world.Caller(world.nodes[0])
        await platform_world.wait_until(
            lambda: world.nodes[0]._state.catalog.version == 2  # type: ignore[union-attr]
        )
        full = await caller.send_prompt("/slow/", request_deadline="9000")
        assert isinstance(full, http_client.FullResponse), full
        assert full.body.count(b"\n\n") == 3
        assert len(world.engines[0].executed) == 1


async def answer(req: http_server.Request) -> http_server.Response:
    return http_server.Response(200, req.target.encode())


async def read_all(sock: socket.socket) -> bytes:
    """Read until the server closes the connection; empty if it was reset."""
    sock.setblocking(False)
    received = b""
    with trio.fail_after(5):
        while True:
            await trio.lowlevel.wait_readable(sock)
            try:
                part = sock.recv(65536)
            except ConnectionResetError:
                return b""
            if not part:
                return received
            received += part


REQUEST = b"GET /late HTTP/1.1\r\nhost: h\r\n\r\n"


async def test_stop_answers_connections_in_the_backlog(nursery: trio.Nursery) -> None:
    """Guards against resetting connections that the kernel has already accepted."""
    listening = http_server.Server(answer)
    port = await nursery.start(listening.serve, "127.0.0.1", 0)
    socks = [socket.create_connection(("127.0.0.1", port)) for _ in range(20)]
    for sock in socks:
        sock.sendall(REQUEST)
    listening.stop_accepting()
    received = [await read_all(sock) for sock in socks]
    assert [data.partition(b"\r\n")[0] for data in received] == [b"HTTP/1.1 200 "] * 20
    for sock in socks:
        sock.close()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", port))
    nursery.cancel_scope.cancel()


async def test_stop_answers_a_request_that_crosses_the_close(
    nursery: trio.Nursery,
) -> None:
    """Guards against closing a kept connection on which a request has arrived."""
    listening = http_server.Server(answer)
    port = await nursery.start(listening.serve, "127.0.0.1", 0)
    sock = socket.create_connection(("127.0.0.1", port))
    await platform_world.wait_until(lambda: len(listening.idle_scopes) == 1)
    sock.sendall(REQUEST)
    listening.draining = True
    listening.close_idle()
    received = await read_all(sock)
    assert received.startswith(b"HTTP/1.1 200 ")
    assert b"connection: close" in received.lower()
    sock.close()
    nursery.cancel_scope.cancel()


async def test_stop_closes_idle_connections(nursery: trio.Nursery) -> None:
    """Guards against a stop that waits for connections without a request."""
    listening = http_server.Server(answer)
    port = await nursery.start(listening.serve, "127.0.0.1", 0)
    sock = socket.create_connection(("127.0.0.1", port))
    await platform_world.wait_until(lambda: len(listening.idle_scopes) == 1)
    listening.close_idle()
    assert await read_all(sock) == b""
    await platform_world.wait_until(lambda: listening.open_connections == 0)
    sock.close()
    nursery.cancel_scope.cancel()

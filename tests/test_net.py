"""Contract tests of the transports over real sockets."""

import collections
import collections.abc
import http
import socket
import struct

import msgspec
import pytest
import trio
import trio_asyncio

from snipelug_net import http_client, http_server, rpc

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


async def test_last_check_withholds_request(nursery: trio.Nursery) -> None:
    """Guards against sending on a right that lapsed while connecting."""
    server = http_server.Server(echo)
    port = await nursery.start(server.serve, "127.0.0.1", 0)
    pool = http_client.Pool()
    call = http_client.Call(("127.0.0.1", port), "GET", "/x")
    assert await pool.fetch(call, last_check=lambda _: False) == http_client.Withheld()
    full = await pool.fetch(call, last_check=lambda _: True)
    assert isinstance(full, http_client.Full)
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

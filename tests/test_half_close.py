"""Tests of callers that close their sending side, or all, while they wait."""

import collections.abc
import contextlib
import http.client
import io
import socket
import struct

import pytest
import trio

from snipelug_net import http_server
from tests import platform_world, raw_caller

NOTICE_S = 0.5
"""Time within which a departure must be noticed."""

EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in (1, 2, 3))


async def wait_executed(world: platform_world.World, count: int = 1) -> None:
    await platform_world.wait_until(
        lambda: sum(len(s.executed) for s in [*world.apps, *world.engines]) >= count
    )


async def wait_configured(world: platform_world.World, version: int) -> None:
    def is_configured() -> bool:
        known = world.nodes[0]._state.catalog
        return known is not None and known.version >= version

    await platform_world.wait_until(is_configured)


def open_requests(world: platform_world.World) -> int:
    return world.nodes[0]._callers.open_requests


async def assert_noticed(world: platform_world.World) -> None:
    """Check that the request ends within ``NOTICE_S``."""
    with trio.fail_after(NOTICE_S):
        while open_requests(world):
            await trio.sleep(0.01)


@contextlib.asynccontextmanager
async def slow_apps(
    answer_delay_s: float = 0.7,
) -> collections.abc.AsyncIterator[platform_world.World]:
    """Run a deployment whose upstream answers after a time."""
    async with platform_world.deployment(apps=1, engines=0, kv_stores=0) as world:
        world.apps[0].answer_delay_s = answer_delay_s
        limits = {"timeout_ms": 8000}
        waiting = platform_world.route("wait", "/wait/", "idempotent", "app", **limits)
        order = platform_world.route("order", "/order/", "non_idempotent", "app")
        world.configure(2, routes=[waiting, order])
        await wait_configured(world, 2)
        yield world


@pytest.mark.parametrize("delay_s", [0.0, 0.1])
@pytest.mark.parametrize("target", ["/order/", "/wait/"])
async def test_half_closed_caller_gets_its_answer(target: str, delay_s: float) -> None:
    """Guards against taking the end of a caller's input for its departure."""
    async with slow_apps() as world:
        stream = await raw_caller.connect(world)
        await stream.send_all(raw_caller.request("POST", target, b"x"))
        await trio.sleep(delay_s)
        await stream.send_eof()
        count, answer = raw_caller.split_interim(await raw_caller.read_all(stream))
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.endswith(b":ok")
        assert 1 <= count <= http_server.MAX_PROBES
        assert len(world.apps[0].executed) == 1


async def test_half_closed_caller_gets_answer_on_kept_connection() -> None:
    """Guards against a half-close that is mistaken on a connection in use again."""
    async with slow_apps() as world:
        stream = await raw_caller.connect(world)
        await stream.send_all(raw_caller.request("POST", "/wait/", b"x", number=1))
        first = await raw_caller.read_until(stream, b":ok")
        assert first.startswith(b"HTTP/1.1 200")
        await stream.send_all(raw_caller.request("POST", "/wait/", b"x", number=2))
        await stream.send_eof()
        _, answer = raw_caller.split_interim(await raw_caller.read_all(stream))
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.endswith(b":ok")


async def test_half_closed_caller_gets_answers_to_pipelined_requests() -> None:
    """Guards against losing a request that was sent before the end of the input."""
    async with slow_apps(0.3) as world:
        stream = await raw_caller.connect(world)
        both = [raw_caller.request("POST", "/wait/", b"x", number=n) for n in (1, 2)]
        await stream.send_all(b"".join(both))
        await stream.send_eof()
        received = await raw_caller.read_all(stream)
        assert received.count(b"HTTP/1.1 200") == 2
        assert received.endswith(b":ok")


async def test_unfinished_request_of_half_closed_caller_is_not_run() -> None:
    """Guards against running a request whose body was cut by the end of the input."""
    async with slow_apps() as world:
        stream = await raw_caller.connect(world)
        await stream.send_all(raw_caller.request("POST", "/order/", b"body")[:-2])
        await stream.send_eof()
        received = await raw_caller.read_all(stream)
        assert received.startswith(b"HTTP/1.1 400")
        assert not world.apps[0].executed


@pytest.mark.parametrize("silence_s", [0.0, 0.9])
async def test_half_closed_caller_gets_its_stream_unchanged(silence_s: float) -> None:
    """Guards against cutting a half-closed caller's stream, or adding to its body."""
    async with platform_world.deployment(apps=0, engines=1, kv_stores=0) as world:
        engine = world.engines[0]
        engine.event_interval_s = 0.05
        if silence_s:
            engine.faults.silent_after = 1
            engine.faults.silence_s = silence_s
        stream = await raw_caller.connect(world)
        await stream.send_all(raw_caller.prompt("/check/"))
        await wait_executed(world)
        await trio.sleep(0.02)
        await stream.send_eof()
        head, _, body = (await raw_caller.read_all(stream)).partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert raw_caller.decode_chunks(body) == EVENTS


async def test_stream_that_begins_after_the_half_close_is_delivered() -> None:
    """Guards against an interim response within the response that follows it."""
    async with platform_world.deployment(apps=0, engines=1, kv_stores=0) as world:
        world.engines[0].first_event_s = 0.6
        stream = await raw_caller.connect(world)
        await stream.send_all(raw_caller.prompt("/check/"))
        await stream.send_eof()
        count, answer = raw_caller.split_interim(await raw_caller.read_all(stream))
        head, _, body = answer.partition(b"\r\n\r\n")
        assert count >= 1
        assert head.startswith(b"HTTP/1.1 200")
        assert raw_caller.decode_chunks(body) == EVENTS


class ReceivedBytes:
    """The received bytes of a connection, as ``http.client`` reads them."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    def makefile(self, *_: object) -> io.BytesIO:
        return io.BytesIO(self._data)


async def test_stream_that_breaks_off_after_a_probe_is_incomplete() -> None:
    """Guards against a probe that makes a cut body look complete to lenient clients."""
    async with platform_world.deployment(apps=0, engines=1, kv_stores=0) as world:
        world.engines[0].faults.silent_after = 1
        world.engines[0].faults.silence_s = 5.0
        stream = await raw_caller.connect(world)
        await stream.send_all(raw_caller.prompt("/ask/"))
        received = await raw_caller.read_until(stream, b"piece 1\n\n\r\n")
        await stream.send_eof()
        await trio.sleep(0.2)
        world.engines[0].crash()
        received += await raw_caller.read_all(stream)
        response = http.client.HTTPResponse(ReceivedBytes(received))  # type: ignore[arg-type]
        response.begin()
        with pytest.raises(http.client.IncompleteRead):
            response.read()


async def test_http_1_0_caller_gets_no_interim_response() -> None:
    """Guards against sending responses that HTTP/1.0 does not have."""
    async with slow_apps(0.4) as world:
        stream = await raw_caller.connect(world)
        await stream.send_all(
            raw_caller.request("POST", "/order/", b"x", version="1.0")
        )
        await stream.send_eof()
        received = await raw_caller.read_all(stream)
        assert received.startswith(b"HTTP/1.1 200")
        assert raw_caller.INTERIM not in received


DEPARTURES = ["close", "reset", "half, then close"]


async def leave(stream: trio.SocketStream, how: str) -> None:
    """Close a connection."""
    if how == "half, then close":
        await stream.send_eof()
        await trio.sleep(0.55)
    if how == "reset":
        linger = struct.pack("ii", 1, 0)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.socket.close()


@pytest.mark.parametrize("how", DEPARTURES)
@pytest.mark.parametrize(("version", "method"), [("1.0", "GET"), ("1.1", "POST")])
async def test_departure_is_noticed_before_the_response(
    how: str, version: str, method: str
) -> None:
    """Guards against work for callers that have closed the whole connection."""
    async with slow_apps(5.0) as world:
        stream = await raw_caller.connect(world)
        await stream.send_all(
            raw_caller.request(method, "/wait/", b"x", version=version)
        )
        await wait_executed(world)
        await leave(stream, how)
        await assert_noticed(world)


@pytest.mark.parametrize("how", DEPARTURES)
async def test_departure_is_noticed_within_a_silent_stream(how: str) -> None:
    """Guards against a silence of the upstream that hides a departure."""
    async with platform_world.deployment(apps=0, engines=1, kv_stores=0) as world:
        world.engines[0].faults.silent_after = 1
        world.engines[0].faults.silence_s = 5.0
        stream = await raw_caller.connect(world)
        await stream.send_all(raw_caller.prompt("/ask/"))
        await raw_caller.read_until(stream, b"piece 1\n\n\r\n")
        await leave(stream, how)
        await assert_noticed(world)


@pytest.mark.parametrize("sent_on", [10, 100_000])
@pytest.mark.parametrize("how", ["close", "reset"])
async def test_departure_is_noticed_after_further_input(how: str, sent_on: int) -> None:
    """Guards against watching a connection only until more input arrives."""
    async with slow_apps(5.0) as world:
        stream = await raw_caller.connect(world)
        await stream.send_all(raw_caller.request("POST", "/wait/", b"x"))
        await wait_executed(world)
        await stream.send_all(b"x" * sent_on)
        await trio.sleep(0.1)
        await leave(stream, how)
        await assert_noticed(world)


async def test_input_during_a_request_is_bounded() -> None:
    """Guards against a caller that fills the memory by sending on while it waits."""
    async with slow_apps(5.0) as world:
        stream = await raw_caller.connect(world)
        await stream.send_all(raw_caller.request("POST", "/wait/", b"x"))
        sent = 0
        # The kernel buffers the rest on both sides, up to some MiB.
        with trio.move_on_after(1.0):
            while sent < 64 * 1024 * 1024:
                await stream.send_all(b"x" * 65536)
                sent += 65536
        assert sent < 64 * 1024 * 1024
        assert open_requests(world) == 1


async def test_stopping_node_answers_a_half_closed_caller() -> None:
    """Guards against a planned stop that treats a half-close as a departure."""
    async with slow_apps(1.0) as world:
        stream = await raw_caller.connect(world)
        await stream.send_all(raw_caller.request("POST", "/order/", b"x"))
        await wait_executed(world)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.nodes[0].stop)
            await trio.sleep(0.1)
            await stream.send_eof()
            _, answer = raw_caller.split_interim(await raw_caller.read_all(stream))
        assert answer.startswith(b"HTTP/1.1 200")
        assert b"connection: close" in answer.lower()

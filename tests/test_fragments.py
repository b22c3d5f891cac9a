"""Tests with peers that send as many small fragments as are read.

Other tasks must go on, and a peer that sends nothing but small fragments is given up.
"""

import collections.abc

import h11
import pytest
import trio
import trio.testing

from snipelug_net import http_client, http_server, pacing, poller
from snipelug_relay import sse
from tests import test_unbounded_input

MAX_PARSED = 200
"""Maximum number of parsing steps between two runs of another task."""

CUT_AFTER_S = pacing.MAX_DELAY_S + 3.0
EVENTS_HEAD = test_unbounded_input.HEAD + b"transfer-encoding: chunked\r\n\r\n"
OTHER_HEAD = EVENTS_HEAD.replace(b"x-id: 1", b"x-id: 0")
SMALL_CHUNK = b"1\r\nz\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


FRAGMENTED = [
    pytest.param(EVENTS_HEAD, SMALL_CHUNK * 1000, id="body"),
    pytest.param(EVENTS_HEAD, chunk(b":\n\n") * 1000, id="comments"),
    pytest.param(EVENTS_HEAD, chunk(b": ping\n\n") * 1000, id="longer_comments"),
    pytest.param(OTHER_HEAD, SMALL_CHUNK * 1000, id="response_to_another_request"),
]


class Steps:
    """Counts the parsing steps between two runs of another task."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.most = 0
        self._count = 0
        next_event = h11.Connection.next_event

        def count(proto: h11.Connection) -> object:
            self._count += 1
            return next_event(proto)

        monkeypatch.setattr(h11.Connection, "next_event", count)

    async def run(self) -> None:
        while True:
            self._count = 0
            await trio.lowlevel.checkpoint()
            self.most = max(self.most, self._count)


@pytest.fixture
def steps(monkeypatch: pytest.MonkeyPatch, nursery: trio.Nursery) -> Steps:
    made = Steps(monkeypatch)
    nursery.start_soon(made.run)
    return made


async def read_whole(reply: http_client.StreamingResponse) -> object:
    return await reply.read(16 * 1024 * 1024, CUT_AFTER_S)


async def read_events(reply: http_client.StreamingResponse) -> object:
    splitter = sse.Splitter()
    while isinstance(part := await reply.next_part(), bytes):
        splitter.push(part)
    return part


async def read_polled(reply: http_client.StreamingResponse) -> object:
    reader = poller.Poller(lambda started_at, _: started_at)
    part = await reply.next_part()
    if not isinstance(part, bytes):
        return part
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reader.run)
        ended = await reply.read_with(reader, lambda _: True)
        nursery.cancel_scope.cancel()
    return ended


@pytest.mark.parametrize("read", [read_whole, read_events, read_polled])
@pytest.mark.parametrize(("first", "rest"), FRAGMENTED)
async def test_fragments_of_an_upstream_stop_no_other_task(
    nursery: trio.Nursery,
    steps: Steps,
    first: bytes,
    rest: bytes,
    read: collections.abc.Callable[
        [http_client.StreamingResponse], collections.abc.Awaitable[object]
    ],
) -> None:
    """Guards against one response that keeps a node from answering others."""
    port = await test_unbounded_input.serve_endless(nursery, first, rest, [])
    with trio.fail_after(CUT_AFTER_S):
        found: object = await http_client.Pool().send(
            test_unbounded_input.call_to(port)
        )
        if isinstance(found, http_client.StreamingResponse):
            found = await read(found)
    assert isinstance(found, http_client.Lost)
    assert found.reason == http_client.TOO_FRAGMENTED
    assert steps.most < MAX_PARSED
    nursery.cancel_scope.cancel()


async def test_fragments_of_a_caller_stop_no_other_task(
    nursery: trio.Nursery, steps: Steps
) -> None:
    """Guards against one upload in small chunks that keeps a node from answering."""

    async def answer(_: http_server.Request) -> http_server.Response:
        raise AssertionError("an incomplete request was handled")

    server = http_server.Server(answer)
    port = await nursery.start(server.serve, "127.0.0.1", 0)
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    received = b""

    async def send() -> None:
        await stream.send_all(
            b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        )
        try:
            while True:
                await stream.send_all(SMALL_CHUNK * 1000)
        except trio.BrokenResourceError:
            return

    nursery.start_soon(send)
    with trio.fail_after(CUT_AFTER_S):
        while b"}" not in received:
            received += await stream.receive_some()
    assert received.startswith(b"HTTP/1.1 400")
    assert b"too_fragmented" in received
    assert steps.most < MAX_PARSED
    nursery.cancel_scope.cancel()


SOUND = [
    # Interval between fragments in seconds, size of each, number, and how many of them
    # arrive at once at the start.
    pytest.param(0.004, 20, 10_000, 0, id="fast_engine"),
    pytest.param(0.004, 3, 10_000, 0, id="single_characters"),
    pytest.param(0.004, 20, 3_000, 1_000, id="after_a_suspension_of_4_s"),
    pytest.param(0.0, 1024, 16 * 1024, 0, id="large_body_in_chunks_of_1_KiB"),
    pytest.param(0.0, 1, 800, 0, id="body_of_800_bytes_byte_by_byte"),
]


@pytest.mark.parametrize(("interval_s", "size", "count", "at_once"), SOUND)
def test_sound_peers_are_not_delayed(
    interval_s: float, size: int, count: int, at_once: int
) -> None:
    """Guards against limits that sound responses reach."""
    meter = pacing.Meter(0.0)
    for number in range(count):
        now = interval_s * max(0, number - at_once)
        assert meter.record(1, size, now) == 0.0
    assert not meter.is_exceeded


def test_delays_long_ago_do_not_count() -> None:
    """Guards against connections that end after a long life."""
    meter = pacing.Meter(0.0)
    for hour in range(100):
        meter.record(pacing.BURST_FRAGMENTS + 100, 0, 3600.0 * hour)
        assert not meter.is_exceeded


CROWD = 400
FRAGMENTS_EACH = 5_000


async def refuse(_req: http_server.Request) -> http_server.Response:
    return http_server.Response(503)


async def test_crowd_shares_the_fragments_of_a_server(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against many clients that each take their part of the processor."""
    server = http_server.Server(refuse)
    parsed = 0

    async def send() -> None:
        nonlocal parsed
        pacer = server.new_pacer()
        pacer.start_message()
        for _ in range(FRAGMENTS_EACH):
            await pacer.wait()
            if pacer.is_exceeded:
                return
            pacer.record(1)
            parsed += 1

    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        for _ in range(CROWD):
            nursery.start_soon(send)
    passed_s = trio.current_time() - started_at
    first_turns = CROWD * (pacing.FRAGMENTS_PER_TURN + 1)
    allowed = pacing.SERVER_BURST_FRAGMENTS + pacing.SERVER_FRAGMENTS_PER_S * passed_s
    assert parsed <= allowed + first_turns


async def test_large_chunks_are_not_delayed_by_a_crowd(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against ordinary uploads that wait for the fragments of others."""
    server = http_server.Server(refuse)
    crowd = [server.new_pacer() for _ in range(CROWD)]
    for pacer in crowd * 2 * pacing.FRAGMENTS_PER_TURN:
        pacer.record(1)
    started_at = trio.current_time()
    ordinary = server.new_pacer()
    for _ in range(1_000):
        await ordinary.wait()
        ordinary.record(1_000)
    assert not ordinary.is_exceeded
    assert trio.current_time() - started_at < 0.1

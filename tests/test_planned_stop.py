"""Tests of what callers receive from a node that stops, over real connections."""

import collections.abc
import dataclasses
import functools
import json
import socket
import time
import typing

import pytest
import trio

from snipelug_core import shutdown
from snipelug_net import http_client
from snipelug_platform import dialect
from snipelug_platform_standin import server
from snipelug_relay import clock
from tests import platform_world, raw_caller, slow_caller

PROMPT = {"model": platform_world.MODEL, "token_usage": "9,9", "prompt_prefix": "aa:9"}
HEADERS: dict[str, dict[str, str]] = {
    "/order/": {},
    "/look/": {},
    "/ask/": PROMPT,
    "/check/": PROMPT,
}
ONCE = ("/order/", "/ask/")
KILL_MARGIN_S = 0.5


@dataclasses.dataclass
class Stop:
    """A planned stop of the only node, with its log lines.

    Attributes
    ----------
    began_at : float
        Trio time at which the stop began, in seconds.
    took_s : float
        Time until all connections were closed, in seconds.
    """

    world: platform_world.World
    caplog: pytest.LogCaptureFixture
    began_at: float = 0.0
    took_s: float = 0.0

    async def run(self) -> None:
        """Stop the node and abort its connections, as the end of its process does."""
        self.began_at = trio.current_time()
        await self.world.nodes[0].stop()
        await self.world.nodes[0].abort_connections()
        self.took_s = trio.current_time() - self.began_at

    def lines(self, event: str) -> list[dict[str, typing.Any]]:
        """Return the fields of the log lines of one event."""
        return [
            vars(line) for line in self.caplog.records if line.getMessage() == event
        ]

    def request_line(self, request_id: str) -> dict[str, typing.Any]:
        """Return the log line of a request."""
        (line,) = (one for one in self.lines("request") if one["id"] == request_id)
        return line


def executions(world: platform_world.World, request_id: str) -> int:
    """Return how often upstreams ran a request."""
    return sum(
        seen.headers["request-id"] == request_id
        for item in [*world.apps, *world.engines]
        for seen in item.executed
    )


def slow_down(world: platform_world.World, work_s: float) -> None:
    """Let upstreams work for a time on each request."""
    for item in world.apps:
        item.answer_delay_s = work_s
    for item in world.engines:
        item.event_interval_s = work_s / item.events


@dataclasses.dataclass
class Sent:
    """A request whose body becomes whole at a time after the stop began."""

    target: str
    whole_s: float
    answer: slow_caller.Answer = dataclasses.field(default_factory=slow_caller.Answer)

    @property
    def request_id(self) -> str:
        """The request's id."""
        return f"{self.target.strip('/')}-{self.whole_s}"


async def send_during(
    stop: Stop, sent: Sent, is_kept: bool = False, **headers: str
) -> None:
    """Send a request during a stop; its connection was opened before."""
    conn = await slow_caller.connect(stop.world.nodes[0].callers_port)
    if not is_kept:
        await conn.send_head(
            sent.target, sent.request_id, **HEADERS[sent.target], **headers
        )
    while not stop.began_at:
        await trio.sleep(0.01)
    await trio.sleep_until(stop.began_at + sent.whole_s)
    if is_kept:
        await conn.send_head(
            sent.target, sent.request_id, **HEADERS[sent.target], **headers
        )
    await conn.finish_body()
    sent.answer = await conn.read_answer()


async def run_stop(
    stop: Stop, *senders: collections.abc.Callable[[], collections.abc.Awaitable[None]]
) -> None:
    """Run a stop beside callers until both have ended."""
    async with trio.open_nursery() as nursery:
        for sender in senders:
            nursery.start_soon(sender)
        await trio.sleep(0.2)
        nursery.start_soon(stop.run)


def check_answer(world: platform_world.World, sent: Sent) -> None:
    """Check that a request was answered, and truly."""
    answer, runs = sent.answer, executions(world, sent.request_id)
    assert answer.status in (200, 502, 503, 504), sent
    if answer.status == 503:
        assert answer.is_complete, sent
        assert runs == 0, sent
        assert answer.headers["connection"] == "close", sent
        assert 0 < float(answer.headers["retry-after"]) <= 0.5, sent
    elif answer.status != 200 or sent.target in ("/order/", "/look/"):
        assert answer.is_complete, sent
    if sent.target in ONCE:
        assert runs <= 1, sent


MOMENTS_S = {
    4.0: (0.1, 1.2, 2.0, 2.5, 2.7, 2.9, 3.1, 3.3),
    8.0: (0.1, 2.5, 3.5, 5.0, 6.0, 6.8, 7.1, 7.3),
}


@pytest.mark.parametrize("work_s", [0.0, 0.3, 1.7])
@pytest.mark.parametrize("grace_s", MOMENTS_S)
async def test_request_that_becomes_whole_during_a_stop_is_answered(
    caplog: pytest.LogCaptureFixture, grace_s: float, work_s: float
) -> None:
    """Guards against a connection that a stop closes without an answer."""
    async with platform_world.deployment(4, 4, grace_s=grace_s) as world:
        slow_down(world, work_s)
        stop = Stop(world, caplog)
        requests = [Sent(target, at) for at in MOMENTS_S[grace_s] for target in HEADERS]
        await run_stop(
            stop, *(functools.partial(send_during, stop, r) for r in requests)
        )
        for sent in requests:
            check_answer(world, sent)
            ends_s = sent.whole_s + work_s
            # Idempotent attempts end after twice the route's objective of 0.2 s.
            may_take = sent.target != "/look/" or work_s < 0.4
            if may_take and ends_s < grace_s - 1.2 and sent.whole_s < 2.4:
                assert (sent.answer.status, sent.answer.is_complete) == (200, True), (
                    sent
                )
            if sent.whole_s > grace_s - 0.8:
                assert sent.answer.status == 503, sent
        assert stop.took_s <= grace_s - KILL_MARGIN_S


@pytest.mark.parametrize("has_head", [True, False])
async def test_request_that_never_becomes_whole_is_refused(
    caplog: pytest.LogCaptureFixture, has_head: bool
) -> None:
    """Guards against a request that is cut while it is still being read."""
    async with platform_world.deployment(engines=0, kv_stores=0) as world:
        stop = Stop(world, caplog)
        answers: list[slow_caller.Answer] = []

        async def begin() -> None:
            conn = await slow_caller.connect(world.nodes[0].callers_port)
            if has_head:
                await conn.send_head("/order/", "begun")
            else:
                await conn.send_partial_head()
            answers.append(await conn.read_answer())

        await run_stop(stop, begin)
        (answer,) = answers
        assert (answer.status, answer.is_complete) == (503, True)
        assert answer.headers["connection"] == "close"
        assert 0 < float(answer.headers["retry-after"]) <= 0.5
        detail = json.loads(answer.body)["error"]
        assert (detail["code"], detail["run_state"]) == ("node_stopping", "not_run")
        assert executions(world, "begun") == 0
        (stopped,) = stop.lines("stopped")
        assert stopped["incomplete_requests"] == 1


async def test_kept_connections_are_answered_or_closed_unused(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against requests on kept connections that run and get no answer."""
    async with platform_world.deployment(kv_stores=0) as world:
        slow_down(world, 0.3)
        stop = Stop(world, caplog)
        moments_s = [0.0, 1.0, 2.5, 2.58, 2.59, 2.6, 2.61, 2.65, 3.0, 3.4]
        requests = [Sent("/order/", at) for at in moments_s]
        await run_stop(
            stop, *(functools.partial(send_during, stop, r, True) for r in requests)
        )
        for sent in requests:
            if sent.whole_s < 2.58:
                assert sent.answer.status == 200
            if sent.answer.status == 0:
                assert executions(world, sent.request_id) == 0, sent
            else:
                check_answer(world, sent)


@pytest.mark.parametrize("sent_s", [-0.1, 2.4])
async def test_request_that_waits_for_an_upstream_is_refused(
    caplog: pytest.LogCaptureFixture, sent_s: float
) -> None:
    """Guards against a stop that cuts a request which no upstream can take yet."""
    async with platform_world.deployment(engines=0, kv_stores=0) as world:
        patient = platform_world.route("patient", "/order/", "non_idempotent", "app")
        patient |= {"timeout_ms": 30_000, "target_latency_ms": 24_000}
        world.configure(2, routes=[patient])
        known = world.nodes[0]._state
        await platform_world.wait_until(
            lambda: known.catalog is not None and known.catalog.version == 2
        )
        for upstream in known.fleet.upstreams.values():
            upstream.blocked_until = clock.now() + 5.0
        stop = Stop(world, caplog)
        sent = Sent("/order/", sent_s)
        await run_stop(stop, functools.partial(send_during, stop, sent))
        assert sent.answer.status == 503
        check_answer(world, sent)


FIRST_FAULTS: dict[str, dict[str, typing.Any]] = {
    "silent": {"is_silent": True},
    "fails": {"fails": 1},
    "breaks off": {"loses": 1},
    "rejects": {"turns_away": 1},
}


@pytest.mark.parametrize("fault", FIRST_FAULTS)
@pytest.mark.parametrize("target", HEADERS)
async def test_request_is_answered_after_a_failed_attempt(
    caplog: pytest.LogCaptureFixture, target: str, fault: str
) -> None:
    """Guards against a retry that is still under way when a stop ends."""
    async with platform_world.deployment(kv_stores=0) as world:
        slow_down(world, 0.25)
        for item in [*world.apps, *world.engines]:
            item.faults = server.Faults(**FIRST_FAULTS[fault])
        stop = Stop(world, caplog)
        requests = [Sent(target, at) for at in (2.4, 2.8, 3.0, 3.2)]
        await run_stop(
            stop, *(functools.partial(send_during, stop, r) for r in requests)
        )
        for sent in requests:
            answer = sent.answer
            assert answer.status in (200, 500, 502, 503), sent
            assert answer.is_complete, sent
            if answer.status == 503:
                assert executions(world, sent.request_id) == 0, sent


@pytest.mark.parametrize("target", ["/ask/", "/check/"])
async def test_stream_under_way_at_the_end_of_a_stop_is_named(
    caplog: pytest.LogCaptureFixture, target: str
) -> None:
    """Guards against a cut stream that looks complete, or is logged as left."""
    async with platform_world.deployment(apps=0, kv_stores=0) as world:
        for item in world.engines:
            item.events, item.event_interval_s = 1000, 0.05
        kinds = {"/ask/": {}, "/check/": {"resumable": True, "max_attempts": 2}}
        slow = platform_world.route("slow", target, "streaming", "llm", **kinds[target])
        world.configure(2, routes=[slow | {"timeout_ms": 20_000}])
        stop = Stop(world, caplog)
        sent = Sent(target, 0.3)
        await run_stop(stop, functools.partial(send_during, stop, sent))
        assert (sent.answer.status, sent.answer.is_complete) == (200, False)
        assert sent.answer.body.count(b"\n\n") > 40
        (stopped,) = stop.lines("stopped")
        assert stopped["cut_ids"] == [sent.request_id]
        assert stopped["cut_requests"] == 1
        line = stop.request_line(sent.request_id)
        assert line["outcome"] == "cut"
        assert "stop" in line["reason"]


async def test_answered_at_the_end_of_a_stop_is_logged_with_its_reason(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a request that is logged as left though its caller waited."""
    async with platform_world.deployment(engines=0, kv_stores=0) as world:
        slow_down(world, 3.5)
        stop = Stop(world, caplog)
        sent = Sent("/order/", 1.9)
        await run_stop(stop, functools.partial(send_during, stop, sent))
        assert sent.answer.status == 502
        detail = json.loads(sent.answer.body)["error"]
        assert (detail["code"], detail["run_state"]) == ("node_stopped", "unknown")
        line = stop.request_line(sent.request_id)
        assert (line["outcome"], line["code"]) == ("failed", "node_stopped")


async def test_upstreams_get_no_more_time_than_a_stop_has_left(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against upstreams that work on after the node has ended."""
    async with platform_world.deployment(engines=0, kv_stores=0) as world:
        long = platform_world.route("long", "/look/", "idempotent", "app")
        world.configure(2, routes=[long | {"timeout_ms": 30_000}])
        known = world.nodes[0]._state
        await platform_world.wait_until(
            lambda: known.catalog is not None and known.catalog.version == 2
        )
        stop = Stop(world, caplog)
        requests = [Sent("/look/", at) for at in (0.5, 2.0, 2.8)]
        await run_stop(
            stop, *(functools.partial(send_during, stop, r) for r in requests)
        )
        seen = [s.headers for item in world.apps for s in item.executed]
        left_ms = {s["request-id"]: int(s[dialect.REQUEST_DEADLINE]) for s in seen}
        assert len(left_ms) == 3
        for sent in requests:
            kill_ms = 1000 * (world.grace_s - KILL_MARGIN_S - sent.whole_s)
            assert left_ms[sent.request_id] <= kill_ms


async def test_route_that_was_slow_is_refused_while_it_can_run_elsewhere(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against sending what recent answers show cannot end in time."""
    async with platform_world.deployment(engines=0, kv_stores=0) as world:
        slow_down(world, 1.7)
        caller = platform_world.Caller(world.nodes[0])
        full = await caller.send("POST", "/order/", b"x")
        assert isinstance(full, http_client.FullResponse)
        assert full.status == 200
        stop = Stop(world, caplog)
        late, early = Sent("/order/", 2.2), Sent("/order/", 0.3)
        await run_stop(
            stop, *(functools.partial(send_during, stop, r) for r in (late, early))
        )
        assert early.answer.status == 200
        assert late.answer.status == 503
        check_answer(world, late)
        assert late.answer.ended_at - stop.began_at < late.whole_s + 0.3


async def test_broken_stream_is_resumed_during_a_stop(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a stop that ends a stream which another upstream can continue."""
    async with platform_world.deployment(apps=0, kv_stores=0) as world:
        for item in world.engines:
            item.events, item.event_interval_s = 10, 0.05
            item.faults.breaks_after = 5
        stop = Stop(world, caplog)
        sent = Sent("/check/", 2.3)

        async def repair() -> None:
            while not any(item.broken_ids for item in world.engines):
                await trio.sleep(0.005)
            for item in world.engines:
                item.faults.breaks_after = None

        await run_stop(stop, functools.partial(send_during, stop, sent), repair)
        assert (sent.answer.status, sent.answer.is_complete) == (200, True)
        assert sent.answer.body.count(b"\n\n") == 10
        assert executions(world, sent.request_id) == 2


async def test_connection_of_the_backlog_is_answered_if_no_other_is_open() -> None:
    """Guards against a stop that drops what came in while the process was stalled."""
    async with platform_world.deployment(engines=0, kv_stores=0) as world:
        node = world.nodes[0]
        addr = ("127.0.0.1", node.callers_port)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(node.stop)
            await trio.sleep(shutdown.schedule(0.0, 4.0, 2.6).closes_at - 0.1)
            sock = socket.create_connection(addr)
            sock.sendall(raw_caller.request("POST", "/look/", b"x"))
            time.sleep(0.3)
            sock.setblocking(False)
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(sock))
            answer = await raw_caller.read_all(stream)
        assert answer.startswith(b"HTTP/1.1 200 ")

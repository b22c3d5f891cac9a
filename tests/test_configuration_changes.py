"""Tests of changes of the configuration beside requests that are under way."""

import collections.abc
import itertools
import typing

import pytest
import trio

from snipelug_core import fleet
from snipelug_net import http_client
from snipelug_relay import clock, ports
from tests import platform_world, raw_caller, scripted

LONG_MS = {"timeout_ms": 8000}
ENGINE = {
    "slots": 4,
    "kv_capacity_tokens": 70_000,
    "kv_token_bytes": 1000,
    "link_mbps": 1e5,
    "models": [{"name": platform_world.MODEL}],
}
ROUTES = [
    platform_world.route("order", "/order/", "non_idempotent", "app", **LONG_MS),
    platform_world.route("wait", "/wait/", "idempotent", "app", **LONG_MS),
    platform_world.route("look", "/look/", "idempotent", "app", max_attempts=2),
    platform_world.route(
        "check", "/check/", "streaming", "llm", resumable=True, max_attempts=2
    ),
]


def configuration(**limits: int) -> dict[str, typing.Any]:
    """Build a configuration with other limits."""
    base = {"max_body_bytes": 100_000, "idle_timeout_ms": 15_000}
    return {"routes": ROUTES, "limits": base | limits}


async def configure(
    world: platform_world.World, version: int, **overrides: object
) -> None:
    """Write a configuration and wait until all nodes have applied it."""
    world.configure(version, **overrides)

    def is_applied() -> bool:
        known = [n._state.catalog for n in world.nodes]
        return all(c is not None and c.version >= version for c in known)

    await platform_world.wait_until(is_applied)


async def send_request(stream: trio.SocketStream) -> bytes:
    """Send a request on a connection and read its answer."""
    await stream.send_all(raw_caller.request("POST", "/look/", b"x"))
    return await raw_caller.read_until(stream, b":ok")


SMALL = {"apps": 1, "engines": 0, "kv_stores": 0}


async def test_raised_idle_timeout_applies_to_waiting_connections() -> None:
    """Guards against closing a kept connection at a time that is no longer in force."""
    async with platform_world.deployment(**SMALL) as world:
        await configure(world, 2, **configuration(idle_timeout_ms=1500))
        stream = await raw_caller.connect(world)
        await send_request(stream)
        await trio.sleep(0.1)
        await configure(world, 3, **configuration(idle_timeout_ms=15_000))
        await trio.sleep(1.8)
        assert (await send_request(stream)).startswith(b"HTTP/1.1 200")


async def test_lowered_idle_timeout_leaves_waiting_connections_their_time() -> None:
    """Guards against closing a kept connection within the time that it was given."""
    async with platform_world.deployment(**SMALL) as world:
        stream = await raw_caller.connect(world)
        await send_request(stream)
        await configure(world, 2, **configuration(idle_timeout_ms=200))
        await trio.sleep(0.5)
        assert (await send_request(stream)).startswith(b"HTTP/1.1 200")
        with trio.fail_after(1.0):
            assert await stream.receive_some() == b""


@pytest.mark.parametrize(
    ("before_ms", "after_ms"), [(800, 10_000), (10_000, 200)], ids=["up", "down"]
)
async def test_change_of_the_head_timeout_cuts_no_head(
    before_ms: int, after_ms: int
) -> None:
    """Guards against rejecting a head that is in time under one of both limits."""
    async with platform_world.deployment(**SMALL) as world:
        await configure(world, 2, **configuration(header_timeout_ms=before_ms))
        stream = await raw_caller.connect(world)
        data = raw_caller.request("POST", "/look/", b"x")
        await stream.send_all(data[:40])
        await configure(world, 3, **configuration(header_timeout_ms=after_ms))
        await trio.sleep(1.0)
        await stream.send_all(data[40:])
        answer = await raw_caller.read_until(stream, b":ok")
        assert answer.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize(
    ("before", "after"), [(100_000, 1000), (1000, 100_000)], ids=["down", "up"]
)
async def test_change_of_the_body_limit_rejects_no_body(
    before: int, after: int
) -> None:
    """Guards against rejecting a body that is small enough under one of both limits."""
    async with platform_world.deployment(**SMALL) as world:
        await configure(world, 2, **configuration(max_body_bytes=before))
        stream = await raw_caller.connect(world)
        data = raw_caller.request("POST", "/look/", b"x" * 50_000)
        await stream.send_all(data[:700])
        await configure(world, 3, **configuration(max_body_bytes=after))
        await stream.send_all(data[700:])
        answer = await raw_caller.read_until(stream, b":ok")
        assert answer.startswith(b"HTTP/1.1 200")


NEW_KEY = {"name": "team-1", "api_keys": ["other"], "priority": 2}
NEW_TEAM = {"name": "team-2", "api_keys": ["other"]}
CHANGES: dict[str, dict[str, typing.Any]] = {
    "routes": {"routes": [platform_world.route("n", "/n/", "idempotent", "app")]},
    "all routes": {"routes": []},
    "other service": {
        "routes": [
            item | {"service": "llm" if item["service"] == "app" else "app"}
            for item in ROUTES
        ]
    },
    "services": {"services": []},
    "no engine": {"services": [{"name": "app"}, {"name": "llm"}]},
    "stores": {"services": [{"name": "app"}, {"name": "llm", "engine": ENGINE}]},
    "key": {"tenants": [NEW_KEY]},
    "team": {"tenants": [NEW_TEAM]},
    "teams": {"tenants": []},
    "limits": configuration(idle_timeout_ms=100, max_body_bytes=10),
    "everything": {"routes": [], "services": [], "tenants": []},
}


@pytest.mark.parametrize("change", CHANGES)
async def test_change_while_an_upstream_works(change: str) -> None:
    """Guards against a change that costs requests at an upstream their answers."""
    async with platform_world.deployment(apps=1, engines=1) as world:
        await configure(world, 2, **configuration())
        world.apps[0].answer_delay_s = 0.3
        caller = platform_world.Caller(world.nodes[0])
        answers: dict[str, object] = {}

        async def ask(target: str) -> None:
            answers[target] = await caller.send("POST", target, b"x")

        async def ask_stream() -> None:
            answers["/check/"] = await caller.send_prompt("/check/")

        world.engines[0].event_interval_s = 0.1
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, "/order/")
            nursery.start_soon(ask, "/wait/")
            nursery.start_soon(ask_stream)
            await platform_world.wait_until(
                lambda: (
                    len(world.apps[0].executed) == 2
                    and len(world.engines[0].executed) == 1
                )
            )
            world.configure(3, **CHANGES[change])
        for target, full in answers.items():
            assert isinstance(full, http_client.FullResponse), (target, full)
            assert full.status == 200, target
        assert answers["/check/"].body == scripted.events(1, 3)  # type: ignore[attr-defined]


@pytest.mark.parametrize("change", CHANGES)
async def test_change_between_attempts(change: str) -> None:
    """Guards against a change that leaves a request without answer or refusal."""
    async with platform_world.deployment(apps=2, engines=0) as world:
        await configure(world, 2, **configuration())
        for item in world.apps:
            item.answer_delay_s = 0.3
        caller = platform_world.Caller(world.nodes[0])
        answers: list[object] = []

        async def ask() -> None:
            answers.append(await caller.send("POST", "/look/", b"x"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await platform_world.wait_until(lambda: any(a.executed for a in world.apps))
            await configure(world, 3, **CHANGES[change])
            next(a for a in world.apps if a.executed).crash()
        (full,) = answers
        assert isinstance(full, http_client.FullResponse), full
        assert full.status == 200


@pytest.mark.parametrize("change", CHANGES)
async def test_change_while_a_request_waits_for_an_upstream(change: str) -> None:
    """Guards against a change that leaves a waiting request without an answer."""
    async with platform_world.deployment(apps=1, engines=0, kv_stores=0) as world:
        slow = [item | {"target_latency_ms": 4000} for item in ROUTES]
        await configure(world, 2, **configuration() | {"routes": slow})
        upstreams = world.nodes[0]._state.fleet.upstreams
        upstream = upstreams[world.apps[0].id]
        upstream.blocked_until = clock.now() + 0.6
        caller = platform_world.Caller(world.nodes[0])
        answers: list[object] = []

        async def ask() -> None:
            answers.append(await caller.send("POST", "/order/", b"x"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.1)
            assert not answers
            await configure(world, 3, **CHANGES[change])
        (full,) = answers
        assert isinstance(full, http_client.FullResponse), full
        assert full.status in (200, 503)
        assert (full.status == 200) == bool(world.apps[0].executed)


RESUMES = ["breaks_after", "pauses_after", "silent_after"]


@pytest.mark.parametrize("fault", RESUMES)
@pytest.mark.parametrize("change", CHANGES)
async def test_change_while_a_stream_is_resumed(change: str, fault: str) -> None:
    """Guards against a change that cuts a stream which others could continue."""
    async with platform_world.deployment(apps=0, engines=2) as world:
        await configure(world, 2, **configuration())
        for item in world.engines:
            item.event_interval_s = 0.15
            setattr(item.faults, fault, 2)
        caller = platform_world.Caller(world.nodes[0])
        answers: list[object] = []

        async def ask() -> None:
            answers.append(await caller.send_prompt("/check/"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await platform_world.wait_until(
                lambda: any(e.running for e in world.engines)
            )
            for item in world.engines:
                if not item.running:
                    setattr(item.faults, fault, None)
            await configure(world, 3, **CHANGES[change])
        (full,) = answers
        assert isinstance(full, http_client.FullResponse), full
        assert full.body == scripted.events(1, 3)


async def test_error_in_one_consequence_of_a_change_keeps_no_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against limits and watches that stay behind because of another error."""
    async with platform_world.deployment(**SMALL) as world:
        node = world.nodes[0]

        def fail() -> None:
            raise KeyError("injected")

        for name, owner in [
            ("apply_versions", node._relay),
            ("wake", node._weights),
            ("wake", node._retirements),
        ]:
            monkeypatch.setattr(owner, name, fail)
        limits = configuration(max_body_bytes=10)
        await configure(world, 2, **limits)
        await platform_world.wait_until(lambda: node._callers.limits.body_bytes == 10)


async def test_error_in_one_intent_keeps_no_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a row that keeps all other rows from being followed."""
    async with platform_world.deployment(**SMALL) as world:
        node = world.nodes[0]

        def fail(*_: object) -> None:
            raise KeyError("injected")

        monkeypatch.setattr(node._state, "_apply_version", fail)
        world.store.put("op", "version/m", {"model": "m", "version": 2})
        world.store.put("op", "evacuate/zone-b", {})
        await platform_world.wait_until(lambda: "zone-b" in node._state.zones_out)
        await configure(world, 2, **configuration(max_body_bytes=10))
        await platform_world.wait_until(lambda: node._callers.limits.body_bytes == 10)


async def test_error_at_one_store_keeps_no_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a store whose polls fail and that keeps the others from polls."""
    async with platform_world.deployment(apps=1, engines=0, kv_stores=2) as world:
        node = world.nodes[0]
        machines = node._kv_stores._machines
        poll = machines.store_events
        failing_port = world.kv_stores[0].port

        async def store_events(addr: http_client.Address, since: int) -> object:
            if addr[1] == failing_port:
                raise KeyError("injected")
            await trio.sleep(0.05)
            return await poll(addr, since)

        monkeypatch.setattr(machines, "store_events", store_events)
        await trio.sleep(2.5)
        assert node.store_age_s("kv1") < 2.0


@pytest.mark.parametrize("has_error", [True, False])
async def test_engine_without_new_weights_keeps_no_other(
    monkeypatch: pytest.MonkeyPatch, has_error: bool
) -> None:
    """Guards against an engine that cannot be ordered and keeps others outdated."""
    async with platform_world.deployment(apps=0, engines=3, kv_stores=0) as world:
        machines = world.nodes[0]._weights._machines
        send_order, read_report = machines.order_version, machines.report
        failing, *others = world.engines

        async def order_version(entry: fleet.Entry, *args: typing.Any) -> object:
            if entry.id == failing.id:
                raise KeyError("injected")
            await trio.sleep(0.05)
            return await send_order(entry, *args)

        async def report(addr: http_client.Address) -> object:
            if addr[1] == failing.port and not has_error:
                return ports.Unavailable("injected")
            return await read_report(addr)

        monkeypatch.setattr(machines, "order_version", order_version)
        monkeypatch.setattr(machines, "report", report)
        world.store.put("op", "version/m", {"model": "m", "version": 2})
        with trio.fail_after(6.0):
            while any(item.models["m"] != 2 for item in others):
                await trio.sleep(0.01)


async def test_lowered_connection_limit_closes_idle_connections() -> None:
    """Guards against idle connections above an upstream's limit that stay open."""
    async with platform_world.deployment(**SMALL) as world:
        await configure(world, 2, **configuration())
        world.apps[0].answer_delay_s = 0.5
        caller = platform_world.Caller(world.nodes[0])
        async with trio.open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(caller.send, "POST", "/wait/", b"x")
        pool = world.nodes[0]._pool
        addr = ("127.0.0.1", world.apps[0].port)
        # On a busy machine, some of the requests follow others on their connections.
        assert pool.idle_count(addr) > 3
        services = [{"name": "app", "max_connections": 5}]
        await configure(world, 3, services=services, **configuration())
        await platform_world.wait_until(lambda: pool.idle_count(addr) <= 3)
        full = await caller.send("POST", "/wait/", b"x")
        assert isinstance(full, http_client.FullResponse)
        assert full.status == 200


# The stand-ins of plain services cannot answer prompts.
SUITABLE = [change for name, change in CHANGES.items() if name != "other service"]
SERIES: dict[str, collections.abc.Callable[[int], dict[str, typing.Any]]] = {
    "limits": lambda n: configuration(
        idle_timeout_ms=[150, 15_000][n % 2], max_body_bytes=[10, 100_000][n % 2]
    ),
    "routes": lambda n: (
        configuration() | {"routes": [ROUTES[:1], ROUTES, ROUTES[1:]][n % 3]}
    ),
    "all": lambda n: (
        configuration() | [*SUITABLE, configuration()][n % (len(SUITABLE) + 1)]
    ),
}


@pytest.mark.parametrize("name", SERIES)
async def test_requests_under_a_series_of_changes(name: str) -> None:
    """Guards against whole requests that get no answer or refusal beside changes."""
    async with platform_world.deployment(apps=2, engines=2) as world:
        await configure(world, 2, **configuration())
        for item in world.apps:
            item.answer_delay_s = 0.02
        lost: list[object] = []
        sent = 0
        # The upstreams are sound, so a request runs or is refused.
        allowed = {200} if name == "limits" else {200, 401, 404, 503}

        async def keep_asking(caller: platform_world.Caller, pause_s: float) -> None:
            nonlocal sent
            while True:
                for target in ("/order/", "/look/"):
                    record(await caller.send("POST", target, b"x"), target)
                record(await caller.send_prompt("/check/"), "/check/")
                await trio.sleep(pause_s)

        async def keep_half_closing() -> None:
            for number in itertools.count(0x9000):
                stream = await raw_caller.connect(world)
                data = raw_caller.request("POST", "/look/", b"x", number=number)
                await stream.send_all(data)
                await stream.send_eof()
                received = await raw_caller.read_all(stream)
                _, answer = raw_caller.split_interim(received)
                if not answer.startswith(b"HTTP/1.1 "):
                    lost.append(("half-closed", received))
                await trio.sleep(0.01)

        def record(full: object, target: str) -> None:
            nonlocal sent
            sent += 1
            if (
                not isinstance(full, http_client.FullResponse)
                or full.status not in allowed
            ):
                lost.append((target, full))

        with trio.move_on_after(6.0):
            async with trio.open_nursery() as nursery:
                for number in range(8):
                    caller = platform_world.Caller(world.nodes[0], 1000 * number)
                    nursery.start_soon(keep_asking, caller, 0.03 * number)
                nursery.start_soon(keep_half_closing)
                for version in range(3, 1000):
                    world.configure(version, **SERIES[name](version))
                    await trio.sleep(0.2)
        assert sent > 200
        assert not lost


@pytest.mark.parametrize("end", ["reset", "close"])
async def test_upstream_that_closes_a_kept_connection_beside_a_change(end: str) -> None:
    """Guards against a lost answer when an upstream closes as a request arrives."""
    async with platform_world.deployment(apps=0, engines=0, kv_stores=0) as world:
        await configure(world, 2, **configuration())

        def script(received: scripted.Received) -> scripted.Answer:
            is_first = sum(r.connection == received.connection for r in seen()) == 1
            if is_first:
                answer = scripted.whole(200, received.request_id, b"ok")
                return scripted.Answer(answer)
            return scripted.Answer(b"", end)

        upstream = scripted.Upstream(script)

        def seen() -> list[scripted.Received]:
            return upstream.received

        await scripted.add(world, upstream)
        caller = platform_world.Caller(world.nodes[0])
        for number, target in enumerate(["/order/", "/order/", "/look/", "/look/"]):
            world.configure(3 + number, **configuration(idle_timeout_ms=9000 + number))
            full = await caller.send("POST", target, b"x")
            assert isinstance(full, http_client.FullResponse), full
            assert full.status in (200, 502)
            assert target != "/order/" or len(upstream.received) == number + 1


async def test_upstream_that_freezes_beside_a_change() -> None:
    """Guards against a request without an answer when its upstream is silent."""
    async with platform_world.deployment(**SMALL) as world:
        short = [item | {"timeout_ms": 700} for item in ROUTES]
        await configure(world, 2, **configuration() | {"routes": short})
        caller = platform_world.Caller(world.nodes[0])
        await caller.send("POST", "/order/", b"x")
        world.apps[0].faults.is_silent = True
        answers: list[object] = []

        async def ask(target: str) -> None:
            answers.append(await caller.send("POST", target, b"x"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, "/order/")
            nursery.start_soon(ask, "/look/")
            await trio.sleep(0.1)
            await configure(world, 3, **CHANGES["everything"])
        for full in answers:
            assert isinstance(full, http_client.FullResponse), full
            assert full.status in (502, 504)

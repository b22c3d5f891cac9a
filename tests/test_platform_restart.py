"""Tests of restarted nodes, outdated announcements and upstreams that fall silent.

What was withdrawn does not return, and what runs at a silent upstream is neither
repeated nor given up while its caller waits.
"""

import pytest
import trio

from snipelug_core import fleet
from snipelug_net import http_client
from snipelug_relay import messages
from tests import platform_world

OTHER_KEY = "key-2"
OUTAGES = ["is_down", "is_silent"]


async def status_of(
    caller: platform_world.Caller, target: str = "/look/", key: str = OTHER_KEY
) -> int:
    full = await caller.send("GET", target, authorization=f"Token {key}")
    assert isinstance(full, http_client.FullResponse), full
    return full.status


async def withdraw(world: platform_world.World) -> None:
    """Replace the key and remove the first server, at all nodes."""
    world.configure(2, tenants=[{"name": "team-1", "api_keys": [OTHER_KEY]}])
    world.store.delete("servers", world.apps[0].id)
    for running in world.nodes:
        caller = platform_world.Caller(running)
        with trio.fail_after(platform_world.WAIT_TIMEOUT_S):
            while await status_of(caller, key=platform_world.KEY) != 401:
                await trio.sleep(0.05)
        upstreams = running._state.fleet.upstreams
        await platform_world.wait_until(lambda u=upstreams: world.apps[0].id not in u)  # type: ignore[misc]


@pytest.mark.parametrize("fault", OUTAGES)
async def test_restarted_node_uses_nothing_that_was_withdrawn(fault: str) -> None:
    """Guards against a key or a server that is in use again after a restart.

    The node starts while the store does not serve it, so it can only learn from its
    peers, which send datagrams.
    """
    async with platform_world.deployment(
        engines=0, kv_stores=0, nodes=5, has_peers=True
    ) as world:
        await withdraw(world)
        executed = len(world.apps[0].executed)
        setattr(world.store.faults, fault, True)
        late = await world.add_node("n1")
        caller = platform_world.Caller(late)
        await trio.sleep(1.5)
        assert not late.is_ready
        assert await status_of(caller, key=platform_world.KEY) == 503
        assert await status_of(caller) == 503
        setattr(world.store.faults, fault, False)
        await platform_world.wait_until(lambda: late.is_ready)
        assert await status_of(caller, key=platform_world.KEY) == 401
        for _ in range(6):
            assert await status_of(caller) == 200
        assert len(world.apps[0].executed) == executed


async def test_outdated_announcement_restores_nothing() -> None:
    """Guards against a peer that is behind and announces what has been withdrawn."""
    async with platform_world.deployment(
        engines=0, kv_stores=0, nodes=5, has_peers=True
    ) as world:
        gone = world.apps[0]
        entry = world.nodes[0]._state.fleet.upstreams[gone.id].entry
        before = world.nodes[0]._watch._list_cursor.position
        assert before is not None
        await withdraw(world)
        for running in world.nodes:
            cursor = running._watch._list_cursor
            position = cursor.position
            assert position is not None
            assert position > before
            intents = running._watch._intents_cursor.position
            assert intents is not None
            confirmed_at = running._state.confirmed_at
            for since in (0, before - 1, before):
                message = messages.ListRead(since, before, False, [entry], [])
                running._watch._on_list_read(message)
            stale = messages.IntentsRead(0, intents - 1, 1e15, has_changes=False)
            running._watch._on_intents_read(stale)
            assert gone.id not in running._state.fleet.upstreams
            assert cursor.position == position
            assert running._state.confirmed_at == confirmed_at


async def test_server_that_returns_under_its_id_starts_anew() -> None:
    """Guards against state of a former process that is applied to its successor."""
    registry = fleet.Fleet()
    entry = fleet.Entry("u1", "s", "10.0.0.1", 80, "a", born=1, versions={"m": 2})
    registry.put(entry, 0.0)
    before = registry.upstreams["u1"]
    before.add_cached_part("p", 100, 1e6)
    before.blocked_until = 1e9
    again = fleet.Entry("u1", "s", "10.0.0.1", 80, "a", born=2, versions={"m": 1})
    registry.put(again, 1.0)
    after = registry.upstreams["u1"]
    assert after is not before
    assert (after.cached_parts, after.blocked_until) == ({}, 0.0)
    assert after.versions == {"m": 1}


@pytest.mark.parametrize("fault", ["removed", *OUTAGES])
async def test_stream_goes_on_while_its_server_is_not_listed(fault: str) -> None:
    """Guards against giving up work at an engine whose entry is late or has expired."""
    async with platform_world.deployment(apps=0, engines=1) as world:
        engine = world.engines[0]
        engine.events, engine.event_interval_s = 12, 0.25
        slow = platform_world.route(
            "slow", "/slow/", "streaming", "llm", resumable=True, max_attempts=3
        )
        world.configure(2, routes=[slow | {"timeout_ms": 9000}])
        catalog = world.nodes[0]._state
        await platform_world.wait_until(
            lambda: catalog.catalog is not None and catalog.catalog.version == 2
        )
        answers: list[object] = []

        async def ask() -> None:
            caller = platform_world.Caller(world.nodes[0])
            answers.append(await caller.send_prompt("/slow/", request_deadline="9000"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await platform_world.wait_until(lambda: engine.running == 1)
            if fault == "removed":
                world.store.delete("servers", engine.id)
            else:
                setattr(world.store.faults, fault, True)
        (full,) = answers
        assert isinstance(full, http_client.FullResponse), full
        assert full.body.count(b"\n\n") == 12
        assert len(engine.executed) == 1


async def test_order_at_a_silent_server_is_not_repeated() -> None:
    """Guards against an order that runs again because its server was frozen.

    The other server is idle; the first one answers after its entry has expired.
    """
    async with platform_world.deployment(engines=0, kv_stores=0) as world:
        caller = platform_world.Caller(world.nodes[0])
        for app in world.apps:
            app.answer_delay_s = 1.2
        answers: list[object] = []

        async def order() -> None:
            answers.append(await caller.send("POST", "/order/", b"x"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(order)
            await platform_world.wait_until(
                lambda: any(app.executed for app in world.apps)
            )
            (used,) = [app for app in world.apps if app.executed]
            world.store.delete("servers", used.id)
        (full,) = answers
        assert isinstance(full, http_client.FullResponse), full
        assert full.status == 200
        assert sum(len(app.executed) for app in world.apps) == 1

"""Tests of the bound on outdated weights, which runs from the acknowledgement."""

import pytest
import trio
import trio.testing

from snipelug_core import retirement
from snipelug_net import http_client
from snipelug_relay import clock, ports, retirements, state, stats, watch
from tests import platform_world, relay_builders

VERSION_S = 5.0
"""Bound in these tests; shorter than in the deployments, to save time."""


def name_version(world: platform_world.World, version: int) -> float:
    """Name a weight version that no engine loads; return when it was named."""
    for engine in world.engines:
        engine.is_busy = True
    content = {"model": platform_world.MODEL, "version": version}
    world.store.put("op", f"version/{platform_world.MODEL}", content)
    return trio.current_time()


def configuration_version(world: platform_world.World) -> int:
    known = world.nodes[0]._state.catalog
    return known.version if known is not None else 0


def runs(world: platform_world.World) -> int:
    return sum(len(engine.executed) for engine in world.engines)


async def ask(world: platform_world.World, index: int = 0) -> int:
    """Send a prompt through a node; return the status of the response."""
    full = await platform_world.Caller(world.nodes[index]).send_prompt("/ask/")
    assert isinstance(full, http_client.FullResponse)
    return full.status


@pytest.mark.parametrize("late_table", ["op", "servers"])
async def test_restart_does_not_start_the_bound_on_outdated_weights_anew(
    late_table: str,
) -> None:
    """Guards against requests on outdated weights through a restarted node."""
    async with platform_world.deployment(
        apps=0, engines=1, version_s=VERSION_S
    ) as world:
        named_at = name_version(world, 2)
        await trio.sleep_until(named_at + VERSION_S)
        world.store.faults.late_reads[late_table] = 0.2
        await world.add_node("n2")
        await world.wait_ready(1)
        assert await ask(world, 1) == 503
        assert runs(world) == 0


async def test_restarted_node_uses_outdated_weights_until_their_bound() -> None:
    """Guards against refusals by nodes that start while engines load new weights."""
    async with platform_world.deployment(apps=0, engines=1) as world:
        named_at = name_version(world, 2)
        await platform_world.wait_until(
            lambda: world.store.content("retirements", platform_world.MODEL) is not None
        )
        await world.add_node("n2")
        await world.wait_ready(1)
        await trio.sleep_until(named_at + 3.0)
        assert [await ask(world, index) for index in (0, 1)] == [200, 200]
        await trio.sleep_until(named_at + world.version_s)
        assert [await ask(world, index) for index in (0, 1)] == [503, 503]


async def test_late_read_does_not_extend_the_bound_on_outdated_weights() -> None:
    """Guards against a bound that runs from the end of an outage of the store."""
    async with platform_world.deployment(
        apps=0, engines=1, version_s=VERSION_S
    ) as world:
        world.store.faults.is_down = True
        await trio.sleep(watch.INTENT_LONG_POLL_S)
        named_at = name_version(world, 2)
        await trio.sleep_until(named_at + VERSION_S)
        world.store.faults.is_down = False
        await platform_world.wait_until(
            lambda: bool(world.nodes[0]._state.latest_versions())
        )
        assert await ask(world) == 503
        assert runs(world) == 0


@pytest.mark.parametrize("is_resumable", [False, True])
async def test_queued_request_does_not_begin_on_weights_past_their_bound(
    is_resumable: bool,
) -> None:
    """Guards against requests that wait at an engine until the bound has passed."""
    async with platform_world.deployment(
        apps=0, engines=1, version_s=VERSION_S
    ) as world:
        route = platform_world.route(
            "ask", "/ask/", "streaming", "llm", resumable=is_resumable
        )
        world.configure(2, routes=[route | {"timeout_ms": 9000}])
        await platform_world.wait_until(lambda: configuration_version(world) == 2)
        (engine,) = world.engines
        engine.queue_s = 4.5
        named_at = name_version(world, 2)
        await trio.sleep_until(named_at + 1.0)
        caller = platform_world.Caller(world.nodes[0])
        await caller.send_prompt("/ask/", request_deadline="9000")
        await trio.sleep_until(named_at + 6.0)
        assert [r.received_at - named_at for r in engine.executed] == []


class ContestedStore:
    """A store in which another node writes the row between a read and a write."""

    def __init__(self, other: retirement.History) -> None:
        self.rows = [ports.RetirementRow("m", retirement.History(), 0)]
        self.other = ports.RetirementRow("m", other, 7)

    async def read_retirements(self) -> ports.Page[ports.RetirementRow]:
        return ports.Page([self.rows[-1]], 1, 50_000.0)

    async def write_retirement(self, row: ports.RetirementRow) -> ports.Conflict | None:
        if row.row_version == 0:
            self.rows.append(self.other)
            return ports.Conflict()
        self.rows.append(row)
        return None


async def test_row_that_another_node_wrote_first_is_not_overwritten(
    nursery: trio.Nursery,
) -> None:
    """Guards against the loss of an earlier version's times in a race of two nodes."""
    other = retirement.History({1: retirement.Span(1.0, 39_000.0)})
    store = ContestedStore(other)
    addr = ("127.0.0.1", 1)
    node_state = state.State(ports.Settings("n1", "a", addr, addr, addr))
    now = clock.now()
    node_state.store_clock.record(now, now, 41_000.0)
    node_state.apply_intents([ports.Version("m", 2)], 40_000.0, is_whole=True)
    node_state.apply_intents([ports.Version("m", 3)], 41_000.0, is_whole=False)
    outdated = relay_builders.entry(versions={"m": 1})
    node_state.apply_listings([outdated], is_whole=True)
    sync = retirements.RetirementSync(
        node_state.cfg,
        node_state,
        store,  # type: ignore[arg-type]
        stats.Stats(),
    )
    nursery.start_soon(sync.run)
    await trio.testing.wait_all_tasks_blocked()
    sync.wake()
    await platform_world.wait_until(lambda: len(store.rows) == 3)
    nursery.cancel_scope.cancel()
    written = store.rows[-1].history
    assert written.last_current_ms(1) == 39_000.0
    assert written.last_current_ms(2) == 40_000.0
    assert node_state.named_versions["m"] == written


class CountingStore(ContestedStore):
    """A store that counts the reads of the rows."""

    reads = 0

    async def read_retirements(self) -> ports.Page[ports.RetirementRow]:
        self.reads += 1
        return await super().read_retirements()


@pytest.mark.parametrize(("served", "is_read"), [(2, False), (1, True)])
async def test_times_of_namings_are_read_only_if_an_engine_is_outdated(
    served: int, is_read: bool, nursery: trio.Nursery
) -> None:
    """Guards against calls of all nodes at each start while no engine is outdated."""
    store = CountingStore(retirement.History())
    addr = ("127.0.0.1", 1)
    node_state = state.State(ports.Settings("n1", "a", addr, addr, addr))
    now = clock.now()
    node_state.store_clock.record(now, now, 41_000.0)
    node_state.apply_intents([ports.Version("m", 2)], 40_000.0, is_whole=True)
    listed = relay_builders.entry(versions={"m": served})
    node_state.apply_listings([listed], is_whole=True)
    sync = retirements.RetirementSync(
        node_state.cfg,
        node_state,
        store,  # type: ignore[arg-type]
        stats.Stats(),
    )
    nursery.start_soon(sync.run)
    sync.wake()
    await trio.sleep(0.4)
    nursery.cancel_scope.cancel()
    assert (store.reads > 0) is is_read

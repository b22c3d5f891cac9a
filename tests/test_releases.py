"""Tests of releases with nodes and platform stand-ins."""

import collections.abc
import contextlib
import dataclasses
import typing

import pytest
import trio

from snipelug_core import release, shared_rate
from snipelug_net import http_client
from snipelug_platform_standin import server
from snipelug_relay import ports
from tests import platform_world

DURATION_S = 6.0
RATE_PER_S = 100.0
TIMEOUT_S = DURATION_S + 4.0
EXPOSURE = release.Exposure()


def with_releases(world: platform_world.World) -> None:
    """Let the nodes that start from now on carry out orders for releases."""
    plain = world.settings

    def settings(name: str) -> ports.Settings:
        return dataclasses.replace(plain(name), exposure=EXPOSURE)

    world.settings = settings  # type: ignore[method-assign]


@contextlib.asynccontextmanager
async def deployment(
    nodes: int = 1,
) -> collections.abc.AsyncIterator[platform_world.World]:
    """Run a deployment whose operator orders releases, without engines."""
    async with platform_world.deployment(
        apps=3, engines=0, kv_stores=0, nodes=0, has_peers=True
    ) as world:
        with_releases(world)
        for number in range(nodes):
            await world.add_node(f"n{number + 1}")
        for number in range(nodes):
            await world.wait_ready(number)
        await platform_world.wait_until(
            lambda: all(
                n._state.nodes == nodes and n._state.demand_share > 0
                for n in world.nodes
            )
        )
        # A node that has just started grants no permits to others.
        await trio.sleep(shared_rate.PROVISIONAL_S)
        yield world


async def add_release(
    world: platform_world.World, name: str, count: int = 3, **faults: typing.Any
) -> list[server.Server]:
    """Start upstreams of a release and list them."""
    added = [server.Server("app", release=name) for _ in range(count)]
    for item in added:
        item.faults = server.Faults(**faults)
        await world.nursery.start(item.serve)
        world.store.put("servers", item.id, item.entry())
    return added


def order(world: platform_world.World, name: str, **changes: object) -> None:
    content = {"service": "app", "to": name, "duration_s": DURATION_S} | changes
    world.store.put("op", "rollout/app", content)


def status(world: platform_world.World) -> typing.Any:
    return world.store.content("status", "rollout/app") or {}


@dataclasses.dataclass
class Traffic:
    """Sends requests on two routes to all nodes until cancelled."""

    world: platform_world.World
    per_s: float = RATE_PER_S
    statuses: list[int] = dataclasses.field(default_factory=list)

    async def run(self) -> None:
        callers = [platform_world.Caller(node) for node in self.world.nodes]
        async with trio.open_nursery() as nursery:
            number = 0
            while True:
                number += 1
                caller = callers[number % len(callers)]
                caller.number += 1000 * len(callers)
                nursery.start_soon(self._send, caller, number)
                await trio.sleep(1.0 / self.per_s)

    async def _send(self, caller: platform_world.Caller, number: int) -> None:
        method, target = ("GET", "/look/x") if number % 2 else ("POST", "/order/")
        body = b"" if method == "GET" else b"x"
        full = await caller.send(method, target, body)
        if isinstance(full, http_client.FullResponse):
            self.statuses.append(full.status)


async def play(world: platform_world.World, traffic: Traffic) -> str:
    """Send requests until a release has ended; return its state."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run)
        with trio.fail_after(TIMEOUT_S):
            while status(world).get("state") not in ("completed", "rolled_back"):
                await trio.sleep(0.02)
        nursery.cancel_scope.cancel()
    return str(status(world)["state"])


async def warm_up(traffic: Traffic, seconds: float = 1.0) -> None:
    with trio.move_on_after(seconds):
        await traffic.run()


def executed(servers: list[server.Server]) -> int:
    return sum(len(item.executed) for item in servers)


async def test_release_gets_nothing_before_it_is_ordered() -> None:
    """Guards against requests to a version that the operator did not order."""
    async with deployment() as world:
        added = await add_release(world, "v2")
        traffic = Traffic(world)
        await warm_up(traffic, 1.5)
        assert executed(added) == 0
        assert set(traffic.statuses) == {200}


@pytest.mark.parametrize("nodes", [1, 3])
async def test_sound_release_is_completed_in_time(nodes: int) -> None:
    """Guards against good releases that are late, cut requests or are rolled back."""
    async with deployment(nodes) as world:
        traffic = Traffic(world)
        await warm_up(traffic)
        before = executed(world.apps)
        ordered_at = trio.current_time()
        order(world, "v2")
        added = await add_release(world, "v2")
        assert await play(world, traffic) == "completed"
        assert trio.current_time() < ordered_at + DURATION_S
        assert status(world)["to"] == "v2"
        assert all(app.in_flight == 0 for app in world.apps)
        for app in world.apps:
            world.store.delete("servers", app.id)
            app.crash()
        used = executed(world.apps)
        await warm_up(traffic, 0.5)
        assert executed(world.apps) == used
        assert executed(added) > 0.2 * (used - before)
        assert set(traffic.statuses) == {200}


BAD = {
    "at once": {"bad_share": 0.5},
    "slow": {"bad_share": 0.5, "bad_delay_s": 0.15},
    "one route": {"bad_share": 0.6, "bad_prefix": "/look/"},
    "all of it": {"bad_share": 1.0},
}


@pytest.mark.parametrize("kind", BAD)
async def test_bad_release_is_rolled_back(kind: str) -> None:
    """Guards against bad releases that get more than a part of the requests."""
    async with deployment(2) as world:
        traffic = Traffic(world)
        await warm_up(traffic)
        before = executed(world.apps)
        order(world, "v2")
        ends_at = trio.current_time() + DURATION_S
        added = await add_release(world, "v2", **BAD[kind])
        assert await play(world, traffic) == "rolled_back"
        used = executed(added)
        await warm_up(traffic, ends_at - trio.current_time())
        assert executed(added) == used
        total = executed(world.apps) + used - before
        assert used <= 0.5 * (EXPOSURE.share * total + EXPOSURE.extra)


async def test_release_that_turns_bad_late_is_rolled_back() -> None:
    """Guards against a verdict that rests on early responses only."""
    async with deployment(2) as world:
        traffic = Traffic(world)
        await warm_up(traffic)
        order(world, "v2")
        late = trio.current_time() + 0.6 * DURATION_S
        await add_release(world, "v2", bad_share=0.8, bad_from=late)
        assert await play(world, traffic) == "rolled_back"


async def test_release_that_is_bad_under_load_is_rolled_back() -> None:
    """Guards against releases that are tested with idle upstreams only."""
    async with deployment(2) as world:
        for app in world.apps:
            app.answer_delay_s = 0.05
        traffic = Traffic(world)
        await warm_up(traffic)
        order(world, "v2")
        added = await add_release(world, "v2", bad_share=1.0, bad_load=2)
        for app in added:
            app.answer_delay_s = 0.05
        assert await play(world, traffic) == "rolled_back"


async def test_disruption_of_both_releases_condemns_none() -> None:
    """Guards against rollbacks for faults that the release in use has as well."""
    async with deployment(2) as world:
        traffic = Traffic(world)
        await warm_up(traffic)
        order(world, "v2")
        for app in world.apps:
            app.faults = server.Faults(bad_share=0.3)
        await add_release(world, "v2", bad_share=0.3)
        assert await play(world, traffic) == "completed"


WRONG_ORDERS = {
    "no duration": {"service": "app", "to": "v2"},
    "zero duration": {"service": "app", "to": "v2", "duration_s": 0},
    "other service": {"service": "llm", "to": "v2", "duration_s": 5},
    "no version": {"service": "app", "to": "", "duration_s": 5},
    "version of another type": {"service": "app", "to": 2, "duration_s": 5},
}


@pytest.mark.parametrize("kind", WRONG_ORDERS)
async def test_wrong_order_is_answered_and_changes_nothing(kind: str) -> None:
    """Guards against orders without an answer, and against half of their effect."""
    async with deployment() as world:
        added = await add_release(world, "v2")
        world.store.put("op", "rollout/app", WRONG_ORDERS[kind])
        await platform_world.wait_until(lambda: "state" in status(world))
        assert status(world)["state"] == "rolled_back"
        assert status(world)["reason"]
        traffic = Traffic(world)
        await warm_up(traffic)
        assert executed(added) == 0
        assert set(traffic.statuses) == {200}


async def test_order_for_the_release_in_use_is_completed_at_once() -> None:
    """Guards against a release that is waited for although it is in use."""
    async with deployment() as world:
        order(world, "v1")
        await platform_world.wait_until(
            lambda: status(world).get("state") == "completed"
        )
        traffic = Traffic(world)
        await warm_up(traffic, 0.5)
        assert set(traffic.statuses) == {200}


async def test_release_without_upstreams_is_rolled_back_at_the_deadline() -> None:
    """Guards against releases without an end."""
    async with deployment() as world:
        order(world, "v9", duration_s=1.5)
        assert await play(world, Traffic(world)) == "rolled_back"
        assert "v9" in status(world)["reason"]


async def test_withdrawn_order_is_rolled_back() -> None:
    """Guards against a release that goes on after its order was deleted."""
    async with deployment() as world:
        traffic = Traffic(world)
        await warm_up(traffic)
        order(world, "v2")
        added = await add_release(world, "v2")
        await platform_world.wait_until(lambda: "state" in status(world))
        world.store.delete("op", "rollout/app")
        assert await play(world, traffic) == "rolled_back"
        used = executed(added)
        await warm_up(traffic, 0.5)
        assert executed(added) == used


async def test_release_goes_on_when_its_leader_ends() -> None:
    """Guards against releases that depend on one node."""
    async with deployment(3) as world:
        traffic = Traffic(world)
        await warm_up(traffic)
        order(world, "v2", duration_s=8.0)
        await add_release(world, "v2")
        await platform_world.wait_until(
            lambda: world.store.content("releases", "app") is not None
        )
        holder = world.store.content("releases", "app")["holder"]
        leader = next(n for n in world.nodes if n._cfg.node_id == holder)
        leader._releases._leads.clear()
        leader._releases._find_active = list  # type: ignore[method-assign]
        with trio.fail_after(10.0):
            assert await play(world, traffic) == "completed"
        assert world.store.content("releases", "app")["holder"] != holder


async def test_completed_release_outlasts_a_restore_of_the_store() -> None:
    """Guards against a return to the previous release, whose upstreams have ended."""
    async with deployment(2) as world:
        traffic = Traffic(world)
        await warm_up(traffic)
        order(world, "v2")
        added = await add_release(world, "v2")
        copy = world.store.copy()
        assert await play(world, traffic) == "completed"
        world.store.restore(copy)
        order(world, "v2")
        for item in [*world.apps, *added]:
            world.store.put("servers", item.id, item.entry())
        used = executed(world.apps)
        await platform_world.wait_until(
            lambda: status(world).get("state") == "completed"
        )
        await warm_up(traffic, 1.0)
        assert executed(world.apps) == used

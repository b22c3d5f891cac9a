"""Tests of nodes that read from the platform for the other nodes of their zone."""

import collections

import trio

from snipelug_core import kv_index, watcher
from snipelug_net import http_client
from snipelug_platform_standin import store
from tests import platform_world

NODES = 6
MAX_ANNOUNCED_AGE_S = 2.5
"""Maximum configuration age in zones with readers; the bound there is 3 s."""


def test_all_nodes_pick_the_same_readers() -> None:
    """Guards against zones without readers or with too many of them."""
    nodes = [watcher.Node(f"n{i}", "a" if i < 9 else "b") for i in range(12)]
    picked = watcher.pick_readers(nodes, "a")
    assert picked == watcher.pick_readers(reversed(nodes), "a")
    assert len(picked) == watcher.READERS_PER_ZONE
    assert sorted(watcher.pick_readers(nodes, "b")) == ["n10", "n11", "n9"]


def test_loss_of_a_reader_moves_one_role() -> None:
    """Guards against a change of all readers when one node leaves."""
    nodes = [watcher.Node(f"n{i}", "a") for i in range(9)]
    first, second = watcher.pick_readers(nodes, "a")
    left = [node for node in nodes if node.id != first]
    assert second in watcher.pick_readers(left, "a")


def test_stores_are_read_by_many_nodes_of_a_zone() -> None:
    """Guards against announcements that saturate the links of two nodes.

    In the largest zone, of 27 nodes and 17 stores, two nodes announced 540 parts per
    second of 35 B each to 25 others, over links of 5 and 10 Mbit/s.
    """
    nodes = [watcher.Node(f"n{i}", "a") for i in range(27)]
    stores = [f"kv{i}" for i in range(17)]
    readers = [watcher.pick_readers(nodes, "a", store) for store in stores]
    assert all(len(picked) == 1 for picked in readers)
    loads = collections.Counter(node for (node,) in readers)
    share = max(loads.values()) / len(stores)
    assert 8 * share * 540 * 35 * (len(nodes) - 1) < 0.25 * 5e6
    assert watcher.pick_readers(nodes[:3], "a", "kv0") == ["n0", "n1", "n2"]


async def zone_known(world: platform_world.World) -> None:
    """Wait until all nodes know each other and have polled once."""
    await platform_world.wait_until(
        lambda: all(n.members == NODES for n in world.nodes)
    )
    await trio.sleep(1.5)


async def count_calls(rows: store.Store, for_s: float) -> collections.Counter[str]:
    before = rows.calls.copy()
    await trio.sleep(for_s)
    return rows.calls - before


async def test_few_nodes_read_for_all() -> None:
    """Guards against calls that grow with the number of nodes, and stale nodes."""
    async with platform_world.deployment(
        engines=0, nodes=NODES, has_peers=True
    ) as world:
        await zone_known(world)
        calls = await count_calls(world.store, 3.0)
        # Two readers, each with the list every 0.8 s and the intents every second.
        assert calls["/api/rows-feed"] <= 2 * (4 + 3) + 2
        leaving, stays = world.apps
        leaving.state = "draining"
        world.store.put("servers", leaving.id, leaving.entry())
        world.configure(2, tenants=[{"name": "team-2", "api_keys": ["other"]}])
        await trio.sleep(1.5)
        for node in world.nodes:
            caller = platform_world.Caller(node)
            full = await caller.send("GET", "/look/")
            assert isinstance(full, http_client.FullResponse)
            assert full.status == 401
            for _ in range(2):
                full = await caller.send("GET", "/look/", authorization="Token other")
                assert isinstance(full, http_client.FullResponse)
                assert full.status == 200
        assert not leaving.executed
        assert len(stays.executed) == 2 * NODES


async def test_nodes_read_for_themselves_without_announcements() -> None:
    """Guards against nodes that become stale because no datagrams arrive."""
    async with platform_world.deployment(
        engines=0, nodes=NODES, has_peers=True
    ) as world:
        await zone_known(world)
        for node in world.nodes:
            node.drop_datagrams()
        leaving = world.apps[0]
        leaving.state = "draining"
        world.store.put("servers", leaving.id, leaving.entry())
        world.configure(2, tenants=[{"name": "team-2", "api_keys": ["other"]}])
        await trio.sleep(2.8)
        for node in world.nodes:
            full = await platform_world.Caller(node).send("GET", "/look/")
            assert isinstance(full, http_client.FullResponse)
            assert full.status == 401
            full = await platform_world.Caller(node).send(
                "GET", "/look/", authorization="Token other"
            )
            assert isinstance(full, http_client.FullResponse)
            assert full.status == 200
        assert not leaving.executed


async def test_announced_configuration_is_recent() -> None:
    """Guards against nodes that use a configuration that was announced too late."""
    ages: list[float] = []
    async with platform_world.deployment(
        engines=0, nodes=NODES, has_peers=True
    ) as world:
        await zone_known(world)
        for _ in range(80):
            ages += [node.configuration_age_s for node in world.nodes]
            await trio.sleep(0.05)
    assert max(ages) < MAX_ANNOUNCED_AGE_S


async def test_silent_store_does_not_delay_polls_of_the_others() -> None:
    """Guards against all nodes polling all stores while one store is unresponsive.

    Polls of that store time out after 0.6 s, and parts of the others are used for
    1.6 s after a poll.
    """
    ages: list[float] = []
    async with platform_world.deployment(
        engines=0, nodes=NODES, has_peers=True, kv_stores=2
    ) as world:
        await zone_known(world)
        silent, sound = world.kv_stores
        silent.is_silent = True
        await trio.sleep(2.0)
        before, began_at = sound.polls, trio.current_time()
        for _ in range(60):
            ages += [node.store_age_s("kv1") for node in world.nodes]
            await trio.sleep(0.05)
        # Two readers poll once per second; on a busy machine this takes over 3 s.
        elapsed_s = trio.current_time() - began_at
        assert sound.polls - before <= 2 * (elapsed_s + 1)
    assert max(ages) < kv_index.MAX_POLL_AGE_S


async def test_expired_entries_that_return_are_used_by_all_nodes() -> None:
    """Guards against nodes that learn of a removal but not of the entry's return.

    Entries expire while the store is unavailable; the entry returns within 2 s.
    """
    async with platform_world.deployment(
        apps=1, engines=0, nodes=NODES, has_peers=True
    ) as world:
        await zone_known(world)
        app = world.apps[0]
        world.store.faults.is_down = True
        await trio.sleep(3.0)
        world.store.delete("servers", app.id)
        world.store.faults.is_down = False
        await trio.sleep(1.8)
        world.store.put("servers", app.id, app.entry())
        await trio.sleep(3.0)
        for node in world.nodes:
            full = await platform_world.Caller(node).send("GET", "/look/")
            assert isinstance(full, http_client.FullResponse)
            assert full.status == 200


async def test_entry_that_is_away_for_a_moment_is_used_by_all_nodes() -> None:
    """Guards against a node that misses an upstream for good.

    One node reads the list while the entry is away; the readers see no change.
    """
    async with platform_world.deployment(
        apps=1, engines=0, nodes=NODES, has_peers=True
    ) as world:
        await zone_known(world)
        app = world.apps[0]
        node = next(node for node in world.nodes if not node._state.is_reader)
        world.store.delete("servers", app.id)
        node._watch._list_cursor.request_read()
        await platform_world.wait_until(
            lambda: app.id not in node._state.fleet.upstreams
        )
        world.store.put("servers", app.id, app.entry())
        await trio.sleep(2.0)
        full = await platform_world.Caller(node).send("GET", "/look/")
        assert isinstance(full, http_client.FullResponse)
        assert full.status == 200

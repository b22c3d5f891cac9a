"""Tests of what nodes read from a store that was restored from a copy."""

import collections.abc
import functools

import msgspec
import pytest
import trio

from snipelug_core import continuity, restore
from snipelug_net import http_client
from snipelug_platform_standin import server
from snipelug_relay import messages, ports
from snipelug_relay import node as relay_node
from tests import platform_world

IN_FORCE_S = 3.0
"""Time after which a change that was acknowledged must be in force."""

LOST_ROWS = 6
"""Transactions after the copy that nodes read before the store is restored."""

NEW_ROWS = 12
"""Transactions after the restore; more than were lost."""

NODES = [1, 3, 6]
"""Numbers of nodes; in a zone of more than four, two nodes read for the others."""

World = platform_world.World
Change = collections.abc.Callable[[World], None]
Check = collections.abc.Callable[[World, relay_node.Node], bool]


def touch(world: World, count: int) -> None:
    """Commit transactions that change nothing for nodes."""
    for _ in range(count):
        world.store.put("op", "note", {})
        world.store.put("servers-note", "note", {})


async def wait_read(world: World) -> None:
    """Wait until all nodes know each other and have read up to the last version."""
    version = world.store.copy().version
    await platform_world.wait_until(
        lambda: (
            all(n.members == len(world.nodes) for n in world.nodes)
            and all(
                (cursor.position or 0) >= version
                for n in world.nodes
                for cursor in (n._watch._intents_cursor, n._watch._list_cursor)
            )
        )
    )


async def restore_and_write(
    world: World, change: Change, lost: Change = lambda _: None
) -> None:
    """Restore a copy and write past the positions of all nodes before they read.

    Parameters
    ----------
    change : callable
        Makes the change that nodes must read, right after the restore.
    lost : callable
        Makes a change after the copy, which nodes read and the store forgets.
    """
    copy = world.store.copy()
    lost(world)
    touch(world, LOST_ROWS)
    await wait_read(world)
    world.store.restore(copy)
    change(world)
    touch(world, NEW_ROWS)


def evacuate(world: World, zone: str) -> None:
    world.store.put("op", f"evacuate/{zone}", {})


def drain(world: World) -> None:
    world.apps[0].state = "draining"
    world.store.put("servers", world.apps[0].id, world.apps[0].entry())


def add_entry(world: World) -> None:
    world.apps.append(server.Server("app"))
    world.store.put("servers", "i-new", world.apps[0].entry())


def use_other_key(world: World) -> None:
    world.configure(2, tenants=[{"name": "team-2", "api_keys": ["other"]}])


def holds_key(_world: World, running: relay_node.Node, key: str) -> bool:
    known = running._state.catalog
    assert known is not None
    return any(key in team.keys for team in known.teams)


CHANGES: dict[str, tuple[Change, Check]] = {
    "configuration": (use_other_key, functools.partial(holds_key, key="other")),
    "removed key": (
        lambda world: world.configure(2, tenants=[]),
        lambda world, running: not holds_key(world, running, platform_world.KEY),
    ),
    "added entry": (add_entry, lambda _, n: "i-new" in n._state.fleet.upstreams),
    "drain": (
        drain,
        lambda world, n: n._state.fleet.upstreams[world.apps[0].id].is_leaving,
    ),
    "zone out": (
        lambda world: evacuate(world, "zone-b"),
        lambda _, n: n._state.zones_out == {"zone-b", "zone-c"},
    ),
    "zone back": (
        lambda world: world.store.delete("op", "evacuate/zone-c"),
        lambda _, n: n._state.zones_out == frozenset(),
    ),
    "weights": (
        lambda world: world.store.put("op", "version/m", {"model": "m", "version": 2}),
        lambda _, n: n._state.latest_versions() == {"m": 2},
    ),
}


@pytest.mark.parametrize("nodes", NODES)
@pytest.mark.parametrize("change", CHANGES)
async def test_change_after_a_restore_is_read(change: str, nodes: int) -> None:
    """Guards against changes skipped because their versions were given out before."""
    make, is_in_force = CHANGES[change]
    async with platform_world.deployment(
        engines=0, kv_stores=0, nodes=nodes, has_peers=True
    ) as world:
        evacuate(world, "zone-c")
        await wait_read(world)
        await restore_and_write(world, make)
        # A zone is kept out for a while if its row is missing after a restore.
        is_kept = change == "zone back"
        await trio.sleep(IN_FORCE_S + (restore.RESTORE_GRACE_S if is_kept else 0.0))
        late = [n for n in world.nodes if not is_in_force(world, n)]
        assert not late, f"{len(late)} of {nodes} nodes have not read the change"


@pytest.mark.parametrize("nodes", NODES)
async def test_requests_follow_a_change_after_a_restore(nodes: int) -> None:
    """Guards against requests served by a configuration that was replaced."""
    async with platform_world.deployment(
        engines=0, kv_stores=0, nodes=nodes, has_peers=True
    ) as world:
        await restore_and_write(world, use_other_key)
        await trio.sleep(IN_FORCE_S)
        for running in world.nodes:
            caller = platform_world.Caller(running)
            for key, status in ((platform_world.KEY, 401), ("other", 200)):
                full = await caller.send("GET", "/look/", authorization=f"Token {key}")
                assert isinstance(full, http_client.FullResponse)
                assert full.status == status


async def test_late_response_of_before_the_restore_changes_nothing() -> None:
    """Guards against a node that starts with what the store has forgotten."""
    async with platform_world.deployment(engines=0, kv_stores=0) as world:
        copy = world.store.copy()
        world.configure(5)
        world.store.faults.late_reads["op"] = 0.7
        started = await world.add_node("n2")
        await platform_world.wait_until(lambda: started._state.upstream_list_known)
        await trio.sleep(0.2)
        assert started._state.catalog is None
        world.store.restore(copy)
        world.configure(3)
        world.store.faults.late_reads.clear()
        page = await started._store.read_members()
        assert isinstance(page, ports.Page)
        started._state.record_epoch(page.epoch)
        await platform_world.wait_until(lambda: started.is_ready)
        await trio.sleep(1.2)
        known = started._state.catalog
        assert known is not None
        assert known.version == 3


@pytest.mark.parametrize("kind", [messages.IntentsRead, messages.ListRead])
def test_announcement_of_an_older_program_is_of_no_epoch(kind: type) -> None:
    """Guards against announcements that end while nodes are replaced one by one."""
    fields: dict[type, list[object]] = {
        messages.IntentsRead: [4, 1, 2, 5.0, False],
        messages.ListRead: [5, 1, 2, False, [], ["u1"], False],
    }
    data = msgspec.msgpack.encode(fields[kind])
    found = msgspec.msgpack.decode(data, type=messages.Message)
    assert isinstance(found, kind)
    assert isinstance(found, messages.IntentsRead | messages.ListRead)
    assert (found.since, found.position, found.epoch) == (1, 2, 0)


@pytest.mark.parametrize("nodes", NODES)
async def test_nodes_keep_what_the_copy_lacks(nodes: int) -> None:
    """Guards against a copy that undoes what nodes have acknowledged as in force.

    The store forgets a configuration, a zone that was taken out, an upstream that has
    left, one that is leaving and one that was added; nobody writes them again.
    """
    async with platform_world.deployment(
        apps=3, engines=0, kv_stores=0, nodes=nodes, has_peers=True
    ) as world:
        leaving, gone, _ = world.apps

        def lose(world: World) -> None:
            use_other_key(world)
            evacuate(world, "zone-b")
            drain(world)
            world.store.delete("servers", gone.id)
            world.store.put("servers", "i-new", world.apps[2].entry())

        await restore_and_write(world, lambda _: None, lose)
        listed_again = f"{gone.id} is listed again"
        with trio.move_on_after(continuity.KEEP_S - 0.5):
            while True:
                for running in world.nodes:
                    known = running._state
                    assert holds_key(world, running, "other")
                    assert known.zones_out == {"zone-b"}
                    assert known.fleet.upstreams[leaving.id].is_leaving
                    assert gone.id not in known.fleet.upstreams, listed_again
                    assert "i-new" in known.fleet.upstreams
                await trio.sleep(0.05)
        epochs = {n._watch._list_cursor.epoch for n in world.nodes}
        assert epochs == {1}, "not all nodes have read the copy"
        await trio.sleep(restore.RESTORE_GRACE_S + IN_FORCE_S)
        for running in world.nodes:
            known = running._state
            assert holds_key(world, running, "other")
            assert known.zones_out == frozenset()
            assert known.fleet.upstreams[leaving.id].is_leaving
            assert gone.id in known.fleet.upstreams
            assert "i-new" not in known.fleet.upstreams


@pytest.mark.parametrize("nodes", NODES)
async def test_upstream_that_is_written_again_is_used_at_once(nodes: int) -> None:
    """Guards against an upstream that is withheld although it is there."""
    async with platform_world.deployment(
        engines=0, kv_stores=0, nodes=nodes, has_peers=True
    ) as world:
        back = world.apps[0]
        await restore_and_write(
            world,
            lambda _: None,
            lambda world: world.store.delete("servers", back.id),
        )
        await trio.sleep(1.5)
        assert all(back.id not in n._state.fleet.upstreams for n in world.nodes)
        world.store.put("servers", back.id, back.entry())
        await trio.sleep(1.5)
        assert all(back.id in n._state.fleet.upstreams for n in world.nodes)


@pytest.mark.parametrize("nodes", NODES)
async def test_requests_are_served_through_an_outage_and_a_restore(nodes: int) -> None:
    """Guards against refused requests, and requests to upstreams that have left.

    The store is away, comes back from a copy, and is written again a second later.
    """
    async with platform_world.deployment(
        apps=3, engines=0, kv_stores=0, nodes=nodes, has_peers=True
    ) as world:
        leaving, gone, stays = world.apps
        copy = world.store.copy()
        use_other_key(world)
        drain(world)
        world.store.delete("servers", gone.id)
        touch(world, LOST_ROWS)
        await wait_read(world)
        executed = len(leaving.executed), len(gone.executed)
        statuses: list[int] = []

        async def send_all() -> None:
            callers = [platform_world.Caller(n) for n in world.nodes]
            while True:
                for caller in callers:
                    full = await caller.send(
                        "GET", "/look/", authorization="Token other"
                    )
                    assert isinstance(full, http_client.FullResponse)
                    statuses.append(full.status)
                await trio.sleep(0.05)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_all)
            world.store.faults.is_down = True
            await trio.sleep(1.5)
            world.store.restore(copy)
            world.store.faults.is_down = False
            await trio.sleep(1.0)
            use_other_key(world)
            drain(world)
            world.store.put("servers", stays.id, stays.entry())
            world.store.delete("servers", gone.id)
            await trio.sleep(restore.RESTORE_GRACE_S + 1.0)
            nursery.cancel_scope.cancel()
        assert len(statuses) > 50
        assert set(statuses) == {200}
        assert (len(leaving.executed), len(gone.executed)) == executed
        assert len(stays.executed) >= len(statuses)

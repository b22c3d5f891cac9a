"""Tests of what nodes write to the platform's store after it was restored."""

import dataclasses
import random

import pytest
import trio

from snipelug_core import quarantine, retirement
from snipelug_net import http_client
from snipelug_platform import main as platform_main
from snipelug_platform_standin import store
from snipelug_relay import node, ports, suspects
from tests import platform_world, quarantine_builders

BAD = quarantine.part_suspect(platform_world.MODEL, quarantine_builders.CRASH_PART)


def name_version(world: platform_world.World, version: int) -> None:
    content = {"model": platform_world.MODEL, "version": version}
    world.store.put("op", f"version/{platform_world.MODEL}", content)


def write_elsewhere(world: platform_world.World, count: int) -> None:
    """Raise the store's version by rows that nodes do not use."""
    for number in range(count):
        world.store.put("other", "row", number)


def cut_off(holder: node.Node) -> None:
    """Let a node neither read nor write the lease any more."""

    async def fail(*_args: object) -> ports.Unavailable:
        return ports.Unavailable("cut off by the test")

    holder._store.read_lease = fail  # type: ignore[method-assign]
    holder._store.write_lease = fail  # type: ignore[method-assign]


@dataclasses.dataclass
class Holders:
    """Counts the nodes that may give orders.

    Attributes
    ----------
    most : int
        Largest number at any time.
    """

    world: platform_world.World
    most: int = 0

    async def count(self) -> None:
        """Count until cancelled."""
        while True:
            remaining = [n._weights._lease_remaining_ms() for n in self.world.nodes]
            self.most = max(self.most, sum(left_ms > 0 for left_ms in remaining))
            await trio.sleep(0.002)


async def wait_for_weights(world: platform_world.World, version: int) -> None:
    """Wait until all engines serve a weight version."""
    await platform_world.wait_until(
        lambda: all(
            engine.models[platform_world.MODEL] == version for engine in world.engines
        )
    )


async def wait_for_epoch(world: platform_world.World) -> None:
    """Wait until all nodes know that the store was restored."""
    await platform_world.wait_until(
        lambda: all(
            node._state.store_epoch == world.store.epoch for node in world.nodes
        )
    )


@pytest.mark.parametrize("nodes", [1, 3])
async def test_rollout_after_a_restore_is_not_fenced(nodes: int) -> None:
    """Guards against fencing tokens below those that engines have accepted."""
    async with platform_world.deployment(
        apps=0, engines=2, nodes=nodes, has_peers=True
    ) as world:
        name_version(world, 2)
        await wait_for_weights(world, 2)
        copy = world.store.copy()
        for version in (3, 4):
            # The lease has expired, so a new one with another token is taken.
            await trio.sleep(1.3)
            write_elsewhere(world, 500)
            name_version(world, version)
            await wait_for_weights(world, version)
        world.store.restore(copy)
        name_version(world, 4)
        await wait_for_epoch(world)
        name_version(world, 5)
        await wait_for_weights(world, 5)
        for engine in world.engines:
            tokens = [order["fencing_token"] for order in engine.orders]
            assert tokens == sorted(tokens)  # type: ignore[type-var]


async def test_lease_of_a_store_before_is_not_taken_by_another_node() -> None:
    """Guards against two nodes that give orders as a copy does not name the holder."""
    async with platform_world.deployment(
        apps=0, engines=8, nodes=3, has_peers=True
    ) as world:
        copy = world.store.copy()
        for engine in world.engines:
            engine.faults.order_lag_s = 0.4
        holders = Holders(world)
        world.nursery.start_soon(holders.count)
        name_version(world, 2)
        await platform_world.wait_until(lambda: holders.most == 1)
        for node in world.nodes:
            if node._weights._lease_remaining_ms() > 0:
                cut_off(node)
        world.store.restore(copy)
        name_version(world, 2)
        await wait_for_weights(world, 2)
        assert holders.most == 1


@pytest.mark.parametrize("nodes", [1, 3])
async def test_member_rows_are_written_again_at_once(nodes: int) -> None:
    """Guards against shares of limits that grow as rows of living nodes are gone."""
    async with platform_world.deployment(apps=1, engines=0, nodes=0) as world:
        copy = world.store.copy()
        for number in range(nodes):
            await world.add_node(f"n{number + 1}")
        await quarantine_builders.wait_for_members(world)
        await platform_world.wait_until(
            lambda: all(
                world.store.content("members", f"n{number + 1}") is not None
                for number in range(nodes)
            )
        )
        world.store.restore(copy)
        with trio.fail_after(3.0):
            while any(
                world.store.content("members", f"n{number + 1}") is None
                for number in range(nodes)
            ):
                assert all(node.members == nodes for node in world.nodes)
                await trio.sleep(0.01)
        await trio.sleep(0.5)
        assert all(node.members == nodes for node in world.nodes)


async def test_times_of_namings_are_written_again() -> None:
    """Guards against a starting node that finds no times of a naming."""
    async with platform_world.deployment(apps=0, engines=2) as world:
        for engine in world.engines:
            engine.faults.order_lag_s = 30.0
        copy = world.store.copy()
        name_version(world, 2)
        await platform_world.wait_until(
            lambda: world.store.content("retirements", platform_world.MODEL) is not None
        )
        world.store.restore(copy)
        name_version(world, 2)
        await platform_world.wait_until(
            lambda: world.store.content("retirements", platform_world.MODEL) is not None
        )
        late = await world.add_node("n2")
        await platform_world.wait_until(
            lambda: (
                platform_world.MODEL in late._state.named_versions
                and not late._state.named_versions[platform_world.MODEL].is_uncertain
            )
        )
        named = late._state.named_versions[platform_world.MODEL]
        known = world.nodes[0]._state.named_versions[platform_world.MODEL]
        assert named.last_current_ms(1) == known.last_current_ms(1)


async def test_withheld_suspect_is_written_again() -> None:
    """Guards against a starting node that does not know of a part that crashes."""
    async with platform_world.deployment(apps=0, engines=6, nodes=2) as world:
        copy = world.store.copy()
        quarantine_builders.arm(world.engines)
        caller = platform_world.Caller(world.nodes[0])
        await quarantine_builders.send_crashing([caller], 4)
        await platform_world.wait_until(
            lambda: world.store.content("suspects", BAD) is not None
        )
        world.store.restore(copy)
        await platform_world.wait_until(
            lambda: world.store.content("suspects", BAD) is not None
        )


async def test_cleared_suspect_does_not_return_from_the_copy() -> None:
    """Guards against a starting node that withholds a part that was found sound."""
    async with platform_world.deployment(apps=0, engines=6) as world:
        known = world.nodes[0]._suspects
        for crash in range(quarantine.SUSPECT_LIMIT):
            known._ledger.charge(f"{crash:013d}/i", ["a"])
        known._mark_unwritten("a")
        await platform_world.wait_until(
            lambda: world.store.content("suspects", "a") is not None
        )
        copy = world.store.copy()
        known._clear("a", 0.0)
        await platform_world.wait_until(
            lambda: world.store.content("suspects", "a") is None
        )
        world.store.restore(copy)
        await platform_world.wait_until(
            lambda: world.store.content("suspects", "a") is None
        )
        assert known._ledger.count("a") == 0


async def test_probe_is_not_claimed_again_after_a_restore(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a second probe of a suspect whose first claim is gone."""
    monkeypatch.setattr(suspects, "PROBE_AFTER_S", 1.5)
    async with platform_world.deployment(
        apps=0, engines=6, nodes=2, has_peers=True
    ) as world:
        await quarantine_builders.wait_for_members(world)
        quarantine_builders.arm(world.engines)
        callers = [platform_world.Caller(node) for node in world.nodes]
        await quarantine_builders.send_crashing(callers, 4)
        await platform_world.wait_until(
            lambda: world.store.content("suspects", BAD) is not None
        )
        copy = world.store.copy()
        await trio.sleep(2.0)
        count = quarantine_builders.crashes(world)
        await quarantine_builders.send_crashing(callers[:1], 1)
        assert quarantine_builders.crashes(world) == count + 1
        world.store.restore(copy)
        await quarantine_builders.send_crashing(callers[1:], 4)
        assert quarantine_builders.crashes(world) == count + 1


async def test_condition_does_not_hold_for_a_row_of_another_epoch(
    nursery: trio.Nursery,
) -> None:
    """Guards against success when a version stands for another row by then."""
    rows = store.Store()
    port = await nursery.start(rows.serve)
    client = platform_main.control_store(http_client.Pool(1.0), ("127.0.0.1", port))
    suspicion = quarantine.Suspicion("a", {"crash": frozenset({"a"})})
    times = ports.RetirementRow("m", retirement.History(), 0)
    assert await client.write_suspect(ports.SuspectRow(suspicion, 1.0, 0, 0)) is True
    assert await client.write_retirement(times) is None
    suspects_read = await client.read_suspects()
    times_read = await client.read_retirements()
    assert isinstance(suspects_read, ports.Page)
    assert isinstance(times_read, ports.Page)
    rows.restore(rows.copy())
    (suspect,), (times,) = suspects_read.items, times_read.items
    assert await client.write_suspect(suspect) is False
    assert isinstance(await client.write_retirement(times), ports.Conflict)
    suspects_read = await client.read_suspects()
    assert isinstance(suspects_read, ports.Page)
    rows.restore(rows.copy())
    assert await client.remove_suspect(suspects_read.items[0]) is False
    nursery.cancel_scope.cancel()


async def test_times_of_another_epoch_are_only_used_if_the_clock_went_on() -> None:
    """Guards against times of a clock that a starting node cannot translate."""
    async with platform_world.deployment(apps=0, engines=2) as world:
        for engine in world.engines:
            engine.faults.order_lag_s = 30.0
        name_version(world, 2)
        await platform_world.wait_until(
            lambda: world.store.content("retirements", platform_world.MODEL) is not None
        )
        world.store.restore(world.store.copy(), clock_jump_s=-30.0)
        await platform_world.wait_until(
            lambda: (
                world.store.content("retirements", platform_world.MODEL)["epoch"] == 1
            )
        )
        late = await world.add_node("n2")
        await platform_world.wait_until(
            lambda: (
                platform_world.MODEL in late._state.named_versions
                and not late._state.named_versions[platform_world.MODEL].is_uncertain
            )
        )
        retired_at = [node._state.retired_at("m", 1) for node in world.nodes]
        assert retired_at[1] == pytest.approx(retired_at[0], abs=0.2)


async def test_row_of_a_node_that_stops_does_not_return() -> None:
    """Guards against a stopped node that counts among those that share limits."""
    async with platform_world.deployment(apps=1, engines=0, kv_stores=0) as world:
        await platform_world.wait_until(
            lambda: world.store.content("members", "n1") is not None
        )
        copy = world.store.copy()
        world.nursery.start_soon(world.nodes[0].stop)
        await platform_world.wait_until(
            lambda: world.store.content("members", "n1") is None
        )
        world.store.restore(copy)
        await platform_world.wait_until(
            lambda: world.store.content("members", "n1") is None
        )
        await trio.sleep(1.0)
        assert world.store.content("members", "n1") is None


@pytest.mark.parametrize("content", ["!", "e30=", "eyJob2xkZXIiOiAxfQ=="])
async def test_lease_row_that_cannot_be_decoded_is_replaced(content: str) -> None:
    """Guards against a row of another writer because of which no node gives orders."""
    async with platform_world.deployment(apps=0, engines=1) as world:
        world.store.put_raw("leases", "weights", content)
        name_version(world, 2)
        await wait_for_weights(world, 2)


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_orders_of_weights_over_a_series_of_restores(seed: int) -> None:
    """Guards against orders that are fenced, or of two nodes, as restores overlap."""
    rng = random.Random(seed)
    async with platform_world.deployment(
        apps=0, engines=6, nodes=3, has_peers=True
    ) as world:
        holders = Holders(world)
        world.nursery.start_soon(holders.count)
        copies = [world.store.copy()]
        for version in range(2, 7):
            name_version(world, version)
            await trio.sleep(rng.uniform(0.0, 0.9))
            copies.append(world.store.copy())
            await trio.sleep(rng.uniform(0.0, 0.9))
            jump_s = rng.choice([0.0, 0.0, -5.0, 5.0])
            world.store.restore(rng.choice(copies), clock_jump_s=jump_s)
            copies.clear()
            copies.append(world.store.copy())
            await trio.sleep(rng.uniform(0.0, 0.4))
            name_version(world, version)
            world.publish_entries()
        await wait_for_weights(world, 6)
        assert holders.most == 1
        for engine in world.engines:
            tokens = [int(str(order["fencing_token"])) for order in engine.orders]
            assert tokens == sorted(tokens)
        for node in world.nodes:
            assert node._stats.orders.labels("412")._value.get() == 0

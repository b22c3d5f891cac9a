"""Saves of prompt parts to KV cache stores, by several nodes over real connections."""

import trio

from snipelug_core import kv_index
from tests import platform_world

SAVING_TIMEOUT_S = 20.0


async def wait_for_saves(world: platform_world.World) -> list[platform_world.Caller]:
    """Wait until prompts of each node are saved; return a caller for each node."""
    callers = [platform_world.Caller(item) for item in world.nodes]
    with trio.fail_after(SAVING_TIMEOUT_S):
        for number, caller in enumerate(callers):
            attempt = 0
            while not await is_saved(world, caller, f"ee{number:02x}{attempt:04x}"):
                attempt += 1
                await trio.sleep(0.2)
    return callers


async def is_saved(
    world: platform_world.World, caller: platform_world.Caller, part: str
) -> bool:
    """Send a prompt; return whether its engine is to save the part."""
    await caller.send_prompt("/ask/", parts=f"{part}:2000,bb:50")
    (engine,) = world.engines
    return "cache-target" in engine.executed[-1].headers


async def test_part_is_saved_by_one_node_only() -> None:
    """Guards against a part that is written again while other nodes have it read.

    An engine may make the second save after a restart of the store (review/6).
    """
    async with platform_world.deployment(
        apps=0, engines=1, nodes=3, has_peers=True
    ) as world:
        callers = await wait_for_saves(world)
        saved = [
            sum(
                [await is_saved(world, caller, f"aa{number:02x}") for caller in callers]
            )
            for number in range(6)
        ]
        assert saved == [1] * 6


async def test_late_save_is_not_joined_by_another_after_a_restart_of_the_store() -> (
    None
):
    """Guards against a second save while an engine may still make the first one.

    What has not been saved before goes to the restarted store within seconds.
    """
    async with platform_world.deployment(
        apps=0, engines=1, nodes=2, has_peers=True
    ) as world:
        first, second = await wait_for_saves(world)
        (kv,) = world.kv_stores
        assert await is_saved(world, first, "aaaa")
        kv.restart()
        with trio.fail_after(kv_index.RESTART_SAVE_DELAY_S + 4.0):
            number = 0
            while not await is_saved(world, second, f"cc{number:04x}"):
                number += 1
                await trio.sleep(0.1)
        assert not await is_saved(world, second, "aaaa")


async def test_rejected_prompt_leaves_its_save_to_another_node() -> None:
    """Guards against parts that are not saved as an engine rejected a prompt."""
    async with platform_world.deployment(
        apps=0, engines=1, nodes=2, has_peers=True
    ) as world:
        first, second = await wait_for_saves(world)
        (engine,) = world.engines
        engine.faults.turns_away = 1
        await first.send_prompt("/ask/", parts="aaaa:2000,bb:50")
        await trio.sleep(0.1)
        assert await is_saved(world, second, "aaaa")


async def test_stores_are_used_again_after_a_team_becomes_isolated() -> None:
    """Guards against stores that are full of parts that nobody may use any more.

    Parts of the earlier salt are freed once enough of the new one are there.
    """
    async with platform_world.deployment(
        apps=0, engines=1, nodes=2, has_peers=True
    ) as world:
        first, second = await wait_for_saves(world)
        (kv,), (engine,) = world.kv_stores, world.engines
        before = engine.executed[-1].headers["cache-salt"]
        kv.add_part(before, "aaaa", 2000, platform_world.MODEL)
        team = {"name": "team-1", "api_keys": [platform_world.KEY], "priority": 2}
        other = {"name": "team-2", "api_keys": ["key-2"], "isolated": True}
        world.configure(2, tenants=[team, other])
        with trio.fail_after(kv_index.OWNER_PAUSE_S + 5.0):
            number = 0
            while not await is_saved(world, first, f"cc{number:04x}"):
                number += 1
                await trio.sleep(0.2)
        salt = engine.executed[-1].headers["cache-salt"]
        assert salt != before
        for number in range(kv_index.MIN_NEWER_PARTS):
            kv.add_part(salt, f"dd{number:02x}", 2000, platform_world.MODEL)
        with trio.fail_after(kv_index.OWNER_FREE_DELAY_S + 8.0):
            while not kv.freed:
                await trio.sleep(0.1)
        assert kv.freed == [(before, "aaaa")]
        await second.send_prompt("/ask/", parts="dd00:2000,bb:50")
        assert "cache-source" in engine.executed[-1].headers


async def test_prompts_are_answered_while_nobody_grants_saves() -> None:
    """Guards against prompts that wait for a coordinator that does not answer."""
    async with platform_world.deployment(
        apps=0, engines=1, nodes=2, has_peers=True
    ) as world:
        callers = await wait_for_saves(world)
        for item in world.nodes:
            item.drop_datagrams()
        for number, caller in enumerate(callers):
            began = trio.current_time()
            await is_saved(world, caller, f"dd{number:02x}")
            assert trio.current_time() - began < 0.5

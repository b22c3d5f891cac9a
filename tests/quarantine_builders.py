"""Builders of crashes and of the requests that cause them."""

import collections.abc

import trio

from snipelug_net import http_client
from snipelug_platform_standin import server
from tests import platform_world

CRASH_PART = "c0de"
SHARED_PART = "5a5a"


def arm(
    upstreams: collections.abc.Iterable[server.Server],
    first_event_s: float = 0.02,
    **faults: object,
) -> None:
    """Inject faults into upstreams; by default they crash by a prompt part."""
    for item in upstreams:
        item.first_event_s = first_event_s
        for name, value in (faults or {"crash_part": CRASH_PART}).items():
            setattr(item.faults, name, value)


async def wait_for_members(world: platform_world.World) -> None:
    """Wait until each node sends its datagrams to all others."""
    await platform_world.wait_until(
        lambda: all(node.members == len(world.nodes) for node in world.nodes)
    )


async def wait_for_list(world: platform_world.World) -> None:
    """Wait until the nodes know which engines run, also those that restarted.

    A request to an engine that has restarted is rejected, and its retry is limited.
    """

    def is_current() -> bool:
        running = {engine.id for engine in world.engines if not engine.is_down}
        return len(running) == len(world.engines) and all(
            set(node._state.fleet.upstreams) == running for node in world.nodes
        )

    await platform_world.wait_until(is_current)


def crashes(world: platform_world.World) -> int:
    """Return the number of crashes of all upstreams."""
    return sum(item.crashes for item in [*world.apps, *world.engines])


def crashing(number: int) -> str:
    """Return the parts of a prompt that crashes engines, no two alike."""
    return f"{SHARED_PART}:200,{CRASH_PART}:100,{number:x}:50"


def sound(number: int) -> str:
    """Return the parts of a prompt that shares its first part with crashing ones."""
    return f"{SHARED_PART}:200,50{number % 3:x}:100,{number:x}:50"


async def send_crashing(
    callers: collections.abc.Sequence[platform_world.Caller],
    count: int,
    target: str = "/check/",
    pause_s: float = 0.1,
) -> list[int]:
    """Send crashing prompts through callers in turn; return the statuses."""
    prompts = [crashing(0x1000 + number) for number in range(count)]
    return await _send(callers, prompts, target, pause_s)


async def send_sound(
    callers: collections.abc.Sequence[platform_world.Caller],
    count: int,
    target: str = "/check/",
) -> list[int]:
    """Send sound prompts through callers in turn; return the statuses."""
    prompts = [sound(0x2000 + number) for number in range(count)]
    return await _send(callers, prompts, target, 0.0)


async def look(caller: platform_world.Caller, count: int) -> list[int]:
    """Send one and the same request repeatedly; return the statuses."""
    statuses = []
    for _ in range(count):
        full = await caller.send("GET", "/look/")
        statuses.append(
            full.status if isinstance(full, http_client.FullResponse) else 0
        )
    return statuses


async def look_while(
    caller: platform_world.Caller,
    count: int,
    crashing: collections.abc.Sequence[server.Server],
) -> list[int]:
    """Send one and the same request while it runs at servers that crash."""
    statuses: list[int] = []

    async def send() -> None:
        statuses.extend(await look(caller, 1))

    for item in crashing:
        item.answer_delay_s = 0.3
    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(send)
        await trio.sleep(0.15)
        for item in crashing:
            item.crash()
    return statuses


async def _send(
    callers: collections.abc.Sequence[platform_world.Caller],
    prompts: list[str],
    target: str,
    pause_s: float,
) -> list[int]:
    statuses = []
    for number, prompt in enumerate(prompts):
        caller = callers[number % len(callers)]
        full = await caller.send_prompt(target, prompt)
        # 0 stands for a stream that broke off.
        statuses.append(
            full.status if isinstance(full, http_client.FullResponse) else 0
        )
        await trio.sleep(pause_s)
    return statuses

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
    """Make upstreams crash by a prompt part, or by other faults that are given."""
    for item in upstreams:
        item.first_event_s = first_event_s
        for name, value in (faults or {"crash_part": CRASH_PART}).items():
            setattr(item.faults, name, value)


def crashes(world: platform_world.World) -> int:
    """Return the number of crashes of all upstreams."""
    return sum(item.crashes for item in [*world.apps, *world.engines])


def crashing_prompt(number: int) -> str:
    """Return the parts of a prompt that crashes engines, no two alike."""
    return f"{SHARED_PART}:200,{CRASH_PART}:100,{number:x}:50"


def sound_prompt(number: int) -> str:
    """Return the parts of a prompt that shares its first part with crashing ones."""
    return f"{SHARED_PART}:200,50{number % 3:x}:100,{number:x}:50"


async def send_crashing(
    callers: collections.abc.Sequence[platform_world.Caller],
    count: int,
    target: str = "/check/",
    pause_s: float = 0.1,
) -> list[int]:
    """Send crashing prompts through callers in turn; return the statuses."""
    statuses = []
    for number in range(count):
        caller = callers[number % len(callers)]
        full = await caller.send_prompt(target, crashing_prompt(0x1000 + number))
        assert isinstance(full, http_client.FullResponse)
        statuses.append(full.status)
        await trio.sleep(pause_s)
    return statuses

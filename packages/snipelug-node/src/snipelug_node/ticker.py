"""Runs the systems over the tables on each tick and carries out their actions."""

import collections.abc
import dataclasses
import math
import typing

import trio

TICK_S = 0.5

GRID_S = 0.25
"""Distance of the times at which periodic tasks wake. Waking a process that sleeps
takes 0.2 ms of processor time (trial), more than what most tasks then do."""

ACTION_TIMEOUT_S = 30.0

Action = typing.TypeVar("Action")


@dataclasses.dataclass(frozen=True)
class System(typing.Generic[Action]):
    """A system and what carries out its actions.

    Attributes
    ----------
    plan : callable
        Yields the actions that the tables ask for now.
    execute : callable
        Carries out one action.
    """

    name: str
    plan: collections.abc.Callable[[], collections.abc.Iterable[Action]]
    execute: collections.abc.Callable[[Action], collections.abc.Awaitable[None]]


def wake_time(now: float, period_s: float) -> float:
    """Return the last time of the grid within a period, so that tasks wake together.

    It is never later than the period's end, so bounds on periods hold. Periods below
    that of the grid end as asked. Clocks of processes start at random times, so
    nodes do not wake together.
    """
    due_at = now + period_s
    on_grid = math.floor(due_at / GRID_S) * GRID_S
    return on_grid if on_grid > now else due_at


def phase_time(now: float, period_s: float, offset_s: float = 0.0) -> float:
    """Return the next time that is an offset after a multiple of a period."""
    count = math.floor((now - offset_s) / period_s) + 1
    return count * period_s + offset_s


async def sleep(period_s: float) -> None:
    """Sleep until the time of the grid that ends a period."""
    await trio.sleep_until(wake_time(trio.current_time(), period_s))


async def run(systems: collections.abc.Sequence[System[typing.Any]]) -> None:
    """Run each system on its own ticks until cancelled.

    The next tick of a system starts when its actions are done, so that an action
    is not ordered twice because it is slow.
    """
    async with trio.open_nursery() as nursery:
        for system in systems:
            nursery.start_soon(_run_system, system)


async def _run_system(system: System[typing.Any]) -> None:
    while True:
        actions = list(system.plan())
        if actions:
            with trio.move_on_after(ACTION_TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    for action in actions:
                        nursery.start_soon(system.execute, action)
        await trio.sleep_until(phase_time(trio.current_time(), TICK_S))

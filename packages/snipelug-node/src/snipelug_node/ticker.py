"""Runs the systems on each tick and executes the actions that they yield."""

import collections.abc
import dataclasses
import math
import typing

import trio

TICK_S = 0.5

WAKE_GRID_S = 0.25
"""Interval between the times at which periodic tasks wake. Waking a sleeping process
takes 0.2 ms of CPU time (trial), more than most tasks then use."""

ACTION_TIMEOUT_S = 30.0

Action = typing.TypeVar("Action")


@dataclasses.dataclass(frozen=True)
class System(typing.Generic[Action]):
    """Plans actions from the tables, and executes them.

    Attributes
    ----------
    plan : callable
        Yields the actions that are needed now, from the state of the tables.
    execute : callable
        Executes one action.
    """

    name: str
    plan: collections.abc.Callable[[], collections.abc.Iterable[Action]]
    execute: collections.abc.Callable[[Action], collections.abc.Awaitable[None]]


def wake_time(now: float, period_s: float) -> float:
    """Return the last grid time within a period, so that tasks wake together.

    It is never later than the end of the period, so upper bounds on periods hold.
    Periods shorter than the grid interval are not changed. The clocks of processes
    start at random times, so nodes do not wake together.
    """
    due_at = now + period_s
    on_grid = math.floor(due_at / WAKE_GRID_S) * WAKE_GRID_S
    return on_grid if on_grid > now else due_at


def phase_time(now: float, period_s: float, offset_s: float = 0.0) -> float:
    """Return the next time that is a multiple of a period plus an offset."""
    count = math.floor((now - offset_s) / period_s) + 1
    return count * period_s + offset_s


async def sleep(period_s: float) -> None:
    """Sleep until the last grid time within a period."""
    await trio.sleep_until(wake_time(trio.current_time(), period_s))


async def run(systems: collections.abc.Sequence[System[typing.Any]]) -> None:
    """Run each system on its own ticks until cancelled.

    The next tick of a system starts after its actions have ended, so that a slow
    action is not started twice.
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

"""Runs the systems over the tables on each tick and carries out their actions."""

import collections.abc
import dataclasses
import typing

import trio

TICK_S = 0.5
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
        with trio.move_on_after(ACTION_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for action in list(system.plan()):
                    nursery.start_soon(system.execute, action)
        await trio.sleep(TICK_S)

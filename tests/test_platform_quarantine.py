"""Tests of requests that crash upstreams, with nodes and platform stand-ins."""

from tests import platform_world, quarantine_builders


async def test_prompt_part_does_not_crash_engine_after_engine() -> None:
    """Guards against new requests with a part that has crashed engines before."""
    async with platform_world.deployment(
        apps=0, engines=4, nodes=2, has_peers=True
    ) as world:
        quarantine_builders.arm(world.engines)
        callers = [platform_world.Caller(node) for node in world.nodes]
        await quarantine_builders.send_crashing(callers, 8)
        assert quarantine_builders.crashes(world) <= 5

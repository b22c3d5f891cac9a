"""Tests that streams outlast the silence of an upstream that goes on by itself."""

import typing

import pytest

from snipelug_net import http_client
from snipelug_platform_standin import server
from tests import platform_world

ALL_EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 7))
ALTERNATIVES: dict[str, dict[str, typing.Any]] = {
    "rejects": {"turns_away": 9},
    "fails": {"fails": 9},
    "breaks off": {"loses": 9},
    "ends within an event": {"breaks_after": 0},
    "is silent, too": {"is_silent": True},
}


@pytest.mark.parametrize("alternative", ALTERNATIVES)
async def test_stream_outlasts_a_silence_if_no_other_upstream_takes_it(
    alternative: str,
) -> None:
    """Guards against an answer that is cut because its upstream paused for a moment."""
    async with platform_world.deployment(apps=0) as world:
        for item in world.engines:
            item.events = 6
        first, second = world.engines
        first.faults = server.Faults(silent_after=3, silence_s=1.6)
        second.faults = server.Faults(**ALTERNATIVES[alternative])
        upstreams = world.nodes[0]._state.fleet.upstreams
        world.store.delete("servers", second.id)
        await platform_world.wait_until(lambda: second.id not in upstreams)
        caller = platform_world.Caller(world.nodes[0])
        call = caller.call(
            "POST", "/check/", b"x", model="m", token_usage="9,9", prompt_prefix="aa:9"
        )
        reply = await caller.pool.send(call)
        assert isinstance(reply, http_client.StreamingResponse)
        world.store.put("servers", second.id, second.entry())
        body = await reply.read(100_000, 5.0)
        assert body == ALL_EVENTS

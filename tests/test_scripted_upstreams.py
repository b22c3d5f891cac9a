"""Tests with upstreams whose responses are wrong in one place, as callers see them."""

import pytest
import trio

from snipelug_net import http_client
from tests import platform_world, scripted

REJECTED, UNKNOWN, ANSWERED = 503, 502, 200

EARLIER, ID = "00000001", "00000002"
"""Ids of the first two requests of a caller."""

OK_ANSWER = scripted.whole(200, ID, b"ok")
OLD_ANSWER = scripted.Answer(scripted.whole(200, EARLIER, b"ok"))
OLD = scripted.rejection(EARLIER)
WITHOUT_ID = scripted.rejection(None)
HINTS = b"HTTP/1.1 103 Hints\r\nRequest-Id: 00000001\r\n\r\n"

REPEATED = {
    # What follows the first request, what follows the second one, on which connection
    # it arrives, and the status that its caller gets.
    "copy_without_id": (scripted.Answer(OLD), WITHOUT_ID, 1, UNKNOWN),
    "copy_without_id_then_answer": (
        scripted.Answer(WITHOUT_ID),
        WITHOUT_ID + OK_ANSWER,
        1,
        UNKNOWN,
    ),
    "misdirected_without_id": (
        OLD_ANSWER,
        scripted.rejection(None, 421),
        1,
        UNKNOWN,
    ),
    "informational_then_copy_without_id": (
        scripted.Answer(OLD),
        HINTS + WITHOUT_ID,
        1,
        UNKNOWN,
    ),
    "copies_with_and_without_id": (scripted.Answer(OLD), OLD + WITHOUT_ID, 1, UNKNOWN),
    "copy_then_answer": (scripted.Answer(OLD), OLD + OK_ANSWER, 1, ANSWERED),
    "two_copies_then_answer": (scripted.Answer(OLD), 2 * OLD + OK_ANSWER, 1, ANSWERED),
    "informational_and_copy_then_answer": (
        scripted.Answer(OLD),
        HINTS + OLD + OK_ANSWER,
        1,
        ANSWERED,
    ),
    "two_in_one_segment": (scripted.Answer(2 * OLD), OK_ANSWER, 2, ANSWERED),
    "copy_on_the_idle_connection": (
        scripted.Answer(WITHOUT_ID, late=WITHOUT_ID),
        OK_ANSWER,
        2,
        ANSWERED,
    ),
    "own_rejection": (scripted.Answer(OLD), scripted.rejection(ID), 1, REJECTED),
    "own_rejection_without_id_on_new_connection": (
        scripted.Answer(OLD, end="close"),
        WITHOUT_ID,
        2,
        REJECTED,
    ),
}


@pytest.mark.parametrize(
    ("first", "second", "connection", "status"), REPEATED.values(), ids=REPEATED
)
async def test_repeated_rejection_is_not_taken_for_the_answer(
    first: scripted.Answer, second: bytes, connection: int, status: int
) -> None:
    """Guards against "did not run" for a request that the upstream has run."""

    def script(received: scripted.Received) -> scripted.Answer:
        is_first = received.request_id == EARLIER
        return first if is_first else scripted.Answer(second)

    async with platform_world.deployment(apps=0, engines=0, kv_stores=0) as world:
        upstream = await scripted.add(world, scripted.Upstream(script))
        caller = platform_world.Caller(world.nodes[0])
        await caller.send("POST", "/order/", b"x")
        # A rejection pauses the upstream for a moment.
        await trio.sleep(0.2)
        full = await caller.send("POST", "/order/", b"x")
        assert isinstance(full, http_client.FullResponse)
        assert full.status == status
        assert [r.connection for r in upstream.received] == [1, connection]

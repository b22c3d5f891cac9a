"""Tests with upstreams whose responses are wrong in one place, as callers see them."""

import dataclasses

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
    "rejection_without_id_ends_the_connection": (
        scripted.Answer(WITHOUT_ID),
        OK_ANSWER,
        2,
        ANSWERED,
    ),
    "copy_without_id_then_answer": (
        OLD_ANSWER,
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


CHUNKED = "Transfer-Encoding: chunked"
EVENT_STREAM = "Content-Type: text/event-stream"
PAGE = b"HTTP/1.1 500 Oops\r\nX-A: b\r\n\r\nno such run\n\nid: 3 is unknown\n\n"


def chunks(*parts: bytes) -> bytes:
    """Encode a whole body in chunks."""
    return b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in (*parts, b""))


def unframed(body: bytes) -> bytes:
    """Build a stream with neither a length nor chunks."""
    return scripted.head(200, ID_IN_REQUEST, EVENT_STREAM, "Connection: close") + body


def framed(body: bytes, *fields: str) -> bytes:
    return scripted.whole(200, ID_IN_REQUEST, body, *fields)


def chunked(*parts: bytes) -> bytes:
    head = scripted.head(200, ID_IN_REQUEST, EVENT_STREAM, CHUNKED)
    return head + chunks(*parts)


ID_IN_REQUEST = "IDENTITY"
"""Replaced by the id of the request that is answered."""


def fill(answer: scripted.Answer, received: scripted.Received) -> scripted.Answer:
    """Write the id of the request into its answer."""
    data = answer.data.replace(ID_IN_REQUEST.encode(), received.request_id.encode())
    return dataclasses.replace(answer, data=data)


BROKEN = scripted.Answer(
    scripted.head(200, ID_IN_REQUEST, EVENT_STREAM, CHUNKED)
    + chunks(scripted.events(1, 2))[: -len(b"0\r\n\r\n")],
    end="close",
)
"""A stream of which two events arrive before the connection is closed."""

NOT_RESUMED = {
    "error": scripted.Answer(scripted.whole(500, ID_IN_REQUEST, PAGE)),
    "client_error": scripted.Answer(scripted.whole(404, ID_IN_REQUEST, PAGE)),
    "rejection": scripted.Answer(scripted.rejection(ID_IN_REQUEST)),
    "page_with_status_200": scripted.Answer(framed(PAGE, "Content-Type: text/html")),
    "page_without_type": scripted.Answer(framed(PAGE)),
    "page_in_place_of_events": scripted.Answer(framed(PAGE, EVENT_STREAM)),
    "page_without_blank_line": scripted.Answer(framed(b"no such run", EVENT_STREAM)),
    "page_before_events": scripted.Answer(
        chunked(b"no such run\n\n" + scripted.events(3, 4))
    ),
    "events_in_a_page": scripted.Answer(
        framed(scripted.events(3, 4), "Content-Type: text/html")
    ),
    "empty": scripted.Answer(framed(b"", EVENT_STREAM)),
    "empty_chunked": scripted.Answer(chunked()),
    "empty_unframed": scripted.Answer(unframed(b""), end="close"),
    "unframed_page": scripted.Answer(unframed(PAGE), end="close"),
    "part_of_an_event": scripted.Answer(unframed(b"id: 3\nda"), end="close"),
    "other_request": scripted.Answer(scripted.whole(200, "ff", scripted.events(3, 4))),
    "unsigned": scripted.Answer(
        framed(scripted.events(3, 4)).replace(b"Server-Signature", b"X-Signature")
    ),
    "from_the_start": scripted.Answer(chunked(scripted.events(1, 4))),
    "half_a_head": scripted.Answer(chunked(scripted.events(3, 4))[:40], end="close"),
    "bytes_without_a_head": scripted.Answer(PAGE[9:], end="close"),
}


async def streaming_world(
    world: platform_world.World, script: scripted.Script, upstreams: int = 2
) -> list[scripted.Upstream]:
    """List engines that answer by one script."""
    return [
        await scripted.add(
            world,
            scripted.Upstream(
                script, service="llm", model=platform_world.MODEL, id=f"i-{number}"
            ),
        )
        for number in range(upstreams)
    ]


async def read_until_end(
    caller: platform_world.Caller, target: str
) -> tuple[int, bytes, bool]:
    """Send a prompt; return the status, the body, and whether it looks complete."""
    call = caller.call(
        "POST",
        target,
        b"prompt",
        model=platform_world.MODEL,
        token_usage="250,10",
        prompt_prefix="aa:200,bb:50",
    )
    with trio.fail_after(5.0):
        reply = await caller.pool.send(call)
        assert isinstance(reply, http_client.StreamingResponse), reply
        body = b""
        while isinstance(part := await reply.next_part(), bytes):
            body += part
    return reply.status, body, part is None


@pytest.mark.parametrize("second", NOT_RESUMED.values(), ids=NOT_RESUMED)
async def test_broken_stream_does_not_go_on_with_something_else(
    second: scripted.Answer,
) -> None:
    """Guards against an error in the middle of a stream, or as its end."""
    upstreams: list[scripted.Upstream] = []

    def script(received: scripted.Received) -> scripted.Answer:
        is_first = sum(len(u.received) for u in upstreams) == 1
        return fill(BROKEN if is_first else second, received)

    async with platform_world.deployment(apps=0, engines=0, kv_stores=0) as world:
        upstreams += await streaming_world(world, script)
        caller = platform_world.Caller(world.nodes[0])
        status, body, is_complete = await read_until_end(caller, "/check/")
        assert (status, body, is_complete) == (200, scripted.events(1, 2), False)
        assert [len(u.received) for u in upstreams] == [1, 1]


RESUMED = {
    "chunked": scripted.Answer(chunked(scripted.events(3, 4))),
    "length": scripted.Answer(framed(scripted.events(3, 4), EVENT_STREAM)),
    "no_type": scripted.Answer(framed(scripted.events(3, 4))),
    "type_with_charset": scripted.Answer(
        framed(scripted.events(3, 4), f"{EVENT_STREAM}; charset=utf-8")
    ),
    "unframed": scripted.Answer(unframed(scripted.events(3, 4)), end="close"),
    "comment_first": scripted.Answer(chunked(b": ping\n\n" + scripted.events(3, 4))),
    "other_weights": scripted.Answer(
        framed(scripted.events(3, 4), EVENT_STREAM, "Weight-Versions: 2")
    ),
}


@pytest.mark.parametrize("second", RESUMED.values(), ids=RESUMED)
async def test_broken_stream_goes_on_elsewhere(second: scripted.Answer) -> None:
    """Guards against giving up a stream that another upstream continues."""
    upstreams: list[scripted.Upstream] = []

    def script(received: scripted.Received) -> scripted.Answer:
        is_first = sum(len(u.received) for u in upstreams) == 1
        return fill(BROKEN if is_first else second, received)

    async with platform_world.deployment(apps=0, engines=0, kv_stores=0) as world:
        upstreams += await streaming_world(world, script)
        caller = platform_world.Caller(world.nodes[0])
        status, body, is_complete = await read_until_end(caller, "/check/")
        assert (status, is_complete) == (200, True)
        assert body.replace(b": ping\n\n", b"") == scripted.events(1, 4)


def cut_stream(framing: str, body: bytes, end: str) -> scripted.Answer:
    """Build a stream that ends after the given bytes.

    With ``close``, a framing that marks the end of the body marks it there.
    """
    if framing == "unframed":
        return scripted.Answer(unframed(body), end)
    if framing == "length":
        missing = 0 if end == "close" else 9
        length = f"Content-Length: {len(body) + missing}"
        head = scripted.head(200, ID_IN_REQUEST, EVENT_STREAM, length)
        return scripted.Answer(head + body, end)
    head = scripted.head(200, ID_IN_REQUEST, EVENT_STREAM, CHUNKED)
    data = chunks(body) if body else chunks()
    return scripted.Answer(head + (data if end == "close" else data[:-5]), end)


FRAMINGS = ["unframed", "length", "chunked"]
BODIES = {
    "whole": (scripted.events(1, 2), scripted.events(1, 2)),
    "in_first_event": (b"id: 1\ndata: pie", b""),
    "before_blank_line": (scripted.events(1, 1)[:-1], b""),
    "in_second_event": (scripted.events(1, 2)[:-5], scripted.events(1, 1)),
    "blank_line_missing": (scripted.events(1, 2)[:-1], scripted.events(1, 1)),
    "empty": (b"", b""),
}


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize(("sent", "whole_events"), BODIES.values(), ids=BODIES)
async def test_stream_that_ends_inside_an_event_was_broken_off(
    framing: str, end: str, sent: bytes, whole_events: bytes
) -> None:
    """Guards against truncated streams that look complete, and whole ones that fail."""

    def script(received: scripted.Received) -> scripted.Answer:
        return fill(cut_stream(framing, sent, end), received)

    async with platform_world.deployment(apps=0, engines=0, kv_stores=0) as world:
        (upstream,) = await streaming_world(world, script, upstreams=1)
        caller = platform_world.Caller(world.nodes[0])
        status, body, is_complete = await read_until_end(caller, "/ask/")
        assert len(upstream.received) == 1
        is_whole = end == "close" and sent == whole_events
        if is_whole and (sent or framing != "unframed"):
            assert (status, body, is_complete) == (200, sent, True)
        elif whole_events:
            assert (status, body, is_complete) == (200, whole_events, False)
        else:
            assert status == UNKNOWN


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("sent", [scripted.events(1, 2)[:-5], b"id: 1\ndata: pie"])
async def test_stream_that_ends_inside_an_event_is_resumed(
    framing: str, end: str, sent: bytes
) -> None:
    """Guards against a truncated stream that another upstream could complete."""
    upstreams: list[scripted.Upstream] = []

    def script(received: scripted.Received) -> scripted.Answer:
        if sum(len(u.received) for u in upstreams) == 1:
            return fill(cut_stream(framing, sent, end), received)
        first = 1 + int(received.headers.get("last-event-id", "0"))
        return fill(scripted.Answer(chunked(scripted.events(first, 4))), received)

    async with platform_world.deployment(apps=0, engines=0, kv_stores=0) as world:
        upstreams += await streaming_world(world, script)
        caller = platform_world.Caller(world.nodes[0])
        found = await read_until_end(caller, "/check/")
        assert found == (200, scripted.events(1, 4), True)


@pytest.mark.parametrize(
    ("end", "status"), [("close", ANSWERED), ("reset", UNKNOWN)], ids=["close", "reset"]
)
async def test_answer_without_length_ends_with_its_connection(
    end: str, status: int
) -> None:
    """Guards against truncated answers that look whole, and whole ones that fail."""
    body = b"x" * 70_000

    def script(received: scripted.Received) -> scripted.Answer:
        return scripted.Answer(scripted.head(200, received.request_id) + body, end)

    async with platform_world.deployment(apps=0, engines=0, kv_stores=0) as world:
        upstream = await scripted.add(world, scripted.Upstream(script))
        full = await platform_world.Caller(world.nodes[0]).send("POST", "/order/", b"x")
        assert isinstance(full, http_client.FullResponse)
        assert full.status == status
        assert (full.body == body) is (status == ANSWERED)
        assert len(upstream.received) == 1


CUT_ANSWERS = {
    "plain": ("/order/", scripted.whole(200, ID_IN_REQUEST, b"ok", "X-A: b")),
    "plain_unframed": ("/order/", scripted.head(200, ID_IN_REQUEST, "X-A: b")),
    "stream": ("/ask/", chunked(scripted.events(1, 1))),
    "stream_unframed": ("/ask/", unframed(b"id: 1\ndata: pie")),
}


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize(("target", "data"), CUT_ANSWERS.values(), ids=CUT_ANSWERS)
async def test_answer_that_ends_in_its_head_is_no_success(
    target: str, data: bytes, end: str
) -> None:
    """Guards against an empty or short body that is framed as whole."""
    head_bytes = data.index(b"\r\n\r\n") + len(b"\r\n\r\n")

    def script(received: scripted.Received) -> scripted.Answer:
        cut = int(received.headers["x-cut"])
        return scripted.Answer(fill(scripted.Answer(data), received).data[:cut], end)

    async with platform_world.deployment(apps=0, engines=0, kv_stores=0) as world:
        caller = platform_world.Caller(world.nodes[0])
        if target == "/order/":
            await scripted.add(world, scripted.Upstream(script))
        else:
            await streaming_world(world, script, upstreams=1)
        statuses: dict[int, int] = {}

        async def ask(cut: int) -> None:
            full = await caller.send_prompt(target, x_cut=str(cut))
            assert isinstance(full, http_client.FullResponse), (cut, full)
            statuses[cut] = full.status

        # With more at once than the upstream has slots, a stall of this process makes
        # the expected wait long, and some are refused before they are sent.
        limit = trio.CapacityLimiter(4)

        async def ask_limited(cut: int) -> None:
            async with limit:
                await ask(cut)

        async with trio.open_nursery() as nursery:
            for cut in range(head_bytes):
                nursery.start_soon(ask_limited, cut)
        assert statuses == dict.fromkeys(range(head_bytes), UNKNOWN)

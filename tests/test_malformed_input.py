"""Tests with input that no sound caller, upstream, store or node would send.

One such message is refused or ignored; it ends no process and hides no other message.
"""

import json

import hypothesis
import msgspec
import pytest
import trio
from hypothesis import strategies as st

from snipelug_core import fleet, refusal
from snipelug_net import http_client, http_server
from snipelug_platform import dialect, machines, rows, settings
from snipelug_relay import messages, ports
from tests import platform_world

FUZZ = hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
DEEP_JSON = b'{"x":' + b"[" * 50_000 + b"]" * 50_000 + b"}"
HEADER_VALUES = st.text(
    st.characters(min_codepoint=32, max_codepoint=255), max_size=30
) | st.sampled_from(
    ["\xb2", "1,\xb2", "\xb2,1,1", "1" * 5000, "nan", "inf", "-1", "aa:1", "1e400"]
)


def raw_request(target: str, headers: str = "") -> bytes:
    return f"GET {target} HTTP/1.1\r\nhost: h\r\n{headers}\r\n".encode("latin-1")


async def echo_target(req: http_server.Request) -> http_server.Response:
    if "fail" in req.target:
        raise RuntimeError("unexpected error of a handler")
    return http_server.Response(200, req.target.encode())


async def status_of(port: int, data: bytes) -> int:
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    async with stream:
        await stream.send_all(data)
        received = b""
        with trio.fail_after(5):
            while b"\r\n" not in received:
                part = await stream.receive_some()
                if not part:
                    return 0
                received += part
    return int(received.split()[1])


@pytest.mark.parametrize(
    ("target", "status"), [("//[", 400), ("http://[/x", 400), ("/fail", 500)]
)
async def test_bad_request_ends_no_server(
    nursery: trio.Nursery, target: str, status: int
) -> None:
    """Guards against one request that ends the process with all its connections."""
    server = http_server.Server(echo_target)
    port = await nursery.start(server.serve, "127.0.0.1", 0)
    assert await status_of(port, raw_request(target)) == status
    assert await status_of(port, raw_request("/fine")) == 200
    await platform_world.wait_until(lambda: server.open_requests == 0)
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    "error",
    [
        trio.BrokenResourceError("lost"),
        ExceptionGroup("tasks", [trio.BrokenResourceError("lost")]),
    ],
)
async def test_broken_upstream_connection_gets_no_answer(
    nursery: trio.Nursery, error: Exception
) -> None:
    """Guards against an answer from a handler that breaks off the connection."""

    async def break_off(_req: http_server.Request) -> http_server.Response:
        raise error

    server = http_server.Server(break_off)
    port = await nursery.start(server.serve, "127.0.0.1", 0)
    assert await status_of(port, raw_request("/a")) == 0
    nursery.cancel_scope.cancel()


@FUZZ
@hypothesis.given(
    headers=st.dictionaries(
        st.sampled_from(
            [
                dialect.REQUEST_DEADLINE,
                dialect.PROMPT_PARTS,
                dialect.TOKEN_USAGE,
                dialect.AUTHORIZATION,
                dialect.LAST_EVENT_ID,
                "connection",
                "host",
            ]
        ),
        HEADER_VALUES,
    )
)
def test_requests_are_decoded_or_refused(headers: dict[str, str]) -> None:
    """Guards against errors in the decoder of callers' requests."""
    fields = headers | {"request-id": "1"}
    req = http_server.Request("GET", "/a", {}, fields, b"", "/a", tuple(fields.items()))
    found = dialect.Dialect().decode_request(req)
    if isinstance(found, refusal.Refusal):
        assert found.kind is refusal.BAD_REQUEST
    elif found.time_left_s is not None:
        assert 0.0 <= found.time_left_s < float("inf")


@FUZZ
@hypothesis.given(
    status=st.integers(100, 599),
    headers=st.dictionaries(
        st.sampled_from(
            [
                dialect.SERVER_LOAD,
                dialect.WEIGHT_VERSION,
                dialect.COLD_REMAINING,
                "connection",
                "request-id",
            ]
        ),
        HEADER_VALUES,
    ),
)
def test_response_heads_are_decoded(status: int, headers: dict[str, str]) -> None:
    """Guards against errors in the decoder of upstreams' heads."""
    found = dialect.Dialect().decode_head(CALLER_REQUEST, status, headers)
    assert found.cold_s is None or 0.0 <= found.cold_s < float("inf")
    assert not found.is_own


CALLER_REQUEST = ports.CallerRequest(
    "id-1", "GET", "/a", "h", "/a", None, 1.0, None, "", (), 0, (), b""
)

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)
ENTRY: dict[str, object] = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 4,
    "state": "ready",
    "models": [{"name": "m", "version": 1}],
    "cold_remaining_ms": 10,
    "born": 1,
}


@FUZZ
@hypothesis.given(changes=st.dictionaries(st.sampled_from(sorted(ENTRY)), JSON_VALUES))
@hypothesis.example({"address": "10.0.0.1:99999"})
@hypothesis.example({"address": "10.0.0.1:-1"})
@hypothesis.example({"address": "no address:80"})
def test_entry_of_another_writer_names_no_upstream(changes: dict[str, object]) -> None:
    """Guards against entries that cannot be read or connected to."""
    value = json.dumps(ENTRY | changes).encode()
    found = rows.decode_server("u1", value)
    if isinstance(found, fleet.Entry):
        assert 0 < found.port < 65536
        assert found.host.replace(".", "").isdigit()


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"null", b"[]", b"{}", DEEP_JSON])
def test_unreadable_rows_are_reported(value: bytes) -> None:
    """Guards against rows whose decoding ends the task that watches their table."""
    assert isinstance(rows.decode_server("u1", value), ports.Unreadable)
    for key in ("config", "version/m"):
        assert isinstance(rows.decode_intent(key, value), ports.Unreadable)


@FUZZ
@hypothesis.given(value=JSON_VALUES, key=st.sampled_from(["config", "version/m"]))
def test_intents_are_decoded_or_reported(key: str, value: object) -> None:
    """Guards against errors in the decoder of the operator's rows."""
    rows.decode_intent(key, json.dumps(value).encode())


@pytest.mark.parametrize("body", [DEEP_JSON, b"\xff", b"[" * 50_000, b"{}"])
async def test_unreadable_report_is_unavailable(
    nursery: trio.Nursery, body: bytes
) -> None:
    """Guards against an engine's or store's answer that ends the task that reads it."""

    async def respond(_req: http_server.Request) -> http_server.Response:
        return http_server.Response(200, body)

    port = await nursery.start(http_server.Server(respond).serve, "127.0.0.1", 0)
    found = machines.Machines(http_client.Pool())
    addr = ("127.0.0.1", port)
    assert isinstance(await found.report(addr), ports.Unavailable)
    assert isinstance(await found.store_events(addr, 0), ports.Unavailable)
    assert isinstance(await found.store_list(addr), ports.Unavailable)
    nursery.cancel_scope.cancel()


@FUZZ
@hypothesis.given(text=st.text(max_size=60))
def test_settings_are_decoded_or_rejected(text: str) -> None:
    """Guards against a changed settings file that ends a running node."""
    found = settings.decode(settings.parse(text))
    assert isinstance(found, settings.InvalidSettings)


class FailingMachines:
    """Engines and stores whose calls raise an unexpected error."""

    def __getattr__(self, name: str) -> object:
        raise RuntimeError(f"unexpected error in {name}")


async def test_failing_task_is_restarted() -> None:
    """Guards against an unexpected error of one task that ends the whole node."""
    async with platform_world.deployment() as world:
        running = world.nodes[0]
        sound = running._kv_stores._machines
        running._kv_stores._machines = FailingMachines()  # type: ignore[assignment]
        failures = running._stats.task_failures.labels("kv_stores")
        await platform_world.wait_until(lambda: failures._value.get() >= 1)
        caller = platform_world.Caller(running)
        full = await caller.send("GET", "/look/x")
        assert isinstance(full, http_client.FullResponse)
        assert full.status == 200
        running._kv_stores._machines = sound
        await platform_world.wait_until(lambda: running.store_age_s("kv0") < 0.5)


async def test_unexpected_error_fails_one_request_only() -> None:
    """Guards against a request whose handling ends all others.

    The answer does not say that the request did not run.
    """
    async with platform_world.deployment() as world:
        running = world.nodes[0]
        caller = platform_world.Caller(running)
        pick = running._relay._selector.pick

        async def fail(_work: object) -> object:
            raise RuntimeError("unexpected error")

        running._relay._selector.pick = fail  # type: ignore[method-assign,assignment]
        full = await caller.send("GET", "/look/x")
        assert isinstance(full, http_client.FullResponse)
        assert full.status == 502
        running._relay._selector.pick = pick  # type: ignore[method-assign]
        full = await caller.send("GET", "/look/x")
        assert isinstance(full, http_client.FullResponse)
        assert full.status == 200


BAD_DATAGRAMS = [
    b"",
    b"\xc1",
    b"\x91" * 2000,
    msgspec.msgpack.encode(messages.Prefill("u1", 1, -5, "p", -7, float("nan"))),
    msgspec.msgpack.encode(messages.Switching("u1", float("nan"))),
    msgspec.msgpack.encode(messages.Serving("u1", "m", -1)),
    msgspec.msgpack.encode(
        messages.IntentsRead(-1, 2**60, float("nan"), has_changes=False)
    ),
]


@pytest.mark.parametrize("data", BAD_DATAGRAMS)
async def test_bad_datagram_of_a_member_ends_no_node(data: bytes) -> None:
    """Guards against a datagram of another node that stops announcements."""
    async with platform_world.deployment(nodes=2, has_peers=True) as world:
        sender, receiver = world.nodes
        await platform_world.wait_until(lambda: receiver.members == 2)
        sock = sender._announcer._sock
        assert sock is not None
        peer = receiver._cfg.peers
        assert peer is not None
        engine = world.engines[0].id
        sock.sendto(data.replace(b"u1", engine.encode()), peer)
        sender._announcer.announce_switching(engine, 2.0)
        upstream = receiver._state.fleet.upstreams[engine]
        await platform_world.wait_until(lambda: upstream.switching_until > 0)
        full = await platform_world.Caller(receiver).send("GET", "/look/x")
        assert isinstance(full, http_client.FullResponse)
        assert full.status == 200

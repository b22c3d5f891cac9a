"""Tests that the adapter decodes and validates what the platform sends."""

import pathlib
import typing

import msgspec
import pytest

from snipelug_core import catalog, choice, kv_index, refusal
from snipelug_net import http_client, http_server
from snipelug_platform import calls, dialect, rows, settings, store
from snipelug_relay import ports
from tests import relay_builders

SETTINGS = """node_name=front-a-1
zone=a
listen.frontend=127.0.0.1:8749
listen.ready=127.0.0.1:8741
internal_port_range=7580,7595
platform.address=127.0.0.1:8744
bounds.drain_timeout_ms=2000
bounds.retry_budget_extra=52
a.new.field=ignored
"""


def test_settings_are_decoded() -> None:
    """Guards against values interpreted in the wrong unit."""
    found = settings.decode(settings.parse(SETTINGS))
    assert isinstance(found, ports.Settings)
    assert found.node_id == "front-a-1"
    assert found.callers == ("127.0.0.1", 8749)
    assert found.peers == ("127.0.0.1", 7580)
    assert found.bounds.drain_s == 2.0


def test_all_errors_are_reported_at_once(tmp_path: pathlib.Path) -> None:
    """Guards against reporting only the first of several errors."""
    path = tmp_path / "local.conf"
    path.write_text(
        "zone=a\nlisten.frontend=nowhere\nlisten.ready=127.0.0.1:99999\n"
        "platform.address=127.0.0.1:1\nbounds.grace_period_s=soon\n"
    )
    found = settings.load(path)
    assert isinstance(found, settings.InvalidSettings)
    names = {error.partition(":")[0] for error in found.errors}
    expected = {"node_name", "listen.frontend", "listen.ready"}
    assert names == expected | {"bounds.grace_period_s"}


def test_error_names_missing_file(tmp_path: pathlib.Path) -> None:
    """Guards against starting without settings, and errors that omit the file."""
    found = settings.load(tmp_path / "none.conf")
    assert isinstance(found, settings.InvalidSettings)
    assert "none.conf" in found.errors[0]


CONFIG: dict[str, typing.Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "h.example",
            "path_prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 4000,
            "target_latency_ms": 800,
            "priority": 1,
            "service": "llm",
            "max_attempts": 2,
            "allow_anonymous": False,
            "sticky": True,
            "resumable": True,
            "gap_target_ms": 300,
        },
        {
            "name": "r2",
            "host": "h.example",
            "path_prefix": "/b/",
            "kind": "non_idempotent",
            "timeout_ms": 600,
            "traffic_split": [
                {"service": "x", "weight": 90},
                {"service": "y", "weight": 10},
            ],
        },
    ],
    "services": [
        {
            "name": "s1",
            "kv_store_address": "127.0.0.1:9000",
            "zone": "a",
            "kv_capacity_tokens": 1000,
            "link_mbps": 420000.0,
            "first_ms": 6.0,
        },
        {
            "name": "llm",
            "max_connections": 160,
            "cold_per_s": 24.0,
            "engine": {
                "slots": 16,
                "kv_capacity_tokens": 72261,
                "kv_token_bytes": 163840,
                "link_mbps": 550000.0,
                "models": [{"name": "m"}],
            },
        },
        {"name": "x"},
        {"name": "y"},
    ],
    "limits": {"max_body_bytes": 100, "idle_timeout_ms": 15000},
    "tenants": [{"name": "t1", "api_keys": ["k"], "priority": 1, "isolated": True}],
}


def test_configuration_is_decoded() -> None:
    """Guards against misinterpreted fields of the platform's configuration."""
    found = rows.decode_config(msgspec.json.encode(CONFIG))
    first, second = found.routes
    assert first.repeat is catalog.RepeatPolicy.RESUMABLE
    assert first.is_stream
    assert first.timeout_s == 4.0
    assert second.repeat is catalog.RepeatPolicy.AT_MOST_ONCE
    assert second.services == (("x", 90), ("y", 10))
    assert set(found.services) == {"llm", "x", "y"}
    assert found.stores[0].setup_s == 0.006
    assert found.stores[0].link_bits_per_s == 4.2e11
    assert found.limits.idle_s == 15.0
    assert found.teams == (catalog.Team("t1", ("k",), 1, True),)


SERVER = {
    "service": "llm",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "slots": 16,
    "state": "ready",
    "cold_remaining_ms": 1500,
    "models": [{"name": "m", "version": 3, "adapters": []}],
    "born": 5,
}


def test_server_entry_is_decoded() -> None:
    """Guards against wrong units and weight versions in an upstream entry."""
    found = rows.decode_server("i-1", msgspec.json.encode(SERVER))
    assert found == relay_builders.entry(
        "i-1",
        service="llm",
        host="10.0.0.9",
        port=8080,
        slots=16,
        cold_s=1.5,
        born=5,
        versions={"m": 3},
    )


MALFORMED_ENTRIES = [
    b"\xff\xfe",
    b"[]",
    msgspec.json.encode({k: v for k, v in SERVER.items() if k != "address"}),
    msgspec.json.encode(SERVER | {"slots": "many"}),
    msgspec.json.encode(SERVER | {"state": "asleep"}),
    msgspec.json.encode(SERVER | {"address": "nowhere"}),
    msgspec.json.encode(SERVER | {"models": 7}),
]


@pytest.mark.parametrize("value", MALFORMED_ENTRIES)
def test_malformed_entries_are_unreadable(value: bytes) -> None:
    """Guards against a watch that fails on a malformed or foreign entry."""
    assert isinstance(rows.decode_server("i-1", value), ports.Unreadable)


@pytest.mark.parametrize("key", ["config", "version/m"])
def test_unreadable_intents_change_nothing(key: str) -> None:
    """Guards against a malformed row that replaces the configuration in use."""
    assert isinstance(rows.decode_intent(key, b"{}"), ports.Unreadable)


HEADERS = {
    "host": "h.example:80",
    "request-id": "ab12",
    "request-deadline": "1500",
    "authorization": "Token k",
    "model": "m",
    "token-usage": "1460,80",
    "last-event-id": "12",
    "prompt-prefix": "5c1e:800,91bd:410,e440:250",
    "length-hint": "30",
    "connection": "keep-alive, x-hop",
    "x-hop": "1",
    "x-kept": "2",
    "tenant": "forged",
    "hold": "forged",
    "pin-duration": "forged",
    "kv-from": "forged",
    "cache-salt": "forged",
    "cache-backup": "forged",
    "cache-source": "forged",
    "cache-target": "forged",
    "cache-retain-until": "forged",
    "expected-instance": "forged",
    "expected-version": "forged",
    "request-priority": "forged",
}


def request(headers: dict[str, str]) -> http_server.Request:
    fields = tuple(headers.items())
    return http_server.Request(
        "POST", "/a/x", {}, headers, b"body", "/a/%78?q=1", fields
    )


def caller_request(**changes: str) -> ports.CallerRequest:
    found = dialect.Dialect().decode_request(request(HEADERS | changes))
    assert isinstance(found, ports.CallerRequest)
    return found


def test_request_is_decoded() -> None:
    """Guards against modified targets and missing prompt parts."""
    found = caller_request()
    assert found.target == "/a/%78?q=1"
    assert found.path == "/a/%78"
    assert found.host == "h.example"
    assert found.key == "k"
    assert found.time_left_s == 1.5
    assert found.output_tokens == 80
    assert found.parts[0] == choice.PromptPart("5c1e", 800)
    assert found.resume_after == "12"


def test_reserved_headers_from_callers_are_dropped() -> None:
    """Guards against callers that set the team, salt, hold or API key themselves."""
    options = ports.AttemptOptions("i-1", 1.2, "t1", version=3, salt="s", priority=4)
    call = dialect.Dialect().build_call(caller_request(), options, ("127.0.0.1", 1))
    sent = dict(call.fields)
    assert len(sent) == len(call.fields)
    assert not [name for name, value in sent.items() if value == "forged"]
    assert "authorization" not in sent
    assert "x-hop" not in sent
    assert "last-event-id" not in sent
    assert sent["x-kept"] == "2"
    assert sent["tenant"] == "t1"
    assert sent["expected-instance"] == "i-1"
    assert sent["request-deadline"] == "1200"
    assert sent["expected-version"] == "3"
    assert sent["prompt-prefix"] == HEADERS["prompt-prefix"]


def test_transfers_are_listed_for_each_part() -> None:
    """Guards against a source or target assigned to the wrong prompt part."""
    store = relay_builders.kv_store()
    plan = kv_index.Plan(
        (kv_index.Source(store, 700), None, None), (None, store, None), 2.5
    )
    options = ports.AttemptOptions("i-1", 1.0, plan=plan)
    sent = dict(
        dialect.Dialect().build_call(caller_request(), options, ("127.0.0.1", 1)).fields
    )
    assert sent["cache-source"] == "10.0.0.9:90/700,-,-"
    assert sent["cache-target"] == "-,10.0.0.9:90,-"
    assert sent["cache-retain-until"] == "2500"


MALFORMED_REQUESTS = [
    {"request-id": ""},
    {"prompt-prefix": "zz:1"},
    {"prompt-prefix": "5c:"},
]


@pytest.mark.parametrize("changes", MALFORMED_REQUESTS)
def test_malformed_requests_are_refused(changes: dict[str, str]) -> None:
    """Guards against forwarding requests without an id or with malformed parts."""
    found = dialect.Dialect().decode_request(request(HEADERS | changes))
    assert isinstance(found, refusal.Refusal)


RESPONSE_HEADS = [
    # Status, headers, is_turned_away, is_own.
    (200, {"request-id": "ab12", "server-signature": "s"}, False, True),
    (200, {"request-id": "ab12"}, False, False),
    (200, {"request-id": "other", "server-signature": "s"}, False, False),
    (503, {"request-id": "ab12", "not-executed": "1"}, True, False),
    (503, {"not-executed": "1"}, True, False),
    (503, {"request-id": "other", "not-executed": "1"}, False, False),
    (503, {"request-id": "ab12"}, False, False),
    (200, {"request-id": "ab12", "not-executed": "1"}, False, False),
    (421, {"request-id": "ab12"}, True, False),
    (500, {"request-id": "ab12", "server-signature": "s"}, False, True),
]


@pytest.mark.parametrize(
    ("status", "headers", "is_turned_away", "is_own"), RESPONSE_HEADS
)
def test_response_heads(
    status: int, headers: dict[str, str], is_turned_away: bool, is_own: bool
) -> None:
    """Guards against responses to other requests and against false refusals."""
    found = dialect.Dialect().decode_head(caller_request(), status, headers)
    assert found.is_turned_away is is_turned_away
    assert found.is_own is is_own


LOADS = [
    ("3,1,8", (3, 1, 8)),
    ("3,1,8,130", (3, 1, 8)),
    (" 3 , 1 , 8 , 99.5 ", (3, 1, 8)),
    ("3,1,8,,x", (3, 1, 8)),
    ("3,1", None),
    ("3,1,x,100", None),
    ("", None),
]


@pytest.mark.parametrize(("text", "expected"), LOADS)
def test_load_has_at_least_three_figures(
    text: str, expected: tuple[int, int, int] | None
) -> None:
    """Guards against load reports that are dropped whole for a figure too many."""
    headers = {"request-id": "ab12", "server-load": text}
    found = dialect.Dialect().decode_head(caller_request(), 200, headers)
    assert found.load == expected


SLOWNESS = [
    ("3,1,8,130", 1.3),
    (" 3 , 1 , 8 , 99.5 ", 0.995),
    ("3,1,8,250,7", 2.5),
    ("3,1,8", None),
    ("3,1,8,x", None),
    ("3,1,8,-5", None),
    ("", None),
]


@pytest.mark.parametrize(("text", "expected"), SLOWNESS)
def test_fourth_figure_is_the_slowness(text: str, expected: float | None) -> None:
    """Guards against reports that are mistaken, or dropped for a missing figure."""
    headers = {"request-id": "ab12", "server-load": text}
    head = dialect.Dialect().decode_head(caller_request(), 200, headers)
    assert head.slowness == (None if expected is None else pytest.approx(expected))


def test_refusal_has_retry_after() -> None:
    """Guards against callers that retry immediately."""
    reason = refusal.refuse(refusal.NO_UPSTREAM, "none", retry_after_s=0.25)
    response = dialect.Dialect().build_refusal(caller_request(), reason)
    assert response.status == 503
    assert response.headers["retry-after"] == "0.25"
    assert response.headers["request-id"] == "ab12"


async def test_clock_of_a_table_is_that_of_its_first_page(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a clock later than a change that the pages do not have."""
    pages = iter(
        [
            b'{"rows":[{"key":"a"}],"ver":7,"now_ms":100,"truncated":true}',
            b'{"rows":[{"key":"b"}],"ver":9,"now_ms":400,"truncated":false}',
        ]
    )

    async def fetch(*_args: object) -> http_client.FullResponse:
        return http_client.FullResponse(200, {}, next(pages))

    monkeypatch.setattr(calls, "fetch", fetch)
    client = store.Store(http_client.Pool(), ("127.0.0.1", 1))
    page = await client.read_intents()
    assert isinstance(page, ports.Page)
    assert (page.position, page.clock_ms) == (7, 100.0)


@pytest.mark.parametrize(
    ("text", "epoch"),
    [(None, 0), ("0", 0), ("7", 7), ("-1", None), ("x", None), ("9" * 10, None)],
)
def test_epoch_of_a_response_is_decoded(text: str | None, epoch: int | None) -> None:
    """Guards against a malformed epoch that is taken for the first one."""
    headers = {} if text is None else {"store-era": text}
    full = http_client.FullResponse(200, headers, b'{"rows": [], "ver": 3}')
    found = store._decode_response(full)
    assert getattr(found, "epoch", None) == epoch


def row_page(key: str, version: int, is_truncated: bool = False) -> bytes:
    """Build a response of the store that has one row."""
    body = {"rows": [{"key": key}], "ver": version, "truncated": is_truncated}
    return msgspec.json.encode(body)


@pytest.mark.parametrize(
    ("epochs", "versions", "is_usable"),
    [
        ((1, 1), (7, 9), True),
        ((1, 2), (7, 9), False),
        ((2, 1), (7, 9), False),
        ((1, 1), (9, 7), False),
    ],
)
async def test_pages_of_one_read_are_of_one_store(
    monkeypatch: pytest.MonkeyPatch,
    epochs: tuple[int, int],
    versions: tuple[int, int],
    is_usable: bool,
) -> None:
    """Guards against a table of which a part is from before a restore."""
    bodies = [row_page("a", versions[0], True), row_page("b", versions[1])]
    pages = iter(zip(epochs, bodies, strict=True))

    async def fetch(*_args: object) -> http_client.FullResponse:
        epoch, body = next(pages)
        return http_client.FullResponse(200, {"store-era": str(epoch)}, body)

    monkeypatch.setattr(calls, "fetch", fetch)
    client = store.Store(http_client.Pool(), ("127.0.0.1", 1))
    page = await client.read_upstreams()
    assert isinstance(page, ports.Page) is is_usable


async def test_response_of_an_earlier_epoch_is_not_usable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a late response of a store that has been restored since."""
    epochs = iter(["1", "2", "1", "2"])

    async def fetch(*_args: object) -> http_client.FullResponse:
        headers = {"store-era": next(epochs)}
        return http_client.FullResponse(200, headers, row_page("a", 5))

    monkeypatch.setattr(calls, "fetch", fetch)
    client = store.Store(http_client.Pool(), ("127.0.0.1", 1))
    found = [await client.watch_upstreams(4, 0.0) for _ in range(4)]
    assert [isinstance(page, ports.Page) for page in found] == [True, True, False, True]

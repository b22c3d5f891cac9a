"""Contract tests for the behavior of the stand-ins that other tests rely on."""

import collections.abc
import contextlib
import dataclasses
import pathlib
import typing

import msgspec
import pytest
import trio

from snipelug_core import block, table
from snipelug_node import platform, ports
from snipelug_standins import store as store_module
from snipelug_standins import text
from tests import cluster

pytestmark = pytest.mark.process

CHAT = "/v1/chat/completions"
MODEL = "m"


@contextlib.asynccontextmanager
async def run_standin(
    directory: pathlib.Path, role: str, *args: str
) -> collections.abc.AsyncIterator[tuple[cluster.Cluster, cluster.Child]]:
    async with cluster.open_cluster(directory) as running:
        with trio.fail_after(40):
            yield running, await running.standin(role, *args)


def chat(content: str = "hello", **more: object) -> dict[str, object]:
    messages = [{"role": "user", "content": content}]
    return {"model": MODEL, "messages": messages, **more}


def expected_text(content: str, length: int = text.DEFAULT_COMPLETION_TOKENS) -> str:
    return text.answer([{"role": "user", "content": content}], length)


def response_text(response: cluster.Answer) -> str:
    content: str = response.json()["choices"][0]["message"]["content"]
    return content


def parse_sse(response: cluster.Answer) -> list[dict[str, typing.Any]]:
    events = response.body.decode().split("\n\n")
    data = [e.removeprefix("data: ") for e in events if e]
    assert data[-1] == "[DONE]"
    return [msgspec.json.decode(item) for item in data[:-1]]


def join_deltas(chunks: list[dict[str, typing.Any]]) -> str:
    deltas = (chunk["choices"][0]["delta"] for chunk in chunks)
    return "".join(delta.get("content", "") for delta in deltas)


# By role: method, target and body of a request with an effect, and the counter
# of such effects.
EFFECTS = {
    "engine": ("POST", CHAT, chat(), "completed"),
    "service": ("POST", "/orders", {"order_id": "a"}, "completed"),
    "store": ("PUT", "/blocks/k", b"body", "writes"),
    "tables": ("PUT", "/tables/t/rows/k", {"a": 1}, "writes"),
    "objects": ("PUT", "/objects/k", b"body", "writes"),
    "instances": (
        "PUT",
        "/instances/i",
        {"role": "store", "address": "127.0.0.1:1", "zone": "z"},
        "instances",
    ),
}
BLOCK_HEADERS = {"x-generation": "1", "x-checksum": store_module.checksum(b"body")}


async def run_effect(
    running: cluster.Cluster, child: cluster.Child, timeout_s: float = 10.0
) -> cluster.Answer | None:
    method, target, content, _ = EFFECTS[child.name]
    headers = BLOCK_HEADERS if child.name == "store" else {}
    return await running.try_call(child, method, target, content, headers, timeout_s)


async def count_effects(running: cluster.Cluster, child: cluster.Child) -> int:
    stats = await running.stats(child)
    count: int = stats[EFFECTS[child.name][3]]
    return count


@pytest.mark.parametrize("role", EFFECTS)
async def test_common_faults(tmp_path: pathlib.Path, role: str) -> None:
    """Guards against fault tests that pass because no fault is injected."""
    async with run_standin(tmp_path, role) as (running, child):
        rejected = await running.call(child, "POST", "/faults", {"unknown": 1})
        assert rejected.status == 400

        await running.set_faults(child, refuse=True)
        refused = await run_effect(running, child)
        assert refused is not None
        assert refused.status == 503
        assert await count_effects(running, child) == 0

        await running.set_faults(child, lose_answers=1)
        assert await run_effect(running, child) is None
        assert await count_effects(running, child) == 1
        assert await run_effect(running, child) is not None

        await running.set_faults(child, slow_s=0.3)
        start = trio.current_time()
        assert await run_effect(running, child) is not None
        assert trio.current_time() - start >= 0.3

        await running.set_faults(child, pause_s=0.5)
        await trio.sleep(0.1)
        start = trio.current_time()
        assert await run_effect(running, child) is not None
        assert trio.current_time() - start >= 0.2

        await running.set_faults(child, die={"after": 1})
        assert await run_effect(running, child) is not None
        assert child.exit_code is None
        assert await run_effect(running, child) is None
        assert await child.wait() != 0


async def test_die_at_once(tmp_path: pathlib.Path) -> None:
    """Guards against a stand-in that keeps responding after the fault ``die``."""
    async with run_standin(tmp_path, "objects") as (running, child):
        await running.set_faults(child, die=True)
        assert await child.wait() != 0


# Engine


async def test_chat_answers_whole_text(tmp_path: pathlib.Path) -> None:
    """Guards against response checks that compare with the wrong text."""
    async with run_standin(tmp_path, "engine", "--decode-rate", "1000") as (
        running,
        child,
    ):
        plain = await running.call(child, "POST", CHAT, chat("q1"))
        assert response_text(plain) == expected_text("q1")
        assert plain.json()["weight_version"] == "w1"
        headers = {"x-request-id": "r1"}
        body = chat("q1", stream=True, max_tokens=40)
        chunks = parse_sse(await running.call(child, "POST", CHAT, body, headers))
        assert {c["id"] for c in chunks} == {"r1"}
        assert join_deltas(chunks) == expected_text("q1", 40)
        assert chunks[-1]["usage"]["completion_tokens"] == 40
        assert all("usage" not in c for c in chunks[:-1])


@pytest.mark.parametrize("sent", [0, 3, 20, 100])
async def test_resume_continues_after_sent_text(
    tmp_path: pathlib.Path, sent: int
) -> None:
    """Guards against resume tests that accept repeated or missing text."""
    whole = expected_text("q")
    async with run_standin(tmp_path, "engine") as (running, child):
        body = chat("q", resume_text=whole[:sent])
        response = await running.call(child, "POST", CHAT, body)
    assert whole[:sent] + response_text(response) == whole


@dataclasses.dataclass
class CacheCase:
    """A second request with the same prompt as the first one."""

    name: str
    second: dict[str, object]
    cached_tokens: int
    args: tuple[str, ...] = ()


PROMPT = "d" * (text.BLOCK_BYTES * 3)
CACHE_CASES = [
    CacheCase("same", {}, 3 * text.BLOCK_TOKENS),
    CacheCase("other team's salt", {"cache_salt": "t2"}, 0),
    CacheCase("other model", {"model": "m2"}, 0),
    CacheCase("small memory", {}, 0, ("--cache-tokens", str(2 * text.BLOCK_TOKENS))),
]


@pytest.mark.parametrize("case", CACHE_CASES, ids=lambda c: c.name)
async def test_prefix_cache(tmp_path: pathlib.Path, case: CacheCase) -> None:
    """Guards against cache hits across teams or models, or beyond the capacity."""
    async with run_standin(tmp_path, "engine", *case.args) as (running, child):
        await running.call(child, "POST", CHAT, chat(PROMPT))
        second = chat(PROMPT) | case.second
        response = await running.call(child, "POST", CHAT, second)
        stats = await running.stats(child)
    usage = response.json()["usage"]
    assert usage["cached_tokens"] == case.cached_tokens
    assert stats["recomputed_tokens"] == (
        2 * usage["prompt_tokens"] - case.cached_tokens
    )


async def test_weight_version_is_checked(tmp_path: pathlib.Path) -> None:
    """Guards against engines that respond with another weight version."""
    async with run_standin(tmp_path, "engine", "--load-s", "0.1") as (running, child):
        await running.call(child, "POST", CHAT, chat(PROMPT))
        order = {"order": {"weight_version": "w2"}, "fencing": 5}
        loaded = await running.call(child, "POST", "/orders", order)
        assert loaded.json()["weight_version"] == "w2"
        old = await running.call(child, "POST", CHAT, chat(weight_version="w1"))
        assert old.status == 409
        new = await running.call(child, "POST", CHAT, chat(PROMPT))
        assert new.json()["weight_version"] == "w2"
        assert new.json()["usage"]["cached_tokens"] == 0


@pytest.mark.parametrize(("flag", "status"), [(["--check-fencing"], 409), ([], 200)])
async def test_old_fencing_number(
    tmp_path: pathlib.Path, flag: list[str], status: int
) -> None:
    """Guards against a fencing check that does not depend on its option."""
    async with run_standin(tmp_path, "engine", "--load-s", "0", *flag) as (
        running,
        child,
    ):
        newer = {"order": {"weight_version": "w2"}, "fencing": 5}
        older = {"order": {"weight_version": "w3"}, "fencing": 4}
        await running.call(child, "POST", "/orders", newer)
        response = await running.call(child, "POST", "/orders", older)
        stats = await running.stats(child)
    assert response.status == status
    assert stats["weight_version"] == ("w2" if status == 409 else "w3")


async def test_priority_runs_first(tmp_path: pathlib.Path) -> None:
    """Guards against an engine queue that ignores priorities."""
    args = ("--max-batch", "1", "--decode-rate", "50")
    order: list[int] = []
    async with run_standin(tmp_path, "engine", *args) as (running, child):

        async def send_chat(priority: int) -> None:
            await running.call(child, "POST", CHAT, chat("q", priority=priority))
            order.append(priority)

        async with trio.open_nursery() as nursery:
            for priority in (0, 9, 1):
                nursery.start_soon(send_chat, priority)
                await trio.sleep(0.08)
    assert order == [0, 1, 9]


async def test_disconnect_cancels(tmp_path: pathlib.Path) -> None:
    """Guards against slots that stay occupied after the caller disconnects."""
    args = ("--decode-rate", "10", "--max-batch", "1")
    async with run_standin(tmp_path, "engine", *args) as (running, child):
        for body in (chat(max_tokens=1000), chat(max_tokens=1000, stream=True)):
            with trio.move_on_after(0.3):
                await running.call(child, "POST", CHAT, body)
        await trio.sleep(0.1)
        stats = await running.stats(child)
    assert stats["cancelled"] == 2
    assert (stats["running"], stats["waiting"]) == (0, 0)


async def send_concurrently(
    running: cluster.Cluster, child: cluster.Child, count: int
) -> list[int | None]:
    statuses: list[int | None] = []

    async def send_chat() -> None:
        response = await running.try_call(child, "POST", CHAT, chat())
        statuses.append(response.status if response else None)

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(send_chat)
    return statuses


async def test_cold_engine_warms_up(tmp_path: pathlib.Path) -> None:
    """Guards against cold-start tests on an engine that is never cold."""
    args = ("--cold", "--cold-limit", "2", "--warm-requests", "4")
    async with run_standin(tmp_path, "engine", *args) as (running, child):
        states = []
        for _ in range(2):
            load = await running.call(child, "GET", "/load")
            states.append(load.json()["state"])
            assert await send_concurrently(running, child, 2) == [200, 200]
        load = await running.call(child, "GET", "/load")
        states.append(load.json()["state"])
        assert states == ["cold", "cold", "warm"]
        assert await send_concurrently(running, child, 8) == [200] * 8
        stats = await running.stats(child)
    assert stats["max_concurrent_cold"] == 2
    assert stats["overloads"] == 0


@pytest.mark.parametrize("on_overload", ["exit", "record"])
async def test_cold_engine_falls_over(tmp_path: pathlib.Path, on_overload: str) -> None:
    """Guards against overloads of cold upstreams that go undetected."""
    args = ("--cold", "--cold-limit", "2", "--on-overload", on_overload)
    async with run_standin(tmp_path, "engine", *args) as (running, child):
        statuses = await send_concurrently(running, child, 3)
        assert 200 not in statuses
        if on_overload == "exit":
            assert await child.wait() != 0
            return
        assert statuses == [500, 500, 500]
        stats = await running.stats(child)
        assert stats["overloads"] == 1
        assert stats["max_concurrent_cold"] == 3


@pytest.mark.parametrize("close", [False, True])
async def test_turn_cold(tmp_path: pathlib.Path, close: bool) -> None:
    """Guards against unannounced cold starts that keep state, cache or streams."""
    args = ("--decode-rate", "20")
    async with run_standin(tmp_path, "engine", *args) as (running, child):
        await running.call(child, "POST", CHAT, chat(PROMPT, max_tokens=1))
        before = (await running.call(child, "GET", "/load")).json()
        responses: list[cluster.Answer | None] = []

        async def send_chat() -> None:
            body = chat("q", stream=True)
            responses.append(await running.try_call(child, "POST", CHAT, body))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_chat)
            await trio.sleep(0.3)
            fault = {"close_connections": close, "new_boot_id": close}
            await running.set_faults(child, turn_cold=fault)
        await trio.sleep(0.1)
        after = (await running.call(child, "GET", "/load")).json()
        stats = await running.stats(child)
    assert (before["state"], after["state"]) == ("warm", "cold")
    assert (before["boot_id"] != after["boot_id"]) == close
    assert (responses == [None]) == close
    assert stats["cached_blocks"] == 0


async def test_load_report_lags(tmp_path: pathlib.Path) -> None:
    """Guards against tests of delayed load reports that get current ones."""
    async with run_standin(tmp_path, "engine", "--lag-s", "0.6") as (running, child):
        await trio.sleep(0.8)
        await running.set_faults(child, turn_cold=True)
        now = (await running.call(child, "GET", "/load")).json()
        await trio.sleep(0.8)
        later = (await running.call(child, "GET", "/load")).json()
    assert (now["state"], later["state"]) == ("warm", "cold")
    assert now["age_s"] >= 0.6
    assert later["seq"] > now["seq"]


@pytest.mark.parametrize("stream", [False, True])
async def test_crossed_answers(tmp_path: pathlib.Path, stream: bool) -> None:
    """Guards against identity checks that never see another request's id."""
    async with run_standin(tmp_path, "engine") as (running, child):
        await running.set_faults(child, cross_answers=1)
        ids = []
        for _ in range(2):
            body = chat(stream=stream)
            headers = {"x-request-id": "mine"}
            response = await running.call(child, "POST", CHAT, body, headers)
            chunks = parse_sse(response) if stream else [response.json()]
            ids.append({chunk["id"] for chunk in chunks})
    assert ids[0] - {"mine"}
    assert ids[1] == {"mine"}


async def test_crash_on_text(tmp_path: pathlib.Path) -> None:
    """Guards against quarantine tests in which no crash occurs."""
    async with run_standin(tmp_path, "engine") as (running, child):
        await running.set_faults(child, crash_on="poison")
        await running.call(child, "POST", CHAT, chat("fine"))
        response = await running.try_call(child, "POST", CHAT, chat("a poison b"))
        assert response is None
        assert await child.wait() != 0


async def test_cache_events(tmp_path: pathlib.Path) -> None:
    """Guards against cache event tests without gaps, delays or removals."""
    args = ("--cache-tokens", str(2 * text.BLOCK_TOKENS))
    async with run_standin(tmp_path, "engine", *args) as (running, child):

        async def read_events(after: int = 0) -> list[tuple[int, str, str]]:
            target = f"/cache/events?after={after}"
            content = (await running.call(child, "GET", target)).json()
            return [(e["seq"], e["event"], e["key"]) for e in content["events"]]

        def block_prompt(letter: str) -> dict[str, object]:
            return chat(letter * text.BLOCK_BYTES, block_keys=["k" + letter])

        await running.call(child, "POST", CHAT, block_prompt("a"))
        assert await read_events() == [(1, "stored", "ka")]
        await running.set_faults(child, drop_events=True)
        await running.call(child, "POST", CHAT, block_prompt("b"))
        await running.set_faults(child, delay_events_s=0.5)
        await running.call(child, "POST", CHAT, block_prompt("c"))
        assert await read_events(after=1) == []
        await trio.sleep(0.6)
        assert await read_events(after=1) == [(3, "stored", "kc"), (4, "removed", "ka")]


async def test_kv_moves_between_engines(tmp_path: pathlib.Path) -> None:
    """Guards against imports of freed, replaced or corrupted blocks."""
    async with run_standin(tmp_path, "engine") as (running, first):
        second = await running.standin("engine")
        store = await running.standin("store")
        address = {"host": cluster.HOST, "port": store.port}
        keys = ["k0", "k1", "k2"]
        body = chat(PROMPT, block_keys=keys)
        await running.call(first, "POST", CHAT, body)
        wanted = [{"key": key} for key in [*keys, "unknown"]]
        order = {"blocks": wanted, "store": address, "generation": 1}
        exported = (await running.call(first, "POST", "/kv/export", order)).json()
        assert [b["key"] for b in exported["stored"]] == keys
        assert exported["missed"] == ["unknown"]

        stale = [dict(b, generation=2) for b in exported["stored"]]
        order = {"blocks": stale, "store": address}
        response = await running.call(second, "POST", "/kv/import", order)
        assert response.json() == {"imported": [], "missed": keys}

        await running.set_faults(store, corrupt_reads=1)
        order = {"blocks": exported["stored"], "store": address}
        response = await running.call(second, "POST", "/kv/import", order)
        assert response.json() == {"imported": keys[1:], "missed": keys[:1]}

        response = await running.call(second, "POST", "/kv/import", order)
        assert response.json() == {"imported": keys, "missed": []}
        usage = (await running.call(second, "POST", CHAT, body)).json()["usage"]
        assert usage["cached_tokens"] == 3 * text.BLOCK_TOKENS


# Store


async def put_block(
    running: cluster.Cluster,
    child: cluster.Child,
    key: str,
    body: bytes,
    checksum: str | None = None,
) -> int:
    headers = {
        "x-generation": "1",
        "x-checksum": checksum or store_module.checksum(body),
    }
    response = await running.call(child, "PUT", f"/blocks/{key}", body, headers)
    return response.status


async def test_store_tiers_fill_up(tmp_path: pathlib.Path) -> None:
    """Guards against a store that never moves blocks to disk or never fills up."""
    args = ("--memory-bytes", "100", "--disk-bytes", "100")
    async with run_standin(tmp_path, "store", *args) as (running, child):
        statuses = [
            await put_block(running, child, f"k{i}", bytes([i]) * 60) for i in range(3)
        ]
        assert statuses == [201, 201, 507]
        tiers = [
            (await running.call(child, "GET", f"/blocks/k{i}")).headers["x-tier"]
            for i in range(2)
        ]
        feed = (await running.call(child, "GET", "/blocks?after=1")).json()
    assert tiers == ["disk", "memory"]
    assert [(b["seq"], b["event"], b["key"]) for b in feed["blocks"]] == [
        (2, "stored", "k1")
    ]


async def test_incomplete_block_is_invisible(tmp_path: pathlib.Path) -> None:
    """Guards against reads of partly written blocks."""
    async with run_standin(tmp_path, "store", "--memory-rate", "1000") as (
        running,
        child,
    ):
        assert await put_block(running, child, "bad", b"x", checksum="0") == 400
        stream = await trio.open_tcp_stream(*child.addr)
        head = "PUT /blocks/cut HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n"
        head += "x-generation: 1\r\nx-checksum: 0\r\n\r\n"
        await stream.send_all(head.encode() + b"half")
        await stream.aclose()
        with trio.move_on_after(0.2):
            await put_block(running, child, "left", b"y" * 500)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(put_block, running, child, "slow", b"z" * 500)
            await trio.sleep(0.2)
            response = await running.call(child, "GET", "/blocks/slow")
            assert response.status == 404
        assert (await running.call(child, "GET", "/blocks/slow")).status == 200
        for key in ("bad", "cut", "left"):
            response = await running.call(child, "GET", f"/blocks/{key}")
            assert response.status == 404


async def test_store_reads_match_entity_tag(tmp_path: pathlib.Path) -> None:
    """Guards against reads of a block that was replaced in the meantime."""
    async with run_standin(tmp_path, "store") as (running, child):
        await put_block(running, child, "k", b"one")
        checksum = store_module.checksum(b"one")
        headers = {"if-match": f'"1-{checksum}"'}
        same = await running.call(child, "GET", "/blocks/k", headers=headers)
        await put_block(running, child, "k", b"two")
        changed = await running.call(child, "GET", "/blocks/k", headers=headers)
        kept = await running.call(child, "DELETE", "/blocks/k", headers=headers)
        removed = await running.call(child, "DELETE", "/blocks/k")
        gone = await running.call(child, "GET", "/blocks/k")
    statuses = [a.status for a in (same, changed, kept, removed, gone)]
    assert statuses == [200, 412, 412, 200, 404]


async def test_store_link_is_limited(tmp_path: pathlib.Path) -> None:
    """Guards against bandwidth tests in which transfers take no time."""
    async with run_standin(tmp_path, "store", "--memory-rate", "1000") as (
        running,
        child,
    ):
        start = trio.current_time()
        await put_block(running, child, "k", b"x" * 200)
        middle = trio.current_time()
        await running.set_faults(child, slowdown=3)
        await running.call(child, "GET", "/blocks/k")
        end = trio.current_time()
    assert 0.2 <= middle - start < 0.6
    assert end - middle >= 0.6


# Service


async def test_service_counts_each_run(tmp_path: pathlib.Path) -> None:
    """Guards against duplicate runs of an order that are not counted."""
    async with run_standin(tmp_path, "service", "--time-s", "0.3") as (running, child):
        with trio.move_on_after(0.1):
            await running.call(child, "POST", "/orders", {"order_id": "left"})
        for _ in range(2):
            body = {"order_id": "twice"}
            response = await running.call(child, "POST", "/orders", body)
        await running.call(child, "GET", "/stock/7")
        stats = await running.stats(child)
    assert response.json()["run"] == 2
    assert stats["orders"] == {"left": 1, "twice": 2}
    assert sum(stats["bodies"].values()) == 3


# Platform, through the adapters of the node


async def test_tables_keep_preconditions(tmp_path: pathlib.Path) -> None:
    """Guards against writes that ignore a precondition or apply only in part."""
    async with run_standin(tmp_path, "tables") as (running, child):
        service = platform.HttpTableService(running.pool, child.addr)
        first = await service.write(ports.Write("t", "a/1", b"1", ports.Expect.ABSENT))
        assert isinstance(first, ports.Written)
        again = await service.write(ports.Write("t", "a/1", b"2", ports.Expect.ABSENT))
        assert again == ports.Conflict()
        second = await service.write(ports.Write("t", "a/1", b"2", first.version))
        assert isinstance(second, ports.Written)
        assert second.version != first.version

        half = [
            ports.Write("t", "a/2", b"3", ports.Expect.ABSENT),
            ports.Write("t", "a/1", b"3", first.version),
        ]
        assert await service.transact(half) == ports.Conflict()
        assert await service.read("t", "a/2") == ports.Absent()
        whole = [half[0], ports.Write("t", "a/1", None, second.version)]
        assert isinstance(await service.transact(whole), ports.Written)
        assert await service.read("t", "a/1") == ports.Absent()
        row = await service.read("t", "a/2")
        assert isinstance(row, ports.Row)
        assert row.content == b"3"
        gone = await service.write(ports.Write("t", "a/2", None, first.version))
        assert gone == ports.Conflict()
        bad = await running.call(child, "PUT", "/tables/t/rows/x", b"{")
        assert bad.status == 400


async def test_tables_scan_in_order(tmp_path: pathlib.Path) -> None:
    """Guards against scans that mix tables or skip rows."""
    async with run_standin(tmp_path, "tables") as (running, child):
        service = platform.HttpTableService(running.pool, child.addr)
        for name, key in [("t", "b2"), ("t", "b1"), ("t", "b3"), ("u", "b4")]:
            await service.write(ports.Write(name, key, b"{}", ports.Expect.ANY))
        await service.write(ports.Write("t", "a", b"{}", ports.Expect.ANY))
        rows = await service.scan("t", prefix="b", after="b1", limit=1)
        every = await service.scan("t")
    assert isinstance(rows, list)
    assert [row.key for row in rows] == ["b2"]
    assert isinstance(every, list)
    assert [row.key for row in every] == ["a", "b1", "b2", "b3"]


async def test_objects_round_trip(tmp_path: pathlib.Path) -> None:
    """Guards against objects that are changed by a write and a read."""
    async with run_standin(tmp_path, "objects") as (running, child):
        objects = platform.HttpObjectStore(running.pool, child.addr)
        assert await objects.get("a/b") == ports.Absent()
        assert isinstance(await objects.put("a/b", b"\x00\xff"), ports.Written)
        assert await objects.get("a/b") == b"\x00\xff"
        headers = {"if-none-match": "*"}
        again = await running.call(child, "PUT", "/objects/a/b", b"x", headers)
        assert again.status == 412


async def test_instances_lag(tmp_path: pathlib.Path) -> None:
    """Guards against tests of the instance list that see changes without a lag."""
    async with run_standin(tmp_path, "instances", "--lag-s", "0.5") as (running, child):
        listing = platform.HttpInstanceList(running.pool, child.addr)
        await running.list_instance(
            child, "e1", "engine", "127.0.0.1:7", "z1", state="leaving"
        )
        assert await listing.read() == []
        await trio.sleep(0.6)
        expected = table.Instance(
            "e1", table.Role.ENGINE, "127.0.0.1", 7, "z1", leaving=True
        )
        assert await listing.read() == [expected]
        await running.call(child, "DELETE", "/instances/e1")
        assert await listing.read() == [expected]
        await trio.sleep(0.6)
        assert await listing.read() == []


# Link


async def test_link_faults(tmp_path: pathlib.Path) -> None:
    """Guards against partition tests in which data is still forwarded."""
    async with run_standin(tmp_path, "objects") as (running, child):
        link = await running.link(child.addr)
        assert (await running.call(link, "PUT", "/objects/a", b"x")).status == 200

        await running.set_faults(link, delay_s=0.2)
        start = trio.current_time()
        assert (await running.call(link, "GET", "/objects/a")).status == 200
        assert trio.current_time() - start >= 0.4

        await running.set_faults(link, cut=True)
        cut = await running.try_call(link, "PUT", "/objects/b", b"x", timeout_s=0.3)
        assert cut is None
        assert (await running.call(child, "GET", "/objects/b")).status == 404

        await running.set_faults(link, reset=True)
        start = trio.current_time()
        assert await running.try_call(link, "GET", "/objects/a") is None
        assert trio.current_time() - start < 1.0

        await running.set_faults(link)
        assert (await running.call(link, "GET", "/objects/a")).status == 200


async def test_frozen_process_hangs_and_resumes(tmp_path: pathlib.Path) -> None:
    """Guards against pause tests in which the process keeps running."""
    async with run_standin(tmp_path, "objects") as (running, child):
        child.freeze()
        frozen = await running.try_call(child, "GET", "/objects/a", timeout_s=0.3)
        assert frozen is None
        child.thaw()
        assert (await running.call(child, "GET", "/objects/a")).status == 404


async def test_cluster_stops_children_of_failed_test(tmp_path: pathlib.Path) -> None:
    """Guards against processes that outlive a failed test."""
    children: list[cluster.Child] = []

    async def fail() -> None:
        async with cluster.open_cluster(tmp_path) as running:
            children.append(await running.standin("objects"))
            children[0].freeze()
            raise ZeroDivisionError

    with pytest.raises(ZeroDivisionError):
        await fail()
    assert children[0].exit_code is not None


def test_engine_and_node_render_alike() -> None:
    """Guards against block keys that do not match the blocks of the engine."""
    messages = [{"role": "system", "content": "é"}, {"content": "b", "role": "user"}]
    for preamble in (None, [{"type": "function"}]):
        assert text.render(messages, preamble) == block.render(messages, preamble)
    assert text.BLOCK_TOKENS == block.BLOCK_TOKENS


async def test_children_started_together_are_distinct(tmp_path: pathlib.Path) -> None:
    """Guards against children that share a log file and are mistaken for one."""
    children: list[cluster.Child] = []
    async with cluster.open_cluster(tmp_path) as running:

        async def start() -> None:
            children.append(await running.standin("objects"))

        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(start)
    assert len({child.port for child in children}) == 3

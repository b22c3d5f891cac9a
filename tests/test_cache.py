"""Tests of the block index over all nodes, of cache event feeds and of KV transfers."""

import collections.abc
import dataclasses
import json
import typing
from unittest import mock

import hypothesis
import msgspec
import pytest
import trio
from hypothesis import strategies as st

from snipelug_core import (
    block,
    contract,
    hashing,
    index,
    placement,
    prefill,
    route,
    table,
)
from snipelug_net import http_client, http_server, rpc
from snipelug_node import cache, cleaner, feeds, reuse, transfers


def key(i: int) -> block.Key:
    return i.to_bytes(2, "big") * (block.KEY_BYTES // 2)


KEYS = [key(i) for i in range(40)]
ENGINE = index.Source("e1", "b1")
STORE = index.Source("s1", "b1", is_store=True)


class Net:
    """In-process network of nodes; ``unreachable`` holds the ids of those cut off."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.delay_s = 0.0
        self.unreachable: set[str] = set()

    def add(self, name: str) -> "Node":
        node = Node(name, self)
        self.nodes[name] = node
        return node


class Node:
    """One node's shard and directory; implements ``ports.Peers``."""

    def __init__(self, name: str, net: Net) -> None:
        self.node_id = name
        self.net = net
        self.procedures: dict[str, rpc.Procedure] = {}
        self.shard = cache.Shard(1 << 20)
        self.shard.register(self)
        self.directory = cache.Directory(self)

    def live(self) -> list[str]:
        return list(self.net.nodes)

    def register(self, method: typing.Any, procedure: rpc.Procedure) -> None:
        self.procedures[method.name] = procedure

    async def call(
        self, node_id: str, method: typing.Any, message: msgspec.Struct, _: float
    ) -> typing.Any:
        if node_id in self.net.unreachable:
            return rpc.Unreachable("cut off")
        await trio.sleep(self.net.delay_s)
        data = msgspec.msgpack.encode(message)
        received = msgspec.msgpack.decode(data, type=method.request)
        reply = await self.net.nodes[node_id].procedures[method.name](received)
        return msgspec.msgpack.decode(msgspec.msgpack.encode(reply), type=method.reply)


@pytest.fixture
def net() -> Net:
    net = Net()
    for name in ("n1", "n2", "n3"):
        net.add(name)
    return net


async def sources_of(node: Node, keys: list[block.Key]) -> list[set[str]]:
    return [set((await node.directory.lookup([k])).prefixes()) for k in keys]


async def test_changes_of_one_node_are_found_by_all(net: Net) -> None:
    """Guards against look-ups at another shard than the changes were sent to."""
    first, second = net.nodes["n1"], net.nodes["n2"]
    first.directory.record_changes(ENGINE, [cache.Change(k, True) for k in KEYS])
    stored = [cache.Change(k, True, 1, 7, "c") for k in KEYS]
    first.directory.record_changes(STORE, stored)
    first.directory.appraise(KEYS[:1], 0.5)
    await first.directory.flush()
    assert await sources_of(second, KEYS) == [{"e1", "s1"}] * len(KEYS)
    found = await second.directory.lookup(KEYS[:1])
    assert found.stored == ((index.StoredCopy("s1", "b1", 7, "c"),),)
    assert all(len(n.shard.index) for n in net.nodes.values())
    first.directory.announce_boot(index.Source("e1", "b2"))
    await first.directory.flush()
    assert await sources_of(second, KEYS) == [{"s1"}] * len(KEYS)
    for node in net.nodes.values():
        node.shard.retain({"e1"})
    assert await sources_of(second, KEYS) == [set()] * len(KEYS)


async def test_queued_changes_are_sent_after_any_pause(
    net: Net, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against changes that are sent only when later ones are queued."""
    node = net.nodes["n1"]
    await node.directory.flush()
    await nursery.start(node.directory.run)
    for number, k in enumerate(KEYS[:3]):
        await trio.sleep(7.0)
        await node.directory.flush()
        node.directory.record_changes(ENGINE, [cache.Change(k, True)])
        await trio.sleep(cache.FLUSH_INTERVAL_S + 0.01)
        held = await sources_of(node, KEYS[:3])
        assert held == [{"e1"}] * (number + 1) + [set()] * (2 - number)
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("blocks", "delay_s", "limit_s", "hit"),
    [
        (1, 0.015, 0.02, True),
        (1, 0.06, 0.02, False),
        (1, 0.5, 0.02, False),
        (10, 0.06, 0.1, True),
        (1000, 0.5, 0.2, False),
    ],
)
async def test_slow_lookup_is_a_miss(
    net: Net,
    autojump_clock: trio.testing.MockClock,
    blocks: int,
    delay_s: float,
    limit_s: float,
    hit: bool,
) -> None:
    """Guards against waiting longer for the index than recomputing takes."""
    node = net.nodes["n1"]
    node.directory.record_changes(ENGINE, [cache.Change(KEYS[0], True)])
    await node.directory.flush()
    net.delay_s = delay_s
    started = trio.current_time()
    found = await node.directory.lookup(KEYS[:1] * blocks)
    assert trio.current_time() - started <= limit_s + 1e-6
    assert bool(found.memory) == hit
    assert node.directory.counts["lookup_misses"] == (0 if hit else 1)


async def test_lost_shards_and_full_queues_cost_only_hits(
    net: Net, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against errors and unbounded queues while other nodes are unreachable."""
    node = net.nodes["n1"]
    net.unreachable = set(net.nodes)
    monkeypatch.setattr(cache, "MAX_QUEUED_CHANGES", 30)
    node.directory.record_changes(ENGINE, [cache.Change(k, True) for k in KEYS])
    assert node.directory.counts["changes_dropped"] == 10
    await node.directory.flush()
    assert node.directory.counts["changes_dropped"] == 40
    assert await sources_of(node, KEYS[:1]) == [set()]
    assert await node.directory.lookup([]) == index.PrefixLocations()


MALFORMED = [
    (cache.Lookup, {"keys": [b"short"]}),
    (cache.Lookup, {"keys": [KEYS[0]] * (cache.MAX_KEYS + 1)}),
    (cache.Record, {"appraisals": [{"keys": [], "value_s": float("nan")}]}),
    (cache.Record, {"batches": [{"id": "", "boot_id": "b", "is_store": True}]}),
    (cache.Record, {"batches": [{"id": "a", "boot_id": 3, "is_store": True}]}),
]


@pytest.mark.parametrize(("kind", "content"), MALFORMED)
def test_malformed_messages_are_refused(kind: type, content: object) -> None:
    """Guards against a faulty peer that corrupts or floods the index."""
    data = msgspec.msgpack.encode(content)
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(data, type=kind)


@hypothesis.given(
    st.lists(st.sets(st.sampled_from("abcdef")), max_size=5),
    st.lists(st.integers(0, 50), max_size=10),
)
def test_slots_follow_rendezvous_over_all_changes(
    views: list[set[str]], slots: list[int]
) -> None:
    """Guards against nodes that query different shards for one conversation."""
    shards = cache.ShardMap()
    before: dict[int, str | None] = {}
    for nodes in views:
        moved = shards.update(nodes)
        owners = {s: shards.owner(s) for s in slots}
        fresh = cache.ShardMap()
        fresh.update(nodes)
        assert owners == {s: fresh.owner(s) for s in slots}
        assert set(owners.values()) <= (nodes or {None})
        known = {s for s in slots if before.get(s) is not None}
        assert {s for s in known if owners[s] != before[s]} == moved & known
        before = owners


@dataclasses.dataclass
class ScriptedUpstream:
    """An engine or KV cache store with scripted responses."""

    boot_id: str = "b1"
    feed: list[dict[str, object]] = dataclasses.field(default_factory=list)
    answer: object = None
    status: int = 200
    delay_s: float = 0.0
    requests: list[tuple[str, dict[str, typing.Any]]] = dataclasses.field(
        default_factory=list
    )

    def add(self, *events: tuple[int, str, block.Key], **more: object) -> None:
        for seq, name, k in events:
            self.feed.append({"seq": seq, "event": name, "key": k.hex(), **more})

    async def handle(self, req: http_server.Request) -> http_server.Response:
        await trio.sleep(self.delay_s)
        if req.method == "POST":
            self.requests.append((req.path, json.loads(req.body)))
            return http_server.json_response(self.status, self.answer)
        if req.method == "DELETE":
            self.requests.append((req.path, dict(req.headers)))
            return http_server.json_response(self.status, {})
        after = int(req.query["after"])
        events = [e for e in self.feed if typing.cast(int, e["seq"]) > after]
        name = "blocks" if req.path == "/blocks" else "events"
        return http_server.json_response(
            self.status, self.answer or {"boot_id": self.boot_id, name: events}
        )


StartUpstream = collections.abc.Callable[
    [str, table.Role],
    collections.abc.Awaitable[tuple[ScriptedUpstream, table.Instance]],
]


@pytest.fixture
async def start_upstream(nursery: trio.Nursery) -> StartUpstream:
    async def run(
        name: str, role: table.Role
    ) -> tuple[ScriptedUpstream, table.Instance]:
        upstream = ScriptedUpstream()
        limits = http_server.Limits()
        server = http_server.Server(upstream.handle, limits)
        port = await nursery.start(server.serve, "127.0.0.1", 0)
        return upstream, table.Instance(name, role, "127.0.0.1", port, "a")

    return run


async def test_feeds_reach_the_index_over_restarts_and_gaps(
    net: Net, start_upstream: StartUpstream
) -> None:
    """Guards against events that are missed after a restart or a gap."""
    engine, engine_inst = await start_upstream("e1", table.Role.ENGINE)
    store, store_inst = await start_upstream("s1", table.Role.STORE)
    node = net.nodes["n1"]
    owned = [engine_inst, store_inst]
    feed_reader = feeds.Feeds(http_client.Pool(), node.directory, lambda: owned)

    async def poll() -> list[set[str]]:
        await feed_reader.poll()
        await node.directory.flush()
        return await sources_of(net.nodes["n2"], KEYS[:2])

    engine.add((1, "stored", KEYS[0]), (2, "stored", KEYS[1]))
    store.add((1, "stored", KEYS[0]), generation="7", checksum="c")
    assert await poll() == [{"e1", "s1"}, {"e1"}]
    engine.add((9, "removed", KEYS[0]))
    assert await poll() == [{"s1"}, {"e1"}]
    assert feed_reader.counts["gaps"] == 1
    engine.boot_id, engine.feed = "b2", []
    engine.add((1, "stored", KEYS[0]), (20, "stored", KEYS[5]))
    assert await poll() == [{"s1"}, set()]
    assert await poll() == [{"e1", "s1"}, set()]
    found = await net.nodes["n3"].directory.lookup(KEYS[:1])
    assert found.stored == ((index.StoredCopy("s1", "b1", 7, "c"),),)


async def test_new_node_gets_the_events_of_its_shard(
    net: Net, start_upstream: StartUpstream
) -> None:
    """Guards against an index shard that stays empty after nodes change."""
    engine, inst = await start_upstream("e1", table.Role.ENGINE)
    engine.add(*((i + 1, "stored", k) for i, k in enumerate(KEYS)))
    node = net.nodes["n1"]
    feed_reader = feeds.Feeds(http_client.Pool(), node.directory, lambda: [inst])
    await feed_reader.poll()
    await node.directory.flush()
    sent = feed_reader.counts["events"]
    del net.nodes["n2"]
    net.add("n4")
    await feed_reader.poll()
    await node.directory.flush()
    assert await sources_of(net.nodes["n3"], KEYS) == [{"e1"}] * len(KEYS)
    assert len(net.nodes["n4"].shard.index) > 0
    assert sent == len(KEYS) < feed_reader.counts["events"] < 2 * len(KEYS)
    await feed_reader.poll()
    assert feed_reader.counts["events"] < 2 * len(KEYS)


INVALID_PAGES: list[tuple[int, object]] = [
    (500, None),
    (200, {"events": []}),
    (200, {"boot_id": "b", "events": [{"seq": -1, "event": "stored", "key": ""}]}),
    (200, {"boot_id": "b", "events": [{"seq": 1, "event": "stored", "key": "zz"}]}),
    (
        200,
        {"boot_id": "b", "events": [{"seq": 1, "event": "new", "key": KEYS[0].hex()}]},
    ),
]


@pytest.mark.parametrize(("status", "answer"), INVALID_PAGES)
async def test_unusable_feeds_are_counted(
    net: Net, start_upstream: StartUpstream, status: int, answer: object
) -> None:
    """Guards against one faulty instance that stops the polling of the others."""
    bad, bad_inst = await start_upstream("e1", table.Role.ENGINE)
    good, good_inst = await start_upstream("e2", table.Role.ENGINE)
    bad.status, bad.answer = status, answer
    good.add((1, "stored", KEYS[0]))
    node = net.nodes["n1"]
    gone = dataclasses.replace(bad_inst, id="e3", port=1)
    owned = [bad_inst, gone, good_inst]
    feed_reader = feeds.Feeds(http_client.Pool(), node.directory, lambda: owned)
    await feed_reader.poll()
    await node.directory.flush()
    assert feed_reader.counts["unusable"] == 2
    assert await sources_of(node, KEYS[:1]) == [{"e2"}]


def stored_copy(store: str) -> index.StoredCopy:
    return index.StoredCopy(store, "b1", 7, "c")


def link_s(store_id: str, blocks: int) -> float:
    return 0.5 * blocks if store_id == "s1" else 0.0


@pytest.fixture
async def transfer_setup(
    net: Net, start_upstream: StartUpstream
) -> tuple[ScriptedUpstream, table.Instance, transfers.Transfers]:
    upstream, inst = await start_upstream("e1", table.Role.ENGINE)
    store = table.Instance("s1", table.Role.STORE, "10.0.0.9", 7000, "a")
    directory = net.nodes["n1"].directory
    block_transfers = transfers.Transfers(
        http_client.Pool(),
        directory,
        {"s1": store}.get,
        prefill.PrefillBacklog(),
        link_s,
    )
    return upstream, inst, block_transfers


TransferSetup = tuple[ScriptedUpstream, table.Instance, transfers.Transfers]


async def test_import_names_copies_and_drops_missed_ones(
    net: Net, transfer_setup: TransferSetup
) -> None:
    """Guards against reads of replaced copies, and against repeated misses."""
    upstream, inst, block_transfers = transfer_setup
    directory = net.nodes["n1"].directory
    directory.record_changes(
        STORE, [cache.Change(k, True, 1, 7, "c") for k in KEYS[:2]]
    )
    await directory.flush()
    upstream.answer = {"imported": [KEYS[0].hex(), "x"], "missed": [KEYS[1].hex()]}
    fetches = [route.Fetch(i, stored_copy("s1")) for i in range(2)]
    outcome = await block_transfers.import_blocks(inst, "b1", KEYS[:2], fetches, 5.0)
    assert outcome == transfers.Transferred((KEYS[0],))
    path, body = upstream.requests[0]
    assert path == "/kv/import"
    address = {"host": "10.0.0.9", "port": 7000}
    assert body["store"] == address
    assert body["blocks"] == [
        {"key": k.hex(), "generation": 7, "checksum": "c"} | address for k in KEYS[:2]
    ]
    await directory.flush()
    assert await sources_of(net.nodes["n2"], KEYS[:2]) == [{"e1", "s1"}, set()]
    assert (block_transfers.counts["imported"], block_transfers.counts["missed"]) == (
        1,
        1,
    )


IMPORT_ERRORS: list[tuple[int, object, float, str]] = [
    (500, {}, 0.0, "s1"),
    (200, {"imported": 3}, 0.0, "s1"),
    (200, {"imported": [], "missed": []}, 5.0, "s1"),
    (200, {"imported": [], "missed": []}, 0.0, "s2"),
]


@pytest.mark.parametrize(("status", "answer", "delay_s", "store"), IMPORT_ERRORS)
async def test_failed_import_is_a_value_in_time(
    transfer_setup: TransferSetup,
    status: int,
    answer: object,
    delay_s: float,
    store: str,
) -> None:
    """Guards against requests that fail or wait because an import fails."""
    upstream, inst, block_transfers = transfer_setup
    upstream.status, upstream.answer, upstream.delay_s = status, answer, delay_s
    fetches = [route.Fetch(0, stored_copy(store))]
    with trio.fail_after(2.0):
        outcome = await block_transfers.import_blocks(
            inst, "b1", KEYS[:1], fetches, 0.2
        )
    assert isinstance(outcome, transfers.TransferFailed)
    assert block_transfers.counts["failed"] == 1


async def test_export_orders_the_engine_and_records_the_copies(
    net: Net, transfer_setup: TransferSetup
) -> None:
    """Guards against exported copies that look-ups do not find."""
    upstream, inst, block_transfers = transfer_setup
    stored = {"key": KEYS[0].hex(), "generation": "5", "checksum": "d"}
    other = {"key": KEYS[9].hex(), "generation": "5", "checksum": "d"}
    upstream.answer = {"stored": [stored, other], "imported": [], "missed": []}
    export = placement.Export("e1", "s1", (0, 1), tuple(KEYS[:2]))
    fetch = route.Fetch(1, stored_copy("s1"))
    job = transfers.ExportJob(inst, "b1", "b1", export, (fetch,))
    outcome = await block_transfers.execute(job)
    assert outcome == transfers.Transferred((KEYS[0],))
    assert [path for path, _ in upstream.requests] == ["/kv/import", "/kv/export"]
    imported, exported = (body for _, body in upstream.requests)
    assert [b["key"] for b in imported["blocks"]] == [KEYS[1].hex()]
    assert [b["key"] for b in exported["blocks"]] == [k.hex() for k in KEYS[:2]]
    assert exported["store"] == {"host": "10.0.0.9", "port": 7000}
    await net.nodes["n1"].directory.flush()
    found = await net.nodes["n2"].directory.lookup(KEYS[:1])
    generation = exported["generation"]
    assert found.stored == ((index.StoredCopy("s1", "b1", generation, "d"),),)
    assert await sources_of(net.nodes["n2"], [KEYS[9]]) == [set()]


@pytest.mark.parametrize("is_import", [True, False])
async def test_transfers_are_pending_on_the_link_while_they_run(
    transfer_setup: TransferSetup, nursery: trio.Nursery, is_import: bool
) -> None:
    """Guards against reads over a link that other transfers already saturate."""
    upstream, inst, block_transfers = transfer_setup
    upstream.delay_s, upstream.status = 5.0, 500
    if is_import:
        fetches = [route.Fetch(i, stored_copy("s1")) for i in range(2)]
        nursery.start_soon(
            block_transfers.import_blocks, inst, "b1", KEYS[:2], fetches, 0.2
        )
    else:
        export = placement.Export("e1", "s1", (0, 1), tuple(KEYS[:2]))
        job = transfers.ExportJob(inst, "b1", "b1", export)
        nursery.start_soon(block_transfers.execute, job)
    await trio.sleep(0.05)
    assert block_transfers.backlog.pending_s() == {"s1": 1.0}
    if is_import:
        await trio.sleep(0.3)
    else:
        nursery.cancel_scope.cancel()
        with trio.CancelScope(shield=True):
            await trio.sleep(0.05)
    assert block_transfers.backlog.pending_s() == {}


async def test_export_queue_is_bounded(
    transfer_setup: TransferSetup, nursery: trio.Nursery
) -> None:
    """Guards against an unbounded queue of exports to a slow store."""
    upstream, inst, block_transfers = transfer_setup
    upstream.answer = {"stored": []}
    export = placement.Export("e1", "s1", (0,), (KEYS[0],))
    job = transfers.ExportJob(inst, "b1", "b1", export)
    accepted = [
        block_transfers.submit(job) for _ in range(transfers.MAX_QUEUED_EXPORTS + 5)
    ]
    assert accepted.count(False) == block_transfers.counts["exports_dropped"] == 5
    await nursery.start(block_transfers.run)
    with trio.fail_after(10):
        while len(upstream.requests) < transfers.MAX_QUEUED_EXPORTS:
            await trio.sleep(0.01)


CLEANER_CASES = [
    (200, 30.0, "deleted", 3),
    (404, 30.0, "absent", 3),
    (412, 30.0, "absent", 3),
    (503, 30.0, "failed", 4),
    (200, 50.0, "deleted", 4),
]


@pytest.mark.parametrize(("status", "free", "count", "left"), CLEANER_CASES)
async def test_full_stores_lose_their_cheapest_copies(
    net: Net,
    start_upstream: StartUpstream,
    status: int,
    free: float,
    count: str,
    left: int,
) -> None:
    """Guards against stores that stay full, and against deletes of newer copies."""
    upstream, inst = await start_upstream("s1", table.Role.STORE)
    upstream.status = status
    shard = net.nodes["n1"].shard
    out = index.Source("s0", "b1", is_store=True)
    shard.index.apply(index.BlockAdded(out, KEYS[0], 1, 7, "c"), 0.0)
    for i, k in enumerate(KEYS[:4]):
        shard.index.apply(index.BlockAdded(STORE, k, i + 1, 7, "c"), 0.0)
        shard.index.appraise([k], 4.0 - i, 0.0)
    views = [placement.Store("s1", "a", "b1", True, free, 1000.0)]
    gone = dataclasses.replace(views[0], id="s9")
    views += [gone, placement.Store("s0", "out", "b1", True, 1000.0, 1000.0)]
    pool = http_client.Pool()
    store_cleaner = cleaner.Cleaner(
        pool, shard, lambda: views, {"s1": inst}.get, lambda: {"out"}
    )
    await store_cleaner.clean()
    found = [bool(shard.index.lookup([k], 0.0).stored) for k in KEYS[:4]]
    assert found == [True, True, True, left == 4]
    is_low = free < 40.0
    assert store_cleaner.counts[count] == (1 if is_low else 0)
    expected = [(f"/blocks/{KEYS[3].hex()}", '"7-c"')] if is_low else []
    assert [(path, h["if-match"]) for path, h in upstream.requests] == expected


def test_slots_share_the_conversations() -> None:
    """Guards against one node that owns most of the index."""
    shards = cache.ShardMap()
    shards.update(f"n{i}" for i in range(6))
    counts = [0] * 6
    for i in range(cache.SHARD_SLOTS):
        owner = shards.owner(i)
        assert owner is not None
        counts[int(owner[1:])] += 1
    assert max(counts) < 1.2 * cache.SHARD_SLOTS / 6
    names = [f"n{i}" for i in range(6)]
    assert shards.owner(3) == hashing.rank("slot3", names)[0]


@pytest.mark.parametrize(
    ("out", "left"),
    [
        ({}, {"s1", "s2"}),
        ({"zones_out": frozenset({"z1"})}, {"s2"}),
        ({"instances_out": frozenset({"s2"})}, {"s1"}),
    ],
    ids=["all in service", "zone out", "instance out"],
)
async def test_stores_out_of_service_are_not_read(
    out: dict[str, frozenset[str]], left: set[str]
) -> None:
    """Guards against reads from a store that operators have taken out of service."""
    tables = table.Tables()
    inst = table.Instance("e1", table.Role.ENGINE, "127.0.0.1", 1, "z1")
    tables.upstreams["e1"] = table.Upstream(inst)
    mocks: list[typing.Any] = [mock.Mock() for _ in range(3)]
    cfg: typing.Any = mock.Mock(zone_delays_s={})
    cache_reuse = reuse.Reuse(
        cfg,
        route.MODES["ttft"],
        tables,
        *mocks,
        lambda: contract.Config(**out),
        lambda _: 0.1,
        prefill.PrefillBacklog(),
    )
    for name, zone in (("s1", "z1"), ("s2", "z2")):
        view = placement.Store(name, zone, "b1")
        cache_reuse.stores[name] = reuse.StoreState(view, 1e9)
    assert {store for store, _ in cache_reuse.links()} == left

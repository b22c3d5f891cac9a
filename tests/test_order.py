"""Tests of keyed calls on several nodes with in-memory platform services."""

import collections.abc

import pytest
import trio
import trio.testing

from snipelug_core import claim, refusal, session
from snipelug_net import http_client, http_server
from snipelug_node import executor, expiry, order, ports
from tests import fakes

Clock = trio.testing.MockClock
DOWN = refusal.refuse(refusal.NO_UPSTREAM, "none")


class Upstream:
    """Counts executions; each answer names its execution."""

    def __init__(self, size: int = 2, delay_s: float = 0.0) -> None:
        self.runs = 0
        self.size = size
        self.delay_s = delay_s
        self.before_check_s = 0.0
        self.broken = ""
        self.has_no_slot = False

    async def send(
        self, pre_send_check: http_client.PreSendCheck, send_by: float
    ) -> order.SendOutcome:
        if self.has_no_slot:
            await trio.sleep_until(send_by)
            return claim.NotSent(DOWN)
        await trio.sleep(self.before_check_s)
        if self.broken == "before":
            raise RuntimeError("broken")
        if not pre_send_check(0.0):
            return claim.NotSent(DOWN)
        self.runs += 1
        await trio.sleep(self.delay_s)
        if self.broken == "after":
            raise RuntimeError("broken")
        body = str(self.runs).encode() * self.size
        return claim.Delivered(claim.Response(201, {"x": "y"}, body))


class Cluster:
    """Nodes on one table service and one upstream."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.tables = fakes.Tables()
        self.objects = fakes.Objects()
        self.network = fakes.Network()
        self.upstream = Upstream()
        self.nodes: dict[str, order.KeyedCalls] = {}
        self.leases: dict[str, session.Lease] = {}
        self.scopes: dict[str, trio.CancelScope] = {}

    async def start(self, name: str, process: str = "p") -> None:
        lease = session.Lease(name, f"{name}{process}")
        await executor.run(self.tables, session.renew(lease, trio.current_time()))
        lease.valid_until = float("inf")
        self.leases[name] = lease
        node = order.KeyedCalls(
            lease.process,
            lease,
            self.tables,
            self.objects,
            self.network.join(name),
            trio.current_time,
        )
        self.nodes[name] = node
        self.scopes[name] = await self.nursery.start(self._serve, node)

    async def _serve(
        self,
        node: order.KeyedCalls,
        task_status: trio.TaskStatus[trio.CancelScope] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        with trio.CancelScope() as scope:
            task_status.started(scope)
            await node.serve()

    def kill(self, name: str) -> None:
        self.scopes[name].cancel()
        self.network.cut.add(name)

    async def revoke(self, name: str) -> None:
        del self.tables.rows[(session.TABLE, self.leases[name].session)]

    async def call(
        self, name: str, body: bytes = b"b", wait_s: float = 30.0
    ) -> order.Response | refusal.Refusal:
        until = trio.current_time() + wait_s
        return await self.nodes[name].run(
            "team", "key", "POST", "/x", body, self.upstream.send, until
        )

    def count(self) -> tuple[int, int]:
        counted = (self.tables.writes, self.tables.reads)
        self.tables.writes = self.tables.reads = 0
        return counted


@pytest.fixture
async def cluster(nursery: trio.Nursery) -> collections.abc.AsyncIterator[Cluster]:
    started = Cluster(nursery)
    await started.start("a")
    await started.start("b")
    started.count()
    yield started
    nursery.cancel_scope.cancel()


def code(result: order.Response | refusal.Refusal) -> str:
    assert isinstance(result, refusal.Refusal)
    return f"{result.kind.code} {result.run_state}"


async def test_store_operations_of_an_order(
    cluster: Cluster, autojump_clock: Clock
) -> None:
    """Guards against more store load than the table service can carry."""
    assert await cluster.call("a") == order.Response(201, {"x": "y"}, b"11")
    assert cluster.count() == (2, 0)
    repeat = await cluster.call("b")
    assert repeat == order.Response(201, {"x": "y"}, b"11", repeated=True)
    assert cluster.count() == (1, 1)
    cluster.upstream.before_check_s = 11.0
    until = trio.current_time() + 30
    await cluster.nodes["a"].run(
        "team", "other", "POST", "/x", b"", cluster.upstream.send, until
    )
    assert cluster.count() == (2, 0)
    assert cluster.upstream.runs == 1


async def test_lost_answers_of_both_writes(
    cluster: Cluster, autojump_clock: Clock
) -> None:
    """Guards against a second run after the answer of a claim was lost."""
    cluster.tables.lose = 1
    assert isinstance(await cluster.call("a"), order.Response)
    assert cluster.count() == (2, 1)
    cluster.tables.lose = 2
    assert isinstance(await cluster.call("b"), order.Response)
    assert cluster.upstream.runs == 1


async def test_store_outage_before_the_claim(
    cluster: Cluster, autojump_clock: Clock
) -> None:
    """Guards against a send without a claim."""
    cluster.tables.down = True
    assert code(await cluster.call("a")) == "store_unavailable not_run"
    assert cluster.upstream.runs == 0
    cluster.tables.down = False
    assert isinstance(await cluster.call("b"), order.Response)
    assert cluster.upstream.runs == 1


async def test_claim_abandoned_by_a_living_node_is_taken_over(
    cluster: Cluster, autojump_clock: Clock
) -> None:
    """Guards against a claim that took effect unseen and blocks its key."""
    tables = cluster.tables

    async def no_read(table_name: str, key: str) -> ports.Unavailable:
        return ports.Unavailable("lost", False)

    read, tables.read = tables.read, no_read  # type: ignore[method-assign,assignment]
    tables.lose = 1
    assert code(await cluster.call("a")) == "store_unavailable not_run"
    tables.read = read  # type: ignore[method-assign]
    assert isinstance(await cluster.call("b"), order.Response)
    assert cluster.upstream.runs == 1


async def test_call_that_could_not_be_sent_is_refused_in_time(
    cluster: Cluster, autojump_clock: Clock
) -> None:
    """Guards against "unknown" for an order that waited for a slot until its deadline.

    Right after a planned stop the service's slots may be in use for 14 s.
    """
    cluster.upstream.has_no_slot = True
    refused = await cluster.call("a", wait_s=6.0)
    assert code(refused) == f"{DOWN.kind.code} not_run"
    cluster.upstream.has_no_slot = False
    assert isinstance(await cluster.call("a"), order.Response)


async def test_repeat_waits_for_the_running_call(
    cluster: Cluster, autojump_clock: Clock
) -> None:
    """Guards against a second run, or a refusal, while the first still runs."""
    cluster.upstream.delay_s = 7.0
    results: list[object] = []

    async def repeat(name: str, wait_s: float) -> None:
        await trio.sleep(1)
        results.append(await cluster.call(name, wait_s=wait_s))

    async with trio.open_nursery() as nursery:
        for name, wait_s in [("b", 30), ("a", 30), ("b", 3), ("a", 3)]:
            nursery.start_soon(repeat, name, wait_s)
        first = await cluster.call("a")
    assert isinstance(first, order.Response)
    assert cluster.upstream.runs == 1
    again = order.Response(first.status, first.headers, first.body, repeated=True)
    assert results.count(again) == 2
    late = [r for r in results if isinstance(r, refusal.Refusal)]
    assert [code(r) for r in late] == ["in_progress unknown"] * 2


async def test_node_death_leaves_unknown_until_settled(
    cluster: Cluster, autojump_clock: Clock
) -> None:
    """Guards against a second run after the claiming node died."""
    cluster.upstream.delay_s = 7.0
    with trio.move_on_after(1):
        await cluster.call("a")
    cluster.kill("a")
    assert code(await cluster.call("b", wait_s=5)) == "in_progress unknown"
    node = cluster.nodes["b"]
    verdict = claim.Verdict.NOT_RUN
    settle = await node.settle("team", "key", verdict, "operator")
    assert isinstance(settle, claim.NotSettleable)
    await cluster.revoke("a")
    assert code(await cluster.call("b")) == "outcome_unknown unknown"
    page = await node.unresolved_claims("team")
    assert isinstance(page, order.UnresolvedClaims)
    assert [(found.key, found.node) for found in page.claims] == [("key", "a")]
    settle = await node.settle("team", "key", verdict, "operator")
    assert isinstance(settle, claim.TooEarly)
    await trio.sleep(settle.wait_s)
    assert await node.settle("team", "key", verdict, "op") == order.Settled(verdict)
    assert isinstance(
        await node.settle("team", "key", verdict, "op"), claim.NotSettleable
    )
    assert cluster.upstream.runs == 1
    assert isinstance(await cluster.call("b"), order.Response)
    assert cluster.upstream.runs == 2


async def test_restarted_node_does_not_repeat(
    cluster: Cluster, autojump_clock: Clock
) -> None:
    """Guards against a new process that takes over its predecessor's claims."""
    cluster.upstream.delay_s = 7.0
    with trio.move_on_after(1):
        await cluster.call("a")
    cluster.kill("a")
    cluster.network.cut.clear()
    await cluster.start("a", "q")
    for name in ("a", "b"):
        assert code(await cluster.call(name)) == "outcome_unknown unknown"
    assert cluster.upstream.runs == 1


async def test_caller_that_leaves_does_not_stop_its_call(
    cluster: Cluster, autojump_clock: Clock
) -> None:
    """Guards against an order whose result is lost with the connection."""
    cluster.upstream.delay_s = 2.0
    with trio.move_on_after(1):
        await cluster.call("a")
    await cluster.nodes["a"].drain()
    assert cluster.nodes["a"].active_calls() == []
    answer = await cluster.call("b")
    assert isinstance(answer, order.Response)
    assert (answer.repeated, cluster.upstream.runs) == (True, 1)


async def test_outage_after_the_run(cluster: Cluster, autojump_clock: Clock) -> None:
    """Guards against a caller without answer, and a result never recorded."""
    cluster.upstream.delay_s = 1.0
    start = trio.current_time()

    async def cut_store() -> None:
        await trio.sleep(0.5)
        cluster.tables.down = True

    async with trio.open_nursery() as nursery:
        nursery.start_soon(cut_store)
        assert isinstance(await cluster.call("a"), order.Response)
    assert trio.current_time() - start < 1 + order.RECORD_WAIT_S + 0.5
    assert len(cluster.nodes["a"].active_calls()) == 1
    joined = await cluster.call("a")
    assert isinstance(joined, order.Response)
    await trio.sleep(60)
    cluster.tables.down = False
    await cluster.nodes["a"].drain()
    cluster.kill("a")
    assert isinstance(await cluster.call("b"), order.Response)
    assert cluster.upstream.runs == 1


async def test_large_answer_goes_to_the_object_store(
    cluster: Cluster, autojump_clock: Clock
) -> None:
    """Guards against rows larger than the table service should hold."""
    cluster.upstream.size = order.MAX_INLINE_BYTES + 1
    first = await cluster.call("a")
    assert isinstance(first, order.Response)
    assert len(cluster.objects.contents) == 1
    assert all(len(content) < 1000 for _, content in cluster.tables.rows.values())
    again = await cluster.call("b")
    assert isinstance(again, order.Response)
    assert again.body == first.body
    cluster.objects.down = True
    assert code(await cluster.call("b")) == "store_unavailable ran"


@pytest.mark.parametrize(
    ("broken", "expected", "later"),
    [
        ("before", "upstream_lost not_run", ""),
        ("after", "upstream_lost unknown", "outcome_unknown unknown"),
    ],
)
async def test_dispatch_that_raises(
    cluster: Cluster, autojump_clock: Clock, broken: str, expected: str, later: str
) -> None:
    """Guards against a crash, and ``not_run`` once bytes may have been sent."""
    cluster.upstream.broken = broken
    assert code(await cluster.call("a")) == expected
    cluster.upstream.broken = ""
    result = await cluster.call("b")
    if later:
        assert code(result) == later
    assert cluster.upstream.runs == 1


async def test_refused_before_anything_is_written(
    cluster: Cluster, autojump_clock: Clock
) -> None:
    """Guards against claims with bad keys, other bodies or a lapsed lease."""
    bad = await cluster.nodes["a"].run("t", "", "POST", "/", b"", cluster.upstream.send)
    assert code(bad) == "bad_request not_run"
    cluster.leases["a"].valid_until = 0.0
    assert code(await cluster.call("a")) == "node_not_current not_run"
    assert cluster.count() == (0, 0)
    await cluster.call("b")
    assert code(await cluster.call("b", body=b"c")) == "key_reused not_run"
    assert cluster.upstream.runs == 1


async def test_order_over_a_real_connection(nursery: trio.Nursery) -> None:
    """Guards against a last check that the HTTP client does not evaluate."""
    received: list[bytes] = []

    async def handler(req: http_server.Request) -> http_server.Response:
        received.append(req.body)
        return http_server.Response(200, b"made")

    port = await nursery.start(http_server.Server(handler).serve, "127.0.0.1", 0)
    pool = http_client.Pool()

    async def send(
        pre_send_check: http_client.PreSendCheck, send_by: float
    ) -> order.SendOutcome:
        call = http_client.Call(("127.0.0.1", port), "POST", "/x", body=b"b")
        match await pool.fetch(call, pre_send_check=pre_send_check):
            case http_client.FullResponse(status, headers, body):
                return claim.Delivered(claim.Response(status, headers, body))
            case http_client.NotSent() | http_client.Withheld():
                return claim.NotSent(DOWN)
        lost = refusal.refuse(refusal.UPSTREAM_LOST, "cut", refusal.RunState.UNKNOWN)
        return claim.OutcomeUnknown(lost)

    cluster = Cluster(nursery)
    await cluster.start("a")
    for repeated in (False, True):
        result = await cluster.nodes["a"].run("t", "k", "POST", "/x", b"b", send)
        assert isinstance(result, order.Response)
        assert (result.body, result.repeated) == (b"made", repeated)
    assert received == [b"b"]
    nursery.cancel_scope.cancel()


async def test_finished_claims_expire(cluster: Cluster, autojump_clock: Clock) -> None:
    """Guards against claims kept for ever, keys freed early and lost open claims."""
    node, claims = cluster.nodes["a"], cluster.tables.rows
    sweeper = expiry.Expiry(
        cluster.tables, cluster.objects, lambda: ["team"], trio.current_time
    )
    ahead = expiry.Expiry(
        cluster.tables,
        cluster.objects,
        lambda: ["team"],
        lambda: trio.current_time() + 10 * claim.RETENTION_S,
    )

    async def call(key: str, size: int = 2, broken: str = "") -> None:
        cluster.upstream.size, cluster.upstream.broken = size, broken
        until = trio.current_time() + 30
        await node.run("team", key, "POST", "/x", b"", cluster.upstream.send, until)

    async def left_after_passes(*sweepers: expiry.Expiry) -> set[str]:
        for item in sweepers * 2:
            await item.sweep("team")
        rows = [stored for (name, _), stored in claims.items() if name == claim.TABLE]
        decoded = [executor.decode(*row, claim.Row) for row in rows]
        return {found.content.key for found in decoded}

    await call("small")
    await call("large", size=order.MAX_INLINE_BYTES + 1)
    await call("released", broken="before")
    await call("open", broken="after")
    everything = {"small", "large", "released", "open"}
    await trio.sleep(claim.RETENTION_S - 60)
    assert await left_after_passes(sweeper, ahead) == everything
    await trio.sleep(120)
    assert await left_after_passes(sweeper, ahead) == everything
    await call("new")
    cluster.objects.down = True
    assert await left_after_passes(sweeper) == {"large", "open", "new"}
    cluster.objects.down = False
    assert await left_after_passes(sweeper) == {"open", "new"}
    assert cluster.objects.contents == {}


async def test_open_claims_among_large_answers(
    cluster: Cluster, autojump_clock: Clock
) -> None:
    """Guards against a page of claims above the limit of a response."""
    cluster.upstream.size = order.MAX_INLINE_BYTES // 3
    node = cluster.nodes["a"]
    until = trio.current_time() + 30
    for number in range(300):
        key = f"key-{number}"
        cluster.upstream.broken = "after" if number % 100 == 99 else ""
        await node.run("team", key, "POST", "/x", b"", cluster.upstream.send, until)
    found: list[order.UnresolvedClaim] = []
    after = ""
    while not found or after:
        page = await node.unresolved_claims("team", after)
        assert isinstance(page, order.UnresolvedClaims), page
        found += page.claims
        after = page.after
    assert {item.key for item in found} == {"key-99", "key-199", "key-299"}

"""Tests keyed calls on several nodes with in-memory platform services."""

import collections.abc

import pytest
import trio
import trio.testing

from snipelug_core import claim, refusal, session
from snipelug_net import http_client, http_server
from snipelug_node import executor, expiry, order, ports
from tests import fakes

MockClock = trio.testing.MockClock
NO_UPSTREAM_REFUSAL = refusal.refuse(refusal.NO_UPSTREAM, "none")


class Upstream:
    """Counts executions; the body of each response has the number of its execution."""

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
            return claim.NotSent(NO_UPSTREAM_REFUSAL)
        await trio.sleep(self.before_check_s)
        if self.broken == "before":
            raise RuntimeError("broken")
        if not pre_send_check(0.0):
            return claim.NotSent(NO_UPSTREAM_REFUSAL)
        self.runs += 1
        await trio.sleep(self.delay_s)
        if self.broken == "after":
            raise RuntimeError("broken")
        body = str(self.runs).encode() * self.size
        return claim.Delivered(claim.Response(201, {"x": "y"}, body))


class Cluster:
    """Several nodes that share a table service and an upstream."""

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
        wait_until = trio.current_time() + wait_s
        return await self.nodes[name].run(
            "team", "key", "POST", "/x", body, self.upstream.send, wait_until
        )

    def take_counts(self) -> tuple[int, int]:
        counts = (self.tables.writes, self.tables.reads)
        self.tables.writes = self.tables.reads = 0
        return counts


@pytest.fixture
async def cluster(nursery: trio.Nursery) -> collections.abc.AsyncIterator[Cluster]:
    new_cluster = Cluster(nursery)
    await new_cluster.start("a")
    await new_cluster.start("b")
    new_cluster.take_counts()
    yield new_cluster
    nursery.cancel_scope.cancel()


def code_and_state(result: order.Response | refusal.Refusal) -> str:
    assert isinstance(result, refusal.Refusal)
    return f"{result.kind.code} {result.run_state}"


async def test_store_operations_of_a_keyed_call(
    cluster: Cluster, autojump_clock: MockClock
) -> None:
    """Guards against more operations per call than the table service can handle."""
    assert await cluster.call("a") == order.Response(201, {"x": "y"}, b"11")
    assert cluster.take_counts() == (2, 0)
    repeat = await cluster.call("b")
    assert repeat == order.Response(201, {"x": "y"}, b"11", repeated=True)
    assert cluster.take_counts() == (1, 1)
    cluster.upstream.before_check_s = 11.0
    wait_until = trio.current_time() + 30
    await cluster.nodes["a"].run(
        "team", "other", "POST", "/x", b"", cluster.upstream.send, wait_until
    )
    assert cluster.take_counts() == (2, 0)
    assert cluster.upstream.runs == 1


async def test_lost_responses_of_both_writes(
    cluster: Cluster, autojump_clock: MockClock
) -> None:
    """Guards against a second run after the response to a claim's write was lost."""
    cluster.tables.lose = 1
    assert isinstance(await cluster.call("a"), order.Response)
    assert cluster.take_counts() == (2, 1)
    cluster.tables.lose = 2
    assert isinstance(await cluster.call("b"), order.Response)
    assert cluster.upstream.runs == 1


async def test_store_outage_before_the_claim(
    cluster: Cluster, autojump_clock: MockClock
) -> None:
    """Guards against a send without a stored claim."""
    cluster.tables.down = True
    assert code_and_state(await cluster.call("a")) == "store_unavailable not_run"
    assert cluster.upstream.runs == 0
    cluster.tables.down = False
    assert isinstance(await cluster.call("b"), order.Response)
    assert cluster.upstream.runs == 1


async def test_claim_abandoned_by_a_running_node_is_taken_over(
    cluster: Cluster, autojump_clock: MockClock
) -> None:
    """Guards against a claim whose write seemed lost and that blocks its key."""
    tables = cluster.tables

    async def no_read(table_name: str, key: str) -> ports.Unavailable:
        return ports.Unavailable("lost", False)

    read, tables.read = tables.read, no_read  # type: ignore[method-assign,assignment]
    tables.lose = 1
    assert code_and_state(await cluster.call("a")) == "store_unavailable not_run"
    tables.read = read  # type: ignore[method-assign]
    assert isinstance(await cluster.call("b"), order.Response)
    assert cluster.upstream.runs == 1


async def test_call_that_could_not_be_sent_is_refused_before_its_deadline(
    cluster: Cluster, autojump_clock: MockClock
) -> None:
    """Guards against ``unknown`` for a call that waits for a slot until its deadline.

    Right after a planned stop the service's slots may be in use for 14 s.
    """
    cluster.upstream.has_no_slot = True
    refused = await cluster.call("a", wait_s=6.0)
    assert code_and_state(refused) == f"{NO_UPSTREAM_REFUSAL.kind.code} not_run"
    cluster.upstream.has_no_slot = False
    assert isinstance(await cluster.call("a"), order.Response)


async def test_repeat_waits_for_the_running_call(
    cluster: Cluster, autojump_clock: MockClock
) -> None:
    """Guards against a second run or a refusal while the first run is in progress."""
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
    repeated_response = order.Response(
        first.status, first.headers, first.body, repeated=True
    )
    assert results.count(repeated_response) == 2
    refusals = [r for r in results if isinstance(r, refusal.Refusal)]
    assert [code_and_state(r) for r in refusals] == ["in_progress unknown"] * 2


async def test_outcome_is_unknown_after_a_crash_until_settled(
    cluster: Cluster, autojump_clock: MockClock
) -> None:
    """Guards against a second run after the claiming node crashed."""
    cluster.upstream.delay_s = 7.0
    with trio.move_on_after(1):
        await cluster.call("a")
    cluster.kill("a")
    assert code_and_state(await cluster.call("b", wait_s=5)) == "in_progress unknown"
    node = cluster.nodes["b"]
    verdict = claim.Verdict.NOT_RUN
    settle = await node.settle("team", "key", verdict, "operator")
    assert isinstance(settle, claim.NotSettleable)
    await cluster.revoke("a")
    assert code_and_state(await cluster.call("b")) == "outcome_unknown unknown"
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
    cluster: Cluster, autojump_clock: MockClock
) -> None:
    """Guards against a restarted node that executes its predecessor's calls again."""
    cluster.upstream.delay_s = 7.0
    with trio.move_on_after(1):
        await cluster.call("a")
    cluster.kill("a")
    cluster.network.cut.clear()
    await cluster.start("a", "q")
    for name in ("a", "b"):
        assert code_and_state(await cluster.call(name)) == "outcome_unknown unknown"
    assert cluster.upstream.runs == 1


async def test_disconnect_of_the_caller_does_not_stop_the_call(
    cluster: Cluster, autojump_clock: MockClock
) -> None:
    """Guards against losing the result of a call together with its connection."""
    cluster.upstream.delay_s = 2.0
    with trio.move_on_after(1):
        await cluster.call("a")
    await cluster.nodes["a"].drain()
    assert cluster.nodes["a"].active_calls() == []
    response = await cluster.call("b")
    assert isinstance(response, order.Response)
    assert (response.repeated, cluster.upstream.runs) == (True, 1)


async def test_outage_after_the_run(
    cluster: Cluster, autojump_clock: MockClock
) -> None:
    """Guards against callers without a response and results that are never recorded."""
    cluster.upstream.delay_s = 1.0
    start = trio.current_time()

    async def stop_store() -> None:
        await trio.sleep(0.5)
        cluster.tables.down = True

    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop_store)
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


async def test_large_response_is_stored_as_an_object(
    cluster: Cluster, autojump_clock: MockClock
) -> None:
    """Guards against rows that are too large for the table service."""
    cluster.upstream.size = order.MAX_INLINE_BYTES + 1
    first = await cluster.call("a")
    assert isinstance(first, order.Response)
    assert len(cluster.objects.contents) == 1
    assert all(len(content) < 1000 for _, content in cluster.tables.rows.values())
    repeated_response = await cluster.call("b")
    assert isinstance(repeated_response, order.Response)
    assert repeated_response.body == first.body
    cluster.objects.down = True
    assert code_and_state(await cluster.call("b")) == "store_unavailable ran"


@pytest.mark.parametrize(
    ("broken", "expected", "later"),
    [
        ("before", "upstream_lost not_run", ""),
        ("after", "upstream_lost unknown", "outcome_unknown unknown"),
    ],
)
async def test_dispatch_that_raises(
    cluster: Cluster, autojump_clock: MockClock, broken: str, expected: str, later: str
) -> None:
    """Guards against a crash, and against ``not_run`` after a possible send."""
    cluster.upstream.broken = broken
    assert code_and_state(await cluster.call("a")) == expected
    cluster.upstream.broken = ""
    result = await cluster.call("b")
    if later:
        assert code_and_state(result) == later
    assert cluster.upstream.runs == 1


async def test_refused_before_anything_is_written(
    cluster: Cluster, autojump_clock: MockClock
) -> None:
    """Guards against claims with invalid keys, other bodies or an expired lease."""
    bad = await cluster.nodes["a"].run("t", "", "POST", "/", b"", cluster.upstream.send)
    assert code_and_state(bad) == "bad_request not_run"
    cluster.leases["a"].valid_until = 0.0
    assert code_and_state(await cluster.call("a")) == "node_not_current not_run"
    assert cluster.take_counts() == (0, 0)
    await cluster.call("b")
    assert code_and_state(await cluster.call("b", body=b"c")) == "key_reused not_run"
    assert cluster.upstream.runs == 1


async def test_keyed_call_over_a_real_connection(nursery: trio.Nursery) -> None:
    """Guards against a pre-send check that the HTTP client does not evaluate."""
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
                return claim.NotSent(NO_UPSTREAM_REFUSAL)
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


async def test_finished_claims_expire(
    cluster: Cluster, autojump_clock: MockClock
) -> None:
    """Guards against claims kept forever, keys freed early and lost open claims."""
    node, claims = cluster.nodes["a"], cluster.tables.rows
    sweeper = expiry.Expiry(
        cluster.tables, cluster.objects, lambda: ["team"], trio.current_time
    )
    fast_clock_sweeper = expiry.Expiry(
        cluster.tables,
        cluster.objects,
        lambda: ["team"],
        lambda: trio.current_time() + 10 * claim.RETENTION_S,
    )

    async def call(key: str, size: int = 2, broken: str = "") -> None:
        cluster.upstream.size, cluster.upstream.broken = size, broken
        wait_until = trio.current_time() + 30
        await node.run(
            "team", key, "POST", "/x", b"", cluster.upstream.send, wait_until
        )

    async def keys_after_sweeps(*sweepers: expiry.Expiry) -> set[str]:
        for item in sweepers * 2:
            await item.sweep("team")
        rows = [stored for (name, _), stored in claims.items() if name == claim.TABLE]
        decoded = [executor.decode(*row, claim.Row) for row in rows]
        return {found.content.key for found in decoded}

    await call("small")
    await call("large", size=order.MAX_INLINE_BYTES + 1)
    await call("released", broken="before")
    await call("open", broken="after")
    all_keys = {"small", "large", "released", "open"}
    await trio.sleep(claim.RETENTION_S - 60)
    assert await keys_after_sweeps(sweeper, fast_clock_sweeper) == all_keys
    await trio.sleep(120)
    assert await keys_after_sweeps(sweeper, fast_clock_sweeper) == all_keys
    await call("new")
    cluster.objects.down = True
    assert await keys_after_sweeps(sweeper) == {"large", "open", "new"}
    cluster.objects.down = False
    assert await keys_after_sweeps(sweeper) == {"open", "new"}
    assert cluster.objects.contents == {}


async def test_unresolved_claims_among_large_responses(
    cluster: Cluster, autojump_clock: MockClock
) -> None:
    """Guards against a page of claims that exceeds the size limit of a response."""
    cluster.upstream.size = order.MAX_INLINE_BYTES // 3
    node = cluster.nodes["a"]
    wait_until = trio.current_time() + 30
    for number in range(300):
        key = f"key-{number}"
        cluster.upstream.broken = "after" if number % 100 == 99 else ""
        await node.run(
            "team", key, "POST", "/x", b"", cluster.upstream.send, wait_until
        )
    found: list[order.UnresolvedClaim] = []
    after = ""
    while not found or after:
        page = await node.unresolved_claims("team", after)
        assert isinstance(page, order.UnresolvedClaims), page
        found += page.claims
        after = page.after
    assert {item.key for item in found} == {"key-99", "key-199", "key-299"}

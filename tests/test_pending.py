"""Tests of the exchange of pending prefill between nodes."""

import msgspec
import pytest
import trio

from snipelug_core import prefill
from snipelug_node import pending
from tests import test_cache

UPSTREAMS = [f"e{i}" for i in range(12)]


class Member:
    """A node with its sums of pending work, its backlog and its exchange."""

    def __init__(self, node: test_cache.Node) -> None:
        self.sums = pending.PendingSums()
        self.sums.register(node)
        self.backlog = prefill.PrefillBacklog()
        self.exchange = pending.Exchange(
            node, self.backlog, self.sums, lambda: UPSTREAMS
        )

    def estimate_s(self, upstream: str) -> float:
        return self.backlog.estimate_s(upstream, 0, trio.current_time())


@pytest.fixture
def net() -> test_cache.Net:
    net = test_cache.Net()
    for name in ("n1", "n2", "n3"):
        net.add(name)
    return net


@pytest.fixture
def members(net: test_cache.Net) -> list[Member]:
    return [Member(node) for node in net.nodes.values()]


async def exchange(members: list[Member]) -> None:
    for _ in range(2):
        for member in members:
            await member.exchange.exchange()


async def test_nodes_learn_what_others_have_pending(
    members: list[Member], autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against nodes that unknowingly send long prompts to the same upstream."""
    for i, member in enumerate(members):
        for upstream in UPSTREAMS:
            member.backlog.sent(upstream, "r", 1.0 + i, trio.current_time())
    await exchange(members)
    for member in members:
        assert [member.estimate_s(u) for u in UPSTREAMS] == [6.0] * len(UPSTREAMS)
    members[0].backlog.first_token("e0", "r", trio.current_time())
    await exchange(members)
    assert members[1].estimate_s("e0") == 5.0
    assert members[0].estimate_s("e0") == 5.0


async def test_many_instances_are_reported_in_several_messages(
    members: list[Member], autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a message that is rejected because it has too many entries."""
    names = [f"e{i}" for i in range(3 * pending.MAX_UPSTREAMS + 1)]
    for member in members:
        member.exchange.upstreams = lambda: names
    for name in names:
        members[0].backlog.sent(name, "r", 1.0, trio.current_time())
    for _ in range(2):
        for member in members:
            await member.exchange.exchange()
    assert {members[1].estimate_s(name) for name in names} == {1.0}


async def test_old_and_lost_sums_are_not_used(
    net: test_cache.Net,
    members: list[Member],
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against counting the pending work of a dead node forever."""
    members[1].backlog.sent("e0", "r", 9.0, trio.current_time())
    await exchange(members)
    assert members[0].estimate_s("e0") == 9.0
    await trio.sleep(1.0)
    assert members[0].estimate_s("e0") == 8.0
    await trio.sleep(prefill.PEER_SUM_MAX_AGE_S)
    assert members[0].estimate_s("e0") == 0.0
    net.unreachable = set(net.nodes)
    await exchange(members)
    assert members[0].estimate_s("e0") == 0.0
    net.unreachable = set()
    await members[0].exchange.exchange()
    assert members[0].estimate_s("e0") == 0.0
    await trio.sleep(2 * prefill.PEER_SUM_MAX_AGE_S)
    for member in members:
        member.sums.prune()
        assert not member.sums._reported


async def test_upstreams_that_are_gone_are_forgotten(
    members: list[Member], autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against memory that grows with each replaced upstream."""
    members[1].backlog.sent("e0", "r", 9.0, trio.current_time())
    await exchange(members)
    members[0].backlog.retain({"e1"})
    assert members[0].estimate_s("e0") == 0.0


@pytest.mark.parametrize("work_s", [-1.0, float("nan"), 1e9, "x"])
def test_malformed_values_are_refused(work_s: object) -> None:
    """Guards against a faulty peer that makes an upstream appear idle or full."""
    data = msgspec.msgpack.encode({"node": "n", "work_s": {"e0": work_s}})
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(data, type=pending.Pending)

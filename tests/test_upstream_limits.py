"""Tests of how nodes share the rate limits that upstreams name."""

import dataclasses
import logging

import pytest
import trio
import trio.testing

from snipelug_core import named_limit, shared_rate
from snipelug_net import http_client
from snipelug_relay import (
    announce,
    clock,
    messages,
    ports,
    state,
    stats,
    upstream_limits,
)
from tests import platform_world, port_numbers, relay_builders, scripted

ENTRY = relay_builders.entry("u1", born=1)
NONE = named_limit.Answer(None)
THREE = named_limit.Answer(3.0)


@dataclasses.dataclass
class Peer:
    """One node without the relay."""

    announcer: announce.Announcer
    state: state.State

    def hear(self, answer: named_limit.Answer, asked_s_ago: float = 0.0) -> None:
        """Record an answer of the upstream that has just arrived."""
        upstream = self.state.fleet.upstreams["u1"]
        self.announcer.record_limit(upstream, answer, clock.now() - asked_s_ago)

    @property
    def per_s(self) -> float | None:
        """The limit that the node knows."""
        return self.state.fleet.upstreams["u1"].limit_per_s


def build(number: int) -> Peer:
    host = f"127.0.0.{number}"
    addr = (host, *port_numbers.free_ports(1, host))
    node_state = state.State(
        ports.Settings(f"n{number}", "a", addr, addr, addr, peers=addr)
    )
    node_state.fleet.put(ENTRY, clock.now())
    return Peer(announce.Announcer(addr, node_state), node_state)


async def start(nursery: trio.Nursery, *peers: Peer) -> None:
    """Introduce nodes to each other and run their announcers."""
    members = [
        ports.Member(p.state.cfg.node_id, "a", 0.0, p.state.cfg.peers) for p in peers
    ]
    for peer in peers:
        peer.state.members = peer.state.recent_members = members
        nursery.start_soon(peer.announcer.run)
        nursery.start_soon(peer.announcer.run_limits)
    await trio.testing.wait_all_tasks_blocked()


async def wait_for(peer: Peer, per_s: float | None) -> None:
    with trio.fail_after(5.0):
        while peer.per_s != per_s:
            await trio.sleep(0.01)


async def test_other_nodes_learn_of_a_limit_its_change_and_its_end(
    nursery: trio.Nursery, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against nodes that send at will until the upstream answers them too."""
    caplog.set_level(logging.INFO)
    first, second = build(1), build(2)
    await start(nursery, first, second)
    values = (3.0, 0.0, 4.9, None)
    for per_s in values:
        # Statements count as later than what was heard by the delay of a message.
        await trio.sleep(upstream_limits.MAX_MESSAGE_DELAY_S + 0.3)
        first.hear(named_limit.Answer(per_s))
        await wait_for(second, per_s)
    nursery.cancel_scope.cancel()
    events = [vars(r) for r in caplog.records if r.getMessage() == "upstream_limited"]
    for source in ("response", "node"):
        found = [(e["before"], e["per_s"]) for e in events if e["source"] == source]
        assert found == list(zip((None, *values[:-1]), values, strict=True))


async def test_node_that_joins_learns_of_a_limit(
    nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a node that never learns of a limit as its datagram was lost."""
    monkeypatch.setattr(upstream_limits, "REPEAT_INTERVAL_S", 0.3)
    first, second = build(1), build(2)
    first.hear(THREE)
    await start(nursery, first, second)
    await wait_for(second, 3.0)
    nursery.cancel_scope.cancel()


async def test_node_does_not_repeat_what_it_heard_from_others(
    nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against datagrams whose number grows with the square of the nodes."""
    monkeypatch.setattr(upstream_limits, "REPEAT_INTERVAL_S", 0.1)
    first, second = build(1), build(2)
    await start(nursery, first, second)
    told = messages.Limited("u1", 1, 3.0, 0.0, 0.1)
    first.announcer._handle(("127.0.0.3", 1), told)
    assert first.per_s == 3.0
    await trio.sleep(1.0)
    assert second.per_s is None
    first.hear(THREE)
    await wait_for(second, 3.0)
    nursery.cancel_scope.cancel()


MESSAGES = [
    # What the node heard itself and how long ago, a message, and the limit after it.
    (None, messages.Limited("u1", 1, 3.0, 0.0, 0.1), 3.0),
    (None, messages.Limited("u1", 1, None, 0.0, 0.1), None),
    (None, messages.Limited("u1", 2, 3.0, 0.0, 0.1), None),
    (None, messages.Limited("u9", 1, 3.0, 0.0, 0.1), None),
    (5.0, messages.Limited("u1", 1, 3.0, 0.2, 0.4), 3.0),
    (5.0, messages.Limited("u1", 1, 9.0, 0.2, 0.4), 9.0),
    (5.0, messages.Limited("u1", 1, None, 0.2, 0.4), None),
    (5.0, messages.Limited("u1", 1, 3.0, 1.5, 1.6), 5.0),
    (5.0, messages.Limited("u1", 1, None, 1.5, 1.6), 5.0),
    (5.0, messages.Limited("u1", 1, None, 0.2, 1.6), 5.0),
    # A time that a message may take is allowed for.
    (5.0, messages.Limited("u1", 1, None, 0.2, 0.99), 5.0),
    # The answer cannot have arrived before its request was sent.
    (5.0, messages.Limited("u1", 1, None, 1.5, 0.0), 5.0),
]


@pytest.mark.parametrize(("own_per_s", "message", "expected"), MESSAGES)
def test_message_counts_if_it_is_newer_than_what_was_heard(
    own_per_s: float | None, message: messages.Limited, expected: float | None
) -> None:
    """Guards against old messages, or of another process, that change a limit."""
    peer = build(1)
    upstream = peer.state.fleet.upstreams["u1"]
    if own_per_s is not None:
        now = clock.now()
        heard = named_limit.Statement(own_per_s, now - 1.1, now - 1.0)
        peer.state.fleet.record_limit(upstream, heard)
    peer.announcer._handle(("127.0.0.2", 1), message)
    assert peer.per_s == expected


@pytest.mark.parametrize("nodes", [2, 100])
async def test_limit_that_changes_with_each_answer_floods_no_node(
    nursery: trio.Nursery,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    nodes: int,
) -> None:
    """Guards against a message to all nodes for each answer of one upstream."""
    caplog.set_level(logging.INFO)
    first, second = build(1), build(2)
    await start(nursery, first, second)
    monkeypatch.setattr(state.State, "nodes", nodes)
    began = trio.current_time()
    for number in range(100):
        first.hear(named_limit.Answer(100.0 - number))
        await trio.sleep(0.01)
    for_s = trio.current_time() - began
    await wait_for(second, 1.0)
    nursery.cancel_scope.cancel()
    sent = [
        r
        for r in caplog.records
        if r.getMessage() == "upstream_limited" and vars(r)["source"] == "response"
    ]
    interval_s = max(
        upstream_limits.MIN_CHANGE_INTERVAL_S,
        upstream_limits.CHANGE_INTERVAL_PER_NODE_S * nodes,
    )
    assert len(sent) <= 2 + upstream_limits.CHANGE_BURST + for_s / interval_s


async def test_nothing_is_repeated_once_all_is_told(
    nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against nodes that wake up for limits that have ended or are gone."""
    monkeypatch.setattr(upstream_limits, "ENDED_REPEAT_S", 0.0)
    peer = build(1)
    await start(nursery, peer)
    limits = peer.announcer._limits
    peer.hear(THREE)
    await trio.sleep(0.3)
    assert limits._told
    peer.hear(NONE)
    with trio.fail_after(5.0):
        while limits._told:
            await trio.sleep(0.01)
    peer.hear(NONE)
    assert not limits._told
    peer.hear(THREE)
    peer.state.fleet.remove("u1", clock.now())
    with trio.fail_after(5.0):
        while limits._told:
            await trio.sleep(0.01)
    nursery.cancel_scope.cancel()


LIMITED = "Server-Limit: 3"
ID, EARLIER = "00000002", "00000001"
WRONG_INSTANCE = scripted.whole(421, ID, b"", "Not-Executed: 1")
BEFORE = 2 * shared_rate.UNLIMITED_PER_S
"""A limit at which requests need no permits."""
ANSWERS = [
    # The answer to a request, and the limit after it; it was ``BEFORE`` before.
    pytest.param(scripted.whole(200, ID, b"ok", LIMITED), 3.0, id="success"),
    pytest.param(scripted.whole(500, ID, b"no", LIMITED), 3.0, id="error"),
    pytest.param(
        scripted.whole(503, ID, b"full", "Not-Executed: 1", LIMITED), 3.0, id="rejected"
    ),
    pytest.param(scripted.whole(200, ID, b"ok"), None, id="named_no_more"),
    pytest.param(scripted.rejection(ID), None, id="rejected_without"),
    pytest.param(
        scripted.whole(200, ID, b"ok", "Server-Limit: few"), BEFORE, id="malformed"
    ),
    pytest.param(WRONG_INSTANCE, BEFORE, id="wrong_instance"),
    pytest.param(
        WRONG_INSTANCE.replace(b"Not-Ex", b"Server-Limit: 3\r\nNot-Ex"),
        BEFORE,
        id="limit_of_another_instance",
    ),
    pytest.param(scripted.rejection(None), BEFORE, id="without_id"),
    pytest.param(
        scripted.whole(503, None, b"full", "Not-Executed: 1", LIMITED),
        BEFORE,
        id="limit_without_id",
    ),
    pytest.param(
        scripted.whole(200, ID, b"ok").replace(b"Server-Signature", b"Other"),
        BEFORE,
        id="without_signature",
    ),
]


@pytest.mark.parametrize(("answer", "expected"), ANSWERS)
async def test_only_answers_of_the_process_change_its_limit(
    answer: bytes, expected: float | None
) -> None:
    """Guards against limits that copies, or other processes, name or lift."""

    def script(received: scripted.Received) -> scripted.Answer:
        is_first = received.request_id == EARLIER
        first = scripted.whole(200, EARLIER, b"ok", f"Server-Limit: {BEFORE}")
        return scripted.Answer(first if is_first else answer)

    async with platform_world.deployment(apps=0, engines=0, kv_stores=0) as world:
        upstream = await scripted.add(world, scripted.Upstream(script))
        known = world.nodes[0]._state.fleet.upstreams[upstream.id]
        caller = platform_world.Caller(world.nodes[0])
        full = await caller.send("POST", "/order/", b"x")
        assert isinstance(full, http_client.FullResponse)
        assert "server-limit" not in full.headers
        assert known.limit_per_s == BEFORE
        await caller.send("POST", "/order/", b"x")
        assert [item.connection for item in upstream.received] == [1, 1]
        assert known.limit_per_s == expected


REPORTED = [
    # What the report of an engine that was limited before tells; the limit after it.
    pytest.param(None, THREE, 3.0, id="named"),
    pytest.param(None, NONE, None, id="not_limited"),
    pytest.param(BEFORE, NONE, BEFORE, id="named_only_in_answers"),
    pytest.param(BEFORE, None, BEFORE, id="malformed"),
    pytest.param(BEFORE, named_limit.Answer(BEFORE + 1.0), BEFORE + 1.0, id="raised"),
]


@pytest.mark.parametrize(("before", "answer", "expected"), REPORTED)
async def test_report_of_an_engine_may_name_a_limit_but_not_end_it(
    monkeypatch: pytest.MonkeyPatch,
    before: float | None,
    answer: named_limit.Answer | None,
    expected: float | None,
) -> None:
    """Guards against limits that are lifted as a report does not repeat them."""
    async with platform_world.deployment(apps=0, engines=1, kv_stores=0) as world:
        weights = world.nodes[0]._weights
        upstream = world.nodes[0]._state.fleet.upstreams[world.engines[0].id]
        if before is not None:
            named = named_limit.Statement(before, clock.now(), clock.now())
            world.nodes[0]._state.fleet.record_limit(upstream, named)

        async def report(_addr: http_client.Address) -> ports.Report:
            return ports.Report({}, 0, False, limit=answer)

        monkeypatch.setattr(weights._machines, "report", report)
        await weights._refresh_report(upstream)
        assert upstream.limit_per_s == expected


def test_metrics_have_the_lowest_limits_in_force() -> None:
    """Guards against limits that on-call cannot see, and series without a bound."""
    node_state = build(1).state
    served = stats.Stats()
    count = stats.MAX_LIMITED_UPSTREAMS + 5
    for number in range(count):
        node_state.fleet.put(relay_builders.entry(f"v{number}"), 0.0)
        upstream = node_state.fleet.upstreams[f"v{number}"]
        named = named_limit.Statement(float(number), 0.0, 1.0)
        node_state.fleet.record_limit(upstream, named)
    text = served.render(node_state, 0.0, 0).decode()
    assert 'snipelug_upstream_limit{upstream="v7"} 7.0' in text
    assert text.count("snipelug_upstream_limit{") == stats.MAX_LIMITED_UPSTREAMS
    for upstream in node_state.fleet.upstreams.values():
        ended = named_limit.Statement(None, 2.0, 3.0)
        node_state.fleet.record_limit(upstream, ended)
    assert "snipelug_upstream_limit{" not in served.render(node_state, 0.0, 0).decode()

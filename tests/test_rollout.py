"""Tests for weight rollouts: one node gives orders, with increasing fencing tokens."""

import dataclasses

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from snipelug_core import rollout
from tests import relay_builders

LEASE_MS = 3_000.0
MODEL = relay_builders.MODEL


def test_engines_with_fewest_requests_load_first() -> None:
    """Guards against running requests that delay the first engines of a rollout."""
    upstreams = relay_builders.upstreams(
        *(relay_builders.entry(f"u{i}") for i in range(9))
    )
    for number, upstream in enumerate(upstreams):
        upstream.running = 9 - number
    planned = rollout.plan_orders(upstreams, {MODEL: 2}, {}, age_s=0.0)
    assert [item[0].entry.id for item in planned] == ["u8", "u7"]


def test_engine_whose_orders_expire_comes_last() -> None:
    """Guards against one engine that cannot load and keeps the others outdated."""
    upstreams = relay_builders.upstreams(
        *(relay_builders.entry(f"u{i}") for i in range(3))
    )
    for expired, first in [({}, "u0"), ({"u0": 1}, "u1"), ({"u0": 2, "u1": 1}, "u2")]:
        planned = rollout.plan_orders(upstreams, {MODEL: 2}, {}, 0.0, expired=expired)
        assert [item[0].entry.id for item in planned] == [first]


AT_ONCE = [
    # engines, engines with old weights, time since the version was requested, expected
    (9, 9, 0.0, 2),
    (9, 9, 3.6, 4),
    (9, 1, 0.0, 1),
    (36, 36, 0.0, 6),
    (6, 6, 20.0, 3),
    (1, 1, 0.0, 1),
    (3, 3, 4.9, 1),
]


@pytest.mark.parametrize(("engines", "outdated", "age_s", "expected"), AT_ONCE)
def test_number_of_concurrent_loads(
    engines: int, outdated: int, age_s: float, expected: int
) -> None:
    """Guards against rollouts that use too many engines at once or take too long."""
    assert rollout.max_concurrent_loads(engines, outdated, age_s) == expected


def test_lost_orders_expire_and_completed_ones_are_removed() -> None:
    """Guards against unrepeated lost orders and repeated completed ones."""
    upstreams = relay_builders.upstreams(
        relay_builders.entry("u1"), relay_builders.entry("u2")
    )
    by_id = {u.entry.id: u for u in upstreams}
    orders = {
        "u1": rollout.Order(MODEL, 2, 10.0),
        "u2": rollout.Order(MODEL, 2, 10.0),
        "gone": rollout.Order(MODEL, 2, 10.0),
    }
    by_id["u1"].set_version(MODEL, 2)
    pace = rollout.Pace()
    assert rollout.prune_orders(orders, by_id, 11.0, pace) == []
    assert set(orders) == {"u2"}
    late = 10.1 + rollout.ORDER_REPEAT_S
    assert rollout.prune_orders(orders, by_id, late, pace) == ["u2"]
    assert not orders


ENGINES = 30
ROUND_S = 0.15


def play_rollout(bound_s: float, load_s: float, learns: bool) -> tuple[int, float]:
    """Return the most engines out of service at once, and the duration in seconds."""
    entries = (relay_builders.entry(f"u{i}") for i in range(ENGINES))
    by_id = {u.entry.id: u for u in relay_builders.upstreams(*entries)}
    pace = rollout.Pace(bound_s)
    used = pace if learns else rollout.Pace()
    orders: rollout.Orders = {}
    ready_at: dict[str, float] = {}
    most, now = 0, 0.0
    while now < bound_s:
        for upstream_id, at in list(ready_at.items()):
            if at <= now:
                by_id[upstream_id].set_version(MODEL, 2)
                del ready_at[upstream_id]
        rollout.prune_orders(orders, by_id, now, used)
        if not orders and all(u.versions[MODEL] == 2 for u in by_id.values()):
            break
        planned = rollout.plan_orders(
            list(by_id.values()), {MODEL: 2}, orders, now, used
        )
        for upstream, model, version in planned:
            if upstream.entry.id not in ready_at:
                orders[upstream.entry.id] = rollout.Order(model, version, now, now)
                ready_at[upstream.entry.id] = now + load_s
        most = max(most, len(ready_at))
        now += ROUND_S
    return most, now


def test_slow_loads_leave_enough_engines() -> None:
    """Guards against rollouts that overload the engines that stay in service.

    Plays a rollout of 30 engines that each load for 2.4 s, where old weights are
    allowed for 20 s. With a fixed duration, half of the engines load at once.
    """
    before, _ = play_rollout(20.0, 2.4, learns=False)
    most, duration_s = play_rollout(20.0, 2.4, learns=True)
    assert before >= ENGINES / 2
    assert most <= ENGINES / 4
    assert duration_s <= rollout.longest_target_s(20.0) + 2 * 2.4


DURATIONS = [(8.0, 0.4), (8.0, 1.8), (20.0, 1.8), (20.0, 4.0)]


@pytest.mark.parametrize(("bound_s", "load_s"), DURATIONS)
def test_rollout_ends_within_the_bound(bound_s: float, load_s: float) -> None:
    """Guards against slow loads that lead beyond the bound for old weights."""
    _, duration_s = play_rollout(bound_s, load_s, learns=True)
    assert duration_s < bound_s


@pytest.mark.parametrize("bound_s", [5.0, 8.0, 10.0, 12.0])
def test_short_bounds_leave_the_pace_as_it_is(bound_s: float) -> None:
    """Guards against slower rollouts where old weights are not allowed for long."""
    pace = rollout.Pace(bound_s)
    pace.record_load(4.0)
    pace.record_pending(4.0)
    assert pace.stretch == 1.0
    assert pace.order_repeat_s == rollout.ORDER_REPEAT_S


def test_short_loads_end_the_stretch() -> None:
    """Guards against rollouts that take long where loads are short."""
    pace = rollout.Pace(20.0)
    assert pace.stretch == 2.5
    for _ in range(10):
        pace.record_load(0.4)
    assert pace.stretch == 1.0


@pytest.mark.parametrize("load_s", [float("inf"), -1.0, 0.0, 1e9])
def test_wild_durations_of_loads_are_bounded(load_s: float) -> None:
    """Guards against a rollout without end after one odd duration."""
    pace = rollout.Pace(20.0)
    for _ in range(10):
        pace.record_load(load_s)
    assert 1.0 <= pace.stretch <= 2.5


@dataclasses.dataclass
class LeaseNode:
    """One node; ``held`` is the lease that it believes to hold."""

    id: str
    held: rollout.HeldLease | None = None
    row_version: int = 0


class Leases(stateful.RuleBasedStateMachine):
    """State machine: three nodes, a store clock, late and lost responses, pauses.

    Two nodes never give orders at the same time, and fencing tokens increase.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 10.0
        self.row: rollout.Lease | None = None
        self.version = 0
        self.nodes = [LeaseNode(f"n{i}") for i in range(3)]
        self.last_order: tuple[str, int, float] | None = None

    def store_ms(self) -> float:
        return 1_000 * self.now + 7_777

    @stateful.rule(seconds=st.sampled_from([0.3, 1.0, 2.0, 4.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @stateful.rule(
        number=st.integers(0, 2),
        delay_s=st.sampled_from([0.0, 0.0, 0.25, 1.0]),
        is_lost=st.sampled_from([False, False, True]),
        other_writes=st.integers(0, 3),
    )
    def take(
        self, number: int, delay_s: float, is_lost: bool, other_writes: int
    ) -> None:
        """Read the row and write it, like a node without a lease."""
        node = self.nodes[number]
        row, read_version, read_ms = self.row, self.version, self.store_ms()
        if node.held is not None and node.held.remaining_ms(self.now) > 0:
            return
        if not rollout.may_take(row, node.id, read_ms):
            return
        sent_at = self.now
        self.now += delay_s
        lease = rollout.Lease(
            node.id,
            read_ms + LEASE_MS + rollout.LEASE_MARGIN_MS,
            read_version + 1,
        )
        self._write(node, lease, read_version, sent_at, is_lost, other_writes)

    @stateful.rule(
        number=st.integers(0, 2),
        delay_s=st.sampled_from([0.0, 0.0, 0.25, 1.0]),
        is_lost=st.sampled_from([False, False, True]),
    )
    def renew(self, number: int, delay_s: float, is_lost: bool) -> None:
        node = self.nodes[number]
        held = node.held
        if held is None or held.remaining_ms(self.now) <= 0:
            return
        sent_at = self.now
        until_ms = held.store_ms + 1_000 * (sent_at - held.sent_at) + LEASE_MS
        lease = dataclasses.replace(
            held.lease, until_ms=until_ms + rollout.LEASE_MARGIN_MS
        )
        self.now += delay_s
        self._write(node, lease, node.row_version, sent_at, is_lost, 0)

    def _write(
        self,
        node: LeaseNode,
        lease: rollout.Lease,
        expected: int,
        sent_at: float,
        is_lost: bool,
        other_writes: int,
    ) -> None:
        if self.version != expected:
            node.held = None
            return
        self.version += 1 + other_writes
        self.row = lease
        if not is_lost:
            node.held = rollout.HeldLease(lease, sent_at, self.store_ms())
            node.row_version = self.version

    @stateful.rule(number=st.integers(0, 2))
    def order(self, number: int) -> None:
        node = self.nodes[number]
        if node.held is None or node.held.remaining_ms(self.now) <= 0:
            return
        token = node.held.lease.fencing
        for other in self.nodes:
            has_lease = other.held is not None and other.held.remaining_ms(self.now) > 0
            assert other is node or not has_lease, "two nodes give orders"
        if self.last_order is not None:
            last_holder, last_token, _ = self.last_order
            assert token >= last_token, "the fencing token decreased"
            assert last_holder == node.id or token > last_token, (
                "two nodes share a token"
            )
        self.last_order = (node.id, token, self.now)


Leases.TestCase.settings = hypothesis.settings(
    max_examples=400, stateful_step_count=40, deadline=None, derandomize=True
)
TestLeases = Leases.TestCase


@pytest.mark.parametrize("delay_s", [0.0, 0.2, 1.0, 2.5])
def test_lease_ends_before_another_node_may_acquire_it(delay_s: float) -> None:
    """Guards against two lease holders, even if the response to the write is late."""
    read_ms = 50_000.0
    lease = rollout.Lease("n0", read_ms + LEASE_MS + rollout.LEASE_MARGIN_MS, 1)
    held = rollout.HeldLease(lease, sent_at=10.0, store_ms=read_ms + 1_000 * delay_s)
    has_given_orders = False
    for tick in range(100):
        now = 10.0 + tick / 20
        store_ms = read_ms + 1_000 * (now - 10.0)
        orders = now >= 10.0 + delay_s and held.remaining_ms(now) > 0
        has_given_orders = has_given_orders or orders
        assert not (orders and rollout.may_take(lease, "n1", store_ms))
    assert has_given_orders is (delay_s < 1.5)
    assert rollout.may_take(lease, "n1", read_ms + 4_000)

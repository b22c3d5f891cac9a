"""Floors and slices under owner changes, partitions, lost answers and clock skew."""

import dataclasses
import itertools

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from snipelug_core import contract, quota

IN_FLIGHT_RETENTION_S = 60.0
RATES = (1.0, 1.05, 1.0999)
LONG_JOINED_S = 1000.0


@dataclasses.dataclass
class Node:
    id: str
    rate: float
    owner: quota.Owner
    account: quota.Account = dataclasses.field(default_factory=quota.Account)
    reported_at: float = 0.0
    unreported: int = 0

    def clock(self, now: float) -> float:
        return now * self.rate


class Limits(stateful.RuleBasedStateMachine):
    @stateful.initialize(
        rates=st.lists(st.sampled_from(RATES), min_size=2, max_size=4),
        in_flight=st.integers(1, 40),
    )
    def build(self, rates: list[float], in_flight: int) -> None:
        self.limits = contract.Limits(in_flight, 50.0, 1000.0)
        self.now = 100.0
        self.number = itertools.count()
        self.nodes = [
            Node(f"n{i}", rate, quota.Owner(0.0, had_owner=True))
            for i, rate in enumerate(rates)
        ]
        self.owner_index = 0
        self.since = 0.0
        self.asks: list[quota.SliceRequest] = []
        self.late: list[tuple[Node, quota.Amounts, float]] = []
        self.floor = quota.floor(self.limits, len(rates), LONG_JOINED_S)

    def pick(self, number: int) -> Node:
        return self.nodes[number % len(self.nodes)]

    @stateful.rule(
        number=st.integers(0, 3),
        wanted=st.integers(0, 60),
        fate=st.sampled_from(["ok", "ok", "ok", "late", "lost", "stale_owner"]),
        then=st.sampled_from(["start", "start", "wait"]),
    )
    def ask(self, number: int, wanted: int, fate: str, then: str) -> None:
        node = self.pick(number)
        index = self.owner_index + (fate == "stale_owner")
        holder = self.pick(index)
        holds = holder is self.pick(self.owner_index)
        asked_at = node.clock(self.now)
        above = max(0, node.account.in_flight - self.floor.in_flight)
        demand = quota.Amounts(above + wanted, wanted, wanted * 20.0)
        message = quota.SliceRequest(node.id, next(self.number), above, demand)
        self.asks.append(message)
        members = [one.id for one in self.nodes]
        at = holder.clock(self.now)
        reply = quota.lend(holder.owner, message, self.limits, members, at, holds)
        if holds:
            node.reported_at = self.now
        if not isinstance(reply, quota.Lent):
            return
        self.record_unreported()
        if fate == "lost":
            return
        if fate == "late":
            self.late.append((node, reply.amounts, asked_at))
            return
        quota.apply_slice(node.account, reply.amounts, asked_at, self.floor)
        if then == "start":
            self.start(number)

    @stateful.rule(number=st.integers(0, 9))
    def replay_ask(self, number: int) -> None:
        """Deliver a request again after later ones; its reply reaches nobody."""
        holder = self.pick(self.owner_index)
        members = [one.id for one in self.nodes]
        at = holder.clock(self.now)
        for message in self.asks[number : number + 1]:
            quota.lend(holder.owner, message, self.limits, members, at, True)

    @stateful.rule()
    def deliver_late(self) -> None:
        for node, amounts, asked_at in self.late:
            quota.apply_slice(node.account, amounts, asked_at, self.floor)
        self.late.clear()

    @stateful.rule(number=st.integers(0, 3))
    def start(self, number: int) -> None:
        """Start requests up to the share; the rates are tested separately."""
        node = self.pick(number)
        account = node.account
        share = quota.share_in_force(account, self.floor, node.clock(self.now))
        account.in_flight = max(account.in_flight, share.in_flight)

    @stateful.rule(number=st.integers(0, 3), part=st.sampled_from([0, 0, 2]))
    def end(self, number: int, part: int) -> None:
        account = self.pick(number).account
        account.in_flight = account.in_flight // part if part else 0

    @stateful.rule(seconds=st.sampled_from([0.5, 2.0, 3.0, 7.5, 9.0, 12.5, 70.0]))
    def pass_time(self, seconds: float) -> None:
        """Advance the clock without reports; requests started on a slice may run on."""
        self.now += seconds

    @stateful.rule(seconds=st.sampled_from([2.0, 9.0]))
    def change_owner(self, seconds: float) -> None:
        """Move the row; members above their floor ask the new owner until it lends."""
        self.now += seconds
        self.owner_index += 1
        holder = self.pick(self.owner_index)
        self.since = self.now
        holder.owner = quota.Owner(holder.clock(self.now), had_owner=True)

    @stateful.rule(lost=st.integers(0, 4))
    def reports(self, lost: int) -> None:
        """Let all nodes but one report, and advance the clock past the owner's wait."""
        self.now += quota.REQUEST_INTERVAL_S
        for number, node in enumerate(self.nodes):
            if number != lost:
                self.ask(self.nodes.index(node), 0, "ok", "wait")

    @stateful.invariant()
    def shares_never_exceed_limit(self) -> None:
        total = quota.ZERO
        for node in self.nodes:
            at = node.clock(self.now)
            total = total.plus(quota.share_in_force(node.account, self.floor, at))
        assert total.in_flight <= self.limits.in_flight
        assert total.requests_per_s <= self.limits.requests_per_s * (1 + 1e-9)
        assert total.tokens_per_s <= self.limits.tokens_per_s * (1 + 1e-9)

    def record_unreported(self) -> None:
        """Record what nodes run that the owner cannot know of while it lends."""
        for node in self.nodes:
            silent_s = self.now - node.reported_at
            heard_s = node.reported_at - self.since
            above = max(0, node.account.in_flight - self.floor.in_flight)
            if silent_s >= IN_FLIGHT_RETENTION_S / 1.1 or heard_s < 8.0:
                node.unreported = max(node.unreported, above)

    @stateful.invariant()
    def in_flight_never_exceeds_limit(self) -> None:
        """Count everything except what the owner could not know of when it lent."""
        counted = 0
        for node in self.nodes:
            above = max(0, node.account.in_flight - self.floor.in_flight)
            node.unreported = min(node.unreported, above)
            counted += node.account.in_flight - node.unreported
        assert counted <= self.limits.in_flight


SHORT = st.lists(
    st.tuples(
        st.sampled_from(["ask", "ask", "ask_less_lost", "replay", "change"]),
        st.integers(0, 1),
        st.sampled_from([0.5, 3.0, 7.0, 9.0, 12.5]),
    ),
    min_size=2,
    max_size=7,
)


OWNER_CHANGES_IN_USE = [("ask", 0, 0.5), ("change", 0, 7.0), ("ask", 1, 0.5)]
OLD_ASK_ARRIVES = [
    ("ask_less_lost", 0, 0.5),
    ("ask", 0, 12.5),
    ("replay", 0, 0.5),
    ("ask", 1, 0.5),
]
RUNS_OUTLAST_SLICE = [
    ("ask", 0, 0.5),
    ("ask", 1, 9.0),
    ("ask", 1, 0.5),
    ("ask", 0, 0.5),
    ("ask", 1, 0.5),
]


@hypothesis.settings(max_examples=600, deadline=None, derandomize=True)
@hypothesis.given(st.sampled_from(RATES), st.sampled_from(RATES), SHORT)
@hypothesis.example(1.0, 1.0, OWNER_CHANGES_IN_USE)
@hypothesis.example(1.0, 1.0, OLD_ASK_ARRIVES)
@hypothesis.example(1.0, 1.0, RUNS_OUTLAST_SLICE)
def test_two_borrowers_never_exceed_limit(
    rate: float, other_rate: float, steps: list[tuple[str, int, float]]
) -> None:
    """Guards against exceeding the limit in the few steps around a single fault."""
    machine = Limits()
    machine.build([rate, other_rate], 20)
    for action, number, seconds in steps:
        if action == "change":
            machine.change_owner(0.0)
        elif action == "replay":
            machine.replay_ask(number)
        else:
            is_lost = action == "ask_less_lost"
            wanted, fate = (0, "lost") if is_lost else (60, "ok")
            machine.ask(number, wanted, fate, "start")
        machine.shares_never_exceed_limit()
        machine.in_flight_never_exceeds_limit()
        machine.pass_time(seconds)
        machine.in_flight_never_exceeds_limit()


Limits.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
TestLimits = Limits.TestCase


@hypothesis.given(st.integers(1, 200), st.integers(1, 30), st.integers(0, 10))
def test_floors_of_members_that_joined_late(
    in_flight: int, members: int, joining: int
) -> None:
    """Guards against floors of nodes that do not know of each other yet."""
    limits = contract.Limits(in_flight)
    known = [quota.floor(limits, members, LONG_JOINED_S) for _ in range(members)]
    fresh = [quota.floor(limits, members + joining, 29.0) for _ in range(joining)]
    total = sum(one.in_flight for one in known + fresh)
    assert total + quota.pool(limits).in_flight <= in_flight


def test_division_follows_demand() -> None:
    """Guards against equal shares for unequal demand, and against unused shares."""
    limits = contract.Limits(100, 100.0, 100.0)
    owner = quota.Owner(0.0, had_owner=False)
    lent: dict[str, quota.Reply] = {}
    for number, now in enumerate((1.0, 4.0, 7.0, 10.0, 13.0)):
        for node_id, wanted in (("a", 90), ("b", 30)):
            demand = quota.Amounts(wanted, wanted, wanted)
            ask = quota.SliceRequest(node_id, number, 0, demand)
            lent[node_id] = quota.lend(owner, ask, limits, ["a", "b"], now, True)
    assert lent["a"] == quota.Lent(quota.Amounts(56, 56.25, 56.25))
    assert lent["b"] == quota.Lent(quota.Amounts(18, 18.75, 18.75))


@pytest.mark.parametrize("rate", [0.4, 5.0, 60.0])
@pytest.mark.parametrize("cost", [1.0, 900.0])
def test_rates_hold_over_a_minute(rate: float, cost: float) -> None:
    """Guards against passing more than the rate plus one burst allows."""
    share = quota.Amounts(10**6, rate, 300.0)
    account = quota.Account()
    quota.try_start(account, share, 0.0, 0.0)
    passed = 0
    steps = 6000
    for step in range(steps):
        passed += quota.try_start(account, share, cost, 100.0 + step / 100)
    by_requests = rate * 60.0 + max(1.0, rate)
    by_tokens = (300.0 * 61.0) / cost + 1
    assert passed <= min(by_requests, by_tokens)
    assert passed >= 0.9 * min(rate * 60.0, 300.0 * 60.0 / cost) - 1


def test_slice_gives_no_rate_after_its_end() -> None:
    """Guards against refilling a bucket at the rate of an expired slice."""
    own = quota.Amounts(9, 1.0, 100.0)
    account = quota.Account()
    quota.apply_slice(account, quota.Amounts(9, 99.0, 900.0), 0.0, own)
    account.tokens.level = -10_000.0
    quota.try_start(account, own, 0.0, 20.0)
    assert account.tokens.level == -10_000.0 + 8.0 * 1000.0 + 12.0 * 100.0


def test_late_answer_does_not_replace_newer_slice() -> None:
    """Guards against a late reply that ends a newer slice early."""
    account = quota.Account()
    newer = quota.Amounts(5, 5.0, 5.0)
    quota.apply_slice(account, newer, 3.0, quota.ZERO)
    quota.apply_slice(account, quota.Amounts(1, 1.0, 1.0), 0.0, quota.ZERO)
    assert quota.share_in_force(account, quota.ZERO, 10.9) == newer
    assert quota.share_in_force(account, quota.ZERO, 11.0) == quota.ZERO


def test_reply_to_a_node_that_lost_the_row() -> None:
    """Guards against slices from a node that no longer owns the team."""
    owner = quota.Owner(0.0, had_owner=False)
    ask = quota.SliceRequest("a", 1, 0, quota.ZERO)
    reply = quota.lend(owner, ask, contract.Limits(), ["a"], 1.0, holds_row=False)
    assert reply == quota.NotOwner()


def test_quiet_borrowers_leave_something_for_the_next() -> None:
    """Guards against an owner that knows few members and lends all to the first."""
    limits = contract.Limits(
        in_flight=1000, requests_per_s=1000.0, tokens_per_s=100_000.0
    )
    owner = quota.Owner(0.0, had_owner=False)
    demand = quota.Amounts(1, 1.0, 100.0)
    for number in range(8):
        ask = quota.SliceRequest(f"n{number}", 0, 0, demand)
        reply = quota.lend(owner, ask, limits, {"n0"}, 1.0, holds_row=True)
        assert isinstance(reply, quota.Lent)
        assert reply.amounts.in_flight >= 1
        assert reply.amounts.tokens_per_s >= 100.0

"""Tests of the lease for weight orders over restores of the platform's store."""

import dataclasses

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from snipelug_core import order_lease, rollout

LEASE_MS = 3_000.0
LONGEST_S = 3.6
"""Longest time for which a write of the lease row keeps other nodes from taking it."""


def build_candidate(row: rollout.Lease | None, epoch: int) -> order_lease.Candidate:
    """Build a candidate that has read a row with version 7 at time 10."""
    candidate = order_lease.Candidate("n1", LEASE_MS)
    candidate.record_row(epoch, 7 if row is not None else 0, 10.0)
    return candidate


WAITS = [
    # row, epoch, time, expected wait
    (None, 2, 10.0, LONGEST_S),
    (None, 2, 12.0, LONGEST_S - 2.0),
    (None, 2, 10.0 + LONGEST_S, 0.0),
    (rollout.Lease("n1", 0.0, 3, epoch=1), 2, 10.0, LONGEST_S),
    (rollout.Lease("n2", 1e9, 3, epoch=1), 2, 10.0 + LONGEST_S, 0.0),
    (rollout.Lease("n1", 1e9, 3, epoch=2), 2, 10.0, 0.0),
    (rollout.Lease("n2", 51_000.0, 3, epoch=2), 2, 10.0, 1.2),
    (rollout.Lease("n2", 49_000.0, 3, epoch=2), 2, 10.0, 0.0),
    (rollout.Lease("n2", 1e300, 3, epoch=2), 2, 10.0, LONGEST_S),
    (rollout.Lease("n2", 1e300, 3, epoch=2), 2, 10.0 + LONGEST_S, 0.0),
]


@pytest.mark.parametrize(("row", "epoch", "now", "wait_s"), WAITS)
def test_time_until_the_lease_may_be_taken(
    row: rollout.Lease | None, epoch: int, now: float, wait_s: float
) -> None:
    """Guards against a row from before a restore that hides another holder."""
    candidate = build_candidate(row, epoch)
    assert candidate.takeover_wait_s(row, 50_000.0, now) == pytest.approx(wait_s)


def test_holder_in_force_takes_the_lease_again_at_once() -> None:
    """Guards against a rollout that pauses as the row of its own holder is gone."""
    candidate = build_candidate(None, 1)
    claim = candidate.claim(50_000.0, 20.0)
    assert candidate.record_written(claim, 1, 90, 50_010.0)
    assert candidate.held(1, 20.1) is not None
    assert candidate.held(2, 20.1) is None
    candidate.record_row(2, 0, 20.2)
    assert candidate.takeover_wait_s(None, 50_200.0, 20.2) == 0.0
    again = candidate.claim(50_200.0, 20.2)
    assert again.lease.fencing > claim.lease.fencing


def test_write_that_took_effect_after_a_restore_gives_no_lease() -> None:
    """Guards against a version that stands for a row of another node."""
    candidate = build_candidate(None, 1)
    claim = candidate.claim(50_000.0, 20.0)
    assert not candidate.record_written(claim, 2, 1, 50_010.0)
    assert candidate.held(2, 20.1) is None
    assert candidate.held(1, 20.1) is None


def test_late_response_does_not_bring_back_a_lower_token() -> None:
    """Guards against orders that engines reject after those under a newer lease."""
    candidate = build_candidate(None, 1)
    claim = candidate.claim(50_000.0, 20.0)
    assert candidate.record_written(claim, 1, 90, 50_010.0)
    held = candidate.held(1, 22.9)
    assert held is not None
    renewal = candidate.renewal(held, 22.9)
    candidate.record_row(1, 91, 23.1)
    again = candidate.claim(53_100.0, 23.1)
    assert candidate.record_written(again, 1, 92, 53_110.0)
    assert not candidate.record_written(renewal, 1, 91, 52_910.0)
    candidate.record_conflict(renewal)
    newest = candidate.held(1, 23.2)
    assert newest is not None
    assert newest.lease.fencing == again.lease.fencing


def test_tokens_of_the_first_epoch_are_those_of_earlier_programs() -> None:
    """Guards against engines that reject orders beside nodes of an earlier release."""
    assert order_lease.fencing_token(0, 41) == 42
    assert order_lease.fencing_token(1, 0) > order_lease.fencing_token(0, 2**32)
    assert order_lease.fencing_token(2**22, 2**40) < 2**63


def test_row_that_a_late_write_has_replaced_is_not_taken_at_once() -> None:
    """Guards against a newer holder whose row a write from before a restore replaced.

    The version that it names was given out again to the row of the holder.
    """
    late = build_candidate(None, 1).claim(50_000.0, 20.0).lease
    holder, other = (build_candidate(None, 2) for _ in range(2))
    claim = holder.claim(50_000.0, 14.0)
    assert holder.record_written(claim, 2, 8, 50_010.0)
    other.record_row(2, 9, 14.5)
    assert holder.held(2, 14.5) is not None
    assert other.takeover_wait_s(late, 50_500.0, 14.5) == pytest.approx(LONGEST_S)


@dataclasses.dataclass
class Copy:
    """The lease row and the version of the store at one moment."""

    row: rollout.Lease | None
    row_version: int
    version: int


@dataclasses.dataclass
class Node:
    """One node; its clock differs from that of the store."""

    id: str
    offset_s: float
    candidate: order_lease.Candidate
    epoch: int = 0
    waiting: order_lease.Write | None = None


@dataclasses.dataclass
class Response:
    """A response to a write that is under way; version 0 if it had no effect."""

    node: Node
    write: order_lease.Write
    epoch: int
    version: int
    clock_ms: float


def build_node(number: int) -> Node:
    name = f"n{number}"
    return Node(name, 1e3 * number, order_lease.Candidate(name, LEASE_MS))


class Restores(stateful.RuleBasedStateMachine):
    """State machine: three nodes, a store that goes back to copies, late writes.

    Nodes freeze (do nothing), restart, learn late of a restore, and lose responses.
    Writes take effect late, also after a restore, if their condition holds. At most one
    node may give orders at a time, tokens increase over all orders, and some node gets
    the lease soon after the faults have ended.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.clock_offset_ms = 7_777.0
        self.epoch = 0
        self.store = Copy(None, 0, 5)
        self.copies = [dataclasses.replace(self.store)]
        self.nodes = [build_node(number) for number in range(3)]
        self.under_way: list[tuple[Node, order_lease.Write]] = []
        self.responses: list[Response] = []
        self.last_order = ("", -1)

    def local(self, node: Node) -> float:
        return self.now + node.offset_s

    def store_ms(self) -> float:
        return 1e3 * self.now + self.clock_offset_ms

    def is_holder(self, node: Node) -> bool:
        return node.candidate.held(node.epoch, self.local(node)) is not None

    @stateful.rule(seconds=st.sampled_from([0.05, 0.5, 1.0, 2.0, 3.5, 3.7]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @stateful.rule(count=st.integers(1, 6))
    def write_other_rows(self, count: int) -> None:
        self.store.version += count

    @stateful.rule()
    def copy(self) -> None:
        self.copies.append(dataclasses.replace(self.store))

    @stateful.rule(data=st.data(), jump_s=st.sampled_from([0.0, 0.0, -30.0, 30.0]))
    def restore(self, data: st.DataObject, jump_s: float) -> None:
        self.store = dataclasses.replace(data.draw(st.sampled_from(self.copies)))
        self.copies = [dataclasses.replace(self.store)]
        self.epoch += 1
        self.clock_offset_ms += 1e3 * jump_s

    @stateful.rule(number=st.integers(0, 2))
    def restart(self, number: int) -> None:
        self.nodes[number] = build_node(number)

    @stateful.rule(number=st.integers(0, 2))
    def learn(self, number: int) -> None:
        """Learn the epoch from a response about another table."""
        self.nodes[number].epoch = self.epoch

    @stateful.rule(
        number=st.integers(0, 2), delay_s=st.sampled_from([0.0, 0.0, 0.3, 1.0])
    )
    def claim(self, number: int, delay_s: float) -> None:
        """Read the row and send a write if the lease may be taken."""
        node = self.nodes[number]
        if node.waiting is not None or self.is_holder(node):
            return
        clock_ms = self.store_ms()
        self.now += delay_s
        node.epoch = self.epoch
        candidate = node.candidate
        candidate.record_row(self.epoch, self.store.row_version, self.local(node))
        if candidate.takeover_wait_s(self.store.row, clock_ms, self.local(node)) > 0:
            return
        self._send(node, candidate.claim(clock_ms, self.local(node)))

    @stateful.rule(number=st.integers(0, 2))
    def renew(self, number: int) -> None:
        node = self.nodes[number]
        held = node.candidate.held(node.epoch, self.local(node))
        if node.waiting is None and held is not None:
            self._send(node, node.candidate.renewal(held, self.local(node)))

    def _send(self, node: Node, write: order_lease.Write) -> None:
        node.waiting = write
        self.under_way.append((node, write))

    @stateful.precondition(lambda self: self.under_way)
    @stateful.rule(data=st.data())
    def perform(self, data: st.DataObject) -> None:
        """Perform a write that is under way, if its condition holds."""
        node, write = data.draw(st.sampled_from(self.under_way))
        self.under_way.remove((node, write))
        version = 0
        if write.expected == self.store.row_version:
            self.store.version += 1
            version = self.store.version
            self.store.row, self.store.row_version = write.lease, version
        response = Response(node, write, self.epoch, version, self.store_ms())
        self.responses.append(response)

    @stateful.precondition(lambda self: self.responses)
    @stateful.rule(data=st.data())
    def respond(self, data: st.DataObject) -> None:
        """Deliver a response, unless its call has timed out."""
        response = data.draw(st.sampled_from(self.responses))
        self.responses.remove(response)
        node = response.node
        if node.waiting is not response.write:
            return
        node.waiting = None
        if response.version == 0:
            node.candidate.record_conflict(response.write)
            return
        node.epoch = max(node.epoch, response.epoch)
        node.candidate.record_written(
            response.write, response.epoch, response.version, response.clock_ms
        )

    @stateful.rule(number=st.integers(0, 2))
    def time_out(self, number: int) -> None:
        self.nodes[number].waiting = None

    @stateful.rule(number=st.integers(0, 2))
    def take(self, number: int) -> None:
        """Take the lease without a fault."""
        before = len(self.under_way)
        self.claim(number, 0.0)
        if len(self.under_way) == before:
            return
        node, write = self.under_way.pop()
        if write.expected != self.store.row_version:
            return
        self.store.version += 1
        self.store.row, self.store.row_version = write.lease, self.store.version
        node.waiting = None
        node.candidate.record_written(
            write, self.epoch, self.store.version, self.store_ms()
        )

    @stateful.rule(
        holders=st.permutations(range(3)),
        pause_s=st.sampled_from([0.0, 1.5, 2.7, 3.7]),
        has_later_holder=st.booleans(),
    )
    def restore_beside_a_holder(
        self, holders: list[int], pause_s: float, has_later_holder: bool
    ) -> None:
        """Lose the rows of one or two holders; a node takes the lease after a pause."""
        first, second, third = holders
        self.copy()
        for number in (first, second) if has_later_holder else (first,):
            self.now += LONGEST_S + 0.1
            self.write_other_rows(3)
            self.take(number)
            self.order(number)
        self.store = self.copies.pop()
        self.copies = [dataclasses.replace(self.store)]
        self.epoch += 1
        next_holder = first if has_later_holder else third
        self.take(next_holder)
        self.now += pause_s
        self.take(next_holder)
        self.one_node_gives_orders()
        self.order(next_holder)

    @stateful.rule(number=st.integers(0, 2))
    def order(self, number: int) -> None:
        """Give an order to an engine that has accepted all orders so far."""
        node = self.nodes[number]
        held = node.candidate.held(node.epoch, self.local(node))
        if held is None:
            return
        holder, token = self.last_order
        assert held.lease.fencing >= token, "the fencing token decreased"
        assert node.id == holder or held.lease.fencing > token, "a token of two nodes"
        self.last_order = (node.id, held.lease.fencing)

    @stateful.rule()
    def calm_down(self) -> None:
        """Let all nodes work without faults; one of them gets the lease."""
        self.under_way.clear()
        self.responses.clear()
        for number in range(3):
            self.time_out(number)
            self.learn(number)
        until = self.now + 2 * LONGEST_S + 0.2
        while not any(self.is_holder(node) for node in self.nodes):
            assert self.now < until, "no node gets the lease"
            self.now += 0.1
            for number in range(3):
                self.take(number)

    @stateful.invariant()
    def one_node_gives_orders(self) -> None:
        holders = [node.id for node in self.nodes if self.is_holder(node)]
        assert len(holders) <= 1, f"{holders} give orders"


Restores.TestCase.settings = hypothesis.settings(
    max_examples=400, stateful_step_count=50, deadline=None, derandomize=True
)
TestRestores = Restores.TestCase

"""Tests of the times from which outdated weight versions must not be used."""

import dataclasses
import itertools
import math

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from snipelug_core import retirement, store_clock

BOUND_MS = 8_000.0
MARGIN_MS = 1_000.0
ROW_GAIN_MS = 300.0


def history(**last_ms: float) -> retirement.History:
    """Build a history from the last times of versions, given as v1, v2 and so on."""
    return retirement.History(
        {int(name[1:]): retirement.Span(0.0, at) for name, at in last_ms.items()}
    )


LEAST_USABLE = [(21_900.0, 1), (22_100.0, 2), (23_900.0, 2), (24_100.0, 3)]


@pytest.mark.parametrize(("now_ms", "version"), LEAST_USABLE)
def test_bound_does_not_restart_with_each_named_version(
    now_ms: float, version: int
) -> None:
    """Guards against the use of a version for longer as a further one was named."""
    named = history(v1=15_000.0, v2=17_000.0, v3=17_000.0)
    assert named.least_usable(now_ms, 7_000.0) == version


def test_version_without_a_known_time_counts_as_named_long_ago() -> None:
    """Guards against reads of outdated parts after a row without times."""
    history = retirement.History({1: retirement.Span(0.0, 10.0), 2: retirement.UNKNOWN})
    assert history.outdated_ms(1, 1_000.0) == math.inf


def test_version_that_no_read_showed_does_not_extend_the_bound() -> None:
    """Guards against counting the bound from the later of two namings."""
    first = retirement.History().observe(1, -math.inf, 0.0)
    skipped = first.observe(3, 10_000.0, 14_000.0)
    other = first.observe(2, 11_000.0, 12_000.0).observe(3, 13_000.0, 14_000.0)
    for known in (skipped, skipped.merge(history(v2=13_000.0))):
        assert known.last_current_ms(1) == 10_000.0
    assert skipped.merge(other).last_current_ms(1) == 11_000.0
    assert skipped.merge(other).last_current_ms(2) == 13_000.0


TIMES = st.sampled_from([-math.inf, 0.0, 1.0, 2.0, 3.0])
HISTORIES = st.builds(
    retirement.History,
    st.dictionaries(st.integers(0, 9), st.builds(retirement.Span, TIMES, TIMES)),
)


@hypothesis.given(HISTORIES, HISTORIES, HISTORIES)
def test_merge_does_not_depend_on_order_or_repetition(
    a: retirement.History, b: retirement.History, c: retirement.History
) -> None:
    """Guards against nodes that differ as they read the rows in another order."""
    merged = {x.merge(y).merge(z) == x.merge(y.merge(z)) for x, y, z in ((a, b, c),)}
    assert merged == {True}
    assert a.merge(b) == b.merge(a)
    assert a.merge(b).merge(b) == a.merge(b)


@pytest.mark.parametrize("delay_s", [0.0, 0.5, 30.0])
def test_store_clock_is_never_assumed_to_be_behind(delay_s: float) -> None:
    """Guards against a late response that prolongs the use of outdated weights."""
    clock = store_clock.StoreClock()
    assert clock.latest_ms(5.0) == math.inf
    clock.record(10.0, 10.004, 70_002.0)
    clock.record(20.0, 20.0 + delay_s, 80_001.0)
    for now in (20.0 + delay_s, 60.0):
        assert clock.latest_ms(now) >= 1e3 * now + 60_000.0
        assert clock.latest_ms(now) <= 1e3 * now + 60_050.0
    assert clock.earliest_at(75_002.0) == pytest.approx(15.0, abs=0.05)
    assert clock.earliest_at(clock.latest_ms(90.0)) == pytest.approx(90.0)


def test_store_clock_that_runs_faster_or_jumps_is_followed() -> None:
    """Guards against an estimate that responses have disproved."""
    clock = store_clock.StoreClock()
    clock.record(10.0, 10.004, 70_002.0)
    clock.record(20.0, 20.004, 95_000.0)
    assert clock.latest_ms(20.004) >= 95_000.0


@dataclasses.dataclass
class Node:
    """A node's knowledge; its clock differs from the store's."""

    offset_s: float
    clock: store_clock.StoreClock = dataclasses.field(
        default_factory=store_clock.StoreClock
    )
    named: retirement.History = dataclasses.field(default_factory=retirement.History)
    current_ms: float = -math.inf
    is_started: bool = False


class Namings(stateful.RuleBasedStateMachine):
    """State machine: three nodes that read late, restart and exchange what they know.

    No node may use a version later than the bound after a newer one was named,
    whatever reads and messages are late or lost. Nodes that were reading may use it for
    most of that time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.nodes = [Node(offset) for offset in (0.0, -50.0, 1e6)]
        self.named_at = {0: -math.inf}
        self.row = retirement.History()
        self.row_version = 0
        self.held: list[tuple[retirement.History, int]] = []
        self.announced: list[tuple[int, float]] = []

    def local(self, node: Node) -> float:
        return self.now + node.offset_s

    def store_ms(self) -> float:
        return 1e3 * self.now + 7_777.0

    @property
    def newest(self) -> int:
        return max(self.named_at)

    @stateful.rule(seconds=st.sampled_from([0.01, 0.5, 1.0, 1.0, 2.0, 4.0]))
    def wait(self, seconds: float) -> None:
        """Advance the time; nodes that do nothing meanwhile are frozen or cut off."""
        self.now += seconds

    @stateful.precondition(lambda self: self.newest < 5)
    @stateful.rule()
    def name_version(self) -> None:
        self.named_at[self.newest + 1] = self.now

    @stateful.rule(
        number=st.integers(0, 2),
        before_s=st.sampled_from([0.0, 0.0, 0.002, 1.0, 3.0]),
        after_s=st.sampled_from([0.0, 0.0, 0.002, 1.0, 3.0]),
        is_held=st.booleans(),
        is_overtaken=st.sampled_from([False, False, True]),
    )
    def read(
        self,
        number: int,
        before_s: float,
        after_s: float,
        is_held: bool,
        is_overtaken: bool = False,
    ) -> None:
        """Read the operator's table; a held call tells the clock of its arrival.

        A version may be named while the response is on its way.
        """
        node = self.nodes[number]
        sent_at = self.local(node)
        self.now += before_s
        clock_ms, version = self.store_ms(), self.newest
        if is_held:
            self.now += 1.0
            version = self.newest
        if is_overtaken and self.newest < 5:
            self.name_version()
        self.now += after_s
        node.clock.record(sent_at, self.local(node), clock_ms)
        now_ms = node.clock.latest_ms(self.local(node))
        if version:
            node.named = node.named.observe(version, node.current_ms, now_ms)
        node.current_ms = max(node.current_ms, clock_ms)
        node.is_started = True
        assert node.named.version >= version
        self.announced.append((version, clock_ms))

    @stateful.precondition(lambda self: self.announced)
    @stateful.rule(number=st.integers(0, 2), data=st.data())
    def receive(self, number: int, data: st.DataObject) -> None:
        """Receive an announcement that the table has not changed, late or repeated."""
        node = self.nodes[number]
        version, clock_ms = data.draw(st.sampled_from(self.announced))
        if node.is_started and version == node.named.version:
            clock_ms = min(clock_ms, node.clock.latest_ms(self.local(node)))
            node.current_ms = max(node.current_ms, clock_ms)

    @stateful.rule(number=st.integers(0, 2))
    def restart(self, number: int) -> None:
        self.nodes[number] = Node(self.nodes[number].offset_s)

    @stateful.rule()
    def read_row(self) -> None:
        """Read the row for a later exchange."""
        self.held.append((self.row, self.row_version))

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(number=st.integers(0, 2), is_lost=st.booleans(), data=st.data())
    def exchange(self, number: int, is_lost: bool, data: st.DataObject) -> None:
        """Merge a row that was read before, and write it if it has not changed."""
        node = self.nodes[number]
        row, row_version = data.draw(st.sampled_from(self.held))
        if not node.is_started:
            return
        node.named = node.named.merge(row)
        can_write = row_version == self.row_version and not is_lost
        if can_write and node.named.improves(row, ROW_GAIN_MS):
            self.row, self.row_version = row.merge(node.named), row_version + 1

    @stateful.rule(seconds=st.sampled_from([0.5, 3.0, 6.0]))
    def name_while_nodes_read(self, seconds: float) -> None:
        """Name a version; no node loses the use of the one before too early.

        One of the nodes starts after the naming.
        """
        if self.newest >= 5:
            return
        for number in range(3):
            self.read(number, 0.0, 0.0, is_held=False)
        self.name_version()
        for number in range(3):
            self.read(number, 0.002, 0.002, is_held=False)
        self.read_row()
        node = self.nodes[0]
        node.named = node.named.merge(self.row)
        self.row, self.row_version = self.row.merge(node.named), self.row_version + 1
        self.restart(1)
        self.read(1, 0.0, 0.0, is_held=False)
        self.nodes[1].named = self.nodes[1].named.merge(self.row)
        self.now = self.named_at[self.newest] + seconds
        for node in self.nodes:
            now_ms = node.clock.latest_ms(self.local(node))
            least = node.named.least_usable(now_ms, BOUND_MS - MARGIN_MS)
            assert least < self.newest, "retired too early"

    @stateful.invariant()
    def no_version_is_used_after_its_bound(self) -> None:
        for node, version in itertools.product(self.nodes, range(self.newest)):
            if not node.is_started:
                continue
            now_ms = node.clock.latest_ms(self.local(node))
            is_used = (
                node.named.version
                > version
                >= node.named.least_usable(now_ms, BOUND_MS - MARGIN_MS)
            )
            retired_at = node.clock.earliest_at(
                node.named.last_current_ms(version) + BOUND_MS
            )
            may_begin = node.named.version > version and self.local(node) < retired_at
            age_ms = 1e3 * (self.now - self.named_at[version + 1])
            assert not is_used or age_ms <= BOUND_MS - MARGIN_MS, "used past the margin"
            assert not may_begin or age_ms <= BOUND_MS, "used past the bound"


Namings.TestCase.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)
TestNamings = Namings.TestCase

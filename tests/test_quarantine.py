"""Tests of crash counts under lost, late and duplicate reports."""

import itertools

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from snipelug_core import quarantine, refusal

CRASH = quarantine.Crash("c1", "u1")
OTHER = quarantine.Crash("c2", "u2")
RECORD = quarantine.Record("f", "t")
Standing = quarantine.Standing


@pytest.mark.parametrize(
    ("crashes", "standing"),
    [
        ([], Standing.CLEAR),
        ([CRASH], Standing.SUSPECT),
        ([CRASH, CRASH], Standing.SUSPECT),
        ([CRASH, OTHER], Standing.QUARANTINED),
    ],
)
def test_standing(
    crashes: list[quarantine.Crash], standing: quarantine.Standing
) -> None:
    """Guards against counting a duplicate report of a crash twice."""
    record = RECORD
    for crash in crashes:
        record = quarantine.add_crash(record, crash)
    assert quarantine.classify(record) is standing


CRASHES = st.builds(
    quarantine.Crash, st.sampled_from("abc"), st.just("u"), st.integers(0, 2)
)
EVENTS = st.lists(st.one_of(CRASHES, st.just("release")), max_size=5)


def build_record(events: list[quarantine.Crash | str]) -> quarantine.Record:
    record = RECORD
    for event in events:
        if isinstance(event, quarantine.Crash):
            record = quarantine.add_crash(record, event)
        else:
            record = quarantine.release(record)
    return record


@hypothesis.given(EVENTS, EVENTS, EVENTS)
def test_merge_does_not_depend_on_order(
    first: list[quarantine.Crash | str],
    second: list[quarantine.Crash | str],
    third: list[quarantine.Crash | str],
) -> None:
    """Guards against nodes with different counts after the same messages."""
    a, b, c = build_record(first), build_record(second), build_record(third)
    assert quarantine.merge(a, b) == quarantine.merge(b, a)
    left = quarantine.merge(quarantine.merge(a, b), c)
    assert left == quarantine.merge(a, quarantine.merge(b, c))
    assert quarantine.merge(left, b) == left


@pytest.mark.parametrize(
    ("epoch", "standing"), [(0, Standing.CLEAR), (1, Standing.SUSPECT)]
)
def test_crash_of_request_sent_before_release(
    epoch: int, standing: quarantine.Standing
) -> None:
    """Guards against a late crash report that undoes an operator's release."""
    released = quarantine.release(quarantine.add_crash(RECORD, CRASH))
    late = quarantine.Crash("c3", "u3", epoch)
    assert quarantine.classify(quarantine.add_crash(released, late)) is standing


def test_fingerprint_depends_on_team_and_body() -> None:
    """Guards against one team's request blocking the same body of another."""
    prints = {
        quarantine.fingerprint(b"k", team, body)
        for team in ("a", "b")
        for body in (b"x", b"y")
    }
    assert len(prints) == 4


def test_refusal_names_the_upstreams() -> None:
    """Guards against a refusal that does not name the crashed upstreams."""
    record = quarantine.add_crash(quarantine.add_crash(RECORD, CRASH), OTHER)
    refused = quarantine.build_refusal(record)
    assert refused.kind is refusal.QUARANTINED
    assert "u1, u2" in refused.message


class RepeatedRequest(stateful.RuleBasedStateMachine):
    """A request that crashes every upstream, retried through several nodes.

    A caller retries only after a response, and a response is sent only after the crash
    was written to the table. Before sending, a node has scanned the table or received
    the record from a peer; a scan may miss at most the last write.
    """

    def __init__(self) -> None:
        super().__init__()
        self.row = RECORD
        self.nodes: list[quarantine.Records] = [{} for _ in range(3)]
        self.ids = itertools.count()
        self.late_records: list[quarantine.Record] = []
        self.sent_in_epoch = 0

    @stateful.rule(
        node_index=st.integers(0, 2),
        notified_peers=st.sets(st.integers(0, 2)),
        write_twice=st.booleans(),
    )
    def send(
        self, node_index: int, notified_peers: set[int], write_twice: bool
    ) -> None:
        records = self.nodes[node_index]
        quarantine.merge_record(records, self.row)
        known = records["f"]
        if quarantine.classify(known) is Standing.QUARANTINED:
            return
        self.sent_in_epoch += 1
        crash = quarantine.Crash(str(next(self.ids)), "u", known.epoch)
        quarantine.merge_record(records, quarantine.add_crash(known, crash))
        for _ in range(1 + write_twice):
            self.row = quarantine.merge(self.row, records["f"])
        for peer in notified_peers:
            quarantine.merge_record(self.nodes[peer], records["f"])
        self.late_records.append(records["f"])

    @stateful.rule(node_index=st.integers(0, 2))
    def deliver_late(self, node_index: int) -> None:
        """Deliver old reports again, including those from before a release."""
        for record in self.late_records:
            quarantine.merge_record(self.nodes[node_index], record)

    @stateful.rule(node_index=st.integers(0, 2))
    def write_late(self, node_index: int) -> None:
        if "f" in self.nodes[node_index]:
            self.row = quarantine.merge(self.row, self.nodes[node_index]["f"])

    @stateful.rule(node_index=st.integers(0, 2))
    def restart_node(self, node_index: int) -> None:
        self.nodes[node_index] = {}

    @stateful.precondition(lambda self: self.row.crashes)
    @stateful.rule()
    def release(self) -> None:
        self.row = quarantine.release(self.row)
        self.sent_in_epoch = 0

    @stateful.invariant()
    def never_more_than_two_upstreams_die(self) -> None:
        assert self.sent_in_epoch <= quarantine.CRASH_LIMIT

    @stateful.invariant()
    def count_matches_crashes(self) -> None:
        """No crash is lost, counted twice or counted after a release."""
        assert len(self.row.crashes) == self.sent_in_epoch

    def teardown(self) -> None:
        for records in self.nodes:
            quarantine.merge_record(records, self.row)
            assert quarantine.classify(records["f"]) is quarantine.classify(self.row)


RepeatedRequest.TestCase.settings = hypothesis.settings(
    max_examples=100, deadline=None, derandomize=True
)
TestRepeatedRequest = RepeatedRequest.TestCase

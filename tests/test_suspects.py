"""Tests of suspects of crashes under lost messages, restarts and other crashes."""

import collections
import itertools

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from snipelug_core import quarantine
from tests import suspect_builders

LIMIT = quarantine.SUSPECT_LIMIT
SUSPICIONS = suspect_builders.suspicions("p")


@hypothesis.given(SUSPICIONS, SUSPICIONS, SUSPICIONS)
def test_merging_suspicions_does_not_depend_on_order(
    first: quarantine.Suspicion,
    second: quarantine.Suspicion,
    third: quarantine.Suspicion,
) -> None:
    """Guards against nodes that judge differently after the same messages."""
    assert first.merged(second) == second.merged(first)
    left = first.merged(second).merged(third)
    assert left == first.merged(second.merged(third))
    assert left.merged(second) == left


def test_crash_reported_by_several_nodes_counts_once() -> None:
    """Guards against withholding a part after one crash seen by three nodes."""
    ledger = quarantine.Ledger()
    for request in ("r1", "r2", "r3"):
        ledger.charge("crash", ["part", request])
    assert ledger.get("part").crashes == {"crash": {"part"}}


CHARGED = [("bad", "good"), ("bad", "good"), ("bad", "good")]
CASES = [
    pytest.param(CHARGED, (), ("bad", "good"), True, id="both"),
    pytest.param(CHARGED, (), ("good",), False, id="one-of-two-never-seen-apart"),
    pytest.param(CHARGED, ("good",), ("bad",), True, id="the-other-is-cleared"),
    pytest.param(CHARGED, ("good",), ("good", "new"), False, id="cleared"),
    pytest.param(CHARGED[:2], (), ("bad", "good"), False, id="two-crashes"),
    pytest.param(
        [("bad", "a"), ("bad", "b"), ("bad", "c")], (), ("bad", "d"), True, id="new"
    ),
]


@pytest.mark.parametrize(("charged", "cleared", "request_", "is_withheld"), CASES)
def test_only_requests_with_everything_suspect_are_withheld(
    charged: list[tuple[str, ...]],
    cleared: tuple[str, ...],
    request_: tuple[str, ...],
    is_withheld: bool,
) -> None:
    """Guards against withholding requests that share sound parts with others."""
    ledger = quarantine.Ledger()
    for number, suspects in enumerate(charged):
        ledger.charge(f"crash-{number}", suspects)
    for suspect in cleared:
        ledger.clear(suspect)
    assert (ledger.find(request_, LIMIT) is not None) is is_withheld


def test_requests_with_equal_suspects_are_withheld_because_of_one() -> None:
    """Guards against a probe for each of the suspects that were never seen apart."""
    ledger = quarantine.Ledger()
    for number in range(LIMIT):
        ledger.charge(f"{number}", ["part/a", "part/b", f"request/{number}"])
    found = (
        ledger.find(frozenset({f"request/{number}", "part/a", "part/b"}), LIMIT)
        for number in range(100)
    )
    assert {item.suspect for item in found if item is not None} == {"part/a"}


def test_memory_for_suspects_is_bounded() -> None:
    """Guards against memory that grows with each crash and each request."""
    ledger = quarantine.Ledger()
    for number in range(LIMIT):
        ledger.charge(f"{number:04d}", ["bad"])
    for number in range(quarantine.MAX_SUSPICIONS + 100):
        ledger.charge("1000", [f"request-{number}"])
    assert len(ledger) == quarantine.MAX_SUSPICIONS
    assert ledger.find(["bad"], LIMIT) is not None
    for number in range(200):
        ledger.charge(f"2{number:04d}", ["bad", "often"])
        ledger.clear("often")
    assert len(ledger.get("bad").crashes) == quarantine.MAX_CRASHES
    assert len(ledger.get("often").cleared) <= quarantine.MAX_CLEARED


@pytest.mark.parametrize(
    ("first", "second"),
    [
        (("m", "a"), ("n", "a")),
        (("m", "a"), ("m", "b")),
        (("m" * 200, "a"), ("m" * 200, "b")),
        (("é", "a"), ("é", "b")),
    ],
)
def test_parts_of_different_models_are_different_suspects(
    first: tuple[str, str], second: tuple[str, str]
) -> None:
    """Guards against row keys that collide or that the store rejects."""
    suspects = [quarantine.part_suspect(*each) for each in (first, second)]
    assert suspects[0] != suspects[1]
    assert all(len(suspect.encode()) <= 200 for suspect in suspects)


def test_message_of_a_long_suspicion_is_shortened() -> None:
    """Guards against a suspect that is not announced because it exceeds a datagram."""
    ledger = quarantine.Ledger()
    for number in range(8):
        ledger.charge(f"{number}", ["p", "q"])
    short = quarantine.shorten(ledger.get("p"), lambda s: len(s.crashes) <= LIMIT)
    assert sorted(short.crashes) == ["5", "6", "7"]


TIMES = st.integers(0, 8).map(float)


@hypothesis.given(crashes=st.lists(st.lists(TIMES, min_size=1, max_size=2), max_size=6))
def test_crashes_of_requests_sent_together_count_once(
    crashes: list[list[float]],
) -> None:
    """Guards against refusing a part because one event ended several upstreams.

    The limit of five crashes by a part that crashes upstreams holds all the same.
    """
    ledger = quarantine.Ledger()
    known_at: list[float] = []
    lengths: list[int] = []
    for number, sent in enumerate(crashes):
        now = max(*sent, *known_at, 0.0) + 0.5
        for sent_at in sent:
            ledger.charge(f"{number}", ["part"], sent_at, now)
        earlier = [
            length
            for at, length in zip(known_at, lengths, strict=True)
            if at < max(sent)
        ]
        lengths.append(1 + max(earlier, default=0))
        known_at.append(now)
    is_withheld = (
        max(lengths, default=0) >= LIMIT
        or len(crashes) >= quarantine.SIMULTANEOUS_LIMIT
    )
    assert (ledger.find(["part"], LIMIT) is not None) is is_withheld
    assert quarantine.SIMULTANEOUS_LIMIT < 5
    other = quarantine.Ledger()
    other.merge(ledger.get("part"))
    assert (other.find(["part"], LIMIT) is not None) is is_withheld


@hypothesis.given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["charge", "merge"]), st.integers(0, 2), st.integers(0, 2)
        ),
        max_size=20,
    )
)
def test_event_that_ends_three_upstreams_withholds_nothing_at_any_node(
    steps: list[tuple[str, int, int]],
) -> None:
    """Guards against nodes that take crashes of which they hear for independent.

    All requests were sent before the event; nodes learn of its crashes in any order.
    """
    ledgers = [quarantine.Ledger() for _ in range(3)]
    for now, (what, node, other) in enumerate(steps, start=1):
        if what == "charge":
            ledgers[node].charge(f"{other}", ["part"], 0.0, float(now))
        else:
            ledgers[node].merge(ledgers[other].get("part"), float(now))
        assert not any(ledger.is_withheld("part") for ledger in ledgers)


@hypothesis.given(nodes=st.lists(st.integers(0, 2), min_size=LIMIT, max_size=LIMIT))
def test_successive_crashes_withhold_their_part_at_all_nodes(nodes: list[int]) -> None:
    """Guards against a part that is sent again since each node knows of one crash."""
    ledgers = [quarantine.Ledger() for _ in range(3)]
    for number, node in enumerate(nodes):
        ledgers[node].charge(f"{number}", ["part"], 2.0 * number, 2.0 * number + 0.5)
        for ledger in ledgers:
            ledger.merge(ledgers[node].get("part"), 2.0 * number + 1.0)
    assert all(ledger.is_withheld("part") for ledger in ledgers)


def test_crashes_without_a_generation_are_independent() -> None:
    """Guards against a part that is sent again after crashes told by older programs."""
    ledger = quarantine.Ledger()
    crashes = {f"{number}": frozenset({"part"}) for number in range(LIMIT)}
    ledger.merge(quarantine.Suspicion("part", crashes))
    assert ledger.is_withheld("part")


def test_late_charge_of_a_cleared_crash_leaves_the_suspect_withheld() -> None:
    """Guards against sending a request of which three independent crashes are known."""
    ledger = quarantine.Ledger()
    ledger.charge("cleared", ["part"], 0.0, 1.0)
    ledger.clear("part")
    for number in range(quarantine.SUSPECT_LIMIT):
        ledger.charge(f"{number}", ["part"], 2.0 + 2.0 * number, 3.0 + 2.0 * number)
    assert ledger.is_withheld("part")
    ledger.charge("cleared", ["part"], 0.0, 20.0)
    assert ledger.is_withheld("part")


def test_simultaneous_crashes_are_forgotten_with_their_suspect() -> None:
    """Guards against new crashes that do not count, and against growing memory."""
    ledger = quarantine.Ledger()
    for number in range(LIMIT):
        ledger.charge(f"1{number}", ["part"], 0.0, 1.0)
    assert not ledger.is_withheld("part")
    ledger.clear("part")
    for number in range(LIMIT):
        ledger.charge(f"2{number}", ["part"], 2.0 + number, 2.5 + number)
    assert ledger.is_withheld("part")
    for number in range(2 * quarantine.MAX_SUSPICIONS):
        ledger.charge(f"{number:09d}", [f"r{number}"], 0.0, 1.0)
        ledger.forget(f"r{number}")
    assert len(ledger._known_since) <= quarantine.MAX_SUSPICIONS


class Nodes(stateful.RuleBasedStateMachine):
    """Nodes that send crashing and sound requests, restart and lose messages.

    One part crashes each engine that begins a request with it. A node that crashes an
    engine writes the row of a repeated suspect before it sends anything else; other
    nodes learn of crashes by messages, which may be lost, or from the rows when they
    start. Several copies of a request may be queued at an engine that crashes.
    """

    def __init__(self) -> None:
        super().__init__()
        self.nodes = [quarantine.Ledger() for _ in range(3)]
        self.rows: dict[str, quarantine.Suspicion] = {}
        self.frozen: dict[int, list[quarantine.Suspicion]] = {}
        self.crash_ids = (f"{number:06d}" for number in itertools.count())
        self.request_ids = (f"r{number}" for number in itertools.count())
        self.sends_after_sync: collections.Counter[int] = collections.Counter()
        self.is_synced = False

    def _request(self, parts: frozenset[str]) -> frozenset[str]:
        return parts | {next(self.request_ids)}

    def _share(self, node: int, suspects: frozenset[str], heard: set[int]) -> None:
        for suspect in suspects:
            known = self.nodes[node].get(suspect)
            if len(known.crashes) >= quarantine.RETRY_LIMIT or suspect in self.rows:
                row = self.rows.get(suspect, quarantine.Suspicion(suspect))
                self.rows[suspect] = row.merged(known)
            for peer in heard:
                if peer in self.frozen:
                    self.frozen[peer].append(known)
                else:
                    self.nodes[peer].merge(known)

    @stateful.rule(
        node=st.integers(0, 2),
        others=suspect_builders.SOUND_PARTS,
        queued=st.lists(suspect_builders.SOUND_PARTS, max_size=2),
        copies=st.sets(st.integers(0, 2)),
        heard=st.sets(st.integers(0, 2)),
        times=st.integers(1, 4),
    )
    def send_crashing(
        self,
        node: int,
        others: frozenset[str],
        queued: list[frozenset[str]],
        copies: set[int],
        heard: set[int],
        times: int,
    ) -> None:
        """Send requests with the part, while others wait at the same engine."""
        for _ in range(0 if node in self.frozen else times):
            self._send_crashing(node, others, queued, copies, heard)

    def _send_crashing(
        self,
        node: int,
        others: frozenset[str],
        queued: list[frozenset[str]],
        copies: set[int],
        heard: set[int],
    ) -> None:
        request = self._request(others | {suspect_builders.BAD})
        if self.nodes[node].find(request, LIMIT) is not None:
            return
        self.sends_after_sync[node] += self.is_synced
        crash_id = next(self.crash_ids)
        for charged in (request, *map(self._request, queued)):
            self.nodes[node].charge(crash_id, charged)
            self._share(node, charged, heard)
        for copy in copies - self.frozen.keys():
            again = self._request(others | {suspect_builders.BAD})
            self.nodes[copy].charge(crash_id, again)
            self._share(copy, again, heard)

    @stateful.rule(
        node=st.integers(0, 2),
        parts=suspect_builders.SOUND_PARTS,
        heard=st.sets(st.integers(0, 2)),
    )
    def send_sound(self, node: int, parts: frozenset[str], heard: set[int]) -> None:
        """Send a sound request; it is answered unless it is withheld."""
        request = self._request(parts)
        if node in self.frozen or self.nodes[node].find(request, LIMIT) is not None:
            return
        for suspect in request:
            self.nodes[node].clear(suspect)
        self._share(node, request, heard)

    @stateful.rule(
        node=st.integers(0, 2),
        queued=st.lists(suspect_builders.SOUND_PARTS, min_size=1, max_size=3),
        heard=st.sets(st.integers(0, 2)),
    )
    def kill_engine(
        self, node: int, queued: list[frozenset[str]], heard: set[int]
    ) -> None:
        """Kill an engine at which sound requests wait."""
        if node in self.frozen:
            return
        crash_id = next(self.crash_ids)
        for request in map(self._request, queued):
            self.nodes[node].charge(crash_id, request)
            self._share(node, request, heard)

    @stateful.rule(node=st.integers(0, 2))
    def restart(self, node: int) -> None:
        self.frozen.pop(node, None)
        self.nodes[node] = quarantine.Ledger()
        for row in self.rows.values():
            self.nodes[node].merge(row)

    @stateful.rule(node=st.integers(0, 2))
    def freeze(self, node: int) -> None:
        self.frozen.setdefault(node, [])

    @stateful.rule(node=st.integers(0, 2))
    def thaw(self, node: int) -> None:
        for message in self.frozen.pop(node, []):
            self.nodes[node].merge(message)

    @stateful.precondition(lambda self: not self.frozen)
    @stateful.rule()
    def exchange(self) -> None:
        """Let each node hear of all repeated suspects, as it does every few seconds."""
        repeated = {s.suspect for node in self.nodes for s in node.repeated()}
        for suspect in sorted(repeated):
            for sender, receiver in itertools.permutations(self.nodes, 2):
                receiver.merge(sender.get(suspect))
            row = self.rows.get(suspect, quarantine.Suspicion(suspect))
            for node in self.nodes:
                row = row.merged(node.get(suspect))
            self.rows[suspect] = row
        if any(n.count(suspect_builders.BAD) >= LIMIT for n in self.nodes):
            self.is_synced = True

    @stateful.invariant()
    def crashing_requests_stop(self) -> None:
        """Guard against more than one send for each part that was never seen apart."""
        largest = max(self.sends_after_sync.values(), default=0)
        assert largest <= suspect_builders.MAX_SOUND_PARTS

    @stateful.invariant()
    def crashing_part_is_never_cleared(self) -> None:
        assert not any(n.get(suspect_builders.BAD).cleared for n in self.nodes)

    def teardown(self) -> None:
        """Sound parts are answered again after one answer of each."""
        for node, ledger in enumerate(self.nodes):
            if node in self.frozen:
                continue
            for part in suspect_builders.SOUND:
                ledger.clear(part)
                request = self._request(frozenset({part}))
                assert ledger.find(request, LIMIT) is None


Nodes.TestCase.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
TestNodes = Nodes.TestCase


class RestoredNodes(Nodes):
    """The same with a store that goes back to copies of its rows.

    Each node then writes the rows that its ledger tells of. Rows hold what the nodes
    know, and nothing that all of them know to be cleared.
    """

    def __init__(self) -> None:
        super().__init__()
        self.copied_rows: dict[str, quarantine.Suspicion] = {}

    @stateful.rule()
    def copy_rows(self) -> None:
        self.copied_rows = dict(self.rows)

    @stateful.precondition(lambda self: not self.frozen)
    @stateful.rule()
    def restore_rows(self) -> None:
        suspects = self.rows.keys() | self.copied_rows.keys()
        self.rows = dict(self.copied_rows)
        for node in self.nodes:
            for row in self.rows.values():
                node.merge(row)
            for suspect in node.recorded():
                known = node.get(suspect)
                if known.crashes:
                    self.rows[suspect] = known
                else:
                    self.rows.pop(suspect, None)
        for suspect in sorted(suspects):
            known_by = [node.get(suspect) for node in self.nodes]
            is_cleared = all(not known.crashes for known in known_by)
            if is_cleared:
                assert suspect not in self.rows, "a cleared suspect has returned"
            if all(len(k.crashes) >= quarantine.RETRY_LIMIT for k in known_by):
                assert suspect in self.rows, "a suspect has no row"

    @stateful.precondition(lambda self: not self.frozen)
    @stateful.rule(part=st.sampled_from(suspect_builders.SOUND), copies=st.booleans())
    def clear_before_a_restore(self, part: str, copies: bool) -> None:
        """Answer a part after two crashes; the copy may have its row."""
        request = self._request(frozenset({part}))
        for _ in range(quarantine.RETRY_LIMIT):
            self.nodes[0].charge(next(self.crash_ids), request)
            self._share(0, request, {1, 2})
        if copies:
            self.copy_rows()
        for suspect in request:
            self.nodes[0].clear(suspect)
        self._share(0, request, {1, 2})
        self.restore_rows()


RestoredNodes.TestCase.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
TestRestoredNodes = RestoredNodes.TestCase

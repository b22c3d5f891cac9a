"""Property tests of configuration changes and the currency rules under failures."""

import hypothesis
import hypothesis.stateful
import hypothesis.strategies as st
import pytest

from snipelug_core import currency, member
from tests import changes_sim

SIZE = 5
CHECK_INTERVAL_S = 0.2
NODE = st.integers(0, SIZE - 1)


class Deployment(hypothesis.stateful.RuleBasedStateMachine):
    """Five nodes and a store, with faults in any order and combination."""

    @hypothesis.stateful.initialize(seed=st.integers(0, 2**32))
    def start(self, seed: int) -> None:
        self.sim = changes_sim.Sim(SIZE, seed)
        self.run(2.5)

    def run(self, seconds: float) -> None:
        end = self.sim.now + seconds
        while self.sim.now < end:
            self.sim.advance(CHECK_INTERVAL_S)
            self.sim.check()

    def node(self, index: int) -> changes_sim.Node:
        return self.sim.nodes[f"n{index}"]

    @hypothesis.stateful.rule(seconds=st.sampled_from([0.2, 1.0, 3.0, 6.0]))
    def wait(self, seconds: float) -> None:
        self.run(seconds)

    @hypothesis.stateful.rule(
        up=st.booleans(), lossy=st.booleans(), wait_s=st.sampled_from([0.0, 3.0, 6.0])
    )
    def switch_store(self, up: bool, lossy: bool, wait_s: float) -> None:
        self.sim.store_up = up
        self.sim.lose_answers = lossy
        self.run(wait_s)

    @hypothesis.stateful.rule(delay_s=st.sampled_from([0.01, 0.5, 2.0, 5.0]))
    def set_delay(self, delay_s: float) -> None:
        self.sim.delay_s = delay_s

    @hypothesis.stateful.rule(group=st.sets(NODE, min_size=1), with_store=st.booleans())
    def split(self, group: set[int], with_store: bool) -> None:
        ids = {f"n{i}" for i in group} | ({"store"} if with_store else set())
        others = {*self.sim.ids, "store"} - ids
        self.sim.cut = set()
        self.sim.cut_between(ids, others)

    @hypothesis.stateful.rule()
    def heal(self) -> None:
        self.sim.cut = set()

    @hypothesis.stateful.rule(index=NODE, to_store=st.booleans(), other=NODE)
    def cut_link(self, index: int, to_store: bool, other: int) -> None:
        end = "store" if to_store else f"n{other}"
        if end != f"n{index}":
            self.sim.cut_between([f"n{index}"], [end])

    @hypothesis.stateful.rule(index=NODE, pause_s=st.sampled_from([0.0, 1.0, 8.0]))
    def restart(self, index: int, pause_s: float) -> None:
        self.node(index).alive = False
        self.run(pause_s)
        self.sim.boot(f"n{index}")

    @hypothesis.stateful.rule(index=NODE)
    def freeze(self, index: int) -> None:
        self.node(index).frozen = True

    @hypothesis.stateful.rule(index=NODE)
    def thaw(self, index: int) -> None:
        self.sim.thaw(self.node(index))
        self.sim.check()

    @hypothesis.stateful.rule(
        indexes=st.lists(NODE, min_size=1, max_size=2),
        wait_s=st.sampled_from([0.0, 0.5, 2.0, 6.0]),
    )
    def propose(self, indexes: list[int], wait_s: float) -> None:
        for index in indexes:
            node = self.node(index)
            if node.alive and not node.frozen:
                self.sim.propose(node)
        self.run(wait_s)

    @hypothesis.stateful.rule(
        index=NODE, writer=NODE, lead_s=st.floats(0.0, 1.0), delay_s=st.floats(0.1, 2.0)
    )
    def freeze_through_a_change(
        self, index: int, writer: int, lead_s: float, delay_s: float
    ) -> None:
        self.sim.delay_s = delay_s
        self.sim.advance(lead_s)
        self.freeze(index)
        self.propose([writer], 6.0)
        self.run(2.0)
        self.sim.cut_between([f"n{index}"], [*self.sim.ids, "store"])
        self.thaw(index)
        self.sim.cut = set()
        self.sim.delay_s = 0.05

    @hypothesis.stateful.rule(index=NODE, lead_s=st.floats(0.0, 0.5))
    def lose_writer(self, index: int, lead_s: float) -> None:
        self.propose([index], 0.0)
        self.sim.advance(lead_s)
        self.sim.cut_between([f"n{index}", "store"], self.sim.ids)
        self.run(8.0)
        self.sim.cut = set()

    @hypothesis.stateful.rule(
        index=NODE, slow=st.sets(NODE), delay_s=st.floats(1.0, 4.0)
    )
    def isolate_with_responses_in_flight(
        self, index: int, slow: set[int], delay_s: float
    ) -> None:
        self.sim.delay_s = delay_s
        self.run(1.0)
        group = {f"n{k}" for k in slow}
        self.sim.cut_between(group, {*self.sim.ids, "store"} - group)
        self.sim.delay_s = 0.05
        self.propose([index], 8.0)
        self.sim.cut = set()


TestDeployment = Deployment.TestCase
TestDeployment.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)


class LargeDeployment(Deployment):
    """The same under the rules of large deployments.

    Heartbeats go to few nodes, reports are relayed, and the guarantee is 12 s.
    """

    @hypothesis.stateful.initialize(seed=st.integers(0, 2**32))
    def start(self, seed: int) -> None:
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(member, "LARGE_SIZE", SIZE - 1)
        self.patch.setattr(member, "FULL_FAN_OUT", 0)
        self.patch.setattr(member, "FAN_OUT", 2)
        super().start(seed)
        guarantee_s = 12.0
        self.sim.bound_s = guarantee_s / (1 - changes_sim.MAX_SKEW) + 0.001

    def teardown(self) -> None:
        if hasattr(self, "patch"):
            self.patch.undo()


TestLargeDeployment = LargeDeployment.TestCase
TestLargeDeployment.settings = TestDeployment.settings


def start(size: int = SIZE) -> changes_sim.Sim:
    sim = changes_sim.Sim(size, seed=7)
    sim.advance(3.0)
    return sim


def current_rule(sim: changes_sim.Sim, index: int) -> str:
    node = sim.nodes[f"n{index}"]
    outcome = currency.evaluate(node.state, node.members, sim.clock(node))
    return outcome.rule if isinstance(outcome, currency.Current) else outcome.reason


def test_all_serve_through_an_outage_without_interruption() -> None:
    """Guards against a gap between the last confirmation and the majority rule.

    When the store fails, nodes must be able to serve by majority before their last
    confirmation expires.
    """
    sim = start()
    sim.store_up = False
    for _ in range(150):
        sim.advance(0.1)
        for index in range(SIZE):
            assert current_rule(sim, index) in ("store", "peer", "majority")
    assert {current_rule(sim, index) for index in range(SIZE)} == {"majority"}


def test_minority_stops_and_majority_with_store_accepts_changes() -> None:
    """Guards against a minority that serves and a majority that cannot change.

    A partition separates two nodes from the other three and the store.
    """
    sim = start()
    minority, majority = {"n0", "n1"}, {"n2", "n3", "n4", "store"}
    sim.cut = {frozenset((a, b)) for a in minority for b in majority}
    sim.propose(sim.nodes["n2"])
    sim.advance(7.0)
    assert sim.proposals[0].verdict == "accepted"
    assert [current_rule(sim, k) for k in (2, 3, 4)] == ["store"] * 3
    assert "only 2 of 5" in current_rule(sim, 0)


def test_node_boots_during_an_outage() -> None:
    """Guards against nodes that cannot be replaced while the store is down."""
    sim = start()
    sim.propose(sim.nodes["n1"])
    sim.advance(3.0)
    sim.store_up = False
    sim.advance(8.0)
    sim.nodes["n0"].alive = False
    sim.boot("n0")
    sim.advance(3.0)
    assert "since its start" in current_rule(sim, 0)
    sim.advance(4.0)
    assert current_rule(sim, 0) == "majority"
    assert sim.nodes["n0"].cfg.revision == 1


def test_restart_does_not_invalidate_an_acceptance() -> None:
    """Guards against a restart that invalidates a report behind an acceptance.

    A node reports a revision, restarts and forgets it. If it counted in a majority
    at once, nodes without the revision could serve after the change was accepted.
    """
    sim = start()
    writer, reporter, late, others = "n0", "n1", "n2", ["n3", "n4"]
    sim.cut_between(sim.ids[1:], ["store"])
    sim.advance(3.0)
    sim.propose(sim.nodes[writer])
    sim.cut_between([writer, reporter], [late, *others])
    sim.advance(2.7)
    assert sim.nodes[reporter].cfg.revision == 1
    sim.nodes[reporter].alive = False
    sim.boot(reporter)
    sim.cut = set()
    sim.cut_between(sim.ids[1:], ["store"])
    sim.cut_between([writer], [reporter, late, *others])
    sim.advance(1.8)
    sim.cut -= {frozenset((writer, late))}
    sim.cut_between([late], [reporter, *others])
    sim.advance(1.2)
    assert sim.nodes[late].cfg.revision == 1
    assert sim.proposals[0].verdict == "accepted"
    sim.nodes[late].alive = False
    sim.cut_between([writer], sim.ids[1:])
    for _ in range(60):
        sim.advance(0.2)
        sim.check()


def test_peer_with_store_confirms_others() -> None:
    """Guards against needless refusals when only some nodes can read the store."""
    sim = start()
    sim.cut = {frozenset((f"n{k}", "store")) for k in range(1, SIZE)}
    sim.advance(20.0)
    assert [current_rule(sim, k) for k in range(SIZE)] == ["store"] + ["peer"] * (
        SIZE - 1
    )


def test_revoked_member_counts_until_its_instance_is_gone() -> None:
    """Guards against a majority that shrinks while revoked nodes may still serve."""
    members = member.Members("a")
    rows = [member.Member(k, "", "h", 1) for k in "abc"]
    rows += [member.Member(k, "", "h", 1, revoked=True) for k in "de"]
    members.replace(rows)
    assert not members.is_majority({"a", "b"})
    members.replace(
        [*rows[:4], member.Member("e", "", "h", 1, revoked=True, gone=True)]
    )
    assert members.voters() == frozenset("abcd")

"""Tests of the grants for saves: no part is read while it is written again.

The engines make saves late, at a store that restarts; nodes join, leave, restart, are
frozen, read the members late and lose messages, and the store loses events.
"""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from snipelug_core import kv_index, save_grants
from tests import relay_builders, save_grants_world

NODES = ("a", "b", "c", "d")
PARTS = ("p", "q")
LATE = (0.05, 0.3, 1.5, 4.0, 9.5, 11.5, None)


class Saves(stateful.RuleBasedStateMachine):
    """State machine; the world raises an error when an incomplete part is read."""

    @stateful.initialize(
        is_first_start=st.booleans(), count=st.integers(2, 4), is_settled=st.booleans()
    )
    def begin(self, is_first_start: bool, count: int, is_settled: bool) -> None:
        self.world = save_grants_world.World(is_first_start)
        self.world.start_together(*NODES[:count])
        if is_settled:
            self.world.settle()

    def pick(self, number: int) -> save_grants_world.Node:
        nodes = list(self.world.nodes.values())
        return nodes[number % len(nodes)]

    @stateful.rule(seconds=st.sampled_from([0.1, 0.4, 1.0, 2.5, 4.0]))
    def live(self, seconds: float) -> None:
        self.world.live(seconds)

    @stateful.rule(
        seconds=st.sampled_from([0.1, 0.5, 1.2, 1.7, 6.0, 12.0, 21.0]),
        polling=st.sets(st.integers(0, 3), max_size=3),
        reading=st.sets(st.integers(0, 3), max_size=3),
    )
    def pass_time(self, seconds: float, polling: set[int], reading: set[int]) -> None:
        """Let time pass; only some nodes poll the store or read the members."""
        self.world.advance(seconds)
        for number in polling:
            self.world.poll(self.pick(number))
        for number in reading:
            self.world.read_members(self.pick(number))

    @stateful.rule()
    def calm(self) -> None:
        self.world.settle()

    @stateful.rule(number=st.integers(0, 3))
    def poll(self, number: int) -> None:
        self.world.poll(self.pick(number))

    @stateful.rule(number=st.integers(0, 3))
    def send_members_call(self, number: int) -> None:
        """Begin to read the members; the response arrives later."""
        world = self.world
        node = self.pick(number)
        node.late_view = save_grants.View(dict(world.rows), world.now)

    @stateful.rule(number=st.integers(0, 3))
    def receive_members(self, number: int) -> None:
        node = self.pick(number)
        if node.late_view is not None:
            node.coordinator.set_members(node.late_view, self.world.now)
            node.late_view = None

    @stateful.rule(
        number=st.integers(0, 3),
        part=st.sampled_from(PARTS),
        network=st.builds(
            save_grants_world.Network, st.booleans(), st.booleans(), st.booleans()
        )
        | st.just(save_grants_world.Network()),
        run=st.builds(
            save_grants_world.Run,
            st.sampled_from([0.0, 0.0, 0.0, 1.9, 2.5]),
            st.sampled_from(LATE),
            st.booleans(),
        ),
    )
    def ask(
        self,
        number: int,
        part: str,
        network: save_grants_world.Network,
        run: save_grants_world.Run,
    ) -> None:
        self.world.ask(self.pick(number), part, network, run)

    @stateful.rule(part=st.sampled_from(PARTS))
    def ask_all(self, part: str) -> None:
        """Send prompts with one part by all nodes at about the same time."""
        for node in list(self.world.nodes.values()):
            self.world.ask(node, part, run=save_grants_world.Run(saved_after_s=0.3))

    @stateful.rule(
        steps=st.lists(
            st.tuples(
                st.sampled_from(["ask", "ask", "ask", "poll", "restart"]),
                st.integers(0, 3),
                st.sampled_from([0.05, 0.3, 0.8]),
                st.sampled_from([0.1, 0.5, 1.0, 2.5]),
            ),
            min_size=4,
            max_size=12,
        )
    )
    def burst(self, steps: list[tuple[str, int, float, float]]) -> None:
        """Send prompts with one part in short order, beside polls and restarts."""
        for what, number, pause_s, saved_after_s in steps:
            node = self.pick(number)
            if what == "ask":
                run = save_grants_world.Run(saved_after_s=saved_after_s)
                self.world.ask(node, "p", run=run)
            elif what == "poll":
                self.world.poll(node)
            else:
                self.world.restart_store()
            self.world.advance(pause_s)

    @stateful.rule()
    def restart_store(self) -> None:
        self.world.restart_store()

    @stateful.rule(part=st.sampled_from(PARTS))
    def lose_event(self, part: str) -> None:
        self.world.lose_event(part)

    @stateful.rule(node_id=st.sampled_from(NODES))
    def start(self, node_id: str) -> None:
        """Start a node, or restart one."""
        self.world.start(node_id)

    @stateful.precondition(lambda self: len(self.world.nodes) > 1)
    @stateful.rule(node_id=st.sampled_from(NODES))
    def stop(self, node_id: str) -> None:
        if set(self.world.nodes) != {node_id}:
            self.world.stop(node_id)

    @stateful.rule()
    def end_stops(self) -> None:
        self.world.end_stops()

    @stateful.rule(loses_terms=st.booleans())
    def lose_terms(self, loses_terms: bool) -> None:
        """Lose the messages by which terms are handed over, or no longer."""
        self.world.loses_terms = loses_terms


Saves.TestCase.settings = hypothesis.settings(
    max_examples=400, stateful_step_count=40, deadline=None, derandomize=True
)
TestSaves = Saves.TestCase


def settled_world(*node_ids: str) -> save_grants_world.World:
    world = save_grants_world.World()
    world.start_together(*(node_ids or NODES))
    return world


@pytest.mark.parametrize("size", [1, 3, 79, 780])
def test_one_of_many_prompts_saves_a_new_part(size: int) -> None:
    """Guards against parts that are never saved, or saved by several nodes at once."""
    world = settled_world(*(f"n{number}" for number in range(size)))
    plans = [world.ask(node, "p") for node in world.nodes.values()]
    assert sum(any(plan.targets) for plan in plans) == 1
    world.live(1.5)
    assert world.saved == 1
    plans = [world.ask(node, "p") for node in world.nodes.values()]
    assert all(any(plan.sources) for plan in plans)


def test_late_save_of_a_part_that_others_read_is_not_granted() -> None:
    """Guards against reads of a part that is saved again after a restart (review/6).

    The second node has not polled since the first one's save was reported, so it wants
    to save the part as well, and the store restarts before its engine does.
    """
    world = settled_world("a", "b", "c")
    first, second, third = world.nodes.values()
    world.ask(first, "p")
    world.advance(0.7)
    world.poll(third)
    late = world.ask(second, "p", run=save_grants_world.Run(saved_after_s=0.25))
    world.restart_store()
    world.advance(0.1)
    assert any(world.ask(third, "p").sources)
    world.advance(1.0)
    assert not any(late.targets)


def test_saves_resume_soon_after_a_restart_of_the_store() -> None:
    """Guards against parts that are read again for long after a restart."""
    world = settled_world()
    world.ask(world.nodes["a"], "p")
    world.live(1.0)
    world.restart_store()
    world.live(kv_index.RESTART_SAVE_DELAY_S + 0.5)
    assert any(world.ask(world.nodes["b"], "p").targets)


def test_part_is_granted_again_after_a_rejection() -> None:
    """Guards against parts that are not saved as an engine rejected a prompt."""
    world = settled_world()
    world.ask(world.nodes["a"], "p", run=save_grants_world.Run(is_rejected=True))
    assert any(world.ask(world.nodes["b"], "p").targets)


def test_part_is_granted_again_after_a_failed_save() -> None:
    """Guards against parts that are never saved as the first save came to nothing."""
    world = settled_world()
    node = world.nodes["a"]
    world.ask(node, "p", run=save_grants_world.Run(saved_after_s=None))
    granted = []
    for _ in range(80):
        world.live(1.0)
        world.read_all_members()
        granted.append(any(world.ask(node, "p").targets))
    first = granted.index(True)
    assert first <= save_grants_world.LONGEST_S + save_grants.SAVE_MARGIN_S + 45


def test_failed_save_is_left_to_another_store() -> None:
    """Guards against waiting for a list where another store has room."""
    stores = [relay_builders.kv_store(f"s{i}", port=90 + i) for i in range(2)]
    index = relay_builders.fresh_index(0.0, *stores)
    part = save_grants_world.PARTS[0]
    preferred, other = index.ranked_stores(part)
    preferred.record_failed((save_grants_world.SALT, part.id), 0.0)
    wanted = index.wanted_saves(save_grants_world.PARTS, save_grants_world.SALT, 0.1)
    assert wanted[part.id].state is other


def test_repeated_claim_gets_the_same_answer() -> None:
    """Guards against a claim that is denied as its first copy was granted."""
    world = settled_world()
    twice = save_grants_world.Network(repeats_claim=True)
    assert any(world.ask(world.nodes["a"], "p", twice).targets)


def first_node(world: save_grants_world.World) -> str:
    """Return the node that ranks first for the store."""
    node = next(iter(world.nodes.values()))
    return node.coordinator.coordinator_of(world.store.address) or ""


def grants(world: save_grants_world.World) -> list[str]:
    """Return the nodes that grant saves now."""
    return [
        node.node_id
        for node in world.nodes.values()
        if node.coordinator.may_grant(node.state, world.now)
    ]


def test_rolling_restart_leaves_few_moments_without_grants() -> None:
    """Guards against parts that are not saved for long after planned stops."""
    world = settled_world()
    gap_s = 0.0
    for node_id in NODES:
        world.stop(node_id)
        for moment in range(60):
            if moment == 4:
                world.end_stops()
                world.start(node_id)
            world.live(0.5)
            if moment % 8 == 0:
                world.read_all_members()
            assert len(grants(world)) <= 1
            gap_s += 0.5 * (not grants(world))
    assert gap_s <= 0.5 * 4 * len(NODES)


def test_saves_that_were_open_at_a_handover_are_not_granted_again() -> None:
    """Guards against a node that does not know what the one before has granted."""
    world = settled_world()
    before = first_node(world)
    other = next(node for node in NODES if node != before)
    late = save_grants_world.Run(saved_after_s=9.0)
    assert any(world.ask(world.nodes[other], "p", run=late).targets)
    world.stop(before)
    world.live(2.0)
    assert grants(world)
    assert grants(world) != [before]
    for node in world.nodes.values():
        assert not any(world.ask(node, "p").targets)


def test_second_answer_with_a_term_is_ignored() -> None:
    """Guards against a term that a late copy of a message gives once more."""
    world = settled_world("a", "b")
    first = first_node(world)
    holder = world.nodes[first].coordinator
    (other,) = {"a", "b"} - {first}
    taker = world.nodes[other].coordinator
    taker.record_left(holder.leave(), world.now)
    taker.follow({world.store.address}, 10.0, world.now)
    (request,) = (message for _, message in taker.term_requests(world.now))
    handover = holder.cede(other, request, world.nodes[first].state, world.now)
    assert handover is not None
    late = world.now + save_grants.HANDOVER_VALID_S + 0.1
    taker.accept(handover, late)
    assert not taker.is_settled(world.store.address, late)
    taker.accept(handover, world.now + 0.1)
    assert taker.is_settled(world.store.address, world.now + 0.1)


def test_all_nodes_restarted_grant_after_the_requests_of_before_have_ended() -> None:
    """Guards against a save by a request of a process that has ended, and a new one."""
    world = save_grants_world.World(is_first_start=False)
    world.start_together(*NODES)
    began = world.nodes["a"].started_at
    while not grants(world):
        world.live(0.5)
    least_s = save_grants_world.LONGEST_S + save_grants.DEAD_SAVE_MARGIN_S
    assert least_s <= world.now - began <= least_s + 5.0


def test_node_that_joins_grants_after_all_earlier_grants_have_ended() -> None:
    """Guards against two coordinators whose reads of the members differ."""
    world = settled_world("b", "c", "d")
    joined_at = world.now
    world.start("a")
    world.read_all_members()
    while world.nodes["a"].coordinator.coordinator_of(world.store.address) != "a":
        # The next address for which the new node ranks first.
        world.store = relay_builders.kv_store(port=world.store.port + 1)
    state = save_grants_world.store_state(world.store, world.now)
    coordinator = world.nodes["a"].coordinator
    granting_at = None
    while granting_at is None:
        world.now += 0.5
        world.read_members(world.nodes["a"])
        state.polled_at = world.now
        coordinator.follow({world.store.address}, 10.0, world.now)
        if coordinator.needs_list(state, world.now):
            coordinator.record_list(state, (), world.now)
        if coordinator.may_grant(state, world.now):
            granting_at = world.now
    waited_s = granting_at - joined_at
    least_s = save_grants.MAX_VIEW_AGE_S + 10.0 + save_grants.SAVE_MARGIN_S
    assert least_s <= waited_s <= least_s + 1.0


def test_save_that_outlives_an_epoch_is_not_granted_twice() -> None:
    """Guards against a second save of a part that a late save may still write.

    The first one is made after the restart and read. After another restart, a node
    that has not polled since would read what the second one writes.
    """
    world = settled_world()
    nodes = list(world.nodes.values())
    world.ask(nodes[0], "p", run=save_grants_world.Run(saved_after_s=6.0))
    world.advance(0.5)
    world.restart_store()
    world.live(kv_index.RESTART_SAVE_DELAY_S + 0.5)
    assert not any(world.ask(nodes[1], "p").targets)


def test_list_does_not_end_a_save_that_may_still_be_made() -> None:
    """Guards against a second grant as a list lacks a part whose save is late."""
    world = settled_world("a")
    node = world.nodes["a"]
    world.ask(node, "p", run=save_grants_world.Run(saved_after_s=None))
    world.advance(0.1)
    node.coordinator.record_list(node.state, (), world.now)
    answer = node.coordinator.decide(
        "b", save_grants_world.claim(99, "p"), node.state, world.now
    )
    assert answer.verdicts == [save_grants.Verdict.BUSY]


def test_new_coordinator_learns_of_a_part_whose_event_was_lost() -> None:
    """Guards against a second save of a part that some nodes know to be stored."""
    world = settled_world("a")
    world.lose_event("p")
    world.ask(world.nodes["a"], "p")
    world.live(1.0)
    world.start("a")
    world.settle()
    node = world.nodes["a"]
    assert node.coordinator.may_grant(node.state, world.now)
    assert (save_grants_world.SALT, "p") in node.state.parts


def test_part_that_is_being_written_at_the_first_list_is_not_granted() -> None:
    """Guards against a second save of a part that an earlier coordinator granted."""
    world = settled_world("a")
    node = world.nodes["a"]
    key = (save_grants_world.SALT, "p")
    node.coordinator.record_list(node.state, {key}, world.now)
    answer = node.coordinator.decide(
        "b", save_grants_world.claim(99, "p"), node.state, world.now
    )
    assert answer.verdicts != [save_grants.Verdict.GRANTED]


def test_freed_part_is_not_granted_while_others_may_read_it() -> None:
    """Guards against a save of a part that another node still expects to be there."""
    world = settled_world("a")
    node = world.nodes["a"]
    key = (save_grants_world.SALT, "p")
    node.state.add(key, save_grants_world.TOKENS, world.now)
    node.state.drop(key)
    node.coordinator.record_freed(node.state, [key], world.now)
    answer = node.coordinator.decide(
        "b", save_grants_world.claim(99, "p"), node.state, world.now
    )
    assert answer.verdicts == [save_grants.Verdict.BUSY]


def test_node_with_old_members_grants_nothing() -> None:
    """Guards against grants of a node that does not know that another one took over."""
    world = settled_world("a")
    node = world.nodes["a"]
    assert node.coordinator.may_grant(node.state, world.now)
    world.live(save_grants.MAX_VIEW_AGE_S)
    assert not node.coordinator.may_grant(node.state, world.now)


def test_open_saves_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory that grows with saves that come to nothing."""
    monkeypatch.setattr(save_grants, "MAX_OUTSTANDING", 50)
    world = settled_world("a")
    node = world.nodes["a"]
    for number in range(200):
        message = save_grants_world.claim(number, f"p{number}")
        node.coordinator.decide("a", message, node.state, world.now)
    assert node.coordinator.open_saves() == 50

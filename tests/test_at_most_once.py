"""Tests at-most-once execution with a state machine that injects faults at any step."""

import random

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as st

from snipelug_core import claim, ownership, session
from tests import world

KEYS = st.sampled_from(["a", "a", "a", "b"])
ITEMS = st.sampled_from(["upstream:u", "upstream:u", "team:t"])
FAULTS = st.sampled_from(["", "", "", "lost", "late"])
INDICES = st.integers(0, 30)
PAUSED_INDICES = st.integers(-2, 2)
# A revocation waits for twice the lease, so clock rates may differ by less than a
# factor of two.
RATES = st.sampled_from([0.8, 1.0, 1.25])
SKEWS = st.sampled_from([-3.0, 0.0, 3.0])


class Nodes(stateful.RuleBasedStateMachine):
    """Guards against second runs, false ``not_run`` and two valid owners at a time."""

    def __init__(self) -> None:
        super().__init__()
        self.world = world.World()
        self.names = iter(f"n{number}" for number in range(1, 1000))

    @stateful.initialize(rates=st.lists(RATES, min_size=3, max_size=3), skew=SKEWS)
    def boot(self, rates: list[float], skew: float) -> None:
        for rate in rates:
            node = self.world.boot(next(self.names), rate, skew)
            self.world.listed.add(node.id)
            self.world.read_list(node, lagging=False)
            self.world.start(node, "renew", session.renew(node.lease, self.now(node)))
        self.run_without_faults()

    def now(self, node: world.Node) -> float:
        return self.world.clock(node)

    def pick_node(self, number: int) -> world.Node:
        alive = self.world.alive()
        return alive[number % len(alive)]

    def run_without_faults(self) -> None:
        """Run all tasks for several steps without faults."""
        for _ in range(8):
            for task in list(self.world.tasks):
                self.step(task, "", "")

    def step(self, task: world.Task, fault: str, send_fault: str) -> None:
        if task not in self.world.tasks:
            return
        if task.outcome is None:
            self.world.perform(task, fault)
            self.world.check()
        self.world.resume(task, send_fault)

    @stateful.rule(
        number=INDICES, key=KEYS, body=st.sampled_from(["x", "x", "x", "x", "y"])
    )
    def call(self, number: int, key: str, body: str) -> None:
        self.world.start_call(self.pick_node(number), key, body, 60.0)

    @stateful.rule(number=INDICES)
    def work(self, number: int) -> None:
        self.do_periodic_work(self.pick_node(number))

    @stateful.rule(number=INDICES, item=ITEMS)
    def acquire(self, number: int, item: str) -> None:
        node = self.pick_node(number)
        flow = ownership.acquire(node.owners, item, node.instance_list_view)
        self.world.start(node, item, flow)

    @stateful.rule(number=INDICES, item=ITEMS, other=INDICES)
    def hand_over(self, number: int, item: str, other: int) -> None:
        node, successor_node = self.pick_node(number), self.pick_node(other)
        successor = None
        if successor_node is not node and successor_node.lease.session:
            listed = successor_node.id in node.instance_list_view.listed
            successor = ownership.Successor(
                successor_node.lease.session, successor_node.owners.own_process, listed
            )
        flow = ownership.hand_over(node.owners, item, successor)
        self.world.start(node, item, flow)

    @stateful.rule(number=INDICES, lagging=st.booleans())
    def read_list(self, number: int, lagging: bool) -> None:
        self.world.read_list(self.pick_node(number), lagging)

    @stateful.rule(number=INDICES, key=KEYS)
    def settle(self, number: int, key: str) -> None:
        node = self.pick_node(number)
        wall = self.world.now + node.wall_skew_s
        self.world.start(node, f"settle {key}", self.world.settle_flow(key, wall))

    @stateful.rule(number=INDICES, fault=FAULTS, send_fault=FAULTS)
    def advance(self, number: int, fault: str, send_fault: str) -> None:
        if self.world.tasks:
            task = self.world.tasks[number % len(self.world.tasks)]
            self.step(task, fault, send_fault)

    @stateful.rule(number=INDICES, fault=FAULTS)
    def perform_and_pause(self, number: int, fault: str) -> None:
        if self.world.tasks:
            task = self.world.tasks[number % len(self.world.tasks)]
            if task.outcome is None:
                self.world.perform(task, fault)

    @stateful.rule(steps=st.integers(1, 6), frozen=PAUSED_INDICES)
    def advance_all(self, steps: int, frozen: int) -> None:
        self.advance_others(steps, frozen)

    def advance_others(self, steps: int, frozen: int) -> None:
        """Run the tasks of all nodes, except a paused one, without faults."""
        paused = self.pick_node(frozen) if frozen >= 0 else None
        for _ in range(steps):
            for task in list(self.world.tasks):
                if task.node is not paused:
                    self.step(task, "", "")

    @stateful.rule(rounds=st.sampled_from([1, 2, 4, 9, 17]), frozen=PAUSED_INDICES)
    def pass_time(self, rounds: int, frozen: int) -> None:
        """Advance the time by 4 s a round; all nodes but one do their periodic work."""
        paused = self.pick_node(frozen) if frozen >= 0 else None
        for _ in range(rounds):
            self.world.now += 4.0
            self.world.check()
            for node in self.world.alive():
                if node is not paused:
                    self.do_periodic_work(node)
            self.advance_others(3, frozen)

    def do_periodic_work(self, node: world.Node) -> None:
        self.world.start(node, "renew", session.renew(node.lease, self.now(node)))
        self.world.start(node, "scan", self.world.scan_flow(node))
        self.world.start(node, "owners", self.world.scan_owners_flow(node))

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 9.0]))
    def pause_all(self, seconds: float) -> None:
        self.world.now += seconds

    @stateful.rule(seconds=st.sampled_from([2.0, 10.0, 40.0]))
    def outage(self, seconds: float) -> None:
        self.world.store_down_until = self.world.now + seconds

    @stateful.rule(number=INDICES)
    def late_write_takes_effect(self, number: int) -> None:
        late = self.world.store.late
        if late:
            self.world.store.apply(late.pop(number % len(late)))

    @stateful.rule(number=INDICES, seconds=st.sampled_from([5.0, 50.0]))
    def cut(self, number: int, seconds: float) -> None:
        self.pick_node(number).cut_until = self.world.now + seconds

    @stateful.rule(number=INDICES, rate=RATES, skew=SKEWS)
    def restart(self, number: int, rate: float, skew: float) -> None:
        old = self.pick_node(number)
        self.world.kill(old)
        self.world.boot(old.id, rate, skew)

    @stateful.rule(number=INDICES, rate=RATES, skew=SKEWS)
    def replace(self, number: int, rate: float, skew: float) -> None:
        old = self.pick_node(number)
        self.world.kill(old)
        self.world.set_listed(self.world.listed - {old.id})
        self.world.boot(next(self.names), rate, skew)

    @stateful.rule()
    def list_new_nodes(self) -> None:
        self.world.set_listed({node.id for node in self.world.alive()})

    @stateful.rule(seed=st.integers(0, 2**32 - 1), steps=st.sampled_from([50, 400]))
    def storm(self, seed: int, steps: int) -> None:
        """Run a random schedule, which is longer than a sequence of rules can be."""
        rng = random.Random(seed)
        actions, weights = zip(*RANDOM_ACTIONS, strict=True)
        for action in rng.choices(actions, weights, k=steps):
            action(self, rng)
            self.world.check()

    def random_step(self, rng: random.Random) -> None:
        tasks = [task for task in self.world.tasks if not self.frozen(task.node)]
        if tasks:
            fault = rng.choice(["", "", "", "", "", "", "lost", "late"])
            self.step(rng.choice(tasks), fault, rng.choice(["", "", "lost"]))

    def random_pause(self, rng: random.Random) -> None:
        """Freeze a node at a step, at the send if any task is about to send."""
        tasks = [task for task in self.world.tasks if task.outcome is None]
        sending = [
            task for task in tasks if isinstance(task.pending_step, claim.Dispatch)
        ]
        if not tasks:
            return
        task = rng.choice(sending or tasks)
        if rng.random() < 0.5:
            self.world.perform(task, rng.choice(["", "", "lost", "late"]))
        task.node.frozen_until = self.world.now + rng.choice([1, 12, 50, 200])

    def random_freeze(self, rng: random.Random) -> None:
        node = rng.choice(self.world.alive())
        node.frozen_until = self.world.now + rng.choice([12, 50, 200])

    def random_delay(self, rng: random.Random) -> None:
        self.world.now += rng.choice([0.1, 0.5, 2.0])

    def random_round(self, rng: random.Random) -> None:
        """Advance the time by 4 s; nodes that are not frozen do their periodic work."""
        self.world.now += 4.0
        self.world.check()
        for node in self.world.alive():
            if not self.frozen(node):
                self.do_periodic_work(node)
        for _ in range(3):
            for task in list(self.world.tasks):
                if not self.frozen(task.node):
                    self.step(task, rng.choice([""] * 19 + ["late"]), "")

    def frozen(self, node: world.Node) -> bool:
        return self.world.now < node.frozen_until

    @stateful.invariant()
    def holds(self) -> None:
        self.world.check()


def random_index(rng: random.Random) -> int:
    return rng.randrange(30)


def item(rng: random.Random) -> str:
    return rng.choice(["upstream:u", "upstream:u", "team:t"])


def key(rng: random.Random) -> str:
    return rng.choice(["a", "b", "c"])


RANDOM_ACTIONS = [
    (Nodes.random_step, 50.0),
    (Nodes.random_delay, 6.0),
    (Nodes.random_round, 14.0),
    (Nodes.random_pause, 2.0),
    (Nodes.random_freeze, 0.5),
    (lambda m, r: m.call(random_index(r), key(r), r.choice("xxxxy")), 8.0),
    (lambda m, r: m.work(random_index(r)), 4.0),
    (lambda m, r: m.acquire(random_index(r), item(r)), 8.0),
    (lambda m, r: m.hand_over(random_index(r), item(r), random_index(r)), 3.0),
    (lambda m, r: m.read_list(random_index(r), r.random() < 0.5), 5.0),
    (lambda m, r: m.settle(random_index(r), key(r)), 6.0),
    (lambda m, r: m.late_write_takes_effect(random_index(r)), 4.0),
    (lambda m, r: m.outage(r.choice([2.0, 10.0])), 0.5),
    (lambda m, r: m.cut(random_index(r), r.choice([2.0, 5.0, 50.0])), 1.0),
    (lambda m, r: m.restart(random_index(r), r.choice([0.8, 1.0, 1.25]), 1.0), 0.5),
    (lambda m, r: m.replace(random_index(r), r.choice([0.8, 1.0, 1.25]), -1.0), 0.5),
    (lambda m, _: m.list_new_nodes(), 0.7),
]

Nodes.TestCase.settings = hypothesis.settings(
    max_examples=200,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestNodes = Nodes.TestCase


def test_sender_paused_until_its_claim_was_settled() -> None:
    """Guards against a send after an operator settled its claim."""
    machine = Nodes()
    machine.boot([1.0, 1.0, 1.0], 0.0)
    model = machine.world
    machine.call(0, "a", "x")
    task = model.tasks[-1]
    machine.step(task, "", "")
    assert isinstance(task.pending_step, claim.Dispatch)
    machine.pass_time(20, frozen=0)
    machine.settle(1, "a")
    machine.advance_others(4, frozen=0)
    machine.call(1, "a", "x")
    machine.advance_others(6, frozen=0)
    assert len(model.runs["a"]) == 1
    machine.step(task, "", "")
    model.check()
    assert len(model.runs["a"]) == 1

"""A simulated deployment: nodes with skewed clocks, lossy links, a flaky store."""

import collections.abc
import dataclasses
import heapq
import itertools
import random

from snipelug_core import change, contract, currency, member, proposal

MAX_SKEW = 0.05
GUARANTEE_S = 5.0
ANSWER_TIMEOUT_S = 1.5
PUSH_S = 6.0

Callback = collections.abc.Callable[[], None]


@dataclasses.dataclass
class Node:
    """One process; a reboot makes a new one with the same id."""

    node_id: str
    offset: float
    rate: float
    state: currency.State
    members: member.Members
    cfg: contract.Config = dataclasses.field(default_factory=contract.Config)
    log: dict[int, change.Change] = dataclasses.field(default_factory=dict)
    alive: bool = True
    frozen: bool = False
    deferred: list[Callback] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Answer:
    """What an operator was told about a change."""

    change: change.Change
    verdict: str = "open"
    at: float = 0.0


class Sim:
    """Event queue over true time; each node reads only its own clock."""

    def __init__(self, size: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.bound_s = GUARANTEE_S / (1 - MAX_SKEW) + 0.001
        self.queue: list[tuple[float, int, Callback]] = []
        self.order = itertools.count()
        self.ids = [f"n{i}" for i in range(size)]
        self.rows = [member.Member(k, "", "h", 1) for k in self.ids]
        self.store: dict[int, change.Change] = {}
        self.store_up = True
        self.lose_answers = False
        self.delay_s = 0.05
        self.cut: set[frozenset[str]] = set()
        self.answers: list[Answer] = []
        self.nodes: dict[str, Node] = {}
        self.boots = itertools.count()
        self.unique = itertools.count()
        for node_id in self.ids:
            self.boot(node_id)

    # Time and delivery

    def at(self, delay: float, action: Callback) -> None:
        heapq.heappush(self.queue, (self.now + delay, next(self.order), action))

    def on(self, node: Node, delay: float, action: Callback) -> None:
        """Run an action at a node: never once dead, later while frozen."""

        def run() -> None:
            if node.frozen:
                node.deferred.append(run)
            elif node.alive:
                action()

        self.at(delay, run)

    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = end

    def clock(self, node: Node) -> float:
        return node.offset + node.rate * self.now

    def transit(self) -> float:
        return self.rng.uniform(0.001, self.delay_s)

    def linked(self, a: str, b: str) -> bool:
        return frozenset((a, b)) not in self.cut

    def cut_between(
        self, a: collections.abc.Iterable[str], b: collections.abc.Iterable[str]
    ) -> None:
        """Cut the links between two groups; answers in flight still arrive."""
        self.cut |= {frozenset(pair) for pair in itertools.product(a, b)}

    def thaw(self, node: Node) -> None:
        node.frozen = False
        waiting, node.deferred = node.deferred, []
        for action in waiting:
            action()

    # Processes

    def boot(self, node_id: str) -> None:
        rate = self.rng.uniform(1 - MAX_SKEW, 1 + MAX_SKEW)
        offset = self.rng.uniform(0, 1e5)
        incarnation = f"i{next(self.boots)}"
        started_at = offset + rate * self.now
        state = currency.State(node_id, incarnation, started_at)
        members = member.Members(node_id)
        members.rows = {row.node_id: row for row in self.rows}
        node = Node(node_id, offset, rate, state, members)
        self.nodes[node_id] = node
        self.on(node, self.rng.uniform(0, 0.2), lambda: self.beat(node))

    def beat(self, node: Node) -> None:
        for peer_id in member.choose_heartbeat_targets(node.members, self.rng):
            self.heartbeat(node, peer_id)
        self.poll(node)
        self.on(node, 1.0, lambda: self.beat(node))

    def heartbeat(self, node: Node, peer_id: str) -> None:
        asked_at = self.clock(node)
        peer = self.nodes[peer_id]
        wants_rows = not node.members.complete

        def receive() -> None:
            if not self.linked(node.node_id, peer_id):
                return
            reply = currency.build_heartbeat_reply(
                peer.state, peer.members, self.clock(peer), self.rng, wants_rows
            )
            newer = [v for k, v in peer.log.items() if k > node.state.revision]
            self.on(
                node,
                self.transit(),
                lambda: currency.record_heartbeat_reply(
                    node.state, node.members, asked_at, reply
                ),
            )
            if newer:
                self.on(node, self.transit(), lambda: self.learn(node, newer))

        self.on(peer, self.transit(), receive)

    def learn(self, node: Node, changes: list[change.Change]) -> None:
        for item in sorted(changes, key=lambda c: c.revision):
            outcome = change.apply(node.cfg, item)
            if isinstance(outcome, change.Applied):
                node.cfg = outcome.cfg
                node.log[item.revision] = item
                currency.record_revision(node.state, outcome.cfg.revision)

    # Store

    def ask_store(
        self,
        node: Node,
        effect: collections.abc.Callable[[], object],
        done: collections.abc.Callable[[object], None],
    ) -> None:
        """Run an effect in the store; ``done`` gets None if no answer came."""
        settled = False

        def finish(result: object) -> None:
            nonlocal settled
            if not settled:
                settled = True
                done(result)

        def execute() -> None:
            if not self.store_up or not self.linked(node.node_id, "store"):
                return
            result = effect()
            if not (self.lose_answers and self.rng.random() < 0.7):
                self.on(node, self.transit(), lambda: finish(result))

        self.at(self.transit(), execute)
        self.on(node, ANSWER_TIMEOUT_S, lambda: finish(None))

    def poll(self, node: Node) -> None:
        asked_at = self.clock(node)

        def done(result: object) -> None:
            if isinstance(result, list):
                node.members.replace(self.rows)
                currency.record_store_read(node.state, asked_at, len(result))
                self.learn(node, result)

        self.ask_store(node, lambda: list(self.store.values()), done)

    def insert(self, item: change.Change) -> proposal.Result:
        if len(self.store) != item.revision - 1:
            return proposal.Conflicted()
        self.store[item.revision] = item
        return proposal.Inserted()

    def run_step(self, step: proposal.Step) -> proposal.Result:
        match step:
            case proposal.Insert(change=item):
                return self.insert(item)
            case proposal.ReadBack(revision=revision):
                return self.store.get(revision, proposal.NoRow())

    # Operators

    def propose(self, node: Node) -> None:
        now = self.clock(node)
        if not isinstance(
            currency.may_accept(node.state, node.members, now), currency.MayAccept
        ):
            return
        number = next(self.unique)
        operations = (change.ZoneOut(f"z{number}"),)
        revision = node.state.revision + 1
        item = change.Change(revision, f"nonce-{number:04d}", "op", 0.0, operations)
        answer = Answer(item)
        self.answers.append(answer)
        steps = proposal.write_change(item)

        def drive(result: proposal.Result | None) -> None:
            try:
                step = next(steps) if result is None else steps.send(result)
            except StopIteration as stop:
                self.settle(node, answer, stop.value)
                return
            self.ask_store(
                node,
                lambda: self.run_step(step),
                lambda r: drive(proposal.NoAnswer() if r is None else r),  # type: ignore[arg-type]
            )

        drive(None)

    def settle(self, node: Node, answer: Answer, verdict: proposal.Outcome) -> None:
        match verdict:
            case proposal.Recorded(change=item):
                answer.verdict = "recorded"
                self.learn(node, [item])
                self.push(node, answer, self.now + PUSH_S)
            case proposal.Unclear():
                answer.verdict = "unclear"
            case _:
                answer.verdict = "refused"

    def push(self, node: Node, answer: Answer, until: float) -> None:
        now = self.clock(node)
        revision = answer.change.revision
        if currency.is_accepted(node.state, node.members, revision, now):
            answer.verdict = "accepted"
            answer.at = self.now
        elif self.now < until:
            for peer_id in self.ids:
                if peer_id != node.node_id:
                    self.push_to(node, peer_id, answer.change)
            self.on(node, 0.3, lambda: self.push(node, answer, until))

    def push_to(self, node: Node, peer_id: str, item: change.Change) -> None:
        asked_at = self.clock(node)
        peer = self.nodes[peer_id]

        def receive() -> None:
            if not self.linked(node.node_id, peer_id):
                return
            self.learn(peer, [item])
            status = currency.own_status(peer.state, self.clock(peer))
            self.on(
                node,
                self.transit(),
                lambda: node.members.record_status(status, asked_at),
            )

        self.on(peer, self.transit(), receive)

    # Invariants

    def check(self) -> None:
        nonces = {item.nonce for item in self.store.values()}
        for answer in self.answers:
            revision = answer.change.revision
            if answer.verdict in ("accepted", "recorded"):
                winner = self.store[revision].nonce
                assert winner == answer.change.nonce, "two operators won one revision"
            if answer.verdict == "refused":
                assert answer.change.nonce not in nonces, "wrong refusal"
        for node in self.nodes.values():
            self.check_node(node)

    def check_node(self, node: Node) -> None:
        revision = node.cfg.revision
        assert node.cfg.zones_out == {
            zone
            for k in range(1, revision + 1)
            for zone in [self.store[k].operations[0].zone]  # type: ignore[union-attr]
        }, "a change is missing or reverted"
        assert node.state.revision == revision, "a node went back"
        if not node.alive or node.frozen:
            return
        now = self.clock(node)
        outcome = currency.evaluate(node.state, node.members, now)
        if isinstance(outcome, currency.NotCurrent):
            return
        for answer in self.answers:
            late = answer.verdict == "accepted" and self.now > answer.at + self.bound_s
            assert not late or revision >= answer.change.revision, (
                f"{node.node_id} serves by {outcome} at revision {revision} "
                f"{self.now - answer.at:.2f} s after {answer.change.revision} "
                "was accepted"
            )

"""Simulation of a deployment with skewed clocks, lossy links and an unreliable store.

Each node runs the code of `currency`, `member` and `proposal` on its own clock.
"""

import collections.abc
import dataclasses
import heapq
import itertools
import random

from snipelug_core import change, contract, currency, member, proposal

MAX_SKEW = 0.05
GUARANTEE_S = 5.0
RESPONSE_TIMEOUT_S = 1.5
PUSH_TIMEOUT_S = 6.0

Callback = collections.abc.Callable[[], None]


@dataclasses.dataclass
class Node:
    """One process of a node; a restart creates another with the same id."""

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
class Proposal:
    """A proposed change and the outcome reported to the operator."""

    change: change.Change
    verdict: str = "open"
    accepted_at: float = 0.0


class Sim:
    """Event queue in simulated time; each node reads only its own clock."""

    def __init__(self, size: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.bound_s = GUARANTEE_S / (1 - MAX_SKEW) + 0.001
        self.queue: list[tuple[float, int, Callback]] = []
        self.sequence = itertools.count()
        self.ids = [f"n{i}" for i in range(size)]
        self.rows = [member.Member(k, "", "h", 1) for k in self.ids]
        self.store: dict[int, change.Change] = {}
        self.store_up = True
        self.lose_answers = False
        self.delay_s = 0.05
        self.cut: set[frozenset[str]] = set()
        self.proposals: list[Proposal] = []
        self.nodes: dict[str, Node] = {}
        self.boot_numbers = itertools.count()
        self.proposal_numbers = itertools.count()
        for node_id in self.ids:
            self.boot(node_id)

    # Time and message delivery

    def schedule(self, delay: float, action: Callback) -> None:
        heapq.heappush(self.queue, (self.now + delay, next(self.sequence), action))

    def schedule_on(self, node: Node, delay: float, action: Callback) -> None:
        """Run an action at a node.

        The action is dropped if the node is dead and deferred while it is frozen.
        """

        def run() -> None:
            if node.frozen:
                node.deferred.append(run)
            elif node.alive:
                action()

        self.schedule(delay, run)

    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = end

    def clock(self, node: Node) -> float:
        return node.offset + node.rate * self.now

    def transit_time(self) -> float:
        return self.rng.uniform(0.001, self.delay_s)

    def is_linked(self, a: str, b: str) -> bool:
        return frozenset((a, b)) not in self.cut

    def cut_between(
        self, a: collections.abc.Iterable[str], b: collections.abc.Iterable[str]
    ) -> None:
        """Cut the links between two groups; responses in flight still arrive."""
        self.cut |= {frozenset(pair) for pair in itertools.product(a, b)}

    def thaw(self, node: Node) -> None:
        node.frozen = False
        deferred_actions, node.deferred = node.deferred, []
        for action in deferred_actions:
            action()

    # Processes

    def boot(self, node_id: str) -> None:
        rate = self.rng.uniform(1 - MAX_SKEW, 1 + MAX_SKEW)
        offset = self.rng.uniform(0, 1e5)
        incarnation = f"i{next(self.boot_numbers)}"
        started_at = offset + rate * self.now
        state = currency.State(node_id, incarnation, started_at)
        members = member.Members(node_id)
        members.rows = {row.node_id: row for row in self.rows}
        node = Node(node_id, offset, rate, state, members)
        self.nodes[node_id] = node
        self.schedule_on(
            node, self.rng.uniform(0, 0.2), lambda: self.send_heartbeats(node)
        )

    def send_heartbeats(self, node: Node) -> None:
        for peer_id in member.choose_heartbeat_targets(node.members, self.rng):
            self.send_heartbeat(node, peer_id)
        self.poll_store(node)
        self.schedule_on(node, 1.0, lambda: self.send_heartbeats(node))

    def send_heartbeat(self, node: Node, peer_id: str) -> None:
        asked_at = self.clock(node)
        peer = self.nodes[peer_id]
        wants_rows = not node.members.complete

        def receive() -> None:
            if not self.is_linked(node.node_id, peer_id):
                return
            reply = currency.build_heartbeat_reply(
                peer.state, peer.members, self.clock(peer), self.rng, wants_rows
            )
            newer = [v for k, v in peer.log.items() if k > node.state.revision]
            self.schedule_on(
                node,
                self.transit_time(),
                lambda: currency.record_heartbeat_reply(
                    node.state, node.members, asked_at, reply
                ),
            )
            if newer:
                self.schedule_on(
                    node, self.transit_time(), lambda: self.apply_changes(node, newer)
                )

        self.schedule_on(peer, self.transit_time(), receive)

    def apply_changes(self, node: Node, changes: list[change.Change]) -> None:
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
        """Run an effect in the store; ``done`` gets None if no response arrived."""
        finished = False

        def finish(result: object) -> None:
            nonlocal finished
            if not finished:
                finished = True
                done(result)

        def execute() -> None:
            if not self.store_up or not self.is_linked(node.node_id, "store"):
                return
            result = effect()
            if not (self.lose_answers and self.rng.random() < 0.7):
                self.schedule_on(node, self.transit_time(), lambda: finish(result))

        self.schedule(self.transit_time(), execute)
        self.schedule_on(node, RESPONSE_TIMEOUT_S, lambda: finish(None))

    def poll_store(self, node: Node) -> None:
        asked_at = self.clock(node)

        def done(result: object) -> None:
            if isinstance(result, list):
                node.members.replace(self.rows)
                currency.record_store_read(node.state, asked_at, len(result))
                self.apply_changes(node, result)

        self.ask_store(node, lambda: list(self.store.values()), done)

    def insert_change(self, item: change.Change) -> proposal.Result:
        if len(self.store) != item.revision - 1:
            return proposal.Conflicted()
        self.store[item.revision] = item
        return proposal.Inserted()

    def execute_step(self, step: proposal.Step) -> proposal.Result:
        match step:
            case proposal.Insert(change=item):
                return self.insert_change(item)
            case proposal.ReadBack(revision=revision):
                return self.store.get(revision, proposal.NoRow())

    # Operators

    def propose(self, node: Node) -> None:
        now = self.clock(node)
        if not isinstance(
            currency.may_accept(node.state, node.members, now), currency.MayAccept
        ):
            return
        serial = next(self.proposal_numbers)
        operations = (change.ZoneOut(f"z{serial}"),)
        revision = node.state.revision + 1
        item = change.Change(revision, f"nonce-{serial:04d}", "op", 0.0, operations)
        proposed = Proposal(item)
        self.proposals.append(proposed)
        steps = proposal.write_change(item)

        def drive(result: proposal.Result | None) -> None:
            try:
                step = next(steps) if result is None else steps.send(result)
            except StopIteration as stop_iteration:
                self.record_outcome(node, proposed, stop_iteration.value)
                return
            self.ask_store(
                node,
                lambda: self.execute_step(step),
                lambda r: drive(proposal.NoAnswer() if r is None else r),  # type: ignore[arg-type]
            )

        drive(None)

    def record_outcome(
        self, node: Node, proposed: Proposal, verdict: proposal.Outcome
    ) -> None:
        match verdict:
            case proposal.Recorded(change=item):
                proposed.verdict = "recorded"
                self.apply_changes(node, [item])
                self.push(node, proposed, self.now + PUSH_TIMEOUT_S)
            case proposal.Unclear():
                proposed.verdict = "unclear"
            case _:
                proposed.verdict = "refused"

    def push(self, node: Node, proposed: Proposal, until: float) -> None:
        now = self.clock(node)
        revision = proposed.change.revision
        if currency.is_accepted(node.state, node.members, revision, now):
            proposed.verdict = "accepted"
            proposed.accepted_at = self.now
        elif self.now < until:
            for peer_id in self.ids:
                if peer_id != node.node_id:
                    self.push_to(node, peer_id, proposed.change)
            self.schedule_on(node, 0.3, lambda: self.push(node, proposed, until))

    def push_to(self, node: Node, peer_id: str, item: change.Change) -> None:
        asked_at = self.clock(node)
        peer = self.nodes[peer_id]

        def receive() -> None:
            if not self.is_linked(node.node_id, peer_id):
                return
            self.apply_changes(peer, [item])
            status = currency.own_status(peer.state, self.clock(peer))
            self.schedule_on(
                node,
                self.transit_time(),
                lambda: node.members.record_status(status, asked_at),
            )

        self.schedule_on(peer, self.transit_time(), receive)

    # Invariants

    def check(self) -> None:
        nonces = {item.nonce for item in self.store.values()}
        for proposed in self.proposals:
            revision = proposed.change.revision
            if proposed.verdict in ("accepted", "recorded"):
                winner = self.store[revision].nonce
                assert winner == proposed.change.nonce, (
                    "two proposals were accepted for one revision"
                )
            if proposed.verdict == "refused":
                assert proposed.change.nonce not in nonces, (
                    "a refused change was written"
                )
        for node in self.nodes.values():
            self.check_node(node)

    def check_node(self, node: Node) -> None:
        revision = node.cfg.revision
        assert node.cfg.zones_out == {
            zone
            for k in range(1, revision + 1)
            for zone in [self.store[k].operations[0].zone]  # type: ignore[union-attr]
        }, "a change is missing or was reverted"
        assert node.state.revision == revision, (
            "the state and the configuration differ in revision"
        )
        if not node.alive or node.frozen:
            return
        now = self.clock(node)
        outcome = currency.evaluate(node.state, node.members, now)
        if isinstance(outcome, currency.NotCurrent):
            return
        for proposed in self.proposals:
            late = (
                proposed.verdict == "accepted"
                and self.now > proposed.accepted_at + self.bound_s
            )
            assert not late or revision >= proposed.change.revision, (
                f"{node.node_id} serves under {outcome} at revision {revision} "
                f"{self.now - proposed.accepted_at:.2f} s after "
                f"{proposed.change.revision} was accepted"
            )

"""Nodes, a KV cache store and engines without a network, for tests of saves."""

import dataclasses
import itertools
import random

from snipelug_core import catalog, choice, kv_index, save_grants
from tests import relay_builders

TOKENS = 12_800
PARTS = (choice.PromptPart("p", TOKENS), choice.PromptPart("own", 4_000))
SALT = kv_index.salt("m", 1)
LONGEST_S = 10.0
"""Timeout of the requests, in seconds."""

SAVE_S = 0.5
"""Time for which a part is incomplete while it is saved, in seconds."""

READ_INTERVALS_S = (0.0, 0.5, 1.5, 3.5, 7.5)
"""Times after its start at which a node reads the members."""


def claim(
    number: int, *parts: str, epoch: int = 1, **changes: object
) -> save_grants.Claim:
    values: dict[str, object] = {
        "number": number,
        "store": relay_builders.kv_store().address,
        "epoch": epoch,
        "salt": SALT,
        "parts": list(parts),
        "lasts_s": LONGEST_S,
    }
    return save_grants.Claim(**(values | changes))  # type: ignore[arg-type]


@dataclasses.dataclass
class Node:
    """A node's part in the saves, and what it knows of the store."""

    node_id: str
    index: kv_index.Index
    coordinator: save_grants.Coordinator
    started_at: float
    numbers: itertools.count = dataclasses.field(  # type: ignore[type-arg]
        default_factory=lambda: itertools.count(1)
    )
    late_view: save_grants.View | None = None

    @property
    def state(self) -> kv_index.StoreState:
        return next(iter(self.index.store_states.values()))

    @property
    def address(self) -> str:
        return self.state.store.address


@dataclasses.dataclass
class PlannedSave:
    """A save that an engine makes at a later time."""

    key: kv_index.PartKey
    at: float


@dataclasses.dataclass
class Fetch:
    """A read of a part that may begin and end at any time until ``until``."""

    key: kv_index.PartKey
    until: float


@dataclasses.dataclass(frozen=True)
class Network:
    """What becomes of the messages of one claim."""

    loses_claim: bool = False
    loses_answer: bool = False
    repeats_claim: bool = False


@dataclasses.dataclass(frozen=True)
class Run:
    """What becomes of a request after its claim.

    Attributes
    ----------
    sent_after_s : float
        Time for which the node is frozen before it sends the request, in seconds.
    saved_after_s : float or None
        Time from then on until the engine makes the save; None if it never does.
    is_rejected : bool
        Whether the engine states that it did not run the request.
    """

    sent_after_s: float = 0.0
    saved_after_s: float | None = 0.1
    is_rejected: bool = False


class IncompleteReadError(AssertionError):
    """A part is read while it is being written."""


class World:
    """One store, some engines and the nodes.

    Attributes
    ----------
    rows : dict of str to float
        Rows of the member table with the starts of the nodes, in milliseconds.
    """

    def __init__(self, is_first_start: bool = True) -> None:
        self.now = 100.0
        self.epoch = 1
        self.store = relay_builders.kv_store()
        self.is_first_start = is_first_start
        self.complete: dict[kv_index.PartKey, int] = {}
        self.unreported: set[kv_index.PartKey] = set()
        self.writing: dict[kv_index.PartKey, float] = {}
        self.planned: list[PlannedSave] = []
        self.fetches: list[Fetch] = []
        self.rows: dict[str, float] = {}
        self.nodes: dict[str, Node] = {}
        self.stopping: dict[str, Node] = {}
        self.loses_terms = False
        self.saved = 0

    def start(self, node_id: str) -> Node:
        """Start a node, or restart its process without anything it knew."""
        self.stopping.pop(node_id, None)
        index = kv_index.Index()
        index.set_stores((self.store,))
        coordinator = save_grants.Coordinator(
            node_id, self.is_first_start, random.Random(0)
        )
        node = self.nodes[node_id] = Node(node_id, index, coordinator, self.now)
        self.read_members(node)
        self.rows[node_id] = 1e3 * self.now
        self.poll(node)
        return node

    def stop(self, node_id: str) -> None:
        """Let a node leave; it answers other nodes until ``end_stops``."""
        node = self.nodes.pop(node_id, None)
        if node is None:
            return
        self.stopping[node_id] = node
        message = node.coordinator.leave()
        for other in self.nodes.values():
            if not self.loses_terms:
                other.coordinator.record_left(message, self.now)
        self.rows.pop(node_id, None)

    def end_stops(self) -> None:
        """End the processes of the nodes that leave."""
        self.stopping.clear()

    def start_together(self, *node_ids: str) -> None:
        """Start nodes at the same time, until they grant saves."""
        for node_id in node_ids:
            self.start(node_id)
        for before, after in itertools.pairwise(READ_INTERVALS_S):
            self.live(after - before)
            self.read_all_members()
        self.live(2.0)

    def settle(self) -> None:
        """Let a calm time pass after which each coordinator grants."""
        for _ in range(8):
            self.read_all_members()
            self.live(6.0)

    def live(self, seconds: float) -> None:
        """Let time pass with a poll of each node twice a second."""
        left_s = seconds
        while left_s > 1e-9:
            step_s = min(0.5, left_s)
            left_s -= step_s
            self.advance(step_s)
            for node in self.nodes.values():
                self.poll(node)

    def advance(self, seconds: float) -> None:
        """Let time pass without polls; engines make the saves that are due."""
        end = self.now + seconds
        while True:
            due = [item for item in self.planned if item.at <= end]
            first = min(due, key=lambda item: item.at, default=None)
            until = end if first is None else max(self.now, first.at)
            self._complete_saves(until)
            self.now = until
            if first is None:
                break
            self.planned.remove(first)
            self._make(first.key)
        self.fetches = [item for item in self.fetches if item.until > self.now]

    def _complete_saves(self, until: float) -> None:
        for key, done_at in list(self.writing.items()):
            if done_at <= until:
                del self.writing[key]
                self.complete[key] = TOKENS

    def _make(self, key: kv_index.PartKey) -> None:
        if key in self.complete or key in self.writing:
            return
        self.saved += 1
        self.writing[key] = self.now + SAVE_S
        for item in self.fetches:
            if item.key == key and item.until > self.now:
                raise IncompleteReadError(f"{key[1]} at {self.now:.2f} s")

    def restart_store(self) -> None:
        """Restart the store without its parts; transfers from it fail."""
        self.epoch += 1
        self.complete.clear()
        self.writing.clear()
        self.unreported.clear()

    def lose_event(self, part: str) -> None:
        """Lose the event of a part that the store holds or will hold."""
        self.unreported.add((SALT, part))

    def read_members(self, node: Node) -> None:
        node.coordinator.set_members(
            save_grants.View(dict(self.rows), self.now), self.now
        )

    def read_all_members(self) -> None:
        for node in self.nodes.values():
            self.read_members(node)

    def poll(self, node: Node) -> None:
        """Read the events of the store, or its list where the node needs that."""
        state = node.state
        if state.epoch != self.epoch:
            node.coordinator.record_restart(state)
            state.restart(self.epoch, self.now)
            state.clock_offset_s = 0.0
        reported = {k: n for k, n in self.complete.items() if k not in self.unreported}
        for key, tokens in reported.items():
            if key not in state.parts:
                state.add(key, tokens, self.now)
        state.polled_at = self.now
        node.coordinator.follow({node.address}, LONGEST_S, self.now)
        self._request_terms(node)
        if node.coordinator.needs_list(state, self.now):
            state.replace(self.complete, self.now)
            node.coordinator.record_list(state, set(self.writing), self.now)

    def _request_terms(self, node: Node) -> None:
        for node_id, message in node.coordinator.term_requests(self.now):
            found = self.nodes.get(node_id) or self.stopping.get(node_id)
            if found is None or self.loses_terms:
                continue
            handover = found.coordinator.cede(
                node.node_id, message, found.state, self.now
            )
            if handover is not None:
                node.coordinator.accept(handover, self.now)

    def ask(
        self,
        node: Node,
        part: str,
        network: Network | None = None,
        run: Run | None = None,
    ) -> kv_index.Plan:
        """Send a prompt with a shared part by a node."""
        network = network or Network()
        run = run or Run()
        parts = (choice.PromptPart(part, TOKENS), PARTS[-1])
        key = (SALT, part)
        asked_at = self.now
        saves = {}
        wanted = node.index.wanted_saves(parts, SALT, self.now)
        message = claim(next(node.numbers), *wanted, epoch=node.state.epoch or 0)
        if wanted and self._is_granted(node, message, network):
            saves = wanted
        self.advance(run.sent_after_s)
        is_valid = self.now < asked_at + save_grants.GRANT_VALID_S
        plan = node.index.plan(parts, SALT, self.now, saves=saves)
        if any(plan.targets) and not is_valid:
            return plan
        if plan.sources and plan.sources[0] is not None:
            assert plan.deadline_s is not None
            if key in self.writing:
                raise IncompleteReadError(f"{part} at {self.now:.2f} s")
            self.fetches.append(Fetch(key, plan.deadline_s))
        if any(plan.targets) and run.is_rejected:
            self._release(node, message)
        elif any(plan.targets) and run.saved_after_s is not None:
            self.planned.append(PlannedSave(key, self.now + run.saved_after_s))
        return plan

    def _is_granted(
        self, node: Node, message: save_grants.Claim, network: Network
    ) -> bool:
        coordinator_id = node.coordinator.coordinator_of(message.store)
        found = self.nodes.get(coordinator_id or "")
        if found is None or network.loses_claim:
            return False
        answers = [
            found.coordinator.decide(node.node_id, message, found.state, self.now)
            for _ in range(1 + network.repeats_claim)
        ]
        if network.loses_answer and found is not node:
            self._release(node, message)
            return False
        return answers[-1].verdicts == [save_grants.Verdict.GRANTED]

    def _release(self, node: Node, message: save_grants.Claim) -> None:
        coordinator_id = node.coordinator.coordinator_of(message.store)
        found = self.nodes.get(coordinator_id or "")
        if found is not None:
            release = save_grants.Release(message.number, message.store)
            found.coordinator.release(node.node_id, release)


def store_state(store: catalog.KvStore, now: float) -> kv_index.StoreState:
    """Build the state of an empty store that has just been polled."""
    return next(iter(relay_builders.fresh_index(now, store).store_states.values()))

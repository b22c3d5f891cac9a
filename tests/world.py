"""Simulation of nodes with skewed clocks, a faulty table service and an upstream."""

import collections
import collections.abc
import dataclasses
import itertools
import typing

from snipelug_core import claim, ownership, refusal, session, step

LIST_LAG_S = 10.0
Flow = collections.abc.Generator[typing.Any, step.Event, typing.Any]


class Store:
    """A table service that can lose responses and apply writes late."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[str, typing.Any]] = {}
        self.late: list[step.Write] = []
        self.counter = itertools.count(1)

    def apply(self, write: step.Write) -> object:
        place = (write.table, write.key)
        current_row = self.rows.get(place)
        found = step.ABSENT if current_row is None else current_row[0]
        if found != write.expect:
            return step.PreconditionFailed()
        if write.table == ownership.TABLE:
            number = 0 if current_row is None else current_row[1].fencing
            assert write.content is not None, "owner rows must not be deleted"
            assert write.content.fencing > number, "fencing tokens must increase"
        if write.content is None:
            del self.rows[place]
            return step.Applied("")
        version = str(next(self.counter))
        self.rows[place] = (version, write.content)
        return step.Applied(version)

    def perform(self, pending_step: step.Write | step.Read, fault: str) -> object:
        if fault == "down":
            return step.NoAnswer("down", maybe_applied=False)
        if isinstance(pending_step, step.Write):
            if fault == "late":
                self.late.append(pending_step)
                return step.NoAnswer("late")
            outcome = self.apply(pending_step)
            return step.NoAnswer("lost") if fault == "lost" else outcome
        if fault:
            return step.NoAnswer("lost")
        row = self.rows.get((pending_step.table, pending_step.key))
        return step.Missing() if row is None else step.Found(*row)


@dataclasses.dataclass
class Node:
    """One simulated node process."""

    id: str
    process: str
    rate: float
    wall_skew_s: float
    alive: bool = True
    cut_until: float = 0.0
    frozen_until: float = 0.0

    def __post_init__(self) -> None:
        self.lease = session.Lease(self.id, self.process)
        self.ledger = claim.Ledger(self.process)
        own_process = ownership.Process(self.id, self.process)
        self.owners = ownership.OwnerRows(own_process, self.lease)
        self.instance_list_view = ownership.InstanceListView()
        self.watch = session.Watch()


@dataclasses.dataclass(frozen=True)
class Scan:
    """Read all rows of a table."""

    table: str


@dataclasses.dataclass
class Task:
    """A running flow; ``outcome`` is set between a step's effect and its response.

    Attributes
    ----------
    name : str
        A node runs at most one task of each name at a time.
    """

    node: Node
    name: str
    flow: Flow
    key: str = ""
    pending_step: object = None
    outcome: object = None
    granted: bool = False
    sent: int = 0


class World:
    """The state of the whole simulation; ``now`` is the true time."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.store_down_until = 0.0
        self.store = Store()
        self.nodes: list[Node] = []
        self.tasks: list[Task] = []
        self.listed: set[str] = set()
        self.old_lists: collections.deque[tuple[float, set[str]]] = collections.deque()
        self.runs: dict[str, list[str]] = collections.defaultdict(list)
        self.nonces = (f"c{n}" for n in itertools.count(1))
        self.processes = itertools.count(1)

    def boot(self, node_id: str, rate: float, skew_s: float) -> Node:
        node = Node(node_id, f"p{next(self.processes)}", rate, skew_s)
        self.nodes.append(node)
        return node

    def alive(self) -> list[Node]:
        return [node for node in self.nodes if node.alive]

    def clock(self, node: Node) -> float:
        return self.now * node.rate

    def kill(self, node: Node) -> None:
        node.alive = False
        self.tasks = [task for task in self.tasks if task.node is not node]

    def set_listed(self, listed: set[str]) -> None:
        self.old_lists.append((self.now, set(self.listed)))
        self.listed = listed

    def read_list(self, node: Node, lagging: bool) -> None:
        recent = [old for at, old in self.old_lists if self.now - at <= LIST_LAG_S] or [
            self.listed
        ]
        listed = recent[0] if lagging else self.listed
        holders = {
            seen.row.outage_holder.node
            for seen in node.owners.known_rows.values()
            if seen.row.outage_holder
        }
        ownership.observe_instance_list(
            node.instance_list_view, listed, holders, node.id, self.clock(node)
        )

    def start(self, node: Node, name: str, flow: Flow, key: str = "") -> None:
        if any(t.node is node and t.name == name for t in self.tasks):
            return
        task = Task(node, name, flow, key)
        try:
            task.pending_step = next(flow)
        except StopIteration:
            return
        self.tasks.append(task)

    def start_call(self, node: Node, key: str, body: str, patience_s: float) -> None:
        now = self.clock(node)
        if not node.lease.valid(now):
            return
        row = claim.Row(
            "team",
            key,
            claim.fingerprint("POST", "/", body.encode()),
            node.id,
            node.process,
            node.lease.session,
            "",
            self.now + node.wall_skew_s,
        )
        call = claim.Call(row, now + patience_s)
        flow = claim.execute(call, node.ledger, self.nonces, now)
        self.start(node, f"call {key}", flow, key)

    def scan_flow(self, node: Node) -> Flow:
        asked_at = self.clock(node)
        event = yield Scan(session.TABLE)
        if not isinstance(event.outcome, dict):
            return
        found = event.outcome
        own_session = node.lease.session
        others = {key: row[0] for key, row in found.items() if key != own_session}
        stale = list(session.observe(node.watch, others, asked_at, event.now))
        for item in stale:
            yield session.revoke(item)

    def scan_owners_flow(self, node: Node) -> Flow:
        event = yield Scan(ownership.TABLE)
        if isinstance(event.outcome, dict):
            for key, row in event.outcome.items():
                ownership.observe_row(node.owners, key, *row, event.now)

    def settle_flow(self, key: str, wall: float) -> Flow:
        place = claim.row_key("team", key)
        event = yield step.Read(claim.TABLE, place, claim.Row)
        if not isinstance(event.outcome, step.Found):
            return
        version, row = event.outcome.version, event.outcome.content
        event = yield step.Read(session.TABLE, row.session, session.Row)
        gone = isinstance(event.outcome, step.Missing)
        # Operators inspect the upstream before settling. They cannot detect a process
        # that pauses longer than SETTLE_AGE_S between its last check and the send.
        if any(task.granted and task.key == key for task in self.tasks):
            return
        ran = bool(self.runs[key])
        verdict = claim.Verdict.RAN if ran else claim.Verdict.NOT_RUN
        settled = claim.settle(row, verdict, gone, wall, "operator")
        if isinstance(settled, claim.Row):
            yield step.Write(claim.TABLE, place, settled, version)

    def perform(self, task: Task, fault: str) -> None:
        """Apply the effect of the pending step of a task."""
        pending_step = task.pending_step
        node = task.node
        if isinstance(pending_step, (step.Write, step.Read)):
            task.outcome = self._store_step(node, pending_step, fault)
        elif isinstance(pending_step, Scan):
            silent = self.store_fault(node, fault)
            rows = self._rows(pending_step.table)
            task.outcome = step.NoAnswer("lost") if silent else rows
        elif isinstance(pending_step, claim.Dispatch):
            task.granted = node.ledger.grant(pending_step.nonce, self.clock(node))
            task.outcome = "granted" if task.granted else "withheld"
        elif isinstance(pending_step, claim.QueryStatus):
            task.outcome = self._ask(node, pending_step, fault)
        elif isinstance(pending_step, claim.LookUpSession):
            read = step.Read(session.TABLE, pending_step.session, session.Row)
            found = self._store_step(node, read, fault)
            gone = isinstance(found, step.Missing)
            task.outcome = claim.SessionEnded() if gone else claim.SessionMayExist()
        else:
            task.outcome = "done"

    def resume(self, task: Task, fault: str) -> None:
        """Pass a task the outcome of its step and advance it to the next step."""
        if isinstance(task.pending_step, claim.Dispatch):
            task.outcome = self._send(task, task.pending_step.nonce, fault)
        event = step.Event(task.outcome, self.clock(task.node))
        task.outcome = None
        try:
            task.pending_step = task.flow.send(event)
        except StopIteration as stop:
            self.tasks.remove(task)
            self._check_result(task, stop.value)

    def store_fault(self, node: Node, fault: str) -> str:
        if self.now < self.store_down_until:
            return "down"
        return "late" if self.cut(node) else fault

    def _store_step(
        self, node: Node, pending_step: step.Write | step.Read, fault: str
    ) -> object:
        return self.store.perform(pending_step, self.store_fault(node, fault))

    def cut(self, node: Node) -> bool:
        return self.now < node.cut_until

    def _rows(self, table: str) -> dict[str, tuple[str, typing.Any]]:
        rows = self.store.rows.items()
        return {key: row for (place, key), row in rows if place == table}

    def _ask(self, asker: Node, ask: claim.QueryStatus, fault: str) -> object:
        for node in self.alive():
            if node.id == ask.node and not (self.cut(node) or self.cut(asker) or fault):
                return claim.StatusReply(*node.ledger.status(ask.process, ask.nonce))
        return claim.Unreachable()

    def _send(self, task: Task, nonce: str, fault: str) -> object:
        if not task.granted:
            refused = refusal.refuse(refusal.NO_UPSTREAM, "withheld")
            return claim.NotSent(refused)
        task.granted = False
        task.sent += 1
        self.runs[task.key].append(nonce)
        if fault:
            return claim.OutcomeUnknown(refusal.refuse(refusal.UPSTREAM_LOST, "cut"))
        return claim.Delivered(claim.Response(200, {}, nonce.encode()))

    def _check_result(self, task: Task, result: object) -> None:
        if isinstance(result, claim.Response):
            assert [result.body.decode()] == self.runs[task.key], (
                "the response must come from the only run"
            )
        elif isinstance(result, refusal.Refusal):
            if result.run_state is refusal.RunState.NOT_RUN:
                assert task.sent == 0, "a call that ran must not be reported as not_run"
            if result.run_state is refusal.RunState.RAN:
                assert self.runs[task.key], (
                    "only a call that ran may be reported as ran"
                )

    def check(self) -> None:
        """Assert the invariants of the simulation."""
        for key, runs in self.runs.items():
            assert len(runs) <= 1, f"key {key} ran {len(runs)} times"
        items = {key for node in self.alive() for key in node.owners.known_rows}
        for item in items:
            owners = [
                node.id
                for node in self.alive()
                if ownership.fencing_token(node.owners, item, self.clock(node))
                is not None
            ]
            assert len(owners) <= 1, f"{item} has the owners {owners}"
            holders = [
                node.id
                for node in self.alive()
                if ownership.has_outage_slot(node.owners, item)
            ]
            assert len(holders) <= 1, f"{item} has the outage holders {holders}"

"""Cold-start slots under lapsed leases, takeovers, kills, pauses and lost messages.

The model checks that the limit is never exceeded, with two known exceptions: a granted
request whose process was paused for more than `admission.MAX_SEND_DELAY_S` between the
last check and the write, and a request that was running when a report said warm, before
the upstream turned cold without notice. Sends without a slot
(`confirmation.may_send_without_slot`) are not part of the model.
"""

import dataclasses
import enum
import itertools
import typing

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from snipelug_core import admission, confirmation, contract, load, table

TICK_S = 0.5
ROUNDING_S = 1e-6
LAG_TICKS = 2
LIST_LAG_S = 5.0
LEASE_S = 15.0
REVOKE_AFTER_S = 30.0
RUNS_S = (1.0, 60.0)
LEASED = admission.PartName.LEASED
OUTAGE = admission.PartName.OUTAGE
PARTS = (LEASED, OUTAGE)
CFG = contract.Config()
ENGINE = table.Instance("u1", table.Role.ENGINE, "127.0.0.1", 1, "esk-b")


class Stage(enum.IntEnum):
    ASKED = 0
    GRANTED = 1
    HELD = 2
    CHECKED = 3
    RUNNING = 4
    DONE = 5


@dataclasses.dataclass
class Connection:
    opened_at: float
    is_open: bool = True


@dataclasses.dataclass
class Node:
    """One process; ``proc`` distinguishes successive processes of one instance."""

    id: str
    proc: int
    rate: float
    offset: float
    lease_end: float = -1.0
    owns: bool = False
    has_outage: bool = False
    frozen: bool = False
    cut_store: bool = False
    cut_peers: bool = False
    cut_engine: bool = False
    list_tried_at: float | None = None
    seen: dict[tuple[str, int], tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )
    to_begin: set[admission.PartName] = dataclasses.field(default_factory=set)
    connections: list[Connection] = dataclasses.field(default_factory=list)

    def __post_init__(self) -> None:
        self.parts = {name: admission.Part(name) for name in PARTS}
        self.upstream = table.Upstream(ENGINE)

    @property
    def key(self) -> tuple[str, int]:
        return (self.id, self.proc)

    def clock(self, at: float) -> float:
        return self.offset + self.rate * at


@dataclasses.dataclass
class Request:
    node: Node
    conn: Connection
    run_s: float
    stage: Stage
    grant: admission.Grant | None
    holder: Node | None
    checked_at: float = 0.0
    arrived_at: float = 0.0
    sent: confirmation.SentRequest | None = None
    ends_at: float = 0.0
    uses_grant: bool = False
    is_residual: bool = False


class World:
    """Nodes, platform and one engine, advanced in ticks of real time."""

    def __init__(self, cold_limit: int, rates: list[float]) -> None:
        self.cold_limit = cold_limit
        self.now = 100.0
        self.store_up = True
        self.nodes: dict[str, Node] = {}
        self.sessions: dict[tuple[str, int], int] = {}
        self.owner = self.outage = ("n0", 0)
        self.listed: list[tuple[float, frozenset[str]]] = [(0.0, frozenset())]
        self.reqs: list[Request] = []
        self.procs = itertools.count()
        self.nonces = itertools.count()
        self.boot = 0
        self.seq = 0
        self.is_cold = True
        self.reports: list[tuple[float, int, int, table.Warmth, int]] = []
        for number, rate in enumerate(rates):
            self.add(f"n{number}", rate)
        self.listed.append((0.0, frozenset(self.nodes)))
        first = self.nodes["n0"]
        first.owns = first.has_outage = True
        for part in first.parts.values():
            admission.start_holding(
                part, cold_limit, first.clock(self.now), had_holder=False
            )
        self.tick(4)

    def add(self, node_id: str, rate: float) -> None:
        node = Node(node_id, next(self.procs), rate, 1000.0 * len(self.nodes))
        self.nodes[node_id] = node
        self.sessions[node.key] = 0
        self.listed.append((self.now, frozenset(self.nodes)))

    def running(self) -> list[Request]:
        return [req for req in self.reqs if req.stage is Stage.RUNNING]

    def tick(self, count: int) -> None:
        for _ in range(count):
            self.now += TICK_S
            self.reqs = [req for req in self.reqs if req.stage is not Stage.DONE]
            for req in self.running():
                if req.ends_at <= self.now:
                    self.finish(req, is_answered=True)
            self.seq += 1
            state = table.Warmth.COLD if self.is_cold else table.Warmth.WARM
            busy = len(self.running())
            self.reports.append((self.now, self.boot, self.seq, state, busy))
            for node in self.nodes.values():
                if not node.frozen:
                    self.step(node)

    def step(self, node: Node) -> None:
        now = node.clock(self.now)
        for name in node.to_begin:
            part = node.parts[name]
            admission.start_holding(part, self.cold_limit, now, had_holder=True)
        node.owns |= LEASED in node.to_begin
        node.has_outage |= OUTAGE in node.to_begin
        node.to_begin = set()
        if self.store_up and not node.cut_store:
            self.use_store(node, now)
        node.list_tried_at = now
        if not node.cut_engine:
            self.poll(node, now)

    def read_list(self) -> frozenset[str]:
        before = self.now - LIST_LAG_S
        return [ids for at, ids in self.listed if at <= before][-1]

    def use_store(self, node: Node, now: float) -> None:
        if node.key not in self.sessions or self.owner != node.key:
            node.owns = False
        self.sessions[node.key] = self.sessions.get(node.key, 0) + 1
        node.lease_end = now + LEASE_S
        version = self.sessions.get(self.owner)
        if version is not None:
            known = node.seen.get(self.owner)
            if known is None or known[0] != version:
                node.seen[self.owner] = known = (version, now)
            if now - known[1] >= REVOKE_AFTER_S:
                del self.sessions[self.owner]
        if self.owner not in self.sessions:
            self.owner = node.key
            node.to_begin.add(LEASED)
        listed = self.read_list()
        if self.outage != node.key and admission.may_take_outage_part(
            self.outage[0], node.id, listed, now, now - 0.01
        ):
            self.outage = node.key
            node.to_begin.add(OUTAGE)

    def poll(self, node: Node, now: float) -> None:
        at, boot, seq, state, busy = self.reports[-1 - LAG_TICKS :][0]
        # Reports and sends coincide on ticks; rounding errors must not order them.
        made_at = now - admission.MAX_CLOCK_RATE_RATIO * (self.now - at) - ROUNDING_S
        report = table.LoadReport(str(boot), state, busy, 0, seq, made_at)
        if load.accept_report(node.upstream, report, now):
            for part in node.parts.values():
                admission.apply_report(part, report)
            is_warm = report.state is table.Warmth.WARM
            for req in self.running() if is_warm else ():
                if req.node is node and req.sent is not None:
                    self.confirm(req, req.sent, report)

    def confirm(
        self, req: Request, sent: confirmation.SentRequest, report: table.LoadReport
    ) -> None:
        if req.holder is None or not confirmation.is_confirmed(sent, report):
            return
        self.finish(req, is_answered=True)
        req.stage = Stage.RUNNING
        req.holder = None

    def ask(
        self, node: Node, holder: Node, part: admission.PartName, run_s: float
    ) -> Request | None:
        """Start a request; it needs a grant even if the upstream counts as warm."""
        now = node.clock(self.now)
        conn = next((c for c in node.connections if c.is_open), Connection(now))
        if any(not c.is_open for c in node.connections):
            load.mark_connection_closed(node.upstream, now)
            node.connections = [c for c in node.connections if c.is_open]
        tried_at = node.list_tried_at
        verdict = load.may_send(node.upstream, CFG, conn.opened_at, now, tried_at)
        if isinstance(verdict, load.Excluded):
            return None
        nonce = str(next(self.nonces))
        grant = admission.Grant("u1", part, holder.id, nonce, now)
        req = Request(node, conn, run_s, Stage.ASKED, grant, holder)
        self.reqs.append(req)
        return req

    def advance(self, req: Request, until: Stage) -> None:
        """Advance a request up to a stage, as far as its node and the network allow."""
        while req.stage < until and not req.node.frozen:
            before = req.stage
            if before is Stage.ASKED:
                self.deliver_ask(req)
            elif before is Stage.GRANTED and self.connected(req):
                req.stage = Stage.HELD
            elif before is Stage.HELD:
                self.check(req)
            elif before is Stage.CHECKED:
                self.write(req)
            if req.stage is before:
                return

    def connected(self, req: Request) -> bool:
        holder = req.holder
        if holder is None or self.nodes.get(holder.id) is not holder:
            return False
        if holder is req.node:
            return True
        return not (holder.frozen or holder.cut_peers or req.node.cut_peers)

    def deliver_ask(self, req: Request) -> None:
        grant, holder = req.grant, req.holder
        if grant is None or holder is None or not self.connected(req):
            return
        now = holder.clock(self.now)
        holds_lease = holder.owns and now < holder.lease_end
        holds = holds_lease if grant.part is LEASED else holder.has_outage
        duration_s = admission.GRANT_VALID_S + req.run_s
        ask = admission.SlotRequest(grant.nonce, duration_s, holder is req.node)
        part = holder.parts[grant.part]
        other = holder.parts[OUTAGE if grant.part is LEASED else LEASED]
        decision = admission.admit(
            part, ask, self.cold_limit, now, holds, other if other.held else None
        )
        is_granted = isinstance(decision, admission.Granted)
        req.stage = Stage.GRANTED if is_granted else Stage.DONE

    def check(self, req: Request) -> None:
        node = req.node
        now = node.clock(self.now)
        tried_at = node.list_tried_at
        opened_at = req.conn.opened_at
        verdict = load.may_send(node.upstream, CFG, opened_at, now, tried_at)
        is_barred = isinstance(verdict, load.Excluded)
        grant = req.grant
        req.uses_grant = grant is not None and admission.is_valid(grant, now)
        req.checked_at = self.now
        if req.uses_grant and not (is_barred or node.cut_engine):
            req.stage = Stage.CHECKED
        else:
            self.finish(req, is_answered=True)

    def write(self, req: Request) -> None:
        if not req.conn.is_open or req.node.cut_engine:
            self.finish(req, is_answered=True)
            return
        pause = self.now - req.checked_at
        req.stage = Stage.RUNNING
        req.ends_at = self.now + req.run_s
        req.arrived_at = self.now
        now = req.node.clock(self.now)
        req.sent = confirmation.SentRequest(now, arrived_at=now)
        assert req.grant is not None
        # A late request of the outage part's holder uses its own slot.
        is_own = req.grant.part is OUTAGE and req.holder is req.node
        req.is_residual = pause > admission.MAX_SEND_DELAY_S and not is_own

    def finish(
        self,
        req: Request,
        is_answered: bool,
        is_lost: bool = False,
        has_arrived: bool = False,
    ) -> None:
        """End a request; its node learns of it and releases the slot if it can."""
        req.stage = Stage.DONE
        grant, holder, node = req.grant, req.holder, req.node
        if grant is None or holder is None:
            return
        is_gone = self.nodes.get(node.id) is not node
        # A release to the own process is never lost; a frozen one gets it on resuming.
        is_lost |= node.frozen or not self.connected(req)
        if is_gone or (is_lost and holder is not node):
            return
        now = holder.clock(self.now)
        part = holder.parts[grant.part]
        admission.release(part, grant.nonce, is_answered, now, has_arrived)

    def turn_cold(self, closes: bool) -> None:
        self.boot += 1
        self.is_cold = True
        last_warm = max(r[0] for r in self.reports if r[3] is table.Warmth.WARM)
        for req in self.running():
            if closes:
                self.finish(req, is_answered=True)
            elif last_warm > req.arrived_at:
                req.is_residual = True
        if closes:
            for node in self.nodes.values():
                for conn in node.connections:
                    conn.is_open = False
            for req in self.reqs:
                req.conn.is_open = False

    def kill(self, node: Node, is_noticed: bool) -> None:
        del self.nodes[node.id]
        for req in self.reqs:
            if req.node is node and (is_noticed or req.stage is not Stage.RUNNING):
                req.stage = Stage.DONE


EVENTS = ["none", "hand_over", "kill", "replace", "cut_store", "cancel", "cut"]
DISTURBANCE = st.fixed_dictionaries(
    {
        "number": st.integers(0, 2),
        "part": st.sampled_from(PARTS),
        "run_s": st.sampled_from(RUNS_S),
        "until": st.sampled_from([Stage.HELD, Stage.CHECKED, Stage.RUNNING]),
        "event": st.sampled_from(EVENTS),
        "ticks": st.sampled_from([1, 5, 16, 19, 24, 70, 120, 135, 150]),
    }
)
LIMITS = st.integers(1, 3)
RATES = st.lists(st.sampled_from([1.0, 1.1]), min_size=2, max_size=3)


class ColdUpstream(stateful.RuleBasedStateMachine):
    @stateful.initialize(
        cold_limit=LIMITS,
        rates=RATES,
    )
    def build(self, cold_limit: int, rates: list[float]) -> None:
        self.world = World(cold_limit, rates)

    def pick(self, number: int) -> Node | None:
        nodes = [n for n in self.world.nodes.values() if not n.frozen]
        return nodes[number % len(nodes)] if nodes else None

    def holders(self, part: admission.PartName) -> list[Node]:
        """Return the nodes that hold the part or still assume that they do."""
        return [n for n in self.world.nodes.values() if n.parts[part].held]

    @stateful.rule(run_s=st.sampled_from(RUNS_S))
    def fill(self, run_s: float) -> None:
        """Let every node request slots from every holder until none grants any more."""
        for part in PARTS:
            asks = itertools.product(self.world.nodes.values(), self.holders(part))
            for node, holder in list(asks):
                req = None if node.frozen else self.world.ask(node, holder, part, run_s)
                if req is not None:
                    self.world.advance(req, Stage.RUNNING)
        self.never_more_than_limit()

    @stateful.rule(
        number=st.integers(0, 2),
        part=st.sampled_from(PARTS),
        run_s=st.sampled_from(RUNS_S),
        until=st.sampled_from([Stage.ASKED, Stage.HELD, Stage.CHECKED, Stage.CHECKED]),
    )
    def request(
        self, number: int, part: admission.PartName, run_s: float, until: Stage
    ) -> None:
        """Leave a request at a stage; between check and write its node is frozen."""
        node = self.pick(number)
        if node is None:
            return
        for holder in self.holders(part):
            req = self.world.ask(node, holder, part, run_s)
            if req is None:
                return
            self.world.advance(req, until)
            node.frozen = req.stage is Stage.CHECKED
            if req.stage is not Stage.DONE:
                return

    @stateful.rule(params=DISTURBANCE)
    def disturb(self, params: dict[str, typing.Any]) -> None:
        """Leave a request at a stage, inject a fault, fill all slots, then resume."""
        number, part, event = params["number"], params["part"], params["event"]
        self.request(number, part, params["run_s"], params["until"])
        if event == "hand_over":
            self.hand_over(number + 1, part)
        elif event in ("cancel", "cut"):
            self.end_request(-1, event)
        elif event != "none" and self.holders(part):
            holder = self.holders(part)[0]
            nodes = list(self.world.nodes.values())
            index = nodes.index(holder)
            if event == "cut_store":
                self.cut(index, "cut_store")
            else:
                self.kill(index, restarts=False, is_noticed=False)
        if event == "replace":
            self.world.tick(6)
            self.change_environment("add")
        self.world.tick(params["ticks"])
        self.fill(60.0)
        self.proceed()
        self.resume()
        self.never_more_than_limit()
        # The first report after resuming was made before the late request arrived.
        self.world.tick(1)
        self.fill(60.0)

    @stateful.rule()
    def proceed(self) -> None:
        for req in self.world.reqs:
            self.world.advance(req, Stage.RUNNING)

    @stateful.rule(number=st.integers(0, 2))
    def freeze(self, number: int) -> None:
        node = self.pick(number)
        if node is not None:
            node.frozen = True

    @stateful.rule()
    def resume(self) -> None:
        """Resume frozen processes; a pending write is the first thing that they do."""
        frozen = [n for n in self.world.nodes.values() if n.frozen]
        for node in frozen:
            node.frozen = False
        for req in self.world.reqs:
            if req.stage is Stage.CHECKED and req.node in frozen:
                self.world.write(req)

    @stateful.rule(ticks=st.sampled_from([1, 5, 10, 16, 24, 35, 70, 120, 150]))
    def pass_time(self, ticks: int) -> None:
        self.world.tick(ticks)

    @stateful.rule(
        number=st.integers(0, 9),
        how=st.sampled_from(["end", "lost", "cancel", "cut"]),
    )
    def end_request(self, number: int, how: str) -> None:
        """End a request, or close its connection while the upstream runs on.

        A request that is cut had its response headers read, a cancelled one had not.
        """
        running = self.world.running()
        if not running:
            return
        req = running[number % len(running)]
        if how in ("cancel", "cut") and not req.node.frozen:
            has_arrived = how == "cut"
            self.world.finish(req, is_answered=False, has_arrived=has_arrived)
            req.stage = Stage.RUNNING
            req.holder = None
        else:
            self.world.finish(req, is_answered=True, is_lost=how == "lost")

    @stateful.rule(is_lost=st.booleans())
    def give_up(self, is_lost: bool) -> None:
        """Lose the reply to a slot request: its node releases and never sends."""
        for req in self.world.reqs:
            if req.stage <= Stage.HELD and not req.node.frozen:
                self.world.finish(req, is_answered=True, is_lost=is_lost)

    @stateful.rule(
        number=st.integers(0, 2),
        what=st.sampled_from(["cut_store", "cut_store", "cut_peers", "cut_engine"]),
    )
    def cut(self, number: int, what: str) -> None:
        nodes = list(self.world.nodes.values())
        if nodes:
            node = nodes[number % len(nodes)]
            setattr(node, what, not getattr(node, what))

    @stateful.rule(
        closes=st.booleans(),
        opens_connections=st.booleans(),
        ticks=st.lists(st.sampled_from([1, 2, 3, 40]), max_size=3),
    )
    def warm_and_turn_cold(
        self, closes: bool, opens_connections: bool, ticks: list[int]
    ) -> None:
        """Turn cold after bursts; slots in use then count together with later ones."""
        world = self.world
        for node in world.nodes.values():
            if opens_connections:
                node.connections.append(Connection(node.clock(world.now)))
        world.is_cold = False
        world.tick(6)
        self.fill(60.0)
        for count in ticks:
            world.tick(count)
            self.fill(60.0)
        world.turn_cold(closes)

    @stateful.rule(kind=st.sampled_from(["store", "heal", "add"]))
    def change_environment(self, kind: str) -> None:
        world = self.world
        if kind == "store":
            world.store_up = not world.store_up
        elif kind == "heal":
            world.store_up = True
            for node in world.nodes.values():
                node.cut_peers = node.cut_engine = node.cut_store = False
        elif len(world.nodes) < 4:
            world.add(f"m{next(world.procs)}", 1.0)

    @stateful.rule(
        number=st.integers(0, 2), restarts=st.booleans(), is_noticed=st.booleans()
    )
    def kill(self, number: int, restarts: bool, is_noticed: bool) -> None:
        """Restart a process on its instance, or remove the instance from the list."""
        world = self.world
        nodes = list(world.nodes.values())
        if len(nodes) < 2:
            return
        node = nodes[number % len(nodes)]
        world.kill(node, is_noticed)
        if restarts:
            world.add(node.id, node.rate)
        else:
            world.listed.append((world.now, frozenset(world.nodes)))

    @stateful.rule(number=st.integers(0, 2), part=st.sampled_from(PARTS))
    def hand_over(self, number: int, part: admission.PartName) -> None:
        """Stop holding a part at its holder, then write the row for the successor."""
        world = self.world
        node = self.pick(number)
        key = world.owner if part is LEASED else world.outage
        holder = world.nodes.get(key[0])
        if holder is None or holder.key != key or node is None or node is holder:
            return
        if holder.frozen or holder.cut_store or not world.store_up:
            return
        if not holder.parts[part].held or node.id not in world.read_list():
            return
        admission.stop_holding(holder.parts[part])
        if part is LEASED:
            world.owner = node.key
            holder.owns = False
        else:
            world.outage = node.key
            holder.has_outage = False
        node.to_begin.add(part)

    @stateful.invariant()
    def never_more_than_limit(self) -> None:
        world = self.world
        counted = [req for req in world.running() if not req.is_residual]
        if world.is_cold:
            assert len(counted) <= world.cold_limit

    def teardown(self) -> None:
        """Check that in a store outage a cold upstream gets work by the outage slot."""
        if not hasattr(self, "world"):
            return
        world = self.world
        world.store_up = False
        self.resume()
        for node in world.nodes.values():
            node.cut_peers = node.cut_engine = False
        for req in world.reqs:
            if req.stage < Stage.RUNNING:
                world.finish(req, is_answered=True)
        if not world.is_cold:
            world.turn_cold(closes=True)
        world.tick(170)
        holder = world.nodes.get(world.outage[0])
        if holder is None or holder.key != world.outage:
            return
        for node in world.nodes.values():
            req = world.ask(node, holder, OUTAGE, 1.0)
            assert req is not None, "no request possible with fresh reports"
            world.advance(req, Stage.RUNNING)
            assert req.stage is Stage.RUNNING, "no work through the outage slot"
            world.tick(8)


ColdUpstream.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)
TestColdUpstream = ColdUpstream.TestCase


@hypothesis.settings(max_examples=400, deadline=None, derandomize=True)
@hypothesis.given(LIMITS, RATES, st.lists(DISTURBANCE, min_size=1, max_size=3))
def test_limit_holds_after_few_disturbances(
    cold_limit: int, rates: list[float], disturbances: list[dict[str, typing.Any]]
) -> None:
    """Guards against exceeding the limit, or a stall, after one to three faults.

    Long runs of the state machine rarely reach these states from a healthy start.
    """
    machine = ColdUpstream()
    machine.build(cold_limit, rates)
    for params in disturbances:
        machine.disturb(params)
    machine.teardown()


CUT_STEP = st.fixed_dictionaries(
    {
        "ends": st.lists(
            st.tuples(
                st.sampled_from(["end", "end_unnoticed", "cancel", "cut"]),
                st.integers(0, 2),
            ),
            max_size=2,
        ),
        "notices": st.booleans(),
        "hand_over": st.none() | st.tuples(st.integers(0, 1), st.sampled_from(PARTS)),
        "ticks": st.sampled_from([1, 2, 3, 35]),
        "run_s": st.sampled_from(RUNS_S),
    }
)


@hypothesis.settings(max_examples=400, deadline=None, derandomize=True)
@hypothesis.given(LIMITS, RATES, st.lists(CUT_STEP, min_size=2, max_size=8))
def test_limit_holds_beside_cut_requests(
    cold_limit: int, rates: list[float], steps: list[dict[str, typing.Any]]
) -> None:
    """Guards against freeing the slot of a cut request that still runs.

    A node may notice the end of a request after the report that no longer counts it.
    """
    machine = ColdUpstream()
    machine.build(cold_limit, rates)
    unnoticed: list[Request] = []
    for step in steps:
        while step["notices"] and unnoticed:
            machine.world.finish(unnoticed.pop(), is_answered=True)
        for how, number in step["ends"]:
            running = machine.world.running()
            if how != "end_unnoticed":
                machine.end_request(number, how)
            elif running:
                req = running[number % len(running)]
                req.stage = Stage.DONE
                unnoticed.append(req)
        if step["hand_over"] is not None:
            machine.hand_over(*step["hand_over"])
        machine.pass_time(step["ticks"])
        machine.fill(step["run_s"])
    for req in unnoticed:
        machine.world.finish(req, is_answered=True)
    machine.teardown()


def build_part(held: bool = True) -> admission.Part:
    part = admission.Part(LEASED)
    if held:
        admission.start_holding(part, 3, 0.0, had_holder=False)
    return part


def build_report(made_at: float, running: int) -> table.LoadReport:
    return table.LoadReport("x", table.Warmth.COLD, running, 0, 1, made_at)


ASK = admission.SlotRequest("a", 10.0)


def test_ask_after_own_release_takes_no_slot() -> None:
    """Guards against a slot that stays in use after its request was abandoned."""
    part = build_part()
    admission.release(part, "a", True, 1.0)
    decision = admission.admit(part, ASK, 3, 2.0, holds_row=True)
    assert decision == admission.AlreadyReleased()
    assert not part.slots


def test_repeated_ask_takes_one_slot() -> None:
    """Guards against a second slot when a request is repeated after a lost reply."""
    part = build_part()
    for now in (1.0, 2.0):
        decision = admission.admit(part, ASK, 2, now, holds_row=True)
        assert decision == admission.Granted()
    assert admission.count_used(part, 2) == 1


@pytest.mark.parametrize(
    ("held", "holds_row", "duration_s", "decision"),
    [
        (True, False, 1.0, admission.NotHolder()),
        (False, True, 1.0, admission.NotHolder()),
        (True, True, 601.0, admission.TooLong(600.0)),
    ],
)
def test_ask_is_declined(
    held: bool, holds_row: bool, duration_s: float, decision: admission.Decision
) -> None:
    """Guards against grants without the row, or for longer than a slot can be held."""
    ask = admission.SlotRequest("a", duration_s)
    part = build_part(held)
    assert admission.admit(part, ask, 3, 1.0, holds_row) == decision


def test_idle_report_frees_slots_for_good() -> None:
    """Guards against a slot with a lost release counting again on a busy upstream."""
    part = build_part()
    admission.admit(part, ASK, 3, 1.0, holds_row=True)
    admission.apply_report(part, build_report(1.0 + admission.ARRIVAL_BOUND_S, 0))
    assert admission.count_used(part, 3) == 1
    admission.apply_report(part, build_report(1.1 + admission.ARRIVAL_BOUND_S, 0))
    admission.apply_report(part, build_report(1.2 + admission.ARRIVAL_BOUND_S, 1))
    assert admission.count_used(part, 3) == 0


def test_cut_request_that_arrived_ends_with_an_idle_report() -> None:
    """Guards against holding a slot for `ARRIVAL_BOUND_S` after an early arrival."""
    part = build_part()
    admission.admit(part, ASK, 3, 1.0, holds_row=True)
    admission.release(part, "a", False, 2.0, has_arrived=True)
    admission.apply_report(part, build_report(2.0, 0))
    assert admission.count_used(part, 3) == 1
    admission.apply_report(part, build_report(2.1, 0))
    assert admission.count_used(part, 3) == 0


@pytest.mark.parametrize(
    ("made_at", "running", "decision"),
    [
        (5.0, 1, admission.AwaitsReport()),
        (5.1, 1, admission.Granted()),
        (5.1, 0, admission.Granted()),
    ],
    ids=["report-before-end", "cut-request-runs", "idle"],
)
@pytest.mark.parametrize(("cut_in", "busy_in"), [PARTS, PARTS[::-1]])
def test_cut_request_does_not_keep_its_slot_beside_a_busy_part(
    made_at: float,
    running: int,
    decision: admission.Decision,
    cut_in: admission.PartName,
    busy_in: admission.PartName,
) -> None:
    """Guards against a slot in use for as long as the other part has requests."""
    cut, busy = admission.Part(cut_in), admission.Part(busy_in)
    for part in (cut, busy):
        admission.start_holding(part, 2, 0.0, had_holder=False)
        admission.admit(part, ASK, 2, 1.0, holds_row=True)
    admission.release(cut, "a", False, 2.0, has_arrived=True)
    for part in (cut, busy):
        admission.apply_report(part, build_report(3.0, 1))
    assert admission.count_used(cut, 2) == 1
    admission.release(busy, "a", True, 5.0)
    for part in (cut, busy):
        admission.apply_report(part, build_report(made_at, running))
    # Callers that give up waiting release slots that were never granted.
    admission.release(busy, "not granted", True, 5.5)
    ask = admission.SlotRequest("b", 10.0)
    assert admission.admit(busy, ask, 2, 6.0, True, other=cut) == decision
    assert admission.count_used(cut, 2) == running


def test_requests_from_warm_time_count() -> None:
    """Guards against ignoring requests from before an unnoticed turn to cold."""
    part = build_part()
    admission.apply_report(part, build_report(5.0, 3))
    decision = admission.admit(part, ASK, 3, 6.0, holds_row=True)
    assert decision == admission.Full(2)


@pytest.mark.parametrize(
    ("holder", "listed", "list_asked_at", "may_take"),
    [
        ("h", {"me", "h"}, 2.0, False),
        ("h", {"me"}, 2.0, True),
        ("h", {"me"}, 1.0, False),
        ("h", {"other"}, 2.0, False),
        ("me", {"me"}, 2.0, True),
    ],
    ids=["listed", "gone", "list-older-than-row", "taker-unlisted", "own-instance"],
)
def test_outage_part_moves_only_from_a_removed_instance(
    holder: str, listed: set[str], list_asked_at: float, may_take: bool
) -> None:
    """Guards against two holders: a lagging list also lacks new instances."""
    answer = admission.may_take_outage_part(holder, "me", listed, list_asked_at, 1.0)
    assert answer is may_take


def test_one_suspect_at_a_time() -> None:
    """Guards against two suspect requests on one upstream, and none on a busy one."""
    part = admission.Part(admission.PartName.SUSPECT)
    admission.start_holding(part, 3, 0.0, had_holder=False)
    admission.apply_report(part, build_report(1.0, 30))
    other = admission.SlotRequest("b", 10.0)
    assert admission.admit(part, ASK, 3, 2.0, True) == admission.Granted()
    assert admission.admit(part, other, 3, 2.0, True) == admission.Full(1)
    admission.release(part, "a", True, 3.0)
    assert admission.admit(part, other, 3, 4.0, True) == admission.Granted()

"""Limits of contracts at one node: slices from the teams' owners, and the backlog."""

import collections.abc
import dataclasses
import itertools
import math
import typing

import msgspec
import trio

from snipelug_core import backlog, contract, quota, refusal
from snipelug_net import rpc
from snipelug_node import ports, ticker

CALL_TIMEOUT_S = 1.0
TICK_S = 0.01
"""Time between looks at waiting requests, whose rates refill with time."""

ASK_SOON_S = 0.25
"""Time between requests for a slice while requests wait and no slice is held, or while
demand outgrows the last request, in seconds."""

IDLE_S = 60.0
"""Time after which the account of a team without requests is dropped, in seconds."""

JOIN_NODES = 20
"""Most other nodes that a new member asks whether they count it; in larger
deployments, whose members learn of one another over several nodes, it waits for
`quota.JOIN_WAIT_S` instead of sending so many calls."""

HOLD_WEIGHT = 0.1
"""Weight of the newest request in the mean time that a team's requests run."""

Identifier = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Natural = typing.Annotated[int, msgspec.Meta(ge=0)]
Rate = typing.Annotated[float, msgspec.Meta(ge=0)]


class SliceAsk(msgspec.Struct, frozen=True):
    """Asks a team's owner for a slice; see `quota.SliceRequest`."""

    team: Identifier
    session_id: Identifier
    number: Natural
    held: Natural
    in_flight: Natural
    requests_per_s: Rate
    tokens_per_s: Rate


class SliceReply(msgspec.Struct, frozen=True):
    """Answers `SliceAsk`; the amounts count only if lent.

    Attributes
    ----------
    owner : str
        Node to ask instead, if the asked one knows; empty otherwise.
    """

    is_lent: bool
    in_flight: Natural = 0
    requests_per_s: Rate = 0.0
    tokens_per_s: Rate = 0.0
    wait_s: Rate = 0.0
    owner: str = ""


SLICE = rpc.Method("Slice", SliceAsk, SliceReply)


class JoinAsk(msgspec.Struct, frozen=True):
    """Asks a node whether it divides the limits by a member count with the asker."""

    session_id: Identifier


class JoinReply(msgspec.Struct, frozen=True):
    """Answers `JoinAsk`.

    Attributes
    ----------
    session_id : str
        The answering process.
    """

    session_id: Identifier
    is_counted: bool


JOIN = rpc.Method("Join", JoinAsk, JoinReply)


@dataclasses.dataclass
class _Team:
    """A team's account at this node and what its demand is estimated from."""

    limits: contract.Limits
    account: quota.Account = dataclasses.field(default_factory=quota.Account)
    hold_s: float = 1.0
    arrived: int = 0
    arrived_tokens: float = 0.0
    asked_at: float = -math.inf
    asked_for: int = 0
    ask_after: float = -math.inf
    may_grow: bool = True
    told_owner: str = ""
    used_at: float = 0.0


class Permit:
    """The right to run one request, until `release`."""

    def __init__(
        self, limiter: "Limiter", team: str, cost: float, started_at: float
    ) -> None:
        self._limiter = limiter
        self._has_left = False
        self.team = team
        self.cost = cost
        self.started_at = started_at

    def release(self, used_tokens: float | None = None) -> None:
        """Give the right back, once the request has ended.

        Parameters
        ----------
        used_tokens : float, optional
            Tokens really used; the difference to the cost is settled.
        """
        if self._has_left:
            return
        self._has_left = True
        unused = 0.0 if used_tokens is None else self.cost - used_tokens
        self._limiter._leave(self, unused)


@dataclasses.dataclass
class _Waiter:
    entry: backlog.Entry
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    outcome: Permit | refusal.Refusal | None = None


class Limiter:
    """Admits requests within their team's limits, and lends slices as an owner.

    Parameters
    ----------
    peers : Peers
        The other nodes.
    session_id : str
        Names this process; differs after a restart.
    owner_of : callable
        Returns the node that owns a team, as far as known.
    holds_now : callable
        Returns whether this node owns a team, with a valid lease, at this moment.
    members : callable
        Returns the ids of the sessions that are not revoked.
    session_age_s : callable
        Returns the time since this node wrote its session row, in seconds.
    is_listed : callable
        Returns whether the sessions were read after this node wrote its own, so
        that `members` has every node that wrote its session earlier.
    limits_of : callable
        Returns a team's limits in the configuration in force.
    note_unowned_request : callable
        Told of each team that a node asked for and this one does not own.
    capacity : int
        Requests that this node runs at once over all teams.
    """

    def __init__(
        self,
        peers: ports.Peers,
        session_id: str,
        owner_of: collections.abc.Callable[[str], str | None],
        holds_now: collections.abc.Callable[[str], bool],
        members: collections.abc.Callable[[], collections.abc.Collection[str]],
        session_age_s: collections.abc.Callable[[], float],
        is_listed: collections.abc.Callable[[], bool],
        limits_of: collections.abc.Callable[[str], contract.Limits | None],
        note_unowned_request: collections.abc.Callable[[str], None] = lambda _: None,
        capacity: int = 4096,
    ) -> None:
        self._peers = peers
        self._session_id = session_id
        self._owner_of = owner_of
        self._holds_now = holds_now
        self._members = members
        self._session_age_s = session_age_s
        self._is_listed = is_listed
        self._counted_by: set[str] = set()
        self._joined_s = 0.0
        self._limits_of = limits_of
        self._note_unowned_request = note_unowned_request
        self._capacity = capacity
        self._teams: dict[str, _Team] = {}
        self._owned: dict[str, quota.Owner] = {}
        self._queues = backlog.Backlog()
        self._waiters: dict[int, _Waiter] = {}
        self._numbers = itertools.count()
        self._asks = itertools.count()
        self._running = 0
        self._nursery: trio.Nursery | None = None
        self._has_waiters = trio.Event()
        peers.register(SLICE, self._answer_slice)
        peers.register(JOIN, self._answer_join)

    def start_owning(self, team: str, had_owner: bool) -> None:
        """Start to own a team, after its row names this node."""
        self._owned[team] = quota.Owner(trio.current_time(), had_owner)

    def stop_owning(self, team: str) -> None:
        """Stop to own a team, before its row is handed over."""
        self._owned.pop(team, None)

    def describe(self) -> list[dict[str, object]]:
        """Return one row per team that this node serves now, for operators."""
        now = trio.current_time()
        return [
            {
                "team": name,
                "in_flight": team.account.in_flight,
                "waiting": max(0, self._wanted(name, team) - team.account.in_flight),
                "slice_s": round(max(0.0, team.account.lent_until - now), 1),
            }
            for name, team in sorted(self._teams.items())
        ]

    async def run(self) -> None:
        """Serve the queues and renew slices until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self._nursery.start_soon(self._serve_queues)
            while True:
                for node_id in self._nodes_to_join():
                    self._nursery.start_soon(self._join, node_id)
                for name in self._teams_to_ask():
                    self._ask_soon(name)
                await ticker.sleep(ASK_SOON_S)

    async def acquire(
        self, owner: contract.Contract, cost_tokens: float, deadline: float
    ) -> Permit | refusal.Refusal:
        """Wait for the right to run a request.

        Parameters
        ----------
        owner : Contract
            Contract of the request's team.
        cost_tokens : float
            Expected prompt plus generated tokens.
        deadline : float
            Monotonic time by which the request has to start, in seconds.
        """
        # Waiters whose deadline has passed must not count in the expected wait.
        self._dispatch()
        now = trio.current_time()
        name = owner.team
        team = self._teams.setdefault(name, _Team(owner.limits))
        team.limits = owner.limits
        team.arrived += 1
        team.arrived_tokens += cost_tokens
        team.used_at = now
        entry = backlog.Entry(next(self._numbers), name, cost_tokens, deadline)
        refused = backlog.enqueue(
            self._queues, entry, owner, self._pace(team, now), now
        )
        if refused is not None:
            return refused
        waiter = self._waiters[entry.number] = _Waiter(entry)
        self._has_waiters.set()
        self._dispatch()
        try:
            if waiter.outcome is None and not self._has_slice(team):
                # The first requests of a team do not wait for the next round.
                self._ask_soon(name)
            await waiter.done.wait()
        except trio.Cancelled:
            if isinstance(waiter.outcome, Permit):
                waiter.outcome.release(0.0)
            raise
        finally:
            self._waiters.pop(entry.number, None)
            backlog.remove(self._queues, entry)
        assert waiter.outcome is not None
        return waiter.outcome

    def _ask_soon(self, name: str) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self._ask, name)

    def _floor(self, team: _Team) -> quota.Amounts:
        is_counted = self._is_counted_by_all()
        joined_s = math.inf if is_counted else self._session_age_s()
        return quota.floor(team.limits, len(self._members()), joined_s)

    def _is_counted_by_all(self) -> bool:
        """Tell whether every other member divides the limits with this node.

        Of two nodes that join at once, the one that wrote its session later has
        read the other's and needs its answer, so neither uses too large a share.
        """
        others = set(self._members()) - {self._session_id}
        return self._is_listed() and others <= self._counted_by

    def _nodes_to_join(self) -> list[str]:
        """Return the nodes that may not count this one yet."""
        joined_s = self._session_age_s()
        if joined_s < self._joined_s:
            # With a new session this node has to be counted anew.
            self._counted_by.clear()
        self._joined_s = joined_s
        others = [name for name in self._peers.live() if name != self._peers.node_id]
        is_due = 0.0 < joined_s < quota.JOIN_WAIT_S and len(others) <= JOIN_NODES
        return others if is_due and not self._is_counted_by_all() else []

    async def _join(self, node_id: str) -> None:
        session_s = self._joined_s
        message = JoinAsk(self._session_id)
        answer = await self._peers.call(node_id, JOIN, message, CALL_TIMEOUT_S)
        is_same_session = self._session_age_s() >= session_s
        if isinstance(answer, JoinReply) and answer.is_counted and is_same_session:
            self._counted_by.add(answer.session_id)
            self._dispatch()

    async def _answer_join(self, message: JoinAsk) -> JoinReply:
        """Confirm a member once no team has more requests than the smaller share."""
        now = trio.current_time()
        is_counted = message.session_id in self._members() and all(
            team.account.in_flight
            <= quota.share_in_force(team.account, self._floor(team), now).in_flight
            for team in self._teams.values()
        )
        return JoinReply(self._session_id, is_counted)

    def _has_slice(self, team: _Team) -> bool:
        return trio.current_time() < team.account.lent_until

    def _pace(self, team: _Team, now: float) -> backlog.StartRates:
        """Return the team's pace.

        Slices follow demand, so the share in force bounds the pace only once the
        owner could not lend all that was asked for.
        """
        own_floor = self._floor(team)
        share = quota.share_in_force(team.account, own_floor, now)
        if team.may_grow:
            share = own_floor.plus(quota.pool(team.limits))
        return backlog.StartRates(
            share.in_flight, share.requests_per_s, share.tokens_per_s, team.hold_s
        )

    def _try_start(self, entry: backlog.Entry) -> bool:
        if self._running >= self._capacity:
            return False
        team = self._teams[entry.team]
        own_floor = self._floor(team)
        now = trio.current_time()
        return quota.try_start(team.account, own_floor, entry.cost, now)

    def _dispatch(self) -> None:
        now = trio.current_time()
        for entry, answer in backlog.expire(self._queues, now):
            self._settle(entry, answer)
        while (head := backlog.start_next(self._queues, self._try_start)) is not None:
            self._running += 1
            self._settle(head, Permit(self, head.team, head.cost, now))

    def _settle(self, entry: backlog.Entry, outcome: Permit | refusal.Refusal) -> None:
        waiter = self._waiters[entry.number]
        waiter.outcome = outcome
        waiter.done.set()

    def _leave(self, ticket: Permit, unused_tokens: float) -> None:
        now = trio.current_time()
        team = self._teams[ticket.team]
        quota.finish(team.account, unused_tokens)
        team.hold_s += HOLD_WEIGHT * (now - ticket.started_at - team.hold_s)
        team.used_at = now
        self._running -= 1
        self._dispatch()

    async def _serve_queues(self) -> None:
        while True:
            if not self._waiters:
                self._has_waiters = trio.Event()
                await self._has_waiters.wait()
            self._dispatch()
            await trio.sleep(TICK_S)

    def _teams_to_ask(self) -> list[str]:
        now = trio.current_time()
        idle = [
            name
            for name, team in self._teams.items()
            if team.account.in_flight == 0
            and name not in self._queues.queues
            and now - team.used_at > IDLE_S
        ]
        for name in idle:
            del self._teams[name]
        return [name for name, team in self._teams.items() if self._is_due(name, team)]

    def _is_due(self, name: str, team: _Team) -> bool:
        now = trio.current_time()
        if now < team.ask_after:
            return False
        if name in self._queues.queues:
            has_grown = (
                self._wanted(name, team) > quota.MAX_DEMAND_RATIO * team.asked_for
            )
            if has_grown or not self._has_slice(team):
                return now - team.asked_at >= ASK_SOON_S
        is_used = self._above_floor(team) > 0 or team.arrived > 0
        is_used = is_used or name in self._queues.queues
        return is_used and now - team.asked_at >= quota.REQUEST_INTERVAL_S

    def _wanted(self, name: str, team: _Team) -> int:
        queue = self._queues.queues.get(name)
        return team.account.in_flight + (0 if queue is None else len(queue.entries))

    def _above_floor(self, team: _Team) -> int:
        return max(0, team.account.in_flight - self._floor(team).in_flight)

    def _message(self, name: str, team: _Team, now: float) -> SliceAsk:
        """Ask for what arrived since the last request, and for what waits."""
        queue = self._queues.queues.get(name)
        waiting = 0 if queue is None else len(queue.entries)
        tokens = 0.0 if queue is None else sum(e.cost for e in queue.entries)
        interval_s = min(quota.SLICE_LEASE_S, max(1.0, now - team.asked_at))
        held = self._above_floor(team)
        return SliceAsk(
            name,
            self._session_id,
            next(self._asks),
            held,
            max(0, self._wanted(name, team) - self._floor(team).in_flight),
            team.arrived / interval_s + waiting,
            team.arrived_tokens / interval_s + tokens,
        )

    async def _ask(self, name: str) -> None:
        team = self._teams.get(name)
        now = trio.current_time()
        if team is None:
            return
        was_told = bool(team.told_owner)
        holder = team.told_owner or self._owner_of(name)
        if holder is None or now < team.ask_after or now <= team.asked_at:
            return
        message = self._message(name, team, now)
        team.asked_at = now
        team.asked_for = self._wanted(name, team)
        team.arrived = 0
        team.arrived_tokens = 0.0
        answer = await self._peers.call(holder, SLICE, message, CALL_TIMEOUT_S)
        team.may_grow = isinstance(answer, SliceReply) and _is_met(answer, message)
        team.told_owner = ""
        if isinstance(answer, rpc.Unreachable):
            return
        if not answer.is_lent:
            team.ask_after = now + answer.wait_s
            if answer.owner not in ("", holder) and not was_told:
                # The asked node is not the owner, and a request may be waiting.
                team.told_owner = answer.owner
                team.asked_at = -math.inf
                self._ask_soon(name)
            return
        amounts = quota.Amounts(
            answer.in_flight, answer.requests_per_s, answer.tokens_per_s
        )
        quota.apply_slice(team.account, amounts, now, self._floor(team))
        self._dispatch()

    async def _answer_slice(self, message: SliceAsk) -> SliceReply:
        limits = self._limits_of(message.team)
        owner = self._owned.get(message.team)
        if limits is None or owner is None:
            self._note_unowned_request(message.team)
            return SliceReply(False, owner=self._owner_of(message.team) or "")
        demand = quota.Amounts(
            message.in_flight, message.requests_per_s, message.tokens_per_s
        )
        ask = quota.SliceRequest(
            message.session_id, message.number, message.held, demand
        )
        now = trio.current_time()
        holds = self._holds_now(message.team)
        reply = quota.lend(owner, ask, limits, self._members(), now, holds)
        match reply:
            case quota.Lent(amounts=amounts):
                return SliceReply(
                    True,
                    amounts.in_flight,
                    amounts.requests_per_s,
                    amounts.tokens_per_s,
                )
            case quota.OwnerNotReady(wait_s=wait_s):
                return SliceReply(False, wait_s=wait_s)
        return SliceReply(False)


def _is_met(answer: SliceReply, message: SliceAsk) -> bool:
    return (
        answer.is_lent
        and answer.in_flight >= message.in_flight
        and answer.requests_per_s >= message.requests_per_s
        and answer.tokens_per_s >= message.tokens_per_s
    )

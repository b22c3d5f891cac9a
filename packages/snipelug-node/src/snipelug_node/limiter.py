"""Enforces the limits of contracts at one node.

Each team has an owner node, which lends slices of the team's limits to the nodes that
serve its requests. Requests that exceed the slice wait in a backlog.
"""

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
QUEUE_POLL_S = 0.01
"""Interval at which waiting requests are checked, since token buckets refill."""

EARLY_REQUEST_INTERVAL_S = 0.25
"""Interval between slice requests, in seconds, while requests wait without a slice or
demand has outgrown the last slice request."""

TEAM_IDLE_TIMEOUT_S = 60.0
"""Time without requests after which a team's account is dropped, in seconds."""

MAX_JOIN_CALLS = 20
"""Maximum number of other nodes to which a new member sends `JoinAsk`. In larger
deployments, where members learn of each other indirectly, it waits for
`quota.JOIN_WAIT_S` instead of sending that many calls."""

RUN_TIME_WEIGHT = 0.1
"""Weight of the newest sample in the moving average of a team's request duration."""

Identifier = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Natural = typing.Annotated[int, msgspec.Meta(ge=0)]
Rate = typing.Annotated[float, msgspec.Meta(ge=0)]


class SliceAsk(msgspec.Struct, frozen=True):
    """Requests a slice from a team's owner; see `quota.SliceRequest`."""

    team: Identifier
    session_id: Identifier
    number: Natural
    held: Natural
    in_flight: Natural
    requests_per_s: Rate
    tokens_per_s: Rate


class SliceReply(msgspec.Struct, frozen=True):
    """Answers `SliceAsk`; the amounts are valid only if `is_lent` is true.

    Attributes
    ----------
    owner : str
        Node to which the request should be redirected; empty if unknown.
    """

    is_lent: bool
    in_flight: Natural = 0
    requests_per_s: Rate = 0.0
    tokens_per_s: Rate = 0.0
    wait_s: Rate = 0.0
    owner: str = ""


SLICE = rpc.Method("Slice", SliceAsk, SliceReply)


class JoinAsk(msgspec.Struct, frozen=True):
    """Asks a node whether it counts the sender when it divides limits among members."""

    session_id: Identifier


class JoinReply(msgspec.Struct, frozen=True):
    """Answers `JoinAsk`.

    Attributes
    ----------
    session_id : str
        Identifies the answering process.
    """

    session_id: Identifier
    is_counted: bool


JOIN = rpc.Method("Join", JoinAsk, JoinReply)


@dataclasses.dataclass
class _Team:
    """A team's account at this node and the inputs of its demand estimate.

    Attributes
    ----------
    mean_run_s : float
        Moving average of the duration of requests, in seconds.
    new_requests, new_tokens : int, float
        Requests and expected tokens that arrived since the last slice request.
    requested_in_flight : int
        Requests running or waiting when the last slice was requested.
    is_demand_met : bool
        Whether the owner lent all that was last requested.
    redirected_to : str
        Owner named by the node that was asked last; empty if none was named.
    """

    limits: contract.Limits
    account: quota.Account = dataclasses.field(default_factory=quota.Account)
    mean_run_s: float = 1.0
    new_requests: int = 0
    new_tokens: float = 0.0
    requested_at: float = -math.inf
    requested_in_flight: int = 0
    next_request_at: float = -math.inf
    is_demand_met: bool = True
    redirected_to: str = ""
    last_active_at: float = 0.0


class Permit:
    """Permission to run one request, valid until `release`."""

    def __init__(
        self, limiter: "Limiter", team: str, cost: float, started_at: float
    ) -> None:
        self._limiter = limiter
        self._is_released = False
        self.team = team
        self.cost = cost
        self.started_at = started_at

    def release(self, used_tokens: float | None = None) -> None:
        """Return the permit after the request has ended; later calls have no effect.

        Parameters
        ----------
        used_tokens : float, optional
            Tokens actually used; the difference from the cost is refunded or charged.
        """
        if self._is_released:
            return
        self._is_released = True
        unused = 0.0 if used_tokens is None else self.cost - used_tokens
        self._limiter._release(self, unused)


@dataclasses.dataclass
class _Waiter:
    entry: backlog.Entry
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    outcome: Permit | refusal.Refusal | None = None


class Limiter:
    """Admits requests within their team's limits and lends slices of owned teams.

    Parameters
    ----------
    peers : Peers
        The other nodes.
    session_id : str
        Identifies this process; changes on restart.
    owner_of : callable
        Returns the node that owns a team, or None if unknown.
    holds_now : callable
        Returns whether this node currently owns a team under a valid lease.
    members : callable
        Returns the ids of the sessions that are not revoked.
    session_age_s : callable
        Returns the time since this node wrote its session row, in seconds.
    is_listed : callable
        Returns whether sessions were read after this node wrote its own row, in
        which case `members` includes every node that wrote its session earlier.
    limits_of : callable
        Returns a team's limits in the active configuration.
    note_unowned_request : callable
        Called with the team of each slice request for a team not owned by this node.
    capacity : int
        Maximum number of requests that this node runs concurrently over all teams.
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
        self._counting_sessions: set[str] = set()
        self._last_session_age_s = 0.0
        self._limits_of = limits_of
        self._note_unowned_request = note_unowned_request
        self._capacity = capacity
        self._teams: dict[str, _Team] = {}
        self._owned: dict[str, quota.Owner] = {}
        self._queues = backlog.Backlog()
        self._waiters: dict[int, _Waiter] = {}
        self._numbers = itertools.count()
        self._request_numbers = itertools.count()
        self._running = 0
        self._nursery: trio.Nursery | None = None
        self._has_waiters = trio.Event()
        peers.register(SLICE, self._answer_slice)
        peers.register(JOIN, self._answer_join)

    def start_owning(self, team: str, had_owner: bool) -> None:
        """Start lending a team's limits, after its row names this node as owner."""
        self._owned[team] = quota.Owner(trio.current_time(), had_owner)

    def stop_owning(self, team: str) -> None:
        """Stop lending a team's limits, before its row is handed over."""
        self._owned.pop(team, None)

    def describe(self) -> list[dict[str, object]]:
        """Return one row for each team that this node serves now, for operators."""
        now = trio.current_time()
        return [
            {
                "team": name,
                "in_flight": team.account.in_flight,
                "waiting": max(0, self._demand(name, team) - team.account.in_flight),
                "slice_s": round(max(0.0, team.account.lent_until - now), 1),
            }
            for name, team in sorted(self._teams.items())
        ]

    async def run(self) -> None:
        """Process the queues and renew slices until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self._nursery.start_soon(self._poll_queues)
            while True:
                for node_id in self._nodes_to_join():
                    self._nursery.start_soon(self._join, node_id)
                for name in self._teams_due():
                    self._schedule_request(name)
                await ticker.sleep(EARLY_REQUEST_INTERVAL_S)

    async def acquire(
        self, owner: contract.Contract, cost_tokens: float, deadline: float
    ) -> Permit | refusal.Refusal:
        """Wait for permission to run a request.

        Parameters
        ----------
        owner : Contract
            Contract of the request's team.
        cost_tokens : float
            Expected total of prompt and generated tokens.
        deadline : float
            Monotonic time by which the request must start, in seconds.
        """
        # Expired waiters must not contribute to the expected wait.
        self._dispatch()
        now = trio.current_time()
        name = owner.team
        team = self._teams.setdefault(name, _Team(owner.limits))
        team.limits = owner.limits
        team.new_requests += 1
        team.new_tokens += cost_tokens
        team.last_active_at = now
        entry = backlog.Entry(next(self._numbers), name, cost_tokens, deadline)
        refused = backlog.enqueue(
            self._queues, entry, owner, self._start_rates(team, now), now
        )
        if refused is not None:
            return refused
        waiter = self._waiters[entry.number] = _Waiter(entry)
        self._has_waiters.set()
        self._dispatch()
        try:
            if waiter.outcome is None and not self._has_slice(team):
                # A team's first requests don't wait for the next periodic check.
                self._schedule_request(name)
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

    def _schedule_request(self, name: str) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self._request_slice, name)

    def _floor(self, team: _Team) -> quota.Amounts:
        is_counted = self._is_counted_by_all()
        session_age_s = math.inf if is_counted else self._session_age_s()
        return quota.floor(team.limits, len(self._members()), session_age_s)

    def _is_counted_by_all(self) -> bool:
        """Return whether every other member counts this node when dividing limits.

        If two nodes join concurrently, the one that wrote its session later has read
        the other's session and needs its answer, so neither uses too large a share.
        """
        others = set(self._members()) - {self._session_id}
        return self._is_listed() and others <= self._counting_sessions

    def _nodes_to_join(self) -> list[str]:
        """Return the nodes that might not count this node yet."""
        session_age_s = self._session_age_s()
        if session_age_s < self._last_session_age_s:
            # The session is new, so the other nodes must confirm it again.
            self._counting_sessions.clear()
        self._last_session_age_s = session_age_s
        others = [name for name in self._peers.live() if name != self._peers.node_id]
        is_due = (
            0.0 < session_age_s < quota.JOIN_WAIT_S and len(others) <= MAX_JOIN_CALLS
        )
        return others if is_due and not self._is_counted_by_all() else []

    async def _join(self, node_id: str) -> None:
        age_at_call_s = self._last_session_age_s
        message = JoinAsk(self._session_id)
        answer = await self._peers.call(node_id, JOIN, message, CALL_TIMEOUT_S)
        is_same_session = self._session_age_s() >= age_at_call_s
        if isinstance(answer, JoinReply) and answer.is_counted and is_same_session:
            self._counting_sessions.add(answer.session_id)
            self._dispatch()

    async def _answer_join(self, message: JoinAsk) -> JoinReply:
        """Confirm a member once every team's requests fit into the reduced share."""
        now = trio.current_time()
        is_counted = message.session_id in self._members() and all(
            team.account.in_flight
            <= quota.share_in_force(team.account, self._floor(team), now).in_flight
            for team in self._teams.values()
        )
        return JoinReply(self._session_id, is_counted)

    def _has_slice(self, team: _Team) -> bool:
        return trio.current_time() < team.account.lent_until

    def _start_rates(self, team: _Team, now: float) -> backlog.StartRates:
        """Return the rates at which the team's requests can start.

        Slices grow with demand, so the current share is a bound only after the owner
        could not lend all that was requested.
        """
        own_floor = self._floor(team)
        share = quota.share_in_force(team.account, own_floor, now)
        if team.is_demand_met:
            share = own_floor.plus(quota.pool(team.limits))
        return backlog.StartRates(
            share.in_flight, share.requests_per_s, share.tokens_per_s, team.mean_run_s
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
            self._complete(entry, answer)
        while (head := backlog.start_next(self._queues, self._try_start)) is not None:
            self._running += 1
            self._complete(head, Permit(self, head.team, head.cost, now))

    def _complete(
        self, entry: backlog.Entry, outcome: Permit | refusal.Refusal
    ) -> None:
        waiter = self._waiters[entry.number]
        waiter.outcome = outcome
        waiter.done.set()

    def _release(self, permit: Permit, unused_tokens: float) -> None:
        now = trio.current_time()
        team = self._teams[permit.team]
        quota.finish(team.account, unused_tokens)
        team.mean_run_s += RUN_TIME_WEIGHT * (now - permit.started_at - team.mean_run_s)
        team.last_active_at = now
        self._running -= 1
        self._dispatch()

    async def _poll_queues(self) -> None:
        while True:
            if not self._waiters:
                self._has_waiters = trio.Event()
                await self._has_waiters.wait()
            self._dispatch()
            await trio.sleep(QUEUE_POLL_S)

    def _teams_due(self) -> list[str]:
        """Drop idle teams and return those that need a slice request."""
        now = trio.current_time()
        idle = [
            name
            for name, team in self._teams.items()
            if team.account.in_flight == 0
            and name not in self._queues.queues
            and now - team.last_active_at > TEAM_IDLE_TIMEOUT_S
        ]
        for name in idle:
            del self._teams[name]
        return [
            name
            for name, team in self._teams.items()
            if self._needs_request(name, team)
        ]

    def _needs_request(self, name: str, team: _Team) -> bool:
        now = trio.current_time()
        if now < team.next_request_at:
            return False
        if name in self._queues.queues:
            has_grown = (
                self._demand(name, team)
                > quota.MAX_DEMAND_RATIO * team.requested_in_flight
            )
            if has_grown or not self._has_slice(team):
                return now - team.requested_at >= EARLY_REQUEST_INTERVAL_S
        is_used = self._above_floor(team) > 0 or team.new_requests > 0
        is_used = is_used or name in self._queues.queues
        return is_used and now - team.requested_at >= quota.REQUEST_INTERVAL_S

    def _demand(self, name: str, team: _Team) -> int:
        queue = self._queues.queues.get(name)
        return team.account.in_flight + (0 if queue is None else len(queue.entries))

    def _above_floor(self, team: _Team) -> int:
        return max(0, team.account.in_flight - self._floor(team).in_flight)

    def _build_request(self, name: str, team: _Team, now: float) -> SliceAsk:
        """Build a request that covers recent arrivals and waiting requests."""
        queue = self._queues.queues.get(name)
        waiting = 0 if queue is None else len(queue.entries)
        tokens = 0.0 if queue is None else sum(e.cost for e in queue.entries)
        interval_s = min(quota.SLICE_LEASE_S, max(1.0, now - team.requested_at))
        held = self._above_floor(team)
        return SliceAsk(
            name,
            self._session_id,
            next(self._request_numbers),
            held,
            max(0, self._demand(name, team) - self._floor(team).in_flight),
            team.new_requests / interval_s + waiting,
            team.new_tokens / interval_s + tokens,
        )

    async def _request_slice(self, name: str) -> None:
        team = self._teams.get(name)
        now = trio.current_time()
        if team is None:
            return
        was_redirected = bool(team.redirected_to)
        owner_id = team.redirected_to or self._owner_of(name)
        if owner_id is None or now < team.next_request_at or now <= team.requested_at:
            return
        message = self._build_request(name, team, now)
        team.requested_at = now
        team.requested_in_flight = self._demand(name, team)
        team.new_requests = 0
        team.new_tokens = 0.0
        answer = await self._peers.call(owner_id, SLICE, message, CALL_TIMEOUT_S)
        team.is_demand_met = isinstance(answer, SliceReply) and _covers_demand(
            answer, message
        )
        team.redirected_to = ""
        if isinstance(answer, rpc.Unreachable):
            return
        if not answer.is_lent:
            team.next_request_at = now + answer.wait_s
            if answer.owner not in ("", owner_id) and not was_redirected:
                # Follow the redirect at once, since requests may be waiting.
                team.redirected_to = answer.owner
                team.requested_at = -math.inf
                self._schedule_request(name)
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


def _covers_demand(answer: SliceReply, message: SliceAsk) -> bool:
    return (
        answer.is_lent
        and answer.in_flight >= message.in_flight
        and answer.requests_per_s >= message.requests_per_s
        and answer.tokens_per_s >= message.tokens_per_s
    )

"""Bounded per-team queues with deadlines, served by weighted deficit round robin."""

import collections
import collections.abc
import dataclasses
import math

from snipelug_core import contract, refusal

QUANTUM_TOKENS = 2048.0
"""Tokens granted per round to a team of weight 1; about one chunk of a prompt."""

ROUNDING_TOKENS = 1e-3
"""Tolerance when comparing a deficit with a cost. Without it, rounding errors in the
sum of quanta could leave the deficit just short of the cost of an entry."""


@dataclasses.dataclass(frozen=True)
class Entry:
    """A queued request.

    Attributes
    ----------
    number : int
        Identifier of the entry, unique within this node.
    cost : float
        Expected number of prompt and generated tokens.
    deadline : float
        Monotonic time by which the request must start, in seconds.
    """

    number: int
    team: str
    cost: float
    deadline: float


@dataclasses.dataclass(frozen=True)
class StartRates:
    """The limits on how fast this node may start requests of a team.

    Attributes
    ----------
    in_flight : int
        Maximum number of concurrent requests.
    requests_per_s, tokens_per_s : float
        Maximum rates of requests and tokens per second.
    hold_s : float
        Mean run time of the team's requests, in seconds.
    """

    in_flight: int
    requests_per_s: float
    tokens_per_s: float
    mean_run_s: float


@dataclasses.dataclass
class Queue:
    """The queue of one team.

    Attributes
    ----------
    deficit : float
        Tokens that the team may still use in the current round.
    """

    weight: float
    entries: collections.deque[Entry] = dataclasses.field(
        default_factory=collections.deque
    )
    deficit: float = 0.0


@dataclasses.dataclass
class Backlog:
    """All queues of a node; the first key is the team to serve next."""

    queues: collections.OrderedDict[str, Queue] = dataclasses.field(
        default_factory=collections.OrderedDict
    )


def estimate_wait(
    entries: collections.abc.Collection[Entry], rates: StartRates
) -> float:
    """Estimate the time until all queued entries have started, in seconds.

    The most restrictive of the three limits determines the result.
    """
    count = len(entries)
    cost = sum(entry.cost for entry in entries)
    return max(
        _divide(count, rates.requests_per_s),
        _divide(cost, rates.tokens_per_s),
        _divide(count * rates.mean_run_s, rates.in_flight),
    )


def _divide(amount: float, rate: float) -> float:
    if amount <= 0:
        return 0.0
    return amount / rate if rate > 0 else math.inf


def enqueue(
    backlog: Backlog,
    entry: Entry,
    team_contract: contract.Contract,
    rates: StartRates,
    now: float,
) -> refusal.Refusal | None:
    """Queue an entry, or refuse it if the queue is full or the deadline out of reach.

    Parameters
    ----------
    backlog : Backlog
        Modified in place unless the entry is refused.
    entry : Entry
        The request to queue.
    team_contract : Contract
        Contract of the entry's team.
    rates : StartRates
        The team's start rates at this node.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    Refusal or None
        ``queue_full`` or ``deadline_unreachable``, with the expected wait if it is
        finite; None if the entry was queued.
    """
    queue = backlog.queues.get(entry.team)
    waiting = () if queue is None else queue.entries
    limit = team_contract.limits.queue_length
    wait_s = estimate_wait(waiting, rates)
    retry_after_s = wait_s if math.isfinite(wait_s) else None
    if len(waiting) >= limit:
        message = f"team {entry.team} has {limit} requests queued at this node"
        return refusal.refuse(refusal.QUEUE_FULL, message, retry_after_s=retry_after_s)
    remaining_s = entry.deadline - now
    if remaining_s <= 0 or (math.isfinite(wait_s) and wait_s > remaining_s):
        message = (
            f"expected wait is {wait_s:.1f} s, but only "
            f"{max(remaining_s, 0.0):.1f} s remain until the deadline"
        )
        kind = refusal.DEADLINE_UNREACHABLE
        return refusal.refuse(kind, message, retry_after_s=retry_after_s)
    if queue is None:
        queue = backlog.queues[entry.team] = Queue(team_contract.weight)
    queue.weight = team_contract.weight
    queue.entries.append(entry)
    return None


def remove(backlog: Backlog, entry: Entry) -> bool:
    """Remove an entry from its queue; return False if it is not queued."""
    queue = backlog.queues.get(entry.team)
    if queue is None or entry not in queue.entries:
        return False
    queue.entries.remove(entry)
    if not queue.entries:
        del backlog.queues[entry.team]
    return True


def expire(backlog: Backlog, now: float) -> list[tuple[Entry, refusal.Refusal]]:
    """Remove the entries whose deadline has passed, each with its refusal."""
    expired = [
        entry
        for queue in backlog.queues.values()
        for entry in queue.entries
        if entry.deadline <= now
    ]
    for entry in expired:
        remove(backlog, entry)
    message = "the deadline passed while the request was queued"
    refused = refusal.refuse(refusal.DEADLINE_UNREACHABLE, message)
    return [(entry, refused) for entry in expired]


def start_next(
    backlog: Backlog, try_start: collections.abc.Callable[[Entry], bool]
) -> Entry | None:
    """Start the next entry by weighted deficit round robin.

    A team that its own limits prevent from starting neither blocks other teams nor
    accumulates deficit.

    Parameters
    ----------
    backlog : Backlog
        Modified in place.
    try_start : callable
        Reserves what the entry needs of its team's limits, or returns False.

    Returns
    -------
    Entry or None
        The started entry, or None if no entry can start.
    """
    blocked: set[str] = set()
    while len(blocked) < len(backlog.queues):
        rounds = _rounds_to_first(backlog, blocked)
        for team in list(backlog.queues):
            if team in blocked:
                continue
            queue = backlog.queues[team]
            entry = queue.entries[0]
            deficit = queue.deficit + rounds * queue.weight * QUANTUM_TOKENS
            if deficit + ROUNDING_TOKENS < entry.cost:
                continue
            if not try_start(entry):
                blocked.add(team)
                break
            _grant_quanta(backlog, blocked, rounds, team)
            queue.deficit -= entry.cost
            remove(backlog, entry)
            return entry
    return None


def _rounds_to_first(backlog: Backlog, blocked: set[str]) -> int:
    """Return the rounds until a team's deficit covers the cost of its first entry."""
    rounds_needed = (
        (queue.entries[0].cost - queue.deficit) / (queue.weight * QUANTUM_TOKENS)
        for team, queue in backlog.queues.items()
        if team not in blocked
    )
    return max(0, math.ceil(min(rounds_needed)))


def _grant_quanta(backlog: Backlog, blocked: set[str], rounds: int, team: str) -> None:
    """Add the quanta of the rounds and move the served team to the front.

    It stays there while its deficit covers its next entry. Does nothing for 0 rounds.
    """
    if rounds == 0:
        return
    for name, queue in backlog.queues.items():
        if name not in blocked:
            queue.deficit += rounds * queue.weight * QUANTUM_TOKENS
    names = list(backlog.queues)
    for name in names[: names.index(team)]:
        backlog.queues.move_to_end(name)

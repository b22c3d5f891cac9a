"""Bounded queues with deadlines, served by weighted deficit round robin."""

import collections
import collections.abc
import dataclasses
import math

from snipelug_core import contract, refusal

QUANTUM_TOKENS = 2048.0
"""Tokens that a team of weight 1 may use per round; about one piece of a prompt."""

ROUNDING_TOKENS = 1e-3
"""Tolerance of sums of quanta; without it the round that pays for an entry may fall
short of its cost by a rounding error."""


@dataclasses.dataclass(frozen=True)
class Entry:
    """A request that waits.

    Attributes
    ----------
    number : int
        Identifies the entry at this node.
    cost : float
        Expected prompt plus generated tokens.
    deadline : float
        Monotonic time by which it has to start, in seconds.
    """

    number: int
    team: str
    cost: float
    deadline: float


@dataclasses.dataclass(frozen=True)
class StartRates:
    """How fast this node may start requests of a team.

    Attributes
    ----------
    in_flight : int
        Requests that may run at once.
    requests_per_s, tokens_per_s : float
        Rates per second.
    hold_s : float
        Mean time that a request of the team runs, in seconds.
    """

    in_flight: int
    requests_per_s: float
    tokens_per_s: float
    hold_s: float


@dataclasses.dataclass
class Queue:
    """The queue of one team.

    Attributes
    ----------
    deficit : float
        Tokens that the team may use in the current round.
    """

    weight: float
    entries: collections.deque[Entry] = dataclasses.field(
        default_factory=collections.deque
    )
    deficit: float = 0.0


@dataclasses.dataclass
class Backlog:
    """All queues of a node; the first key is the team whose turn it is."""

    queues: collections.OrderedDict[str, Queue] = dataclasses.field(
        default_factory=collections.OrderedDict
    )


def estimate_wait(
    entries: collections.abc.Collection[Entry], pace: StartRates
) -> float:
    """Estimate the time until the queued entries have started, in seconds.

    The slowest of the three limits decides.
    """
    count = len(entries)
    cost = sum(entry.cost for entry in entries)
    return max(
        _divide(count, pace.requests_per_s),
        _divide(cost, pace.tokens_per_s),
        _divide(count * pace.hold_s, pace.in_flight),
    )


def _divide(amount: float, rate: float) -> float:
    if amount <= 0:
        return 0.0
    return amount / rate if rate > 0 else math.inf


def enqueue(
    backlog: Backlog,
    entry: Entry,
    owner: contract.Contract,
    pace: StartRates,
    now: float,
) -> refusal.Refusal | None:
    """Queue an entry, or refuse it because it could not start in time.

    Parameters
    ----------
    backlog : Backlog
        Changed in place unless the entry is refused.
    entry : Entry
        The request.
    owner : Contract
        Contract of the entry's team.
    pace : Pace
        The team's pace at this node.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    Refusal or None
        ``queue_full``, or ``deadline_unreachable`` with the expected wait.
    """
    queue = backlog.queues.get(entry.team)
    waiting = () if queue is None else queue.entries
    limit = owner.limits.queue_length
    wait_s = estimate_wait(waiting, pace)
    retry_s = wait_s if math.isfinite(wait_s) else None
    if len(waiting) >= limit:
        message = f"team {entry.team} has {limit} requests waiting at this node"
        return refusal.refuse(refusal.QUEUE_FULL, message, retry_after_s=retry_s)
    time_left = entry.deadline - now
    if time_left <= 0 or (math.isfinite(wait_s) and wait_s > time_left):
        message = (
            f"expected wait {wait_s:.1f} s, but {max(time_left, 0.0):.1f} s are left"
        )
        kind = refusal.DEADLINE_UNREACHABLE
        return refusal.refuse(kind, message, retry_after_s=retry_s)
    if queue is None:
        queue = backlog.queues[entry.team] = Queue(owner.weight)
    queue.weight = owner.weight
    queue.entries.append(entry)
    return None


def remove(backlog: Backlog, entry: Entry) -> bool:
    """Take an entry out of its queue; False if it is not there."""
    queue = backlog.queues.get(entry.team)
    if queue is None or entry not in queue.entries:
        return False
    queue.entries.remove(entry)
    if not queue.entries:
        del backlog.queues[entry.team]
    return True


def expire(backlog: Backlog, now: float) -> list[tuple[Entry, refusal.Refusal]]:
    """Take out the entries whose deadline has passed."""
    late = [
        entry
        for queue in backlog.queues.values()
        for entry in queue.entries
        if entry.deadline <= now
    ]
    for entry in late:
        remove(backlog, entry)
    message = "the deadline passed while the request waited"
    answer = refusal.refuse(refusal.DEADLINE_UNREACHABLE, message)
    return [(entry, answer) for entry in late]


def start_next(
    backlog: Backlog, try_start: collections.abc.Callable[[Entry], bool]
) -> Entry | None:
    """Start the next entry by weighted deficit round robin.

    A team whose own limits hold it back neither blocks the others nor saves up
    deficit meanwhile.

    Parameters
    ----------
    backlog : Backlog
        Changed in place.
    try_start : callable
        Takes the entry's share of its team's limits, or returns False.

    Returns
    -------
    Entry or None
        The entry started; None if none can start.
    """
    blocked: set[str] = set()
    while len(blocked) < len(backlog.queues):
        turns = _turns_to_first(backlog, blocked)
        for team in list(backlog.queues):
            if team in blocked:
                continue
            queue = backlog.queues[team]
            entry = queue.entries[0]
            deficit = queue.deficit + turns * queue.weight * QUANTUM_TOKENS
            if deficit + ROUNDING_TOKENS < entry.cost:
                continue
            if not try_start(entry):
                blocked.add(team)
                break
            _grant_turns(backlog, blocked, turns, team)
            queue.deficit -= entry.cost
            remove(backlog, entry)
            return entry
    return None


def _turns_to_first(backlog: Backlog, blocked: set[str]) -> int:
    """Return how many rounds pass until the first team can afford its head."""
    missing = (
        (queue.entries[0].cost - queue.deficit) / (queue.weight * QUANTUM_TOKENS)
        for team, queue in backlog.queues.items()
        if team not in blocked
    )
    return max(0, math.ceil(min(missing)))


def _grant_turns(backlog: Backlog, blocked: set[str], turns: int, team: str) -> None:
    """Give the rounds' quanta; the team served stays first while it can afford."""
    if turns == 0:
        return
    for name, queue in backlog.queues.items():
        if name not in blocked:
            queue.deficit += turns * queue.weight * QUANTUM_TOKENS
    names = list(backlog.queues)
    for name in names[: names.index(team)]:
        backlog.queues.move_to_end(name)

"""One rate of requests that all nodes together may use.

The node that ranks first for a rate's key is its allocator: it has the only token
bucket for the key, and the other nodes ask it for permits by datagram. A share for each
node would not do: with hundreds of nodes a share is one request in minutes, shares that
were saved up come back as a burst, and those of nodes without demand stay unused.

When the allocator does not answer, the next nodes in rank stand in for it, each with a
new, empty bucket, once all nodes before it have left its own pings unanswered. A node
that reaches no candidate is granted nothing: it cannot know whether the others use the
whole rate.
"""

import collections
import collections.abc
import dataclasses
import enum
import itertools
import math
import random
import statistics

import msgspec

from snipelug_core import hashing, ranges

EQUAL_FRACTION = 0.25
"""Fraction of what is divided by demand that the nodes have equal parts of.

A node whose demand is not known to the others yet has only this part.
"""

MIN_PER_S = 0.1
"""Minimum rate, so that some request shows when a limit of 0 ends."""

UNLIMITED_PER_S = 1e5
"""Rate from which on no permits are needed."""

LIMIT_BURST_S = 0.5
COLD_BURST_S = 0.25
"""Time in which a full bucket of a limit and of a cold upstream fills, in seconds."""

MIN_LIMIT_BURST = 2.5
"""Minimum capacity of a limit's bucket, of which one token is kept for urgent asks."""

PERMIT_S = 0.25
"""Validity of a permit, from the time before it was asked for.

The usual round trip to the node that granted it is added.
"""

ASK_TIMEOUT_S = 0.1
MAX_ASK_TIMEOUT_S = 0.45
"""Bounds of the time after which a node that has not answered is passed over."""

TIMEOUT_ROUND_TRIPS = 3.0
"""Number of usual round trips after which a node is passed over."""

MAX_ROUND_TRIP_S = 0.25
"""Maximum round trip that is added to the validity of a permit.

It bounds the permits that a node which was frozen may still use.
"""

ROUND_TRIPS = 5
"""Number of round trips whose median is the usual one."""

MAX_SENDS = 3
"""Number of times an ask is sent to a candidate before it is passed over.

A copy has the same number, so that it is granted once, and an answer that was lost is
given again.
"""

AVOID_S = 1.0
"""Time for which a candidate that does not answer or does not grant is passed over."""

MAX_CANDIDATES = 8
"""Number of nodes in rank that may grant for a key."""

MAX_TRIES = 3
"""Maximum number of candidates that are asked for one request."""

ESTABLISHED_S = 15.0
"""Time after its first read of the members in which a node grants only provisionally.

The other nodes learn of it within 12 s.
"""

PROVISIONAL_S = 2.0
"""Time after its first read of the members in which a node grants nothing."""

CONFIRMED_S = 45.0
"""Age of the last read of the members from which on a node grants nothing.

The others count its row for 50 s after it was written.
"""

PING_INTERVAL_S = 0.1
SILENT_PINGS = 3
SILENT_S = 0.3
"""Number of unanswered pings, and their time span, that show that a node is silent."""

STANDING_VALID_S = 5.0
"""Time for which the last answer of a node to a ping counts, in seconds."""

SILENT_VALID_S = 10.0
"""Time for which a silence counts after the last ping, in seconds."""

MAX_PING_AGE_S = 1.0
"""Time after which the answer to a ping no longer shows that a node is alive."""

MIN_RETRY_S = 0.02
MAX_RETRY_S = 5.0
"""Pause after a denied ask, by the number of asking nodes, in seconds."""

CHECKING_RETRY_S = 0.1
"""First pause after an ask to which no candidate gave a decision; doubles each time."""

ASKS_PER_PERMIT = 3.0
MIN_ASKS_PER_S = 20.0
MAX_ASKS_PER_S = 150.0
"""Asks of all nodes together for which denials are spaced."""

ASKER_S = 10.0
"""Time for which a node counts as asking after an ask, in seconds.

It is also the minimum decay time of what was asked for with each priority.
"""

ASKED_TOKENS = 5.0
"""Decay time of what was asked for with each priority, in tokens of the rate."""

FORGOTTEN_ASKS = 0.3
"""Number of more urgent asks, decayed, up to which no token is kept for them."""

RESERVED_FRACTION = 0.4
"""Part of a bucket that is kept for more urgent asks, at most."""

RATE_HOLD_S = 2.0
"""Time for which the lowest of the rates that nodes name is used, in seconds."""

BATCH_S = 0.1
"""Recent use that a node asks for at once, in seconds."""

GRANT_AVERAGE_S = 10.0
"""Decay time of the rate at which a node was granted permits, in seconds."""

MAX_PROMISE_S = 30.0
"""Maximum time after which a refused caller is told to come back."""

ABANDONED_S = 1.0
"""Time after which an ask that was not expired is forgotten, in seconds."""

MAX_PRIORITY = 9
MAX_BATCH = 10_000
MAX_CHARGE = 10_000
MAX_KEYS = 1024
MAX_BUCKETS = 512
MAX_ASKERS = 1024
MAX_PENDING = 4096
MAX_PEERS = 4096
MIN_IN_FLIGHT = 8
IN_FLIGHT_S = 0.01
"""Asks in flight for a key at most, besides the minimum, as a part of its rate."""


def demand_share(
    node_id: str, demands: collections.abc.Mapping[str, float], nodes: int
) -> float:
    """Return a node's share of what all nodes divide by their demand.

    The shares of all nodes that read the same rows add up to 1 at most.

    Parameters
    ----------
    demands : mapping of str to float
        Requests per second that each node has published.
    nodes : int
        Number of nodes, including those that have published no demand.
    """
    equal = 1.0 / max(1, nodes)
    total = sum(demands.values())
    if total <= 0.0:
        return equal
    own = demands.get(node_id, 0.0) / total
    return EQUAL_FRACTION * equal + (1.0 - EQUAL_FRACTION) * own


@dataclasses.dataclass(frozen=True)
class Rate:
    """A rate that all nodes together may use.

    Attributes
    ----------
    per_s : float
        Requests per second.
    burst : float
        Requests that may be sent at once after a time without any.
    """

    per_s: float
    burst: float


def limit_rate(per_s: float) -> Rate:
    """Return the rate for a limit that an upstream names."""
    return _checked_rate(per_s, max(MIN_LIMIT_BURST, LIMIT_BURST_S * per_s))


def cold_rate(per_s: float) -> Rate:
    """Return the rate for an upstream in cold start."""
    return _checked_rate(per_s, max(1.0, COLD_BURST_S * per_s))


def release_rate(per_s: float) -> Rate:
    """Return the rate for the requests with which a release is tested."""
    return _checked_rate(per_s, max(MIN_LIMIT_BURST, LIMIT_BURST_S * per_s))


def _checked_rate(per_s: float, burst: float) -> Rate:
    # With the bound first, ``max`` returns it for a value that is not a number.
    per_s = min(max(MIN_PER_S, per_s), UNLIMITED_PER_S)
    return Rate(per_s, min(max(1.0, burst), max(MIN_LIMIT_BURST, per_s)))


class Verdict(enum.IntEnum):
    """Decision of a candidate about an ask.

    Attributes
    ----------
    GRANTED, DENIED
        Decision of the allocator.
    CHECKING
        The candidate does not know yet whether those before it in rank are silent.
    DEFERS
        One of those before it in rank answers.
    INACTIVE
        The candidate does not grant; the next one may.
    """

    GRANTED = 0
    DENIED = 1
    CHECKING = 2
    DEFERS = 3
    INACTIVE = 4


class Standing(enum.IntEnum):
    """Whether a node may grant.

    Attributes
    ----------
    INACTIVE
        It leaves, or has not read the members lately.
    YOUNG
        It may if no established node is among the candidates.
    ESTABLISHED
        The other nodes know of it.
    """

    INACTIVE = 0
    YOUNG = 1
    ESTABLISHED = 2


class Ask(msgspec.Struct, array_like=True, frozen=True, tag=21):
    """An ask for permits.

    Attributes
    ----------
    number : int
        Number of the ask at the sender; repeated in the answer.
    priority : int
        Priority of the request; 0 is the most urgent.
    """

    key: ranges.Name
    number: ranges.Number
    per_s: ranges.Rate
    burst: ranges.Rate
    count: ranges.Count
    priority: ranges.Number


class Answer(msgspec.Struct, array_like=True, frozen=True, tag=22):
    """The answer to an ask.

    Attributes
    ----------
    granted : int
        Number of permits.
    retry_s : float
        Time after which the sender of the ask may ask again, in seconds.
    """

    number: ranges.Number
    verdict: Verdict
    granted: ranges.Count = 0
    retry_s: ranges.DurationS = 0.0


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=23):
    """Asks whether a node that ranks before the sender answers."""

    number: ranges.Number


class Pong(msgspec.Struct, array_like=True, frozen=True, tag=24):
    """The answer to a ping."""

    number: ranges.Number
    standing: Standing


class Charge(msgspec.Struct, array_like=True, frozen=True, tag=25):
    """Requests that were sent without a permit."""

    key: ranges.Name
    number: ranges.Number
    per_s: ranges.Rate
    burst: ranges.Rate
    count: ranges.Count


Message = Ask | Answer | Ping | Pong | Charge
MESSAGE_TYPES = (Ask, Answer, Ping, Pong, Charge)

Outgoing = tuple[str, Message]
"""Id of the node to which a message is sent, and the message."""


@dataclasses.dataclass(frozen=True)
class Granted:
    """A permit for one request.

    Attributes
    ----------
    expires_at : float
        Time from which on the request must not be sent.
    """

    expires_at: float


@dataclasses.dataclass(frozen=True)
class Denied:
    """No permit now.

    Attributes
    ----------
    opens_at : float
        Time from which on a request may try again.
    """

    opens_at: float


@dataclasses.dataclass(frozen=True)
class Pending:
    """A message must be sent, and its answer awaited.

    Attributes
    ----------
    to : str
        Id of the node that is asked.
    expires_at : float
        Time at which `Sharing.expire` is to be called if no answer has arrived. It
        returns the same message to be sent again, or another outcome.
    """

    number: int
    to: str
    message: Ask
    expires_at: float


Outcome = Granted | Denied | Pending


class _DecayingSum:
    """Sum of amounts that decay exponentially."""

    def __init__(self, decay_s: float) -> None:
        self._decay_s = decay_s
        self._sum = 0.0
        self._at = -math.inf

    def add(self, amount: float, now: float) -> None:
        self._sum = self.get(now) + amount
        self._at = max(now, self._at)

    def get(self, now: float) -> float:
        if self._sum == 0.0:
            return 0.0
        return self._sum * math.exp(-max(0.0, now - self._at) / self._decay_s)

    def per_s(self, now: float) -> float:
        return self.get(now) / self._decay_s


class _Bucket:
    """Token bucket of an allocator for one key, which starts empty."""

    def __init__(self, rate: Rate, now: float) -> None:
        self.used_at = now
        self._rate = rate
        self._rate_named_at = now
        self._tokens = 0.0
        self._refilled_at = now
        self._askers: dict[int, collections.OrderedDict[str, float]] = {}
        self._asked: dict[int, _DecayingSum] = {}

    def refill(self, rate: Rate, now: float) -> None:
        """Add the tokens since the last time, and use a rate that a node names.

        Nodes learn of a change at different times; the lowest rate is used until no
        node has named it for ``RATE_HOLD_S``.
        """
        gained = self._rate.per_s * max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        self.used_at = self._refilled_at
        is_outdated = now - self._rate_named_at >= RATE_HOLD_S
        if rate.per_s <= self._rate.per_s or is_outdated:
            self._rate = rate
            self._rate_named_at = now
        self._tokens = min(self._rate.burst, self._tokens + gained)

    def take(self, count: int, priority: int, now: float) -> int:
        """Take up to ``count`` tokens and return their number."""
        most = max(1, min(count, int(BATCH_S * self._rate.per_s)))
        free = self._tokens - self._reserved(priority, now)
        # Rounding must not turn a full bucket into one that lacks a token.
        taken = min(most, max(0, math.floor(free + 1e-9)))
        self._tokens -= taken
        return taken

    def retry_s(self, priority: int, now: float, rng: random.Random) -> float:
        """Return the time until a denied ask may be repeated, in seconds."""
        asks_per_s = min(
            max(MIN_ASKS_PER_S, ASKS_PER_PERMIT * self._rate.per_s), MAX_ASKS_PER_S
        )
        pause_s = self._count_askers(priority, now) / asks_per_s
        pause_s = min(max(MIN_RETRY_S, pause_s), MAX_RETRY_S)
        missing = 1.0 + self._reserved(priority, now) - self._tokens
        wait_s = min(max(0.0, missing / self._rate.per_s), MAX_RETRY_S)
        return wait_s + rng.uniform(0.8, 1.2) * pause_s

    def record_ask(self, sender: str, count: int, priority: int, now: float) -> None:
        """Count an ask, and its sender as one of the nodes that ask."""
        if priority not in self._asked:
            decay_s = max(ASKER_S, ASKED_TOKENS / self._rate.per_s)
            self._asked[priority] = _DecayingSum(decay_s)
        self._asked[priority].add(count, now)
        askers = self._askers.setdefault(priority, collections.OrderedDict())
        askers[sender] = now
        askers.move_to_end(sender)
        if len(askers) > MAX_ASKERS:
            askers.popitem(last=False)

    def charge(self, count: int) -> None:
        """Take tokens for requests that were sent without a permit."""
        self._tokens = max(-2.0 * self._rate.burst, self._tokens - count)

    def _count_askers(self, priority: int, now: float) -> int:
        total = 0
        for other, askers in self._askers.items():
            while askers and now - next(iter(askers.values())) > ASKER_S:
                askers.popitem(last=False)
            total += len(askers) if other <= priority else 0
        return max(1, total)

    def _reserved(self, priority: int, now: float) -> float:
        """Return the tokens that are kept for more urgent asks.

        They are as many as were asked for lately, in whole tokens, as a part of one is
        of no use to an urgent ask. The rest of the bucket is for less urgent asks, so
        that no token is wasted while the bucket is full.
        """
        asked = (s.get(now) for other, s in self._asked.items() if other < priority)
        most = max(1.0, RESERVED_FRACTION * self._rate.burst)
        tokens = max(0, math.ceil(sum(asked) - FORGOTTEN_ASKS))
        return min(tokens, most, self._rate.burst - 1.0)


class _RoundTrips:
    """Recent times from an ask to its answer."""

    def __init__(self) -> None:
        self._recent: collections.deque[float] = collections.deque(maxlen=ROUND_TRIPS)
        self.usual_s = 0.0

    def add(self, seconds: float) -> None:
        """Record a round trip; asks that were sent again do not move the median."""
        self._recent.append(seconds)
        self.usual_s = statistics.median(self._recent)

    def timeout_s(self) -> float:
        """Return the time after which the node is passed over, in seconds."""
        timeout_s = TIMEOUT_ROUND_TRIPS * self.usual_s
        return min(max(ASK_TIMEOUT_S, timeout_s), MAX_ASK_TIMEOUT_S)

    def permit_s(self) -> float:
        """Return the validity of the node's permits, in seconds."""
        return PERMIT_S + min(self.usual_s, MAX_ROUND_TRIP_S)


@dataclasses.dataclass
class _Peer:
    """What a node knows of another from pings."""

    pings: collections.deque[tuple[int, float]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=16)
    )
    pinged_at: float = -math.inf
    unanswered: int = 0
    unanswered_since: float = 0.0
    heard_at: float = -math.inf
    standing: Standing = Standing.INACTIVE

    def is_silent(self, now: float) -> bool:
        return (
            self.unanswered >= SILENT_PINGS
            and now - self.unanswered_since >= SILENT_S
            and now - self.pinged_at <= SILENT_VALID_S
        )

    def known_standing(self, now: float) -> Standing | None:
        """Return whether the node may grant; None if that is not known."""
        if self.is_silent(now):
            return Standing.INACTIVE
        if now - self.heard_at <= STANDING_VALID_S:
            return self.standing
        return None

    def record_ping(self, number: int, now: float) -> None:
        if now - self.pinged_at > SILENT_VALID_S:
            self.unanswered = 0
        if self.unanswered == 0:
            self.unanswered_since = now
        self.unanswered += 1
        self.pinged_at = now
        self.pings.append((number, now))

    def record_pong(self, pong: Pong, now: float) -> None:
        sent_at = dict(self.pings).get(pong.number, -math.inf)
        if now - sent_at > MAX_PING_AGE_S:
            return
        self.unanswered = 0
        self.heard_at = now
        self.standing = pong.standing


class _Use:
    """A node's own use of one key."""

    def __init__(self, rate: Rate) -> None:
        self.rate = rate
        self.in_flight = 0
        self.undecided = 0
        self.promised_at = -math.inf
        self.recent = _DecayingSum(BATCH_S)
        self.granted = _DecayingSum(GRANT_AVERAGE_S)
        self._closed: dict[int, float] = {}
        self._permits: collections.deque[tuple[int, float]] = collections.deque()

    def opens_at(self, priority: int) -> float:
        """Return the time from which on requests of a priority may ask.

        A denial counts for the same and less urgent priorities.
        """
        times = (at for other, at in self._closed.items() if other <= priority)
        return max(times, default=-math.inf)

    def close(self, priority: int, until: float) -> None:
        """Hold back asks of a priority and of less urgent ones."""
        self._closed[priority] = max(until, self._closed.get(priority, -math.inf))

    def set_rate(self, rate: Rate) -> None:
        """Use another rate, and no permits of a higher one."""
        if rate.per_s < self.rate.per_s:
            self._permits.clear()
        self.rate = rate

    def has_permit(self, now: float) -> bool:
        """Return whether a stored permit is still valid."""
        return any(expires_at > now for _, expires_at in self._permits)

    def store(self, count: int, expires_at: float) -> None:
        """Keep permits that are not used yet."""
        if count > 0:
            self._permits.append((count, expires_at))

    def take(self, now: float) -> Granted | None:
        """Take a stored permit that is still valid."""
        while self._permits:
            count, expires_at = self._permits.popleft()
            if expires_at > now:
                if count > 1:
                    self._permits.appendleft((count - 1, expires_at))
                return Granted(expires_at)
        return None


@dataclasses.dataclass(frozen=True)
class _Try:
    """An ask in flight.

    Attributes
    ----------
    passed : tuple of str
        Candidates that were passed over for this request.
    to : str
        Candidate that was asked last.
    tries : int
        Number of candidates asked for this request.
    sends : int
        Number of times the candidate was sent the ask.
    permit_s : float
        Validity of the candidate's permits by what was measured before the ask, in
        seconds.
    """

    key: str
    rate: Rate
    priority: int
    count: int
    asked_at: float
    passed: tuple[str, ...] = ()
    to: str = ""
    tries: int = 0
    sends: int = 1
    permit_s: float = PERMIT_S

    def message(self, number: int) -> Ask:
        """Return the ask to send."""
        return Ask(
            self.key,
            number,
            self.rate.per_s,
            self.rate.burst,
            self.count,
            self.priority,
        )


class Sharing:
    """One node's part in the sharing of rates.

    Messages other than those of `Pending` are returned by `receive` and `charge`, or
    by `outgoing` after the other calls.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter and of the first number of an ask, which must differ
        between two starts of a node.
    """

    def __init__(self, node_id: str, rng: random.Random) -> None:
        self._id = node_id
        self._rng = rng
        self._numbers = itertools.count(rng.getrandbits(48))
        self._members = frozenset({node_id})
        self._joined_at = math.inf
        self._confirmed_at = -math.inf
        self._is_leaving = False
        self._candidates_of: dict[str, list[str]] = {}
        self._peers: dict[str, _Peer] = {}
        self._avoided: dict[str, float] = {}
        self._round_trips: dict[str, _RoundTrips] = {}
        self._uses: collections.OrderedDict[str, _Use] = collections.OrderedDict()
        self._tries: collections.OrderedDict[int, _Try] = collections.OrderedDict()
        self._late: collections.OrderedDict[int, _Try] = collections.OrderedDict()
        self._results: collections.OrderedDict[int, Outcome] = collections.OrderedDict()
        self._buckets: collections.OrderedDict[str, _Bucket] = collections.OrderedDict()
        self._answered: collections.OrderedDict[tuple[str, int], Answer | None] = (
            collections.OrderedDict()
        )
        self._outgoing: list[Outgoing] = []

    def set_members(self, ids: collections.abc.Collection[str], now: float) -> None:
        """Apply a successful read of the members.

        The others may have dropped a node that has not read them for long, so it
        counts as one that joins.
        """
        if now - self._confirmed_at > CONFIRMED_S:
            self._joined_at = now
        self._confirmed_at = now
        members = frozenset(ids) | {self._id}
        if members == self._members:
            return
        self._members = members
        self._candidates_of.clear()
        self._peers = {i: peer for i, peer in self._peers.items() if i in members}
        self._avoided = {i: at for i, at in self._avoided.items() if i in members}
        self._round_trips = {
            i: trips for i, trips in self._round_trips.items() if i in members
        }

    def leave(self) -> None:
        """Grant nothing from now on, as the node is about to stop."""
        self._is_leaving = True
        self._buckets.clear()

    def is_open(self, key: str, now: float, priority: int = 0) -> bool:
        """Return whether a request may ask now."""
        return self.opens_at(key, now, priority) <= now

    def opens_at(self, key: str, now: float, priority: int = 0) -> float:
        """Return the time from which on a request may ask, ``now`` at the earliest."""
        use = self._uses.get(key)
        if use is None or use.has_permit(now):
            return now
        return max(now, use.opens_at(_clamped(priority)))

    def request(self, key: str, rate: Rate, priority: int, now: float) -> Outcome:
        """Ask for a permit for one request.

        Parameters
        ----------
        priority : int
            Priority of the request; 0 is the most urgent.
        """
        if rate.per_s >= UNLIMITED_PER_S:
            return Granted(now + PERMIT_S)
        priority = _clamped(priority)
        self._drop_abandoned(now)
        use = self._use(key, rate)
        use.set_rate(rate)
        permit = use.take(now)
        if permit is not None:
            use.recent.add(1.0, now)
            return permit
        opens_at = use.opens_at(priority)
        if opens_at > now:
            return Denied(opens_at)
        if use.in_flight >= MIN_IN_FLIGHT + self._in_flight_s(key) * rate.per_s:
            return Denied(now + IN_FLIGHT_S)
        # Asks beside another one do not repeat its batch.
        batch = int(use.recent.get(now)) if use.in_flight == 0 else 1
        count = min(max(1, batch), MAX_BATCH)
        return self._ask(_Try(key, rate, priority, count, now), now)

    def expire(self, number: int, now: float) -> Outcome:
        """Return how a request goes on for which no answer came in time.

        An answer that has arrived meanwhile counts. Else the ask is to be sent again,
        or the next candidate to be asked.
        """
        result = self.result(number)
        if result is not None:
            return result
        attempt = self._tries.get(number)
        if attempt is None:
            return Denied(now)
        timeout_s = self._round_trips_of(attempt.to).timeout_s()
        if attempt.sends < MAX_SENDS and now < attempt.asked_at + timeout_s:
            attempt = dataclasses.replace(attempt, sends=attempt.sends + 1)
            self._tries[number] = attempt
            due_at = attempt.asked_at + attempt.sends * timeout_s / MAX_SENDS
            return Pending(number, attempt.to, attempt.message(number), due_at)
        self._pop_try(number)
        self._late[number] = attempt
        if len(self._late) > MAX_PENDING:
            self._late.popitem(last=False)
        return self._ask(self._pass_over(attempt, now), now)

    def result(self, number: int) -> Outcome | None:
        """Return the result of an ask once, or None if no answer has arrived.

        The result is `Pending` if the next candidate is to be asked.
        """
        return self._results.pop(number, None)

    def receive(self, sender: str, message: Message, now: float) -> list[Outgoing]:
        """Handle a message and return the messages to send."""
        match message:
            case Ask():
                self._outgoing.append((sender, self._answer_once(sender, message, now)))
            case Answer():
                self._record_answer(sender, message, now)
            case Ping(number):
                self._outgoing.append((sender, Pong(number, self._standing(now))))
            case Pong():
                if sender in self._peers:
                    self._peers[sender].record_pong(message, now)
            case Charge():
                if self._is_new(sender, message.number):
                    self._charge_bucket(message, now)
        return self.outgoing()

    def outgoing(self) -> list[Outgoing]:
        """Return the messages to send since the last call."""
        messages, self._outgoing = self._outgoing, []
        return messages

    def put_back(self, key: str, permit: Granted) -> None:
        """Return a permit whose request was not sent, for the next request."""
        use = self._uses.get(key)
        if use is not None:
            use.store(1, permit.expires_at)

    def promise(self, key: str, now: float) -> float:
        """Return the time after which one more refused caller may come back.

        Successive callers are spaced by the rate at which this node was granted
        permits lately, in seconds.
        """
        use = self._uses.get(key)
        if use is None:
            return 0.0
        least = EQUAL_FRACTION * use.rate.per_s / len(self._members)
        spacing_s = 1.0 / max(least, use.granted.per_s(now))
        opens_at = self.opens_at(key, now, MAX_PRIORITY)
        at = max(opens_at, use.promised_at + spacing_s)
        use.promised_at = min(at, now + MAX_PROMISE_S)
        return use.promised_at - now

    def charge(self, key: str, rate: Rate, count: int, now: float) -> list[Outgoing]:
        """Report requests that were sent without a permit to the allocator."""
        if rate.per_s >= UNLIMITED_PER_S or count <= 0:
            return self.outgoing()
        number = next(self._numbers)
        message = Charge(
            key, number, rate.per_s, rate.burst, min(int(count), MAX_CHARGE)
        )
        for candidate in self._candidates(key):
            if candidate == self._id:
                self._charge_bucket(message, now)
                break
            if not self._is_avoided(candidate, now):
                self._outgoing.append((candidate, message))
                break
        return self.outgoing()

    def _ask(self, attempt: _Try, now: float) -> Outcome:
        """Ask the next candidate."""
        use = self._use(attempt.key, attempt.rate)
        for candidate in self._candidates(attempt.key):
            if attempt.tries >= MAX_TRIES:
                break
            if candidate in attempt.passed or self._is_avoided(candidate, now):
                continue
            number = next(self._numbers)
            round_trips = self._round_trips_of(candidate)
            attempt = dataclasses.replace(
                attempt,
                to=candidate,
                tries=attempt.tries + 1,
                sends=1,
                asked_at=now,
                permit_s=round_trips.permit_s(),
            )
            ask = attempt.message(number)
            if candidate != self._id:
                use.in_flight += 1
                self._tries[number] = attempt
                if len(self._tries) > MAX_PENDING:
                    self._pop_try(next(iter(self._tries)))
                due_at = now + round_trips.timeout_s() / MAX_SENDS
                return Pending(number, candidate, ask, due_at)
            answer = self._answer(self._id, ask, now)
            if answer.verdict is not Verdict.INACTIVE:
                return self._decide(attempt, answer, now)
        return self._postpone(attempt, CHECKING_RETRY_S, now)

    def _record_answer(self, sender: str, answer: Answer, now: float) -> None:
        attempt = self._tries.get(answer.number)
        if attempt is None:
            self._record_late_answer(sender, answer, now)
            return
        if attempt.to != sender:
            return
        self._pop_try(answer.number)
        self._record_round_trip(attempt, now)
        result: Outcome
        if answer.verdict is Verdict.INACTIVE:
            result = self._ask(self._pass_over(attempt, now), now)
        else:
            self._avoided.pop(sender, None)
            result = self._decide(attempt, answer, now)
        self._results[answer.number] = result
        if len(self._results) > MAX_PENDING:
            self._results.popitem(last=False)

    def _record_late_answer(self, sender: str, answer: Answer, now: float) -> None:
        """Keep permits for later requests if their candidate was passed over."""
        attempt = self._late.get(answer.number)
        if attempt is None or attempt.to != sender:
            return
        del self._late[answer.number]
        self._record_round_trip(attempt, now)
        if answer.verdict is Verdict.INACTIVE:
            return
        self._avoided.pop(sender, None)
        use = self._uses.get(attempt.key)
        expires_at = attempt.asked_at + attempt.permit_s
        if use is None or answer.verdict is not Verdict.GRANTED or expires_at <= now:
            return
        if attempt.rate.per_s > use.rate.per_s:
            return
        granted = min(answer.granted, attempt.count)
        use.granted.add(granted, now)
        use.store(granted, expires_at)

    def _decide(self, attempt: _Try, answer: Answer, now: float) -> Outcome:
        """Apply the decision of a candidate."""
        use = self._use(attempt.key, attempt.rate)
        granted = min(answer.granted, attempt.count)
        if answer.verdict is Verdict.GRANTED and granted > 0:
            use.undecided = 0
            expires_at = attempt.asked_at + attempt.permit_s
            if expires_at <= now:
                return Denied(now)
            use.granted.add(granted, now)
            use.recent.add(1.0, now)
            use.store(granted - 1, expires_at)
            return Granted(expires_at)
        if answer.verdict in (Verdict.GRANTED, Verdict.DENIED):
            use.undecided = 0
            opens_at = now + min(max(0.0, answer.retry_s), 2.0 * MAX_RETRY_S)
            use.close(attempt.priority, opens_at)
            return Denied(opens_at)
        if answer.verdict is Verdict.CHECKING:
            # The pings that decide are sent when the candidate is asked.
            use.undecided = 0
        if answer.verdict is Verdict.DEFERS and attempt.to != self._id:
            for candidate in self._candidates(attempt.key):
                if candidate == attempt.to:
                    break
                self._avoided.pop(candidate, None)
            return self._ask(dataclasses.replace(attempt, passed=(attempt.to,)), now)
        return self._postpone(attempt, answer.retry_s, now)

    def _postpone(self, attempt: _Try, retry_s: float, now: float) -> Denied:
        """Hold asks back for longer each time that no candidate decides.

        Requests that were under way at the same time count as one.
        """
        use = self._use(attempt.key, attempt.rate)
        opens_at = use.opens_at(attempt.priority)
        if opens_at > now:
            return Denied(opens_at)
        pause_s = min(max(CHECKING_RETRY_S, retry_s), MAX_RETRY_S)
        pause_s = min(pause_s * 2.0**use.undecided, MAX_RETRY_S)
        use.undecided = min(use.undecided + 1, 16)
        opens_at = now + self._rng.uniform(1.0, 1.2) * pause_s
        use.close(attempt.priority, opens_at)
        return Denied(opens_at)

    def _pass_over(self, attempt: _Try, now: float) -> _Try:
        self._avoided[attempt.to] = now + AVOID_S
        return dataclasses.replace(attempt, passed=(*attempt.passed, attempt.to))

    def _in_flight_s(self, key: str) -> float:
        """Return the time whose permits may be asked for at once, in seconds."""
        usual_s = self._round_trips_of(self._candidates(key)[0]).usual_s
        return min(max(IN_FLIGHT_S, usual_s), MAX_ASK_TIMEOUT_S)

    def _round_trips_of(self, node_id: str) -> _RoundTrips:
        return self._round_trips.get(node_id) or _RoundTrips()

    def _record_round_trip(self, attempt: _Try, now: float) -> None:
        """Measure a node; a time in which this node was frozen is left out."""
        seconds = max(0.0, now - attempt.asked_at)
        if seconds <= ABANDONED_S:
            if len(self._round_trips) >= MAX_PEERS:
                self._round_trips.clear()
            self._round_trips.setdefault(attempt.to, _RoundTrips()).add(seconds)

    def _pop_try(self, number: int) -> _Try | None:
        attempt = self._tries.pop(number, None)
        if attempt is not None and attempt.key in self._uses:
            use = self._uses[attempt.key]
            use.in_flight = max(0, use.in_flight - 1)
        return attempt

    def _drop_abandoned(self, now: float) -> None:
        """Forget asks whose caller went away."""
        while self._tries:
            number, attempt = next(iter(self._tries.items()))
            if now - attempt.asked_at < ABANDONED_S:
                return
            self._pop_try(number)

    def _use(self, key: str, rate: Rate) -> _Use:
        use = self._uses.get(key)
        if use is None:
            use = self._uses[key] = _Use(rate)
        self._uses.move_to_end(key)
        if len(self._uses) > MAX_KEYS:
            self._uses.popitem(last=False)
        return use

    def _candidates(self, key: str) -> list[str]:
        candidates = self._candidates_of.get(key)
        if candidates is None:
            candidates = hashing.rank(key, self._members)[:MAX_CANDIDATES]
            if len(self._candidates_of) >= MAX_KEYS:
                self._candidates_of.clear()
            self._candidates_of[key] = candidates
        return candidates

    def _is_avoided(self, node_id: str, now: float) -> bool:
        return self._avoided.get(node_id, -math.inf) > now

    def _answer_once(self, sender: str, ask: Ask, now: float) -> Answer:
        """Answer an ask; a duplicate gets the same answer."""
        known = self._answered.get((sender, ask.number))
        if known is not None:
            return known
        answer = self._answer(sender, ask, now)
        self._remember(sender, ask.number, answer)
        return answer

    def _remember(self, sender: str, number: int, answer: Answer | None) -> None:
        self._answered[(sender, number)] = answer
        if len(self._answered) > MAX_PENDING:
            self._answered.popitem(last=False)

    def _is_new(self, sender: str, number: int) -> bool:
        if (sender, number) in self._answered:
            return False
        self._remember(sender, number, None)
        return True

    def _answer(self, sender: str, ask: Ask, now: float) -> Answer:
        verdict = self._judge(ask.key, now)
        if verdict is not Verdict.GRANTED:
            return Answer(ask.number, verdict, 0, CHECKING_RETRY_S)
        bucket = self._bucket(ask, now)
        priority = _clamped(ask.priority)
        count = min(max(1, ask.count), MAX_BATCH)
        bucket.record_ask(sender, count, priority, now)
        granted = bucket.take(count, priority, now)
        if granted > 0:
            return Answer(ask.number, Verdict.GRANTED, granted)
        retry_s = bucket.retry_s(priority, now, self._rng)
        return Answer(ask.number, Verdict.DENIED, 0, retry_s)

    def _charge_bucket(self, message: Charge, now: float) -> None:
        if self._judge(message.key, now) is Verdict.GRANTED:
            bucket = self._bucket(message, now)
            bucket.charge(min(message.count, MAX_CHARGE))

    def _bucket(self, message: Ask | Charge, now: float) -> _Bucket:
        rate = _checked_rate(message.per_s, message.burst)
        bucket = self._buckets.get(message.key)
        is_first = self._candidates(message.key)[0] == self._id
        # A deputy whose bucket was idle may not have been the deputy all the time.
        if bucket is None or (not is_first and now - bucket.used_at > SILENT_VALID_S):
            bucket = self._buckets[message.key] = _Bucket(rate, now)
        self._buckets.move_to_end(message.key)
        if len(self._buckets) > MAX_BUCKETS:
            self._buckets.popitem(last=False)
        bucket.refill(rate, now)
        return bucket

    def _standing(self, now: float) -> Standing:
        if self._is_leaving or now - self._confirmed_at > CONFIRMED_S:
            return Standing.INACTIVE
        age_s = now - self._joined_at
        if age_s >= ESTABLISHED_S:
            return Standing.ESTABLISHED
        return Standing.YOUNG if age_s >= PROVISIONAL_S else Standing.INACTIVE

    def _judge(self, key: str, now: float) -> Verdict:
        """Return whether this node grants for a key now."""
        verdict = self._compare(key, now)
        if verdict in (Verdict.DEFERS, Verdict.INACTIVE):
            self._buckets.pop(key, None)
        return verdict

    def _compare(self, key: str, now: float) -> Verdict:
        """Compare this node's standing with that of the other candidates.

        Established nodes come first in rank, then young ones.
        """
        own = self._standing(now)
        candidates = self._candidates(key)
        if own is Standing.INACTIVE or self._id not in candidates:
            return Verdict.INACTIVE
        place = candidates.index(self._id)
        if own is Standing.ESTABLISHED:
            before, after = candidates[:place], []
        else:
            before, after = candidates[:place], candidates[place + 1 :]
        standings = [self._standing_of(c, now) for c in (*before, *after)]
        if own is Standing.YOUNG and Standing.ESTABLISHED in standings:
            return Verdict.INACTIVE
        if any(s is not None and s >= own for s in standings[:place]):
            return Verdict.DEFERS
        return Verdict.CHECKING if None in standings else Verdict.GRANTED

    def _standing_of(self, node_id: str, now: float) -> Standing | None:
        """Return the standing of another node, and ping it for the next time."""
        peer = self._peers.get(node_id)
        if peer is None:
            if len(self._peers) >= MAX_PEERS:
                self._peers.clear()
            peer = self._peers[node_id] = _Peer()
        standing = peer.known_standing(now)
        if now - peer.pinged_at >= PING_INTERVAL_S:
            number = next(self._numbers)
            peer.record_ping(number, now)
            self._outgoing.append((node_id, Ping(number)))
        return standing


def _clamped(priority: int) -> int:
    return min(max(0, priority), MAX_PRIORITY)

"""Releases: how a service moves to upstreams of another software version.

The upstreams of an ordered release run beside those in use. Their version may be bad:
some responses fail or are slow, from the start or not, at a high load only, or on a
single route. Until it is proved, a release gets a small part of the requests
(``Stage.CANARY``), then a few of its upstreams get as much as each upstream in use
(``Stage.LOAD_TEST``). The requests move only shortly before the deadline, as each
second with all of them exceeds what an unproved release may get in ten.
"""

import collections.abc
import dataclasses
import enum
import math

from snipelug_core import hashing, ranges, restore

CANARY_FRACTION = 0.25
EXTRA_FRACTION = 0.4
"""Parts of the allowed exposure that a release gets as a canary.

The second one is of the requests that are allowed at any demand. Where there is little,
they are what a release can be judged by.
"""

MIN_CANARY_PER_S = 0.5
MAX_ROUTE_SHARE = 0.25
"""Maximum part of one route's requests that goes to a canary.

Routes with few requests get more than their share, so that each one is tested.
"""

LOAD_TEST_UPSTREAMS = 3
MAX_LOAD_TEST_SHARE = 0.34
"""Upstreams that are tested under load, and their maximum part of the requests."""

HALF_SHIFT_SHARE = 0.5
TAIL_FRACTION = 0.35
MIN_TAIL_S = 2.0
MAX_TAIL_S = 4.5
"""Time before the deadline for the load test, the shift and the requests in flight."""

SHIFT_FRACTION = 0.85
FULL_SHIFT_FRACTION = 0.65
COMPLETION_FRACTION = 0.15
"""When the parts of that time begin, as fractions of it that are left."""

LATE_DRAIN_S = 2.0
"""Time for the requests in flight on the previous release after a late shift."""

MIN_STEP_S = 0.4
"""Minimum time between two steps, in which responses to the earlier one arrive."""


class Stage(enum.IntEnum):
    """Stage of a release; the order of the numbers is that of progress."""

    CANARY = 1
    LOAD_TEST = 2
    SHIFT = 3
    ROLLED_BACK = 4
    COMPLETED = 5


class Verdict(enum.Enum):
    """What the responses of a release show.

    A doubtful release has bad responses, which are too few to roll it back: it gets
    no more requests than before.
    """

    UNPROVED = "unproved"
    DOUBTFUL = "doubtful"
    SOUND = "sound"
    BAD = "bad"


@dataclasses.dataclass(frozen=True)
class Judgement:
    """A verdict with the reason for it."""

    verdict: Verdict
    reason: str = ""


@dataclasses.dataclass(frozen=True)
class Order:
    """The operator's order to move a service to a release.

    Attributes
    ----------
    duration_s : float
        Time in which the move must end, in seconds.
    version : int
        Version of the operator's row.
    epoch : int
        Epoch of the platform's store in which the row was read.
    ordered_ms : float
        Earliest time of the order on the store's clock, in milliseconds.
    error : str
        Why the order cannot be carried out; empty if it can.
    """

    service: str
    release: str
    duration_s: float = 0.0
    version: int = 0
    epoch: int = 0
    ordered_ms: float = 0.0
    error: str = ""


@dataclasses.dataclass(frozen=True)
class Progress:
    """How far the latest order for a service has been carried out.

    Attributes
    ----------
    base : str
        Release that was in use when the order was given.
    target : str
        Ordered release.
    number : int
        Number of the order among those for the service.
    share : float
        Part of the service's requests for the target, from 0 to 1.
    upstreams : int
        Number of the target's upstreams that get requests; 0 for all.
    per_s : float
        Requests per second of all nodes for the target; 0 if not limited.
    ordered_ms, deadline_ms : float
        Time of the order and of its end, on the store's clock, in milliseconds.
    since_ms : float
        Time of the latest step, on the store's clock, in milliseconds.
    order_version, order_epoch : int
        Version of the operator's row and the store's epoch in which it was read.
    """

    service: ranges.Name
    base: ranges.Name
    target: ranges.Name
    number: ranges.Number
    stage: Stage = Stage.CANARY
    share: ranges.Rate = 0.0
    upstreams: ranges.Count = 0
    per_s: ranges.Rate = 0.0
    ordered_ms: ranges.ClockMs = 0.0
    deadline_ms: ranges.ClockMs = 0.0
    since_ms: ranges.ClockMs = 0.0
    order_version: ranges.Number = 0
    order_epoch: ranges.Number = 0
    reason: ranges.Text = ""

    @property
    def is_final(self) -> bool:
        """Whether the release is completed or rolled back."""
        return self.stage >= Stage.ROLLED_BACK

    @property
    def in_use(self) -> str:
        """The release that serves requests once no other one is tested."""
        return self.target if self.stage is Stage.COMPLETED else self.base

    @property
    def position(self) -> tuple[int, int, float]:
        """What orders two states of a service's releases by their progress."""
        return self.number, int(self.stage), self.share

    @property
    def key(self) -> str:
        """Key of what all nodes draw alike for this release."""
        return f"release/{self.service}/{self.number}"

    @property
    def rate_key(self) -> str:
        """Key of the rate that all nodes share for the target.

        Each stage has its own, as an allocator raises the rate of a key with delay.
        """
        return f"{self.key}/{int(self.stage)}"

    def rolled_back(self, reason: str, now_ms: float) -> "Progress":
        """Return the progress after a rollback."""
        return dataclasses.replace(
            self,
            stage=Stage.ROLLED_BACK,
            share=0.0,
            upstreams=0,
            per_s=0.0,
            since_ms=now_ms,
            reason=reason[:MAX_REASON_LENGTH],
        )


MAX_REASON_LENGTH = 500


@dataclasses.dataclass(frozen=True)
class Exposure:
    """What a bad release may get between an order and its deadline.

    Attributes
    ----------
    share : float
        Part of all requests for the service.
    extra : float
        Requests in addition.
    """

    share: float = 0.1
    extra: float = 50.0

    def canary_per_s(self, demand_per_s: float, duration_s: float) -> float:
        """Return the requests per second of all nodes for a canary.

        Parameters
        ----------
        demand_per_s : float
            Requests per second for the service at all nodes.
        """
        extra_per_s = EXTRA_FRACTION * self.extra / max(1.0, duration_s)
        per_s = CANARY_FRACTION * self.share * demand_per_s + extra_per_s
        return max(MIN_CANARY_PER_S, per_s)


@dataclasses.dataclass(frozen=True)
class Schedule:
    """Latest times of the steps of a release, on the store's clock, in milliseconds."""

    load_test_ms: float
    shift_ms: float
    full_shift_ms: float
    completion_ms: float


def schedule(progress: Progress) -> Schedule:
    """Return the times of the steps between an order and its deadline."""
    duration_s = (progress.deadline_ms - progress.ordered_ms) / 1e3
    tail_s = min(max(MIN_TAIL_S, TAIL_FRACTION * duration_s), MAX_TAIL_S)
    tail_ms = 1e3 * min(tail_s, 0.8 * duration_s)
    end_ms = progress.deadline_ms
    return Schedule(
        end_ms - tail_ms,
        end_ms - SHIFT_FRACTION * tail_ms,
        end_ms - FULL_SHIFT_FRACTION * tail_ms,
        end_ms - COMPLETION_FRACTION * tail_ms,
    )


def begin(
    order: Order,
    known: Progress | None,
    base: str,
    demand_per_s: float,
    exposure: Exposure,
    now_ms: float,
) -> Progress:
    """Return the first progress of a new order.

    Parameters
    ----------
    known : Progress or None
        Progress of the previous order for the service.
    base : str
        Release in use if there was no previous order.
    demand_per_s : float
        Requests per second for the service at all nodes.
    """
    number = 1
    if known is not None:
        number, base = known.number + 1, known.in_use
    per_s = exposure.canary_per_s(demand_per_s, order.duration_s)
    share = min(MAX_ROUTE_SHARE, per_s / demand_per_s) if demand_per_s > 0 else 0.0
    progress = Progress(
        order.service,
        base,
        order.release,
        number,
        Stage.CANARY,
        share or MAX_ROUTE_SHARE,
        0,
        per_s,
        order.ordered_ms,
        order.ordered_ms + 1e3 * order.duration_s,
        now_ms,
        order.version,
        order.epoch,
    )
    if order.release != base:
        return progress
    reason = "the release is in use already"
    return dataclasses.replace(
        progress, stage=Stage.COMPLETED, share=1.0, per_s=0.0, reason=reason
    )


def is_answered(order: Order, known: Progress | None) -> bool:
    """Return whether an order is the one that a progress belongs to, or repeats it.

    An order that is written once more changes nothing, except after a rollback, when
    the operator wants another try. What the operator writes again after a restore of
    the store is no such order.
    """
    if known is None or known.target != order.release:
        return False
    if known.stage is not Stage.ROLLED_BACK or order.epoch != known.order_epoch:
        return True
    return order.version <= known.order_version


def merge(known: Progress | None, other: Progress) -> Progress:
    """Return the later one of two states of a service's releases."""
    if known is None or other.position > known.position:
        return other
    return known


@dataclasses.dataclass(frozen=True)
class Outlook:
    """What decides on the next step of a release.

    Attributes
    ----------
    target_upstreams, base_upstreams : int
        Listed upstreams of the two releases that are not leaving.
    demand_per_s : float
        Requests per second for the service at all nodes.
    is_drained : bool
        Whether no node has requests in flight on the previous release.
    """

    judgement: Judgement
    target_upstreams: int
    base_upstreams: int
    demand_per_s: float
    is_drained: bool


def advance(progress: Progress, outlook: Outlook, now_ms: float) -> Progress:
    """Return the next progress of a release, the same one if no step is due.

    Parameters
    ----------
    now_ms : float
        Upper bound of the store's clock, in milliseconds.
    """
    if progress.is_final:
        return progress
    judgement = outlook.judgement
    if judgement.verdict is Verdict.BAD:
        return progress.rolled_back(judgement.reason, now_ms)
    times = schedule(progress)
    is_late = now_ms >= progress.deadline_ms
    if progress.stage is Stage.SHIFT:
        return _advance_shift(progress, times, outlook, now_ms)
    if is_late and (
        not outlook.target_upstreams or judgement.verdict is not Verdict.SOUND
    ):
        return progress.rolled_back(_unproved_reason(progress, outlook), now_ms)
    if now_ms < progress.since_ms + 1e3 * MIN_STEP_S or not outlook.target_upstreams:
        return progress
    is_pressing = now_ms >= times.shift_ms and judgement.verdict is Verdict.UNPROVED
    is_pressing |= judgement.verdict is Verdict.SOUND
    is_due = progress.stage is Stage.CANARY and now_ms >= times.load_test_ms
    if is_due and is_pressing:
        return _load_test(progress, outlook, now_ms)
    is_due = progress.stage is Stage.LOAD_TEST and now_ms >= times.shift_ms
    if is_due and judgement.verdict is Verdict.SOUND:
        return _step(progress, Stage.SHIFT, HALF_SHIFT_SHARE, 0, 0.0, now_ms)
    return progress


def _advance_shift(
    progress: Progress, times: Schedule, outlook: Outlook, now_ms: float
) -> Progress:
    is_settled = now_ms >= progress.since_ms + 1e3 * MIN_STEP_S
    if progress.share < 1.0:
        if is_settled and now_ms >= times.full_shift_ms:
            return _step(progress, Stage.SHIFT, 1.0, 0, 0.0, now_ms)
        return progress
    drained_by_ms = times.completion_ms
    if progress.since_ms >= times.completion_ms - 1e3 * MIN_STEP_S:
        drained_by_ms = progress.since_ms + 1e3 * LATE_DRAIN_S
    if is_settled and (outlook.is_drained or now_ms >= drained_by_ms):
        return _step(progress, Stage.COMPLETED, 1.0, 0, 0.0, now_ms)
    return progress


def _load_test(progress: Progress, outlook: Outlook, now_ms: float) -> Progress:
    """Return the step in which few upstreams get as much as each one in use."""
    total = max(outlook.base_upstreams, outlook.target_upstreams)
    tested = min(LOAD_TEST_UPSTREAMS, outlook.target_upstreams)
    while tested > 1 and tested > MAX_LOAD_TEST_SHARE * total:
        tested -= 1
    share = max(progress.share, min(MAX_LOAD_TEST_SHARE, tested / total))
    # The rate follows the estimated demand, so it leaves room for its error.
    per_s = max(progress.per_s, 1.2 * share * outlook.demand_per_s)
    return _step(progress, Stage.LOAD_TEST, share, tested, per_s, now_ms)


def _step(
    progress: Progress,
    stage: Stage,
    share: float,
    upstreams: int,
    per_s: float,
    now_ms: float,
) -> Progress:
    return dataclasses.replace(
        progress,
        stage=stage,
        share=share,
        upstreams=upstreams,
        per_s=per_s,
        since_ms=now_ms,
    )


def _unproved_reason(progress: Progress, outlook: Outlook) -> str:
    if not outlook.target_upstreams:
        return f"no upstream of release {progress.target} is listed"
    return f"too few responses by the deadline: {outlook.judgement.reason}"


def route_share(progress: Progress, route_part: float, routes: int) -> float:
    """Return the part of one route's requests that goes to the target.

    All routes of a service get equal parts of what a canary gets, as far as the
    requests of a route suffice.

    Parameters
    ----------
    route_part : float
        Part of the service's requests that are on the route.
    routes : int
        Number of the service's routes that get requests.
    """
    if progress.stage is not Stage.CANARY or routes <= 1 or route_part <= 0:
        return progress.share
    return min(MAX_ROUTE_SHARE, progress.share / (routes * route_part))


def is_drawn(progress: Progress, request_id: str, share: float) -> bool:
    """Return whether a request is among a part of all, by a hash of its id."""
    score = hashing.rendezvous_score(request_id, progress.key)
    return (score % 1_000_003) / 1_000_003 < share


def tested_upstreams(
    progress: Progress, ids: collections.abc.Iterable[str]
) -> collections.abc.Sequence[str]:
    """Return the target's upstreams that get requests, the same at all nodes."""
    ranked = hashing.rank(progress.key, ids)
    return ranked[: progress.upstreams] if progress.upstreams else ranked


class Orders:
    """The operator's latest order for each service.

    A store that was restored from a copy lists orders that were replaced meanwhile, or
    lacks the latest ones, until the operator has written again. For
    ``restore.RESTORE_GRACE_S`` the known orders count beside the table.
    """

    def __init__(self) -> None:
        self._orders: dict[str, Order] = {}
        self._listed: dict[str, Order] = {}
        self._settled_at = -math.inf

    def get(self, service: str) -> Order | None:
        """Return the order for a service, if there is one."""
        return self._orders.get(service)

    @property
    def services(self) -> list[str]:
        """Services with an order."""
        return list(self._orders)

    def replace(self, listed: list[Order], now: float, is_restored: bool) -> None:
        """Apply the whole table.

        Parameters
        ----------
        is_restored : bool
            Whether this is the first read of the table since a restore.
        """
        self._listed = {order.service: order for order in listed}
        if is_restored and self._orders:
            self._settled_at = now + restore.RESTORE_GRACE_S
            return
        if self._settled_at == -math.inf:
            self._orders = {s: self._kept(o) for s, o in self._listed.items()}

    def put(self, order: Order) -> None:
        """Apply a row that was written."""
        self._listed[order.service] = order
        self._orders[order.service] = self._kept(order)

    def remove(self, service: str) -> None:
        """Apply a row that was deleted."""
        self._listed.pop(service, None)
        self._orders.pop(service, None)

    def expire(self, now: float) -> bool:
        """Let the table alone count after the grace period; return whether it ended."""
        if self._settled_at == -math.inf or now < self._settled_at:
            return False
        self._settled_at = -math.inf
        self._orders = {s: self._kept(o) for s, o in self._listed.items()}
        return True

    def _kept(self, order: Order) -> Order:
        """Return an order with the earliest known time of its row."""
        known = self._orders.get(order.service)
        if known is None or (known.version, known.epoch) != (
            order.version,
            order.epoch,
        ):
            return order
        return dataclasses.replace(
            order, ordered_ms=min(known.ordered_ms, order.ordered_ms)
        )

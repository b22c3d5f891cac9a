"""Compares the responses of a new release with those of the release in use.

Both are compared on the same route and at the same time, so that a disruption of both
condemns neither, and that a fault is found which begins late, depends on the load or
concerns a single route. Response times are taken relative to what was expected of the
chosen upstream, as load, prompts and cached parts differ. Bad responses must also show
without those of the worst upstreams of the new release, as a faulty upstream does not
make a release bad.
"""

import collections
import collections.abc
import dataclasses
import math
import statistics

import msgspec

from snipelug_core import ranges, release

SLOW_FACTOR = 2.5
"""Factor by which a slow response exceeds the median of the release in use."""

MIN_SLOWDOWN = 0.05
"""Least difference that counts as slow, as a multiple of the expected time.

Response times of a few milliseconds differ by more than the factor by chance.
"""

MIN_BAD_RATE = 0.02
"""Rate of bad responses that is always tolerated, besides that of the release in use.

A few responses in a hundred are slow or lost for reasons of network and load.
"""

SIGNIFICANCE = 1e-5
"""Probability of as many bad responses by chance that condemns a release.

Some hundred tests are made in one release: by route, by time, and again and again.
"""

REST_SIGNIFICANCE = 5e-3
"""The same without the worst upstreams, whose responses are fewer."""

DOUBT_SIGNIFICANCE = 1e-3
REST_DOUBT_SIGNIFICANCE = 0.05
"""The same for a release that is tested on without getting more requests."""

MIN_BAD = 4
MAX_BAD = 25
"""Bad responses beyond the tolerated rate that condemn a release in any case.

It is half of the number after which rollbacks are timed.
"""

MIN_RESPONSES = 20
MIN_ROUTE_RESPONSES = 5
MIN_ROUTE_PART = 0.02
"""Responses that prove a release, in all and on each route with this part of them."""

MIN_CONTROL_RESPONSES = 8
"""Responses of the release in use below which no response counts as slow."""

LEFT_OUT_FRACTION = 1 / 3
"""Part of the new release's upstreams whose responses are left out, rounded down.

The same holds for those under load test: most responses are theirs, and without them
next to nothing is left to judge a release by.
"""

WINDOWS_S = (1.5, 5.0, math.inf)
MAX_AGE_S = 60.0
MAX_TALLIES = 20_000
MAX_TIMES = 16
"""Maximum number of response times in one tally."""


class Tally(msgspec.Struct, array_like=True, frozen=True):
    """Responses on one route by one upstream since the last report of a node.

    Attributes
    ----------
    upstream : str
        Id of the upstream; empty for the release in use, whose upstreams are added up.
    failures : int
        Responses that failed or were lost.
    times : list of float
        Times to the response, or to the first event, of some that did not fail, as
        multiples of the expected time.
    """

    route: ranges.Name
    upstream: ranges.Name
    responses: ranges.Count
    failures: ranges.Count
    times: list[ranges.Rate] = []


@dataclasses.dataclass
class Recorder:
    """Responses of one group of upstreams that a node has not reported yet."""

    _counts: dict[tuple[str, str], list[int]] = dataclasses.field(default_factory=dict)
    _times: dict[tuple[str, str], list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )

    def record(self, route: str, upstream: str, time: float | None) -> None:
        """Add a response.

        Parameters
        ----------
        time : float or None
            Its time as a multiple of the expected time; None for a failure.
        """
        key = route, upstream
        counts = self._counts.setdefault(key, [0, 0])
        counts[0] += 1
        if time is None:
            counts[1] += 1
        elif math.isfinite(time) and len(self._times[key]) < MAX_TIMES:
            self._times[key].append(round(min(time, ranges.MAX_RATE), 4))

    def take(self) -> list[Tally]:
        """Return the tallies since the last call."""
        found = [
            Tally(route, upstream, counts[0], counts[1], self._times.get(key, []))
            for key, counts in self._counts.items()
            for route, upstream in [key]
        ]
        self._counts.clear()
        self._times.clear()
        return found

    def __bool__(self) -> bool:
        return bool(self._counts)


@dataclasses.dataclass(frozen=True)
class _Reported:
    at: float
    tally: Tally


@dataclasses.dataclass(frozen=True)
class _Group:
    """Responses of one group on one route, or on all."""

    responses: int = 0
    bad: int = 0


class Evidence:
    """The responses during one release that its owner knows of."""

    def __init__(self) -> None:
        self._canary: collections.deque[_Reported] = collections.deque()
        self._control: collections.deque[_Reported] = collections.deque()

    def add(
        self,
        canary: collections.abc.Iterable[Tally],
        control: collections.abc.Iterable[Tally],
        now: float,
    ) -> None:
        """Add what a node reported of the new release and of the one in use."""
        self._canary.extend(_Reported(now, tally) for tally in canary)
        self._control.extend(_Reported(now, tally) for tally in control)
        for reported in (self._canary, self._control):
            while reported and (
                len(reported) > MAX_TALLIES or now - reported[0].at > MAX_AGE_S
            ):
                reported.popleft()

    @property
    def responses(self) -> int:
        """Number of responses of the new release."""
        return sum(item.tally.responses for item in self._canary)

    def judge(
        self, now: float, load_tested: collections.abc.Set[str] = frozenset()
    ) -> release.Judgement:
        """Return what the responses show of the new release.

        Parameters
        ----------
        load_tested : set of str
            Ids of the upstreams under load test, if there is one.
        """
        limits = self._slow_limits()
        for window_s in WINDOWS_S:
            reason = self._find_bad(limits, now - window_s, load_tested)
            if reason:
                return release.Judgement(release.Verdict.BAD, reason)
        doubt = self._find_doubt(limits, load_tested)
        if doubt:
            return release.Judgement(release.Verdict.DOUBTFUL, doubt)
        missing = self._find_missing()
        if missing:
            return release.Judgement(release.Verdict.UNPROVED, missing)
        return release.Judgement(release.Verdict.SOUND)

    def _slow_limits(self) -> dict[str, float]:
        """Return by route the time above which a response is slow."""
        times: dict[str, list[float]] = collections.defaultdict(list)
        for item in self._control:
            times[item.tally.route] += item.tally.times
        return {
            route: max(
                SLOW_FACTOR * statistics.median(found),
                statistics.median(found) + MIN_SLOWDOWN,
            )
            for route, found in times.items()
            if len(found) >= MIN_CONTROL_RESPONSES
        }

    def _find_bad(
        self,
        limits: dict[str, float],
        since: float,
        load_tested: collections.abc.Set[str],
    ) -> str:
        """Return why the responses since a time condemn the release, or ""."""
        canary = [item.tally for item in self._canary if item.at >= since]
        control = [item.tally for item in self._control if item.at >= since]
        if sum(tally.responses for tally in control) < MIN_CONTROL_RESPONSES:
            # The release in use has got next to nothing lately.
            control = [item.tally for item in self._control]
        rest = _without_worst(canary, limits, load_tested)
        excess = 0.0
        for route in sorted({tally.route for tally in canary}):
            tested = _sum(canary, [route], limits)
            used = _sum(control, [route], limits)
            remaining = _sum(rest, [route], limits)
            rate = _tolerated_rate(used)
            excess += remaining.bad - rate * remaining.responses
            if (
                tested.bad >= MIN_BAD
                and _probability(tested, rate) < SIGNIFICANCE
                and _probability(remaining, rate) < REST_SIGNIFICANCE
            ):
                return (
                    f"{tested.bad} of {tested.responses} responses on route {route} "
                    f"were bad, {used.bad} of {used.responses} of the release in use"
                )
        if excess >= MAX_BAD:
            return f"{excess:.0f} more bad responses than of the release in use"
        return ""

    def _find_doubt(
        self, limits: dict[str, float], load_tested: collections.abc.Set[str]
    ) -> str:
        """Return which responses make a bad release likely, or ""."""
        tested = [item.tally for item in self._canary]
        used = [item.tally for item in self._control]
        rest = _without_worst(tested, limits, load_tested)
        routes = sorted({tally.route for tally in tested})
        for group_routes in [*([route] for route in routes), routes]:
            group, remaining, control = (
                _sum(tallies, group_routes, limits) for tallies in (tested, rest, used)
            )
            rate = _highest_rate(control)
            if (
                _probability(group, rate) < DOUBT_SIGNIFICANCE
                and _probability(remaining, rate) < REST_DOUBT_SIGNIFICANCE
            ):
                names = ", ".join(group_routes)
                return f"{group.bad} of {group.responses} responses on {names} were bad"
        return ""

    def _find_missing(self) -> str:
        """Return which responses are missing to prove the release, or ""."""
        if self.responses < MIN_RESPONSES:
            return f"{self.responses} responses, {MIN_RESPONSES} are required"
        tested: collections.Counter[str] = collections.Counter()
        used: collections.Counter[str] = collections.Counter()
        for item in self._canary:
            tested[item.tally.route] += item.tally.responses
        for item in self._control:
            used[item.tally.route] += item.tally.responses
        least = max(MIN_RESPONSES, MIN_ROUTE_PART * used.total())
        for route, count in used.items():
            if count >= least and tested[route] < MIN_ROUTE_RESPONSES:
                return f"{tested[route]} responses on route {route}"
        return ""


def _sum(
    tallies: collections.abc.Iterable[Tally],
    routes: collections.abc.Container[str],
    limits: dict[str, float],
) -> _Group:
    responses, bad = 0, 0.0
    for tally in tallies:
        if tally.route in routes:
            responses += tally.responses
            bad += _bad(tally, limits)
    return _Group(responses, round(bad))


def _bad(tally: Tally, limits: dict[str, float]) -> float:
    """Return the number of failed and slow responses; times are a sample."""
    limit = limits.get(tally.route, math.inf)
    slow = sum(time > limit for time in tally.times)
    succeeded = max(0, tally.responses - tally.failures)
    return tally.failures + (slow / len(tally.times) * succeeded if tally.times else 0)


def _without_worst(
    tallies: list[Tally],
    limits: dict[str, float],
    load_tested: collections.abc.Set[str],
) -> list[Tally]:
    """Leave out the upstreams with the largest excess of bad responses."""
    excess: collections.Counter[str] = collections.Counter()
    for tally in tallies:
        bad = _bad(tally, limits) - MIN_BAD_RATE * tally.responses
        excess[tally.upstream] += bad  # type: ignore[assignment]
    left_out = math.floor(LEFT_OUT_FRACTION * len(excess))
    under_load = math.floor(LEFT_OUT_FRACTION * len(load_tested))
    worst: set[str] = set()
    for upstream, _ in excess.most_common():
        if len(worst) == left_out:
            break
        if upstream not in load_tested:
            worst.add(upstream)
        elif under_load:
            worst.add(upstream)
            under_load -= 1
    return [tally for tally in tallies if tally.upstream not in worst]


def _tolerated_rate(used: _Group) -> float:
    """Return the rate of bad responses that is expected of a sound release."""
    return max(MIN_BAD_RATE, (used.bad + 1) / (used.responses + 2))


def _highest_rate(used: _Group) -> float:
    """Return an upper bound of that rate, as the one in use varies by chance too."""
    bad = used.bad + 2.0 * math.sqrt(used.bad) + 1.0
    return min(1.0, max(MIN_BAD_RATE, bad / (used.responses + 2)))


def _probability(tested: _Group, rate: float) -> float:
    """Return the probability of as many bad responses by chance."""
    if tested.bad <= rate * tested.responses:
        return 1.0
    return binomial_tail(tested.responses, tested.bad, rate)


def binomial_tail(trials: int, successes: int, rate: float) -> float:
    """Return the probability of at least so many successes.

    Parameters
    ----------
    rate : float
        Probability of each success, from 0 to 1.
    """
    if successes <= 0:
        return 1.0
    if rate <= 0.0 or successes > trials:
        return 0.0
    if rate >= 1.0:
        return 1.0
    if successes <= trials * rate:
        # The first terms may be smaller than any float, so the other tail is added up.
        return 1.0 - binomial_tail(trials, trials - successes + 1, 1.0 - rate)
    log_term = (
        math.lgamma(trials + 1)
        - math.lgamma(successes + 1)
        - math.lgamma(trials - successes + 1)
        + successes * math.log(rate)
        + (trials - successes) * math.log1p(-rate)
    )
    term = total = math.exp(log_term)
    for count in range(successes, trials):
        term *= (trials - count) / (count + 1) * rate / (1.0 - rate)
        total += term
        if term < 1e-12 * total:
            break
    return min(1.0, total)

"""Tests of the slowness that upstreams state, and of the choice among uneven ones."""

import heapq
import random
import statistics

import pytest

from snipelug_core import choice, fleet, slowness
from tests import relay_builders

NOW = 100.0
OBJECTIVE_S = 0.155
SERVICE_S = 0.0225
SLOTS = 6
SERVERS = 6
SLOW_X = 3.0
CHANGE_S = 0.5
"""Each server changes its speed at this interval."""


def known(*values: float, gap_s: float = 0.1) -> slowness.Slowness:
    """Build the slowness of an upstream from its reports, the last one now."""
    found = slowness.Slowness()
    for number, value in enumerate(values):
        found.record(value, NOW - gap_s * (len(values) - 1 - number))
    return found


def test_report_holds_for_a_moment_and_its_mean_for_longer() -> None:
    """Guards against servers avoided long after they are as fast as usual again."""
    found = known(*[1.0] * 40, 2.5)
    assert found.value_at(NOW) > 2.3
    assert found.value_at(NOW + 2.0) < 1.1
    steady = known(*[1.3] * 400)
    assert steady.value_at(NOW + 2.0) == pytest.approx(1.3, abs=0.05)


def test_silent_upstream_counts_as_usual_again() -> None:
    """Guards against an upstream that is judged by a report of long ago."""
    found = known(*[3.0] * 50)
    assert found.value_at(NOW + 200.0) == pytest.approx(1.0, abs=0.01)
    assert slowness.Slowness().value_at(NOW) == 1.0


@pytest.mark.parametrize("value", [0.0, 1e9, float("inf"), float("nan"), 1e300])
def test_wild_reports_are_bounded(value: float) -> None:
    """Guards against one odd report that excludes an upstream or draws all requests."""
    found = known(1.0, value)
    low, high = slowness.MIN_SLOWNESS, slowness.MAX_SLOWNESS
    assert low <= found.value_at(NOW) <= high


def test_wrong_reports_are_bounded_by_responses() -> None:
    """Guards against an upstream that states to be slow and responds quickly."""
    found = known(*[4.0] * 50)
    for _ in range(40):
        found.record_response(1.0)
    assert found.value_at(NOW) <= slowness.MAX_SURPRISE + 0.1


class UnevenServers:
    """Plays plain requests on servers whose speed changes many times a second.

    Half of the servers take 1.3 times as long as the others, and each one is three
    times as slow in a fifth of the intervals.
    """

    def __init__(self, seed: int, is_informed: bool, per_s: float) -> None:
        self.rng = random.Random(seed)
        self.is_informed = is_informed
        self.per_s = per_s
        entries = (relay_builders.entry(f"u{n}", slots=SLOTS) for n in range(SERVERS))
        self.upstreams = relay_builders.upstreams(*entries)
        self.slots = {u.entry.id: [0.0] * SLOTS for u in self.upstreams}
        self.noise: dict[tuple[str, int], float] = {}

    def slowness_of(self, upstream: fleet.Upstream, now: float) -> float:
        key = (upstream.entry.id, int(now / CHANGE_S))
        if key not in self.noise:
            self.noise[key] = SLOW_X if self.rng.random() < 0.2 else 1.0
        base = 1.3 if int(upstream.entry.id[1:]) % 2 else 1.0
        return base * self.noise[key]

    def run(self) -> tuple[float, list[float]]:
        """Return the part in time, and real times as multiples of expected ones."""
        service = choice.catalog.Service("engines")
        context = choice.Context(service, plain_s=SERVICE_S)
        request = relay_builders.request()
        ends: list[tuple[float, int, fleet.Upstream]] = []
        in_time, ratios, now, count = 0, [], 0.0, 4_000
        for number in range(count):
            now += self.rng.expovariate(self.per_s)
            while ends and ends[0][0] <= now:
                at, _, upstream = heapq.heappop(ends)
                upstream.running -= 1
                if self.is_informed:
                    upstream.slow_factor.record(self.slowness_of(upstream, at), at)
            found = choice.choose(self.upstreams, request, context, (), now, self.rng)
            assert found is not None
            chosen = found.upstream
            slots = self.slots[chosen.entry.id]
            begins_at = max(now, heapq.heappop(slots))
            work_s = SERVICE_S * self.slowness_of(chosen, begins_at)
            heapq.heappush(slots, begins_at + work_s)
            heapq.heappush(ends, (begins_at + work_s, number, chosen))
            chosen.running += 1
            response_s = begins_at + work_s - now
            in_time += response_s <= OBJECTIVE_S
            ratios.append(response_s / (found.wait_s + SERVICE_S * found.slowness))
        return in_time / count, ratios


@pytest.mark.parametrize("seed", range(4))
def test_requests_avoid_slow_servers_under_load(seed: int) -> None:
    """Guards against callers who wait at slow servers while others are fast.

    Expected and real times differ by at most a quarter at the median.
    """
    per_s = 0.75 * SERVERS * SLOTS / SERVICE_S / 1.6
    before, _ = UnevenServers(seed, False, per_s).run()
    after, ratios = UnevenServers(seed, True, per_s).run()
    assert after >= before
    assert 0.8 <= statistics.median(ratios) <= 1.25

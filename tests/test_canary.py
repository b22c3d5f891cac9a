"""Tests of the comparison of a new release with the one in use."""

import math
import random

import hypothesis
import pytest
from hypothesis import strategies as st

from snipelug_core import canary, release

ROUTES = ("a", "b")
UPSTREAMS = ("u1", "u2", "u3", "u4")
SECONDS = 8
NORMAL = 1.0
SLOW = 5.0


def tally(
    rng: random.Random, route: str, upstream: str, count: int, bad: float, slow: bool
) -> canary.Tally:
    """Build a tally whose responses are bad with a probability."""
    is_bad = [rng.random() < bad for _ in range(count)]
    failures = 0 if slow else sum(is_bad)
    times = [
        rng.uniform(0.7, 1.4) * (SLOW if slow and item else NORMAL)
        for item in is_bad
        if slow or not item
    ]
    return canary.Tally(route, upstream, count, failures, times[: canary.MAX_TIMES])


def collect(
    seed: int, tested_bad: float, used_bad: float, slow: bool = False, **only: str
) -> canary.Evidence:
    """Collect responses for some seconds; ``only`` names a bad route or upstream."""
    rng = random.Random(seed)
    evidence = canary.Evidence()
    for second in range(SECONDS):
        tested = []
        for route in ROUTES:
            for upstream in UPSTREAMS:
                is_bad = only.get("route", route) == route
                is_bad &= only.get("upstream", upstream) == upstream
                bad = tested_bad if is_bad else used_bad
                tested.append(tally(rng, route, upstream, 2, bad, slow))
        used = [tally(rng, route, "", 40, used_bad, slow) for route in ROUTES]
        evidence.add(tested, used, float(second))
    return evidence


def verdict(evidence: canary.Evidence) -> release.Verdict:
    return evidence.judge(float(SECONDS - 1)).verdict


BAD = [
    # Part of bad responses of the release, of the one in use, whether they are slow.
    (0.5, 0.0, False),
    (0.5, 0.0, True),
    (0.3, 0.004, False),
    (0.6, 0.14, False),
    (1.0, 0.3, True),
]


@pytest.mark.parametrize(("tested", "used", "slow"), BAD)
@pytest.mark.parametrize("seed", range(5))
def test_bad_release_is_condemned(
    tested: float, used: float, slow: bool, seed: int
) -> None:
    """Guards against bad releases that pass for chance or for a common fault."""
    assert verdict(collect(seed, tested, used, slow)) is release.Verdict.BAD


@pytest.mark.parametrize("used", [0.0, 0.14, 0.5, 0.95])
@pytest.mark.parametrize("slow", [False, True])
@pytest.mark.parametrize("seed", range(10))
def test_release_like_the_one_in_use_is_sound(
    used: float, slow: bool, seed: int
) -> None:
    """Guards against rollbacks for faults that both releases have."""
    assert verdict(collect(seed, used, used, slow)) is release.Verdict.SOUND


@pytest.mark.parametrize("seed", range(5))
def test_release_that_is_bad_on_one_route_is_condemned(seed: int) -> None:
    """Guards against a bad route that the other ones outweigh."""
    evidence = collect(seed, 0.6, 0.0, route="b")
    assert verdict(evidence) is release.Verdict.BAD


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("slow", [False, True])
def test_one_faulty_upstream_does_not_condemn(seed: int, slow: bool) -> None:
    """Guards against rollbacks for a fault of a single upstream."""
    evidence = collect(seed, 1.0, 0.0, slow, upstream="u2")
    assert verdict(evidence) is release.Verdict.SOUND


@pytest.mark.parametrize("seed", range(5))
def test_release_that_turns_bad_is_condemned(seed: int) -> None:
    """Guards against early responses that outweigh late ones."""
    evidence = collect(seed, 0.0, 0.0)
    rng = random.Random(seed)
    for step in range(6):
        tested = [tally(rng, r, u, 1, 0.8, False) for r in ROUTES for u in UPSTREAMS]
        used = [tally(rng, route, "", 10, 0.0, False) for route in ROUTES]
        evidence.add(tested, used, SECONDS + 0.25 * step)
    assert evidence.judge(SECONDS + 1.25).verdict is release.Verdict.BAD


def test_release_with_some_bad_responses_is_doubtful() -> None:
    """Guards against a release that counts as sound until it is condemned."""
    evidence = canary.Evidence()
    used = [canary.Tally(route, "", 40, 0, [NORMAL] * 8) for route in ROUTES]
    failures = zip(UPSTREAMS, (3, 1, 1), strict=False)
    tested = [canary.Tally("a", u, 3, count, []) for u, count in failures]
    tested += [canary.Tally("b", u, 9, 0, [NORMAL] * 8) for u in UPSTREAMS[:3]]
    evidence.add(tested, used, 0.0)
    assert evidence.judge(0.0).verdict is release.Verdict.DOUBTFUL


def load_test(bad: dict[str, float], slow: bool) -> canary.Evidence:
    """Collect a few responses of each upstream, then those of a load test of one."""
    rng = random.Random(0)
    evidence = canary.Evidence()
    used = [tally(rng, route, "", 40, 0.0, slow) for route in ROUTES]
    for at, count, upstreams in [(0.0, 3, UPSTREAMS), (0.5, 10, UPSTREAMS[:1])]:
        tested = [
            tally(rng, route, upstream, count, bad.get(upstream, 0.0), slow)
            for route in ROUTES
            for upstream in upstreams
        ]
        evidence.add(tested, used, at)
    return evidence


@pytest.mark.parametrize("slow", [False, True])
def test_bad_load_test_is_condemned_with_its_first_responses(slow: bool) -> None:
    """Guards against a load test that is left out as that of a faulty upstream."""
    evidence = load_test({"u1": 0.6}, slow)
    assert evidence.judge(0.5, {"u1"}).verdict is release.Verdict.BAD


@pytest.mark.parametrize("slow", [False, True])
def test_one_faulty_upstream_does_not_spoil_a_load_test(slow: bool) -> None:
    """Guards against rollbacks for a fault of an upstream without a load test."""
    evidence = load_test({"u2": 1.0}, slow)
    assert evidence.judge(0.5, {"u1"}).verdict is release.Verdict.SOUND


@pytest.mark.parametrize(("tested", "used"), [(0, 0), (0, 500), (10, 500)])
def test_few_responses_prove_nothing(tested: int, used: int) -> None:
    """Guards against a verdict without responses."""
    evidence = canary.Evidence()
    evidence.add(
        [canary.Tally("a", "u1", tested, 0, [1.0])],
        [canary.Tally("a", "", used, 0, [1.0] * 16)],
        0.0,
    )
    assert verdict(evidence) is release.Verdict.UNPROVED


def test_route_without_responses_is_unproved() -> None:
    """Guards against releases that were tested on other routes only."""
    evidence = canary.Evidence()
    evidence.add(
        [canary.Tally("a", "u1", 50, 0, [1.0])],
        [canary.Tally("a", "", 50, 0, []), canary.Tally("b", "", 50, 0, [])],
        0.0,
    )
    found = evidence.judge(0.0)
    assert found.verdict is release.Verdict.UNPROVED
    assert "route b" in found.reason


def test_recorder_adds_up_by_route_and_upstream() -> None:
    """Guards against responses that are reported twice or not at all."""
    recorder = canary.Recorder()
    for route, upstream, time in [("a", "u", 1.0), ("a", "u", None), ("b", "u", 2.0)]:
        recorder.record(route, upstream, time)
    found = {(t.route, t.upstream): t for t in recorder.take()}
    assert found["a", "u"] == canary.Tally("a", "u", 2, 1, [1.0])
    assert found["b", "u"] == canary.Tally("b", "u", 1, 0, [2.0])
    assert not recorder
    assert recorder.take() == []


@hypothesis.given(
    trials=st.integers(1, 300), rate=st.floats(0.001, 0.999), data=st.data()
)
def test_binomial_tail(trials: int, rate: float, data: st.DataObject) -> None:
    """Guards against a wrong probability, compared with the sum of all terms."""
    successes = data.draw(st.integers(0, trials))
    expected = math.fsum(
        math.comb(trials, count) * rate**count * (1.0 - rate) ** (trials - count)
        for count in range(successes, trials + 1)
    )
    found = canary.binomial_tail(trials, successes, rate)
    assert 0.0 <= found <= 1.0
    assert found == pytest.approx(expected, rel=1e-6, abs=1e-12)


TAILS = [
    # Trials, successes far below their mean, and the rate; the first terms underflow.
    (217, 1, 0.96875),
    (300, 10, 0.999),
]


@pytest.mark.parametrize(("trials", "successes", "rate"), TAILS)
def test_binomial_tail_far_below_the_mean(
    trials: int, successes: int, rate: float
) -> None:
    """Guards against terms that are lost as they are below the least float."""
    found = canary.binomial_tail(trials, successes, rate)
    assert found == pytest.approx(1.0, abs=1e-9)

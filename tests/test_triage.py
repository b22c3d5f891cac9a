"""Tests of who yields when a service has too little room."""

import random

import pytest

from snipelug_core import overload, triage

NOW = 10.0
OBJECTIVE_S = 0.6
REMAINING_S = 6.0
MEAN_S = 0.1


def competition(**refused: tuple[int, int]) -> triage.Competition:
    """Build a competition: by priority (p0, p1, ...) requests and refused ones."""
    found = triage.Competition()
    for name, (requests, turned_away) in refused.items():
        for number in range(requests):
            found.record(int(name[1:]), number < turned_away, NOW)
    return found


def longest_wait_s(stance: triage.Stance, prefill_s: float) -> float:
    """Return the longest expected wait with which a request is sent."""
    waits = [0.01 * step for step in range(600)]
    sent = [
        wait_s
        for wait_s in waits
        if overload.retry_after(
            wait_s,
            prefill_s,
            OBJECTIVE_S,
            REMAINING_S,
            MEAN_S,
            random.Random(0),
            stance,
        )
        is None
    ]
    return max(sent, default=0.0)


def test_one_priority_alone_is_neutral() -> None:
    """Guards against changes where nothing competes."""
    found = competition(p1=(50, 20))
    assert found.stance(1, NOW) == triage.NEUTRAL


def test_urgency_follows_priority() -> None:
    """Guards against a less urgent request that goes before a more urgent one."""
    found = competition(p0=(20, 0), p1=(20, 0), p2=(20, 0))
    urgencies = [found.stance(priority, NOW).urgency for priority in range(4)]
    assert urgencies == sorted(urgencies, reverse=True)
    assert (urgencies[0], urgencies[2]) == (1.0, 0.0)


def test_pressure_comes_from_more_urgent_requests_only() -> None:
    """Guards against urgent requests that yield to less urgent ones."""
    found = competition(p0=(20, 0), p1=(20, 10), p2=(20, 20))
    pressures = [found.stance(priority, NOW).pressure for priority in range(3)]
    assert pressures == pytest.approx([0.0, 0.0, 0.25])


def test_competition_is_forgotten() -> None:
    """Guards against requests that yield to others long gone."""
    found = competition(p0=(20, 20), p1=(20, 0))
    assert found.stance(1, NOW).pressure == 1.0
    assert found.stance(1, NOW + 10 * triage.WINDOW_S) == triage.NEUTRAL


@pytest.mark.parametrize("prefill_s", [0.01, 0.3])
def test_less_urgent_requests_yield_first(prefill_s: float) -> None:
    """Guards against urgent callers who pay for the less urgent ones."""
    stances = [
        triage.Stance(1.0, 0.0),
        triage.NEUTRAL,
        triage.Stance(0.0, 0.0),
        triage.Stance(0.0, 0.5),
        triage.Stance(0.0, 1.0),
    ]
    waits = [longest_wait_s(stance, prefill_s) for stance in stances]
    assert waits == sorted(waits, reverse=True)
    assert waits[0] > waits[-1]
    assert waits[-1] > 0.0


def play(is_informed: bool, seed: int = 0) -> dict[int, float]:
    """Play an engine with too little room; return the part in time by priority.

    Urgent long prompts and less urgent short ones arrive at 1.2 times what it reads.
    """
    rng = random.Random(seed)
    seen = triage.Competition()
    backlog_s, in_time, total = 0.0, {0: 0, 1: 0}, {0: 0, 1: 0}
    for step in range(6_000):
        now = 0.01 * step
        backlog_s = max(0.0, backlog_s - 0.01)
        priority = 0 if rng.random() < 0.12 else 1
        prefill_s = 0.05 if priority == 0 else 0.0068
        stance = seen.stance(priority, now) if is_informed else triage.NEUTRAL
        refused = overload.retry_after(
            backlog_s, prefill_s, OBJECTIVE_S, 1.5, 0.012, rng, stance
        )
        seen.record(priority, refused is not None, now)
        total[priority] += 1
        if refused is None:
            in_time[priority] += backlog_s + prefill_s <= OBJECTIVE_S
            backlog_s += prefill_s
    return {priority: in_time[priority] / total[priority] for priority in total}


def test_urgent_callers_are_served_more_often_under_load() -> None:
    """Guards against a rule that helps no urgent caller under load."""
    before, after = play(False), play(True)
    assert after[0] > before[0] + 0.05
    assert after[0] > after[1]
    assert after[1] > 0.5


PLAIN = [
    # Expected wait, processing time, time left, whether the request is refused.
    (0.0, 0.07, 0.05, False),
    (0.5, 0.07, 1.0, False),
    (0.5, 0.07, 0.55, True),
]


@pytest.mark.parametrize(("wait_s", "service_s", "left_s", "is_refused"), PLAIN)
def test_plain_request_that_cannot_be_in_time_is_refused(
    wait_s: float, service_s: float, left_s: float, is_refused: bool
) -> None:
    """Guards against requests that wait for an answer after their deadline."""
    found = overload.plain_retry_after(wait_s, service_s, left_s, random.Random(0))
    assert (found is not None) is is_refused
    if found is not None:
        assert 0.0 < found < left_s

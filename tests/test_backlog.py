"""Queues between teams, early refusals and retry budgets."""

import itertools

import hypothesis
import pytest
from hypothesis import strategies as st

from snipelug_core import backlog, refusal, retry
from tests import builders

PACE = backlog.StartRates(10, 10.0, 10_000.0, 1.0)


def fill(
    queues: backlog.Backlog, team: str, costs: list[float], weight: float = 1.0
) -> None:
    terms = builders.terms(team, weight)
    for number, cost in enumerate(costs):
        entry = backlog.Entry(number, team, cost, 1e9)
        assert backlog.enqueue(queues, entry, terms, PACE, 0.0) is None


COSTS = st.lists(st.floats(1.0, 200_000.0), min_size=30, max_size=60)


@hypothesis.given(COSTS, COSTS, st.sampled_from([0.1, 1.0, 3.0]))
def test_served_cost_follows_weights(
    first: list[float], second: list[float], weight: float
) -> None:
    """Guards against a team with long requests or low weight starving another."""
    queues = backlog.Backlog()
    fill(queues, "a", first)
    fill(queues, "b", second, weight)
    served = {"a": 0.0, "b": 0.0}
    largest = max(first + second)
    while len(queues.queues) == 2:
        entry = backlog.start_next(queues, lambda _: True)
        assert entry is not None
        served[entry.team] += entry.cost
        if len(queues.queues) == 2:
            gap = abs(served["a"] - served["b"] / weight)
            slack = largest + largest / weight + 2 * backlog.QUANTUM_TOKENS
            assert gap <= slack


def test_blocked_team_does_not_block_others() -> None:
    """Guards against one team's exhausted limits stopping all queues."""
    queues = backlog.Backlog()
    fill(queues, "a", [1.0] * 3)
    fill(queues, "b", [90_000.0] * 3)
    order = [backlog.start_next(queues, lambda e: e.team == "b") for _ in range(4)]
    assert [entry.team if entry else None for entry in order] == ["b", "b", "b", None]
    assert queues.queues["a"].deficit == 0.0


@pytest.mark.parametrize(
    ("waiting", "length", "deadline", "kind"),
    [
        (3, 3, 100.0, refusal.QUEUE_FULL),
        (40, 99, 3.9, refusal.DEADLINE_UNREACHABLE),
        (40, 99, 4.1, None),
        (0, 99, 0.0, refusal.DEADLINE_UNREACHABLE),
    ],
    ids=["full", "too-slow", "in-time", "already-late"],
)
def test_offer(
    waiting: int, length: int, deadline: float, kind: refusal.Kind | None
) -> None:
    """Guards against accepting what cannot start in time, or refusing what can."""
    queues = backlog.Backlog()
    fill(queues, "a", [10.0] * waiting)
    entry = backlog.Entry(99, "a", 10.0, deadline)
    terms = builders.terms("a", length=length)
    answer = backlog.enqueue(queues, entry, terms, PACE, 0.0)
    assert (answer.kind if answer else None) == kind
    queued = sum(len(queue.entries) for queue in queues.queues.values())
    assert queued == waiting + (kind is None)
    if answer is not None:
        assert answer.run_state is refusal.RunState.NOT_RUN


def test_unknown_pace_is_no_reason_to_refuse() -> None:
    """Guards against refusing all requests until the first slice arrives."""
    queues = backlog.Backlog()
    fill(queues, "a", [10.0])
    entry = backlog.Entry(9, "a", 10.0, 5.0)
    pace = backlog.StartRates(0, 0.0, 0.0, 1.0)
    terms = builders.terms("a")
    assert backlog.enqueue(queues, entry, terms, pace, 0.0) is None


def test_expired_entries_leave_the_queue() -> None:
    """Guards against starting a request after its deadline."""
    queues = backlog.Backlog()
    terms = builders.terms("a")
    for number, deadline in enumerate((5.0, 9.0)):
        entry = backlog.Entry(number, "a", 10.0, deadline)
        backlog.enqueue(queues, entry, terms, PACE, 0.0)
    late = backlog.expire(queues, 5.0)
    assert [entry.number for entry, _ in late] == [0]
    assert backlog.start_next(queues, lambda _: True) is not None
    assert backlog.start_next(queues, lambda _: True) is None


@hypothesis.given(st.lists(st.booleans(), max_size=300), st.floats(0.0, 0.2))
def test_retries_stay_within_budget(attempts: list[bool], step: float) -> None:
    """Guards against retries that multiply the load of a failing upstream."""
    budget = retry.Budget()
    requests = retries = 0
    for number, is_retry in enumerate(attempts):
        if is_retry:
            retries += retry.try_acquire(budget, number * step)
        else:
            requests += 1
            retry.record_request(budget)
    allowed = 1.0 + 0.1 * requests + 0.1 * step * len(attempts)
    assert retries <= allowed + 1e-6


def test_quiet_upstream_still_gets_retries() -> None:
    """Guards against no retry at all where requests are rare."""
    budget = retry.Budget()
    taken = [retry.try_acquire(budget, now) for now in (0.0, 0.1, 10.2, 1000.0)]
    assert taken == [True, False, True, True]
    burst = itertools.takewhile(
        bool, (retry.try_acquire(budget, 2e3) for _ in "x" * 50)
    )
    assert len(list(burst)) == 10

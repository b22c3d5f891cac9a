"""Tests of team queues, early refusals and retry budgets."""

import itertools

import hypothesis
import pytest
from hypothesis import strategies as st

from snipelug_core import backlog, refusal, retry
from tests import builders

RATES = backlog.StartRates(10, 10.0, 10_000.0, 1.0)


def enqueue_costs(
    queues: backlog.Backlog, team: str, costs: list[float], weight: float = 1.0
) -> None:
    terms = builders.terms(team, weight)
    for number, cost in enumerate(costs):
        entry = backlog.Entry(number, team, cost, 1e9)
        assert backlog.enqueue(queues, entry, terms, RATES, 0.0) is None


COSTS = st.lists(st.floats(1.0, 200_000.0), min_size=30, max_size=60)


@hypothesis.given(COSTS, COSTS, st.sampled_from([0.1, 1.0, 3.0]))
def test_served_cost_follows_weights(
    costs_a: list[float], costs_b: list[float], weight: float
) -> None:
    """Guards against a team starving another by long requests or a low weight."""
    queues = backlog.Backlog()
    enqueue_costs(queues, "a", costs_a)
    enqueue_costs(queues, "b", costs_b, weight)
    served = {"a": 0.0, "b": 0.0}
    largest = max(costs_a + costs_b)
    while len(queues.queues) == 2:
        entry = backlog.start_next(queues, lambda _: True)
        assert entry is not None
        served[entry.team] += entry.cost
        if len(queues.queues) == 2:
            gap = abs(served["a"] - served["b"] / weight)
            slack = largest + largest / weight + 2 * backlog.QUANTUM_TOKENS
            assert gap <= slack


def test_blocked_team_does_not_block_others() -> None:
    """Guards against one team's exhausted limits blocking all queues."""
    queues = backlog.Backlog()
    enqueue_costs(queues, "a", [1.0] * 3)
    enqueue_costs(queues, "b", [90_000.0] * 3)
    started = [backlog.start_next(queues, lambda e: e.team == "b") for _ in range(4)]
    assert [entry.team if entry else None for entry in started] == ["b", "b", "b", None]
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
def test_enqueue_refusals(
    waiting: int, length: int, deadline: float, kind: refusal.Kind | None
) -> None:
    """Guards against queueing requests that cannot start in time, and the reverse."""
    queues = backlog.Backlog()
    enqueue_costs(queues, "a", [10.0] * waiting)
    entry = backlog.Entry(99, "a", 10.0, deadline)
    terms = builders.terms("a", queue_length=length)
    refused = backlog.enqueue(queues, entry, terms, RATES, 0.0)
    assert (refused.kind if refused else None) == kind
    queued = sum(len(queue.entries) for queue in queues.queues.values())
    assert queued == waiting + (kind is None)
    if refused is not None:
        assert refused.run_state is refusal.RunState.NOT_RUN


def test_unknown_rates_do_not_cause_refusal() -> None:
    """Guards against refusing all requests until the first quota slice arrives."""
    queues = backlog.Backlog()
    enqueue_costs(queues, "a", [10.0])
    entry = backlog.Entry(9, "a", 10.0, 5.0)
    rates = backlog.StartRates(0, 0.0, 0.0, 1.0)
    terms = builders.terms("a")
    assert backlog.enqueue(queues, entry, terms, rates, 0.0) is None


def test_expired_entries_leave_the_queue() -> None:
    """Guards against starting a request after its deadline."""
    queues = backlog.Backlog()
    terms = builders.terms("a")
    for number, deadline in enumerate((5.0, 9.0)):
        entry = backlog.Entry(number, "a", 10.0, deadline)
        backlog.enqueue(queues, entry, terms, RATES, 0.0)
    expired = backlog.expire(queues, 5.0)
    assert [entry.number for entry, _ in expired] == [0]
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


def test_rarely_used_upstream_gets_retries() -> None:
    """Guards against granting no retries to upstreams with few requests."""
    budget = retry.Budget()
    acquired = [retry.try_acquire(budget, now) for now in (0.0, 0.1, 10.2, 1000.0)]
    assert acquired == [True, False, True, True]
    burst = itertools.takewhile(
        bool, (retry.try_acquire(budget, 2e3) for _ in "x" * 50)
    )
    assert len(list(burst)) == 10

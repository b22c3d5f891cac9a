"""Tests for the decision after an attempt and for retry budgets."""

import itertools

import pytest

from snipelug_core import attempt, catalog, retry
from tests import relay_builders

Result, Action, Repeat = attempt.Result, attempt.Action, catalog.RepeatPolicy

CASES = [
    (Repeat.IDEMPOTENT, [Result.LOST], Action.TRY_AGAIN),
    (Repeat.IDEMPOTENT, [Result.FAILED], Action.TRY_AGAIN),
    (Repeat.IDEMPOTENT, [Result.LOST, Result.FAILED], Action.DELIVER),
    (Repeat.IDEMPOTENT, [Result.LOST, Result.LOST], Action.FAIL),
    (Repeat.IDEMPOTENT, [Result.REJECTED, Result.LOST], Action.TRY_AGAIN),
    (Repeat.RESUMABLE, [Result.LOST], Action.TRY_AGAIN),
    (Repeat.RESUMABLE, [Result.LOST, Result.REJECTED], Action.TRY_AGAIN),
    (Repeat.RESUMABLE, [Result.LOST, Result.LOST], Action.FAIL),
    (Repeat.AT_MOST_ONCE, [Result.LOST], Action.FAIL),
    (Repeat.AT_MOST_ONCE, [Result.FAILED], Action.DELIVER),
    (Repeat.AT_MOST_ONCE, [Result.REJECTED], Action.TRY_AGAIN),
    (Repeat.AT_MOST_ONCE, [Result.NOT_CONNECTED], Action.TRY_AGAIN),
    (Repeat.AT_MOST_ONCE, [Result.REJECTED, Result.LOST], Action.FAIL),
    (Repeat.AT_MOST_ONCE, [Result.REJECTED] * 4, Action.REFUSE),
    (Repeat.IDEMPOTENT, [Result.NOT_CONNECTED] * 6, Action.REFUSE),
    (Repeat.IDEMPOTENT, [Result.ANSWERED], Action.DELIVER),
]


@pytest.mark.parametrize(("repeat", "results", "expected"), CASES)
def test_decision(
    repeat: catalog.RepeatPolicy,
    results: list[attempt.Result],
    expected: attempt.Action,
) -> None:
    """Guards against a second run of a non-idempotent request and false refusals."""
    route = relay_builders.route(repeat=repeat)
    history = attempt.History()
    for result in results:
        history.add(result)
    assert attempt.decide(results[-1], history, route, 1.0, True) is expected


@pytest.mark.parametrize("repeat", list(Repeat))
def test_no_more_runs_than_allowed_and_no_false_refusal(
    repeat: catalog.RepeatPolicy,
) -> None:
    """Guards against runs beyond the limit, for all sequences of five results."""
    route = relay_builders.route(repeat=repeat, max_attempts=2)
    max_runs = 1 if repeat is Repeat.AT_MOST_ONCE else 2
    for results in itertools.product(Result, repeat=5):
        history = attempt.History()
        for result in results:
            history.add(result)
            decision = attempt.decide(result, history, route, 1.0, True)
            if decision is Action.REFUSE:
                assert history.runs == 0
            if decision is not Action.TRY_AGAIN:
                break
        assert history.runs <= max_runs


NO_TIME_OR_BUDGET = [(0.0, True), (1.0, False)]


@pytest.mark.parametrize(("left_s", "has_budget"), NO_TIME_OR_BUDGET)
def test_no_retry_without_time_or_budget(left_s: float, has_budget: bool) -> None:
    """Guards against retries after the deadline and retries that overload upstreams."""
    history = attempt.History()
    history.add(Result.REJECTED)
    route = relay_builders.route()
    decision = attempt.decide(Result.REJECTED, history, route, left_s, has_budget)
    assert decision is Action.REFUSE


@pytest.mark.parametrize("nodes", [1, 6, 79])
def test_node_shares_of_retry_budget(nodes: int) -> None:
    """Guards against too many retries by all nodes together in a window of 10 s.

    Each node sends 20 requests per second and all retries that its share allows.
    """
    policy = retry.node_share(0.2, 52.0, 10.0, 1.0 / nodes)
    budgets = [retry.Budget(available=policy.capacity) for _ in range(nodes)]
    requests, retries = 0, 0
    for _ in range(200):
        for budget in budgets:
            retry.record_request(budget, policy)
            requests += 1
            retries += retry.try_acquire(budget, 0.0, policy)
    allowed = 0.2 * requests + (52.0 if nodes < 40 else 198.0)
    assert retries <= allowed

"""Which sends a load report confirms, and when a node may send without a slot."""

import hypothesis
import pytest
from hypothesis import strategies as st

from snipelug_core import confirmation, table

WARM = table.Warmth.WARM
COLD = table.Warmth.COLD


@pytest.mark.parametrize(
    ("state", "made_at", "arrived_at", "is_confirmed"),
    [
        (WARM, 10.2, 10.1, True),
        (WARM, 10.1, 10.1, False),
        (WARM, 10.2, None, False),
        (WARM, 10.3, None, True),
        (COLD, 99.0, 10.1, False),
    ],
    ids=["after-head", "at-head", "may-not-have-arrived", "has-arrived", "cold"],
)
def test_only_a_warm_report_made_after_the_arrival_confirms(
    state: table.Warmth, made_at: float, arrived_at: float | None, is_confirmed: bool
) -> None:
    """Guards against returning slots while the upstream may be cold."""
    report = table.LoadReport("x", state, 0, 0, 1, made_at)
    sent = confirmation.SentRequest(10.0, arrived_at)
    assert confirmation.is_confirmed(sent, report) is is_confirmed
    assert not confirmation.is_confirmed(sent, None)


@hypothesis.given(st.integers(1, 4), st.integers(1, 8), st.integers(0, 4))
def test_sends_without_slot_stay_within_the_silent_slots(
    limit: int, nodes: int, silent: int
) -> None:
    """Guards against all nodes sending at once while holders do not answer."""
    silent = min(limit, silent)
    used = [0] * nodes
    for _ in range(3):
        for rank in range(nodes):
            used[rank] += confirmation.may_send_without_slot(
                silent, rank, 0.0, used[rank]
            )
    assert sum(used) == min(silent, nodes)
    assert confirmation.may_send_without_slot(0, 9, confirmation.SLOT_STALL_S, 0)
    assert not confirmation.may_send_without_slot(0, 9, confirmation.SLOT_STALL_S, 1)


@pytest.mark.parametrize(
    ("unconfirmed", "wait_s"), [(0, 0.0), (1, 0.0), (2, 0.22), (3, 0.22), (4, 0.44)]
)
def test_expected_wait(unconfirmed: int, wait_s: float) -> None:
    """Guards against routing to an upstream whose slots are in use."""
    assert confirmation.expected_wait_s(unconfirmed, 2, 0.2) == pytest.approx(wait_s)

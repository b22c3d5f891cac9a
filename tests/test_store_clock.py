"""Tests of the store's clock over restores of the platform's store."""

import hypothesis
import pytest
from hypothesis import strategies as st

from snipelug_core import retirement, store_clock
from snipelug_relay import clock, ports, state

DELAYS_S = st.sampled_from([0.0, 0.002, 0.05, 1.0])
OFFSET_S = 60.0


def respond(
    known: store_clock.StoreClock, at: float, before_s: float, after_s: float
) -> None:
    """Record a response whose clock was read after a part of the call."""
    known.record(at, at + before_s + after_s, 1e3 * (at + before_s + OFFSET_S))


@hypothesis.given(
    st.lists(st.tuples(DELAYS_S, DELAYS_S), min_size=1, max_size=5),
    DELAYS_S,
    DELAYS_S,
    st.sampled_from([-3600.0, -5.0, -2.5, 0.0, 0.0, 2.5, 5.0, 3600.0]),
)
def test_times_before_a_restore_are_never_translated_to_later_ones(
    calls: list[tuple[float, float]], before_s: float, after_s: float, jump_s: float
) -> None:
    """Guards against outdated weights in use for longer, and losses without a jump."""
    known = store_clock.StoreClock()
    for number, (each_before_s, each_after_s) in enumerate(calls):
        respond(known, 10.0 + 3 * number, each_before_s, each_after_s)
    sent_at = 40.0
    received_at = sent_at + before_s + after_s
    clock_ms = 1e3 * (sent_at + before_s + OFFSET_S + jump_s)
    shift_ms = known.restart(sent_at, received_at, clock_ms)
    if jump_s == 0.0:
        assert shift_ms == 0.0
    if abs(jump_s) > 4.0:
        assert shift_ms != 0.0
    if shift_ms:
        assert shift_ms <= 1e3 * jump_s
        assert shift_ms >= 1e3 * (jump_s - 4.1)
        assert known.latest_ms(50.0) >= 1e3 * (50.0 + OFFSET_S + jump_s)


def build_state() -> state.State:
    """Build a state that read version 1 at 40 s and version 2 at 41 s, in epoch 1."""
    addr = ("127.0.0.1", 1)
    built = state.State(ports.Settings("n1", "a", addr, addr, addr))
    now = clock.now()
    for version, clock_ms in ((1, 40_000.0), (2, 41_000.0)):
        page = ports.Page([ports.Version("m", version)], version, clock_ms, 1)
        at = now + clock_ms / 1e3 - 41.0
        assert built.record_response(page, at, at + 0.001)
        built.apply_intents(page.items, clock_ms, is_whole=version == 1)
    return built


@pytest.mark.parametrize("jump_ms", [-30_000.0, 0.0, 30_000.0])
def test_times_of_namings_follow_a_clock_that_jumps(jump_ms: float) -> None:
    """Guards against outdated weights whose bound moves with the store's clock."""
    node_state = build_state()
    before = node_state.retired_at("m", 1)
    node_state.record_epoch(2)
    sent_at = clock.now()
    clock_ms = node_state.store_clock.latest_ms(sent_at) + jump_ms
    page: ports.Page[ports.Intent] = ports.Page([], 1, clock_ms, 2)
    assert node_state.record_response(page, sent_at, sent_at + 0.001)
    assert before - 0.1 <= node_state.retired_at("m", 1) <= before + 0.001
    assert node_state.clock_epoch == (2 if jump_ms else 1)


def test_clock_of_a_response_that_was_held_during_a_restore_is_not_used() -> None:
    """Guards against a jump that is hidden by the clock at a call's arrival."""
    node_state = build_state()
    sent_at = clock.now()
    node_state.record_epoch(2)
    held: ports.Page[ports.Intent] = ports.Page([], 1, 41_000.0, 2)
    assert node_state.record_response(held, sent_at, sent_at + 1.0)
    later = clock.now()
    new: ports.Page[ports.Intent] = ports.Page([], 1, 11_000.0, 2)
    assert node_state.record_response(new, later, later + 0.001)
    assert node_state.named_versions["m"].last_current_ms(1) < 10_100.0
    assert node_state.intents_current_ms < 11_100.0


def test_response_from_before_a_restore_changes_nothing() -> None:
    """Guards against a late response with the clock of the store that is gone."""
    node_state = build_state()
    node_state.record_epoch(2)
    now = clock.now()
    late_ms = node_state.store_clock.latest_ms(now)
    page: ports.Page[ports.Intent] = ports.Page([], 9, 9e9, 1)
    assert not node_state.record_response(page, now, now)
    assert node_state.store_clock.latest_ms(now) == late_ms
    assert node_state.store_epoch == 2


def test_shifted_history_keeps_what_is_unknown() -> None:
    """Guards against times that are invented by a translation."""
    history = retirement.History({1: retirement.Span(last_ms=5.0)}).shifted(-3.0)
    assert history.spans == {1: retirement.Span(last_ms=2.0)}

"""Tests of which nodes count as alive when the platform's store is restored."""

import pytest

from snipelug_core import membership

MAX_AGE_MS = 50_000.0


def build_rows() -> membership.Rows:
    """Build the rows of two nodes, read at 100 s in epoch 1."""
    rows = membership.Rows(MAX_AGE_MS)
    found = rows.update({"a": 90_000.0, "b": 95_000.0}, 100_000.0, 1, 1)
    assert set(found) == {"a", "b"}
    return rows


CASES = [
    # rows after the restore, clock in s, epoch, epoch of the clock, nodes alive
    pytest.param({"a": 90.0}, 101.0, 2, 1, {"a", "b"}, id="row-is-gone"),
    pytest.param({"a": 90.0}, 101.0, 1, 1, {"a"}, id="row-was-removed"),
    pytest.param({"a": 140.0}, 146.0, 2, 1, {"a"}, id="dead-node-expires"),
    pytest.param({"a": 90.0}, 9_000.0, 2, 2, {"a", "b"}, id="clock-jumped-ahead"),
    pytest.param({"a": 90.0}, 3.0, 2, 2, {"a", "b"}, id="clock-went-back"),
]


@pytest.mark.parametrize(("rows", "clock_s", "epoch", "clock_epoch", "alive"), CASES)
def test_nodes_count_until_they_have_written_their_rows_again(
    rows: dict[str, float],
    clock_s: float,
    epoch: int,
    clock_epoch: int,
    alive: set[str],
) -> None:
    """Guards against limits that grow as a restored store lacks rows of nodes."""
    known = build_rows()
    times = {node_id: 1e3 * at_s for node_id, at_s in rows.items()}
    assert set(known.update(times, 1e3 * clock_s, epoch, clock_epoch)) == alive


def test_dead_nodes_are_forgotten_after_the_clock_went_back() -> None:
    """Guards against a dead node that counts until the clock has caught up."""
    known = build_rows()
    times = {"a": 90_000.0}
    for clock_ms in (3_000.0, 30_000.0):
        assert set(known.update(times, clock_ms, 2, 2)) == {"a", "b"}
    assert known.update(times, 54_000.0, 2, 2) == {}


def test_row_that_was_written_again_and_removed_does_not_count() -> None:
    """Guards against a node that has stopped but is kept over the restore."""
    known = build_rows()
    known.update({"a": 90_000.0}, 101_000.0, 2, 1)
    known.update({"a": 102_000.0, "b": 102_000.0}, 103_000.0, 2, 1)
    assert set(known.update({"a": 102_000.0}, 104_000.0, 2, 1)) == {"a"}

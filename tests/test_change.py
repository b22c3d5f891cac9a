"""Tests of the sequence of configuration changes."""

import hypothesis
import hypothesis.strategies as st
import pytest

from snipelug_core import change, contract

HASH_A = contract.hash_key("a")
HASH_B = contract.hash_key("b")


def put_contract(team: str, *hashes: str, **fields: object) -> change.PutContract:
    return change.PutContract(contract.Contract(team, hashes, **fields))  # type: ignore[arg-type]


def make_change(revision: int, *operations: change.Operation) -> change.Change:
    applied = operations or (change.ZoneOut(f"z{revision}"),)
    return change.Change(revision, f"nonce-{revision}", "op", 0.0, applied)


INVALID_OPERATIONS = [
    ([put_contract("t1", HASH_A), put_contract("t2", HASH_A)], "same key hash"),
    ([put_contract("t1", HASH_A, HASH_A)], "listed twice"),
    ([put_contract("t1")], "key_hashes is empty"),
    ([put_contract("t1", HASH_A, models=("m",))], "unknown model 'm'"),
    ([put_contract("t1", HASH_A, require_key=("s/x",))], "require_key path 's/x'"),
    ([change.RemoveContract("nobody")], "unknown team (known: old)"),
    ([change.ZoneOut("tamra-a")], "unknown zone (known: tamar-a)"),
    ([change.InstanceOut("e9")], "not in the instance list"),
]


@pytest.mark.parametrize(("operations", "message"), INVALID_OPERATIONS)
def test_invalid_operation_is_reported(
    operations: list[change.Operation], message: str
) -> None:
    """Guards against accepting a change that breaks isolation or has no effect."""
    cfg = contract.Config(contracts={"old": contract.Contract("old", (HASH_B,))})
    inventory = change.Inventory(frozenset({"tamar-a"}), frozenset({"e1"}))
    errors = change.validate_operations(cfg, operations, inventory)
    assert len(errors) == 1
    assert message in errors[0]


def test_key_can_move_between_teams_in_one_change() -> None:
    """Guards against validating intermediate states instead of the result."""
    cfg = contract.Config(contracts={"t1": contract.Contract("t1", (HASH_A,))})
    operations = [put_contract("t2", HASH_A), put_contract("t1", HASH_B)]
    assert change.validate_operations(cfg, operations) == []


@hypothesis.given(st.lists(st.integers(1, 6), max_size=30))
def test_revision_never_decreases_in_any_order_of_deltas(order: list[int]) -> None:
    """Guards against late, duplicate or missing deltas that revert a change."""
    cfg = contract.Config()
    for revision in order:
        outcome = change.apply(cfg, make_change(revision))
        match outcome:
            case change.Applied(cfg=after):
                assert after.revision == revision == cfg.revision + 1
                assert after.zones_out == cfg.zones_out | {f"z{revision}"}
                cfg = after
            case change.AlreadyApplied(revision=current):
                assert revision <= current == cfg.revision
            case change.Gap(expected=expected):
                assert revision > expected == cfg.revision + 1
    assert cfg.zones_out == {f"z{n}" for n in range(1, cfg.revision + 1)}


def test_snapshot_round_trip_keeps_newer_configuration() -> None:
    """Guards against a snapshot that loses content or overwrites a newer state."""
    cfg = contract.Config()
    applied = [put_contract("t1", HASH_A), change.PutModel(contract.Model("m"))]
    for revision, operation in enumerate(applied, start=1):
        outcome = change.apply(cfg, make_change(revision, operation))
        assert isinstance(outcome, change.Applied)
        cfg = outcome.cfg
    snapshot = change.take_snapshot(cfg)
    assert change.apply_snapshot(contract.Config(), snapshot) == cfg
    newer = contract.Config(revision=9)
    assert change.apply_snapshot(newer, snapshot) is newer

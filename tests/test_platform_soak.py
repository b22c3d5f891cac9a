"""Short runs of the soak test, and regression tests for seeds that failed before."""

import pathlib

import pytest

from tests import platform_soak

SEEDS = [
    (1, 3, 8.0),
    (1, 7, 8.0),
    # Expired entries that were written again were not passed on within the zone.
    (501, 7, 12.0),
    # Series of faults.
    (2000, 3, 8.0),
    (2001, 7, 8.0),
    # Readers announced an entry from before a drain after its newer state.
    (2213, 3, 8.0),
]
"""Seed, nodes and seconds; seeds that found a violation are kept with the cause."""


@pytest.mark.parametrize(("seed", "nodes", "seconds"), SEEDS)
async def test_guarantees_hold_under_faults(
    tmp_path: pathlib.Path, seed: int, nodes: int, seconds: float
) -> None:
    """Guards against violated guarantees under consecutive and overlapping faults."""
    soak = await platform_soak.run(seed, seconds, tmp_path, nodes)
    assert not soak.violations
    assert soak.outcomes["order 200"] > 20


SERIES = [
    # Callers that half-closed their connection, and late bodies, got no answer.
    (3000, ("raw", "silences", "limits")),
    # Nodes missed changes that a restored store had written past their positions.
    (3080, ("restores", "odd")),
    # Copies of refusals were taken for the answers to requests that were sent again.
    (6003, ("copies",)),
    # Nodes sent all their requests to upstreams that had named a limit.
    (6101, ("named_limits",)),
    # Parts were read while they were saved again to a restarted store.
    (10005, ("late_saves",)),
    # Isolated teams shared earlier parts, and unknown keys counted as none.
    (10005, ("walls", "open_routes")),
]
"""Seeds and families of faults that found violations before they were fixed."""


@pytest.mark.parametrize(("seed", "families"), SERIES)
async def test_guarantees_hold_under_series(
    tmp_path: pathlib.Path, seed: int, families: tuple[str, ...]
) -> None:
    """Guards against broken guarantees under series of faults."""
    soak = await platform_soak.run(seed, 12.0, tmp_path, families=families)
    assert not soak.violations
    assert soak.outcomes["order 200"] > 20

"""A short run of the soak in CI, and the seeds that once failed."""

import pathlib

import pytest

from tests import platform_soak

SEEDS = [1]
"""Seeds that broke a promise are added here, each with its cause."""

SECONDS = 8.0


@pytest.mark.parametrize("seed", SEEDS)
async def test_promises_hold_under_faults(tmp_path: pathlib.Path, seed: int) -> None:
    """Guards against broken promises when faults come in series and overlap."""
    soak = await platform_soak.run(seed, SECONDS, tmp_path)
    assert not soak.broken
    assert soak.outcomes["order 200"] > 20

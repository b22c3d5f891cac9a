"""Tests of the settings samples under ``examples``."""

import os
import subprocess
import sys

import msgspec
import pytest

from snipelug_core import change, contract
from tests import deployment

SAMPLES = ("tas-north", "cantabrico")
SERVICES_WITH_KEY = {"tas-north": "ordering/orders", "cantabrico": "permits/issue"}


@pytest.mark.parametrize("name", SAMPLES)
def test_operations_are_valid(name: str) -> None:
    """Guards against samples that a node refuses, or that protect no orders."""
    data = (deployment.EXAMPLES / name / "operations.json").read_bytes()
    operations = msgspec.json.decode(data, type=change.Operations)
    cfg = change.apply_operations(contract.Config(), operations)
    sample = deployment.read_sample(name)
    assert len(cfg.contracts) == 10
    assert set(cfg.models) == {sample.model}
    for team, terms in cfg.contracts.items():
        key = deployment.bearer_key(team)
        assert contract.find_contract(cfg, key) == terms
        assert terms.models == (sample.model,)
        assert terms.services == (sample.service["name"],)
        assert SERVICES_WITH_KEY[name] in terms.require_key


@pytest.mark.parametrize("name", SAMPLES)
def test_node_settings_are_valid(name: str) -> None:
    """Guards against sample settings that a node does not start with."""
    lines = (deployment.EXAMPLES / name / "node.env").read_text().splitlines()
    pairs = [line.split("=", 1) for line in lines if not line.startswith("#")]
    variables = {key: value.strip('"') for key, value in pairs}
    command = [sys.executable, "-m", "snipelug_node.main", "--check"]
    done = subprocess.run(
        command,
        env=os.environ | variables,
        capture_output=True,
        text=True,
        check=False,
        timeout=30,
    )
    assert done.returncode == 0, done.stderr
    assert variables["SNIPELUG_ZONE"] in deployment.read_sample(name).zones

"""Tests of the sample settings under ``examples``."""

import functools
import os
import pathlib
import re
import signal
import subprocess
import sys

import msgspec
import pytest
import trio

from snipelug_core import change, contract
from snipelug_net import http_client
from tests import deployment

SERVE_TIMEOUT_S = 60.0
SAMPLES = ("tas-north", "cantabrico")
KEYED_SERVICES = {"tas-north": "ordering/orders", "cantabrico": "permits/issue"}


@pytest.mark.parametrize("name", SAMPLES)
def test_operations_are_valid(name: str) -> None:
    """Guards against samples that a node rejects or that require no idempotency key."""
    data = (deployment.EXAMPLES / name / "operations.json").read_bytes()
    operations = msgspec.json.decode(data, type=change.Operations)
    cfg = change.apply_operations(contract.Config(), operations)
    sample = deployment.read_sample(name)
    assert len(cfg.contracts) == 10
    assert set(cfg.models) == {sample.model}
    for team, team_contract in cfg.contracts.items():
        key = deployment.bearer_key(team)
        assert contract.find_contract(cfg, key) == team_contract
        assert team_contract.models == (sample.model,)
        assert team_contract.services == (sample.service["name"],)
        assert KEYED_SERVICES[name] in team_contract.require_key


@pytest.mark.parametrize("name", SAMPLES)
def test_node_settings_are_valid(name: str) -> None:
    """Guards against sample settings with which a node does not start."""
    rows = (deployment.EXAMPLES / name / "node.env").read_text().splitlines()
    pairs = [line.split("=", 1) for line in rows if not line.startswith("#")]
    variables = {key: value.strip('"') for key, value in pairs}
    command = [sys.executable, "-m", "snipelug_node.main", "--check"]
    result = subprocess.run(
        command,
        env=os.environ | variables,
        capture_output=True,
        text=True,
        check=False,
        timeout=30,
    )
    assert result.returncode == 0, result.stderr
    assert variables["SNIPELUG_ZONE"] in deployment.read_sample(name).zones


async def test_make_serve_runs_until_signal() -> None:
    """Guards against printed addresses that are not served, and leftover processes."""
    command = [sys.executable, "-m", "demo", "--stay"]
    cwd = pathlib.Path(__file__).parent.parent
    with trio.fail_after(SERVE_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            process: trio.Process = await nursery.start(
                functools.partial(
                    trio.run_process, command, stdout=subprocess.PIPE, cwd=cwd
                )
            )
            assert process.stdout is not None
            printed = b""
            while b"SNIPELUG_ADMIN_KEY" not in printed:
                printed += await process.stdout.receive_some()
            url = re.search(rb"NODE=http://127.0.0.1:(\d+)", printed)
            assert url is not None
            addr = ("127.0.0.1", int(url[1]))
            call = http_client.Call(addr, "GET", "/readyz", {}, timeout_s=5.0)
            answer = await http_client.Pool().fetch(call, 1024)
            assert isinstance(answer, http_client.FullResponse)
            assert answer.status == 200
            process.send_signal(signal.SIGINT)
            assert await process.wait() == 0
        with pytest.raises(OSError, match="connect"):
            await trio.open_tcp_stream(*addr)

"""Tests of the command that explains a request from log lines."""

import json
import pathlib

import pytest
import typer.testing

from snipelug_cli import calls, main

RUNNER = typer.testing.CliRunner()


def build_request(request_id: str, t: float, **changes: object) -> dict[str, object]:
    attempts = [
        {
            "upstream": "u1",
            "at_ms": 0.1,
            "cost_ms": 40.0,
            "candidates": 2,
            "running": 3,
            "result": "lost",
            "reason": "no answer in time",
        }
    ]
    base: dict[str, object] = {
        "t": t,
        "node": "n1",
        "event": "request",
        "id": request_id,
        "outcome": "failed",
        "reason": "no answer in time",
        "ms": 100.0,
        "attempts": attempts,
    }
    return base | changes


LINES: list[dict[str, object]] = [
    {"t": 9.5, "node": "n1", "event": "upstream_blocked", "upstream": "u1"},
    {"t": 9.6, "node": "n2", "event": "store_lost", "reason": "silence"},
    {"t": 1.0, "node": "n1", "event": "start"},
    build_request("aa", 10.0),
    build_request("bb", 10.1, outcome="refused", attempts=[], reason="none is free"),
    build_request("cc", 10.2, outcome="answered", first_ms=900.0, reason=""),
    build_request("dd", 10.3, outcome="left"),
    build_request("ee", 10.4, outcome="cut", reason="the node stopped"),
]


@pytest.fixture
def log_file(tmp_path: pathlib.Path) -> pathlib.Path:
    path = tmp_path / "n1.log"
    text = "\n".join(f"  9.1 node {json.dumps(line)}" for line in LINES)
    path.write_text(f"build output\n{text}\n" + '{"t": broken\n')
    return path


CASES = [
    ("aa", "Failed at u1 in attempt 1: no answer in time."),
    ("bb", "Refused before any upstream was asked after 0 attempts: none is free."),
    ("cc", "Answered by u1: first byte after 900.0 ms"),
    ("dd", "The caller left at u1 after 100.0 ms."),
    ("ee", "Cut at u1 after 100.0 ms: the node stopped."),
]


@pytest.mark.parametrize(("request_id", "verdict"), CASES)
def test_verdict(log_file: pathlib.Path, request_id: str, verdict: str) -> None:
    """Guards against a summary that states a different cause than the log."""
    result = RUNNER.invoke(main.app, ["explain", request_id, str(log_file)])
    assert result.exit_code == calls.ExitCode.DONE
    assert result.stdout.startswith(verdict)


def test_beliefs_are_recent_events_of_same_node(log_file: pathlib.Path) -> None:
    """Guards against including events of other nodes or long before the request."""
    result = RUNNER.invoke(main.app, ["explain", "aa", str(log_file), "--json"])
    found = json.loads(result.stdout)
    assert [line["event"] for line in found["beliefs"]] == ["upstream_blocked"]


def test_error_names_unknown_request_or_file(log_file: pathlib.Path) -> None:
    """Guards against empty output for an unknown request ID or file."""
    result = RUNNER.invoke(main.app, ["explain", "zz", str(log_file)])
    assert result.exit_code == calls.ExitCode.REFUSED
    assert "zz" in result.stderr
    missing = str(log_file.with_name("none.log"))
    result = RUNNER.invoke(main.app, ["explain", "aa", missing])
    assert result.exit_code == calls.ExitCode.INVALID
    assert "none.log" in result.stderr

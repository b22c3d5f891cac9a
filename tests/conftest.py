"""Passes over the tests that KNOWN-RED.txt lists, and prints them."""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
PREFIX = "test: "


def known_red() -> list[str]:
    """Return the ids of the tests that fail because of a known fault."""
    lines = KNOWN_RED.read_text().splitlines()
    return [line.removeprefix(PREFIX) for line in lines if line.startswith(PREFIX)]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Run listed tests without judging their outcome."""
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            reason = "listed in KNOWN-RED.txt"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests."""
    for name in known_red():
        terminalreporter.write_line(f"passed over, see KNOWN-RED.txt: {name}")

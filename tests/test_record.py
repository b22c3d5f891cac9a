"""Tests of the log: bounded, non-blocking, and without silent loss of lines."""

import json
import logging
import os

import pytest
import trio

from snipelug_net import lines
from snipelug_relay import record


def line(logger: logging.Logger, number: int) -> None:
    lines.event(logger, "request", id=f"{number:08x}", attempts=[{"upstream": "u"}])


def logger_for(buffer: record.Buffer) -> logging.Logger:
    logger = logging.Logger("snipelug.test")
    logger.addHandler(buffer)
    return logger


def test_stalled_reader_does_not_block_logging() -> None:
    """Guards against requests that wait for the reader of the log.

    While nobody reads the pipe, writes return at once and memory is bounded. The
    number of dropped lines is reported when reading resumes.
    """
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    buffer = record.Buffer("n1", writer)
    logger = logger_for(buffer)
    count = 5 * record.BUFFER_LINES
    for number in range(count):
        line(logger, number)
        buffer.write_out()
    assert buffer.dropped > 0
    received = b""
    os.set_blocking(reader, False)
    for _ in range(1_000):
        buffer.write_out()
        try:
            received += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
    line(logger, count)
    buffer.write_out()
    received += os.read(reader, 1 << 20)
    lines = [json.loads(text) for text in received.splitlines()]
    assert lines[-1]["dropped"] == count - (len(lines) - 1)
    os.close(reader)
    os.close(writer)


def test_closed_reader_does_not_end_the_process() -> None:
    """Guards against a process that exits because its log is closed."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.close(reader)
    buffer = record.Buffer("n1", writer)
    line(logger_for(buffer), 1)
    buffer.write_out()
    os.close(writer)


def test_lines_are_json_with_their_fields() -> None:
    """Guards against lines that programs cannot parse."""
    reader, writer = os.pipe()
    buffer = record.Buffer("n1", writer)
    logger = logger_for(buffer)
    try:
        raise ValueError("x")
    except ValueError:
        logger.exception("broken", extra={"odd": {1, 2}})
    buffer.write_out()
    found = json.loads(os.read(reader, 65536))
    assert found["event"] == "broken"
    assert found["node"] == "n1"
    assert "ValueError" in found["traceback"]
    os.close(reader)
    os.close(writer)


def test_routine_lines_are_bounded_and_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a log volume that grows with the load."""
    now = 0.0
    monkeypatch.setattr(record.time, "monotonic", lambda: now)
    sampler = record.Sampler(10.0)
    admitted = 0
    for tick in range(1_000):
        now = tick / 100
        admitted += sampler.admit()
    assert 100 <= admitted <= 111
    assert sampler.pop_left_out() == 1_000 - admitted
    assert sampler.pop_left_out() == 0


async def test_lines_are_written_while_the_node_runs(
    nursery: trio.Nursery,
) -> None:
    """Guards against lines that are only written when the process exits."""
    reader, writer = os.pipe()
    buffer = record.Buffer("n1", writer)
    nursery.start_soon(buffer.run)
    line(logger_for(buffer), 1)
    await trio.sleep(3 * record.FLUSH_S)
    os.set_blocking(reader, False)
    assert b"00000001" in os.read(reader, 65536)
    nursery.cancel_scope.cancel()

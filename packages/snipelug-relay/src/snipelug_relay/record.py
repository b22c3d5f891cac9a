"""Non-blocking JSON logging to standard output.

Lines that cannot be written at once are kept in a buffer of bounded size. Lines
that exceed it are dropped and counted; the next line contains the count.
"""

import collections
import logging
import os
import sys
import time

import trio

from snipelug_net import lines

BUFFER_LINES = 2_000
"""Maximum buffered lines, about 1 MB; the smallest machine has 128 MB of memory."""

FLUSH_S = 0.25
"""Interval between writes; batching saves system calls."""

ROUTINE_PER_S = 10.0
"""Maximum lines per second for requests answered in time; the rest are counted."""


class Buffer(logging.Handler):
    """Log handler that formats records and buffers them until they are written."""

    def __init__(self, node_id: str, fd: int) -> None:
        super().__init__()
        self._node_id = node_id
        self._fd = fd
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self.dropped = 0
        self._has_lines = trio.Event()

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer one line, or count it as dropped if the buffer is full."""
        if len(self._lines) >= BUFFER_LINES:
            self.dropped += 1
            return
        line: dict[str, object] = {
            "t": round(record.created, 3),
            "level": record.levelname.lower(),
            "node": self._node_id,
            "logger": record.name,
        }
        if self.dropped:
            line["dropped"] = self.dropped
            self.dropped = 0
        self._lines.append(lines.encode(record, line) + b"\n")
        self._has_lines.set()

    def write_out(self) -> None:
        """Write as many lines as possible without blocking."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = b"".join(self._lines)
                self._lines.clear()
            try:
                count = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The log has no reader any longer, so the error cannot be reported.
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[count:]

    async def run(self) -> None:
        """Write buffered lines until cancelled."""
        while True:
            await self._has_lines.wait()
            await trio.sleep(FLUSH_S)
            if not self._unwritten:
                self._has_lines = trio.Event()
            self.write_out()
            if self._unwritten:
                self._has_lines.set()


def setup(node_id: str, level: int = logging.INFO) -> Buffer:
    """Send all log records to standard output."""
    fd = sys.stdout.fileno()
    os.set_blocking(fd, False)
    buffer = Buffer(node_id, fd)
    root = logging.getLogger()
    root.handlers[:] = [buffer]
    root.setLevel(level)
    return buffer


class Sampler:
    """Limits the rate of routine log lines and counts those left out."""

    def __init__(self, per_s: float = ROUTINE_PER_S) -> None:
        self._per_s = per_s
        self._tokens = per_s
        self._refilled_at = time.monotonic()
        self.left_out = 0

    def admit(self) -> bool:
        """Return whether to write a routine line."""
        now = time.monotonic()
        self._tokens = min(
            self._per_s, self._tokens + self._per_s * (now - self._refilled_at)
        )
        self._refilled_at = now
        if self._tokens < 1.0:
            self.left_out += 1
            return False
        self._tokens -= 1.0
        return True

    def pop_left_out(self) -> int:
        """Return the number of lines left out since the last call."""
        count, self.left_out = self.left_out, 0
        return count

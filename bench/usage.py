"""Processor time, memory and network use of processes, read from /proc."""

import dataclasses
import os
import pathlib

PROC = pathlib.Path("/proc")
LOOPBACK = "lo:"
SENT_BYTES_FIELD = 9


@dataclasses.dataclass(frozen=True)
class Use:
    """Use of one process.

    Attributes
    ----------
    cpu_s : float
        Processor time since its start, in seconds.
    resident_bytes : int
        Resident memory, in bytes.
    """

    cpu_s: float
    resident_bytes: int


def read_use(pid: int) -> Use:
    """Read the use of a process."""
    text = (PROC / str(pid) / "stat").read_text()
    # The command name may contain spaces; the fields after it are numbered from 3.
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(fields[21])
    return Use(ticks / os.sysconf("SC_CLK_TCK"), pages * os.sysconf("SC_PAGE_SIZE"))


def read_loopback_bytes() -> int:
    """Return the bytes sent over the loopback device since the machine started."""
    for line in (PROC / "net" / "dev").read_text().splitlines():
        fields = line.split()
        if fields and fields[0] == LOOPBACK:
            return int(fields[SENT_BYTES_FIELD])
    raise RuntimeError("the machine has no loopback device")

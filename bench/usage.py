"""Processor time, memory and network use of processes, read from /proc."""

import collections.abc
import contextlib
import dataclasses
import os
import pathlib
import re
import socket
import struct

PROC = pathlib.Path("/proc")
SOCKET_LINK = re.compile(r"socket:\[(\d+)\]")

HEADER_BYTES = 66
"""Ethernet, IPv4 and TCP headers of one segment, with the time stamp option."""

# Numbers from linux/netlink.h, linux/sock_diag.h, linux/inet_diag.h, linux/tcp.h.
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
REQUEST_DUMP = 0x301
NLMSG_ERROR = 2
NLMSG_DONE = 3
INET_DIAG_INFO = 2
WANT_INFO = 1 << (INET_DIAG_INFO - 1)
ALL_STATES = 0xFFFFFFFF
HEAD_BYTES = 16
MESSAGE_BYTES = 72
INODE_OFFSET = 68
ATTRIBUTE_BYTES = 4
COUNTERS_OFFSET = 120
RECEIVE_BYTES = 1 << 20


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


def read_wire(pids: collections.abc.Iterable[int]) -> dict[int, int]:
    """Read the bytes that the open TCP connections of processes have carried.

    The counters of the loopback device would include all other processes of the
    machine.

    Returns
    -------
    dict of int to int
        Bytes by socket inode: payload of both directions and ``HEADER_BYTES`` for
        each segment.
    """
    wanted = {inode for pid in pids for inode in _inodes(pid)}
    return {inode: size for inode, size in _connections() if inode in wanted}


def _inodes(pid: int) -> collections.abc.Iterator[int]:
    for link in (PROC / str(pid) / "fd").iterdir():
        with contextlib.suppress(FileNotFoundError):
            found = SOCKET_LINK.fullmatch(os.readlink(link))
            if found:
                yield int(found[1])


def _connections() -> collections.abc.Iterator[tuple[int, int]]:
    """Ask the kernel for all TCP connections (``sock_diag(7)``)."""
    request = struct.pack(
        "=BBBBI48x", socket.AF_INET, socket.IPPROTO_TCP, WANT_INFO, 0, ALL_STATES
    )
    head = struct.pack(
        "=IHHII", HEAD_BYTES + len(request), SOCK_DIAG_BY_FAMILY, REQUEST_DUMP, 1, 0
    )
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG
    ) as netlink:
        netlink.send(head + request)
        while True:
            data = netlink.recv(RECEIVE_BYTES)
            while data:
                size, kind = struct.unpack_from("=IH", data)
                if kind == NLMSG_ERROR:
                    raise RuntimeError("the kernel refused to list TCP connections")
                if kind == NLMSG_DONE:
                    return
                yield from _read_message(data[HEAD_BYTES:size])
                data = data[_aligned(size) :]


def _read_message(message: bytes) -> collections.abc.Iterator[tuple[int, int]]:
    (inode,) = struct.unpack_from("=I", message, INODE_OFFSET)
    attributes = message[MESSAGE_BYTES:]
    while attributes:
        size, kind = struct.unpack_from("=HH", attributes)
        if kind == INET_DIAG_INFO:
            acked, received, out, into = struct.unpack_from(
                "=QQII", attributes, ATTRIBUTE_BYTES + COUNTERS_OFFSET
            )
            yield inode, acked + received + HEADER_BYTES * (out + into)
        attributes = attributes[_aligned(size) :]


def _aligned(size: int) -> int:
    return (size + 3) & ~3

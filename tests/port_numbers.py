"""Ports for processes and sockets of tests that cannot pick their own."""

import collections.abc
import itertools
import os
import socket

HOST = "127.0.0.1"
PORT_RANGE = range(20_000, 32_000)
"""Below the ports that the kernel gives to connections and to listeners on port 0."""

# Starts at a place that differs between test runs on one machine.
_PORTS = itertools.islice(
    itertools.cycle(PORT_RANGE), os.getpid() * 97 % len(PORT_RANGE), None
)


def free_ports(count: int, host: str = HOST) -> collections.abc.Sequence[int]:
    """Return ports of a host that are free now, for TCP and for UDP.

    No other socket gets one by chance, not even while its process restarts.
    """
    return list(itertools.islice((p for p in _PORTS if _is_free(host, p)), count))


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            if kind == socket.SOCK_STREAM:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True

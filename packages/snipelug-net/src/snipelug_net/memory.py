"""Bounds the memory that a server holds for its clients.

Uploads that stop short of their end hold memory until they time out, and a client that
doesn't read its response holds the rest of it. When the memory is used up, what is
dropped first is what has come least far: uploads that are incomplete before responses
that are not read, those of the peer that holds most before others, and the one that has
made no progress for longest.
"""

import collections
import collections.abc
import enum
import typing

DEFAULT_BYTES = 64 * 1024 * 1024
"""Memory for clients if the memory of the machine is not known."""

MACHINE_FRACTION = 0.2
"""Part of the machine's memory that is held for clients' bodies.

The rest is for the program, its state, connections, and copies of bodies in use.
"""

CONNECTION_BYTES = 40 * 1024
CONNECTIONS_FRACTION = 0.2
"""Memory of one connection, and part of the machine's memory for all of them."""

RESERVED_FILES = 200
CALLERS_FRACTION = 0.66
"""Descriptors that stay free for files, and part of the others that callers may use.

The rest is for upstreams, the platform's store and other nodes.
"""


def body_bytes(memory_bytes: int | None) -> int:
    """Return the memory for bodies on a machine, in bytes."""
    if memory_bytes is None:
        return DEFAULT_BYTES
    return int(MACHINE_FRACTION * memory_bytes)


def max_connections(
    memory_bytes: int | None, descriptors: int | None, default: int
) -> int:
    """Return how many connections of clients a machine bears, ``default`` at most."""
    limits = [default]
    if memory_bytes is not None:
        limits.append(int(CONNECTIONS_FRACTION * memory_bytes / CONNECTION_BYTES))
    if descriptors is not None:
        sockets = max(0, descriptors - RESERVED_FILES)
        limits.append(int(CALLERS_FRACTION * sockets))
    return max(1, min(limits))


class Use(enum.IntEnum):
    """What a holder needs its memory for; lower ones are dropped first."""

    INCOMPLETE_REQUEST = 0
    UNREAD_RESPONSE = 1
    REQUEST = 2
    """A complete request, which is not dropped."""


class Holder(typing.Protocol):
    """Something that holds memory for a client.

    Attributes
    ----------
    peer : str
        Address of the client.
    active_at : float
        Monotonic time of its last progress, in seconds.
    use : Use
        What it needs the memory for.
    """

    peer: str
    active_at: float
    use: Use

    def drop(self) -> None:
        """Give the memory up soon; called once."""
        ...


class Budget:
    """Memory that all holders share.

    Parameters
    ----------
    limit_bytes : int
        Total size in bytes.
    """

    def __init__(self, limit_bytes: int = DEFAULT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._held: dict[Holder, int] = {}

    def charge(self, holder: Holder, size: int) -> bool:
        """Add to what a holder holds, and drop others if that is too much.

        Returns
        -------
        bool
            Whether the holder may go on. A holder that is alone always may.
        """
        self._held[holder] = self._held.get(holder, 0) + size
        self.used_bytes += size
        while self.used_bytes > self.limit_bytes and len(self._held) > 1:
            victim = self._find_victim()
            if victim is None:
                self.release(holder)
                return False
            self.release(victim)
            victim.drop()
            if victim is holder:
                return False
        return True

    def release(self, holder: Holder) -> None:
        """Remove all that a holder holds."""
        self.used_bytes -= self._held.pop(holder, 0)

    def _find_victim(self) -> Holder | None:
        """Return the holder to drop, or None if none may be dropped."""
        found = [item for item in self._held if item.use is not Use.REQUEST]
        if not found:
            return None
        least = min(item.use for item in found)
        found = [item for item in found if item.use is least]
        by_peer: collections.Counter[str] = collections.Counter()
        for item in found:
            by_peer[item.peer] += self._held[item]
        greediest = max(by_peer, key=lambda peer: by_peer[peer])
        return min(
            (item for item in found if item.peer == greediest),
            key=lambda item: item.active_at,
        )

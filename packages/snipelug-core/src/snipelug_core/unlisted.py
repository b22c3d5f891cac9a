"""Finds the addresses of connections whose upstreams have left the list."""

import collections.abc

from snipelug_core import restore

Address = tuple[str, int]

KEEP_S = restore.RESTORE_GRACE_S + 1.0
"""Time after which connections to an address that is not listed are closed.

An entry that vanishes for a moment, or is withheld after a restore of the store, is
back before, and its connections are used again.
"""


class Unlisted:
    """The addresses that are connected and not listed, with the time since when."""

    def __init__(self) -> None:
        self._since: dict[Address, float] = {}

    def update(
        self,
        connected: collections.abc.Iterable[Address],
        listed: collections.abc.Container[Address],
        now: float,
    ) -> list[Address]:
        """Return the connected addresses that have not been listed for ``KEEP_S``.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        self._since = {
            addr: self._since.get(addr, now) for addr in connected if addr not in listed
        }
        return [addr for addr, at in self._since.items() if now - at >= KEEP_S]

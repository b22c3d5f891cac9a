"""Links of limited bandwidth."""

import math

import trio


class Link:
    """A link that carries one transfer after the other.

    Parameters
    ----------
    bytes_per_s : float
        Bandwidth; 0 for unlimited.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s or math.inf
        self.slowdown = 1.0
        self.carried_bytes = 0
        self._lock = trio.Lock()

    async def carry(self, size_bytes: int) -> None:
        """Wait as long as the transfer takes."""
        async with self._lock:
            await trio.sleep(size_bytes / self.bytes_per_s * self.slowdown)
        self.carried_bytes += size_bytes

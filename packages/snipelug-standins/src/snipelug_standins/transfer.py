"""Links of limited bandwidth."""

import math

import trio


class Link:
    """A link that runs its transfers one at a time.

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

    async def transfer(self, size_bytes: int) -> None:
        """Wait for the duration of a transfer."""
        async with self._lock:
            await trio.sleep(size_bytes / self.bytes_per_s * self.slowdown)
        self.carried_bytes += size_bytes

"""Running batch of an engine and the queue in front of it."""

import heapq
import itertools

import trio


class Batch:
    """Slots for running requests, handed out by priority, then by arrival.

    Parameters
    ----------
    size : int
        Most requests running at once.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.running = 0
        self._waiting: list[tuple[int, int, trio.Event]] = []
        self._numbers = itertools.count()

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._waiting)

    async def acquire(self, priority: int) -> None:
        """Wait for a slot; lower priorities go first."""
        if self.running < self.size and not self._waiting:
            self.running += 1
            return
        entry = (priority, next(self._numbers), trio.Event())
        heapq.heappush(self._waiting, entry)
        try:
            await entry[2].wait()
        except trio.Cancelled:
            self._give_up(entry)
            raise

    def release(self) -> None:
        """Hand the slot to the first waiting request."""
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
            return
        self.running -= 1

    def _give_up(self, entry: tuple[int, int, trio.Event]) -> None:
        if entry[2].is_set():
            self.release()
            return
        self._waiting.remove(entry)
        heapq.heapify(self._waiting)

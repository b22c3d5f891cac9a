"""Running batch of an engine, and its queue of waiting requests."""

import heapq
import itertools

import trio


class Batch:
    """Slots for running requests, assigned by priority, then in order of arrival.

    Parameters
    ----------
    capacity : int
        Maximum number of requests that run concurrently.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.running = 0
        self._waiting: list[tuple[int, int, trio.Event]] = []
        self._numbers = itertools.count()

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._waiting)

    async def acquire(self, priority: int) -> None:
        """Wait for a slot; lower priority values go first."""
        if self.running < self.capacity and not self._waiting:
            self.running += 1
            return
        entry = (priority, next(self._numbers), trio.Event())
        heapq.heappush(self._waiting, entry)
        try:
            await entry[2].wait()
        except trio.Cancelled:
            self._cancel_wait(entry)
            raise

    def release(self) -> None:
        """Release a slot, to the first waiting request if there is one."""
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
            return
        self.running -= 1

    def _cancel_wait(self, entry: tuple[int, int, trio.Event]) -> None:
        if entry[2].is_set():
            self.release()
            return
        self._waiting.remove(entry)
        heapq.heapify(self._waiting)

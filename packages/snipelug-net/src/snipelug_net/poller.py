"""An epoll loop that reads the sockets of many streams in one task."""

import collections.abc
import contextlib
import dataclasses
import select

import trio

READS_PER_CHECKPOINT = 32
"""Reads after which a pass yields to other tasks; a read and its write take 50 us."""

OnReadable = collections.abc.Callable[[], bool]
"""Reads a socket without blocking; returns whether to keep watching it."""

NextPassAt = collections.abc.Callable[[float, int], float]
"""Returns the earliest start of the next pass, from the start and reads of the last."""


@dataclasses.dataclass(slots=True)
class _Watch:
    task: trio.lowlevel.Task
    on_readable: OnReadable
    exc: Exception | None = None


class Poller:
    """Read sockets in passes, so that a chunk costs no task switch.

    Each pass calls the callbacks of all readable sockets. A socket is registered
    once per stream, not once per chunk.

    Parameters
    ----------
    next_pass_at : NextPassAt
        Spaces out the passes, so that one pass reads several sockets.
    """

    def __init__(self, next_pass_at: NextPassAt) -> None:
        self.next_pass_at = next_pass_at
        self._epoll = select.epoll()
        self._watches: dict[int, _Watch] = {}

    async def run(self) -> None:
        """Run passes until cancelled."""
        try:
            while True:
                ready = self._epoll.poll(0, max(1, len(self._watches)))
                if not ready:
                    await trio.lowlevel.wait_readable(self._epoll.fileno())
                    continue
                started_at = trio.current_time()
                await self._run_pass(ready)
                await trio.sleep_until(self.next_pass_at(started_at, len(ready)))
        finally:
            trio.lowlevel.notify_closing(self._epoll.fileno())
            self._epoll.close()

    async def watch(self, fd: int, on_readable: OnReadable) -> None:
        """Read a socket in each pass until its callback returns False.

        Parameters
        ----------
        fd : int
            Socket; ``unwatch`` must be called before another task closes it.
        on_readable : OnReadable
            Must not block. Its exceptions are raised here.
        """
        watch = _Watch(trio.lowlevel.current_task(), on_readable)
        self._epoll.register(fd, select.EPOLLIN)
        self._watches[fd] = watch

        def abort(_: trio.lowlevel.RaiseCancelT) -> trio.lowlevel.Abort:
            self._remove(fd)
            return trio.lowlevel.Abort.SUCCEEDED

        await trio.lowlevel.wait_task_rescheduled(abort)
        if watch.exc is not None:
            raise watch.exc

    def unwatch(self, fd: int) -> None:
        """Stop watching a socket; do nothing if it is not watched."""
        if fd in self._watches:
            trio.lowlevel.reschedule(self._remove(fd).task)

    def _remove(self, fd: int) -> _Watch:
        # A callback that finds its connection broken closes it, which unregisters it.
        with contextlib.suppress(OSError):
            self._epoll.unregister(fd)
        return self._watches.pop(fd)

    async def _run_pass(self, ready: list[tuple[int, int]]) -> None:
        for number, (fd, _) in enumerate(ready, 1):
            watch = self._watches.get(fd)
            if watch is not None and not _call_reader(watch):
                trio.lowlevel.reschedule(self._remove(fd).task)
            if number % READS_PER_CHECKPOINT == 0:
                await trio.lowlevel.checkpoint()


def _call_reader(watch: _Watch) -> bool:
    try:
        return watch.on_readable()
    except Exception as exc:
        # An error in one stream must not end the task that reads all of them.
        watch.exc = exc
        return False

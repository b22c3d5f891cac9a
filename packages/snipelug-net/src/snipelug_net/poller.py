"""One task that reads the sockets of many streams."""

import collections.abc
import contextlib
import dataclasses
import select

import trio

YIELD_AFTER = 32
"""Reads of one pass after which other tasks run; a read and its write take 50 us."""

OnReadable = collections.abc.Callable[[], bool]
"""Reads a socket without waiting; returns whether the socket is followed further."""

NextPassAt = collections.abc.Callable[[float, int], float]
"""Returns when the next pass may begin, from the start and reads of the last one."""


@dataclasses.dataclass(slots=True)
class _Watch:
    task: trio.lowlevel.Task
    on_readable: OnReadable
    exc: Exception | None = None


class Poller:
    """Read sockets in passes, so that a chunk costs no switch of tasks.

    Each pass calls the followers of all sockets that are readable. The sockets
    are registered once per stream and not once per chunk.

    Parameters
    ----------
    next_pass_at : NextPassAt
        Time between passes, in which more sockets become readable.
    """

    def __init__(self, next_pass_at: NextPassAt) -> None:
        self.next_pass_at = next_pass_at
        self._epoll = select.epoll()
        self._watches: dict[int, _Watch] = {}

    async def run(self) -> None:
        """Read until cancelled."""
        try:
            while True:
                ready = self._epoll.poll(0, max(1, len(self._watches)))
                if not ready:
                    await trio.lowlevel.wait_readable(self._epoll.fileno())
                    continue
                begun_at = trio.current_time()
                await self._pass(ready)
                await trio.sleep_until(self.next_pass_at(begun_at, len(ready)))
        finally:
            trio.lowlevel.notify_closing(self._epoll.fileno())
            self._epoll.close()

    async def watch(self, fd: int, on_readable: OnReadable) -> None:
        """Have a socket read in each pass until its reader returns False.

        Parameters
        ----------
        fd : int
            Socket; ``stop`` must be called before another task closes it.
        on_readable : OnReadable
            Must not wait. What it raises is raised here.
        """
        watch = _Watch(trio.lowlevel.current_task(), on_readable)
        self._epoll.register(fd, select.EPOLLIN)
        self._watches[fd] = watch

        def abort(_: trio.lowlevel.RaiseCancelT) -> trio.lowlevel.Abort:
            self._drop(fd)
            return trio.lowlevel.Abort.SUCCEEDED

        await trio.lowlevel.wait_task_rescheduled(abort)
        if watch.exc is not None:
            raise watch.exc

    def unwatch(self, fd: int) -> None:
        """End the following of a socket, if it is followed."""
        if fd in self._watches:
            trio.lowlevel.reschedule(self._drop(fd).task)

    def _drop(self, fd: int) -> _Watch:
        # A reader that finds its connection broken closes it, which unregisters it.
        with contextlib.suppress(OSError):
            self._epoll.unregister(fd)
        return self._watches.pop(fd)

    async def _pass(self, ready: list[tuple[int, int]]) -> None:
        for number, (fd, _) in enumerate(ready, 1):
            watch = self._watches.get(fd)
            if watch is not None and not _read(watch):
                trio.lowlevel.reschedule(self._drop(fd).task)
            if number % YIELD_AFTER == 0:
                await trio.lowlevel.checkpoint()


def _read(watch: _Watch) -> bool:
    try:
        return watch.on_readable()
    except Exception as exc:
        # The fault of one stream must not end the task that reads all.
        watch.exc = exc
        return False

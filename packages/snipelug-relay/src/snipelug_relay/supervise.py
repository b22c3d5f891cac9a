"""Restarts the background tasks of a node after unexpected errors.

All tasks share one nursery, in which an unhandled error would cancel the others and
end the process with all its requests.
"""

import collections.abc
import logging

import trio

from snipelug_relay import stats

LOG = logging.getLogger("snipelug.supervise")

RESTART_PAUSE_S = 0.5
"""Pause before a failed task is restarted, which bounds the log volume."""

Task = collections.abc.Callable[[], collections.abc.Awaitable[None]]

Handler = collections.abc.Callable[[], None]


def call_each(handlers: dict[str, Handler], metrics: stats.Stats) -> None:
    """Call all handlers; log the errors of those that fail.

    Parameters
    ----------
    handlers : dict of str to Handler
        Handlers by the names that log lines and metrics give them.
    """
    for name, handler in handlers.items():
        try:
            handler()
        except Exception as exc:
            _log_failure(name, metrics, exc)


def _log_failure(name: str, metrics: stats.Stats, exc: Exception) -> None:
    metrics.task_failures.labels(name).inc()
    LOG.error("task_failed", extra={"task": name}, exc_info=exc)


async def run(task: Task, name: str, metrics: stats.Stats) -> None:
    """Run a task until it returns or is cancelled; restart it when it fails.

    Parameters
    ----------
    name : str
        Name of the task in log lines and metrics.
    """
    while True:
        has_failed = False
        try:
            await task()
        # Errors of a task's own nursery arrive in an exception group.
        except* Exception as group:
            has_failed = True
            _log_failure(name, metrics, group)
        if not has_failed:
            return
        await trio.sleep(RESTART_PAUSE_S)

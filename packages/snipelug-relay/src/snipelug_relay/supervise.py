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
            metrics.task_failures.labels(name).inc()
            LOG.error("task_failed", extra={"task": name}, exc_info=group)
        if not has_failed:
            return
        await trio.sleep(RESTART_PAUSE_S)

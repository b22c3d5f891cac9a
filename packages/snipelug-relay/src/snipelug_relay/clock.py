"""The monotonic clock of the relay."""

import time


def now() -> float:
    """Return a monotonic time in seconds that includes suspension of the machine.

    The state of a node that was suspended thus has its actual age.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)

"""The clock of all decisions of the relay."""

import time


def now() -> float:
    """Return a steady time in seconds that also counts while the machine sleeps.

    What a node believed before it was suspended is then as old as it is.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)

"""Tells whether an entry that vanished from the list may have expired in an outage.

While the platform's store is away, upstreams cannot refresh their entries. A node can
only suspect this from a gap in its own knowledge of the list. The gap of another node,
which may have been suspended or cut off alone, says nothing about the store.
"""

import math

MIN_GAP_S = 2.0
"""Shortest gap in which an entry may have expired.

Upstreams write every 1.2 s, and the store removes an entry after three such intervals
without a write, so an outage lasts at least for two of them before an entry expires.
"""

KEEP_S = 2.2
"""Time after a gap for which vanished entries are kept; they return within 2 s."""


class Continuity:
    """The time for which a node has known the list without a gap.

    Parameters
    ----------
    now : float
        Monotonic time, in seconds.
    max_age_s : float
        Usual maximum age of the list at this node, in seconds.

    Attributes
    ----------
    keeps_until : float
        Monotonic time until which vanished entries are kept, in seconds.
    """

    def __init__(self, now: float, max_age_s: float) -> None:
        self.keeps_until = -math.inf
        self._min_gap_s = max(MIN_GAP_S, max_age_s)
        self._current_at = now

    def record_current(self, read_at: float, now: float) -> None:
        """Record that a read or an announcement brought the list up to date.

        Parameters
        ----------
        read_at : float
            Earliest time at which the store can have been read, in seconds. An
            announcement may have waited at a node that was suspended.
        """
        if now - self._current_at > self._min_gap_s:
            self.keeps_until = now + KEEP_S
        self._current_at = max(self._current_at, min(read_at, now))

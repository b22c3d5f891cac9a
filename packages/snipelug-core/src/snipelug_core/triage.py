"""Who yields when a service has too little room: requests that cost callers least.

The load is one in which requests of several priorities compete for the same engines,
at times for more than these can do. Each request alone looks too late or not; this
module tells how urgent it is among those that compete, and whether more urgent ones
are turned away. A less urgent one then has to expect a shorter wait to be sent. One
priority alone, or enough room, changes nothing.
"""

import collections
import dataclasses
import math

WINDOW_S = 2.0
"""Time constant of what is remembered; overloads change within seconds."""

MIN_REQUESTS = 1.0
"""Recent requests of a priority, decayed, below which it does not compete."""


@dataclasses.dataclass(frozen=True)
class Stance:
    """How a request stands among those that compete with it.

    Attributes
    ----------
    urgency : float
        1 for the most urgent ones, 0 for the least urgent ones, 0.5 if all are alike.
    pressure : float
        Part of the more urgent requests that were turned away lately, from 0 to 1.
    """

    urgency: float = 0.5
    pressure: float = 0.0


NEUTRAL = Stance()


class _Recent:
    """Decayed numbers of requests of one priority, and of those turned away."""

    def __init__(self) -> None:
        self.requests = 0.0
        self.refused = 0.0
        self._at = -math.inf

    def decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self._at) / WINDOW_S)
        self.requests *= factor
        self.refused *= factor
        self._at = max(now, self._at)


class Competition:
    """Recent requests for one service at one node, by priority."""

    def __init__(self) -> None:
        self._recent: dict[int, _Recent] = collections.defaultdict(_Recent)

    def record(self, priority: int, is_refused: bool, now: float) -> None:
        """Count a request that was sent, or turned away for want of room.

        Parameters
        ----------
        priority : int
            Priority of the request; 0 is the highest.
        """
        found = self._recent[priority]
        found.decay(now)
        found.requests += 1.0
        found.refused += float(is_refused)

    def stance(self, priority: int, now: float) -> Stance:
        """Return how a request of a priority stands now."""
        for item in self._recent.values():
            item.decay(now)
        others = {
            other: item
            for other, item in self._recent.items()
            if other != priority and item.requests >= MIN_REQUESTS
        }
        before = [item for other, item in others.items() if other < priority]
        if not others:
            return NEUTRAL
        requests = sum(item.requests for item in before)
        refused = sum(item.refused for item in before)
        urgency = 1.0 - len(before) / len(others)
        return Stance(urgency, refused / requests if requests else 0.0)

"""How slowly one upstream works, compared with the others of its service.

The load is one on servers that share their machines with others: they state in their
responses how long work takes, servers of one service differ by a third, and each is at
times 2.5 times as slow for half a second. With one speed for all, prompts and plain
requests went to slow servers as often as to fast ones.
"""

import dataclasses
import math

USUAL = 1.0
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 4.0
"""Range of what a report may tell; a wrong one does not exclude an upstream."""

FADE_S = 0.5
"""Time after which a third of the latest report counts, and the mean for the rest."""

MEAN_WINDOW_S = 5.0
"""Time constant of the mean of an upstream's reports."""

SILENCE_S = 30.0
"""Time constant with which an upstream without reports counts as usual again."""

MAX_SURPRISE = 2.0
"""Maximum slowness as a multiple of what responses show.

An upstream may state that it is slow while it responds as quickly as others.
"""

SHOWN_WEIGHT = 0.2
"""Weight of the latest response in what responses show."""


@dataclasses.dataclass
class Slowness:
    """Slowness of one upstream; 1 is as usual, 2 takes twice as long.

    Attributes
    ----------
    at : float
        Monotonic time of the latest report, in seconds.
    shown : float
        Mean of real times to a response as multiples of those expected as usual.
    """

    latest: float = USUAL
    mean: float = USUAL
    at: float = -math.inf
    shown: float = MAX_SLOWNESS

    def record(self, value: float, now: float) -> None:
        """Add a report; newer ones must follow older ones."""
        if not math.isfinite(value) or now < self.at:
            return
        value = min(max(MIN_SLOWNESS, value), MAX_SLOWNESS)
        weight = 1.0 - math.exp(-(now - self.at) / MEAN_WINDOW_S)
        self.mean += weight * (value - self.mean)
        self.latest, self.at = value, now

    def record_response(self, ratio: float) -> None:
        """Add the time to a response as a multiple of that expected as usual."""
        if math.isfinite(ratio):
            ratio = min(max(0.0, ratio), 2 * MAX_SLOWNESS)
            self.shown += SHOWN_WEIGHT * (ratio - self.shown)

    def value_at(self, now: float) -> float:
        """Return the expected slowness."""
        if self.at == -math.inf:
            return USUAL
        age_s = max(0.0, now - self.at)
        mean = USUAL + (self.mean - USUAL) * math.exp(-age_s / SILENCE_S)
        value = mean + (self.latest - mean) * math.exp(-age_s / FADE_S)
        return min(value, max(USUAL, MAX_SURPRISE * self.shown))

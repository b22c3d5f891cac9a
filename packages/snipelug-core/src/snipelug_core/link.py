"""Paths from stores to engines, and the wait on them."""

import dataclasses
import math

LINK_DECAY_S = 5.0
LINK_LEARNING = 0.3
"""Weight of the newest import in the estimate of a link's wait."""


@dataclasses.dataclass(frozen=True)
class Link:
    """The path from a store to the engines of a zone.

    Attributes
    ----------
    free_bytes_per_s : float
        Rate not used by other transfers, in bytes per second.
    latency_s : float
        Time before the first byte, in seconds.
    """

    free_bytes_per_s: float
    latency_s: float = 0.0


class LinkWaitEstimator:
    """Estimate the wait on a link from the imports that used it.

    The rate left over by other traffic says too little: exports are spread out and
    fill the link only when no read waits. What a read loses is the time that it
    queues. Nodes tell each other the transfers that they have pending; what waits
    beyond these, this node's imports show. Without new imports the estimate
    decays, so that a link that was slow once is tried again.
    """

    def __init__(self, decay_s: float = LINK_DECAY_S) -> None:
        self.decay_s = decay_s
        self._wait_s = 0.0
        self._at = 0.0

    def note(
        self,
        rate_bytes_per_s: float,
        size_bytes: float,
        took_s: float,
        now: float,
        pending_s: float = 0.0,
    ) -> None:
        """Note an import.

        Parameters
        ----------
        rate_bytes_per_s : float
            Rate of the idle link, as the store's status tells it.
        size_bytes : float
            Bytes imported.
        took_s : float
            Duration, in seconds.
        now : float
            Time in seconds.
        pending_s : float
            Part of the wait that was expected when the import started, from the
            transfers that nodes had told each other.
        """
        seen_s = max(0.0, took_s - size_bytes / rate_bytes_per_s - pending_s)
        known_s = self.wait_s(now)
        self._wait_s = known_s + LINK_LEARNING * (seen_s - known_s)
        self._at = now

    def wait_s(self, now: float) -> float:
        """Return the expected wait of an import, in seconds."""
        return self._wait_s * math.exp(-max(0.0, now - self._at) / self.decay_s)

    def link(self, rate_bytes_per_s: float, delay_s: float, now: float) -> Link:
        """Return the link as a decision sees it."""
        return Link(rate_bytes_per_s, delay_s + self.wait_s(now))

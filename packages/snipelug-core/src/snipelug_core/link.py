"""Links from KV cache stores to engines, and estimates of the wait on them."""

import dataclasses
import math

LINK_DECAY_S = 5.0
LINK_SMOOTHING_FACTOR = 0.3
"""Weight of the latest import in the moving average of a link's wait."""


@dataclasses.dataclass(frozen=True)
class Link:
    """Link from a KV cache store to the engines of a zone.

    Attributes
    ----------
    free_bytes_per_s : float
        Bandwidth not used by other transfers, in bytes per second.
    latency_s : float
        Time before the first byte, in seconds.
    """

    free_bytes_per_s: float
    latency_s: float = 0.0


class LinkWaitEstimator:
    """Estimate the wait on a link from the imports that used it.

    Unused bandwidth is a poor measure: exports are spread over time and fill the link
    only when no read waits, so reads lose time only in the queue. Nodes report their
    pending transfers to each other; this estimate covers the wait beyond those, as
    measured on this node's imports. It decays without new imports, so that a link
    that was slow once is tried again.
    """

    def __init__(self, decay_s: float = LINK_DECAY_S) -> None:
        self.decay_s = decay_s
        self._wait_s = 0.0
        self._updated_at = 0.0

    def note(
        self,
        rate_bytes_per_s: float,
        size_bytes: float,
        elapsed_s: float,
        now: float,
        pending_s: float = 0.0,
    ) -> None:
        """Update the estimate with a finished import.

        Parameters
        ----------
        rate_bytes_per_s : float
            Bandwidth of the idle link according to the store's status.
        size_bytes : float
            Number of bytes imported.
        elapsed_s : float
            Duration of the import, in seconds.
        now : float
            Time in seconds.
        pending_s : float
            Wait that was expected when the import started, from the pending transfers
            that nodes had reported to each other.
        """
        observed_s = max(0.0, elapsed_s - size_bytes / rate_bytes_per_s - pending_s)
        previous_s = self.wait_s(now)
        self._wait_s = previous_s + LINK_SMOOTHING_FACTOR * (observed_s - previous_s)
        self._updated_at = now

    def wait_s(self, now: float) -> float:
        """Return the expected wait of a new import, in seconds."""
        return self._wait_s * math.exp(-max(0.0, now - self._updated_at) / self.decay_s)

    def link(self, rate_bytes_per_s: float, delay_s: float, now: float) -> Link:
        """Return the link with its expected wait as part of the latency."""
        return Link(rate_bytes_per_s, delay_s + self.wait_s(now))

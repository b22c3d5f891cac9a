"""Learns from responses how long prompts wait at the engines of a service.

An engine reports how many requests run and wait there, not how long these take. Some
services mostly get short prompts that take 10 ms each, others long ones that take
200 ms. With a fixed time per request, the expected wait was a sixth of the real one
where prompts are long: overloaded engines got more prompts, each was answered late, and
many were abandoned and computed again elsewhere.
"""

import collections
import dataclasses
import math
import statistics

QUEUED_REQUEST_S = 0.03
"""Expected wait per queued request, until prompts of the service have been sent."""

PREFILL_WINDOW_REQUESTS = 50.0
"""Number of recent prompts over which the mean prefill time is taken."""

SAMPLE_MAX_AGE_S = 4.0
MAX_SAMPLES = 32
"""Age and number of the responses from which the scale is learned."""

CONFIDENCE_SAMPLES = 4.0
"""Number of responses at which half of their deviation from 1 counts."""

MIN_WAIT_S = 0.1
"""Expected waits below this one do not count as shorter.

Their ratios to the real waits say little, as network delays and batch steps dominate.
"""

MAX_SCALE = 6.0


@dataclasses.dataclass(frozen=True)
class WaitSample:
    """Real wait of one prompt as a multiple of the expected wait."""

    at: float
    ratio: float


class WaitModel:
    """Waiting time at the engines of one service, as one node observes it.

    Engines start urgent prompts first, so each priority has a scale of its own.
    """

    def __init__(self) -> None:
        self._prefill_s = 0.0
        self._count = 0
        self._samples: dict[int, collections.deque[WaitSample]] = (
            collections.defaultdict(lambda: collections.deque(maxlen=MAX_SAMPLES))
        )

    def record_sent(self, prefill_s: float) -> None:
        """Add the expected prefill time of a prompt that is sent, in seconds."""
        self._count += 1
        weight = 1.0 / min(self._count, PREFILL_WINDOW_REQUESTS)
        self._prefill_s += weight * (prefill_s - self._prefill_s)

    def record_wait(
        self, priority: int, expected_s: float, waited_s: float, now: float
    ) -> None:
        """Add the real wait of a prompt, or the time after which it was abandoned.

        Parameters
        ----------
        priority : int
            Priority of the prompt; 0 is the highest.
        expected_s : float
            Wait that was expected with a scale of 1, in seconds.
        """
        ratio = waited_s / max(expected_s, MIN_WAIT_S)
        if math.isfinite(ratio):
            self._samples[priority].append(WaitSample(now, ratio))

    @property
    def request_s(self) -> float:
        """Expected wait for each request that is queued at an engine, in seconds."""
        return max(QUEUED_REQUEST_S, self._prefill_s)

    def scale(self, priority: int, now: float) -> float:
        """Return by which factor real waits exceed the expected ones.

        The median ignores engines that have failed, at which prompts wait in vain.
        """
        samples = self._samples[priority]
        while samples and now - samples[0].at > SAMPLE_MAX_AGE_S:
            samples.popleft()
        if not samples:
            return 1.0
        ratio = statistics.median(sample.ratio for sample in samples)
        count = len(samples)
        excess = (ratio - 1.0) * count / (count + CONFIDENCE_SAMPLES)
        return min(MAX_SCALE, max(1.0, 1.0 + excess))

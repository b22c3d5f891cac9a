"""Learns from responses how fast the upstreams of a service work.

Engines of different services read from 50 to 110 prompt tokens in a millisecond, and
plain services take from 20 to 70 ms. With one figure for all, prompts that an engine
reads in half of the expected time were refused as too late. Waiting only makes a
response slower, so the faster ones among the recent responses tell the speed.
"""

import collections
import math

PREFILL_TOKENS_PER_S = 50_000.0
"""Prefill speed of engines, until enough responses have been seen."""

MIN_TOKENS_PER_S = 10_000.0
MAX_TOKENS_PER_S = 400_000.0
"""Range of prefill speeds; the figures of known engines are from 50,000 to 112,000."""

PLAIN_SERVICE_S = 0.03
"""Processing time at a plain service, until enough responses have been seen."""

MIN_PLAIN_S = 0.001
MAX_PLAIN_S = 1.0
MIN_PROMPT_TOKENS = 1_500
"""Prompts with fewer tokens to read tell little, as other delays dominate."""

MIN_READ_FRACTION = 0.2
"""Least part of the time to the first token that counts as reading."""

FAST_FRACTION = 0.75
"""Part of the recent responses that are slower than the learned speed."""

MIN_SAMPLES = 8
MAX_SAMPLES = 32
MAX_AGE_S = 30.0
"""Number and age of the responses from which a speed is learned."""


class _Recent:
    """Recent values with their times."""

    def __init__(self) -> None:
        self._values: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=MAX_SAMPLES
        )

    def add(self, value: float, now: float) -> None:
        if math.isfinite(value):
            self._values.append((now, value))

    def quantile(self, fraction: float, now: float) -> float | None:
        """Return a quantile of the values, or None if there are too few."""
        while self._values and now - self._values[0][0] > MAX_AGE_S:
            self._values.popleft()
        if len(self._values) < MIN_SAMPLES:
            return None
        ordered = sorted(value for _, value in self._values)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


class SpeedModel:
    """Speed of the upstreams of one service, as one node observes it."""

    def __init__(self) -> None:
        self._prefill = _Recent()
        self._plain = _Recent()

    def record_prompt(
        self, tokens: int, first_s: float, other_s: float, now: float
    ) -> None:
        """Add the response to a prompt.

        Parameters
        ----------
        tokens : int
            Tokens that the engine had to read.
        first_s : float
            Time to the first event, in seconds.
        other_s : float
            Part of it that was expected for transfers and attention, in seconds.
        """
        if tokens < MIN_PROMPT_TOKENS or first_s <= 0:
            return
        read_s = max(MIN_READ_FRACTION * first_s, first_s - other_s)
        self._prefill.add(tokens / read_s, now)

    def record_plain(self, response_s: float, now: float) -> None:
        """Add the response of a plain service."""
        self._plain.add(response_s, now)

    def prefill_tokens_per_s(self, now: float) -> float:
        """Return the speed at which engines read prompts."""
        found = self._prefill.quantile(FAST_FRACTION, now)
        if found is None:
            return PREFILL_TOKENS_PER_S
        return min(max(MIN_TOKENS_PER_S, found), MAX_TOKENS_PER_S)

    def plain_s(self, now: float) -> float:
        """Return the processing time of a request at a plain service, in seconds."""
        found = self._plain.quantile(1.0 - FAST_FRACTION, now)
        if found is None:
            return PLAIN_SERVICE_S
        return min(max(MIN_PLAIN_S, found), MAX_PLAIN_S)

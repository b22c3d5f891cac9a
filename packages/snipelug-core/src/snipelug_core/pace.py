"""Moving averages of engine speed, estimated from finished requests."""

import dataclasses

SAMPLE_WEIGHT = 0.1
"""Weight of a new sample in the exponential moving averages."""

MIN_PREFILL_TOKENS = 1024
"""Minimum prefill used as a sample.

The duration of shorter prefills depends more on scheduling than on the engine's rate.
"""

MIN_PREFILL_S = 1e-7
MAX_PREFILL_S = 1e-2
MIN_SERVICE_S = 1e-3
MAX_SERVICE_S = 600.0


@dataclasses.dataclass
class Pace:
    """Moving averages for the engines of one model.

    Attributes
    ----------
    prefill_s : float
        Prefill time per token, in seconds.
    service_s : float
        Time that a request occupies a slot, in seconds.
    """

    prefill_s: float = 1e-5
    service_s: float = 1.0


@dataclasses.dataclass(frozen=True)
class Sample:
    """Measurements of one finished request.

    Attributes
    ----------
    recomputed_tokens : int
        Number of prompt tokens that were not in the engine's KV cache.
    first_token_s : float
        Time from the send to the first token minus the expected queueing time, in
        seconds.
    service_s : float
        Time from the send to the end of the response minus the expected queueing
        time, in seconds.
    """

    recomputed_tokens: int
    first_token_s: float
    service_s: float


def observe(pace: Pace, sample: Sample) -> None:
    """Update the moving averages with the sample of one finished request."""
    if sample.recomputed_tokens >= MIN_PREFILL_TOKENS:
        per_token_s = sample.first_token_s / sample.recomputed_tokens
        clipped = min(max(per_token_s, MIN_PREFILL_S), MAX_PREFILL_S)
        pace.prefill_s = _update_average(pace.prefill_s, clipped)
    service_s = min(max(sample.service_s, MIN_SERVICE_S), MAX_SERVICE_S)
    pace.service_s = _update_average(pace.service_s, service_s)


def _update_average(average: float, sample: float) -> float:
    return average + SAMPLE_WEIGHT * (sample - average)

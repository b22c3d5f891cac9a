"""How fast engines work, learned from finished requests."""

import dataclasses

WEIGHT = 0.1
"""Share of a new sample in the moving average."""

MIN_PREFILL_TOKENS = 1024
"""Shorter prefills say more about scheduling than about the engine's rate."""

MIN_PREFILL_S = 1e-7
MAX_PREFILL_S = 1e-2
MIN_SERVICE_S = 1e-3
MAX_SERVICE_S = 600.0


@dataclasses.dataclass
class Pace:
    """Moving averages of one kind of engine.

    Attributes
    ----------
    prefill_s : float
        Prefill of one token, in seconds.
    service_s : float
        Time that a request occupies a slot, in seconds.
    """

    prefill_s: float = 1e-5
    service_s: float = 1.0


@dataclasses.dataclass(frozen=True)
class Sample:
    """What one finished request showed.

    Attributes
    ----------
    recomputed_tokens : int
        Prompt tokens that the engine did not find in its cache.
    first_token_s : float
        Time from the send to the first token less the expected wait, in seconds.
    service_s : float
        Time from the send to the end of the answer less the expected wait, in
        seconds.
    """

    recomputed_tokens: int
    first_token_s: float
    service_s: float


def observe(pace: Pace, sample: Sample) -> None:
    """Update the averages with one finished request."""
    if sample.recomputed_tokens >= MIN_PREFILL_TOKENS:
        per_token_s = sample.first_token_s / sample.recomputed_tokens
        clipped = min(max(per_token_s, MIN_PREFILL_S), MAX_PREFILL_S)
        pace.prefill_s = _blend(pace.prefill_s, clipped)
    service_s = min(max(sample.service_s, MIN_SERVICE_S), MAX_SERVICE_S)
    pace.service_s = _blend(pace.service_s, service_s)


def _blend(average: float, sample: float) -> float:
    return average + WEIGHT * (sample - average)

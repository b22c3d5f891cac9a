"""Load shedding: which prompts are rejected while engines are overloaded.

Queues build up when many engines are unavailable at once: during a weight rollout,
after crashes or after a restart of all nodes. They outlast their cause, because each
queued prompt is answered late, occupies memory that could hold cached prompt parts, and
is sent again when its caller gives up. Rejecting prompts that would be late anyway
drains the queues. Rejected callers retry after a pause, when the queues are shorter.
"""

import random

from snipelug_core import triage

LATE_FRACTION = 0.75
"""Fraction of the latency objective above which an expected first token is late.

Load reports lag behind: most prompts that were expected to just meet the objective
missed it.
"""

URGENCY_SPREAD = 0.1
"""Difference of that fraction for the most and the least urgent requests."""

YIELD_FRACTION = 0.4
"""Part of the allowed wait that less urgent requests yield to more urgent ones.

It is yielded whole if all of the more urgent ones are turned away.
"""

MAX_PREFILL_FRACTION = 0.5
"""Maximum fraction of the objective that the prompt's own prefill counts for.

Long prompts are rejected first, because each delays many short ones. Without this
limit, the longest prompts would be rejected every time.
"""

LIGHT_PREFILL_FRACTION = 0.5
"""Prompts with less than this fraction of the mean prefill time are light.

Light prompts are a small part of the load, so rejecting them hardly shortens queues,
and a rejected caller that comes back is late as well.
"""

LIGHT_WAIT_FRACTION = 0.4
"""Fraction of the time to the caller's deadline that a light prompt may wait."""

ANSWER_MARGIN_S = 0.1
"""Time required for an answer in addition to the wait."""

MIN_RETRY_S = 0.3
"""Minimum retry delay; queues change little in less time."""

MAX_RETRY_FRACTION = 1 / 3
"""Maximum retry delay as a fraction of the time to the caller's deadline."""

JITTER = 0.5
"""Random fraction of the retry delay, so that callers do not retry together."""


def retry_after(
    wait_s: float,
    prefill_s: float,
    objective_s: float,
    remaining_s: float,
    mean_prefill_s: float,
    rng: random.Random,
    stance: triage.Stance = triage.NEUTRAL,
) -> float | None:
    """Return the delay after which the caller should retry, or None to send now.

    Parameters
    ----------
    wait_s : float
        Expected time before prefill starts at the best engine, in seconds.
    prefill_s : float
        Expected duration of prefill, in seconds.
    objective_s : float
        Latency objective for the first token, in seconds.
    remaining_s : float
        Time until the caller's deadline, in seconds.
    mean_prefill_s : float
        Mean duration of prefill at the service, in seconds.
    stance : triage.Stance
        How the request stands among those that compete with it.

    Returns
    -------
    float or None
        Retry delay in seconds.
    """
    counted_s = min(prefill_s, MAX_PREFILL_FRACTION * objective_s)
    spread = URGENCY_SPREAD * (2.0 * stance.urgency - 1.0)
    limit_s = (LATE_FRACTION + spread) * objective_s
    if prefill_s < LIGHT_PREFILL_FRACTION * mean_prefill_s:
        limit_s = max(limit_s, LIGHT_WAIT_FRACTION * remaining_s)
    allowed_s = (limit_s - counted_s) * (1.0 - YIELD_FRACTION * stance.pressure)
    if wait_s <= allowed_s and wait_s + ANSWER_MARGIN_S <= remaining_s:
        return None
    return _pause_s(wait_s, remaining_s, rng)


def plain_retry_after(
    wait_s: float, service_s: float, remaining_s: float, rng: random.Random
) -> float | None:
    """Return the delay after which to retry a request to a plain service.

    It is None if the best upstream is expected to answer before the deadline.

    Parameters
    ----------
    wait_s, service_s : float
        Expected wait and processing time, in seconds.
    remaining_s : float
        Time until the caller's deadline, in seconds.
    """
    if wait_s <= 0.0 or wait_s + service_s <= remaining_s:
        return None
    return _pause_s(wait_s, remaining_s, rng)


def _pause_s(wait_s: float, remaining_s: float, rng: random.Random) -> float:
    pause_s = max(MIN_RETRY_S, wait_s) * rng.uniform(1.0 - JITTER / 2, 1.0 + JITTER / 2)
    return min(pause_s, MAX_RETRY_FRACTION * remaining_s)

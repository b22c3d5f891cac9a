"""Which prompts are turned away while engines are overloaded.

Answers the load that follows when many engines were away at once: new weights, crashes,
a restart of all nodes. The queues outlast their cause, because each prompt then comes
late, holds memory in which parts of prompts could be kept, and is asked for again when
its caller gives up. Turning away what would come late anyway empties the queues, and
those who are turned away come back once that has helped.
"""

import random

LATE_FRACTION = 0.75
"""Expected time to the first token, in objectives, above which a prompt is late.

Load reports lag behind: of prompts that were expected right at the objective, most
came later.
"""

MAX_PREFILL_FRACTION = 0.5
"""Most of the objective that the time to read the prompt itself counts for.

Long prompts are turned away first, as each makes many short ones late; without a bound
the longest would be turned away each time.
"""

ANSWER_MARGIN_S = 0.1
"""Time that an answer needs beside the wait."""

MIN_RETRY_S = 0.3
"""Shortest time after which a caller may come back; a queue moves little sooner."""

MAX_RETRY_FRACTION = 1 / 3
"""Part of a caller's time that it waits at most before it comes back."""

JITTER = 0.5
"""Part of the pause that is random, so that callers do not come back together."""


def retry_after(
    wait_s: float,
    prefill_s: float,
    objective_s: float,
    remaining_s: float,
    rng: random.Random,
) -> float | None:
    """Return the pause after which a prompt should come back, or None to send it.

    Parameters
    ----------
    wait_s : float
        Expected time before the prompt is read at the best engine, in seconds.
    read_s : float
        Expected time to read it, in seconds.
    objective_s : float
        Time within which the first token is on time, in seconds.
    left_s : float
        Time until the caller's deadline, in seconds.

    Returns
    -------
    float or None
        Pause in seconds.
    """
    counted_s = wait_s + min(prefill_s, MAX_PREFILL_FRACTION * objective_s)
    if (
        counted_s <= LATE_FRACTION * objective_s
        and wait_s + ANSWER_MARGIN_S <= remaining_s
    ):
        return None
    pause_s = max(MIN_RETRY_S, wait_s) * rng.uniform(1.0 - JITTER / 2, 1.0 + JITTER / 2)
    return min(pause_s, MAX_RETRY_FRACTION * remaining_s)

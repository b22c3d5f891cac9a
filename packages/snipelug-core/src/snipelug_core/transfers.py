"""Whether an engine reads a shared prompt part from a KV cache store or computes it.

The load is one of long prompts while a store is slower than its configuration states.
Transfers of a store run one after another, so at four times the usual time they queue:
parts that an engine computes in 0.15 s were read in over a second, for as long as the
store was slow. Nodes learn from first tokens how much later than expected those are
that need a transfer, and have parts computed where that is faster.
"""

import collections
import collections.abc
import dataclasses
import math
import statistics

MAX_AGE_S = 6.0
"""Maximum age of a sample; a store that is avoided gets few."""

MAX_SAMPLES = 7
MIN_SAMPLES = 4
"""Number of the latest samples of a store that count, and the least number."""

EARLY_FRACTION = 0.2
"""Part of these samples that may be in time.

All prompts that need a slow store are late, so its early samples tell it from others
while the delays of all differ by much.
"""

BASELINE_AGE_S = 2.0
MAX_BASELINE_SAMPLES = 64
"""Age and number of the samples of all prompts with whose median a store is compared.

While engines are overloaded, all first tokens are late, which tells nothing of stores.
"""


MIN_DELAY_S = 0.2
"""Shorter delays do not count, as waits at engines differ by as much.

It is a third of the shortest objective of prompts that have shared parts.
"""

MAX_DELAY_S = 5.0

COMPUTE_FACTOR = 1.5
"""A part is computed if its transfer takes this many times as long.

Computing it occupies an engine and delays other prompts there.
"""

PROBE_FRACTION = 0.1
"""Part of the prompts that read from a store regardless, to notice its recovery."""


@dataclasses.dataclass(frozen=True)
class Transfer:
    """A transfer of one prompt part to an engine.

    Attributes
    ----------
    expected_s : float
        Its duration by the configuration, in seconds.
    """

    part_id: str
    tokens: int
    store: str
    expected_s: float


class Delays:
    """Delays of transfers from KV cache stores, as all nodes observe them."""

    def __init__(self) -> None:
        self._samples: dict[str, collections.deque[tuple[float, float]]] = {}
        self._all: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=MAX_BASELINE_SAMPLES
        )

    def record(self, store: str, delay_s: float, now: float) -> None:
        """Add by how much the first token of a prompt was late, in seconds.

        Parameters
        ----------
        store : str
            Store from which the prompt needed a transfer; empty if from none.
        """
        if not math.isfinite(delay_s):
            return
        sample = (now, min(max(-MAX_DELAY_S, delay_s), MAX_DELAY_S))
        self._all.append(sample)
        if store:
            known = self._samples.setdefault(
                store, collections.deque(maxlen=MAX_SAMPLES)
            )
            known.append(sample)

    def keep(self, stores: collections.abc.Container[str]) -> None:
        """Forget the stores that are not configured any more."""
        self._samples = {k: v for k, v in self._samples.items() if k in stores}

    def delay_s(self, store: str, now: float) -> float:
        """Return how much longer than expected transfers from a store take."""
        samples = sorted(
            delay_s
            for at, delay_s in self._samples.get(store, ())
            if now - at <= MAX_AGE_S
        )
        if len(samples) < MIN_SAMPLES:
            return 0.0
        early_s = samples[int(EARLY_FRACTION * (len(samples) - 1))]
        delay_s = early_s - self._baseline_s(now)
        return delay_s if delay_s >= MIN_DELAY_S else 0.0

    def _baseline_s(self, now: float) -> float:
        recent = [delay_s for at, delay_s in self._all if now - at <= BASELINE_AGE_S]
        return max(0.0, statistics.median(recent)) if recent else 0.0


def times_s(
    transfers: collections.abc.Iterable[Transfer],
    delays: Delays,
    compute_s: collections.abc.Callable[[int], float],
    is_probe: bool,
    now: float,
) -> collections.abc.Iterator[tuple[str, float]]:
    """Yield the parts to read from stores, with the expected time in seconds.

    Parts after one that is computed are computed too, as an engine uses a cached part
    only if it has all parts before it.

    Parameters
    ----------
    transfers : iterable of Transfer
        Transfers of the parts that stores hold, in the order of the prompt.
    compute_s : callable
        Returns the time to compute a number of tokens, in seconds.
    is_probe : bool
        Whether to read from stores in any case.
    """
    for item in transfers:
        delay_s = delays.delay_s(item.store, now)
        expected_s = item.expected_s + delay_s
        is_late = delay_s > 0 and expected_s > COMPUTE_FACTOR * compute_s(item.tokens)
        if is_late and not is_probe:
            return
        yield item.part_id, expected_s

"""Prefill that waits at upstreams ahead of a new request."""

import collections.abc
import dataclasses
import math

LEARNING = 0.05
"""Weight of a new observation in the running means."""

PEER_SUM_MAX_AGE_S = 2.0
"""Age up to which the other nodes' sum is used instead of the means, in seconds."""


@dataclasses.dataclass
class _Run:
    work_s: float
    sent_at: float
    first_at: float | None = None


class PrefillBacklog:
    """Estimate the prefill that waits at each upstream of one node.

    The same sums are kept of the transfers that use the link of a store.

    Load reports count requests, and a request with a long prompt delays others a
    hundred times longer than a short one. This node knows the work of its own
    requests, and other nodes tell the sum of theirs. Without a fresh sum, their
    requests count with this node's means: the share of a request's time before its
    first token, and its work.
    """

    def __init__(self) -> None:
        self._runs: dict[str, dict[str, _Run]] = {}
        self._peers: dict[str, tuple[float, float]] = {}
        self._mean_work_s = 0.0
        self._mean_before_s = 0.0
        self._mean_total_s = 0.0

    def sent(self, upstream: str, run_id: str, work_s: float, now: float) -> None:
        """Note a request with its expected fetch and prefill, in seconds."""
        self._runs.setdefault(upstream, {})[run_id] = _Run(work_s, now)

    def first_token(self, upstream: str, run_id: str, now: float) -> None:
        """Note that the prefill of a request is over."""
        run = self._runs.get(upstream, {}).get(run_id)
        if run is not None and run.first_at is None:
            run.first_at = now

    def ended(self, upstream: str, run_id: str, now: float) -> None:
        """Note the end of a request, whether or not it brought a token."""
        runs = self._runs.get(upstream, {})
        run = runs.pop(run_id, None)
        if not runs:
            self._runs.pop(upstream, None)
        if run is None or run.first_at is None:
            return
        self._mean_work_s += LEARNING * (run.work_s - self._mean_work_s)
        before_s = run.first_at - run.sent_at
        self._mean_before_s += LEARNING * (before_s - self._mean_before_s)
        total_s = now - run.sent_at
        self._mean_total_s += LEARNING * (total_s - self._mean_total_s)

    def pending_s(self) -> dict[str, float]:
        """Return the work of this node's requests that have no token yet, in seconds.

        Upstreams without such requests are left out.
        """
        sums = {u: self._own_s(runs) for u, runs in self._runs.items()}
        return {u: work_s for u, work_s in sums.items() if work_s > 0}

    def note_peers(self, upstream: str, work_s: float, now: float) -> None:
        """Note the sum of all other nodes' pending work at an upstream."""
        self._peers[upstream] = (work_s, now)

    def retain(self, upstreams: collections.abc.Container[str]) -> None:
        """Forget what peers told of upstreams that are not among these."""
        self._peers = {u: p for u, p in self._peers.items() if u in upstreams}

    def estimate_s(self, upstream: str, queue: int, now: float) -> float:
        """Return the prefill ahead of a new request, in seconds.

        Parameters
        ----------
        upstream : str
            The upstream.
        queue : int
            Requests of all nodes there (``load.estimate_queue``).
        now : float
            Time in seconds.
        """
        runs = self._runs.get(upstream, {})
        own_s = self._own_s(runs)
        told_s, told_at = self._peers.get(upstream, (0.0, -math.inf))
        age_s = now - told_at
        if age_s <= PEER_SUM_MAX_AGE_S:
            return own_s + max(0.0, told_s - age_s)
        if own_s > 0:
            # Engines prefill in order: the oldest has run since it was sent.
            oldest = min(
                (r for r in runs.values() if r.first_at is None),
                key=lambda r: r.sent_at,
            )
            own_s -= min(oldest.work_s, now - oldest.sent_at)
        share = self._mean_before_s / self._mean_total_s if self._mean_total_s else 0.0
        others = max(0, queue - len(runs))
        return own_s + others * share * self._mean_work_s

    @staticmethod
    def _own_s(runs: dict[str, _Run]) -> float:
        return sum(r.work_s for r in runs.values() if r.first_at is None)

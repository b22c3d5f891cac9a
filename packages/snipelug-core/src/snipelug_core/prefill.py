"""Estimate of the prefill work queued at upstreams ahead of a new request."""

import collections.abc
import dataclasses
import math

SMOOTHING_FACTOR = 0.05
"""Weight of a new observation in the moving averages."""

PEER_SUM_MAX_AGE_S = 2.0
"""Age up to which the sum reported by other nodes is used, in seconds.

With an older sum, the estimate uses moving averages instead.
"""


@dataclasses.dataclass
class _RunningRequest:
    work_s: float
    sent_at: float
    first_at: float | None = None


class PrefillBacklog:
    """Estimate the prefill work queued at each upstream.

    Also used for the transfers pending on the link of a store.

    Load reports only count requests, but a long prompt delays others a hundred times
    longer than a short one. A node knows the work of its own requests, and other nodes
    report the sum of theirs. Without a recent sum, requests of other nodes are
    estimated by this node's averages of a request's work and of the share of its
    duration before the first token.
    """

    def __init__(self) -> None:
        self._runs: dict[str, dict[str, _RunningRequest]] = {}
        self._peer_sums: dict[str, tuple[float, float]] = {}
        self._mean_work_s = 0.0
        self._mean_first_token_s = 0.0
        self._mean_total_s = 0.0

    def sent(self, upstream: str, run_id: str, work_s: float, now: float) -> None:
        """Record a sent request with its expected fetch and prefill seconds."""
        self._runs.setdefault(upstream, {})[run_id] = _RunningRequest(work_s, now)

    def first_token(self, upstream: str, run_id: str, now: float) -> None:
        """Record that the prefill of a request has finished."""
        run = self._runs.get(upstream, {}).get(run_id)
        if run is not None and run.first_at is None:
            run.first_at = now

    def ended(self, upstream: str, run_id: str, now: float) -> None:
        """Record the end of a request, with or without a first token."""
        runs = self._runs.get(upstream, {})
        run = runs.pop(run_id, None)
        if not runs:
            self._runs.pop(upstream, None)
        if run is None or run.first_at is None:
            return
        self._mean_work_s += SMOOTHING_FACTOR * (run.work_s - self._mean_work_s)
        first_token_s = run.first_at - run.sent_at
        self._mean_first_token_s += SMOOTHING_FACTOR * (
            first_token_s - self._mean_first_token_s
        )
        total_s = now - run.sent_at
        self._mean_total_s += SMOOTHING_FACTOR * (total_s - self._mean_total_s)

    def pending_s(self) -> dict[str, float]:
        """Return the work of this node's requests without a first token, in seconds.

        Upstreams without such requests are omitted.
        """
        work = {u: self._unprefilled_work_s(runs) for u, runs in self._runs.items()}
        return {u: work_s for u, work_s in work.items() if work_s > 0}

    def note_peers(self, upstream: str, work_s: float, now: float) -> None:
        """Record the sum of the pending work of all other nodes at an upstream."""
        self._peer_sums[upstream] = (work_s, now)

    def retain(self, upstreams: collections.abc.Container[str]) -> None:
        """Drop the sums of other nodes for all upstreams except the given ones."""
        self._peer_sums = {u: p for u, p in self._peer_sums.items() if u in upstreams}

    def estimate_s(self, upstream: str, queue: int, now: float) -> float:
        """Return the prefill time queued ahead of a new request, in seconds.

        Parameters
        ----------
        upstream : str
            Id of the upstream.
        queue : int
            Number of requests of all nodes there (``load.estimate_queue``).
        now : float
            Time in seconds.
        """
        runs = self._runs.get(upstream, {})
        own_s = self._unprefilled_work_s(runs)
        peer_work_s, reported_at = self._peer_sums.get(upstream, (0.0, -math.inf))
        age_s = now - reported_at
        if age_s <= PEER_SUM_MAX_AGE_S:
            return own_s + max(0.0, peer_work_s - age_s)
        if own_s > 0:
            # Engines prefill in order, so the oldest request has run since it was sent.
            oldest = min(
                (r for r in runs.values() if r.first_at is None),
                key=lambda r: r.sent_at,
            )
            own_s -= min(oldest.work_s, now - oldest.sent_at)
        share = (
            self._mean_first_token_s / self._mean_total_s if self._mean_total_s else 0.0
        )
        other_requests = max(0, queue - len(runs))
        return own_s + other_requests * share * self._mean_work_s

    @staticmethod
    def _unprefilled_work_s(runs: dict[str, _RunningRequest]) -> float:
        return sum(r.work_s for r in runs.values() if r.first_at is None)

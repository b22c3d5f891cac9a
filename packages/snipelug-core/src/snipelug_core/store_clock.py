"""Relates the clock of the platform's store to a node's own clock."""

import math

MAX_DRIFT = 2e-4
"""Maximum difference of the rates of two clocks; quartz clocks are within 1e-4."""


class StoreClock:
    """Bounds of the store's clock, derived from the store's responses.

    The store reads its clock after a call was sent, so the upper bound is valid however
    late the response arrives. The response with the shortest delay gives the best
    bound. The lower bound only shows whether the clock went on when the store was
    restored.
    """

    def __init__(self) -> None:
        self._offset_ms = math.inf
        self._sampled_at = 0.0
        self._least_offset_ms = -math.inf
        self._least_sampled_at = 0.0

    def record(self, sent_at: float, received_at: float, clock_ms: float) -> None:
        """Use a response of the store.

        Parameters
        ----------
        sent_at, received_at : float
            Monotonic times of the call and of the response, in seconds.
        clock_ms : float
            The store's clock in the response, in milliseconds.
        """
        offset_ms = clock_ms - 1e3 * sent_at
        is_disproved = clock_ms > self.latest_ms(received_at)
        is_closer = clock_ms < self.latest_ms(sent_at)
        if is_disproved or is_closer:
            self._offset_ms = offset_ms
            self._sampled_at = sent_at
        least_offset_ms = clock_ms - 1e3 * received_at
        if clock_ms > self._earliest_ms(received_at):
            self._least_offset_ms = least_offset_ms
            self._least_sampled_at = received_at

    def restart(self, sent_at: float, received_at: float, clock_ms: float) -> float:
        """Use the first response after a restore of the store.

        Returns
        -------
        float
            Amount in milliseconds by which times on the clock before correspond to
            earlier or later ones now, as the least one possible; 0 if the clock went
            on, as far as the duration of the calls tells.
        """
        has_gone_on = (
            self._earliest_ms(sent_at) <= clock_ms <= self.latest_ms(received_at)
        )
        shift_ms = 0.0
        if not has_gone_on and self._offset_ms < math.inf:
            shift_ms = clock_ms - self.latest_ms(received_at)
            self._offset_ms, self._least_offset_ms = math.inf, -math.inf
        self.record(sent_at, received_at, clock_ms)
        return shift_ms

    def _earliest_ms(self, now: float) -> float:
        drift_s = MAX_DRIFT * max(0.0, now - self._least_sampled_at)
        return self._least_offset_ms + 1e3 * (now - drift_s)

    def latest_ms(self, now: float) -> float:
        """Return the latest value that the store's clock can have at a time.

        It is infinite before the first response.
        """
        drift_s = MAX_DRIFT * max(0.0, now - self._sampled_at)
        return self._offset_ms + 1e3 * (now + drift_s)

    def earliest_at(self, clock_ms: float) -> float:
        """Return the earliest time at which the store's clock can have had a value.

        It is in the infinite past before the first response.
        """
        at = (clock_ms - self._offset_ms) / 1e3
        if at <= self._sampled_at:
            return at
        return self._sampled_at + (at - self._sampled_at) / (1.0 + MAX_DRIFT)

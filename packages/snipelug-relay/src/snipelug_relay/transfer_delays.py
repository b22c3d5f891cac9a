"""Shares the delays of transfers from KV cache stores among the nodes.

With many nodes, each sends too few prompts to a store to notice that it is slow. While
no store is slow, nothing is sent. A lost datagram costs only some samples.
"""

import collections
import logging
import math

import trio

from snipelug_core import transfers
from snipelug_net import lines
from snipelug_relay import announce, clock, job, messages, state, stats

LOG = logging.getLogger("snipelug.transfers")

INTERVAL_S = 0.25
INTERVAL_PER_NODE_S = 0.005
"""Contribution of each node to the interval; a node gets at most 200 messages/s."""

MAX_SAMPLES = 100
"""Maximum number of samples in a message."""

SHARING_S = 2 * transfers.MAX_AGE_S
"""Time for which samples are shared after a late one, to show the recovery too."""


class TransferDelays:
    """Records by how much prompts are late, and tells other nodes of slow stores.

    While samples are shared, nodes share all of them, also those of prompts without a
    transfer: with the late ones alone, all prompts would seem to be late.
    """

    def __init__(
        self,
        node_state: state.State,
        announcer: announce.Announcer,
        metrics: stats.Stats,
    ) -> None:
        self._state = node_state
        self._announcer = announcer
        self._stats = metrics
        self._shared_until = -math.inf
        self._recent: collections.deque[tuple[float, str, float]] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self._unsent: list[tuple[str, float]] = []
        self._slow: set[str] = set()
        announcer.set_handler(messages.TransferDelays, self._on_message)

    def record(self, upstream_attempt: job.UpstreamAttempt, late_s: float) -> None:
        """Record by how much the first token of a prompt was late, in seconds."""
        now = clock.now()
        store = upstream_attempt.store
        delay_s = late_s + upstream_attempt.store_delay_s
        self._state.transfer_delays.record(store, delay_s, now)
        sent_s = max(0.0, min(delay_s, transfers.MAX_DELAY_S))
        if store and delay_s >= transfers.MIN_DELAY_S:
            self._share(now)
        self._recent.append((now, store, sent_s))
        if now < self._shared_until:
            self._unsent.append((store, sent_s))

    def _share(self, now: float) -> None:
        """Share samples for a time, from the recent ones on."""
        if now >= self._shared_until:
            self._unsent += [
                (store, delay_s)
                for at, store, delay_s in self._recent
                if now - at <= transfers.BASELINE_AGE_S
            ]
        self._shared_until = now + SHARING_S

    def _on_message(self, message: messages.TransferDelays) -> None:
        now = clock.now()
        known = self._state.index.store_states
        for store, delay_s in message.samples[-MAX_SAMPLES:]:
            if store and store not in known:
                continue
            self._state.transfer_delays.record(store, delay_s, now)
            if store and delay_s >= transfers.MIN_DELAY_S:
                self._share(now)

    async def run(self) -> None:
        """Send and log what is new until cancelled."""
        while True:
            interval_s = max(INTERVAL_S, INTERVAL_PER_NODE_S * self._state.nodes)
            await trio.sleep(interval_s)
            self._state.transfer_delays.keep(self._state.index.store_states)
            samples = self.take_unsent()
            if samples:
                self._announcer.send_to_all(messages.TransferDelays(samples))
            self._log_changes()

    def take_unsent(self) -> list[tuple[str, float]]:
        """Return the latest samples that were not sent yet."""
        samples, self._unsent = self._unsent[-MAX_SAMPLES:], []
        return samples

    def _log_changes(self) -> None:
        now = clock.now()
        for store in self._state.index.store_states:
            delay_s = self._state.transfer_delays.delay_s(store, now)
            self._stats.transfer_delay.labels(store).set(delay_s)
            if (delay_s > 0) == (store in self._slow):
                continue
            if delay_s > 0:
                self._slow.add(store)
                lines.event(
                    LOG, "kv_store_slow", store=store, delay_ms=round(1000 * delay_s)
                )
            else:
                self._slow.discard(store)
                lines.event(LOG, "kv_store_recovered", store=store)

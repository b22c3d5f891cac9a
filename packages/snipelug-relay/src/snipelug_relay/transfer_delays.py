"""Shares the delays of transfers from KV cache stores among the nodes.

With many nodes, each sends too few prompts to a store to notice that it is slow. While
no store is slow, nothing is sent. A lost datagram costs only some samples.
"""

import logging

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
"""Time for which the samples of a store are shared after a late one.

The samples that show its recovery are shared too.
"""


class TransferDelays:
    """Records by how much prompts are late, and tells other nodes of slow stores."""

    def __init__(
        self,
        node_state: state.State,
        announcer: announce.Announcer,
        metrics: stats.Stats,
    ) -> None:
        self._state = node_state
        self._announcer = announcer
        self._stats = metrics
        self._shared_until: dict[str, float] = {}
        self._unsent: list[tuple[str, float]] = []
        self._slow: set[str] = set()
        announcer.set_handler(messages.TransferDelays, self._on_message)

    def record(self, upstream_attempt: job.UpstreamAttempt, late_s: float) -> None:
        """Record by how much the first token of a prompt was late, in seconds."""
        now = clock.now()
        store = upstream_attempt.store
        delay_s = late_s + upstream_attempt.store_delay_s
        self._state.transfer_delays.record(store, delay_s, now)
        if not store:
            return
        if delay_s >= transfers.MIN_DELAY_S:
            self._shared_until[store] = now + SHARING_S
        if now < self._shared_until.get(store, 0.0):
            self._unsent.append((store, max(0.0, min(delay_s, transfers.MAX_DELAY_S))))

    def _on_message(self, message: messages.TransferDelays) -> None:
        now = clock.now()
        for store, delay_s in message.samples:
            if store in self._state.index.store_states:
                self._shared_until[store] = now + SHARING_S
                self._state.transfer_delays.record(store, delay_s, now)

    async def run(self) -> None:
        """Send and log what is new until cancelled."""
        while True:
            interval_s = max(INTERVAL_S, INTERVAL_PER_NODE_S * self._state.nodes)
            await trio.sleep(interval_s)
            known = self._state.index.store_states
            self._state.transfer_delays.keep(known)
            self._shared_until = {
                k: at for k, at in self._shared_until.items() if k in known
            }
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

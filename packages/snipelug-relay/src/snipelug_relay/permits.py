"""Permits for requests to upstreams whose rate all nodes share.

A limited upstream names the rate that it takes from all nodes together; an upstream in
cold start sustains a rate that the configuration tells. The nodes exchange the messages
of ``shared_rate`` for both.
"""

import collections.abc
import math

import trio

from snipelug_core import choice, fleet, shared_rate
from snipelug_relay import announce, clock, state, stats

NOT_NEEDED = shared_rate.Granted(math.inf)


class Permits:
    """Obtains permits from the node that allocates them.

    Parameters
    ----------
    announcer : announce.Announcer
        Sends and receives the messages between nodes.
    """

    def __init__(
        self,
        node_state: state.State,
        announcer: announce.Announcer,
        metrics: stats.Stats,
    ) -> None:
        self._state = node_state
        self._sharing = node_state.sharing
        self._announcer = announcer
        self._stats = metrics
        self._answered: dict[int, trio.Event] = {}
        for kind in shared_rate.MESSAGE_TYPES:
            announcer.set_peer_handler(kind, self._on_message)

    async def acquire(
        self, upstream: fleet.Upstream, priority: int
    ) -> shared_rate.Granted | shared_rate.Denied:
        """Obtain a permit for one request; it does not expire if none is needed."""
        rate = self._state.shared_rate_of(upstream, clock.now())
        if rate is None:
            return NOT_NEEDED
        outcome = await self.acquire_for(
            choice.rate_key(upstream.entry), rate, priority
        )
        if isinstance(outcome, shared_rate.Denied):
            reason = "cold" if upstream.limit_per_s is None else "limit"
            self._stats.held_back.labels(upstream.entry.service, reason).inc()
        return outcome

    async def acquire_for(
        self, key: str, rate: shared_rate.Rate, priority: int
    ) -> shared_rate.Granted | shared_rate.Denied:
        """Obtain a permit for one request from the rate of a key."""
        outcome = self._sharing.request(key, rate, priority, clock.now())
        self._send_all(self._sharing.outgoing())
        while isinstance(outcome, shared_rate.Pending):
            await self._wait_for_answer(outcome)
            outcome = self._sharing.expire(outcome.number, clock.now())
            self._send_all(self._sharing.outgoing())
        return outcome

    def charge(self, upstream: fleet.Upstream) -> None:
        """Count a request that is sent without a permit."""
        now = clock.now()
        rate = self._state.shared_rate_of(upstream, now)
        if rate is not None:
            key = choice.rate_key(upstream.entry)
            self._send_all(self._sharing.charge(key, rate, 1, now))

    async def _wait_for_answer(self, pending: shared_rate.Pending) -> None:
        event = self._answered[pending.number] = trio.Event()
        self._announcer.send_to(pending.to, pending.message)
        try:
            with trio.move_on_after(max(0.0, pending.expires_at - clock.now())):
                await event.wait()
        finally:
            del self._answered[pending.number]

    def _on_message(self, sender: str, message: shared_rate.Message) -> None:
        outgoing = self._sharing.receive(sender, message, clock.now())
        if isinstance(message, shared_rate.Answer) and message.number in self._answered:
            self._answered[message.number].set()
        self._send_all(outgoing)

    def _send_all(
        self, outgoing: collections.abc.Iterable[shared_rate.Outgoing]
    ) -> None:
        for node_id, message in outgoing:
            self._announcer.send_to(node_id, message)

"""Closes idle connections that are of no further use."""

import collections.abc
import math

from snipelug_core import unlisted
from snipelug_net import http_client
from snipelug_relay import ports, state

CHECK_INTERVAL_S = 1.0


class IdleCheck:
    """Checks the idle connections of pools at an interval.

    Parameters
    ----------
    pools : sequence of http_client.Pool
        The pools whose connections are checked.
    """

    def __init__(
        self,
        cfg: ports.Settings,
        node_state: state.State,
        pools: collections.abc.Sequence[http_client.Pool],
    ) -> None:
        self._cfg = cfg
        self._state = node_state
        self._pools = pools
        self._unlisted = unlisted.Unlisted()
        self._due = -math.inf

    def run(self, now: float) -> None:
        """Close idle connections that have ended or are not listed, if a check is due.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        if now < self._due:
            return
        self._due = now + CHECK_INTERVAL_S
        connected: set[http_client.Address] = set()
        for pool in self._pools:
            pool.close_ended()
            connected.update(pool.idle_addresses)
        for addr in self._unlisted.update(connected, self._listed(), now):
            for pool in self._pools:
                pool.close_idle(addr)

    def _listed(self) -> set[http_client.Address]:
        """Return the addresses to which calls may still go.

        These include entries that are kept after an outage of the list.
        """
        upstreams = self._state.fleet.upstreams.values()
        stores = self._state.index.store_states.values()
        return {
            self._cfg.store,
            *(upstream.entry.addr for upstream in upstreams),
            *((known.store.host, known.store.port) for known in stores),
        }

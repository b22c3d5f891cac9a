"""Logs and counts responses that belong to no request under way.

Upstreams may send late or additional responses, among them copies of refusals. They
are never passed on, but they show on-call that an upstream sends them.
"""

import logging

from snipelug_net import http_client, lines
from snipelug_relay import record, state, stats

LOG = logging.getLogger("snipelug.discards")

LINES_PER_S = 5.0
"""Maximum log lines per second; the metric counts all responses."""


class Discards:
    """Log lines and metric for the discarded responses of a node."""

    def __init__(self, node_state: state.State, metrics: stats.Stats) -> None:
        self._state = node_state
        self._stats = metrics
        self._sampler = record.Sampler(LINES_PER_S)

    def record_request(self, found: http_client.Discarded) -> None:
        """Record a response on a connection that carries requests of callers."""
        self._record("request", found)

    def record_control(self, found: http_client.Discarded) -> None:
        """Record a response on a connection that carries calls of the node itself."""
        self._record("control", found)

    def _record(self, calls: str, found: http_client.Discarded) -> None:
        self._stats.discarded.labels(calls, found.reason.value).inc()
        if not self._sampler.admit():
            return
        fields: dict[str, object] = {
            "upstreams": self._find_upstreams(found.addr),
            "address": f"{found.addr[0]}:{found.addr[1]}",
            "calls": calls,
            "connection": found.connection,
            "reason": found.reason.value,
            "status": found.status,
            "id": found.request_id,
            "due": found.due,
        }
        if left_out := self._sampler.pop_left_out():
            fields["left_out"] = left_out
        lines.warning(LOG, "response_discarded", **fields)

    def _find_upstreams(self, addr: http_client.Address) -> list[str]:
        """Return the ids of the entries that have an address."""
        known = self._state.fleet.upstreams
        return sorted(i for i, item in known.items() if item.entry.addr == addr)

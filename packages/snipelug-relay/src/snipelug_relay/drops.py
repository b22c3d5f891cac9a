"""Logs and counts clients that were given up as memory or descriptors were short."""

import logging

from snipelug_net import http_server, lines
from snipelug_relay import record, stats

LOG = logging.getLogger("snipelug.drops")

LINES_PER_S = 5.0
"""Maximum log lines per second; the metric counts all of them."""


class Drops:
    """Log lines and metric for the dropped clients of a node."""

    def __init__(self, metrics: stats.Stats) -> None:
        self._stats = metrics
        self._sampler = record.Sampler(LINES_PER_S)

    def record(self, reason: http_server.DropReason, peer: str) -> None:
        """Record that a request or connection of a client was given up."""
        self._stats.dropped.labels(reason.value).inc()
        if not self._sampler.admit():
            return
        fields: dict[str, object] = {"reason": reason.value, "client": peer}
        if left_out := self._sampler.pop_left_out():
            fields["left_out"] = left_out
        lines.warning(LOG, "client_dropped", **fields)

"""Metrics, sent to a statsd server over UDP."""

import typing

import statsd

from snipelug_net import http_client


class Metrics(typing.Protocol):
    """Interface of a metrics client."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Count events."""
        ...

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration, in milliseconds."""
        ...

    def gauge(self, stat: str, value: float) -> None:
        """Record a current value."""
        ...


class NullMetrics:
    """A metrics client that discards everything; used if no statsd address is set."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Discard a count."""

    def timing(self, stat: str, delta: float) -> None:
        """Discard a duration."""

    def gauge(self, stat: str, value: float) -> None:
        """Discard a value."""


def build_client(addr: http_client.Address | None) -> Metrics:
    """Return a client for the address, or ``NullMetrics`` if it is None."""
    if addr is None:
        return NullMetrics()
    client = statsd.StatsClient(addr[0], addr[1], prefix="snipelug")
    return typing.cast(Metrics, client)

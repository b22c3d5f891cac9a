"""Metrics, sent by statsd over UDP."""

import typing

import statsd

from snipelug_net import http_client


class Metrics(typing.Protocol):
    """What the node needs of a metrics client."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Count events."""
        ...

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration, in milliseconds."""
        ...

    def gauge(self, stat: str, value: float) -> None:
        """Record a current value."""
        ...


class Disabled:
    """Metrics that go nowhere, used when no statsd address is set."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Ignore a count."""

    def timing(self, stat: str, delta: float) -> None:
        """Ignore a duration."""

    def gauge(self, stat: str, value: float) -> None:
        """Ignore a value."""


def build(addr: http_client.Address | None) -> Metrics:
    """Return a client for the address, or one that does nothing without one."""
    if addr is None:
        return Disabled()
    client = statsd.StatsClient(addr[0], addr[1], prefix="snipelug")
    return typing.cast(Metrics, client)

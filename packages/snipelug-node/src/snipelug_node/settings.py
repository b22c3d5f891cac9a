"""Settings of a node, validated together so that all errors are reported at once."""

import collections.abc
import dataclasses
import ipaddress

from snipelug_net import http_client

MIN_KEY_CHARS = 16
MAX_KEY_BYTES = 64
MAX_PORT = 65_535
MODES = ("ttft", "reuse")
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


@dataclasses.dataclass(frozen=True)
class Settings:
    """Validated settings.

    Attributes
    ----------
    node_id, zone : str
        Instance id of this node and its availability zone.
    host : str
        IP address to which all listeners bind.
    port, admin_port, rpc_port : int
        Ports for callers, operators and other nodes.
    rpc_advertise : tuple of (str, int) or None
        Address at which other nodes reach ``rpc_port``, if it is another.
    tables, objects, instances : tuple of (str, int)
        Addresses of the platform services.
    peers : mapping of str to (str, int)
        RPC addresses of other nodes, used until the members table is read.
    key : bytes
        Secret shared by all nodes of a deployment.
    admin_key : str
        Bearer key of the operators.
    statsd : tuple of (str, int) or None
        Address of the metrics receiver.
    mode : str
        Routing mode, one of ``MODES``.
    zone_delays_s : mapping of (str, str) to float
        One-way delay between two zones, in seconds; names in sorted order.
    cold_limit : int
        Concurrent requests that an upstream can sustain while cold.
    unconfirmed_limit : int
        Requests from all nodes that a warm upstream gets until it sends a load report
        made after them; at least ``cold_limit``.
    weight_loads : int
        Highest number of concurrent weight loads in the deployment.
    upstream_in_flight : int
        Highest number of concurrent requests of this node at one upstream.
    engine_slots : int
        Requests that one engine runs concurrently.
    block_bytes : int
        Size of one KV cache block, in bytes.
    link_bytes_per_s : float
        Rate of the link from a KV cache store to one zone, in bytes per second.
    drain_s : float
        Longest time that a planned stop waits for open requests, in seconds.
    """

    node_id: str
    zone: str
    host: str
    port: int
    admin_port: int
    rpc_port: int
    tables: http_client.Address
    objects: http_client.Address
    instances: http_client.Address
    key: bytes
    admin_key: str
    peers: collections.abc.Mapping[str, http_client.Address]
    zone_delays_s: collections.abc.Mapping[tuple[str, str], float]
    rpc_advertise: http_client.Address | None = None
    statsd: http_client.Address | None = None
    mode: str = "ttft"
    cold_limit: int = 2
    unconfirmed_limit: int = 0
    weight_loads: int = 3
    upstream_in_flight: int = 64
    engine_slots: int = 16
    block_bytes: int = 65_536
    link_bytes_per_s: float = 1e9
    drain_s: float = 60.0
    log_level: str = "INFO"

    @property
    def rpc_address(self) -> http_client.Address:
        """Address at which other nodes reach this one."""
        return self.rpc_advertise or (self.host, self.rpc_port)


class Parser:
    """Parses and checks single settings, and collects the errors."""

    def __init__(self) -> None:
        self.errors: list[str] = []

    def add_error(self, name: str, reason: str) -> None:
        """Add an error about one setting."""
        self.errors.append(f"{name}: {reason}")

    def required(self, name: str, value: str) -> str:
        """Check that a setting is not empty."""
        if not value:
            self.add_error(name, "is required")
        return value

    def ip(self, name: str, value: str) -> str:
        """Check an IP address."""
        try:
            ipaddress.ip_address(value)
        except ValueError:
            self.add_error(name, f"{value!r} is not an IP address")
        return value

    def port(self, name: str, value: int) -> int:
        """Check a port number."""
        if not 0 < value <= MAX_PORT:
            self.add_error(name, f"{value} is not a port between 1 and {MAX_PORT}")
        return value

    def at_least(self, name: str, value: float, least: float) -> None:
        """Check a lower bound."""
        if value < least:
            self.add_error(name, f"{value} is less than {least}")

    def address(self, name: str, value: str) -> http_client.Address:
        """Parse ``IP:PORT``."""
        host, colon, port = value.rpartition(":")
        if not colon or not port.isdigit():
            self.add_error(name, f"{value!r} is not of the form IP:PORT")
            return ("", 0)
        return self.ip(name, host), self.port(name, int(port))

    def peers(
        self, name: str, values: collections.abc.Sequence[str]
    ) -> dict[str, http_client.Address]:
        """Parse entries of the form ``ID=IP:PORT``."""
        parsed: dict[str, http_client.Address] = {}
        for value in values:
            node_id, equals, address = value.partition("=")
            if not equals:
                self.add_error(name, f"{value!r} is not of the form ID=IP:PORT")
                continue
            if node_id in parsed:
                self.add_error(name, f"{node_id!r} is given twice")
            parsed[node_id] = self.address(name, address)
        return parsed

    def zone_delays(
        self, name: str, values: collections.abc.Sequence[str]
    ) -> dict[tuple[str, str], float]:
        """Parse entries of the form ``ZONE:ZONE=MILLISECONDS``."""
        parsed: dict[tuple[str, str], float] = {}
        for value in values:
            pair, _, delay_ms = value.partition("=")
            first, _, second = pair.partition(":")
            try:
                delay_s = float(delay_ms) / 1000
            except ValueError:
                delay_s = -1.0
            if not first or not second or delay_s < 0:
                self.add_error(
                    name, f"{value!r} is not of the form ZONE:ZONE=MILLISECONDS"
                )
                continue
            parsed[min(first, second), max(first, second)] = delay_s
        return parsed

    def key(self, name: str, value: str) -> bytes:
        """Check a shared secret."""
        data = value.encode()
        if len(value) < MIN_KEY_CHARS:
            self.add_error(name, f"has fewer than {MIN_KEY_CHARS} characters")
        if len(data) > MAX_KEY_BYTES:
            self.add_error(name, f"is longer than {MAX_KEY_BYTES} bytes")
        return data

    def one_of(
        self, name: str, value: str, allowed: collections.abc.Sequence[str]
    ) -> str:
        """Check that a value is one of those allowed."""
        if value not in allowed:
            self.add_error(name, f"{value!r} is not one of {', '.join(allowed)}")
        return value


def zone_delay_s(cfg: Settings, first: str, second: str) -> float:
    """Return the one-way delay between two zones, 0 within one zone."""
    if first == second:
        return 0.0
    pair = (min(first, second), max(first, second))
    return cfg.zone_delays_s.get(pair, 0.001)

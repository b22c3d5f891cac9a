"""Counters, gauges and latency histograms in the Prometheus text format."""

import prometheus_client
from prometheus_client import exposition

from snipelug_core import fleet
from snipelug_relay import state

LATENCY_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 8.0)
"""Bucket bounds around the objectives of the deployments, 0.1 to 0.8 s."""

MAX_LIMITED_UPSTREAMS = 100
"""Maximum number of upstreams whose limits are served, the lowest limits first."""


class Stats:
    """Metrics of one node."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            "snipelug_requests",
            "Requests by route, outcome and reason.",
            ["route", "outcome", "reason"],
            registry=self.registry,
        )
        self.attempts = prometheus_client.Counter(
            "snipelug_attempts",
            "Sends to upstreams by result.",
            ["service", "result"],
            registry=self.registry,
        )
        self.first_byte = prometheus_client.Histogram(
            "snipelug_first_byte_seconds",
            "Time until the answer or its first event.",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.request_seconds = prometheus_client.Histogram(
            "snipelug_request_seconds",
            "Time until the end of the answer.",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.parts = prometheus_client.Counter(
            "snipelug_prompt_tokens",
            "Prompt tokens by what was asked for: read, fetched or saved.",
            ["what"],
            registry=self.registry,
        )
        self.orders = prometheus_client.Counter(
            "snipelug_weight_orders",
            "Orders to load weights by the status of the answer.",
            ["status"],
            registry=self.registry,
        )
        self.store_calls = prometheus_client.Counter(
            "snipelug_store_calls",
            "Calls to the platform's store by kind and outcome.",
            ["call", "outcome"],
            registry=self.registry,
        )
        self.saves = prometheus_client.Counter(
            "snipelug_saves",
            "Prompt parts to be saved, by the answer to the claim.",
            ["answer"],
            registry=self.registry,
        )
        self.crashes = prometheus_client.Counter(
            "snipelug_upstream_crashes",
            "Crashes of upstreams that broke off attempts of this node.",
            ["service"],
            registry=self.registry,
        )
        self.suspects = prometheus_client.Counter(
            "snipelug_suspects",
            "Suspects of crashes: suspected, withheld or cleared; attempts aborted.",
            ["what"],
            registry=self.registry,
        )
        self.task_failures = prometheus_client.Counter(
            "snipelug_task_failures",
            "Unexpected errors of background tasks, which were restarted.",
            ["task"],
            registry=self.registry,
        )
        self.held_back = prometheus_client.Counter(
            "snipelug_held_back",
            "Requests held back because of a limit that upstreams named, by reason.",
            ["service", "reason"],
            registry=self.registry,
        )
        self.dropped = prometheus_client.Counter(
            "snipelug_dropped_clients",
            "Requests and connections of clients given up for others, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.transfer_delay = prometheus_client.Gauge(
            "snipelug_transfer_delay_seconds",
            "How much longer than expected transfers from a KV cache store take.",
            ["store"],
            registry=self.registry,
        )
        self.discarded = prometheus_client.Counter(
            "snipelug_discarded_responses",
            "Responses that belong to no request under way, by calls and reason.",
            ["calls", "reason"],
            registry=self.registry,
        )
        self.releases = prometheus_client.Counter(
            "snipelug_release_responses",
            "Responses while a release is tested: of base or target, by result.",
            ["service", "release", "result"],
            registry=self.registry,
        )
        self.release_share = prometheus_client.Gauge(
            "snipelug_release_share",
            "Part of a service's requests that the ordered release gets.",
            ["service"],
            registry=self.registry,
        )
        self._limits = prometheus_client.Gauge(
            "snipelug_upstream_limit",
            "Requests per second that an upstream takes from all nodes.",
            ["upstream"],
            registry=self.registry,
        )
        self._gauges = {
            name: prometheus_client.Gauge(
                f"snipelug_{name}", text, registry=self.registry
            )
            for name, text in (
                ("configuration_version", "Version of the configuration in force."),
                ("configuration_age_seconds", "Time since it was confirmed."),
                ("upstreams", "Upstreams listed."),
                ("members", "Nodes that share the upstreams."),
                ("lines_left_out", "Routine log lines left out so far."),
            )
        }

    def render(self, node_state: state.State, now: float, left_out: int) -> bytes:
        """Return all metrics as text."""
        known = node_state.catalog
        values = {
            "configuration_version": known.version if known is not None else 0,
            "configuration_age_seconds": now - node_state.confirmed_at,
            "upstreams": len(node_state.fleet.upstreams),
            "members": node_state.nodes,
            "lines_left_out": left_out,
        }
        for name, value in values.items():
            self._gauges[name].set(value)
        self._limits.clear()
        for upstream_id, per_s in _lowest_limits(node_state.fleet):
            self._limits.labels(upstream_id).set(per_s)
        return exposition.generate_latest(self.registry)


def _lowest_limits(known: fleet.Fleet) -> list[tuple[str, float]]:
    limits = (
        (upstream_id, upstream.limit_per_s)
        for upstream_id, upstream in known.upstreams.items()
    )
    named = [(upstream_id, per_s) for upstream_id, per_s in limits if per_s is not None]
    return sorted(named, key=lambda item: item[1])[:MAX_LIMITED_UPSTREAMS]

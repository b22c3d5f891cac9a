"""Stand-in for a plain service that counts how often each order runs."""

import collections
import hashlib
import http
import typing

import msgspec
import trio

from snipelug_net import http_server
from snipelug_standins import faults, load, standin


class Service:
    """A service on all paths; each POST with an ``order_id`` is a run of that order.

    Parameters
    ----------
    time_s : float
        Duration of each call after it took effect, in seconds.
    warmth : load.Warmth
        Warm or cold state.
    lag_s : float
        Minimum age of load reports, in seconds.
    """

    faults_type = faults.UpstreamFaults

    def __init__(self, time_s: float, warmth: load.Warmth, lag_s: float = 0.0) -> None:
        self.time_s = time_s
        self.warmth = warmth
        self.reports = load.Reports(lag_s)
        self.leaving = False
        self.orders: collections.Counter[str] = collections.Counter()
        self.bodies: collections.Counter[str] = collections.Counter()

    async def handle(self, req: http_server.Request) -> http_server.Response:
        """Handle one request."""
        if req.path == "/load" and req.method == "GET":
            if not self.reports.lag_s:
                self.reports.add(self._sample())
            return http_server.json_response(http.HTTPStatus.OK, self.reports.read())
        active_request = self.warmth.admit()
        if isinstance(active_request, load.Overloaded):
            return _overloaded()
        completed = False
        try:
            response = self._run(req)
            await trio.sleep(self.time_s)
            completed = not active_request.aborted
        finally:
            self.warmth.finish(active_request, completed)
        return response if completed else _overloaded()

    def _run(self, req: http_server.Request) -> http_server.Response:
        # Runs before the delay, so that a caller that disconnects cannot prevent it.
        digest = hashlib.sha256(req.body).hexdigest()
        order_id = _order_id(req)
        if req.method not in standin.SAFE_METHODS:
            self.bodies[digest] += 1
        if order_id is not None:
            self.orders[order_id] += 1
        content = {
            "method": req.method,
            "path": req.path,
            "query": req.query,
            "body_sha256": digest,
            "order_id": order_id,
            "run": self.orders[order_id] if order_id is not None else None,
            "boot_id": self.warmth.boot_id,
        }
        status = http.HTTPStatus.OK if order_id is None else http.HTTPStatus.CREATED
        return http_server.json_response(status, content)

    def _sample(self) -> dict[str, object]:
        return load.sample(
            self.warmth, self.leaving, len(self.warmth.active_requests), 0, ""
        )

    def set_faults(self, wanted: faults.Faults) -> bool:
        """Apply new faults."""
        assert isinstance(wanted, faults.UpstreamFaults)
        self.leaving = wanted.leaving
        return self.warmth.apply(wanted)

    def stats(self) -> dict[str, object]:
        """Return counters for tests."""
        runs = {"orders": dict(self.orders), "bodies": dict(self.bodies)}
        return load.warmth_stats(self.warmth) | runs

    async def run(self) -> None:
        """Record load reports until cancelled."""
        while True:
            self.reports.add(self._sample())
            await trio.sleep(load.SAMPLE_INTERVAL_S)


def _overloaded() -> http_server.Response:
    message = "the upstream failed under load while cold"
    return standin.error(http.HTTPStatus.INTERNAL_SERVER_ERROR, "overloaded", message)


def _order_id(req: http_server.Request) -> str | None:
    if req.method != "POST":
        return None
    try:
        content: typing.Any = msgspec.json.decode(req.body)
    except msgspec.DecodeError:
        return None
    if not isinstance(content, dict) or "order_id" not in content:
        return None
    return str(content["order_id"])

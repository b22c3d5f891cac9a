"""Builds calls to plain services."""

import dataclasses
import urllib.parse

from snipelug_core import refusal, table
from snipelug_net import http_client, http_server

PREFIX = "/services/"
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Hop-by-hop fields of RFC 9110, and fields that hold the caller's credentials.
DROPPED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclasses.dataclass(frozen=True)
class Target:
    """Destination of a service call: the service's name and the path within it."""

    name: str
    path: str


def parse_path(path: str) -> Target | refusal.Refusal:
    """Parse ``/services/NAME/PATH``."""
    name, _, rest = path.removeprefix(PREFIX).partition("/")
    if not name:
        return refusal.refuse(
            refusal.NOT_FOUND, f"path {path!r} does not name a service"
        )
    return Target(name, "/" + rest)


def requires_key(target: Target, method: str, prefixes: tuple[str, ...]) -> bool:
    """Return whether the contract requires an idempotency key for this call."""
    if method in IDEMPOTENT_METHODS:
        return False
    full = target.name + target.path
    return any(full.startswith(prefix) for prefix in prefixes)


def build_call(
    inst: table.Instance,
    target: Target,
    req: http_server.Request,
    request_id: str,
    timeout_s: float,
) -> http_client.Call:
    """Build the HTTP request to one service instance."""
    headers = {k: v for k, v in req.headers.items() if k not in DROPPED_HEADERS}
    headers["x-request-id"] = request_id
    path = urllib.parse.quote(target.path)
    if req.query:
        path += "?" + urllib.parse.urlencode(req.query)
    return http_client.Call(
        (inst.host, inst.port), req.method, path, headers, req.body, timeout_s
    )


def response_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return the response headers that are forwarded to the caller."""
    return {k: v for k, v in headers.items() if k not in DROPPED_HEADERS}

"""Refusals: why a request was refused, and whether an upstream executed it."""

import dataclasses
import enum


class RunState(enum.StrEnum):
    """Whether an upstream executed a refused request."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of refusal.

    Attributes
    ----------
    code : str
        Stable, machine-readable error code.
    status : int
        HTTP status of the response.
    retry_after_s : float or None
        Default time after which a retry may succeed, in seconds.
    """

    code: str
    status: int
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The refusal of one request.

    Attributes
    ----------
    kind : Kind
        The kind of refusal.
    message : str
        Human-readable explanation.
    run_state : RunState
        ``NOT_RUN`` only if the request was certainly not sent to an upstream.
    retry_after_s : float or None
        Time after which a retry may succeed, in seconds.
    """

    kind: Kind
    message: str
    run_state: RunState = RunState.NOT_RUN
    retry_after_s: float | None = None

    def content(self) -> dict[str, object]:
        """Return the JSON body of the error response."""
        detail = {
            "code": self.kind.code,
            "message": self.message,
            "run_state": self.run_state.value,
            "retry_after_s": self.retry_after_s,
        }
        return {"error": detail}


BAD_REQUEST = Kind("bad_request", 400)
UNAUTHENTICATED = Kind("unauthenticated", 401)
FORBIDDEN = Kind("forbidden", 403)
NOT_FOUND = Kind("not_found", 404)
KEY_REQUIRED = Kind("idempotency_key_required", 400)
KEY_REUSED = Kind("key_reused", 422)
QUARANTINED = Kind("quarantined", 422)
WITHHELD = Kind("quarantined", 503, 60.0)
PROMPT_TOO_LONG = Kind("prompt_too_long", 413)
LIMIT_REACHED = Kind("limit_reached", 429, 1.0)
QUEUE_FULL = Kind("queue_full", 429, 2.0)
DEADLINE_UNREACHABLE = Kind("deadline_unreachable", 503, 5.0)
NODE_NOT_CURRENT = Kind("node_not_current", 503, 1.0)
NODE_STOPPING = Kind("node_stopping", 503, 1.0)
NO_UPSTREAM = Kind("no_upstream", 503, 2.0)
UPSTREAM_LIMITED = Kind("upstream_limited", 503, 1.0)
OVERLOADED = Kind("overloaded", 503, 1.0)
STORE_UNAVAILABLE = Kind("store_unavailable", 503, 5.0)
IN_PROGRESS = Kind("in_progress", 409, 2.0)
UPSTREAM_LOST = Kind("upstream_lost", 502)
UPSTREAM_TIMEOUT = Kind("upstream_timeout", 504)
NODE_STOPPED = Kind("node_stopped", 502)
OUTCOME_UNKNOWN = Kind("outcome_unknown", 409)


def refuse(
    kind: Kind,
    message: str,
    run_state: RunState = RunState.NOT_RUN,
    retry_after_s: float | None = None,
) -> Refusal:
    """Build a refusal; the retry time defaults to that of the kind."""
    wait_s = kind.retry_after_s if retry_after_s is None else retry_after_s
    return Refusal(kind, message, run_state, wait_s)

"""One request under way, its sends to upstreams, and how they ended."""

import collections.abc
import dataclasses

from snipelug_core import attempt, catalog, fleet
from snipelug_net import http_client, http_server
from snipelug_relay import clock, ports, sse


@dataclasses.dataclass
class Job:
    """One request under way.

    Attributes
    ----------
    deadline : float
        When the answer must be complete, in seconds.
    tried : set of str
        Upstreams that got the request.
    trace : list of dict
        One entry for each attempt, for the log.
    """

    request: ports.CallerRequest
    route: catalog.Route
    team: catalog.Team | None
    service: str
    started_at: float
    deadline: float
    history: attempt.History = dataclasses.field(default_factory=attempt.History)
    tried: set[str] = dataclasses.field(default_factory=set)
    trace: list[dict[str, object]] = dataclasses.field(default_factory=list)
    first_byte_at: float | None = None
    is_finished: bool = False

    def left_s(self) -> float:
        """Return the time until the deadline, in seconds."""
        return self.deadline - clock.now()


@dataclasses.dataclass
class UpstreamAttempt:
    """One send to an upstream, and what is counted there until it ends.

    Attributes
    ----------
    on_not_run : callable or None
        Takes back what follows only if the upstream runs the request.
    """

    upstream: fleet.Upstream
    tokens: int
    prefill_tokens: int
    trace_entry: dict[str, object]
    on_prompt_read: collections.abc.Callable[[], None] | None = None
    on_not_run: collections.abc.Callable[[], None] | None = None
    has_ended: bool = False

    def start(self, now: float) -> None:
        """Count the request at the upstream."""
        upstream = self.upstream
        upstream.running += 1
        upstream.reserved_tokens += self.tokens
        upstream.prefill_tokens += self.prefill_tokens
        if upstream.silent_since is None:
            upstream.silent_since = now

    def record_data(self, now: float) -> None:
        """Note that the upstream has answered something."""
        self.upstream.connect_failures = 0
        waits = self.upstream.running > 1
        self.upstream.silent_since = now if waits else None

    def record_prompt_read(self) -> None:
        """Note that the prompt has been read."""
        self.upstream.prefill_tokens -= self.prefill_tokens
        self.prefill_tokens = 0
        if self.on_prompt_read is not None:
            self.on_prompt_read()
            self.on_prompt_read = None

    def finish(self) -> None:
        """Stop counting the request."""
        if self.has_ended:
            return
        self.has_ended = True
        self.record_prompt_read()
        self.upstream.running -= 1
        self.upstream.reserved_tokens -= self.tokens
        if self.upstream.running == 0:
            self.upstream.silent_since = None


@dataclasses.dataclass
class Outcome:
    """How one attempt ended.

    Attributes
    ----------
    reply : http_client.StreamingResponse or None
        The open answer of a stream.
    events : bytes
        Its first whole events.
    response : http_server.Response or None
        The whole answer of any other request.
    """

    result: attempt.Result
    reason: str = ""
    upstream_attempt: UpstreamAttempt | None = None
    reply: http_client.StreamingResponse | None = None
    splitter: sse.Splitter | None = None
    events: bytes = b""
    has_ended: bool = False
    response: http_server.Response | None = None

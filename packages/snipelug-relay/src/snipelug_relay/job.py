"""A request in progress, its attempts on upstreams, and their outcomes."""

import collections.abc
import dataclasses
import math

import trio

from snipelug_core import attempt, catalog, fleet, shutdown
from snipelug_net import http_client, http_server
from snipelug_relay import clock, ports, sse

LONG_PROMPT_TOKENS = 2_048
"""Minimum size of a prompt whose time to the first token is compared with others."""


@dataclasses.dataclass(eq=False)
class Job:
    """A request in progress.

    Attributes
    ----------
    deadline : float
        Monotonic time by which the response must be complete, in seconds.
    allowed_until : float
        The deadline that the caller and the route set. While the node stops,
        ``deadline`` may be earlier.
    scope : trio.CancelScope
        Cancelled when the node answers its open requests at the end of a stop.
    history : attempt.History
        All attempts. ``Relay._attempt`` alone adds to it.
    tried : set of str
        Upstreams to which the request was sent.
    sent_at : float
        Monotonic time of the latest attempt, in seconds.
    trace : list of dict
        One log entry per attempt.
    suspects : frozenset of str or None
        What crashes may be charged to; None if not needed yet.
    was_broken : bool
        Whether an upstream broke off a response that had begun.
    holds_retry : bool
        Whether it has taken a retry from the budget that is not sent yet.
    permit_until : float
        Monotonic time until which the next send is permitted, in seconds.
    held_back : dict of str to float
        By upstream, the monotonic time from which it may ask for a permit again, in
        seconds.
    limits : list of dict
        Log entries of the limited upstreams because of which it was refused.
    is_probe : bool
        Whether it is sent to find out if a withheld suspect still crashes upstreams.
    service_cfg : catalog.Service or None
        The service in the configuration with which the request arrived. It is used
        after the operator has removed the service.
    allowed_ids : frozenset of str or None
        Upstreams that may take the next attempt, by their release; None for all.
    is_canary : bool
        Whether the next attempt is one of those with which a release is tested.
    is_transfer_probe : bool or None
        Whether it reads from KV cache stores even if they are slow; None if not
        decided.
    """

    request: ports.CallerRequest
    route: catalog.Route
    team: catalog.Team | None
    service: str
    started_at: float
    deadline: float
    allowed_until: float
    scope: trio.CancelScope = dataclasses.field(default_factory=trio.CancelScope)
    history: attempt.History = dataclasses.field(default_factory=attempt.History)
    tried: set[str] = dataclasses.field(default_factory=set)
    sent_at: float = math.inf
    trace: list[dict[str, object]] = dataclasses.field(default_factory=list)
    first_byte_at: float | None = None
    is_finished: bool = False
    suspects: frozenset[str] | None = None
    was_broken: bool = False
    holds_retry: bool = False
    permit_until: float = math.inf
    held_back: dict[str, float] = dataclasses.field(default_factory=dict)
    limits: list[dict[str, object]] = dataclasses.field(default_factory=list)
    is_probe: bool = False
    service_cfg: catalog.Service | None = None
    allowed_ids: frozenset[str] | None = None
    is_canary: bool = False
    is_transfer_probe: bool | None = None

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is the highest."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request."""
        return self.history.runs > 0

    @property
    def is_one_run(self) -> bool:
        """Whether one upstream has made the whole response.

        If upstreams that crash each made a part of it, it does not show that the
        request crashes none.
        """
        return not self.was_broken and self.request.resume_after is None

    @property
    def is_shortened(self) -> bool:
        """Whether the end of the node comes before the request's own deadline."""
        return self.deadline < self.allowed_until

    def limit(self, plan: shutdown.Schedule) -> None:
        """End the request before the node ends."""
        self.deadline = plan.limit(self.allowed_until, self.route.is_stream)
        left_s = plan.answers_at - clock.now()
        self.scope.deadline = trio.current_time() + left_s

    def left_s(self) -> float:
        """Return the time until the deadline, in seconds."""
        return self.deadline - clock.now()


@dataclasses.dataclass
class UpstreamAttempt:
    """One attempt on an upstream, counted in the upstream's load until it ends.

    Attributes
    ----------
    sent_at : float
        Monotonic time at which it was started, in seconds.
    on_prompt_read : callable or None
        Announces to other nodes that the prompt has been read.
    on_not_run : callable or None
        Reverts what assumed that the upstream runs the request.
    store : str
        KV cache store from which the upstream reads the largest part; empty if none.
    store_delay_s : float
        Delay that was expected of that transfer, in seconds.
    """

    upstream: fleet.Upstream
    tokens: int
    prefill_tokens: int
    trace_entry: dict[str, object]
    sent_at: float = math.inf
    on_prompt_read: collections.abc.Callable[[], None] | None = None
    on_not_run: collections.abc.Callable[[], None] | None = None
    store: str = ""
    store_delay_s: float = 0.0
    has_ended: bool = False

    @property
    def is_long(self) -> bool:
        """Whether the prompt takes long enough to compare with other long ones."""
        return bool(self.store) or self.tokens >= LONG_PROMPT_TOKENS

    def start(self, now: float) -> None:
        """Add the request to the upstream's load."""
        upstream = self.upstream
        self.sent_at = now
        upstream.running += 1
        upstream.reserved_tokens += self.tokens
        upstream.prefill_tokens += self.prefill_tokens
        if upstream.silent_since is None:
            upstream.silent_since = now

    def record_data(self, now: float) -> None:
        """Record that the upstream has sent data."""
        self.upstream.connect_failures = 0
        waits = self.upstream.running > 1
        self.upstream.silent_since = now if waits else None

    def record_prompt_read(self) -> None:
        """Record that prefill of the prompt is complete."""
        self.upstream.prefill_tokens -= self.prefill_tokens
        self.prefill_tokens = 0
        if self.on_prompt_read is not None:
            self.on_prompt_read()
            self.on_prompt_read = None

    def finish(self) -> None:
        """Remove the request from the upstream's load."""
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
    """Outcome of one attempt.

    Attributes
    ----------
    reply : http_client.StreamingResponse or None
        The open response of a stream.
    events : bytes
        Its first complete events.
    is_closed : bool
        Whether the upstream closed the connection before the response was complete.
    response : http_server.Response or None
        The complete response to any other request.
    is_withheld : bool
        Whether nothing was sent as the upstream must not be used any more.
    """

    result: attempt.Result
    reason: str = ""
    upstream_attempt: UpstreamAttempt | None = None
    reply: http_client.StreamingResponse | None = None
    splitter: sse.Splitter | None = None
    events: bytes = b""
    has_ended: bool = False
    is_closed: bool = False
    response: http_server.Response | None = None
    is_withheld: bool = False

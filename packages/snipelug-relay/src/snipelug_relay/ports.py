"""Interfaces of the relay to the platform, and the values that they exchange."""

import collections.abc
import dataclasses
import typing

from snipelug_core import (
    catalog,
    choice,
    fleet,
    kv_index,
    named_limit,
    quarantine,
    refusal,
    release,
    retirement,
    rollout,
)
from snipelug_net import http_client, http_server


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Bounds that the deployment guarantees, in the units of their names."""

    drain_s: float = 2.0
    grace_s: float = 8.0
    retry_part: float = 0.2
    retry_extra: float = 52.0
    retry_window_s: float = 10.0
    lease_ms: float = 3000.0
    version_s: float = 8.0


@dataclasses.dataclass(frozen=True)
class Settings:
    """Settings of one node.

    Attributes
    ----------
    callers, ready : (str, int)
        Addresses for callers and for the load balancer.
    metrics : (str, int) or None
        Address that serves metrics; None to disable them.
    is_first_start : bool
        Whether no node of the deployment has run before.
    memory_bytes, descriptors : int or None
        Memory and file descriptors of the node's machine; None if not known.
    exposure : release.Exposure or None
        What a bad release may get; None if the deployment has no releases.
    store : (str, int)
        Address of the platform's store.
    peers : (str, int) or None
        Address that receives datagrams of other nodes; None to disable them.
    """

    node_id: str
    zone: str
    callers: http_client.Address
    ready: http_client.Address
    store: http_client.Address
    peers: http_client.Address | None = None
    metrics: http_client.Address | None = None
    bounds: Bounds = dataclasses.field(default_factory=Bounds)
    heartbeat_s: float = 1.2
    exposure: release.Exposure | None = None
    memory_bytes: int | None = None
    descriptors: int | None = None
    is_first_start: bool = False


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A decoded request of a caller.

    Attributes
    ----------
    time_left_s : float or None
        How long the caller waits, in seconds; None if not given.
    resume_after : str or None
        Id of the last event that the caller has received.
    model : str
        Requested model; empty for services without engines.
    parts : tuple of choice.PromptPart
        Parts of the prompt in order.
    output_tokens : int
        Maximum tokens of the response.
    forwarded_headers : tuple of (str, str)
        Header fields that are sent to upstreams unchanged.
    """

    request_id: str
    method: str
    target: str
    host: str
    path: str
    key: str | None
    time_left_s: float | None
    resume_after: str | None
    model: str
    parts: tuple[choice.PromptPart, ...]
    output_tokens: int
    forwarded_headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True)
class AttemptOptions:
    """Parameters of one attempt that are sent in addition to the caller's request.

    Attributes
    ----------
    time_left_s : float
        Time until the deadline, in seconds.
    version : int or None
        Weight version that the upstream must serve.
    salt : str
        Cache salt of the prompt's parts; empty for services without engines.
    priority : int or None
        Priority at the upstream; 0 is the highest.
    """

    upstream_id: str
    time_left_s: float
    team: str | None = None
    version: int | None = None
    salt: str = ""
    plan: kv_index.Plan = kv_index.NO_PLAN
    priority: int | None = None
    resume_after: str | None = None


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Decoded status and header fields of an upstream's response.

    Attributes
    ----------
    is_turned_away : bool
        Whether the upstream rejected the request without running it.
    is_own : bool
        Whether the response has the upstream's signature and this request's id.
    is_other_instance : bool
        Whether the upstream is not the expected instance or weight version.
    load : tuple of (int, int, int) or None
        Numbers of running requests, waiting requests and slots.
    slowness : float or None
        How long work takes at the upstream now, 1 as usual; None if not told.
    version : int or None
        Weight version that serves the request.
    cold_s : float or None
        Remaining cold start time of the upstream, in seconds.
    is_leaving : bool
        Whether the upstream states that it is leaving.
    pause_s : float or None
        Time for which the upstream wants no requests from this node, in seconds.
    limit : named_limit.Answer or None
        What it tells about the rate limit of the upstream; None if nothing usable.
    is_event_stream : bool
        Whether the body may be a stream of events, by its content type.
    """

    is_turned_away: bool
    is_own: bool
    is_other_instance: bool = False
    load: tuple[int, int, int] | None = None
    slowness: float | None = None
    version: int | None = None
    cold_s: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None
    limit: named_limit.Answer | None = None
    is_event_stream: bool = True


class Dialect(typing.Protocol):
    """Codec for the header fields of callers and upstreams."""

    def decode_request(
        self, req: http_server.Request
    ) -> CallerRequest | refusal.Refusal:
        """Decode a caller's request."""
        ...

    def build_call(
        self, request: CallerRequest, options: AttemptOptions, addr: http_client.Address
    ) -> http_client.Call:
        """Build the request to an upstream."""
        ...

    def decode_head(
        self, request: CallerRequest, status: int, headers: dict[str, str]
    ) -> ResponseHead:
        """Decode the status and header fields of an upstream's response."""
        ...

    def response_headers(self, headers: dict[str, str]) -> dict[str, str]:
        """Return the header fields of an upstream's response for the caller."""
        ...

    def build_refusal(
        self, request: CallerRequest | None, reason: refusal.Refusal
    ) -> http_server.Response:
        """Build the response to a request that this node does not relay."""
        ...


@dataclasses.dataclass(frozen=True)
class Version:
    """Weight version named for a model."""

    model: str
    version: int


@dataclasses.dataclass(frozen=True)
class Unreadable:
    """An entry that cannot be decoded."""

    key: str
    reason: str


@dataclasses.dataclass(frozen=True)
class Evacuation:
    """An availability zone that receives no new requests."""

    zone: str


@dataclasses.dataclass(frozen=True)
class Removed:
    """A row that was deleted.

    Attributes
    ----------
    item : Evacuation, Version, release.Order or str
        Decoded content of the row; an upstream's id for the list of upstreams.
    """

    item: "Evacuation | Version | release.Order | str"


Intent = catalog.Catalog | Version | Evacuation | release.Order | Removed | Unreadable
"""An entry of the operator's table."""

Listing = fleet.Entry | Removed | Unreadable
"""An entry of the list of upstreams."""

Item = typing.TypeVar("Item")


@dataclasses.dataclass(frozen=True)
class Page(typing.Generic[Item]):
    """Rows or changes of one table.

    Attributes
    ----------
    position : int
        Position from which the next changes are read.
    clock_ms : float
        The store's clock, in milliseconds.
    epoch : int
        Number of times the store has been restored from a copy. Positions and versions
        of rows from different epochs are not comparable.
    """

    items: list[Item]
    position: int
    clock_ms: float
    epoch: int = 0


@dataclasses.dataclass(frozen=True)
class HistoryLost:
    """The store no longer has the requested changes."""


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The call failed or its response is not usable."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Member:
    """A node's row in the member table.

    Attributes
    ----------
    seen_ms : float
        Upper bound of the store's clock when the row was written, in milliseconds.
    addr : (str, int) or None
        Address at which the node receives datagrams.
    demand_per_s : float
        Requests that the node received per second before it wrote the row.
    started_ms : float or None
        The store's clock when the node first read from it, in milliseconds.
    """

    node_id: str
    zone: str
    seen_ms: float
    addr: http_client.Address | None = None
    demand_per_s: float = 0.0
    started_ms: float | None = None


@dataclasses.dataclass(frozen=True)
class LeaseRow:
    """The row of the lease for weight orders.

    Attributes
    ----------
    lease : rollout.Lease or None
        None if the row does not exist or cannot be decoded.
    version : int
        Version of the row, 0 if it does not exist.
    """

    lease: rollout.Lease | None
    version: int
    clock_ms: float
    epoch: int = 0


@dataclasses.dataclass(frozen=True)
class LeaseWritten:
    """The lease was written.

    Attributes
    ----------
    version : int
        Version of the row; increases with each transaction of the store.
    """

    version: int
    clock_ms: float
    epoch: int = 0


@dataclasses.dataclass(frozen=True)
class Conflict:
    """Another node wrote the row first, or the store was restored meanwhile."""


@dataclasses.dataclass(frozen=True)
class RetirementRow:
    """A row with the times at which the weight versions of a model were named.

    Attributes
    ----------
    row_version : int
        Version of the row, 0 if it does not exist.
    epoch : int
        Epoch of the store in which the row was read.
    clock_epoch : int
        Epoch in which the row was written; its times are on the store's clock then.
    """

    model: str
    history: retirement.History
    row_version: int
    epoch: int = 0
    clock_epoch: int = 0


@dataclasses.dataclass(frozen=True)
class SuspectRow:
    """The row of a suspect of crashes.

    Attributes
    ----------
    probe_at_ms : float
        Time of the store's clock from which one node may send a request with it.
    probes : int
        Number of requests that were sent that way.
    version : int
        Version of the row, 0 if it does not exist.
    epoch : int
        Epoch of the store in which the row was read.
    """

    suspicion: quarantine.Suspicion
    probe_at_ms: float
    probes: int
    version: int
    epoch: int = 0


@dataclasses.dataclass(frozen=True)
class ReleaseRow:
    """The row of a service's latest release.

    Attributes
    ----------
    holder : str
        Node that leads the release.
    until_ms : float
        End of its lease on the store's clock, in milliseconds.
    version : int
        Version of the row, 0 if it does not exist.
    epoch : int
        Epoch of the store in which the row was read.
    """

    progress: release.Progress
    holder: str
    until_ms: float
    version: int
    epoch: int = 0


class ControlStore(typing.Protocol):
    """The platform's store as used by the relay."""

    async def read_intents(self) -> Page[Intent] | Unavailable:
        """Read the operator's whole table."""
        ...

    async def watch_intents(
        self, position: int, wait_s: float
    ) -> Page[Intent] | HistoryLost | Unavailable:
        """Wait for changes of the operator's table."""
        ...

    async def read_upstreams(self) -> Page[Listing] | Unavailable:
        """Read the whole list of upstreams."""
        ...

    async def watch_upstreams(
        self, position: int, wait_s: float
    ) -> Page[Listing] | HistoryLost | Unavailable:
        """Wait for changes of the list of upstreams."""
        ...

    async def read_members(self) -> Page[Member] | Unavailable:
        """Read the member table."""
        ...

    async def write_member(self, member: Member) -> Unavailable | None:
        """Write this node's row."""
        ...

    async def remove_member(self, node_id: str) -> Unavailable | None:
        """Remove a node's row."""
        ...

    async def read_lease(self) -> LeaseRow | Unavailable:
        """Read the lease for weight orders."""
        ...

    async def write_lease(
        self, lease: rollout.Lease, expected: int
    ) -> LeaseWritten | Conflict | Unavailable:
        """Write the lease if its row still has the expected version."""
        ...

    async def read_retirements(self) -> Page[RetirementRow] | Unavailable:
        """Read the times at which weight versions were named."""
        ...

    async def write_retirement(
        self, row: RetirementRow
    ) -> Conflict | Unavailable | None:
        """Write the times of one model if its row still has the same version.

        The result is a conflict if the store is no longer in the epoch of the row.
        """
        ...

    async def read_suspects(self) -> Page[SuspectRow] | Unavailable:
        """Read the rows of all suspects of crashes."""
        ...

    async def write_suspect(self, row: SuspectRow) -> bool | Unavailable:
        """Write a row if its version is unchanged; return whether it was written.

        It counts as not written if the store is no longer in the epoch of the row.
        """
        ...

    async def remove_suspect(self, row: SuspectRow) -> bool | Unavailable:
        """Remove a row like ``write_suspect``; return whether it was removed."""
        ...

    async def read_releases(self) -> Page[ReleaseRow] | Unavailable:
        """Read the rows of the latest release of each service."""
        ...

    async def write_release(
        self, row: ReleaseRow
    ) -> LeaseWritten | Conflict | Unavailable:
        """Write a row if its version is unchanged, and its state for the operator."""
        ...

    async def write_release_status(self, order: release.Order) -> Unavailable | None:
        """Tell the operator why an order cannot be carried out."""
        ...


@dataclasses.dataclass(frozen=True)
class Report:
    """State that an engine reports.

    Attributes
    ----------
    orders : int
        Number of orders that it has accepted.
    is_busy : bool
        Whether it is carrying out an order.
    waiting : int
        Number of requests that it has not started.
    is_leaving : bool
        Whether it states that it is leaving.
    limit : named_limit.Answer or None
        What the response tells about its rate limit; None if nothing usable.
    """

    versions: dict[str, int]
    orders: int
    is_busy: bool
    waiting: int = 0
    is_leaving: bool = False
    limit: named_limit.Answer | None = None


@dataclasses.dataclass(frozen=True)
class Stored:
    """A part that is complete in a KV cache store."""

    key: kv_index.PartKey
    tokens: int


@dataclasses.dataclass(frozen=True)
class Freed:
    """A part that was removed from a KV cache store."""

    key: kv_index.PartKey


@dataclasses.dataclass(frozen=True)
class StoreEvents:
    """Events of a KV cache store.

    Attributes
    ----------
    has_gap : bool
        Whether events before these are lost.
    clock_s : float or None
        The store's clock, in seconds, if reported.
    """

    epoch: int
    next: int
    has_gap: bool
    clock_s: float | None
    events: list[Stored | Freed]


@dataclasses.dataclass(frozen=True)
class StoreList:
    """All parts in a KV cache store.

    Attributes
    ----------
    partial : list of kv_index.PartKey
        Parts that are being written, or whose save was broken off.
    """

    epoch: int
    next: int
    parts: list[Stored]
    partial: list[kv_index.PartKey] = dataclasses.field(default_factory=list)


class OrderAnswer(typing.NamedTuple):
    """An engine's response to an order; status 0 if there was none."""

    status: int
    reason: str


class Machines(typing.Protocol):
    """Direct calls to engines and KV cache stores."""

    async def report(self, addr: http_client.Address) -> Report | Unavailable:
        """Read the state of an engine."""
        ...

    async def order_version(
        self,
        entry: fleet.Entry,
        model: str,
        version: int,
        lease: rollout.Lease,
        accepted_orders: int,
    ) -> OrderAnswer:
        """Order an engine to load weights, unless it has accepted newer orders."""
        ...

    async def store_events(
        self, addr: http_client.Address, since: int
    ) -> StoreEvents | Unavailable:
        """Read the events of a KV cache store."""
        ...

    async def store_list(self, addr: http_client.Address) -> StoreList | Unavailable:
        """Read the complete list of a KV cache store."""
        ...

    async def free(
        self,
        addr: http_client.Address,
        keys: collections.abc.Sequence[kv_index.PartKey],
        epoch: int,
        until_s: float | None = None,
    ) -> bool:
        """Free parts of a KV cache store, unless it has restarted.

        Parameters
        ----------
        until_s : float or None
            Time on the store's clock after which it ignores the call, in seconds.
        """
        ...

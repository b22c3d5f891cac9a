"""What the relay needs of the platform, and the values that pass between them."""

import collections.abc
import dataclasses
import typing

from snipelug_core import catalog, choice, fleet, kv_index, refusal, rollout
from snipelug_net import http_client, http_server


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Figures that the deployment promises, in the units of their names."""

    drain_s: float = 2.0
    grace_s: float = 8.0
    retry_part: float = 0.2
    retry_extra: float = 52.0
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
        Address of the metrics; None for none.
    store : (str, int)
        Address of the platform's store.
    peers : (str, int) or None
        Address for datagrams of other nodes; None for none.
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


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A caller's request, decoded.

    Attributes
    ----------
    time_left_s : float or None
        How long the caller waits, in seconds; None if it did not say.
    resume_after : str or None
        Id of the last event that the caller has.
    model : str
        Model asked for; empty for plain services.
    parts : tuple of choice.PromptPart
        Parts of the prompt in order.
    output_tokens : int
        Most tokens of the answer.
    passed : tuple of (str, str)
        Header fields that upstreams get as they are.
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
    """What the relay tells an upstream beside the caller's request.

    Attributes
    ----------
    time_left_s : float
        Time until the deadline, in seconds.
    version : int or None
        Weight version that the upstream must serve.
    salt : str
        Name under which the prompt's parts are cached; empty for plain services.
    priority : int or None
        Rank at the upstream; 0 comes first.
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
    """What the head of an upstream's answer says.

    Attributes
    ----------
    is_turned_away : bool
        The upstream did not run the request.
    is_own : bool
        The answer bears the upstream's signature and this request's id.
    is_other_instance : bool
        Another upstream than the expected one answered.
    load : tuple of (int, int, int) or None
        Requests running and waiting, and slots.
    version : int or None
        Weight version that serves the request.
    cold_s : float or None
        How much longer the upstream stays cold, in seconds.
    """

    is_turned_away: bool
    is_own: bool
    is_other_instance: bool = False
    load: tuple[int, int, int] | None = None
    version: int | None = None
    cold_s: float | None = None


class Dialect(typing.Protocol):
    """The header fields of callers and upstreams."""

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
        """Read the head of an upstream's answer."""
        ...

    def response_headers(self, headers: dict[str, str]) -> dict[str, str]:
        """Return the header fields of an upstream's answer for the caller."""
        ...

    def build_refusal(
        self, request: CallerRequest | None, reason: refusal.Refusal
    ) -> http_server.Response:
        """Build the answer to a request that this node does not relay."""
        ...


@dataclasses.dataclass(frozen=True)
class Version:
    """Weights named for a model."""

    model: str
    version: int


@dataclasses.dataclass(frozen=True)
class Unreadable:
    """An entry that cannot be decoded; it changes nothing."""

    key: str
    reason: str


@dataclasses.dataclass(frozen=True)
class Evacuation:
    """A zone that gets no new work."""

    zone: str


@dataclasses.dataclass(frozen=True)
class Removed:
    """A row that was deleted.

    Attributes
    ----------
    key : str
        Key as the platform spells it.
    item : Evacuation, Version or str
        What the row was about; an upstream's id for the list of upstreams.
    """

    item: "Evacuation | Version | str"


Intent = catalog.Catalog | Version | Evacuation | Removed | Unreadable
"""What the operator's table says."""

Listing = fleet.Entry | Removed | Unreadable
"""What the list of upstreams says."""

Item = typing.TypeVar("Item")


@dataclasses.dataclass(frozen=True)
class Page(typing.Generic[Item]):
    """Rows of one table.

    Attributes
    ----------
    position : int
        From where the next changes are read.
    clock_ms : float
        The store's clock, in milliseconds.
    """

    items: list[Item]
    position: int
    clock_ms: float


@dataclasses.dataclass(frozen=True)
class HistoryLost:
    """The store no longer has the changes that were asked for."""


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The store gave no usable answer."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Member:
    """A node's row in the table of members.

    Attributes
    ----------
    seen_ms : float
        The store's clock when the row was written, at most, in milliseconds.
    addr : (str, int) or None
        Where the node receives datagrams.
    """

    node_id: str
    zone: str
    seen_ms: float
    addr: http_client.Address | None = None


@dataclasses.dataclass(frozen=True)
class LeaseRow:
    """The row of the lease for orders as read.

    Attributes
    ----------
    lease : rollout.Lease or None
        None if the row does not exist.
    version : int
        Version of the row, 0 if it does not exist.
    """

    lease: rollout.Lease | None
    version: int
    clock_ms: float


@dataclasses.dataclass(frozen=True)
class LeaseWritten:
    """The lease was written.

    Attributes
    ----------
    version : int
        Version of the row; grows with each transaction of the store.
    """

    version: int
    clock_ms: float


@dataclasses.dataclass(frozen=True)
class LeaseConflict:
    """Another node wrote the row first."""


class ControlStore(typing.Protocol):
    """The platform's store, as far as the relay uses it."""

    async def read_intents(self) -> Page[Intent] | Unavailable:
        """Read all that the operator wants."""
        ...

    async def watch_intents(
        self, position: int, wait_s: float
    ) -> Page[Intent] | HistoryLost | Unavailable:
        """Wait for what the operator wants next."""
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
        """Read the table of members."""
        ...

    async def write_member(self, member: Member) -> Unavailable | None:
        """Write this node's row."""
        ...

    async def remove_member(self, node_id: str) -> Unavailable | None:
        """Remove a node's row."""
        ...

    async def read_lease(self) -> LeaseRow | Unavailable:
        """Read the lease for orders."""
        ...

    async def write_lease(
        self, lease: rollout.Lease, expected: int
    ) -> LeaseWritten | LeaseConflict | Unavailable:
        """Write the lease if its row still has the expected version."""
        ...


@dataclasses.dataclass(frozen=True)
class Report:
    """An engine's state as it tells it.

    Attributes
    ----------
    orders : int
        Orders that it has accepted.
    is_busy : bool
        An order is being carried out.
    """

    versions: dict[str, int]
    orders: int
    is_busy: bool


@dataclasses.dataclass(frozen=True)
class Stored:
    """A part that a store has completed."""

    key: kv_index.PartKey
    tokens: int


@dataclasses.dataclass(frozen=True)
class Freed:
    """A part that a store no longer has."""

    key: kv_index.PartKey


@dataclasses.dataclass(frozen=True)
class StoreEvents:
    """What a store tells of its content.

    Attributes
    ----------
    has_gap : bool
        Some events before these are lost.
    clock_s : float or None
        The store's clock, in seconds, if it told it.
    """

    epoch: int
    next: int
    has_gap: bool
    clock_s: float | None
    events: list[Stored | Freed]


@dataclasses.dataclass(frozen=True)
class StoreList:
    """All parts that a store has completed."""

    epoch: int
    next: int
    parts: list[Stored]


class OrderAnswer(typing.NamedTuple):
    """How an engine answered an order; status 0 if it did not answer."""

    status: int
    reason: str


class Machines(typing.Protocol):
    """Direct calls to engines and stores of KV cache."""

    async def report(self, addr: http_client.Address) -> Report | Unavailable:
        """Ask an engine for its state."""
        ...

    async def order_version(
        self,
        entry: fleet.Entry,
        model: str,
        version: int,
        lease: rollout.Lease,
        accepted_orders: int,
    ) -> OrderAnswer:
        """Order an engine to load a weight version, if no other order came since."""
        ...

    async def store_events(
        self, addr: http_client.Address, since: int
    ) -> StoreEvents | Unavailable:
        """Ask a store for what changed."""
        ...

    async def store_list(self, addr: http_client.Address) -> StoreList | Unavailable:
        """Ask a store for all that it has."""
        ...

    async def free(
        self,
        addr: http_client.Address,
        keys: collections.abc.Sequence[kv_index.PartKey],
        epoch: int,
    ) -> bool:
        """Free parts of a store, if it has not restarted."""
        ...

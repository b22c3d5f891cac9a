"""Entities shared by the systems, in tables keyed by id."""

import collections
import dataclasses
import enum


class Role(enum.StrEnum):
    """What an instance does."""

    NODE = "node"
    ENGINE = "engine"
    SERVICE = "service"
    STORE = "store"


class Warmth(enum.StrEnum):
    """State of an upstream as this node may assume it."""

    COLD = "cold"
    WARM = "warm"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Instance:
    """One row of the platform's instance list.

    Attributes
    ----------
    name : str
        For a service, the name under which callers reach it; else empty.
    leaving : bool
        The platform will remove the instance.
    """

    id: str
    role: Role
    host: str
    port: int
    zone: str
    name: str = ""
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """A load report of an upstream.

    Attributes
    ----------
    boot_id : str
        Changes when the upstream restarts.
    state : Warmth
        State that the upstream reports.
    running, waiting : int
        Requests in execution and in the upstream's own queue.
    seq : int
        Grows with each report of one boot.
    made_at : float
        Receiver's monotonic time before it asked for the report, in seconds,
        less the reported age.
    weight_version : str
        Weight version that new requests will run on.
    """

    boot_id: str
    state: Warmth
    running: int
    waiting: int
    seq: int
    made_at: float
    weight_version: str = ""


@dataclasses.dataclass
class Upstream:
    """An engine or plain service, as one node sees it.

    Attributes
    ----------
    report : LoadReport or None
        Newest load report.
    suspect_since : float or None
        Monotonic time since which the upstream counts as cold because a
        connection to it closed, until a newer report says warm.
    in_flight : int
        Requests of this node now at the upstream.
    queued : int
        Requests of this node that wait for the right to be sent there.
    heard_at : float or None
        Monotonic time before the newest answered load read was asked, in seconds.
    changes : deque of (float, int)
        Times of this node's sends (+1) and of their ends (-1) since the report
        was made, in seconds.
    """

    instance: Instance
    report: LoadReport | None = None
    suspect_since: float | None = None
    in_flight: int = 0
    queued: int = 0
    load_read_at: float | None = None
    changes: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass
class Tables:
    """All entities that one node's systems share."""

    instances: dict[str, Instance] = dataclasses.field(default_factory=dict)
    upstreams: dict[str, Upstream] = dataclasses.field(default_factory=dict)

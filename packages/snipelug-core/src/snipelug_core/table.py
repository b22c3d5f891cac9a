"""Instances, load reports and upstreams, in tables keyed by id."""

import collections
import dataclasses
import enum


class Role(enum.StrEnum):
    """Role of an instance."""

    NODE = "node"
    ENGINE = "engine"
    SERVICE = "service"
    STORE = "store"


class Warmth(enum.StrEnum):
    """Readiness state of an upstream."""

    COLD = "cold"
    WARM = "warm"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Instance:
    """An entry of the platform's instance list.

    Attributes
    ----------
    name : str
        For a service, the name under which callers reach it; for an engine, its
        model, or empty if it serves all models.
    leaving : bool
        Whether the platform is about to remove the instance.
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
    """A load report received from an upstream.

    Attributes
    ----------
    boot_id : str
        Identifies one run of the upstream; changes when it restarts.
    state : Warmth
        State reported by the upstream.
    running, waiting : int
        Number of requests running and waiting in the upstream's own queue.
    seq : int
        Increases with each report of one boot.
    made_at : float
        Lower bound of the time at which the report was made: the receiver's
        monotonic time before it requested the report, minus the reported age, in
        seconds.
    weight_version : str
        Weight version that new requests run on.
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
    """A node's view of an engine or a service.

    Attributes
    ----------
    report : LoadReport or None
        Newest load report, if any was received.
    suspect_since : float or None
        Monotonic time since which the upstream counts as cold because a
        connection to it was closed. Superseded by a newer report that says warm.
    in_flight : int
        Number of requests of this node that are running or waiting at the
        upstream.
    queued : int
        Number of requests of this node that wait for permission to be sent to
        the upstream.
    load_read_at : float or None
        Monotonic time, in seconds, taken before the most recent successful read
        of the load report was started.
    changes : deque of (float, int)
        Times, in seconds, at which this node's requests were sent (+1) or ended
        (-1) since the report was made.
    refusals : int
        Number of refusals of the upstream since connections to it were last planned;
        each ended its connection.
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
    refusals: int = 0


@dataclasses.dataclass
class Tables:
    """Tables shared by the components of a node."""

    instances: dict[str, Instance] = dataclasses.field(default_factory=dict)
    upstreams: dict[str, Upstream] = dataclasses.field(default_factory=dict)

"""Starts a whole deployment from a settings sample: stand-ins and nodes."""

import dataclasses
import hashlib
import itertools
import pathlib
import typing

import msgspec
import trio

from tests import cluster

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
KEY = "sample-deployment-key"
ADMIN_KEY = "sample-operator-key"


class Sample(msgspec.Struct, forbid_unknown_fields=True):
    """Content of ``deployment.toml``.

    Attributes
    ----------
    engine, service, store : dict
        ``count``, for services ``name``, and options of the stand-ins.
    """

    name: str
    zones: list[str]
    zone_delay_ms: float
    nodes: int
    mode: str
    weight_loads: int
    model: str
    engine: dict[str, typing.Any]
    service: dict[str, typing.Any]
    store: dict[str, typing.Any]


def read_sample(name: str) -> Sample:
    """Read the settings sample of a deployment."""
    data = (EXAMPLES / name / "deployment.toml").read_bytes()
    return msgspec.toml.decode(data, type=Sample)


def read_operations(name: str) -> list[dict[str, typing.Any]]:
    """Read the contracts and models of a deployment's sample."""
    data = (EXAMPLES / name / "operations.json").read_bytes()
    return msgspec.json.decode(data, type=list[dict[str, typing.Any]])


def bearer_key(team: str) -> str:
    """Return the bearer key of a team in the samples."""
    return f"sample-key-{team}"


def key_hash(team: str) -> str:
    """Return the hash of a team's key as contracts hold it."""
    return hashlib.sha256(bearer_key(team).encode()).hexdigest()


def options(settings: dict[str, typing.Any]) -> list[str]:
    """Turn settings into flags; true is a bare flag."""
    flags: list[str] = []
    for name, value in settings.items():
        if name in ("count", "name") or value is False:
            continue
        flags.append("--" + name.replace("_", "-"))
        if value is not True:
            flags.append(str(value))
    return flags


@dataclasses.dataclass
class Ports:
    """Ports of one node."""

    http: int
    admin: int
    rpc: int


@dataclasses.dataclass
class Deployment:
    """Running processes of one deployment.

    Attributes
    ----------
    ports : list of Ports
        Ports by node, also of nodes that are not started yet.
    platform_links : list of dict
        For nodes that are cut off in a test: links to the platform by service.
    """

    running: cluster.Cluster
    sample: Sample
    tables: cluster.Child
    objects: cluster.Child
    instances: cluster.Child
    engines: list[cluster.Child] = dataclasses.field(default_factory=list)
    services: list[cluster.Child] = dataclasses.field(default_factory=list)
    stores: list[cluster.Child] = dataclasses.field(default_factory=list)
    nodes: list[cluster.Child] = dataclasses.field(default_factory=list)
    ports: list[Ports] = dataclasses.field(default_factory=list)

    def zone(self, number: int) -> str:
        """Return the zone of the instance with this number."""
        return self.sample.zones[number % len(self.sample.zones)]

    def node_id(self, number: int) -> str:
        return f"node-{number + 1}"

    def node_flags(
        self, number: int, platform: dict[str, str] | None = None
    ) -> list[str]:
        """Return the flags of one node; ``platform`` replaces addresses."""
        ports = self.ports[number]
        addresses = {
            "tables": self.tables.address,
            "objects": self.objects.address,
            "instances": self.instances.address,
        } | (platform or {})
        flags = {
            "node-id": self.node_id(number),
            "zone": self.zone(number),
            "host": cluster.HOST,
            "port": ports.http,
            "admin-port": ports.admin,
            "rpc-port": ports.rpc,
            "key": KEY,
            "admin-key": ADMIN_KEY,
            "mode": self.sample.mode,
            "cold-limit": self.sample.engine["cold_limit"],
            "weight-loads": self.sample.weight_loads,
            **addresses,
        }
        args = [f"--{name}={value}" for name, value in flags.items()]
        for first, second in itertools.combinations(self.sample.zones, 2):
            delay = self.sample.zone_delay_ms
            args.append(f"--zone-delay={first}:{second}={delay}")
        for peer, peer_ports in enumerate(self.ports):
            if peer != number:
                address = f"{cluster.HOST}:{peer_ports.rpc}"
                args.append(f"--peer={self.node_id(peer)}={address}")
        return args

    async def start_node(
        self,
        number: int,
        platform: dict[str, str] | None = None,
        wait: bool = False,
    ) -> cluster.Child:
        """Start a node and put it on the platform's list."""
        ports = self.ports[number]
        node_id = self.node_id(number)
        args = self.node_flags(number, platform)
        child = await self.running.node(node_id, ports.http, *args, wait=wait)
        self.nodes.append(child)
        address = f"{cluster.HOST}:{ports.rpc}"
        await self.running.list_instance(
            self.instances, node_id, "node", address, self.zone(number)
        )
        return child

    async def start_upstreams(self, engines: int, services: int, stores: int) -> None:
        """Start engines, services and stores and list them."""
        wanted = [
            ("engine", engines, self.sample.engine, self.engines),
            ("service", services, self.sample.service, self.services),
            ("store", stores, self.sample.store, self.stores),
        ]
        async with trio.open_nursery() as nursery:
            for role, count, settings, children in wanted:
                for number in range(count):
                    nursery.start_soon(
                        self._start_upstream, role, number, settings, children
                    )

    async def _start_upstream(
        self,
        role: str,
        number: int,
        settings: dict[str, typing.Any],
        children: list[cluster.Child],
    ) -> None:
        child = await self.running.standin(role, *options(settings))
        children.append(child)
        name = {"name": settings["name"]} if "name" in settings else {}
        await self.running.list_instance(
            self.instances,
            f"{role}-{number + 1}",
            role,
            child.address,
            self.zone(number),
            **name,
        )


async def start_platform(running: cluster.Cluster, sample: Sample) -> Deployment:
    """Start the platform's stand-ins."""
    started: dict[str, cluster.Child] = {}

    async def start(role: str) -> None:
        started[role] = await running.standin(role)

    async with trio.open_nursery() as nursery:
        for role in ("tables", "objects", "instances"):
            nursery.start_soon(start, role)
    return Deployment(running, sample, **started)


async def start(
    running: cluster.Cluster,
    sample: Sample,
    nodes: int | None = None,
    engines: int | None = None,
    services: int | None = None,
    stores: int | None = None,
) -> Deployment:
    """Start a whole deployment; sizes not given come from the sample."""
    count = sample.nodes if nodes is None else nodes
    deployment = await start_platform(running, sample)
    free = cluster.free_ports(3 * count)
    deployment.ports = [Ports(*free[3 * i : 3 * i + 3]) for i in range(count)]
    await deployment.start_upstreams(
        sample.engine["count"] if engines is None else engines,
        sample.service["count"] if services is None else services,
        sample.store["count"] if stores is None else stores,
    )
    return deployment

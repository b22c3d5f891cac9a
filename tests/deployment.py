"""Starts a whole deployment from a settings sample: stand-ins and nodes."""

import collections.abc
import dataclasses
import hashlib
import itertools
import pathlib
import typing
import uuid

import msgspec
import trio

from snipelug_net import http_client
from tests import cluster, port_numbers

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
KEY = "sample-deployment-key"
ADMIN_KEY = "sample-operator-key"
TEAM = "mersey-grates"
READY_TIMEOUT_S = 30.0
CHANGE_TIMEOUT_S = 15.0


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
    """Ports of one node.

    Attributes
    ----------
    advertised : str
        Address under which peers reach ``rpc``; empty for the port itself.
    """

    http: int
    admin: int
    rpc: int
    advertised: str = ""

    @property
    def rpc_address(self) -> str:
        return self.advertised or f"{cluster.HOST}:{self.rpc}"


@dataclasses.dataclass
class Deployment:
    """Running processes of one deployment.

    Attributes
    ----------
    ports : list of Ports
        Ports by node, also of nodes that are not started yet.
    deadline_s : float or None
        Deadline of all contracts instead of the sample's, in seconds.
    node_options : dict
        Further flags of all nodes, by name.
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
    deadline_s: float | None = None
    node_options: dict[str, object] = dataclasses.field(default_factory=dict)

    def zone(self, number: int) -> str:
        """Return the zone of the instance with this number."""
        return self.sample.zones[number % len(self.sample.zones)]

    def node_id(self, number: int) -> str:
        return f"node-{number + 1}"

    def node_flags(
        self, number: int, platform: dict[str, str] | None = None
    ) -> list[str]:
        """Return the flags of one node.

        Parameters
        ----------
        number : int
            Which node.
        platform : dict, optional
            Addresses to use instead of the platform's, by service.
        """
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
            "rpc-advertise": ports.rpc_address,
            "key": KEY,
            "admin-key": ADMIN_KEY,
            "mode": self.sample.mode,
            "cold-limit": self.sample.engine["cold_limit"],
            "weight-loads": self.sample.weight_loads,
            **addresses,
            **self.node_options,
        }
        args = [f"--{name}={value}" for name, value in flags.items()]
        for first, second in itertools.combinations(self.sample.zones, 2):
            delay = self.sample.zone_delay_ms
            args.append(f"--zone-delay={first}:{second}={delay}")
        for peer, peer_ports in enumerate(self.ports):
            if peer != number:
                args.append(f"--peer={self.node_id(peer)}={peer_ports.rpc_address}")
        return args

    async def start_node(
        self,
        number: int,
        platform: dict[str, str] | None = None,
    ) -> cluster.Child:
        """Start a node and put it on the platform's list."""
        ports = self.ports[number]
        node_id = self.node_id(number)
        args = self.node_flags(number, platform)
        child = await self.running.node(node_id, ports.http, *args, wait=False)
        self.nodes.append(child)
        address = f"{cluster.HOST}:{ports.rpc}"
        await self.running.list_instance(
            self.instances, node_id, "node", address, self.zone(number)
        )
        return child

    async def finish_start(self) -> None:
        """Wait until all nodes are ready, configure them, wait for their upstreams."""
        async with trio.open_nursery() as nursery:
            for child in self.nodes:
                nursery.start_soon(self.running.wait_ready, child, READY_TIMEOUT_S)
        operations = read_operations(self.sample.name)
        if self.deadline_s is not None:
            for operation in operations:
                if "contract" in operation:
                    operation["contract"]["deadline_s"] = self.deadline_s
        await self.submit(operations)
        await self.wait_open(range(len(self.nodes)))

    async def submit(self, operations: list[dict[str, typing.Any]]) -> int:
        """Submit a change at the first node; wait until it is in force everywhere."""
        content = {
            "operations": operations,
            "author": "sample",
            "nonce": uuid.uuid4().hex,
            "wait_s": CHANGE_TIMEOUT_S,
        }
        answer = await self.call_admin(0, "POST", "/changes", content)
        deadline = trio.current_time() + CHANGE_TIMEOUT_S
        # A node that has just started has not heard a majority of its peers yet.
        while answer.status == 503 and trio.current_time() < deadline:
            await trio.sleep(0.2)
            answer = await self.call_admin(0, "POST", "/changes", content)
        if answer.status != 200 or answer.json()["missing"]:
            raise cluster.ProcessError(f"the change is not in force: {answer.body!r}")
        revision: int = answer.json()["revision"]
        return revision

    async def wait_open(self, numbers: collections.abc.Iterable[int]) -> None:
        """Wait until these nodes may send to all their upstreams."""
        for number in numbers:
            states: set[str] = set()
            with trio.move_on_after(READY_TIMEOUT_S):
                while states != {"open"}:
                    status = await self.call_admin(number, "GET", "/status")
                    states = {u["state"] for u in status.json()["upstreams"]}
                    await trio.sleep(0.05)
            if states != {"open"}:
                message = f"{self.node_id(number)} has upstreams in states {states}"
                raise cluster.ProcessError(message)

    async def call_admin(
        self, number: int, method: str, path: str, content: object = None
    ) -> cluster.Answer:
        """Send an operator's request to one node."""
        headers = {"authorization": f"Bearer {ADMIN_KEY}"}
        body = b"" if content is None else msgspec.json.encode(content)
        admin = (cluster.HOST, self.ports[number].admin)
        target = "/admin/v1" + path
        call = http_client.Call(admin, method, target, headers, body, 30.0)
        full = await self.running.pool.fetch(call)
        if not isinstance(full, http_client.FullResponse):
            raise cluster.ProcessError(f"no answer to {method} {target}: {full}")
        return cluster.Answer(full.status, full.headers, full.body)

    async def start_upstreams(self, engines: int, services: int, stores: int) -> None:
        """Start engines, services and stores and list them."""
        wanted = [
            ("engine", engines, self.sample.engine, self.engines),
            ("service", services, self.sample.service, self.services),
            ("store", stores, self.sample.store, self.stores),
        ]
        started: dict[tuple[str, int], cluster.Child] = {}
        async with trio.open_nursery() as nursery:
            for role, count, settings, _ in wanted:
                for number in range(count):
                    nursery.start_soon(
                        self._start_upstream, role, number, settings, started
                    )
        for role, count, _, children in wanted:
            children.extend(started[role, number] for number in range(count))

    async def _start_upstream(
        self,
        role: str,
        number: int,
        settings: dict[str, typing.Any],
        started: dict[tuple[str, int], cluster.Child],
    ) -> None:
        child = await self.running.standin(role, *options(settings))
        started[role, number] = child
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
    deadline_s: float | None = None,
    node_options: dict[str, object] | None = None,
) -> Deployment:
    """Start a whole deployment; sizes not given come from the sample."""
    count = sample.nodes if nodes is None else nodes
    deployment = await start_platform(running, sample)
    deployment.deadline_s = deadline_s
    deployment.node_options = node_options or {}
    free = port_numbers.free_ports(3 * count)
    deployment.ports = [Ports(*free[3 * i : 3 * i + 3]) for i in range(count)]
    await deployment.start_upstreams(
        sample.engine["count"] if engines is None else engines,
        sample.service["count"] if services is None else services,
        sample.store["count"] if stores is None else stores,
    )
    for number in range(count):
        await deployment.start_node(number)
    if count:
        await deployment.finish_start()
    return deployment

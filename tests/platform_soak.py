"""Randomized soak test: node processes, injected faults, checked guarantees.

    python -m tests.platform_soak --seed 1 --seconds 30
    python -m tests.platform_soak --seed 1 --seconds 30 --nodes 7

Nodes run as processes of the real program. The stand-ins for the platform run in this
process; proxies between them and the nodes delay, reset or block traffic, or block the
responses only. Signals stop, pause and kill nodes, which are then restarted. The exit
code is 1 if a guarantee was violated; each violation is printed with the seed.
"""

import argparse
import collections
import collections.abc
import contextlib
import dataclasses
import itertools
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import typing

import trio

from snipelug_core import watcher
from snipelug_net import http_client
from snipelug_platform_standin import kv_store, server, store
from tests import platform_world

DEFAULT_NODES = 3
"""Nodes of one zone; with five or more, two of them read from the platform for all."""

CALLERS = 6
GRACE_S = 4.0
DRAIN_S = 2.0
RECOVERY_TIMEOUT_S = 6.0
"""Time after the last fault within which all nodes must serve again."""

STORE_SYNC_S = 5.0
"""Time without faults after which a node is assumed to be in sync with the store."""

FIRST_SEED_WITH_STALLS = 1_000
"""Lower seeds play the faults that they played when they found a violation."""

PROBE_TIMEOUT_S = 2.0
STALL_CHECK_INTERVAL_S = 0.05
EVENTS_PER_STREAM = 6
REFUSAL_STATUSES = (408, 421, 429, 503)
FULL_STREAM = b"".join(
    b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS_PER_STREAM + 1)
)


class Proxy:
    """Forwards connections to a port; ``mode`` selects the injected fault."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.mode = "ok"
        self.port = 0

    async def serve(self, task_status: trio.TaskStatus[None]) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self._forward, listeners)

    async def _forward(self, client: trio.SocketStream) -> None:
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            async with await trio.open_tcp_stream(
                "127.0.0.1", self.target
            ) as server_stream:
                async with trio.open_nursery() as nursery:
                    scope = nursery.cancel_scope
                    nursery.start_soon(self._pump, client, server_stream, False, scope)
                    nursery.start_soon(self._pump, server_stream, client, True, scope)
        await trio.aclose_forcefully(client)

    async def _pump(
        self,
        source: trio.SocketStream,
        destination: trio.SocketStream,
        is_response: bool,
        scope: trio.CancelScope,
    ) -> None:
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while data := await source.receive_some(65536):
                while self.mode == "silent" or (self.mode == "one_way" and is_response):
                    await trio.sleep(0.05)
                if self.mode == "reset":
                    break
                if self.mode == "delay":
                    await trio.sleep(0.2)
                await destination.send_all(data)
        scope.cancel()


class NodeProcess:
    """One node process, restarted whenever it exits."""

    def __init__(self, number: int, folder: pathlib.Path, store_port: int) -> None:
        self.name = f"n{number}"
        self.host = f"127.0.0.{20 + number}"
        self.port, self.ready_port, self.udp_port = (
            platform_world.free_port() for _ in range(3)
        )
        self.log = folder / f"{self.name}.log"
        self.path = folder / f"{self.name}.conf"
        values = {
            "node_name": self.name,
            "zone": "zone-a",
            "listen.frontend": f"{self.host}:{self.port}",
            "listen.ready": f"{self.host}:{self.ready_port}",
            "internal_port_range": f"{self.udp_port},{self.udp_port}",
            "platform.address": f"127.0.0.1:{store_port}",
            "bounds.drain_timeout_ms": int(1000 * DRAIN_S),
            "bounds.grace_period_s": GRACE_S,
            "bounds.lease_ms": 1000,
        }
        self.path.write_text("".join(f"{k}={v}\n" for k, v in values.items()))
        self.process: subprocess.Popen[bytes] | None = None

    async def run(self) -> None:
        """Keep the node running until this task is cancelled."""
        with self.log.open("ab") as log:
            try:
                while True:
                    self.process = subprocess.Popen(
                        [sys.executable, "-m", "snipelug_node.entry"],
                        env={"SNIPELUG_CONFIG": str(self.path)},
                        stdout=log,
                        stderr=log,
                    )
                    while self.process.poll() is None:
                        await trio.sleep(0.05)
                    await trio.sleep(0.2)
            finally:
                if self.process is not None and self.process.poll() is None:
                    self.process.kill()
                    self.process.wait()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process of this node."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


@dataclasses.dataclass
class Soak:
    """The deployment, the state of the injected faults and the violations found."""

    seed: int
    nursery: trio.Nursery
    folder: pathlib.Path
    rng: random.Random
    rows: store.Store
    kv: kv_store.KvStore = dataclasses.field(default_factory=kv_store.KvStore)
    servers: list[server.Server] = dataclasses.field(default_factory=list)
    removed_servers: list[server.Server] = dataclasses.field(default_factory=list)
    server_proxies: dict[str, Proxy] = dataclasses.field(default_factory=dict)
    store_proxies: list[Proxy] = dataclasses.field(default_factory=list)
    nodes: list[NodeProcess] = dataclasses.field(default_factory=list)
    drain_times: dict[str, float] = dataclasses.field(default_factory=dict)
    last_fault_at: float = 0.0
    longest_stall_s: float = 0.0
    version: int = 1
    weight_version: int = 1
    ids: "itertools.count[int]" = dataclasses.field(default_factory=itertools.count)
    refused_ids: set[str] = dataclasses.field(default_factory=set)
    outcomes: "collections.Counter[str]" = dataclasses.field(
        default_factory=collections.Counter
    )
    violations: list[str] = dataclasses.field(default_factory=list)

    def report_violation(self, guarantee: str, detail: str) -> None:
        """Record the violation of a guarantee."""
        self.violations.append(f"seed {self.seed}: {guarantee}: {detail}")

    async def add_server(self, service: str) -> None:
        """Start an upstream behind a proxy and list it."""
        model = platform_world.MODEL if service == "llm" else ""
        upstream = server.Server(
            service, model=model, version=self.weight_version, events=EVENTS_PER_STREAM
        )
        await self.nursery.start(upstream.serve)
        proxy = Proxy(upstream.port)
        await self.nursery.start(proxy.serve)
        self.server_proxies[upstream.id] = proxy
        self.servers.append(upstream)
        self.list_server(upstream)

    def list_server(self, upstream: server.Server) -> None:
        """Write the entry of an upstream with the address of its proxy."""
        address = f"127.0.0.1:{self.server_proxies[upstream.id].port}"
        self.rows.put("servers", upstream.id, upstream.entry() | {"address": address})

    def configure(self) -> None:
        """Write the next configuration version."""
        self.rows.put("op", "config", platform_world.config(self.version, [self.kv]))
        self.version += 1

    async def measure_stalls(self) -> None:
        """Measure scheduling delays of this process, which runs all the stand-ins."""
        while True:
            due = trio.current_time() + STALL_CHECK_INTERVAL_S
            await trio.sleep_until(due)
            late_s = trio.current_time() - due
            self.longest_stall_s = max(self.longest_stall_s, late_s)

    async def write_heartbeats(self) -> None:
        """Rewrite the entries of all upstreams periodically, as real upstreams do."""
        while True:
            for upstream in self.servers if not self.rows.faults.is_down else ():
                self.list_server(upstream)
            await trio.sleep(0.4)

    @property
    def has_watchers(self) -> bool:
        """Whether two nodes read from the platform for the others."""
        return len(self.nodes) > watcher.MAX_NODES_WITHOUT_READERS

    # Faults. Each method returns after its fault has ended.

    async def proxy_fault(self, proxies: list[Proxy]) -> None:
        mode = self.rng.choice(["delay", "silent", "reset", "one_way"])
        for proxy in proxies:
            proxy.mode = mode
        await trio.sleep(self.rng.uniform(0.3, 2.5))
        for proxy in proxies:
            proxy.mode = "ok"

    async def node_fault(self) -> None:
        node = self.rng.choice(self.nodes)
        match self.rng.choice(["pause", "kill", "term", "hup", "kill_all"]):
            case "pause":
                node.send_signal(signal.SIGSTOP)
                await trio.sleep(self.rng.uniform(0.3, 3.0))
                node.send_signal(signal.SIGCONT)
            case "kill":
                node.send_signal(signal.SIGKILL)
            case "term":
                node.send_signal(signal.SIGTERM)
                await trio.sleep(GRACE_S)
            case "hup":
                node.send_signal(signal.SIGHUP)
            case "kill_all":
                for other in self.nodes:
                    other.send_signal(signal.SIGKILL)

    async def store_fault(self) -> None:
        faults = self.rows.faults
        match self.rng.choice(["down", "silent", "lost", "history", "one", "all"]):
            case "down" if self.has_watchers:
                await self.expire_entries()
            case "down":
                faults.is_down = True
                await trio.sleep(self.rng.uniform(0.3, 3.0))
                faults.is_down = False
            case "silent":
                faults.is_silent = True
                await trio.sleep(self.rng.uniform(0.3, 3.0))
                faults.is_silent = False
            case "lost":
                faults.loses_answers = True
                await trio.sleep(self.rng.uniform(0.3, 2.0))
                faults.loses_answers = False
            case "history":
                self.rows.clear_history()
            case "one":
                await self.proxy_fault([self.rng.choice(self.store_proxies)])
            case "all":
                await self.proxy_fault(self.store_proxies)

    async def expire_entries(self) -> None:
        """Make the store unavailable until the entries of the upstreams expire."""
        self.rows.faults.is_down = True
        await trio.sleep(self.rng.uniform(1.5, 3.0))
        for upstream in self.servers:
            self.rows.delete("servers", upstream.id)
        self.rows.faults.is_down = False

    async def server_fault(self) -> None:
        upstream = self.rng.choice(self.servers)
        kinds = ["proxy", "away", "fail", "lose", "break", "order"]
        if self.seed >= FIRST_SEED_WITH_STALLS:
            kinds += ["stall"]
        match self.rng.choice(kinds):
            case "proxy":
                await self.proxy_fault([self.server_proxies[upstream.id]])
            case "away":
                upstream.faults.turns_away = self.rng.randint(1, 5)
            case "fail":
                upstream.faults.fails = self.rng.randint(1, 3)
            case "lose":
                upstream.faults.loses = self.rng.randint(1, 3)
            case "break":
                upstream.faults.breaks_after = self.rng.randint(
                    0, EVENTS_PER_STREAM - 1
                )
            case "order":
                upstream.faults.late_orders = 1
            case "stall":
                upstream.faults.filler = self.rng.choice([b": ping\n", b"data: x"])
                upstream.faults.fills_after = self.rng.randint(0, EVENTS_PER_STREAM - 1)

    async def apply_change(self) -> None:
        match self.rng.choice(["config", "weights", "drain", "kv", "events"]):
            case "config":
                self.configure()
            case "weights":
                self.weight_version += 1
                content = {
                    "model": platform_world.MODEL,
                    "version": self.weight_version,
                }
                self.rows.put("op", f"version/{platform_world.MODEL}", content)
            case "drain":
                await self.replace_server()
            case "kv":
                self.kv.restart()
            case "events":
                self.kv.loses_events = True
                await trio.sleep(1.0)
                self.kv.loses_events = False

    async def replace_server(self) -> None:
        """Start a new upstream, drain an old one and remove it from the list."""
        upstream = self.rng.choice(self.servers)
        await self.add_server(upstream.service)
        if upstream not in self.servers:
            return
        self.servers.remove(upstream)
        self.removed_servers.append(upstream)
        upstream.state = "draining"
        self.list_server(upstream)
        self.drain_times[upstream.id] = trio.current_time()
        await trio.sleep(DRAIN_S + 1.0)
        self.rows.delete("servers", upstream.id)

    async def inject_faults(self, seconds: float) -> None:
        """Start random, overlapping faults for the given time."""
        kinds = [
            self.node_fault,
            self.store_fault,
            self.server_fault,
            self.apply_change,
        ]
        end = trio.current_time() + seconds

        async def run(fault: collections.abc.Callable[[], typing.Any]) -> None:
            await fault()
            self.last_fault_at = trio.current_time()

        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                nursery.start_soon(run, self.rng.choice(kinds))
                await trio.sleep(self.rng.choice([0.1, 0.5, 1.5]))
        for upstream in self.servers:
            upstream.faults = server.Faults()

    # Load.

    async def send_requests(self) -> None:
        """Send requests of all kinds to all nodes over persistent connections."""
        pool = http_client.Pool(0.5)
        while True:
            kind = self.rng.choice(["order", "look", "ask", "check"])
            await self.send_request(pool, self.rng.choice(self.nodes), kind)
            await trio.sleep(0.02)

    async def send_request(
        self, pool: http_client.Pool, node: NodeProcess, kind: str
    ) -> http_client.FullResponse | None:
        """Send one request and check the response; return it if it succeeded."""
        request_id = f"{next(self.ids):08x}"
        headers = {
            "host": platform_world.HOST,
            "request-id": request_id,
            "request-deadline": "2000",
            "authorization": f"Token {platform_world.KEY}",
        }
        if kind in ("ask", "check"):
            headers |= {
                "model": platform_world.MODEL,
                "token-usage": "250,10",
                "prompt-prefix": f"{self.rng.randrange(8):x}:2000,{request_id}:50",
            }
        method = "GET" if kind == "look" else "POST"
        addr = (node.host, node.port)
        body = b"" if method == "GET" else b"x"
        call = http_client.Call(addr, method, f"/{kind}/x", headers, body, 4.0)
        response = await pool.fetch(call)
        if not isinstance(response, http_client.FullResponse):
            self.outcomes[f"{kind} {type(response).__name__}"] += 1
            return None
        self.outcomes[f"{kind} {response.status}"] += 1
        self.check_response(kind, request_id, response)
        return response if response.status == 200 else None

    def check_response(
        self, kind: str, request_id: str, response: http_client.FullResponse
    ) -> None:
        """Check a response against the guarantees for its request."""
        if response.headers.get("request-id") not in (None, request_id):
            self.report_violation("own answer", f"{request_id} got {response.headers}")
        if response.status in REFUSAL_STATUSES and kind in ("order", "ask"):
            self.refused_ids.add(request_id)
        if response.status != 200:
            return
        owner = response.headers.get("server-signature", "").partition(".")[0]
        if kind in ("ask", "check") and response.body != FULL_STREAM:
            self.report_violation("whole stream", f"{request_id} got {response.body!r}")
        if kind in ("order", "look") and response.body != f"{owner}:ok".encode():
            self.report_violation(
                "own answer", f"{request_id} got {response.body!r} of {owner}"
            )

    # Guarantees.

    def check_executions(self) -> None:
        """Check the requests and weight orders that the upstreams executed."""
        runs: collections.Counter[str] = collections.Counter()
        for upstream in [*self.servers, *self.removed_servers]:
            drained_at = self.drain_times.get(upstream.id)
            for request in upstream.executed:
                is_at_most_once = request.target.startswith(("/order/", "/ask/"))
                runs[request.headers["request-id"]] += is_at_most_once
                is_late = (
                    drained_at is not None
                    and request.received_at > drained_at + DRAIN_S + 0.3
                )
                if is_late and request.received_at > self.last_fault_at + STORE_SYNC_S:
                    self.report_violation(
                        "drain",
                        f"{upstream.id} received a request after it was drained",
                    )
            tokens = [typing.cast(int, o["fencing_token"]) for o in upstream.orders]
            if tokens != sorted(tokens):
                self.report_violation(
                    "fencing", f"{upstream.id} accepted the tokens {tokens}"
                )
        for request_id, count in runs.items():
            if count > 1:
                self.report_violation(
                    "at most once", f"{request_id} was executed {count} times"
                )
            if count and request_id in self.refused_ids:
                self.report_violation(
                    "true refusal", f"{request_id} was refused and executed"
                )

    async def check_recovery(self) -> None:
        """Check that all nodes and weights recover in time after the last fault."""
        self.last_fault_at = trio.current_time()
        pool = http_client.Pool(0.5)
        with trio.move_on_after(RECOVERY_TIMEOUT_S):
            while not all([await self.is_serving(pool, node) for node in self.nodes]):
                await trio.sleep(0.2)
        for node in self.nodes:
            if not await self.is_serving(pool, node):
                self.report_violation(
                    "recovery", f"{node.name} does not serve requests"
                )
        for upstream in self.servers:
            if (
                upstream.models.get(platform_world.MODEL, self.weight_version)
                != self.weight_version
            ):
                self.report_violation(
                    "weights", f"{upstream.id} serves {upstream.models}"
                )

    async def is_serving(self, pool: http_client.Pool, node: NodeProcess) -> bool:
        """Return whether a node answers one request of each kind in time."""
        with trio.move_on_after(PROBE_TIMEOUT_S):
            for kind in ("order", "look", "ask", "check"):
                if await self.send_request(pool, node, kind) is None:
                    return False
            return True
        return False


async def run(
    seed: int, seconds: float, folder: pathlib.Path, nodes: int = DEFAULT_NODES
) -> Soak:
    """Run one seed; the result lists the violations."""
    async with trio.open_nursery() as nursery:
        rows = store.Store()
        soak = Soak(seed, nursery, folder, random.Random(seed), rows)
        store_port = await nursery.start(rows.serve)
        await nursery.start(soak.kv.serve)
        soak.configure()
        for service in ("app", "app", "app", "llm", "llm", "llm"):
            await soak.add_server(service)
        for number in range(nodes):
            proxy = Proxy(store_port)
            await nursery.start(proxy.serve)
            soak.store_proxies.append(proxy)
            soak.nodes.append(NodeProcess(number, folder, proxy.port))
            nursery.start_soon(soak.nodes[-1].run)
        nursery.start_soon(soak.write_heartbeats)
        nursery.start_soon(soak.measure_stalls)
        await soak.check_recovery()
        async with trio.open_nursery() as callers:
            for _ in range(CALLERS):
                callers.start_soon(soak.send_requests)
            await soak.inject_faults(seconds)
            await soak.check_recovery()
            callers.cancel_scope.cancel()
        soak.check_executions()
        nursery.cancel_scope.cancel()
    return soak


def main() -> int:
    """Run the seeds in sequence and print the violations."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--count", type=int, default=1, help="number of consecutive seeds"
    )
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--nodes", type=int, default=DEFAULT_NODES)
    parser.add_argument(
        "--keep", type=pathlib.Path, help="directory in which the node logs are kept"
    )
    args = parser.parse_args()
    has_violations = False
    for seed in range(args.seed, args.seed + args.count):
        with contextlib.ExitStack() as stack:
            if args.keep is None:
                name = stack.enter_context(tempfile.TemporaryDirectory())
                folder = pathlib.Path(name)
            else:
                folder = args.keep / str(seed)
                folder.mkdir(parents=True, exist_ok=True)
            soak = trio.run(run, seed, args.seconds, folder, args.nodes)
        counts = dict(sorted(soak.outcomes.items()))
        stall = f"longest stall {soak.longest_stall_s:.2f} s"
        print(
            f"seed {seed}: {len(soak.violations)} violations, {stall}, {counts}",
            flush=True,
        )
        for line in soak.violations[:20]:
            print(f"  {line}", flush=True)
        has_violations = has_violations or bool(soak.violations)
    return int(has_violations)


if __name__ == "__main__":
    sys.exit(main())

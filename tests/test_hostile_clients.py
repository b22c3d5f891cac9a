"""Tests of a node as a process, with clients that hold its memory and connections.

The settings give the node a small machine, so that a small crowd exceeds it. No check
depends on the speed of the machine.
"""

import collections.abc
import contextlib
import dataclasses
import pathlib
import re
import subprocess
import sys

import pytest
import trio

from snipelug_net import http_client
from snipelug_platform_standin import server, store
from tests import hostile_clients, platform_world, port_numbers

MEMORY_MB = 96
"""Memory of the node's machine. A node without requests uses some 35 MB."""

DESCRIPTORS = 300
FILES = 200
"""Descriptors of the node, and those of them that sockets must leave free."""

pytestmark = pytest.mark.process


@dataclasses.dataclass
class Node:
    """A node process and its ports."""

    process: subprocess.Popen[bytes]
    port: int
    ready_port: int
    log: pathlib.Path

    @property
    def is_alive(self) -> bool:
        return self.process.poll() is None

    @property
    def peak_mb(self) -> float:
        """Largest memory that the process has used."""
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        match = re.search(r"VmHWM:\s+(\d+) kB", text)
        assert match is not None
        return int(match[1]) / 1024

    @property
    def descriptors(self) -> int:
        return len(list(pathlib.Path(f"/proc/{self.process.pid}/fd").iterdir()))

    async def send(self, method: str, body: bytes = b"") -> int:
        """Send an ordinary request on a connection of its own; return the status."""
        target = "/look/x" if method == "GET" else "/order/"
        headers = {
            "host": platform_world.HOST,
            "request-id": f"ordinary-{method}-{len(body)}",
            "request-deadline": "3000",
            "authorization": f"Token {platform_world.KEY}",
        }
        call = http_client.Call(
            ("127.0.0.1", self.port), method, target, headers, body, 10.0
        )
        full = await http_client.Pool(5.0).fetch(call)
        assert isinstance(full, http_client.FullResponse), full
        return full.status


@contextlib.asynccontextmanager
async def small_node(folder: pathlib.Path) -> collections.abc.AsyncIterator[Node]:
    """Run a node on a small machine, with one upstream."""
    async with trio.open_nursery() as nursery:
        rows = store.Store()
        store_port = await nursery.start(rows.serve)
        upstream = server.Server("app")
        await nursery.start(upstream.serve)
        limits = {"max_body_bytes": hostile_clients.BODY_BYTES}
        rows.put("op", "config", platform_world.config(1, [], limits=limits))
        rows.put("servers", upstream.id, upstream.entry())
        port, ready_port = port_numbers.free_ports(2)
        path = folder / "node.conf"
        path.write_text(
            "node_name=n1\nzone=zone-a\n"
            f"listen.frontend=127.0.0.1:{port}\nlisten.ready=127.0.0.1:{ready_port}\n"
            f"platform.address=127.0.0.1:{store_port}\n"
            f"limits.memory_mb={MEMORY_MB}\nlimits.file_descriptors={DESCRIPTORS}\n"
        )
        log = folder / "log"
        with log.open("wb") as out:
            process = subprocess.Popen(
                [sys.executable, "-m", "snipelug_node.entry"],
                env={"SNIPELUG_CONFIG": str(path)},
                stdout=out,
                stderr=out,
            )
        try:
            node = Node(process, port, ready_port, log)
            await wait_ready(node)
            yield node
        finally:
            process.kill()
            process.wait()
        nursery.cancel_scope.cancel()


async def wait_ready(node: Node) -> None:
    call = http_client.Call(("127.0.0.1", node.ready_port), "GET", "/api/ready")
    pool = http_client.Pool(0.5)
    with trio.fail_after(platform_world.WAIT_TIMEOUT_S):
        while True:
            found = await pool.fetch(call)
            if isinstance(found, http_client.FullResponse) and found.status == 200:
                return
            await trio.sleep(0.05)


@pytest.mark.parametrize("shape", hostile_clients.SHAPES)
async def test_node_survives_a_crowd_of_uploads(
    shape: str, tmp_path: pathlib.Path
) -> None:
    """Guards against uploads that exhaust the memory or descriptors of a node."""
    async with small_node(tmp_path) as node, trio.open_nursery() as nursery:
        crowd = hostile_clients.Crowd(node.port)
        await nursery.start(crowd.run, hostile_clients.SHAPES[shape])
        assert node.is_alive
        assert await node.send("GET") == 200
        assert node.descriptors <= DESCRIPTORS - FILES
        assert node.peak_mb <= MEMORY_MB
        nursery.cancel_scope.cancel()


async def test_single_upload_within_the_limit_is_served(tmp_path: pathlib.Path) -> None:
    """Guards against limits that refuse a proper request in calm."""
    async with small_node(tmp_path) as node:
        body = b"x" * hostile_clients.BODY_BYTES
        assert await node.send("POST", body) == 200
        assert node.peak_mb <= MEMORY_MB


async def test_uploads_are_served_after_a_crowd_has_left(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against memory that stays counted for uploads that have ended."""
    async with small_node(tmp_path) as node:
        async with trio.open_nursery() as nursery:
            crowd = hostile_clients.Crowd(node.port)
            await nursery.start(crowd.run, hostile_clients.in_one_length)
            nursery.cancel_scope.cancel()
        await trio.sleep(hostile_clients.SETTLE_S)
        body = b"x" * hostile_clients.BODY_BYTES
        assert await node.send("POST", body) == 200
        assert node.is_alive

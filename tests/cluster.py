"""Harness that runs stand-ins and nodes as child processes of a test.

Not a test itself. Every process that it starts is stopped when the context
manager ends, also when the test fails.
"""

import collections.abc
import contextlib
import dataclasses
import itertools
import pathlib
import re
import signal
import subprocess
import sys
import typing

import msgspec
import trio

from snipelug_net import http_client

HOST = "127.0.0.1"
READY_TIMEOUT_S = 15.0
POLL_S = 0.02
STOP_TIMEOUT_S = 5.0
CONDITION_S = 20.0
CONDITION_POLL_S = 0.1
LISTENING = re.compile(rb"^listening (\d+)$", re.MULTILINE)
CONTROL = re.compile(rb"^control (\d+)$", re.MULTILINE)


class ProcessError(Exception):
    """A child process did not do what the test needs."""


@dataclasses.dataclass
class Child:
    """One child process.

    Attributes
    ----------
    out, err : pathlib.Path
        Files with its standard output and standard error.
    port : int
        Port on which it serves; 0 until known.
    control_port : int
        Port for ``/faults`` and ``/stats``; the same as ``port`` except for links.
    """

    name: str
    process: trio.Process
    out: pathlib.Path
    err: pathlib.Path
    port: int = 0
    control_port: int = 0

    @property
    def pid(self) -> int:
        return self.process.pid

    @property
    def addr(self) -> http_client.Address:
        return (HOST, self.port)

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    @property
    def exit_code(self) -> int | None:
        return self.process.poll()

    def kill(self) -> None:
        self.process.send_signal(signal.SIGKILL)

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    def freeze(self) -> None:
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        self.process.send_signal(signal.SIGCONT)

    async def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the process to end and return its exit code."""
        with trio.move_on_after(timeout_s):
            return await self.process.wait()
        raise ProcessError(f"{self.name} still runs after {timeout_s} s")

    def log(self) -> str:
        """Return what the process wrote to its standard error."""
        return self.err.read_text(errors="replace")


@dataclasses.dataclass
class Answer:
    """An HTTP answer as tests read it."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> typing.Any:
        return msgspec.json.decode(self.body)


class Cluster:
    """Child processes of one test and a client to talk to them."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.directory = directory
        self.children: list[Child] = []
        self.pool = http_client.Pool()
        self._numbers = itertools.count()

    async def start(self, name: str, module: str, *args: str) -> Child:
        """Start ``python -m MODULE ARGS`` without waiting for readiness."""
        # Children may be started concurrently; each needs files of its own.
        stem = f"{next(self._numbers):02d}-{name}"
        out = self.directory / f"{stem}.out"
        err = self.directory / f"{stem}.err"
        command = [sys.executable, "-m", module, *args]
        with out.open("wb") as out_file, err.open("wb") as err_file:
            process = await trio.lowlevel.open_process(
                command,
                stdin=subprocess.DEVNULL,
                stdout=out_file,
                stderr=err_file,
                # Ctrl-C reaches only the test, which then stops its children.
                start_new_session=True,
            )
        child = Child(name, process, out, err)
        self.children.append(child)
        return child

    async def standin(self, role: str, *args: str, port: int = 0) -> Child:
        """Start a stand-in and wait until it listens."""
        child = await self.start(
            role, "snipelug_standins", role, "--port", str(port), *args
        )
        child.port = await self._printed(child, LISTENING)
        child.control_port = child.port
        if role == "link":
            child.control_port = await self._printed(child, CONTROL)
        return child

    async def link(self, to: http_client.Address) -> Child:
        """Start a forwarder to an address."""
        return await self.standin("link", "--to", f"{to[0]}:{to[1]}")

    async def node(
        self,
        name: str,
        port: int,
        *args: str,
        wait: bool = True,
        timeout_s: float = READY_TIMEOUT_S,
    ) -> Child:
        """Start a node with the given flags; wait until ``/readyz`` says ready."""
        child = await self.start(name, "snipelug_node.main", *args)
        child.port = child.control_port = port
        if wait:
            await self.wait_ready(child, timeout_s)
        return child

    async def wait_ready(
        self, child: Child, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Wait until a node reports ready."""

        async def is_ready() -> bool:
            answer = await self.try_call(child, "GET", "/readyz", timeout_s=1.0)
            return answer is not None and answer.status == 200

        await self._poll(child, is_ready, timeout_s, "ready")

    async def _printed(self, child: Child, pattern: re.Pattern[bytes]) -> int:
        async def is_printed() -> bool:
            return pattern.search(child.out.read_bytes()) is not None

        await self._poll(child, is_printed, READY_TIMEOUT_S, "listening")
        match = pattern.search(child.out.read_bytes())
        assert match is not None
        return int(match[1])

    async def _poll(
        self,
        child: Child,
        check: collections.abc.Callable[[], collections.abc.Awaitable[bool]],
        timeout_s: float,
        what: str,
    ) -> None:
        with trio.move_on_after(timeout_s):
            while child.exit_code is None:
                if await check():
                    return
                await trio.sleep(POLL_S)
            message = f"{child.name} ended with {child.exit_code} before it was {what}"
            raise ProcessError(f"{message}:\n{child.log()}")
        message = f"{child.name} is not {what} after {timeout_s} s"
        raise ProcessError(f"{message}:\n{child.log()}")

    async def try_call(
        self,
        child: Child,
        method: str,
        target: str,
        content: object = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 10.0,
        port: int | None = None,
    ) -> Answer | None:
        """Send a request; None if no complete answer came back."""
        body = content if isinstance(content, bytes) else b""
        if content is not None and not isinstance(content, bytes):
            body = msgspec.json.encode(content)
        addr = (HOST, child.port if port is None else port)
        call = http_client.Call(addr, method, target, headers or {}, body, timeout_s)
        full = await self.pool.fetch(call, 256 * 1024 * 1024)
        if not isinstance(full, http_client.FullResponse):
            return None
        return Answer(full.status, full.headers, full.body)

    async def call(
        self,
        child: Child,
        method: str,
        target: str,
        content: object = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> Answer:
        """Send a request that must be answered."""
        answer = await self.try_call(child, method, target, content, headers, timeout_s)
        if answer is None:
            raise ProcessError(f"{child.name} did not answer {method} {target}")
        return answer

    async def set_faults(self, child: Child, **faults: object) -> None:
        """Replace the faults in force at a stand-in."""
        answer = await self.try_call(
            child, "POST", "/faults", faults, port=child.control_port
        )
        if answer is None or answer.status != 200:
            detail = answer.body if answer else None
            raise ProcessError(f"{child.name} did not take the faults: {detail!r}")

    async def stats(self, child: Child) -> dict[str, typing.Any]:
        """Return the counters of a stand-in."""
        answer = await self.try_call(child, "GET", "/stats", port=child.control_port)
        if answer is None:
            raise ProcessError(f"{child.name} did not answer GET /stats")
        counters: dict[str, typing.Any] = answer.json()
        return counters

    async def list_instance(
        self,
        instances: Child,
        instance_id: str,
        role: str,
        address: str,
        zone: str,
        **more: str,
    ) -> None:
        """Put an instance on the platform's list."""
        content = {"role": role, "address": address, "zone": zone, **more}
        target = f"/instances/{instance_id}"
        answer = await self.call(instances, "PUT", target, content)
        if answer.status != 200:
            raise ProcessError(f"instance {instance_id} not listed: {answer.body!r}")

    async def stop_all(self) -> None:
        """Kill every child that still runs and wait for it."""
        await self.pool.aclose()
        running = [c for c in self.children if c.exit_code is None]
        for child in running:
            child.kill()
        for child in running:
            await child.wait()


@contextlib.asynccontextmanager
async def open_cluster(
    directory: pathlib.Path,
) -> collections.abc.AsyncIterator[Cluster]:
    """Run a cluster whose logs go to a directory."""
    cluster = Cluster(directory)
    try:
        yield cluster
    finally:
        with trio.CancelScope(shield=True):
            await cluster.stop_all()


async def wait_until(
    check: collections.abc.Callable[[], collections.abc.Awaitable[bool]], what: str
) -> None:
    """Wait until a condition holds."""
    with trio.move_on_after(CONDITION_S):
        while not await check():
            await trio.sleep(CONDITION_POLL_S)
        return
    raise ProcessError(f"{what} did not happen within {CONDITION_S:g} s")

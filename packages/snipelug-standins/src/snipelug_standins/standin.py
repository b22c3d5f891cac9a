"""Process of a stand-in: HTTP server, common faults and counters."""

import collections.abc
import http
import logging
import os
import time
import typing

import msgspec
import trio

from snipelug_net import http_server
from snipelug_standins import faults

LOG = logging.getLogger("snipelug.standins")

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
EXIT_DIE = 9
# Lets the response to POST /faults be sent before the process stops or closes
# connections.
FAULT_RESPONSE_DELAY_S = 0.02
LIMITS = http_server.Limits(body_bytes=256 * 1024 * 1024, body_s=300.0, write_s=300.0)

Request = http_server.Request
Response = http_server.Response


class Role(typing.Protocol):
    """Behavior of a stand-in behind its HTTP server."""

    @property
    def faults_type(self) -> type[faults.Faults]:
        """Type of the body of ``POST /faults``."""
        ...

    async def handle(self, req: Request) -> Response:
        """Handle one request."""
        ...

    def set_faults(self, wanted: faults.Faults) -> bool:
        """Apply new faults; return whether to close all open connections."""
        ...

    def stats(self) -> dict[str, object]:
        """Return counters for tests."""
        ...

    async def run(self) -> None:
        """Run background work until cancelled."""
        ...


def error(status: int, code: str, message: str) -> Response:
    """Build a JSON error response."""
    return http_server.json_response(
        status, {"error": {"code": code, "message": message}}
    )


def not_found(req: Request) -> Response:
    """Build the response to a request without a matching route."""
    message = f"no route for {req.method} {req.path}"
    return error(http.HTTPStatus.NOT_FOUND, "no_route", message)


def stop_process(code: int, reason: str) -> typing.NoReturn:
    """End this process immediately, without cleanup, as a crash does."""
    LOG.error("stopping the process: %s", reason)
    os._exit(code)


class StandIn:
    """Serves one role and applies the faults that all roles share."""

    def __init__(self, role: Role, nursery: trio.Nursery) -> None:
        self.role = role
        self.nursery = nursery
        self.faults = role.faults_type()
        self._connections = trio.CancelScope()
        self._responses_to_drop = 0
        self._effects_before_exit: int | None = None

    async def listen(
        self,
        host: str,
        port: int,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; report the bound port once listening."""
        bound_port = port
        while True:
            with trio.CancelScope() as self._connections:
                async with trio.open_nursery() as nursery:
                    server = http_server.Server(self.respond, LIMITS)
                    bound_port = await nursery.start(server.serve, host, bound_port)
                    task_status.started(bound_port)
            # A fault closed all connections: listen again on the same port.
            task_status = trio.TASK_STATUS_IGNORED

    async def respond(self, req: Request) -> Response:
        """Handle a request subject to the current faults."""
        if req.path == "/faults":
            return self._handle_faults(req)
        if req.path == "/stats":
            return http_server.json_response(http.HTTPStatus.OK, self.role.stats())
        if self.faults.refuse:
            message = "the refuse fault is active"
            return error(http.HTTPStatus.SERVICE_UNAVAILABLE, "outage", message)
        has_effect = req.method not in SAFE_METHODS
        if has_effect:
            self._count_effect()
        response = await self.role.handle(req)
        if self.faults.slow_s:
            await trio.sleep(self.faults.slow_s)
        if has_effect and self._responses_to_drop > 0:
            self._responses_to_drop -= 1
            await _drain(response.body)
            raise trio.BrokenResourceError(
                "the lose_answers fault dropped the response"
            )
        return response

    def _count_effect(self) -> None:
        if self._effects_before_exit is None:
            return
        if self._effects_before_exit == 0:
            stop_process(EXIT_DIE, "fault die")
        self._effects_before_exit -= 1

    def _handle_faults(self, req: Request) -> Response:
        if req.method == "GET":
            return http_server.json_response(http.HTTPStatus.OK, self.faults)
        if req.method != "POST":
            return not_found(req)
        try:
            wanted = msgspec.json.decode(req.body, type=self.role.faults_type)
        except msgspec.MsgspecError as exc:
            return error(http.HTTPStatus.BAD_REQUEST, "bad_faults", str(exc))
        self._apply(wanted)
        return http_server.json_response(http.HTTPStatus.OK, wanted)

    def _apply(self, wanted: faults.Faults) -> None:
        self.faults = wanted
        self._responses_to_drop = wanted.lose_answers
        self._effects_before_exit = None
        if isinstance(wanted.die, faults.DieAfter):
            self._effects_before_exit = wanted.die.after
        if self.role.set_faults(wanted):
            self._run_later(self._connections.cancel)
        if wanted.die is True:
            self._run_later(lambda: stop_process(EXIT_DIE, "fault die"))
        if wanted.pause_s:
            # Blocks the event loop to simulate a paused process.
            self._run_later(lambda: time.sleep(wanted.pause_s))

    def _run_later(self, action: collections.abc.Callable[[], object]) -> None:
        async def act() -> None:
            await trio.sleep(FAULT_RESPONSE_DELAY_S)
            action()

        self.nursery.start_soon(act)


async def _drain(body: http_server.Body) -> None:
    if isinstance(body, bytes):
        return
    assert not isinstance(body, http_server.PushedBody), (
        "stand-ins have no pushed bodies"
    )
    try:
        async for _ in body:
            pass
    finally:
        await body.aclose()


async def serve(role: Role, host: str, port: int) -> None:
    """Run a stand-in; print its port on standard output once it is listening."""
    async with trio.open_nursery() as nursery:
        standin = StandIn(role, nursery)
        nursery.start_soon(role.run)
        bound_port = await nursery.start(standin.listen, host, port)
        print(f"listening {bound_port}", flush=True)

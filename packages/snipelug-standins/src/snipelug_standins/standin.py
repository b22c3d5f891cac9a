"""The process around a stand-in: HTTP server, common faults and counters."""

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
# Lets the answer to POST /faults leave before the process stops or cuts connections.
FAULT_DELAY_S = 0.02
LIMITS = http_server.Limits(body_bytes=256 * 1024 * 1024, body_s=300.0, write_s=300.0)

Request = http_server.Request
Response = http_server.Response


class Role(typing.Protocol):
    """What a stand-in does behind its HTTP server."""

    @property
    def faults_type(self) -> type[faults.Faults]:
        """Type of the body of ``POST /faults``."""
        ...

    async def handle(self, req: Request) -> Response:
        """Answer one request."""
        ...

    def set_faults(self, wanted: faults.Faults) -> bool:
        """Take over new faults; return whether to cut all open connections."""
        ...

    def stats(self) -> dict[str, object]:
        """Return counters for tests."""
        ...

    async def run(self) -> None:
        """Run background work until cancelled."""
        ...


def error(status: int, code: str, message: str) -> Response:
    """Build a JSON error."""
    return http_server.json_response(
        status, {"error": {"code": code, "message": message}}
    )


def not_found(req: Request) -> Response:
    """Answer a request for which the stand-in has no route."""
    message = f"no route for {req.method} {req.path}"
    return error(http.HTTPStatus.NOT_FOUND, "no_route", message)


def stop_process(code: int, reason: str) -> typing.NoReturn:
    """End this process at once, as a crash does."""
    LOG.error("process exits: %s", reason)
    os._exit(code)


class StandIn:
    """Serve one role with the faults that all roles share."""

    def __init__(self, role: Role, nursery: trio.Nursery) -> None:
        self.role = role
        self.nursery = nursery
        self.faults = role.faults_type()
        self._connections = trio.CancelScope()
        self._answers_to_lose = 0
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
                    server = http_server.Server(self.answer, LIMITS)
                    bound_port = await nursery.start(server.serve, host, bound_port)
                    task_status.started(bound_port)
            # Connections were cut on purpose: listen again on the same port.
            task_status = trio.TASK_STATUS_IGNORED

    async def answer(self, req: Request) -> Response:
        """Answer a request under the faults in force."""
        if req.path == "/faults":
            return self._answer_faults(req)
        if req.path == "/stats":
            return http_server.json_response(http.HTTPStatus.OK, self.role.stats())
        if self.faults.refuse:
            message = "the stand-in refuses requests"
            return error(http.HTTPStatus.SERVICE_UNAVAILABLE, "outage", message)
        has_effect = req.method not in SAFE_METHODS
        if has_effect:
            self._count_effect()
        response = await self.role.handle(req)
        if self.faults.slow_s:
            await trio.sleep(self.faults.slow_s)
        if has_effect and self._answers_to_lose > 0:
            self._answers_to_lose -= 1
            await _consume(response.body)
            raise trio.BrokenResourceError("the answer is lost on purpose")
        return response

    def _count_effect(self) -> None:
        if self._effects_before_exit is None:
            return
        if self._effects_before_exit == 0:
            stop_process(EXIT_DIE, "fault die")
        self._effects_before_exit -= 1

    def _answer_faults(self, req: Request) -> Response:
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
        self._answers_to_lose = wanted.lose_answers
        self._effects_before_exit = None
        if isinstance(wanted.die, faults.DieAfter):
            self._effects_before_exit = wanted.die.after
        if self.role.set_faults(wanted):
            self._later(self._connections.cancel)
        if wanted.die is True:
            self._later(lambda: stop_process(EXIT_DIE, "fault die"))
        if wanted.pause_s:
            # Blocks the whole event loop, as a paused process does.
            self._later(lambda: time.sleep(wanted.pause_s))

    def _later(self, action: collections.abc.Callable[[], object]) -> None:
        async def act() -> None:
            await trio.sleep(FAULT_DELAY_S)
            action()

        self.nursery.start_soon(act)


async def _consume(body: http_server.Body) -> None:
    if isinstance(body, bytes):
        return
    assert not isinstance(body, http_server.PushedBody), "stand-ins send parts"
    try:
        async for _ in body:
            pass
    finally:
        await body.aclose()


async def serve(role: Role, host: str, port: int) -> None:
    """Run a stand-in; print its port on standard output once it listens."""
    async with trio.open_nursery() as nursery:
        standin = StandIn(role, nursery)
        nursery.start_soon(role.run)
        bound_port = await nursery.start(standin.listen, host, port)
        print(f"listening {bound_port}", flush=True)

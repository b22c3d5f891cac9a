"""An HTTP/1.1 server: h11 for the protocol, trio for input and output."""

import collections.abc
import dataclasses
import http
import logging
import os
import typing
import urllib.parse

import h11
import msgspec
import trio

LOG = logging.getLogger("snipelug.http")

MAX_HEAD_BYTES = 32 * 1024
RECEIVE_BYTES = 16 * 1024
# h11 checks the size of a head only while the head is incomplete, so the last
# read can add RECEIVE_BYTES to what was checked.
MAX_INCOMPLETE_HEAD_BYTES = MAX_HEAD_BYTES - RECEIVE_BYTES


@dataclasses.dataclass(frozen=True)
class Limits:
    """Bounds that keep the memory and time of one connection finite.

    Attributes
    ----------
    body_bytes : int
        Largest request body, in bytes.
    head_s, body_s, idle_s, write_s : float
        Time allowed for a request head, a body, an idle connection and one
        write, in seconds.
    connections : int
        Most connections open at once; further ones are closed at once.
    """

    body_bytes: int = 4 * 1024 * 1024
    head_s: float = 10.0
    body_s: float = 30.0
    idle_s: float = 75.0
    write_s: float = 30.0
    connections: int = 4096


@dataclasses.dataclass(frozen=True)
class Request:
    """A complete request; header names are in lower case.

    Attributes
    ----------
    target : str
        The request target as it was sent, not decoded.
    fields : tuple of (str, str)
        All header fields in order, repeated ones included.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    target: str = ""
    fields: tuple[tuple[str, str], ...] = ()


class BodyStream(typing.Protocol):
    """A body that is sent in parts; closed once, also if it was not read."""

    def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        """Return the iterator over the parts."""
        ...

    async def aclose(self) -> None:
        """Free what the body holds."""
        ...


class BodyWriter(typing.Protocol):
    """Where a body that sends itself writes its parts."""

    def write_nowait(self, part: bytes) -> bool:
        """Send what the client takes now; return whether nothing is left over.

        What is left over is kept, so ``drain`` must come before the next part.
        """
        ...

    async def drain(self) -> None:
        """Wait until the client has taken what was left over."""
        ...


@typing.runtime_checkable
class PushedBody(typing.Protocol):
    """A body that sends itself; closed once, also if it was not sent."""

    async def send_to(self, sink: BodyWriter) -> None:
        """Send all parts."""
        ...

    async def aclose(self) -> None:
        """Free what the body holds."""
        ...


Body = bytes | BodyStream | PushedBody


@dataclasses.dataclass
class Response:
    """A response; a body given in parts is sent in chunks."""

    status: int
    body: Body = b""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


Handler = collections.abc.Callable[[Request], collections.abc.Awaitable[Response]]


@dataclasses.dataclass(frozen=True)
class BadRequest:
    """A request that cannot be read.

    Attributes
    ----------
    status : int
        HTTP status of the answer.
    code : str
        Stable code for programs.
    message : str
        What was wrong, for people.
    """

    status: int
    code: str
    message: str


@dataclasses.dataclass(frozen=True)
class Closed:
    """The client closed the connection or sent nothing within the idle time."""


def json_response(
    status: int, content: object, headers: dict[str, str] | None = None
) -> Response:
    """Build a JSON response."""
    fields = {"content-type": "application/json"}
    fields.update(headers or {})
    return Response(status, msgspec.json.encode(content), fields)


def error_response(error: BadRequest) -> Response:
    """Build the JSON answer to a request that was not run because it is malformed."""
    detail = {
        "code": error.code,
        "message": error.message,
        "run_state": "not_run",
        "retry_after_s": None,
    }
    return json_response(error.status, {"error": detail}, {"connection": "close"})


def parse_target(target: str) -> tuple[str, dict[str, str]]:
    """Split a request target into its decoded path and its query parameters."""
    split = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(split.query, keep_blank_values=True))
    return urllib.parse.unquote(split.path), query


class Server:
    """Serve HTTP on one address until cancelled.

    Parameters
    ----------
    handler : Handler
        Called once for each complete request.
    limits : Limits
        Bounds for each connection.

    Attributes
    ----------
    open_requests : int
        Requests read and not yet answered in full.
    draining : bool
        While true, each response closes its connection.
    idle_scopes : set of trio.CancelScope
        The waits of connections without a request.
    """

    def __init__(self, handler: Handler, limits: Limits | None = None) -> None:
        self.handler = handler
        self.limits = limits or Limits()
        self.open_requests = 0
        self.open_connections = 0
        self.draining = False
        self.idle_scopes: set[trio.CancelScope] = set()
        self._accept_scope = trio.CancelScope()
        self._connections_scope = trio.CancelScope()
        self._ended = trio.Event()

    async def serve(
        self,
        host: str,
        port: int,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections; report the bound port once listening."""
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=1024)
        bound_port = listeners[0].socket.getsockname()[1]
        try:
            with self._connections_scope:
                async with trio.open_nursery() as connections:
                    task_status.started(bound_port)
                    with self._accept_scope:
                        await trio.serve_listeners(
                            self._serve_connection,
                            listeners,
                            handler_nursery=connections,
                        )
        finally:
            self._ended.set()

    def stop_accepting(self) -> None:
        """Close the listener; connections in use go on to the end of their request."""
        self.draining = True
        self._accept_scope.cancel()

    def close_idle(self) -> None:
        """Close the connections on which no request has begun."""
        for scope in self.idle_scopes:
            scope.cancel()

    async def abort(self) -> None:
        """Close the listener and all connections; wait for the end of their work."""
        self._connections_scope.cancel()
        await self._ended.wait()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        if self.open_connections >= self.limits.connections:
            await stream.aclose()
            return
        self.open_connections += 1
        try:
            async with stream:
                await _Connection(self, stream).run()
        # Errors raised while a request is answered arrive in an exception group,
        # because the answer runs in a nursery.
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            LOG.debug("client connection broken")
        except* h11.LocalProtocolError as group:
            LOG.warning("response violates HTTP", extra={"reason": str(group)})
        finally:
            self.open_connections -= 1


class _Connection:
    """One client connection: reads requests and writes their responses in turn."""

    def __init__(self, server: Server, stream: trio.SocketStream) -> None:
        self.server = server
        self.stream = stream
        self.proto = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_INCOMPLETE_HEAD_BYTES
        )

    @property
    def limits(self) -> Limits:
        """The server's limits, which may change while a connection is open."""
        return self.server.limits

    async def run(self) -> None:
        while True:
            req = await self._read_request()
            if isinstance(req, Closed):
                return
            if isinstance(req, BadRequest):
                await self._reject(req)
                return
            self.server.open_requests += 1
            try:
                await self._answer(req)
            finally:
                self.server.open_requests -= 1
            if self.proto.our_state is h11.MUST_CLOSE or self.server.draining:
                return
            if self.proto.our_state is not h11.DONE:
                return
            if self.proto.their_state is not h11.DONE:
                return
            self.proto.start_next_cycle()

    async def _next_event(self) -> object:
        while True:
            event = self.proto.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.proto.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                await self._write(self.proto.send(go_on) or b"")
            self.proto.receive_data(await self.stream.receive_some(RECEIVE_BYTES))

    async def _read_request(self) -> Request | BadRequest | Closed:
        try:
            return await self._read_head_and_body()
        except h11.RemoteProtocolError as exc:
            status = exc.error_status_hint or http.HTTPStatus.BAD_REQUEST
            return BadRequest(status, "malformed_request", str(exc))
        except trio.TooSlowError:
            return BadRequest(
                http.HTTPStatus.REQUEST_TIMEOUT,
                "request_timeout",
                "the request was not complete in time",
            )

    async def _read_head_and_body(self) -> Request | BadRequest | Closed:
        if not self.proto.trailing_data[0]:
            with trio.move_on_after(self.limits.idle_s) as idle:
                self.server.idle_scopes.add(idle)
                try:
                    first = await self.stream.receive_some(RECEIVE_BYTES)
                finally:
                    self.server.idle_scopes.discard(idle)
            if idle.cancelled_caught or not first:
                return Closed()
            self.proto.receive_data(first)
        with trio.fail_after(self.limits.head_s):
            event = await self._next_event()
        if not isinstance(event, h11.Request):
            return Closed()
        with trio.fail_after(self.limits.body_s):
            body = await self._read_body()
        if isinstance(body, BadRequest):
            return body
        target = event.target.decode("latin-1")
        path, query = parse_target(target)
        fields = tuple(
            (k.decode("latin-1"), v.decode("latin-1")) for k, v in event.headers
        )
        method = event.method.decode("ascii")
        return Request(method, path, query, dict(fields), body, target, fields)

    async def _read_body(self) -> bytes | BadRequest:
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                reason = "the connection ended inside the request body"
                return BadRequest(
                    http.HTTPStatus.BAD_REQUEST, "truncated_request", reason
                )
            size += len(event.data)
            if size > self.limits.body_bytes:
                reason = f"the request body exceeds {self.limits.body_bytes} bytes"
                return BadRequest(
                    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large", reason
                )
            parts.append(bytes(event.data))

    async def _answer(self, req: Request) -> None:
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_disconnect, scope)
                response = await self.server.handler(req)
                await self._send(response, req.method == "HEAD")
                nursery.cancel_scope.cancel()

    async def _watch_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel the request when the client leaves before its answer is complete."""
        if self.proto.trailing_data[0]:
            return
        try:
            received = await self.stream.receive_some(RECEIVE_BYTES)
        except trio.BrokenResourceError:
            received = b""
        if received:
            self.proto.receive_data(received)
        else:
            scope.cancel()

    async def _reject(self, error: BadRequest) -> None:
        if self.proto.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        await self._send(error_response(error), head_only=False)
        with trio.move_on_after(1.0):
            await self.stream.send_eof()
            # Unread input would make the kernel reset the connection and
            # could destroy the error answer before the client reads it.
            while await self.stream.receive_some(RECEIVE_BYTES):
                pass

    async def _send(self, response: Response, head_only: bool) -> None:
        headers = dict(response.headers)
        if isinstance(response.body, bytes):
            headers["content-length"] = str(len(response.body))
        elif not head_only:
            headers["transfer-encoding"] = "chunked"
        if self.server.draining:
            headers["connection"] = "close"
        head = h11.Response(
            status_code=response.status, headers=list(headers.items()), reason=b""
        )
        out = self.proto.send(head) or b""
        if isinstance(response.body, bytes):
            if response.body and not head_only:
                out += self.proto.send(h11.Data(data=response.body)) or b""
            await self._write(out + (self.proto.send(h11.EndOfMessage()) or b""))
            return
        await self._send_stream(out, response.body)

    async def _send_stream(self, head: bytes, body: BodyStream | PushedBody) -> None:
        try:
            await self._write(head)
            if isinstance(body, PushedBody):
                await body.send_to(_BodyWriter(self))
            else:
                async for part in body:
                    if part:
                        await self.write_part(part)
            await self._write(self.proto.send(h11.EndOfMessage()) or b"")
        finally:
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 5.0):
                await body.aclose()

    async def write_part(self, part: bytes) -> None:
        await self.finish_write(self.write_part_now(part))

    def write_part_now(self, part: bytes) -> bytes:
        """Write what the socket takes of a body part; return the rest."""
        return self._write_now(self.proto.send(h11.Data(data=part)) or b"")

    async def _write(self, data: bytes) -> None:
        await self.finish_write(self._write_now(data))

    async def finish_write(self, rest: bytes) -> None:
        if not rest:
            return
        with trio.move_on_after(self.limits.write_s) as scope:
            await self.stream.send_all(rest)
        if scope.cancelled_caught:
            raise trio.BrokenResourceError("the client does not read its answer")

    def _write_now(self, data: bytes) -> bytes:
        """Write what the socket takes without waiting; return the rest.

        A write through trio costs a pass of its scheduler for each token.
        """
        if not data:
            return b""
        try:
            count = os.write(self.stream.socket.fileno(), data)
        except BlockingIOError:
            count = 0
        except OSError as exc:
            raise trio.BrokenResourceError("client connection broken") from exc
        return data[count:]


class _BodyWriter:
    """Writes the body parts of one response."""

    def __init__(self, conn: _Connection) -> None:
        self._conn = conn
        self._rest = b""

    def write_nowait(self, part: bytes) -> bool:
        assert not self._rest, "a part was offered before the last one was drained"
        self._rest = self._conn.write_part_now(part)
        return not self._rest

    async def drain(self) -> None:
        rest, self._rest = self._rest, b""
        await self._conn.finish_write(rest)

"""HTTP/1.1 server on h11 and trio."""

import collections.abc
import contextlib
import dataclasses
import enum
import http
import logging
import os
import select
import typing
import urllib.parse

import h11
import msgspec
import trio

from snipelug_net import memory, pacing

LOG = logging.getLogger("snipelug.http")

MAX_HEAD_BYTES = 32 * 1024
RECEIVE_BYTES = 16 * 1024
# h11 checks the size of a request head only while the head is incomplete, so the
# last read can exceed the checked size by RECEIVE_BYTES.
MAX_INCOMPLETE_HEAD_BYTES = MAX_HEAD_BYTES - RECEIVE_BYTES

MAX_READ_AHEAD_BYTES = 16 * 1024
"""Input after a request that is buffered until its response is complete.

A larger rest stays in the kernel's buffers, which stops the client.
"""

PROBE_INTERVAL_S = 0.4
"""Interval between probes of a client whose input has ended; departures have to be
noticed within 0.5 s."""

MAX_PROBES = 4
"""Maximum number of probes without a write in between.

Some clients accept no more than five interim responses, of which one may follow an
``Expect`` field, and no more than 16 digits in the size of a chunk.
"""

MIN_RESET_CHECK_S = 0.01
MAX_RESET_CHECK_S = 0.1
"""Shortest and longest interval between checks whether a probe was answered with a
reset; doubles in between."""

RESET_EVENTS = select.POLLHUP | select.POLLERR
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
MAX_CONNECTIONS = 4096
BODILESS_STATUSES = (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits on the memory and time that connections may use.

    Attributes
    ----------
    body_bytes : int
        Maximum size of a request body, in bytes.
    head_s, body_s, idle_s, write_s : float
        Timeouts for reading a request head, reading a body, an idle connection
        and one write, in seconds.
    stall_s : float
        Timeout for the next bytes of a body, in seconds.
    connections : int
        Maximum number of open connections. Beyond it, one that is idle or whose request
        is incomplete is closed for a new one.
    """

    body_bytes: int = 4 * 1024 * 1024
    head_s: float = 10.0
    body_s: float = 30.0
    idle_s: float = 75.0
    write_s: float = 30.0
    stall_s: float = 10.0
    connections: int = MAX_CONNECTIONS


@dataclasses.dataclass(frozen=True)
class Request:
    """A complete request; header names are in lower case.

    Attributes
    ----------
    target : str
        The request target as received, without decoding.
    fields : tuple of (str, str)
        All header fields in order, including repeated ones.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    target: str = ""
    fields: tuple[tuple[str, str], ...] = ()


class BodyStream(typing.Protocol):
    """A body that is iterated over in parts; closed exactly once, even if not read."""

    def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        """Return the iterator over the parts."""
        ...

    async def aclose(self) -> None:
        """Release the resources of the body."""
        ...


class BodyWriter(typing.Protocol):
    """Writer to which a pushed body sends its parts."""

    def write_nowait(self, part: bytes) -> bool:
        """Write what the socket accepts now; return whether that was the whole part.

        The rest is buffered, and ``drain`` must be called before the next part.
        """
        ...

    async def drain(self) -> None:
        """Wait until the buffered rest has been written."""
        ...


@typing.runtime_checkable
class PushedBody(typing.Protocol):
    """A body that writes its own parts; closed exactly once, even if not sent."""

    async def send_to(self, sink: BodyWriter) -> None:
        """Write all parts."""
        ...

    async def aclose(self) -> None:
        """Release the resources of the body."""
        ...


Body = bytes | BodyStream | PushedBody


@dataclasses.dataclass
class Response:
    """A response; a body that is not bytes is sent with chunked encoding."""

    status: int
    body: Body = b""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


Handler = collections.abc.Callable[[Request], collections.abc.Awaitable[Response]]


@dataclasses.dataclass(frozen=True)
class RequestError:
    """A request that could not be read or handled.

    Attributes
    ----------
    status : int
        HTTP status of the response.
    code : str
        Stable, machine-readable error code.
    message : str
        Human-readable description of the error.
    retry_after_s : float or None
        Time after which a retry may succeed, in seconds.
    """

    status: int
    code: str
    message: str
    retry_after_s: float | None = None


INTERNAL_ERROR = RequestError(
    http.HTTPStatus.INTERNAL_SERVER_ERROR,
    "internal_error",
    "an unexpected error occurred while the request was handled",
)


TOO_FRAGMENTED = RequestError(
    http.HTTPStatus.BAD_REQUEST,
    "too_fragmented",
    "the request arrives in too many small fragments",
)


MEMORY_SHORT = RequestError(
    http.HTTPStatus.SERVICE_UNAVAILABLE,
    "memory_short",
    "the node has too little memory to receive the request",
    1.0,
)


NEW_CONNECTION_S = 1.0
"""Time in which the request of a new or idle connection may be on its way."""


class DropReason(enum.StrEnum):
    """Why a client's request or connection was given up for others."""

    BODY_TOO_LARGE = "body_too_large"
    UPLOAD = "upload"
    """Its request was incomplete when the memory was used up."""

    UNREAD_RESPONSE = "unread_response"
    """It did not read its response when the memory was used up."""

    CONNECTION = "connection"
    """There were too many connections."""


DropReceiver = collections.abc.Callable[[DropReason, str], None]
"""Called with the reason and the address of the client. It must not raise."""


UNSENDABLE = RequestError(
    http.HTTPStatus.BAD_GATEWAY,
    "response_unsendable",
    "the response has a field that HTTP does not allow",
)


@dataclasses.dataclass(frozen=True)
class Closed:
    """The client closed the connection or the idle timeout expired."""


def json_response(
    status: int, content: object, headers: dict[str, str] | None = None
) -> Response:
    """Build a JSON response."""
    fields = {"content-type": "application/json"}
    fields.update(headers or {})
    return Response(status, msgspec.json.encode(content), fields)


def error_response(error: RequestError) -> Response:
    """Build the JSON response to a malformed request, which was not run."""
    return _error_response(error, "not_run")


def _error_response(error: RequestError, run_state: str) -> Response:
    detail = {
        "code": error.code,
        "message": error.message,
        "run_state": run_state,
        "retry_after_s": error.retry_after_s,
    }
    headers = {"connection": "close"}
    if error.retry_after_s is not None:
        headers["retry-after"] = f"{error.retry_after_s:.2f}"
    return json_response(error.status, {"error": detail}, headers)


def _response_head(status: int, headers: dict[str, str]) -> h11.Response:
    """Build the head of a response.

    Raises
    ------
    h11.LocalProtocolError
        If HTTP does not allow the status or a field.
    """
    # Fields are decoded as Latin-1, so that any octet passes unchanged.
    fields = [
        (name.encode("latin-1", "replace"), value.encode("latin-1", "replace"))
        for name, value in headers.items()
    ]
    return h11.Response(status_code=status, headers=fields, reason=b"")


def _peer_address(stream: trio.SocketStream) -> str:
    """Return the address of the client; empty if it has gone already."""
    try:
        return str(stream.socket.getpeername()[0])
    except OSError:
        return ""


def _is_broken_connection(exc: Exception) -> bool:
    """Return whether an error, or each one of a group, is a broken connection."""
    if isinstance(exc, ExceptionGroup):
        return all(_is_broken_connection(item) for item in exc.exceptions)
    return isinstance(exc, trio.BrokenResourceError | trio.ClosedResourceError)


def parse_target(target: str) -> tuple[str, dict[str, str]]:
    """Split a request target into its decoded path and its query parameters.

    Raises
    ------
    ValueError
        If the target is not a valid URL.
    """
    split = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(split.query, keep_blank_values=True))
    return urllib.parse.unquote(split.path), query


class _DrainingListener(trio.abc.Listener[trio.SocketStream]):
    """Listener that serves the connections of its backlog when it is closed.

    The kernel has completed these connections, and their clients may have sent a
    request. Closing the socket would reset them.
    """

    def __init__(
        self,
        listener: trio.SocketListener,
        serve: collections.abc.Callable[
            [trio.SocketStream], collections.abc.Awaitable[None]
        ],
        nursery: trio.Nursery,
    ) -> None:
        self._listener = listener
        self._serve = serve
        self._nursery = nursery

    async def accept(self) -> trio.SocketStream:
        return await self._listener.accept()

    async def aclose(self) -> None:
        try:
            with trio.CancelScope(shield=True):
                while self._listener.socket.is_readable():
                    self._nursery.start_soon(self._serve, await self.accept())
        except OSError as exc:
            LOG.warning("backlog_not_served", extra={"reason": str(exc)})
        finally:
            await self._listener.aclose()


@dataclasses.dataclass(eq=False)
class _TimedRead:
    """A read whose timeout is one of the server's limits."""

    scope: trio.CancelScope
    started_at: float
    timeout_s: collections.abc.Callable[[Limits], float]

    def extend(self, limits: Limits) -> None:
        """Apply changed limits, but keep the time that was granted before."""
        until = self.started_at + self.timeout_s(limits)
        self.scope.deadline = max(self.scope.deadline, until)


class Server:
    """Serve HTTP on one address until cancelled.

    Parameters
    ----------
    handler : Handler
        Called once for each complete request.
    limits : Limits
        Limits on connections.
    budget : memory.Budget, optional
        Memory for the bodies of requests and the responses that are not read.
    on_drop : DropReceiver, optional
        Called for each request or connection that is given up for others.

    Attributes
    ----------
    draining : bool
        If true, each response closes its connection.
    idle_scopes : set of trio.CancelScope
        Cancel scopes of the connections that wait for a request.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Limits | None = None,
        budget: memory.Budget | None = None,
        on_drop: DropReceiver | None = None,
    ) -> None:
        self.handler = handler
        self.budget = budget or memory.Budget()
        self.on_drop = on_drop
        self._connections: dict[_Connection, None] = {}
        self._meter: pacing.Meter | None = None
        self._limits = limits or Limits()
        self._timed_reads: set[_TimedRead] = set()
        self.open_connections = 0
        self.draining = False
        self.idle_scopes: set[trio.CancelScope] = set()
        self._handled: dict[_Connection, Request] = {}
        self._reading: set[_Connection] = set()
        self._accept_scope = trio.CancelScope()
        self._connections_scope = trio.CancelScope()
        self._stopped = trio.Event()

    def new_pacer(self) -> pacing.Pacer:
        """Return the pacer of a new connection."""
        if self._meter is None:
            self._meter = pacing.Meter(
                trio.current_time(),
                pacing.SERVER_BURST_FRAGMENTS,
                pacing.SERVER_FRAGMENTS_PER_S,
            )
        return pacing.Pacer(self._meter)

    @property
    def open_requests(self) -> int:
        """Number of requests that were read and whose response is not complete."""
        return len(self._handled)

    @property
    def unfinished_requests(self) -> list[Request]:
        """The requests that were read and whose response is not complete."""
        return list(self._handled.values())

    @property
    def limits(self) -> Limits:
        """Limits on connections.

        Higher ones extend the reads in progress; lower ones apply to later reads.
        """
        return self._limits

    @limits.setter
    def limits(self, limits: Limits) -> None:
        self._limits = limits
        for read in self._timed_reads:
            read.extend(limits)

    @contextlib.contextmanager
    def limit_read(
        self, timeout_s: collections.abc.Callable[[Limits], float]
    ) -> collections.abc.Iterator[trio.CancelScope]:
        """Cancel the block at a timeout, which a change of the limits may extend."""
        with trio.move_on_after(timeout_s(self.limits)) as scope:
            read = _TimedRead(scope, trio.current_time(), timeout_s)
            self._timed_reads.add(read)
            try:
                yield scope
            finally:
                self._timed_reads.discard(read)

    async def serve(
        self,
        host: str,
        port: int,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections; pass the bound port to ``task_status`` once listening."""
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=1024)
        bound_port = listeners[0].socket.getsockname()[1]
        try:
            with self._connections_scope:
                async with trio.open_nursery() as connections:
                    task_status.started(bound_port)
                    with self._accept_scope:
                        await trio.serve_listeners(
                            self._serve_connection,
                            [
                                _DrainingListener(
                                    listener, self._serve_connection, connections
                                )
                                for listener in listeners
                            ],
                            handler_nursery=connections,
                        )
        finally:
            self._stopped.set()

    def stop_accepting(self) -> None:
        """Close the listener; requests in progress are completed."""
        self.draining = True
        self._accept_scope.cancel()

    def close_idle(self) -> None:
        """Close the connections that are waiting for a request."""
        for scope in self.idle_scopes:
            scope.cancel()

    def refuse_incomplete(self, error: RequestError) -> int:
        """Refuse the requests that are being read; return their number."""
        reading = [conn for conn in self._reading if conn.has_begun_request]
        for conn in reading:
            conn.refuse_request(error)
        return len(reading)

    async def abort(self) -> None:
        """Close the listener and all connections; wait until their tasks have ended."""
        self._connections_scope.cancel()
        await self._stopped.wait()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        is_full = self.open_connections >= self.limits.connections
        if is_full and not self._make_room():
            await stream.aclose()
            return
        self.open_connections += 1
        conn = _Connection(self, stream)
        self._connections[conn] = None
        try:
            async with stream:
                with conn.life:
                    await conn.run()
        # Handlers run in a nursery, so their errors arrive in an exception group.
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            LOG.debug("client connection broken")
        except* h11.LocalProtocolError as group:
            LOG.warning("response violates HTTP", extra={"reason": str(group)})
        # All connections share a nursery, so any other error would end all of them.
        except* Exception as group:
            LOG.error("connection_failed", exc_info=group)
        finally:
            self.open_connections -= 1
            del self._connections[conn]

    def _make_room(self) -> bool:
        """Close the connection that is idle for longest, or whose request stalls.

        The request of a connection that was just opened may still arrive, so one that
        has sent a part of a request is closed before it.
        """
        waiting = [c for c in self._connections if c.is_expendable]
        if not waiting:
            return False
        since = trio.current_time() - NEW_CONNECTION_S

        def rank(conn: _Connection) -> tuple[bool, bool, float]:
            is_recent = conn.active_at > since
            goes_first = conn.is_idle != is_recent
            return is_recent, not goes_first, conn.active_at

        victim = min(waiting, key=rank)
        self.report_drop(DropReason.CONNECTION, victim.peer)
        victim.close()
        return True

    def report_drop(self, reason: DropReason, peer: str) -> None:
        """Report that a request or connection was given up for others."""
        if self.on_drop is not None:
            self.on_drop(reason, peer)


class _Connection:
    """A client connection, which reads requests and writes responses one at a time."""

    def __init__(self, server: Server, stream: trio.SocketStream) -> None:
        self.server = server
        self.stream = stream
        self.proto = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_INCOMPLETE_HEAD_BYTES
        )
        self.life = trio.CancelScope()
        self.peer = _peer_address(stream)
        self.active_at = trio.current_time()
        self.use = memory.Use.INCOMPLETE_REQUEST
        self.is_idle = False
        self._is_reading = False
        self._read_scope = trio.CancelScope()
        self._refused: RequestError | None = None
        self._is_writing = False
        self._is_chunked = False
        self._has_written = False
        self._probes = 0
        self._probe_rest = b""
        self._pacer = server.new_pacer()

    @property
    def has_begun_request(self) -> bool:
        """Whether a part of the next request has been received."""
        is_head_read = self.proto.their_state is not h11.IDLE
        return is_head_read or bool(self.proto.trailing_data[0])

    @property
    def is_expendable(self) -> bool:
        """Whether the connection may be closed for another one."""
        return self._is_reading and not self.life.cancel_called

    def close(self) -> None:
        """Close the connection without a response."""
        self.life.cancel()

    def drop(self) -> None:
        """Give up the memory that is held for the client."""
        if self.use is memory.Use.INCOMPLETE_REQUEST:
            self.server.report_drop(DropReason.UPLOAD, self.peer)
            self.refuse_request(MEMORY_SHORT)
        else:
            self.server.report_drop(DropReason.UNREAD_RESPONSE, self.peer)
            self.close()

    def refuse_request(self, error: RequestError) -> None:
        """Stop reading the request and respond with an error."""
        self._refused = error
        self._read_scope.cancel()

    @property
    def limits(self) -> Limits:
        """The server's limits, which may change while the connection is open."""
        return self.server.limits

    @property
    def _speaks_http_1_1(self) -> bool:
        return (self.proto.their_http_version or b"") >= b"1.1"

    async def run(self) -> None:
        while True:
            req = await self._read_request()
            if isinstance(req, Closed):
                return
            if isinstance(req, RequestError):
                await self._reject(req)
                return
            self.use = memory.Use.REQUEST
            # The request that is sent to an upstream has a copy of the body.
            if req.body and not self.server.budget.charge(self, len(req.body)):
                self.server.report_drop(DropReason.UPLOAD, self.peer)
                await self._reject(MEMORY_SHORT)
                return
            self.server._handled[self] = req
            try:
                await self._handle(req)
            finally:
                del self.server._handled[self]
                self.server.budget.release(self)
                self.use = memory.Use.INCOMPLETE_REQUEST
            if self.proto.our_state is h11.MUST_CLOSE or self.server.draining:
                return
            if self.proto.our_state is not h11.DONE:
                return
            if self.proto.their_state is not h11.DONE:
                return
            self.proto.start_next_cycle()

    async def _next_event(self) -> object:
        while True:
            await self._pacer.wait()
            event = self.proto.next_event()
            if isinstance(event, h11.Data):
                self._pacer.record(len(event.data))
            elif event is not h11.NEED_DATA:
                self._pacer.start_message()
            if event is not h11.NEED_DATA:
                return event
            if self.proto.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                await self._write(self.proto.send(continue_response) or b"")
            received = await self._receive()
            if self.proto.their_state is h11.IDLE:
                self._pacer.record(len(received))
            self.proto.receive_data(received)

    async def _receive(self) -> bytes:
        """Receive some bytes; those of a body must not stall."""
        if self.proto.their_state is h11.SEND_BODY:
            with trio.fail_after(self.limits.stall_s):
                received = await self.stream.receive_some(RECEIVE_BYTES)
        else:
            received = await self.stream.receive_some(RECEIVE_BYTES)
        self.active_at = trio.current_time()
        return bytes(received)

    async def _read_request(self) -> Request | RequestError | Closed:
        self._read_scope = trio.CancelScope()
        self.server._reading.add(self)
        self._is_reading = True
        found: Request | RequestError | Closed = Closed()
        try:
            with self._read_scope:
                found = await self._read_head_and_body()
                return found
            return self._refused or Closed()
        except h11.RemoteProtocolError as exc:
            status = exc.error_status_hint or http.HTTPStatus.BAD_REQUEST
            return RequestError(status, "malformed_request", str(exc))
        except trio.TooSlowError:
            return RequestError(
                http.HTTPStatus.REQUEST_TIMEOUT,
                "request_timeout",
                "the request was not received completely within the time limit",
            )
        finally:
            self._is_reading = False
            self.server._reading.discard(self)
            if not isinstance(found, Request):
                self.server.budget.release(self)

    async def _read_head_and_body(self) -> Request | RequestError | Closed:
        if not self.proto.trailing_data[0]:
            first = b""
            self.active_at = trio.current_time()
            with self.server.limit_read(lambda limits: limits.idle_s) as idle:
                self.server.idle_scopes.add(idle)
                self.is_idle = True
                try:
                    first = bytes(await self.stream.receive_some(RECEIVE_BYTES))
                finally:
                    self.is_idle = False
                    self.server.idle_scopes.discard(idle)
            if idle.cancelled_caught and self.stream.socket.is_readable():
                # A request has arrived while the connection was being closed.
                first = bytes(await self.stream.receive_some(RECEIVE_BYTES))
            if not first:
                return Closed()
            self.proto.receive_data(first)
        limit_bytes = self.limits.body_bytes
        with self.server.limit_read(lambda limits: limits.head_s) as head:
            event = await self._next_event()
        if head.cancelled_caught:
            raise trio.TooSlowError
        if not isinstance(event, h11.Request):
            return Closed()
        with self.server.limit_read(lambda limits: limits.body_s) as reading:
            body = await self._read_body(limit_bytes)
        if reading.cancelled_caught:
            raise trio.TooSlowError
        if isinstance(body, RequestError):
            return body
        target = event.target.decode("latin-1")
        try:
            path, query = parse_target(target)
        except ValueError as exc:
            reason = f"the request target {target!r} is malformed: {exc}"
            return RequestError(http.HTTPStatus.BAD_REQUEST, "malformed_target", reason)
        fields = tuple(
            (k.decode("latin-1"), v.decode("latin-1")) for k, v in event.headers
        )
        method = event.method.decode("ascii")
        return Request(method, path, query, dict(fields), body, target, fields)

    async def _read_body(self, limit_bytes: int) -> bytes | RequestError:
        """Read the body.

        Parameters
        ----------
        limit_bytes : int
            Limit when the request began, which may have been lowered since.
        """
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                reason = "the connection was closed before the end of the request body"
                return RequestError(
                    http.HTTPStatus.BAD_REQUEST, "truncated_request", reason
                )
            if self._pacer.is_exceeded:
                return TOO_FRAGMENTED
            size += len(event.data)
            limit_bytes = max(limit_bytes, self.limits.body_bytes)
            if size > limit_bytes:
                return self._too_large(limit_bytes)
            if not self.server.budget.charge(self, len(event.data)):
                return MEMORY_SHORT
            parts.append(bytes(event.data))

    def _too_large(self, limit_bytes: int) -> RequestError:
        self.server.report_drop(DropReason.BODY_TOO_LARGE, self.peer)
        reason = f"the request body exceeds {limit_bytes} bytes"
        return RequestError(
            http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large", reason
        )

    async def _handle(self, req: Request) -> None:
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_disconnect, scope, req.method)
                response = await self._respond(req)
                await self._send(response, req.method == "HEAD")
                nursery.cancel_scope.cancel()

    async def _respond(self, req: Request) -> Response:
        """Call the handler; an unexpected error becomes a response with status 500."""
        try:
            return await self.server.handler(req)
        except Exception as exc:
            if _is_broken_connection(exc):
                raise
            LOG.error("handler_failed", extra={"target": req.target}, exc_info=exc)
            return _error_response(INTERNAL_ERROR, "unknown")

    async def _watch_disconnect(self, scope: trio.CancelScope, method: str) -> None:
        """Cancel the request if the client disconnects before it is answered."""
        try:
            await self._wait_input_end()
            await self._wait_reset(method)
        except trio.BrokenResourceError:
            pass
        scope.cancel()

    async def _wait_input_end(self) -> None:
        """Buffer a limited amount of input until the client closes its sending side."""
        while len(self.proto.trailing_data[0]) < MAX_READ_AHEAD_BYTES:
            received = await self.stream.receive_some(RECEIVE_BYTES)
            if not received:
                return
            self.proto.receive_data(received)
        while not self._poll(select.POLLRDHUP | RESET_EVENTS):
            await trio.sleep(MAX_RESET_CHECK_S)

    async def _wait_reset(self, method: str) -> None:
        """Wait until a client whose input has ended has closed the whole connection.

        Data for a closed socket is answered with a reset. A client that has only
        closed its sending side still waits for the response. A client that speaks
        HTTP/1.0 can't be probed: it counts as disconnected if it may repeat the
        request, and otherwise gets the response.
        """
        if not self._speaks_http_1_1 and method in IDEMPOTENT_METHODS:
            return
        pause_s = MIN_RESET_CHECK_S
        probe_at = trio.current_time()
        self._has_written = False
        while not self._poll(RESET_EVENTS):
            if trio.current_time() >= probe_at:
                if not self._has_written:
                    self._probe()
                self._has_written = False
                probe_at = trio.current_time() + PROBE_INTERVAL_S
            await trio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_RESET_CHECK_S)

    def _poll(self, events: int) -> bool:
        """Return whether any of the events is pending at the socket."""
        poll = select.poll()
        poll.register(self.stream.socket.fileno(), events)
        return bool(poll.poll(0))

    def _probe(self) -> None:
        """Send bytes that change neither the response nor its body.

        Before the response this is an interim response. Within a chunked body it is a
        leading zero of the next chunk's size.
        """
        has_unsent = self._is_writing or bool(self._probe_rest)
        if has_unsent or self._probes >= MAX_PROBES:
            return
        if not self._speaks_http_1_1:
            return
        if self.proto.our_state is h11.SEND_RESPONSE:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            data = self.proto.send(interim) or b""
        elif self.proto.our_state is h11.SEND_BODY and self._is_chunked:
            data = b"0"
        else:
            return
        try:
            self._probe_rest = data[os.write(self.stream.socket.fileno(), data) :]
        except BlockingIOError:
            # Earlier data is still on its way and serves as a probe.
            return
        except OSError as exc:
            raise trio.BrokenResourceError("client connection broken") from exc
        self._probes += 1

    async def _reject(self, error: RequestError) -> None:
        if self.proto.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        await self._send(error_response(error), head_only=False)
        with trio.move_on_after(1.0):
            await self.stream.send_eof()
            # If input is left unread, the kernel resets the connection, and the
            # client may lose the error response before reading it.
            while await self.stream.receive_some(RECEIVE_BYTES):
                pass

    async def _send(self, response: Response, head_only: bool) -> None:
        headers = dict(response.headers)
        if isinstance(response.body, bytes):
            headers["content-length"] = str(len(response.body))
        elif not head_only:
            headers["transfer-encoding"] = "chunked"
        self._is_chunked = (
            "transfer-encoding" in headers
            and response.status not in BODILESS_STATUSES
            and self._speaks_http_1_1
        )
        if self.server.draining:
            headers["connection"] = "close"
        try:
            head = _response_head(response.status, headers)
        except h11.LocalProtocolError as exc:
            LOG.warning("response_unsendable", extra={"reason": str(exc)})
            if not isinstance(response.body, bytes):
                await response.body.aclose()
            await self._send(_error_response(UNSENDABLE, "unknown"), head_only)
            return
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
            self._end_probed_chunk()
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 5.0):
                await body.aclose()

    def _end_probed_chunk(self) -> None:
        """Make a chunk size that a probe has begun that of a missing chunk.

        Some clients take a size of 0 at the end of the connection for the end of the
        body.
        """
        if self.proto.our_state is h11.SEND_BODY and self._probes and self._is_chunked:
            with contextlib.suppress(OSError):
                os.write(self.stream.socket.fileno(), b"1\r\n")

    async def write_part(self, part: bytes) -> None:
        await self.write_rest(self.write_part_nowait(part))

    def write_part_nowait(self, part: bytes) -> bytes:
        """Write what the socket accepts of a body part; return the rest."""
        return self._write_nowait(self.proto.send(h11.Data(data=part)) or b"")

    async def _write(self, data: bytes) -> None:
        await self.write_rest(self._write_nowait(data))

    async def write_rest(self, rest: bytes) -> None:
        if not rest:
            return
        budget = self.server.budget
        before, self.use = self.use, memory.Use.UNREAD_RESPONSE
        self.active_at = trio.current_time()
        try:
            if not budget.charge(self, len(rest)):
                raise trio.BrokenResourceError("the memory for responses is used up")
            with trio.move_on_after(self.limits.write_s) as scope:
                await self.stream.send_all(rest)
        finally:
            budget.release(self)
            self.use = before
        if scope.cancelled_caught:
            raise trio.BrokenResourceError("the client is not reading the response")
        self._is_writing = False

    def _write_nowait(self, data: bytes) -> bytes:
        """Write what the socket accepts without blocking; return the rest.

        Writing through trio would cost a scheduler pass for each token.
        """
        if not data:
            return b""
        data = self._probe_rest + data
        self._probe_rest = b""
        self._probes = 0
        self._has_written = True
        try:
            count = os.write(self.stream.socket.fileno(), data)
        except BlockingIOError:
            count = 0
        except OSError as exc:
            raise trio.BrokenResourceError("client connection broken") from exc
        self._is_writing = count < len(data)
        return data[count:]


class _BodyWriter:
    """Writes the parts of a response body; buffers what the socket does not accept."""

    def __init__(self, conn: _Connection) -> None:
        self._conn = conn
        self._rest = b""

    def write_nowait(self, part: bytes) -> bool:
        assert not self._rest, "a part was written before the previous one was drained"
        self._rest = self._conn.write_part_nowait(part)
        return not self._rest

    async def drain(self) -> None:
        rest, self._rest = self._rest, b""
        await self._conn.write_rest(rest)

"""HTTP/1.1 client on h11 and trio, with pooled connections and outcomes as values."""

import collections
import collections.abc
import dataclasses
import enum
import itertools
import math
import os
import re
import select

import h11
import trio

from snipelug_net import connecting, pacing, poller

RECEIVE_BYTES = 64 * 1024
MAX_HEAD_BYTES = 64 * 1024
MAX_INFORMATIONAL_RESPONSES = 16
"""Maximum number of 1xx responses before the final one."""

MAX_REQUESTS_PER_CONNECTION = 64
"""Requests with an id after which a connection is closed, as it remembers their ids."""

FIRST_ERROR_STATUS = 400
MAX_STATUS = 599
"""Statuses above are invalid (RFC 9110, section 15)."""

MAX_DISCARDED_BYTES = 1024 * 1024
"""Maximum size of a response to an earlier request that is read and discarded."""

BUFFER_BYTES = 32 * 1024 * 1024
"""Memory for the response bodies that a pool's callers read at the same time."""

TOO_FRAGMENTED = "the response arrives in too many small fragments"

ENDED_WITHIN_REQUEST = (
    "the connection ended before the request was sent, and the response has no length"
)

IDLE_TIMEOUT_MARGIN_S = 0.5
"""Connections are discarded this long before the server's announced idle timeout."""

MAX_LOGGED_ID = 200
"""Characters of a discarded response's id that are reported."""

CONNECTION_NUMBERS = itertools.count(1)

Address = tuple[str, int]

PreSendCheck = collections.abc.Callable[[float], bool]
"""Called with the connection's opening time, just before the first byte is sent."""


@dataclasses.dataclass(frozen=True)
class Call:
    """A request to send.

    Attributes
    ----------
    timeout_s : float
        Longest time from the start of the call to the response head, in seconds.
    fields : tuple of (str, str)
        Header fields in order; names may repeat. Unless empty, they are sent
        in place of ``headers`` and must include the host.
    echoed_header : str
        Lower-case name of a request header that the server echoes in its
        response. A response with another value belongs to an earlier request
        and is discarded. No connection carries one value twice, so a response
        with the value is no copy of an earlier one. Empty if the server echoes
        none.
    max_idle_s : float
        Longest time that a reused connection may have been idle, in seconds.
    is_first : bool
        Whether it must be the first request of its connection, and the last one.
        Without an id, a late copy of an earlier success would be taken for the
        response, and one of its own for a later response.
    kind : str
        What a call without an id asks for. Its connection carries no calls of another
        kind, so that a late copy is an earlier response to the same question.
    """

    addr: Address
    method: str
    target: str
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    timeout_s: float = 10.0
    fields: tuple[tuple[str, str], ...] = ()
    echoed_header: str = ""
    max_idle_s: float = math.inf
    is_first: bool = False
    kind: str = ""

    @property
    def request_id(self) -> str:
        """Value of the header that the server echoes; empty if there is none."""
        if not self.echoed_header:
            return ""
        return dict(self.fields or self.headers.items()).get(self.echoed_header, "")


@dataclasses.dataclass(frozen=True)
class NotSent:
    """No byte of the request left this process."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Withheld:
    """The pre-send check failed; no byte of the request was sent."""


@dataclasses.dataclass(frozen=True)
class Lost:
    """Bytes of the request were sent, but no complete response was received.

    Attributes
    ----------
    is_closed : bool
        True if the connection was closed, False if the call timed out.
    is_closed_by_server : bool
        True if the server closed or reset the connection before the response head, so
        that it has received the request by now or never will.
    """

    reason: str
    is_closed: bool = False
    is_closed_by_server: bool = False


@dataclasses.dataclass(frozen=True)
class TooLarge:
    """The response body exceeds the caller's limit or the memory left in the pool."""

    limit_bytes: int


@dataclasses.dataclass(frozen=True)
class FullResponse:
    """A complete response.

    Attributes
    ----------
    is_identified : bool
        Whether it belongs to this request, see ``StreamingResponse``.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_identified: bool = True


@dataclasses.dataclass(frozen=True)
class Paused:
    """The receiver of a body asked to stop; more of the body may follow."""


class DiscardReason(enum.Enum):
    """Why a response belongs to no request that is under way."""

    OTHER_REQUEST = "other_request"
    """It has the id of another request than the one that is due."""

    EXTRA = "extra"
    """It followed directly on the response to the request."""

    UNSOLICITED = "unsolicited"
    """It was found on an idle connection before a request was sent."""


@dataclasses.dataclass(frozen=True)
class Discarded:
    """A response, or other bytes, that belong to no request that is under way.

    Attributes
    ----------
    connection : int
        Number of the connection, unique in this process.
    status : int
        Its status; 0 if the bytes do not begin a response.
    request_id : str
        Value of the header that the server echoes; empty if there is none.
    due : str
        Id of the request that waits for its response; empty if none waits.
    """

    addr: Address
    connection: int
    reason: DiscardReason
    status: int
    request_id: str = ""
    due: str = ""


DiscardReceiver = collections.abc.Callable[[Discarded], None]

PartReceiver = collections.abc.Callable[[bytes], bool]
"""Receives a body part without blocking; returns whether it accepts more now."""


class StreamingResponse:
    """A response whose head has been received and whose body can be read.

    Attributes
    ----------
    has_ended : bool
        True once the whole body has been read.
    is_identified : bool
        Whether it belongs to this request: it echoes the request's header, or nothing
        else came over the connection of which it may be a late copy.
    connection : int
        Number of the connection, unique in this process.
    earlier_requests : int
        Number of requests that the connection carried before this one.
    """

    def __init__(
        self,
        pool: "Pool",
        conn: "_Connection",
        head: h11.Response,
        is_identified: bool = True,
    ) -> None:
        self.is_identified = is_identified
        self.status = head.status_code
        self.headers = {
            k.decode("latin-1"): v.decode("latin-1") for k, v in head.headers
        }
        self.opened_at = conn.opened_at
        self.connection = conn.number
        self.earlier_requests = conn.requests - 1
        self._pool = pool
        self._conn = conn
        self._is_done = False
        self._lost: Lost | None = None
        self._poller: poller.Poller | None = None
        self.has_ended = False

    @property
    def is_framed(self) -> bool:
        """Whether the end of the body is marked, not just by the connection's end."""
        return "content-length" in self.headers or "transfer-encoding" in self.headers

    async def next_part(self) -> bytes | Lost | None:
        """Return the next body part, None at the end, or Lost if it was truncated."""
        while not self._is_done:
            await self._conn.pacer.wait()
            part = self._read_events()
            if part:
                return part
            if self._is_done:
                break
            try:
                self._conn.proto.receive_data(await self._conn.receive())
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                self._fail(exc)
        return self._lost

    async def read_with(
        self, body_poller: poller.Poller, on_part: PartReceiver
    ) -> Lost | Paused | None:
        """Pass on body parts as a poller reads them, without a task switch.

        Must not be called before ``next_part`` has returned the first part.

        Parameters
        ----------
        body_poller : poller.Poller
            Reads the connection.
        on_part : PartReceiver
            Called with each part. Its exceptions are raised here.

        Returns
        -------
        Lost, Paused or None
            None at the end of the body; Paused once ``on_part`` returned False.
        """
        pacer = self._conn.pacer
        stop_requested = False

        def on_readable() -> bool:
            nonlocal stop_requested
            part = self._read_nowait(fd)
            stop_requested = bool(part) and not on_part(part)
            return not (stop_requested or self._is_done or pacer.is_turn_over)

        while not (stop_requested or self._is_done):
            if pacer.is_turn_over:
                # What is left of the last read does not make the socket readable.
                await pacer.wait()
                part = self._read_events()
                stop_requested = bool(part) and not on_part(part)
                continue
            fd = self._conn.stream.socket.fileno()
            self._poller = body_poller
            try:
                await body_poller.watch(fd, on_readable)
            finally:
                self._poller = None
        return Paused() if stop_requested else self._lost

    def _read_nowait(self, fd: int) -> bytes:
        try:
            received = os.read(fd, RECEIVE_BYTES)
        except BlockingIOError:
            return b""
        except OSError as exc:
            self._fail(exc)
            return b""
        self._conn.proto.receive_data(received)
        return self._read_events()

    def _read_events(self) -> bytes:
        """Return body bytes received so far; release the connection at its end.

        More bytes may be buffered if the connection's turn is over.
        """
        proto = self._conn.proto
        pacer = self._conn.pacer
        parts: list[bytes] = []
        if self._is_done:
            return b""
        try:
            while isinstance(event := proto.next_event(), h11.Data):
                parts.append(event.data)
                pacer.record(len(event.data))
                if pacer.is_exceeded:
                    raise h11.RemoteProtocolError(TOO_FRAGMENTED)
                if pacer.is_turn_over:
                    return b"".join(parts)
                # Only the CRLF after the chunk is buffered, so no further event is due.
                if event.chunk_end and proto.trailing_data[0] == b"\r\n":
                    return b"".join(parts)
        except h11.RemoteProtocolError as exc:
            self._fail(exc)
            return b"".join(parts)
        if event is not h11.NEED_DATA:
            if self._conn.is_sending and not self.is_framed:
                # The server has given up the request, and the response with it.
                self._fail(trio.BrokenResourceError(ENDED_WITHIN_REQUEST))
                return b"".join(parts)
            self._is_done = True
            self.has_ended = True
            self._pool.release(self._conn)
        return b"".join(parts)

    def _fail(self, exc: Exception) -> None:
        self._is_done = True
        self._lost = Lost(str(exc) or "connection broken", is_closed=True)
        self._conn.stream.socket.close()

    async def read(self, limit_bytes: int, timeout_s: float) -> bytes | Lost | TooLarge:
        """Read the whole body, up to a size limit and within a time limit."""
        parts: list[bytes] = []
        size = 0
        try:
            with trio.move_on_after(timeout_s):
                while True:
                    part = await self.next_part()
                    if part is None:
                        return b"".join(parts)
                    if isinstance(part, Lost):
                        return part
                    size += len(part)
                    self._pool.buffered_bytes += len(part)
                    if size > limit_bytes or self._pool.is_buffer_full:
                        await self.aclose()
                        return TooLarge(limit_bytes)
                    parts.append(part)
            await self.aclose()
            return Lost(f"the response body did not end within {timeout_s} s")
        finally:
            self._pool.buffered_bytes -= size

    def abort(self) -> None:
        """Close the connection; a pending read returns Lost."""
        if self._is_done:
            return
        if self._poller is not None:
            self._poller.unwatch(self._conn.stream.socket.fileno())
        self._fail(trio.ClosedResourceError("closed by this process"))

    async def aclose(self) -> None:
        """Close the connection unless the body was read to its end."""
        if not self._is_done:
            self._is_done = True
            await trio.aclose_forcefully(self._conn.stream)


class _Connection:
    """A connection to a server, with the state of its current request."""

    def __init__(self, addr: Address, stream: trio.SocketStream) -> None:
        self.addr = addr
        self.stream = stream
        self.number = next(CONNECTION_NUMBERS)
        self.opened_at = trio.current_time()
        self.idle_since = self.opened_at
        self.server_idle_timeout_s = math.inf
        self.is_sending = False
        self.is_closed_by_server = False
        self.requests = 0
        self.has_discarded = False
        self.has_refused = False
        self.is_ended = False
        self.echoed_header = ""
        self.kind = ""
        self._carried_ids: set[int] = set()
        self.pacer = pacing.Pacer()
        self.proto = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    def reset(self) -> None:
        """Discard a request of which no byte was sent."""
        self.proto = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    def may_carry(self, call: Call) -> bool:
        """Return whether no late response can be taken for the one to a call.

        A copy of an earlier response with the same id looks like the response; so does
        any copy if the call has no id.
        """
        if call.is_first and self.requests > 0:
            return False
        if not call.request_id:
            is_same_kind = self.requests == 0 or self.kind == call.kind
            return is_same_kind and not self.has_refused
        return hash(call.request_id) not in self._carried_ids

    def record_request(self, call: Call) -> None:
        """Record that a request is being sent."""
        self.requests += 1
        self.kind = call.kind
        self.is_ended |= call.is_first
        self.echoed_header = call.echoed_header or self.echoed_header
        if call.request_id:
            self._carried_ids.add(hash(call.request_id))
        self.is_ended |= len(self._carried_ids) >= MAX_REQUESTS_PER_CONNECTION

    def record_head(self, status: int, has_id: bool) -> None:
        """Record a response; one that refuses without an id is the last one."""
        if status >= FIRST_ERROR_STATUS:
            self.has_refused = True
            self.is_ended |= not has_id

    async def next_event(self) -> object:
        while True:
            await self.pacer.wait()
            event = self.proto.next_event()
            if isinstance(event, h11.Data):
                self._record_fragment(len(event.data))
            elif event is not h11.NEED_DATA:
                self.pacer.start_message()
            if event is not h11.NEED_DATA:
                return event
            received = await self.receive()
            if self.proto.their_state is h11.SEND_RESPONSE:
                self._record_fragment(len(received))
            self.proto.receive_data(received)

    def _record_fragment(self, size: int) -> None:
        self.pacer.record(size)
        if self.pacer.is_exceeded:
            raise trio.BrokenResourceError(TOO_FRAGMENTED)

    def send_nowait(self, data: bytes) -> bytes:
        """Write what the socket accepts without blocking; return the rest."""
        try:
            count = os.write(self.stream.socket.fileno(), data)
        except BlockingIOError:
            count = 0
        except OSError as exc:
            self._record_error(exc)
            raise trio.BrokenResourceError(f"connection broken: {exc}") from exc
        return data[count:]

    def _record_error(self, exc: OSError) -> None:
        # Other errors, such as ETIMEDOUT, do not show that the server gave up.
        if isinstance(exc, BrokenPipeError | ConnectionResetError):
            self.is_closed_by_server = True

    async def discard_response(self, call: Call) -> None:
        """Read a stray response to its end, then expect the response to the request."""
        size = 0
        self.has_discarded = True
        while isinstance(event := await self.next_event(), h11.Data):
            size += len(event.data)
            if size > MAX_DISCARDED_BYTES:
                raise trio.BrokenResourceError(
                    "the response to an earlier request does not end"
                )
        trailing, is_closed = self.proto.trailing_data
        if self.proto.their_state is not h11.DONE or is_closed:
            raise trio.BrokenResourceError(
                "received the response to an earlier request"
            )
        self.reset()
        self.proto.send(_request_head(call))
        if call.body:
            self.proto.send(h11.Data(data=call.body))
        self.proto.send(h11.EndOfMessage())
        if trailing:
            self.proto.receive_data(trailing)

    async def receive(self) -> bytes:
        # Waiting before the read avoids the failed read and the second scheduler
        # pass that trio's receive_some costs for each token of a stream.
        sock = self.stream.socket
        while True:
            await trio.lowlevel.wait_readable(sock)
            try:
                received = os.read(sock.fileno(), RECEIVE_BYTES)
            except BlockingIOError:
                continue
            except OSError as exc:
                self._record_error(exc)
                raise trio.BrokenResourceError("connection broken") from exc
            if not received:
                self.is_closed_by_server = True
            return received

    def read_unsolicited(self) -> bytes:
        """Return bytes that arrived on this idle connection, which is then closed."""
        try:
            return os.read(self.stream.socket.fileno(), RECEIVE_BYTES)
        except OSError:
            return b""

    def is_usable(self, max_idle_s: float) -> bool:
        idle_s = trio.current_time() - self.idle_since
        if idle_s > min(max_idle_s, self.server_idle_timeout_s - IDLE_TIMEOUT_MARGIN_S):
            return False
        # An idle connection is readable once the server has closed it or has sent
        # bytes that belong to no request.
        return not self.stream.socket.is_readable()


class Pool:
    """Pool of reusable connections, keyed by server address.

    Parameters
    ----------
    connect_timeout_s : float
        Longest time to open a connection, in seconds.
    idle_per_addr : int
        Maximum number of idle connections per address.
    on_closed : callable, optional
        Called with the address when an idle connection is found closed.
    on_discard : callable, optional
        Called with each response that is discarded. It must not raise.
    max_buffered_bytes : int
        Memory for the response bodies that are being read.

    Attributes
    ----------
    buffered_bytes : int
        Size of the response bodies that are being read.
    """

    def __init__(
        self,
        connect_timeout_s: float = 2.0,
        idle_per_addr: int = 64,
        on_closed: collections.abc.Callable[[Address], None] | None = None,
        on_discard: DiscardReceiver | None = None,
        max_buffered_bytes: int = BUFFER_BYTES,
    ) -> None:
        self._max_buffered_bytes = max_buffered_bytes
        self.connect_timeout_s = connect_timeout_s
        self._idle_per_addr = idle_per_addr
        self.on_closed = on_closed
        self.on_discard = on_discard
        self.buffered_bytes = 0
        self._idle: dict[Address, collections.deque[_Connection]] = {}

    @property
    def idle_per_addr(self) -> int:
        """Maximum number of idle connections per address; a lower one closes some."""
        return self._idle_per_addr

    @idle_per_addr.setter
    def idle_per_addr(self, idle_per_addr: int) -> None:
        self._idle_per_addr = idle_per_addr
        for idle in self._idle.values():
            self._trim(idle)

    @property
    def is_buffer_full(self) -> bool:
        """Whether the response bodies that are being read exceed their memory."""
        return self.buffered_bytes > self._max_buffered_bytes

    async def send(
        self, call: Call, pre_send_check: PreSendCheck | None = None
    ) -> StreamingResponse | NotSent | Withheld | Lost:
        """Send a request and wait for the head of its response.

        Parameters
        ----------
        call : Call
            The request.
        pre_send_check : PreSendCheck, optional
            Called just before the first byte is sent, with no await in between,
            so that it notices a permission that expired while this process was
            paused.
        """
        conn = await self._acquire(call)
        if isinstance(conn, NotSent):
            return conn
        data = conn.proto.send(_request_head(call)) or b""
        if call.body:
            data += conn.proto.send(h11.Data(data=call.body)) or b""
        data += conn.proto.send(h11.EndOfMessage()) or b""
        if pre_send_check is not None and not pre_send_check(conn.opened_at):
            # Keep the connection: a load report newer than it may make the check pass.
            conn.reset()
            self._keep_unused(conn)
            return Withheld()
        return await self._send_on(call, conn, data)

    async def fetch(
        self,
        call: Call,
        limit_bytes: int = 16 * 1024 * 1024,
        pre_send_check: PreSendCheck | None = None,
    ) -> FullResponse | NotSent | Withheld | Lost | TooLarge:
        """Send a request and read the whole response."""
        reply = await self.send(call, pre_send_check)
        if not isinstance(reply, StreamingResponse):
            return reply
        body = await reply.read(limit_bytes, call.timeout_s)
        if not isinstance(body, bytes):
            return body
        return FullResponse(reply.status, reply.headers, body, reply.is_identified)

    def release(self, conn: _Connection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        proto = conn.proto
        is_done = proto.our_state is h11.DONE and proto.their_state is h11.DONE
        # Bytes after the end of the response belong to no request sent from here.
        has_extra_bytes = bool(proto.trailing_data[0])
        if is_done and has_extra_bytes:
            self._report_bytes(conn, DiscardReason.EXTRA, proto.trailing_data[0])
        if is_done and not (conn.is_sending or has_extra_bytes or conn.is_ended):
            proto.start_next_cycle()
            conn.idle_since = trio.current_time()
            self._keep(conn)
        else:
            conn.stream.socket.close()

    def _report_bytes(
        self, conn: _Connection, reason: DiscardReason, data: bytes
    ) -> None:
        """Report the first of the responses that bytes hold."""
        if self.on_discard is None or not data:
            return
        status, request_id = _parse_discarded(data, conn.echoed_header)
        self.on_discard(Discarded(conn.addr, conn.number, reason, status, request_id))

    def _report_other(
        self, conn: _Connection, call: Call, response: h11.Response
    ) -> None:
        if self.on_discard is None:
            return
        name = call.echoed_header.encode()
        request_id = next(v for k, v in response.headers if k == name)
        self.on_discard(
            Discarded(
                conn.addr,
                conn.number,
                DiscardReason.OTHER_REQUEST,
                response.status_code,
                request_id.decode("latin-1")[:MAX_LOGGED_ID],
                call.request_id[:MAX_LOGGED_ID],
            )
        )

    def _keep_unused(self, conn: _Connection) -> None:
        """Return a connection that carried no request; it is reused after the others.

        Pre-send checks may require a minimum age, so the newest connection is last.
        """
        self._idle.setdefault(conn.addr, collections.deque()).appendleft(conn)

    def _keep(self, conn: _Connection) -> None:
        idle = self._idle.setdefault(conn.addr, collections.deque())
        idle.append(conn)
        self._trim(idle)

    def _trim(self, idle: collections.deque[_Connection]) -> None:
        while len(idle) > self._idle_per_addr:
            idle.popleft().stream.socket.close()

    def idle_count(self, addr: Address) -> int:
        """Return how many idle connections to an address there are."""
        return len(self._idle.get(addr, ()))

    @property
    def idle_addresses(self) -> list[Address]:
        """Addresses to which there are idle connections."""
        return [addr for addr, idle in self._idle.items() if idle]

    def close_ended(self) -> None:
        """Close the idle connections that their servers have closed.

        Without this, connections to a server to which no request goes any more keep
        their descriptors.
        """
        checked = select.poll()
        by_descriptor: dict[int, _Connection] = {}
        for conn in itertools.chain.from_iterable(self._idle.values()):
            descriptor = conn.stream.socket.fileno()
            by_descriptor[descriptor] = conn
            checked.register(descriptor, select.POLLRDHUP)
        for descriptor, _ in checked.poll(0):
            conn = by_descriptor[descriptor]
            self._idle[conn.addr].remove(conn)
            conn.stream.socket.close()
            if self.on_closed is not None:
                self.on_closed(conn.addr)
        self._idle = {addr: idle for addr, idle in self._idle.items() if idle}

    def close_idle(self, addr: Address) -> None:
        """Close the idle connections to an address.

        A connection whose request is under way becomes idle when it is done.
        """
        idle = self._idle.pop(addr, collections.deque())
        while idle:
            idle.pop().stream.socket.close()

    async def preconnect(self, addr: Address) -> None:
        """Open one connection in advance and keep it idle."""
        conn = await self._open(addr)
        if isinstance(conn, _Connection):
            self._keep_unused(conn)

    async def aclose(self) -> None:
        """Close all idle connections."""
        for conn in itertools.chain.from_iterable(self._idle.values()):
            await trio.aclose_forcefully(conn.stream)
        self._idle.clear()

    async def _send_on(
        self, call: Call, conn: _Connection, data: bytes
    ) -> StreamingResponse | Lost:
        lost = Lost(f"no response within {call.timeout_s} s")
        conn.record_request(call)
        try:
            with trio.move_on_after(call.timeout_s):
                event = await self._send_and_receive(call, conn, data)
                if isinstance(event, h11.Response):
                    conn.server_idle_timeout_s = _announced_idle_timeout_s(event)
                    has_id = _echoes_header(call, event)
                    conn.record_head(event.status_code, has_id)
                    is_first = conn.requests == 1 and not conn.has_discarded
                    is_identified = has_id or is_first or not call.echoed_header
                    return StreamingResponse(self, conn, event, is_identified)
                lost = Lost(
                    "connection closed before the response",
                    is_closed=True,
                    is_closed_by_server=conn.is_closed_by_server,
                )
        except (h11.RemoteProtocolError, trio.BrokenResourceError) as exc:
            lost = Lost(
                str(exc) or "connection broken",
                is_closed=True,
                is_closed_by_server=conn.is_closed_by_server,
            )
        except trio.Cancelled:
            await trio.aclose_forcefully(conn.stream)
            raise
        await trio.aclose_forcefully(conn.stream)
        return lost

    async def _send_and_receive(
        self, call: Call, conn: _Connection, data: bytes
    ) -> object:
        """Send the request and return the head of its response.

        The head may arrive before the whole request was sent. The rest is then not
        sent, and the connection is not reused.
        """
        rest = conn.send_nowait(data)
        if not rest:
            return await self._next_head(call, conn)
        conn.is_sending = True
        event: object = None

        async def finish_sending() -> None:
            await conn.stream.send_all(rest)
            conn.is_sending = False

        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(finish_sending)
                event = await self._next_head(call, conn)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, h11.RemoteProtocolError) as group:
            raise trio.BrokenResourceError(str(group.exceptions[0])) from group
        return event

    async def _next_head(self, call: Call, conn: _Connection) -> object:
        informational = 0
        while True:
            event = await conn.next_event()
            if isinstance(event, h11.Response) and event.status_code > MAX_STATUS:
                raise trio.BrokenResourceError(
                    f"status {event.status_code} is not defined by HTTP"
                )
            if isinstance(event, h11.InformationalResponse):
                informational += 1
                if informational > MAX_INFORMATIONAL_RESPONSES:
                    raise trio.BrokenResourceError(
                        f"more than {MAX_INFORMATIONAL_RESPONSES} responses with "
                        "status 1xx"
                    )
                continue
            if isinstance(event, h11.Response) and _answers_other_request(call, event):
                self._report_other(conn, call, event)
                await conn.discard_response(call)
                continue
            return event

    async def _acquire(self, call: Call) -> _Connection | NotSent:
        """Return the idle connection used last that may carry a call, or a new one."""
        idle = self._idle.get(call.addr, collections.deque())
        for conn in list(reversed(idle)):
            if conn not in idle or not conn.may_carry(call):
                continue
            idle.remove(conn)
            if conn.is_usable(call.max_idle_s):
                return conn
            self._report_bytes(conn, DiscardReason.UNSOLICITED, conn.read_unsolicited())
            await trio.aclose_forcefully(conn.stream)
            if self.on_closed is not None:
                self.on_closed(call.addr)
        return await self._open(call.addr)

    async def _open(self, addr: Address) -> _Connection | NotSent:
        try:
            stream = await connecting.connect(addr, self.connect_timeout_s)
        except OSError as exc:
            return NotSent(f"cannot connect to {addr[0]}:{addr[1]}: {exc}")
        return _Connection(addr, stream)


def _request_head(call: Call) -> h11.Request:
    return h11.Request(
        method=call.method, target=call.target, headers=_header_fields(call)
    )


def _header_fields(call: Call) -> list[tuple[bytes, bytes]]:
    if call.fields:
        fields = list(call.fields)
    else:
        named = {"host": f"{call.addr[0]}:{call.addr[1]}"}
        named.update(call.headers)
        fields = list(named.items())
    if call.body or call.method in ("POST", "PUT", "PATCH"):
        fields.append(("content-length", str(len(call.body))))
    # Fields are decoded as Latin-1, so that any octet passes unchanged.
    return [
        (name.encode("latin-1", "replace"), value.encode("latin-1", "replace"))
        for name, value in fields
    ]


def _answers_other_request(call: Call, event: h11.Response) -> bool:
    """Return whether a response echoes the header of another request."""
    if not call.echoed_header:
        return False
    name = call.echoed_header.encode()
    return any(
        k == name and v.decode("latin-1") != call.request_id for k, v in event.headers
    )


def _echoes_header(call: Call, event: h11.Response) -> bool:
    """Return whether a response has the header that the server echoes."""
    name = call.echoed_header.encode()
    return any(k == name for k, _ in event.headers)


def _parse_discarded(data: bytes, echoed_header: str) -> tuple[int, str]:
    """Return the status and the id of a response, as far as its head is readable."""
    start = re.match(rb"HTTP/1\.[01] (\d{3})", data)
    if start is None:
        return 0, ""
    head = data.partition(b"\r\n\r\n")[0]
    name = re.escape(echoed_header.encode())
    found = re.search(rb"\r\n%s:[ \t]*([^\r\n]*)" % name, head, re.IGNORECASE)
    request_id = found[1].strip() if echoed_header and found is not None else b""
    return int(start[1]), request_id.decode("latin-1")[:MAX_LOGGED_ID]


def _announced_idle_timeout_s(event: h11.Response) -> float:
    """Return the idle timeout announced by a response; infinity if there is none."""
    for name, value in event.headers:
        if name == b"keep-alive":
            match = re.search(rb"timeout=(\d+)", value)
            if match:
                return float(match[1])
    return math.inf

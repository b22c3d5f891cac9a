"""An HTTP/1.1 client: h11 over trio, pooled connections, outcomes as values."""

import collections
import collections.abc
import dataclasses
import itertools
import math
import os
import re

import h11
import trio

from snipelug_net import poller

RECEIVE_BYTES = 64 * 1024
MAX_HEAD_BYTES = 64 * 1024
IDLE_MARGIN_S = 0.5
"""Connections are dropped this long before the server's announced idle timeout."""

Address = tuple[str, int]

PreSendCheck = collections.abc.Callable[[float], bool]
"""Called with the connection's opening time right before the first byte is sent."""


@dataclasses.dataclass(frozen=True)
class Call:
    """A request to send.

    Attributes
    ----------
    timeout_s : float
        Time from the start of the call to the response head, in seconds.
    fields : tuple of (str, str)
        Header fields in order, which may repeat names; sent in place of
        ``headers`` unless empty. The host must be among them.
    echo : str
        Name in lower case of a header field that the server repeats in its
        response. A response with another value answers an earlier request and
        is skipped. Empty if the server repeats none.
    max_idle_s : float
        Longest time that a reused connection may have been idle, in seconds.
    """

    addr: Address
    method: str
    target: str
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    timeout_s: float = 10.0
    fields: tuple[tuple[str, str], ...] = ()
    echo: str = ""
    max_idle_s: float = math.inf


@dataclasses.dataclass(frozen=True)
class NotSent:
    """No byte of the request left this process."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Withheld:
    """The last check before sending said no; no byte of the request was sent."""


@dataclasses.dataclass(frozen=True)
class Lost:
    """Bytes of the request were sent and no complete response came back.

    Attributes
    ----------
    is_closed : bool
        The server closed the connection; otherwise the time ran out here.
    """

    reason: str
    is_closed: bool = False


@dataclasses.dataclass(frozen=True)
class TooLarge:
    """The response body is larger than the caller accepts."""

    limit_bytes: int


@dataclasses.dataclass(frozen=True)
class FullResponse:
    """A complete response."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True)
class Paused:
    """The reader of a followed body asked to stop; the body may go on."""


PartReceiver = collections.abc.Callable[[bytes], bool]
"""Takes a body part without waiting; returns whether it can take more now."""


class StreamingResponse:
    """A response whose head has arrived and whose body can be read.

    Attributes
    ----------
    has_ended : bool
        The whole body was read.
    """

    def __init__(self, pool: "Pool", conn: "_Connection", head: h11.Response) -> None:
        self.status = head.status_code
        self.headers = {
            k.decode("latin-1"): v.decode("latin-1") for k, v in head.headers
        }
        self.opened_at = conn.opened_at
        self._pool = pool
        self._conn = conn
        self._finished = False
        self._lost: Lost | None = None
        self._poller: poller.Poller | None = None
        self.has_ended = False

    async def next_part(self) -> bytes | Lost | None:
        """Return the next body part, None at the end, or Lost if it was cut off."""
        while not self._finished:
            part = self._extract()
            if part:
                return part
            if self._finished:
                break
            try:
                self._conn.proto.receive_data(await self._conn.receive())
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                self._lose(exc)
        return self._lost

    async def read_with(
        self, by: poller.Poller, take: PartReceiver
    ) -> Lost | Paused | None:
        """Hand on body parts as a poller reads them, without a switch of tasks.

        Must not be called before ``next_part`` has returned the first part.

        Parameters
        ----------
        by : poller.Poller
            Reads the connection.
        take : Take
            Called with each part. What it raises is raised here.

        Returns
        -------
        Lost, Paused or None
            None at the end of the body; Paused once ``take`` returned False.
        """
        if self._finished:
            return self._lost
        fd = self._conn.stream.socket.fileno()
        is_paused = False

        def on_readable() -> bool:
            nonlocal is_paused
            part = self._read_now(fd)
            is_paused = bool(part) and not take(part)
            return not (is_paused or self._finished)

        self._poller = by
        try:
            await by.watch(fd, on_readable)
        finally:
            self._poller = None
        return Paused() if is_paused else self._lost

    def _read_now(self, fd: int) -> bytes:
        try:
            received = os.read(fd, RECEIVE_BYTES)
        except BlockingIOError:
            return b""
        except OSError as exc:
            self._lose(exc)
            return b""
        self._conn.proto.receive_data(received)
        return self._extract()

    def _extract(self) -> bytes:
        """Return the body that has been received; note its end."""
        proto = self._conn.proto
        parts = []
        try:
            while isinstance(event := proto.next_event(), h11.Data):
                parts.append(event.data)
                # Only the line end after a chunk is left, so no event follows.
                if event.chunk_end and proto.trailing_data[0] == b"\r\n":
                    return b"".join(parts)
        except h11.RemoteProtocolError as exc:
            self._lose(exc)
            return b"".join(parts)
        if event is not h11.NEED_DATA:
            self._finished = True
            self.has_ended = True
            self._pool.give_back(self._conn)
        return b"".join(parts)

    def _lose(self, exc: Exception) -> None:
        self._finished = True
        self._lost = Lost(str(exc) or "connection broken", is_closed=True)
        self._conn.stream.socket.close()

    async def read(self, limit_bytes: int, timeout_s: float) -> bytes | Lost | TooLarge:
        """Read the whole body."""
        parts: list[bytes] = []
        size = 0
        with trio.move_on_after(timeout_s):
            while True:
                part = await self.next_part()
                if part is None:
                    return b"".join(parts)
                if isinstance(part, Lost):
                    return part
                size += len(part)
                if size > limit_bytes:
                    await self.aclose()
                    return TooLarge(limit_bytes)
                parts.append(part)
        await self.aclose()
        return Lost(f"the response body did not end within {timeout_s} s")

    def abort(self) -> None:
        """Close the connection; a pending read ends with Lost."""
        if self._finished:
            return
        if self._poller is not None:
            self._poller.unwatch(self._conn.stream.socket.fileno())
        self._lose(trio.ClosedResourceError("closed by this process"))

    async def aclose(self) -> None:
        """Close the connection if the body was not read to its end."""
        if not self._finished:
            self._finished = True
            await trio.aclose_forcefully(self._conn.stream)


class _Connection:
    """One connection to a server."""

    def __init__(self, addr: Address, stream: trio.SocketStream) -> None:
        self.addr = addr
        self.stream = stream
        self.opened_at = trio.current_time()
        self.idle_since = self.opened_at
        self.server_idle_s = math.inf
        self.is_sending = False
        self.proto = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    def reset(self) -> None:
        """Forget a request of which no byte was sent."""
        self.proto = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    async def next_event(self) -> object:
        while True:
            event = self.proto.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.proto.receive_data(await self.receive())

    def send_now(self, data: bytes) -> bytes:
        """Write what the socket takes without waiting; return the rest."""
        try:
            count = os.write(self.stream.socket.fileno(), data)
        except BlockingIOError:
            count = 0
        except OSError as exc:
            raise trio.BrokenResourceError(f"connection broken: {exc}") from exc
        return data[count:]

    async def skip_response(self, call: Call) -> None:
        """Read a response to its end and expect another one for the same request."""
        while isinstance(await self.next_event(), h11.Data):
            pass
        trailing, is_closed = self.proto.trailing_data
        if self.proto.their_state is not h11.DONE or is_closed:
            raise trio.BrokenResourceError("the response of an earlier request came")
        self.reset()
        self.proto.send(_request_head(call))
        if call.body:
            self.proto.send(h11.Data(data=call.body))
        self.proto.send(h11.EndOfMessage())
        if trailing:
            self.proto.receive_data(trailing)

    async def receive(self) -> bytes:
        # Waiting first saves the failed read and the second pass of the scheduler
        # that a receive through trio costs for each token of a stream.
        sock = self.stream.socket
        while True:
            await trio.lowlevel.wait_readable(sock)
            try:
                return os.read(sock.fileno(), RECEIVE_BYTES)
            except BlockingIOError:
                continue
            except OSError as exc:
                raise trio.BrokenResourceError("connection broken") from exc

    def is_usable(self, max_idle_s: float) -> bool:
        idle_s = trio.current_time() - self.idle_since
        if idle_s > min(max_idle_s, self.server_idle_s - IDLE_MARGIN_S):
            return False
        # An idle connection becomes readable when the server closes it, and when
        # bytes come that belong to no request.
        return not self.stream.socket.is_readable()


class Pool:
    """Connections kept open for reuse, by server address.

    Parameters
    ----------
    connect_timeout_s : float
        Time allowed to open a connection, in seconds.
    idle_per_addr : int
        Most idle connections kept for one address.
    on_closed : callable, optional
        Called with the address when an idle connection is found closed.
    """

    def __init__(
        self,
        connect_timeout_s: float = 2.0,
        idle_per_addr: int = 64,
        on_closed: collections.abc.Callable[[Address], None] | None = None,
    ) -> None:
        self.connect_timeout_s = connect_timeout_s
        self.idle_per_addr = idle_per_addr
        self.on_closed = on_closed
        self._idle: dict[Address, collections.deque[_Connection]] = {}

    async def send(
        self, call: Call, pre_send_check: PreSendCheck | None = None
    ) -> StreamingResponse | NotSent | Withheld | Lost:
        """Send a request and wait for the head of its response.

        Parameters
        ----------
        call : Call
            The request.
        pre_send_check : PreSendCheck, optional
            Evaluated without any suspension before the first byte is sent, so
            that a right that has lapsed while this process was paused is seen.
        """
        conn = await self._take(call.addr, call.max_idle_s)
        if isinstance(conn, NotSent):
            return conn
        data = conn.proto.send(_request_head(call)) or b""
        if call.body:
            data += conn.proto.send(h11.Data(data=call.body)) or b""
        data += conn.proto.send(h11.EndOfMessage()) or b""
        if pre_send_check is not None and not pre_send_check(conn.opened_at):
            # Kept, so that a report newer than the connection can clear it.
            conn.reset()
            self._keep_fresh(conn)
            return Withheld()
        return await self._exchange(call, conn, data)

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
        return FullResponse(reply.status, reply.headers, body)

    def give_back(self, conn: _Connection) -> None:
        """Keep a connection for reuse, or close it if it cannot be reused."""
        proto = conn.proto
        is_done = proto.our_state is h11.DONE and proto.their_state is h11.DONE
        # Bytes beyond the response belong to no request of this process.
        if is_done and not conn.is_sending and not proto.trailing_data[0]:
            proto.start_next_cycle()
            conn.idle_since = trio.current_time()
            self._keep(conn)
        else:
            conn.stream.socket.close()

    def _keep_fresh(self, conn: _Connection) -> None:
        """Keep a connection that is used after those that carried requests.

        Last checks may ask for a connection of some age, so the youngest come last.
        """
        self._idle.setdefault(conn.addr, collections.deque()).appendleft(conn)

    def _keep(self, conn: _Connection) -> None:
        idle = self._idle.setdefault(conn.addr, collections.deque())
        idle.append(conn)
        if len(idle) > self.idle_per_addr:
            idle.popleft().stream.socket.close()

    def idle_count(self, addr: Address) -> int:
        """Return the number of idle connections to an address."""
        return len(self._idle.get(addr, ()))

    async def preconnect(self, addr: Address) -> None:
        """Open one idle connection."""
        conn = await self._open(addr)
        if isinstance(conn, _Connection):
            self._keep_fresh(conn)

    async def aclose(self) -> None:
        """Close all idle connections."""
        for conn in itertools.chain.from_iterable(self._idle.values()):
            await trio.aclose_forcefully(conn.stream)
        self._idle.clear()

    async def _exchange(
        self, call: Call, conn: _Connection, data: bytes
    ) -> StreamingResponse | Lost:
        lost = Lost(f"no response within {call.timeout_s} s")
        try:
            with trio.move_on_after(call.timeout_s):
                event = await self._send_and_receive(call, conn, data)
                if isinstance(event, h11.Response):
                    conn.server_idle_s = _announced_idle_s(event)
                    return StreamingResponse(self, conn, event)
                lost = Lost("connection closed before the response", is_closed=True)
        except (h11.RemoteProtocolError, trio.BrokenResourceError) as exc:
            lost = Lost(str(exc) or "connection broken", is_closed=True)
        except trio.Cancelled:
            await trio.aclose_forcefully(conn.stream)
            raise
        await trio.aclose_forcefully(conn.stream)
        return lost

    async def _send_and_receive(
        self, call: Call, conn: _Connection, data: bytes
    ) -> object:
        """Send the request and return the head of its response.

        The head may come before the request was sent whole. The rest is then not
        sent, and the connection is not used again.
        """
        rest = conn.send_now(data)
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
        while True:
            event = await conn.next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response) and _is_stray(call, event):
                await conn.skip_response(call)
                continue
            return event

    async def _take(self, addr: Address, max_idle_s: float) -> _Connection | NotSent:
        idle = self._idle.get(addr)
        while idle:
            conn = idle.pop()
            if conn.is_usable(max_idle_s):
                return conn
            await trio.aclose_forcefully(conn.stream)
            if self.on_closed is not None:
                self.on_closed(addr)
        return await self._open(addr)

    async def _open(self, addr: Address) -> _Connection | NotSent:
        try:
            with trio.fail_after(self.connect_timeout_s):
                stream = await trio.open_tcp_stream(*addr)
        except (OSError, trio.TooSlowError) as exc:
            return NotSent(f"cannot connect to {addr[0]}:{addr[1]}: {exc}")
        return _Connection(addr, stream)


def _request_head(call: Call) -> h11.Request:
    return h11.Request(
        method=call.method, target=call.target, headers=_head_fields(call)
    )


def _head_fields(call: Call) -> list[tuple[str, str]]:
    if call.fields:
        fields = list(call.fields)
    else:
        named = {"host": f"{call.addr[0]}:{call.addr[1]}"}
        named.update(call.headers)
        fields = list(named.items())
    if call.body or call.method in ("POST", "PUT", "PATCH"):
        fields.append(("content-length", str(len(call.body))))
    return fields


def _is_stray(call: Call, event: h11.Response) -> bool:
    """Tell whether a response names another request than the one that was sent."""
    if not call.echo:
        return False
    sent = dict(call.fields or call.headers.items()).get(call.echo)
    name = call.echo.encode()
    return any(k == name and v.decode("latin-1") != sent for k, v in event.headers)


def _announced_idle_s(event: h11.Response) -> float:
    """Return the idle timeout that a response announces, infinite if none."""
    for name, value in event.headers:
        if name == b"keep-alive":
            match = re.search(rb"timeout=(\d+)", value)
            if match:
                return float(match[1])
    return math.inf

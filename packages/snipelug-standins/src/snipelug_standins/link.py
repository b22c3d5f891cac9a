"""TCP forwarder that can delay, hang or reset the connections through it."""

import collections.abc
import dataclasses
import http
import logging
import math
import socket
import struct

import msgspec
import trio

from snipelug_net import http_server
from snipelug_standins import faults, standin

LOG = logging.getLogger("snipelug.standins")

BUFFERED_PARTS = 64
# SO_LINGER with a time of 0 makes close() send RST.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True)
class Part:
    """Data on its way; empty data stands for the end of a direction."""

    due: float
    data: bytes


class Link:
    """Forward connections to one address under faults.

    Parameters
    ----------
    host, port : str, int
        Address to forward to.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.faults = faults.LinkFaults()
        self.accepted = 0
        self.forwarded_bytes = 0
        self._changed = trio.Event()
        self._open: set[trio.CancelScope] = set()

    async def control(self, req: http_server.Request) -> http_server.Response:
        """Answer a request on the control port."""
        if req.path == "/stats":
            content = {
                "accepted": self.accepted,
                "open": len(self._open),
                "forwarded_bytes": self.forwarded_bytes,
            }
            return http_server.json_response(http.HTTPStatus.OK, content)
        if req.path != "/faults" or req.method != "POST":
            return standin.not_found(req)
        try:
            wanted = msgspec.json.decode(req.body, type=faults.LinkFaults)
        except msgspec.MsgspecError as exc:
            return standin.error(http.HTTPStatus.BAD_REQUEST, "bad_faults", str(exc))
        self._apply(wanted)
        return http_server.json_response(http.HTTPStatus.OK, wanted)

    def _apply(self, wanted: faults.LinkFaults) -> None:
        self.faults = wanted
        self._changed.set()
        self._changed = trio.Event()
        if wanted.reset:
            for scope in self._open:
                scope.cancel()

    async def accept(self, near: trio.SocketStream) -> None:
        """Forward one connection until both directions end."""
        self.accepted += 1
        is_whole = False
        with trio.CancelScope() as scope:
            self._open.add(scope)
            try:
                if not self.faults.reset:
                    await self._connect(near)
                    is_whole = True
            except* (OSError, trio.BrokenResourceError):
                LOG.debug("forwarded connection broken")
            finally:
                self._open.discard(scope)
        if not is_whole:
            # The near end learns by a reset that the far end refused or broke.
            _reset(near)

    async def _connect(self, near: trio.SocketStream) -> None:
        await self._passable()
        far = await trio.open_tcp_stream(self.host, self.port)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, near, far)
                nursery.start_soon(self._pump, far, near)
        except BaseException:
            _reset(far)
            raise
        await far.aclose()

    async def _pump(self, source: trio.SocketStream, sink: trio.SocketStream) -> None:
        send, receive = trio.open_memory_channel[Part](BUFFERED_PARTS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read, source, send)
            await self._write(receive, sink)

    async def _read(
        self, source: trio.SocketStream, send: trio.MemorySendChannel[Part]
    ) -> None:
        async with send:
            async for data in source:
                await send.send(self._delayed(bytes(data)))
            await send.send(self._delayed(b""))

    async def _write(
        self, receive: trio.MemoryReceiveChannel[Part], sink: trio.SocketStream
    ) -> None:
        async with receive:
            async for part in receive:
                await trio.sleep_until(part.due)
                await self._passable()
                if part.data:
                    await sink.send_all(part.data)
                    self.forwarded_bytes += len(part.data)
                else:
                    await sink.send_eof()

    def _delayed(self, data: bytes) -> Part:
        return Part(trio.current_time() + self.faults.delay_s, data)

    async def _passable(self) -> None:
        while self.faults.cut:
            await self._changed.wait()


def _reset(stream: trio.SocketStream) -> None:
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    stream.socket.close()


async def serve(link: Link, host: str, port: int, control_port: int) -> None:
    """Run a link; print its port, then its control port, on standard output."""
    server = http_server.Server(link.control)
    async with trio.open_nursery() as nursery:
        bound_control = await nursery.start(server.serve, host, control_port)
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=1024)
        bound_port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(_serve_listeners, link.accept, listeners)
        print(f"listening {bound_port}", flush=True)
        print(f"control {bound_control}", flush=True)
        await trio.sleep(math.inf)


async def _serve_listeners(
    accept: collections.abc.Callable[
        [trio.SocketStream], collections.abc.Awaitable[None]
    ],
    listeners: list[trio.SocketListener],
) -> None:
    await trio.serve_listeners(accept, listeners)

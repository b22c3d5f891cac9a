"""TCP forwarder that can delay, stall or reset forwarded connections."""

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

BUFFERED_CHUNKS = 64
# SO_LINGER with a timeout of 0 makes close() send RST.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True)
class Chunk:
    """Data in transit; empty data marks the end of one direction."""

    due_at: float
    data: bytes


class Link:
    """Forward connections to one address, with injected faults.

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
        self._active_scopes: set[trio.CancelScope] = set()

    async def handle_control(self, req: http_server.Request) -> http_server.Response:
        """Handle a request on the control port."""
        if req.path == "/stats":
            content = {
                "accepted": self.accepted,
                "open": len(self._active_scopes),
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
            for scope in self._active_scopes:
                scope.cancel()

    async def forward(self, client: trio.SocketStream) -> None:
        """Forward one connection until both directions end."""
        self.accepted += 1
        ended_cleanly = False
        with trio.CancelScope() as scope:
            self._active_scopes.add(scope)
            try:
                if not self.faults.reset:
                    await self._connect(client)
                    ended_cleanly = True
            except* (OSError, trio.BrokenResourceError):
                LOG.debug("forwarded connection failed")
            finally:
                self._active_scopes.discard(scope)
        if not ended_cleanly:
            # Signals to the client that the server refused or broke the connection.
            _close_with_reset(client)

    async def _connect(self, client: trio.SocketStream) -> None:
        await self._wait_while_cut()
        server_stream = await trio.open_tcp_stream(self.host, self.port)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, client, server_stream)
                nursery.start_soon(self._pump, server_stream, client)
        except BaseException:
            _close_with_reset(server_stream)
            raise
        await server_stream.aclose()

    async def _pump(self, source: trio.SocketStream, sink: trio.SocketStream) -> None:
        send, receive = trio.open_memory_channel[Chunk](BUFFERED_CHUNKS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read, source, send)
            await self._write(receive, sink)

    async def _read(
        self, source: trio.SocketStream, send: trio.MemorySendChannel[Chunk]
    ) -> None:
        async with send:
            async for data in source:
                await send.send(self._delayed(bytes(data)))
            await send.send(self._delayed(b""))

    async def _write(
        self, receive: trio.MemoryReceiveChannel[Chunk], sink: trio.SocketStream
    ) -> None:
        async with receive:
            async for chunk in receive:
                await trio.sleep_until(chunk.due_at)
                await self._wait_while_cut()
                if chunk.data:
                    await sink.send_all(chunk.data)
                    self.forwarded_bytes += len(chunk.data)
                else:
                    await sink.send_eof()

    def _delayed(self, data: bytes) -> Chunk:
        return Chunk(trio.current_time() + self.faults.delay_s, data)

    async def _wait_while_cut(self) -> None:
        while self.faults.cut:
            await self._changed.wait()


def _close_with_reset(stream: trio.SocketStream) -> None:
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    stream.socket.close()


async def serve(link: Link, host: str, port: int, control_port: int) -> None:
    """Run a link; print its port and then its control port on standard output."""
    server = http_server.Server(link.handle_control)
    async with trio.open_nursery() as nursery:
        bound_control = await nursery.start(server.serve, host, control_port)
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=1024)
        bound_port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(_serve_forwarder, link.forward, listeners)
        print(f"listening {bound_port}", flush=True)
        print(f"control {bound_control}", flush=True)
        await trio.sleep(math.inf)


async def _serve_forwarder(
    forward: collections.abc.Callable[
        [trio.SocketStream], collections.abc.Awaitable[None]
    ],
    listeners: list[trio.SocketListener],
) -> None:
    await trio.serve_listeners(forward, listeners)

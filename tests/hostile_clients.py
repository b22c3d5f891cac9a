"""A crowd of clients that hold a node's memory and connections, for tests."""

import collections.abc
import contextlib
import dataclasses

import trio

from tests import platform_world

BODY_BYTES = 1024 * 1024
"""Limit of a body in the configuration of these tests."""

CLIENTS = 120
SHORT_BYTES = 10
"""Bytes by which most uploads stop short of their end."""

PIECE_BYTES = 10_000
LARGE_CHUNK_BYTES = 50_000
TINY_CHUNKS = 5_000
EXCESS = 8
"""Factor by which a body exceeds the limit."""

SETTLE_S = 1.0
"""Time for which the crowd stays open after its last byte, before it is measured."""

SEND_TIMEOUT_S = 20.0

Parts = collections.abc.Iterator[bytes]


def head(*fields: str) -> bytes:
    lines = [
        "POST /order/ HTTP/1.1",
        f"Host: {platform_world.HOST}",
        "Request-Id: {id}",
        "Request-Deadline: 3000",
        f"Authorization: Token {platform_world.KEY}",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def chunk(size: int) -> bytes:
    return b"%x\r\n" % size + b"x" * size + b"\r\n"


def in_one_length() -> Parts:
    yield head(f"Content-Length: {BODY_BYTES}")
    yield b"x" * (BODY_BYTES - SHORT_BYTES)


def in_pieces() -> Parts:
    yield head(f"Content-Length: {BODY_BYTES}")
    sent = 0
    while sent < BODY_BYTES - SHORT_BYTES:
        size = min(PIECE_BYTES, BODY_BYTES - SHORT_BYTES - sent)
        yield b"x" * size
        sent += size


def in_large_chunks() -> Parts:
    yield head("Transfer-Encoding: chunked")
    for _ in range((BODY_BYTES - SHORT_BYTES) // LARGE_CHUNK_BYTES):
        yield chunk(LARGE_CHUNK_BYTES)


def in_tiny_chunks() -> Parts:
    yield head("Transfer-Encoding: chunked")
    yield chunk(1) * TINY_CHUNKS


def far_too_long() -> Parts:
    yield head(f"Content-Length: {EXCESS * BODY_BYTES}")
    for _ in range(EXCESS):
        yield b"x" * BODY_BYTES


def far_too_long_in_chunks() -> Parts:
    yield head("Transfer-Encoding: chunked")
    for _ in range(EXCESS * BODY_BYTES // LARGE_CHUNK_BYTES):
        yield chunk(LARGE_CHUNK_BYTES)


SHAPES = {
    "one length": in_one_length,
    "pieces": in_pieces,
    "large chunks": in_large_chunks,
    "tiny chunks": in_tiny_chunks,
    "far too long": far_too_long,
    "far too long in chunks": far_too_long_in_chunks,
}


@dataclasses.dataclass
class Crowd:
    """Clients that send an upload each and keep their connections open.

    Attributes
    ----------
    sending : int
        Clients that are still sending.
    """

    port: int
    sending: int = 0

    async def run(
        self,
        shape: collections.abc.Callable[[], Parts],
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Send all uploads; report once that is done, then stay until cancelled."""
        async with trio.open_nursery() as nursery:
            self.sending = CLIENTS
            for number in range(CLIENTS):
                nursery.start_soon(self._send, number, shape())
            with trio.move_on_after(SEND_TIMEOUT_S):
                while self.sending:
                    await trio.sleep(0.05)
            await trio.sleep(SETTLE_S)
            task_status.started()

    async def _send(self, number: int, parts: Parts) -> None:
        stream: trio.SocketStream | None = None
        # A node may refuse these uploads and close their connections.
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            stream = await trio.open_tcp_stream("127.0.0.1", self.port)
            for part in parts:
                await stream.send_all(part.replace(b"{id}", b"crowd%d" % number))
        self.sending -= 1
        try:
            await trio.sleep_forever()
        finally:
            if stream is not None:
                await trio.aclose_forcefully(stream)

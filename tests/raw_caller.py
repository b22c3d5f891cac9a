"""Callers that write and read the bytes of a connection to a node themselves."""

import trio

from snipelug_platform import dialect
from tests import platform_world

INTERIM = b"HTTP/1.1 100 "


def request(
    method: str,
    target: str,
    body: bytes = b"",
    version: str = "1.1",
    number: int = 1,
    **headers: str,
) -> bytes:
    """Build the bytes of a request; underscores in names become dashes."""
    fields = {
        "host": platform_world.HOST,
        "request-id": f"{number:08x}",
        dialect.REQUEST_DEADLINE: "8000",
        "authorization": f"Token {platform_world.KEY}",
        "content-length": str(len(body)),
    }
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{method} {target} HTTP/{version}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def prompt(target: str, version: str = "1.1") -> bytes:
    """Build the bytes of a prompt."""
    fields = {"model": "m", "token_usage": "9,9", "prompt_prefix": "aa:9"}
    return request("POST", target, b"x", version, **fields)


async def connect(world: platform_world.World) -> trio.SocketStream:
    """Connect to the first node."""
    return await trio.open_tcp_stream("127.0.0.1", world.nodes[0].callers_port)


async def read_all(stream: trio.SocketStream) -> bytes:
    """Read up to the end of the connection."""
    received = b""
    with trio.fail_after(5.0):
        async for part in stream:
            received += part
    return received


async def read_until(stream: trio.SocketStream, end: bytes) -> bytes:
    """Read until the received bytes end with ``end``."""
    received = b""
    with trio.fail_after(5.0):
        while not received.endswith(end):
            part = await stream.receive_some()
            assert part, received
            received += part
    return received


def split_interim(received: bytes) -> tuple[int, bytes]:
    """Return the number of leading interim responses, and the rest."""
    count = 0
    while received.startswith(INTERIM):
        count += 1
        received = received.partition(b"\r\n\r\n")[2]
    return count, received


def decode_chunks(data: bytes) -> bytes:
    """Decode a chunked body that must be complete."""
    body = b""
    while True:
        line, _, data = data.partition(b"\r\n")
        size = int(line, 16)
        if size == 0:
            assert data == b"\r\n"
            return body
        body += data[:size]
        assert data[size : size + 2] == b"\r\n"
        data = data[size + 2 :]

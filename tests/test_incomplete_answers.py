"""Tests of responses that are none, over real connections."""

import collections.abc
import contextlib

import pytest
import trio

from snipelug_net import http_client

UPLOAD = b"x" * (16 * 1024 * 1024)
"""More than the kernel's buffers take while the server does not read."""

PART = b"half of a body"
TIMEOUT_S = 5.0

Answer = collections.abc.Callable[[trio.SocketStream], collections.abc.Awaitable[None]]


@contextlib.asynccontextmanager
async def raw_server(
    answer: Answer,
) -> collections.abc.AsyncIterator[http_client.Address]:
    """Serve connections with a function that reads and writes their bytes."""

    async def serve(stream: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await answer(stream)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        yield "127.0.0.1", listeners[0].socket.getsockname()[1]
        nursery.cancel_scope.cancel()


async def fetch(addr: http_client.Address, body: bytes) -> object:
    headers = {"host": "h", "request-id": "id-1"}
    call = http_client.Call(
        addr, "POST", "/", headers, body, TIMEOUT_S, echoed_header="request-id"
    )
    with trio.fail_after(2 * TIMEOUT_S):
        return await http_client.Pool().fetch(call)


def head(status: str, *fields: str) -> bytes:
    lines = [f"HTTP/1.1 {status} Text", "request-id: id-1", *fields, "", ""]
    return "\r\n".join(lines).encode()


FRAMES = {
    "no length": [],
    "event stream": ["content-type: text/event-stream"],
}


@pytest.mark.parametrize("frame", FRAMES)
async def test_early_response_that_ends_within_its_upload_is_lost(frame: str) -> None:
    """Guards against a part of a body that passes for the whole."""

    async def answer(stream: trio.SocketStream) -> None:
        await stream.receive_some(1024)
        await stream.send_all(head("200", *FRAMES[frame]) + PART)
        await stream.send_eof()
        await trio.sleep_forever()

    async with raw_server(answer) as addr:
        found = await fetch(addr, UPLOAD)
    assert isinstance(found, http_client.Lost), found


@pytest.mark.parametrize("frame", FRAMES)
@pytest.mark.parametrize("size", [10, 60_000, len(UPLOAD)])
async def test_response_that_is_reset_is_lost(frame: str, size: int) -> None:
    """Guards against a reset that passes for the end of a body."""

    async def answer(stream: trio.SocketStream) -> None:
        await stream.receive_some(64)
        await stream.send_all(head("200", *FRAMES[frame]) + PART)
        await trio.sleep(0.05)
        stream.setsockopt(1, 13, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        stream.socket.close()

    async with raw_server(answer) as addr:
        found = await fetch(addr, b"x" * size)
    assert isinstance(found, http_client.Lost), found


async def test_early_response_with_a_length_is_whole() -> None:
    """Guards against a refusal that is lost as its upload was not read."""

    async def answer(stream: trio.SocketStream) -> None:
        await stream.receive_some(1024)
        length = f"content-length: {len(PART)}"
        await stream.send_all(head("413", length) + PART)
        await trio.sleep_forever()

    async with raw_server(answer) as addr:
        found = await fetch(addr, UPLOAD)
    assert isinstance(found, http_client.FullResponse)
    assert (found.status, found.body) == (413, PART)


STATUSES = ["000", "001", "099", "0", "20", "2000", "-20", "2x0", "600", "999"]


@pytest.mark.parametrize("status", STATUSES)
async def test_response_with_an_unknown_status_is_lost(status: str) -> None:
    """Guards against bytes that pass for a response with a status."""

    async def answer(stream: trio.SocketStream) -> None:
        await stream.receive_some(1024)
        await stream.send_all(head(status, "content-length: 2") + b"ok")
        await trio.sleep_forever()

    async with raw_server(answer) as addr:
        found = await fetch(addr, b"x")
    assert isinstance(found, http_client.Lost), found

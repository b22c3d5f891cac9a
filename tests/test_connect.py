"""Tests of the time allowed for opening a connection."""

import collections.abc
import contextlib
import socket
import time

import pytest
import trio

from snipelug_net import http_client

CONNECT_TIMEOUT_S = 0.2
STALL_S = 0.5
"""Time for which the process does not run; longer than the time for a connect."""


@contextlib.contextmanager
def listener(backlog: int = 8) -> collections.abc.Iterator[socket.socket]:
    """Return a socket whose connections the kernel accepts."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen(backlog)
        yield sock


async def stall() -> None:
    """Keep the process from running while connections are being opened."""
    await trio.lowlevel.checkpoint()
    time.sleep(STALL_S)


@pytest.mark.parametrize("passes", range(4))
async def test_stall_of_this_process_fails_no_connect(passes: int) -> None:
    """Guards against an upstream that is blocked because this process did not run."""
    pool = http_client.Pool(connect_timeout_s=CONNECT_TIMEOUT_S)
    with listener() as sock:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pool.preconnect, sock.getsockname())
            for _ in range(passes):
                await trio.lowlevel.checkpoint()
            nursery.start_soon(stall)
        assert pool.idle_count(sock.getsockname()) == 1
        pool.close_idle(sock.getsockname())


async def test_silent_address_fails_in_time() -> None:
    """Guards against a connect that waits for an address that does not respond."""
    pool = http_client.Pool(connect_timeout_s=CONNECT_TIMEOUT_S)
    with listener(0) as sock, contextlib.ExitStack() as stack:
        for _ in range(4):
            # The kernel drops further connects once the backlog is full.
            other = stack.enter_context(socket.socket())
            other.setblocking(False)
            other.connect_ex(sock.getsockname())
        call = http_client.Call(sock.getsockname(), "GET", "/")
        with trio.fail_after(10 * CONNECT_TIMEOUT_S):
            sent = await pool.send(call)
    assert isinstance(sent, http_client.NotSent)


async def test_refused_connect_is_reported() -> None:
    """Guards against a refused connect that passes for an open connection."""
    with listener() as sock:
        addr = sock.getsockname()
    pool = http_client.Pool(connect_timeout_s=CONNECT_TIMEOUT_S)
    sent = await pool.send(http_client.Call(addr, "GET", "/"))
    assert isinstance(sent, http_client.NotSent)
    assert "refused" in sent.reason

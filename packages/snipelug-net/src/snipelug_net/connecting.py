"""Opening of TCP connections within a time limit."""

import errno
import os
import socket

import trio

IN_PROGRESS = (0, errno.EINPROGRESS)


async def connect(addr: tuple[str, int], timeout_s: float) -> trio.SocketStream:
    """Connect to the first address of a host that accepts the connection.

    A connection that the kernel has opened by the time this process runs again counts
    as opened in time, as a stall of this process tells nothing about the server.

    Parameters
    ----------
    timeout_s : float
        Longest time for the look-up of the host, and for each of its addresses, in
        seconds.

    Raises
    ------
    OSError
        If no address accepts the connection in time.
    """
    with trio.move_on_after(timeout_s) as scope:
        found = await trio.socket.getaddrinfo(*addr, type=socket.SOCK_STREAM)
    if scope.cancelled_caught:
        raise TimeoutError(errno.ETIMEDOUT, "the host was not looked up in time")
    for family, kind, proto, _, sockaddr in found[:-1]:
        try:
            return await _connect_to(family, kind, proto, sockaddr, timeout_s)
        except OSError:
            continue
    family, kind, proto, _, sockaddr = found[-1]
    return await _connect_to(family, kind, proto, sockaddr, timeout_s)


async def _connect_to(
    family: int, kind: int, proto: int, sockaddr: tuple[object, ...], timeout_s: float
) -> trio.SocketStream:
    sock = socket.socket(family, kind, proto)
    try:
        sock.setblocking(False)
        code = sock.connect_ex(sockaddr)
        if code not in IN_PROGRESS:
            raise OSError(code, os.strerror(code))
        # Nothing else in this scope is a checkpoint: with another one, a stall would
        # cancel a connect that has succeeded.
        with trio.move_on_after(timeout_s) as scope:
            await trio.lowlevel.wait_writable(sock)
        if scope.cancelled_caught:
            raise TimeoutError(errno.ETIMEDOUT, f"not connected within {timeout_s} s")
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(trio.socket.from_stdlib_socket(sock))

"""Tells the other nodes which upstreams are about to read long prompts.

What an upstream tells of its load is as old as its last answer. Without these
messages two nodes send long prompts to one upstream, and short ones behind them.
A lost datagram costs time only: each message ends by itself.
"""

import collections.abc
import itertools
import logging
import socket

import msgspec
import trio

from snipelug_core import choice, fleet
from snipelug_net import http_client
from snipelug_relay import clock, record, state

LOG = logging.getLogger("snipelug.announce")

MIN_TOKENS = 1_000
"""Shorter prompts are read in under 20 ms."""

DATAGRAM_BYTES = 512
SPARE_S = 1.0
"""A prompt counts for twice its expected reading time and this, at most."""


class Message(msgspec.Struct, array_like=True):
    """One prompt.

    Attributes
    ----------
    number : int
        Counts the sender's prompts.
    tokens : int
        Tokens to read; 0 once they have been read.
    """

    upstream_id: str
    number: int
    tokens: int


class Announcer:
    """Sends and receives messages on one UDP socket.

    Parameters
    ----------
    addr : http_client.Address or None
        Address of this node for other nodes; None to send nothing.
    """

    def __init__(self, addr: http_client.Address | None, beliefs: state.State) -> None:
        self._addr = addr
        self._beliefs = beliefs
        self._numbers = itertools.count(1)
        self._sock: socket.socket | None = None
        self._decoder = msgspec.msgpack.Decoder(Message)

    async def run(self) -> None:
        """Receive until cancelled."""
        if self._addr is None:
            return
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.setblocking(False)
            try:
                sock.bind(self._addr)
            except OSError as exc:
                record.warning(LOG, "announcements_off", reason=str(exc))
                return
            self._sock = sock
            try:
                while True:
                    await trio.lowlevel.wait_readable(sock)
                    self._receive(sock)
            finally:
                self._sock = None

    def begin(
        self, upstream_id: str, tokens: int
    ) -> collections.abc.Callable[[], None] | None:
        """Announce a prompt; return what announces that it has been read."""
        if self._sock is None or tokens < MIN_TOKENS:
            return None
        number = next(self._numbers)
        self._send(Message(upstream_id, number, tokens))
        return lambda: self._send(Message(upstream_id, number, 0))

    def _send(self, message: Message) -> None:
        sock = self._sock
        if sock is None:
            return
        data = msgspec.msgpack.encode(message)
        for member in self._beliefs.members:
            if member.node_id == self._beliefs.cfg.node_id or member.addr is None:
                continue
            try:
                sock.sendto(data, member.addr)
            except OSError as exc:
                # The message only improves a choice; the others do without it.
                record.event(LOG, "not_announced", to=member.node_id, reason=str(exc))

    def _receive(self, sock: socket.socket) -> None:
        known = {member.addr[0] for member in self._beliefs.members if member.addr}
        while True:
            try:
                data, sender = sock.recvfrom(DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as exc:
                record.warning(LOG, "announcement_unreadable", reason=str(exc))
                return
            if sender[0] not in known:
                continue
            try:
                message = self._decoder.decode(data)
            except msgspec.DecodeError as exc:
                record.warning(LOG, "announcement_unreadable", reason=str(exc))
                continue
            self._take(sender[0], message)

    def _take(self, sender: str, message: Message) -> None:
        upstream = self._beliefs.fleet.upstreams.get(message.upstream_id)
        if upstream is None:
            return
        key = (sender, message.number)
        if message.tokens <= 0:
            upstream.announced.pop(key, None)
            return
        lasts_s = 2 * message.tokens / choice.PREFILL_TOKENS_PER_S + SPARE_S
        upstream.announced[key] = fleet.Announced(message.tokens, clock.now() + lasts_s)

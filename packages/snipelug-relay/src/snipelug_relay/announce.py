"""Announces a node's recent use of upstreams to the other nodes, by UDP.

An upstream's load report is as old as its last response, and its reported weight
versions as old as its last heartbeat. Without announcements, two nodes send long
prompts to the same upstream, queue short ones behind them, and send requests to an
engine that loads weights. A lost datagram only costs time, as the effect of each
message expires by itself.
"""

import collections.abc
import itertools
import logging
import socket
import typing

import msgspec
import trio

from snipelug_core import choice, fleet, named_limit, speed
from snipelug_net import http_client, lines
from snipelug_relay import clock, messages, ports, state, upstream_limits

LOG = logging.getLogger("snipelug.announce")

MIN_PROMPT_TOKENS = 1_000
"""Minimum prompt to announce; prefill of shorter ones takes less than 20 ms."""

MAX_DATAGRAM_BYTES = 8_192
"""Maximum message size; for longer ones the other nodes read for themselves."""

MAX_REASON_LENGTH = 200
MAX_SWITCH_S = 5.0
"""Maximum pause of an upstream that another node can request."""

PROMPT_MARGIN_S = 1.0
"""Added to twice the expected prefill time to limit how long a prompt counts."""

MAX_PROMPT_S = 5.0
"""Maximum time for which the prompt of another node counts."""

MAX_NODES_FOR_BROADCAST = 12
"""Maximum number of nodes for which prompts and their ends are announced to all."""


Handler = collections.abc.Callable[[typing.Any], None]
"""Handles one type of message."""

PeerHandler = collections.abc.Callable[[str, typing.Any], None]
"""Handles one type of message; called with the id of the node that sent it."""


class Announcer:
    """Sends and receives messages on one UDP socket.

    Parameters
    ----------
    addr : http_client.Address or None
        Address on which this node receives; None to disable announcements.
    """

    def __init__(
        self, addr: http_client.Address | None, node_state: state.State
    ) -> None:
        self._addr = addr
        self._state = node_state
        self._numbers = itertools.count(1)
        self._sock: socket.socket | None = None
        self._limits = upstream_limits.UpstreamLimits(node_state, self._send)
        self._handlers: dict[type, Handler] = {
            messages.Limited: self._limits.on_message
        }
        self._peer_handlers: dict[type, PeerHandler] = {}
        self._members: list[ports.Member] = []
        self._addrs: dict[str, http_client.Address] = {}
        self._ids: dict[http_client.Address, str] = {}
        self._decoder = msgspec.msgpack.Decoder(messages.Message)

    async def run(self) -> None:
        """Receive messages until cancelled."""
        if self._addr is None:
            return
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.setblocking(False)
            try:
                sock.bind(self._addr)
            except OSError as exc:
                lines.warning(LOG, "announcements_off", reason=str(exc))
                return
            self._sock = sock
            try:
                while True:
                    await trio.lowlevel.wait_readable(sock)
                    if self._sock is None:
                        return
                    self._receive(sock)
            finally:
                self._sock = None

    def announce_prompt(
        self, upstream_id: str, tokens: int, shared: choice.PromptPart | None = None
    ) -> collections.abc.Callable[[], None] | None:
        """Announce a prompt; return a function to announce the end of its prefill."""
        if self._sock is None or tokens < MIN_PROMPT_TOKENS:
            return None
        number = next(self._numbers)
        lasts_s = tokens / speed.PREFILL_TOKENS_PER_S
        message = messages.Prefill(upstream_id, number, tokens)
        if shared is not None:
            message.part, message.part_tokens = shared.id, shared.tokens
        if len(self._state.members) > MAX_NODES_FOR_BROADCAST:
            # Engines of a node's own zone are preferred, and each datagram costs the
            # receiver a wake-up.
            message.lasts_s = lasts_s
            self.send_to_zone(message)
            return None
        message.lasts_s = 2 * lasts_s + PROMPT_MARGIN_S
        self._send(message)

        def announce_read() -> None:
            self._send(messages.Prefill(upstream_id, number, 0))

        return announce_read

    def announce_switching(self, upstream_id: str, for_s: float) -> None:
        """Announce that an engine is loading weights."""
        self._send(messages.Switching(upstream_id, for_s))

    def announce_serving(self, entry: fleet.Entry, model: str, version: int) -> None:
        """Announce the weight version that an engine now serves."""
        self._send(messages.Serving(entry.id, model, version, entry.born))

    def record_leaving(self, upstream: fleet.Upstream, reason: str) -> None:
        """Exclude an upstream that stated that it leaves, on this node and all others.

        The list may state that it is ready until it has left, or never report it.
        """
        if not self._state.fleet.record_leaving(upstream):
            return
        _log_leaving(upstream, reason)
        self._send(messages.Leaving(upstream.entry.id, upstream.entry.born))

    def record_limit(
        self, upstream: fleet.Upstream, answer: named_limit.Answer, asked_at: float
    ) -> None:
        """Record what an answer to a request tells about a limit; tell other nodes.

        Parameters
        ----------
        asked_at : float
            Monotonic time at which the request was sent, in seconds.
        """
        self._limits.record(upstream, answer, asked_at)

    async def run_limits(self) -> None:
        """Repeat the limits that upstreams name until cancelled."""
        await self._limits.run()

    def close(self) -> None:
        """Stop sending and receiving."""
        self._sock = None

    def set_handler(self, kind: type, handler: Handler) -> None:
        """Set the handler for a type of message."""
        self._handlers[kind] = handler

    def set_peer_handler(self, kind: type, handler: PeerHandler) -> None:
        """Set the handler for a type of message whose sender matters."""
        self._peer_handlers[kind] = handler

    def send_to(self, node_id: str, message: messages.Message) -> None:
        """Send to one node; nothing is sent to an unknown one."""
        self._index_members()
        addr = self._addrs.get(node_id)
        if self._sock is None or addr is None:
            return
        try:
            self._sock.sendto(msgspec.msgpack.encode(message), addr)
        except (OSError, OverflowError, ValueError) as exc:
            lines.event(LOG, "not_announced", to=node_id, reason=str(exc))

    def _index_members(self) -> None:
        """Index the addresses of the recent members if these have changed."""
        if self._members is self._state.recent_members:
            return
        self._members = self._state.recent_members
        self._addrs = {m.node_id: m.addr for m in self._members if m.addr is not None}
        self._ids = {addr: node_id for node_id, addr in self._addrs.items()}

    def send_to_all(self, message: messages.Message) -> bool:
        """Send to all nodes; return whether the message fits."""
        return self._send(message)

    def send_to_zone(self, message: messages.Message) -> bool:
        """Send to the nodes of this node's zone; return whether the message fits."""
        zone = self._state.cfg.zone
        zone_members = [m for m in self._state.members if m.zone == zone]
        return self._send(message, zone_members)

    def _send(
        self,
        message: messages.Message,
        to: collections.abc.Iterable[ports.Member] | None = None,
    ) -> bool:
        sock = self._sock
        if sock is None:
            return True
        try:
            data = msgspec.msgpack.encode(message)
        except (OverflowError, ValueError) as exc:
            # The other nodes read for themselves what cannot be announced.
            lines.warning(LOG, "announcement_failed", reason=str(exc))
            return False
        if len(data) > MAX_DATAGRAM_BYTES:
            return False
        for member in self._state.members if to is None else to:
            if member.node_id == self._state.cfg.node_id or member.addr is None:
                continue
            try:
                sock.sendto(data, member.addr)
            except OSError as exc:
                # Announcements only improve routing, so a failed one is not retried.
                lines.event(LOG, "not_announced", to=member.node_id, reason=str(exc))
        return True

    def _receive(self, sock: socket.socket) -> None:
        recent = self._state.recent_members
        known = {member.addr[0] for member in recent if member.addr}
        while True:
            try:
                data, sender = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as exc:
                lines.warning(LOG, "announcement_unreadable", reason=str(exc))
                return
            if sender[0] not in known:
                continue
            try:
                message = self._decoder.decode(data)
            except (msgspec.DecodeError, RecursionError) as exc:
                reason = str(exc)[:MAX_REASON_LENGTH]
                lines.warning(LOG, "announcement_unreadable", reason=reason)
                continue
            try:
                self._handle(sender, message)
            except Exception as exc:
                # The datagrams that are already received are still handled.
                LOG.error("announcement_failed", exc_info=exc)

    def _handle(self, addr: http_client.Address, message: messages.Message) -> None:
        peer_handler = self._peer_handlers.get(type(message))
        if peer_handler is not None:
            self._index_members()
            if addr in self._ids:
                peer_handler(self._ids[addr], message)
            return
        sender = addr[0]
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)
            return
        if not isinstance(
            message,
            messages.Prefill | messages.Switching | messages.Serving | messages.Leaving,
        ):
            return
        upstream = self._state.fleet.upstreams.get(message.upstream_id)
        if upstream is None:
            return
        now = clock.now()
        match message:
            case messages.Prefill(_, number, 0):
                upstream.announced.pop((sender, number), None)
            case messages.Prefill(_, number, tokens):
                upstream.announced[(sender, number)] = fleet.AnnouncedPrompt(
                    tokens, now + min(message.lasts_s, MAX_PROMPT_S)
                )
                # The next prompt with this part is cheapest where it is being read.
                if message.part:
                    upstream.add_cached_part(
                        message.part,
                        message.part_tokens,
                        self._state.assumed_cached_tokens(upstream),
                    )
            case messages.Switching(_, for_s):
                upstream.switching_until = now + min(for_s, MAX_SWITCH_S)
            case messages.Serving(_, model, version, born):
                # A process never returns to older weights, but messages arrive late.
                is_same = born in (None, upstream.entry.born)
                if is_same and version >= upstream.versions.get(model, 0):
                    upstream.set_version(model, version)
                    upstream.switching_until = 0.0
            case messages.Leaving(_, born) if born == upstream.entry.born:
                if self._state.fleet.record_leaving(upstream):
                    _log_leaving(upstream, f"announced by the node at {sender}")


def _log_leaving(upstream: fleet.Upstream, reason: str) -> None:
    lines.event(
        LOG,
        "upstream_leaving",
        upstream=upstream.entry.id,
        service=upstream.entry.service,
        zone=upstream.entry.zone,
        born=upstream.entry.born,
        reason=reason,
    )

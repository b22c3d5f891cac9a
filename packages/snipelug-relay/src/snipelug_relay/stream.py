"""The body of a streamed answer, which goes on at another upstream if need be."""

import collections.abc
import typing

import trio

from snipelug_core import attempt, catalog
from snipelug_net import http_client
from snipelug_relay import clock, job

MAX_EVENT_GAP_S = 1.2
"""Pause after which a resumable stream is resumed elsewhere; sites allow 0.3 s."""


class Resumer(typing.Protocol):
    """What a stream needs of the relay."""

    async def resume(self, work: job.Job, lost: job.Outcome) -> job.Outcome | None:
        """Go on with a stream at another upstream; None if that is not possible."""
        ...

    def finish_stream(self, work: job.Job, outcome: str, reason: str) -> None:
        """Log and count the end of a stream, once."""
        ...


class Stream:
    """The body of a streamed answer; implements ``http_server.BodyStream``."""

    def __init__(self, relay: Resumer, work: job.Job, first: job.Outcome) -> None:
        self._relay = relay
        self._work = work
        self._current = first

    def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        """Return the iterator over the whole events."""
        return self._events()

    async def _events(self) -> collections.abc.AsyncIterator[bytes]:
        if self._current.events:
            yield self._current.events
        while not self._current.has_ended:
            part = await self._next_events()
            if isinstance(part, http_client.Lost):
                yield await self._resume(part)
                continue
            if part:
                yield part
        rest = self._partial_event()
        if rest:
            yield rest
        self._relay.finish_stream(self._work, "answered", "")

    async def _next_events(self) -> bytes | http_client.Lost:
        """Return the next whole events, none at the end, or why there are none."""
        reply, splitter = self._current.reply, self._current.splitter
        assert reply is not None
        assert splitter is not None
        is_resumable = self._work.route.repeat is catalog.RepeatPolicy.RESUMABLE
        left_s = max(0.0, self._work.left_s())
        part: bytes | http_client.Lost | None = http_client.Lost("no event in time")
        with trio.move_on_after(
            min(left_s, MAX_EVENT_GAP_S) if is_resumable else left_s
        ):
            part = await reply.next_part()
        if isinstance(part, http_client.Lost):
            return part
        if self._current.upstream_attempt is not None:
            self._current.upstream_attempt.record_data(clock.now())
        if part is not None:
            return splitter.push(part)
        if splitter.rest and not _is_framed(reply.headers):
            return http_client.Lost("the stream ended inside an event")
        self._current.has_ended = True
        return b""

    def _partial_event(self) -> bytes:
        splitter = self._current.splitter
        return splitter.rest if splitter is not None else b""

    async def _resume(self, lost: http_client.Lost) -> bytes:
        """Go on at another upstream, or break the answer off."""
        self._close()
        reason = f"the stream was cut: {lost.reason}"
        broken = job.Outcome(
            attempt.Result.LOST,
            reason,
            self._current.upstream_attempt,
            splitter=self._current.splitter,
        )
        if self._current.upstream_attempt is not None:
            self._current.upstream_attempt.upstream.record_outcome(True, clock.now())
        # The attempt was counted when the stream began.
        self._work.history.runs -= 1
        self._work.history.sends -= 1
        resumed = await self._relay.resume(self._work, broken)
        if resumed is None:
            self._relay.finish_stream(self._work, "broken", reason)
            raise trio.BrokenResourceError(reason)
        self._current = resumed
        return resumed.events

    def _close(self) -> None:
        if self._current.reply is not None:
            self._current.reply.abort()
        if self._current.upstream_attempt is not None:
            self._current.upstream_attempt.finish()

    async def aclose(self) -> None:
        """Free the upstream's connection."""
        self._close()
        self._relay.finish_stream(
            self._work, "left", "the caller closed the connection"
        )


def _is_framed(headers: dict[str, str]) -> bool:
    """Tell whether the end of a body differs from the end of its connection."""
    return "content-length" in headers or "transfer-encoding" in headers

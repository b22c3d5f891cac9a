"""Body of a streamed response, resumed on another upstream after a failure."""

import collections.abc
import typing

import trio

from snipelug_core import attempt, catalog
from snipelug_net import http_client
from snipelug_relay import clock, job

MAX_EVENT_GAP_S = 1.2
"""Gap between events after which a resumable stream is resumed elsewhere.

The deployments allow gaps of 0.3 s.
"""


class Resumer(typing.Protocol):
    """The methods of the relay that a stream uses."""

    async def resume(self, work: job.Job, lost: job.Outcome) -> job.Outcome | None:
        """Resume a stream on another upstream; return None if that is not possible."""
        ...

    def finish_stream(self, work: job.Job, outcome: str, reason: str) -> None:
        """Log and count the end of a stream; further calls have no effect."""
        ...


class Stream:
    """Body of a streamed response; implements ``http_server.BodyStream``."""

    def __init__(self, relay: Resumer, work: job.Job, first: job.Outcome) -> None:
        self._relay = relay
        self._work = work
        self._current = first

    def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        """Return an iterator over the complete events."""
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
        """Return the next complete events, nothing at the end, or the failure."""
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
            return http_client.Lost("the stream ended within an event")
        self._current.has_ended = True
        return b""

    def _partial_event(self) -> bytes:
        splitter = self._current.splitter
        return splitter.rest if splitter is not None else b""

    async def _resume(self, lost: http_client.Lost) -> bytes:
        """Resume on another upstream, or abort the response."""
        self._close()
        reason = f"the stream was interrupted: {lost.reason}"
        broken = job.Outcome(
            attempt.Result.LOST,
            reason,
            self._current.upstream_attempt,
            splitter=self._current.splitter,
        )
        if self._current.upstream_attempt is not None:
            self._current.upstream_attempt.upstream.record_outcome(True, clock.now())
        # resume() counts this attempt again; it was counted when the stream started.
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
        """Release the connection to the upstream."""
        self._close()
        self._relay.finish_stream(
            self._work, "left", "the caller closed the connection"
        )


def _is_framed(headers: dict[str, str]) -> bool:
    """Return whether the end of the body is marked, not just the connection closed."""
    return "content-length" in headers or "transfer-encoding" in headers

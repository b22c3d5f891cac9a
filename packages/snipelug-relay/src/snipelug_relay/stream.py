"""Body of a streamed response, resumed on another upstream after a failure."""

import collections.abc
import dataclasses
import math
import typing

import trio

from snipelug_core import attempt, catalog
from snipelug_net import http_client
from snipelug_relay import clock, job, sse

MAX_EVENT_GAP_S = 1.2
"""Gap between events after which a resumable stream is resumed elsewhere.

The deployments allow gaps of 0.3 s. Bytes that complete no event do not end a gap.
"""

OVERLONG_EVENT = f"an event has more than {sse.MAX_EVENT_BYTES} bytes"


@dataclasses.dataclass(frozen=True)
class Stalled:
    """No event was completed for ``MAX_EVENT_GAP_S``, but the connection is open."""


class Resumer(typing.Protocol):
    """The methods of the relay that a stream uses."""

    async def resume(
        self,
        work: job.Job,
        lost: job.Outcome,
        release: collections.abc.Callable[[], None],
    ) -> job.Outcome | None:
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
            if not isinstance(part, bytes):
                part = await self._resume(part)
            if part:
                yield part
        rest = self._partial_event()
        if rest:
            yield rest
        self._relay.finish_stream(self._work, "answered", "")

    async def _next_events(self) -> bytes | http_client.Lost | Stalled:
        """Return the next complete events, nothing at the end, or the failure."""
        splitter = self._current.splitter
        assert splitter is not None
        is_resumable = self._work.route.repeat is catalog.RepeatPolicy.RESUMABLE
        stalls_at = clock.now() + MAX_EVENT_GAP_S if is_resumable else math.inf
        while True:
            part = await self._next_part(min(stalls_at, self._work.deadline))
            if part is None or isinstance(part, http_client.Lost | Stalled):
                break
            events = splitter.push(part)
            if events:
                return events
            if splitter.is_overlong:
                return http_client.Lost(OVERLONG_EVENT)
        if part is not None:
            return part
        if splitter.rest and not is_framed(self._headers()):
            return http_client.Lost("the stream ended within an event")
        self._current.has_ended = True
        return b""

    async def _next_part(
        self, until: float
    ) -> bytes | http_client.Lost | Stalled | None:
        """Return the next bytes, None at the end, or the failure."""
        reply = self._current.reply
        assert reply is not None
        part: bytes | http_client.Lost | Stalled | None = Stalled()
        with trio.move_on_after(max(0.0, until - clock.now())):
            part = await reply.next_part()
        if isinstance(part, Stalled) and self._work.left_s() <= 0:
            return http_client.Lost("no event before the deadline")
        is_data = not isinstance(part, http_client.Lost | Stalled)
        if is_data and self._current.upstream_attempt is not None:
            self._current.upstream_attempt.record_data(clock.now())
        return part

    def _headers(self) -> dict[str, str]:
        return self._current.reply.headers if self._current.reply is not None else {}

    def _partial_event(self) -> bytes:
        splitter = self._current.splitter
        return splitter.rest if splitter is not None else b""

    async def _resume(self, failure: http_client.Lost | Stalled) -> bytes:
        """Resume on another upstream, or abort the response.

        A stalled stream goes on where it is if no other upstream can take it.
        """
        lost_reason = (
            f"no event within {MAX_EVENT_GAP_S} s"
            if isinstance(failure, Stalled)
            else failure.reason
        )
        reason = f"the stream was interrupted: {lost_reason}"
        broken = job.Outcome(
            attempt.Result.LOST,
            reason,
            self._current.upstream_attempt,
            splitter=self._current.splitter,
            is_closed=not isinstance(failure, Stalled),
        )
        if self._current.upstream_attempt is not None:
            self._current.upstream_attempt.upstream.record_outcome(True, clock.now())
        # resume() counts this attempt again; it was counted when the stream started.
        self._work.history.runs -= 1
        self._work.history.sends -= 1
        if not isinstance(failure, Stalled):
            self._close()
        resumed = await self._relay.resume(self._work, broken, self._close)
        if resumed is not None:
            self._current = resumed
            return resumed.events
        if isinstance(failure, Stalled) and not self._is_closed:
            return b""
        self._relay.finish_stream(self._work, "broken", reason)
        raise trio.BrokenResourceError(reason)

    @property
    def _is_closed(self) -> bool:
        current = self._current.upstream_attempt
        return current is None or current.has_ended

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


def is_framed(headers: dict[str, str]) -> bool:
    """Return whether the end of the body is marked, not just the connection closed."""
    return "content-length" in headers or "transfer-encoding" in headers

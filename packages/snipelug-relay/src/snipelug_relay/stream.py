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

PARTIAL_EVENT = "the stream ended within an event"
NO_EVENT = "the connection was closed before the first event"
OVERLONG_EVENT = (
    f"an event has more than {sse.MAX_EVENT_BYTES} bytes, or the comments between two "
    f"events more than {sse.MAX_COMMENT_BYTES}"
)


@dataclasses.dataclass(frozen=True)
class Stalled:
    """No event was completed for ``MAX_EVENT_GAP_S``, but the connection is open."""


class Resumer(typing.Protocol):
    """The methods of the relay that a stream uses."""

    async def resume(self, work: job.Job, lost: job.Outcome) -> job.Outcome | None:
        """Resume a stream on another upstream; return None if that is not possible."""
        ...

    def record_broken(self, work: job.Job, outcome: job.Outcome) -> None:
        """Record that the upstream of a stream closed the connection within it."""
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
        blank_lines = self._blank_lines()
        if blank_lines:
            yield blank_lines
        self._relay.finish_stream(self._work, "answered", "")

    async def _next_events(
        self, max_gap_s: float = MAX_EVENT_GAP_S
    ) -> bytes | http_client.Lost | Stalled:
        """Return the next complete events, nothing at the end, or the failure."""
        splitter = self._current.splitter
        assert splitter is not None
        is_resumable = self._work.route.repeat is catalog.RepeatPolicy.RESUMABLE
        stalls_at = clock.now() + max_gap_s if is_resumable else math.inf
        while True:
            part = await self._next_part(min(stalls_at, self._work.deadline))
            if part is None or isinstance(part, http_client.Lost | Stalled):
                break
            events = splitter.push(part)
            if splitter.is_overlong:
                return http_client.Lost(OVERLONG_EVENT)
            if events:
                return events
        if part is not None:
            return part
        if splitter.ends_in_event:
            return http_client.Lost(PARTIAL_EVENT)
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

    def _blank_lines(self) -> bytes:
        """Return the line ends after the last event, which belong to the body."""
        splitter = self._current.splitter
        return splitter.rest if splitter is not None else b""

    async def _resume(self, failure: http_client.Lost | Stalled) -> bytes:
        """Resume on another upstream, or abort the response.

        A stalled stream goes on where it is if no other upstream can take it.
        """
        if self._current.upstream_attempt is not None:
            self._current.upstream_attempt.upstream.record_outcome(True, clock.now())
        if isinstance(failure, Stalled):
            part = await self._resume_or_wait()
            if isinstance(part, bytes):
                return part
            failure = part
        else:
            self._close_lost()
            resumed = await self._resume_elsewhere(failure.reason, is_closed=True)
            if resumed is not None:
                self._current = resumed
                return resumed.events
        reason = f"the stream was interrupted: {failure.reason}"
        self._relay.finish_stream(self._work, "broken", reason)
        raise trio.BrokenResourceError(reason)

    async def _resume_or_wait(self) -> bytes | http_client.Lost:
        """Wait for the first events of another upstream or the next of this one.

        A silent upstream may go on by itself, and the other one may fail, so this one
        is kept until the other one sends events.
        """
        resumed: job.Outcome | None = None
        waited: bytes | http_client.Lost | Stalled = Stalled()
        async with trio.open_nursery() as nursery:

            async def wait() -> None:
                nonlocal waited
                waited = await self._next_events(max_gap_s=math.inf)
                if isinstance(waited, bytes):
                    nursery.cancel_scope.cancel()
                else:
                    self._close_lost()

            nursery.start_soon(wait)
            reason = f"no event within {MAX_EVENT_GAP_S} s"
            resumed = await self._resume_elsewhere(reason, is_closed=False)
            nursery.cancel_scope.cancel()
        if isinstance(waited, bytes):
            if resumed is not None:
                _release(resumed)
            return waited
        if resumed is not None:
            self._close()
            self._current = resumed
            return resumed.events
        return waited if isinstance(waited, http_client.Lost) else b""

    async def _resume_elsewhere(
        self, reason: str, is_closed: bool
    ) -> job.Outcome | None:
        """Send the request to another upstream; return None if it cannot go on."""
        lost = job.Outcome(
            attempt.Result.LOST,
            f"the stream was interrupted: {reason}",
            self._current.upstream_attempt,
            splitter=self._current.splitter,
            is_closed=is_closed,
        )
        # Without an id, another upstream would start the stream anew.
        if lost.splitter is None or lost.splitter.last_id is None:
            return None
        return await self._relay.resume(self._work, lost)

    def _close_lost(self) -> None:
        """Close the stream of an upstream that has broken it off."""
        if self._current.splitter is not None and self._current.splitter.last_id:
            self._relay.record_broken(self._work, self._current)
        self._close()

    def _close(self) -> None:
        _release(self._current)

    async def aclose(self) -> None:
        """Release the connection to the upstream."""
        self._close()
        self._relay.finish_stream(
            self._work, "left", "the caller closed the connection"
        )


def _release(outcome: job.Outcome) -> None:
    """End the attempt of a stream and close its connection."""
    if outcome.reply is not None:
        outcome.reply.abort()
    if outcome.upstream_attempt is not None:
        outcome.upstream_attempt.finish()

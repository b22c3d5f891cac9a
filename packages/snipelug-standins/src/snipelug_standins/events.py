"""Numbered feeds of changes to cached blocks."""

import collections
import dataclasses
import itertools
import typing

KEPT_EVENTS = 50_000


@dataclasses.dataclass(frozen=True)
class Event:
    """One change; ``made_at`` is a monotonic time in seconds."""

    made_at: float
    content: dict[str, typing.Any]


class Feed:
    """The newest events, with gaps and delays on demand.

    Attributes
    ----------
    dropping : bool
        While true, events use up a sequence number and are lost.
    delay_s : float
        Age at which an event becomes readable, in seconds.
    """

    def __init__(self) -> None:
        self.dropping = False
        self.delay_s = 0.0
        self._events: collections.deque[Event] = collections.deque(maxlen=KEPT_EVENTS)
        self._numbers = itertools.count(1)

    def append(self, now: float, event: str, key: str, **more: typing.Any) -> None:
        """Add an event about one key."""
        seq = next(self._numbers)
        if self.dropping:
            return
        content = {"seq": seq, "event": event, "key": key, **more}
        self._events.append(Event(now, content))

    def after(
        self, seq: int, now: float, limit: int = 10_000
    ) -> list[dict[str, typing.Any]]:
        """Return the readable events after a sequence number, oldest first."""
        newest = now - self.delay_s
        readable = (
            e.content
            for e in self._events
            if e.content["seq"] > seq and e.made_at <= newest
        )
        return list(itertools.islice(readable, limit))


def parse_after(query: dict[str, str]) -> int | None:
    """Return the ``after`` parameter, 0 if absent, or None if it is malformed."""
    text = query.get("after") or "0"
    return int(text) if text.isdecimal() else None

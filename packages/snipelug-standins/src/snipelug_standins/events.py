"""Sequence-numbered feeds of changes to KV cache blocks."""

import collections
import dataclasses
import itertools
import typing

MAX_EVENTS = 50_000


@dataclasses.dataclass(frozen=True)
class Event:
    """One change; ``made_at`` is a monotonic time in seconds."""

    made_at: float
    content: dict[str, typing.Any]


class Feed:
    """The latest events; tests can inject gaps and delays.

    Attributes
    ----------
    dropping : bool
        Whether new events are dropped; each still consumes a sequence number.
    delay_s : float
        Minimum age of a readable event, in seconds.
    """

    def __init__(self) -> None:
        self.dropping = False
        self.delay_s = 0.0
        self._events: collections.deque[Event] = collections.deque(maxlen=MAX_EVENTS)
        self._numbers = itertools.count(1)

    def append(self, now: float, event: str, key: str, **more: typing.Any) -> None:
        """Append an event for one key."""
        seq = next(self._numbers)
        if self.dropping:
            return
        content = {"seq": seq, "event": event, "key": key, **more}
        self._events.append(Event(now, content))

    def read_after(
        self, seq: int, now: float, limit: int = 10_000
    ) -> list[dict[str, typing.Any]]:
        """Return the readable events after a sequence number, oldest first."""
        max_made_at = now - self.delay_s
        readable = (
            e.content
            for e in self._events
            if e.content["seq"] > seq and e.made_at <= max_made_at
        )
        return list(itertools.islice(readable, limit))


def parse_after(query: dict[str, str]) -> int | None:
    """Return the ``after`` query parameter, 0 if absent, or None if it is malformed."""
    text = query.get("after") or "0"
    return int(text) if text.isdecimal() else None

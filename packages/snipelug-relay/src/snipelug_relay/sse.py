"""Splits server-sent event streams so that only complete events are forwarded."""

import re

EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 256 * 1024
"""Size above which an incomplete event is taken for one that never ends."""

MAX_COMMENT_BYTES = 256 * 1024
"""Total size of the comments between two events above which none is expected."""

FIELD = re.compile(rb"(?m)^[^:\r\n]")
"""Begin of a line that is neither empty nor a comment."""

EVENT_ID = re.compile(rb"(?m)^id: ?([^\r\n]*)")


class Splitter:
    """Buffers the bytes of a stream and returns complete events.

    Attributes
    ----------
    last_id : str or None
        Id of the last complete event that was returned.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self._rest = bytearray()
        self._comment_bytes = 0

    def push(self, data: bytes) -> bytes:
        """Add bytes and return the events that are now complete."""
        # The end of an event can be split between two reads.
        start = max(0, len(self._rest) - len(EVENT_END) + 1)
        self._rest += data
        end = self._rest.rfind(EVENT_END, start)
        if end < 0:
            return b""
        complete = bytes(self._rest[: end + len(EVENT_END)])
        del self._rest[: end + len(EVENT_END)]
        self._comment_bytes += len(complete)
        if FIELD.search(complete):
            self._comment_bytes = 0
        ids = EVENT_ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return complete

    @property
    def rest(self) -> bytes:
        """The bytes after the last complete event."""
        return bytes(self._rest)

    @property
    def ends_in_event(self) -> bool:
        """Whether an event has begun but is not complete."""
        return bool(self._rest.strip(b"\r\n"))

    @property
    def is_overlong(self) -> bool:
        """Whether an incomplete event or the comments before it exceed their limit."""
        return (
            len(self._rest) > MAX_EVENT_BYTES or self._comment_bytes > MAX_COMMENT_BYTES
        )


def first_id(events: bytes) -> str | None:
    """Return the id of the first event."""
    match = EVENT_ID.search(events)
    return match[1].decode("latin-1") if match is not None else None


def follows(last_id: str | None, events: bytes) -> bool:
    """Return whether events continue after the event with the last id.

    Events continue nothing if the first one, comments aside, has no id.
    """
    if last_id is None:
        return True
    blocks = events.split(EVENT_END)
    first = first_id(next((b for b in blocks if not b.startswith(b":")), b""))
    if first is None:
        return False
    if last_id.isdigit() and first.isdigit():
        return int(first) > int(last_id)
    return first != last_id

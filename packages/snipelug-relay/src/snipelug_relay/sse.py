"""Server-sent events, cut at their ends so that only whole ones are passed on."""

import re

EVENT_END = b"\n\n"
EVENT_ID = re.compile(rb"(?m)^id: ?([^\r\n]*)")


class Splitter:
    """Collects the bytes of a stream and returns them up to the last whole event.

    Attributes
    ----------
    last_id : str or None
        Id of the last whole event that was returned.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self._rest = b""

    def push(self, data: bytes) -> bytes:
        """Add bytes; return the whole events."""
        self._rest += data
        end = self._rest.rfind(EVENT_END)
        if end < 0:
            return b""
        whole = self._rest[: end + len(EVENT_END)]
        self._rest = self._rest[end + len(EVENT_END) :]
        ids = EVENT_ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return whole

    @property
    def rest(self) -> bytes:
        """What came after the last whole event."""
        return self._rest


def first_id(events: bytes) -> str | None:
    """Return the id of the first event."""
    match = EVENT_ID.search(events)
    return match[1].decode("latin-1") if match is not None else None


def follows(last_id: str | None, events: bytes) -> bool:
    """Tell whether events go on after the one with the last id."""
    first = first_id(events)
    if last_id is None or first is None:
        return True
    if last_id.isdigit() and first.isdigit():
        return int(first) > int(last_id)
    return first != last_id

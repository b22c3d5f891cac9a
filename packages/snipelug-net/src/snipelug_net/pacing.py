"""Limits the processor time that one connection takes by sending small fragments.

Parsing a chunk costs about the same whether it has one byte or thousands. A byte limit
therefore allows millions of chunks, and one read of 64 KiB can contain 8,000.
"""

import trio

FRAGMENTS_PER_TURN = 32
"""Fragments that are parsed before other tasks run; one takes up to 0.1 ms."""

BYTES_PER_FRAGMENT = 256
"""Bytes that offset one fragment, so that large bodies are not slowed down."""

BURST_FRAGMENTS = 1024
FRAGMENTS_PER_S = 500.0
"""Fragments that a connection may send at once, and per second on average.

An engine sends a token every 4 ms at most, but a node that was suspended for some
seconds receives several hundred at once.
"""

SERVER_BURST_FRAGMENTS = 8192
SERVER_FRAGMENTS_PER_S = 4_000.0
"""The same for all clients of a server together; some 0.4 of a core."""

MAX_DELAY_S = 2.0
"""Total delay after which the sender counts as faulty."""


class Meter:
    """Token bucket of the fragments that one connection, or several, have sent.

    Parameters
    ----------
    now : float
        Monotonic time, in seconds.
    burst : float
        Fragments that may be sent at once.
    per_s : float
        Fragments per second on average.

    Attributes
    ----------
    delay_s : float
        Total delay since the bucket was last empty, in seconds.
    """

    def __init__(
        self,
        now: float,
        burst: float = BURST_FRAGMENTS,
        per_s: float = FRAGMENTS_PER_S,
    ) -> None:
        self._burst = burst
        self._per_s = per_s
        self.delay_s = 0.0
        self._level = 0.0
        self._at = now

    def record(self, fragments: int, size: int, now: float) -> float:
        """Add fragments with a total size; return the delay before the next one."""
        self._level = max(0.0, self._level - (now - self._at) * self._per_s)
        self._at = now
        if not self._level:
            self.delay_s = 0.0
        self._level += max(0.0, fragments - size / BYTES_PER_FRAGMENT)
        wait_s = max(0.0, self._level - self._burst) / self._per_s
        self.delay_s += wait_s
        return wait_s

    @property
    def is_exceeded(self) -> bool:
        """Whether the sender was delayed for so long that it counts as faulty."""
        return self.delay_s > MAX_DELAY_S


class Pacer:
    """Divides the parsing of a connection's input into turns.

    Parameters
    ----------
    shared : Meter, optional
        Meter of all connections of a server. Connections whose fragments are large
        enough not to count wait for no others.

    Attributes
    ----------
    is_turn_over : bool
        Whether ``wait`` must be called before more input is parsed.
    """

    def __init__(self, shared: Meter | None = None) -> None:
        self._meter = Meter(trio.current_time())
        self._shared = shared
        self._fragments = 0
        self._size = 0
        self._next_turn_at: float | None = None
        self._is_first = True

    @property
    def is_turn_over(self) -> bool:
        """Whether other tasks must run before the next fragment is parsed."""
        return self._next_turn_at is not None

    @property
    def is_exceeded(self) -> bool:
        """Whether the sender counts as faulty."""
        return self._meter.is_exceeded

    def start_message(self) -> None:
        """Begin a message, whose first fragment does not count."""
        self._is_first = True

    def record(self, size: int) -> None:
        """Count a fragment of a message with its size in bytes."""
        if self._is_first:
            self._is_first = False
            return
        self._fragments += 1
        self._size += size
        if self._fragments < FRAGMENTS_PER_TURN:
            return
        now = trio.current_time()
        delay_s = self._meter.record(self._fragments, self._size, now)
        if (
            self._shared is not None
            and self._fragments > self._size / BYTES_PER_FRAGMENT
        ):
            shared_s = self._shared.record(self._fragments, self._size, now)
            self._meter.delay_s += max(0.0, shared_s - delay_s)
            delay_s = max(delay_s, shared_s)
        self._fragments = self._size = 0
        self._next_turn_at = now + delay_s

    async def wait(self) -> None:
        """Let other tasks run if the turn is over, and wait for the next one."""
        if self._next_turn_at is not None:
            await trio.sleep_until(self._next_turn_at)
            self._next_turn_at = None

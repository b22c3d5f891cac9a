"""Answers as streams: parsing, identity, completeness, resumption, pace."""

import collections.abc
import dataclasses
import typing

import msgspec

from snipelug_core import refusal

MAX_EVENT_BYTES = 256 * 1024
"""Longest event of a stream; engines send a few hundred bytes per token."""

MAX_RELAY_DELAY_S = 0.010
"""Longest time that a token waits in the relay, in seconds."""

PASS_INTERVAL_S = 0.006
"""Time between reads of all streams.

The rest of ``HOLD_S`` is for the reads of a pass and for timers, which trio rounds
up to a millisecond; with 8 ms, 8% of tokens waited longer than ``HOLD_S``.
"""

MAX_ATTEMPTS = 3
"""Runs of one answer, the first included."""

DONE = b"[DONE]"
DATA_FIELD = b"data: "
EVENT_END = b"\n\n"

TEXT_FIELDS = frozenset({"role", "content"})

MAX_TEMPLATES = 4
"""Templates learned per run; an engine whose chunks all differ gains nothing."""

PLACEHOLDER = "snipelug-placeholder"
"""Text that stands for a chunk's text while its template is checked."""
DONE_EVENT = b"data: [DONE]\n\n"


# Incremental parsing of server-sent events.


# Not frozen: that doubles the time to make one (0.6 us), and there is one per token.
@dataclasses.dataclass(slots=True)
class Event:
    """The data of one server-sent event."""

    data: bytes


@dataclasses.dataclass(frozen=True)
class Oversized:
    """An event is longer than the parser accepts; the stream is unusable."""

    limit_bytes: int


class Parser:
    """Parse server-sent events from pieces of any size.

    Memory is bounded by the longest event plus the piece that is being parsed.

    Parameters
    ----------
    limit_bytes : int
        Longest event accepted, in bytes.
    """

    def __init__(self, limit_bytes: int = MAX_EVENT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self._line = bytearray()
        self._data: list[bytes] = []
        self._data_bytes = 0
        self._after_cr = False
        self._at_start = True
        self._failed = False

    def feed(self, piece: bytes) -> list[Event | Oversized]:
        """Return the events that a piece completes; consume it wholly."""
        # Most pieces are one event of one line.
        end = len(piece) - len(EVENT_END)
        if (
            piece.startswith(DATA_FIELD)
            and piece.find(b"\n") == end
            and piece.endswith(EVENT_END)
            and b"\r" not in piece
            and len(piece) <= self.limit_bytes
            and self.is_between_events()
        ):
            self._at_start = False
            return [Event(piece[len(DATA_FIELD) : end])]
        return list(self._feed_lines(piece))

    def is_between_events(self) -> bool:
        """Return whether the next piece begins a line of a new event."""
        return not (self._line or self._data or self._after_cr or self._failed)

    def _feed_lines(self, piece: bytes) -> collections.abc.Iterator[Event | Oversized]:
        for line in self._lines(piece):
            if self._failed:
                break
            event = self._take(line)
            if event is not None:
                yield event
        if not self._failed and self._held_bytes() > self.limit_bytes:
            self._failed = True
        if self._failed:
            self._line.clear()
            self._data.clear()
            yield Oversized(self.limit_bytes)

    def _held_bytes(self) -> int:
        return len(self._line) + self._data_bytes

    def _lines(self, piece: bytes) -> collections.abc.Iterator[bytes]:
        if self._after_cr and piece:
            piece = piece.removeprefix(b"\n")
            self._after_cr = False
        for line in piece.splitlines(keepends=True):
            ended = line.endswith((b"\n", b"\r"))
            if not ended:
                self._line += line
                return
            whole = bytes(self._line) + line if self._line else line
            self._line.clear()
            yield whole.rstrip(b"\r\n")
        self._after_cr = piece.endswith(b"\r")

    def _take(self, line: bytes) -> Event | None:
        if self._at_start:
            line = line.removeprefix(b"\xef\xbb\xbf")
            self._at_start = False
        if not line:
            return self._dispatch()
        name, _, text = line.partition(b":")
        if name == b"data":
            data = text.removeprefix(b" ")
            self._data.append(data)
            self._data_bytes += len(data) + 1
            self._failed = self._data_bytes > self.limit_bytes
        return None

    def _dispatch(self) -> Event | None:
        if not self._data:
            return None
        event = Event(b"\n".join(self._data))
        self._data.clear()
        self._data_bytes = 0
        return event


# Chunks of an answer.


class Usage(msgspec.Struct, frozen=True):
    """Token counts of a finished run."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class Choice(msgspec.Struct):
    """One choice of a chunk."""

    index: int = 0
    delta: dict[str, typing.Any] = {}
    finish_reason: str | None = None


class Chunk(msgspec.Struct, omit_defaults=True):
    """A chunk of a streamed chat completion."""

    id: str
    object: str = ""
    created: int = 0
    model: str = ""
    weight_version: str = ""
    choices: list[Choice] = []
    usage: Usage | None = None


_decoder = msgspec.json.Decoder(Chunk)
_encoder = msgspec.json.Encoder()


@dataclasses.dataclass(slots=True)
class Relay:
    """Bytes of one event that the caller receives."""

    data: bytes


@dataclasses.dataclass(frozen=True)
class Ignored:
    """Nothing for the caller, such as the repeated start of a resumed run."""


@dataclasses.dataclass(frozen=True)
class WrongRun:
    """A chunk of another run; the connection must be closed."""

    expected_id: str
    chunk_id: str


@dataclasses.dataclass(frozen=True)
class AfterEnd:
    """A chunk after the end of the answer; the connection must be closed."""

    chunk_id: str


@dataclasses.dataclass(frozen=True)
class Malformed:
    """An event that is not a chunk; the connection must be closed."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Diverged:
    """A resumed run repeated other text than the caller has received."""

    offset: int


Verdict = Relay | Ignored | WrongRun | AfterEnd | Malformed | Diverged


@dataclasses.dataclass(frozen=True)
class Complete:
    """The whole answer arrived."""

    usage: Usage
    finish_reason: str


@dataclasses.dataclass(frozen=True)
class Incomplete:
    """The answer lacks parts."""

    missing: tuple[str, ...]


def run_id(request_id: str, attempt: int) -> str:
    """Return the id of one run of a request.

    Each attempt has its own id, so that a late chunk of the first run is not
    taken for one of the resumed run.
    """
    return f"{request_id}.{attempt}"


@dataclasses.dataclass(frozen=True, slots=True)
class _Template:
    """What surrounds the text in the events of a run, as sent and as relayed."""

    sent_before: bytes
    sent_after: bytes
    own_before: bytes
    own_after: bytes


class Response:
    """Account for the answer to one request over all of its runs.

    Parameters
    ----------
    request_id : str
        Id that the caller sees in each chunk.

    Attributes
    ----------
    attempt : int
        Number of the run that is accepted now, from 1.
    run_id : str
        Id that each chunk of the accepted run must carry.
    """

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.attempt = 0
        self._start_run()
        self._parts: list[str] = []
        self._repeat = ""
        self._repeated = 0
        self._plain = True

    def _start_run(self) -> None:
        self.attempt += 1
        self.run_id = run_id(self.request_id, self.attempt)
        self._sent_id = b'"id":"%s"' % self.run_id.encode()
        self._own_id = b'"id":"%s"' % self.request_id.encode()
        self._finish_reason: str | None = None
        self._usage: Usage | None = None
        self._done = False
        self._template: _Template | None = None
        self._templates_left = MAX_TEMPLATES

    @property
    def text(self) -> str:
        """Text relayed so far."""
        return "".join(self._parts)

    @property
    def is_plain_text(self) -> bool:
        """Whether all that was relayed is the text of a single choice."""
        return self._plain

    def accept(self, event: Event) -> Verdict:
        """Judge one event of the accepted run."""
        if event.data == DONE:
            return self._accept_done()
        try:
            chunk = _decoder.decode(event.data)
        except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
            return Malformed(str(exc)[:200])
        if chunk.id != self.run_id:
            return WrongRun(self.run_id, chunk.id[:200])
        if self._done or (self._finish_reason is not None and chunk.choices):
            return AfterEnd(chunk.id)
        if self._usage is not None and self._finish_reason is not None:
            return AfterEnd(chunk.id)
        return self._accept_chunk(chunk, event.data)

    def relay_by_template(self, piece: bytes) -> bytes | None:
        """Relay an event that differs in its text only from one that was accepted.

        Such an event needs no parsing: all other bytes, the run's id among them,
        are compared, and a text without quotes and escapes can't end early.

        Parameters
        ----------
        piece : bytes
            Bytes of the stream that begin where an event begins.

        Returns
        -------
        bytes or None
            What the caller receives; None if the piece must be parsed.
        """
        known = self._template
        if known is None:
            return None
        before, after = known.sent_before, known.sent_after
        raw = piece[len(before) : -len(after)]
        if (
            len(piece) < len(before) + len(after)
            or not piece.startswith(before)
            or not piece.endswith(after)
            or b'"' in raw
            or b"\\" in raw
        ):
            return None
        try:
            text = raw.decode()
        except UnicodeDecodeError:
            return None
        # Control characters, line ends among them, are not printable.
        if not text.isprintable():
            return None
        self._parts.append(text)
        return b"%s%s%s" % (known.own_before, raw, known.own_after)

    def resume(self, repeats: bool) -> str:
        """Start the next run and return the text that it continues.

        Parameters
        ----------
        repeats : bool
            Whether the run sends the earlier text again, as a run from the
            prompt does; the text is then checked and not relayed twice.
        """
        self._start_run()
        self._repeat = self.text if repeats else ""
        self._repeated = 0
        return self.text

    def outcome(self) -> Complete | Incomplete:
        """Return whether the answer is complete, once its connection ended."""
        parts = {
            "finish_reason": self._finish_reason is not None,
            "usage": self._usage is not None,
            "done": self._done,
        }
        missing = tuple(name for name, there in parts.items() if not there)
        if missing or self._finish_reason is None or self._usage is None:
            return Incomplete(missing)
        return Complete(self._usage, self._finish_reason)

    def _accept_done(self) -> Verdict:
        if self._done:
            return AfterEnd(self.run_id)
        if self._finish_reason is None or self._usage is None:
            return Malformed("the stream ends before the final chunk")
        self._done = True
        return Relay(DONE_EVENT)

    def _accept_chunk(self, chunk: Chunk, data: bytes) -> Verdict:
        cut = self._repeated < len(self._repeat)
        if self._repeated < len(self._repeat):
            fault = self._skip_repeated(chunk)
            if fault is not None:
                return fault
        for choice in chunk.choices:
            self._account(choice)
        if chunk.usage is not None:
            self._usage = chunk.usage
        if not chunk.choices and chunk.usage is None:
            return Ignored()
        if self._finish_reason is not None:
            self._template = None
        elif self._templates_left and not cut:
            self._learn(chunk, data)
        chunk.id = self.request_id
        own = None if cut else self._with_own_id(data)
        return Relay(own or b"%s%s\n\n" % (DATA_FIELD, _encoder.encode(chunk)))

    def _learn(self, chunk: Chunk, data: bytes) -> None:
        """Make a template of a chunk that has one choice and does not end it."""
        if len(chunk.choices) != 1 or chunk.usage is not None:
            return
        choice = chunk.choices[0]
        text = choice.delta.get("content")
        if not isinstance(text, str):
            return
        before, found, after = data.partition(b'"%s"' % text.encode())
        if not found:
            return
        self._templates_left -= 1
        place = b'"%s"' % PLACEHOLDER.encode()
        other = before + place + after
        try:
            decoded = _decoder.decode(other)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            return
        # Proves that the place found is the one from which the text was taken.
        delta = choice.delta | {"content": PLACEHOLDER}
        expected = msgspec.structs.replace(choice, delta=delta)
        if decoded != msgspec.structs.replace(chunk, choices=[expected]):
            return
        own = self._with_own_id(other)
        if own is None or own.count(place) != 1:
            return
        own_before, _, own_after = own.partition(place)
        self._template = _Template(
            DATA_FIELD + before + b'"',
            b'"' + after + EVENT_END,
            own_before + b'"',
            b'"' + own_after,
        )

    def _with_own_id(self, data: bytes) -> bytes | None:
        """Return the event as sent, with the caller's id; None if that is not safe.

        Encoding it again would drop the fields that this module does not know.
        """
        before, found, after = data.partition(self._sent_id)
        if not found or self._sent_id in after or b"\n" in data:
            return None
        return b"%s%s%s%s\n\n" % (DATA_FIELD, before, self._own_id, after)

    def _skip_repeated(self, chunk: Chunk) -> Ignored | Diverged | None:
        """Cut repeated text from a chunk; None if something remains of it."""
        remains = chunk.usage is not None
        for choice in chunk.choices:
            text = choice.delta.get("content") or ""
            if choice.index != 0 or not isinstance(text, str):
                return Diverged(self._repeated)
            expected = self._repeat[self._repeated : self._repeated + len(text)]
            if not text.startswith(expected):
                return Diverged(self._repeated)
            self._repeated += len(expected)
            choice.delta = {"content": text[len(expected) :]}
            ended = choice.finish_reason is not None
            if ended and self._repeated < len(self._repeat):
                return Diverged(self._repeated)
            remains = remains or ended or len(text) > len(expected)
        return None if remains else Ignored()

    def _account(self, choice: Choice) -> None:
        if choice.finish_reason is not None:
            self._finish_reason = choice.finish_reason
        content = choice.delta.get("content")
        if isinstance(content, str):
            self._parts.append(content)
            if choice.delta.keys() <= TEXT_FIELDS and choice.index == 0:
                return
        used = {name for name, value in choice.delta.items() if value is not None}
        text_only = content is None or isinstance(content, str)
        if choice.index != 0 or not used <= TEXT_FIELDS or not text_only:
            self._plain = False


# What to do when the upstream is lost.


@dataclasses.dataclass(frozen=True)
class Sampling:
    """The parts of a request that decide whether its answer can be repeated."""

    temperature: float | None = None
    seed: int | None = None
    choices: int = 1

    @property
    def deterministic(self) -> bool:
        """Whether a second run gives the same text."""
        return self.temperature == 0 or self.seed is not None


@dataclasses.dataclass(frozen=True)
class Restart:
    """Run the request again from the start; the caller has received nothing."""


@dataclasses.dataclass(frozen=True)
class Resume:
    """Run the rest of the request and send the text so far along."""

    text: str


@dataclasses.dataclass(frozen=True)
class SendDone:
    """Send ``DONE_EVENT``; nothing else of the answer is missing."""


@dataclasses.dataclass(frozen=True)
class EndWithError:
    """End the stream with an error event."""

    refusal: refusal.Refusal


def recover(
    answer: Response, sampling: Sampling, ran_version: str, next_version: str
) -> Restart | Resume | SendDone | EndWithError:
    """Decide how an answer goes on after its upstream was lost.

    Parameters
    ----------
    answer : Answer
        Account of the answer so far.
    sampling : Sampling
        How the request is sampled.
    ran_version, next_version : str
        Weight version of the lost run and of the upstream that could go on;
        empty if unknown.
    """
    text = answer.text
    outcome = answer.outcome()
    missing = outcome.missing if isinstance(outcome, Incomplete) else ()
    if "usage" not in missing and "finish_reason" not in missing:
        return SendDone()
    if "finish_reason" not in missing:
        # A run that continues a finished text would add to it.
        return _end("upstream lost before the usage of the answer", text)
    if answer.attempt >= MAX_ATTEMPTS:
        return _end(f"upstream lost in attempt {answer.attempt}", text)
    if answer.is_plain_text and not text:
        return Restart()
    if not sampling.deterministic:
        return _end("upstream lost, and the request is not deterministic", text)
    if not answer.is_plain_text or sampling.choices != 1:
        return _end("upstream lost, and the answer is not plain text", text)
    if not ran_version or ran_version != next_version:
        return _end("upstream lost, and its weight version is not available", text)
    return Resume(text)


def error_event(reason: refusal.Refusal) -> bytes:
    """Render the event that ends a stream without ``[DONE]``."""
    return b"data: " + _encoder.encode(reason.content()) + b"\n\n"


def _end(message: str, text: str) -> EndWithError:
    state = refusal.RunState.RAN if text else refusal.RunState.UNKNOWN
    return EndWithError(refusal.refuse(refusal.UPSTREAM_LOST, message, state))


# Reading of all streams in passes.


def next_pass_at(begun_at: float, reads: int) -> float:
    """Return when all streams that have data are read again.

    What was read is written at once. Passes that find several streams with data
    are ``PASS_INTERVAL_S`` apart, so that one wake-up serves many chunks and chunks
    of one stream share a read and a write; while there is little to read, chunks
    are read as they arrive.

    Parameters
    ----------
    begun_at : float
        Time at which the last pass began, in seconds.
    reads : int
        Streams that it read.
    """
    return begun_at + PASS_INTERVAL_S if reads > 1 else begun_at

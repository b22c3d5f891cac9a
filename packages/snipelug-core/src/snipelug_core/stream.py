"""Streamed responses: event parsing, run ids, completeness, resumption, read timing."""

import collections.abc
import dataclasses
import typing

import msgspec

from snipelug_core import refusal

MAX_EVENT_BYTES = 256 * 1024
"""Maximum size of an event; engines send a few hundred bytes per token."""

MAX_RELAY_DELAY_S = 0.010
"""Maximum time that a token waits in the relay, in seconds."""

PASS_INTERVAL_S = 0.006
"""Time between passes that read all streams, in seconds.

The remainder of ``MAX_RELAY_DELAY_S`` covers the reads of a pass and timers, which
trio rounds up to a millisecond. With 8 ms, 8% of the tokens waited longer than
``MAX_RELAY_DELAY_S``.
"""

MAX_ATTEMPTS = 3
"""Maximum number of runs of one request, including the first."""

DONE = b"[DONE]"
DATA_FIELD = b"data: "
EVENT_END = b"\n\n"

TEXT_FIELDS = frozenset({"role", "content"})

MAX_TEMPLATES = 4
"""Maximum number of templates built per run.

Templates do not pay off for an engine whose chunks all differ, so building stops.
"""

PLACEHOLDER = "snipelug-placeholder"
"""Stands in for the text of a chunk while its template is verified."""
DONE_EVENT = b"data: [DONE]\n\n"


# Incremental parsing of server-sent events.


# Not frozen, because that doubles the construction time (0.6 us), and there is one per
# token.
@dataclasses.dataclass(slots=True)
class Event:
    """The data of one server-sent event."""

    data: bytes


@dataclasses.dataclass(frozen=True)
class Oversized:
    """An event exceeds the size limit of the parser; the stream is unusable."""

    limit_bytes: int


class Parser:
    """Incremental parser of server-sent events.

    Memory is bounded by the maximum event size plus the piece being parsed.

    Parameters
    ----------
    limit_bytes : int
        Maximum size of an event, in bytes.
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
        """Consume a piece of any size and return the events that it completes."""
        # Fast path: most pieces consist of exactly one event of one line.
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
        """Return whether the next piece starts at the beginning of an event."""
        return not (self._line or self._data or self._after_cr or self._failed)

    def _feed_lines(self, piece: bytes) -> collections.abc.Iterator[Event | Oversized]:
        for line in self._lines(piece):
            if self._failed:
                break
            event = self._process_line(line)
            if event is not None:
                yield event
        if not self._failed and self._buffered_bytes() > self.limit_bytes:
            self._failed = True
        if self._failed:
            self._line.clear()
            self._data.clear()
            yield Oversized(self.limit_bytes)

    def _buffered_bytes(self) -> int:
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
            complete_line = bytes(self._line) + line if self._line else line
            self._line.clear()
            yield complete_line.rstrip(b"\r\n")
        self._after_cr = piece.endswith(b"\r")

    def _process_line(self, line: bytes) -> Event | None:
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


# Chunks of a response.


class Usage(msgspec.Struct, frozen=True):
    """Token counts of a finished run."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class Choice(msgspec.Struct):
    """One choice within a chunk."""

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
    """The event is forwarded to the caller in this form."""

    data: bytes


@dataclasses.dataclass(frozen=True)
class Ignored:
    """The event is not forwarded, such as the replayed start of a resumed run."""


@dataclasses.dataclass(frozen=True)
class WrongRun:
    """The chunk belongs to another run; the connection must be closed."""

    expected_id: str
    chunk_id: str


@dataclasses.dataclass(frozen=True)
class AfterEnd:
    """The chunk came after the end of the response; the connection must be closed."""

    chunk_id: str


@dataclasses.dataclass(frozen=True)
class Malformed:
    """The event is not a valid chunk; the connection must be closed."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Diverged:
    """A resumed run replayed a different text than the caller has received.

    Attributes
    ----------
    offset : int
        Number of characters that matched.
    """

    offset: int


Verdict = Relay | Ignored | WrongRun | AfterEnd | Malformed | Diverged


@dataclasses.dataclass(frozen=True)
class Complete:
    """The complete response arrived."""

    usage: Usage
    finish_reason: str


@dataclasses.dataclass(frozen=True)
class Incomplete:
    """Parts of the response are missing."""

    missing: tuple[str, ...]


def run_id(request_id: str, attempt: int) -> str:
    """Return the id of one run of a request.

    Each attempt has its own id, so that a late chunk of the first run is not
    mistaken for a chunk of the resumed run.
    """
    return f"{request_id}.{attempt}"


@dataclasses.dataclass(frozen=True, slots=True)
class _Template:
    """Bytes around the text in the events of a run, as received and as relayed."""

    received_before: bytes
    received_after: bytes
    relayed_before: bytes
    relayed_after: bytes


class Response:
    """Track the streamed response to one request over all of its runs.

    Parameters
    ----------
    request_id : str
        Id in each chunk that the caller receives.

    Attributes
    ----------
    attempt : int
        Number of the current run, starting at 1.
    run_id : str
        Id that each chunk of the current run must carry.
    """

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.attempt = 0
        self._start_run()
        self._text_parts: list[str] = []
        self._replay_text = ""
        self._replay_matched = 0
        self._is_plain_text = True

    def _start_run(self) -> None:
        self.attempt += 1
        self.run_id = run_id(self.request_id, self.attempt)
        self._run_id_field = b'"id":"%s"' % self.run_id.encode()
        self._caller_id_field = b'"id":"%s"' % self.request_id.encode()
        self._finish_reason: str | None = None
        self._usage: Usage | None = None
        self._done = False
        self._template: _Template | None = None
        self._templates_left = MAX_TEMPLATES

    @property
    def text(self) -> str:
        """Text relayed so far."""
        return "".join(self._text_parts)

    @property
    def is_plain_text(self) -> bool:
        """Whether only the text of a single choice was relayed so far."""
        return self._is_plain_text

    def accept(self, event: Event) -> Verdict:
        """Process an event of the current run."""
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
        """Relay an event that differs from an accepted one only in its text.

        Such an event needs no parsing: all other bytes, including the id of the run,
        are compared, and a text without quotes and escapes cannot end early.

        Parameters
        ----------
        piece : bytes
            Bytes of the stream, starting at the beginning of an event.

        Returns
        -------
        bytes or None
            The event to forward to the caller; None if the piece must be parsed.
        """
        template = self._template
        if template is None:
            return None
        before, after = template.received_before, template.received_after
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
        # Control characters, including line breaks, are not printable.
        if not text.isprintable():
            return None
        self._text_parts.append(text)
        return b"%s%s%s" % (template.relayed_before, raw, template.relayed_after)

    def resume(self, repeats: bool) -> str:
        """Start the next run and return the text relayed so far.

        Parameters
        ----------
        repeats : bool
            Whether the run produces the text so far again, as a run that starts
            from the prompt does. That text is then verified and not relayed again.
        """
        self._start_run()
        self._replay_text = self.text if repeats else ""
        self._replay_matched = 0
        return self.text

    def outcome(self) -> Complete | Incomplete:
        """Return whether the response was complete when its connection ended."""
        parts = {
            "finish_reason": self._finish_reason is not None,
            "usage": self._usage is not None,
            "done": self._done,
        }
        missing = tuple(name for name, present in parts.items() if not present)
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
        trimmed = self._replay_matched < len(self._replay_text)
        if self._replay_matched < len(self._replay_text):
            fault = self._skip_replayed(chunk)
            if fault is not None:
                return fault
        for choice in chunk.choices:
            self._record_choice(choice)
        if chunk.usage is not None:
            self._usage = chunk.usage
        if not chunk.choices and chunk.usage is None:
            return Ignored()
        if self._finish_reason is not None:
            self._template = None
        elif self._templates_left and not trimmed:
            self._build_template(chunk, data)
        chunk.id = self.request_id
        rewritten = None if trimmed else self._with_caller_id(data)
        return Relay(rewritten or b"%s%s\n\n" % (DATA_FIELD, _encoder.encode(chunk)))

    def _build_template(self, chunk: Chunk, data: bytes) -> None:
        """Build a template from a chunk that carries one choice and no usage."""
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
        quoted = b'"%s"' % PLACEHOLDER.encode()
        other = before + quoted + after
        try:
            decoded = _decoder.decode(other)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            return
        # Verifies that the text was found in the content of the choice, not elsewhere.
        delta = choice.delta | {"content": PLACEHOLDER}
        expected = msgspec.structs.replace(choice, delta=delta)
        if decoded != msgspec.structs.replace(chunk, choices=[expected]):
            return
        rewritten = self._with_caller_id(other)
        if rewritten is None or rewritten.count(quoted) != 1:
            return
        relayed_before, _, relayed_after = rewritten.partition(quoted)
        self._template = _Template(
            DATA_FIELD + before + b'"',
            b'"' + after + EVENT_END,
            relayed_before + b'"',
            b'"' + relayed_after,
        )

    def _with_caller_id(self, data: bytes) -> bytes | None:
        """Replace the id in the raw event by the caller's; None if that is unsafe.

        Re-encoding the chunk would drop the fields that this module does not know.
        """
        before, found, after = data.partition(self._run_id_field)
        if not found or self._run_id_field in after or b"\n" in data:
            return None
        return b"%s%s%s%s\n\n" % (DATA_FIELD, before, self._caller_id_field, after)

    def _skip_replayed(self, chunk: Chunk) -> Ignored | Diverged | None:
        """Remove replayed text from a chunk; return None if there is more to relay."""
        remains = chunk.usage is not None
        for choice in chunk.choices:
            text = choice.delta.get("content") or ""
            if choice.index != 0 or not isinstance(text, str):
                return Diverged(self._replay_matched)
            expected = self._replay_text[
                self._replay_matched : self._replay_matched + len(text)
            ]
            if not text.startswith(expected):
                return Diverged(self._replay_matched)
            self._replay_matched += len(expected)
            choice.delta = {"content": text[len(expected) :]}
            ended = choice.finish_reason is not None
            if ended and self._replay_matched < len(self._replay_text):
                return Diverged(self._replay_matched)
            remains = remains or ended or len(text) > len(expected)
        return None if remains else Ignored()

    def _record_choice(self, choice: Choice) -> None:
        if choice.finish_reason is not None:
            self._finish_reason = choice.finish_reason
        content = choice.delta.get("content")
        if isinstance(content, str):
            self._text_parts.append(content)
            if choice.delta.keys() <= TEXT_FIELDS and choice.index == 0:
                return
        used = {name for name, value in choice.delta.items() if value is not None}
        text_only = content is None or isinstance(content, str)
        if choice.index != 0 or not used <= TEXT_FIELDS or not text_only:
            self._is_plain_text = False


# Recovery after the loss of an upstream.


@dataclasses.dataclass(frozen=True)
class Sampling:
    """Request parameters that determine whether its response is reproducible."""

    temperature: float | None = None
    seed: int | None = None
    choices: int = 1

    @property
    def deterministic(self) -> bool:
        """Whether a second run produces the same text."""
        return self.temperature == 0 or self.seed is not None


@dataclasses.dataclass(frozen=True)
class Restart:
    """Run the request again from the start; the caller has received no content."""


@dataclasses.dataclass(frozen=True)
class Resume:
    """Continue the response in a new run from the text so far."""

    text: str


@dataclasses.dataclass(frozen=True)
class SendDone:
    """Send ``DONE_EVENT``; only that is missing from the response."""


@dataclasses.dataclass(frozen=True)
class EndWithError:
    """End the stream with an error event."""

    refusal: refusal.Refusal


def recover(
    response: Response, sampling: Sampling, ran_version: str, next_version: str
) -> Restart | Resume | SendDone | EndWithError:
    """Decide how to proceed with a response after its upstream was lost.

    Parameters
    ----------
    response : Response
        State of the response.
    sampling : Sampling
        Sampling parameters of the request.
    ran_version, next_version : str
        Weight versions of the lost run and of the upstream that could continue it;
        empty if unknown.
    """
    text = response.text
    outcome = response.outcome()
    missing = outcome.missing if isinstance(outcome, Incomplete) else ()
    if "usage" not in missing and "finish_reason" not in missing:
        return SendDone()
    if "finish_reason" not in missing:
        # A new run that continued the finished text would append to it.
        return _end_with_error("upstream lost before the usage of the response", text)
    if response.attempt >= MAX_ATTEMPTS:
        return _end_with_error(f"upstream lost in attempt {response.attempt}", text)
    if response.is_plain_text and not text:
        return Restart()
    if not sampling.deterministic:
        return _end_with_error(
            "upstream lost, and the request is not deterministic", text
        )
    if not response.is_plain_text or sampling.choices != 1:
        return _end_with_error(
            "upstream lost, and the response is not plain text", text
        )
    if not ran_version or ran_version != next_version:
        return _end_with_error(
            "upstream lost, and its weight version is not available", text
        )
    return Resume(text)


def error_event(reason: refusal.Refusal) -> bytes:
    """Encode the error event that ends a stream in place of ``[DONE]``."""
    return b"data: " + _encoder.encode(reason.content()) + b"\n\n"


def _end_with_error(message: str, text: str) -> EndWithError:
    run_state = refusal.RunState.RAN if text else refusal.RunState.UNKNOWN
    return EndWithError(refusal.refuse(refusal.UPSTREAM_LOST, message, run_state))


# Reading all streams in passes.


def next_pass_at(begun_at: float, reads: int) -> float:
    """Return when the next pass over all streams with data starts.

    Data is written as soon as it is read. After a pass that read several streams, the
    next one starts ``PASS_INTERVAL_S`` later, so that one wake-up serves many chunks
    and chunks of one stream share a read and a write. Under low load, chunks are read
    as they arrive.

    Parameters
    ----------
    begun_at : float
        Time at which the last pass started, in seconds.
    reads : int
        Number of streams that it read.
    """
    return begun_at + PASS_INTERVAL_S if reads > 1 else begun_at

"""Fault cases and property tests of streamed responses."""

import itertools
import json

import hypothesis
import pytest
from hypothesis import strategies as st

from snipelug_core import refusal, stream
from tests import builders

GREEDY = stream.Sampling(temperature=0)


def received(relays: list[bytes]) -> str:
    """Return the text that a caller reads from relayed events."""
    text = ""
    for relay in relays:
        assert relay.startswith(b"data: ")
        assert relay.endswith(b"\n\n")
        if relay == stream.DONE_EVENT:
            continue
        content = json.loads(relay[6:])
        assert content["id"] == "r"
        text += "".join(c["delta"].get("content", "") for c in content["choices"])
    return text


R, N, C = stream.Relay, stream.Ignored, stream.WrongRun
L, M = stream.AfterEnd, stream.Malformed
DONE = stream.DONE
FAULTS = [
    ("whole", [builders.chunk("a"), builders.final(), DONE], [R, R, R], ()),
    (
        "usage apart",
        [
            builders.chunk("a", finish="stop"),
            {"id": "r.1", "usage": builders.USAGE},
            DONE,
        ],
        [R, R, R],
        (),
    ),
    (
        "crossed",
        [builders.chunk("a"), builders.chunk("b", "q.1"), builders.final(), DONE],
        [R, C, R, R],
        (),
    ),
    ("run of a lost attempt", [builders.chunk("a", "r.0")], [C], None),
    ("text after the end", [builders.final(), builders.chunk("b")], [R, L], ("done",)),
    (
        "second usage",
        [builders.final(), {"id": "r.1", "usage": builders.USAGE}],
        [R, L],
        ("done",),
    ),
    ("done twice", [builders.final(), DONE, DONE], [R, R, L], ()),
    ("text after done", [builders.final(), DONE, builders.chunk("b")], [R, R, L], ()),
    ("early done", [builders.chunk("a"), DONE], [R, M], None),
    ("no usage", [builders.chunk("a", finish="stop")], [R], ("usage", "done")),
    ("cut", [builders.chunk("a")], [R], ("finish_reason", "usage", "done")),
    ("not JSON", [b"{"], [M], None),
    ("no id", [{"choices": []}], [M], None),
    ("wrong types", [{"id": "r.1", "choices": 3}], [M], None),
    ("not UTF-8", [b'{"id":"\xff"}'], [M], None),
    ("empty", [{"id": "r.1"}], [N], None),
]


@pytest.mark.parametrize(("contents", "kinds", "missing"), [f[1:] for f in FAULTS])
def test_faulty_chunks_are_dropped_and_reported(
    contents: list[object], kinds: list[type], missing: tuple[str, ...] | None
) -> None:
    """Guards against relaying chunks of another response or a truncated response."""
    response = stream.Response("r")
    verdicts = [response.accept(builders.event(c)) for c in contents]
    assert [type(v) for v in verdicts] == kinds
    outcome = response.outcome()
    if missing == ():
        expected = stream.Usage(**builders.USAGE)
        assert outcome == stream.Complete(expected, "stop")
    else:
        assert isinstance(outcome, stream.Incomplete)
        assert missing is None or outcome.missing == missing


SEEDED = stream.Sampling(seed=3)
TOOL = {"id": "r.1", "choices": [{"delta": {"tool_calls": [{}]}}]}
UNUSED = {"id": "r.1", "choices": [{"delta": {"content": "a", "refusal": None}}]}
SECOND = {"id": "r.1", "choices": [{"index": 1, "delta": {"content": "a"}}]}
RECOVERIES = [
    ([], stream.Sampling(), "w1", "w2", stream.Restart),
    ([builders.chunk("")], stream.Sampling(), "w1", "w2", stream.Restart),
    ([builders.chunk("a")], GREEDY, "w1", "w1", stream.Resume),
    ([builders.chunk("a")], SEEDED, "w1", "w1", stream.Resume),
    ([UNUSED], GREEDY, "w1", "w1", stream.Resume),
    ([builders.chunk("a")], GREEDY, "w1", "w2", stream.EndWithError),
    ([builders.chunk("a")], GREEDY, "", "", stream.EndWithError),
    ([builders.chunk("a")], stream.Sampling(), "w1", "w1", stream.EndWithError),
    (
        [builders.chunk("a")],
        stream.Sampling(temperature=0.1),
        "w1",
        "w1",
        stream.EndWithError,
    ),
    (
        [builders.chunk("a")],
        stream.Sampling(0, None, 2),
        "w1",
        "w1",
        stream.EndWithError,
    ),
    ([TOOL], GREEDY, "w1", "w1", stream.EndWithError),
    ([SECOND], GREEDY, "w1", "w1", stream.EndWithError),
    ([builders.chunk("a", finish="stop")], GREEDY, "w1", "w1", stream.EndWithError),
    (
        [builders.chunk("a"), builders.final()],
        stream.Sampling(),
        "w1",
        "w2",
        stream.SendDone,
    ),
]


@pytest.mark.parametrize(("contents", "sampling", "ran", "other", "kind"), RECOVERIES)
def test_recovery_follows_the_resume_rule(
    contents: list[object],
    sampling: stream.Sampling,
    ran: str,
    other: str,
    kind: type,
) -> None:
    """Guards against a response mixed from two weight versions or two samplings."""
    response = stream.Response("r")
    for content in contents:
        response.accept(builders.event(content))
    decision = stream.recover(response, sampling, ran, other)
    assert type(decision) is kind
    if isinstance(decision, stream.EndWithError):
        content = json.loads(stream.error_event(decision.refusal)[6:])
        assert content["error"]["code"] == "upstream_lost"
        assert content["error"]["run_state"] != refusal.RunState.NOT_RUN


def test_attempts_are_bounded() -> None:
    """Guards against a request that is resumed forever."""
    response = stream.Response("r")
    response.accept(builders.event(builders.chunk("a")))
    for _ in range(stream.MAX_ATTEMPTS - 1):
        assert stream.recover(response, GREEDY, "w", "w") == stream.Resume("a")
        response.resume(repeats=False)
    assert isinstance(stream.recover(response, GREEDY, "w", "w"), stream.EndWithError)


def split_text(text: str, cuts: list[int]) -> list[str]:
    """Split a text at the given positions."""
    positions = sorted({c % (len(text) + 1) for c in cuts} | {0, len(text)})
    return [text[a:b] for a, b in itertools.pairwise(positions)]


CUTS = st.lists(st.integers(0, 1000), max_size=6)


@hypothesis.given(
    st.text(max_size=40), CUTS, CUTS, CUTS, st.integers(0, 6), st.booleans()
)
def test_resumed_answer_has_each_character_once(
    text: str,
    first: list[int],
    second: list[int],
    third: list[int],
    lost: int,
    repeats: bool,
) -> None:
    """Guards against duplicate or lost text when an upstream dies mid-stream."""
    response = stream.Response("r")
    relays: list[bytes] = []

    def feed_chunk(content: object) -> None:
        verdict = response.accept(builders.event(content))
        assert isinstance(verdict, stream.Relay | stream.Ignored)
        if isinstance(verdict, stream.Relay):
            relays.append(verdict.data)

    for piece in split_text(text, first)[:lost]:
        feed_chunk(builders.chunk(piece))
    for attempt, cuts in ((2, second), (3, third)):
        so_far = response.resume(repeats)
        assert so_far == received(relays)
        assert isinstance(
            response.accept(builders.event(builders.chunk("late"))), stream.WrongRun
        )
        rest = split_text(text if repeats else text[len(so_far) :], cuts)
        for piece in rest if attempt == 3 else rest[:lost]:
            feed_chunk(builders.chunk(piece, f"r.{attempt}"))
    feed_chunk(builders.final("r.3"))
    feed_chunk(DONE)
    assert received(relays) == text
    assert isinstance(response.outcome(), stream.Complete)


@hypothesis.given(st.text("ab", max_size=8), st.text("ab", max_size=8))
def test_other_text_in_a_repeated_run_is_reported(sent: str, again: str) -> None:
    """Guards against joining the start of one text to the end of another."""
    response = stream.Response("r")
    response.accept(builders.event(builders.chunk(sent)))
    response.resume(repeats=True)
    verdict = response.accept(builders.event(builders.final("r.2", again)))
    same = again.startswith(sent)
    assert isinstance(verdict, stream.Relay if same else stream.Diverged)


LINES = st.sampled_from(
    [b"data: a", b"data:b", b"data", b"", b"", b": note", b"id: 1", b"data:  \xc3\xa9"]
)
ENDS = st.sampled_from([b"\n", b"\r", b"\r\n"])


def parse_whole(lines: list[bytes]) -> list[bytes]:
    """Parse complete lines exactly as the standard specifies."""
    events, data = [], []
    for line in lines:
        name, _, text = line.partition(b":")
        if not line and data:
            events.append(b"\n".join(data))
            data = []
        elif name == b"data":
            data.append(text[1:] if text[:1] == b" " else text)
    return events


@hypothesis.given(st.lists(LINES), ENDS, CUTS, st.sampled_from([b"", b"\xef\xbb\xbf"]))
def test_parser_gives_the_same_events_for_any_pieces(
    lines: list[bytes], end: bytes, cuts: list[int], mark: bytes
) -> None:
    """Guards against tokens lost or split at the boundaries of network reads."""
    raw = mark + b"".join(line + end for line in lines)
    positions = sorted({c % (len(raw) + 1) for c in cuts} | {0, len(raw)})
    parser = stream.Parser()
    events = []
    for a, b in itertools.pairwise(positions):
        events += list(parser.feed(raw[a:b]))
    assert events == [stream.Event(data) for data in parse_whole(lines)]
    parser = stream.Parser()
    single = [e for i in range(len(raw)) for e in parser.feed(raw[i : i + 1])]
    assert single == events


@pytest.mark.parametrize("line", [b"x" * 10, b"data: x\n", b": x\n" + b"data: xx\r"])
def test_parser_memory_is_bounded(line: bytes) -> None:
    """Guards against an upstream that never ends an event."""
    parser = stream.Parser(limit_bytes=100)
    outcomes = [list(parser.feed(line)) for _ in range(1000)]
    assert outcomes[-1] == [stream.Oversized(100)]
    assert parser._buffered_bytes() <= 100 + len(line)


VARIED_CHUNKS = st.lists(
    st.one_of(
        st.builds(builders.chunk, st.text(max_size=4)),
        st.builds(
            builders.chunk, st.sampled_from(["a", 'a"', "\\", "\n", "r.1", "content"])
        ),
        st.just(builders.chunk("b", "q.1")),
        st.just(builders.chunk("b", created=1)),
        st.just(builders.chunk("b", usage=builders.USAGE)),
        st.just({"id": "r.1", "choices": [{"index": 1, "delta": {"content": "b"}}]}),
        st.just({"id": "r.1", "choices": [{"delta": {"tool_calls": ["a", "a"]}}]}),
        st.just({"id": "r.1", "note": "a", "choices": [{"delta": {"content": "a"}}]}),
        st.just(builders.final()),
        st.sampled_from([DONE, b"{", b"\xff", b""]),
    ),
    max_size=12,
)


def encode(content: object, compact: bool, plain: bool) -> bytes:
    if isinstance(content, bytes):
        return content
    separators = (",", ":") if compact else None
    text = json.dumps(content, separators=separators, ensure_ascii=plain)
    return text.encode(errors="replace")


@hypothesis.given(VARIED_CHUNKS, st.booleans(), st.booleans(), st.integers(0, 255))
def test_template_relays_chunks_as_the_parser_does(
    contents: list[object], compact: bool, plain: bool, noise: int
) -> None:
    """Guards against a fast path that relays a chunk differently from the parser."""
    parsed, mixed = stream.Response("r"), stream.Response("r")
    for number, content in enumerate(contents):
        data = encode(content, compact, plain)
        if number % 3 == 2:
            place = noise % (len(data) + 1)
            data = data[:place] + bytes([noise]) + data[place:]
        if b"\n" in data or b"\r" in data:
            continue
        verdict = parsed.accept(stream.Event(data))
        relayed = mixed.relay_by_template(b"data: " + data + b"\n\n")
        if relayed is None:
            assert mixed.accept(stream.Event(data)) == verdict
        else:
            assert verdict == stream.Relay(relayed)
        assert mixed.text == parsed.text
        assert mixed.is_plain_text == parsed.is_plain_text
        assert mixed.outcome() == parsed.outcome()


TEMPLATE_CASES = [
    ("plain", b" b", True),
    ("empty", b"", True),
    ("not ASCII", "é字".encode(), True),
    ("quote", b'"', False),
    ("escape", b"\\n", False),
    ("control character", b"\x01", False),
    ("line end", b"\n", False),
    ("not UTF-8", b"\xff", False),
    (
        "second event",
        b'"}}]}\n\ndata: {"id":"q.1","choices":[{"delta":{"content":"',
        False,
    ),
]


@pytest.mark.parametrize(("name", "raw", "is_alike"), TEMPLATE_CASES)
def test_template_applies_only_if_text_alone_differs(
    name: str, raw: bytes, is_alike: bool
) -> None:
    """Guards against a text that ends its chunk early, and an unused fast path."""
    response = stream.Response("r")
    delta = b'{"role":"assistant","content":"a"}'
    data = b'{"id":"r.1","choices":[{"index":0,"delta":%s}]}' % delta
    assert response.relay_by_template(b"data: " + data + b"\n\n") is None
    response.accept(stream.Event(data))
    other = data.replace(b'"a"', b'"' + raw + b'"')
    relayed = response.relay_by_template(b"data: " + other + b"\n\n")
    own = b"data: " + other.replace(b"r.1", b"r") + b"\n\n"
    assert relayed == (own if is_alike else None)
    assert response.relay_by_template(own) is None
    assert response.relay_by_template(b"data: " + other[:-1] + b"\n\n") is None
    response.resume(repeats=False)
    assert response.relay_by_template(b"data: " + other + b"\n\n") is None


@hypothesis.given(st.lists(st.floats(0, 0.03), min_size=1, max_size=60))
def test_no_chunk_waits_longer_than_the_limit(gaps: list[float]) -> None:
    """Guards against tokens that wait for others that never arrive."""
    arrivals = list(itertools.accumulate(gaps))
    pass_at = 0.0
    while arrivals:
        read_at = max(arrivals[0], pass_at)
        assert read_at - arrivals[0] <= stream.MAX_RELAY_DELAY_S
        reads = sum(at <= read_at for at in arrivals)
        arrivals = arrivals[reads:]
        pass_at = stream.next_pass_at(read_at, reads)
        assert read_at <= pass_at <= read_at + stream.MAX_RELAY_DELAY_S


PASSES = [
    (0, 0.0),
    (1, 0.0),
    (2, stream.PASS_INTERVAL_S),
    (500, stream.PASS_INTERVAL_S),
]


@pytest.mark.parametrize(("reads", "pause_s"), PASSES)
def test_only_passes_with_several_reads_are_delayed(reads: int, pause_s: float) -> None:
    """Guards against delaying tokens under low load."""
    assert stream.next_pass_at(1.0, reads) == 1.0 + pause_s


@pytest.mark.parametrize(
    "piece",
    [
        b"data: a\n\ndata: b\n\n",
        b"data: a\ndata: b\n\n",
        b"data: a\n\n\ndata: b\n\n",
        b"data: a\n\nid: 1\ndata: b\n\n",
        b"data: a\n\n: note\n\ndata: b\n\n",
        b"data: data: a\n\n",
        b"data: \n\ndata: a\n\n",
    ],
)
def test_one_piece_gives_the_same_events_as_single_bytes(piece: bytes) -> None:
    """Guards against splitting or joining events that arrive together incorrectly."""
    whole = list(stream.Parser().feed(piece))
    parser = stream.Parser()
    single = [e for i in range(len(piece)) for e in parser.feed(piece[i : i + 1])]
    assert whole == single


def test_unknown_fields_reach_the_caller() -> None:
    """Guards against dropping log probabilities or vendor-specific fields."""
    response = stream.Response("r")
    data = (
        b'{"id":"r.1","vendor":7,"choices":[{"index":0,"delta":{"content":"a"},'
        b'"logprobs":{"content":[{"token":"a","logprob":-0.5}]}}]}'
    )
    verdict = response.accept(stream.Event(data))
    assert verdict == stream.Relay(b"data: " + data.replace(b"r.1", b"r") + b"\n\n")

"""Tests chat runs with scripted engines over real sockets."""

import collections.abc
import json
from unittest import mock

import hypothesis
import pytest
import trio
from hypothesis import strategies as st

from snipelug_core import (
    block,
    contract,
    index,
    load,
    quarantine,
    refusal,
    stream,
    table,
)
from snipelug_net import http_client, http_server, poller
from snipelug_node import chat, crashes, dispatch, sender, slots

# No process listens on it, as ports below 1024 are privileged.
CLOSED_PORT = 1
UNLIMITED = float("inf")
DECLINING_STATUSES = ("400", "409", "429", "503")
WORDS = ["alpha ", "beta ", "gamma ", "delta "]


def sse_event(run_id: str, **fields: object) -> bytes:
    content = {"id": run_id, "weight_version": "w1", **fields}
    return b"data: " + json.dumps(content).encode() + b"\n\n"


def delta_event(run_id: str, text: str) -> bytes:
    return sse_event(run_id, choices=[{"index": 0, "delta": {"content": text}}])


def final_events(run_id: str) -> bytes:
    choices = [{"index": 0, "delta": {}, "finish_reason": "stop"}]
    usage = {"prompt_tokens": 3, "completion_tokens": len(WORDS)}
    return sse_event(run_id, choices=choices, usage=usage) + b"data: [DONE]\n\n"


class Engine:
    """An engine that follows a script of faults, one for each request.

    ``rest`` is the fault of all requests after the script; ``possible_runs`` counts the
    requests that were not declined.
    """

    def __init__(
        self, faults: collections.abc.Iterable[str], rest: str = "none"
    ) -> None:
        self.faults = list(faults)
        self.rest = rest
        self.runs: list[dict[str, object]] = []
        self.possible_runs = 0

    def may_send(
        self, upstream: table.Upstream, conn_opened_at: float, now: float
    ) -> load.Verdict:
        """Evaluate a send; the script's faults may prevent it."""
        fault = self.faults[0] if self.faults else self.rest
        is_pre_send_check = conn_opened_at >= 0
        if fault != "cold" and (fault != "withheld" or not is_pre_send_check):
            return load.Allowed()
        del self.faults[:1]
        if fault == "cold":
            return load.NeedsGrant(load.Reason.REPORTED_COLD)
        return load.Excluded(load.Reason.REPORTED_LEAVING)

    async def handle(self, req: http_server.Request) -> http_server.Response:
        fault = self.faults.pop(0) if self.faults else self.rest
        fields = json.loads(req.body)
        self.possible_runs += fault not in DECLINING_STATUSES
        if fault.isdigit():
            error = {"error": {"message": "scripted"}}
            return http_server.json_response(int(fault), error)
        self.runs.append(fields)
        if fault == "lost":
            raise trio.BrokenResourceError
        if fault == "hang":
            await trio.sleep_forever()
        run_id = req.headers["x-request-id"]
        if fields["stream"]:
            return http_server.Response(200, self.stream(fields, run_id, fault))
        if fault == "cut":
            raise trio.BrokenResourceError
        content = {
            "id": "another" if fault == "crossed" else run_id,
            "choices": [{"index": 0, "message": {"content": "".join(WORDS)}}],
            "usage": {"prompt_tokens": 3, "completion_tokens": len(WORDS)},
        }
        return http_server.json_response(200, content)

    async def stream(
        self, fields: dict[str, object], run_id: str, fault: str
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        text = str(fields.get("resume_text", ""))
        for number, word in enumerate(WORDS):
            if "".join(WORDS[: number + 1]) in text:
                continue
            if number == 2 and fault == "cut":
                raise trio.BrokenResourceError
            if number == 2 and fault == "crossed":
                yield delta_event("another", "secret ")
            yield delta_event(run_id, word)
            await trio.sleep(0)
        if fault != "unfinished":
            yield final_events(run_id)


class Router:
    """Chooses engines in order and records the pinned versions and completed runs."""

    def __init__(self, upstreams: list[table.Upstream]) -> None:
        self.upstreams = upstreams
        self.completed_by: list[str] = []
        self.pinned_versions: list[str] = []

    async def choose(self, job: dispatch.Job) -> dispatch.Choice | refusal.Refusal:
        self.pinned_versions.append(job.pinned_version)
        for upstream in self.upstreams:
            if upstream.instance.id not in job.excluded:
                chain = block.Chain((), 3, "c")
                return dispatch.Choice(upstream, "w1", chain, index.PrefixLocations())
        return refusal.refuse(refusal.NO_UPSTREAM, "all engines were tried")

    def record_sent(self, choice: dispatch.Choice, run_id: str) -> None:
        pass

    record_first_token = record_ended = record_sent

    def record_completed(
        self, job: dispatch.Job, choice: dispatch.Choice, usage: stream.Usage
    ) -> None:
        self.completed_by.append(choice.upstream.instance.id)


class PermissiveLimits:
    """Crash records, retry budgets and slots that permit everything by default.

    A request is quarantined after ``crashes`` crashes, or after ``checks_allowed``
    checks, as if a peer had reported crashes. For each entry in ``busy`` one send to
    that upstream gets no slot.
    """

    def __init__(
        self,
        crashes: float = UNLIMITED,
        checks_allowed: float = UNLIMITED,
        busy: collections.abc.Iterable[str] = (),
    ) -> None:
        self.crashes_left = crashes
        self.checks_left = checks_allowed
        self.busy = list(busy)

    def check(self, fingerprint: str) -> quarantine.Standing | refusal.Refusal:
        self.checks_left -= 1
        if self.checks_left < 0:
            return refusal.refuse(refusal.QUARANTINED, "crashed too often")
        return quarantine.Standing.CLEAR

    def epoch(self, fingerprint: str) -> int:
        return 0

    async def record(
        self, fingerprint: str, team: str, upstream_id: str, epoch: int
    ) -> crashes.Recorded:
        self.crashes_left -= 1
        kind = quarantine.Standing
        standing = kind.SUSPECT if self.crashes_left > 0 else kind.QUARANTINED
        return crashes.Recorded(standing, True, ())

    def record_request(self, upstream_id: str, now: float) -> None:
        pass

    def try_acquire(self, upstream_id: str, now: float) -> bool:
        return True

    async def acquire(self, upstream_id: str, deadline: float) -> refusal.Refusal:
        return refusal.refuse(refusal.NO_UPSTREAM, "cold")

    async def acquire_warm(
        self, upstream_id: str, *_: object
    ) -> slots.HeldSlot | refusal.Refusal:
        if upstream_id in self.busy:
            self.busy.remove(upstream_id)
            return refusal.refuse(refusal.NO_UPSTREAM, "busy")
        return slots.HeldSlot(upstream_id, None, lambda: None)


async def refresh(upstream: table.Upstream) -> None:
    await trio.sleep(0)


async def build_dispatcher(
    nursery: trio.Nursery,
    engines: list[Engine],
    crashes_allowed: float = UNLIMITED,
    checks_allowed: float = UNLIMITED,
    busy: collections.abc.Iterable[str] = (),
) -> tuple[dispatch.Dispatcher, Router]:
    upstreams = []
    for number, engine in enumerate(engines):
        port = CLOSED_PORT
        if engine.rest != "refused":
            server = http_server.Server(engine.handle)
            port = await nursery.start(server.serve, "127.0.0.1", 0)
        inst = table.Instance(f"e{number}", table.Role.ENGINE, "127.0.0.1", port, "z")
        upstreams.append(table.Upstream(inst))
    router, limits = (
        Router(upstreams),
        PermissiveLimits(crashes_allowed, checks_allowed, busy),
    )
    by_id = {u.instance.id: e for u, e in zip(upstreams, engines, strict=True)}

    def may_send(
        upstream: table.Upstream, conn_opened_at: float, now: float
    ) -> load.Verdict:
        return by_id[upstream.instance.id].may_send(upstream, conn_opened_at, now)

    request_sender = sender.Sender(http_client.Pool(), limits, may_send, refresh)
    body_poller = poller.Poller(stream.next_pass_at)
    nursery.start_soon(body_poller.run)
    dispatcher = dispatch.Dispatcher(
        request_sender,
        router,
        limits,
        limits,
        lambda _: "salt",
        lambda *_: None,
        body_poller,
    )
    return dispatcher, router


def make_job(streamed: bool, once: bool = False, seed: int | None = 1) -> dispatch.Job:
    body = {
        "model": "m",
        "stream": streamed,
        "messages": [{"role": "user", "content": "hello"}],
        "cache_salt": "forged",
    }
    if seed is not None:
        body["seed"] = seed
    parsed = chat.parse(json.dumps(body).encode())
    assert isinstance(parsed, chat.ChatRequest)
    now = trio.current_time()
    team = contract.Contract("team", ())
    response = stream.Response("req")
    return dispatch.Job("req", team, parsed, "f", now, now + 5, response, once)


class Caller:
    """A caller's connection that must be drained after every other write."""

    def __init__(self, drained: trio.Event | None = None) -> None:
        self.received = b""
        self.writes = 0
        self.drained = drained
        self._must_drain = False

    def write_nowait(self, part: bytes) -> bool:
        assert not self._must_drain, "wrote a part before the connection was drained"
        self.received += part
        self.writes += 1
        self._must_drain = self.writes % 2 == 1
        return not self._must_drain

    async def drain(self) -> None:
        if self._must_drain and self.drained is not None:
            await self.drained.wait()
        self._must_drain = False


async def relay(dispatcher: dispatch.Dispatcher, job: dispatch.Job) -> bytes | str:
    opened = await dispatcher.open(job)
    if isinstance(opened, refusal.Refusal):
        return opened.run_state.value
    caller = Caller()
    await dispatcher.relay(job, opened, caller)
    return caller.received


STREAMS = [
    ("whole", ["none"], 1, "whole"),
    ("declined elsewhere", ["503"], 1, "whole"),
    ("other version elsewhere", ["409"], 1, "whole"),
    ("cut and resumed", ["cut"], 1, "whole"),
    ("event of another run and resumed", ["crossed"], 1, "whole"),
    ("unfinished and resumed", ["unfinished"], 1, "whole"),
    ("cut, not deterministic", ["cut"], None, "error"),
    ("all decline", ["503", "503"], 1, "not_run"),
    ("engines fail", ["500", "500"], 1, "unknown"),
]


@pytest.mark.parametrize(("name", "faults", "seed", "expected"), STREAMS)
async def test_stream_is_whole_or_ends_with_an_error(
    nursery: trio.Nursery, name: str, faults: list[str], seed: int | None, expected: str
) -> None:
    """Guards against unreported cuts, chunks of other runs and false run states."""
    engines = [Engine(faults[:1]), Engine(faults[1:])]
    dispatcher, router = await build_dispatcher(nursery, engines)
    result = await relay(dispatcher, make_job(streamed=True, seed=seed))
    if isinstance(result, str):
        assert result == expected
        return
    assert b"secret" not in result
    assert b"another" not in result
    lines = [line for line in result.split(b"\n\n") if line]
    if expected == "error":
        error = json.loads(lines[-1][6:])["error"]
        assert (error["code"], error["run_state"]) == ("upstream_lost", "ran")
        return
    assert lines[-1] == b"data: [DONE]"
    chunks = [json.loads(line[6:]) for line in lines[:-1]]
    texts = [c["choices"][0]["delta"].get("content", "") for c in chunks]
    assert "".join(texts) == "".join(WORDS)
    assert {c["id"] for c in chunks} == {"req"}
    assert len(router.completed_by) == 1


WHOLE = [
    (["none", "none"], False, "whole", 1),
    (["cut", "none"], False, "whole", 2),
    (["crossed", "none"], False, "whole", 2),
    (["cut", "none"], True, "unknown", 1),
    (["crossed", "none"], True, "unknown", 1),
    (["503", "none"], True, "whole", 1),
    (["400", "none"], False, "not_run", 0),
    (["cut", "400"], False, "unknown", 1),
]


@pytest.mark.parametrize(("faults", "once", "expected", "runs"), WHOLE)
async def test_keyed_request_is_never_run_again(
    nursery: trio.Nursery, faults: list[str], once: bool, expected: str, runs: int
) -> None:
    """Guards against a second run of a keyed request and against false run states."""
    engines = [Engine(faults[:1]), Engine(faults[1:])]
    dispatcher, _ = await build_dispatcher(nursery, engines)
    result = await dispatcher.collect(make_job(streamed=False, once=once))
    assert sum(len(engine.runs) for engine in engines) == runs
    if isinstance(result, refusal.Refusal):
        assert result.run_state.value == expected
    else:
        assert expected == "whole"
        assert result.content["id"] == "req"


@pytest.mark.parametrize("busy", [["e0"], ["e0", "e1"], ["e0", "e1"] * 2])
async def test_busy_engines_are_skipped_and_then_waited_for(
    nursery: trio.Nursery, busy: list[str]
) -> None:
    """Guards against refusals while all warm engines wait for load reports."""
    dispatcher, _ = await build_dispatcher(nursery, [Engine([]), Engine([])], busy=busy)
    assert isinstance(await relay(dispatcher, make_job(streamed=True)), bytes)


async def test_resumed_run_is_pinned_to_the_weight_version(
    nursery: trio.Nursery,
) -> None:
    """Guards against responses from two weight versions and against forged salts."""
    engines = [Engine(["cut"]), Engine([])]
    dispatcher, router = await build_dispatcher(nursery, engines)
    await relay(dispatcher, make_job(streamed=True))
    assert router.pinned_versions == ["", "w1"]
    assert engines[1].runs[0]["resume_text"] == "alpha beta "
    assert engines[1].runs[0]["cache_salt"] == "salt"


FAILURES = ["lost", "hang", "cut", "crossed", "unfinished", "500", "502", "202"]
FAULTS = ["withheld", "cold", *DECLINING_STATUSES, *FAILURES, "none"]
# The last fault of a script persists, as does the refusal of connections.
SCRIPTS = st.one_of(
    st.just(["refused"]), st.lists(st.sampled_from(FAULTS), min_size=1, max_size=2)
)
HANG_S = 0.1
SHORT_TIMES = {
    "RETRY_INTERVAL_S": 0.001,
    "ENGINE_WAIT_S": 0.02,
    "STREAM_IDLE_TIMEOUT_S": HANG_S,
}


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(
    st.lists(SCRIPTS, min_size=1, max_size=4),
    st.sampled_from(["streamed", "whole", "once"]),
    st.sampled_from(
        [(1, UNLIMITED), (2, UNLIMITED), (UNLIMITED, 2), (UNLIMITED, UNLIMITED)]
    ),
    st.sampled_from([None, 1]),
)
def test_not_run_is_said_only_if_no_engine_may_have_run(
    scripts: list[list[str]],
    form: str,
    crashes_allowed: tuple[float, float],
    seed: int | None,
) -> None:
    """Guards against a false run state after any sequence of attempts."""
    engines = [Engine(script[:-1], rest=script[-1]) for script in scripts]

    async def run_state() -> str:
        async with trio.open_nursery() as nursery:
            dispatcher, _ = await build_dispatcher(nursery, engines, *crashes_allowed)
            job = make_job(form == "streamed", form == "once", seed)
            if any("hang" in script for script in scripts):
                job.deadline = trio.current_time() + HANG_S
            result: object
            if form == "streamed":
                result = await relay(dispatcher, job)
            else:
                result = await dispatcher.collect(job)
            nursery.cancel_scope.cancel()
        if isinstance(result, refusal.Refusal):
            return result.run_state.value
        if isinstance(result, bytes) and not result.endswith(b"[DONE]\n\n"):
            return str(json.loads(result.split(b"\n\n")[-2][6:])["error"]["run_state"])
        return result if isinstance(result, str) else "whole"

    with mock.patch.multiple(dispatch, **SHORT_TIMES):
        reported_state = trio.run(run_state)
    possible_runs = sum(engine.possible_runs for engine in engines)
    assert not (reported_state == "not_run" and possible_runs)
    assert not (
        reported_state == "whole" and not any(engine.runs for engine in engines)
    )
    assert form != "once" or possible_runs <= 1
    # A request that is sent right before the deadline may not arrive.
    is_timely = not any("hang" in script for script in scripts)
    assert reported_state == "not_run" or possible_runs or not is_timely


class FloodingEngine(Engine):
    """An engine that sends as fast as its connection permits."""

    sent = 0

    async def stream(
        self, fields: dict[str, object], run_id: str, fault: str
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        for _ in range(400):
            yield delta_event(run_id, "x" * 40_000)
            self.sent += 1
        yield final_events(run_id)


async def test_reading_from_the_engine_pauses_for_a_slow_caller(
    nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against growing buffers and an aborted run when the caller is slow."""
    monkeypatch.setattr(dispatch, "STREAM_IDLE_TIMEOUT_S", 0.2)
    engine = FloodingEngine([])
    dispatcher, _ = await build_dispatcher(nursery, [engine])
    job = make_job(streamed=True)
    opened = await dispatcher.open(job)
    assert isinstance(opened, dispatch.Exchange)
    caller = Caller(drained=trio.Event())
    nursery.start_soon(dispatcher.abort_stalled_streams)
    async with trio.open_nursery() as callers:
        callers.start_soon(dispatcher.relay, job, opened, caller)
        sent = -1
        while sent < engine.sent:
            sent = engine.sent
            await trio.sleep(0.1)
        assert 0 < engine.sent < 400
        await trio.sleep(3 * dispatch.STREAM_IDLE_TIMEOUT_S)
        assert caller.writes == 1
        assert len(caller.received) <= http_client.RECEIVE_BYTES
        caller.drained.set()
    assert caller.received.endswith(b"data: [DONE]\n\n")
    assert len(job.response.text) == 400 * 40_000

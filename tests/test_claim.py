"""Scenarios of one call through the claim logic, step by step."""

import collections.abc
import dataclasses
import itertools

import pytest

from snipelug_core import claim, refusal, step

OWN = claim.Row("team", "key", "print", "n1", "p1", "s1", "", 0.0)
OTHER = dataclasses.replace(OWN, node="n2", process="p2", session="s2", nonce="x")
ANSWER = claim.Response(200, {}, b"made")
DONE = dataclasses.replace(OTHER, state=claim.State.DONE, answer=ANSWER)
RELEASED = dataclasses.replace(OTHER, state=claim.State.RELEASED)
UNKNOWN = dataclasses.replace(OTHER, state=claim.State.UNKNOWN)
RAN = dataclasses.replace(OTHER, state=claim.State.SETTLED_RAN)
OTHER_BODY = dataclasses.replace(OTHER, fingerprint="another")
MINE = dataclasses.replace(OWN, nonce="m1")
MINE_2 = dataclasses.replace(OWN, nonce="m2")
LOST = refusal.refuse(refusal.UPSTREAM_LOST, "cut", refusal.RunState.UNKNOWN)
NO_UPSTREAM = refusal.refuse(refusal.NO_UPSTREAM, "none")

SENT = claim.Delivered(ANSWER)
MINE_DONE = dataclasses.replace(DONE, nonce="m1")
# Expected step, its outcome, and its duration in seconds.
STEPS: dict[str, tuple[type, object, float]] = {
    "write": (step.Write, step.Applied("2"), 0),
    "write-10s": (step.Write, step.Applied("2"), 10),
    "write-refused": (step.Write, step.PreconditionFailed(), 0),
    "write-silent": (step.Write, step.NoAnswer("down"), 0),
    "wait": (step.Wait, None, 0),
    "read-silent": (step.Read, step.NoAnswer("down"), 0),
    "read-missing": (step.Read, step.Missing(), 0),
    "read-malformed": (step.Read, step.Malformed("bad"), 0),
    "read-mine": (step.Read, step.Found("1", MINE), 0),
    "read-mine-2": (step.Read, step.Found("2", MINE_2), 0),
    "read-mine-done": (step.Read, step.Found("2", MINE_DONE), 0),
    "read-other": (step.Read, step.Found("1", OTHER), 0),
    "read-other-body": (step.Read, step.Found("1", OTHER_BODY), 0),
    "read-done": (step.Read, step.Found("1", DONE), 0),
    "read-released": (step.Read, step.Found("1", RELEASED), 0),
    "read-unknown": (step.Read, step.Found("1", UNKNOWN), 0),
    "read-ran": (step.Read, step.Found("1", RAN), 0),
    "send": (claim.Dispatch, SENT, 0),
    "send-nothing": (claim.Dispatch, claim.NotSent(NO_UPSTREAM), 0),
    "send-lost": (claim.Dispatch, claim.OutcomeUnknown(LOST), 0),
    "ask-active": (claim.QueryStatus, claim.StatusReply(claim.Status.ACTIVE), 2),
    "ask-active-60s": (claim.QueryStatus, claim.StatusReply(claim.Status.ACTIVE), 60),
    "ask-abandoned": (claim.QueryStatus, claim.StatusReply(claim.Status.ABANDONED), 0),
    "ask-ran": (claim.QueryStatus, claim.StatusReply(claim.Status.RAN, ANSWER), 0),
    "ask-gone": (claim.QueryStatus, claim.StatusReply(claim.Status.GONE), 1),
    "ask-unreached": (claim.QueryStatus, claim.Unreachable(), 1),
    "session-lives": (claim.LookUpSession, claim.SessionMayExist(), 0),
    "session-gone": (claim.LookUpSession, claim.SessionEnded(), 0),
}
SILENCE = "wait read-silent wait read-silent"
FOREIGN = "write-refused read-other"
DONE_BY_OTHER = "ask-unreached session-gone read-done"
GONE = "ask-unreached session-gone read-other"

CASES: dict[str, tuple[str, object]] = {
    "first call": ("write send write", ANSWER),
    "store down before the claim": (
        f"write-silent {SILENCE}",
        "store_unavailable not_run",
    ),
    "claim answer lost, applied": (
        "write-silent wait read-mine send write",
        ANSWER,
    ),
    "claim answer lost, not applied": (
        "write-silent wait read-missing write send write",
        ANSWER,
    ),
    "claim answer lost, applied late": (
        "write-silent wait read-missing write-refused read-mine send write",
        ANSWER,
    ),
    "paused beyond the window": ("write-10s write", "store_unavailable not_run"),
    "not sent": ("write send-nothing write-silent", "no_upstream not_run"),
    "upstream lost": ("write send-lost write", "upstream_lost unknown"),
    "result answer lost, applied": (
        "write send write-silent wait read-mine-done",
        ANSWER,
    ),
    "result answer lost, not applied": (
        "write send write-silent wait read-silent wait read-mine write",
        ANSWER,
    ),
    "repeat after the result": ("write-refused read-done", ANSWER),
    "repeat with another body": (
        "write-refused read-other-body",
        "key_reused not_run",
    ),
    "repeat while the first runs": (f"{FOREIGN} ask-active read-other ask-ran", ANSWER),
    "repeat until its deadline": (
        f"{FOREIGN} ask-active-60s read-other",
        "in_progress unknown",
    ),
    "repeat after the first was abandoned": (
        f"{FOREIGN} ask-abandoned write send write",
        ANSWER,
    ),
    "repeat after the first was released": (
        "write-refused read-released write-silent wait read-released "
        "write-refused read-mine-2 send write",
        ANSWER,
    ),
    "repeat after the process restarted": (
        f"{FOREIGN} ask-gone read-other",
        "outcome_unknown unknown",
    ),
    "repeat after the node died": (
        f"{FOREIGN} ask-unreached session-lives read-other {GONE}",
        "outcome_unknown unknown",
    ),
    "node died after it recorded": (f"{FOREIGN} {DONE_BY_OTHER}", ANSWER),
    "outcome of the first recorded as unknown": (
        "write-refused read-unknown",
        "outcome_unknown unknown",
    ),
    "settled as run": ("write-refused read-ran", "outcome_unknown ran"),
    "another call exists, then the store is down": (
        f"write-refused read-silent {SILENCE}",
        "store_unavailable unknown",
    ),
    "row cannot be read": ("write-refused read-malformed", "outcome_unknown unknown"),
}


def play(
    script: str, ledger: claim.Ledger
) -> tuple[object, collections.abc.Iterator[str]]:
    """Run a call against scripted outcomes; all outcomes must be consumed."""
    nonces = (f"m{n}" for n in itertools.count(1))
    now = 100.0
    flow = claim.execute(claim.Call(OWN, now + 60), ledger, nonces, now)
    taken = next(flow)
    remaining = iter([STEPS[name] for name in script.split()])
    try:
        for kind, outcome, seconds in remaining:
            assert isinstance(taken, kind)
            if isinstance(taken, claim.Dispatch) and outcome == SENT:
                assert ledger.grant(taken.nonce, now)
            now += seconds
            taken = flow.send(step.Event(outcome, now))
    except StopIteration as stop:
        assert list(remaining) == []
        return stop.value, nonces
    raise AssertionError(f"the call goes on with {taken}")


@pytest.mark.parametrize(("script", "expected"), CASES.values(), ids=list(CASES))
def test_call_survives(script: str, expected: object) -> None:
    """Guards against a second execution, a false ``not_run`` and a lost answer."""
    result, _ = play(script, claim.Ledger("p1"))
    if isinstance(result, refusal.Refusal):
        assert f"{result.kind.code} {result.run_state}" == expected
    else:
        assert result == expected


@pytest.mark.parametrize(
    "name", ["store down before the claim", "paused beyond the window", "not sent"]
)
def test_abandoned_claim_is_never_granted(name: str) -> None:
    """Guards against sending after the claim was reported to others as abandoned."""
    ledger = claim.Ledger("p1")
    play(CASES[name][0], ledger)
    assert ledger.status("p1", "m1")[0] is claim.Status.ABANDONED
    assert not ledger.grant("m1", 100.0)


def test_grant_is_given_once_and_in_its_window() -> None:
    """Guards against a retry inside the dispatch, and a send after a long pause."""
    ledger = claim.Ledger("p1")
    ledger.begin("a", 0.0)
    ledger.begin("b", 0.0)
    assert ledger.grant("a", 9.9)
    assert not ledger.grant("a", 9.9)
    assert not ledger.grant("b", 10.0)
    assert not ledger.grant("c", 0.0)


def test_forgotten_claim_is_not_called_abandoned() -> None:
    """Guards against an evicted old claim that appears not to have been sent."""
    ledger = claim.Ledger("p1", limit=1)
    for nonce in ("a", "b"):
        ledger.begin(nonce, 0.0)
        ledger.abandon(nonce)
    assert ledger.status("p1", "a")[0] is claim.Status.FORGOTTEN
    assert ledger.status("p1", "b")[0] is claim.Status.ABANDONED
    assert ledger.status("p0", "b")[0] is claim.Status.GONE


def test_dispatch_that_denies_a_granted_send_is_unclear() -> None:
    """Guards against ``not_run`` for a call whose send had been granted."""
    ledger = claim.Ledger("p1")
    flow = claim.execute(claim.Call(OWN, 60.0), ledger, iter(["m1"]), 0.0)
    next(flow)
    flow.send(step.Event(step.Applied("1"), 0.0))
    assert ledger.grant("m1", 0.0)
    write = flow.send(step.Event(claim.NotSent(NO_UPSTREAM), 0.0))
    assert isinstance(write, step.Write)
    with pytest.raises(StopIteration) as stop:
        flow.send(step.Event(step.Applied("2"), 0.0))
    assert stop.value.value.run_state is refusal.RunState.UNKNOWN


SETTLEMENTS = [
    (OTHER, True, 60.0, claim.State.RELEASED),
    (OTHER, True, 59.0, claim.TooEarly(1.0)),
    (OTHER, False, 600.0, claim.NotSettleable),
    (UNKNOWN, False, 60.0, claim.State.RELEASED),
    (DONE, True, 600.0, claim.NotSettleable),
    (RELEASED, True, 600.0, claim.NotSettleable),
]


@pytest.mark.parametrize(("row", "session_gone", "wall", "expected"), SETTLEMENTS)
def test_settlement(
    row: claim.Row, session_gone: bool, wall: float, expected: object
) -> None:
    """Guards against settling a claim whose call may still be sent."""
    verdict = claim.Verdict.NOT_RUN
    result = claim.settle(row, verdict, session_gone, wall, "operator")
    if isinstance(result, claim.Row):
        assert result.state is expected
    elif isinstance(result, claim.TooEarly):
        assert result == expected
    else:
        assert isinstance(result, claim.NotSettleable)
        assert expected is claim.NotSettleable

"""At-most-once execution of calls that carry an idempotency key.

A claim row is written before anything is sent. ``execute`` decides one call;
its driver performs the yielded steps. ``Ledger`` is the node's memory of its
own claims and grants the one permission to send.
"""

import collections
import collections.abc
import dataclasses
import enum
import hashlib

from snipelug_core import hashing, refusal, step

TABLE = "claims"

SEND_WINDOW_S = 10.0
"""Time from the first write of a claim in which its call may be sent."""

SETTLE_AGE_S = 60.0
"""Age from which an operator may settle a claim: the send window plus 50 s for
a process paused between its last check and the send."""

RETENTION_S = 7 * 24 * 3600.0
"""Age from which a finished claim is deleted; its key is then free again."""

MAX_UNANSWERED_CLAIM_STEPS = 3
"""Store operations without an answer after which a claim is abandoned."""

CLAIM_RETRY_S = 0.2
RECORD_RETRY_MIN_S = 0.2
RECORD_RETRY_MAX_S = 5.0
STATUS_WAIT_S = 2.0
"""Longest time that a claiming node is asked to wait before it answers."""

STATUS_POLL_INTERVAL_S = 0.5
"""Time between two questions to a claiming node that cannot be reached."""

MAX_FINISHED_CLAIMS = 65_536
"""Most finished claims remembered; forgotten ones are never called abandoned."""


class State(enum.StrEnum):
    """State of a claim row."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"
    SETTLED_RAN = "settled_ran"


@dataclasses.dataclass(frozen=True)
class Response:
    """The answer of the upstream to the one execution.

    Attributes
    ----------
    object_key : str
        Where the body is kept in the object store; empty if it is in ``body``.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    object_key: str = ""


@dataclasses.dataclass(frozen=True)
class Row:
    """A row of the table ``claims``.

    Attributes
    ----------
    process : str
        Incarnation of the claiming process.
    session : str
        Session that the claiming node held when it claimed.
    nonce : str
        Identifies the attempt; a new one for each attempt.
    claimed_wall : float
        Wall clock of the claiming node, for operators, in seconds.
    """

    team: str
    key: str
    fingerprint: str
    node: str
    process: str
    session: str
    nonce: str
    claimed_wall: float
    state: State = State.CLAIMED
    answer: Response | None = None
    note: str = ""


@dataclasses.dataclass(frozen=True)
class Call:
    """One call with an idempotency key, at the node that received it.

    Attributes
    ----------
    claim : Row
        The row that this attempt writes.
    deadline : float
        Monotonic time until which the caller waits, in seconds.
    """

    claim: Row
    deadline: float

    @property
    def row_key(self) -> str:
        """Key of the claim row."""
        return row_key(self.claim.team, self.claim.key)


def row_key(team: str, key: str) -> str:
    """Return the row key; the caller's key is hashed because any text is allowed."""
    digest = hashlib.blake2b(key.encode(), digest_size=16).hexdigest()
    return f"{team}:{digest}"


def fingerprint(method: str, target: str, body: bytes) -> str:
    """Return a digest that tells whether two calls ask for the same thing."""
    return hashing.keyed_digest(b"", method.encode(), target.encode(), body).hex()


class Status(enum.StrEnum):
    """What the claiming process knows of one of its claims."""

    ACTIVE = "active"
    SENT = "sent"
    ABANDONED = "abandoned"
    RAN = "ran"
    UNKNOWN = "unknown"
    RECORDED = "recorded"
    FORGOTTEN = "forgotten"
    GONE = "gone"


FINISHED = frozenset({Status.ABANDONED, Status.RECORDED})


@dataclasses.dataclass
class _Entry:
    status: Status
    send_before: float
    answer: Response | None = None


class Ledger:
    """The claims of one process, by nonce.

    Parameters
    ----------
    process : str
        Incarnation of this process.
    """

    def __init__(self, process: str, limit: int = MAX_FINISHED_CLAIMS) -> None:
        self.process = process
        self._limit = limit
        self._entries: dict[str, _Entry] = {}
        self._finished: collections.deque[str] = collections.deque()

    def begin(self, nonce: str, now: float) -> None:
        """Note a claim before its first write is sent."""
        self._entries[nonce] = _Entry(Status.ACTIVE, now + SEND_WINDOW_S)

    def grant(self, nonce: str, now: float) -> bool:
        """Permit the send, at most once for a nonce and only in its window.

        Call it as the last step before the first byte is sent.
        """
        entry = self._entries.get(nonce)
        if entry is None or entry.status is not Status.ACTIVE:
            return False
        if now >= entry.send_before:
            return False
        entry.status = Status.SENT
        return True

    def in_window(self, nonce: str, now: float) -> bool:
        """Tell whether the send may still be granted."""
        entry = self._entries[nonce]
        return entry.status is Status.ACTIVE and now < entry.send_before

    def abandon(self, nonce: str) -> bool:
        """Give the claim up for ever; False if its send was granted."""
        entry = self._entries[nonce]
        if entry.status is Status.SENT:
            return False
        self._finish(nonce, Status.ABANDONED)
        return True

    def mark_ran(self, nonce: str, answer: Response) -> None:
        """Note the answer, which is not recorded yet."""
        entry = self._entries[nonce]
        entry.status = Status.RAN
        entry.answer = answer

    def mark_unknown(self, nonce: str) -> None:
        """Note that bytes were sent and no complete answer came."""
        self._entries[nonce].status = Status.UNKNOWN

    def mark_recorded(self, nonce: str) -> None:
        """Note that the row holds the outcome."""
        self._finish(nonce, Status.RECORDED)

    def status(self, process: str, nonce: str) -> tuple[Status, Response | None]:
        """Return what is known of a claim, and its answer if not recorded yet."""
        if process != self.process:
            return Status.GONE, None
        entry = self._entries.get(nonce)
        if entry is None:
            return Status.FORGOTTEN, None
        return entry.status, entry.answer

    def unfinished(self) -> int:
        """Return the number of claims that are neither recorded nor abandoned."""
        return len(self._entries) - len(self._finished)

    def _finish(self, nonce: str, status: Status) -> None:
        entry = self._entries[nonce]
        if entry.status in FINISHED:
            return
        entry.status = status
        entry.answer = None
        self._finished.append(nonce)
        while len(self._finished) > self._limit:
            del self._entries[self._finished.popleft()]


@dataclasses.dataclass(frozen=True)
class Dispatch:
    """Send the call; the last check must be ``Ledger.grant``."""

    nonce: str


@dataclasses.dataclass(frozen=True)
class Delivered:
    """The upstream answered in full."""

    answer: Response


@dataclasses.dataclass(frozen=True)
class NotSent:
    """No byte was sent."""

    refusal: refusal.Refusal


@dataclasses.dataclass(frozen=True)
class OutcomeUnknown:
    """Bytes were sent and no complete answer came back."""

    refusal: refusal.Refusal


@dataclasses.dataclass(frozen=True)
class QueryStatus:
    """Ask a process for the status of its claim."""

    node: str
    process: str
    nonce: str
    wait_s: float


@dataclasses.dataclass(frozen=True)
class StatusReply:
    """What the claiming process, or its successor on the node, answered."""

    status: Status
    answer: Response | None = None


@dataclasses.dataclass(frozen=True)
class Unreachable:
    """The claiming process did not answer."""


@dataclasses.dataclass(frozen=True)
class LookUpSession:
    """Find out whether a session row exists."""

    session: str


@dataclasses.dataclass(frozen=True)
class SessionMayExist:
    """The session row exists, or the store did not tell."""


@dataclasses.dataclass(frozen=True)
class SessionEnded:
    """The session was revoked or removed."""


@dataclasses.dataclass(frozen=True)
class ReportViolation:
    """Tell operators that a rule was broken from outside; has no outcome."""

    message: str


Step = (
    step.Write
    | step.Read
    | step.Wait
    | Dispatch
    | QueryStatus
    | LookUpSession
    | ReportViolation
)
Result = Response | refusal.Refusal
Flow = collections.abc.Generator[Step, step.Event, Result]


@dataclasses.dataclass(frozen=True)
class _Claimed:
    version: str
    now: float


@dataclasses.dataclass(frozen=True)
class _HeldByOther:
    """Another attempt's row is there."""

    version: str
    row: Row
    now: float


@dataclasses.dataclass(frozen=True)
class _Free:
    """The row may be taken over with this precondition."""

    expect: step.Precondition
    now: float


def execute(
    call: Call, ledger: Ledger, nonces: collections.abc.Iterator[str], now: float
) -> Flow:
    """Decide one call.

    Parameters
    ----------
    call : Call
        The call; the nonce of ``call.claim`` is replaced for each claim.
    ledger : Ledger
        Claims of this process.
    nonces : iterator of str
        Yields a fresh nonce for each claim.
    now : float
        Monotonic time, in seconds.

    Returns
    -------
    Answer or Refusal
        By ``return``; steps are yielded and events sent in. A refusal says
        ``not_run`` only if this attempt sent nothing and never will.
    """
    expect: step.Precondition = step.ABSENT
    while True:
        mine = dataclasses.replace(call.claim, nonce=next(nonces))
        ledger.begin(mine.nonce, now)
        claimed = yield from _write_claim(call, mine, expect, ledger)
        if isinstance(claimed, refusal.Refusal):
            return claimed
        if isinstance(claimed, _Claimed):
            return (yield from _dispatch_claimed(call, mine, claimed, ledger))
        resolved = yield from _resolve_other(call, claimed)
        if not isinstance(resolved, _Free):
            return resolved
        expect = resolved.expect
        now = resolved.now


def _write_claim(
    call: Call, mine: Row, expect: step.Precondition, ledger: Ledger
) -> collections.abc.Generator[
    Step, step.Event, _Claimed | _HeldByOther | refusal.Refusal
]:
    """Write the claim; on a lost answer read back and compare the nonce."""
    silent = 0
    contested = False
    writing = True
    while True:
        if writing:
            event = yield step.Write(TABLE, call.row_key, mine, expect)
        else:
            event = yield step.Read(TABLE, call.row_key, Row)
        match event.outcome:
            case step.Applied(version):
                return _Claimed(version, event.now)
            case step.Found(version, row):
                if row.nonce == mine.nonce and row.state is State.CLAIMED:
                    return _Claimed(version, event.now)
                if version != expect:
                    ledger.abandon(mine.nonce)
                    return _HeldByOther(version, row, event.now)
                # The row to take over is unchanged. A late effect of the first
                # write and this one exclude each other by the row version.
                writing = True
            case step.Missing():
                expect = step.ABSENT
                writing = True
            case step.PreconditionFailed():
                contested = True
                writing = False
            case step.Malformed(reason):
                ledger.abandon(mine.nonce)
                return _unreadable(reason)
            case step.NoAnswer(reason):
                silent += 1
                if silent < MAX_UNANSWERED_CLAIM_STEPS:
                    event = yield step.Wait(CLAIM_RETRY_S * silent)
                if silent >= MAX_UNANSWERED_CLAIM_STEPS:
                    ledger.abandon(mine.nonce)
                    return _store_unavailable(reason, contested)
                writing = False
        if not ledger.in_window(mine.nonce, event.now):
            ledger.abandon(mine.nonce)
            return _store_unavailable("the claim took too long", contested)


def _dispatch_claimed(call: Call, mine: Row, claimed: _Claimed, ledger: Ledger) -> Flow:
    """Send the claimed call, then record its outcome."""
    if not ledger.in_window(mine.nonce, claimed.now):
        reason = f"the claim was not complete within {SEND_WINDOW_S:g} s"
        refused = refusal.refuse(refusal.STORE_UNAVAILABLE, reason)
        return (yield from _release_claim(call, mine, claimed, ledger, refused))
    if claimed.now >= call.deadline:
        reason = "the deadline passed before the call was sent"
        refused = refusal.refuse(refusal.DEADLINE_UNREACHABLE, reason)
        return (yield from _release_claim(call, mine, claimed, ledger, refused))
    event = yield Dispatch(mine.nonce)
    match event.outcome:
        case Delivered(answer):
            ledger.mark_ran(mine.nonce, answer)
            row = dataclasses.replace(mine, state=State.DONE, answer=answer)
            yield from _record_outcome(call, row, claimed.version, ledger)
            return answer
        case NotSent(refused):
            if ledger.status(ledger.process, mine.nonce)[0] is Status.ACTIVE:
                return (yield from _release_claim(call, mine, claimed, ledger, refused))
            # The last check granted the send, so bytes may have left.
            refused = as_possibly_run(refused)
        case OutcomeUnknown(refused):
            refused = as_possibly_run(refused)
        case other:
            raise AssertionError(f"unexpected outcome of a dispatch: {other!r}")
    ledger.mark_unknown(mine.nonce)
    note = refused.message
    row = dataclasses.replace(mine, state=State.UNKNOWN, note=note)
    yield from _record_outcome(call, row, claimed.version, ledger)
    return refused


def _release_claim(
    call: Call, mine: Row, claimed: _Claimed, ledger: Ledger, refused: refusal.Refusal
) -> Flow:
    """Abandon a claim that was not sent and free its row."""
    ledger.abandon(mine.nonce)
    row = dataclasses.replace(mine, state=State.RELEASED, note=refused.message)
    # If this write fails, later callers ask this process and hear "abandoned".
    yield step.Write(TABLE, call.row_key, row, claimed.version)
    return refused


def _record_outcome(
    call: Call, row: Row, version: str, ledger: Ledger
) -> collections.abc.Generator[Step, step.Event, None]:
    """Write the outcome until it is known to be stored.

    There is no limit of attempts: claims need the store, so during an outage
    only the calls that were running at its start wait here.
    """
    expect: step.Precondition = version
    delay_s = RECORD_RETRY_MIN_S
    writing = True
    while True:
        if writing:
            event = yield step.Write(TABLE, call.row_key, row, expect)
        else:
            event = yield step.Read(TABLE, call.row_key, Row)
        match event.outcome:
            case step.Applied():
                break
            case step.Found(_, found) if found.nonce != row.nonce:
                yield ReportViolation(
                    f"claim {call.row_key} was taken over while it ran"
                )
                break
            case step.Found(_, found) if found.state is row.state:
                break
            case step.Found(found_version, _):
                # Unchanged, or settled by an operator meanwhile: what this
                # process knows replaces what the operator assumed.
                expect = found_version
                writing = True
            case step.Missing():
                expect = step.ABSENT
                writing = True
            case step.Malformed(reason):
                yield ReportViolation(f"claim {call.row_key} cannot be read: {reason}")
                break
            case step.NoAnswer():
                yield step.Wait(delay_s)
                delay_s = min(delay_s * 2, RECORD_RETRY_MAX_S)
                writing = False
            case _:
                writing = False
    ledger.mark_recorded(row.nonce)


def _resolve_other(
    call: Call, taken: _HeldByOther
) -> collections.abc.Generator[Step, step.Event, _Free | Result]:
    """Find out what became of another attempt, until the caller's deadline."""
    version, row, now = taken.version, taken.row, taken.now
    claimant_is_gone = False
    while True:
        if row.fingerprint != call.claim.fingerprint:
            reason = "the idempotency key was used for another request"
            return refusal.refuse(refusal.KEY_REUSED, reason)
        match row.state:
            case State.RELEASED:
                return _Free(version, now)
            case State.DONE if row.answer is not None:
                return row.answer
            case State.SETTLED_RAN:
                reason = f"settled by an operator as run: {row.note}"
                return _outcome_unknown(reason, refusal.RunState.RAN)
            case State.CLAIMED if not claimant_is_gone:
                pass
            case State.CLAIMED:
                reason = f"node {row.node} stopped while it ran this key"
                return _outcome_unknown(reason)
            case _:
                reason = f"the outcome of the first attempt is unknown: {row.note}"
                return _outcome_unknown(reason)
        if now >= call.deadline:
            reason = "an earlier call with this key did not end before the deadline"
            state = refusal.RunState.UNKNOWN
            return refusal.refuse(refusal.IN_PROGRESS, reason, state)
        asked_at = now
        wait_s = min(STATUS_WAIT_S, call.deadline - now)
        event = yield QueryStatus(row.node, row.process, row.nonce, wait_s)
        match event.outcome:
            case StatusReply(Status.ABANDONED):
                return _Free(version, event.now)
            case StatusReply(Status.RAN, answer) if answer is not None:
                return answer
            case StatusReply(Status.UNKNOWN):
                reason = "the outcome of the first attempt is unknown"
                return _outcome_unknown(reason)
            case StatusReply(Status.GONE | Status.FORGOTTEN | Status.RECORDED):
                # Only a row that is still unchanged when it is read again
                # shows that no outcome will come.
                claimant_is_gone = True
            case Unreachable():
                event = yield LookUpSession(row.session)
                claimant_is_gone = isinstance(event.outcome, SessionEnded)
        if not claimant_is_gone and event.now - asked_at < STATUS_POLL_INTERVAL_S:
            yield step.Wait(
                min(STATUS_POLL_INTERVAL_S, max(0.0, call.deadline - event.now))
            )
        event = yield step.Read(TABLE, call.row_key, Row)
        now = event.now
        match event.outcome:
            case step.Found(found_version, found):
                # What was heard concerns the nonce that was asked for.
                claimant_is_gone = claimant_is_gone and found.nonce == row.nonce
                version, row = found_version, found
            case step.Malformed(reason):
                return _unreadable(reason)
            case step.Missing():
                return _outcome_unknown("the claim was removed while it was read")
            case _:
                claimant_is_gone = False


def as_possibly_run(refused: refusal.Refusal) -> refusal.Refusal:
    """Correct a refusal of a call whose bytes may have left: never ``not_run``."""
    if refused.run_state is refusal.RunState.NOT_RUN:
        return dataclasses.replace(refused, run_state=refusal.RunState.UNKNOWN)
    return refused


def _outcome_unknown(
    reason: str, state: refusal.RunState = refusal.RunState.UNKNOWN
) -> refusal.Refusal:
    return refusal.refuse(refusal.OUTCOME_UNKNOWN, reason, state)


def _unreadable(reason: str) -> refusal.Refusal:
    return _outcome_unknown(f"the claim row cannot be read: {reason}")


def _store_unavailable(reason: str, contested: bool) -> refusal.Refusal:
    if contested:
        text = f"another call with this key exists and cannot be read: {reason}"
        state = refusal.RunState.UNKNOWN
        return refusal.refuse(refusal.STORE_UNAVAILABLE, text, state)
    text = f"this call was not claimed and not run: {reason}"
    return refusal.refuse(refusal.STORE_UNAVAILABLE, text)


class Verdict(enum.StrEnum):
    """What an operator found out about a claim left unknown."""

    RAN = "ran"
    NOT_RUN = "not_run"


@dataclasses.dataclass(frozen=True)
class TooEarly:
    """The claim may be settled after this time, in seconds."""

    wait_s: float


@dataclasses.dataclass(frozen=True)
class NotSettleable:
    """The claim is not left unknown."""

    reason: str


def settle(
    row: Row, verdict: Verdict, session_ended: bool, wall: float, note: str
) -> Row | TooEarly | NotSettleable:
    """Return the row that settles a claim.

    Parameters
    ----------
    row : Row
        The claim as last read; write the result only over that version.
    verdict : Verdict
        What the operator found out at the upstream.
    session_gone : bool
        The claiming session was revoked or removed.
    wall : float
        Wall clock, in seconds.
    note : str
        Kept in the row, for example the operator's name.
    """
    if not needs_operator(row, session_ended):
        return NotSettleable(_why_not_open(row))
    age_s = wall - row.claimed_wall
    if age_s < SETTLE_AGE_S:
        return TooEarly(SETTLE_AGE_S - age_s)
    state = State.SETTLED_RAN if verdict is Verdict.RAN else State.RELEASED
    return dataclasses.replace(row, state=state, note=note)


def is_expired(row: Row, wall: float) -> bool:
    """Tell whether a finished claim may be deleted; unsettled ones never are."""
    finished = row.state in (State.DONE, State.RELEASED, State.SETTLED_RAN)
    return finished and wall - row.claimed_wall > RETENTION_S


def needs_operator(row: Row, session_ended: bool) -> bool:
    """Tell whether only an operator can settle the claim."""
    if row.state is State.UNKNOWN:
        # Recorded by the claimant itself, which never sends again.
        return True
    return row.state is State.CLAIMED and session_ended


def _why_not_open(row: Row) -> str:
    if row.state is State.CLAIMED:
        return f"node {row.node} still holds its session and may settle the claim"
    return f"the claim is {row.state.value}"

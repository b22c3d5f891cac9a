"""At-most-once execution of calls that carry an idempotency key.

A claim row is written before anything is sent. ``execute`` decides one call as a
generator of steps, which its driver performs. ``Ledger`` keeps the claims of this
process and permits each call to be sent at most once.
"""

import collections
import collections.abc
import dataclasses
import enum
import hashlib

from snipelug_core import hashing, refusal, step

TABLE = "claims"

SEND_WINDOW_S = 10.0
"""Time in seconds, from the first write of a claim, in which its call may be sent."""

SETTLE_AGE_S = 60.0
"""Age in seconds from which an operator may settle a claim: the send window plus
50 s for a process that was paused between its last check and the send."""

RETENTION_S = 7 * 24 * 3600.0
"""Age in seconds after which a finished claim is deleted and its key may be reused."""

MAX_UNANSWERED_CLAIM_STEPS = 3
"""Number of unanswered store operations after which a claim is abandoned."""

CLAIM_RETRY_S = 0.2
RECORD_RETRY_MIN_S = 0.2
RECORD_RETRY_MAX_S = 5.0
STATUS_WAIT_S = 2.0
"""Longest time in seconds that a claiming node may wait before reporting a status."""

STATUS_POLL_INTERVAL_S = 0.5
"""Interval between two status queries to an unreachable claiming node, in seconds."""

MAX_FINISHED_CLAIMS = 65_536
"""Maximum number of finished claims kept; evicted ones never count as abandoned."""


class State(enum.StrEnum):
    """State of a claim row."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"
    SETTLED_RAN = "settled_ran"


@dataclasses.dataclass(frozen=True)
class Response:
    """The upstream's response to the only execution of a call.

    Attributes
    ----------
    object_key : str
        Object store key of the body; empty if the body is in ``body``.
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
        Identifies the attempt; unique for each attempt.
    claimed_wall : float
        Wall-clock time of the claiming node in seconds, for operators.
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
    """A call with an idempotency key, at the node that received it.

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
    """Return the row key; it hashes the caller's key, which may contain any text."""
    digest = hashlib.blake2b(key.encode(), digest_size=16).hexdigest()
    return f"{team}:{digest}"


def fingerprint(method: str, target: str, body: bytes) -> str:
    """Return a digest that is equal for two calls only if their requests are equal."""
    return hashing.keyed_digest(b"", method.encode(), target.encode(), body).hex()


class Status(enum.StrEnum):
    """State of a claim as known to the claiming process."""

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
        """Add a claim; call it before the claim's first write is sent."""
        self._entries[nonce] = _Entry(Status.ACTIVE, now + SEND_WINDOW_S)

    def grant(self, nonce: str, now: float) -> bool:
        """Permit the send, at most once for a nonce and only within its send window.

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
        """Return whether the send may still be granted."""
        entry = self._entries[nonce]
        return entry.status is Status.ACTIVE and now < entry.send_before

    def abandon(self, nonce: str) -> bool:
        """Abandon the claim permanently; return False if its send was granted."""
        entry = self._entries[nonce]
        if entry.status is Status.SENT:
            return False
        self._finish(nonce, Status.ABANDONED)
        return True

    def mark_ran(self, nonce: str, answer: Response) -> None:
        """Store the response until the claim row records it."""
        entry = self._entries[nonce]
        entry.status = Status.RAN
        entry.answer = answer

    def mark_unknown(self, nonce: str) -> None:
        """Mark the claim as sent without a complete response."""
        self._entries[nonce].status = Status.UNKNOWN

    def mark_recorded(self, nonce: str) -> None:
        """Mark the outcome as stored in the claim row."""
        self._finish(nonce, Status.RECORDED)

    def status(self, process: str, nonce: str) -> tuple[Status, Response | None]:
        """Return the status of a claim, and its response if not recorded yet."""
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
    """Send the call; the driver's last check must be ``Ledger.grant``."""

    nonce: str


@dataclasses.dataclass(frozen=True)
class Delivered:
    """The upstream's response was received completely."""

    answer: Response


@dataclasses.dataclass(frozen=True)
class NotSent:
    """No byte was sent."""

    refusal: refusal.Refusal


@dataclasses.dataclass(frozen=True)
class OutcomeUnknown:
    """Bytes were sent, but no complete response was received."""

    refusal: refusal.Refusal


@dataclasses.dataclass(frozen=True)
class QueryStatus:
    """Query the claiming process for the status of its claim."""

    node: str
    process: str
    nonce: str
    wait_s: float


@dataclasses.dataclass(frozen=True)
class StatusReply:
    """Reply of the claiming process, or of its successor on the node."""

    status: Status
    answer: Response | None = None


@dataclasses.dataclass(frozen=True)
class Unreachable:
    """The claiming process did not answer."""


@dataclasses.dataclass(frozen=True)
class LookUpSession:
    """Look up whether a session row exists."""

    session: str


@dataclasses.dataclass(frozen=True)
class SessionMayExist:
    """The session row exists, or the store gave no usable answer."""


@dataclasses.dataclass(frozen=True)
class SessionEnded:
    """The session was revoked or removed."""


@dataclasses.dataclass(frozen=True)
class ReportViolation:
    """Alert operators that an external change broke a claim rule; has no outcome."""

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
    """The row belongs to another attempt."""

    version: str
    row: Row
    now: float


@dataclasses.dataclass(frozen=True)
class _Free:
    """The row may be taken over under this precondition."""

    expect: step.Precondition
    now: float


def execute(
    call: Call, ledger: Ledger, nonces: collections.abc.Iterator[str], now: float
) -> Flow:
    """Execute one call.

    Parameters
    ----------
    call : Call
        The call; each claim replaces the nonce of ``call.claim``.
    ledger : Ledger
        Claims of this process.
    nonces : iterator of str
        Yields a new nonce for each claim.
    now : float
        Monotonic time, in seconds.

    Returns
    -------
    Response or Refusal
        The generator's return value; it yields steps and is sent events. A refusal
        says ``not_run`` only if this attempt has sent nothing and never will.
    """
    expect: step.Precondition = step.ABSENT
    while True:
        own_row = dataclasses.replace(call.claim, nonce=next(nonces))
        ledger.begin(own_row.nonce, now)
        claimed = yield from _write_claim(call, own_row, expect, ledger)
        if isinstance(claimed, refusal.Refusal):
            return claimed
        if isinstance(claimed, _Claimed):
            return (yield from _dispatch_claimed(call, own_row, claimed, ledger))
        resolved = yield from _resolve_other(call, claimed)
        if not isinstance(resolved, _Free):
            return resolved
        expect = resolved.expect
        now = resolved.now


def _write_claim(
    call: Call, own_row: Row, expect: step.Precondition, ledger: Ledger
) -> collections.abc.Generator[
    Step, step.Event, _Claimed | _HeldByOther | refusal.Refusal
]:
    """Write the claim; if the answer is lost, read the row and compare the nonce."""
    unanswered = 0
    key_in_use = False
    writing = True
    while True:
        if writing:
            event = yield step.Write(TABLE, call.row_key, own_row, expect)
        else:
            event = yield step.Read(TABLE, call.row_key, Row)
        match event.outcome:
            case step.Applied(version):
                return _Claimed(version, event.now)
            case step.Found(version, row):
                if row.nonce == own_row.nonce and row.state is State.CLAIMED:
                    return _Claimed(version, event.now)
                if version != expect:
                    ledger.abandon(own_row.nonce)
                    return _HeldByOther(version, row, event.now)
                # The row to take over is unchanged. If the first write still takes
                # effect later, the row version lets only one of the two succeed.
                writing = True
            case step.Missing():
                expect = step.ABSENT
                writing = True
            case step.PreconditionFailed():
                key_in_use = True
                writing = False
            case step.Malformed(reason):
                ledger.abandon(own_row.nonce)
                return _unreadable(reason)
            case step.NoAnswer(reason):
                unanswered += 1
                if unanswered < MAX_UNANSWERED_CLAIM_STEPS:
                    event = yield step.Wait(CLAIM_RETRY_S * unanswered)
                if unanswered >= MAX_UNANSWERED_CLAIM_STEPS:
                    ledger.abandon(own_row.nonce)
                    return _store_unavailable(reason, key_in_use)
                writing = False
        if not ledger.in_window(own_row.nonce, event.now):
            ledger.abandon(own_row.nonce)
            return _store_unavailable("writing the claim took too long", key_in_use)


def _dispatch_claimed(
    call: Call, own_row: Row, claimed: _Claimed, ledger: Ledger
) -> Flow:
    """Send the claimed call, then record its outcome."""
    if not ledger.in_window(own_row.nonce, claimed.now):
        reason = f"the claim was not written within {SEND_WINDOW_S:g} s"
        refused = refusal.refuse(refusal.STORE_UNAVAILABLE, reason)
        return (yield from _release_claim(call, own_row, claimed, ledger, refused))
    if claimed.now >= call.deadline:
        reason = "the deadline passed before the call was sent"
        refused = refusal.refuse(refusal.DEADLINE_UNREACHABLE, reason)
        return (yield from _release_claim(call, own_row, claimed, ledger, refused))
    event = yield Dispatch(own_row.nonce)
    match event.outcome:
        case Delivered(answer):
            ledger.mark_ran(own_row.nonce, answer)
            row = dataclasses.replace(own_row, state=State.DONE, answer=answer)
            yield from _record_outcome(call, row, claimed.version, ledger)
            return answer
        case NotSent(refused):
            if ledger.status(ledger.process, own_row.nonce)[0] is Status.ACTIVE:
                return (
                    yield from _release_claim(call, own_row, claimed, ledger, refused)
                )
            # The send was granted, so bytes may have been sent.
            refused = as_possibly_run(refused)
        case OutcomeUnknown(refused):
            refused = as_possibly_run(refused)
        case other:
            raise AssertionError(f"unexpected outcome of a dispatch: {other!r}")
    ledger.mark_unknown(own_row.nonce)
    note = refused.message
    row = dataclasses.replace(own_row, state=State.UNKNOWN, note=note)
    yield from _record_outcome(call, row, claimed.version, ledger)
    return refused


def _release_claim(
    call: Call,
    own_row: Row,
    claimed: _Claimed,
    ledger: Ledger,
    refused: refusal.Refusal,
) -> Flow:
    """Abandon a claim that was not sent and release its row."""
    ledger.abandon(own_row.nonce)
    row = dataclasses.replace(own_row, state=State.RELEASED, note=refused.message)
    # If this write fails, this process still reports the claim as abandoned.
    yield step.Write(TABLE, call.row_key, row, claimed.version)
    return refused


def _record_outcome(
    call: Call, row: Row, version: str, ledger: Ledger
) -> collections.abc.Generator[Step, step.Event, None]:
    """Write the outcome, retrying until it is known to be stored.

    The number of attempts is unlimited: new claims need the store, so during an outage
    only the calls that were running when it began wait here.
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
                    f"claim {call.row_key} was taken over while its call was running"
                )
                break
            case step.Found(_, found) if found.state is row.state:
                break
            case step.Found(found_version, _):
                # Either unchanged or settled by an operator in the meantime: this
                # process knows the outcome, so it overrides the operator.
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
    """Determine the outcome of another attempt, until the caller's deadline."""
    version, row, now = taken.version, taken.row, taken.now
    claimant_gone = False
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
            case State.CLAIMED if not claimant_gone:
                pass
            case State.CLAIMED:
                reason = f"node {row.node} stopped while it ran the call with this key"
                return _outcome_unknown(reason)
            case _:
                reason = f"the outcome of the first attempt is unknown: {row.note}"
                return _outcome_unknown(reason)
        if now >= call.deadline:
            reason = "an earlier call with this key did not finish before the deadline"
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
                # The outcome may have been recorded meanwhile. Only if the row is
                # unchanged when read again will no outcome follow.
                claimant_gone = True
            case Unreachable():
                event = yield LookUpSession(row.session)
                claimant_gone = isinstance(event.outcome, SessionEnded)
        if not claimant_gone and event.now - asked_at < STATUS_POLL_INTERVAL_S:
            yield step.Wait(
                min(STATUS_POLL_INTERVAL_S, max(0.0, call.deadline - event.now))
            )
        event = yield step.Read(TABLE, call.row_key, Row)
        now = event.now
        match event.outcome:
            case step.Found(found_version, found):
                # The reply applies only to the nonce that was queried.
                claimant_gone = claimant_gone and found.nonce == row.nonce
                version, row = found_version, found
            case step.Malformed(reason):
                return _unreadable(reason)
            case step.Missing():
                return _outcome_unknown(
                    "the claim row was deleted before its outcome was known"
                )
            case _:
                claimant_gone = False


def as_possibly_run(refused: refusal.Refusal) -> refusal.Refusal:
    """Return the refusal of a call that may have been sent: never ``not_run``."""
    if refused.run_state is refusal.RunState.NOT_RUN:
        return dataclasses.replace(refused, run_state=refusal.RunState.UNKNOWN)
    return refused


def _outcome_unknown(
    reason: str, state: refusal.RunState = refusal.RunState.UNKNOWN
) -> refusal.Refusal:
    return refusal.refuse(refusal.OUTCOME_UNKNOWN, reason, state)


def _unreadable(reason: str) -> refusal.Refusal:
    return _outcome_unknown(f"the claim row cannot be read: {reason}")


def _store_unavailable(reason: str, key_in_use: bool) -> refusal.Refusal:
    if key_in_use:
        text = f"another call with this key exists and cannot be read: {reason}"
        state = refusal.RunState.UNKNOWN
        return refusal.refuse(refusal.STORE_UNAVAILABLE, text, state)
    text = f"this call was not claimed and not run: {reason}"
    return refusal.refuse(refusal.STORE_UNAVAILABLE, text)


class Verdict(enum.StrEnum):
    """An operator's finding about a claim with an unknown outcome."""

    RAN = "ran"
    NOT_RUN = "not_run"


@dataclasses.dataclass(frozen=True)
class TooEarly:
    """The claim may be settled only after this time, in seconds."""

    wait_s: float


@dataclasses.dataclass(frozen=True)
class NotSettleable:
    """The claim does not need an operator to settle it."""

    reason: str


def settle(
    row: Row, verdict: Verdict, session_ended: bool, wall: float, note: str
) -> Row | TooEarly | NotSettleable:
    """Return the row that settles a claim.

    Parameters
    ----------
    row : Row
        The claim as last read; the result may replace only that row version.
    verdict : Verdict
        What the operator found at the upstream.
    session_ended : bool
        The claiming session was revoked or removed.
    wall : float
        Wall-clock time, in seconds.
    note : str
        Stored in the row, for example the operator's name.
    """
    if not needs_operator(row, session_ended):
        return NotSettleable(_why_not_open(row))
    age_s = wall - row.claimed_wall
    if age_s < SETTLE_AGE_S:
        return TooEarly(SETTLE_AGE_S - age_s)
    state = State.SETTLED_RAN if verdict is Verdict.RAN else State.RELEASED
    return dataclasses.replace(row, state=state, note=note)


def is_expired(row: Row, wall: float) -> bool:
    """Return whether a finished claim may be deleted; unsettled claims never are."""
    finished = row.state in (State.DONE, State.RELEASED, State.SETTLED_RAN)
    return finished and wall - row.claimed_wall > RETENTION_S


def needs_operator(row: Row, session_ended: bool) -> bool:
    """Return whether only an operator can settle the claim."""
    if row.state is State.UNKNOWN:
        # The claiming process recorded this itself and never sends again.
        return True
    return row.state is State.CLAIMED and session_ended


def _why_not_open(row: Row) -> str:
    if row.state is State.CLAIMED:
        return f"node {row.node} still has its session and may record the outcome"
    return f"the claim is {row.state.value}"

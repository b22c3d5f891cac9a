"""Runs calls with an idempotency key at most once."""

import collections.abc
import dataclasses
import logging
import secrets
import time
import typing

import msgspec
import trio

from snipelug_core import claim, refusal, session, step
from snipelug_net import http_client, rpc
from snipelug_node import executor, ports

LOG = logging.getLogger("snipelug.order")

MAX_INLINE_BYTES = 64 * 1024
"""Largest answer body kept in the claim row; larger ones are objects."""

TOLD_BYTES = 1024 * 1024
"""Largest unrecorded answer body sent to a peer, below the RPC message limit."""

PAGE_ROWS = 100
"""Claims read at once; their inline answers then take at most 9 MB in base64,
which is below the limit of a response of the table service."""

KEY_CHARS = 255
DEADLINE_S = 60.0

SETTLE_S = 0.5
"""A call that is not sent by so long before its deadline is given up, so that its claim
is withdrawn and its caller is told in time that nothing ran."""

RECORD_WAIT_S = 2.0
"""Time that a caller waits for its answer to be recorded; recording goes on."""

JOIN_RETRY_S = 0.05
ASK_MARGIN_S = 1.0
MAX_ASK_WAIT_S = 10.0

SendOutcome = claim.Delivered | claim.NotSent | claim.OutcomeUnknown
"""What a dispatch returns: answered in full, no byte sent, or bytes sent."""

SendCall = collections.abc.Callable[
    [http_client.PreSendCheck, float], collections.abc.Awaitable[SendOutcome]
]
"""Sends a call; must evaluate the last check right before the first byte, after
all other checks, and must not send without its consent or twice. Waits for what it
needs until the given time at most."""

_SendInTime = collections.abc.Callable[
    [http_client.PreSendCheck], collections.abc.Awaitable[SendOutcome]
]


@dataclasses.dataclass(frozen=True)
class Response:
    """The answer of the one execution.

    Attributes
    ----------
    repeated : bool
        The call was executed for an earlier request with the same key.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    repeated: bool = False


class ClaimStatusRequest(msgspec.Struct, frozen=True):
    """Asks a process for one of its claims.

    Attributes
    ----------
    wait_s : float
        Time to wait for the end of a running call, in seconds.
    """

    process: str
    nonce: str
    wait_s: typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_ASK_WAIT_S)]


class ClaimStatusReply(msgspec.Struct, frozen=True):
    """Status of a claim; the answer is given if it ran and is not recorded."""

    status: claim.Status
    answer: claim.Response | None = None


CLAIM_STATUS = rpc.Method("ClaimStatus", ClaimStatusRequest, ClaimStatusReply)


@dataclasses.dataclass(frozen=True)
class UnresolvedClaim:
    """A claim that only an operator can settle."""

    team: str
    key: str
    node: str
    claimed_wall: float
    note: str


@dataclasses.dataclass(frozen=True)
class UnresolvedClaims:
    """One page of open claims.

    Attributes
    ----------
    after : str
        Row key to go on from; empty at the end of the table.
    """

    claims: list[UnresolvedClaim]
    after: str


@dataclasses.dataclass(frozen=True)
class Settled:
    """The claim is settled."""

    verdict: claim.Verdict


@dataclasses.dataclass(frozen=True)
class Changed:
    """The claim changed meanwhile, for example by another operator."""


Settlement = (
    Settled
    | Changed
    | claim.TooEarly
    | claim.NotSettleable
    | ports.Absent
    | ports.Unavailable
)
Result = claim.Response | refusal.Refusal


@dataclasses.dataclass(frozen=True)
class ActiveCall:
    """A keyed call that runs or is being recorded."""

    team: str
    key: str


class _Job:
    """A call in execution on this node; it goes on when its caller leaves."""

    def __init__(self, call: ActiveCall, fingerprint: str) -> None:
        self.call = call
        self.fingerprint = fingerprint
        self.own_outcome: Response | refusal.Refusal | None = None
        self.result: Response | refusal.Refusal | None = None
        self.done = trio.Event()

    def finish(self, result: Response | refusal.Refusal) -> None:
        if self.result is None:
            self.result = result
            self.done.set()


class KeyedCalls:
    """Executes keyed calls of this node and answers peers about them.

    Parameters
    ----------
    process : str
        Incarnation of this process, never used before.
    lease : session.Lease
        Session of this node; a claim starts only while it is valid, so a
        revoked session proves that its calls can no longer be sent.
    wall : callable
        Wall clock, in seconds; operators' settlements depend on it.
    """

    def __init__(
        self,
        process: str,
        lease: session.Lease,
        tables: ports.TableService,
        objects: ports.ObjectStore,
        peers: ports.Peers,
        wall: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self.ledger = claim.Ledger(process)
        self._lease = lease
        self._tables = tables
        self._objects = objects
        self._peers = peers
        self._wall = wall
        self._jobs: dict[str, _Job] = {}
        self._nursery: trio.Nursery | None = None
        self._progress = trio.Event()
        peers.register(CLAIM_STATUS, self._claim_status)

    async def serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the calls; keep it running until ``drain`` has returned."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def drain(self) -> None:
        """Wait until every call has ended and its outcome is recorded."""
        while self._jobs:
            await self._progress.wait()

    def active_calls(self) -> list[ActiveCall]:
        """Return the calls that run or are being recorded."""
        return [job.call for job in self._jobs.values()]

    async def abort(self) -> None:
        """End all calls where they are; their claims stay as they are."""
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()
        await self.drain()

    async def run(
        self,
        team: str,
        key: str,
        method: str,
        target: str,
        body: bytes,
        send: SendCall,
        deadline: float | None = None,
    ) -> Response | refusal.Refusal:
        """Execute a call at most once and return its first answer.

        Parameters
        ----------
        team, key : str
            The team and its idempotency key.
        method, target, body : str, str, bytes
            What is asked for; the same key with another request is refused.
        send : Send
            Dispatches the call; called at most once.
        deadline : float, optional
            Monotonic time until which the caller waits, in seconds; the call
            itself goes on.
        """
        now = trio.current_time()
        until = now + DEADLINE_S if deadline is None else deadline
        if not 0 < len(key) <= KEY_CHARS:
            reason = f"Idempotency-Key must have 1 to {KEY_CHARS} characters"
            return refusal.refuse(refusal.BAD_REQUEST, reason)
        place = claim.row_key(team, key)
        fingerprint = claim.fingerprint(method, target, body)
        while place in self._jobs:
            joined = await self._join(self._jobs[place], fingerprint, until)
            if not _ended_for_others(joined) or trio.current_time() >= until:
                return joined
            # The other caller's deadline was earlier than this one's.
            await trio.sleep(JOIN_RETRY_S)
        now = trio.current_time()
        if self._nursery is None or not self._lease.valid(now):
            reason = "this node has no valid session to claim the call with"
            return refusal.refuse(refusal.NODE_NOT_CURRENT, reason)
        row = claim.Row(
            team,
            key,
            fingerprint,
            self._peers.node_id,
            self.ledger.process,
            self._lease.session,
            "",
            self._wall(),
        )
        job = _Job(ActiveCall(team, key), fingerprint)
        self._jobs[place] = job
        send_by = until - SETTLE_S

        async def send_in_time(pre_send_check: http_client.PreSendCheck) -> SendOutcome:
            return await send(pre_send_check, send_by)

        call = claim.Call(row, until)
        self._nursery.start_soon(self._work, job, call, send_in_time)
        return await self._result(job, until)

    async def _join(
        self, job: _Job, fingerprint: str, until: float
    ) -> Response | refusal.Refusal:
        """Share the outcome of the same call on this node."""
        if job.fingerprint != fingerprint:
            reason = "the idempotency key was used for another request"
            return refusal.refuse(refusal.KEY_REUSED, reason)
        result = await self._result(job, until)
        if isinstance(result, Response):
            return dataclasses.replace(result, repeated=True)
        return result

    async def _result(self, job: _Job, until: float) -> Response | refusal.Refusal:
        with trio.move_on_at(until):
            await job.done.wait()
        if job.result is not None:
            return job.result
        reason = "the call goes on after its deadline; repeat it with the same key"
        return refusal.refuse(refusal.IN_PROGRESS, reason, refusal.RunState.UNKNOWN)

    async def _work(self, job: _Job, call: claim.Call, send: _SendInTime) -> None:
        nonces = iter(lambda: secrets.token_hex(12), "")
        flow = claim.execute(call, self.ledger, nonces, trio.current_time())
        try:
            taken = next(flow)
            while True:
                outcome = await self._perform(job, taken, send)
                taken = flow.send(step.Event(outcome, trio.current_time()))
                self._notify()
        except StopIteration as stop:
            result = typing.cast(Result, stop.value)
            job.finish(job.own_outcome or await self._finished(result))
        finally:
            del self._jobs[call.row_key]
            self._notify()

    async def _perform(self, job: _Job, taken: claim.Step, send: _SendInTime) -> object:
        match taken:
            case step.Write():
                return await self._write(taken)
            case step.Read():
                return await executor.perform(self._tables, taken)
            case step.Wait(delay_s):
                await trio.sleep(delay_s)
                return None
            case claim.Dispatch(nonce):
                return await self._dispatch(job, nonce, send)
            case claim.QueryStatus():
                return await self._ask(taken)
            case claim.LookUpSession(name):
                found = await self._tables.read(session.TABLE, name)
                gone = isinstance(found, ports.Absent)
                return claim.SessionEnded() if gone else claim.SessionMayExist()
            case claim.ReportViolation(message):
                LOG.error("claim_rule_broken", extra={"reason": message})
                return None

    async def _write(self, write: step.Write) -> object:
        row = typing.cast(claim.Row, write.content)
        if row.answer is None or len(row.answer.body) <= MAX_INLINE_BYTES:
            return await executor.perform(self._tables, write)
        key = f"claims/{write.key}/{row.nonce}"
        stored = await self._objects.put(key, row.answer.body)
        if isinstance(stored, ports.Unavailable):
            return step.NoAnswer(stored.reason, maybe_applied=False)
        answer = dataclasses.replace(row.answer, body=b"", object_key=key)
        content = dataclasses.replace(row, answer=answer)
        return await executor.perform(
            self._tables, dataclasses.replace(write, content=content)
        )

    async def _dispatch(self, job: _Job, nonce: str, send: _SendInTime) -> SendOutcome:
        def pre_send_check(_opened_at: float) -> bool:
            return self.ledger.grant(nonce, trio.current_time())

        outcome: SendOutcome
        try:
            outcome = await send(pre_send_check)
        except Exception:
            LOG.exception("dispatch_failed")
            reason = "the dispatch failed inside the node"
            outcome = claim.NotSent(refusal.refuse(refusal.UPSTREAM_LOST, reason))
        granted = self.ledger.status(self.ledger.process, nonce)[0] is claim.Status.SENT
        if isinstance(outcome, claim.NotSent) and granted:
            outcome = claim.OutcomeUnknown(outcome.refusal)
        match outcome:
            case claim.Delivered(answer):
                job.own_outcome = _answer(answer, answer.body, repeated=False)
            case claim.OutcomeUnknown(refused):
                job.own_outcome = claim.as_possibly_run(refused)
            case claim.NotSent():
                return outcome
        assert self._nursery is not None
        self._nursery.start_soon(self._finish_later, job, job.own_outcome)
        return outcome

    async def _finish_later(
        self, job: _Job, result: Response | refusal.Refusal
    ) -> None:
        with trio.move_on_after(RECORD_WAIT_S):
            await job.done.wait()
        job.finish(result)

    async def _finished(self, result: Result) -> Response | refusal.Refusal:
        if isinstance(result, refusal.Refusal):
            return result
        if not result.object_key:
            return _answer(result, result.body, repeated=True)
        body = await self._objects.get(result.object_key)
        if isinstance(body, bytes):
            return _answer(result, body, repeated=True)
        reason = "the call ran; its answer cannot be read from the object store now"
        return refusal.refuse(refusal.STORE_UNAVAILABLE, reason, refusal.RunState.RAN)

    async def _ask(
        self, ask: claim.QueryStatus
    ) -> claim.StatusReply | claim.Unreachable:
        wait_s = min(max(ask.wait_s, 0.0), MAX_ASK_WAIT_S)
        request = ClaimStatusRequest(ask.process, ask.nonce, wait_s)
        reply = await self._peers.call(
            ask.node, CLAIM_STATUS, request, wait_s + ASK_MARGIN_S
        )
        if isinstance(reply, rpc.Unreachable):
            return claim.Unreachable()
        return claim.StatusReply(reply.status, reply.answer)

    async def _claim_status(self, request: ClaimStatusRequest) -> ClaimStatusReply:
        status, answer = self.ledger.status(request.process, request.nonce)
        with trio.move_on_after(request.wait_s):
            while status in (claim.Status.ACTIVE, claim.Status.SENT):
                await self._progress.wait()
                status, answer = self.ledger.status(request.process, request.nonce)
        if answer is not None and len(answer.body) > TOLD_BYTES:
            answer = None
        return ClaimStatusReply(status, answer)

    def _notify(self) -> None:
        self._progress.set()
        self._progress = trio.Event()

    async def unresolved_claims(
        self, team: str, after: str = "", limit: int = PAGE_ROWS
    ) -> UnresolvedClaims | ports.Unavailable:
        """Read one page of a team's claims and return those left unknown."""
        prefix = f"{team}:"
        rows = await self._tables.scan(claim.TABLE, prefix, after, limit)
        if isinstance(rows, ports.Unavailable):
            return rows
        gone: dict[str, bool] = {}
        found: list[UnresolvedClaim] = []
        for stored in rows:
            decoded = executor.decode(stored.version, stored.content, claim.Row)
            if isinstance(decoded, step.Malformed):
                LOG.error("claim_unreadable", extra={"key": stored.key})
                continue
            row: claim.Row = decoded.content
            if row.state is claim.State.CLAIMED and row.session not in gone:
                is_gone = await self._session_gone(row.session)
                if isinstance(is_gone, ports.Unavailable):
                    return is_gone
                gone[row.session] = is_gone
            if claim.needs_operator(row, gone.get(row.session, False)):
                item = UnresolvedClaim(
                    row.team, row.key, row.node, row.claimed_wall, row.note
                )
                found.append(item)
        return UnresolvedClaims(found, rows[-1].key if len(rows) == limit else "")

    async def settle(
        self, team: str, key: str, verdict: claim.Verdict, note: str
    ) -> Settlement:
        """Settle a claim left unknown, as an operator found it at the upstream."""
        place = claim.row_key(team, key)
        stored = await self._tables.read(claim.TABLE, place)
        if not isinstance(stored, ports.Row):
            return stored
        decoded = executor.decode(stored.version, stored.content, claim.Row)
        if isinstance(decoded, step.Malformed):
            return claim.NotSettleable(f"the claim cannot be read: {decoded.reason}")
        gone = await self._session_gone(decoded.content.session)
        if isinstance(gone, ports.Unavailable):
            return gone
        wall = self._wall()
        settled = claim.settle(decoded.content, verdict, gone, wall, note)
        if not isinstance(settled, claim.Row):
            return settled
        write = step.Write(claim.TABLE, place, settled, stored.version)
        match await executor.perform(self._tables, write):
            case step.Applied():
                return Settled(verdict)
            case step.PreconditionFailed():
                return Changed()
            case step.NoAnswer(reason, maybe_applied):
                return ports.Unavailable(reason, maybe_applied)
        raise AssertionError("a write has no other outcome")

    async def _session_gone(self, name: str) -> bool | ports.Unavailable:
        found = await self._tables.read(session.TABLE, name)
        if isinstance(found, ports.Unavailable):
            return found
        return isinstance(found, ports.Absent)


def _ended_for_others(result: Response | refusal.Refusal) -> bool:
    in_progress = refusal.IN_PROGRESS
    return isinstance(result, refusal.Refusal) and result.kind == in_progress


def _answer(answer: claim.Response, body: bytes, repeated: bool) -> Response:
    return Response(answer.status, answer.headers, body, repeated)

"""Runs calls that have an idempotency key at most once."""

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
"""Largest response body stored in the claim row, in bytes; larger ones are objects."""

MAX_STATUS_BODY_BYTES = 1024 * 1024
"""Largest unrecorded response body sent to a peer, in bytes; below the size limit of an
RPC message."""

PAGE_ROWS = 100
"""Number of claims read at once. Their inline responses take at most 9 MB in base64,
which is below the size limit of a response of the table service."""

MAX_KEY_CHARS = 255
DEFAULT_DEADLINE_S = 60.0

SEND_CUTOFF_S = 0.5
"""A call that was not sent by this long before its deadline is not sent any more. Its
claim can then be released and its caller told before the deadline that nothing ran."""

RECORD_WAIT_S = 2.0
"""Longest time in seconds that a caller waits until its response is recorded; recording
continues after it."""

JOIN_RETRY_INTERVAL_S = 0.05
QUERY_MARGIN_S = 1.0
MAX_QUERY_WAIT_S = 10.0

SendOutcome = claim.Delivered | claim.NotSent | claim.OutcomeUnknown
"""Outcome of a send: complete response, no byte sent, or sent with unknown result."""

SendCall = collections.abc.Callable[
    [http_client.PreSendCheck, float], collections.abc.Awaitable[SendOutcome]
]
"""Sends a call. It must evaluate the check after all other checks, right before the
first byte; it must not send if the check fails, and not send twice. The second argument
is the monotonic time until which it may wait before sending, in seconds."""

_SendBeforeCutoff = collections.abc.Callable[
    [http_client.PreSendCheck], collections.abc.Awaitable[SendOutcome]
]


@dataclasses.dataclass(frozen=True)
class Response:
    """The response to the only execution of a call.

    Attributes
    ----------
    repeated : bool
        Whether the call was executed for another request with the same key.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    repeated: bool = False


class ClaimStatusRequest(msgspec.Struct, frozen=True):
    """Queries a process for the status of one of its claims.

    Attributes
    ----------
    wait_s : float
        Longest time to wait for the end of a running call, in seconds.
    """

    process: str
    nonce: str
    wait_s: typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_QUERY_WAIT_S)]


class ClaimStatusReply(msgspec.Struct, frozen=True):
    """Status of a claim, with the response if the call ran and is not recorded yet."""

    status: claim.Status
    answer: claim.Response | None = None


CLAIM_STATUS = rpc.Method("ClaimStatus", ClaimStatusRequest, ClaimStatusReply)


@dataclasses.dataclass(frozen=True)
class UnresolvedClaim:
    """An unresolved claim, which only an operator can settle."""

    team: str
    key: str
    node: str
    claimed_wall: float
    note: str


@dataclasses.dataclass(frozen=True)
class UnresolvedClaims:
    """One page of unresolved claims.

    Attributes
    ----------
    after : str
        Row key after which the next page starts; empty on the last page.
    """

    claims: list[UnresolvedClaim]
    after: str


@dataclasses.dataclass(frozen=True)
class Settled:
    """The claim is settled."""

    verdict: claim.Verdict


@dataclasses.dataclass(frozen=True)
class Changed:
    """The claim was changed concurrently, for example by another operator."""


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
    """A keyed call that is running or being recorded."""

    team: str
    key: str


class _RunningCall:
    """A call that this node executes, even if its caller disconnects."""

    def __init__(self, call: ActiveCall, fingerprint: str) -> None:
        self.call = call
        self.fingerprint = fingerprint
        self.sent_result: Response | refusal.Refusal | None = None
        self.result: Response | refusal.Refusal | None = None
        self.done = trio.Event()

    def finish(self, result: Response | refusal.Refusal) -> None:
        if self.result is None:
            self.result = result
            self.done.set()


class KeyedCalls:
    """Executes the keyed calls of this node and reports their status to peers.

    Parameters
    ----------
    process : str
        Incarnation of this process; unique for each start.
    lease : session.Lease
        Session of this node. A call is claimed only while it is valid, so a
        revoked session proves that its calls can no longer be sent.
    wall : callable
        Wall clock in seconds; it decides when an operator may settle a claim.
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
        self._running_calls: dict[str, _RunningCall] = {}
        self._nursery: trio.Nursery | None = None
        self._progress = trio.Event()
        peers.register(CLAIM_STATUS, self._claim_status)

    async def serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the calls until cancelled; must not end before ``drain`` has returned."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def drain(self) -> None:
        """Wait until every call has ended and its outcome is recorded."""
        while self._running_calls:
            await self._progress.wait()

    def active_calls(self) -> list[ActiveCall]:
        """Return the calls that are running or being recorded."""
        return [running_call.call for running_call in self._running_calls.values()]

    async def abort(self) -> None:
        """Cancel all calls and leave their claims unchanged."""
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
        """Execute a call at most once and return the response to its execution.

        Parameters
        ----------
        team, key : str
            The team and its idempotency key.
        method, target, body : str, str, bytes
            The request; the same key with a different request is refused.
        send : SendCall
            Sends the call; invoked at most once.
        deadline : float, optional
            Monotonic time until which the caller waits, in seconds; the call
            itself continues.
        """
        now = trio.current_time()
        wait_until = now + DEFAULT_DEADLINE_S if deadline is None else deadline
        if not 0 < len(key) <= MAX_KEY_CHARS:
            reason = f"Idempotency-Key must have 1 to {MAX_KEY_CHARS} characters"
            return refusal.refuse(refusal.BAD_REQUEST, reason)
        row_key = claim.row_key(team, key)
        fingerprint = claim.fingerprint(method, target, body)
        while row_key in self._running_calls:
            shared_result = await self._share_result(
                self._running_calls[row_key], fingerprint, wait_until
            )
            if not _is_in_progress(shared_result) or trio.current_time() >= wait_until:
                return shared_result
            # The running call belongs to a caller with an earlier deadline.
            await trio.sleep(JOIN_RETRY_INTERVAL_S)
        now = trio.current_time()
        if self._nursery is None or not self._lease.valid(now):
            reason = "this node has no valid session with which to claim the call"
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
        running_call = _RunningCall(ActiveCall(team, key), fingerprint)
        self._running_calls[row_key] = running_call
        send_by = wait_until - SEND_CUTOFF_S

        async def send_before_cutoff(
            pre_send_check: http_client.PreSendCheck,
        ) -> SendOutcome:
            return await send(pre_send_check, send_by)

        call = claim.Call(row, wait_until)
        self._nursery.start_soon(self._execute, running_call, call, send_before_cutoff)
        return await self._wait_for_result(running_call, wait_until)

    async def _share_result(
        self, running_call: _RunningCall, fingerprint: str, wait_until: float
    ) -> Response | refusal.Refusal:
        """Return the result of the same call that already runs on this node."""
        if running_call.fingerprint != fingerprint:
            reason = "the idempotency key was used for another request"
            return refusal.refuse(refusal.KEY_REUSED, reason)
        result = await self._wait_for_result(running_call, wait_until)
        if isinstance(result, Response):
            return dataclasses.replace(result, repeated=True)
        return result

    async def _wait_for_result(
        self, running_call: _RunningCall, wait_until: float
    ) -> Response | refusal.Refusal:
        with trio.move_on_at(wait_until):
            await running_call.done.wait()
        if running_call.result is not None:
            return running_call.result
        reason = "the call continues after its deadline; repeat it with the same key"
        return refusal.refuse(refusal.IN_PROGRESS, reason, refusal.RunState.UNKNOWN)

    async def _execute(
        self, running_call: _RunningCall, call: claim.Call, send: _SendBeforeCutoff
    ) -> None:
        nonces = iter(lambda: secrets.token_hex(12), "")
        flow = claim.execute(call, self.ledger, nonces, trio.current_time())
        try:
            current_step = next(flow)
            while True:
                outcome = await self._perform_step(running_call, current_step, send)
                current_step = flow.send(step.Event(outcome, trio.current_time()))
                self._notify_progress()
        except StopIteration as stop:
            result = typing.cast(Result, stop.value)
            running_call.finish(
                running_call.sent_result or await self._recorded_result(result)
            )
        finally:
            del self._running_calls[call.row_key]
            self._notify_progress()

    async def _perform_step(
        self,
        running_call: _RunningCall,
        current_step: claim.Step,
        send: _SendBeforeCutoff,
    ) -> object:
        match current_step:
            case step.Write():
                return await self._write(current_step)
            case step.Read():
                return await executor.perform(self._tables, current_step)
            case step.Wait(delay_s):
                await trio.sleep(delay_s)
                return None
            case claim.Dispatch(nonce):
                return await self._dispatch(running_call, nonce, send)
            case claim.QueryStatus():
                return await self._query_status(current_step)
            case claim.LookUpSession(name):
                found = await self._tables.read(session.TABLE, name)
                has_ended = isinstance(found, ports.Absent)
                return claim.SessionEnded() if has_ended else claim.SessionMayExist()
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
        response = dataclasses.replace(row.answer, body=b"", object_key=key)
        content = dataclasses.replace(row, answer=response)
        return await executor.perform(
            self._tables, dataclasses.replace(write, content=content)
        )

    async def _dispatch(
        self, running_call: _RunningCall, nonce: str, send: _SendBeforeCutoff
    ) -> SendOutcome:
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
            case claim.Delivered(response):
                running_call.sent_result = _to_response(
                    response, response.body, repeated=False
                )
            case claim.OutcomeUnknown(refused):
                running_call.sent_result = claim.as_possibly_run(refused)
            case claim.NotSent():
                return outcome
        assert self._nursery is not None
        self._nursery.start_soon(
            self._finish_after_wait, running_call, running_call.sent_result
        )
        return outcome

    async def _finish_after_wait(
        self, running_call: _RunningCall, result: Response | refusal.Refusal
    ) -> None:
        with trio.move_on_after(RECORD_WAIT_S):
            await running_call.done.wait()
        running_call.finish(result)

    async def _recorded_result(self, result: Result) -> Response | refusal.Refusal:
        if isinstance(result, refusal.Refusal):
            return result
        if not result.object_key:
            return _to_response(result, result.body, repeated=True)
        body = await self._objects.get(result.object_key)
        if isinstance(body, bytes):
            return _to_response(result, body, repeated=True)
        reason = "the call ran; its response cannot be read from the object store now"
        return refusal.refuse(refusal.STORE_UNAVAILABLE, reason, refusal.RunState.RAN)

    async def _query_status(
        self, query: claim.QueryStatus
    ) -> claim.StatusReply | claim.Unreachable:
        wait_s = min(max(query.wait_s, 0.0), MAX_QUERY_WAIT_S)
        request = ClaimStatusRequest(query.process, query.nonce, wait_s)
        reply = await self._peers.call(
            query.node, CLAIM_STATUS, request, wait_s + QUERY_MARGIN_S
        )
        if isinstance(reply, rpc.Unreachable):
            return claim.Unreachable()
        return claim.StatusReply(reply.status, reply.answer)

    async def _claim_status(self, request: ClaimStatusRequest) -> ClaimStatusReply:
        status, response = self.ledger.status(request.process, request.nonce)
        with trio.move_on_after(request.wait_s):
            while status in (claim.Status.ACTIVE, claim.Status.SENT):
                await self._progress.wait()
                status, response = self.ledger.status(request.process, request.nonce)
        if response is not None and len(response.body) > MAX_STATUS_BODY_BYTES:
            response = None
        return ClaimStatusReply(status, response)

    def _notify_progress(self) -> None:
        self._progress.set()
        self._progress = trio.Event()

    async def unresolved_claims(
        self, team: str, after: str = "", limit: int = PAGE_ROWS
    ) -> UnresolvedClaims | ports.Unavailable:
        """Read a page of a team's claims and return the unresolved ones."""
        prefix = f"{team}:"
        rows = await self._tables.scan(claim.TABLE, prefix, after, limit)
        if isinstance(rows, ports.Unavailable):
            return rows
        ended_sessions: dict[str, bool] = {}
        found: list[UnresolvedClaim] = []
        for stored in rows:
            decoded = executor.decode(stored.version, stored.content, claim.Row)
            if isinstance(decoded, step.Malformed):
                LOG.error("claim_unreadable", extra={"key": stored.key})
                continue
            row: claim.Row = decoded.content
            if row.state is claim.State.CLAIMED and row.session not in ended_sessions:
                has_ended = await self._has_session_ended(row.session)
                if isinstance(has_ended, ports.Unavailable):
                    return has_ended
                ended_sessions[row.session] = has_ended
            if claim.needs_operator(row, ended_sessions.get(row.session, False)):
                item = UnresolvedClaim(
                    row.team, row.key, row.node, row.claimed_wall, row.note
                )
                found.append(item)
        return UnresolvedClaims(found, rows[-1].key if len(rows) == limit else "")

    async def settle(
        self, team: str, key: str, verdict: claim.Verdict, note: str
    ) -> Settlement:
        """Settle an unresolved claim with what an operator found at the upstream."""
        row_key = claim.row_key(team, key)
        stored = await self._tables.read(claim.TABLE, row_key)
        if not isinstance(stored, ports.Row):
            return stored
        decoded = executor.decode(stored.version, stored.content, claim.Row)
        if isinstance(decoded, step.Malformed):
            return claim.NotSettleable(f"the claim cannot be read: {decoded.reason}")
        has_ended = await self._has_session_ended(decoded.content.session)
        if isinstance(has_ended, ports.Unavailable):
            return has_ended
        wall = self._wall()
        settled = claim.settle(decoded.content, verdict, has_ended, wall, note)
        if not isinstance(settled, claim.Row):
            return settled
        write = step.Write(claim.TABLE, row_key, settled, stored.version)
        match await executor.perform(self._tables, write):
            case step.Applied():
                return Settled(verdict)
            case step.PreconditionFailed():
                return Changed()
            case step.NoAnswer(reason, maybe_applied):
                return ports.Unavailable(reason, maybe_applied)
        raise AssertionError("a write has no other outcome")

    async def _has_session_ended(self, name: str) -> bool | ports.Unavailable:
        found = await self._tables.read(session.TABLE, name)
        if isinstance(found, ports.Unavailable):
            return found
        return isinstance(found, ports.Absent)


def _is_in_progress(result: Response | refusal.Refusal) -> bool:
    in_progress = refusal.IN_PROGRESS
    return isinstance(result, refusal.Refusal) and result.kind == in_progress


def _to_response(response: claim.Response, body: bytes, repeated: bool) -> Response:
    return Response(response.status, response.headers, body, repeated)

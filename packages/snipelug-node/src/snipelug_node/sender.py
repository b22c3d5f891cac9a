"""Sends requests to upstreams; checks again right before the first byte of each."""

import collections.abc
import dataclasses
import typing

import trio

from snipelug_core import load, refusal, table
from snipelug_net import http_client

MAX_REPORT_WAIT_S = 2.0
"""Longest time in seconds to wait for a load report newer than the connection."""

REPORT_POLL_INTERVAL_S = 0.02

LOAD_READ_TIMEOUT_S = 0.1
"""Timeout in seconds for reading the load of an idle upstream before a send. The send
then proceeds; load.STALE_S is enforced independently of this read."""


class Slot(typing.Protocol):
    """Permission to send one request to an upstream that may be in cold start."""

    @property
    def covers_cold(self) -> bool:
        """Whether the request may be sent to an upstream known to be cold."""
        ...

    def record_arrived(self, now: float) -> None:
        """Record that the request has arrived at the upstream or never will."""
        ...

    def valid(self, now: float) -> bool:
        """Return whether the permission is still valid."""
        ...

    def release(self, has_ended: bool) -> None:
        """Release the slot; ``has_ended`` if the request certainly runs no more."""
        ...


class Slots(typing.Protocol):
    """The cold-start slots of all upstreams."""

    async def acquire(
        self, upstream_id: str, deadline: float
    ) -> Slot | refusal.Refusal:
        """Acquire a slot."""
        ...

    async def acquire_warm(
        self,
        upstream_id: str,
        deadline: float,
        is_warm: collections.abc.Callable[[], bool],
        may_wait: bool = True,
    ) -> Slot | refusal.Refusal | None:
        """Acquire a slot while the upstream is warm; return None if it no longer is."""
        ...

    async def acquire_suspect(
        self, upstream_id: str, deadline: float
    ) -> Slot | refusal.Refusal:
        """Acquire the only slot for requests that crashed an upstream before."""
        ...


SendCheck = collections.abc.Callable[[table.Upstream, float, float], load.Verdict]
"""Evaluates a send, given the upstream, the opening time of the connection and the
current time."""


@dataclasses.dataclass
class SendPermit:
    """Permission to send one request to an upstream, held until the request ends.

    Attributes
    ----------
    slot : Slot or None
        Cold-start slot; warm upstreams need one too, as they may turn cold unannounced.
    suspect_slot : Slot or None
        Slot of a request that crashed an upstream before.
    is_counted : bool
        Whether the request counts as in flight at the upstream.
    verdict : load.Verdict or None
        Result of the last check.
    """

    upstream: table.Upstream
    may_send: SendCheck
    slot: Slot | None = None
    suspect_slot: Slot | None = None
    is_counted: bool = False
    verdict: load.Verdict | None = None

    def check(self, conn_opened_at: float) -> bool:
        """Check the send; must be the last step before the first byte."""
        now = trio.current_time()
        self.verdict = self.may_send(self.upstream, conn_opened_at, now)
        if isinstance(self.verdict, load.Excluded):
            return False
        if self.slot is None:
            return False
        if not (self.slot.covers_cold or isinstance(self.verdict, load.Allowed)):
            return False
        slots = [s for s in (self.slot, self.suspect_slot) if s is not None]
        return all(slot.valid(now) for slot in slots)

    def count(self) -> None:
        """Count the request as in flight."""
        load.record_sent(self.upstream, trio.current_time())
        self.is_counted = True

    def release(self, has_ended: bool) -> None:
        """Release the slots and stop counting the request; later calls have no effect.

        Parameters
        ----------
        has_ended : bool
            Whether the response ended, so that the upstream no longer runs the request.
        """
        # A request whose check failed is not counted, and none of it was sent.
        has_ended = has_ended or not self.is_counted
        if self.slot is not None:
            self.slot.release(has_ended)
            self.slot = None
        if self.suspect_slot is not None:
            self.suspect_slot.release(has_ended)
            self.suspect_slot = None
        if self.is_counted:
            self.is_counted = False
            load.record_ended(self.upstream, trio.current_time())


@dataclasses.dataclass(frozen=True)
class Opened:
    """The head of a response arrived; the caller releases the permit."""

    permit: SendPermit
    reply: http_client.StreamingResponse


@dataclasses.dataclass(frozen=True)
class Blocked:
    """Nothing was sent because the request may not be sent to the upstream.

    Attributes
    ----------
    is_busy : bool
        Whether the upstream is warm and all its slots are in use.
    """

    refusal: refusal.Refusal
    is_busy: bool = False


Outcome = Opened | Blocked | http_client.NotSent | http_client.Lost

_PoolOutcome = (
    http_client.StreamingResponse
    | http_client.NotSent
    | http_client.Withheld
    | http_client.Lost
)


@dataclasses.dataclass
class Sender:
    """Sends requests to upstreams as soon as they may be sent to.

    Attributes
    ----------
    refresh : callable
        Reads an upstream's load report immediately.
    """

    pool: http_client.Pool
    slots: Slots
    may_send: SendCheck
    refresh: collections.abc.Callable[[table.Upstream], collections.abc.Awaitable[None]]

    async def send(
        self,
        upstream: table.Upstream,
        call: http_client.Call,
        deadline: float,
        claim_check: http_client.PreSendCheck | None = None,
        is_suspect: bool = False,
        may_wait: bool = True,
    ) -> Outcome:
        """Send a request once the upstream may be sent to.

        Parameters
        ----------
        upstream : table.Upstream
            The destination.
        call : http_client.Call
            The request.
        deadline : float
            Monotonic time until which to wait for a slot, in seconds.
        claim_check : PreSendCheck, optional
            Evaluated last, after the check of the upstream passed; it marks the
            request's claim as sent.
        is_suspect : bool
            Whether the request crashed an upstream before. Only one such request
            runs on an upstream at a time, so a request that merely ran beside the
            one at fault does not run beside it again.
        may_wait : bool
            Whether to wait for a slot of a warm upstream; otherwise the outcome is
            ``Blocked`` with ``is_busy``.
        """
        give_up_at = min(deadline, trio.current_time() + MAX_REPORT_WAIT_S)
        permit = SendPermit(upstream, self.may_send)
        if load.needs_recheck(upstream, trio.current_time()):
            with trio.move_on_after(LOAD_READ_TIMEOUT_S):
                await self.refresh(upstream)
        try:
            while True:
                refused = await self._prepare(permit, deadline, is_suspect, may_wait)
                if refused is not None:
                    return Blocked(refused, is_busy=not may_wait)
                outcome = await _lose_possible_copy(
                    await self.pool.send(call, _pre_send_check(permit, claim_check))
                )
                if permit.slot is not None and _has_arrived(outcome):
                    permit.slot.record_arrived(trio.current_time())
                if isinstance(outcome, http_client.StreamingResponse):
                    upstream.refusals += outcome.status >= refusal.MIN_REFUSAL_STATUS
                    opened_permit, permit = permit, SendPermit(upstream, self.may_send)
                    return Opened(opened_permit, outcome)
                if not isinstance(outcome, http_client.Withheld):
                    return outcome
                if not _needs_grant(permit) or trio.current_time() > give_up_at:
                    return Blocked(_withheld_refusal(permit))
        finally:
            permit.release(has_ended=False)

    async def _prepare(
        self, permit: SendPermit, deadline: float, is_suspect: bool, may_wait: bool
    ) -> refusal.Refusal | None:
        """Acquire the slots or wait for the report that the last verdict requires.

        Slots of an earlier attempt are free again: its request was withheld.
        """
        upstream_id = permit.upstream.instance.id
        if is_suspect:
            if permit.suspect_slot is not None:
                permit.suspect_slot.release(has_ended=True)
                permit.suspect_slot = None
            suspect_slot = await self.slots.acquire_suspect(upstream_id, deadline)
            if isinstance(suspect_slot, refusal.Refusal):
                return suspect_slot
            permit.suspect_slot = suspect_slot
        verdict = permit.verdict
        if verdict is None:
            # The age of the connection is checked only right before the send.
            verdict = self.may_send(permit.upstream, -1.0, trio.current_time())
        if isinstance(verdict, load.Excluded):
            return None
        slot = permit.slot
        if slot is not None and not slot.covers_cold and _is_connection_newer(verdict):
            await self.refresh(permit.upstream)
            await trio.sleep(REPORT_POLL_INTERVAL_S)
            return None
        if slot is not None:
            slot.release(has_ended=True)
            permit.slot = None
        permit.upstream.queued += 1
        try:
            acquired = await self._acquire(permit.upstream, deadline, may_wait)
        finally:
            permit.upstream.queued -= 1
        if isinstance(acquired, refusal.Refusal):
            return acquired
        permit.slot = acquired
        return None

    async def _acquire(
        self, upstream: table.Upstream, deadline: float, may_wait: bool
    ) -> Slot | refusal.Refusal:
        """Acquire a slot of a warm upstream, or else a cold-start slot."""

        def evaluate() -> load.Verdict:
            return self.may_send(upstream, -1.0, trio.current_time())

        def is_warm() -> bool:
            return isinstance(evaluate(), load.Allowed)

        upstream_id = upstream.instance.id
        if is_warm():
            slot = await self.slots.acquire_warm(
                upstream_id, deadline, is_warm, may_wait
            )
            if slot is not None:
                return slot
        verdict = evaluate()
        if isinstance(verdict, load.Excluded):
            return _blocked_refusal(upstream, verdict.reason.value)
        return await self.slots.acquire(upstream_id, deadline)


def _pre_send_check(
    permit: SendPermit, claim_check: http_client.PreSendCheck | None
) -> http_client.PreSendCheck:
    def check(conn_opened_at: float) -> bool:
        if not permit.check(conn_opened_at):
            return False
        if claim_check is not None and not claim_check(conn_opened_at):
            return False
        permit.count()
        return True

    return check


async def _lose_possible_copy(outcome: _PoolOutcome) -> _PoolOutcome:
    """Replace a response that may be the copy of an earlier refusal by ``Lost``.

    The request may have run, and the true response may follow.
    """
    if not isinstance(outcome, http_client.StreamingResponse):
        return outcome
    if not refusal.may_be_copy(outcome.status, outcome.is_identified):
        return outcome
    await outcome.aclose()
    return http_client.Lost(
        f"status {outcome.status} may be the copy of an earlier refusal"
    )


def _has_arrived(outcome: _PoolOutcome) -> bool:
    """Return whether the request has arrived at the upstream or never will.

    A response shows that it has arrived. A connection that the upstream closed delivers
    nothing more; one that this node closed may still deliver what was sent.
    """
    if isinstance(outcome, http_client.Lost):
        return outcome.is_closed_by_server
    return isinstance(outcome, http_client.StreamingResponse)


def _is_connection_newer(verdict: load.Verdict) -> bool:
    newer = load.Reason.CONNECTION_NEWER
    return isinstance(verdict, load.NeedsGrant) and verdict.reason is newer


def _needs_grant(permit: SendPermit) -> bool:
    return isinstance(permit.verdict, load.NeedsGrant)


def _withheld_refusal(permit: SendPermit) -> refusal.Refusal:
    reason = "the permission to send has expired"
    if isinstance(permit.verdict, load.Excluded | load.NeedsGrant):
        reason = permit.verdict.reason.value
    return _blocked_refusal(permit.upstream, reason)


def _blocked_refusal(upstream: table.Upstream, reason: str) -> refusal.Refusal:
    message = f"upstream {upstream.instance.id} may not be sent to: {reason}"
    return refusal.refuse(refusal.NO_UPSTREAM, message)

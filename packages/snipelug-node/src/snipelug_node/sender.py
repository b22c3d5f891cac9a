"""Sends to upstreams, each judged again right before its first byte."""

import collections.abc
import dataclasses
import typing

import trio

from snipelug_core import load, refusal, table
from snipelug_net import http_client

WITHHELD_WAIT_S = 2.0
"""Longest time that a send waits for a load report newer than its connection."""

REPORT_POLL_S = 0.02

LOOK_TIMEOUT_S = 0.1
"""Bound on the read of a quiet upstream's load; load.STALE_S holds without it."""


class Slot(typing.Protocol):
    """Permission to send one request to an upstream that may be in cold start."""

    @property
    def covers_cold(self) -> bool:
        """Whether the request may be sent to an upstream known to be cold."""
        ...

    def record_accepted(self, now: float) -> None:
        """Note that the upstream accepted the request."""
        ...

    def valid(self, now: float) -> bool:
        """Whether the permission still holds."""
        ...

    def release(self, has_ended: bool) -> None:
        """Give the slot back; say whether a sent request has surely ended."""
        ...


class Slots(typing.Protocol):
    """Cold-start slots of all upstreams."""

    async def acquire(
        self, upstream_id: str, deadline: float
    ) -> Slot | refusal.Refusal:
        """Obtain a slot."""
        ...

    async def acquire_warm(
        self,
        upstream_id: str,
        deadline: float,
        is_warm: collections.abc.Callable[[], bool],
        may_wait: bool = True,
    ) -> Slot | refusal.Refusal | None:
        """Obtain a slot while the upstream is known to be warm; None afterwards."""
        ...

    async def acquire_suspect(
        self, upstream_id: str, deadline: float
    ) -> Slot | refusal.Refusal:
        """Obtain the one slot for requests that crashed an upstream before."""
        ...


MaySend = collections.abc.Callable[[table.Upstream, float, float], load.Verdict]
"""Judges a send from the upstream, its connection's opening time and now."""


@dataclasses.dataclass
class Permit:
    """Leave to send one request to an upstream, from the check to its end.

    Attributes
    ----------
    slot : Slot or None
        Cold-start slot; a warm upstream may have turned cold without notice.
    suspect_slot : Slot or None
        Slot of a request that crashed an upstream before.
    counted : bool
        The request counts as in flight at the upstream.
    verdict : load.Verdict or None
        Result of the last check.
    """

    upstream: table.Upstream
    may_send: MaySend
    slot: Slot | None = None
    suspect_slot: Slot | None = None
    counted: bool = False
    verdict: load.Verdict | None = None

    def check(self, conn_opened_at: float) -> bool:
        """Judge the send; must be the last step before the first byte."""
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
        self.counted = True

    def release(self, has_ended: bool) -> None:
        """End the request's accounting; later calls have no effect.

        Parameters
        ----------
        has_ended : bool
            The answer came to its end, so the upstream runs the request no more.
        """
        if self.slot is not None:
            self.slot.release(has_ended)
            self.slot = None
        if self.suspect_slot is not None:
            self.suspect_slot.release(has_ended)
            self.suspect_slot = None
        if self.counted:
            self.counted = False
            load.record_ended(self.upstream, trio.current_time())


@dataclasses.dataclass(frozen=True)
class Opened:
    """The head of a response arrived; the caller releases the permit."""

    permit: Permit
    reply: http_client.StreamingResponse


@dataclasses.dataclass(frozen=True)
class Blocked:
    """Nothing was sent, because the upstream may not be sent to.

    Attributes
    ----------
    is_busy : bool
        The upstream is warm, and its slots are in use.
    """

    refusal: refusal.Refusal
    is_busy: bool = False


Outcome = Opened | Blocked | http_client.NotSent | http_client.Lost


@dataclasses.dataclass
class Sender:
    """Sends requests to upstreams that may take them.

    Attributes
    ----------
    refresh : callable
        Reads an upstream's load report now.
    """

    pool: http_client.Pool
    slots: Slots
    may_send: MaySend
    refresh: collections.abc.Callable[[table.Upstream], collections.abc.Awaitable[None]]

    async def send(
        self,
        upstream: table.Upstream,
        call: http_client.Call,
        deadline: float,
        granted: http_client.PreSendCheck | None = None,
        is_suspect: bool = False,
        may_wait: bool = True,
    ) -> Outcome:
        """Send a request once the upstream may be sent to.

        Parameters
        ----------
        upstream : table.Upstream
            Where to send.
        call : http_client.Call
            The request.
        deadline : float
            Monotonic time until which a slot is waited for, in seconds.
        granted : PreSendCheck, optional
            Evaluated last of all, after the upstream was judged to be able to
            take the request; for claims, it marks the claim as sent.
        is_suspect : bool
            The request crashed an upstream before, so it runs alone among such
            requests; a request that only ran beside it does not meet it again.
        may_wait : bool
            Wait for a slot of a warm upstream; otherwise the outcome is busy.
        """
        give_up_at = min(deadline, trio.current_time() + WITHHELD_WAIT_S)
        permit = Permit(upstream, self.may_send)
        if load.needs_recheck(upstream, trio.current_time()):
            with trio.move_on_after(LOOK_TIMEOUT_S):
                await self.refresh(upstream)
        try:
            while True:
                refused = await self._prepare(permit, deadline, is_suspect, may_wait)
                if refused is not None:
                    return Blocked(refused, is_busy=not may_wait)
                outcome = await self.pool.send(call, _pre_send_check(permit, granted))
                if isinstance(outcome, http_client.StreamingResponse):
                    if permit.slot is not None:
                        permit.slot.record_accepted(trio.current_time())
                    kept, permit = permit, Permit(upstream, self.may_send)
                    return Opened(kept, outcome)
                if not isinstance(outcome, http_client.Withheld):
                    return outcome
                if not _worth_waiting(permit) or trio.current_time() > give_up_at:
                    return Blocked(_withheld(permit))
        finally:
            permit.release(has_ended=False)

    async def _prepare(
        self, permit: Permit, deadline: float, is_suspect: bool, may_wait: bool
    ) -> refusal.Refusal | None:
        """Obtain what the request and the last verdict ask for."""
        upstream_id = permit.upstream.instance.id
        if is_suspect:
            if permit.suspect_slot is not None:
                permit.suspect_slot.release(has_ended=False)
                permit.suspect_slot = None
            alone = await self.slots.acquire_suspect(upstream_id, deadline)
            if isinstance(alone, refusal.Refusal):
                return alone
            permit.suspect_slot = alone
        verdict = permit.verdict
        if verdict is None:
            # Connections of any age are judged again before the send.
            verdict = self.may_send(permit.upstream, -1.0, trio.current_time())
        if isinstance(verdict, load.Excluded):
            return None
        slot = permit.slot
        if slot is not None and not slot.covers_cold and _is_newer(verdict):
            await self.refresh(permit.upstream)
            await trio.sleep(REPORT_POLL_S)
            return None
        if slot is not None:
            slot.release(has_ended=False)
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
        """Obtain a slot: quickly while the upstream is warm, else a cold start's."""

        def judge() -> load.Verdict:
            return self.may_send(upstream, -1.0, trio.current_time())

        def is_warm() -> bool:
            return isinstance(judge(), load.Allowed)

        upstream_id = upstream.instance.id
        if is_warm():
            slot = await self.slots.acquire_warm(
                upstream_id, deadline, is_warm, may_wait
            )
            if slot is not None:
                return slot
        verdict = judge()
        if isinstance(verdict, load.Excluded):
            return _barred(upstream, verdict.reason.value)
        return await self.slots.acquire(upstream_id, deadline)


def _pre_send_check(
    permit: Permit, granted: http_client.PreSendCheck | None
) -> http_client.PreSendCheck:
    def check(conn_opened_at: float) -> bool:
        if not permit.check(conn_opened_at):
            return False
        if granted is not None and not granted(conn_opened_at):
            return False
        permit.count()
        return True

    return check


def _is_newer(verdict: load.Verdict) -> bool:
    newer = load.Reason.CONNECTION_NEWER
    return isinstance(verdict, load.NeedsGrant) and verdict.reason is newer


def _worth_waiting(permit: Permit) -> bool:
    return isinstance(permit.verdict, load.NeedsGrant)


def _withheld(permit: Permit) -> refusal.Refusal:
    reason = "the right to send has lapsed"
    if isinstance(permit.verdict, load.Excluded | load.NeedsGrant):
        reason = permit.verdict.reason.value
    return _barred(permit.upstream, reason)


def _barred(upstream: table.Upstream, reason: str) -> refusal.Refusal:
    message = f"upstream {upstream.instance.id} may not be sent to: {reason}"
    return refusal.refuse(refusal.NO_UPSTREAM, message)

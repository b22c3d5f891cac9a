"""Releases slots once a load report confirms that their upstream was warm."""

import collections.abc
import typing

import trio

from snipelug_core import confirmation, table

ABORTED_SLOT_WAIT_S = 2.0
"""Time for which the slot of an aborted request waits for a confirming report."""


class UnconfirmedSlot(typing.Protocol):
    """A slot whose request may have been sent and is not confirmed by a report.

    Attributes
    ----------
    sent : SentRequest or None
        The request, once sent.
    aborted_at : float or None
        Monotonic time at which the request was cut off, in seconds; its upstream may
        still run it.
    """

    sent: confirmation.SentRequest | None
    aborted_at: float | None

    @property
    def holder(self) -> str:
        """Node that granted the slot."""
        ...

    def release_now(self, has_ended: bool) -> None:
        """Release the slot at once."""
        ...


Refresh = collections.abc.Callable[[table.Upstream], collections.abc.Awaitable[None]]


class Confirmer:
    """Tracks unconfirmed slots by upstream and reads load reports for them.

    Parameters
    ----------
    tables : table.Tables
        The upstreams and their newest reports.
    refresh : callable
        Reads an upstream's load report immediately.
    nursery : trio.Nursery
        Runs the reads.
    """

    def __init__(
        self, tables: table.Tables, refresh: Refresh, nursery: trio.Nursery
    ) -> None:
        self._tables = tables
        self._refresh = refresh
        self._nursery = nursery
        self._unconfirmed: dict[str, list[UnconfirmedSlot]] = {}

    def add(self, upstream_id: str, slot: UnconfirmedSlot) -> None:
        """Track a slot whose request is being sent."""
        known = self._unconfirmed.get(upstream_id)
        if known is not None:
            known.append(slot)
            return
        self._unconfirmed[upstream_id] = [slot]
        self._nursery.start_soon(self._watch, upstream_id)

    def unconfirmed(self, upstream_id: str) -> list[UnconfirmedSlot]:
        """Return an upstream's slots that wait for a confirming report."""
        return list(self._unconfirmed.get(upstream_id, ()))

    def discard(self, upstream_id: str, slot: UnconfirmedSlot) -> None:
        """Stop tracking a slot that was released."""
        known = self._unconfirmed.get(upstream_id, [])
        if slot in known:
            known.remove(slot)

    def apply_report(self, upstream_id: str) -> None:
        """Release the slots that the newest report confirms."""
        upstream = self._tables.upstreams.get(upstream_id)
        report = None if upstream is None else upstream.report
        now = trio.current_time()
        is_warm = report is not None and report.state is table.Warmth.WARM
        for slot in list(self._unconfirmed.get(upstream_id, ())):
            if slot.sent is None or confirmation.is_confirmed(slot.sent, report):
                slot.release_now(has_ended=True)
            elif slot.aborted_at is None:
                continue
            elif not is_warm or now - slot.aborted_at > ABORTED_SLOT_WAIT_S:
                slot.release_now(has_ended=False)

    async def _watch(self, upstream_id: str) -> None:
        """Read load reports until no slot waits for one."""
        while unconfirmed := self._unconfirmed[upstream_id]:
            upstream = self._tables.upstreams.get(upstream_id)
            if upstream is None:
                for slot in list(unconfirmed):
                    slot.release_now(has_ended=False)
                break
            sent_requests = [slot.sent for slot in unconfirmed if slot.sent is not None]
            now = trio.current_time()
            await trio.sleep_until(
                confirmation.next_read_at(sent_requests, upstream, now)
            )
            await self._refresh(upstream)
            self.apply_report(upstream_id)
        del self._unconfirmed[upstream_id]

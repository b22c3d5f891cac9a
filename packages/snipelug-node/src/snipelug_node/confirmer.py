"""Gives slots back once a load report confirms that their upstream was warm."""

import collections.abc
import typing

import trio

from snipelug_core import confirmation, table

GIVE_UP_S = 2.0
"""Time for which the slot of a request that was cut off waits for a report."""


class Use(typing.Protocol):
    """A slot in use by a request.

    Attributes
    ----------
    sent : Sent or None
        The send, once it is made.
    cut_at : float or None
        Monotonic time at which the request was cut off; its upstream may run it.
    """

    sent: confirmation.SentRequest | None
    cut_at: float | None

    @property
    def holder(self) -> str:
        """Node that granted the slot."""
        ...

    def give_back(self, has_ended: bool) -> None:
        """Give the slot back."""
        ...


Refresh = collections.abc.Callable[[table.Upstream], collections.abc.Awaitable[None]]


class Confirmer:
    """Slots whose requests were sent and are not confirmed yet, by upstream.

    Parameters
    ----------
    tables : table.Tables
        The upstreams and their newest reports.
    refresh : callable
        Reads an upstream's load report now.
    nursery : trio.Nursery
        Runs the reads.
    """

    def __init__(
        self, tables: table.Tables, refresh: Refresh, nursery: trio.Nursery
    ) -> None:
        self._tables = tables
        self._refresh = refresh
        self._nursery = nursery
        self._open: dict[str, list[Use]] = {}

    def add(self, upstream_id: str, use: Use) -> None:
        """Follow a slot whose request is being sent."""
        known = self._open.get(upstream_id)
        if known is not None:
            known.append(use)
            return
        self._open[upstream_id] = [use]
        self._nursery.start_soon(self._watch, upstream_id)

    def uses(self, upstream_id: str) -> list[Use]:
        """Return the slots at an upstream that wait for a report."""
        return list(self._open.get(upstream_id, ()))

    def discard(self, upstream_id: str, use: Use) -> None:
        """Stop to follow a slot that was given back."""
        known = self._open.get(upstream_id, [])
        if use in known:
            known.remove(use)

    def apply_report(self, upstream_id: str) -> None:
        """Give back the slots that the newest report confirms."""
        upstream = self._tables.upstreams.get(upstream_id)
        report = None if upstream is None else upstream.report
        now = trio.current_time()
        is_warm = report is not None and report.state is table.Warmth.WARM
        for use in list(self._open.get(upstream_id, ())):
            if use.sent is None or confirmation.is_confirmed(use.sent, report):
                use.give_back(has_ended=True)
            elif use.cut_at is None:
                continue
            elif not is_warm or now - use.cut_at > GIVE_UP_S:
                use.give_back(has_ended=False)

    async def _watch(self, upstream_id: str) -> None:
        """Read the load until no slot waits for a report."""
        while uses := self._open[upstream_id]:
            upstream = self._tables.upstreams.get(upstream_id)
            if upstream is None:
                for use in list(uses):
                    use.give_back(has_ended=False)
                break
            sents = [use.sent for use in uses if use.sent is not None]
            now = trio.current_time()
            await trio.sleep_until(confirmation.next_read_at(sents, upstream, now))
            await self._refresh(upstream)
            self.apply_report(upstream_id)
        del self._open[upstream_id]

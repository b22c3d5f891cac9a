"""Keeps a node's beliefs up to date from the platform's store."""

import collections.abc
import logging
import typing

import trio

from snipelug_core import fleet
from snipelug_relay import clock, ports, record, state, stats

LOG = logging.getLogger("snipelug.watch")

INTENT_WAIT_S = 2.0
"""How long the store holds a call for the operator's next change.

Shorter waits notice a silent connection sooner and cost more calls.
"""

LIST_PART = 0.4
"""Part of the time for a drain after which the list of upstreams is read again."""

RETRY_S = 0.2
MOST_RETRY_S = 0.5
"""Pauses after calls that failed."""

OUTAGE_S = 1.2
"""A longer time without the list may have let entries lapse; one heartbeat."""

MEMBER_WRITE_S = 15.0
MEMBER_READ_S = (0.5, 1.0, 2.0, 4.0, 8.0)
"""Times between reads of the members; the last one goes on."""

Answer = typing.TypeVar("Answer")


class Contact:
    """Whether one kind of call to the store works, for the log."""

    def __init__(self, name: str, metrics: stats.Stats) -> None:
        self._name = name
        self._stats = metrics
        self._pause_s = RETRY_S
        self.lost_at: float | None = None
        self.answered_at = clock.now()

    async def note(self, answer: Answer | ports.Unavailable) -> bool:
        """Note an answer; pause after a failed call. Return whether it worked."""
        now = clock.now()
        is_good = not isinstance(answer, ports.Unavailable)
        outcome = "answered" if is_good else "unavailable"
        self._stats.store_calls.labels(self._name, outcome).inc()
        if isinstance(answer, ports.Unavailable):
            if self.lost_at is None:
                self.lost_at = now
                record.warning(LOG, "store_lost", call=self._name, reason=answer.reason)
            await trio.sleep(self._pause_s)
            self._pause_s = min(MOST_RETRY_S, 2 * self._pause_s)
            return False
        if self.lost_at is not None:
            away_s = round(now - self.lost_at, 2)
            record.event(LOG, "store_regained", call=self._name, after_s=away_s)
        self.lost_at = None
        self.answered_at = now
        self._pause_s = RETRY_S
        return True


class Watch:
    """Reads the operator's intents, the list of upstreams and the members."""

    def __init__(
        self,
        cfg: ports.Settings,
        beliefs: state.State,
        store: ports.ControlStore,
        metrics: stats.Stats,
        on_intent: collections.abc.Callable[[], None],
    ) -> None:
        self._cfg = cfg
        self._beliefs = beliefs
        self._store = store
        self._stats = metrics
        self._on_intent = on_intent

    async def run_intents(self) -> None:
        """Follow what the operator wants."""
        contact = Contact("intents", self._stats)
        position: int | None = None
        while True:
            page: ports.Page[ports.Intent] | ports.HistoryLost | ports.Unavailable
            if position is None:
                page = await self._store.read_intents()
            else:
                page = await self._store.watch_intents(position, INTENT_WAIT_S)
            if isinstance(page, ports.HistoryLost):
                record.event(LOG, "history_lost", call="intents", position=position)
                position = None
            elif await contact.note(page) and isinstance(page, ports.Page):
                self._beliefs.take_intents(page.items, is_whole=position is None)
                position = page.position
                self._on_intent()

    async def run_upstreams(self) -> None:
        """Follow the list of upstreams."""
        contact = Contact("upstreams", self._stats)
        position: int | None = None
        grace_until = 0.0
        pause_s = LIST_PART * self._cfg.bounds.drain_s
        while True:
            page: ports.Page[ports.Listing] | ports.HistoryLost | ports.Unavailable
            if position is None:
                page = await self._store.read_upstreams()
            else:
                page = await self._store.watch_upstreams(position, 0.0)
            now = clock.now()
            if isinstance(page, ports.HistoryLost):
                record.event(LOG, "history_lost", call="upstreams", position=position)
                position = None
                continue
            if now - contact.answered_at > pause_s + OUTAGE_S:
                grace_until = now + fleet.REMOVAL_GRACE_S
            if await contact.note(page) and isinstance(page, ports.Page):
                is_whole = position is None
                in_grace = now < grace_until
                self._beliefs.take_listings(page.items, is_whole, in_grace)
                position = page.position
                await trio.sleep(pause_s)

    async def run_members(self) -> None:
        """Keep this node's row and follow the rows of the others."""
        contact = Contact("members", self._stats)
        pauses = iter(MEMBER_READ_S)
        pause_s = next(pauses)
        written_at = -1e9
        while True:
            page = await self._store.read_members()
            if not (await contact.note(page) and isinstance(page, ports.Page)):
                continue
            now = clock.now()
            if now - written_at >= MEMBER_WRITE_S - 1.0:
                member = ports.Member(
                    self._cfg.node_id,
                    self._cfg.zone,
                    page.clock_ms,
                    self._cfg.peers,
                )
                if await contact.note(await self._store.write_member(member)):
                    written_at = now
            self._beliefs.take_members(page)
            await trio.sleep(pause_s)
            pause_s = next(pauses, MEMBER_READ_S[-1])

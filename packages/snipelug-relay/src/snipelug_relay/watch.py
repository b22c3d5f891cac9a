"""Keeps the state of a node up to date with the platform's store."""

import collections.abc
import dataclasses
import logging
import typing

import trio

from snipelug_core import continuity, cursor, fleet, membership
from snipelug_net import lines
from snipelug_relay import announce, clock, messages, ports, state, stats

LOG = logging.getLogger("snipelug.watch")

INTENT_LONG_POLL_S = 1.0
"""Long poll timeout for the operator's next change.

A response says nothing about the time after its call arrived, so intents announced by
a reader are up to two timeouts old. A configuration must be in force within 2 or 3 s.
"""

LIST_INTERVAL_FRACTION = 0.4
"""Interval between reads of the upstream list, as a fraction of the drain time."""

RETRY_PAUSE_S = 0.2
MAX_RETRY_PAUSE_S = 1.0
"""Initial and maximum pause after a failed call; the pause doubles in between.

A configuration must be in force within 2 s of the end of an outage.
"""

MAX_MEMBERS_RETRY_PAUSE_S = 4.0
"""The same maximum for the member table, whose rows are valid for 50 s."""

READER_LATENESS_S = 0.3
"""Delay of a reader's announcement after which a node reads for itself."""

READ_LATENESS_S = 0.3
"""Delay of a node's own read at which its list still counts as up to date."""

MIN_LIST_CHECK_INTERVAL_S = 2.0
MAX_LIST_CHECK_INTERVAL_S = 64.0
"""Minimum interval between whole reads of a list that differs from a reader's.

It doubles up to the maximum while lists differ, as they do for good if the programs of
two nodes decode entries differently.
"""

MEMBER_WRITE_INTERVAL_S = 15.0
MEMBER_READ_INTERVALS_S = (0.5, 1.0, 2.0, 4.0, 8.0, 12.0)
"""Intervals between reads of the member table; the last one repeats."""

Response = typing.TypeVar("Response")


class CallStatus:
    """Tracks and logs whether one kind of call to the store succeeds.

    Parameters
    ----------
    max_pause_s : float
        Maximum pause after a failed call, in seconds.
    """

    def __init__(
        self,
        name: str,
        metrics: stats.Stats,
        max_pause_s: float = MAX_RETRY_PAUSE_S,
    ) -> None:
        self._name = name
        self._max_pause_s = max_pause_s
        self._stats = metrics
        self._pause_s = RETRY_PAUSE_S
        self.lost_at: float | None = None

    async def record(self, response: Response | ports.Unavailable) -> bool:
        """Record a response and pause if it failed; return whether it succeeded."""
        now = clock.now()
        is_success = not isinstance(response, ports.Unavailable)
        outcome = "answered" if is_success else "unavailable"
        self._stats.store_calls.labels(self._name, outcome).inc()
        if isinstance(response, ports.Unavailable):
            if self.lost_at is None:
                self.lost_at = now
                lines.warning(
                    LOG, "store_lost", call=self._name, reason=response.reason
                )
            await trio.sleep(self._pause_s)
            self._pause_s = min(self._max_pause_s, 2 * self._pause_s)
            return False
        if self.lost_at is not None:
            outage_s = round(now - self.lost_at, 2)
            lines.event(LOG, "store_regained", call=self._name, after_s=outage_s)
        self.lost_at = None
        self._pause_s = RETRY_PAUSE_S
        return True


class DemandMeter:
    """Measures the rate of a counter between two readings.

    Parameters
    ----------
    now : float
        Monotonic time at which the counter was 0, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._count = 0
        self._at = now
        self._per_s = 0.0

    def measure(self, count: int, now: float) -> float:
        """Return the counter's increase per second since the previous reading.

        Readings within a second of the previous one return the previous rate.
        """
        passed_s = now - self._at
        if passed_s >= 1.0:
            self._per_s = (count - self._count) / passed_s
            self._count, self._at = count, now
        return self._per_s


class TableCursor:
    """Progress of reading one table.

    Attributes
    ----------
    position : int or None
        Position from which changes are read next; None to read the whole table.
    epoch : int or None
        Epoch of the store in which the table was last read; None before the first read.
    current_at : float
        When the table was last known to be up to date, in seconds.
    read_requested : trio.Event
        Set when this node must read the table itself.
    """

    def __init__(self) -> None:
        self.position: int | None = None
        self.epoch: int | None = None
        self.current_at = -1e9
        self.read_requested = trio.Event()

    @property
    def known(self) -> cursor.Position | None:
        """The position with its epoch; None to read the whole table."""
        if self.position is None or self.epoch is None:
            return None
        return cursor.Position(self.epoch, self.position)

    def is_restored(self, epoch: int) -> bool:
        """Return whether the store was restored since the table was last read."""
        return self.epoch is not None and epoch > self.epoch

    def advance(
        self, position: int, epoch: int, current_at: float | None = None
    ) -> None:
        """Record that the table has been read up to a position.

        Parameters
        ----------
        current_at : float or None
            When the table was up to date, in seconds; None for now.
        """
        self.position = position
        self.epoch = epoch
        now = clock.now()
        known_at = now if current_at is None else min(current_at, now)
        self.current_at = max(self.current_at, known_at)

    def restart(self) -> None:
        """Request that this node read the whole table at once."""
        self.position = None
        self.request_read()

    def request_read(self) -> None:
        """Request that this node read the table at once."""
        self.read_requested.set()


def _newest(
    items: collections.abc.Iterable[ports.Listing],
) -> collections.abc.Iterator[ports.Listing]:
    """Generate the last item of each upstream."""
    newest: dict[str, ports.Listing] = {}
    for item in items:
        match item:
            case fleet.Entry(upstream_id):
                newest[upstream_id] = item
            case ports.Removed(str() as upstream_id) | ports.Unreadable(upstream_id):
                newest[upstream_id] = item
    yield from newest.values()


class Watch:
    """Watches the operator's intents, the list of upstreams and the member table."""

    def __init__(
        self,
        cfg: ports.Settings,
        node_state: state.State,
        store: ports.ControlStore,
        metrics: stats.Stats,
        on_intent: collections.abc.Callable[[], None],
        announcer: announce.Announcer,
    ) -> None:
        self._announcer = announcer
        self._intents_cursor = TableCursor()
        self._list_cursor = TableCursor()
        announcer.set_handler(messages.IntentsRead, self._on_intents_read)
        announcer.set_handler(messages.ListRead, self._on_list_read)
        self._list_interval_s = LIST_INTERVAL_FRACTION * cfg.bounds.drain_s
        self._continuity = continuity.Continuity(
            clock.now(), self._list_interval_s + READER_LATENESS_S + READ_LATENESS_S
        )
        self._list_kept_until = -1e9
        self._list_check_due = -1e9
        self._list_check_interval_s = MIN_LIST_CHECK_INTERVAL_S
        self._was_reader = True
        node_state.add_restore_handler(self._on_restore)
        self._cfg = cfg
        self._state = node_state
        self._store = store
        self._stats = metrics
        self._on_intent = on_intent

    def _on_restore(self) -> None:
        """Read both tables whole, as positions ended with the epoch of the store."""
        for table in (self._intents_cursor, self._list_cursor):
            if table.position is not None:
                table.restart()

    @property
    def _newest_epoch(self) -> int:
        return self._state.store_epoch or 0

    def _judge(
        self, table: TableCursor, since: cursor.Position | None, read: cursor.Position
    ) -> cursor.Decision:
        """Decide what to do with a response on a table."""
        if since is None:
            return cursor.judge_whole(read, self._newest_epoch)
        decision = cursor.judge_changes(table.known, since, read, self._newest_epoch)
        if decision is cursor.Decision.READ:
            table.position = None
        return decision

    def _judge_announcement(
        self,
        table: TableCursor,
        message: messages.IntentsRead | messages.ListRead,
        is_complete: bool,
    ) -> cursor.Decision:
        """Decide what to do with an announcement on a table."""
        decision = cursor.judge_announcement(
            table.known,
            message.since,
            cursor.Position(message.epoch, message.position),
            is_complete,
            self._newest_epoch,
        )
        if decision is cursor.Decision.READ and not self._state.is_reader:
            # Two readers whose announcements are cut would make each other read
            # without a pause.
            table.request_read()
        return decision

    async def run_intents(self) -> None:
        """Watch the operator's intents."""
        call_status = CallStatus("intents", self._stats)
        while True:
            if await self._wait_for_reader(
                self._intents_cursor, INTENT_LONG_POLL_S + READER_LATENESS_S
            ):
                continue
            since = self._intents_cursor.known
            sent_at = clock.now()
            page: ports.Page[ports.Intent] | ports.HistoryLost | ports.Unavailable
            if since is None:
                page = await self._store.read_intents()
            else:
                wait_s = INTENT_LONG_POLL_S if self._state.is_reader else 0.0
                page = await self._store.watch_intents(since.version, wait_s)
            if isinstance(page, ports.HistoryLost):
                position = self._intents_cursor.position
                lines.event(LOG, "history_lost", call="intents", position=position)
                self._intents_cursor.position = None
            elif await call_status.record(page) and isinstance(page, ports.Page):
                decision = self._apply_intents(page, since, sent_at)
                if decision is cursor.Decision.DROP:
                    await trio.sleep(RETRY_PAUSE_S)

    def _apply_intents(
        self,
        page: ports.Page[ports.Intent],
        since: cursor.Position | None,
        sent_at: float,
    ) -> cursor.Decision:
        store_clock = self._state.store_clock
        self._state.record_response(page, sent_at, clock.now())
        table = self._intents_cursor
        decision = self._judge(table, since, cursor.Position(page.epoch, page.position))
        if decision is not cursor.Decision.APPLY:
            return decision
        is_restored = table.is_restored(page.epoch)
        # A change can be missing from a held response, so it is as old as its call.
        clock_ms = min(page.clock_ms, store_clock.latest_ms(sent_at))
        self._state.apply_intents(
            page.items, clock_ms, is_whole=since is None, epoch=page.epoch
        )
        table.advance(page.position, page.epoch)
        if self._state.is_reader and (since is not None or is_restored):
            # After a restore the other nodes must read the table for themselves.
            start = page.position if since is None else since.version
            has_changes = since is not None and bool(page.items)
            self._announcer.send_to_zone(
                messages.IntentsRead(
                    start, page.position, clock_ms, has_changes, page.epoch
                )
            )
        self._on_intent()
        return decision

    def _on_intents_read(self, message: messages.IntentsRead) -> None:
        """Apply a reader's announcement on the operator's table."""
        table = self._intents_cursor
        decision = self._judge_announcement(table, message, not message.has_changes)
        if decision is cursor.Decision.APPLY:
            self._state.confirm(message.clock_ms)
            table.advance(message.position, message.epoch)

    async def run_upstreams(self) -> None:
        """Watch the list of upstreams."""
        call_status = CallStatus("upstreams", self._stats)
        pause_s = self._list_interval_s
        while True:
            if await self._wait_for_reader(
                self._list_cursor, pause_s + READER_LATENESS_S
            ):
                continue
            if self._state.is_reader and not self._was_reader:
                # Its digest is what the other nodes compare theirs with.
                self._list_cursor.position = None
            self._was_reader = self._state.is_reader
            self._list_cursor.read_requested = trio.Event()
            since = self._list_cursor.known
            sent_at = clock.now()
            page: ports.Page[ports.Listing] | ports.HistoryLost | ports.Unavailable
            if since is None:
                page = await self._store.read_upstreams()
            else:
                page = await self._store.watch_upstreams(since.version, 0.0)
            if isinstance(page, ports.HistoryLost):
                position = self._list_cursor.position
                lines.event(LOG, "history_lost", call="upstreams", position=position)
                self._list_cursor.position = None
                continue
            if await call_status.record(page) and isinstance(page, ports.Page):
                self._state.record_response(page, sent_at, clock.now())
                match self._apply_listings(page, since, sent_at):
                    case cursor.Decision.APPLY if self._state.is_reader:
                        with trio.move_on_after(pause_s):
                            await self._list_cursor.read_requested.wait()
                    case cursor.Decision.DROP:
                        await trio.sleep(RETRY_PAUSE_S)

    def _apply_listings(
        self,
        page: ports.Page[ports.Listing],
        since: cursor.Position | None,
        sent_at: float,
    ) -> cursor.Decision:
        # A peer's announcement may have been applied since the read was sent, or the
        # whole list requested.
        table = self._list_cursor
        known = table.known
        read = cursor.Position(page.epoch, page.position)
        decision = self._judge(table, since, read)
        if decision is not cursor.Decision.APPLY:
            return decision
        self._continuity.record_current(sent_at, clock.now())
        is_restored = table.is_restored(page.epoch)
        items = list(_newest(page.items))
        message: messages.ListRead | None = None
        if self._state.is_reader and since is not None and known is not None:
            message = self._describe_changes(items, known.version, read, page.clock_ms)
        elif self._state.is_reader and is_restored:
            # The other nodes must read the list for themselves.
            message = self._describe_changes([], page.position, read, page.clock_ms)
        if is_restored:
            self._list_kept_until = clock.now() + continuity.KEEP_S
        kept_until = self._continuity.keeps_until
        if since is None:
            kept_until = max(kept_until, self._list_kept_until)
        self._state.apply_listings(items, since is None, kept_until, is_restored)
        table.advance(page.position, page.epoch)
        if message is not None:
            message.digest = self._state.fleet.digest
            self._announce_list(message)
        return decision

    def _describe_changes(
        self,
        items: collections.abc.Iterable[ports.Listing],
        since: int,
        read: cursor.Position,
        clock_ms: float,
    ) -> messages.ListRead:
        """Return an announcement of the changes to what this node knows."""
        entries, removed = [], []
        for item in items:
            match item:
                case fleet.Entry():
                    if self._state.fleet.differs(item):
                        entries.append(item)
                case ports.Removed(str() as upstream_id):
                    removed.append(upstream_id)
                case ports.Unreadable(key):
                    removed.append(key)
        is_keeping = clock.now() < self._continuity.keeps_until
        return messages.ListRead(
            since,
            read.version,
            is_keeping,
            entries,
            removed,
            epoch=read.epoch,
            clock_ms=clock_ms,
        )

    def _announce_list(self, message: messages.ListRead) -> None:
        """Announce changes of the list to the zone, or only that there are some."""
        if not self._announcer.send_to_zone(message):
            message.entries, message.removed, message.is_cut = [], [], True
            self._announcer.send_to_zone(message)

    def expire(self) -> None:
        """End what is kept for some time after an outage or a restore of the store.

        Missing entries are removed by a whole read only. A node that cannot read does
        not know whether they have returned, and an entry that returned between two
        reads of a reader was no change to it, so it was not announced to other nodes.
        """
        if self._state.expire() and self._list_cursor.position is not None:
            self._list_cursor.restart()

    def _on_list_read(self, message: messages.ListRead) -> None:
        """Apply the changes of the list that a reader has announced."""
        decision = self._judge_announcement(
            self._list_cursor, message, not message.is_cut
        )
        if decision is not cursor.Decision.APPLY:
            return
        items: list[ports.Listing] = [*message.entries]
        items += [ports.Removed(upstream_id) for upstream_id in message.removed]
        now = clock.now()
        read_at = now
        if message.clock_ms is not None:
            read_at = self._state.store_clock.earliest_at(message.clock_ms)
        self._continuity.record_current(read_at, now)
        self._state.apply_listings(items, False, self._continuity.keeps_until)
        # One that waited while this node was suspended does not put off its own read.
        self._list_cursor.advance(
            message.position, message.epoch, read_at + READER_LATENESS_S
        )
        self._check_digest(message)

    def _check_digest(self, message: messages.ListRead) -> None:
        """Read the list whole if this node knows another one than a reader.

        A reader does not announce an entry that was removed, or had another content,
        only between two of its reads. A node that read meanwhile keeps what it saw.
        """
        own = self._state.fleet.digest
        if message.digest is None or own is None:
            return
        if own == message.digest:
            self._list_check_interval_s = MIN_LIST_CHECK_INTERVAL_S
            return
        now = clock.now()
        if now < self._list_check_due:
            return
        self._list_check_due = now + self._list_check_interval_s
        self._list_check_interval_s = min(
            2 * self._list_check_interval_s, MAX_LIST_CHECK_INTERVAL_S
        )
        lines.warning(LOG, "list_differs", position=message.position)
        self._list_cursor.restart()

    async def _wait_for_reader(self, table: TableCursor, limit_s: float) -> bool:
        """Wait while a reader of the zone reads a table for this node.

        Returns
        -------
        bool
            Whether to keep waiting; False if this node must read the table itself.
        """
        if self._state.is_reader or table.position is None:
            return False
        left_s = table.current_at + limit_s - clock.now()
        if left_s <= 0 or table.read_requested.is_set():
            table.read_requested = trio.Event()
            return False
        with trio.move_on_after(min(left_s, limit_s)):
            await table.read_requested.wait()
        return True

    async def run_members(self) -> None:
        """Refresh this node's row in the member table and read the other rows.

        Both are done at once when the store was restored.
        """
        call_status = CallStatus("members", self._stats, MAX_MEMBERS_RETRY_PAUSE_S)
        pauses = iter(MEMBER_READ_INTERVALS_S)
        write_from = -1e9
        demand = DemandMeter(clock.now())
        rows = membership.Rows(1e3 * state.MEMBER_MAX_AGE_S)
        known: dict[str, ports.Member] = {}
        started_ms: float | None = None
        restored = trio.Event()

        def on_restore() -> None:
            nonlocal pauses, write_from
            pauses = iter(MEMBER_READ_INTERVALS_S)
            write_from = -1e9
            restored.set()

        self._state.add_restore_handler(on_restore)
        while True:
            sent_at = clock.now()
            page = await self._store.read_members()
            now = clock.now()
            if isinstance(page, ports.Page) and not self._state.record_response(
                page, sent_at, now
            ):
                page = ports.Unavailable("the response precedes a restore of the store")
            if not (await call_status.record(page) and isinstance(page, ports.Page)):
                continue
            restored = trio.Event()
            if started_ms is None:
                started_ms = page.clock_ms
            if now >= write_from:
                demand_per_s = demand.measure(self._state.requests_received, now)
                written = await self._write_own_row(
                    page.clock_ms, demand_per_s, started_ms
                )
                is_current = self._state.store_epoch == page.epoch
                if await call_status.record(written) and is_current:
                    write_from = now + MEMBER_WRITE_INTERVAL_S - 1.0
            known |= {member.node_id: member for member in page.items}
            seen_ms = rows.update(
                {member.node_id: member.seen_ms for member in page.items},
                page.clock_ms,
                page.epoch,
                self._state.clock_epoch,
            )
            known = {node_id: known[node_id] for node_id in seen_ms}
            items = [
                dataclasses.replace(known[node_id], seen_ms=at_ms)
                for node_id, at_ms in seen_ms.items()
            ]
            self._state.apply_members(dataclasses.replace(page, items=items), sent_at)
            with trio.move_on_after(next(pauses, MEMBER_READ_INTERVALS_S[-1])):
                await restored.wait()

    async def _write_own_row(
        self, clock_ms: float, demand_per_s: float, started_ms: float
    ) -> ports.Unavailable | None:
        """Write this node's member row, or remove it during a planned stop.

        A restored store has the row again that was removed when the stop began.
        """
        if self._state.is_stopping:
            return await self._store.remove_member(self._cfg.node_id)
        return await self._store.write_member(
            ports.Member(
                self._cfg.node_id,
                self._cfg.zone,
                clock_ms,
                self._cfg.peers,
                demand_per_s,
                started_ms,
            )
        )

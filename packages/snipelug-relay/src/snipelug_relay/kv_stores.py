"""Polls the KV cache stores and frees parts of outdated weight versions."""

import itertools
import logging

import trio

from snipelug_core import kv_index
from snipelug_net import lines
from snipelug_relay import announce, clock, messages, ports, state, stats

LOG = logging.getLogger("snipelug.kv_stores")

POLL_INTERVAL_S = 1.0
"""Interval between polls of a store; its parts stay usable for 1.6 s after a poll."""

GATHER_TIMEOUT_S = 0.15
"""Time to wait for responses before they are announced to the zone.

Later responses are announced in the next round. The sum with ``POLL_INTERVAL_S`` is
below ``MAX_REPORT_AGE_S``, so that one unresponsive store does not make all nodes of a
zone poll the other stores.
"""

CHECK_INTERVAL_S = 0.5
"""Interval between checks for stores that are due; half of ``POLL_INTERVAL_S``."""

MAX_REPORT_AGE_S = 1.25
"""Age of a store's last poll at which nodes that are not its reader poll it, too."""

FREE_TIMEOUT_S = 1.0
"""Time after which a store ignores a call that frees parts."""

FREE_BATCH_SIZE = 200
"""Parts freed per call; a call is about 10 KB."""


class KvStorePoller:
    """Polls each store and shares the results with the zone."""

    def __init__(
        self,
        cfg: ports.Settings,
        node_state: state.State,
        machines: ports.Machines,
        announcer: announce.Announcer,
        metrics: stats.Stats,
    ) -> None:
        self._announcer = announcer
        self._stats = metrics
        self._pending_reports: list[messages.KvStoreRead] = []
        self._polling: set[str] = set()
        self._poll_started_at: dict[str, float] = {}
        announcer.set_handler(messages.KvStoresRead, self._on_stores_read)
        self._cfg = cfg
        self._state = node_state
        self._machines = machines

    async def run(self) -> None:
        """Poll all stores until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                started_at = clock.now()
                known = list(self._state.index.store_states.values())
                due = [
                    store_state
                    for store_state in known
                    if self._is_due(store_state, started_at)
                ]
                for store_state in due:
                    nursery.start_soon(self._update, store_state)
                if due:
                    await trio.sleep(GATHER_TIMEOUT_S)
                    self._announce_reports()
                with trio.move_on_after(
                    max(0.0, started_at + CHECK_INTERVAL_S - clock.now())
                ):
                    await self._state.stores_changed.wait()
                self._state.stores_changed = trio.Event()

    def _is_due(self, store_state: kv_index.StoreState, now: float) -> bool:
        """Return whether this node polls a store now, for its zone or for itself."""
        name = store_state.store.name
        if name in self._polling:
            return False
        if self._state.reads_store(name) or self._state.frees_store(store_state.store):
            # Half a check interval of tolerance, as the checks run slightly late.
            return (
                now - self._poll_started_at.get(name, -1e9)
                > POLL_INTERVAL_S - CHECK_INTERVAL_S / 2
            )
        return now - store_state.polled_at > MAX_REPORT_AGE_S

    async def _update(self, store_state: kv_index.StoreState) -> None:
        """Poll and free one store; its errors must not end the polls of the others."""
        try:
            await self._poll_and_free(store_state)
        except Exception as exc:
            name = store_state.store.name
            self._stats.task_failures.labels("kv_stores").inc()
            LOG.error("kv_store_failed", extra={"store": name}, exc_info=exc)

    async def _poll_and_free(self, store_state: kv_index.StoreState) -> None:
        name = store_state.store.name
        self._polling.add(name)
        self._poll_started_at[name] = clock.now()
        try:
            await self._poll(store_state)
            if self._state.saves.needs_list(store_state, clock.now()):
                await self._read_all(store_state, clock.now())
        finally:
            self._polling.discard(name)
        if store_state.is_fresh(clock.now()) and self._state.frees_store(
            store_state.store
        ):
            await self._free(store_state)

    async def _poll(self, store_state: kv_index.StoreState) -> None:
        addr = (store_state.store.host, store_state.store.port)
        sent_at = clock.now()
        since = store_state.next_event
        page = await self._machines.store_events(addr, since)
        if isinstance(page, ports.Unavailable):
            if store_state.epoch is not None and store_state.is_fresh(sent_at):
                lines.warning(
                    LOG,
                    "kv_store_lost",
                    store=store_state.store.name,
                    reason=page.reason,
                )
            store_state.polled_at = -1e9
            return
        is_new = page.epoch != store_state.epoch
        if not is_new and _answers_earlier_poll(page, store_state, since):
            store_state.polled_at = -1e9
            return
        if is_new:
            lines.event(
                LOG,
                "kv_store_epoch",
                store=store_state.store.name,
                epoch=page.epoch,
                before=store_state.epoch,
            )
            self._state.saves.record_restart(store_state)
            # The call may have waited for the restart.
            store_state.restart(page.epoch, clock.now())
        if page.clock_s is not None:
            # The store read its clock before the response arrived, so this is a lower
            # bound of the offset, and transfers end no later than intended.
            store_state.clock_offset_s = page.clock_s - clock.now()
            store_state.clock_sample = (sent_at, page.clock_s)
        if (is_new and store_state.next_event > 0) or page.has_gap:
            await self._read_all(store_state, sent_at)
            return
        if store_state.next_event != since:
            # A reader has announced these and newer events in the meantime.
            return
        store_state.next_event = page.next
        self._apply_events(store_state, page.events)
        store_state.polled_at = sent_at
        is_reader = self._state.reads_store(store_state.store.name)
        if page.clock_s is not None and is_reader:
            self._queue_report(store_state, since, page, page.clock_s)

    def _queue_report(
        self,
        store_state: kv_index.StoreState,
        since: int,
        page: ports.StoreEvents,
        clock_s: float,
    ) -> None:
        stored = [
            (*event.key, event.tokens if isinstance(event, ports.Stored) else 0)
            for event in page.events
        ]
        message = messages.KvStoreRead(
            store_state.store.name, page.epoch, since, page.next, clock_s, stored
        )
        self._pending_reports.append(message)

    def _announce_reports(self) -> None:
        """Announce the results of this round of polls to the zone, in few datagrams."""
        reports, self._pending_reports = self._pending_reports, []
        self._announce_batch(reports)

    def _announce_batch(self, reports: list[messages.KvStoreRead]) -> None:
        if not reports or self._announcer.send_to_zone(messages.KvStoresRead(reports)):
            return
        # Other nodes poll a store whose events do not fit into one datagram.
        half = len(reports) // 2
        if half:
            self._announce_batch(reports[:half])
            self._announce_batch(reports[half:])

    def _on_stores_read(self, message: messages.KvStoresRead) -> None:
        for item in message.kv_stores:
            self._apply_report(item)

    def _apply_report(self, message: messages.KvStoreRead) -> None:
        """Apply the changes of a store that a reader has announced."""
        store_state = self._state.index.store_states.get(message.store)
        if (
            store_state is None
            or store_state.clock_sample is None
            or message.epoch != store_state.epoch
        ):
            return
        if (
            message.since > store_state.next_event
            or message.next < store_state.next_event
        ):
            return
        now = clock.now()
        for salt, part, tokens in message.stored:
            if tokens > 0:
                store_state.add((salt, part), tokens, now)
            else:
                self._drop(store_state, (salt, part))
        store_state.next_event = message.next
        # The store's clock gives a lower bound for the age of the reader's poll.
        sent_at, clock_s = store_state.clock_sample
        polled_at = sent_at + message.clock_s - clock_s
        store_state.polled_at = max(store_state.polled_at, min(now, polled_at))

    async def _read_all(self, store_state: kv_index.StoreState, sent_at: float) -> None:
        """Read the complete list after a gap in the events."""
        addr = (store_state.store.host, store_state.store.port)
        requested_at = clock.now()
        page = await self._machines.store_list(addr)
        if isinstance(page, ports.Unavailable) or page.epoch != store_state.epoch:
            store_state.polled_at = -1e9
            return
        now = clock.now()
        gone = store_state.replace({part.key: part.tokens for part in page.parts}, now)
        self._state.saves.record_freed(store_state, gone, now)
        self._state.saves.record_list(store_state, set(page.partial), requested_at)
        store_state.next_event = page.next
        store_state.polled_at = sent_at
        lines.event(
            LOG, "kv_store_listed", store=store_state.store.name, parts=len(page.parts)
        )

    def _apply_events(
        self, store_state: kv_index.StoreState, events: list[ports.Stored | ports.Freed]
    ) -> None:
        for event in events:
            match event:
                case ports.Stored(key, tokens):
                    store_state.add(key, tokens, clock.now())
                case ports.Freed(key):
                    self._drop(store_state, key)

    def _drop(self, store_state: kv_index.StoreState, key: kv_index.PartKey) -> None:
        store_state.drop(key)
        self._state.saves.record_freed(store_state, [key], clock.now())

    async def _free(self, store_state: kv_index.StoreState) -> None:
        """Free the parts that no request can read any longer."""
        keys = self._outdated_parts(store_state)
        epoch = store_state.epoch
        is_freed = epoch is not None
        # Space is scarce during a rollout: stores hold little more than one version.
        for start in range(0, len(keys), FREE_BATCH_SIZE):
            batch = keys[start : start + FREE_BATCH_SIZE]
            if is_freed and epoch is not None:
                is_freed = await self._free_batch(store_state, batch, epoch)
        if keys:
            lines.event(
                LOG,
                "parts_freed",
                store=store_state.store.name,
                count=len(keys),
                is_freed=is_freed,
                versions=[f"{m}.{v}" for m, v in store_state.versions],
            )

    def _outdated_parts(
        self, store_state: kv_index.StoreState
    ) -> list[kv_index.PartKey]:
        """Return the parts whose owner is gone, one batch, and of replaced weights."""
        now = clock.now()
        known = self._state.catalog
        keys: dict[kv_index.PartKey, None] = {}
        is_current = now - self._state.confirmed_at < kv_index.OWNER_CONFIRMED_S
        if known is not None and is_current:
            since = self._state.owners_since
            found = kv_index.unowned_parts(store_state, known, since, now)
            keys |= dict.fromkeys(itertools.islice(found, FREE_BATCH_SIZE))
        return list(keys | dict.fromkeys(kv_index.outdated_parts(store_state, now)))

    async def _free_batch(
        self, store_state: kv_index.StoreState, keys: list[kv_index.PartKey], epoch: int
    ) -> bool:
        addr = (store_state.store.host, store_state.store.port)
        offset_s = store_state.clock_offset_s
        until_s = None if offset_s is None else clock.now() + offset_s + FREE_TIMEOUT_S
        is_freed = await self._machines.free(addr, keys, epoch, until_s)
        for key in keys if is_freed else ():
            # No node reads it any more, so that it may be saved again.
            store_state.drop(key)
        return is_freed


def _answers_earlier_poll(
    page: ports.StoreEvents, store_state: kv_index.StoreState, since: int
) -> bool:
    """Return whether a page is the late copy of an earlier response.

    The positions and the clock of a store only rise until it restarts.
    """
    if page.next < since:
        return True
    if page.clock_s is None or store_state.clock_sample is None:
        return False
    _, last_clock_s = store_state.clock_sample
    return page.clock_s <= last_clock_s

"""Follows the stores of KV cache and frees parts of replaced weights."""

import logging

import trio

from snipelug_core import kv_index
from snipelug_net import lines
from snipelug_relay import announce, clock, messages, ports, state

LOG = logging.getLogger("snipelug.kv_stores")

POLL_S = 1.0
"""Time from one poll to the next; parts stay usable for 1.6 s after a poll."""

GATHER_S = 0.15
"""Time for the answers of stores before they are told; later ones wait for the next.

The sum with ``POLL_S`` stays below ``TOLD_S``, so one silent store does not make all
nodes of a zone poll the others.
"""

LOOK_S = 0.5
"""Pause between looks at which stores are due; half of ``POLL_S``."""

TOLD_S = 1.25
"""Age of a store's last poll after which a node that does not watch it polls itself."""

FREE_AT_ONCE = 200
"""Parts freed by one call, about 10 KB."""


class KvStorePoller:
    """Polls each store."""

    def __init__(
        self,
        cfg: ports.Settings,
        node_state: state.State,
        machines: ports.Machines,
        announcer: announce.Announcer,
    ) -> None:
        self._announcer = announcer
        self._told: list[messages.KvStoreRead] = []
        self._visited: set[str] = set()
        self._visited_at: dict[str, float] = {}
        announcer.on(messages.KvStoresRead, self._hear_all)
        self._cfg = cfg
        self._state = node_state
        self._machines = machines

    async def run(self) -> None:
        """Poll all stores until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                began = clock.now()
                known = list(self._state.index.store_states.values())
                due = [
                    store_state
                    for store_state in known
                    if self._is_due(store_state, began)
                ]
                for store_state in due:
                    nursery.start_soon(self._visit, store_state)
                if due:
                    await trio.sleep(GATHER_S)
                    self._tell_all()
                with trio.move_on_after(max(0.0, began + LOOK_S - clock.now())):
                    await self._state.stores_changed.wait()
                self._state.stores_changed = trio.Event()

    def _is_due(self, store_state: kv_index.StoreState, now: float) -> bool:
        """Tell whether this node polls a store now, for others or for itself."""
        name = store_state.store.name
        if name in self._visited:
            return False
        if self._state.reads_store(name) or self._state.frees_store(name):
            # Half a look is left over, as the looks come a little late.
            return now - self._visited_at.get(name, -1e9) > POLL_S - LOOK_S / 2
        return now - store_state.polled_at > TOLD_S

    async def _visit(self, store_state: kv_index.StoreState) -> None:
        name = store_state.store.name
        self._visited.add(name)
        self._visited_at[name] = clock.now()
        try:
            await self._poll(store_state)
        finally:
            self._visited.discard(name)
        if store_state.is_fresh(clock.now()) and self._state.frees_store(name):
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
        if is_new:
            lines.event(
                LOG,
                "kv_store_epoch",
                store=store_state.store.name,
                epoch=page.epoch,
                before=store_state.epoch,
            )
            store_state.restart(page.epoch, sent_at)
        if (is_new and store_state.next_event > 0) or page.has_gap:
            await self._read_all(store_state, sent_at)
            return
        if store_state.next_event != since:
            # A watcher has told these events and newer ones meanwhile.
            return
        store_state.next_event = page.next
        self._take(store_state, page.events)
        store_state.polled_at = sent_at
        if page.clock_s is not None:
            # The store told its clock before the answer came, so this is a lower
            # bound of the difference and transfers end no later than meant.
            store_state.clock_offset_s = page.clock_s - clock.now()
            store_state.clock_sample = (sent_at, page.clock_s)
            if self._state.reads_store(store_state.store.name):
                self._tell(store_state, since, page, page.clock_s)

    def _tell(
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
        told = messages.KvStoreRead(
            store_state.store.name, page.epoch, since, page.next, clock_s, stored
        )
        self._told.append(told)

    def _tell_all(self) -> None:
        """Tell the zone what this round of polls has shown, in few datagrams."""
        told, self._told = self._told, []
        self._tell_some(told)

    def _tell_some(self, told: list[messages.KvStoreRead]) -> None:
        if not told or self._announcer.tell_zone(messages.KvStoresRead(told)):
            return
        # A store with too many events for a datagram is polled by the others.
        half = len(told) // 2
        if half:
            self._tell_some(told[:half])
            self._tell_some(told[half:])

    def _hear_all(self, told: messages.KvStoresRead) -> None:
        for item in told.kv_stores:
            self._hear(item)

    def _hear(self, told: messages.KvStoreRead) -> None:
        """Take from a watcher what changed in a store."""
        store_state = self._state.index.store_states.get(told.store)
        if (
            store_state is None
            or store_state.clock_sample is None
            or told.epoch != store_state.epoch
        ):
            return
        if told.since > store_state.next_event or told.next < store_state.next_event:
            return
        now = clock.now()
        for salt, part, tokens in told.stored:
            if tokens > 0:
                store_state.add((salt, part), tokens, now)
            else:
                store_state.drop((salt, part))
        store_state.next_event = told.next
        # The store's clock tells how old the watcher's poll is at least.
        sent_at, clock_s = store_state.clock_sample
        polled_at = sent_at + told.clock_s - clock_s
        store_state.polled_at = max(store_state.polled_at, min(now, polled_at))

    async def _read_all(self, store_state: kv_index.StoreState, sent_at: float) -> None:
        """Read the whole list after a gap in the events."""
        addr = (store_state.store.host, store_state.store.port)
        page = await self._machines.store_list(addr)
        if isinstance(page, ports.Unavailable) or page.epoch != store_state.epoch:
            store_state.polled_at = -1e9
            return
        store_state.clear()
        for part in page.parts:
            store_state.add(part.key, part.tokens, clock.now())
        store_state.next_event = page.next
        store_state.polled_at = sent_at
        lines.event(
            LOG, "kv_store_listed", store=store_state.store.name, parts=len(page.parts)
        )

    def _take(
        self, store_state: kv_index.StoreState, events: list[ports.Stored | ports.Freed]
    ) -> None:
        for event in events:
            match event:
                case ports.Stored(key, tokens):
                    store_state.add(key, tokens, clock.now())
                case ports.Freed(key):
                    store_state.drop(key)

    async def _free(self, store_state: kv_index.StoreState) -> None:
        """Free the parts that no request can read any more."""
        keys = list(kv_index.outdated_parts(store_state, clock.now()))
        epoch = store_state.epoch
        is_freed = epoch is not None
        # Space is scarce after new weights: stores hold little more than one version.
        for start in range(0, len(keys), FREE_AT_ONCE):
            some = keys[start : start + FREE_AT_ONCE]
            if is_freed and epoch is not None:
                is_freed = await self._free_some(store_state, some, epoch)
        if keys:
            lines.event(
                LOG,
                "parts_freed",
                store=store_state.store.name,
                count=len(keys),
                is_freed=is_freed,
                versions=[f"{m}.{v}" for m, v in store_state.versions],
            )

    async def _free_some(
        self, store_state: kv_index.StoreState, keys: list[kv_index.PartKey], epoch: int
    ) -> bool:
        addr = (store_state.store.host, store_state.store.port)
        is_freed = await self._machines.free(addr, keys, epoch)
        for key in keys if is_freed else ():
            store_state.drop(key)
        return is_freed

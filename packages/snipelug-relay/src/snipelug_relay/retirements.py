"""Shares with other nodes when weight versions were named.

A node that starts, or reads a version late, does not know when it was named. Nodes that
were reading the operator's table at that time write it to the platform's store.
"""

import dataclasses
import logging

import trio

from snipelug_core import retirement
from snipelug_net import lines
from snipelug_relay import clock, ports, state, stats, watch

LOG = logging.getLogger("snipelug.retirements")

RANK_DELAY_S = 0.35
"""Delay per rank before a node compares the row with what it knows.

The first nodes write; most of the others find the row written.
"""

RETRY_INTERVAL_S = 0.25
"""Interval between reads while other nodes may still write what this node lacks."""

MIN_GAIN_MS = 300.0
"""Time by which a write must prolong the use of outdated versions."""


@dataclasses.dataclass(frozen=True)
class Exchange:
    """An exchange about the newest version of a model that is not complete.

    Attributes
    ----------
    version : int
        The newest version when the exchange began.
    write_at, ends_at : float
        Monotonic times from which this node may write, and at which it gives up.
    """

    version: int
    write_at: float
    ends_at: float


class RetirementSync:
    """Reads and writes the rows with the times of namings when a version is named."""

    def __init__(
        self,
        cfg: ports.Settings,
        node_state: state.State,
        store: ports.ControlStore,
        metrics: stats.Stats,
    ) -> None:
        self._cfg = cfg
        self._state = node_state
        self._store = store
        self._stats = metrics
        self._begun: dict[str, int] = {}
        self._open: dict[str, Exchange] = {}
        self._changed = trio.Event()
        node_state.add_restore_handler(self._on_restore)

    def _on_restore(self) -> None:
        """Begin all exchanges again, as rows may be gone."""
        self._begun.clear()
        self.wake()

    def wake(self) -> None:
        """Begin an exchange for each model with a version that is new to this node."""
        now = clock.now()
        for model, version in self._state.latest_versions().items():
            if self._begun.get(model) != version:
                self._begun[model] = version
                write_at = now + RANK_DELAY_S * self._state.rank("retirements")
                ends_at = now + self._cfg.bounds.version_s
                self._open[model] = Exchange(version, write_at, ends_at)
                self._changed.set()

    async def run(self) -> None:
        """Run until cancelled."""
        call_status = watch.CallStatus("retirements", self._stats)
        while True:
            self._changed = trio.Event()
            if not self._open:
                await self._changed.wait()
            elif any(self._is_due(model) for model in self._open):
                page = await self._read()
                if await call_status.record(page) and isinstance(page, ports.Page):
                    await self._exchange(page)
            with trio.move_on_after(RETRY_INTERVAL_S if self._open else 0.0):
                await self._changed.wait()
            self._give_up_expired()

    def _is_due(self, model: str) -> bool:
        """Return whether to read the rows now.

        It is due at once if this node lacks information. Nobody needs it while all
        upstreams serve the newest version.
        """
        known = self._state.named_versions[model]
        serving = (u.versions for u in self._state.fleet.upstreams.values())
        if not any(v.get(model, known.version) < known.version for v in serving):
            return False
        return known.is_uncertain or clock.now() >= self._open[model].write_at

    def _give_up_expired(self) -> None:
        now = clock.now()
        self._open = {m: item for m, item in self._open.items() if now < item.ends_at}

    async def _read(self) -> ports.Page[ports.RetirementRow] | ports.Unavailable:
        sent_at = clock.now()
        page = await self._store.read_retirements()
        if isinstance(page, ports.Page) and not self._state.record_response(
            page, sent_at, clock.now()
        ):
            return ports.Unavailable("the response precedes a restore of the store")
        return page

    async def _exchange(self, page: ports.Page[ports.RetirementRow]) -> None:
        """Merge the rows into the state, and write what this node knows better."""
        found = {row.model: self._comparable(row) for row in page.items}
        for model, row in found.items():
            if model in self._state.named_versions:
                self._state.merge_history(model, row.history)
        for model, item in list(self._open.items()):
            empty = ports.RetirementRow(
                model, retirement.History(), 0, page.epoch, page.epoch
            )
            if await self._is_complete(item, found.get(model, empty)):
                self._open.pop(model, None)

    def _comparable(self, row: ports.RetirementRow) -> ports.RetirementRow:
        """Return a row without times that are on a clock from before a restore.

        A node that has not seen the clock go on cannot translate them.
        """
        if row.clock_epoch >= self._state.clock_epoch:
            return row
        return dataclasses.replace(row, history=retirement.History())

    async def _is_complete(self, item: Exchange, row: ports.RetirementRow) -> bool:
        """Write the row if needed; return whether the exchange is complete."""
        known = self._state.named_versions[row.model]
        # Nodes that start cannot use times from before a restore.
        is_current = row.clock_epoch == row.epoch
        is_better = known.improves(row.history, MIN_GAIN_MS)
        if not is_better and (is_current or known.is_uncertain):
            return not known.is_uncertain
        if clock.now() < item.write_at:
            return False
        merged = row.history.merge(known)
        written = await self._store.write_retirement(
            dataclasses.replace(row, history=merged)
        )
        lines.event(
            LOG,
            "retirement_written",
            model=row.model,
            version=known.version,
            result="written" if written is None else type(written).__name__,
        )
        return written is None and not known.is_uncertain

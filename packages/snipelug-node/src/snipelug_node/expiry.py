"""Deletion of claims whose retention has passed."""

import collections
import collections.abc
import logging
import math
import time

import trio

from snipelug_core import claim, step
from snipelug_net import lines
from snipelug_node import executor, order, ports

LOG = logging.getLogger("snipelug.order")

SWEEP_BYTES_PER_S = 1000.0
"""Bound on what one node reads of claims: a ninth of its 9 KB/s for control."""

PASS_INTERVAL_S = 600.0


class Expiry:
    """Delete the finished claims of the teams that this node owns.

    Every deletion expects the version that was read, so two nodes that sweep the
    same team do no harm. A clock that runs ahead must not free keys early:
    ages are taken against the newest claim that an earlier pass has seen, if that is
    older than this node's wall clock.

    Parameters
    ----------
    owned : callable
        Returns the teams to sweep.
    wall : callable
        Wall clock, in seconds.

    Attributes
    ----------
    counts : Counter
        ``deleted`` and ``failed``.
    """

    def __init__(
        self,
        tables: ports.TableService,
        objects: ports.ObjectStore,
        owned: collections.abc.Callable[[], collections.abc.Iterable[str]],
        wall: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._tables = tables
        self._objects = objects
        self._owned = owned
        self._wall = wall
        self._newest: dict[str, float] = {}

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Sweep until cancelled."""
        task_status.started()
        while True:
            for team in list(self._owned()):
                await self.sweep(team)
            await trio.sleep(PASS_INTERVAL_S)

    async def sweep(self, team: str) -> None:
        """Pass once over a team's claims; stop early if the store is silent."""
        deleted_before = self.counts["deleted"]
        reference = min(self._wall(), self._newest.get(team, -math.inf))
        newest = -math.inf
        after = ""
        while True:
            page = await self._tables.scan(
                claim.TABLE, f"{team}:", after, order.PAGE_ROWS
            )
            if isinstance(page, ports.Unavailable):
                return
            for stored in page:
                decoded = executor.decode(stored.version, stored.content, claim.Row)
                if isinstance(decoded, step.Malformed):
                    continue
                newest = max(newest, decoded.content.claimed_wall)
                if claim.is_expired(decoded.content, reference):
                    await self._delete(stored, decoded.content)
            if len(page) < order.PAGE_ROWS:
                break
            after = page[-1].key
            size = sum(len(row.content) for row in page)
            await trio.sleep(size / SWEEP_BYTES_PER_S)
        self._newest[team] = newest
        deleted = self.counts["deleted"] - deleted_before
        if deleted:
            lines.event(LOG, "claims_deleted", team=team, claims=deleted)

    async def _delete(self, stored: ports.Row, row: claim.Row) -> None:
        object_key = row.answer.object_key if row.answer else ""
        if object_key:
            # Before the row: a repeat in between hears that the call ran, and the
            # next pass finds the row again.
            outcome = await self._objects.delete(object_key)
            if isinstance(outcome, ports.Unavailable):
                self.counts["failed"] += 1
                return
        write = step.Write(claim.TABLE, stored.key, None, stored.version)
        deleted = isinstance(await executor.perform(self._tables, write), step.Applied)
        self.counts["deleted" if deleted else "failed"] += 1

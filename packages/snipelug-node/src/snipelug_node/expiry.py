"""Deletes claims whose retention time has passed."""

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

MAX_SWEEP_BYTES_PER_S = 1000.0
"""Maximum rate at which a node reads claims: a ninth of its 9 KB/s control traffic."""

SWEEP_INTERVAL_S = 600.0


class Expiry:
    """Deletes the expired claims of the teams that this node owns.

    Each deletion requires the version that was read, so two nodes may safely sweep
    the same team. A clock that runs ahead must not free keys early, so ages are
    computed relative to the newest claim seen by an earlier pass, if that is older
    than this node's wall clock.

    Parameters
    ----------
    owned : callable
        Returns the teams to sweep.
    wall : callable
        Returns the wall-clock time in seconds.

    Attributes
    ----------
    counts : Counter
        Counts of deletions: ``deleted`` and ``failed``.
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
        self._newest_seen_wall: dict[str, float] = {}

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Sweep until cancelled."""
        task_status.started()
        while True:
            for team in list(self._owned()):
                await self.sweep(team)
            await trio.sleep(SWEEP_INTERVAL_S)

    async def sweep(self, team: str) -> None:
        """Sweep the claims of a team once; stop early if they cannot be read."""
        deleted_before = self.counts["deleted"]
        reference_wall = min(self._wall(), self._newest_seen_wall.get(team, -math.inf))
        newest_wall = -math.inf
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
                newest_wall = max(newest_wall, decoded.content.claimed_wall)
                if claim.is_expired(decoded.content, reference_wall):
                    await self._delete(stored, decoded.content)
            if len(page) < order.PAGE_ROWS:
                break
            after = page[-1].key
            page_bytes = sum(len(row.content) for row in page)
            await trio.sleep(page_bytes / MAX_SWEEP_BYTES_PER_S)
        self._newest_seen_wall[team] = newest_wall
        deleted = self.counts["deleted"] - deleted_before
        if deleted:
            lines.event(LOG, "claims_deleted", team=team, claims=deleted)

    async def _delete(self, stored: ports.Row, row: claim.Row) -> None:
        object_key = row.answer.object_key if row.answer else ""
        if object_key:
            # The object is deleted before the row, so that a repeat in between is
            # still told that the call ran, and the next pass can delete the row.
            outcome = await self._objects.delete(object_key)
            if isinstance(outcome, ports.Unavailable):
                self.counts["failed"] += 1
                return
        write = step.Write(claim.TABLE, stored.key, None, stored.version)
        deleted = isinstance(await executor.perform(self._tables, write), step.Applied)
        self.counts["deleted" if deleted else "failed"] += 1

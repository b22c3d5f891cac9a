"""Deletion of the cheapest copies from stores that fill up."""

import collections
import collections.abc
import http
import logging

import trio

from snipelug_core import index, placement, table
from snipelug_net import http_client
from snipelug_node import cache

LOG = logging.getLogger("snipelug.cache")

CLEAN_INTERVAL_S = 5.0
CLEAN_BELOW_SHARE = 0.04
"""Free share of a store below which its cheapest copies are deleted.

Space above it is wasted: each percent holds copies that are deleted too early. The
rest above ``placement.RESERVED_FREE_SHARE`` is room for writes between two cleanings,
in which a link of 4 GB/s fills at most 2.5% of a store of 800 GB; as it gets less, the
price keeps out what is worth little.
"""
CLEAN_SHARE = 0.03
DELETE_TIMEOUT_S = 2.0
ANSWER_BYTES = 64 * 1024
DELETES_AT_ONCE = 4


Stores = collections.abc.Callable[[], collections.abc.Iterable[placement.Store]]
"""The stores as last seen, from their status."""


class Cleaner:
    """Delete the copies that are worth the least from stores that fill up.

    Each node deletes a share of what its own shard knows, so that all nodes
    together free about that share of a store.

    Parameters
    ----------
    zones_out : callable
        Returns the zones out of service, whose copies do not count.

    Attributes
    ----------
    counts : Counter
        ``deleted``, ``absent`` (gone or replaced meanwhile), ``failed``.
    """

    def __init__(
        self,
        pool: http_client.Pool,
        shard: cache.Shard,
        stores: Stores,
        instances: collections.abc.Callable[[str], table.Instance | None],
        zones_out: collections.abc.Callable[[], collections.abc.Container[str]],
    ) -> None:
        self.pool = pool
        self.shard = shard
        self.stores = stores
        self.instances = instances
        self.zones_out = zones_out
        self.counts: collections.Counter[str] = collections.Counter()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Clean until cancelled."""
        task_status.started()
        while True:
            await trio.sleep(CLEAN_INTERVAL_S)
            await self.clean()

    async def clean(self) -> None:
        """Delete once from all stores that are nearly full."""
        zones_out = self.zones_out()
        stores = list(self.stores())
        unreadable = {s.id for s in stores if not s.alive or s.zone in zones_out}
        for store in stores:
            inst = self.instances(store.id)
            is_low = store.free_bytes < CLEAN_BELOW_SHARE * store.size_bytes
            if inst is not None and store.alive and is_low:
                copies = self.shard.index.least_valuable(
                    store.id, CLEAN_SHARE, unreadable
                )
                await self._clean(inst, copies)

    async def _clean(
        self, inst: table.Instance, copies: list[index.BlockAdded]
    ) -> None:
        limit = trio.CapacityLimiter(DELETES_AT_ONCE)
        async with trio.open_nursery() as nursery:
            for copy in copies:
                nursery.start_soon(self._delete, inst, copy, limit)

    async def _delete(
        self, inst: table.Instance, copy: index.BlockAdded, limit: trio.CapacityLimiter
    ) -> None:
        headers = {"if-match": f'"{copy.generation}-{copy.checksum}"'}
        call = http_client.Call(
            (inst.host, inst.port),
            "DELETE",
            f"/blocks/{copy.key.hex()}",
            headers,
            timeout_s=DELETE_TIMEOUT_S,
        )
        async with limit:
            full = await self.pool.fetch(call, ANSWER_BYTES)
        status = full.status if isinstance(full, http_client.FullResponse) else 0
        if status in (http.HTTPStatus.OK, http.HTTPStatus.NO_CONTENT):
            self.counts["deleted"] += 1
        elif status in (http.HTTPStatus.NOT_FOUND, http.HTTPStatus.PRECONDITION_FAILED):
            self.counts["absent"] += 1
        else:
            self.counts["failed"] += 1
            return
        dropped = index.BlockDropped(copy.source, copy.key, 0, copy.generation)
        self.shard.index.apply(dropped, trio.current_time())

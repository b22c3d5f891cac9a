"""Deletion of the least valuable copies from KV cache stores that fill up."""

import collections
import collections.abc
import http
import logging

import trio

from snipelug_core import index, placement, refusal, table
from snipelug_net import http_client
from snipelug_node import cache

LOG = logging.getLogger("snipelug.cache")

CLEAN_INTERVAL_S = 5.0
MIN_FREE_SHARE = 0.04
"""Free share of a store below which its least valuable copies are deleted.

A larger share wastes space: each percent would hold copies that are deleted too early.
The part above ``placement.RESERVED_FREE_SHARE`` is room for writes between two
cleanings, in which a link of 4 GB/s fills at most 2.5% of a store of 800 GB. As that
room shrinks, the price keeps out blocks of low value.
"""
CLEAN_SHARE = 0.03
DELETE_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 64 * 1024
MAX_CONCURRENT_DELETES = 4


ListStores = collections.abc.Callable[[], collections.abc.Iterable[placement.Store]]
"""Returns the latest known state of the stores."""


class Cleaner:
    """Deletes the least valuable copies from stores that fill up.

    Each node deletes a share of the copies in its own index shard, so that all nodes
    together free about that share of a store.

    Parameters
    ----------
    zones_out : callable
        Returns the zones out of service; copies there do not count as readable.

    Attributes
    ----------
    counts : Counter
        ``deleted``, ``absent`` (already deleted or replaced), ``failed``.
    """

    def __init__(
        self,
        pool: http_client.Pool,
        shard: cache.Shard,
        stores: ListStores,
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
        """Delete copies from all stores that are nearly full, once."""
        zones_out = self.zones_out()
        stores = list(self.stores())
        unreadable = {s.id for s in stores if not s.alive or s.zone in zones_out}
        for store in stores:
            inst = self.instances(store.id)
            is_low = store.free_bytes < MIN_FREE_SHARE * store.size_bytes
            if inst is not None and store.alive and is_low:
                copies = self.shard.index.least_valuable(
                    store.id, CLEAN_SHARE, unreadable
                )
                await self._delete_copies(inst, copies)

    async def _delete_copies(
        self, inst: table.Instance, copies: list[index.BlockAdded]
    ) -> None:
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_DELETES)
        async with trio.open_nursery() as nursery:
            for copy in copies:
                nursery.start_soon(self._delete, inst, copy, limiter)

    async def _delete(
        self,
        inst: table.Instance,
        copy: index.BlockAdded,
        limiter: trio.CapacityLimiter,
    ) -> None:
        headers = {"if-match": f'"{copy.generation}-{copy.checksum}"'}
        call = http_client.Call(
            (inst.host, inst.port),
            "DELETE",
            f"/blocks/{copy.key.hex()}",
            headers,
            timeout_s=DELETE_TIMEOUT_S,
        )
        async with limiter:
            response = await self.pool.fetch(call, MAX_RESPONSE_BYTES)
        status = 0
        if isinstance(response, http_client.FullResponse) and not refusal.may_be_copy(
            response.status, response.is_identified
        ):
            status = response.status
        if status in (http.HTTPStatus.OK, http.HTTPStatus.NO_CONTENT):
            self.counts["deleted"] += 1
        elif status in (http.HTTPStatus.NOT_FOUND, http.HTTPStatus.PRECONDITION_FAILED):
            self.counts["absent"] += 1
        else:
            self.counts["failed"] += 1
            return
        dropped = index.BlockDropped(copy.source, copy.key, 0, copy.generation)
        self.shard.index.apply(dropped, trio.current_time())

"""KV cache transfers between engines and stores, requested by this node."""

import collections
import collections.abc
import contextlib
import dataclasses
import http
import itertools
import logging
import time

import msgspec
import trio

from snipelug_core import block, index, placement, prefill, route, table
from snipelug_net import http_client
from snipelug_node import cache, ports

LOG = logging.getLogger("snipelug.cache")

EXPORT_TIMEOUT_S = 60.0
MAX_CONCURRENT_EXPORTS = 4
MAX_QUEUED_EXPORTS = 256
MAX_RESPONSE_BYTES = 4 * 1024 * 1024


class StoreAddress(msgspec.Struct, frozen=True):
    """Address at which an engine reaches a store."""

    host: str
    port: int


class ExportBlock(msgspec.Struct, frozen=True):
    """A block to export."""

    key: str


class ExportOrder(msgspec.Struct, frozen=True):
    """Body of ``POST /kv/export``."""

    blocks: list[ExportBlock]
    store: StoreAddress
    generation: int


class StoredBlock(msgspec.Struct, frozen=True):
    """A block that a store has stored."""

    key: str
    generation: int | str
    checksum: str


class ExportAnswer(msgspec.Struct, frozen=True):
    """Response to ``POST /kv/export``."""

    stored: list[StoredBlock]


class ImportBlock(msgspec.Struct, frozen=True):
    """A block to import, with the address of its store."""

    key: str
    generation: int
    checksum: str
    host: str
    port: int


class ImportOrder(msgspec.Struct, frozen=True):
    """Body of ``POST /kv/import``; all blocks are in one store."""

    blocks: list[ImportBlock]
    store: StoreAddress


class ImportAnswer(msgspec.Struct, frozen=True):
    """Response to ``POST /kv/import``."""

    imported: list[str]
    missed: list[str]


@dataclasses.dataclass(frozen=True)
class Transferred:
    """Blocks that an engine imported or exported."""

    keys: tuple[block.Key, ...]


@dataclasses.dataclass(frozen=True)
class TransferFailed:
    """No usable response; the engine recomputes the blocks that it lacks."""

    reason: str


@dataclasses.dataclass(frozen=True)
class ExportJob:
    """An export to execute after a response, with the boot ids of both sides."""

    engine: table.Instance
    engine_boot_id: str
    store_boot_id: str
    export: placement.Export
    imports: tuple[route.Fetch, ...] = ()


class Transfers:
    """Has engines import blocks from stores and export blocks to them.

    Parameters
    ----------
    instances : callable
        Returns the instance with an id, or None.
    backlog : prefill.PrefillBacklog
        Records the pending transfer time on the link of each store.
    link_s : callable
        Returns how long a store's idle link takes to transfer a number of blocks, in
        seconds.

    Attributes
    ----------
    counts : Counter
        ``imported``, ``missed``, ``exported``, ``failed``, ``exports_dropped``.
    """

    def __init__(
        self,
        pool: http_client.Pool,
        directory: cache.Directory,
        instances: collections.abc.Callable[[str], table.Instance | None],
        backlog: prefill.PrefillBacklog,
        link_s: collections.abc.Callable[[str, int], float],
    ) -> None:
        self.pool = pool
        self.directory = directory
        self.instances = instances
        self.backlog = backlog
        self.link_s = link_s
        self._transfer_numbers = itertools.count()
        self.counts: collections.Counter[str] = collections.Counter()
        self._send, self._receive = trio.open_memory_channel[ExportJob](
            MAX_QUEUED_EXPORTS
        )

    async def import_blocks(
        self,
        engine: table.Instance,
        boot_id: str,
        keys: collections.abc.Sequence[block.Key],
        fetches: collections.abc.Iterable[route.Fetch],
        timeout_s: float,
    ) -> Transferred | TransferFailed:
        """Have an engine import blocks before it runs a request.

        Parameters
        ----------
        engine : table.Instance
            The engine.
        boot_id : str
            Boot id of the engine.
        keys : sequence of bytes
            Keys of the prompt.
        fetches : iterable of route.Fetch
            Blocks to import.
        timeout_s : float
            Time after which recomputing the blocks is cheaper than waiting, in
            seconds.
        """
        by_store: dict[str, list[route.Fetch]] = collections.defaultdict(list)
        for fetch in fetches:
            by_store[fetch.copy.store].append(fetch)
        imported: list[block.Key] = []
        failures: list[str] = []

        async def import_from(store_id: str, wanted: list[route.Fetch]) -> None:
            done = await self._import(engine, boot_id, store_id, keys, wanted)
            if isinstance(done, TransferFailed):
                failures.append(done.reason)
            else:
                imported.extend(done.keys)

        with trio.move_on_after(timeout_s) as scope:
            async with trio.open_nursery() as nursery:
                for store_id, wanted in by_store.items():
                    nursery.start_soon(import_from, store_id, wanted)
        if scope.cancelled_caught:
            failures.append(f"imports did not end within {timeout_s:.3f} s")
        if failures:
            self.counts["failed"] += len(failures)
            extra = {"upstream": engine.id, "reason": "; ".join(failures)}
            LOG.warning("import_failed", extra=extra)
        if failures and not imported:
            return TransferFailed("; ".join(failures))
        return Transferred(tuple(imported))

    def submit(self, job: ExportJob) -> bool:
        """Queue an export; return False if the queue is full."""
        try:
            self._send.send_nowait(job)
        except trio.WouldBlock:
            self.counts["exports_dropped"] += 1
            return False
        return True

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Execute queued exports until cancelled."""
        task_status.started()
        async with trio.open_nursery() as nursery:
            for _ in range(MAX_CONCURRENT_EXPORTS):
                nursery.start_soon(self._run_worker)

    async def _run_worker(self) -> None:
        while True:
            await self.execute(await self._receive.receive())

    async def execute(self, job: ExportJob) -> Transferred | TransferFailed:
        """Have an engine export blocks to a store, after importing those it lacks."""
        if job.imports:
            # Positions refer to the keys of the whole prompt. The job has only the
            # exported keys, in the same order.
            await self._import_for_export(job)
        return await self._export(job)

    async def _import_for_export(self, job: ExportJob) -> None:
        by_position = dict(zip(job.export.positions, job.export.keys, strict=True))
        prompt_blocks = max(by_position, default=-1) + 1
        keys = [by_position.get(i, b"") for i in range(prompt_blocks)]
        await self.import_blocks(
            job.engine, job.engine_boot_id, keys, job.imports, EXPORT_TIMEOUT_S
        )

    async def _export(self, job: ExportJob) -> Transferred | TransferFailed:
        store = self.instances(job.export.store)
        if store is None:
            return self._record_export_failure(
                job.engine, f"store {job.export.store} is not listed"
            )
        generation = time.time_ns() // 1000
        request = ExportOrder(
            [ExportBlock(key.hex()) for key in job.export.keys],
            StoreAddress(store.host, store.port),
            generation,
        )
        with self._pending_on_link(store.id, len(request.blocks)):
            response = await self._post(
                job.engine, "/kv/export", request, ExportAnswer, EXPORT_TIMEOUT_S
            )
        if isinstance(response, TransferFailed):
            return self._record_export_failure(job.engine, response.reason)
        ordered = set(job.export.keys)
        pairs = [(block.parse_key(b.key), b) for b in response.stored]
        done = [(k, b) for k, b in pairs if k is not None and k in ordered]
        self.counts["exported"] += len(done)
        source = index.Source(store.id, job.store_boot_id, is_store=True)
        if job.store_boot_id:
            # The store's feed reports the same changes later, with sequence numbers.
            changes = [
                cache.Change(k, True, 0, generation, b.checksum) for k, b in done
            ]
            self.directory.record_changes(source, changes)
        return Transferred(tuple(k for k, _ in done))

    async def _import(
        self,
        engine: table.Instance,
        boot_id: str,
        store_id: str,
        keys: collections.abc.Sequence[block.Key],
        wanted: list[route.Fetch],
    ) -> Transferred | TransferFailed:
        store = self.instances(store_id)
        if store is None:
            return TransferFailed(f"store {store_id} is not listed")
        by_key = {keys[f.position]: f for f in wanted}
        blocks = [
            ImportBlock(
                key.hex(), f.copy.generation, f.copy.checksum, store.host, store.port
            )
            for key, f in by_key.items()
        ]
        request = ImportOrder(blocks, StoreAddress(store.host, store.port))
        with self._pending_on_link(store_id, len(blocks)):
            response = await self._post(
                engine, "/kv/import", request, ImportAnswer, EXPORT_TIMEOUT_S
            )
        if isinstance(response, TransferFailed):
            return response
        imported = _parse_keys(response.imported, by_key)
        missed = _parse_keys(response.missed, by_key)
        self.counts["imported"] += len(imported)
        self.counts["missed"] += len(missed)
        self._record_import(
            engine, boot_id, imported, [by_key[k] for k in missed], keys
        )
        return Transferred(tuple(imported))

    @contextlib.contextmanager
    def _pending_on_link(
        self, store_id: str, blocks: int
    ) -> collections.abc.Iterator[None]:
        """Count a transfer as pending on a store's link until it ends."""
        run_id = f"transfer{next(self._transfer_numbers)}"
        work_s = self.link_s(store_id, blocks)
        self.backlog.sent(store_id, run_id, work_s, trio.current_time())
        try:
            yield
        finally:
            self.backlog.ended(store_id, run_id, trio.current_time())

    def _record_import(
        self,
        engine: table.Instance,
        boot_id: str,
        imported: list[block.Key],
        missed: list[route.Fetch],
        keys: collections.abc.Sequence[block.Key],
    ) -> None:
        if boot_id:
            source = index.Source(engine.id, boot_id)
            self.directory.record_changes(
                source, [cache.Change(k, True) for k in imported]
            )
        for fetch in missed:
            copy = fetch.copy
            source = index.Source(copy.store, copy.boot_id, is_store=True)
            change = cache.Change(keys[fetch.position], False, 0, copy.generation)
            self.directory.record_changes(source, [change])

    def _record_export_failure(
        self, engine: table.Instance, reason: str
    ) -> TransferFailed:
        self.counts["failed"] += 1
        LOG.warning("export_failed", extra={"upstream": engine.id, "reason": reason})
        return TransferFailed(reason)

    async def _post(
        self,
        engine: table.Instance,
        path: str,
        body: msgspec.Struct,
        kind: type[ports.Answer],
        timeout_s: float,
    ) -> ports.Answer | TransferFailed:
        call = http_client.Call(
            (engine.host, engine.port),
            "POST",
            path,
            {"content-type": "application/json"},
            msgspec.json.encode(body),
            timeout_s,
        )
        response = await self.pool.fetch(call, MAX_RESPONSE_BYTES)
        if not isinstance(response, http_client.FullResponse):
            return TransferFailed(f"{path} at {engine.id}: {response}")
        if response.status != http.HTTPStatus.OK:
            return TransferFailed(f"{path} at {engine.id}: status {response.status}")
        try:
            return msgspec.json.decode(response.body, type=kind)
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            return TransferFailed(f"{path} at {engine.id}: {exc}")


def _parse_keys(
    texts: list[str], by_key: collections.abc.Mapping[block.Key, route.Fetch]
) -> list[block.Key]:
    keys = (block.parse_key(text) for text in texts)
    return [key for key in keys if key is not None and key in by_key]

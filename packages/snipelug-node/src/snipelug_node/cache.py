"""The block index across nodes, feeds of cache events, and KV transfers."""

import collections
import collections.abc
import dataclasses
import http
import logging
import time
import typing

import msgspec
import trio

from snipelug_core import block, hashing, index, placement, route, table
from snipelug_net import http_client, rpc
from snipelug_node import ports

LOG = logging.getLogger("snipelug.cache")

LOOKUP_TIMEOUT_S = 0.020
"""A look-up that takes longer than this is a miss: waiting would cost more TTFT."""

RECORD_TIMEOUT_S = 1.0
FLUSH_S = 0.1
FLUSH_EVENTS = 500
PENDING_EVENTS = 20_000
"""Events waiting to be sent to shards; further ones are dropped and counted."""

FEED_INTERVAL_S = 0.5
FEED_TIMEOUT_S = 2.0
FEED_BYTES = 16 * 1024 * 1024
SLOTS = 4096
"""Parts of the conversations' id space; a slot belongs to one node."""

EXPORT_TIMEOUT_S = 60.0
EXPORTS_AT_ONCE = 4
EXPORTS_WAITING = 256
ANSWER_BYTES = 4 * 1024 * 1024

MAX_KEYS = 4096
MAX_EVENTS = 4096

Key = typing.Annotated[
    bytes, msgspec.Meta(min_length=block.KEY_BYTES, max_length=block.KEY_BYTES)
]
Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Number = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


# Messages between nodes.


class Lookup(msgspec.Struct, frozen=True):
    """Ask a shard for the locations of a prompt's blocks."""

    keys: typing.Annotated[list[Key], msgspec.Meta(max_length=MAX_KEYS)]


class Copy(msgspec.Struct, frozen=True, array_like=True):
    """A copy in a store, as ``index.Stored``."""

    store: Name
    boot_id: Name
    generation: Number
    checksum: str


class LookupReply(msgspec.Struct, frozen=True):
    """Known locations, as ``index.Found``."""

    memory: dict[str, int] = {}
    stored: list[list[Copy]] = []


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A block that a source gained or lost."""

    key: Key
    added: bool
    seq: Number = 0
    generation: Number = 0
    checksum: str = ""


class Batch(msgspec.Struct, frozen=True):
    """Changes at one source; none if only its boot is reported."""

    id: Name
    boot_id: Name
    is_store: bool
    changes: list[Change] = []


class Appraisal(msgspec.Struct, frozen=True):
    """Expected seconds that each block of a prompt saves."""

    keys: list[Key]
    value_s: typing.Annotated[float, msgspec.Meta(ge=0, le=1e6)]


class Record(msgspec.Struct, frozen=True):
    """Tell a shard what changed."""

    batches: list[Batch] = []
    appraisals: list[Appraisal] = []


class Recorded(msgspec.Struct, frozen=True):
    """The shard took the changes."""


LOOKUP = rpc.Method("Lookup", Lookup, LookupReply)
RECORD = rpc.Method("Record", Record, Recorded)


class Shard:
    """The part of the block index that one node keeps.

    Parameters
    ----------
    limit_bytes : int
        Memory allowed for the index.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.index = index.Index(limit_bytes)

    def register(self, peers: ports.Peers) -> None:
        """Offer the shard to the other nodes."""
        peers.register(LOOKUP, self.lookup)
        peers.register(RECORD, self.record)

    def retain(self, instance_ids: collections.abc.Container[str]) -> None:
        """Forget sources that the platform does not list any more."""
        self.index.retain(instance_ids)

    async def lookup(self, message: Lookup) -> LookupReply:
        """Answer a look-up."""
        found = self.index.lookup(message.keys, trio.current_time())
        stored = [[_to_wire(c) for c in copies] for copies in found.stored]
        return LookupReply(found.memory, stored)

    async def record(self, message: Record) -> Recorded:
        """Apply changes."""
        now = trio.current_time()
        for batch in message.batches:
            source = index.Source(batch.id, batch.boot_id, batch.is_store)
            self.index.observe_boot(source)
            for change in batch.changes:
                self.index.apply(_to_event(source, change), now)
        for appraisal in message.appraisals:
            self.index.appraise(appraisal.keys, appraisal.value_s, now)
        return Recorded()


def _to_wire(copy: index.Stored) -> Copy:
    return Copy(copy.store, copy.boot_id, copy.generation, copy.checksum)


def _to_found(reply: LookupReply) -> index.Found:
    stored = tuple(
        tuple(index.Stored(c.store, c.boot_id, c.generation, c.checksum) for c in at)
        for at in reply.stored
    )
    return index.Found(reply.memory, stored)


def _to_event(source: index.Source, change: Change) -> index.Added | index.Dropped:
    if change.added:
        return index.Added(
            source, change.key, change.seq, change.generation, change.checksum
        )
    return index.Dropped(source, change.key, change.seq, change.generation)


# Which node keeps which conversations.


class ShardMap:
    """The node of each slot of conversations, by rendezvous.

    Owners are remembered per slot, so that a look-up does not hash all nodes, and
    a change of one node costs one hash per slot.
    """

    def __init__(self) -> None:
        self._nodes: set[str] = set()
        self._owners: dict[int, tuple[int, str]] = {}

    def update(self, nodes: collections.abc.Iterable[str]) -> set[int]:
        """Take over the live nodes; return the slots whose node changed."""
        wanted = set(nodes)
        if wanted == self._nodes:
            return set()
        added = wanted - self._nodes
        removed = self._nodes - wanted
        self._nodes = wanted
        moved: set[int] = set()
        for slot, owner in list(self._owners.items()):
            if owner[1] in removed:
                del self._owners[slot]
                moved.add(slot)
                continue
            best = max([owner, *(_score(slot, n) for n in added)])
            if best != owner:
                self._owners[slot] = best
                moved.add(slot)
        return moved

    def owner(self, slot: int) -> str | None:
        """Return the node of a slot; None if no node is known."""
        if slot not in self._owners:
            if not self._nodes:
                return None
            self._owners[slot] = max(_score(slot, n) for n in self._nodes)
        return self._owners[slot][1]


def _score(slot: int, node: str) -> tuple[int, str]:
    return hashing.rendezvous_score(f"slot{slot}", node), node


def slot_of(key: block.Key) -> int:
    """Return the slot of the conversation that a block belongs to."""
    return int.from_bytes(key[:2], "big") % SLOTS


def reader_of(instance_id: str, nodes: collections.abc.Iterable[str]) -> str:
    """Return the node that reads an instance's feed.

    Nodes that disagree about the live ones read a feed twice or not for a while,
    which costs time only.
    """
    return hashing.rank(f"feed {instance_id}", nodes)[0]


# Client of the shards.


@dataclasses.dataclass
class _Pending:
    """What waits to be sent to one node."""

    changes: dict[index.Source, list[Change]] = dataclasses.field(default_factory=dict)
    appraisals: list[Appraisal] = dataclasses.field(default_factory=list)
    count: int = 0


class Directory:
    """Look-ups in the shards of all nodes, and changes sent to them in batches.

    Attributes
    ----------
    counts : Counter
        ``lookups``, ``lookup_misses`` (no answer in time), ``changes_dropped``.
    """

    def __init__(self, peers: ports.Peers) -> None:
        self.peers = peers
        self.shards = ShardMap()
        self.counts: collections.Counter[str] = collections.Counter()
        self._pending: dict[str, _Pending] = {}
        self._waiting = 0

    async def lookup(self, keys: collections.abc.Sequence[block.Key]) -> index.Found:
        """Return the known locations; none if the shard does not answer in time."""
        if not keys:
            return index.Found()
        self.counts["lookups"] += 1
        self.shards.update(self.peers.live())
        owner = self.shards.owner(slot_of(keys[0]))
        if owner is not None:
            message = Lookup(list(keys[:MAX_KEYS]))
            with trio.move_on_after(LOOKUP_TIMEOUT_S):
                reply = await self.peers.call(owner, LOOKUP, message, LOOKUP_TIMEOUT_S)
                if isinstance(reply, LookupReply):
                    return _to_found(reply)
        self.counts["lookup_misses"] += 1
        return index.Found()

    def note(
        self, source: index.Source, changes: collections.abc.Iterable[Change]
    ) -> None:
        """Queue changes at a source for the shards that they concern."""
        for change in changes:
            pending = self._queue(change.key)
            if pending is not None:
                pending.changes.setdefault(source, []).append(change)

    def appraise(
        self, keys: collections.abc.Sequence[block.Key], value_s: float
    ) -> None:
        """Queue the value of a prompt's blocks for its shard."""
        pending = self._queue(keys[0]) if keys else None
        if pending is not None:
            pending.appraisals.append(Appraisal(list(keys[:MAX_KEYS]), value_s))

    def announce(self, source: index.Source) -> None:
        """Queue a new boot of a source for all shards."""
        for node in self.peers.live():
            pending = self._pending.setdefault(node, _Pending())
            pending.changes.setdefault(source, [])

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Send queued changes until cancelled."""
        task_status.started()
        while True:
            await trio.sleep(FLUSH_S)
            await self.flush()

    async def flush(self) -> None:
        """Send all that is queued; what a node does not take is lost."""
        pending, self._pending = self._pending, {}
        self._waiting = 0
        async with trio.open_nursery() as nursery:
            for node, parts in pending.items():
                nursery.start_soon(self._send, node, parts)

    def _queue(self, key: block.Key) -> _Pending | None:
        self.shards.update(self.peers.live())
        owner = self.shards.owner(slot_of(key))
        if owner is None or self._waiting >= PENDING_EVENTS:
            self.counts["changes_dropped"] += 1
            return None
        self._waiting += 1
        pending = self._pending.setdefault(owner, _Pending())
        pending.count += 1
        return pending

    async def _send(self, node: str, parts: _Pending) -> None:
        for message in _messages(parts):
            reply = await self.peers.call(node, RECORD, message, RECORD_TIMEOUT_S)
            if isinstance(reply, rpc.Unreachable):
                self.counts["changes_dropped"] += parts.count
                LOG.warning(
                    "index_changes_lost",
                    extra={"peer": node, "count": parts.count, "reason": reply.reason},
                )
                return


def _messages(parts: _Pending) -> collections.abc.Iterator[Record]:
    """Cut what is queued for one node into messages of bounded size."""
    for source, changes in parts.changes.items():
        starts = range(0, max(1, len(changes)), FLUSH_EVENTS)
        for i in starts:
            piece = changes[i : i + FLUSH_EVENTS]
            batch = Batch(source.id, source.boot_id, source.is_store, piece)
            yield Record([batch])
    if parts.appraisals:
        yield Record([], parts.appraisals)


# Feeds of engines and stores.


class FeedEvent(msgspec.Struct):
    """An event of an engine's or a store's feed."""

    seq: Number
    event: str
    key: str
    generation: int | str = 0
    checksum: str = ""


class FeedPage(msgspec.Struct):
    """Answer of ``/cache/events`` (`events`) or ``/blocks`` (`blocks`)."""

    boot_id: Name
    events: list[FeedEvent] = []
    blocks: list[FeedEvent] = []


@dataclasses.dataclass
class _Feed:
    """Position in one instance's feed.

    Attributes
    ----------
    after : int
        Number of the last event read.
    sent : int
        Highest number that was sent to shards.
    moved : set of int
        Slots whose node has changed; their earlier events are sent again.
    """

    boot_id: str = ""
    after: int = 0
    sent: int = 0
    moved: set[int] = dataclasses.field(default_factory=set)


Owned = collections.abc.Callable[[], collections.abc.Iterable[table.Instance]]
"""Engines and stores whose feeds this node reads, because it owns them."""


class Feeds:
    """Read the feeds of the instances that this node owns.

    Attributes
    ----------
    counts : Counter
        ``events``, ``gaps`` (numbers missing in a feed), ``unusable``.
    """

    def __init__(
        self, pool: http_client.Pool, directory: Directory, owned: Owned
    ) -> None:
        self.pool = pool
        self.directory = directory
        self.owned = owned
        self.counts: collections.Counter[str] = collections.Counter()
        self._feeds: dict[str, _Feed] = {}
        self._shards = ShardMap()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Poll until cancelled."""
        task_status.started()
        while True:
            await self.poll()
            await trio.sleep(FEED_INTERVAL_S)

    async def poll(self) -> None:
        """Read the new events of all owned instances once."""
        owned = {i.id: i for i in self.owned()}
        self._feeds = {i: self._feeds.get(i, _Feed()) for i in owned}
        self._resend_moved()
        async with trio.open_nursery() as nursery:
            for inst in owned.values():
                nursery.start_soon(self._read, inst, self._feeds[inst.id])

    def _resend_moved(self) -> None:
        """Read feeds from the start for slots that have a new node."""
        moved = self._shards.update(self.directory.peers.live())
        for feed in self._feeds.values():
            if moved and feed.sent:
                feed.moved |= moved
                feed.after = 0

    async def _read(self, inst: table.Instance, feed: _Feed) -> None:
        is_store = inst.role is table.Role.STORE
        path = "/blocks" if is_store else "/cache/events"
        call = http_client.Call(
            (inst.host, inst.port),
            "GET",
            f"{path}?after={feed.after}",
            timeout_s=FEED_TIMEOUT_S,
        )
        full = await self.pool.fetch(call, FEED_BYTES)
        if not isinstance(full, http_client.Full) or full.status != http.HTTPStatus.OK:
            self.counts["unusable"] += 1
            return
        try:
            page = msgspec.json.decode(full.body, type=FeedPage)
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            self.counts["unusable"] += 1
            LOG.warning("feed_invalid", extra={"instance": inst.id, "reason": str(exc)})
            return
        source = index.Source(inst.id, page.boot_id, is_store)
        if page.boot_id != feed.boot_id:
            self.directory.announce(source)
            restarted = feed.after > 0
            feed.boot_id, feed.after, feed.sent = page.boot_id, 0, 0
            feed.moved.clear()
            if restarted:
                # Numbers count from 1 again; the page was asked for with an old one.
                return
        self._take(source, feed, page.blocks if is_store else page.events)

    def _take(self, source: index.Source, feed: _Feed, events: list[FeedEvent]) -> None:
        changes: list[Change] = []
        for event in events:
            if feed.after and event.seq > feed.after + 1:
                self.counts["gaps"] += 1
            feed.after = max(feed.after, event.seq)
            change = to_change(event)
            if change is None:
                self.counts["unusable"] += 1
                continue
            slot = slot_of(change.key)
            self._shards.owner(slot)
            if event.seq > feed.sent or slot in feed.moved:
                changes.append(change)
        if feed.after >= feed.sent:
            feed.moved.clear()
            feed.sent = feed.after
        self.counts["events"] += len(changes)
        self.directory.note(source, changes)


def to_change(event: FeedEvent) -> Change | None:
    """Convert an event; None if it names no block of this system."""
    key = block.parse_key(event.key)
    generation = _number(event.generation)
    if key is None or generation is None or event.event not in ("stored", "removed"):
        return None
    return Change(key, event.event == "stored", event.seq, generation, event.checksum)


def _number(value: int | str) -> int | None:
    # Stores send the generation back as they received it, in a header.
    if isinstance(value, str):
        return int(value) if value.isascii() and value.isdecimal() else None
    return value if value >= 0 else None


# Transfers between engines and stores, on this node's order.


class StoreAddress(msgspec.Struct, frozen=True):
    """Where the engine reaches a store."""

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
    """A block that a store took."""

    key: str
    generation: int | str
    checksum: str


class ExportAnswer(msgspec.Struct, frozen=True):
    """Answer of ``POST /kv/export``."""

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
    """Answer of ``POST /kv/import``."""

    imported: list[str]
    missed: list[str]


@dataclasses.dataclass(frozen=True)
class Transferred:
    """Blocks that an engine imported or exported."""

    keys: tuple[block.Key, ...]


@dataclasses.dataclass(frozen=True)
class TransferFailed:
    """The order brought no usable answer; the engine computes what it lacks."""

    reason: str


@dataclasses.dataclass(frozen=True)
class ExportJob:
    """An export to carry out after an answer, with the boots of both sides."""

    engine: table.Instance
    engine_boot_id: str
    store_boot_id: str
    export: placement.Export
    imports: tuple[route.Fetch, ...] = ()


class Transfers:
    """Order engines to read blocks from stores and to write them there.

    Parameters
    ----------
    instances : callable
        Returns the instance with an id, or None.

    Attributes
    ----------
    counts : Counter
        ``imported``, ``missed``, ``exported``, ``failed``, ``exports_dropped``.
    """

    def __init__(
        self,
        pool: http_client.Pool,
        directory: Directory,
        instances: collections.abc.Callable[[str], table.Instance | None],
    ) -> None:
        self.pool = pool
        self.directory = directory
        self.instances = instances
        self.counts: collections.Counter[str] = collections.Counter()
        self._send, self._receive = trio.open_memory_channel[ExportJob](EXPORTS_WAITING)

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
            Its boot.
        keys : sequence of bytes
            Keys of the prompt.
        fetches : iterable of route.Fetch
            Blocks to import.
        timeout_s : float
            Time after which computing the blocks is cheaper than waiting, in
            seconds.
        """
        by_store: dict[str, list[route.Fetch]] = collections.defaultdict(list)
        for fetch in fetches:
            by_store[fetch.copy.store].append(fetch)
        imported: list[block.Key] = []
        failures: list[str] = []

        async def read(store_id: str, wanted: list[route.Fetch]) -> None:
            done = await self._import(engine, boot_id, store_id, keys, wanted)
            if isinstance(done, TransferFailed):
                failures.append(done.reason)
            else:
                imported.extend(done.keys)

        with trio.move_on_after(timeout_s) as scope:
            async with trio.open_nursery() as nursery:
                for store_id, wanted in by_store.items():
                    nursery.start_soon(read, store_id, wanted)
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
        """Queue an export; return whether there was room for it."""
        try:
            self._send.send_nowait(job)
        except trio.WouldBlock:
            self.counts["exports_dropped"] += 1
            return False
        return True

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Carry out queued exports until cancelled."""
        task_status.started()
        async with trio.open_nursery() as nursery:
            for _ in range(EXPORTS_AT_ONCE):
                nursery.start_soon(self._work)

    async def _work(self) -> None:
        while True:
            await self.carry_out(await self._receive.receive())

    async def carry_out(self, job: ExportJob) -> Transferred | TransferFailed:
        """Have an engine write blocks to a store, after the imports it needs."""
        if job.imports:
            # Positions index the keys of the whole prompt, of which the job has
            # only the exported ones, in the same order.
            await self._import_for_export(job)
        return await self._export(job)

    async def _import_for_export(self, job: ExportJob) -> None:
        by_position = dict(zip(job.export.positions, job.export.keys, strict=True))
        size = max(by_position, default=-1) + 1
        keys = [by_position.get(i, b"") for i in range(size)]
        await self.import_blocks(
            job.engine, job.engine_boot_id, keys, job.imports, EXPORT_TIMEOUT_S
        )

    async def _export(self, job: ExportJob) -> Transferred | TransferFailed:
        store = self.instances(job.export.store)
        if store is None:
            return self._fail(job.engine, f"store {job.export.store} is not listed")
        generation = time.time_ns() // 1000
        order = ExportOrder(
            [ExportBlock(key.hex()) for key in job.export.keys],
            StoreAddress(store.host, store.port),
            generation,
        )
        answer = await self._order(
            job.engine, "/kv/export", order, ExportAnswer, EXPORT_TIMEOUT_S
        )
        if isinstance(answer, TransferFailed):
            return self._fail(job.engine, answer.reason)
        ordered = set(job.export.keys)
        pairs = [(block.parse_key(b.key), b) for b in answer.stored]
        done = [(k, b) for k, b in pairs if k is not None and k in ordered]
        self.counts["exported"] += len(done)
        source = index.Source(store.id, job.store_boot_id, is_store=True)
        if job.store_boot_id:
            # The store's feed reports the same later, with numbers.
            changes = [Change(k, True, 0, generation, b.checksum) for k, b in done]
            self.directory.note(source, changes)
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
        order = ImportOrder(blocks, StoreAddress(store.host, store.port))
        answer = await self._order(
            engine, "/kv/import", order, ImportAnswer, EXPORT_TIMEOUT_S
        )
        if isinstance(answer, TransferFailed):
            return answer
        imported = _known(answer.imported, by_key)
        missed = _known(answer.missed, by_key)
        self.counts["imported"] += len(imported)
        self.counts["missed"] += len(missed)
        self._note_import(engine, boot_id, imported, [by_key[k] for k in missed], keys)
        return Transferred(tuple(imported))

    def _note_import(
        self,
        engine: table.Instance,
        boot_id: str,
        imported: list[block.Key],
        missed: list[route.Fetch],
        keys: collections.abc.Sequence[block.Key],
    ) -> None:
        if boot_id:
            source = index.Source(engine.id, boot_id)
            self.directory.note(source, [Change(k, True) for k in imported])
        for fetch in missed:
            copy = fetch.copy
            source = index.Source(copy.store, copy.boot_id, is_store=True)
            change = Change(keys[fetch.position], False, 0, copy.generation)
            self.directory.note(source, [change])

    def _fail(self, engine: table.Instance, reason: str) -> TransferFailed:
        self.counts["failed"] += 1
        LOG.warning("export_failed", extra={"upstream": engine.id, "reason": reason})
        return TransferFailed(reason)

    async def _order(
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
        full = await self.pool.fetch(call, ANSWER_BYTES)
        if not isinstance(full, http_client.Full):
            return TransferFailed(f"{path} at {engine.id}: {full}")
        if full.status != http.HTTPStatus.OK:
            return TransferFailed(f"{path} at {engine.id}: status {full.status}")
        try:
            return msgspec.json.decode(full.body, type=kind)
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            return TransferFailed(f"{path} at {engine.id}: {exc}")


def _known(
    texts: list[str], by_key: collections.abc.Mapping[block.Key, route.Fetch]
) -> list[block.Key]:
    keys = (block.parse_key(text) for text in texts)
    return [key for key in keys if key is not None and key in by_key]

"""Polling of the KV cache event feeds of engines and stores."""

import collections
import collections.abc
import dataclasses
import http
import logging

import msgspec
import trio

from snipelug_core import block, index, table
from snipelug_net import http_client
from snipelug_node import cache, ticker

LOG = logging.getLogger("snipelug.cache")

FEED_INTERVAL_S = 0.5
FEED_TIMEOUT_S = 2.0
MAX_FEED_BYTES = 16 * 1024 * 1024


class FeedEvent(msgspec.Struct):
    """An event in the feed of an engine or a store."""

    seq: cache.NonNegativeInt
    event: str
    key: str
    generation: int | str = 0
    checksum: str = ""


class FeedPage(msgspec.Struct):
    """Response to ``/cache/events`` (`events`) or ``/blocks`` (`blocks`)."""

    boot_id: cache.Name
    events: list[FeedEvent] = []
    blocks: list[FeedEvent] = []


@dataclasses.dataclass
class _Feed:
    """Position in one instance's feed.

    Attributes
    ----------
    last_seq : int
        Sequence number of the last event read.
    last_sent_seq : int
        Highest sequence number that was sent to shards.
    moved_slots : set of int
        Slots whose owner has changed; their earlier events are sent again.
    """

    boot_id: str = ""
    last_seq: int = 0
    last_sent_seq: int = 0
    moved_slots: set[int] = dataclasses.field(default_factory=set)


ListOwned = collections.abc.Callable[[], collections.abc.Iterable[table.Instance]]
"""Returns the engines and stores whose feeds this node reads."""


class Feeds:
    """Reads the feeds that are assigned to this node.

    Attributes
    ----------
    counts : Counter
        ``events``, ``gaps`` (sequence numbers missing in a feed), ``unusable``.
    """

    def __init__(
        self, pool: http_client.Pool, directory: cache.Directory, owned: ListOwned
    ) -> None:
        self.pool = pool
        self.directory = directory
        self.owned = owned
        self.counts: collections.Counter[str] = collections.Counter()
        self._feeds: dict[str, _Feed] = {}
        self._shards = cache.ShardMap()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Poll until cancelled."""
        task_status.started()
        while True:
            await self.poll()
            await ticker.sleep(FEED_INTERVAL_S)

    async def poll(self) -> None:
        """Read the new events of all assigned feeds once."""
        owned = {i.id: i for i in self.owned()}
        self._feeds = {i: self._feeds.get(i, _Feed()) for i in owned}
        self._resend_moved()
        async with trio.open_nursery() as nursery:
            for inst in owned.values():
                nursery.start_soon(self._read, inst, self._feeds[inst.id])

    def _resend_moved(self) -> None:
        """Read feeds from the start if slots have a new owner."""
        moved_slots = self._shards.update(self.directory.peers.live())
        for feed in self._feeds.values():
            if moved_slots and feed.last_sent_seq:
                feed.moved_slots |= moved_slots
                feed.last_seq = 0

    async def _read(self, inst: table.Instance, feed: _Feed) -> None:
        is_store = inst.role is table.Role.STORE
        path = "/blocks" if is_store else "/cache/events"
        call = http_client.Call(
            (inst.host, inst.port),
            "GET",
            f"{path}?after={feed.last_seq}",
            timeout_s=FEED_TIMEOUT_S,
        )
        response = await self.pool.fetch(call, MAX_FEED_BYTES)
        if (
            not isinstance(response, http_client.FullResponse)
            or response.status != http.HTTPStatus.OK
        ):
            self.counts["unusable"] += 1
            return
        try:
            page = msgspec.json.decode(response.body, type=FeedPage)
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            self.counts["unusable"] += 1
            LOG.warning("feed_invalid", extra={"instance": inst.id, "reason": str(exc)})
            return
        source = index.Source(inst.id, page.boot_id, is_store)
        if page.boot_id != feed.boot_id:
            self.directory.announce_boot(source)
            has_restarted = feed.last_seq > 0
            feed.boot_id, feed.last_seq, feed.last_sent_seq = page.boot_id, 0, 0
            feed.moved_slots.clear()
            if has_restarted:
                # Sequence numbers start from 1 again, but the page was requested with
                # one of the previous boot.
                return
        self._record_events(source, feed, page.blocks if is_store else page.events)

    def _record_events(
        self, source: index.Source, feed: _Feed, events: list[FeedEvent]
    ) -> None:
        changes: list[cache.Change] = []
        for event in events:
            if feed.last_seq and event.seq > feed.last_seq + 1:
                self.counts["gaps"] += 1
            feed.last_seq = max(feed.last_seq, event.seq)
            change = to_change(event)
            if change is None:
                self.counts["unusable"] += 1
                continue
            slot = cache.shard_slot_of(change.key)
            self._shards.owner(slot)
            if event.seq > feed.last_sent_seq or slot in feed.moved_slots:
                changes.append(change)
        if feed.last_seq >= feed.last_sent_seq:
            feed.moved_slots.clear()
            feed.last_sent_seq = feed.last_seq
        self.counts["events"] += len(changes)
        self.directory.record_changes(source, changes)


def to_change(event: FeedEvent) -> cache.Change | None:
    """Convert an event; return None if it is unknown or its fields are invalid."""
    key = block.parse_key(event.key)
    generation = _parse_generation(event.generation)
    if key is None or generation is None or event.event not in ("stored", "removed"):
        return None
    return cache.Change(
        key, event.event == "stored", event.seq, generation, event.checksum
    )


def _parse_generation(value: int | str) -> int | None:
    # Stores return the generation as they received it in a header, as a string.
    if isinstance(value, str):
        return int(value) if value.isascii() and value.isdecimal() else None
    return value if value >= 0 else None

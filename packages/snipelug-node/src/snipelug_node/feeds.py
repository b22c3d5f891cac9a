"""Feeds of cache events, read from engines and stores."""

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
FEED_BYTES = 16 * 1024 * 1024


class FeedEvent(msgspec.Struct):
    """An event of an engine's or a store's feed."""

    seq: cache.NonNegativeInt
    event: str
    key: str
    generation: int | str = 0
    checksum: str = ""


class FeedPage(msgspec.Struct):
    """Answer of ``/cache/events`` (`events`) or ``/blocks`` (`blocks`)."""

    boot_id: cache.Name
    events: list[FeedEvent] = []
    blocks: list[FeedEvent] = []


@dataclasses.dataclass
class _Feed:
    """Position in one instance's feed.

    Attributes
    ----------
    after : int
        cache.Number of the last event read.
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
        self, pool: http_client.Pool, directory: cache.Directory, owned: Owned
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
        if (
            not isinstance(full, http_client.FullResponse)
            or full.status != http.HTTPStatus.OK
        ):
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
            self.directory.announce_boot(source)
            restarted = feed.after > 0
            feed.boot_id, feed.after, feed.sent = page.boot_id, 0, 0
            feed.moved.clear()
            if restarted:
                # Numbers count from 1 again; the page was asked for with an old one.
                return
        self._take(source, feed, page.blocks if is_store else page.events)

    def _take(self, source: index.Source, feed: _Feed, events: list[FeedEvent]) -> None:
        changes: list[cache.Change] = []
        for event in events:
            if feed.after and event.seq > feed.after + 1:
                self.counts["gaps"] += 1
            feed.after = max(feed.after, event.seq)
            change = to_change(event)
            if change is None:
                self.counts["unusable"] += 1
                continue
            slot = cache.shard_slot_of(change.key)
            self._shards.owner(slot)
            if event.seq > feed.sent or slot in feed.moved:
                changes.append(change)
        if feed.after >= feed.sent:
            feed.moved.clear()
            feed.sent = feed.after
        self.counts["events"] += len(changes)
        self.directory.record_changes(source, changes)


def to_change(event: FeedEvent) -> cache.Change | None:
    """Convert an event; None if it names no block of this system."""
    key = block.parse_key(event.key)
    generation = _number(event.generation)
    if key is None or generation is None or event.event not in ("stored", "removed"):
        return None
    return cache.Change(
        key, event.event == "stored", event.seq, generation, event.checksum
    )


def _number(value: int | str) -> int | None:
    # Stores send the generation back as they received it, in a header.
    if isinstance(value, str):
        return int(value) if value.isascii() and value.isdecimal() else None
    return value if value >= 0 else None

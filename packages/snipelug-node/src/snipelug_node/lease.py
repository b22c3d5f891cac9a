"""Keeps this node's session and owner rows, and answers who owns what."""

import collections.abc
import logging
import math
import random
import typing

import trio

from snipelug_core import hashing, ownership, session, step, table
from snipelug_node import executor, ports

LOG = logging.getLogger("snipelug.lease")

ACQUIRE_S = 5.0
RETRY_RENEW_S = 2.5
SCAN_S = 5.0
RECHECK_S = 30.0
"""Time between two readings of an owner row that has a live owner."""

READ_AGAIN_S = 1.0
"""Least time between two readings of one owner row that requests wait for."""

SCAN_BYTES_PER_S = 1500.0
"""Bound on what one node reads by scanning one table; longer tables are
scanned less often. Two tables together use a third of a node's 9 KB/s."""

LATE_REVOKE_S = 60.0
"""Age from which any node revokes a session, not only the two preferred."""

REVOKERS = 2
JITTER = 0.2
RANKS_PER_CHECKPOINT = 20
"""Rankings between checkpoints; one over 780 nodes takes about a millisecond."""

STOP_S = 10.0
"""Time allowed for handing over in a planned stop."""

Item = tuple[ownership.Kind, str]


class Keeper:
    """The lease session and the owner rows of one node.

    Parameters
    ----------
    process : str
        Incarnation of this process, never used before.
    tables : ports.TableService
        Holds the tables ``sessions`` and ``owners``.
    peers : ports.Peers
        Tells which nodes are live.
    wanted : callable
        Returns all items that need an owner, the same on every node.
    rng : random.Random
        Spreads the periodic work of nodes over time.
    place : session.Place, optional
        Where other nodes reach this one; written into the session row.
    reads_sessions : bool, optional
        Read the table ``sessions`` here; otherwise another part of the node hands
        its readings to ``apply_sessions``.
    """

    def __init__(
        self,
        process: str,
        tables: ports.TableService,
        peers: ports.Peers,
        wanted: collections.abc.Callable[[], collections.abc.Iterable[Item]],
        rng: random.Random,
        place: session.NodeAddress | None = None,
        reads_sessions: bool = True,
    ) -> None:
        self.node_id = peers.node_id
        self.lease = session.Lease(
            self.node_id, process, place or session.NodeAddress()
        )
        me = ownership.Process(self.node_id, process)
        self.owners = ownership.OwnerRows(me, self.lease)
        self.stopping = False
        self._reads_sessions = reads_sessions
        self._tables = tables
        self._peers = peers
        self._wanted = wanted
        self._rng = rng
        self._watch = session.Watch()
        self._unlisted = ownership.InstanceListView()
        self._sessions: dict[str, session.Row] | None = None
        self._scanned_from = -math.inf
        self._preferred: dict[str, str] = {}
        self._ranked_over: frozenset[str] = frozenset()
        self._due: dict[str, float] = {}
        self._read_again_at: dict[str, float] = {}
        self._renewing = trio.Lock()
        self._owning = trio.Lock()

    def valid(self, now: float) -> bool:
        """Tell whether this node's session lease is in force."""
        return self.lease.valid(now)

    def holds(self, kind: ownership.Kind, key: str, now: float) -> int | None:
        """Return the fencing number if this node owns the item at this moment."""
        return ownership.fencing_token(self.owners, ownership.row_key(kind, key), now)

    def owner_since(self, kind: ownership.Kind, key: str) -> float:
        """Return when this node learnt of the item's owner, infinite if never."""
        seen = self.owners.known_rows.get(ownership.row_key(kind, key))
        return math.inf if seen is None else seen.since

    def outage_holder(self, kind: ownership.Kind, key: str) -> bool:
        """Tell whether this process holds the outage slot, with or without lease."""
        return ownership.has_outage_slot(self.owners, ownership.row_key(kind, key))

    def outage_since(self, kind: ownership.Kind, key: str) -> float:
        """Return when this node learnt of the outage holder, infinite if never."""
        seen = self.owners.known_rows.get(ownership.row_key(kind, key))
        return math.inf if seen is None else seen.outage_since

    def owner_of(self, kind: ownership.Kind, key: str) -> str | None:
        """Return the node to ask for an item.

        The answer may be out of date, and is the preferred node while the row
        is not known; only ``holds`` on the asked node is binding.
        """
        item = ownership.row_key(kind, key)
        seen = self.owners.known_rows.get(item)
        if seen is None or not self._may_live(seen):
            return self._preferred.get(item)
        owner = seen.row.owner
        if owner is None or (seen.relinquished and owner == self.owners.own_process):
            return self._preferred.get(item)
        return owner.node

    def members(self) -> frozenset[str]:
        """Return the nodes that had a session when the table was last read."""
        rows = (self._sessions or {}).values()
        return frozenset(row.node for row in rows)

    def processes(self) -> frozenset[str]:
        """Return the processes that had a session when the table was last read."""
        rows = (self._sessions or {}).values()
        return frozenset(row.process for row in rows)

    def live_sessions(self) -> frozenset[str]:
        """Return the sessions that were there when the table was last read."""
        return frozenset(self._sessions or ()) | {self.lease.session}

    def is_listed(self) -> bool:
        """Tell whether the sessions were read after this node wrote its own."""
        return self.lease.session in (self._sessions or {})

    def session_exists(self, name: str) -> bool:
        """Tell whether the session was there when the table was last read."""
        return self._lives(name)

    def observe_instance_list(
        self, instances: collections.abc.Iterable[table.Instance], now: float
    ) -> None:
        """Take in a reading of the instance list; outage slots depend on it."""
        listed = frozenset(instance.id for instance in instances)
        slots = (seen.row.outage_holder for seen in self.owners.known_rows.values())
        nodes = {slot.node for slot in slots if slot is not None}
        ownership.observe_instance_list(
            self._unlisted, listed, nodes, self.node_id, now
        )

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Keep the session and the owner rows until cancelled or stopped."""
        await self.renew()
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._renew_forever)
            if self._reads_sessions:
                scan = self.read_sessions
                nursery.start_soon(self._scan_forever, session.TABLE, scan)
            nursery.start_soon(self._scan_forever, ownership.TABLE, self.read_owners)
            nursery.start_soon(self._every, ACQUIRE_S, self.acquire)

    async def stop(self) -> None:
        """Hand over all items, then end the session.

        Call it after the node's open requests have ended.
        """
        self.stopping = True
        with trio.move_on_after(STOP_S) as scope:
            async with self._owning:
                for item in list(self.owners.known_rows):
                    heir = self._successor(item)
                    flow = ownership.hand_over(self.owners, item, heir)
                    await executor.run(self._tables, flow)
            async with self._renewing:
                await executor.run(self._tables, session.end(self.lease))
        if scope.cancelled_caught:
            LOG.warning("handover_incomplete")

    async def renew(self) -> None:
        """Renew the session once."""
        async with self._renewing:
            if self.stopping:
                return
            before = self.lease.session
            now = trio.current_time()
            await executor.run(self._tables, session.renew(self.lease, now))
            if before and not self.lease.session:
                LOG.warning("session_lost", extra={"session": before})

    async def read_sessions(self) -> int:
        """Read all sessions, revoke stale ones and return the bytes read."""
        asked_at = trio.current_time()
        rows = await executor.scan_all(self._tables, session.TABLE)
        if isinstance(rows, ports.Unavailable):
            return 0
        await self.apply_sessions(rows, asked_at)
        return sum(len(row.content) for row in rows)

    async def apply_sessions(self, rows: list[ports.Row], asked_at: float) -> None:
        """Take in a reading of all sessions and revoke stale ones.

        Parameters
        ----------
        rows : list of Row
            All rows of the table ``sessions``.
        asked_at : float
            Monotonic time before the reading was asked for, in seconds.
        """
        now = trio.current_time()
        self._scanned_from = asked_at
        found = {row.key: row for row in rows}
        self._sessions = dict(_decoded(rows, session.Row))
        versions = {
            key: row.version for key, row in found.items() if key != self.lease.session
        }
        for stale in list(session.observe(self._watch, versions, asked_at, now)):
            if self._should_revoke(stale):
                LOG.info("session_revoked", extra={"session": stale.session})
                await executor.perform(self._tables, session.revoke(stale))

    async def read_owners(self) -> int:
        """Read all owner rows, for ``owner_of``, and return the bytes read."""
        rows = await executor.scan_all(self._tables, ownership.TABLE)
        if isinstance(rows, ports.Unavailable):
            return 0
        now = trio.current_time()
        versions = {row.key: row.version for row in rows}
        for key, row in _decoded(rows, ownership.Row):
            ownership.observe_row(self.owners, key, versions[key], row, now)
        return sum(len(row.content) for row in rows)

    async def acquire(self) -> None:
        """Take the items that this node is preferred for and nobody owns."""
        items = [ownership.row_key(kind, key) for kind, key in self._wanted()]
        await self._rank(items)
        for item in items:
            await self._acquire_one(item)

    async def read_or_acquire_owner(self, kind: ownership.Kind, key: str) -> None:
        """Read who owns an item that this node is preferred for, or take it.

        For items that are asked for here and not owned here: until the next scan
        this node would name itself as the owner.
        """
        await self._acquire_one(ownership.row_key(kind, key))

    async def read_owner(self, kind: ownership.Kind, key: str) -> None:
        """Read who owns an item, at most once a second.

        For requests that wait for the owner, which a scan shows later.
        """
        item = ownership.row_key(kind, key)
        now = trio.current_time()
        if now < self._read_again_at.get(item, -math.inf):
            return
        self._read_again_at[item] = now + READ_AGAIN_S
        taken = step.Read(ownership.TABLE, item, ownership.Row)
        match await executor.perform(self._tables, taken):
            case step.Found(version, row):
                ownership.observe_row(
                    self.owners, item, version, row, trio.current_time()
                )

    async def _acquire_one(self, item: str) -> None:
        async with self._owning:
            now = trio.current_time()
            if self.stopping or not self.lease.valid(now):
                return
            if self._preferred.get(item) == self.node_id and self._is_due(item, now):
                flow = ownership.acquire(self.owners, item, self._unlisted)
                await executor.run(self._tables, flow)
                self._due[item] = trio.current_time() + RECHECK_S

    def _is_due(self, item: str, now: float) -> bool:
        seen = self.owners.known_rows.get(item)
        if seen is None or not self._lives(seen.row.session):
            return True
        if seen.row.owner == self.owners.own_process and seen.row.outage_holder is None:
            return True
        return now >= self._due.get(item, -math.inf)

    def _may_live(self, seen: ownership.KnownRow) -> bool:
        # A session learnt of since the last scan began may be newer than the scan.
        return self._lives(seen.row.session) or seen.since > self._scanned_from

    def _lives(self, name: str) -> bool:
        if name and name == self.lease.session:
            return True
        return self._sessions is None or name in self._sessions

    def _should_revoke(self, stale: session.StaleSession) -> bool:
        if stale.unchanged_s >= LATE_REVOKE_S:
            return True
        first = hashing.rank(stale.session, self._peers.live())[:REVOKERS]
        return self.node_id in first

    def _candidates(self) -> frozenset[str]:
        live = frozenset(self._peers.live()) | {self.node_id}
        members = self.members()
        # A node that lost the table service but not its peers owns nothing.
        return (live & members) | {self.node_id} if members else live

    async def _rank(self, items: list[str]) -> None:
        """Bring the preferred node of each item up to date with few hashes."""
        nodes = self._candidates()
        joined = nodes - self._ranked_over
        kept: dict[str, str] = {}
        for count, item in enumerate(items):
            best = self._preferred.get(item)
            pool = nodes if best not in nodes else {best, *joined}
            kept[item] = hashing.rank(item, typing.cast(set[str], pool))[0]
            if count % RANKS_PER_CHECKPOINT == 0:
                await trio.lowlevel.checkpoint()
        self._preferred = kept
        self._ranked_over = nodes

    def _successor(self, item: str) -> ownership.Successor | None:
        """Return the live session that is next in preference, if any is known."""
        rows = [
            row for row in (self._sessions or {}).values() if row.node != self.node_id
        ]
        live = set(self._peers.live())
        by_node = {row.node: row for row in rows if row.node in live}
        if not by_node:
            return None
        row = by_node[hashing.rank(item, by_node)[0]]
        process = ownership.Process(row.node, row.process)
        listed = row.node in self._unlisted.listed
        return ownership.Successor(row.session, process, listed)

    async def _renew_forever(self) -> None:
        while not self.stopping:
            # Renewed sooner after a silent store, so that orders are refused no
            # longer than needed; at 780 nodes this is 312 writes a second.
            period_s = RETRY_RENEW_S if self.lease.unanswered else session.RENEW_S
            await trio.sleep(period_s * self._rng.uniform(1 - JITTER, 1.0))
            await self.renew()

    async def _every(
        self, period_s: float, work: collections.abc.Callable[[], typing.Any]
    ) -> None:
        while not self.stopping:
            await trio.sleep(period_s * self._rng.uniform(1 - JITTER, 1.0))
            await work()

    async def _scan_forever(
        self,
        table_name: str,
        scan: collections.abc.Callable[[], collections.abc.Awaitable[int]],
    ) -> None:
        while not self.stopping:
            size = await scan()
            period_s = max(SCAN_S, size / SCAN_BYTES_PER_S)
            LOG.debug("scanned", extra={"table": table_name, "bytes": size})
            await trio.sleep(period_s * self._rng.uniform(1.0, 1.0 + JITTER))


Structure = typing.TypeVar("Structure")


def _decoded(
    rows: list[ports.Row], kind: type[Structure]
) -> collections.abc.Iterator[tuple[str, Structure]]:
    for row in rows:
        match executor.decode(row.version, row.content, kind):
            case step.Found(_, content):
                yield row.key, content
            case step.Malformed(reason):
                LOG.error(
                    "row_unreadable",
                    extra={"table": row.table, "key": row.key, "reason": reason},
                )

"""Maintains this node's session and owner rows, and looks up owners of items."""

import collections.abc
import logging
import math
import random
import typing

import trio

from snipelug_core import hashing, ownership, session, step, table
from snipelug_node import executor, ports

LOG = logging.getLogger("snipelug.lease")

ACQUIRE_INTERVAL_S = 5.0
RENEW_RETRY_INTERVAL_S = 2.5
SCAN_INTERVAL_S = 5.0
OWNER_RECHECK_INTERVAL_S = 30.0
"""Interval at which an owner row with a live owner is read again, in seconds."""

MIN_REREAD_INTERVAL_S = 1.0
"""Minimum time between two reads of one owner row on behalf of waiting requests."""

SCAN_BYTES_PER_S = 1500.0
"""Maximum rate at which one node scans one table; longer tables are scanned less often.
Two tables together use a third of a node's budget of 9 KB/s."""

REVOKE_BY_ANY_NODE_S = 60.0
"""Time without renewal after which any node may revoke a session, not only the
preferred revokers."""

PREFERRED_REVOKERS = 2
JITTER = 0.2
RANKS_PER_CHECKPOINT = 20
"""Rankings between checkpoints; ranking 780 nodes takes about a millisecond."""

STOP_TIMEOUT_S = 10.0
"""Time limit for handing over all items in a planned stop."""

Item = tuple[ownership.Kind, str]


class Keeper:
    """Maintains the lease session and the owner rows of one node.

    Parameters
    ----------
    process : str
        Incarnation of this process, never used before.
    tables : ports.TableService
        Holds the tables ``sessions`` and ``owners``.
    peers : ports.Peers
        Knows which nodes are live.
    list_items : callable
        Returns all items that need an owner; the result is the same on every node.
    rng : random.Random
        Adds jitter to periodic work, which spreads the load of nodes over time.
    address : session.NodeAddress, optional
        Address at which other nodes reach this one; written into the session row.
    reads_sessions : bool, optional
        Whether to read the table ``sessions`` here. If false, the caller passes its
        own readings to ``apply_sessions``.
    """

    def __init__(
        self,
        process: str,
        tables: ports.TableService,
        peers: ports.Peers,
        list_items: collections.abc.Callable[[], collections.abc.Iterable[Item]],
        rng: random.Random,
        address: session.NodeAddress | None = None,
        reads_sessions: bool = True,
    ) -> None:
        self.node_id = peers.node_id
        self.lease = session.Lease(
            self.node_id, process, address or session.NodeAddress()
        )
        own_process = ownership.Process(self.node_id, process)
        self.owners = ownership.OwnerRows(own_process, self.lease)
        self.stopping = False
        self._reads_sessions = reads_sessions
        self._tables = tables
        self._peers = peers
        self._list_items = list_items
        self._rng = rng
        self._session_watch = session.Watch()
        self._instance_list = ownership.InstanceListView()
        self._sessions: dict[str, session.Row] | None = None
        self._scan_started_at = -math.inf
        self._preferred: dict[str, str] = {}
        self._ranked_nodes: frozenset[str] = frozenset()
        self._recheck_at: dict[str, float] = {}
        self._reread_at: dict[str, float] = {}
        self._renew_lock = trio.Lock()
        self._owner_lock = trio.Lock()

    def valid(self, now: float) -> bool:
        """Return whether this node's session lease is valid."""
        return self.lease.valid(now)

    def holds(self, kind: ownership.Kind, key: str, now: float) -> int | None:
        """Return the fencing token if this node owns the item now, else None."""
        return ownership.fencing_token(self.owners, ownership.row_key(kind, key), now)

    def owner_since(self, kind: ownership.Kind, key: str) -> float:
        """Return when this node learned of the item's owner; infinity if never."""
        known_row = self.owners.known_rows.get(ownership.row_key(kind, key))
        return math.inf if known_row is None else known_row.since

    def outage_holder(self, kind: ownership.Kind, key: str) -> bool:
        """Return whether this process holds the outage slot; no lease is needed."""
        return ownership.has_outage_slot(self.owners, ownership.row_key(kind, key))

    def outage_since(self, kind: ownership.Kind, key: str) -> float:
        """Return when this node learned of the outage holder; infinity if never."""
        known_row = self.owners.known_rows.get(ownership.row_key(kind, key))
        return math.inf if known_row is None else known_row.outage_since

    def owner_of(self, kind: ownership.Kind, key: str) -> str | None:
        """Return the node that is expected to own an item.

        The result may be out of date, and is the preferred node while the row is not
        known. Only ``holds`` on the owner itself is authoritative.
        """
        item = ownership.row_key(kind, key)
        known_row = self.owners.known_rows.get(item)
        if known_row is None or not self._may_have_live_owner(known_row):
            return self._preferred.get(item)
        owner = known_row.row.owner
        if owner is None or (
            known_row.relinquished and owner == self.owners.own_process
        ):
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
        """Return the sessions found when the table was last read, and this node's."""
        return frozenset(self._sessions or ()) | {self.lease.session}

    def is_listed(self) -> bool:
        """Return whether the sessions were read after this node wrote its own."""
        return self.lease.session in (self._sessions or {})

    def session_exists(self, name: str) -> bool:
        """Return whether the session existed when the table was last read."""
        return self._is_session_known(name)

    def observe_instance_list(
        self, instances: collections.abc.Iterable[table.Instance], now: float
    ) -> None:
        """Process a reading of the instance list, on which outage slots depend."""
        listed = frozenset(instance.id for instance in instances)
        slots = (
            known_row.row.outage_holder for known_row in self.owners.known_rows.values()
        )
        nodes = {slot.node for slot in slots if slot is not None}
        ownership.observe_instance_list(
            self._instance_list, listed, nodes, self.node_id, now
        )

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Maintain the session and the owner rows until cancelled or stopped."""
        await self.renew()
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._renew_forever)
            if self._reads_sessions:
                scan = self.read_sessions
                nursery.start_soon(self._scan_forever, session.TABLE, scan)
            nursery.start_soon(self._scan_forever, ownership.TABLE, self.read_owners)
            nursery.start_soon(self._every, ACQUIRE_INTERVAL_S, self.acquire)

    async def stop(self) -> None:
        """Hand over all items, then end the session.

        Call this after the node's open requests have ended.
        """
        self.stopping = True
        with trio.move_on_after(STOP_TIMEOUT_S) as scope:
            async with self._owner_lock:
                for item in list(self.owners.known_rows):
                    successor = self._successor(item)
                    steps = ownership.hand_over(self.owners, item, successor)
                    await executor.run(self._tables, steps)
            async with self._renew_lock:
                await executor.run(self._tables, session.end(self.lease))
        if scope.cancelled_caught:
            LOG.warning("handover_incomplete")

    async def renew(self) -> None:
        """Renew the session once."""
        async with self._renew_lock:
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
        """Process a reading of all sessions and revoke stale ones.

        Parameters
        ----------
        rows : list of Row
            All rows of the table ``sessions``.
        asked_at : float
            Monotonic time before the read was requested, in seconds.
        """
        now = trio.current_time()
        self._scan_started_at = asked_at
        rows_by_session = {row.key: row for row in rows}
        self._sessions = dict(_decoded(rows, session.Row))
        versions = {
            key: row.version
            for key, row in rows_by_session.items()
            if key != self.lease.session
        }
        for stale in list(
            session.observe(self._session_watch, versions, asked_at, now)
        ):
            if self._should_revoke(stale):
                LOG.info("session_revoked", extra={"session": stale.session})
                await executor.perform(self._tables, session.revoke(stale))

    async def read_owners(self) -> int:
        """Read all owner rows for ``owner_of`` and return the bytes read."""
        rows = await executor.scan_all(self._tables, ownership.TABLE)
        if isinstance(rows, ports.Unavailable):
            return 0
        now = trio.current_time()
        versions = {row.key: row.version for row in rows}
        for key, row in _decoded(rows, ownership.Row):
            ownership.observe_row(self.owners, key, versions[key], row, now)
        return sum(len(row.content) for row in rows)

    async def acquire(self) -> None:
        """Acquire the unowned items for which this node is preferred."""
        items = [ownership.row_key(kind, key) for kind, key in self._list_items()]
        await self._rank(items)
        for item in items:
            await self._acquire_one(item)

    async def read_or_acquire_owner(self, kind: ownership.Kind, key: str) -> None:
        """Read the owner of an item for which this node is preferred, or acquire it.

        Used when the item is requested here but not owned here, since ``owner_of``
        would otherwise return this node until the next scan.
        """
        await self._acquire_one(ownership.row_key(kind, key))

    async def read_owner(self, kind: ownership.Kind, key: str) -> None:
        """Read the owner of an item, at most once per `MIN_REREAD_INTERVAL_S`.

        Used for requests that wait for the owner, which a scan would show later.
        """
        item = ownership.row_key(kind, key)
        now = trio.current_time()
        if now < self._reread_at.get(item, -math.inf):
            return
        self._reread_at[item] = now + MIN_REREAD_INTERVAL_S
        read_step = step.Read(ownership.TABLE, item, ownership.Row)
        match await executor.perform(self._tables, read_step):
            case step.Found(version, row):
                ownership.observe_row(
                    self.owners, item, version, row, trio.current_time()
                )

    async def _acquire_one(self, item: str) -> None:
        async with self._owner_lock:
            now = trio.current_time()
            if self.stopping or not self.lease.valid(now):
                return
            if self._preferred.get(item) == self.node_id and self._is_due(item, now):
                steps = ownership.acquire(self.owners, item, self._instance_list)
                await executor.run(self._tables, steps)
                self._recheck_at[item] = trio.current_time() + OWNER_RECHECK_INTERVAL_S

    def _is_due(self, item: str, now: float) -> bool:
        known_row = self.owners.known_rows.get(item)
        if known_row is None or not self._is_session_known(known_row.row.session):
            return True
        if (
            known_row.row.owner == self.owners.own_process
            and known_row.row.outage_holder is None
        ):
            return True
        return now >= self._recheck_at.get(item, -math.inf)

    def _may_have_live_owner(self, known_row: ownership.KnownRow) -> bool:
        # A row learned since the last scan began may name a session the scan missed.
        return (
            self._is_session_known(known_row.row.session)
            or known_row.since > self._scan_started_at
        )

    def _is_session_known(self, name: str) -> bool:
        if name and name == self.lease.session:
            return True
        return self._sessions is None or name in self._sessions

    def _should_revoke(self, stale: session.StaleSession) -> bool:
        if stale.unchanged_s >= REVOKE_BY_ANY_NODE_S:
            return True
        preferred = hashing.rank(stale.session, self._peers.live())[:PREFERRED_REVOKERS]
        return self.node_id in preferred

    def _candidates(self) -> frozenset[str]:
        live = frozenset(self._peers.live()) | {self.node_id}
        members = self.members()
        # A node that lost the table service but not its peers can't own items.
        return (live & members) | {self.node_id} if members else live

    async def _rank(self, items: list[str]) -> None:
        """Update the preferred node of each item, hashing only what has changed."""
        nodes = self._candidates()
        joined = nodes - self._ranked_nodes
        ranked: dict[str, str] = {}
        for count, item in enumerate(items):
            best = self._preferred.get(item)
            pool = nodes if best not in nodes else {best, *joined}
            ranked[item] = hashing.rank(item, typing.cast(set[str], pool))[0]
            if count % RANKS_PER_CHECKPOINT == 0:
                await trio.lowlevel.checkpoint()
        self._preferred = ranked
        self._ranked_nodes = nodes

    def _successor(self, item: str) -> ownership.Successor | None:
        """Return the live session next in preference for an item, or None."""
        rows = [
            row for row in (self._sessions or {}).values() if row.node != self.node_id
        ]
        live = set(self._peers.live())
        by_node = {row.node: row for row in rows if row.node in live}
        if not by_node:
            return None
        row = by_node[hashing.rank(item, by_node)[0]]
        process = ownership.Process(row.node, row.process)
        listed = row.node in self._instance_list.listed
        return ownership.Successor(row.session, process, listed)

    async def _renew_forever(self) -> None:
        while not self.stopping:
            # Renews earlier if the store did not answer, to keep the time short in
            # which orders are refused. With 780 nodes this makes 312 writes/s.
            period_s = (
                RENEW_RETRY_INTERVAL_S if self.lease.unanswered else session.RENEW_S
            )
            await trio.sleep(period_s * self._rng.uniform(1 - JITTER, 1.0))
            await self.renew()

    async def _every(
        self, period_s: float, task: collections.abc.Callable[[], typing.Any]
    ) -> None:
        while not self.stopping:
            await trio.sleep(period_s * self._rng.uniform(1 - JITTER, 1.0))
            await task()

    async def _scan_forever(
        self,
        table_name: str,
        scan: collections.abc.Callable[[], collections.abc.Awaitable[int]],
    ) -> None:
        while not self.stopping:
            size = await scan()
            period_s = max(SCAN_INTERVAL_S, size / SCAN_BYTES_PER_S)
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

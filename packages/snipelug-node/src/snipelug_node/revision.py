"""Maintains the active configuration of this node and accepts changes to it.

Changes form a sequence of revisions in the store. Each node follows the sequence with
the help of its peers.
"""

import collections.abc
import dataclasses
import logging
import time
import typing

import msgspec
import trio

from snipelug_core import (
    change,
    contract,
    currency,
    member,
    proposal,
    session,
    table,
)
from snipelug_net import rpc
from snipelug_node import peer, ports, ticker

LOG = logging.getLogger("snipelug.revision")

HEAD_POLL_INTERVAL_S = 1.0
HEAD_POLL_TIMEOUT_S = 4.5
STORE_TIMEOUT_S = 2.0
MEMBERS_INTERVAL_S = 2.0
# While all members are known, nothing waits for a reading. Members changed within the
# last MEMBERS_CHANGING_S often change again, so they are read more often.
STABLE_MEMBERS_INTERVAL_S = 5.0
MEMBERS_CHANGING_S = 30.0
# Maximum number of scans of the sessions per second by all nodes together.
MEMBERS_SCANS_PER_S = 20.0
INSTANCES_INTERVAL_S = 2.0
PEER_TIMEOUT_S = 1.0
PUSH_INTERVAL_S = 0.3
PUSH_CONCURRENCY = 64
ACCEPT_WAIT_S = 5.0
RETRY_INTERVAL_S = 0.3
MAX_WRITE_ATTEMPTS = 5
LOG_LENGTH = 1000
DELTAS_PER_REPLY = 200
PAGE_ROWS = 500
SNAPSHOT_EVERY = 200

Fetched = typing.TypeVar("Fetched")

SessionsCallback = collections.abc.Callable[
    [list[ports.Row], float], collections.abc.Awaitable[None]
]


class Head(msgspec.Struct, frozen=True):
    """Content of the row ``head``."""

    revision: int


class DeltasRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests the changes after a revision."""

    after: int


class DeltasReply(msgspec.Struct, frozen=True, array_like=True):
    """Changes in order, preceded by a snapshot if older ones are not in memory."""

    changes: tuple[change.Change, ...]
    snapshot: change.Snapshot | None


class Push(msgspec.Struct, frozen=True, array_like=True):
    """Sends a change that is in the store to a peer."""

    change: change.Change


class PushReply(msgspec.Struct, frozen=True, array_like=True):
    """Status of the receiver after it applied what it could."""

    status: member.NodeStatus


DELTAS = rpc.Method("Deltas", DeltasRequest, DeltasReply)
PUSH = rpc.Method("Push", Push, PushReply)


@dataclasses.dataclass(frozen=True)
class Proposal:
    """A change requested by an operator.

    Attributes
    ----------
    expected : int or None
        Revision on which the change is based; None applies it to the newest revision.
    nonce : str
        Chosen by the operator's client; the same when the client repeats the call.
    """

    operations: tuple[change.Operation, ...]
    author: str
    nonce: str
    expected: int | None = None


@dataclasses.dataclass(frozen=True)
class Rollout:
    """Members on which a revision is known to be in force, and the other members."""

    revision: int
    in_force: tuple[str, ...]
    missing: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The change is stored and in force on a strict majority of members."""

    rollout: Rollout


@dataclasses.dataclass(frozen=True)
class RecordedOnly:
    """The change is stored permanently, but no majority has reported it in time."""

    rollout: Rollout


@dataclasses.dataclass(frozen=True)
class Unchanged:
    """The proposal does not change the configuration; nothing was written."""

    revision: int


@dataclasses.dataclass(frozen=True)
class Invalid:
    """The proposal is invalid for the configuration; nothing was written."""

    mistakes: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Outdated:
    """Another change came first; this one was not and will not be written."""

    revision: int
    author: str


@dataclasses.dataclass(frozen=True)
class NotAllowed:
    """The node can't write changes now; nothing was written."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Unclear:
    """The store did not answer; the change may be, or may still come, in force."""

    revision: int
    nonce: str


Outcome = (
    Accepted | RecordedOnly | Unchanged | Invalid | Outdated | NotAllowed | Unclear
)


class Keeper:
    """Holds the active configuration and keeps it current.

    Parameters
    ----------
    table : TableService
        Holds tables ``changes``, ``head``, ``sessions`` and ``snapshots``.
    peers : Peers
        The other nodes.
    instances : InstanceList, optional
        Tells which members with a revoked session are gone. Without it, they count
        for majorities until their row is deleted.
    wall : callable, optional
        Wall time in seconds, recorded in changes.

    Attributes
    ----------
    cfg : Config
        Active configuration of this node.
    on_sessions : callable
        Called with each complete reading of the table ``sessions`` and the
        monotonic time before it was requested, in seconds, so that a node reads
        the table once for all of its parts.
    """

    def __init__(
        self,
        table: ports.TableService,
        peers: peer.Peers,
        instances: ports.InstanceList | None = None,
        wall: peer.Clock = time.time,
    ) -> None:
        self.cfg = contract.Config()
        self._table = table
        self._peers = peers
        self._instances = instances
        self._wall = wall
        self._clock = peers.clock
        self._state = peers.state
        self._members = peers.members
        self._log: dict[int, change.Change] = {}
        self._listed_nodes: dict[str, member.Member] | None = None
        self._newer_revision_seen = trio.Event()
        self._write_lock = trio.Lock()
        self.on_sessions: SessionsCallback = _ignore_sessions
        peers.on_newer_revision = self._wake_catch_up
        peers.register(DELTAS, self._answer_deltas)
        peers.register(PUSH, self._answer_push)

    # Queries by the rest of the node

    def evaluate(self, now: float) -> currency.Current | currency.NotCurrent:
        """Return whether this node may serve new work, and by which rule."""
        return currency.evaluate(self._state, self._members, now)

    def is_current(self, now: float) -> bool:
        """Return whether this node may serve new work."""
        return isinstance(self.evaluate(now), currency.Current)

    def rollout(self, revision: int) -> Rollout:
        """Return the members on which a revision is known to be in force."""
        now = self._clock()
        in_force_on = currency.members_at_revision(
            self._state, self._members, revision, now
        )
        missing = self._members.voters() - in_force_on
        return Rollout(revision, tuple(sorted(in_force_on)), tuple(sorted(missing)))

    async def history(
        self, after: int = 0, limit: int = 100
    ) -> list[change.Change] | ports.Unavailable:
        """Return changes after a revision, from memory or otherwise from the store."""
        if after + 1 in self._log or after >= self.cfg.revision:
            wanted = range(after + 1, min(after + limit, self.cfg.revision) + 1)
            return [self._log[k] for k in wanted]
        return await self._scan_changes(after, limit)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Follow the sequence until cancelled; requires a running ``Peers.run``."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_head, nursery)
            nursery.start_soon(self._poll_members)
            nursery.start_soon(self._catch_up)
            if self._instances is not None:
                nursery.start_soon(self._poll_instances, self._instances)
            task_status.started()

    # Accepting changes

    def check(
        self,
        operations: collections.abc.Sequence[change.Operation],
        inventory: change.Inventory | None = None,
    ) -> Invalid | Unchanged | None:
        """Check operations against the active configuration; return None if valid."""
        mistakes = change.validate_operations(self.cfg, operations, inventory)
        if mistakes:
            return Invalid(tuple(mistakes))
        if change.is_noop(self.cfg, operations):
            return Unchanged(self.cfg.revision)
        return None

    async def propose(
        self, proposed: Proposal, inventory: change.Inventory | None = None
    ) -> Outcome:
        """Write a change, push it to peers and wait until a majority applied it."""
        async with self._write_lock:
            written = await self._write_proposal(proposed, inventory)
        if not isinstance(written, change.Change):
            return written
        return await self._roll_out(written)

    async def wait_in_force(self, revision: int, timeout_s: float) -> Rollout:
        """Wait until a revision is in force on all members or the time has passed."""
        # Reports expire, but a member that reported the revision once keeps it.
        in_force_on = set(self.rollout(revision).in_force)
        with trio.move_on_after(timeout_s):
            while self._members.voters() - in_force_on:
                item = self._log.get(revision)
                if item is not None:
                    await self._push(item, in_force_on)
                in_force_on.update(self.rollout(revision).in_force)
                await trio.sleep(PUSH_INTERVAL_S)
        voters = self._members.voters()
        missing = tuple(sorted(voters - in_force_on))
        return Rollout(revision, tuple(sorted(voters & in_force_on)), missing)

    async def _write_proposal(
        self, proposed: Proposal, inventory: change.Inventory | None
    ) -> change.Change | Outcome:
        outcome: Outcome = NotAllowed("other operators' changes were written first")
        for _ in range(MAX_WRITE_ATTEMPTS):
            repeated = self._find_by_nonce(proposed.nonce)
            if repeated is not None:
                return repeated
            refused = self._find_refusal(proposed, inventory)
            if refused is not None:
                return refused
            write_outcome = await self._write(self._build_change(proposed))
            match write_outcome:
                case proposal.Recorded(change=item):
                    await self._apply_or_fetch([item])
                    return item
                case proposal.NotWritten():
                    return NotAllowed("the table service did not take the change")
                case proposal.Unclear():
                    return Unclear(self.cfg.revision + 1, proposed.nonce)
                case proposal.LostRace(winner=winner):
                    outcome = Outdated(winner.revision, winner.author)
                    await self._apply_or_fetch([winner])
            if proposed.expected is not None:
                return outcome
        return outcome

    def _find_by_nonce(self, nonce: str) -> change.Change | None:
        found = [item for item in self._log.values() if item.nonce == nonce]
        return found[0] if found else None

    def _find_refusal(
        self, proposed: Proposal, inventory: change.Inventory | None
    ) -> Outcome | None:
        permission = currency.may_accept(self._state, self._members, self._clock())
        if isinstance(permission, currency.MayNotAccept):
            return NotAllowed(permission.reason)
        revision = self.cfg.revision
        if proposed.expected is not None and proposed.expected != revision:
            last = self._log.get(revision)
            return Outdated(revision, last.author if last else "unknown")
        return self.check(proposed.operations, inventory)

    def _build_change(self, proposed: Proposal) -> change.Change:
        return change.Change(
            self.cfg.revision + 1,
            proposed.nonce,
            proposed.author,
            self._wall(),
            proposed.operations,
        )

    async def _write(self, item: change.Change) -> proposal.Outcome:
        steps = proposal.write_change(item)
        result: proposal.Result | None = None
        while True:
            try:
                step = next(steps) if result is None else steps.send(result)
            except StopIteration as stop:
                return typing.cast(proposal.Outcome, stop.value)
            result = await self._execute(step)
            if isinstance(result, proposal.NoAnswer):
                await trio.sleep(RETRY_INTERVAL_S)

    async def _execute(self, step: proposal.Step) -> proposal.Result:
        match step:
            case proposal.Insert(change=item):
                return await self._insert(item)
            case proposal.ReadBack(revision=revision):
                return await self._read_change(revision)

    async def _insert(self, item: change.Change) -> proposal.Result:
        row = await _call_platform(self._table.read("head", "head"))
        if isinstance(row, ports.Unavailable):
            return proposal.NotExecuted()
        expect: ports.Precondition = ports.Expect.ABSENT
        if isinstance(row, ports.Row):
            expect = row.version
        if _head_revision(row) != item.revision - 1:
            return proposal.Conflicted()
        content = msgspec.json.encode(item)
        head = msgspec.json.encode(Head(item.revision))
        key = change.row_key(item.revision)
        writes = [
            ports.Write("changes", key, content, ports.Expect.ABSENT),
            ports.Write("head", "head", head, expect),
        ]
        result = await _call_platform(self._table.transact(writes))
        match result:
            case ports.Written():
                return proposal.Inserted()
            case ports.Conflict():
                return proposal.Conflicted()
            case ports.Unavailable(maybe_applied=True):
                return proposal.NoAnswer()
            case _:
                return proposal.NotExecuted()

    async def _read_change(self, revision: int) -> proposal.Result:
        row = await _call_platform(
            self._table.read("changes", change.row_key(revision))
        )
        if isinstance(row, ports.Unavailable):
            return proposal.NoAnswer()
        if isinstance(row, ports.Absent):
            return proposal.NoRow()
        item = _decode_change(row)
        return proposal.NoAnswer() if item is None else item

    async def _roll_out(self, item: change.Change) -> Outcome:
        # Reads the current members first: a majority of an outdated or incomplete
        # list need not intersect each group of nodes that may serve.
        await self._read_members()
        with trio.move_on_after(ACCEPT_WAIT_S):
            while not self._is_accepted(item.revision):
                await self._push(item)
                if self._is_accepted(item.revision):
                    break
                await trio.sleep(PUSH_INTERVAL_S)
        rollout = self.rollout(item.revision)
        if not self._is_accepted(item.revision):
            return RecordedOnly(rollout)
        if item.revision % SNAPSHOT_EVERY == 0:
            await self._write_snapshot()
        return Accepted(rollout)

    def _is_accepted(self, revision: int) -> bool:
        now = self._clock()
        return currency.is_accepted(self._state, self._members, revision, now)

    async def _push(
        self, item: change.Change, in_force_on: collections.abc.Set[str] = frozenset()
    ) -> None:
        limiter = trio.CapacityLimiter(PUSH_CONCURRENCY)
        async with trio.open_nursery() as nursery:
            for node_id in self.rollout(item.revision).missing:
                if node_id != self._peers.node_id and node_id not in in_force_on:
                    nursery.start_soon(self._push_to, node_id, item, limiter)

    async def _push_to(
        self, node_id: str, item: change.Change, limiter: trio.CapacityLimiter
    ) -> None:
        async with limiter:
            asked_at = self._clock()
            reply = await self._peers.call(node_id, PUSH, Push(item), PEER_TIMEOUT_S)
        if isinstance(reply, PushReply):
            self._members.record_status(reply.status, asked_at)

    # Following the sequence

    def _wake_catch_up(self) -> None:
        self._newer_revision_seen.set()

    async def _poll_head(self, nursery: trio.Nursery) -> None:
        # Polls overlap, so that a slow store still confirms the revision every second.
        while True:
            nursery.start_soon(self._poll_head_once)
            await ticker.sleep(HEAD_POLL_INTERVAL_S)

    async def _poll_head_once(self) -> None:
        asked_at = self._clock()
        row = await _call_platform(
            self._table.read("head", "head"), HEAD_POLL_TIMEOUT_S
        )
        if isinstance(row, ports.Unavailable):
            return
        revision = _head_revision(row)
        if revision is None:
            return
        currency.record_store_read(self._state, asked_at, revision)
        if revision > self.cfg.revision:
            self._wake_catch_up()

    async def _catch_up(self) -> None:
        while True:
            await self._newer_revision_seen.wait()
            self._newer_revision_seen = trio.Event()
            wanted = currency.latest_known_revision(self._state, self._members)
            while self.cfg.revision < wanted:
                before = self.cfg.revision
                if not await self._fetch_from_peer():
                    await self._fetch_from_store()
                if self.cfg.revision == before:
                    await trio.sleep(RETRY_INTERVAL_S)
                wanted = currency.latest_known_revision(self._state, self._members)

    async def _fetch_from_peer(self) -> bool:
        own = self.cfg.revision
        fresh = self._members.fresh_reports(self._clock())
        newer_nodes = [k for k, v in sorted(fresh.items()) if v.revision > own]
        if not newer_nodes:
            return False
        node_id = self._peers.rng.choice(newer_nodes)
        request = DeltasRequest(own)
        reply = await self._peers.call(node_id, DELTAS, request, PEER_TIMEOUT_S)
        if not isinstance(reply, DeltasReply):
            return False
        if reply.snapshot is not None:
            self._activate(change.apply_snapshot(self.cfg, reply.snapshot))
        self._apply(reply.changes)
        return self.cfg.revision > own

    async def _fetch_from_store(self) -> None:
        if self.cfg.revision == 0:
            await self._read_snapshot()
        changes = await self._scan_changes(self.cfg.revision, PAGE_ROWS)
        if not isinstance(changes, ports.Unavailable):
            self._apply(changes)

    async def _scan_changes(
        self, after: int, limit: int
    ) -> list[change.Change] | ports.Unavailable:
        scan = self._table.scan("changes", after=change.row_key(after), limit=limit)
        rows = await _call_platform(scan)
        if isinstance(rows, ports.Unavailable):
            return rows
        decoded = map(_decode_change, rows)
        return [item for item in decoded if item is not None]

    async def _apply_or_fetch(self, changes: list[change.Change]) -> None:
        self._apply(changes)
        newest = max(item.revision for item in changes)
        if self.cfg.revision < newest:
            await self._fetch_from_store()

    def _apply(self, changes: collections.abc.Iterable[change.Change]) -> None:
        for item in changes:
            match change.apply(self.cfg, item):
                case change.Applied(cfg=cfg):
                    self._log[item.revision] = item
                    self._log.pop(item.revision - LOG_LENGTH, None)
                    self._activate(cfg)
                case change.Gap():
                    self._wake_catch_up()
                    return
                case change.AlreadyApplied():
                    continue

    def _activate(self, cfg: contract.Config) -> None:
        if cfg.revision <= self.cfg.revision:
            return
        if cfg.revision != self.cfg.revision + 1:
            self._log.clear()
            LOG.info("configuration_loaded", extra={"revision": cfg.revision})
        else:
            LOG.info("change_in_force", extra={"revision": cfg.revision})
        self.cfg = cfg
        currency.record_revision(self._state, cfg.revision)

    async def _answer_deltas(self, message: DeltasRequest) -> DeltasReply:
        after = message.after
        snapshot = None
        if after < self.cfg.revision and after + 1 not in self._log:
            snapshot = change.take_snapshot(self.cfg)
            after = self.cfg.revision
        last = min(after + DELTAS_PER_REPLY, self.cfg.revision)
        changes = tuple(self._log[k] for k in range(after + 1, last + 1))
        return DeltasReply(changes, snapshot)

    async def _answer_push(self, message: Push) -> PushReply:
        self._apply([message.change])
        return PushReply(currency.own_status(self._state, self._clock()))

    async def _read_snapshot(self) -> None:
        row = await _call_platform(self._table.read("snapshots", "latest"))
        if not isinstance(row, ports.Row):
            return
        snapshot = _decode(row, change.Snapshot)
        if snapshot is not None:
            self._activate(change.apply_snapshot(self.cfg, snapshot))

    async def _write_snapshot(self) -> None:
        content = msgspec.json.encode(change.take_snapshot(self.cfg))
        write = ports.Write("snapshots", "latest", content, ports.Expect.ANY)
        result = await _call_platform(self._table.write(write))
        if not isinstance(result, ports.Written):
            LOG.warning("snapshot_not_written", extra={"result": str(result)})

    # Members

    async def _poll_members(self) -> None:
        known: frozenset[str] = frozenset()
        changed_at = self._clock()
        while True:
            asked_at = self._clock()
            rows = await self._read_sessions()
            period_s = MEMBERS_INTERVAL_S
            if rows is not None:
                self._update_members(rows)
                await self.on_sessions(rows, asked_at)
                found = frozenset(row.key for row in rows)
                if found != known:
                    known, changed_at = found, asked_at
                if asked_at - changed_at >= MEMBERS_CHANGING_S:
                    period_s = STABLE_MEMBERS_INTERVAL_S
            min_period_s = len(self._members.rows) / MEMBERS_SCANS_PER_S
            await trio.sleep(max(period_s, min_period_s))

    async def _read_members(self) -> None:
        rows = await self._read_sessions()
        if rows is not None:
            self._update_members(rows)

    async def _read_sessions(self) -> list[ports.Row] | None:
        rows: list[ports.Row] = []
        while True:
            after = rows[-1].key if rows else ""
            scan = self._table.scan("sessions", after=after, limit=PAGE_ROWS)
            page = await _call_platform(scan)
            if isinstance(page, ports.Unavailable):
                return None
            rows.extend(page)
            if len(page) < PAGE_ROWS:
                return rows

    def _update_members(self, rows: collections.abc.Iterable[ports.Row]) -> None:
        sessions = [_decode(row, session.Row) for row in rows]
        if any(item is None for item in sessions):
            return
        members = {item.node: _to_member(item) for item in sessions if item is not None}
        if not members:
            self._members.replace(self._peers.settings.static_members())
            return
        self._members.replace([*members.values(), *self._without_session(members)])

    def _without_session(
        self, with_session: collections.abc.Container[str]
    ) -> list[member.Member]:
        """Return the nodes that may still run although their session was revoked.

        A revoked session has no row. Its node may be partitioned and still serve by
        the majority rule, so it counts until the platform stops listing its instance.
        """
        if self._listed_nodes is None:
            known = self._members.rows.values() if self._members.complete else ()
            earlier_members = [row for row in known if row.incarnation]
        else:
            earlier_members = list(self._listed_nodes.values())
        return [
            dataclasses.replace(row, revoked=True)
            for row in earlier_members
            if row.node_id not in with_session
        ]

    async def _poll_instances(self, instances: ports.InstanceList) -> None:
        while True:
            listed = await _call_platform(instances.read())
            if not isinstance(listed, ports.Unavailable):
                nodes = {
                    item.id: member.Member(item.id, "", item.host, item.port, item.zone)
                    for item in listed
                    if item.role is table.Role.NODE
                }
                # A list that lacks this running node is not reliable for others.
                self._listed_nodes = nodes if self._peers.node_id in nodes else None
            await ticker.sleep(INSTANCES_INTERVAL_S)


async def _call_platform(
    call: collections.abc.Awaitable[Fetched], timeout_s: float = STORE_TIMEOUT_S
) -> Fetched | ports.Unavailable:
    """Call the platform with a timeout, after which the call's effect is unknown."""
    with trio.move_on_after(timeout_s):
        return await call
    return ports.Unavailable(f"no answer within {timeout_s} s", maybe_applied=True)


async def _ignore_sessions(rows: list[ports.Row], asked_at: float) -> None:
    del rows, asked_at


def _to_member(item: session.Row) -> member.Member:
    return member.Member(item.node, item.process, item.host, item.rpc_port, item.zone)


def _decode(row: ports.Row, kind: type[Fetched]) -> Fetched | None:
    try:
        return msgspec.json.decode(row.content, type=kind)
    except msgspec.MsgspecError as exc:
        extra = {"table": row.table, "key": row.key, "reason": str(exc)}
        LOG.error("row_unreadable", extra=extra)
        return None


def _decode_change(row: ports.Row) -> change.Change | None:
    return _decode(row, change.Change)


def _head_revision(row: ports.Row | ports.Absent) -> int | None:
    if isinstance(row, ports.Absent):
        return 0
    head = _decode(row, Head)
    return None if head is None else head.revision

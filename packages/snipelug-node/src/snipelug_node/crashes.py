"""Crash counts of requests: sent to peers, stored in a table, checked before a send."""

import collections.abc
import dataclasses
import itertools
import typing

import msgspec
import trio

from snipelug_core import hashing, quarantine, refusal
from snipelug_net import rpc
from snipelug_node import ports, ticker

TABLE = "crashes"
CALL_TIMEOUT_S = 1.0
WRITE_ATTEMPTS = 5
"""Attempts of one conditional write; nodes race for a row only when upstreams crash."""

MIN_SCAN_INTERVAL_S = 2.0
SCAN_INTERVAL_PER_MEMBER_S = 0.02
"""Contribution of each member to the scan interval, which is at least
`MIN_SCAN_INTERVAL_S`. With this value 780 nodes make 50 scans/s in total."""

SUSPECT_RETENTION_S = 24 * 3600.0
"""Time after which the record of a suspect request is deleted, in seconds."""

Identifier = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Natural = typing.Annotated[int, msgspec.Meta(ge=0)]


class CrashItem(msgspec.Struct, frozen=True):
    """One crash; see `quarantine.Crash`."""

    id: Identifier
    upstream_id: Identifier
    epoch: Natural


class Crash(msgspec.Struct, frozen=True):
    """The crashes recorded for one fingerprint; also the content of its row.

    Attributes
    ----------
    written_at : float
        Wall time of the last write, in seconds since the epoch.
    """

    fingerprint: Identifier
    team: Identifier
    epoch: Natural
    crashes: tuple[CrashItem, ...]
    written_at: float = 0.0


class Noted(msgspec.Struct, frozen=True):
    """Answers `Crash`."""


CRASH = rpc.Method("Crash", Crash, Noted)


@dataclasses.dataclass(frozen=True)
class Recorded:
    """A crash was counted.

    Attributes
    ----------
    is_written : bool
        Whether the table contains the crash. If not, it is written later.
    unconfirmed_peers : tuple of str
        Live peers that did not confirm the crash.
    """

    standing: quarantine.Standing
    is_written: bool
    unconfirmed_peers: tuple[str, ...]

    @property
    def allows_retry(self) -> bool:
        """Whether a retry is safe, since no node can miss this crash permanently."""
        return self.standing is not quarantine.Standing.QUARANTINED and (
            self.is_written or not self.unconfirmed_peers
        )


@dataclasses.dataclass(frozen=True)
class Released:
    """An operator's release took effect."""

    record: quarantine.Record


@dataclasses.dataclass(frozen=True)
class Unknown:
    """No crash is recorded for the fingerprint."""

    fingerprint: str


class Crashes:
    """Crash counts as known to one node.

    Parameters
    ----------
    peers : Peers
        The other nodes.
    tables : TableService
        The platform's table service.
    key : bytes
        Secret of the deployment, used for fingerprints.
    session_id : str
        Identifies this process; changes on restart.
    wall : callable
        Returns the wall time in seconds since the epoch.
    """

    def __init__(
        self,
        peers: ports.Peers,
        tables: ports.TableService,
        key: bytes,
        session_id: str,
        wall: collections.abc.Callable[[], float],
    ) -> None:
        self._peers = peers
        self._tables = tables
        self._key = key
        self._session_id = session_id
        self._wall = wall
        self._crash_numbers = itertools.count()
        self._records: quarantine.Records = {}
        self._pending_writes: set[str] = set()
        self._changed_at: dict[str, float] = {}
        peers.register(CRASH, self._answer_crash)

    def fingerprint(self, team: str, body: bytes) -> str:
        """Return the fingerprint of a request."""
        return quarantine.fingerprint(self._key, team, body)

    def epoch(self, fingerprint: str) -> int:
        """Return the epoch to pass to `record` if this send of the request crashes."""
        record = self._records.get(fingerprint)
        return 0 if record is None else record.epoch

    def check(self, fingerprint: str) -> quarantine.Standing | refusal.Refusal:
        """Classify a request before it is dispatched.

        Returns
        -------
        Standing or Refusal
            ``SUSPECT`` requires a slot of the upstream's suspect part.
        """
        record = self._records.get(fingerprint)
        standing = quarantine.classify(record)
        if record is not None and standing is quarantine.Standing.QUARANTINED:
            return quarantine.build_refusal(record)
        return standing

    async def record(
        self, fingerprint: str, team: str, upstream_id: str, epoch: int
    ) -> Recorded:
        """Record a crash at all nodes and in the table, before any retry.

        Parameters
        ----------
        fingerprint, team : str
            The request.
        upstream_id : str
            The upstream that crashed while it ran the request.
        epoch : int
            The value of `epoch` when the request was sent.
        """
        crash_id = f"{self._session_id}/{next(self._crash_numbers)}"
        crash = quarantine.Crash(crash_id, upstream_id, epoch)
        known = self._records.get(fingerprint, quarantine.Record(fingerprint, team))
        self._merge(quarantine.add_crash(known, crash), self._wall())
        self._pending_writes.add(fingerprint)
        unconfirmed_peers: list[str] = []
        async with trio.open_nursery() as nursery:
            for peer in self._peers.live():
                if peer != self._peers.node_id:
                    nursery.start_soon(
                        self._notify, peer, fingerprint, unconfirmed_peers
                    )
            await self._write(fingerprint)
        standing = quarantine.classify(self._records[fingerprint])
        is_written = fingerprint not in self._pending_writes
        return Recorded(standing, is_written, tuple(sorted(unconfirmed_peers)))

    async def release(
        self, fingerprint: str
    ) -> Released | Unknown | ports.Conflict | ports.Unavailable:
        """Release a request on behalf of an operator and notify the peers.

        If the outcome of the write is unknown, the operator repeats the release. A
        repeated release starts another epoch, with the same effect.
        """
        row = await self._tables.read(TABLE, fingerprint)
        if isinstance(row, ports.Unavailable):
            return row
        if isinstance(row, ports.Absent):
            return Unknown(fingerprint)
        record = quarantine.release(_decode(row))
        outcome = await self._write_record(record, row.version)
        if not isinstance(outcome, ports.Written):
            return outcome
        self._merge(record, self._wall())
        async with trio.open_nursery() as nursery:
            for peer in self._peers.live():
                if peer != self._peers.node_id:
                    nursery.start_soon(self._notify, peer, fingerprint, [])
        return Released(record)

    def quarantined(self) -> list[quarantine.Record]:
        """Return the quarantined requests, for operators."""
        quarantined = quarantine.Standing.QUARANTINED
        records = sorted(self._records.values(), key=lambda record: record.fingerprint)
        return [
            record for record in records if quarantine.classify(record) is quarantined
        ]

    async def run(self) -> None:
        """Scan the table and write missing crashes to it, until cancelled."""
        while True:
            await self.scan()
            members = len(self._peers.live())
            await ticker.sleep(
                max(MIN_SCAN_INTERVAL_S, SCAN_INTERVAL_PER_MEMBER_S * members)
            )

    async def scan(self) -> bool:
        """Merge all rows of the table; return False if it could not be read."""
        for fingerprint in sorted(self._pending_writes):
            await self._write(fingerprint)
        after = ""
        while True:
            rows = await self._tables.scan(TABLE, after=after)
            if isinstance(rows, ports.Unavailable):
                return False
            for row in rows:
                await self._merge_row(row)
            if not rows:
                self._drop_expired()
                return True
            after = rows[-1].key

    def _merge(self, record: quarantine.Record, written_at: float) -> None:
        quarantine.merge_record(self._records, record)
        known_at = self._changed_at.get(record.fingerprint, written_at)
        self._changed_at[record.fingerprint] = max(known_at, written_at)

    def _drop_expired(self) -> None:
        """Drop expired suspects from memory; another node may have deleted the row."""
        now = self._wall()
        for fingerprint, record in list(self._records.items()):
            changed_at = self._changed_at[fingerprint]
            if _is_expired(len(record.crashes), changed_at, now):
                del self._records[fingerprint]
                del self._changed_at[fingerprint]
                self._pending_writes.discard(fingerprint)

    async def _merge_row(self, row: ports.Row) -> None:
        content = _parse(row)
        if content is None:
            return
        if not _is_expired(len(content.crashes), content.written_at, self._wall()):
            self._merge(_to_record(content), content.written_at)
        elif hashing.rank(row.key, self._peers.live())[0] == self._peers.node_id:
            await self._tables.write(ports.Write(TABLE, row.key, None, row.version))

    async def _write(self, fingerprint: str) -> None:
        """Merge this node's record into the row until the row contains it.

        If the outcome of a write is unknown, the row is read again.
        """
        for _ in range(WRITE_ATTEMPTS):
            row = await self._tables.read(TABLE, fingerprint)
            if isinstance(row, ports.Unavailable):
                return
            expect: ports.Precondition = ports.Expect.ABSENT
            stored: quarantine.Record | None = None
            if isinstance(row, ports.Row):
                expect = row.version
                stored = _decode(row)
                self._merge(stored, self._wall())
            record = self._records[fingerprint]
            if record == stored:
                self._pending_writes.discard(fingerprint)
                return
            outcome = await self._write_record(record, expect)
            if isinstance(outcome, ports.Written):
                self._pending_writes.discard(fingerprint)
                return

    async def _write_record(
        self, record: quarantine.Record, expect: ports.Precondition
    ) -> ports.Written | ports.Conflict | ports.Unavailable:
        content = msgspec.json.encode(_to_message(record, self._wall()))
        write = ports.Write(TABLE, record.fingerprint, content, expect)
        return await self._tables.write(write)

    async def _notify(
        self, peer: str, fingerprint: str, unconfirmed_peers: list[str]
    ) -> None:
        message = _to_message(self._records[fingerprint], self._wall())
        answer = await self._peers.call(peer, CRASH, message, CALL_TIMEOUT_S)
        if not isinstance(answer, Noted):
            unconfirmed_peers.append(peer)

    async def _answer_crash(self, message: Crash) -> Noted:
        self._merge(_to_record(message), message.written_at)
        return Noted()


def _is_expired(crashes: int, written_at: float, now: float) -> bool:
    return crashes < quarantine.CRASH_LIMIT and now - written_at > SUSPECT_RETENTION_S


def _to_message(record: quarantine.Record, written_at: float) -> Crash:
    items = [
        CrashItem(crash.id, crash.upstream_id, crash.epoch) for crash in record.crashes
    ]
    items.sort(key=lambda item: item.id)
    return Crash(
        record.fingerprint, record.team, record.epoch, tuple(items), written_at
    )


def _to_record(message: Crash) -> quarantine.Record:
    crashes = frozenset(
        quarantine.Crash(item.id, item.upstream_id, item.epoch)
        for item in message.crashes
    )
    return quarantine.Record(message.fingerprint, message.team, message.epoch, crashes)


def _parse(row: ports.Row) -> Crash | None:
    """Return a row's content, or None if it is corrupt."""
    try:
        return msgspec.json.decode(row.content, type=Crash)
    except msgspec.MsgspecError:
        return None


def _decode(row: ports.Row) -> quarantine.Record:
    content = _parse(row)
    if content is None:
        return quarantine.Record(row.key, "unknown")
    return _to_record(content)

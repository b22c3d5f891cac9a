"""Crash counts of requests: told to peers, kept in the table, checked before a send."""

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
"""Attempts of one conditional write; nodes race for a row only when upstreams die."""

SCAN_S = 2.0
SCAN_PER_MEMBER_S = 0.02
"""Time between reads of the table: at least `SCAN_S`, and longer with many members,
so that 780 nodes scan 50 times per second in total."""

SUSPECT_KEEP_S = 24 * 3600.0
"""Time after which a single crash is forgotten, in seconds."""

Identifier = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Natural = typing.Annotated[int, msgspec.Meta(ge=0)]


class CrashItem(msgspec.Struct, frozen=True):
    """One crash; see `quarantine.Crash`."""

    id: Identifier
    upstream_id: Identifier
    epoch: Natural


class Crash(msgspec.Struct, frozen=True):
    """What is known about one fingerprint; also the content of its row.

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
        Whether the table holds it. If not, it is written later.
    untold : tuple of str
        Live peers that did not confirm it.
    """

    standing: quarantine.Standing
    is_written: bool
    untold: tuple[str, ...]

    @property
    def allows_retry(self) -> bool:
        """Whether a retry cannot meet a node that misses this crash for good."""
        return self.standing is not quarantine.Standing.QUARANTINED and (
            self.is_written or not self.untold
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
    """Crash counts as one node knows them.

    Parameters
    ----------
    peers : Peers
        The other nodes.
    tables : TableService
        The platform's table service.
    key : bytes
        Secret of the deployment, for fingerprints.
    session_id : str
        Names this process; differs after a restart.
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
        self._numbers = itertools.count()
        self._records: quarantine.Records = {}
        self._unwritten: set[str] = set()
        self._changed_at: dict[str, float] = {}
        peers.register(CRASH, self._answer_crash)

    def fingerprint(self, team: str, body: bytes) -> str:
        """Return the fingerprint of a request."""
        return quarantine.fingerprint(self._key, team, body)

    def epoch(self, fingerprint: str) -> int:
        """Return the epoch to remember with a send of the request."""
        record = self._records.get(fingerprint)
        return 0 if record is None else record.epoch

    def check(self, fingerprint: str) -> quarantine.Standing | refusal.Refusal:
        """Judge a request before it is dispatched.

        Returns
        -------
        Standing or Refusal
            ``SUSPECT`` asks for a slot of the upstream's suspect part.
        """
        record = self._records.get(fingerprint)
        standing = quarantine.classify(record)
        if record is not None and standing is quarantine.Standing.QUARANTINED:
            return quarantine.build_refusal(record)
        return standing

    async def record(
        self, fingerprint: str, team: str, upstream_id: str, epoch: int
    ) -> Recorded:
        """Count a crash at all nodes and in the table; before any retry.

        Parameters
        ----------
        fingerprint, team : str
            The request.
        upstream_id : str
            The upstream that died while it ran the request.
        epoch : int
            What `epoch` returned when the request was sent.
        """
        crash_id = f"{self._session_id}/{next(self._numbers)}"
        crash = quarantine.Crash(crash_id, upstream_id, epoch)
        known = self._records.get(fingerprint, quarantine.Record(fingerprint, team))
        self._learn(quarantine.add_crash(known, crash), self._wall())
        self._unwritten.add(fingerprint)
        untold: list[str] = []
        async with trio.open_nursery() as nursery:
            for peer in self._peers.live():
                if peer != self._peers.node_id:
                    nursery.start_soon(self._tell, peer, fingerprint, untold)
            await self._write(fingerprint)
        standing = quarantine.classify(self._records[fingerprint])
        is_written = fingerprint not in self._unwritten
        return Recorded(standing, is_written, tuple(sorted(untold)))

    async def release(
        self, fingerprint: str
    ) -> Released | Unknown | ports.Conflict | ports.Unavailable:
        """Release a request for an operator and tell the peers.

        After an unclear write the operator repeats the release. That starts a further
        epoch, which has the same effect as one.
        """
        row = await self._tables.read(TABLE, fingerprint)
        if isinstance(row, ports.Unavailable):
            return row
        if isinstance(row, ports.Absent):
            return Unknown(fingerprint)
        record = quarantine.release(_decode(row))
        outcome = await self._put(record, row.version)
        if not isinstance(outcome, ports.Written):
            return outcome
        self._learn(record, self._wall())
        async with trio.open_nursery() as nursery:
            for peer in self._peers.live():
                if peer != self._peers.node_id:
                    nursery.start_soon(self._tell, peer, fingerprint, [])
        return Released(record)

    def quarantined(self) -> list[quarantine.Record]:
        """Return the quarantined requests, for operators."""
        wanted = quarantine.Standing.QUARANTINED
        records = sorted(self._records.values(), key=lambda one: one.fingerprint)
        return [one for one in records if quarantine.classify(one) is wanted]

    async def run(self) -> None:
        """Read the table and write what it misses, until cancelled."""
        while True:
            await self.scan()
            members = len(self._peers.live())
            await ticker.sleep(max(SCAN_S, SCAN_PER_MEMBER_S * members))

    async def scan(self) -> bool:
        """Learn all rows of the table; False if it could not be read."""
        for fingerprint in sorted(self._unwritten):
            await self._write(fingerprint)
        after = ""
        while True:
            rows = await self._tables.scan(TABLE, after=after)
            if isinstance(rows, ports.Unavailable):
                return False
            for row in rows:
                await self._learn_row(row)
            if not rows:
                self._forget_old()
                return True
            after = rows[-1].key

    def _learn(self, record: quarantine.Record, written_at: float) -> None:
        quarantine.merge_record(self._records, record)
        known_at = self._changed_at.get(record.fingerprint, written_at)
        self._changed_at[record.fingerprint] = max(known_at, written_at)

    def _forget_old(self) -> None:
        """Drop old suspects from memory; another node may have dropped the row."""
        now = self._wall()
        for fingerprint, record in list(self._records.items()):
            changed_at = self._changed_at[fingerprint]
            if _is_old(len(record.crashes), changed_at, now):
                del self._records[fingerprint]
                del self._changed_at[fingerprint]
                self._unwritten.discard(fingerprint)

    async def _learn_row(self, row: ports.Row) -> None:
        content = _parse(row)
        if content is None:
            return
        if not _is_old(len(content.crashes), content.written_at, self._wall()):
            self._learn(_to_record(content), content.written_at)
        elif hashing.rank(row.key, self._peers.live())[0] == self._peers.node_id:
            await self._tables.write(ports.Write(TABLE, row.key, None, row.version))

    async def _write(self, fingerprint: str) -> None:
        """Merge this node's view into the row, until the row contains it.

        After an unclear write the row is read again, so no answer is trusted that did
        not arrive.
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
                self._learn(stored, self._wall())
            record = self._records[fingerprint]
            if record == stored:
                self._unwritten.discard(fingerprint)
                return
            outcome = await self._put(record, expect)
            if isinstance(outcome, ports.Written):
                self._unwritten.discard(fingerprint)
                return

    async def _put(
        self, record: quarantine.Record, expect: ports.Precondition
    ) -> ports.Written | ports.Conflict | ports.Unavailable:
        content = msgspec.json.encode(_to_message(record, self._wall()))
        write = ports.Write(TABLE, record.fingerprint, content, expect)
        return await self._tables.write(write)

    async def _tell(self, peer: str, fingerprint: str, untold: list[str]) -> None:
        message = _to_message(self._records[fingerprint], self._wall())
        answer = await self._peers.call(peer, CRASH, message, CALL_TIMEOUT_S)
        if not isinstance(answer, Noted):
            untold.append(peer)

    async def _answer_crash(self, message: Crash) -> Noted:
        self._learn(_to_record(message), message.written_at)
        return Noted()


def _is_old(crashes: int, written_at: float, now: float) -> bool:
    return crashes < quarantine.CRASH_LIMIT and now - written_at > SUSPECT_KEEP_S


def _to_message(record: quarantine.Record, written_at: float) -> Crash:
    items = [CrashItem(one.id, one.upstream_id, one.epoch) for one in record.crashes]
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
    """Return a row's content, or None if another program damaged it."""
    try:
        return msgspec.json.decode(row.content, type=Crash)
    except msgspec.MsgspecError:
        return None


def _decode(row: ports.Row) -> quarantine.Record:
    content = _parse(row)
    if content is None:
        return quarantine.Record(row.key, "unknown")
    return _to_record(content)

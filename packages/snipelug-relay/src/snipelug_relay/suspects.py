"""Withholds requests whose parts, or which themselves, crash upstreams.

All nodes share what they know of suspects by datagrams, which are repeated, and by
rows in the platform's store, which a node reads when it starts.
"""

import collections
import collections.abc
import contextlib
import dataclasses
import logging
import random

import msgspec
import trio

from snipelug_core import quarantine, refusal
from snipelug_net import lines
from snipelug_relay import announce, clock, job, messages, ports, state, stats, watch

LOG = logging.getLogger("snipelug.suspects")

SOUND_S = 10.0
"""Time after a complete answer for which its parts are not charged with crashes.

When many upstreams crash at once, parts in wide use would otherwise be withheld.
"""

MAX_SOUND = 4096
"""Maximum number of parts, and of whole requests, that are remembered as sound."""

REPEAT_DELAYS_S = (0.0, 0.15, 0.5, 1.2)
"""Delays after a change at which it is sent to all nodes; datagrams may be lost."""

ECHO_DELAY_PER_NODE_S = 0.002
"""Spreads the messages of nodes that all know that a suspect is sound."""

GOSSIP_INTERVAL_S = 1.0
GOSSIP_SENDERS = 3
"""Nodes that, on average, repeat all suspects in each interval.

A node that was partitioned or frozen has received no datagrams.
"""

TICK_S = 0.02
MESSAGE_BYTES = 6_000
ROW_BYTES = 48_000
"""Maximum size of a row; the platform's store accepts 64 KiB."""

ROWS_DELAY_S = 0.3
MIN_ROWS_INTERVAL_S = 2.0
ROWS_INTERVAL_PER_NODE_S = 0.02
"""Contribution of each node to the interval at which rows are read while there are
suspects; 780 nodes make 50 calls a second."""

PROBE_AFTER_S = 60.0
"""Time for which requests with a suspect are withheld before one is sent again.

Doubles with each such request that crashes its upstream.
"""

MAX_PROBE_DOUBLINGS = 6
CLAIM_RETRY_S = 5.0
RESTORE_NOTICE_S = 2.0
"""Time in which nodes learn that the platform's store was restored.

They then write the rows again with the claims that the store has lost.
"""

RETENTION_S = 600.0
"""Time after its last change for which a suspect that is not withheld is kept."""


@dataclasses.dataclass
class Waiting:
    """An attempt that has not begun.

    Attributes
    ----------
    scope : trio.CancelScope
        Ends the attempt if its request is withheld.
    """

    work: job.Job
    scope: trio.CancelScope
    is_withheld: bool = False


@dataclasses.dataclass
class Hold:
    """When a request with a withheld suspect may be sent again.

    Attributes
    ----------
    probe_at : float
        Monotonic time in seconds.
    """

    probe_at: float
    probes: int = 0


class Suspects:
    """What one node knows of suspects, and which requests it withholds."""

    def __init__(
        self,
        cfg: ports.Settings,
        node_state: state.State,
        store: ports.ControlStore,
        metrics: stats.Stats,
        announcer: announce.Announcer,
    ) -> None:
        self._cfg = cfg
        self._state = node_state
        self._store = store
        self._stats = metrics
        self._announcer = announcer
        announcer.set_handler(messages.Suspects, self._on_message)
        self._ledger = quarantine.Ledger()
        self._attempts: dict[int, Waiting] = {}
        # Whole requests that are never sent again must not displace parts.
        self._sound_parts: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._sound_requests: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._sends: dict[str, list[float]] = {}
        self._echoes: set[str] = set()
        self._holds: dict[str, Hold] = {}
        self._own: set[str] = set()
        self._changed_at: dict[str, float] = {}
        self._unwritten: set[str] = set()
        self._has_work = trio.Event()
        self._rows_due = trio.Event()
        self._rng = random.Random()
        self._is_restored = False
        self._claims_from = 0.0
        node_state.add_restore_handler(self._on_restore)

    def _on_restore(self) -> None:
        """Write all rows again; make no claims until other nodes have done so."""
        self._is_restored = True
        self._claims_from = clock.now() + self._rows_interval_s() + RESTORE_NOTICE_S

    async def check(self, work: job.Job) -> refusal.Refusal | None:
        """Return a refusal if a request is withheld, or None to send it."""
        suspicion = self._find(work, quarantine.SUSPECT_LIMIT)
        if suspicion is None:
            return None
        hold = self._hold(suspicion.suspect)
        due_at = max(hold.probe_at, self._claims_from)
        if due_at <= clock.now() and await self._claim_probe(suspicion.suspect):
            work.is_probe = True
            return None
        return self._build_refusal(suspicion)

    def is_withheld(self, work: job.Job) -> bool:
        """Return whether a request must not be sent now."""
        return self._find(work, quarantine.SUSPECT_LIMIT) is not None

    def stops_retry(self, work: job.Job) -> bool:
        """Return whether a request must not be sent to another upstream."""
        return work.is_probe or self._find(work, quarantine.RETRY_LIMIT) is not None

    @contextlib.contextmanager
    def track(
        self, work: job.Job, scope: trio.CancelScope
    ) -> collections.abc.Iterator[Waiting]:
        """Cancel an attempt that has not begun once its request is withheld."""
        waiting = Waiting(work, scope)
        self._attempts[id(waiting)] = waiting
        try:
            yield waiting
        finally:
            del self._attempts[id(waiting)]

    def charge(self, crash_id: str, work: job.Job, sent_at: float) -> None:
        """Charge a crash to a request that had not begun.

        Parameters
        ----------
        sent_at : float
            Monotonic time at which the crashed upstream was sent the request, in
            seconds; the request may have been sent to another one since.
        """
        now = clock.now()
        suspects = [s for s in self._all_suspects(work) if not self._is_sound(s, now)]
        changed = self._ledger.charge(crash_id, suspects, sent_at, now)
        self._own.update(changed)
        for suspect in changed:
            self._changed_at[suspect] = now
            self._schedule(suspect, 0.0)
            self._record_change(suspect)
        self._enforce()

    def record_sound(self, work: job.Job) -> None:
        """Record that a request was answered completely."""
        now = clock.now()
        parts = list(self._part_suspects(work))
        _note_sound(self._sound_parts, parts, now)
        # Whole prompts are hashed only if that can make a difference, as few repeat.
        suspects: collections.abc.Collection[str] = parts
        if not work.request.parts or self._ledger.has_repeated:
            suspects = self._all_suspects(work)
            _note_sound(self._sound_requests, suspects - set(parts), now)
        if not self._ledger:
            return
        for suspect in suspects:
            self._clear(suspect, 0.0)

    def _clear(self, suspect: str, delay_s: float) -> None:
        count = self._ledger.count(suspect)
        if not self._ledger.clear(suspect):
            return
        self._holds.pop(suspect, None)
        self._changed_at[suspect] = clock.now()
        self._schedule(suspect, delay_s)
        if count >= quarantine.RETRY_LIMIT:
            self._mark_unwritten(suspect)
            self._stats.suspects.labels("cleared").inc()
            lines.event(LOG, "suspect_cleared", suspect=suspect, crashes=count)

    def _find(self, work: job.Job, limit: int) -> quarantine.Suspicion | None:
        if work.is_probe or not self._ledger.has_repeated:
            return None
        return self._ledger.find(self._all_suspects(work), limit)

    def _all_suspects(self, work: job.Job) -> frozenset[str]:
        if work.suspects is None:
            request = work.request
            team = work.team.name if work.team is not None else ""
            whole = quarantine.request_suspect(
                team,
                request.method,
                request.host,
                request.target,
                request.model,
                *(part.id for part in request.parts),
                body=request.body,
            )
            work.suspects = frozenset({whole, *self._part_suspects(work)})
        return work.suspects

    def _part_suspects(self, work: job.Job) -> collections.abc.Iterator[str]:
        request = work.request
        for part in request.parts[:-1]:
            yield quarantine.part_suspect(request.model, part.id)

    def _is_sound(self, suspect: str, now: float) -> bool:
        sound_at = max(
            self._sound_parts.get(suspect, -1e9),
            self._sound_requests.get(suspect, -1e9),
        )
        return now - sound_at < SOUND_S

    def _hold(self, suspect: str) -> Hold:
        if suspect not in self._holds:
            self._holds[suspect] = Hold(clock.now() + PROBE_AFTER_S)
        return self._holds[suspect]

    def _build_refusal(self, suspicion: quarantine.Suspicion) -> refusal.Refusal:
        crashes = ", ".join(sorted(suspicion.crashes))
        message = f"withheld: {suspicion.suspect} is suspected of crashes: {crashes}"
        left_s = self._hold(suspicion.suspect).probe_at - clock.now()
        return refusal.refuse(refusal.WITHHELD, message, retry_after_s=max(1.0, left_s))

    def _record_change(self, suspect: str) -> None:
        """Log and store a suspect that has been charged with another crash."""
        suspicion = self._ledger.get(suspect)
        count = len(suspicion.crashes)
        if count < quarantine.RETRY_LIMIT:
            return
        if suspect in self._own:
            self._mark_unwritten(suspect)
        is_withheld = self._ledger.is_withheld(suspect)
        if is_withheld:
            self._hold(suspect)
        what = "withheld" if is_withheld else "suspected"
        self._stats.suspects.labels(what).inc()
        lines.warning(
            LOG,
            "suspect",
            suspect=suspect,
            what=what,
            crashes=sorted(suspicion.crashes),
            company=sorted(suspicion.company - {suspect}),
        )

    def _enforce(self) -> None:
        """Cancel the attempts that have not begun and are withheld now."""
        for waiting in self._attempts.values():
            if not waiting.is_withheld and self.is_withheld(waiting.work):
                waiting.is_withheld = True
                self._stats.suspects.labels("aborted").inc()
                waiting.scope.cancel()

    def _schedule(self, suspect: str, delay_s: float) -> None:
        now = clock.now()
        self._sends[suspect] = [now + delay_s + each for each in REPEAT_DELAYS_S]
        self._echoes.discard(suspect)
        if delay_s > 0:
            self._echoes.add(suspect)
        self._has_work.set()

    def _mark_unwritten(self, suspect: str) -> None:
        self._unwritten.add(suspect)
        self._rows_due.set()

    def _on_message(self, message: messages.Suspects) -> None:
        for received in message.suspicions:
            self._merge(received)
        self._enforce()

    def _merge(self, received: quarantine.Suspicion) -> None:
        """Merge what another node knows of a suspect."""
        suspect = received.suspect
        before = self._ledger.get(suspect)
        is_changed = self._ledger.merge(received, clock.now())
        if is_changed:
            self._changed_at[suspect] = clock.now()
        known = self._ledger.get(suspect)
        if suspect in self._echoes and received.cleared >= known.cleared:
            self._echoes.discard(suspect)
            self._sends.pop(suspect, None)
        delay_s = 1e-3 + self._rng.random() * ECHO_DELAY_PER_NODE_S * self._state.nodes
        if known.crashes and self._is_sound(suspect, clock.now()):
            self._clear(suspect, delay_s)
        elif received.crashes.keys() & known.cleared and suspect not in self._sends:
            self._schedule(suspect, delay_s)
        elif is_changed and (
            len(known.crashes) > len(before.crashes)
            or known.independent > before.independent
        ):
            self._record_change(suspect)
        if not known.crashes:
            self._holds.pop(suspect, None)
        self._has_work.set()

    async def run(self) -> None:
        """Read the rows, then exchange suspects until cancelled."""
        call_status = watch.CallStatus("suspects", self._stats)
        while not await call_status.record(await self._read_rows()):
            pass
        self._state.suspects_known = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_datagrams)
            nursery.start_soon(self._run_rows, call_status)

    async def _run_datagrams(self) -> None:
        gossip_at = clock.now() + GOSSIP_INTERVAL_S
        while True:
            next_at = min((times[0] for times in self._sends.values()), default=1e18)
            if self._ledger.has_repeated:
                next_at = min(next_at, gossip_at)
            with trio.move_on_after(max(0.0, next_at - clock.now())):
                await self._has_work.wait()
            self._has_work = trio.Event()
            await trio.sleep(TICK_S)
            now = clock.now()
            self._send([self._ledger.get(s) for s in self._pop_due(now)])
            if now >= gossip_at:
                gossip_at = now + GOSSIP_INTERVAL_S
                if self._rng.random() < GOSSIP_SENDERS / self._state.nodes:
                    self._send(self._ledger.repeated())

    def _pop_due(self, now: float) -> list[str]:
        due = []
        for suspect, times in list(self._sends.items()):
            if times[0] > now:
                continue
            due.append(suspect)
            self._echoes.discard(suspect)
            self._sends[suspect] = [at for at in times if at > now]
            if not self._sends[suspect]:
                del self._sends[suspect]
        return due

    def _send(self, suspicions: collections.abc.Iterable[quarantine.Suspicion]) -> None:
        for chunk in split(suspicions):
            self._announcer.send_to_all(messages.Suspects(chunk))

    async def _run_rows(self, call_status: watch.CallStatus) -> None:
        while True:
            with trio.move_on_after(self._rows_interval_s()):
                await self._rows_due.wait()
            self._rows_due = trio.Event()
            # A suspect that is sound is mostly cleared by then.
            await trio.sleep(ROWS_DELAY_S)
            if self._is_restored:
                self._is_restored = False
                self._unwritten.update(self._ledger.recorded())
            self._forget_old()
            if self._unwritten or self._ledger.has_repeated:
                await call_status.record(await self._sync_rows())
            if self._unwritten:
                self._rows_due.set()

    def _rows_interval_s(self) -> float:
        by_nodes_s = ROWS_INTERVAL_PER_NODE_S * self._state.nodes
        return max(MIN_ROWS_INTERVAL_S, by_nodes_s)

    def _forget_old(self) -> None:
        """Forget suspects that no request has contained for long.

        Those that other nodes and rows hold as well are cleared first, as they would
        otherwise return from there.
        """
        oldest = clock.now() - RETENTION_S
        for suspect, changed_at in list(self._changed_at.items()):
            if changed_at > oldest:
                continue
            count = self._ledger.count(suspect)
            if count < quarantine.RETRY_LIMIT:
                self._ledger.forget(suspect)
                self._own.discard(suspect)
                del self._changed_at[suspect]
            elif (
                not self._ledger.is_withheld(suspect)
                or self._hold(suspect).probe_at < oldest
            ):
                self._clear(suspect, 0.0)
                self._changed_at[suspect] = clock.now()

    async def _sync_rows(self) -> ports.Page[ports.SuspectRow] | ports.Unavailable:
        page = await self._read_rows()
        if isinstance(page, ports.Unavailable):
            return page
        rows = {row.suspicion.suspect: row for row in page.items}
        failure: ports.Unavailable | None = None
        for suspect in sorted(self._unwritten):
            row = rows.get(suspect)
            written = await self._write_row(suspect, row, page)
            if isinstance(written, ports.Unavailable):
                # A row that the store rejects must not keep back the others.
                failure = written
            elif written:
                self._unwritten.discard(suspect)
        return failure or page

    async def _read_rows(self) -> ports.Page[ports.SuspectRow] | ports.Unavailable:
        sent_at = clock.now()
        page = await self._store.read_suspects()
        if isinstance(page, ports.Unavailable):
            return page
        now = clock.now()
        if not self._state.record_response(page, sent_at, now):
            return ports.Unavailable("the response precedes a restore of the store")
        for row in page.items:
            self._merge(row.suspicion)
            suspect = row.suspicion.suspect
            held = self._holds.get(suspect)
            # A row with fewer probes than known has lost a claim.
            if self._ledger.count(suspect) and (
                held is None or row.probes >= held.probes
            ):
                probe_at = now + (row.probe_at_ms - page.clock_ms) / 1e3
                self._holds[suspect] = Hold(probe_at, row.probes)
        self._enforce()
        return page

    async def _write_row(
        self,
        suspect: str,
        row: ports.SuspectRow | None,
        page: ports.Page[ports.SuspectRow],
    ) -> bool | ports.Unavailable:
        """Bring the row of a suspect up to date; return False if it must be repeated.

        Rows of suspects without crashes are removed.
        """
        known = self._ledger.get(suspect)
        if not known.crashes:
            return True if row is None else await self._store.remove_suspect(row)
        fitting = quarantine.shorten(known, _fits_row)
        held = self._holds.get(suspect) or Hold(clock.now() + PROBE_AFTER_S)
        is_claimed = row is None or row.probes < held.probes
        if row is not None and row.suspicion == fitting and not is_claimed:
            return True
        probe_at_ms = page.clock_ms + 1e3 * (held.probe_at - clock.now())
        new = ports.SuspectRow(fitting, probe_at_ms, held.probes, 0, page.epoch)
        if row is not None:
            new = dataclasses.replace(new, version=row.version)
        if row is not None and not is_claimed:
            new = dataclasses.replace(
                new, probe_at_ms=row.probe_at_ms, probes=row.probes
            )
        return await self._store.write_suspect(new)

    async def _claim_probe(self, suspect: str) -> bool:
        """Return whether this node may send one request with a withheld suspect."""
        hold = self._hold(suspect)
        hold.probe_at = clock.now() + CLAIM_RETRY_S
        page = await self._read_rows()
        if isinstance(page, ports.Unavailable) or clock.now() < self._claims_from:
            return False
        known = self._ledger.get(suspect)
        if not known.crashes:
            return True
        rows = {row.suspicion.suspect: row for row in page.items}
        row = rows.get(suspect)
        if row is not None and row.probe_at_ms > page.clock_ms:
            return False
        probes = 1 + max(self._hold(suspect).probes, 0 if row is None else row.probes)
        pause_s = PROBE_AFTER_S * 2 ** min(probes, MAX_PROBE_DOUBLINGS)
        claim = ports.SuspectRow(
            quarantine.shorten(known, _fits_row),
            page.clock_ms + 1000 * pause_s,
            probes,
            0 if row is None else row.version,
            page.epoch,
        )
        if await self._store.write_suspect(claim) is not True:
            return False
        self._holds[suspect] = Hold(clock.now() + pause_s, probes)
        lines.event(LOG, "suspect_probed", suspect=suspect, probes=probes)
        return True


def _note_sound(
    sound_at: "collections.OrderedDict[str, float]",
    suspects: collections.abc.Iterable[str],
    now: float,
) -> None:
    for suspect in suspects:
        sound_at[suspect] = now
        sound_at.move_to_end(suspect)
    while len(sound_at) > MAX_SOUND:
        sound_at.popitem(last=False)


def split(
    suspicions: collections.abc.Iterable[quarantine.Suspicion],
) -> collections.abc.Iterator[list[quarantine.Suspicion]]:
    """Split suspicions into lists that fit into a datagram."""
    chunk: list[quarantine.Suspicion] = []
    size = 0
    for suspicion in suspicions:
        fitting = quarantine.shorten(suspicion, _fits)
        added = len(msgspec.msgpack.encode(fitting))
        if chunk and size + added > MESSAGE_BYTES:
            yield chunk
            chunk, size = [], 0
        chunk.append(fitting)
        size += added
    if chunk:
        yield chunk


def _fits(suspicion: quarantine.Suspicion) -> bool:
    return len(msgspec.msgpack.encode(suspicion)) <= MESSAGE_BYTES


def _fits_row(suspicion: quarantine.Suspicion) -> bool:
    return len(msgspec.json.encode(suspicion)) <= ROW_BYTES

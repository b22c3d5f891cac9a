"""Detects crashes of upstreams by the attempts that they broke off.

An upstream has crashed if it closed the connection of an attempt and then refuses
connections, or is listed again with a later start. A hang, a partition or the reset of
an idle connection is no crash.
"""

import collections
import collections.abc
import contextlib
import dataclasses
import logging

import trio

from snipelug_core import fleet
from snipelug_net import http_client, lines
from snipelug_relay import clock, job, state, stats

LOG = logging.getLogger("snipelug.crashes")

CONNECT_TIMEOUT_S = 0.3
"""Timeout of the connect that tells a crash from a closed connection."""

CLOSE_TIMEOUT_S = 0.02
"""Time for which an accepted connection must stay open."""

MAX_CONNECTS = 3
COLLECT_S = 0.05
"""Time for which losses at one upstream are collected into one log line."""

RESTART_WINDOW_S = 15.0
"""Time after a loss in which a later start in the list shows a crash."""

RESTART_CHECK_INTERVAL_S = 0.5
MAX_LOSSES = 256
"""Maximum number of upstream incarnations whose losses are remembered."""

MAX_LOGGED_ATTEMPTS = 50
MAX_ATTEMPTS = 200
"""Maximum number of attempts that are remembered for one upstream incarnation."""

BEGIN_WINDOW_S = 0.25
"""Time after the first event in which a broken response counts as not begun.

An upstream may crash right after it has begun a response.
"""


def crash_id(entry: fleet.Entry) -> str:
    """Return the id of the crash of an upstream incarnation, the same on all nodes.

    Ids sort by the start of the upstream.
    """
    return f"{entry.born:013d}/{entry.id}"


@dataclasses.dataclass(frozen=True)
class LostAttempt:
    """An attempt whose connection the upstream closed.

    Attributes
    ----------
    has_begun : bool
        Whether an event of its response had arrived.
    sent_at : float
        Monotonic time at which it was sent, in seconds.
    """

    work: job.Job
    has_begun: bool
    sent_at: float


@dataclasses.dataclass
class Losses:
    """Attempts that one incarnation of an upstream broke off.

    Attributes
    ----------
    connected_at : float
        Monotonic time at which it last accepted a connection, in seconds.
    verdict : trio.Event or None
        Set at the end of the connect that is in progress, if any.
    """

    entry: fleet.Entry
    lost_at: float
    attempts: list[LostAttempt] = dataclasses.field(default_factory=list)
    has_crashed: bool = False
    is_logged: bool = False
    connected_at: float = -1e9
    verdict: trio.Event | None = None


OnCrash = collections.abc.Callable[[str, job.Job, float], None]
"""Called with the crash id and the time of sending of attempts that had not begun."""


class Detector:
    """Tells crashes of upstreams from other failures.

    Parameters
    ----------
    on_crash : OnCrash
        Called once for each attempt that had not begun on a crashed upstream.
    """

    def __init__(
        self, node_state: state.State, metrics: stats.Stats, on_crash: OnCrash
    ) -> None:
        self._state = node_state
        self._stats = metrics
        self._losses: collections.OrderedDict[str, Losses] = collections.OrderedDict()
        self._changed = trio.Event()
        self._on_crash = on_crash

    async def record_lost(self, work: job.Job, entry: fleet.Entry) -> None:
        """Record an attempt that had not begun; return once it is classified."""
        losses = self._add(work, entry, False, work.sent_at)
        if losses.has_crashed:
            self._charge(losses, work, work.sent_at)
            return
        await self._connect(losses)

    def record_broken(self, work: job.Job, entry: fleet.Entry, sent_at: float) -> None:
        """Record an attempt that had begun; it is classified in the background."""
        begun_at = -1e9 if work.first_byte_at is None else work.first_byte_at
        has_begun = clock.now() - begun_at > BEGIN_WINDOW_S
        losses = self._add(work, entry, has_begun, sent_at)
        if losses.has_crashed and not has_begun:
            self._charge(losses, work, sent_at)

    async def classify(self, entry: fleet.Entry) -> None:
        """Classify at once what an upstream incarnation has broken off."""
        losses = self._losses.get(crash_id(entry))
        if losses is not None and not losses.has_crashed:
            await self._connect(losses)

    def has_crashed(self, crash: str) -> bool:
        """Return whether the upstream incarnation with a crash id has crashed."""
        losses = self._losses.get(crash)
        return losses is not None and losses.has_crashed

    def _add(
        self, work: job.Job, entry: fleet.Entry, has_begun: bool, sent_at: float
    ) -> Losses:
        key = crash_id(entry)
        now = clock.now()
        losses = self._losses.get(key)
        if losses is None or now - losses.lost_at > RESTART_WINDOW_S:
            losses = self._losses[key] = Losses(entry, now)
            while len(self._losses) > MAX_LOSSES:
                self._losses.popitem(last=False)
        if not losses.is_logged and len(losses.attempts) < MAX_ATTEMPTS:
            losses.attempts.append(LostAttempt(work, has_begun, sent_at))
        self._changed.set()
        return losses

    async def _connect(self, losses: Losses) -> None:
        """Find out whether the upstream refuses connections."""
        if losses.verdict is not None:
            await losses.verdict.wait()
            return
        if clock.now() - losses.connected_at < COLLECT_S:
            return
        losses.verdict = trio.Event()
        try:
            with trio.CancelScope(shield=True):
                if await is_refusing(losses.entry.addr):
                    self._confirm(losses)
                else:
                    losses.connected_at = clock.now()
        finally:
            losses.verdict.set()
            losses.verdict = None

    def _confirm(self, losses: Losses) -> None:
        if losses.has_crashed:
            return
        losses.has_crashed = True
        self._stats.crashes.labels(losses.entry.service).inc()
        for lost in losses.attempts:
            if not lost.has_begun:
                self._charge(losses, lost.work, lost.sent_at)

    def _charge(self, losses: Losses, work: job.Job, sent_at: float) -> None:
        self._on_crash(crash_id(losses.entry), work, sent_at)

    async def run(self) -> None:
        """Classify what is still open and log crashes, until cancelled."""
        while True:
            with trio.move_on_after(RESTART_CHECK_INTERVAL_S):
                await self._changed.wait()
                await trio.sleep(COLLECT_S)
            self._changed = trio.Event()
            now = clock.now()
            for losses in list(self._losses.values()):
                await self._review(losses, now)

    async def _review(self, losses: Losses, now: float) -> None:
        key = crash_id(losses.entry)
        if now - losses.lost_at > RESTART_WINDOW_S:
            if self._losses.get(key) is losses:
                del self._losses[key]
            return
        if not losses.has_crashed and self._has_restarted(losses.entry):
            self._confirm(losses)
        is_unknown = not losses.has_crashed and losses.connected_at < losses.lost_at
        if is_unknown and now - losses.lost_at < 1.0:
            await self._connect(losses)
        if losses.has_crashed and not losses.is_logged:
            losses.is_logged = True
            self._log(losses)

    def _has_restarted(self, entry: fleet.Entry) -> bool:
        return any(
            (other.id == entry.id or other.addr == entry.addr)
            and other.born > entry.born
            for other in (u.entry for u in self._state.fleet.of_service(entry.service))
        )

    def _log(self, losses: Losses) -> None:
        waiting = [lost.work for lost in losses.attempts if not lost.has_begun]
        begun = [lost.work for lost in losses.attempts if lost.has_begun]
        lines.warning(
            LOG,
            "upstream_crashed",
            upstream=losses.entry.id,
            born=losses.entry.born,
            service=losses.entry.service,
            zone=losses.entry.zone,
            waiting=[
                {
                    "id": work.request.request_id,
                    "route": work.route.name,
                    "parts": [part.id for part in work.request.parts[:-1]],
                }
                for work in waiting[:MAX_LOGGED_ATTEMPTS]
            ],
            begun=[work.request.request_id for work in begun[:MAX_LOGGED_ATTEMPTS]],
            waiting_count=len(waiting),
            begun_count=len(begun),
        )


async def is_refusing(addr: http_client.Address) -> bool:
    """Return whether connects to an address are refused.

    A process that ends may accept one more connection and close it at once.
    """
    for _ in range(MAX_CONNECTS):
        with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM) as sock:
            with trio.move_on_after(CONNECT_TIMEOUT_S) as timeout:
                try:
                    await sock.connect(addr)
                except ConnectionRefusedError:
                    return True
                except OSError:
                    return False
            if timeout.cancelled_caught or not await _is_closed_soon(sock):
                return False
    return False


async def _is_closed_soon(sock: trio.socket.SocketType) -> bool:
    with trio.move_on_after(CLOSE_TIMEOUT_S):
        with contextlib.suppress(OSError):
            await sock.recv(1)
        return True
    return False

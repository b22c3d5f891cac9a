"""Requests, grants and releases of slots of cold upstreams between nodes."""

import collections.abc
import contextlib
import dataclasses
import itertools
import typing

import msgspec
import trio

from snipelug_core import admission, hashing, table
from snipelug_net import rpc
from snipelug_node import ports

CALL_TIMEOUT_S = 1.0
"""Timeout of one call; three timeouts fit into the validity of a grant."""

WARM_CALL_TIMEOUT_S = 0.5
UNREACHABLE_SKIP_S = 2.0
"""Time for which an unreachable holder is not asked for slots of a warm upstream, so
that requests do not wait for the call timeout one after another."""

RELEASE_ATTEMPTS = 3
RELEASE_RETRY_INTERVAL_S = 1.0

COLD_PARTS = (admission.PartName.LEASED, admission.PartName.OUTAGE)
SUSPECT_PARTS = (admission.PartName.SUSPECT,)

Identifier = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class Admit(msgspec.Struct, frozen=True):
    """Requests one slot from the holder of a part."""

    upstream_id: Identifier
    part: admission.PartName
    nonce: Identifier
    duration_s: typing.Annotated[float, msgspec.Meta(gt=0)]
    node_id: Identifier


class Admitted(msgspec.Struct, frozen=True):
    """Answers `Admit`; the reason is empty if the slot is granted."""

    is_granted: bool
    reason: str = ""
    is_holder: bool = True


class Release(msgspec.Struct, frozen=True):
    """Releases a slot."""

    upstream_id: Identifier
    part: admission.PartName
    nonce: Identifier
    has_ended: bool
    has_arrived: bool = False


class Released(msgspec.Struct, frozen=True):
    """Answers `Release`."""


ADMIT = rpc.Method("Admit", Admit, Admitted)
RELEASE = rpc.Method("Release", Release, Released)


@dataclasses.dataclass(frozen=True)
class Denied:
    """No holder granted a slot.

    Attributes
    ----------
    reasons : tuple of str
        One reason per holder that was asked.
    unavailable_slots : int
        Slots of the parts whose holder is unknown or did not answer.
    """

    reasons: tuple[str, ...]
    unavailable_slots: int = 0


@dataclasses.dataclass(frozen=True)
class _Refused:
    """One holder did not grant a slot."""

    reason: str
    is_silent: bool = True


@dataclasses.dataclass
class Slot:
    """A slot held by this node for one send.

    Attributes
    ----------
    was_sent : bool
        Whether the first byte may have been sent; set by `may_send`.
    has_ended : bool
        Whether the response is complete; set by the user of the slot.
    has_arrived : bool
        Whether the response has started or the upstream closed the connection, so that
        the request has arrived or never will; set by the user of the slot.
    """

    grant: admission.Grant
    was_sent: bool = False
    has_ended: bool = False
    has_arrived: bool = False

    def may_send(self, now: float) -> bool:
        """Return whether the request may be sent now; true at most once.

        Call it directly before sending the first byte, without an await in between.
        """
        if self.was_sent or not admission.is_valid(self.grant, now):
            return False
        self.was_sent = True
        return True


Holds = collections.abc.Callable[[str, admission.PartName], bool]
HolderOf = collections.abc.Callable[[str, admission.PartName], str | None]
ColdLimitOf = collections.abc.Callable[[str], int]


class Admitter:
    """Grants slots of the parts that this node holds, and requests slots of others.

    Parameters
    ----------
    peers : Peers
        The other nodes.
    holder_of : callable
        Returns the node that holds a part of an upstream, or None if unknown.
    holds_now : callable
        Returns whether this node holds a part now.
    cold_limit_of : callable
        Returns the number of concurrent requests that an upstream sustains while cold.
    incarnation : str
        Differs between processes of one node, so that nonces do not repeat.
    nursery : Nursery
        Runs releases in the background, so that an unreachable holder delays no
        request.
    warm_limit : int
        Maximum number of unconfirmed requests at an upstream that was last known to be
        warm, if greater than its cold limit.
    """

    def __init__(
        self,
        peers: ports.Peers,
        holder_of: HolderOf,
        holds_now: Holds,
        cold_limit_of: ColdLimitOf,
        incarnation: str,
        nursery: trio.Nursery,
        warm_limit: int = 0,
    ) -> None:
        self._warm_limit = warm_limit
        self._peers = peers
        self._holder_of = holder_of
        self._holds_now = holds_now
        self._cold_limit_of = cold_limit_of
        self._incarnation = incarnation
        self._nursery = nursery
        self._nonce_numbers = itertools.count()
        self._parts: dict[tuple[str, admission.PartName], admission.Part] = {}
        self._skip_until: dict[str, float] = {}
        peers.register(ADMIT, self._answer_admit)
        peers.register(RELEASE, self._answer_release)

    @property
    def node_id(self) -> str:
        """Id of this node."""
        return self._peers.node_id

    def start_holding(
        self, upstream_id: str, part: admission.PartName, had_holder: bool
    ) -> None:
        """Start holding a part, after its row names this node."""
        limit = self._cold_limit_of(upstream_id)
        now = trio.current_time()
        for name in _parts_held_with(part):
            admission.start_holding(
                self._part(upstream_id, name), limit, now, had_holder
            )

    def stop_holding(self, upstream_id: str, part: admission.PartName) -> None:
        """Stop holding a part, before its row is handed over."""
        for name in _parts_held_with(part):
            admission.stop_holding(self._part(upstream_id, name))

    def apply_report(self, upstream_id: str, report: table.LoadReport) -> None:
        """Apply the newest load report of an upstream to the parts held here."""
        for name in admission.PartName:
            part = self._parts.get((upstream_id, name))
            if part is not None:
                admission.apply_report(part, report)

    def limit_of(self, upstream_id: str, report: table.LoadReport | None) -> int:
        """Return the number of slots of an upstream, given its newest load report."""
        cold_limit = self._cold_limit_of(upstream_id)
        if report is None or report.state is not table.Warmth.WARM:
            return cold_limit
        return max(cold_limit, self._warm_limit)

    def slots_in_use(self, upstream_id: str) -> int:
        """Return the number of slots in use of the parts that this node holds."""
        parts = [self._parts.get((upstream_id, name)) for name in COLD_PARTS]
        return sum(len(part.slots) for part in parts if part is not None and part.held)

    def rank(self, upstream_id: str) -> int:
        """Return this node's rank among the live nodes for an upstream, from 0."""
        live = {*self._peers.live(), self._peers.node_id}
        return hashing.rank(upstream_id, live).index(self._peers.node_id)

    def has_free_slot(self, upstream_id: str, name: admission.PartName) -> bool:
        """Return whether this node holds the part and could grant a slot now."""
        part = self._parts.get((upstream_id, name))
        if part is None or not part.held:
            return False
        limit = self._cold_limit_of(upstream_id)
        used = admission.count_used(part, limit)
        if used >= admission.capacity(name, limit):
            return False
        parts = self._held_cold_parts(upstream_id)
        return not admission.awaits_report(parts, trio.current_time())

    def _held_cold_parts(self, upstream_id: str) -> list[admission.Part]:
        parts = [self._parts.get((upstream_id, name)) for name in COLD_PARTS]
        return [part for part in parts if part is not None and part.held]

    @contextlib.asynccontextmanager
    async def slot(
        self,
        upstream_id: str,
        duration_s: float,
        parts: tuple[admission.PartName, ...] = COLD_PARTS,
        is_warm: bool = False,
    ) -> collections.abc.AsyncIterator[Slot | Denied]:
        """Hold a slot of an upstream for one send.

        The holders of the parts are asked in turn, this node first. On exit the slot is
        released. If the request was sent and ``has_ended`` is not set, the holder keeps
        the slot until the request must have ended.

        Parameters
        ----------
        upstream_id : str
            The upstream.
        duration_s : float
            Time from now within which the request ends, in seconds.
        parts : tuple of PartName
            Parts to try: those for cold upstreams, or the one for suspect requests.
        is_warm : bool
            Whether the upstream was last known to be warm. If so, calls have a shorter
            timeout, and holders that did not answer recently are skipped.
        """
        reasons: list[str] = []
        unavailable_slots = 0
        own_id = self._peers.node_id
        ordered_parts = sorted(
            parts, key=lambda part: self._holder_of(upstream_id, part) != own_id
        )
        for part in ordered_parts:
            answer = await self._request_slot(upstream_id, part, duration_s, is_warm)
            if isinstance(answer, _Refused):
                reasons.append(f"{part}: {answer.reason}")
                if answer.is_silent:
                    limit = self._cold_limit_of(upstream_id)
                    unavailable_slots += admission.capacity(part, limit)
                continue
            held = Slot(answer)
            try:
                yield held
            finally:
                has_ended = held.has_ended or not held.was_sent
                self._nursery.start_soon(
                    self._release, answer, has_ended, held.has_arrived
                )
            return
        yield Denied(tuple(reasons), unavailable_slots)

    async def _request_slot(
        self,
        upstream_id: str,
        part: admission.PartName,
        duration_s: float,
        is_warm: bool,
    ) -> admission.Grant | _Refused:
        holder = self._holder_of(upstream_id, part)
        if holder is None:
            return _Refused("no holder is known")
        if is_warm and trio.current_time() < self._skip_until.get(holder, 0.0):
            return _Refused("the holder did not answer recently")
        own_id = self._peers.node_id
        nonce = f"{own_id}/{self._incarnation}/{next(self._nonce_numbers)}"
        grant = admission.Grant(upstream_id, part, holder, nonce, trio.current_time())
        message = Admit(upstream_id, part, nonce, duration_s, own_id)
        is_answered = False
        try:
            timeout_s = WARM_CALL_TIMEOUT_S if is_warm else CALL_TIMEOUT_S
            answer = await self._peers.call(holder, ADMIT, message, timeout_s)
            is_answered = isinstance(answer, Admitted)
        finally:
            # The lost answer may have been a grant, which nothing would release.
            if not is_answered:
                self._nursery.start_soon(self._release, grant, True)
        if isinstance(answer, rpc.Unreachable):
            self._skip_until[holder] = trio.current_time() + UNREACHABLE_SKIP_S
            return _Refused(answer.reason)
        if answer.is_granted:
            return grant
        return _Refused(answer.reason, is_silent=not answer.is_holder)

    async def _release(
        self, grant: admission.Grant, has_ended: bool, has_arrived: bool = False
    ) -> None:
        message = Release(
            grant.upstream_id, grant.part, grant.nonce, has_ended, has_arrived
        )
        for attempt in range(RELEASE_ATTEMPTS):
            if attempt > 0:
                await trio.sleep(RELEASE_RETRY_INTERVAL_S)
            answer = await self._peers.call(
                grant.holder, RELEASE, message, CALL_TIMEOUT_S
            )
            if isinstance(answer, Released):
                return

    def _part(self, upstream_id: str, name: admission.PartName) -> admission.Part:
        return self._parts.setdefault((upstream_id, name), admission.Part(name))

    async def _answer_admit(self, message: Admit) -> Admitted:
        part = self._part(message.upstream_id, message.part)
        is_local = message.node_id == self._peers.node_id
        request = admission.SlotRequest(message.nonce, message.duration_s, is_local)
        held = self._held_cold_parts(message.upstream_id)
        other = next((p for p in held if p is not part), None)
        decision = admission.admit(
            part,
            request,
            self.limit_of(message.upstream_id, part.report),
            trio.current_time(),
            self._holds_now(message.upstream_id, message.part),
            other,
        )
        if isinstance(decision, admission.Granted):
            return Admitted(True)
        is_holder = not isinstance(decision, admission.NotHolder)
        return Admitted(False, _describe(decision), is_holder)

    async def _answer_release(self, message: Release) -> Released:
        part = self._part(message.upstream_id, message.part)
        now = trio.current_time()
        admission.release(
            part, message.nonce, message.has_ended, now, message.has_arrived
        )
        return Released()


def _parts_held_with(part: admission.PartName) -> tuple[admission.PartName, ...]:
    if part is admission.PartName.LEASED:
        return (part, admission.PartName.SUSPECT)
    return (part,)


def _describe(decision: admission.Decision) -> str:
    match decision:
        case admission.Full(used=used):
            return f"all slots in use ({used})"
        case admission.NotHolder():
            return "the node does not hold this part"
        case admission.AlreadyReleased():
            return "the slot was already released"
        case admission.TooLong(limit_s=limit_s):
            return f"a request may take at most {limit_s} s"
        case admission.AwaitsReport():
            return "the next load report shows whether cut requests still run"
    return ""

"""Slots of cold upstreams between nodes: asked for, granted and released."""

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
"""Time for one call; three fit into the validity of a grant."""

WARM_TIMEOUT_S = 0.5
SILENT_S = 2.0
"""Time for which a holder that did not answer is not asked for slots of a warm
upstream, so that requests are not held up one after the other."""

RELEASE_ATTEMPTS = 3
RELEASE_PAUSE_S = 1.0

COLD_PARTS = (admission.PartName.LEASED, admission.PartName.OUTAGE)
SUSPECT_PARTS = (admission.PartName.SUSPECT,)

Identifier = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class Admit(msgspec.Struct, frozen=True):
    """Asks the holder of a part for one slot."""

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
    """Gives a slot back."""

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
        One per holder asked.
    unavailable_slots : int
        Slots of the parts that have no holder, or one that does not answer.
    """

    reasons: tuple[str, ...]
    unavailable_slots: int = 0


@dataclasses.dataclass(frozen=True)
class _Refused:
    """One holder granted no slot."""

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
        Whether the answer came to its end; set by the user of the slot.
    has_arrived : bool
        Whether the answer has begun; set by the user of the slot.
    """

    grant: admission.Grant
    was_sent: bool = False
    has_ended: bool = False
    has_arrived: bool = False

    def may_send(self, now: float) -> bool:
        """Return whether the request may be sent now, once.

        To be called as the last step before the first byte, without any suspension
        in between.
        """
        if self.was_sent or not admission.is_valid(self.grant, now):
            return False
        self.was_sent = True
        return True


Holds = collections.abc.Callable[[str, admission.PartName], bool]
HolderOf = collections.abc.Callable[[str, admission.PartName], str | None]
ColdLimitOf = collections.abc.Callable[[str], int]


class Admitter:
    """Both sides of the slots: this node's own parts, and its requests for slots.

    Parameters
    ----------
    peers : Peers
        The other nodes.
    holder_of : callable
        Returns the node that holds a part of an upstream, as far as known.
    holds_now : callable
        Returns whether this node holds a part at this moment.
    cold_limit_of : callable
        Returns the concurrent requests that an upstream sustains while cold.
    warm_limit : int
        Unconfirmed requests at one upstream that was last known to be warm, where
        they are more than it sustains while cold.
    incarnation : str
        Differs between processes of one node, so that nonces do not repeat.
    nursery : Nursery
        Runs releases, so that an unreachable holder delays no request.
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
        self._numbers = itertools.count()
        self._parts: dict[tuple[str, admission.PartName], admission.Part] = {}
        self._silent_until: dict[str, float] = {}
        peers.register(ADMIT, self._answer_admit)
        peers.register(RELEASE, self._answer_release)

    @property
    def node_id(self) -> str:
        """Id of this node."""
        return self._peers.node_id

    def start_holding(
        self, upstream_id: str, part: admission.PartName, had_holder: bool
    ) -> None:
        """Start to hold a part, after its row names this node."""
        limit = self._cold_limit_of(upstream_id)
        now = trio.current_time()
        for name in _held_with(part):
            admission.start_holding(
                self._part(upstream_id, name), limit, now, had_holder
            )

    def stop_holding(self, upstream_id: str, part: admission.PartName) -> None:
        """Stop to hold a part, before its row is handed over."""
        for name in _held_with(part):
            admission.stop_holding(self._part(upstream_id, name))

    def apply_report(self, upstream_id: str, report: table.LoadReport) -> None:
        """Take the newest load report of an upstream."""
        for name in admission.PartName:
            part = self._parts.get((upstream_id, name))
            if part is not None:
                admission.apply_report(part, report)

    def limit_of(self, upstream_id: str, report: table.LoadReport | None) -> int:
        """Return the slots of an upstream, given its newest load report."""
        cold_limit = self._cold_limit_of(upstream_id)
        if report is None or report.state is not table.Warmth.WARM:
            return cold_limit
        return max(cold_limit, self._warm_limit)

    def slots_in_use(self, upstream_id: str) -> int:
        """Return the slots in use of the parts that this node holds."""
        parts = [self._parts.get((upstream_id, name)) for name in COLD_PARTS]
        return sum(len(part.slots) for part in parts if part is not None and part.held)

    def rank(self, upstream_id: str) -> int:
        """Return this node's place among the live nodes for an upstream, from 0."""
        live = {*self._peers.live(), self._peers.node_id}
        return hashing.rank(upstream_id, live).index(self._peers.node_id)

    def has_free_slot(self, upstream_id: str, name: admission.PartName) -> bool:
        """Return whether this node, if it holds the part, could grant a slot now."""
        part = self._parts.get((upstream_id, name))
        if part is None or not part.held:
            return False
        limit = self._cold_limit_of(upstream_id)
        used = admission.count_used(part, limit)
        return used < admission.capacity(name, limit)

    @contextlib.asynccontextmanager
    async def slot(
        self,
        upstream_id: str,
        duration_s: float,
        parts: tuple[admission.PartName, ...] = COLD_PARTS,
        is_warm: bool = False,
    ) -> collections.abc.AsyncIterator[Slot | Denied]:
        """Hold a slot of an upstream for one send.

        The parts' holders are asked in turn, this node first. On leaving, the slot
        is released; without ``has_ended`` after a send, the holder keeps it until the
        request must have ended.

        Parameters
        ----------
        upstream_id : str
            The upstream.
        duration_s : float
            Time from now within which the request ends, in seconds.
        parts : tuple of PartName
            Parts to ask for: those for a cold upstream, or the one for suspects.
        is_warm : bool
            The upstream was last known to be warm: do not wait for silent holders.
        """
        reasons: list[str] = []
        unavailable_slots = 0
        own_id = self._peers.node_id
        own_first = sorted(
            parts, key=lambda part: self._holder_of(upstream_id, part) != own_id
        )
        for part in own_first:
            answer = await self._ask(upstream_id, part, duration_s, is_warm)
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

    async def _ask(
        self,
        upstream_id: str,
        part: admission.PartName,
        duration_s: float,
        is_warm: bool,
    ) -> admission.Grant | _Refused:
        holder = self._holder_of(upstream_id, part)
        if holder is None:
            return _Refused("holder unknown")
        if is_warm and trio.current_time() < self._silent_until.get(holder, 0.0):
            return _Refused("holder did not answer lately")
        own_id = self._peers.node_id
        nonce = f"{own_id}/{self._incarnation}/{next(self._numbers)}"
        grant = admission.Grant(upstream_id, part, holder, nonce, trio.current_time())
        message = Admit(upstream_id, part, nonce, duration_s, own_id)
        is_known = False
        try:
            timeout_s = WARM_TIMEOUT_S if is_warm else CALL_TIMEOUT_S
            answer = await self._peers.call(holder, ADMIT, message, timeout_s)
            is_known = isinstance(answer, Admitted)
        finally:
            # A lost answer may have been a grant, which is never used.
            if not is_known:
                self._nursery.start_soon(self._release, grant, True)
        if isinstance(answer, rpc.Unreachable):
            self._silent_until[holder] = trio.current_time() + SILENT_S
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
                await trio.sleep(RELEASE_PAUSE_S)
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
        ask = admission.SlotRequest(message.nonce, message.duration_s, is_local)
        decision = admission.admit(
            part,
            ask,
            self.limit_of(message.upstream_id, part.report),
            trio.current_time(),
            self._holds_now(message.upstream_id, message.part),
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


def _held_with(part: admission.PartName) -> tuple[admission.PartName, ...]:
    if part is admission.PartName.LEASED:
        return (part, admission.PartName.SUSPECT)
    return (part,)


def _describe(decision: admission.Decision) -> str:
    match decision:
        case admission.Full(used=used):
            return f"all slots in use ({used})"
        case admission.NotHolder():
            return "the asked node does not hold this part"
        case admission.AlreadyReleased():
            return "the request was withdrawn"
        case admission.TooLong(limit_s=limit_s):
            return f"a request may take at most {limit_s} s"
    return ""

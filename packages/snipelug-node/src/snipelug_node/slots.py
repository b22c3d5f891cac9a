"""Cold-start slots as the request path uses them, and who holds their parts."""

import collections.abc
import contextlib
import dataclasses
import math

import trio

from snipelug_core import admission, confirmation, ownership, refusal, table
from snipelug_node import admitter, confirmer, lease

RETRY_S = 0.1
"""Pause between two requests for a slot of an upstream whose slots are in use."""

WARM_RETRY_S = 0.03
"""The same for a warm upstream, whose slots get free within the lag of a report."""


@dataclasses.dataclass(eq=False)
class HeldSlot:
    """A slot for one send; implements ``sender.Slot`` and ``confirmer.Use``.

    Attributes
    ----------
    held : admitter.Slot or None
        The slot as granted; None for a send on this node's allowance.
    on_release : callable
        Called once when the slot is given back.
    uses : Confirmer or None
        Where sends are followed; None for slots that a warm upstream needs as well.
    """

    upstream_id: str
    held: admitter.Slot | None
    on_release: collections.abc.Callable[[], None]
    uses: confirmer.Confirmer | None = None
    sent: confirmation.SentRequest | None = None
    cut_at: float | None = None
    is_over: bool = False

    @property
    def holder(self) -> str:
        """Node that granted the slot; empty for a send on the allowance."""
        return "" if self.held is None else self.held.grant.holder

    @property
    def covers_cold(self) -> bool:
        """Whether the request may be sent to an upstream in cold start."""
        return self.held is not None

    def valid(self, now: float) -> bool:
        """Whether the request may be sent now; consents once."""
        if self.sent is not None or self.is_over:
            return False
        if self.held is not None and not self.held.may_send(now):
            return False
        self.sent = confirmation.SentRequest(now)
        if self.uses is not None:
            self.uses.add(self.upstream_id, self)
        return True

    def record_accepted(self, now: float) -> None:
        """Note that the upstream accepted the request."""
        if self.sent is not None:
            self.sent.head_at = now

    def release(self, has_ended: bool) -> None:
        """Give the slot back; one whose request may still run waits for a report."""
        if self.uses is None or self.sent is None or has_ended:
            self.give_back(has_ended)
        elif self.cut_at is None:
            self.cut_at = trio.current_time()

    def give_back(self, has_ended: bool) -> None:
        """Give the slot back; its holder keeps it if the request may still run."""
        if self.is_over:
            return
        self.is_over = True
        if self.uses is not None:
            self.uses.discard(self.upstream_id, self)
        if self.held is not None:
            self.held.has_ended = has_ended
            was_accepted = self.sent is not None and self.sent.head_at is not None
            self.held.has_arrived = was_accepted
        self.on_release()


@dataclasses.dataclass
class _Queue:
    """Requests of this node that wait for slots of one warm upstream.

    Attributes
    ----------
    lock : trio.Lock
        Held by the request that asks, so that waiting requests cost no calls.
    stalled_since : float or None
        Monotonic time since which this node asks and gets no slot, in seconds.
    full_at : float
        Monotonic time at which all slots were last found in use, in seconds.
    allowance_used : int
        Unconfirmed requests without a slot.
    """

    lock: trio.Lock = dataclasses.field(default_factory=trio.Lock)
    stalled_since: float | None = None
    full_at: float = -math.inf
    allowance_used: int = 0


@dataclasses.dataclass(frozen=True)
class Begin:
    """Start to hold a part.

    Attributes
    ----------
    had_holder : bool
        False if this node created the row, so that nobody can hold a grant.
    """

    upstream_id: str
    part: admission.PartName
    had_holder: bool


@dataclasses.dataclass(frozen=True)
class End:
    """Stop to hold a part."""

    upstream_id: str
    part: admission.PartName


class Slots:
    """Slots of cold upstreams; implements ``sender.Slots`` and ``router.Grants``.

    Parameters
    ----------
    keeper : lease.Keeper
        Tells which parts this node holds, and who holds the others.
    upstream_ids : callable
        All upstreams of the deployment.
    uses : confirmer.Confirmer
        Gives slots back when a report confirms that the upstream is warm.
    nursery : trio.Nursery
        Runs releases.
    """

    def __init__(
        self,
        asking: admitter.Admitter,
        keeper: lease.Keeper,
        upstream_ids: collections.abc.Callable[[], collections.abc.Iterable[str]],
        uses: confirmer.Confirmer,
        nursery: trio.Nursery,
    ) -> None:
        self._asking = asking
        self._node_id = asking.node_id
        self._uses = uses
        self._queues: dict[str, _Queue] = {}
        self._keeper = keeper
        self._upstream_ids = upstream_ids
        self._nursery = nursery
        self._begun: dict[tuple[str, admission.PartName], float] = {}
        self._ever_begun: set[tuple[str, admission.PartName]] = set()

    async def acquire(
        self, upstream_id: str, deadline: float
    ) -> HeldSlot | refusal.Refusal:
        """Obtain a cold-start slot, waiting for one until the deadline."""
        return await self._acquire(
            upstream_id, deadline, admitter.COLD_PARTS, self._uses
        )

    async def acquire_warm(
        self,
        upstream_id: str,
        deadline: float,
        is_warm: collections.abc.Callable[[], bool],
        may_wait: bool = True,
    ) -> HeldSlot | refusal.Refusal | None:
        """Obtain a slot of an upstream that was last known to be warm.

        Returns
        -------
        HeldSlot, Refusal or None
            None if the upstream is not known to be warm any more.
        """
        queue = self._queues.setdefault(upstream_id, _Queue())
        message = f"all slots of upstream {upstream_id} are in use"
        busy = refusal.refuse(refusal.NO_UPSTREAM, message)
        if queue.lock.locked() and not may_wait:
            return busy
        with trio.move_on_at(deadline):
            async with queue.lock:
                while is_warm():
                    slot = await self._try_warm(upstream_id, queue)
                    if slot is not None:
                        return slot
                    if not may_wait:
                        return busy
                    await trio.sleep(WARM_RETRY_S)
                return None
        return busy

    async def _try_warm(self, upstream_id: str, queue: _Queue) -> HeldSlot | None:
        now = trio.current_time()
        if queue.stalled_since is None:
            queue.stalled_since = now
        parts = admitter.COLD_PARTS
        held = await self._enter(upstream_id, parts, self._uses, is_warm=True)
        if isinstance(held, HeldSlot):
            queue.stalled_since = None
            return held
        queue.full_at = trio.current_time()
        stalled_s = queue.full_at - queue.stalled_since
        if not confirmation.may_send_without_slot(
            held.silent_slots,
            self._asking.rank(upstream_id),
            stalled_s,
            queue.allowance_used,
        ):
            return None
        queue.stalled_since = None
        queue.allowance_used += 1

        def on_release() -> None:
            queue.allowance_used -= 1

        return HeldSlot(upstream_id, None, on_release, self._uses)

    async def _enter(
        self,
        upstream_id: str,
        parts: tuple[admission.PartName, ...],
        uses: confirmer.Confirmer | None,
        is_warm: bool = False,
    ) -> HeldSlot | admitter.Denied:
        stack = contextlib.AsyncExitStack()
        duration_s = admission.MAX_DURATION_S
        slot = self._asking.slot(upstream_id, duration_s, parts, is_warm)
        held = await stack.enter_async_context(slot)
        if isinstance(held, admitter.Slot):

            def on_release() -> None:
                self._nursery.start_soon(stack.aclose)

            return HeldSlot(upstream_id, held, on_release, uses)
        await stack.aclose()
        if held.silent_slots:
            kind = ownership.Kind.UPSTREAM
            self._nursery.start_soon(self._keeper.read_owner, kind, upstream_id)
        return held

    async def acquire_suspect(
        self, upstream_id: str, deadline: float
    ) -> HeldSlot | refusal.Refusal:
        """Obtain the slot for suspect requests, waiting until the deadline."""
        return await self._acquire(upstream_id, deadline, admitter.SUSPECT_PARTS, None)

    async def _acquire(
        self,
        upstream_id: str,
        deadline: float,
        parts: tuple[admission.PartName, ...],
        uses: confirmer.Confirmer | None,
    ) -> HeldSlot | refusal.Refusal:
        denied = admitter.Denied(())
        while trio.current_time() < deadline:
            held = await self._enter(upstream_id, parts, uses)
            if isinstance(held, HeldSlot):
                return held
            denied = held
            await trio.sleep(RETRY_S)
        reasons = "; ".join(denied.reasons) or "the deadline passed"
        message = f"upstream {upstream_id} has no free slot: {reasons}"
        return refusal.refuse(refusal.NO_UPSTREAM, message)

    def is_granted(self, upstream_id: str, now: float) -> bool:
        """Whether this node can grant itself a slot now."""
        del now
        return any(
            holds(self._keeper, upstream_id, part)
            and self._asking.has_free_slot(upstream_id, part)
            for part in admitter.COLD_PARTS
        )

    def wait_s(self, upstream: table.Upstream, now: float) -> float:
        """Return the expected wait for a slot of a warm upstream, in seconds.

        Slots that other nodes lend to others are unknown here; when all were found in
        use, they are taken to be so until a report can free them.
        """
        upstream_id = upstream.instance.id
        limit = self._asking.limit_of(upstream_id, upstream.report)
        age_s = confirmation.report_age_s(upstream)
        uses = self._uses.uses(upstream_id)
        elsewhere = sum(use.holder != self._node_id for use in uses)
        used = self._asking.used_here(upstream_id) + elsewhere
        queue = self._queues.get(upstream_id)
        if queue is not None and now < queue.full_at + age_s:
            used = max(used, limit)
        return confirmation.expected_wait_s(used + upstream.queued, limit, age_s)

    def has_part(self, upstream_id: str) -> bool:
        """Whether this node holds a part, and so must follow the upstream's load."""
        return any(self._fencing(upstream_id, p) for p in admitter.COLD_PARTS)

    def plan(self) -> collections.abc.Iterator[Begin | End]:
        """Yield what changed about the parts that this node holds."""
        for upstream_id in self._upstream_ids():
            for part in admitter.COLD_PARTS:
                place = (upstream_id, part)
                taken_at = self._taken_at(upstream_id, part)
                known = self._begun.get(place)
                if known is not None and taken_at is None:
                    del self._begun[place]
                    yield End(upstream_id, part)
                # The row's number also grows when this node writes its own row again.
                if taken_at is not None and taken_at != known:
                    is_first = place not in self._ever_begun
                    number = self._fencing(upstream_id, part)
                    self._begun[place] = taken_at
                    self._ever_begun.add(place)
                    yield Begin(upstream_id, part, not (is_first and number == 1))

    def _taken_at(self, upstream_id: str, part: admission.PartName) -> float | None:
        """Return when this node took a part that its row names it for."""
        if self._fencing(upstream_id, part) is None:
            return None
        kind = ownership.Kind.UPSTREAM
        if part is admission.PartName.OUTAGE:
            return self._keeper.outage_since(kind, upstream_id)
        return self._keeper.taken_at(kind, upstream_id)

    async def execute(self, action: Begin | End) -> None:
        """Start or stop to hold a part."""
        match action:
            case Begin(upstream_id, part, had_holder):
                self._asking.begin(upstream_id, part, had_holder)
            case End(upstream_id, part):
                self._asking.end(upstream_id, part)

    def _fencing(self, upstream_id: str, part: admission.PartName) -> int | None:
        """Return the number of the row that names this process, valid or not.

        A lease that lapses for a moment changes nothing about the slots in use.
        """
        key = ownership.row_key(ownership.Kind.UPSTREAM, upstream_id)
        owners = self._keeper.owners
        seen = owners.known_rows.get(key)
        if seen is None:
            return None
        if part is admission.PartName.OUTAGE:
            mine = (
                seen.row.outage_holder == owners.own_process
                and not seen.outage_relinquished
            )
        else:
            mine = seen.row.owner == owners.own_process and not seen.relinquished
        return seen.row.fencing if mine else None


def holds(keeper: lease.Keeper, upstream_id: str, part: admission.PartName) -> bool:
    """Return whether this node may grant slots of a part at this moment."""
    kind = ownership.Kind.UPSTREAM
    if part is admission.PartName.OUTAGE:
        return keeper.outage_holder(kind, upstream_id)
    return keeper.holds(kind, upstream_id, trio.current_time()) is not None


def holder_of(
    keeper: lease.Keeper, upstream_id: str, part: admission.PartName
) -> str | None:
    """Return the node to ask for a slot of a part, as far as known."""
    kind = ownership.Kind.UPSTREAM
    if part is not admission.PartName.OUTAGE:
        return keeper.owner_of(kind, upstream_id)
    seen = keeper.owners.known_rows.get(ownership.row_key(kind, upstream_id))
    if seen is None or seen.row.outage_holder is None:
        return None
    return seen.row.outage_holder.node

"""Cold-start slots for the request path, and ownership of their parts.

The slots of an upstream are divided into parts, each granted by one holder node.
"""

import collections.abc
import contextlib
import dataclasses
import math

import trio

from snipelug_core import admission, confirmation, ownership, refusal, table
from snipelug_node import admitter, confirmer, lease

RETRY_INTERVAL_S = 0.1
"""Pause before requesting a slot again from an upstream whose slots are all in use."""

WARM_RETRY_INTERVAL_S = 0.03
"""The same for a warm upstream, whose slots are freed as soon as a report arrives."""


@dataclasses.dataclass(eq=False)
class HeldSlot:
    """A slot for one send; implements ``sender.Slot`` and `confirmer.UnconfirmedSlot`.

    Attributes
    ----------
    held : admitter.Slot or None
        The granted slot; None for a send that uses this node's allowance.
    on_release : callable
        Called once when the slot is released.
    tracker : Confirmer or None
        Tracks the slot until a report confirms its request; None for slots that are
        required for warm upstreams too.
    aborted_at : float or None
        Monotonic time at which the request was cut off, in seconds; its upstream may
        still run it.
    """

    upstream_id: str
    held: admitter.Slot | None
    on_release: collections.abc.Callable[[], None]
    tracker: confirmer.Confirmer | None = None
    sent: confirmation.SentRequest | None = None
    aborted_at: float | None = None
    is_released: bool = False

    @property
    def holder(self) -> str:
        """Node that granted the slot; empty for a send that uses the allowance."""
        return "" if self.held is None else self.held.grant.holder

    @property
    def covers_cold(self) -> bool:
        """Whether the request may be sent to an upstream in cold start."""
        return self.held is not None

    def valid(self, now: float) -> bool:
        """Return whether the request may be sent now; true at most once."""
        if self.sent is not None or self.is_released:
            return False
        if self.held is not None and not self.held.may_send(now):
            return False
        self.sent = confirmation.SentRequest(now)
        if self.tracker is not None:
            self.tracker.add(self.upstream_id, self)
        return True

    def record_arrived(self, now: float) -> None:
        """Record that the request has arrived at the upstream or never will."""
        if self.sent is not None:
            self.sent.arrived_at = now

    def release(self, has_ended: bool) -> None:
        """Release the slot; if the request may still run, wait for a load report."""
        if self.tracker is None or self.sent is None or has_ended:
            self.release_now(has_ended)
        elif self.aborted_at is None:
            self.aborted_at = trio.current_time()

    def release_now(self, has_ended: bool) -> None:
        """Release the slot at once; its holder keeps it while the request may run."""
        if self.is_released:
            return
        self.is_released = True
        if self.tracker is not None:
            self.tracker.discard(self.upstream_id, self)
        if self.held is not None:
            self.held.has_ended = has_ended
            has_arrived = self.sent is not None and self.sent.arrived_at is not None
            self.held.has_arrived = has_arrived
        self.on_release()


@dataclasses.dataclass
class _WarmQueue:
    """Requests of this node that wait for slots of one warm upstream.

    Attributes
    ----------
    lock : trio.Lock
        Held by the one request that asks for a slot, so that the others make no calls.
    stalled_since : float or None
        Monotonic time since which requests for a slot have failed, in seconds.
    last_full_at : float
        Monotonic time at which all slots were last found in use, in seconds.
    allowance_used : int
        Number of unconfirmed requests that were sent without a slot.
    """

    lock: trio.Lock = dataclasses.field(default_factory=trio.Lock)
    stalled_since: float | None = None
    last_full_at: float = -math.inf
    allowance_used: int = 0


@dataclasses.dataclass(frozen=True)
class StartHolding:
    """Start holding a part.

    Attributes
    ----------
    had_holder : bool
        False if this node created the row, so that no grant can be outstanding.
    """

    upstream_id: str
    part: admission.PartName
    had_holder: bool


@dataclasses.dataclass(frozen=True)
class StopHolding:
    """Stop holding a part."""

    upstream_id: str
    part: admission.PartName


class Slots:
    """Slots of cold upstreams; implements ``sender.Slots`` and ``router.Grants``.

    Parameters
    ----------
    slot_admitter : admitter.Admitter
        Requests slots from their holders.
    keeper : lease.Keeper
        Knows which node holds each part.
    upstream_ids : callable
        Returns the ids of all upstreams of the deployment.
    tracker : confirmer.Confirmer
        Releases slots when a report confirms that their upstream is warm.
    nursery : trio.Nursery
        Runs releases in the background.
    """

    def __init__(
        self,
        slot_admitter: admitter.Admitter,
        keeper: lease.Keeper,
        upstream_ids: collections.abc.Callable[[], collections.abc.Iterable[str]],
        tracker: confirmer.Confirmer,
        nursery: trio.Nursery,
    ) -> None:
        self._admitter = slot_admitter
        self._node_id = slot_admitter.node_id
        self._tracker = tracker
        self._queues: dict[str, _WarmQueue] = {}
        self._keeper = keeper
        self._upstream_ids = upstream_ids
        self._nursery = nursery
        self._started_parts: dict[tuple[str, admission.PartName], float] = {}
        self._ever_started: set[tuple[str, admission.PartName]] = set()

    async def acquire(
        self, upstream_id: str, deadline: float
    ) -> HeldSlot | refusal.Refusal:
        """Acquire a cold-start slot, waiting until the deadline."""
        return await self._acquire(
            upstream_id, deadline, admitter.COLD_PARTS, self._tracker
        )

    async def acquire_warm(
        self,
        upstream_id: str,
        deadline: float,
        is_warm: collections.abc.Callable[[], bool],
        may_wait: bool = True,
    ) -> HeldSlot | refusal.Refusal | None:
        """Acquire a slot of an upstream that was last known to be warm.

        Returns
        -------
        HeldSlot, Refusal or None
            None if the upstream is no longer known to be warm.
        """
        queue = self._queues.setdefault(upstream_id, _WarmQueue())
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
                    await trio.sleep(WARM_RETRY_INTERVAL_S)
                return None
        return busy

    async def _try_warm(self, upstream_id: str, queue: _WarmQueue) -> HeldSlot | None:
        now = trio.current_time()
        if queue.stalled_since is None:
            queue.stalled_since = now
        parts = admitter.COLD_PARTS
        held = await self._request_slot(upstream_id, parts, self._tracker, is_warm=True)
        if isinstance(held, HeldSlot):
            queue.stalled_since = None
            return held
        queue.last_full_at = trio.current_time()
        stalled_s = queue.last_full_at - queue.stalled_since
        if not confirmation.may_send_without_slot(
            held.unavailable_slots,
            self._admitter.rank(upstream_id),
            stalled_s,
            queue.allowance_used,
        ):
            return None
        queue.stalled_since = None
        queue.allowance_used += 1

        def on_release() -> None:
            queue.allowance_used -= 1

        return HeldSlot(upstream_id, None, on_release, self._tracker)

    async def _request_slot(
        self,
        upstream_id: str,
        parts: tuple[admission.PartName, ...],
        tracker: confirmer.Confirmer | None,
        is_warm: bool = False,
    ) -> HeldSlot | admitter.Denied:
        stack = contextlib.AsyncExitStack()
        duration_s = admission.MAX_DURATION_S
        slot = self._admitter.slot(upstream_id, duration_s, parts, is_warm)
        held = await stack.enter_async_context(slot)
        if isinstance(held, admitter.Slot):

            def on_release() -> None:
                self._nursery.start_soon(stack.aclose)

            return HeldSlot(upstream_id, held, on_release, tracker)
        await stack.aclose()
        if held.unavailable_slots:
            kind = ownership.Kind.UPSTREAM
            self._nursery.start_soon(self._keeper.read_owner, kind, upstream_id)
        return held

    async def acquire_suspect(
        self, upstream_id: str, deadline: float
    ) -> HeldSlot | refusal.Refusal:
        """Acquire the slot for suspect requests, waiting until the deadline."""
        return await self._acquire(upstream_id, deadline, admitter.SUSPECT_PARTS, None)

    async def _acquire(
        self,
        upstream_id: str,
        deadline: float,
        parts: tuple[admission.PartName, ...],
        tracker: confirmer.Confirmer | None,
    ) -> HeldSlot | refusal.Refusal:
        denied = admitter.Denied(())
        while trio.current_time() < deadline:
            held = await self._request_slot(upstream_id, parts, tracker)
            if isinstance(held, HeldSlot):
                return held
            denied = held
            await trio.sleep(RETRY_INTERVAL_S)
        reasons = "; ".join(denied.reasons) or "the deadline passed"
        message = f"upstream {upstream_id} has no free slot: {reasons}"
        return refusal.refuse(refusal.NO_UPSTREAM, message)

    def is_granted(self, upstream_id: str, now: float) -> bool:
        """Return whether this node can grant itself a slot now."""
        del now
        return any(
            holds(self._keeper, upstream_id, part)
            and self._admitter.has_free_slot(upstream_id, part)
            for part in admitter.COLD_PARTS
        )

    def wait_s(self, upstream: table.Upstream, now: float) -> float:
        """Return the expected wait for a slot of a warm upstream, in seconds.

        This node does not see slots that other nodes grant to each other. Once all
        slots were found in use, it assumes so until a report can free them.
        """
        upstream_id = upstream.instance.id
        limit = self._admitter.limit_of(upstream_id, upstream.report)
        age_s = confirmation.report_age_s(upstream)
        unconfirmed = self._tracker.unconfirmed(upstream_id)
        used_elsewhere = sum(slot.holder != self._node_id for slot in unconfirmed)
        used = self._admitter.slots_in_use(upstream_id) + used_elsewhere
        queue = self._queues.get(upstream_id)
        if queue is not None and now < queue.last_full_at + age_s:
            used = max(used, limit)
        return confirmation.expected_wait_s(used + upstream.queued, limit, age_s)

    def has_part(self, upstream_id: str) -> bool:
        """Return whether this node holds a part, so that it must watch the load."""
        return any(self._own_fencing_token(upstream_id, p) for p in admitter.COLD_PARTS)

    def plan(self) -> collections.abc.Iterator[StartHolding | StopHolding]:
        """Yield the changes to the set of parts that this node holds."""
        for upstream_id in self._upstream_ids():
            for part in admitter.COLD_PARTS:
                part_key = (upstream_id, part)
                own_since = self._own_since(upstream_id, part)
                known_since = self._started_parts.get(part_key)
                if known_since is not None and own_since is None:
                    del self._started_parts[part_key]
                    yield StopHolding(upstream_id, part)
                # Compares times, since the fencing token also grows when this node
                # rewrites its own row.
                if own_since is not None and own_since != known_since:
                    is_first = part_key not in self._ever_started
                    fencing_token = self._own_fencing_token(upstream_id, part)
                    self._started_parts[part_key] = own_since
                    self._ever_started.add(part_key)
                    yield StartHolding(
                        upstream_id, part, not (is_first and fencing_token == 1)
                    )

    def _own_since(self, upstream_id: str, part: admission.PartName) -> float | None:
        """Return since when a part's row names this process, or None if it doesn't."""
        if self._own_fencing_token(upstream_id, part) is None:
            return None
        kind = ownership.Kind.UPSTREAM
        if part is admission.PartName.OUTAGE:
            return self._keeper.outage_since(kind, upstream_id)
        return self._keeper.owner_since(kind, upstream_id)

    async def execute(self, action: StartHolding | StopHolding) -> None:
        """Start or stop holding a part."""
        match action:
            case StartHolding(upstream_id, part, had_holder):
                self._admitter.start_holding(upstream_id, part, had_holder)
            case StopHolding(upstream_id, part):
                self._admitter.stop_holding(upstream_id, part)

    def _own_fencing_token(
        self, upstream_id: str, part: admission.PartName
    ) -> int | None:
        """Return the fencing token of the row if it names this process, else None.

        The lease need not be valid: a brief lapse does not affect the slots in use.
        """
        key = ownership.row_key(ownership.Kind.UPSTREAM, upstream_id)
        owners = self._keeper.owners
        known_row = owners.known_rows.get(key)
        if known_row is None:
            return None
        if part is admission.PartName.OUTAGE:
            is_own = (
                known_row.row.outage_holder == owners.own_process
                and not known_row.outage_relinquished
            )
        else:
            is_own = (
                known_row.row.owner == owners.own_process and not known_row.relinquished
            )
        return known_row.row.fencing if is_own else None


def holds(keeper: lease.Keeper, upstream_id: str, part: admission.PartName) -> bool:
    """Return whether this node may grant slots of a part now."""
    kind = ownership.Kind.UPSTREAM
    if part is admission.PartName.OUTAGE:
        return keeper.outage_holder(kind, upstream_id)
    return keeper.holds(kind, upstream_id, trio.current_time()) is not None


def holder_of(
    keeper: lease.Keeper, upstream_id: str, part: admission.PartName
) -> str | None:
    """Return the node that grants slots of a part, or None if unknown."""
    kind = ownership.Kind.UPSTREAM
    if part is not admission.PartName.OUTAGE:
        return keeper.owner_of(kind, upstream_id)
    known_row = keeper.owners.known_rows.get(ownership.row_key(kind, upstream_id))
    if known_row is None or known_row.row.outage_holder is None:
        return None
    return known_row.row.outage_holder.node

"""Cold-start slots as the request path uses them, and who holds their parts."""

import collections.abc
import contextlib
import dataclasses

import trio

from snipelug_core import admission, ownership, refusal
from snipelug_node import admitter, lease

RETRY_S = 0.1
"""Pause between two requests for a slot of an upstream whose slots are in use."""


@dataclasses.dataclass
class HeldSlot:
    """A slot for one send; implements ``sender.Slot``."""

    held: admitter.Slot
    stack: contextlib.AsyncExitStack
    nursery: trio.Nursery

    def valid(self, now: float) -> bool:
        """Whether the request may be sent now; consents once."""
        return self.held.may_send(now)

    def release(self, has_ended: bool) -> None:
        """Give the slot back; its holder keeps it if the request may still run."""
        self.held.has_ended = has_ended
        self.nursery.start_soon(self.stack.aclose)


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
    nursery : trio.Nursery
        Runs releases.
    """

    def __init__(
        self,
        asking: admitter.Admitter,
        keeper: lease.Keeper,
        upstream_ids: collections.abc.Callable[[], collections.abc.Iterable[str]],
        nursery: trio.Nursery,
    ) -> None:
        self._asking = asking
        self._keeper = keeper
        self._upstream_ids = upstream_ids
        self._nursery = nursery
        self._begun: dict[tuple[str, admission.PartName], int] = {}

    async def acquire(
        self, upstream_id: str, deadline: float
    ) -> HeldSlot | refusal.Refusal:
        """Obtain a slot, waiting for one until the deadline."""
        denied = admitter.Denied(())
        while trio.current_time() < deadline:
            stack = contextlib.AsyncExitStack()
            slot = self._asking.slot(upstream_id, admission.MAX_DURATION_S)
            held = await stack.enter_async_context(slot)
            if isinstance(held, admitter.Slot):
                return HeldSlot(held, stack, self._nursery)
            await stack.aclose()
            denied = held
            await trio.sleep(RETRY_S)
        reasons = "; ".join(denied.reasons) or "the deadline passed"
        message = f"upstream {upstream_id} is cold and has no free slot: {reasons}"
        return refusal.refuse(refusal.NO_UPSTREAM, message)

    def is_granted(self, upstream_id: str, now: float) -> bool:
        """Whether this node can grant itself a slot now."""
        del now
        return any(
            holds(self._keeper, upstream_id, part)
            and self._asking.has_free_slot(upstream_id, part)
            for part in admitter.COLD_PARTS
        )

    def has_part(self, upstream_id: str) -> bool:
        """Whether this node holds a part, and so must follow the upstream's load."""
        return any(self._fencing(upstream_id, p) for p in admitter.COLD_PARTS)

    def plan(self) -> collections.abc.Iterator[Begin | End]:
        """Yield what changed about the parts that this node holds."""
        for upstream_id in self._upstream_ids():
            for part in admitter.COLD_PARTS:
                number = self._fencing(upstream_id, part)
                known = self._begun.get((upstream_id, part))
                if number is None and known is not None:
                    del self._begun[upstream_id, part]
                    yield End(upstream_id, part)
                if number is not None and number != known:
                    self._begun[upstream_id, part] = number
                    yield Begin(upstream_id, part, had_holder=number != 1)

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
        seen = owners.seen.get(key)
        if seen is None:
            return None
        if part is admission.PartName.OUTAGE:
            mine = seen.row.outage_holder == owners.me and not seen.outage_given_up
        else:
            mine = seen.row.owner == owners.me and not seen.given_up
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
    seen = keeper.owners.seen.get(ownership.row_key(kind, upstream_id))
    if seen is None or seen.row.outage_holder is None:
        return None
    return seen.row.outage_holder.node

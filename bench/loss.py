"""Reasons why blocks of returning prompts were recomputed."""

import collections
import collections.abc
import dataclasses
import enum

from snipelug_core import block, placement, route


class Cause(enum.StrEnum):
    """Why a block that was computed before is not reused."""

    BUDGET = "export_budget"
    PRICE = "export_price"
    FULL = "export_full"
    ON_THE_WAY = "export_on_its_way"
    REFUSED = "refused_by_full_store"
    DELETED = "deleted"
    ZONE_OUT = "in_zone_out"
    UNKNOWN = "not_in_index"
    ESTIMATE = "not_fetched"
    FAILED = "fetch_failed"
    NEVER = "never_tried"


ORACLE_ONLY = "recomputed_by_oracle_only"

PLACED = {
    placement.Reason.BUDGET: Cause.BUDGET,
    placement.Reason.BUSY: Cause.BUDGET,
    placement.Reason.PARTLY: Cause.BUDGET,
    placement.Reason.FULL: Cause.FULL,
    placement.Reason.VALUE: Cause.PRICE,
    placement.Reason.LEAVING: Cause.ZONE_OUT,
}


@dataclasses.dataclass(frozen=True)
class Use:
    """How far a returning prompt was reused.

    Attributes
    ----------
    held : int
        Leading blocks that were reused.
    causes : tuple of Cause
        Cause for each later block that an earlier request had computed.
    """

    held: int
    causes: tuple[Cause, ...]


class Fates:
    """What became of each block's last copy or export."""

    def __init__(self) -> None:
        self._causes: dict[block.Key, Cause] = {}

    def note(self, keys: collections.abc.Iterable[block.Key], cause: Cause) -> None:
        """Note what a block without a readable copy would lack one for."""
        self._causes.update(dict.fromkeys(keys, cause))

    def note_placed(
        self, keys: collections.abc.Iterable[block.Key], placed: placement.Placement
    ) -> None:
        """Note why blocks are not exported; exports are noted as they start."""
        causes = [PLACED[j.reason] for j in placed.decisions if j.reason in PLACED]
        if causes:
            for key in keys:
                if self._causes.get(key) is not Cause.ON_THE_WAY:
                    self._causes[key] = causes[0]

    def explain(
        self,
        keys: collections.abc.Sequence[block.Key],
        held: int,
        chosen: route.Candidate,
        facts: route.RoutingContext,
        outside: collections.abc.Sequence[collections.abc.Container[block.Key]],
        inside: collections.abc.Sequence[collections.abc.Container[block.Key]],
    ) -> tuple[Cause, ...]:
        """Return the cause for each block from the first that was not reused on.

        A block that is readable but follows one that is not has that one's cause.

        Parameters
        ----------
        keys : sequence of bytes
            Keys that an earlier request computed, in the prompt's order.
        held : int
            Leading blocks that were reused.
        chosen, facts : route.Candidate, route.RoutingContext
            Decision on this request and what it was based on.
        outside, inside : sequence of container of bytes
            Blocks of the stores in zones in service, and of those that are out.
        """
        causes: list[Cause] = []
        missing: Cause | None = None
        for i in range(held, len(keys)):
            key = keys[i]
            if not any(key in blocks for blocks in outside):
                is_out = any(key in blocks for blocks in inside)
                fate = self._causes.get(key, Cause.NEVER)
                missing = missing or (Cause.ZONE_OUT if is_out else fate)
            causes.append(missing or _unread(i, chosen, facts))
        return tuple(causes)


def _unread(i: int, chosen: route.Candidate, facts: route.RoutingContext) -> Cause:
    stored = facts.found.stored
    if i >= len(stored) or not stored[i]:
        return Cause.UNKNOWN
    if i < chosen.memory_blocks + chosen.fetch_blocks:
        return Cause.FAILED
    return Cause.ESTIMATE


def split(
    ours: collections.abc.Mapping[str, Use], other: collections.abc.Mapping[str, Use]
) -> dict[str, int]:
    """Return the tokens that only one of two runs recomputed, by cause.

    Parameters
    ----------
    ours, other : mapping of str to Use
        Returning requests of two runs of the same arrivals.
    """
    blocks: collections.Counter[str] = collections.Counter()
    for name, use in ours.items():
        reused = other[name].held if name in other else 0
        blocks.update(c.value for c in use.causes[: max(0, reused - use.held)])
        blocks[ORACLE_ONLY] += max(0, use.held - reused)
    return {k: n * block.BLOCK_TOKENS for k, n in blocks.items()}

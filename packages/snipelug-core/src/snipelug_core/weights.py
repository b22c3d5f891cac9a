"""Which engines are ordered to load weights, and when."""

import collections.abc
import dataclasses

from snipelug_core import contract, table

TABLE = "loads"
ROW_KEY = "slots"


@dataclasses.dataclass(frozen=True)
class Holder:
    """One weight load in progress, in the row that limits loads at once.

    Attributes
    ----------
    session : str
        Session of the node that ordered the load.
    """

    upstream: str
    session: str


@dataclasses.dataclass(frozen=True)
class LoadOrder:
    """An engine to order.

    Attributes
    ----------
    weight_version : str
        Orders are absolute, so that repeating one does no harm.
    fencing : int
        Fencing number of this node's owner row for the engine.
    """

    upstream_id: str
    weight_version: str
    fencing: int


def wanted_version(inst: table.Instance, cfg: contract.Config) -> str:
    """Return the weight version that an engine should serve, empty for any.

    An engine without a model name serves all models; it is ordered only if all
    of them name the same version.
    """
    if inst.name:
        model = cfg.models.get(inst.name)
        return model.weight_version if model is not None else ""
    versions = {model.weight_version for model in cfg.models.values()}
    return versions.pop() if len(versions) == 1 else ""


def plan_loads(
    tables: table.Tables,
    cfg: contract.Config,
    fencing_of: collections.abc.Callable[[str], int | None],
) -> collections.abc.Iterator[LoadOrder]:
    """Yield the loads that this node's engines need, as reported now.

    The comparison with the reported version is repeated on every tick. If a late
    order of an earlier owner took effect at an engine that ignores fencing
    numbers, the next report shows it and the load is ordered again.
    """
    for upstream in tables.upstreams.values():
        inst = upstream.instance
        report = upstream.report
        if inst.role is not table.Role.ENGINE or report is None:
            continue
        fencing = fencing_of(inst.id)
        wanted = wanted_version(inst, cfg)
        if fencing is None or not wanted or report.weight_version == wanted:
            continue
        yield LoadOrder(inst.id, wanted, fencing)


@dataclasses.dataclass(frozen=True)
class SlotTaken:
    """A slot is held; write these holders if they differ from those read."""

    holders: tuple[Holder, ...]


@dataclasses.dataclass(frozen=True)
class NoSlot:
    """As many loads are in progress as the deployment allows."""

    in_progress: int


def take_slot(
    holders: collections.abc.Iterable[Holder],
    mine: Holder,
    live_sessions: collections.abc.Container[str],
    limit: int,
) -> SlotTaken | NoSlot:
    """Take one of the slots for loads at once.

    Parameters
    ----------
    holders : iterable of Holder
        Holders in the row as read; the result is written over that version.
    mine : Holder
        The load to start.
    live_sessions : container of str
        Sessions that exist; the slots of others are free.
    limit : int
        Loads allowed at once in the deployment.
    """
    kept = [h for h in holders if h.session in live_sessions]
    others = [h for h in kept if h.upstream != mine.upstream]
    if len(others) >= limit:
        return NoSlot(len(others))
    return SlotTaken((*others, mine))


def free_slot(
    holders: collections.abc.Iterable[Holder], mine: Holder
) -> tuple[Holder, ...]:
    """Return the holders without this load."""
    return tuple(h for h in holders if h != mine)

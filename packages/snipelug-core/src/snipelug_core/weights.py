"""Weight loads: which engines must load another version, and how many at once."""

import collections.abc
import dataclasses

from snipelug_core import contract, table

TABLE = "loads"
ROW_KEY = "slots"


@dataclasses.dataclass(frozen=True)
class Holder:
    """A weight load in progress, as listed in the row that limits concurrent loads.

    Attributes
    ----------
    session : str
        Session of the node that ordered the load.
    """

    upstream: str
    session: str


@dataclasses.dataclass(frozen=True)
class LoadOrder:
    """An order to an engine to load a weight version.

    Attributes
    ----------
    weight_version : str
        Version to load. Orders are idempotent because they name the target version.
    fencing : int
        Fencing token of this node's owner row for the engine.
    """

    upstream_id: str
    weight_version: str
    fencing: int


def wanted_version(inst: table.Instance, cfg: contract.Config) -> str:
    """Return the weight version that an engine should serve; empty for any version.

    An engine without a model name serves all models. It has a wanted version only if
    all models specify the same one.
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
    """Yield orders for those of this node's engines that report a different version.

    The comparison with the reported version is repeated on every tick. If a delayed
    order of a previous owner took effect at an engine that ignores fencing tokens,
    the next report shows it and the load is ordered again.
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
    """A slot was taken; write these holders if they differ from those read."""

    holders: tuple[Holder, ...]


@dataclasses.dataclass(frozen=True)
class NoSlot:
    """No slot is free: the maximum number of concurrent loads is in progress."""

    in_progress: int


def take_slot(
    holders: collections.abc.Iterable[Holder],
    requested: Holder,
    live_sessions: collections.abc.Container[str],
    limit: int,
) -> SlotTaken | NoSlot:
    """Take one of the slots that limit concurrent loads.

    Parameters
    ----------
    holders : iterable of Holder
        Holders in the row as read; the result replaces that version of the row.
    requested : Holder
        The load to start.
    live_sessions : container of str
        Existing sessions; slots held by other sessions are free.
    limit : int
        Maximum number of concurrent loads in the deployment.
    """
    kept = [h for h in holders if h.session in live_sessions]
    others = [h for h in kept if h.upstream != requested.upstream]
    if len(others) >= limit:
        return NoSlot(len(others))
    return SlotTaken((*others, requested))


def free_slot(
    holders: collections.abc.Iterable[Holder], released: Holder
) -> tuple[Holder, ...]:
    """Return the holders without the given load."""
    return tuple(h for h in holders if h != released)

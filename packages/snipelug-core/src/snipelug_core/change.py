"""The sequence of configuration changes: validation and application."""

import collections
import collections.abc
import dataclasses
import typing

import msgspec

from snipelug_core import contract

MAX_OPERATIONS = 100
ROW_KEY_DIGITS = 12


class PutContract(msgspec.Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Create or replace the contract of a team."""

    contract: contract.Contract


class RemoveContract(msgspec.Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Remove the contract of a team."""

    team: contract.Name


class ZoneOut(msgspec.Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Take an availability zone out of service."""

    zone: contract.Name


class ZoneIn(msgspec.Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Put an availability zone back into service."""

    zone: contract.Name


class InstanceOut(msgspec.Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Take an instance out of service."""

    instance: contract.Name


class InstanceIn(msgspec.Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Put an instance back into service."""

    instance: contract.Name


class PutModel(msgspec.Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Create or replace a model."""

    model: contract.Model


Operation = (
    PutContract
    | RemoveContract
    | ZoneOut
    | ZoneIn
    | InstanceOut
    | InstanceIn
    | PutModel
)

Operations = typing.Annotated[
    tuple[Operation, ...], msgspec.Meta(min_length=1, max_length=MAX_OPERATIONS)
]


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One entry of the change sequence; its operations are applied atomically.

    Attributes
    ----------
    revision : int
        Position in the sequence, from 1.
    nonce : str
        Unique identifier chosen by the proposer. If the response to the write is
        lost, it tells whether the stored change is the proposer's own or that of
        a concurrent proposer.
    author : str
        Operator who proposed the change.
    wall : float
        Wall-clock time of the proposal, in seconds since the Unix epoch.
        Informational; nothing is ordered by it.
    operations : tuple of Operation
        Operations, in the order in which they are applied.
    """

    revision: contract.PositiveInt
    nonce: typing.Annotated[str, msgspec.Meta(min_length=8, max_length=64)]
    author: typing.Annotated[str, msgspec.Meta(max_length=128)]
    wall: float
    operations: Operations


class Snapshot(msgspec.Struct, frozen=True):
    """A complete configuration, sent to a node that lags far behind."""

    revision: int
    contracts: tuple[contract.Contract, ...]
    models: tuple[contract.Model, ...]
    zones_out: tuple[str, ...]
    instances_out: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Applied:
    """The change was the next in sequence and has been applied."""

    cfg: contract.Config


@dataclasses.dataclass(frozen=True)
class AlreadyApplied:
    """The configuration already includes the change.

    Attributes
    ----------
    revision : int
        Revision of the configuration.
    """

    revision: int


@dataclasses.dataclass(frozen=True)
class Gap:
    """The change cannot be applied yet, because earlier changes are missing.

    Attributes
    ----------
    expected : int
        Revision that must be applied next.
    """

    expected: int


Outcome = Applied | AlreadyApplied | Gap


def apply(cfg: contract.Config, change: Change) -> Outcome:
    """Apply a change if it is the next in sequence; revisions never decrease."""
    if change.revision <= cfg.revision:
        return AlreadyApplied(cfg.revision)
    if change.revision > cfg.revision + 1:
        return Gap(cfg.revision + 1)
    changed = apply_operations(cfg, change.operations)
    return Applied(dataclasses.replace(changed, revision=change.revision))


def apply_operations(
    cfg: contract.Config, operations: collections.abc.Iterable[Operation]
) -> contract.Config:
    """Apply operations to a configuration without changing its revision."""
    for operation in operations:
        cfg = _apply_operation(cfg, operation)
    return cfg


def _apply_operation(cfg: contract.Config, operation: Operation) -> contract.Config:
    match operation:
        case PutContract(contract=item):
            contracts = {**cfg.contracts, item.team: item}
            return dataclasses.replace(cfg, contracts=contracts)
        case RemoveContract(team=team):
            contracts = {k: v for k, v in cfg.contracts.items() if k != team}
            return dataclasses.replace(cfg, contracts=contracts)
        case ZoneOut(zone=zone):
            return dataclasses.replace(cfg, zones_out=cfg.zones_out | {zone})
        case ZoneIn(zone=zone):
            return dataclasses.replace(cfg, zones_out=cfg.zones_out - {zone})
        case InstanceOut(instance=instance):
            out = cfg.instances_out | {instance}
            return dataclasses.replace(cfg, instances_out=out)
        case InstanceIn(instance=instance):
            out = cfg.instances_out - {instance}
            return dataclasses.replace(cfg, instances_out=out)
        case PutModel(model=model):
            models = {**cfg.models, model.name: model}
            return dataclasses.replace(cfg, models=models)


@dataclasses.dataclass(frozen=True)
class Inventory:
    """Names in the platform's instance list; None if the list is not available."""

    zones: frozenset[str] | None = None
    instances: frozenset[str] | None = None


def validate_operations(
    cfg: contract.Config,
    operations: collections.abc.Sequence[Operation],
    inventory: Inventory | None = None,
) -> list[str]:
    """Return an error message for each problem with the proposed operations.

    Parameters
    ----------
    cfg : Config
        Configuration to which the operations would be applied.
    operations : sequence of Operation
        Each operation is checked against the result of the preceding ones.
    inventory : Inventory, optional
        Zones and instances that exist; names are not checked against it if None.

    Returns
    -------
    list of str
        Error messages; empty if the operations are valid.
    """
    errors: list[str] = []
    for operation in operations:
        errors.extend(_operation_errors(cfg, operation, inventory or Inventory()))
        cfg = _apply_operation(cfg, operation)
    errors.extend(_shared_key_errors(cfg))
    errors.extend(_unknown_model_errors(cfg, operations))
    return errors


def _operation_errors(
    cfg: contract.Config, operation: Operation, inventory: Inventory
) -> collections.abc.Iterator[str]:
    match operation:
        case RemoveContract(team=team) if team not in cfg.contracts:
            known = ", ".join(sorted(cfg.contracts)) or "none"
            yield f"cannot remove team {team!r}: unknown team (known: {known})"
        case PutContract(contract=item):
            yield from _contract_errors(item)
        case ZoneOut(zone=zone) if _is_unknown(zone, inventory.zones):
            known = ", ".join(sorted(inventory.zones or ()))
            yield f"cannot take out zone {zone!r}: unknown zone (known: {known})"
        case InstanceOut(instance=name) if _is_unknown(name, inventory.instances):
            yield f"cannot take out instance {name!r}: not in the instance list"
        case _:
            return


def _is_unknown(name: str, known: frozenset[str] | None) -> bool:
    return known is not None and name not in known


def _contract_errors(item: contract.Contract) -> collections.abc.Iterator[str]:
    if not item.key_hashes:
        yield f"team {item.team!r}: key_hashes is empty, so nobody could authenticate"
    counts = collections.Counter(item.key_hashes)
    for key_hash in sorted(k for k, n in counts.items() if n > 1):
        yield f"team {item.team!r}: key hash {key_hash[:12]}... is listed twice"
    for path in item.require_key:
        if path.split("/", 1)[0] not in item.services:
            yield (
                f"team {item.team!r}: require_key path {path!r} does not start "
                "with one of the team's services"
            )


def _shared_key_errors(cfg: contract.Config) -> collections.abc.Iterator[str]:
    teams: dict[str, list[str]] = {}
    for item in cfg.contracts.values():
        for key_hash in set(item.key_hashes):
            teams.setdefault(key_hash, []).append(item.team)
    for key_hash, owners in sorted(teams.items()):
        if len(owners) > 1:
            names = " and ".join(repr(name) for name in sorted(owners))
            yield f"teams {names} have the same key hash {key_hash[:12]}..."


def _unknown_model_errors(
    cfg: contract.Config, operations: collections.abc.Sequence[Operation]
) -> collections.abc.Iterator[str]:
    updated_teams = {
        op.contract.team for op in operations if isinstance(op, PutContract)
    }
    for team in sorted(updated_teams & set(cfg.contracts)):
        for name in cfg.contracts[team].models:
            if name not in cfg.models:
                yield f"team {team!r}: unknown model {name!r}; put the model first"


def is_noop(
    cfg: contract.Config, operations: collections.abc.Sequence[Operation]
) -> bool:
    """Return whether the operations leave the configuration unchanged."""
    return apply_operations(cfg, operations) == cfg


def take_snapshot(cfg: contract.Config) -> Snapshot:
    """Convert a configuration to its wire format."""
    return Snapshot(
        cfg.revision,
        tuple(cfg.contracts.values()),
        tuple(cfg.models.values()),
        tuple(sorted(cfg.zones_out)),
        tuple(sorted(cfg.instances_out)),
    )


def apply_snapshot(cfg: contract.Config, snapshot: Snapshot) -> contract.Config:
    """Return the newer of a configuration and a snapshot, as a configuration."""
    if snapshot.revision <= cfg.revision:
        return cfg
    return contract.Config(
        revision=snapshot.revision,
        contracts={item.team: item for item in snapshot.contracts},
        models={item.name: item for item in snapshot.models},
        zones_out=frozenset(snapshot.zones_out),
        instances_out=frozenset(snapshot.instances_out),
    )


def row_key(revision: int) -> str:
    """Return the row key of a change in table ``changes``; keys sort by revision."""
    return f"{revision:0{ROW_KEY_DIGITS}d}"

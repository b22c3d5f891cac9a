"""Team contracts, models, and the configuration that contains them."""

import collections.abc
import dataclasses
import hashlib
import typing

import msgspec

Name = typing.Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,63}$")]
Version = typing.Annotated[
    str, msgspec.Meta(pattern=r"^([A-Za-z0-9][A-Za-z0-9._-]{0,63})?$")
]
KeyHash = typing.Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
PositiveFloat = typing.Annotated[float, msgspec.Meta(gt=0)]
PositiveInt = typing.Annotated[int, msgspec.Meta(ge=1)]


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of a team, enforced across all nodes unless stated otherwise.

    Attributes
    ----------
    in_flight : int
        Maximum number of concurrent requests.
    requests_per_s, tokens_per_s : float
        Maximum rates of requests and of tokens (prompt plus generated).
    queue_length : int
        Maximum number of requests queued at one node.
    prompt_tokens : int
        Maximum prompt length, in tokens.
    """

    in_flight: PositiveInt = 64
    requests_per_s: PositiveFloat = 50.0
    tokens_per_s: PositiveFloat = 200_000.0
    queue_length: PositiveInt = 128
    prompt_tokens: PositiveInt = 200_000


class Contract(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Permissions and limits of a team.

    Attributes
    ----------
    team : str
        Name of the team.
    key_hashes : tuple of str
        SHA-256 of each bearer key, in hexadecimal; the keys are never stored.
    models, services : tuple of str
        Models and non-model HTTP services that the team may call.
    limits : Limits
        Limits of the team.
    weight : float
        Weight of the team in fair queueing when several teams have requests queued.
    priority : int
        Scheduling priority passed to engines; lower values run first.
    deadline_s : float
        Default deadline for the first byte of a response, in seconds.
    require_key : tuple of str
        Service paths (``NAME/PREFIX``) whose POST and PATCH requests must carry
        an ``Idempotency-Key`` header.
    """

    team: Name
    key_hashes: tuple[KeyHash, ...]
    models: tuple[Name, ...] = ()
    services: tuple[Name, ...] = ()
    limits: Limits = Limits()
    weight: PositiveFloat = 1.0
    priority: int = 0
    deadline_s: PositiveFloat = 30.0
    require_key: tuple[str, ...] = ()


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A served model: all properties that a KV cache block depends on.

    Attributes
    ----------
    weight_version : str
        Version that engines are instructed to load. If empty, the vendor
        chooses it and the engines report the version that they serve.
    """

    name: Name
    tokenizer: Name = "bytes4"
    adapter: str = ""
    weight_version: Version = ""


@dataclasses.dataclass(frozen=True)
class Config:
    """The configuration in force at one revision.

    Attributes
    ----------
    revision : int
        Revision of the last applied change; 0 before the first.
    contracts : mapping of str to Contract
        Contracts by team.
    models : mapping of str to Model
        Models by name.
    zones_out, instances_out : frozenset of str
        Availability zones and instances that operators have taken out of
        service.
    """

    revision: int = 0
    contracts: collections.abc.Mapping[str, Contract] = dataclasses.field(
        default_factory=dict
    )
    models: collections.abc.Mapping[str, Model] = dataclasses.field(
        default_factory=dict
    )
    zones_out: frozenset[str] = frozenset()
    instances_out: frozenset[str] = frozenset()


def hash_key(bearer_key: str) -> str:
    """Return the hash of a bearer key as it is stored in contracts."""
    return hashlib.sha256(bearer_key.encode()).hexdigest()


def find_contract(cfg: Config, bearer_key: str) -> Contract | None:
    """Return the contract that lists a bearer key, or None."""
    key_hash = hash_key(bearer_key)
    for contract in cfg.contracts.values():
        if key_hash in contract.key_hashes:
            return contract
    return None

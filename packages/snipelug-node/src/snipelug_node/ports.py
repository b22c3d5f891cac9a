"""Interfaces of a node's components to the platform and to other nodes."""

import collections.abc
import dataclasses
import enum
import typing

import msgspec

from snipelug_core import table
from snipelug_net import rpc

Message = typing.TypeVar("Message", bound=msgspec.Struct)
Answer = typing.TypeVar("Answer", bound=msgspec.Struct)


@dataclasses.dataclass(frozen=True)
class Row:
    """A row of the table service.

    Attributes
    ----------
    version : str
        Opaque; changes with every write of the row.
    content : bytes
        JSON.
    """

    table: str
    key: str
    version: str
    content: bytes


@dataclasses.dataclass(frozen=True)
class Absent:
    """The row does not exist."""


@dataclasses.dataclass(frozen=True)
class Written:
    """The write took effect."""

    version: str


@dataclasses.dataclass(frozen=True)
class Conflict:
    """The precondition did not hold; nothing was written."""


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The platform service returned no usable response.

    Attributes
    ----------
    maybe_applied : bool
        False only if the write certainly did not take effect.
    """

    reason: str
    maybe_applied: bool


class Expect(enum.Enum):
    """Preconditions other than a version."""

    ABSENT = "absent"
    ANY = "any"


Precondition = str | Expect
"""The expected row version, or one of ``Expect``."""


@dataclasses.dataclass(frozen=True)
class Write:
    """One conditional write of a transaction; content None deletes the row."""

    table: str
    key: str
    content: bytes | None
    expect: Precondition


class TableService(typing.Protocol):
    """The platform's transactional table service."""

    async def read(self, table_name: str, key: str) -> Row | Absent | Unavailable:
        """Read one row."""
        ...

    async def scan(
        self, table_name: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> list[Row] | Unavailable:
        """Read rows in key order."""
        ...

    async def write(self, write: Write) -> Written | Conflict | Unavailable:
        """Write or delete one row if its precondition holds."""
        ...

    async def transact(
        self, writes: collections.abc.Sequence[Write]
    ) -> Written | Conflict | Unavailable:
        """Apply all writes, or none if any precondition does not hold."""
        ...


class ObjectStore(typing.Protocol):
    """The platform's object store."""

    async def get(self, key: str) -> bytes | Absent | Unavailable:
        """Read an object."""
        ...

    async def put(self, key: str, content: bytes) -> Written | Unavailable:
        """Write an object."""
        ...

    async def delete(self, key: str) -> Written | Unavailable:
        """Delete an object; one that does not exist counts as deleted."""
        ...


class InstanceList(typing.Protocol):
    """The platform's instance list, which lags behind."""

    async def read(self) -> list[table.Instance] | Unavailable:
        """Read the list."""
        ...


class Peers(typing.Protocol):
    """The other nodes, as seen by this one."""

    node_id: str

    def live(self) -> list[str]:
        """Return the ids of the nodes with a recent heartbeat, including this one."""
        ...

    async def call(
        self,
        node_id: str,
        method: rpc.Method[Message, Answer],
        message: Message,
        timeout_s: float,
    ) -> Answer | rpc.Unreachable:
        """Call an RPC method of a node; a call to this node runs locally."""
        ...

    def register(
        self, method: rpc.Method[typing.Any, typing.Any], procedure: rpc.Procedure
    ) -> None:
        """Register the handler of an RPC method, before the node starts serving."""
        ...

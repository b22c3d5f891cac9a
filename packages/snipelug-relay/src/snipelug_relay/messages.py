"""Datagrams between nodes."""

import msgspec

from snipelug_core import fleet


class Prefill(msgspec.Struct, array_like=True, tag=1):
    """A prompt that was sent or has been read.

    Attributes
    ----------
    number : int
        Counts the sender's prompts.
    tokens : int
        Tokens to read; 0 once they have been read.
    part : str
        Id of the last part that the prompt shares with others.
    part_tokens : int
        Tokens of that part.
    lasts_s : float
        Time after which the prompt has been read, also without a second message.
    """

    upstream_id: str
    number: int
    tokens: int
    part: str = ""
    part_tokens: int = 0
    lasts_s: float = 0.0


class Switching(msgspec.Struct, array_like=True, tag=2):
    """An engine was ordered to load weights and turns requests away meanwhile."""

    upstream_id: str
    for_s: float


class Serving(msgspec.Struct, array_like=True, tag=3):
    """An engine serves a weight version now."""

    upstream_id: str
    model: str
    version: int


class IntentsRead(msgspec.Struct, array_like=True, tag=4):
    """The operator's table was read.

    Attributes
    ----------
    since, position : int
        The part of the table's history that was read.
    clock_ms : float
        The store's clock in the answer, in milliseconds.
    has_changes : bool
        The table changed in between.
    """

    since: int
    position: int
    clock_ms: float
    has_changes: bool


class ListRead(msgspec.Struct, array_like=True, tag=5):
    """The list of upstreams was read.

    Attributes
    ----------
    since, position : int
        The part of the list's history that was read.
    in_grace : bool
        Removed entries may have lapsed during an outage.
    entries : list of fleet.Entry
        Entries that differ from what the sender knew.
    removed : list of str
        Upstreams without an entry.
    is_cut : bool
        There were more changes than a datagram holds.
    """

    since: int
    position: int
    in_grace: bool
    entries: list[fleet.Entry]
    removed: list[str]
    is_cut: bool = False


class KvStoreRead(msgspec.Struct, array_like=True):
    """What the events of one store of KV cache told.

    Attributes
    ----------
    since, next : int
        The part of the store's events that was read.
    clock_s : float
        The store's clock in the answer, in seconds.
    stored : list of (str, str, int)
        Salt, part and tokens of each part, in order; no tokens once it was freed.
    """

    store: str
    epoch: int
    since: int
    next: int
    clock_s: float
    stored: list[tuple[str, str, int]]


class KvStoresRead(msgspec.Struct, array_like=True, tag=6):
    """The events of stores of KV cache were read."""

    kv_stores: list[KvStoreRead]


Message = Prefill | Switching | Serving | IntentsRead | ListRead | KvStoresRead

"""Messages that nodes exchange in UDP datagrams."""

import msgspec

from snipelug_core import (
    canary,
    fleet,
    quarantine,
    ranges,
    release,
    save_grants,
    shared_rate,
)


class Prefill(msgspec.Struct, array_like=True, tag=1):
    """A prompt that was sent to an upstream, or the end of its prefill.

    Attributes
    ----------
    number : int
        Sequence number of the prompt at the sender.
    tokens : int
        Tokens that need prefill; 0 once prefill is complete.
    part : str
        Id of the last prompt part that is shared with other prompts.
    part_tokens : int
        Token count of that part.
    lasts_s : float
        Time after which the prompt no longer counts if no second message arrives.
    """

    upstream_id: ranges.Name
    number: ranges.Number
    tokens: ranges.Count
    part: ranges.Name = ""
    part_tokens: ranges.Count = 0
    lasts_s: ranges.DurationS = 0.0


class Switching(msgspec.Struct, array_like=True, tag=2):
    """An engine was ordered to load weights and rejects requests meanwhile."""

    upstream_id: ranges.Name
    for_s: ranges.DurationS


class Serving(msgspec.Struct, array_like=True, tag=3):
    """An engine now serves a weight version.

    Attributes
    ----------
    born : int or None
        Start of the engine's process, in Unix milliseconds; None if not told.
    """

    upstream_id: ranges.Name
    model: ranges.Name
    version: ranges.Number
    born: ranges.Born | None = None


class IntentsRead(msgspec.Struct, array_like=True, tag=4):
    """The operator's table was read.

    Attributes
    ----------
    since, position : int
        The range of the table's history that was read.
    clock_ms : float
        The store's clock in the response, in milliseconds.
    has_changes : bool
        Whether the table changed in this range.
    epoch : int
        Epoch of the store to which the positions belong.
    """

    since: ranges.Number
    position: ranges.Number
    clock_ms: ranges.ClockMs
    has_changes: bool
    epoch: ranges.Number = 0


class ListRead(msgspec.Struct, array_like=True, tag=5):
    """The list of upstreams was read.

    Attributes
    ----------
    since, position : int
        The range of the list's history that was read.
    is_keeping : bool
        Whether the sender keeps removed entries for a time. Receivers judge this by
        their own reads; nodes of earlier releases take it over.
    entries : list of fleet.Entry
        Entries that have changed for the sender.
    removed : list of str
        Upstreams without an entry.
    is_cut : bool
        Whether the changes were omitted because they exceed a datagram.
    epoch : int
        Epoch of the store to which the positions belong.
    digest : int or None
        Digest of the sender's list at ``position``; None if the sender keeps entries
        that the list lacks, or the other way round.
    clock_ms : float or None
        The store's clock in the response, in milliseconds; None if not told.
    """

    since: ranges.Number
    position: ranges.Number
    is_keeping: bool
    entries: list[fleet.Entry]
    removed: list[ranges.Name]
    is_cut: bool = False
    epoch: ranges.Number = 0
    digest: ranges.Number | None = None
    clock_ms: ranges.ClockMs | None = None


class KvStoreRead(msgspec.Struct, array_like=True):
    """Events read from one KV cache store.

    Attributes
    ----------
    since, next : int
        The range of the store's events that was read.
    clock_s : float
        The store's clock in the response, in seconds.
    stored : list of (str, str, int)
        Salt, id and token count of each part, in order; 0 tokens if it was freed.
    """

    store: ranges.Name
    epoch: ranges.Number
    since: ranges.Number
    next: ranges.Number
    clock_s: ranges.ClockS
    stored: list[tuple[ranges.Name, ranges.Name, ranges.Count]]


class KvStoresRead(msgspec.Struct, array_like=True, tag=6):
    """Events read from several KV cache stores."""

    kv_stores: list[KvStoreRead]


class Leaving(msgspec.Struct, array_like=True, tag=7):
    """An upstream stated in a response that it is leaving.

    Attributes
    ----------
    born : int
        Start of the process that stated it, in Unix milliseconds.
    """

    upstream_id: ranges.Name
    born: ranges.Born


class Limited(msgspec.Struct, array_like=True, tag=8):
    """An upstream named a rate limit in an answer to the sender, or no longer does.

    Attributes
    ----------
    born : int
        Start of the process that named it, in Unix milliseconds.
    per_s : float or None
        Requests per second that it takes from all nodes; None if not limited.
    age_s : float
        Time since the answer arrived at the sender, in seconds.
    asked_age_s : float
        Time since the sender sent the answered request, in seconds.
    """

    upstream_id: ranges.Name
    born: ranges.Born
    per_s: ranges.Rate | None
    age_s: ranges.DurationS
    asked_age_s: ranges.DurationS


class Suspects(msgspec.Struct, array_like=True, tag=20):
    """What the sender knows of suspects of crashes."""

    suspicions: list[quarantine.Suspicion]


class ReleaseState(msgspec.Struct, array_like=True, tag=9):
    """The progress of a service's release, from the node that leads it.

    Attributes
    ----------
    until_ms : float
        End of the sender's lease on the store's clock, in milliseconds.
    epoch : int
        Epoch of the store in which the sender took the lease.
    """

    progress: release.Progress
    until_ms: ranges.ClockMs
    epoch: ranges.Number


class ReleaseReport(msgspec.Struct, array_like=True, tag=10):
    """What a node saw of a release since its last report.

    Attributes
    ----------
    number : int
        Number of the release among those of the service.
    tested, used : list of canary.Tally
        Responses of the ordered release and of the one in use.
    is_drained : bool
        Whether the node sends nothing to the previous release any more and has no
        request in flight there.
    """

    service: ranges.Name
    number: ranges.Number
    tested: list[canary.Tally]
    used: list[canary.Tally]
    is_drained: bool = False


class TransferDelays(msgspec.Struct, array_like=True, tag=11):
    """By how much prompts were late that needed a transfer from a KV cache store.

    Attributes
    ----------
    samples : list of (str, float)
        Store and delay in seconds of each prompt, in order; the store is empty for a
        prompt without a transfer.
    """

    samples: list[tuple[ranges.Name, ranges.DurationS]]


Message = (
    Prefill
    | Switching
    | Serving
    | IntentsRead
    | ListRead
    | KvStoresRead
    | Leaving
    | Limited
    | Suspects
    | ReleaseState
    | ReleaseReport
    | TransferDelays
    | shared_rate.Message
    | save_grants.Message
)

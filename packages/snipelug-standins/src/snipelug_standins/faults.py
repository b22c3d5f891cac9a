"""Faults that tests switch on in a stand-in through ``POST /faults``."""

import typing

import msgspec

Seconds = typing.Annotated[float, msgspec.Meta(ge=0)]
Count = typing.Annotated[int, msgspec.Meta(ge=0)]
Factor = typing.Annotated[float, msgspec.Meta(gt=0)]


class DieAfter(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Exit on the first effect request that follows ``after`` further ones."""

    after: Count


class TurnCold(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Lose all cached blocks and warmth.

    Attributes
    ----------
    close_connections : bool
        Cut all open connections, as a restart does.
    new_boot_id : bool
        Report a new boot id afterwards.
    """

    close_connections: bool = False
    new_boot_id: bool = False


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Faults of every role; each ``POST`` replaces the set in force.

    An effect request is one whose method is not GET, HEAD or OPTIONS, other
    than ``/faults`` itself.

    Attributes
    ----------
    die : bool or DieAfter
        Exit the process.
    pause_s : float
        Stop the whole process once for this time, in seconds.
    slow_s : float
        Delay of each answer after its effect, in seconds.
    lose_answers : int
        Number of effect requests whose connection closes without an answer.
    refuse : bool
        Answer 503 to everything without any effect.
    """

    die: bool | DieAfter = False
    pause_s: Seconds = 0.0
    slow_s: Seconds = 0.0
    lose_answers: Count = 0
    refuse: bool = False


class UpstreamFaults(Faults, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Faults of engines and plain services.

    Attributes
    ----------
    turn_cold : bool or TurnCold
        Return to cold start once, without notice.
    leaving : bool
        Report the state ``leaving``.
    """

    turn_cold: bool | TurnCold = False
    leaving: bool = False


class EngineFaults(
    UpstreamFaults, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Faults of engines.

    Attributes
    ----------
    drop_events : bool
        Cache events made meanwhile are lost; their sequence numbers are skipped.
    delay_events_s : float
        Age at which a cache event becomes readable, in seconds.
    cross_answers : int
        Number of answers that carry another request's id.
    crash_on : str
        Exit when a prompt with this text starts to run; empty for never.
    swap_weights : str
        Load this weight version once, without an order; empty for none.
    """

    drop_events: bool = False
    delay_events_s: Seconds = 0.0
    cross_answers: Count = 0
    crash_on: str = ""
    swap_weights: str = ""


class StoreFaults(Faults, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Faults of KV cache stores.

    Attributes
    ----------
    full : bool
        Answer 507 to every write.
    slowdown : float
        Factor by which transfers take longer.
    corrupt_reads : int
        Number of reads that return changed bytes.
    die_in_transfer : DieAfter or None
        Exit when half of a block was sent or kept, after some whole transfers.
    """

    full: bool = False
    slowdown: Factor = 1.0
    corrupt_reads: Count = 0
    die_in_transfer: DieAfter | None = None


class LinkFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of a forwarded link.

    Attributes
    ----------
    cut : bool
        Forward nothing; connections stay open and hang.
    reset : bool
        Reset open connections and each new one.
    delay_s : float
        Delay of data in each direction, in seconds.
    """

    cut: bool = False
    reset: bool = False
    delay_s: Seconds = 0.0

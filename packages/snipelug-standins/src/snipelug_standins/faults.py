"""Faults that tests inject into a stand-in with ``POST /faults``."""

import typing

import msgspec

Seconds = typing.Annotated[float, msgspec.Meta(ge=0)]
NonNegativeInt = typing.Annotated[int, msgspec.Meta(ge=0)]
PositiveFloat = typing.Annotated[float, msgspec.Meta(gt=0)]


class DieAfter(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Exit on the first effect request after ``after`` others."""

    after: NonNegativeInt


class TurnCold(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Discard all cached blocks and return to the cold state.

    Attributes
    ----------
    close_connections : bool
        Close all open connections, as a restart does.
    new_boot_id : bool
        Report a new boot ID afterwards.
    """

    close_connections: bool = False
    new_boot_id: bool = False


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Faults of every role; each ``POST`` replaces the previous set.

    An effect request is any request with a method other than GET, HEAD and
    OPTIONS, except those to ``/faults``.

    Attributes
    ----------
    die : bool or DieAfter
        Exit the process.
    pause_s : float
        Pause the whole process once for this time, in seconds.
    slow_s : float
        Delay of each response after the request took effect, in seconds.
    lose_answers : int
        Number of effect requests whose connection is closed without a response.
    refuse : bool
        Respond 503 to every request, without any effect.
    """

    die: bool | DieAfter = False
    pause_s: Seconds = 0.0
    slow_s: Seconds = 0.0
    lose_answers: NonNegativeInt = 0
    refuse: bool = False


class UpstreamFaults(Faults, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Faults of engines and plain services.

    Attributes
    ----------
    turn_cold : bool or TurnCold
        Return to the cold state once, without notice.
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
        Drop new cache events; their sequence numbers are skipped.
    delay_events_s : float
        Minimum age of a readable cache event, in seconds.
    cross_answers : int
        Number of responses that carry the ID of another request.
    crash_on : str
        Exit when a prompt that contains this text starts to run; empty for never.
    swap_weights : str
        Switch to this weight version once, without an order; empty for none.
    """

    drop_events: bool = False
    delay_events_s: Seconds = 0.0
    cross_answers: NonNegativeInt = 0
    crash_on: str = ""
    swap_weights: str = ""


class StoreFaults(Faults, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Faults of KV cache stores.

    Attributes
    ----------
    full : bool
        Respond 507 to every write.
    slowdown : float
        Factor by which the duration of transfers increases.
    corrupt_reads : int
        Number of reads that return corrupted bytes.
    die_in_transfer : DieAfter or None
        Exit halfway through a transfer, after ``after`` complete ones.
    """

    full: bool = False
    slowdown: PositiveFloat = 1.0
    corrupt_reads: NonNegativeInt = 0
    die_in_transfer: DieAfter | None = None


class LinkFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of a forwarded link.

    Attributes
    ----------
    cut : bool
        Forward nothing; connections stay open and stall.
    reset : bool
        Reset all open and new connections.
    delay_s : float
        Delay of data in each direction, in seconds.
    """

    cut: bool = False
    reset: bool = False
    delay_s: Seconds = 0.0

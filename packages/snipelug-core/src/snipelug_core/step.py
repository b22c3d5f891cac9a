"""Steps that decision logic asks its driver to perform on the table service.

Decision logic that needs several store operations is a generator: it yields a step and
is sent an ``Event`` with the step's outcome and the time at which the outcome arrived.
"""

import dataclasses
import typing


class _Absent:
    """Type of ``ABSENT``."""

    def __repr__(self) -> str:
        return "ABSENT"


ABSENT: typing.Final = _Absent()
"""Precondition: the row does not exist."""

Precondition = str | _Absent
"""Precondition: this row version, or ``ABSENT``."""


@dataclasses.dataclass(frozen=True)
class Write:
    """Write a row if its precondition holds; if ``content`` is None, delete the row."""

    table: str
    key: str
    content: object | None
    expect: Precondition


@dataclasses.dataclass(frozen=True)
class Read:
    """Read a row and decode it as a dataclass."""

    table: str
    key: str
    kind: type


@dataclasses.dataclass(frozen=True)
class Wait:
    """Wait for the given time, in seconds."""

    delay_s: float


@dataclasses.dataclass(frozen=True)
class Applied:
    """The write took effect."""

    version: str


@dataclasses.dataclass(frozen=True)
class PreconditionFailed:
    """The precondition did not hold; nothing was written."""


@dataclasses.dataclass(frozen=True)
class NoAnswer:
    """The store gave no usable answer.

    Attributes
    ----------
    maybe_applied : bool
        The write may have taken effect already, or may still do so later.
    """

    reason: str
    maybe_applied: bool = True


@dataclasses.dataclass(frozen=True)
class Found:
    """The row exists."""

    version: str
    content: typing.Any


@dataclasses.dataclass(frozen=True)
class Missing:
    """The row does not exist."""


@dataclasses.dataclass(frozen=True)
class Malformed:
    """The row exists but cannot be decoded."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Event:
    """Outcome of a step.

    Attributes
    ----------
    outcome : object
        One of the outcome types that the step allows.
    now : float
        Monotonic time of this node when the outcome arrived, in seconds.
    """

    outcome: object
    now: float

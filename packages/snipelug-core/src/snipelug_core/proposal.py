"""The protocol by which a node writes a proposed change, free of I/O.

The protocol is a generator: its driver executes each yielded step and sends back the
result. The node and the simulation in the tests drive the same generator.
"""

import collections.abc
import dataclasses

from snipelug_core import change

MAX_INSERTS = 3


@dataclasses.dataclass(frozen=True)
class Insert:
    """Insert the change's row if absent and advance ``head``, in one transaction."""

    change: change.Change


@dataclasses.dataclass(frozen=True)
class ReadBack:
    """Read the change stored at a revision."""

    revision: int


Step = Insert | ReadBack


@dataclasses.dataclass(frozen=True)
class Inserted:
    """The transaction was committed."""


@dataclasses.dataclass(frozen=True)
class Conflicted:
    """A precondition of the transaction failed."""


@dataclasses.dataclass(frozen=True)
class NotExecuted:
    """The transaction was not executed and will not be executed later."""


@dataclasses.dataclass(frozen=True)
class NoAnswer:
    """No response; the step may have taken effect or may still do so."""


@dataclasses.dataclass(frozen=True)
class NoRow:
    """The row does not exist."""


Result = Inserted | Conflicted | NotExecuted | NoAnswer | NoRow | change.Change


@dataclasses.dataclass(frozen=True)
class Recorded:
    """The change is in the store, cannot be lost, and will come into force."""

    change: change.Change


@dataclasses.dataclass(frozen=True)
class LostRace:
    """Another change took the revision; this one will never come into force."""

    winner: change.Change


@dataclasses.dataclass(frozen=True)
class NotWritten:
    """The store did not accept the change."""


@dataclasses.dataclass(frozen=True)
class Unclear:
    """The store did not respond; the change may be in force or may come into force."""


Outcome = Recorded | LostRace | NotWritten | Unclear


def write_change(
    proposed: change.Change, max_inserts: int = MAX_INSERTS
) -> collections.abc.Generator[Step, Result, Outcome]:
    """Yield the steps that write a change and return the outcome.

    After a lost response, an absent row is inconclusive, because the transaction may
    still be in flight. The same change is inserted again, at most ``max_inserts``
    times in total, until a row exists whose nonce tells which change was written.
    """
    unclear = False
    for _ in range(max_inserts):
        result = yield Insert(proposed)
        if isinstance(result, Inserted):
            return Recorded(proposed)
        if isinstance(result, NotExecuted) and not unclear:
            return NotWritten()
        unclear = unclear or isinstance(result, NoAnswer)
        stored = yield ReadBack(proposed.revision)
        if isinstance(stored, change.Change):
            return _compare_nonces(proposed, stored)
        unclear = unclear or isinstance(stored, NoAnswer)
    return Unclear() if unclear else NotWritten()


def _compare_nonces(
    proposed: change.Change, stored: change.Change
) -> Recorded | LostRace:
    if stored.nonce == proposed.nonce:
        return Recorded(stored)
    return LostRace(stored)

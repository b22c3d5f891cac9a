"""The steps by which a node writes a proposed change, without input or output.

The steps form a generator: the driver executes each yielded step and sends its
result back. The node and the simulation in the tests drive the same generator.
"""

import collections.abc
import dataclasses

from snipelug_core import change

MAX_INSERTS = 3


@dataclasses.dataclass(frozen=True)
class Insert:
    """Insert the change's row if absent and move ``head``, in one transaction."""

    change: change.Change


@dataclasses.dataclass(frozen=True)
class ReadBack:
    """Read the change at a revision."""

    revision: int


Step = Insert | ReadBack


@dataclasses.dataclass(frozen=True)
class Inserted:
    """The transaction took effect."""


@dataclasses.dataclass(frozen=True)
class Conflicted:
    """A precondition of the transaction did not hold."""


@dataclasses.dataclass(frozen=True)
class NotExecuted:
    """It is known that the transaction neither took nor will take effect."""


@dataclasses.dataclass(frozen=True)
class NoAnswer:
    """Whether the step took effect, or still will, is unknown."""


@dataclasses.dataclass(frozen=True)
class NoRow:
    """The row does not exist."""


Result = Inserted | Conflicted | NotExecuted | NoAnswer | NoRow | change.Change


@dataclasses.dataclass(frozen=True)
class Recorded:
    """The change is in the store and will be in force; it cannot be lost."""

    change: change.Change


@dataclasses.dataclass(frozen=True)
class LostRace:
    """Another change has the revision; this one is not and will not be in force."""

    winner: change.Change


@dataclasses.dataclass(frozen=True)
class NotWritten:
    """The store did not take the change."""


@dataclasses.dataclass(frozen=True)
class Unclear:
    """The store is silent; the change may be or may still come into force."""


Outcome = Recorded | LostRace | NotWritten | Unclear


def write_change(
    proposed: change.Change, max_inserts: int = MAX_INSERTS
) -> collections.abc.Generator[Step, Result, Outcome]:
    """Yield the steps that write a change and return what is known at the end.

    After a lost answer an absent row proves nothing, because the transaction may
    still be on its way. The same change is inserted again, until a row with either
    nonce settles the matter.
    """
    unclear = False
    for _ in range(max_inserts):
        result = yield Insert(proposed)
        if isinstance(result, Inserted):
            return Recorded(proposed)
        if isinstance(result, NotExecuted) and not unclear:
            return NotWritten()
        unclear = unclear or isinstance(result, NoAnswer)
        row = yield ReadBack(proposed.revision)
        if isinstance(row, change.Change):
            return _compare(proposed, row)
        unclear = unclear or isinstance(row, NoAnswer)
    return Unclear() if unclear else NotWritten()


def _compare(proposed: change.Change, row: change.Change) -> Recorded | LostRace:
    if row.nonce == proposed.nonce:
        return Recorded(row)
    return LostRace(row)

"""Decisions of a node that follows a table of a store that can be restored.

The store gives each transaction a version. After a restore from a copy, the versions
that were given out since the copy are given out again for other transactions, and the
epoch is higher by one. Versions of different epochs are not comparable, so changes are
read only from a position of the same epoch; otherwise the table is read whole.
"""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, order=True)
class Position:
    """A position in the history of a store.

    Attributes
    ----------
    epoch : int
        Number of times the store has been restored from a copy.
    version : int
        Version of the last transaction that was read.
    """

    epoch: int
    version: int


class Decision(enum.Enum):
    """What a node does with a response or an announcement.

    ``APPLY`` applies its content, ``READ`` reads the table, and ``DROP`` ignores it.
    """

    APPLY = enum.auto()
    READ = enum.auto()
    DROP = enum.auto()


def judge_whole(read: Position, newest_epoch: int) -> Decision:
    """Decide what to do with a response that has the whole table.

    Parameters
    ----------
    newest_epoch : int
        Newest epoch in any response of the store to this node.
    """
    return Decision.DROP if read.epoch < newest_epoch else Decision.APPLY


def judge_changes(
    known: Position | None, since: Position, read: Position, newest_epoch: int
) -> Decision:
    """Decide what to do with a response that has the changes after a position.

    Parameters
    ----------
    known : Position or None
        Position of the node; None if the whole table must be read. It can be later
        than ``since``, as announcements are applied while a call is under way.
    since : Position
        Position that the call named.
    read : Position
        Position of the response.

    Returns
    -------
    Decision
        ``READ`` if the table must be read whole.
    """
    if read.epoch < newest_epoch or (known is not None and read.epoch < known.epoch):
        return Decision.DROP
    if known is None or read.epoch > since.epoch or read.version < since.version:
        return Decision.READ
    return Decision.DROP if read < known else Decision.APPLY


def judge_announcement(
    known: Position | None,
    since: int,
    read: Position,
    is_complete: bool,
    newest_epoch: int,
) -> Decision:
    """Decide what to do with an announcement of another node that has read the table.

    Parameters
    ----------
    since : int
        Version, of the epoch of ``read``, after which the changes were read.
    is_complete : bool
        Whether the announcement has all changes.

    Returns
    -------
    Decision
        ``READ`` if the node must read the table for itself.
    """
    if known is None or read.epoch < newest_epoch or read < known:
        return Decision.DROP
    if read.epoch > known.epoch or since > known.version or not is_complete:
        return Decision.READ
    return Decision.APPLY

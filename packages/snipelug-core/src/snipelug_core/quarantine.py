"""Requests whose upstreams died: crash counts, suspects and quarantine."""

import dataclasses
import enum

from snipelug_core import hashing, refusal

CRASH_LIMIT = 2
"""Crashes over the fleet after which a request is not sent again."""


class Standing(enum.StrEnum):
    """What the crash count of a request permits."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(frozen=True)
class Crash:
    """One request's loss of its upstream.

    Attributes
    ----------
    id : str
        Names the event, so that a report that arrives twice counts once.
    epoch : int
        Epoch of the record that the node knew when it sent the request.
    """

    id: str
    upstream_id: str
    epoch: int = 0


@dataclasses.dataclass(frozen=True)
class Record:
    """What is known about one fingerprint.

    Attributes
    ----------
    epoch : int
        Grows with each release by an operator; crashes of requests sent in an
        earlier epoch no longer count.
    """

    fingerprint: str
    team: str
    epoch: int = 0
    crashes: frozenset[Crash] = frozenset()


Records = dict[str, Record]


def fingerprint(key: bytes, team: str, body: bytes) -> str:
    """Return the fingerprint of a request, in hexadecimal."""
    return hashing.keyed_digest(key, team.encode(), body).hex()


def classify(record: Record | None) -> Standing:
    """Judge a request by the crashes of its fingerprint."""
    count = 0 if record is None else len(record.crashes)
    if count == 0:
        return Standing.CLEAR
    return Standing.QUARANTINED if count >= CRASH_LIMIT else Standing.SUSPECT


def add_crash(record: Record, crash: Crash) -> Record:
    """Add a crash unless it belongs to an earlier epoch."""
    crashes = frozenset({crash})
    return merge(
        record, dataclasses.replace(record, epoch=crash.epoch, crashes=crashes)
    )


def merge(known: Record | None, other: Record) -> Record:
    """Merge two views of a fingerprint; the order of merges does not matter."""
    if known is None or other.epoch > known.epoch:
        return other
    if other.epoch < known.epoch:
        return known
    return dataclasses.replace(known, crashes=known.crashes | other.crashes)


def merge_record(records: Records, other: Record) -> bool:
    """Merge a record from a peer or the table; True if it brought news."""
    known = records.get(other.fingerprint)
    merged = merge(known, other)
    records[other.fingerprint] = merged
    return merged != known


def release(record: Record) -> Record:
    """Return the record after an operator released the request."""
    return dataclasses.replace(record, epoch=record.epoch + 1, crashes=frozenset())


def build_refusal(record: Record) -> refusal.Refusal:
    """Return the refusal of a quarantined request."""
    upstreams = ", ".join(sorted({crash.upstream_id for crash in record.crashes}))
    message = (
        f"request {record.fingerprint} was running when {len(record.crashes)}"
        f" upstreams died ({upstreams}); an operator can release it"
    )
    return refusal.refuse(refusal.QUARANTINED, message)

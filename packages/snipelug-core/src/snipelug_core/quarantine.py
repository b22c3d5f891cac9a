"""Quarantine of requests that repeatedly crash the upstreams they run on."""

import dataclasses
import enum

from snipelug_core import hashing, refusal

CRASH_LIMIT = 2
"""Number of crashes, over all nodes, after which a request is not sent again."""


class Standing(enum.StrEnum):
    """Classification of a request by its crash count."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(frozen=True)
class Crash:
    """The loss of an upstream while it was running a request.

    Attributes
    ----------
    id : str
        Unique id of the event, so that a duplicate report is counted once.
    epoch : int
        Epoch of the record as the node knew it when it sent the request.
    """

    id: str
    upstream_id: str
    epoch: int = 0


@dataclasses.dataclass(frozen=True)
class Record:
    """Crashes recorded for one request fingerprint.

    Attributes
    ----------
    epoch : int
        Incremented at each release by an operator; crashes of requests sent in an
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
    """Classify a request by the number of crashes recorded for its fingerprint."""
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
    """Merge two records of a fingerprint; commutative, associative and idempotent."""
    if known is None or other.epoch > known.epoch:
        return other
    if other.epoch < known.epoch:
        return known
    return dataclasses.replace(known, crashes=known.crashes | other.crashes)


def merge_record(records: Records, other: Record) -> bool:
    """Merge a record from a peer or the table; return whether anything changed."""
    known = records.get(other.fingerprint)
    merged = merge(known, other)
    records[other.fingerprint] = merged
    return merged != known


def release(record: Record) -> Record:
    """Return the record after its release from quarantine by an operator."""
    return dataclasses.replace(record, epoch=record.epoch + 1, crashes=frozenset())


def build_refusal(record: Record) -> refusal.Refusal:
    """Build the refusal of a quarantined request."""
    upstreams = ", ".join(sorted({crash.upstream_id for crash in record.crashes}))
    message = (
        f"request {record.fingerprint} was running when {len(record.crashes)}"
        f" upstreams died ({upstreams}); an operator can release it"
    )
    return refusal.refuse(refusal.QUARANTINED, message)

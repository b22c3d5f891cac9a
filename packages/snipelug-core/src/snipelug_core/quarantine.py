"""Quarantine of requests that repeatedly crash the upstreams they run on."""

import collections
import collections.abc
import dataclasses
import enum
import math
import typing

import msgspec

from snipelug_core import hashing, ranges, refusal

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


SUSPECT_LIMIT = 3
"""Number of successive crashes after which requests with a suspect are withheld.

Crashes of upstreams break off sound requests as well, so one more than
``CRASH_LIMIT`` is needed where requests are charged by what they have in common.
"""

SIMULTANEOUS_LIMIT = 4
"""Number of crashes after which requests are withheld even if all are simultaneous.

One event that ends several engines, and several requests with a part that crashes
engines, cannot be told apart. Five crashes of such a part are allowed.
"""

RETRY_LIMIT = 2
"""Number of crashes after which a charged request is not sent to another upstream."""

MAX_SUSPECT_ID_LENGTH = 150
MAX_CRASHES = 16
"""Maximum number of crashes that are counted for a suspect; the newest are kept."""

MAX_CLEARED = 64
"""Maximum number of cleared crashes that are remembered for a suspect."""

MAX_SUSPICIONS = 4096
"""Maximum number of suspects that are remembered; the oldest are dropped first."""

Generation = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_CRASHES)]
"""Position of a crash in a series of crashes, from 1 on; 0 if unknown."""


def part_suspect(model: str, part_id: str) -> str:
    """Return the suspect for a part of a model's prompts."""
    suspect = f"part/{model}/{part_id}"
    if len(suspect) <= MAX_SUSPECT_ID_LENGTH and suspect.isascii():
        return suspect
    return f"part/{hashing.keyed_digest(b'', suspect.encode()).hex()}"


def request_suspect(*fields: str, body: bytes) -> str:
    """Return the suspect for a whole request.

    Parameters
    ----------
    *fields : str
        All that tells the request from others apart from its body, in a fixed order.
    """
    digest = hashing.keyed_digest(b"", *(field.encode() for field in fields), body)
    return f"request/{digest.hex()}"


@dataclasses.dataclass(frozen=True)
class Suspicion:
    """Crashes charged to one suspect: a prompt part or a whole request.

    Attributes
    ----------
    crashes : dict of str to frozenset of str
        Ids of the crashes that are not cleared. The value is the suspects, including
        this one, that all requests charged with that crash had in common with it.
    cleared : frozenset of str
        Ids of crashes that this suspect did not cause: a request with it was answered
        completely afterwards.
    generations : dict of str to int
        Length of the longest series that ends with each crash, in which each request
        was sent after the crash before was known. Crashes of one generation may have
        been one event, and do not confirm each other. An unknown one is left out.
    """

    suspect: ranges.Name
    crashes: dict[ranges.Name, frozenset[ranges.Name]] = dataclasses.field(
        default_factory=dict
    )
    cleared: frozenset[ranges.Name] = frozenset()
    generations: dict[ranges.Name, Generation] = dataclasses.field(default_factory=dict)

    def merged(self, other: "Suspicion") -> "Suspicion":
        """Merge two states; commutative, associative and idempotent.

        Both limits keep the newest crashes, as ids sort by time.
        """
        cleared = self.cleared | other.cleared
        crashes = {
            crash_id: _intersect(self.crashes, other.crashes, crash_id)
            for crash_id in sorted(self.crashes.keys() | other.crashes.keys())
            if crash_id not in cleared
        }
        crashes = dict(list(crashes.items())[-MAX_CRASHES:])
        if len(cleared) > MAX_CLEARED:
            cleared = frozenset(sorted(cleared)[-MAX_CLEARED:])
        generations = {
            crash_id: max(
                self.generations.get(crash_id, 0), other.generations.get(crash_id, 0)
            )
            for crash_id in crashes
        }
        return Suspicion(self.suspect, crashes, cleared, _known(generations))

    @property
    def independent(self) -> int:
        """Number of crashes that cannot have been one event."""
        unknown = len(self.crashes) - len(self.generations)
        return unknown + len(set(self.generations.values()))

    def next_generation(
        self, crash_id: str, is_known: collections.abc.Callable[[str], bool]
    ) -> int:
        """Return the generation of a crash that follows others.

        Parameters
        ----------
        is_known : callable
            Whether another crash was known when the request was sent.
        """
        before = (
            self.generations.get(other, 0)
            for other in self.crashes
            if other != crash_id and is_known(other)
        )
        return min(MAX_CRASHES, 1 + max(before, default=0))

    @property
    def company(self) -> frozenset[str]:
        """Suspects that were in every request charged with this one."""
        return frozenset.intersection(*self.crashes.values())


def shorten(
    suspicion: Suspicion, fits: collections.abc.Callable[[Suspicion], bool]
) -> Suspicion:
    """Drop the oldest crashes, then the oldest cleared ones, until a message fits."""
    while not fits(suspicion) and (suspicion.crashes or suspicion.cleared):
        crashes = dict(list(suspicion.crashes.items())[1:])
        cleared = suspicion.cleared
        if not suspicion.crashes:
            cleared = frozenset(sorted(cleared)[1:])
        generations = {c: suspicion.generations.get(c, 0) for c in crashes}
        suspicion = Suspicion(suspicion.suspect, crashes, cleared, _known(generations))
    return suspicion


def _known(generations: dict[str, int]) -> dict[str, int]:
    return {crash_id: number for crash_id, number in generations.items() if number}


def _intersect(
    first: dict[str, frozenset[str]], second: dict[str, frozenset[str]], crash_id: str
) -> frozenset[str]:
    if crash_id not in first:
        return second[crash_id]
    return first[crash_id] & second.get(crash_id, first[crash_id])


class Ledger:
    """Crashes charged to suspects, as known to one node."""

    def __init__(self) -> None:
        self._suspicions: collections.OrderedDict[str, Suspicion] = (
            collections.OrderedDict()
        )
        self._repeated: dict[str, None] = {}
        self._known_since: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._suspicions)

    def repeated(self) -> list[Suspicion]:
        """Return the suspicions with ``RETRY_LIMIT`` crashes or more."""
        return [self._suspicions[suspect] for suspect in self._repeated]

    def recorded(self) -> list[str]:
        """Return the suspects that may have a row in the platform's store.

        Rows are written from ``RETRY_LIMIT`` crashes on, and removed when these are
        cleared.
        """
        return [
            suspicion.suspect
            for suspicion in self._suspicions.values()
            if max(len(suspicion.crashes), len(suspicion.cleared)) >= RETRY_LIMIT
        ]

    @property
    def has_repeated(self) -> bool:
        """Whether a suspect has ``RETRY_LIMIT`` crashes or more."""
        return bool(self._repeated)

    def get(self, suspect: str) -> Suspicion:
        """Return what is known of a suspect."""
        return self._suspicions.get(suspect) or Suspicion(suspect)

    def merge(self, other: Suspicion, now: float = -math.inf) -> bool:
        """Merge a state from another node or a row; return whether anything changed.

        Parameters
        ----------
        now : float
            Monotonic time at which its crashes became known, in seconds.
        """
        self._note_known(other.crashes, now)
        known = self.get(other.suspect)
        merged = known.merged(other)
        if merged == known:
            return False
        self._suspicions[other.suspect] = merged
        self._suspicions.move_to_end(other.suspect)
        if len(merged.crashes) >= RETRY_LIMIT:
            self._repeated[other.suspect] = None
        else:
            self._repeated.pop(other.suspect, None)
        while len(self._suspicions) > MAX_SUSPICIONS:
            once = (s for s in self._suspicions if s not in self._repeated)
            self.forget(next(once, next(iter(self._suspicions))))
        return True

    def forget(self, suspect: str) -> None:
        """Forget a suspect."""
        self._suspicions.pop(suspect, None)
        self._repeated.pop(suspect, None)

    def charge(
        self,
        crash_id: str,
        suspects: collections.abc.Collection[str],
        sent_at: float = math.inf,
        now: float = -math.inf,
    ) -> list[str]:
        """Charge a crash to a request that had not begun; return what changed.

        Parameters
        ----------
        sent_at, now : float
            Monotonic times of the request and of this charge, in seconds; by default
            the crash is independent of all others.
        """

        def is_known(other: str) -> bool:
            return self._known_since.get(other, -math.inf) < sent_at

        company = {crash_id: frozenset(suspects)}
        changed = []
        for suspect in suspects:
            generation = self.get(suspect).next_generation(crash_id, is_known)
            charged = Suspicion(suspect, company, generations={crash_id: generation})
            if self.merge(charged, now):
                changed.append(suspect)
        return changed

    def _note_known(self, crash_ids: collections.abc.Iterable[str], now: float) -> None:
        for crash_id in crash_ids:
            self._known_since.setdefault(crash_id, now)
        while len(self._known_since) > MAX_SUSPICIONS:
            self._known_since.popitem(last=False)

    def is_withheld(self, suspect: str) -> bool:
        """Return whether a suspect has as many crashes as requests are withheld for."""
        return (
            self.get(suspect).independent >= SUSPECT_LIMIT
            or self.count(suspect) >= SIMULTANEOUS_LIMIT
        )

    def clear(self, suspect: str) -> bool:
        """Clear a suspect of all known crashes; return whether there were any."""
        crashes = frozenset(self.get(suspect).crashes)
        return bool(crashes) and self.merge(Suspicion(suspect, {}, crashes))

    def count(self, suspect: str) -> int:
        """Return the number of crashes of which a suspect is not cleared."""
        return len(self.get(suspect).crashes)

    def find(
        self, suspects: collections.abc.Collection[str], limit: int
    ) -> Suspicion | None:
        """Return the suspicion because of which a request is withheld, if any.

        Suspects that were never seen apart cannot be told apart. A request is therefore
        withheld only if it contains all of them; one that contains a sound one alone
        is answered and clears it. All requests with the same suspects are withheld
        because of the same one, which decides when they may be sent again.
        """
        for suspect in sorted(suspects):
            suspicion = self._suspicions.get(suspect)
            if suspicion is None or len(suspicion.crashes) < limit:
                continue
            if limit == SUSPECT_LIMIT and not self.is_withheld(suspect):
                continue
            if all(
                other in suspects or not self._is_equally_suspect(other, suspicion)
                for other in suspicion.company
            ):
                return suspicion
        return None

    def _is_equally_suspect(self, other: str, suspicion: Suspicion) -> bool:
        return suspicion.crashes.keys() <= self.get(other).crashes.keys()

"""Versioned records with HTTP preconditions, shared by tables and objects."""

import collections.abc
import dataclasses
import itertools

ABSENT = "absent"
ANY = "any"


@dataclasses.dataclass(frozen=True)
class Record:
    """One stored value; each write assigns a new version."""

    version: str
    content: bytes


def expected_version(headers: collections.abc.Mapping[str, str]) -> str:
    """Convert ``If-None-Match`` and ``If-Match`` to an expected version.

    Returns
    -------
    str
        ``absent``, ``any``, ``*`` for any existing version, or a version.
    """
    if headers.get("if-none-match", "").strip() == "*":
        return ABSENT
    match = headers.get("if-match")
    return ANY if match is None else match.strip().strip('"')


def etag(version: str) -> str:
    """Return the entity tag of a version."""
    return f'"{version}"'


@dataclasses.dataclass
class Records:
    """Records by key, with versions from one sequence.

    Attributes
    ----------
    reads, writes, conflicts : int
        Number of records read, writes applied and writes that failed their
        precondition.
    """

    by_key: dict[str, Record] = dataclasses.field(default_factory=dict)
    reads: int = 0
    writes: int = 0
    conflicts: int = 0
    _versions: collections.abc.Iterator[int] = dataclasses.field(
        default_factory=lambda: itertools.count(1)
    )

    def read(self, key: str) -> Record | None:
        """Return a record, or None if it does not exist."""
        self.reads += 1
        return self.by_key.get(key)

    def precondition_holds(self, key: str, expect: str) -> bool:
        """Return whether a precondition holds."""
        record = self.by_key.get(key)
        if expect == ANY:
            return True
        if expect == ABSENT:
            return record is None
        if record is None:
            return False
        return expect == "*" or expect.strip('"') == record.version

    def next_version(self) -> str:
        """Return a new version."""
        return f"v{next(self._versions)}"

    def put(self, key: str, content: bytes | None, version: str) -> None:
        """Write a record, or delete it if the content is None."""
        self.writes += 1
        if content is None:
            self.by_key.pop(key, None)
            return
        self.by_key[key] = Record(version, content)

    def write(self, key: str, content: bytes | None, expect: str) -> str | None:
        """Write if the precondition holds; return the new version or None."""
        if not self.precondition_holds(key, expect):
            self.conflicts += 1
            return None
        version = self.next_version()
        self.put(key, content, version)
        return version

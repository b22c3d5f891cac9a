"""Retirement of weight versions: when an outdated version must no longer be used.

The bound runs from the write of a newer version to the platform's store. A node does
not observe that moment. It knows times on the store's clock at which no newer version
was named yet, from its own reads and from other nodes, and counts the bound from the
latest of them. Facts of this kind stay true, so they can be merged in any order, and a
lost one only ends the use of a version earlier.
"""

import collections.abc
import dataclasses
import functools
import math

MAX_VERSIONS = 6
"""Number of versions of a model for which times are kept."""

MAX_UNCERTAINTY_MS = 3_000.0
"""Uncertainty of the time of a naming above which other nodes are asked.

Readings of the operator's table are up to 2.5 s apart.
"""


@dataclasses.dataclass(frozen=True)
class Span:
    """Times on the store's clock at which a version was known to be the newest.

    Attributes
    ----------
    first_ms : float
        Earliest time at which the version was known to be named; infinite if unknown.
    last_ms : float
        Latest time at which no newer version was named; minus infinity if unknown.
    """

    first_ms: float = math.inf
    last_ms: float = -math.inf

    def merge(self, other: "Span") -> "Span":
        """Return what both tell together."""
        first_ms = min(self.first_ms, other.first_ms)
        return Span(first_ms, max(self.last_ms, other.last_ms))


UNKNOWN = Span()


@dataclasses.dataclass(frozen=True)
class History:
    """What is known about the times at which the versions of a model were named.

    Attributes
    ----------
    spans : mapping of int to Span
        By version; 0 stands for the time before the first naming.
    """

    spans: collections.abc.Mapping[int, Span] = dataclasses.field(default_factory=dict)

    @functools.cached_property
    def version(self) -> int:
        """The newest named version; 0 if none is named."""
        return max(self.spans, default=0)

    def observe(self, version: int, current_ms: float, now_ms: float) -> "History":
        """Return the history after a read of the operator's table.

        Parameters
        ----------
        version : int
            The named version.
        current_ms : float
            Latest time at which the table was known not to have it; minus infinity if
            it had not been read before.
        now_ms : float
            Upper bound of the store's clock at this read.
        """
        if version <= self.version:
            return self
        facts = {version: Span(first_ms=now_ms)}
        if current_ms > -math.inf:
            facts[self.version] = Span(last_ms=current_ms)
        return self.merge(History(facts))

    def merge(self, other: "History") -> "History":
        """Return what both tell together.

        The oldest versions are left out, which ends their use earlier.
        """
        versions = sorted({*self.spans, *other.spans})[-MAX_VERSIONS:]
        return History(
            {
                version: self.spans.get(version, UNKNOWN).merge(
                    other.spans.get(version, UNKNOWN)
                )
                for version in versions
            }
        )

    def shifted(self, shift_ms: float) -> "History":
        """Return the history on a clock that differs by a constant."""
        return History(
            {
                version: Span(span.first_ms + shift_ms, span.last_ms + shift_ms)
                for version, span in self.spans.items()
            }
        )

    def last_current_ms(self, version: int) -> float:
        """Return the latest time at which no newer version than this one was named.

        It is minus infinity if unknown, also for the newest version.
        """
        known = (span.last_ms for v, span in self.spans.items() if v <= version)
        return max(known, default=-math.inf)

    def least_usable(self, now_ms: float, bound_ms: float) -> int:
        """Return the oldest version that may be used at a time.

        Parameters
        ----------
        bound_ms : float
            Time for which a version may be used after a newer one was named.
        """
        usable = (
            v for v, span in self.spans.items() if span.last_ms + bound_ms > now_ms
        )
        return min(usable, default=self.version)

    def outdated_ms(self, version: int, now_ms: float) -> float:
        """Return for how long a version is known to be outdated, at least.

        It is 0 for the newest version, and infinite if no older one was ever known to
        be the newest: the newer one may have been named at any time.
        """
        if version >= self.version:
            return 0.0
        if self.last_current_ms(version) == -math.inf:
            return math.inf
        newer = (span.first_ms for v, span in self.spans.items() if v > version)
        first_ms = min(newer)
        return now_ms - first_ms if first_ms < math.inf else math.inf

    @property
    def is_uncertain(self) -> bool:
        """Whether other nodes may know better when the newest version was named."""
        if not self.version:
            return False
        named_by_ms = self.spans[self.version].first_ms
        after_ms = self.last_current_ms(self.version - 1)
        return named_by_ms - after_ms > MAX_UNCERTAINTY_MS

    def improves(self, other: "History", least_ms: float) -> bool:
        """Return whether outdated versions can be used longer than another tells.

        Parameters
        ----------
        least_ms : float
            Difference that is not worth a write.
        """
        outdated = self.version - 1
        gained_from_ms = other.last_current_ms(outdated) + least_ms
        return self.last_current_ms(outdated) > gained_from_ms

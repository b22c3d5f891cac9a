"""Lease for weight orders over restores of the platform's store.

A store that was restored from a copy has lost the lease rows that were written since,
and gives out their versions again. Each restore begins a new epoch of the store. Only a
row that was written by a node that knew the current epoch tells who holds the lease.
"""

import dataclasses
import math

from snipelug_core import rollout

TOKENS_PER_EPOCH = 2**40
"""Fencing tokens in each epoch of the store.

Versions of rows stay below it for 29 years at 1,200 transactions a second.
"""


def fencing_token(epoch: int, row_version: int) -> int:
    """Return the fencing token of a holder that replaces a version of the row.

    It increases with each holder, and engines that have accepted a token of an earlier
    epoch accept those of a later one.
    """
    return epoch * TOKENS_PER_EPOCH + row_version + 1


@dataclasses.dataclass(frozen=True)
class Sighting:
    """A version of the lease row that a node has read.

    Attributes
    ----------
    epoch, version : int
        Epoch of the store, and version of the row; 0 if there was no row.
    since : float
        Monotonic time of the first response with it, in seconds.
    """

    epoch: int
    version: int
    since: float


@dataclasses.dataclass(frozen=True)
class Write:
    """A write of the lease row.

    Attributes
    ----------
    expected : int
        Version that the row must have.
    sent_at : float
        Monotonic time, in seconds.
    """

    lease: rollout.Lease
    expected: int
    sent_at: float


class Candidate:
    """One node that takes the lease, holds it and renews it.

    At most one candidate may give orders at any time, by the bounds of all clocks. A
    node that may not have learned of a restore gives orders for the rest of its lease,
    so others take a row of an earlier epoch, or a missing one, only after they have
    seen it unchanged for the longest time of a lease. A write of an earlier epoch that
    takes effect late replaces the row of a newer holder with such a row.

    Parameters
    ----------
    lease_ms : float
        Time for which a holder may give orders after a write, in milliseconds.
    """

    def __init__(self, node_id: str, lease_ms: float) -> None:
        self._node_id = node_id
        self._lease_ms = lease_ms
        self._held: rollout.HeldLease | None = None
        self._row_version = 0
        self._sighting: Sighting | None = None
        self._in_force_until = -math.inf

    def held(self, epoch: int, now: float) -> rollout.HeldLease | None:
        """Return the lease under which this node may give orders now, if any.

        Parameters
        ----------
        epoch : int
            Newest known epoch of the store. A lease of an earlier one must be taken
            anew, as its fencing token may have been given out again.
        """
        held = self._held
        if held is None or held.lease.epoch < epoch or held.remaining_ms(now) <= 0:
            return None
        return held

    def has_seen(self, epoch: int) -> bool:
        """Return whether this node has read the row in an epoch."""
        return self._sighting is not None and self._sighting.epoch >= epoch

    def record_row(self, epoch: int, version: int, now: float) -> None:
        """Record that the row was read; responses of earlier epochs are ignored.

        Parameters
        ----------
        now : float
            Monotonic time of the response, in seconds.
        """
        seen = self._sighting
        if (
            seen is None
            or epoch > seen.epoch
            or (epoch == seen.epoch and version != seen.version)
        ):
            self._sighting = Sighting(epoch, version, now)

    def takeover_wait_s(
        self, row: rollout.Lease | None, clock_ms: float, now: float
    ) -> float:
        """Return after which time this node may take the lease; 0 if now.

        Parameters
        ----------
        row : rollout.Lease or None
            The row that was recorded last.
        clock_ms : float
            The store's clock in the response.
        """
        seen = self._sighting
        if seen is None:
            return math.inf
        longest_ms = (
            self._lease_ms + rollout.LEASE_MARGIN_MS + rollout.TAKEOVER_DELAY_MS
        )
        unchanged_wait_s = max(0.0, seen.since + longest_ms / 1e3 - now)
        if row is not None and row.epoch == seen.epoch:
            if rollout.may_take(row, self._node_id, clock_ms):
                return 0.0
            left_ms = row.until_ms + rollout.TAKEOVER_DELAY_MS - clock_ms
            # No row is renewed for longer, so a later end is an error of its writer.
            return min(unchanged_wait_s, left_ms / 1e3)
        return 0.0 if now < self._in_force_until else unchanged_wait_s

    def claim(self, clock_ms: float, now: float) -> Write:
        """Return the write that takes the lease, with a token above all earlier ones.

        Parameters
        ----------
        clock_ms : float
            The store's clock in the response with the row.
        """
        seen = self._sighting
        assert seen is not None
        token = fencing_token(seen.epoch, seen.version)
        return self._build(token, seen.epoch, clock_ms, seen.version, now)

    def renewal(self, held: rollout.HeldLease, now: float) -> Write:
        """Return the write that prolongs a lease of this node."""
        clock_ms = held.store_ms + 1e3 * (now - held.sent_at)
        lease = held.lease
        return self._build(lease.fencing, lease.epoch, clock_ms, self._row_version, now)

    def _build(
        self, token: int, epoch: int, clock_ms: float, expected: int, now: float
    ) -> Write:
        until_ms = clock_ms + self._lease_ms + rollout.LEASE_MARGIN_MS
        lease = rollout.Lease(self._node_id, until_ms, token, epoch)
        return Write(lease, expected, now)

    def record_written(
        self, write: Write, epoch: int, version: int, clock_ms: float
    ) -> bool:
        """Record a successful write; return whether this node holds the lease.

        A write that took effect in another epoch than the one in which the row was read
        may have replaced a row of another node. Late responses to writes before the
        last one are ignored, as their fencing token is lower.

        Parameters
        ----------
        epoch, version : int
            Epoch and row version in the response.
        """
        if self._is_superseded(write):
            return False
        if epoch != write.lease.epoch:
            self._held = None
            return False
        self._held = rollout.HeldLease(write.lease, write.sent_at, clock_ms)
        self._row_version = version
        left_s = self._held.remaining_ms(write.sent_at) / 1e3
        self._in_force_until = max(self._in_force_until, write.sent_at + left_s)
        return True

    def record_conflict(self, write: Write) -> None:
        """Record that the row had another version than a write expected.

        Until the end of its lease no other node holds one, so this node may still take
        a row of an earlier epoch at once.
        """
        if not self._is_superseded(write):
            self._held = None

    def _is_superseded(self, write: Write) -> bool:
        held = self._held
        return held is not None and write.lease.fencing < held.lease.fencing

    def record_fenced(self) -> None:
        """Record that an engine has accepted a higher fencing token."""
        self._held = None
        self._in_force_until = -math.inf

"""A node's lease session: renewal, validity and revocation.

A session is one row of the table ``sessions``, keyed by the session id, which is never
reused. Revoking a session deletes its row if the row is unchanged, so a late renewal
fails.
"""

import collections.abc
import dataclasses
import math

from snipelug_core import step

TABLE = "sessions"

RENEW_S = 5.0
LEASE_S = 15.0
"""Validity in seconds on the holder's clock, from before the renewal was sent."""

REVOKE_AFTER_S = 30.0
"""Time in seconds for which an observer must see a row unchanged before it revokes
the session. Twice the lease, so clock rates may differ by almost a factor of two."""


@dataclasses.dataclass(frozen=True)
class Row:
    """A row of the table ``sessions``.

    Attributes
    ----------
    process : str
        Incarnation of the node's process.
    seq : int
        Number of the renewal; 1 for the creation.
    host, rpc_port, zone : str, int, str
        Address at which other nodes reach the node, and its availability zone.
    """

    session: str
    node: str
    process: str
    seq: int
    host: str = ""
    rpc_port: int = 0
    zone: str = ""


@dataclasses.dataclass(frozen=True)
class NodeAddress:
    """Address at which other nodes reach a node, and its availability zone."""

    host: str = ""
    rpc_port: int = 0
    zone: str = ""


@dataclasses.dataclass
class Lease:
    """The session of this process.

    Attributes
    ----------
    session : str
        Id of the current session, empty if there is none.
    version : str
        Last known version of the row.
    seq : int
        Number of the last renewal sent.
    valid_until : float
        Monotonic time of this node, in seconds.
    unanswered : dict
        Send time of each renewal whose outcome is unknown, by its number.
    """

    node: str
    process: str
    address: NodeAddress = NodeAddress()
    session: str = ""
    version: str = ""
    seq: int = 0
    sessions_created: int = 0
    valid_until: float = -math.inf
    unanswered: dict[int, float] = dataclasses.field(default_factory=dict)

    def valid(self, now: float) -> bool:
        """Return whether the lease is in force; check it right before acting."""
        return now < self.valid_until

    def drop(self) -> None:
        """Forget the session; the next renewal creates a new one."""
        self.session = ""
        self.version = ""
        self.valid_until = -math.inf
        self.unanswered.clear()


Flow = collections.abc.Generator[step.Write | step.Read, step.Event, None]


def renew(lease: Lease, now: float) -> Flow:
    """Create or renew the session once; on an unknown outcome, read the row back.

    Run only one flow at a time for a lease. Reading back may confirm a renewal that was
    sent long ago, or show that the session is gone. Because the store answers again by
    then, the lease is renewed immediately; without this, a node refused orders for up
    to 5 s after an outage.
    """
    answered_at = yield from _renew_once(lease, now)
    if answered_at is None:
        return
    if lease.valid_until - answered_at < LEASE_S - RENEW_S:
        yield from _renew_once(lease, answered_at)


def _renew_once(
    lease: Lease, now: float
) -> collections.abc.Generator[step.Write | step.Read, step.Event, float | None]:
    """Send one renewal, or resolve one whose outcome is unknown.

    Returns
    -------
    float or None
        Time at which the store answered, None if it did not.
    """
    if lease.session and not lease.version:
        answered_at = yield from _read_back(lease)
        if lease.session and not lease.version:
            # Never send a second creation of a session id: if it were delayed, it
            # could bring a revoked session back.
            lease.drop()
        return answered_at
    if not lease.session:
        lease.sessions_created += 1
        lease.seq = 0
        lease.session = f"{lease.node}@{lease.process}.{lease.sessions_created}"
    lease.seq += 1
    lease.unanswered[lease.seq] = now
    address = lease.address
    row = Row(
        lease.session,
        lease.node,
        lease.process,
        lease.seq,
        address.host,
        address.rpc_port,
        address.zone,
    )
    expect = lease.version or step.ABSENT
    event = yield step.Write(TABLE, lease.session, row, expect)
    match event.outcome:
        case step.Applied(version):
            _confirm(lease, version, lease.seq)
        case step.PreconditionFailed() | step.NoAnswer():
            return (yield from _read_back(lease))
    return event.now


def _read_back(
    lease: Lease,
) -> collections.abc.Generator[step.Read, step.Event, float | None]:
    event = yield step.Read(TABLE, lease.session, Row)
    match event.outcome:
        case step.Found(version, row):
            _confirm(lease, version, row.seq)
        case step.Missing() if lease.version:
            lease.drop()
        case step.NoAnswer():
            return None
    return event.now


def _confirm(lease: Lease, version: str, seq: int) -> None:
    """Record that the renewal with this number took effect."""
    sent_at = lease.unanswered.get(seq, -math.inf)
    lease.valid_until = max(lease.valid_until, sent_at + LEASE_S)
    if version != lease.version:
        # Every unanswered renewal expected an earlier version and can no longer
        # take effect.
        lease.unanswered.clear()
    lease.version = version


def end(lease: Lease) -> Flow:
    """Remove the session on a planned stop, after everything has been handed over."""
    key, version = lease.session, lease.version
    lease.drop()
    if key and version:
        yield step.Write(TABLE, key, None, version)


@dataclasses.dataclass(frozen=True)
class Observation:
    """Time at which this node first saw a version of a session row."""

    version: str
    seen_at: float


@dataclasses.dataclass(frozen=True)
class StaleSession:
    """A session that may be revoked.

    Attributes
    ----------
    unchanged_s : float
        Time for which the row was seen unchanged, on this node's clock.
    """

    session: str
    version: str
    unchanged_s: float


@dataclasses.dataclass
class Watch:
    """Observations of all sessions by this node, by session id."""

    observations: dict[str, Observation] = dataclasses.field(default_factory=dict)


def observe(
    watch: Watch,
    versions: collections.abc.Mapping[str, str],
    asked_at: float,
    now: float,
) -> collections.abc.Iterator[StaleSession]:
    """Process a reading of the table and yield the sessions to revoke.

    Parameters
    ----------
    watch : Watch
        Modified in place.
    versions : mapping of str to str
        Row version of each session in the reading.
    asked_at, now : float
        Monotonic times before the reading was requested and after it arrived.
    """
    for session in [name for name in watch.observations if name not in versions]:
        del watch.observations[session]
    for session, version in versions.items():
        seen = watch.observations.get(session)
        if seen is None or seen.version != version:
            watch.observations[session] = Observation(version, now)
            continue
        unchanged_s = asked_at - seen.seen_at
        if unchanged_s >= REVOKE_AFTER_S:
            yield StaleSession(session, version, unchanged_s)


def revoke(stale: StaleSession) -> step.Write:
    """Return the write that revokes a session unless it has been renewed."""
    return step.Write(TABLE, stale.session, None, stale.version)

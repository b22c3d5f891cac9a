"""A node's lease session: renewal, validity and revocation.

A session is one row of the table ``sessions``; its key is the session id,
which is never used again. Revoking deletes the row under the condition that
it is unchanged, so a late renewal fails.
"""

import collections.abc
import dataclasses
import math

from snipelug_core import step

TABLE = "sessions"

RENEW_S = 5.0
LEASE_S = 15.0
"""Validity on the holder's clock, from before the renewal was sent."""

REVOKE_AFTER_S = 30.0
"""Time that an observer sees a row unchanged before it revokes the session.
Twice the lease, so clocks may differ in rate by nearly a factor of two."""


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
        Where other nodes reach the node.
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
    """Where other nodes reach a node."""

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
        Version of the row as last known.
    seq : int
        Number of the last renewal sent.
    valid_until : float
        Monotonic time of this node, in seconds.
    unclear : dict
        When each renewal without an answer was sent, by its number.
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
        """Tell whether the lease is in force; compare right before acting."""
        return now < self.valid_until

    def drop(self) -> None:
        """Forget the session; the next renewal creates another."""
        self.session = ""
        self.version = ""
        self.valid_until = -math.inf
        self.unanswered.clear()


Flow = collections.abc.Generator[step.Write | step.Read, step.Event, None]


def renew(lease: Lease, now: float) -> Flow:
    """Create the session or renew it once, and read back an unclear outcome.

    Run one flow at a time for a lease. A read-back can confirm a renewal that
    was sent long ago, or show that the session is gone; since the store
    answers again, the lease is then renewed at once. Without this a node
    refused orders for up to 5 s after an outage.
    """
    answered_at = yield from _renew_once(lease, now)
    if answered_at is None:
        return
    if lease.valid_until - answered_at < LEASE_S - RENEW_S:
        yield from _renew_once(lease, answered_at)


def _renew_once(
    lease: Lease, now: float
) -> collections.abc.Generator[step.Write | step.Read, step.Event, float | None]:
    """Send one renewal or settle an unclear one.

    Returns
    -------
    float or None
        When the store answered, None if it stayed silent.
    """
    if lease.session and not lease.version:
        answered_at = yield from _read_back(lease)
        if lease.session and not lease.version:
            # A session id is created by one write only: a delayed second
            # creation could bring a revoked session back.
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
    """Note that the renewal with this number took effect."""
    sent_at = lease.unanswered.get(seq, -math.inf)
    lease.valid_until = max(lease.valid_until, sent_at + LEASE_S)
    if version != lease.version:
        # Every unclear renewal expected the version before this one.
        lease.unanswered.clear()
    lease.version = version


def end(lease: Lease) -> Flow:
    """Remove the session in a planned stop, after everything was handed over."""
    key, version = lease.session, lease.version
    lease.drop()
    if key and version:
        yield step.Write(TABLE, key, None, version)


@dataclasses.dataclass(frozen=True)
class Observation:
    """When this node first saw a version of a session row."""

    version: str
    seen_at: float


@dataclasses.dataclass(frozen=True)
class StaleSession:
    """A session that may be revoked.

    Attributes
    ----------
    unchanged_s : float
        Time that the row was seen unchanged, on this node's clock.
    """

    session: str
    version: str
    unchanged_s: float


@dataclasses.dataclass
class Watch:
    """What this node has seen of all sessions, by session id."""

    observations: dict[str, Observation] = dataclasses.field(default_factory=dict)


def observe(
    watch: Watch,
    versions: collections.abc.Mapping[str, str],
    asked_at: float,
    now: float,
) -> collections.abc.Iterator[StaleSession]:
    """Take in a reading of the table and yield the sessions to revoke.

    Parameters
    ----------
    watch : Watch
        Changed in place.
    versions : mapping of str to str
        Row version of each session in the reading.
    asked_at, now : float
        Monotonic time before the reading was asked for and after it arrived.
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
    """Return the write that revokes a session unless it was renewed."""
    return step.Write(TABLE, stale.session, None, stale.version)

"""Ownership of team limits, as used by the limiter."""

import collections.abc
import dataclasses

import trio

from snipelug_core import contract, ownership
from snipelug_node import lease


@dataclasses.dataclass(frozen=True)
class StartOwning:
    """Start owning a team.

    Attributes
    ----------
    had_owner : bool
        False if this node created the row, so that no slice of an earlier owner
        can be in use.
    """

    team: str
    had_owner: bool


@dataclasses.dataclass(frozen=True)
class StopOwning:
    """Stop owning a team."""

    team: str


@dataclasses.dataclass(frozen=True)
class FindOwner:
    """Find the owner of a team, or acquire it if it has none.

    Attributes
    ----------
    team : str
        Team for which this node received a slice request; empty for all teams, after
        a new contract.
    """

    team: str = ""


class Teams:
    """Answers the limiter's queries about team ownership and plans its changes.

    Parameters
    ----------
    keeper : lease.Keeper
        Session and owner rows of this node.
    cfg : callable
        Returns the active configuration.
    """

    def __init__(
        self,
        keeper: lease.Keeper,
        cfg: collections.abc.Callable[[], contract.Config],
    ) -> None:
        self._keeper = keeper
        self._cfg = cfg
        self._started_teams: dict[str, float] = {}
        self._ever_started: set[str] = set()
        self._contracts: frozenset[str] = frozenset()
        self._requested_teams: set[str] = set()
        self._session = ""
        self._session_seen_at = 0.0

    def owner_of(self, team: str) -> str | None:
        """Return the node that owns a team, or None if unknown."""
        return self._keeper.owner_of(ownership.Kind.TEAM, team)

    def note_unowned_request(self, team: str) -> None:
        """Record a slice request for a team that this node does not own."""
        if self.owner_of(team) == self._keeper.node_id:
            self._requested_teams.add(team)

    def holds(self, team: str) -> bool:
        """Return whether this node owns a team now."""
        now = trio.current_time()
        return self._keeper.holds(ownership.Kind.TEAM, team, now) is not None

    def owned(self) -> list[str]:
        """Return the teams that this node owns now."""
        return [team for team in self._cfg().contracts if self.holds(team)]

    def limits_of(self, team: str) -> contract.Limits | None:
        """Return a team's limits in the active configuration, or None."""
        found = self._cfg().contracts.get(team)
        return None if found is None else found.limits

    def session_age_s(self) -> float:
        """Return the time since this node's session was created, in seconds."""
        if not self._session:
            return 0.0
        return trio.current_time() - self._session_seen_at

    def plan(self) -> collections.abc.Iterator[StartOwning | StopOwning | FindOwner]:
        """Yield the changes to the set of teams that this node owns."""
        self._observe_session()
        contracts = frozenset(self._cfg().contracts)
        if contracts - self._contracts:
            yield FindOwner()
        self._contracts = contracts
        for team in self._requested_teams & contracts:
            yield FindOwner(team)
        self._requested_teams.clear()
        for team in {*self._cfg().contracts, *self._started_teams}:
            own_since = self._own_since(team)
            known_since = self._started_teams.get(team)
            if known_since is not None and own_since is None:
                del self._started_teams[team]
                yield StopOwning(team)
            # Compares times, since the fencing token also grows when this node
            # rewrites its own row.
            if own_since is not None and own_since != known_since:
                self._started_teams[team] = own_since
                yield StartOwning(team, self._had_owner(team))

    def _own_since(self, team: str) -> float | None:
        """Return since when this node owns a team, or None if it doesn't."""
        if not self.holds(team):
            return None
        return self._keeper.owner_since(ownership.Kind.TEAM, team)

    def _had_owner(self, team: str) -> bool:
        now = trio.current_time()
        fencing_token = self._keeper.holds(ownership.Kind.TEAM, team, now)
        is_first = fencing_token == 1 and team not in self._ever_started
        self._ever_started.add(team)
        return not is_first

    def _observe_session(self) -> None:
        current = self._keeper.lease.session if self._keeper.lease.version else ""
        if current != self._session:
            self._session = current
            self._session_seen_at = trio.current_time()

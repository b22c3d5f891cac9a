"""Who owns the limits of which team, and since when this node may lend."""

import collections.abc
import dataclasses

import trio

from snipelug_core import contract, ownership
from snipelug_node import lease


@dataclasses.dataclass(frozen=True)
class StartOwning:
    """Start to own a team.

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
    """Stop to own a team."""

    team: str


@dataclasses.dataclass(frozen=True)
class FindOwner:
    """Look for teams without an owner.

    Attributes
    ----------
    team : str
        The team that this node was asked for; empty for all, because a contract
        is new.
    """

    team: str = ""


class Teams:
    """Ownership of teams as the limiter asks for it.

    Parameters
    ----------
    keeper : lease.Keeper
        Session and owner rows of this node.
    cfg : callable
        The configuration in force.
    """

    def __init__(
        self,
        keeper: lease.Keeper,
        cfg: collections.abc.Callable[[], contract.Config],
    ) -> None:
        self._keeper = keeper
        self._cfg = cfg
        self._begun: dict[str, float] = {}
        self._ever_begun: set[str] = set()
        self._contracts: frozenset[str] = frozenset()
        self._asked_for: set[str] = set()
        self._session = ""
        self._joined_at = 0.0

    def owner_of(self, team: str) -> str | None:
        """Return the node that owns a team, as far as known."""
        return self._keeper.owner_of(ownership.Kind.TEAM, team)

    def note_unowned_request(self, team: str) -> None:
        """Note that a slice of a team that this node does not own was asked for."""
        if self.owner_of(team) == self._keeper.node_id:
            self._asked_for.add(team)

    def holds(self, team: str) -> bool:
        """Return whether this node owns a team at this moment."""
        now = trio.current_time()
        return self._keeper.holds(ownership.Kind.TEAM, team, now) is not None

    def owned(self) -> list[str]:
        """Return the teams that this node owns at this moment."""
        return [team for team in self._cfg().contracts if self.holds(team)]

    def limits_of(self, team: str) -> contract.Limits | None:
        """Return a team's limits in the configuration in force."""
        found = self._cfg().contracts.get(team)
        return None if found is None else found.limits

    def session_age_s(self) -> float:
        """Return the time since this node's session was created, in seconds."""
        if not self._session:
            return 0.0
        return trio.current_time() - self._joined_at

    def plan(self) -> collections.abc.Iterator[StartOwning | StopOwning | FindOwner]:
        """Yield what changed about the teams that this node owns."""
        self._note_session()
        contracts = frozenset(self._cfg().contracts)
        if contracts - self._contracts:
            yield FindOwner()
        self._contracts = contracts
        for team in self._asked_for & contracts:
            yield FindOwner(team)
        self._asked_for.clear()
        for team in {*self._cfg().contracts, *self._begun}:
            taken_at = self._taken_at(team)
            known = self._begun.get(team)
            if known is not None and taken_at is None:
                del self._begun[team]
                yield StopOwning(team)
            # The row's number also grows when this node writes its own row again.
            if taken_at is not None and taken_at != known:
                self._begun[team] = taken_at
                yield StartOwning(team, self._had_owner(team))

    def _taken_at(self, team: str) -> float | None:
        """Return when this node took a team that it owns now."""
        if not self.holds(team):
            return None
        return self._keeper.owner_since(ownership.Kind.TEAM, team)

    def _had_owner(self, team: str) -> bool:
        now = trio.current_time()
        number = self._keeper.holds(ownership.Kind.TEAM, team, now)
        is_first = number == 1 and team not in self._ever_begun
        self._ever_begun.add(team)
        return not is_first

    def _note_session(self) -> None:
        current = self._keeper.lease.session if self._keeper.lease.version else ""
        if current != self._session:
            self._session = current
            self._joined_at = trio.current_time()

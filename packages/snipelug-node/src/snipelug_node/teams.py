"""Who owns the limits of which team, and since when this node may lend."""

import collections.abc
import dataclasses

import trio

from snipelug_core import contract, ownership
from snipelug_node import lease


@dataclasses.dataclass(frozen=True)
class Begin:
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
class End:
    """Stop to own a team."""

    team: str


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
        self._begun: dict[str, int] = {}
        self._session = ""
        self._joined_at = 0.0

    def owner_of(self, team: str) -> str | None:
        """Return the node that owns a team, as far as known."""
        return self._keeper.owner_of(ownership.Kind.TEAM, team)

    def holds(self, team: str) -> bool:
        """Return whether this node owns a team at this moment."""
        now = trio.current_time()
        return self._keeper.holds(ownership.Kind.TEAM, team, now) is not None

    def limits_of(self, team: str) -> contract.Limits | None:
        """Return a team's limits in the configuration in force."""
        found = self._cfg().contracts.get(team)
        return None if found is None else found.limits

    def joined_for(self) -> float:
        """Return the time since this node's session was created, in seconds."""
        if not self._session:
            return 0.0
        return trio.current_time() - self._joined_at

    def plan(self) -> collections.abc.Iterator[Begin | End]:
        """Yield what changed about the teams that this node owns."""
        self._note_session()
        for team in {*self._cfg().contracts, *self._begun}:
            number = self._fencing(team)
            known = self._begun.get(team)
            if number is None and known is not None:
                del self._begun[team]
                yield End(team)
            if number is not None and number != known:
                self._begun[team] = number
                yield Begin(team, had_owner=number != 1)

    def _note_session(self) -> None:
        current = self._keeper.lease.session if self._keeper.lease.version else ""
        if current != self._session:
            self._session = current
            self._joined_at = trio.current_time()

    def _fencing(self, team: str) -> int | None:
        now = trio.current_time()
        return self._keeper.holds(ownership.Kind.TEAM, team, now)

"""The active routes, services and teams."""

import dataclasses
import enum

from snipelug_core import hashing, refusal


class RepeatPolicy(enum.Enum):
    """Whether a request may be repeated when its outcome is unknown."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    RESUMABLE = "resumable"


@dataclasses.dataclass(frozen=True)
class Route:
    """Target services and guarantees for requests of one host and path prefix.

    Attributes
    ----------
    services : tuple of (str, int)
        Service names with their weights in the traffic split.
    timeout_s : float
        Maximum time until the complete response, in seconds.
    objective_s : float
        Latency objective for the response or the first event of a stream, in seconds.
    max_attempts : int
        Maximum number of upstreams that may run one request.
    priority : int
        Priority; 0 is the highest.
    """

    name: str
    host: str
    prefix: str
    services: tuple[tuple[str, int], ...]
    repeat: RepeatPolicy
    is_stream: bool = False
    timeout_s: float = 10.0
    objective_s: float = 1.0
    max_attempts: int = 1
    priority: int = 5
    allows_anonymous: bool = False


@dataclasses.dataclass(frozen=True)
class Engine:
    """Properties shared by the engines of a service.

    Attributes
    ----------
    kv_token_bytes : int
        KV cache size per token, in bytes.
    link_bits_per_s : float
        Bandwidth of an engine's KV cache transfers.
    models : tuple of str
        Models that the engines serve.
    """

    slots: int
    kv_capacity_tokens: int
    kv_token_bytes: int
    link_bits_per_s: float
    models: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Service:
    """A group of interchangeable upstreams.

    Attributes
    ----------
    cold_per_s : float
        Requests per second that a cold upstream can sustain; 0 for no limit.
    connection_limit : int
        Maximum connections to one upstream from all nodes together.
    """

    name: str
    connection_limit: int = 64
    cold_per_s: float = 0.0
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True)
class KvStore:
    """One KV cache store.

    Attributes
    ----------
    setup_s : float
        Time before a transfer starts, in seconds.
    """

    name: str
    host: str
    port: int
    zone: str
    capacity_tokens: int
    link_bits_per_s: float
    setup_s: float = 0.0

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True)
class Team:
    """A team that calls with its own API keys.

    Attributes
    ----------
    priority : int or None
        Priority of the team's requests; overrides that of the route.
    is_isolated : bool
        The team shares no KV cache blocks with other teams.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    is_isolated: bool = False


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits on requests from callers; times in seconds, sizes in bytes."""

    body_bytes: int = 4 * 1024 * 1024
    head_s: float = 10.0
    idle_s: float = 75.0


SHARED = "-"
"""Start of the names of owners of KV cache blocks that teams share."""


def _shared_owner(teams: tuple[Team, ...]) -> str:
    """Return the owner of the KV cache blocks of all teams that are not isolated.

    It is a digest of the isolated teams. A block has thus been made by a team that is
    not isolated while these are, in every configuration with the same isolated teams.
    """
    isolated = sorted({team.name.encode() for team in teams if team.is_isolated})
    if not isolated:
        return SHARED
    return SHARED + hashing.keyed_digest(b"isolated", *isolated).hex()[:12]


class Catalog:
    """One version of the routes, services, stores and teams.

    Attributes
    ----------
    shared_owner : str
        Owner of the KV cache blocks of all teams that are not isolated.

    Parameters
    ----------
    version : int
        Increases with each change.
    """

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...] = (),
        services: tuple[Service, ...] = (),
        stores: tuple[KvStore, ...] = (),
        teams: tuple[Team, ...] = (),
        limits: Limits | None = None,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = {service.name: service for service in services}
        self.stores = stores
        self.teams = teams
        self.limits = limits or Limits()
        self._team_by_name = {team.name: team for team in teams}
        self.shared_owner = _shared_owner(teams)
        self._team_by_key = {key: team for team in teams for key in team.keys}
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda route: -len(route.prefix)):
            self._routes_by_host.setdefault(route.host, []).append(route)

    def has_same_content(self, other: "Catalog") -> bool:
        """Return whether all but the version is the same."""
        return (
            self.routes == other.routes
            and self.services == other.services
            and self.stores == other.stores
            and self.teams == other.teams
            and self.limits == other.limits
        )

    def find_route(self, host: str, path: str) -> Route | refusal.Refusal:
        """Return the route of the host with the longest prefix of the path."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return refusal.refuse(refusal.NOT_FOUND, f"no route for {host}{path}")

    def owner_of(self, team: Team | None) -> str:
        """Return the owner of the KV cache blocks of a team's requests.

        A team that this configuration lacks is as it was in its own one. None stands
        for callers without a team.
        """
        if team is None:
            return self.shared_owner
        team = self._team_by_name.get(team.name, team)
        if not team.is_isolated:
            return self.shared_owner
        return hashing.keyed_digest(b"salt", team.name.encode()).hex()[:12]

    @property
    def owners(self) -> frozenset[str]:
        """All owners of KV cache blocks."""
        return frozenset(self.owner_of(team) for team in (None, *self.teams))

    def find_team(self, route: Route, key: str | None) -> Team | refusal.Refusal | None:
        """Return the team of an API key, or None for a caller without a key.

        A key that no team has is refused on all routes: its caller does not expect to
        be anonymous. Without any teams, keys mean nothing.
        """
        if not self.teams:
            return None
        if key is None and route.allows_anonymous:
            return None
        team = self._team_by_key.get(key) if key else None
        if team is not None:
            return team
        message = "no API key was given" if key is None else "the API key is unknown"
        return refusal.refuse(refusal.UNAUTHENTICATED, message)

    def pick_service(self, route: Route, request_id: str) -> str:
        """Select a service of the route by weight and by a hash of the request id."""
        total = sum(weight for _, weight in route.services)
        if len(route.services) == 1 or total <= 0:
            return route.services[0][0]
        point = hashing.rendezvous_score(request_id, route.name) % total
        for name, weight in route.services:
            point -= weight
            if point < 0:
                return name
        raise AssertionError("hash point exceeds the sum of all weights")

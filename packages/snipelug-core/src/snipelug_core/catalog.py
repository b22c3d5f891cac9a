"""The routes, services and teams in force, for requests that name a route."""

import dataclasses
import enum

from snipelug_core import hashing, refusal


class RepeatPolicy(enum.Enum):
    """What may be done again when the outcome of a request is not known."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    RESUMABLE = "resumable"


@dataclasses.dataclass(frozen=True)
class Route:
    """Where requests of one host and path go, and what callers were promised.

    Attributes
    ----------
    services : tuple of (str, int)
        Services and their shares of the requests.
    timeout_s : float
        Longest time until the final answer, in seconds.
    objective_s : float
        Time until the answer, for streams until the first event, in seconds.
    max_attempts : int
        Most upstreams that may run one request.
    priority : int
        Rank; 0 comes first.
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
    """What the model engines of a service have in common.

    Attributes
    ----------
    kv_token_bytes : int
        Size of one token's KV cache.
    link_bits_per_s : float
        Rate of an engine's transfers of KV cache.
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
    """A group of equal upstreams.

    Attributes
    ----------
    cold_per_s : float
        Requests a second that an upstream sustains while cold; 0 for no bound.
    connection_limit : int
        Connections that one upstream accepts from all nodes together.
    """

    name: str
    connection_limit: int = 64
    cold_per_s: float = 0.0
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True)
class KvStore:
    """A store instance of KV cache.

    Attributes
    ----------
    first_s : float
        Time before a transfer starts, in seconds.
    """

    name: str
    host: str
    port: int
    zone: str
    capacity_tokens: int
    link_bits_per_s: float
    setup_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Team:
    """A customer.

    Attributes
    ----------
    priority : int or None
        Rank of the team's requests; goes before the route's.
    is_isolated : bool
        The team shares no cached block with other teams.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    is_isolated: bool = False


@dataclasses.dataclass(frozen=True)
class Limits:
    """Bounds on what callers send; times in seconds, sizes in bytes."""

    body_bytes: int = 4 * 1024 * 1024
    head_s: float = 10.0
    idle_s: float = 75.0


class Catalog:
    """One version of the routes, services, stores and teams.

    Parameters
    ----------
    version : int
        Grows with each change.
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
        self._team_by_key = {key: team for team in teams for key in team.keys}
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda route: -len(route.prefix)):
            self._routes_by_host.setdefault(route.host, []).append(route)

    def find_route(self, host: str, path: str) -> Route | refusal.Refusal:
        """Return the route of the host with the longest prefix of the path."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return refusal.refuse(refusal.NOT_FOUND, f"no route for {host}{path}")

    def find_team(self, route: Route, key: str | None) -> Team | refusal.Refusal | None:
        """Return the team of a key, or None for a caller without a team.

        A key that is not known is refused only where the route asks for one.
        """
        team = self._team_by_key.get(key) if key is not None else None
        if team is not None or route.allows_anonymous or not self.teams:
            return team
        message = "no key was given" if key is None else "the key is not known"
        return refusal.refuse(refusal.UNAUTHENTICATED, message)

    def pick_service(self, route: Route, request_id: str) -> str:
        """Return one service of a route, by its shares and the request's id."""
        total = sum(weight for _, weight in route.services)
        if len(route.services) == 1 or total <= 0:
            return route.services[0][0]
        point = hashing.rendezvous_score(request_id, route.name) % total
        for name, weight in route.services:
            point -= weight
            if point < 0:
                return name
        raise AssertionError("the point lies within the sum of all weights")

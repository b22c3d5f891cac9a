"""Tests for the active routes, services and teams."""

import collections

import pytest

from snipelug_core import catalog, refusal
from tests import relay_builders

TEAM = catalog.Team("t1", ("k1", "k2"))
ROUTES = (
    relay_builders.route(name="short", prefix="/a/"),
    relay_builders.route(name="long", prefix="/a/b/"),
    relay_builders.route(name="open", prefix="/open/", allows_anonymous=True),
)
CATALOG = catalog.Catalog(1, ROUTES, teams=(TEAM,))

PATHS = [
    ("h", "/a/x", "short"),
    ("h", "/a/b/x", "long"),
    ("h", "/a/bx", "short"),
    ("h", "/c/", None),
    ("other", "/a/x", None),
]


@pytest.mark.parametrize(("host", "path", "name"), PATHS)
def test_longest_prefix_wins(host: str, path: str, name: str | None) -> None:
    """Guards against requests sent to the service of another route."""
    result = CATALOG.find_route(host, path)
    if name is None:
        assert isinstance(result, refusal.Refusal)
        assert result.kind is refusal.NOT_FOUND
    else:
        assert isinstance(result, catalog.Route)
        assert result.name == name


KEYS = [
    ("short", "k1", "t1"),
    ("short", "k2", "t1"),
    ("short", "stolen", "refused"),
    ("short", None, "refused"),
    ("open", None, None),
    ("open", "stolen", "refused"),
    ("open", "", "refused"),
    ("open", "k1", "t1"),
]


@pytest.mark.parametrize(("route_name", "key", "expected"), KEYS)
def test_team_of_api_key(
    route_name: str, key: str | None, expected: str | None
) -> None:
    """Guards against requests on behalf of a team without one of its API keys.

    A caller with an unknown key is not anonymous.
    """
    route = next(route for route in ROUTES if route.name == route_name)
    result = CATALOG.find_team(route, key)
    if expected == "refused":
        assert isinstance(result, refusal.Refusal)
        assert result.kind is refusal.UNAUTHENTICATED
    elif expected is None:
        assert result is None
    else:
        assert result == TEAM


def test_traffic_split_by_weight() -> None:
    """Guards against wrong shares, and repeated requests that change the service."""
    route = relay_builders.route(services=(("x", 90), ("y", 10)))
    ids = [f"{i:08x}" for i in range(2_000)]
    picked = [CATALOG.pick_service(route, request_id) for request_id in ids]
    assert 1_700 < collections.Counter(picked)["x"] < 1_900
    assert picked == [CATALOG.pick_service(route, request_id) for request_id in ids]

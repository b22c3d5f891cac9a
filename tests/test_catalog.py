"""Routes, teams and services in force."""

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
    """Guards against a request on another route's service."""
    found = CATALOG.find_route(host, path)
    if name is None:
        assert isinstance(found, refusal.Refusal)
        assert found.kind is refusal.NOT_FOUND
    else:
        assert isinstance(found, catalog.Route)
        assert found.name == name


KEYS = [
    ("short", "k1", "t1"),
    ("short", "k2", "t1"),
    ("short", "stolen", "refused"),
    ("short", None, "refused"),
    ("open", None, None),
    ("open", "stolen", None),
    ("open", "k1", "t1"),
]


@pytest.mark.parametrize(("route_name", "key", "expected"), KEYS)
def test_keys(route_name: str, key: str | None, expected: str | None) -> None:
    """Guards against a team's work for a caller without its key."""
    route = next(route for route in ROUTES if route.name == route_name)
    found = CATALOG.find_team(route, key)
    if expected == "refused":
        assert isinstance(found, refusal.Refusal)
        assert found.kind is refusal.UNAUTHENTICATED
    elif expected is None:
        assert found is None
    else:
        assert found == TEAM


def test_shares_of_a_split_route() -> None:
    """Guards against shares that are not kept, and against a request that moves."""
    route = relay_builders.route(services=(("x", 90), ("y", 10)))
    ids = [f"{i:08x}" for i in range(2_000)]
    picked = [CATALOG.pick_service(route, request_id) for request_id in ids]
    assert 1_700 < collections.Counter(picked)["x"] < 1_900
    assert picked == [CATALOG.pick_service(route, request_id) for request_id in ids]

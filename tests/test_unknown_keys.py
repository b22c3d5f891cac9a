"""Tests of API keys on routes for anonymous callers, over real connections."""

import collections.abc
import contextlib

import pytest
import trio

from snipelug_net import http_client
from tests import platform_world, raw_caller

OPEN_ROUTES = [
    platform_world.route("order", "/order/", "non_idempotent", "app"),
    platform_world.route("look", "/look/", "idempotent", "app", max_attempts=2),
    platform_world.route("ask", "/ask/", "streaming", "llm"),
    platform_world.route("check", "/check/", "streaming", "llm", resumable=True),
]
TARGETS = ["/order/", "/look/", "/ask/", "/check/"]
TEAM = {"name": "team-1", "priority": 2}


def configuration(*keys: str, **overrides: object) -> dict[str, object]:
    routes = [item | {"allow_anonymous": True} for item in OPEN_ROUTES]
    tenants = [TEAM | {"api_keys": list(keys)}]
    return {"routes": routes, "tenants": tenants} | overrides


async def configure(
    world: platform_world.World, version: int, **overrides: object
) -> None:
    """Write a configuration and wait until the node has read it."""
    world.configure(version, **overrides)
    (node,) = world.nodes

    def is_in_force() -> bool:
        known = node._state.catalog
        return known is not None and known.version >= version

    await platform_world.wait_until(is_in_force)


@contextlib.asynccontextmanager
async def open_deployment(
    **overrides: object,
) -> collections.abc.AsyncIterator[platform_world.World]:
    """Run one node whose routes allow anonymous callers."""
    async with platform_world.deployment(apps=1, engines=1) as world:
        await configure(world, 2, **configuration(platform_world.KEY, **overrides))
        yield world


async def send(
    caller: platform_world.Caller, target: str, **headers: str
) -> http_client.FullResponse:
    """Send a call or a prompt, as the route wants it."""
    is_prompt = target in ("/ask/", "/check/")
    if is_prompt:
        found = await caller.send_prompt(target, **headers)
    else:
        found = await caller.send("POST", target, b"x", **headers)
    assert isinstance(found, http_client.FullResponse)
    return found


def executed(world: platform_world.World) -> list[str | None]:
    """Return the team of each request that ran, in order."""
    upstreams = [*world.apps, *world.engines]
    return [item.headers.get("tenant") for u in upstreams for item in u.executed]


UNKNOWN = ["Token never-held", "token  never-held", "Token", "Token\tx"]


@pytest.mark.parametrize("target", TARGETS)
async def test_unknown_key_is_refused_where_anonymous_callers_are_served(
    target: str,
) -> None:
    """Guards against orders that run for nobody, as their caller's key is unknown."""
    async with open_deployment() as world:
        caller = platform_world.Caller(world.nodes[0])
        for value in UNKNOWN:
            response = await send(caller, target, authorization=value)
            assert response.status == 401
        resumed = await send(
            caller, target, authorization=UNKNOWN[0], last_event_id="2"
        )
        assert resumed.status == 401
        assert executed(world) == []


@pytest.mark.parametrize("target", TARGETS)
async def test_withdrawn_key_is_refused_on_a_kept_connection(target: str) -> None:
    """Guards against a caller whose key is gone and who becomes anonymous (review/10).

    The key of another team that is still held goes on.
    """
    async with open_deployment() as world:
        caller = platform_world.Caller(world.nodes[0])
        assert (await send(caller, target)).status == 200
        await configure(world, 3, **configuration("other"))
        assert (await send(caller, target)).status == 401
        response = await send(caller, target, authorization="Token other")
        assert response.status == 200
        assert executed(world) == ["team-1", "team-1"]


@pytest.mark.parametrize("target", TARGETS)
async def test_callers_without_a_key_are_served(target: str) -> None:
    """Guards against refusing anonymous callers, also with credentials of others."""
    async with open_deployment() as world:
        caller = platform_world.Caller(world.nodes[0])
        for value in ("", "Basic dXNlcjpwYXNz", "Bearer abc", "Tokens x"):
            response = await send(caller, target, authorization=value)
            assert response.status == 200
        assert executed(world) == [None] * 4


async def test_keys_mean_nothing_without_teams() -> None:
    """Guards against refusing all callers where the operator configures no teams."""
    async with open_deployment(tenants=[]) as world:
        caller = platform_world.Caller(world.nodes[0])
        response = await send(caller, "/order/", authorization="Token any")
        assert response.status == 200


async def test_request_with_two_keys_is_rejected() -> None:
    """Guards against a request that is charged to either of two teams."""
    async with open_deployment() as world:
        for keys in (("never-held", platform_world.KEY), (platform_world.KEY, "x")):
            fields = "".join(f"authorization: Token {key}\r\n" for key in keys)
            stream = await raw_caller.connect(world)
            await stream.send_all(
                b"POST /order/ HTTP/1.1\r\nhost: h.example\r\nrequest-id: a1\r\n"
                + fields.encode()
                + b"content-length: 1\r\n\r\nx"
            )
            answer = await raw_caller.read_until(stream, b"}")
            assert answer.startswith(b"HTTP/1.1 400")
            await trio.aclose_forcefully(stream)
        assert executed(world) == []


async def test_pipelined_requests_are_judged_one_by_one() -> None:
    """Guards against a request that runs with the key of the one before it."""
    async with open_deployment() as world:
        stream = await raw_caller.connect(world)
        data = b""
        for number, key in enumerate((platform_world.KEY, "never-held")):
            data += (
                b"POST /order/ HTTP/1.1\r\nhost: h.example\r\nrequest-id: a%d\r\n"
                b"authorization: Token %b\r\ncontent-length: 1\r\n\r\nx"
                % (number, key.encode())
            )
        await stream.send_all(data)
        answer = b""
        with trio.fail_after(5.0):
            while b"HTTP/1.1 401" not in answer:
                answer += await stream.receive_some()
        assert answer.count(b"HTTP/1.1 200") == 1
        assert answer.count(b"HTTP/1.1 401") == 1
        assert executed(world) == ["team-1"]

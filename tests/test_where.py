"""Tests of the command that explains where a request would be sent."""

import collections.abc
import contextlib
import typing

import pytest
import trio
import typer.testing

from snipelug_cli import main, where
from snipelug_net import http_client, http_server
from snipelug_relay import preview
from tests import platform_world

HOST = platform_world.HOST
PROMPT = {"host": HOST, "path": "/check/", "model": platform_world.MODEL}


@contextlib.asynccontextmanager
async def explained_node() -> collections.abc.AsyncIterator[
    tuple[platform_world.World, http_client.Address]
]:
    """Run a deployment whose node explains its decisions at an address."""
    async with platform_world.deployment(apps=2, engines=2) as world:
        server = http_server.Server(world.nodes[0]._handle_metrics)
        port = await world.nursery.start(server.serve, "127.0.0.1", 0)
        yield world, ("127.0.0.1", port)


async def explain(
    addr: http_client.Address, **query: object
) -> dict[str, typing.Any] | str:
    found = await where.ask(addr, query)
    assert not isinstance(found, http_client.NotSent), found
    return found


async def test_prompt_is_explained_and_not_sent() -> None:
    """Guards against an explanation that sends or counts the request."""
    async with explained_node() as (world, addr):
        node = world.nodes[0]
        received = node._state.requests_received
        found = await explain(addr, **PROMPT, parts="ab:3000,cd:200", output_tokens=20)
        assert isinstance(found, dict)
        assert found["decision"] == "send"
        assert found["route"] == "check"
        costs = [row["cost_ms"] for row in found["upstreams"]]
        assert len(costs) == 2
        assert costs == sorted(costs)
        assert found["upstream"] == found["upstreams"][0]["upstream"]
        assert node._state.requests_received == received
        assert not any(engine.executed for engine in world.engines)


async def test_explanation_agrees_with_the_decision() -> None:
    """Guards against an explanation by other rules than those of the decision."""
    async with explained_node() as (world, addr):
        idle, busy = world.engines
        upstreams = world.nodes[0]._state.fleet.upstreams
        upstreams[busy.id].prefill_tokens = 200_000
        found = await explain(addr, **PROMPT, parts="ab:3000,cd:200")
        assert isinstance(found, dict)
        assert found["upstream"] == idle.id
        upstreams[idle.id].prefill_tokens = 200_000
        found = await explain(addr, **PROMPT, parts="ab:3000,cd:200", left_s=2.0)
        assert isinstance(found, dict)
        assert (found["decision"], found["code"]) == ("refuse", "overloaded")
        assert found["retry_after_s"] > 0


async def test_excluded_upstreams_have_a_reason() -> None:
    """Guards against upstreams that are left out in silence."""
    async with explained_node() as (world, addr):
        away = world.engines[0].id
        world.nodes[0]._state.fleet.upstreams[away].switching_until = 1e12
        found = await explain(addr, **PROMPT)
        assert isinstance(found, dict)
        assert found["excluded"] == {away: "it loads weights"}
        assert [row["upstream"] for row in found["upstreams"]] == [world.engines[1].id]


WRONG = [
    ({}, "host and path are required"),
    ({"host": HOST, "path": "/none/"}, "no route"),
    ({"host": HOST, "path": "/look/", "team": "nobody"}, "no team"),
    ({"host": HOST, "path": "/look/", "service": "llm"}, "no service"),
    ({**PROMPT, "parts": "ab-30"}, "ID:TOKENS"),
    ({**PROMPT, "left_s": "nan"}, "no number"),
    ({**PROMPT, "output_tokens": "1e9"}, "no number"),
    ({**PROMPT, "color": "red"}, "unknown parameters: color"),
]


@pytest.mark.parametrize(("query", "expected"), WRONG)
async def test_wrong_questions_get_a_clear_error(
    query: dict[str, object], expected: str
) -> None:
    """Guards against explanations of another request than the one in question."""
    async with explained_node() as (_, addr):
        found = await explain(addr, **query)
        assert isinstance(found, str)
        assert expected in found


def test_large_bodies_are_not_allocated() -> None:
    """Guards against a question that takes the memory of a node."""
    query = preview.parse({"host": "h", "path": "/", "body_bytes": "9" * 9})
    assert isinstance(query, preview.Query)
    assert isinstance(
        preview.parse({"host": "h", "path": "/", "body_bytes": "9" * 10}), str
    )


async def test_command_prints_the_decision() -> None:
    """Guards against a command that hides the reason of a decision."""
    async with explained_node() as (_, addr):
        runner = typer.testing.CliRunner()
        args = ["where", "--node", f"{addr[0]}:{addr[1]}", "--host", HOST]
        args += ["--path", "/look/"]
        found = await trio.to_thread.run_sync(runner.invoke, main.app, args)
        assert found.exit_code == 0, found.output
        assert "lowest expected cost" in found.output


def test_node_that_does_not_answer_is_reported() -> None:
    """Guards against a command that ends in a traceback."""
    runner = typer.testing.CliRunner()
    args = ["where", "--node", "127.0.0.1:1", "--host", "h", "--path", "/"]
    assert runner.invoke(main.app, args).exit_code == 3

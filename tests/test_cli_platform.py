"""Tests of the command that shows a deployment on the platform."""

import msgspec
import trio
import typer.testing

from snipelug_cli import calls, main
from snipelug_net import http_server
from snipelug_relay import clock, state, stats
from tests import platform_world

RUNNER = typer.testing.CliRunner()


async def invoke(*args: str) -> typer.testing.Result:
    return await trio.to_thread.run_sync(RUNNER.invoke, main.app, ["platform", *args])


async def test_platform_shows_state_of_store_and_nodes(
    nursery: trio.Nursery,
) -> None:
    """Guards against output that omits the state of the store or of a node."""
    async with platform_world.deployment(
        apps=1, engines=1, nodes=1, has_peers=True
    ) as world:
        node_state = state.State(world.settings("n1"))

        async def serve_metrics(_req: http_server.Request) -> http_server.Response:
            return http_server.Response(200, stats.Stats().render(node_state, 0.0, 0))

        metrics_server = http_server.Server(serve_metrics)
        port = await nursery.start(metrics_server.serve, "127.0.0.1", 0)
        world.store.put("op", "version/m", {"model": "m", "version": 1})
        world.store.put("op", "evacuate/zone-b", {})
        world.store.put_raw("servers", "broken", "!")
        started_at = clock.now()
        await platform_world.wait_until(
            lambda: world.store.content("members", "n1") is not None
        )
        store = f"127.0.0.1:{world.store_port}"
        result = await invoke("--store", store, "--metrics-port", str(port), "--json")
        assert result.exit_code == calls.ExitCode.DONE, result.output
        content = msgspec.json.decode(result.output)
        assert content["configuration"] == 1
        assert content["weights"] == {"m": 1}
        assert content["zones_out"] == ["zone-b"]
        assert [text.partition(":")[0] for text in content["unreadable"]] == ["broken"]
        (node,) = content["nodes"]
        assert node["node"] == "n1"
        assert node["configuration"] == 0.0
        assert 0.0 <= node["seen_s_ago"] <= clock.now() - started_at + 5.0
        services = {row["service"]: row for row in content["upstreams"]}
        assert set(services) == {"app", "llm"}
        assert services["llm"]["weights"] == ["m 1"]
        table = await invoke("--store", store, "--metrics-port", str(port))
        assert table.exit_code == calls.ExitCode.DONE
        assert "Upstreams" in table.output
        nursery.cancel_scope.cancel()


async def test_platform_reports_unavailable_store() -> None:
    """Guards against empty tables instead of an error if the store is unavailable."""
    result = await invoke("--store", "127.0.0.1:1")
    assert result.exit_code == calls.ExitCode.UNREACHABLE
    assert "the store does not answer" in result.output


async def test_platform_rejects_invalid_address() -> None:
    """Guards against a traceback for an invalid address."""
    result = await invoke("--store", "nowhere")
    assert result.exit_code == calls.ExitCode.INVALID
    assert "'nowhere' is not IP:PORT" in result.output

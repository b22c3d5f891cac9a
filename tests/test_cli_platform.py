"""The operators' view of a deployment on the platform."""

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


async def test_platform_shows_what_the_store_and_the_nodes_tell(
    nursery: trio.Nursery,
) -> None:
    """Guards against operators who do not see what a node believes."""
    async with platform_world.deployment(
        apps=1, engines=1, nodes=1, has_peers=True
    ) as world:
        beliefs = state.State(world.settings("n1"))

        async def tell(_req: http_server.Request) -> http_server.Response:
            return http_server.Response(200, stats.Stats().render(beliefs, 0.0, 0))

        metrics = http_server.Server(tell)
        port = await nursery.start(metrics.serve, "127.0.0.1", 0)
        world.store.put("op", "version/m", {"model": "m", "version": 1})
        world.store.put("op", "evacuate/zone-b", {})
        world.store.put_raw("servers", "broken", "!")
        began = clock.now()
        await platform_world.until(
            lambda: world.store.content("members", "n1") is not None
        )
        store = f"127.0.0.1:{world.store_port}"
        result = await invoke("--store", store, "--metrics-port", str(port), "--json")
        assert result.exit_code == calls.Exit.DONE, result.output
        content = msgspec.json.decode(result.output)
        assert content["configuration"] == 1
        assert content["weights"] == {"m": 1}
        assert content["zones_out"] == ["zone-b"]
        assert [text.partition(":")[0] for text in content["unreadable"]] == ["broken"]
        (node,) = content["nodes"]
        assert node["node"] == "n1"
        assert node["configuration"] == 0.0
        assert 0.0 <= node["seen_s_ago"] <= clock.now() - began + 5.0
        services = {row["service"]: row for row in content["upstreams"]}
        assert set(services) == {"app", "llm"}
        assert services["llm"]["weights"] == ["m 1"]
        table = await invoke("--store", store, "--metrics-port", str(port))
        assert table.exit_code == calls.Exit.DONE
        assert "Upstreams" in table.output
        nursery.cancel_scope.cancel()


async def test_platform_says_that_the_store_is_away() -> None:
    """Guards against empty tables in place of an error."""
    result = await invoke("--store", "127.0.0.1:1")
    assert result.exit_code == calls.Exit.UNREACHABLE
    assert "the store does not answer" in result.output


async def test_platform_checks_its_address() -> None:
    """Guards against a traceback for a mistyped address."""
    result = await invoke("--store", "nowhere")
    assert result.exit_code == calls.Exit.INVALID
    assert "'nowhere' is not IP:PORT" in result.output

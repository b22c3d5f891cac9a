"""Demonstration: a whole deployment of processes on loopback, with real requests."""

import dataclasses
import pathlib
import signal
import sys
import tempfile
import typing

import rich.console
import rich.table
import trio
import typer

from tests import callers, cluster, deployment

SAMPLE = "tas-north"
DOSSIER_BYTES = 80_000
# Long enough for the node to move the dossier's blocks to a store.
GAP_S = 4.0
TIME_LIMIT_S = 85.0
FILLER_REQUESTS = 4
ORDER_ID = "demo-order-1"


@dataclasses.dataclass
class Line:
    """One row of the printed table."""

    what: str
    result: callers.Result


def dossier(letter: str) -> str:
    """Return a long text that differs between letters."""
    words = (f"{letter}{i:06d}" for i in range(DOSSIER_BYTES // 8))
    return " ".join(words)


async def ask(
    deployed: deployment.Deployment,
    number: int,
    what: str,
    conversation: list[dict[str, str]],
) -> Line:
    """Ask the sample's model through one node."""
    result = await callers.chat(
        deployed.running.pool,
        deployed.nodes[number],
        deployment.TEAM,
        deployed.sample.model,
        conversation,
    )
    return Line(what, result)


async def forget(deployed: deployment.Deployment, upstream: str) -> None:
    """Fill the memory of one engine with other prompts, as time does."""
    number = int(upstream.rpartition("-")[2]) - 1
    child = deployed.engines[number]
    for index in range(FILLER_REQUESTS):
        conversation = callers.messages(dossier(f"f{index}"))
        body = {"model": "filler", "messages": conversation, "max_tokens": 1}
        await deployed.running.call(child, "POST", callers.CHAT, body)


async def order(deployed: deployment.Deployment, number: int, what: str) -> Line:
    """Place the demonstration's one order through one node."""
    target = f"/services/{deployed.sample.service['name']}/orders"
    node = deployed.nodes[number]
    result = await callers.order(
        deployed.running.pool, node, deployment.TEAM, target, ORDER_ID
    )
    return Line(what, result)


async def run_requests(deployed: deployment.Deployment) -> list[Line]:
    """Send the requests of the demonstration; return what they brought."""
    first = callers.messages(dossier("d"))
    lines = [await ask(deployed, 0, "dossier, first time", first)]
    for number in (1, 2):
        question = callers.messages(f"Is alloy {number} fit for a fire grate?")
        lines.append(await ask(deployed, number, "short question", question))
    await trio.sleep(GAP_S)
    if lines[0].result.upstream:
        await forget(deployed, lines[0].result.upstream)
    again = [*first, {"role": "assistant", "content": "Noted."}]
    again += callers.messages("Which clause limits the wall thickness?")
    lines.append(await ask(deployed, 3, "dossier, after a gap", again))
    lines.append(await order(deployed, 4, "order"))
    lines.append(await order(deployed, 5, "same order, other node"))
    return lines


def show(lines: list[Line], order_runs: int) -> None:
    """Print the table."""
    shown = rich.table.Table(title=f"snipelug demo, sample {SAMPLE}")
    for name in ("request", "answer", "node", "upstream"):
        shown.add_column(name, no_wrap=name == "request")
    for name in ("first token ms", "cached tokens", "recomputed tokens", "order runs"):
        shown.add_column(name, justify="right")
    for line in lines:
        shown.add_row(*cells(line, order_runs))
    rich.console.Console(width=118).print(shown)


def cells(line: Line, order_runs: int) -> list[str]:
    """Return the texts of one row."""
    result = line.result
    answer = "whole" if result.whole else result.code or result.problem
    head = [line.what, answer, result.node, result.upstream]
    if not result.usage:
        return [*head, "", "", "", str(order_runs)]
    cached = result.usage.get("cached_tokens", 0)
    recomputed = result.usage["prompt_tokens"] - cached
    first_token = f"{result.first_token_s * 1000:.0f}"
    return [*head, first_token, str(cached), str(recomputed), ""]


async def count_runs(deployed: deployment.Deployment) -> int:
    """Return how often the order ran, over all instances of the service."""
    stats = [await deployed.running.stats(child) for child in deployed.services]
    return sum(s["orders"].get(ORDER_ID, 0) for s in stats)


def show_use(deployed: deployment.Deployment) -> None:
    """Print how to send requests to the deployment and operate it."""
    ports = deployed.ports[0]
    key = deployment.bearer_key(deployment.TEAM)
    print(
        f"Node 1 serves callers at http://127.0.0.1:{ports.http}; "
        "Ctrl-C ends all processes.\n\n"
        f"export KEY={key} NODE=http://127.0.0.1:{ports.http}\n"
        f"export SNIPELUG_ADMIN_URL=http://127.0.0.1:{ports.admin} "
        f"SNIPELUG_ADMIN_KEY={deployment.ADMIN_KEY}\n",
        flush=True,
    )


async def stay(deployed: deployment.Deployment) -> None:
    """Show how to use the deployment and serve until a signal ends the process."""
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        # A user may send the signal as soon as this is printed.
        show_use(deployed)
        await anext(signals)


async def main(stays: bool) -> int:
    """Run the demonstration, or serve until a signal; return the exit code."""
    sample = deployment.read_sample(SAMPLE)
    with tempfile.TemporaryDirectory(prefix="snipelug-demo-") as directory:
        async with cluster.open_cluster(pathlib.Path(directory)) as running:
            if stays:
                await stay(await deployment.start(running, sample))
                return 0
            with trio.move_on_after(TIME_LIMIT_S):
                deployed = await deployment.start(running, sample)
                lines = await run_requests(deployed)
                runs = await count_runs(deployed)
                show(lines, runs)
                whole = all(line.result.whole for line in lines)
                return 0 if whole and runs == 1 else 1
    print(f"demo: not finished after {TIME_LIMIT_S} s", file=sys.stderr)
    return 1


def command(
    stay: typing.Annotated[
        bool,
        typer.Option("--stay", help="Serve until Ctrl-C, for requests of your own."),
    ] = False,
) -> None:
    """Start a whole deployment on loopback and send real requests."""
    sys.exit(trio.run(main, stay))


if __name__ == "__main__":
    typer.run(command)

"""Cost of real nodes: ``python -m bench.node`` writes ``build/bench_node.json``."""

import argparse
import dataclasses
import json
import os
import pathlib
import tempfile

import trio

from bench import control, relay
from tests import cluster

NODE_COUNTS = (6, 24, 48)
UPSTREAMS = 6
OUT = pathlib.Path("build") / "bench_node.json"


async def measure_load() -> dict[str, object]:
    """Measure one node under load."""
    with tempfile.TemporaryDirectory() as logs:
        async with cluster.open_cluster(pathlib.Path(logs)) as running:
            return await relay.run(running)


async def measure_idle(node_counts: list[int]) -> dict[str, object]:
    """Measure idle deployments of several sizes.

    Each row has the load average of the machine at its end, because processor time
    per call grows when other processes use the same cores.
    """
    idle = []
    for nodes in node_counts:
        with tempfile.TemporaryDirectory() as logs:
            async with cluster.open_cluster(pathlib.Path(logs)) as running:
                found = await control.measure(running, nodes, UPSTREAMS)
                row = dataclasses.asdict(found) | {"load_average": os.getloadavg()[0]}
                idle.append(row)
    return {"idle": idle}


def main() -> None:
    """Run and print the measurements."""
    parser = argparse.ArgumentParser(prog="python -m bench.node")
    parser.add_argument(
        "--idle",
        type=int,
        nargs="+",
        metavar="N",
        help="measure only idle deployments of N nodes",
    )
    only_idle = parser.parse_args().idle
    results = {} if only_idle else trio.run(measure_load)
    results |= trio.run(measure_idle, only_idle or list(NODE_COUNTS))
    OUT.parent.mkdir(exist_ok=True)
    OUT.write_text(json.dumps(results, indent=1))
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()

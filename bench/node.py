"""Cost of real nodes: ``python -m bench.node`` writes ``build/bench_node.json``."""

import dataclasses
import json
import pathlib
import tempfile

import trio

from bench import control, relay
from tests import cluster

NODE_COUNTS = (6, 24, 48)
UPSTREAMS = 6
OUT = pathlib.Path("build") / "bench_node.json"


async def measure() -> dict[str, object]:
    """Measure one node under load, then idle deployments of several sizes."""
    with tempfile.TemporaryDirectory() as logs:
        async with cluster.open_cluster(pathlib.Path(logs)) as running:
            results: dict[str, object] = await relay.run(running)
    idle = []
    for nodes in NODE_COUNTS:
        with tempfile.TemporaryDirectory() as logs:
            async with cluster.open_cluster(pathlib.Path(logs)) as running:
                found = await control.measure(running, nodes, UPSTREAMS)
                idle.append(dataclasses.asdict(found))
    return results | {"idle": idle}


def main() -> None:
    """Run and print the measurements."""
    results = trio.run(measure)
    OUT.parent.mkdir(exist_ok=True)
    OUT.write_text(json.dumps(results, indent=1))
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()

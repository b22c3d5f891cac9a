"""Cost of control: idle nodes, and the time for a change to reach all of them."""

import dataclasses
import statistics
import time

import trio

from bench import usage
from tests import cluster, deployment

SETTLE_S = 40.0
"""Longer than the half minute in which nodes read their members more often."""
MEASURE_S = 10.0
CHANGES = 5


@dataclasses.dataclass(frozen=True)
class Control:
    """Cost of idle nodes without callers.

    Attributes
    ----------
    core_share : float
        Processor time per node and second, as a share of a core.
    resident_bytes : float
        Mean resident memory of a node, in bytes.
    wire_bytes_per_s : float
        Bytes that a node sends and receives per second, with all protocol headers;
        connections that were opened or closed meanwhile are not counted.
    store_rows_per_s, store_scans_per_s, store_writes_per_s : float
        Rows read, scans and writes of all nodes together at the table service, per
        second.
    change_s : float
        Median time from the proposal of a change until it is in force everywhere.
    """

    nodes: int
    core_share: float
    resident_bytes: float
    wire_bytes_per_s: float
    store_rows_per_s: float
    store_scans_per_s: float
    store_writes_per_s: float
    change_s: float


async def _store_counts(running: deployment.Deployment) -> dict[str, int]:
    return await running.running.stats(running.tables)


async def measure(running: cluster.Cluster, nodes: int, upstreams: int) -> Control:
    """Measure a deployment of so many nodes, without callers."""
    small = deployment.read_sample("tas-north")
    started = await deployment.start(
        running, small, nodes=nodes, engines=upstreams, services=0, stores=0
    )
    await trio.sleep(SETTLE_S)
    pids = [child.pid for child in started.nodes]
    counts = await _store_counts(started)
    before = [usage.read_use(pid) for pid in pids]
    wire = usage.read_wire(pids)
    begin = time.perf_counter()
    await trio.sleep(MEASURE_S)
    elapsed_s = time.perf_counter() - begin
    wire_after = usage.read_wire(pids)
    after = [usage.read_use(pid) for pid in pids]
    counts_after = await _store_counts(started)
    carried = sum(wire_after[k] - wire[k] for k in wire.keys() & wire_after.keys())
    cpu_s = sum(b.cpu_s - a.cpu_s for a, b in zip(before, after, strict=True))
    return Control(
        nodes=nodes,
        core_share=cpu_s / nodes / elapsed_s,
        resident_bytes=statistics.mean(use.resident_bytes for use in after),
        wire_bytes_per_s=carried / nodes / elapsed_s,
        store_rows_per_s=(counts_after["reads"] - counts["reads"]) / elapsed_s,
        store_scans_per_s=(counts_after["scans"] - counts["scans"]) / elapsed_s,
        store_writes_per_s=(counts_after["writes"] - counts["writes"]) / elapsed_s,
        change_s=await _change_time(started),
    )


async def _change_time(running: deployment.Deployment) -> float:
    times = []
    for number in range(CHANGES):
        kind = "ZoneOut" if number % 2 == 0 else "ZoneIn"
        begin = time.perf_counter()
        await running.submit([{"type": kind, "zone": running.sample.zones[0]}])
        times.append(time.perf_counter() - begin)
    return statistics.median(times)

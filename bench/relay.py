"""Cost of relaying through one node: tokens per core-second, overhead, memory.

``python -m bench.relay`` runs only this part of ``bench.node``.
"""

import dataclasses
import json
import os
import pathlib
import statistics
import tempfile
import time

import msgspec
import trio

from bench import usage
from snipelug_net import http_client
from tests import cluster, deployment

TOKENS_PER_S = 33.0
"""Rate of one stream: 30 ms between tokens."""

ENGINES = 8
RELAY_STREAMS = (100, 300)
WARM_UP_S = 3.0
MEASURE_S = 6.0
ANSWER_TOKENS = 400
OVERHEAD_STREAMS = 50
OVERHEAD_REQUESTS = 200
PROBE_INTERVAL_S = 0.03


@dataclasses.dataclass(frozen=True)
class Relay:
    """Cost of streams through one node.

    Attributes
    ----------
    tokens_per_core_s : float
        Tokens relayed per second of processor time of the node.
    stream_bytes : float
        Resident memory of the node per open stream, in bytes.
    """

    streams: int
    tokens: int
    cpu_s: float
    tokens_per_core_s: float
    stream_bytes: float


@dataclasses.dataclass(frozen=True)
class Overhead:
    """Time to first token through a node and direct, in milliseconds."""

    direct_p50_ms: float
    direct_p95_ms: float
    node_p50_ms: float
    node_p95_ms: float

    @property
    def added_p95_ms(self) -> float:
        """Difference of the 95th percentiles."""
        return self.node_p95_ms - self.direct_p95_ms


def sample() -> deployment.Sample:
    """Return a deployment whose engines are not the limit."""
    small = deployment.read_sample("tas-north")
    fast = small.engine | {
        "decode_rate": TOKENS_PER_S,
        "max_batch": 1000,
        "prefill_rate": 10_000_000,
        "lag_s": 0.05,
    }
    return msgspec.structs.replace(small, engine=fast)


TEAM = "bench"
UNBOUNDED = {"in_flight": 100_000, "requests_per_s": 1e6, "tokens_per_s": 1e9}


def bench_contract() -> dict[str, object]:
    """Return the operation that adds a team whose limits are out of reach."""
    contract = {
        "team": TEAM,
        "key_hashes": [deployment.key_hash(TEAM)],
        "models": [sample().model],
        "limits": UNBOUNDED | {"queue_length": 10_000},
    }
    return {"type": "PutContract", "contract": contract}


def request(addr: http_client.Address, tokens: int, text: str) -> http_client.Call:
    """Build a streamed chat request."""
    content = {
        "model": sample().model,
        "stream": True,
        "max_tokens": tokens,
        "temperature": 0,
        "messages": [{"role": "user", "content": text}],
    }
    headers = {
        "authorization": f"Bearer {deployment.bearer_key(TEAM)}",
        "content-type": "application/json",
    }
    return http_client.Call(
        addr,
        "POST",
        "/v1/chat/completions",
        headers,
        msgspec.json.encode(content),
        timeout_s=30.0,
    )


@dataclasses.dataclass
class _Counter:
    tokens: int = 0
    failures: int = 0


async def _stream(
    pool: http_client.Pool, call: http_client.Call, out: _Counter
) -> None:
    reply = await pool.send(call)
    if not isinstance(reply, http_client.StreamingResponse) or reply.status != 200:
        out.failures += 1
        return
    while True:
        part = await reply.next_part()
        if part is None:
            return
        if isinstance(part, http_client.Lost):
            out.failures += 1
            return
        out.tokens += part.count(b"data: {")


async def measure_relay(node: cluster.Child, streams: int) -> Relay:
    """Measure the node's processor time while streams run at a constant rate."""
    pool = http_client.Pool(idle_per_addr=streams)
    counter = _Counter()
    before = usage.read_use(node.pid)
    async with trio.open_nursery() as nursery:
        call = request(node.addr, ANSWER_TOKENS, "short question")
        for _ in range(streams):
            nursery.start_soon(_stream, pool, call, counter)
            await trio.sleep(WARM_UP_S / streams)
        start, tokens = usage.read_use(node.pid), counter.tokens
        await trio.sleep(MEASURE_S)
        end, tokens = usage.read_use(node.pid), counter.tokens - tokens
        nursery.cancel_scope.cancel()
    await pool.aclose()
    if counter.failures:
        raise RuntimeError(f"{counter.failures} of {streams} streams failed")
    cpu_s = end.cpu_s - start.cpu_s
    grown = end.resident_bytes - before.resident_bytes
    return Relay(streams, tokens, cpu_s, tokens / cpu_s, grown / streams)


async def _first_parts(addr: http_client.Address) -> list[float]:
    """Return the times to the first part of short answers, in milliseconds.

    The requests come at a steady rate while `OVERHEAD_STREAMS` other streams run.
    """
    pool = http_client.Pool(idle_per_addr=2 * OVERHEAD_STREAMS)
    times: list[float] = []

    async def probe(number: int) -> None:
        call = request(addr, 4, f"question {number}")
        begin = time.perf_counter()
        reply = await pool.send(call)
        assert isinstance(reply, http_client.StreamingResponse), reply
        await reply.next_part()
        times.append((time.perf_counter() - begin) * 1000)
        await reply.read(1 << 20, 30.0)

    async with trio.open_nursery() as nursery:
        streams = request(addr, ANSWER_TOKENS, "stream")
        for _ in range(OVERHEAD_STREAMS):
            nursery.start_soon(_stream, pool, streams, _Counter())
            # Started together, all streams would bring their tokens together.
            await trio.sleep(WARM_UP_S / OVERHEAD_STREAMS)
        async with trio.open_nursery() as probes:
            for number in range(OVERHEAD_REQUESTS):
                probes.start_soon(probe, number)
                await trio.sleep(PROBE_INTERVAL_S)
        nursery.cancel_scope.cancel()
    await pool.aclose()
    return times


def _percentile(values: list[float], share: float) -> float:
    return statistics.quantiles(values, n=100)[round(share * 100) - 1]


async def measure_overhead(running: deployment.Deployment) -> Overhead:
    """Measure the time to first token through the node and at an engine."""
    through = await _first_parts(running.nodes[0].addr)
    direct = await _first_parts(running.engines[0].addr)
    return Overhead(
        _percentile(direct, 0.5),
        _percentile(direct, 0.95),
        _percentile(through, 0.5),
        _percentile(through, 0.95),
    )


async def run(running: cluster.Cluster) -> dict[str, object]:
    """Measure a node of its own deployment."""
    started = await deployment.start(
        running, sample(), nodes=1, engines=ENGINES, services=1, stores=1
    )
    await started.submit([bench_contract()])
    await trio.sleep(1.0)
    overhead = await measure_overhead(started)
    relays = [await measure_relay(started.nodes[0], n) for n in RELAY_STREAMS]
    return {
        "overhead": dataclasses.asdict(overhead)
        | {"added_p95_ms": overhead.added_p95_ms},
        "relay": [dataclasses.asdict(relay) for relay in relays],
    }


async def measure() -> dict[str, object]:
    """Measure one node; note the load of the machine, which changes the figures."""
    load_before = os.getloadavg()[0]
    with tempfile.TemporaryDirectory() as logs:
        async with cluster.open_cluster(pathlib.Path(logs)) as running:
            results = await run(running)
    return results | {"machine_load": [load_before, os.getloadavg()[0]]}


if __name__ == "__main__":
    print(json.dumps(trio.run(measure), indent=1))

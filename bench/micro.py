"""Time of one routing decision and memory of one index entry."""

import os
import random
import statistics
import time
import tracemalloc

from bench import model, workload
from snipelug_core import index, link, route, subset

FLEETS = (12, 120, 450)
ROUNDS = 7
DECISIONS = 200
ENTRIES = 20_000
PROMPT_BLOCKS = 10


def time_decisions(fleet: int, seed: int) -> float:
    """Return the median microseconds of a decision, lookup included."""
    rng = random.Random(seed)
    dep = workload.DEPLOYMENTS[0]
    shard = index.Index(64 * 1024 * 1024)
    prompts = [
        workload.chain(f"c{i}", PROMPT_BLOCKS * 2048 + 100) for i in range(DECISIONS)
    ]
    for prompt in prompts:
        source = index.Source(f"e{rng.randrange(fleet)}", "b1")
        copy = index.Source(f"s{rng.randrange(2)}", "b1", is_store=True)
        for key in prompt.keys:
            shard.apply(index.BlockAdded(source, key, 1), 0.0)
            shard.apply(index.BlockAdded(copy, key, 1, 1, "c"), 0.0)
    targets = {
        f"e{i}": route.Target(
            f"e{i}",
            dep.zones[i % 3],
            frozenset({workload.MODEL}),
            queue=rng.randrange(8),
            slots=16,
            prefill_s=1 / model.PREFILL_TOKENS_PER_S,
            weight_version=workload.WEIGHT_VERSION,
        )
        for i in range(fleet)
    }
    chosen = subset.Subset("n1")
    chosen.update({t.id: t.zone for t in targets.values()})
    links = {(s, z): link.Link(3e9) for s in ("s0", "s1") for z in dep.zones}
    cfg = workload.config(dep)
    router = route.LowestCost(route.MODES["ttft"])
    rounds = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for prompt in prompts:
            found = shard.lookup(prompt.keys, 1.0)
            facts = route.RoutingContext(cfg, found, {}, links, model.BLOCK_BYTES)
            req = route.Request(
                "r", "team0", workload.MODEL, workload.WEIGHT_VERSION, prompt
            )
            router.choose(req, chosen.select(targets), facts, rng)
        rounds.append((time.perf_counter() - started) / DECISIONS * 1e6)
    return statistics.median(rounds)


def measure_entry(locations: int) -> float:
    """Return the bytes of one index entry with a number of locations."""
    sources = [index.Source(f"s{i}", "b1", is_store=True) for i in range(locations)]
    tracemalloc.start()
    shard = index.Index(1 << 40)
    before = tracemalloc.get_traced_memory()[0]
    for i in range(ENTRIES):
        key = os.urandom(24)
        for source in sources:
            checksum = os.urandom(16).hex()
            shard.apply(
                index.BlockAdded(source, key, 1000 + i, 1000 + i, checksum), 0.0
            )
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / ENTRIES

"""Run the decision benchmark: ``python -m bench`` writes ``build/bench.json``."""

import concurrent.futures
import json
import math
import pathlib
import typing

from bench import drive, loss, micro, model, workload

SEEDS = (1, 2, 3)
LOAD_SHARE = 0.7
"""Offered prefill without any reuse, as a share of the fleet's rate."""

DURATION_S = 900.0
PROBE_RATE = 10.0
WORKERS = 4
RESULT = pathlib.Path("build/bench.json")
TTFT_TARGET = 0.5
RECOMPUTE_TARGET = 1.15
ZONE_TARGET = 2.0

Row = dict[str, typing.Any]


def arrivals_of(
    dep: workload.Deployment, duration_s: float, seed: int
) -> tuple[list[workload.Arrival], float]:
    """Return the arrivals at the fixed load, and their rate per second."""
    probe = workload.generate(dep, PROBE_RATE, duration_s, seed)
    capacity = dep.engines * model.PREFILL_TOKENS_PER_S
    rate = LOAD_SHARE * capacity / workload.mean_prefill_tokens(probe)
    return workload.generate(dep, rate, duration_s, seed), rate


def measure(
    dep: workload.Deployment, policy: drive.Policy, seed: int, duration_s: float
) -> Row:
    """Run one policy once and summarise it."""
    arrivals, rate = arrivals_of(dep, duration_s, seed)
    run = drive.Drive(dep, policy, arrivals, duration_s, seed)
    out = run.run()
    warm_up = duration_s * 0.1
    times = [t for at, t in out.ttft if at >= warm_up]

    def within(start: float, end: float) -> float:
        return model.percentile([t for at, t in out.ttft if start <= at < end], 0.95)

    links = len(run.stores) * model.LINK_BYTES_PER_S * duration_s
    return {
        "deployment": dep.name,
        "policy": policy.name,
        "seed": seed,
        "requests": out.arrived,
        "rate_per_s": rate,
        "ttft_p50_s": model.percentile(times, 0.5),
        "ttft_p95_s": model.percentile(times, 0.95),
        "ttft_p99_s": model.percentile(times, 0.99),
        "recomputed_share": out.recomputed_tokens / out.prompt_tokens,
        "link_use": out.carried_bytes / links,
        "read_share_of_link": out.read_bytes / links,
        "order_p95_s": model.percentile(out.orders, 0.95),
        "p95_before_s": within(warm_up, run.leave_at),
        "p95_out_s": within(run.leave_at, run.back_at),
        "p95_after_s": within(run.back_at, duration_s),
        "lost": out.arrived - out.answered,
        "retries": out.retries,
        "sent_to_zone_out": out.late_in_zone,
        "cold_overloads": out.cold_overloads,
        "moved_conversations": out.moved,
        "prompt_tokens": out.prompt_tokens,
        "uses": out.uses,
    }


def _measure(job: tuple[str, str, int]) -> Row:
    dep = next(d for d in workload.DEPLOYMENTS if d.name == job[0])
    policy = next(p for p in drive.POLICIES if p.name == job[1])
    return measure(dep, policy, job[2], DURATION_S)


def judge(rows: list[Row]) -> list[Row]:
    """Compare the measured values with the targets, per deployment and seed."""
    by = {(r["deployment"], r["seed"], r["policy"]): r for r in rows}
    found: list[Row] = []
    for dep, seed in sorted({(r["deployment"], r["seed"]) for r in rows}):
        ours, least = by[dep, seed, "snipelug"], by[dep, seed, "least_loaded"]
        oracle = by[dep, seed, "oracle"]
        checks = [
            ("p95 TTFT / least loaded", _ratio(ours, least, "ttft_p95_s"), TTFT_TARGET),
            (
                "p95 TTFT / least loaded, all zones in service",
                _ratio(ours, least, "p95_before_s"),
                TTFT_TARGET,
            ),
            (
                "recomputed share / oracle",
                _ratio(ours, oracle, "recomputed_share"),
                RECOMPUTE_TARGET,
            ),
            (
                "p95 while the zone is out / before",
                ours["p95_out_s"] / ours["p95_before_s"],
                ZONE_TARGET,
            ),
            ("answers lost", float(ours["lost"]), 0.0),
        ]
        found += [
            {
                "deployment": dep,
                "seed": seed,
                "check": name,
                "measured": value,
                "target": target,
                "reached": not math.isnan(value) and value <= target,
            }
            for name, value, target in checks
        ]
    return found


def split_losses(rows: list[Row]) -> list[Row]:
    """Return what only one of our policy and the oracle recomputes, by cause.

    Values are percent of all prompt tokens, one row per deployment and seed.
    """
    by = {(r["deployment"], r["seed"], r["policy"]): r for r in rows}
    found: list[Row] = []
    for dep, seed in sorted({(r["deployment"], r["seed"]) for r in rows}):
        ours = by[dep, seed, "snipelug"]
        tokens = loss.split(ours["uses"], by[dep, seed, "oracle"]["uses"])
        scale = 100 / ours["prompt_tokens"]
        shares = {c: tokens.get(c, 0) * scale for c in LOSS_COLUMNS}
        found.append({"deployment": dep, "seed": seed, **shares})
    return found


def _ratio(first: Row, second: Row, field: str) -> float:
    return float(first[field]) / float(second[field])


def table(rows: list[Row], columns: list[str]) -> str:
    """Return rows as a Markdown table."""
    lines = ["| " + " | ".join(columns) + " |", "|" + "---|" * len(columns)]
    for row in rows:
        cells = (_cell(row[c]) for c in columns)
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:.3f}" if isinstance(value, float) else str(value)


RUN_COLUMNS = [
    "deployment",
    "seed",
    "policy",
    "ttft_p50_s",
    "ttft_p95_s",
    "ttft_p99_s",
    "recomputed_share",
    "link_use",
    "read_share_of_link",
    "order_p95_s",
]
ZONE_COLUMNS = [
    "deployment",
    "seed",
    "policy",
    "p95_before_s",
    "p95_out_s",
    "p95_after_s",
    "lost",
    "sent_to_zone_out",
    "cold_overloads",
    "moved_conversations",
]
CHECK_COLUMNS = ["deployment", "seed", "check", "measured", "target", "reached"]
LOSS_COLUMNS = [*loss.Cause, loss.ORACLE_ONLY]


def main() -> None:
    """Run everything, write the result and print the tables."""
    jobs = [
        (dep.name, policy.name, seed)
        for dep in workload.DEPLOYMENTS
        for seed in SEEDS
        for policy in drive.POLICIES
    ]
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        rows = list(pool.map(_measure, jobs))
    checks = judge(rows)
    losses = split_losses(rows)
    for row in rows:
        del row["uses"]
    timings = [
        {"upstreams": n, "us_per_decision": micro.time_decisions(n, SEEDS[0])}
        for n in micro.FLEETS
    ]
    sizes = [
        {"locations": n, "bytes_per_entry": micro.measure_entry(n)} for n in (1, 2, 6)
    ]
    content = {
        "runs": rows,
        "checks": checks,
        "losses": losses,
        "decision": timings,
        "index": sizes,
    }
    RESULT.parent.mkdir(exist_ok=True)
    RESULT.write_text(json.dumps(content, indent=1) + "\n")
    print(table(rows, RUN_COLUMNS), end="\n\n")
    print(table(rows, ZONE_COLUMNS), end="\n\n")
    print(table(checks, CHECK_COLUMNS), end="\n\n")
    print(table(losses, ["deployment", "seed", *LOSS_COLUMNS]), end="\n\n")
    print(table(timings, ["upstreams", "us_per_decision"]), end="\n\n")
    print(table(sizes, ["locations", "bytes_per_entry"]))


if __name__ == "__main__":
    main()

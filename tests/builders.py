"""Builders of test data for the core package."""

import json

from snipelug_core import block, contract, load, placement, route, stream, table

BLOCK_BYTES = 10.0
INSTANCE = table.Instance("u1", table.Role.ENGINE, "127.0.0.1", 1, "esk-b")
USAGE = {"prompt_tokens": 3, "completion_tokens": 2, "cached_tokens": 1}


# Upstreams and their load.


def load_report(
    made_at: float = 10.0,
    state: table.Warmth = table.Warmth.WARM,
    seq: int = 1,
    boot_id: str = "x",
    running: int = 0,
) -> table.LoadReport:
    return table.LoadReport(boot_id, state, running, 0, seq, made_at)


def upstream(*reports: table.LoadReport) -> table.Upstream:
    result = table.Upstream(INSTANCE)
    for report in reports:
        load.accept_report(result, report, report.made_at)
    return result


# Prompts, routing and placement.


def chain(blocks: int, name: str = "c", rest: int = 0) -> block.Chain:
    keys = tuple(bytes([i]) * block.KEY_BYTES for i in range(blocks))
    return block.Chain(keys, blocks * block.BLOCK_TOKENS + rest, name)


def request(**fields: object) -> route.Request:
    values: dict[str, object] = {"weight_version": "w1", "chain": chain(4, rest=10)}
    return route.Request("r", "t", "m", **(values | fields))


def target(name: str = "e", **fields: object) -> route.Target:
    values: dict[str, object] = {"zone": "a", "serves": frozenset({"m"})}
    values |= {"prefill_s": 1e-4, "weight_version": "w1"}
    return route.Target(name, **(values | fields))


def store(name: str = "s1", zone: str = "a", **fields: object) -> placement.Store:
    values: dict[str, object] = {"free_bytes": 1000.0, "size_bytes": 1000.0}
    return placement.Store(name, zone, "b1", **(values | fields))


def prompt(blocks: int = 3, **fields: object) -> placement.Prompt:
    values: dict[str, object] = {"chance": 0.5, "block_s": 0.2}
    values |= {"block_bytes": BLOCK_BYTES, "zone": "a"}
    return placement.Prompt(chain(blocks), "t", "e1", **(values | fields))


def terms(team: str, weight: float = 1.0, queue_length: int = 99) -> contract.Contract:
    limits = contract.Limits(queue_length=queue_length)
    return contract.Contract(team, (), limits=limits, weight=weight)


# Streamed responses.


def chunk(
    text: str | None = None, run: str = "r.1", **more: object
) -> dict[str, object]:
    finish = more.pop("finish", None)
    delta = {} if text is None else {"content": text}
    choices = [{"index": 0, "delta": delta, "finish_reason": finish}]
    return {"id": run, "choices": choices, **more}


def final(run: str = "r.1", text: str | None = None) -> dict[str, object]:
    return chunk(text, run, finish="stop", usage=USAGE)


def event(content: object) -> stream.Event:
    data = content if isinstance(content, bytes) else json.dumps(content).encode()
    return stream.Event(data)

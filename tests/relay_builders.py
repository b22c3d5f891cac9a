"""Builders of test data for the relay's routing decisions."""

from snipelug_core import catalog, choice, fleet, kv_index

MODEL = "m"
ENGINE = catalog.Engine(
    slots=4,
    kv_capacity_tokens=70_000,
    kv_token_bytes=163_840,
    link_bits_per_s=5.5e11,
    models=(MODEL,),
)


def entry(upstream_id: str = "u1", **changes: object) -> fleet.Entry:
    values: dict[str, object] = {
        "service": "engines",
        "host": "10.0.0.1",
        "port": 80,
        "zone": "a",
        "slots": 4,
        "born": 1,
        "versions": {MODEL: 1},
    }
    return fleet.Entry(upstream_id, **(values | changes))  # type: ignore[arg-type]


def upstreams(*entries: fleet.Entry) -> list[fleet.Upstream]:
    registry = fleet.Fleet()
    for item in entries:
        registry.put(item, 0.0)
    return list(registry.upstreams.values())


def context(**changes: object) -> choice.Context:
    service = catalog.Service("engines", engine=ENGINE, cold_per_s=24.0)
    values: dict[str, object] = {"service": service}
    return choice.Context(**(values | changes))  # type: ignore[arg-type]


def request(*tokens: int, **changes: object) -> choice.Request:
    """Build a request with a prompt whose last part is not shared."""
    parts = tuple(choice.PromptPart(f"p{i}", n) for i, n in enumerate(tokens))
    values: dict[str, object] = {"service": "engines", "zone": "a", "parts": parts}
    if tokens:
        values |= {"model": MODEL, "version": 1}
    return choice.Request(**(values | changes))  # type: ignore[arg-type]


def route(**changes: object) -> catalog.Route:
    values: dict[str, object] = {
        "name": "r",
        "host": "h",
        "prefix": "/a/",
        "services": (("engines", 1),),
        "repeat": catalog.RepeatPolicy.IDEMPOTENT,
        "max_attempts": 2,
    }
    return catalog.Route(**(values | changes))  # type: ignore[arg-type]


def kv_store(name: str = "s1", **changes: object) -> catalog.KvStore:
    values: dict[str, object] = {
        "host": "10.0.0.9",
        "port": 90,
        "zone": "a",
        "capacity_tokens": 1_000_000,
        "link_bits_per_s": 4.2e11,
    }
    return catalog.KvStore(name, **(values | changes))  # type: ignore[arg-type]


def fresh_index(
    now: float,
    *stores: catalog.KvStore,
    read_s: float = kv_index.OLD_VERSION_READ_S,
) -> kv_index.Index:
    """Build an index whose stores have all just been polled."""
    index = kv_index.Index(read_s)
    index.set_stores(stores or (kv_store(),))
    for state in index.store_states.values():
        state.restart(1, now)
        state.saves_allowed_at = now
        state.polled_at = now
        state.clock_offset_s = 0.0
    return index

"""A tenant becomes isolated while its earlier prompts are in the KV cache."""

import itertools
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

# It sets the path of the packages, so it comes first.
import deployment  # noqa: E402, I001

import engines  # noqa: E402
import trio  # noqa: E402

import callers  # noqa: E402
from snipelug_platform_standin import store  # noqa: E402

MODEL = "daka510000"
ZONES = ("bilbao-1", "santander-1")
TENANTS = {"jeye930": deployment.KEY, "kolu114": "p4wzt0cq8rk2m6xv1hds"}
ISOLATED, OTHER = TENANTS
PART_TOKENS = 12_800
OWN_TOKENS = 300
PARTS = 6
CONFIG_APPLY_S = 2.0
STORED_AFTER_S = 3.0
"""Time after which all nodes know what the store keeps."""

HELD, BROKEN, NOT_RUN = 0, 3, 2
"""Exit codes; ``run.sh`` exits with 1 if the rule was broken, and 2 on any error."""


def config(
    version: int, kv_store: engines.KvStore, isolated: str | None
) -> dict[str, object]:
    return {
        "version": version,
        "routes": [
            {
                "name": "r-review",
                "host": deployment.HOST,
                "path_prefix": "/puxa400/",
                "kind": "streaming",
                "timeout_ms": 10_000,
                "target_latency_ms": 800,
                "priority": 1,
                "service": "redactor",
                "max_attempts": 2,
                "allow_anonymous": False,
                "sticky": True,
                "resumable": True,
                "gap_target_ms": 300,
            }
        ],
        "services": [
            {
                "name": "redactor",
                "health_path": "/health",
                "max_connections": 360,
                "cold_start_s": 3.0,
                "cold_per_s": 35.0,
                "engine": {
                    "slots": 64,
                    "kv_capacity_tokens": 77_652,
                    "kv_token_bytes": 163_840,
                    "link_mbps": 280_000.0,
                    "managed": True,
                    "models": [{"name": MODEL}],
                },
            },
            kv_store.config(),
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {
                "name": name,
                "api_keys": [key],
                "priority": 1,
                "isolated": name == isolated,
            }
            for name, key in TENANTS.items()
        ],
    }


class Case:
    def __init__(self) -> None:
        self.record = deployment.Record(FOLDER)
        self.kv_store = engines.KvStore("memoria-a", ZONES[0], 671_388, 330_000.0)
        self.engines = [
            engines.Engine("redactor", zone, MODEL, [self.kv_store], self.record.write)
            for zone in ZONES
        ]
        self.outcomes: dict[str, int] = {}
        self.numbers = itertools.count(1)

    async def send(self, node: deployment.Node, tenant: str, part: str) -> str:
        number = next(self.numbers)
        request_id = f"{number:016x}"
        parts = [(part, PART_TOKENS), (f"f{number:07x}", OWN_TOKENS)]
        self.record.write("sent", request_id, node.name, tenant, "part", part)
        outcome = await callers.send_stream(
            node,
            "/puxa400/2f",
            request_id,
            parts,
            MODEL,
            TENANTS[tenant],
            body_bytes=34_000,
        )
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        self.record.write("answered", request_id, outcome)
        return request_id

    async def run(self) -> int:
        async with trio.open_nursery() as nursery:
            rows = store.Store()
            store_port = await nursery.start(rows.serve)
            await nursery.start(self.kv_store.serve)
            for item in self.engines:
                await nursery.start(item.serve)
                rows.put("servers", item.id, item.entry())
            rows.put("op", "config", config(7, self.kv_store, None))
            rows.put("op", f"version/{MODEL}", {"model": MODEL, "version": 1})
            nodes = []
            late_ids = set()
            isolated = ISOLATED if deployment.IS_TROUBLED else None
            try:
                for number, zone in enumerate(ZONES, 1):
                    nodes.append(deployment.Node(number, store_port, zone))
                for node in nodes:
                    await node.wait_ready()
                await trio.sleep(4.0)
                parts = [f"a{i:07x}" for i in range(PARTS)]
                for part in parts:
                    await self.send(nodes[0], ISOLATED, part)
                await trio.sleep(STORED_AFTER_S)
                rows.put("op", "config", config(9, self.kv_store, isolated))
                self.record.write("configuration 9 acknowledged, isolated:", isolated)
                await trio.sleep(2 * CONFIG_APPLY_S)
                for node, part in itertools.product(nodes, parts):
                    late_ids.add(await self.send(node, OTHER, part))
            finally:
                for node in nodes:
                    node.kill()
            nursery.cancel_scope.cancel()
        late = [
            use for e in self.engines for use in e.uses if use.request_id in late_ids
        ]
        crossed = [
            use
            for use in late
            if use.made_by != use.tenant and isolated in (use.made_by, use.tenant)
        ]
        self.record.write("answers by outcome", self.outcomes)
        self.record.write(
            f"of {len(late)} uses after the change, {len(crossed)} crossed"
        )
        for use in crossed:
            self.record.write(use)
        if self.outcomes != {"200": 3 * PARTS}:
            return NOT_RUN
        return BROKEN if crossed else HELD


def main() -> None:
    case = Case()
    code = trio.run(case.run)
    case.record.write("exit", code)
    sys.exit(code)


if __name__ == "__main__":
    main()

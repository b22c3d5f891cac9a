"""Orders with a key that was taken away, on a route that allows anonymous callers."""

import itertools
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

# It sets the path of the packages, so it comes first.
import deployment  # noqa: E402, I001

import trio  # noqa: E402

from snipelug_net import http_client  # noqa: E402
from snipelug_platform_standin import server, store  # noqa: E402

ZONES = ("bilbao-1", "santander-1")
TENANT, OTHER_KEY = "jeye930", "yj8pjbvk9m68k7b2ex5w"
NEVER_HELD_KEY = "q0q0q0q0q0q0q0q0q0q0"
CONFIG_APPLY_S = 2.0
ORDERS = 20
HELD, BROKEN, NOT_RUN = 0, 3, 2
"""Exit codes; ``run.sh`` exits with 1 if the rule was broken, and 2 on any error."""


def config(version: int, keys: list[str]) -> dict[str, object]:
    return {
        "version": version,
        "routes": [
            {
                "name": "r-order",
                "host": deployment.HOST,
                "path_prefix": "/order/",
                "kind": "non_idempotent",
                "timeout_ms": 800,
                "target_latency_ms": 150,
                "priority": 2,
                "service": "ventanilla",
                "max_attempts": 1,
                "allow_anonymous": True,
            }
        ],
        "services": [{"name": "ventanilla", "max_connections": 96}],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": TENANT, "api_keys": keys, "priority": 1}],
    }


class Case:
    def __init__(self) -> None:
        self.record = deployment.Record(FOLDER)
        self.outcomes: dict[str, dict[str, int]] = {}

    async def send(
        self, pool: http_client.Pool, node: deployment.Node, what: str, i: int, key: str
    ) -> str:
        request_id = f"{what}-{i:04d}"
        headers = {
            "host": deployment.HOST,
            "request-id": request_id,
            "request-deadline": "1500",
            "authorization": f"Token {key}",
        }
        call = http_client.Call(
            (node.ip, node.port), "POST", "/order/2f", headers, b"x" * 600, 2.0
        )
        full = await pool.fetch(call)
        is_full = isinstance(full, http_client.FullResponse)
        outcome = str(full.status) if is_full else str(full)
        found = self.outcomes.setdefault(what, {})
        found[outcome] = found.get(outcome, 0) + 1
        self.record.write(request_id, node.name, outcome)
        return request_id

    async def run(self) -> int:
        async with trio.open_nursery() as nursery:
            rows, upstream = store.Store(), server.Server("ventanilla")
            store_port = await nursery.start(rows.serve)
            await nursery.start(upstream.serve)
            rows.put("servers", upstream.id, upstream.entry())
            rows.put("op", "config", config(7, [deployment.KEY, OTHER_KEY]))
            nodes = []
            wrong_ids = set()
            try:
                for number, zone in enumerate(ZONES, 1):
                    nodes.append(deployment.Node(number, store_port, zone))
                for node in nodes:
                    await node.wait_ready()
                # The clients stay connected over the change.
                pools = {node.name: http_client.Pool(1.0) for node in nodes}
                sends = list(zip(range(ORDERS), itertools.cycle(nodes), strict=False))
                for i, node in sends:
                    pool = pools[node.name]
                    await self.send(pool, node, "before", i, deployment.KEY)
                keys = [OTHER_KEY] if deployment.IS_TROUBLED else [deployment.KEY]
                rows.put("op", "config", config(9, keys))
                self.record.write("configuration 9 acknowledged, keys", keys)
                await trio.sleep(2 * CONFIG_APPLY_S)
                for i, node in sends:
                    pool = pools[node.name]
                    sent = await self.send(pool, node, "after", i, deployment.KEY)
                    if deployment.IS_TROUBLED:
                        wrong_ids.add(sent)
                        wrong_ids.add(
                            await self.send(pool, node, "never", i, NEVER_HELD_KEY)
                        )
            finally:
                for node in nodes:
                    node.kill()
            nursery.cancel_scope.cancel()
        ran = [
            (item.headers["request-id"], item.headers.get("tenant"))
            for item in upstream.executed
            if item.headers["request-id"] in wrong_ids
        ]
        for request_id, tenant in ran:
            self.record.write("ran at the server", request_id, "tenant", tenant)
        self.record.write("answers by outcome", self.outcomes)
        self.record.write(f"{len(ran)} of {len(wrong_ids)} ran without a key in force")
        if self.outcomes["before"] != {"200": ORDERS}:
            return NOT_RUN
        return BROKEN if ran else HELD


def main() -> None:
    case = Case()
    code = trio.run(case.run)
    case.record.write("exit", code)
    sys.exit(code)


if __name__ == "__main__":
    main()

"""A KV cache store returns empty while an engine reads a prompt that it will save."""

import itertools
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

# It sets the path of the packages, so it comes first.
import deployment  # noqa: E402, I001

import engines  # noqa: E402
import trio  # noqa: E402

import callers  # noqa: E402
from snipelug_platform_standin import store  # noqa: E402

MODEL = "daka510000"
ZONES = ("bilbao-1", "santander-1", "oviedo-1")
PART_TOKENS = 12_800
OWN_TOKENS = 300
BODY_BYTES = 200_000
TRIALS = 10
DOWN_S = 0.1
POLL_S = 1.0
"""Interval at which a node polls a store, as seen at the store."""

FIRST_READ_S = 0.52
"""Time that an engine needs to read and save the part, until the store reports it."""

CRASHES_AFTER_S = 0.1
"""Time from the start of the second reading to the crash."""

ASKERS, ASKED_EVERY_S = 16, 0.02
HELD, BROKEN, NOT_RUN = 0, 3, 2
"""Exit codes; ``run.sh`` exits with 1 if the rule was broken, and 2 on any error."""


def config(version: int, kv_store: engines.KvStore) -> dict[str, object]:
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
        "tenants": [{"name": "jeye930", "api_keys": [deployment.KEY], "priority": 1}],
    }


class Case:
    def __init__(self) -> None:
        self.record = deployment.Record(FOLDER)
        self.kv_store = engines.KvStore("memoria-a", ZONES[2], 671_388, 330_000.0)
        self.engines = [
            engines.Engine("redactor", zone, MODEL, [self.kv_store], self.record.write)
            for zone in ZONES
        ]
        self.nodes: dict[str, deployment.Node] = {}
        self.polls: dict[str, float] = {}
        self.owners: dict[int, str] = {}
        self.polled = trio.Event()
        self.outcomes: dict[str, int] = {}
        self.numbers = itertools.count(1)

    def on_poll(self, port: int) -> None:
        if port not in self.owners:
            pids = {node.process.pid: zone for zone, node in self.nodes.items()}
            self.owners[port] = callers.find_owner(port, pids) or "?"
        self.last_poller = self.owners[port]
        self.polls[self.last_poller] = time.monotonic()
        self.polled.set()
        self.polled = trio.Event()

    async def send(self, zone: str, part: str) -> None:
        number = next(self.numbers)
        request_id = f"{number:016x}"
        parts = [(part, PART_TOKENS), (f"f{number:07x}", OWN_TOKENS)]
        self.record.write("sent", request_id, "to the node of", zone, "part", part)
        outcome = await callers.send_stream(
            self.nodes[zone],
            "/puxa400/2f",
            request_id,
            parts,
            MODEL,
            body_bytes=BODY_BYTES,
        )
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        self.record.write("answered", request_id, outcome)

    async def wait_for_poll(self, zone: str) -> float:
        while True:
            await self.polled.wait()
            if self.last_poller == zone:
                return self.polls[zone]

    @property
    def misuses(self) -> list[engines.Use]:
        return [use for item in self.engines for use in item.uses if not use.is_whole]

    def pick_second(self, third_at: float) -> str:
        """Return the node whose poll is not due while it must not learn of the part."""

        def gap_s(zone: str) -> float:
            """Time from the third node's next poll to the next one of this node."""
            return (self.polls[zone] - third_at) % POLL_S

        return max(ZONES[:2], key=lambda zone: min(gap_s(zone), 0.9 * POLL_S))

    async def try_once(self, trial: int) -> None:
        """Have a part read twice at about the same time, and asked for by others."""
        part = f"a{trial:07x}"
        polled_at = await self.wait_for_poll(ZONES[2])
        second = self.pick_second(polled_at)
        first = next(zone for zone in ZONES[:2] if zone != second)
        async with trio.open_nursery() as nursery:
            await trio.sleep(polled_at + 2 * POLL_S - FIRST_READ_S - time.monotonic())
            nursery.start_soon(self.send, first, part)
            await self.wait_for_poll(ZONES[2])
            at = time.monotonic()
            nursery.start_soon(self.send, second, part)
            await trio.sleep(CRASHES_AFTER_S)
            if deployment.IS_TROUBLED:
                self.record.write("memoria-a crashes, down for", DOWN_S, "s")
                self.kv_store.crash(DOWN_S)
            await trio.sleep(DOWN_S)
            for _ in range(ASKERS):
                nursery.start_soon(self.send, ZONES[2], part)
                await trio.sleep(ASKED_EVERY_S)
            self.record.write(f"trial {trial} took {time.monotonic() - at:.3f} s")
        await trio.sleep(4.0)

    async def run(self) -> int:
        async with trio.open_nursery() as nursery:
            rows = store.Store()
            store_port = await nursery.start(rows.serve)
            await nursery.start(self.kv_store.serve)
            self.kv_store.on_poll = self.on_poll
            for item in self.engines:
                await nursery.start(item.serve)
                rows.put("servers", item.id, item.entry())
            rows.put("op", "config", config(7, self.kv_store))
            rows.put("op", f"version/{MODEL}", {"model": MODEL, "version": 1})
            try:
                for number, zone in enumerate(ZONES, 1):
                    self.nodes[zone] = deployment.Node(number, store_port, zone)
                    await trio.sleep(0.3)
                for node in self.nodes.values():
                    await node.wait_ready()
                await trio.sleep(6.0)
                for trial in range(1, TRIALS + 1):
                    await self.try_once(trial)
                    if self.misuses:
                        break
            finally:
                for node in self.nodes.values():
                    node.kill()
            nursery.cancel_scope.cancel()
        self.record.write("answers by outcome", self.outcomes)
        self.record.write("parts used that were not whole:", len(self.misuses))
        for use in self.misuses:
            self.record.write(use)
        if not self.outcomes.get("200"):
            return NOT_RUN
        return BROKEN if self.misuses else HELD


def main() -> None:
    case = Case()
    code = trio.run(case.run)
    case.record.write("exit", code)
    sys.exit(code)


if __name__ == "__main__":
    main()

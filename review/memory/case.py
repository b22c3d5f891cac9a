"""A few uploads of the allowed size take a node over its memory limit."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import harness  # noqa: E402
import trio  # noqa: E402

UPLOADS = 20
"""Requests that are under way at a node at the same time."""

MAX_BODY_BYTES = 4194304
USUAL_BODY_BYTES = 600
WORK_S = 0.045
WAVES = 3
CHECK_INTERVAL_S = 0.02
CALM_S = 4.0
"""Time between a start and the next uploads; longer than ``contact_ms``."""


def memory_mb(node: harness.Node) -> float:
    """Return the memory of a process without mapped files, in megabytes."""
    path = pathlib.Path(f"/proc/{node.process.pid}/status")
    for line in path.read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1000
    return 0.0


async def run(record: harness.Record) -> bool:
    ran: set[str] = set()
    answered: set[str] = set()
    ends: dict[str, int] = {}
    body = b"x" * (MAX_BODY_BYTES if harness.IS_TROUBLE else USUAL_BODY_BYTES)

    async def handle(
        server: harness.Server, message: harness.Message, conn: harness.Conn
    ) -> bool | None:
        request_id = message.headers["request-id"]
        ran.add(request_id)
        await trio.sleep(WORK_S)
        head = server.head(message, Content_Length="800")
        await conn.stream.send_all(head + b"y" * 800)
        return None

    async def watch_memory(node: harness.Node) -> None:
        """End a process over its limit and start it again, as the platform does."""
        most = 0.0
        while True:
            used = memory_mb(node) if node.process.poll() is None else 0.0
            if used > most + 20:
                most = used
                record("memory", node=node.name, mb=round(used, 1))
            if used > harness.MEMORY_MB:
                record("is killed for its memory", node=node.name, mb=round(used, 1))
                ends[node.name] = ends.get(node.name, 0) + 1
                node.stop()
                await trio.sleep(0.5)
                node.start()
                most = 0.0
            await trio.sleep(CHECK_INTERVAL_S)

    servers = [harness.Server("desk", "zone-a", handle) for _ in range(3)]
    routes = [
        harness.route(
            "permit",
            "non_idempotent",
            "desk",
            timeout_ms=1500,
            target_latency_ms=150,
        )
    ]
    async with harness.deployment(harness.config(1, routes), servers, nodes=2) as world:

        async def upload(node: harness.Node) -> None:
            client = harness.Client(node)
            request_id = client.new_id()
            began_at = time.monotonic()
            answer = None
            try:
                answer = await client.send(
                    "POST", "/permit/issue", request_id, body, 1500
                )
            except OSError as exc:
                record("client cannot send", id=request_id, error=repr(exc))
            if answer is not None:
                answered.add(request_id)
            record(
                "client gets",
                node=node.name,
                id=request_id,
                status="closed" if answer is None else answer.status,
                ms=round(1000 * (time.monotonic() - began_at)),
            )
            await client.close()

        async with trio.open_nursery() as nursery:
            for node in world.nodes:
                nursery.start_soon(watch_memory, node)
            for wave in range(WAVES):
                for node in world.nodes:
                    await node.wait_ready()
                await trio.sleep(CALM_S)
                record("wave", number=wave + 1, uploads=UPLOADS, size=len(body))
                async with trio.open_nursery() as uploads:
                    for node in world.nodes:
                        for _ in range(UPLOADS):
                            uploads.start_soon(upload, node)
                await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
    record("ended for their memory", ends=ends)
    record("ran and unanswered", count=len(ran - answered))
    return len(ends) >= 2 and min(ends.values()) >= 3


if __name__ == "__main__":
    harness.main(run, FOLDER)

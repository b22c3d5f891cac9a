"""A node keeps using a server that has left, as a node that froze tells it so."""

import collections
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import harness  # noqa: E402
import trio  # noqa: E402

CYCLES = 8
SERVERS = 3
FREEZE_S = 3.0
LEAVES_AFTER_S = 0.4
"""Time from the end of the freeze until a server leaves."""

DRAIN_S = 2.0
SERVES_ON_S = DRAIN_S + 0.4
"""A server that leaves serves for ``drain_timeout_ms`` and a little longer."""

CALM_S = 4.5
CLIENTS = 8
PAUSE_S = 0.05
WORK_S = 0.1


async def run(record: harness.Record) -> bool:
    left_at: dict[str, float] = {}
    sent_at: dict[str, float] = {}
    late: dict[str, int] = collections.Counter()
    ran: set[str] = set()
    lost: list[str] = []

    async def handle(
        server: harness.Server, message: harness.Message, conn: harness.Conn
    ) -> bool | None:
        request_id = message.headers["request-id"]
        now = trio.current_time()
        ran.add(request_id)
        bound = left_at.get(server.id, now) + DRAIN_S
        if now > bound and sent_at[request_id] > bound:
            late[server.id] += 1
            record(
                "reaches a server that has left",
                server=server.id,
                id=request_id,
                ms_after=round(1000 * (now - left_at[server.id])),
            )
        await trio.sleep(WORK_S)
        head = server.head(message, Content_Length="800")
        await conn.stream.send_all(head + b"y" * 800)
        return None

    servers = [harness.Server("desk", "zone-a", handle) for _ in range(SERVERS)]
    routes = [
        harness.route(
            "permit",
            "non_idempotent",
            "desk",
            timeout_ms=800,
            target_latency_ms=150,
        )
    ]
    configuration = harness.config(1, routes)
    async with harness.deployment(configuration, servers, nodes=2) as world:
        frozen, calm = world.nodes

        async def ask_steadily() -> None:
            """Send requests to the node that nothing happens to."""
            client = harness.Client(calm)
            while True:
                request_id = client.new_id()
                sent_at[request_id] = trio.current_time()
                answer = await client.send(
                    "POST", "/permit/issue", request_id, b"x" * 600, 1500
                )
                if answer is None or answer.status != 200:
                    status = "closed" if answer is None else answer.status
                    record("client gets", id=request_id, status=status)
                    if request_id in ran:
                        lost.append(request_id)
                await trio.sleep(PAUSE_S)

        async def end_later(server: harness.Server) -> None:
            await trio.sleep(SERVES_ON_S)
            server.end()

        async with trio.open_nursery() as nursery:
            for _ in range(CLIENTS):
                nursery.start_soon(ask_steadily)
            await trio.sleep(4.0)
            for number in range(CYCLES):
                new = harness.Server("desk", "zone-a", handle)
                await world.nursery.start(new.serve)
                world.servers.append(new)
                world.store.put("servers", new.id, new.entry())
                if harness.IS_TROUBLE:
                    record("freezes", node=frozen.name)
                    frozen.process.send_signal(signal.SIGSTOP)
                await trio.sleep(FREEZE_S)
                frozen.process.send_signal(signal.SIGCONT)
                await trio.sleep(LEAVES_AFTER_S + 0.1 * (number % 5))
                old = world.servers.pop(0)
                world.store.delete("servers", old.id)
                left_at[old.id] = trio.current_time()
                record("leaves, and its entry is removed", server=old.id)
                world.nursery.start_soon(end_later, old)
                await trio.sleep(CALM_S)
            nursery.cancel_scope.cancel()
    record(
        "requests of the calm node",
        sent=len(sent_at),
        late=sum(late.values()),
        servers=len(late),
        ran_and_lost=len(lost),
    )
    return bool(late)


if __name__ == "__main__":
    harness.main(run, FOLDER)

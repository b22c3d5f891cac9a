"""A stream whose servers pause runs on more servers than its route allows."""

import collections
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import harness  # noqa: E402
import trio  # noqa: E402

MAX_ATTEMPTS = 2
STREAMS = 10
EVENTS = 30
EVENT_INTERVAL_S = 0.05
SILENCE_S = 1.5
SILENT_RUNS = 2
"""Runs of a request in which the server falls silent once."""

STREAM_INTERVAL_S = 2.5
"""Leaves the node enough of the retry budget."""

SILENT_AFTER = 4
"""Events that a run makes before its server falls silent."""


async def run(record: harness.Record) -> bool:
    runs: dict[str, list[str]] = collections.defaultdict(list)
    ended: set[tuple[str, str]] = set()

    async def handle(
        server: harness.Server, message: harness.Message, conn: harness.Conn
    ) -> bool | None:
        request_id = message.headers["request-id"]
        first = int(message.headers.get("last-event-id", "0")) + 1
        runs[request_id].append(server.id)
        record("runs", server=server.id, id=request_id, from_event=first)
        head = server.head(
            message, Content_Type="text/event-stream", Transfer_Encoding="chunked"
        )
        await conn.stream.send_all(head)
        try:
            for number in range(first, EVENTS + 1):
                is_silent = len(runs[request_id]) <= SILENT_RUNS
                is_due = number == first + SILENT_AFTER
                if harness.IS_TROUBLE and is_silent and is_due:
                    record("is silent", server=server.id, id=request_id)
                    await trio.sleep(SILENCE_S)
                    record("goes on", server=server.id, id=request_id)
                event = b"id: %d\ndata: piece %d\n\n" % (number, number)
                await conn.stream.send_all(harness.chunk(event))
                await trio.sleep(EVENT_INTERVAL_S)
            await conn.stream.send_all(harness.chunk(b""))
        except trio.BrokenResourceError:
            record("was closed by the node", server=server.id, id=request_id)
            ended.add((request_id, server.id))
            return False
        return None

    model = [{"name": harness.MODEL, "version": 1, "adapters": []}]
    servers = [
        harness.Server("engines", "zone-a", handle, models=model) for _ in range(6)
    ]
    routes = [
        harness.route(
            "review",
            "streaming",
            "engines",
            timeout_ms=10000,
            resumable=True,
            max_attempts=MAX_ATTEMPTS,
        )
    ]
    async with harness.deployment(harness.config(1, routes), servers) as world:

        async def ask(number: int) -> None:
            client = harness.Client(world.nodes[0])
            request_id = client.new_id()
            record("client sends", id=request_id)
            answer = await client.send(
                "POST",
                "/review/1",
                request_id,
                b"x" * 200,
                10000,
                Model=harness.MODEL,
                Token_Usage="300,30",
                Prompt_Prefix=f"aa{number:02x}:100,bb{number:02x}:200",
            )
            record(
                "client gets",
                id=request_id,
                status=answer and answer.status,
                whole=answer and answer.is_complete,
                events=answer and answer.body.count(b"\n\n"),
            )
            await client.close()

        async with trio.open_nursery() as nursery:
            for number in range(STREAMS):
                nursery.start_soon(ask, number)
                await trio.sleep(STREAM_INTERVAL_S)
    over = {i: s for i, s in runs.items() if len(set(s)) > MAX_ATTEMPTS}
    for request_id, names in over.items():
        record("ran on too many servers", id=request_id, servers=",".join(names))
    record("requests on more servers than allowed", count=len(over), allowed=3)
    return len(over) > 3


if __name__ == "__main__":
    harness.main(run, FOLDER)

"""One server that sends bytes without end stops a node from answering anybody."""

import math
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import harness  # noqa: E402
import trio  # noqa: E402

ENGINES = 7
"""One of them is in trouble, a share of 0.143."""

BAD_SHARE = 0.45
"""Part of its requests that the server in trouble fails."""

TROUBLE_S = 6.5
RATES = {"ask": 17.7, "review": 1.2, "permit": 4.75, "lookup": 1.9}
"""Requests per second at one of the six machines of the site."""

TIMEOUT_MS = {"ask": 5000, "review": 10000, "permit": 800, "lookup": 800}
DEADLINE_MS = {"ask": 5000, "review": 10000, "permit": 1500, "lookup": 1500}
LENGTH_S = 24.0
TROUBLE_AT_S = 6.0
ANSWER_SLACK_S = 0.5
MIN_UNANSWERED = 8
CHUNK = harness.chunk(b":\n\n")
"""An empty comment of an event stream, as one chunk of a body."""


async def run(record: harness.Record) -> bool:
    trouble_from = math.inf
    failed = 0
    endless = 0

    async def stream(
        server: harness.Server, message: harness.Message, conn: harness.Conn
    ) -> bool | None:
        """Answer with ten events, or with comments until the caller closes."""
        nonlocal failed, endless
        if message.target.startswith("/api/"):
            await conn.stream.send_all(b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")
            return None
        request_id = message.headers["request-id"]
        server.at_work.add(request_id)
        head = server.head(
            message, Content_Type="text/event-stream", Transfer_Encoding="chunked"
        )
        now = trio.current_time()
        is_in_trouble = server is engines[0] and 0 <= now - trouble_from < TROUBLE_S
        failed += is_in_trouble
        is_bad = is_in_trouble and endless + 1 <= failed * BAD_SHARE
        endless += is_bad
        try:
            await conn.stream.send_all(head)
            if is_bad:
                record("sends without end", server=server.id, id=request_id)
                while True:
                    await conn.stream.send_all(CHUNK * 1000)
            for number in range(1, 11):
                event = b"id: %d\ndata: piece %d\n\n" % (number, number)
                await conn.stream.send_all(harness.chunk(event))
                await trio.sleep(0.05)
            await conn.stream.send_all(harness.chunk(b""))
        except trio.BrokenResourceError:
            return False
        finally:
            server.at_work.discard(request_id)
        return None

    async def answer_plainly(
        server: harness.Server, message: harness.Message, conn: harness.Conn
    ) -> bool | None:
        await trio.sleep(0.045)
        head = server.head(message, Content_Length="800")
        await conn.stream.send_all(head + b"y" * 800)
        return None

    model = [{"name": harness.MODEL, "version": 1, "adapters": []}]
    engines = [
        harness.Server("engines", "zone-a", stream, models=model)
        for _ in range(ENGINES)
    ]
    desks = [harness.Server("desk", "zone-a", answer_plainly) for _ in range(3)]
    kinds = {
        "ask": ("streaming", "engines", {"priority": 0}),
        "review": ("streaming", "engines", {"resumable": True, "max_attempts": 2}),
        "permit": ("non_idempotent", "desk", {"target_latency_ms": 150}),
        "lookup": (
            "idempotent",
            "desk",
            {"target_latency_ms": 150, "max_attempts": 2},
        ),
    }
    routes = [
        harness.route(name, kind, service, timeout_ms=TIMEOUT_MS[name], **fields)
        for name, (kind, service, fields) in kinds.items()
    ]
    took: list[tuple[str, float]] = []
    unanswered: list[str] = []
    configuration = harness.config(1, routes)
    async with harness.deployment(configuration, [*engines, *desks]) as world:
        node = world.nodes[0]

        async def ask(name: str, number: int) -> None:
            client = harness.Client(node)
            request_id = client.new_id()
            headers = {}
            if kinds[name][1] == "engines":
                headers = {
                    "Model": harness.MODEL,
                    "Token_Usage": "300,30",
                    "Prompt_Prefix": f"aa{number % 40:02x}:55,{request_id}:82",
                }
            began_at = time.monotonic()
            method = "GET" if name == "lookup" else "POST"
            answer = await client.send(
                method,
                f"/{name}/1",
                request_id,
                b"" if name == "lookup" else b"x" * 600,
                DEADLINE_MS[name],
                **headers,
            )
            took_s = time.monotonic() - began_at
            took.append((name, took_s))
            if answer is None:
                unanswered.append(request_id)
            if took_s > TIMEOUT_MS[name] / 1000 or answer is None:
                record(
                    "client gets",
                    route=name,
                    id=request_id,
                    status="nothing" if answer is None else answer.status,
                    ms=round(1000 * took_s),
                )
            await client.close()

        async def send_steadily(name: str, nursery: trio.Nursery) -> None:
            begin = trio.current_time()
            number = 0
            while number / RATES[name] < LENGTH_S:
                await trio.sleep_until(begin + number / RATES[name])
                nursery.start_soon(ask, name, number)
                number += 1

        async def ask_ready() -> None:
            stream = await trio.open_tcp_stream(harness.LOOPBACK, node.ready)
            probe = harness.Conn(stream)
            while True:
                began_at = time.monotonic()
                await stream.send_all(b"GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n")
                answer = await probe.read_message()
                passed_s = time.monotonic() - began_at
                status = answer.status if answer is not None else "nothing"
                if passed_s > 0.5:
                    record("ready", status=status, ms=round(1000 * passed_s))
                await trio.sleep(max(0.0, 1.0 - passed_s))

        if harness.IS_TROUBLE:
            trouble_from = trio.current_time() + TROUBLE_AT_S
        async with trio.open_nursery() as probes:
            probes.start_soon(ask_ready)
            async with trio.open_nursery() as nursery:
                for name in RATES:
                    nursery.start_soon(send_steadily, name, nursery)
            probes.cancel_scope.cancel()
    over = [(n, s) for n, s in took if s > TIMEOUT_MS[n] / 1000]
    later = [(n, s) for n, s in over if s > TIMEOUT_MS[n] / 1000 + ANSWER_SLACK_S]
    record("server in trouble", requests=failed, endless=endless)
    record(
        "requests",
        sent=len(took),
        unanswered_at_timeout=len(over),
        and_half_a_second_later=len(later),
        never_answered=len(unanswered),
    )
    return len(over) >= MIN_UNANSWERED and len(later) > len(over) / 2


if __name__ == "__main__":
    harness.main(run, FOLDER)

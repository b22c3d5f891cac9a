"""A tenant that becomes isolated goes on to share its earlier prompt parts."""

import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import harness  # noqa: E402
import trio  # noqa: E402

KEYS = {"clinic": "key-of-clinic", "dealer": "key-of-dealer"}
PARTS = [f"5c1e07a{number}" for number in range(5)]
AFTER_CHANGE_S = 6.0
"""Longer than ``config_apply_ms`` and ``contact_ms`` together."""

NO_SALT = ""


def tenants(is_isolated: bool) -> list[dict[str, object]]:
    clinic: dict[str, object] = {"name": "clinic", "api_keys": [KEYS["clinic"]]}
    if is_isolated:
        clinic["isolated"] = True
    return [clinic, {"name": "dealer", "api_keys": [KEYS["dealer"]]}]


async def run(record: harness.Record) -> bool:
    is_isolated = False
    foreign: list[str] = []

    async def handle(
        server: harness.Server, message: harness.Message, conn: harness.Conn
    ) -> bool | None:
        if message.target.startswith("/api/"):
            await conn.stream.send_all(b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")
            return None
        request_id = message.headers["request-id"]
        tenant = message.headers.get("tenant", "")
        salt = message.headers.get("cache-salt", NO_SALT)
        parts = [
            item.partition(":")[0].strip()
            for item in message.headers["prompt-prefix"].split(",")
        ]
        makers: dict[tuple[str, str], str] = server.cache
        used = []
        for part in parts:
            if (salt, part) not in makers:
                break
            used.append((part, makers[salt, part]))
        for part in parts:
            makers.setdefault((salt, part), tenant)
        record(
            "runs",
            server=server.id,
            id=request_id,
            tenant=tenant,
            salt=salt,
            uses=",".join(f"{part}-of-{maker}" for part, maker in used) or "nothing",
        )
        if is_isolated and any(
            maker != tenant and "clinic" in (maker, tenant) for _, maker in used
        ):
            foreign.append(request_id)
        head = server.head(
            message,
            Content_Type="text/event-stream",
            Transfer_Encoding="chunked",
            Weight_Versions="1",
        )
        events = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 4))
        await conn.stream.send_all(head + harness.chunk(events) + harness.chunk(b""))
        return None

    model = [{"name": harness.MODEL, "version": 1, "adapters": []}]
    servers = [
        harness.Server("engines", "zone-a", handle, models=model) for _ in range(2)
    ]
    routes = [
        harness.route(
            "review",
            "streaming",
            "engines",
            timeout_ms=10000,
            resumable=True,
            max_attempts=2,
            sticky=True,
        )
    ]
    configuration = harness.config(1, routes, tenants=tenants(False))
    async with harness.deployment(configuration, servers) as world:
        client = harness.Client(world.nodes[0])

        async def ask(tenant: str, part: str) -> None:
            request_id = client.new_id()
            answer = await client.send(
                "POST",
                "/review/1",
                request_id,
                b"x" * 200,
                8000,
                key=KEYS[tenant],
                Model=harness.MODEL,
                Token_Usage="13000,30",
                Prompt_Prefix=f"{part}:12800,{request_id[-8:]}:200",
            )
            record(
                "client gets",
                tenant=tenant,
                id=request_id,
                status=answer and answer.status,
            )

        for part in PARTS:
            for _ in range(2):
                await ask("clinic", part)
        record("the configuration changes", isolated=harness.IS_TROUBLE)
        configuration = harness.config(
            2, routes, tenants=tenants(is_isolated=harness.IS_TROUBLE)
        )
        world.store.put("op", "config", configuration)
        await trio.sleep(AFTER_CHANGE_S)
        is_isolated = harness.IS_TROUBLE
        for part in PARTS:
            for _ in range(2):
                await ask("dealer", part)
        await client.close()
    record("used the memory of an isolated tenant", count=len(foreign))
    return bool(foreign)


if __name__ == "__main__":
    harness.main(run, FOLDER)

"""Tests of the HTTP clients of the platform, against a scripted TCP server."""

import collections.abc
import dataclasses
import typing

import msgspec
import pytest
import trio

from snipelug_core import table
from snipelug_net import http_client
from snipelug_node import platform, ports

TIMEOUT_S = 0.3
NO_RESPONSE = b"hang"


@dataclasses.dataclass
class ScriptedServer:
    """Answers the first request on each connection with fixed bytes, then closes it."""

    answer: bytes
    received: bytes = b""

    async def handle(self, stream: trio.SocketStream) -> None:
        while not self._is_complete():
            data = await stream.receive_some(65536)
            if not data:
                return
            self.received += data
        if self.answer == NO_RESPONSE:
            await trio.sleep_forever()
        if self.answer:
            await stream.send_all(self.answer)
        await stream.aclose()

    def _is_complete(self) -> bool:
        head, separator, body = self.received.partition(b"\r\n\r\n")
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        return bool(separator) and len(body) >= length

    def head(self) -> str:
        return self.received.partition(b"\r\n\r\n")[0].decode()

    def body(self) -> bytes:
        return self.received.partition(b"\r\n\r\n")[2]


def response(status: int, body: bytes = b"", **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", "connection: close"]
    lines.append(f"content-length: {len(body)}")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def start(
    nursery: trio.Nursery, answer: bytes
) -> tuple[ScriptedServer, http_client.Address]:
    server = ScriptedServer(answer)
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, server.handle, listeners)
    return server, listeners[0].socket.getsockname()


Operation = collections.abc.Callable[
    [platform.HttpTableService], collections.abc.Awaitable[typing.Any]
]
PUT = ports.Write("t", "k", b"{}", ports.Expect.ABSENT)
DELETE = ports.Write("t", "k", None, "v1")


async def put(service: platform.HttpTableService) -> object:
    return await service.write(PUT)


async def delete(service: platform.HttpTableService) -> object:
    return await service.write(DELETE)


async def delete_any(service: platform.HttpTableService) -> object:
    return await service.write(dataclasses.replace(DELETE, expect=ports.Expect.ANY))


async def transact(service: platform.HttpTableService) -> object:
    return await service.transact([PUT, DELETE])


async def read(service: platform.HttpTableService) -> object:
    return await service.read("t", "k")


async def scan(service: platform.HttpTableService) -> object:
    return await service.scan("t")


OUTCOMES: list[tuple[Operation, bytes, object]] = [
    (put, response(200, etag='"v7"'), ports.Written("v7")),
    (put, response(201, etag='"v7"'), ports.Written("v7")),
    (put, response(412), ports.Conflict()),
    (delete, response(204), ports.Written("")),
    (delete, response(404), ports.Conflict()),
    (delete_any, response(404), ports.Written("")),
    (transact, response(200, b'{"version":"v9"}'), ports.Written("v9")),
    (transact, response(409), ports.Conflict()),
    (read, response(404), ports.Absent()),
    (
        read,
        response(200, b'{"a": 1}', etag='"v7"'),
        ports.Row("t", "k", "v7", b'{"a": 1}'),
    ),
    (
        scan,
        response(200, b'{"rows":[{"key":"k","version":"v7","content":{"a": 1}}]}'),
        [ports.Row("t", "k", "v7", b'{"a": 1}')],
    ),
]


@pytest.mark.parametrize(("operation", "answer", "expected"), OUTCOMES)
async def test_responses_become_outcomes(
    nursery: trio.Nursery, operation: Operation, answer: bytes, expected: object
) -> None:
    """Guards against a misread response, such as a conflict taken for a write."""
    _, addr = await start(nursery, answer)
    service = platform.HttpTableService(http_client.Pool(), addr, TIMEOUT_S)
    assert await operation(service) == expected
    nursery.cancel_scope.cancel()


ERRORS: list[tuple[Operation, bytes, bool]] = [
    (put, b"", True),
    (put, NO_RESPONSE, True),
    (put, b"HTTP/1.1 200 X\r\ncontent-length: 9\r\n\r\n{", True),
    (put, b"nonsense\r\n\r\n", True),
    (put, response(200), True),
    (put, response(500), True),
    (put, response(503), True),
    (put, response(400), False),
    (put, response(404), False),
    (delete, b"", True),
    (delete, response(503), True),
    (transact, b"", True),
    (transact, NO_RESPONSE, True),
    (transact, response(503), True),
    (transact, response(200, b"{}"), True),
    (transact, response(400), False),
    (read, b"", True),
    (read, NO_RESPONSE, True),
    (read, response(503), True),
    (read, response(200, b"{}"), False),
    (scan, response(503), True),
    (scan, response(200, b'{"rows":[{}]}'), True),
]


@pytest.mark.parametrize(("operation", "answer", "maybe_applied"), ERRORS)
async def test_errors_are_unavailable(
    nursery: trio.Nursery, operation: Operation, answer: bytes, maybe_applied: bool
) -> None:
    """Guards against a lost response being taken for a write that was not applied."""
    _, addr = await start(nursery, answer)
    service = platform.HttpTableService(http_client.Pool(), addr, TIMEOUT_S)
    with trio.fail_after(5):
        outcome = await operation(service)
    assert isinstance(outcome, ports.Unavailable)
    assert outcome.maybe_applied is maybe_applied
    nursery.cancel_scope.cancel()


async def test_refused_connection_is_known_not_applied() -> None:
    """Guards against re-reading a row after a write of which no byte was sent."""
    service = platform.HttpTableService(http_client.Pool(), ("127.0.0.1", 1), TIMEOUT_S)
    outcome = await service.write(PUT)
    assert isinstance(outcome, ports.Unavailable)
    assert not outcome.maybe_applied


async def test_requests_follow_the_wire_format(nursery: trio.Nursery) -> None:
    """Guards against unescaped keys and missing preconditions."""
    server, addr = await start(nursery, response(200, etag='"v2"'))
    service = platform.HttpTableService(http_client.Pool(), addr, TIMEOUT_S)
    await service.write(ports.Write("t", "a/b ?", b'{"x":1}', "v1"))
    first = server.head().split("\r\n")[0]
    assert first == "PUT /tables/t/rows/a%2Fb%20%3F HTTP/1.1"
    assert 'if-match: "v1"' in server.head().lower()
    assert server.body() == b'{"x":1}'
    server.received = b""
    await service.write(PUT)
    assert "if-none-match: *" in server.head().lower()
    server.received = b""
    await service.transact([PUT, DELETE])
    assert msgspec.json.decode(server.body()) == {
        "writes": [
            {"table": "t", "key": "k", "content": {}, "expect": "absent"},
            {"table": "t", "key": "k", "content": None, "expect": "v1"},
        ]
    }
    nursery.cancel_scope.cancel()


async def test_objects(nursery: trio.Nursery) -> None:
    """Guards against object store responses and errors being confused."""
    server, addr = await start(nursery, response(200, b"\x00\xff", etag='"1"'))
    object_store = platform.HttpObjectStore(http_client.Pool(), addr, TIMEOUT_S)
    assert await object_store.get("a/b") == b"\x00\xff"
    assert await object_store.put("a/b", b"x") == ports.Written("1")
    server.answer = response(404)
    assert await object_store.get("a/b") == ports.Absent()
    server.answer = response(503)
    assert isinstance(await object_store.get("a"), ports.Unavailable)
    assert isinstance(await object_store.put("a", b"x"), ports.Unavailable)
    nursery.cancel_scope.cancel()


ENTRY = (
    b'{"id":"n1","role":"node","host":"127.0.0.1","port":7,"zone":"z",'
    b'"name":"","state":"leaving"}'
)
INSTANCE = table.Instance("n1", table.Role.NODE, "127.0.0.1", 7, "z", "", True)
LIST_RESPONSES = [
    (b"[" + ENTRY + b"]", [INSTANCE]),
    (b"[" + ENTRY + b',{"role":"cache","id":4}]', [INSTANCE]),
    (b"[" + ENTRY.replace(b":7", b":0") + b"]", None),
    (b"[" + ENTRY.replace(b"leaving", b"gone") + b"]", None),
    (b'{"a":1}', None),
]


@pytest.mark.parametrize(("body", "expected"), LIST_RESPONSES)
async def test_instance_list(
    nursery: trio.Nursery, body: bytes, expected: list[table.Instance] | None
) -> None:
    """Guards against a malformed entry that makes an instance look removed."""
    _, addr = await start(nursery, response(200, body))
    instance_list = platform.HttpInstanceList(http_client.Pool(), addr, TIMEOUT_S)
    outcome = await instance_list.read()
    if expected is None:
        assert isinstance(outcome, ports.Unavailable)
    else:
        assert outcome == expected
    nursery.cancel_scope.cancel()

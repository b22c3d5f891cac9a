"""Adapters over HTTP for the platform's table service, object store and list.

Every method is bounded in time: connecting takes at most the pool's connect
timeout, the response head and the response body at most ``timeout_s`` each.
"""

import collections.abc
import enum
import logging
import typing
import urllib.parse

import msgspec

from snipelug_core import table
from snipelug_net import http_client
from snipelug_node import ports

LOG = logging.getLogger("snipelug.platform")

TIMEOUT_S = 2.0
TABLE_LIMIT_BYTES = 16 * 1024 * 1024
OBJECT_LIMIT_BYTES = 64 * 1024 * 1024

OK = 200
NOT_FOUND = 404
CONFLICT = 409
PRECONDITION_FAILED = 412
SERVER_ERRORS = 500


class _ScanRow(msgspec.Struct):
    key: str
    version: str
    content: msgspec.Raw


class _ScanReply(msgspec.Struct):
    rows: list[_ScanRow]


class _TransactionWrite(msgspec.Struct):
    table: str
    key: str
    content: msgspec.Raw | None
    expect: str


class _Transaction(msgspec.Struct):
    writes: list[_TransactionWrite]


class _TransactionReply(msgspec.Struct):
    version: str


class _State(enum.StrEnum):
    LIVE = "live"
    LEAVING = "leaving"


class _ListedRole(msgspec.Struct):
    role: str


class _ListedInstance(msgspec.Struct):
    id: typing.Annotated[str, msgspec.Meta(min_length=1)]
    role: table.Role
    host: typing.Annotated[str, msgspec.Meta(min_length=1)]
    port: typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
    zone: str
    state: _State
    name: str = ""


KNOWN_ROLES = frozenset(table.Role)

Structure = typing.TypeVar("Structure")


class _Endpoint:
    """One platform service, reached over a shared connection pool."""

    def __init__(
        self, pool: http_client.Pool, addr: http_client.Address, timeout_s: float
    ) -> None:
        self._pool = pool
        self._addr = addr
        self._timeout_s = timeout_s

    async def fetch(
        self,
        method: str,
        target: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        limit_bytes: int = TABLE_LIMIT_BYTES,
    ) -> http_client.FullResponse | ports.Unavailable:
        """Send one request; every transport fault becomes ``Unavailable``."""
        call = http_client.Call(
            self._addr, method, target, headers or {}, body, self._timeout_s
        )
        match await self._pool.fetch(call, limit_bytes):
            case http_client.FullResponse() as full:
                return full
            case http_client.NotSent(reason):
                return ports.Unavailable(reason, maybe_applied=False)
            case http_client.Withheld():
                return ports.Unavailable("withheld", maybe_applied=False)
            case http_client.Lost(reason):
                return ports.Unavailable(reason, maybe_applied=True)
            case http_client.TooLarge(limit):
                reason = f"the response exceeds {limit} bytes"
                return ports.Unavailable(reason, maybe_applied=True)


class HttpTableService:
    """The table service over HTTP; implements ``ports.TableService``.

    Parameters
    ----------
    pool : http_client.Pool
        Connections, which may be shared with other adapters.
    addr : http_client.Address
        Host and port of the service.
    timeout_s : float
        Time allowed for the response head and again for its body, in seconds.
    """

    def __init__(
        self,
        pool: http_client.Pool,
        addr: http_client.Address,
        timeout_s: float = TIMEOUT_S,
    ) -> None:
        self._endpoint = _Endpoint(pool, addr, timeout_s)

    async def read(
        self, table_name: str, key: str
    ) -> ports.Row | ports.Absent | ports.Unavailable:
        """Read one row."""
        full = await self._endpoint.fetch("GET", _row_target(table_name, key))
        if isinstance(full, ports.Unavailable):
            return full
        if full.status == NOT_FOUND:
            return ports.Absent()
        if full.status != OK:
            return _unexpected(full)
        version = _version_of(full)
        if not version:
            return ports.Unavailable("the row came without an ETag", False)
        return ports.Row(table_name, key, version, full.body)

    async def scan(
        self, table_name: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> list[ports.Row] | ports.Unavailable:
        """Read rows in key order."""
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "limit": limit}
        )
        target = f"/tables/{_encode(table_name)}/rows?{query}"
        full = await self._endpoint.fetch("GET", target)
        if isinstance(full, ports.Unavailable):
            return full
        if full.status != OK:
            return _unexpected(full)
        reply = _decode(full, _ScanReply)
        if isinstance(reply, ports.Unavailable):
            return reply
        return [
            ports.Row(table_name, row.key, _unquote(row.version), bytes(row.content))
            for row in reply.rows
        ]

    async def write(
        self, write: ports.Write
    ) -> ports.Written | ports.Conflict | ports.Unavailable:
        """Write or delete one row if its precondition holds."""
        method = "DELETE" if write.content is None else "PUT"
        full = await self._endpoint.fetch(
            method,
            _row_target(write.table, write.key),
            _precondition_headers(write.expect) | _content_headers(write.content),
            write.content or b"",
        )
        if isinstance(full, ports.Unavailable):
            return full
        if full.status == PRECONDITION_FAILED:
            return ports.Conflict()
        if write.content is None:
            return _deleted(full, write.expect)
        return _stored(full)

    async def transact(
        self, writes: collections.abc.Sequence[ports.Write]
    ) -> ports.Written | ports.Conflict | ports.Unavailable:
        """Apply all writes, or none if any precondition does not hold."""
        items = [_transaction_write(write) for write in writes]
        body = msgspec.json.encode(_Transaction(items))
        full = await self._endpoint.fetch(
            "POST", "/transactions", _content_headers(body), body
        )
        if isinstance(full, ports.Unavailable):
            return full
        if full.status in (CONFLICT, PRECONDITION_FAILED):
            return ports.Conflict()
        if full.status != OK:
            return _unexpected(full)
        reply = _decode(full, _TransactionReply)
        if isinstance(reply, ports.Unavailable):
            return reply
        return ports.Written(_unquote(reply.version))


class HttpObjectStore:
    """The object store over HTTP; implements ``ports.ObjectStore``."""

    def __init__(
        self,
        pool: http_client.Pool,
        addr: http_client.Address,
        timeout_s: float = TIMEOUT_S,
    ) -> None:
        self._endpoint = _Endpoint(pool, addr, timeout_s)

    async def get(self, key: str) -> bytes | ports.Absent | ports.Unavailable:
        """Read an object."""
        full = await self._endpoint.fetch(
            "GET", f"/objects/{_encode(key)}", limit_bytes=OBJECT_LIMIT_BYTES
        )
        if isinstance(full, ports.Unavailable):
            return full
        if full.status == NOT_FOUND:
            return ports.Absent()
        if full.status != OK:
            return _unexpected(full)
        return full.body

    async def put(self, key: str, content: bytes) -> ports.Written | ports.Unavailable:
        """Write an object."""
        headers = {"content-type": "application/octet-stream"}
        target = f"/objects/{_encode(key)}"
        full = await self._endpoint.fetch("PUT", target, headers, content)
        if isinstance(full, ports.Unavailable):
            return full
        return _stored(full)

    async def delete(self, key: str) -> ports.Written | ports.Unavailable:
        """Delete an object; one that does not exist counts as deleted."""
        full = await self._endpoint.fetch("DELETE", f"/objects/{_encode(key)}")
        if isinstance(full, ports.Unavailable):
            return full
        if full.status // 100 == 2 or full.status == NOT_FOUND:
            return ports.Written("")
        return _unexpected(full)


class HttpInstanceList:
    """The instance list over HTTP; implements ``ports.InstanceList``."""

    def __init__(
        self,
        pool: http_client.Pool,
        addr: http_client.Address,
        timeout_s: float = TIMEOUT_S,
    ) -> None:
        self._endpoint = _Endpoint(pool, addr, timeout_s)

    async def read(self) -> list[table.Instance] | ports.Unavailable:
        """Read the list.

        A malformed entry makes the whole list unusable: skipping it would make
        a listed instance look removed, and rights move to others on removal.
        Entries with a role unknown to this version are left out.
        """
        full = await self._endpoint.fetch("GET", "/instances")
        if isinstance(full, ports.Unavailable):
            return full
        if full.status != OK:
            return _unexpected(full)
        entries = _decode(full, list[msgspec.Raw])
        if isinstance(entries, ports.Unavailable):
            return entries
        try:
            return [
                _instance(msgspec.json.decode(entry, type=_ListedInstance))
                for entry in entries
                if msgspec.json.decode(entry, type=_ListedRole).role in KNOWN_ROLES
            ]
        except msgspec.MsgspecError as exc:
            return ports.Unavailable(f"malformed instance entry: {exc}", False)


def _encode(part: str) -> str:
    return urllib.parse.quote(part, safe="")


def _row_target(table_name: str, key: str) -> str:
    return f"/tables/{_encode(table_name)}/rows/{_encode(key)}"


def _unquote(etag: str) -> str:
    return etag.removeprefix("W/").strip('"')


def _version_of(full: http_client.FullResponse) -> str:
    return _unquote(full.headers.get("etag", ""))


def _precondition_headers(expect: ports.Precondition) -> dict[str, str]:
    if expect is ports.Expect.ABSENT:
        return {"if-none-match": "*"}
    if expect is ports.Expect.ANY:
        return {}
    return {"if-match": f'"{expect}"'}


def _content_headers(content: bytes | None) -> dict[str, str]:
    return {} if content is None else {"content-type": "application/json"}


def _transaction_write(write: ports.Write) -> _TransactionWrite:
    content = None if write.content is None else msgspec.Raw(write.content)
    expect = write.expect
    text = expect.value if isinstance(expect, ports.Expect) else expect
    return _TransactionWrite(write.table, write.key, content, text)


def _unexpected(full: http_client.FullResponse) -> ports.Unavailable:
    # Proxies also answer 5xx, 503 included, when the connection behind them
    # breaks after the request was passed on. Only a 4xx proves a refusal.
    reason = f"status {full.status}: {full.body[:200]!r}"
    return ports.Unavailable(reason, maybe_applied=full.status >= SERVER_ERRORS)


def _deleted(
    full: http_client.FullResponse, expect: ports.Precondition
) -> ports.Written | ports.Conflict | ports.Unavailable:
    if full.status // 100 == 2:
        return ports.Written(_version_of(full))
    if full.status == NOT_FOUND:
        expects_row = not isinstance(expect, ports.Expect)
        return ports.Conflict() if expects_row else ports.Written("")
    return _unexpected(full)


def _stored(full: http_client.FullResponse) -> ports.Written | ports.Unavailable:
    if full.status // 100 != 2:
        return _unexpected(full)
    version = _version_of(full)
    if not version:
        return ports.Unavailable("the write was answered without an ETag", True)
    return ports.Written(version)


def _decode(
    full: http_client.FullResponse, kind: type[Structure]
) -> Structure | ports.Unavailable:
    try:
        return msgspec.json.decode(full.body, type=kind)
    except msgspec.MsgspecError as exc:
        return ports.Unavailable(f"malformed response: {exc}", maybe_applied=True)


def _instance(entry: _ListedInstance) -> table.Instance:
    return table.Instance(
        entry.id,
        entry.role,
        entry.host,
        entry.port,
        entry.zone,
        entry.name,
        entry.state is _State.LEAVING,
    )

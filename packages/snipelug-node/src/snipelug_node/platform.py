"""HTTP clients of the platform's table service, object store and instance list.

Every method has a time limit: connecting takes at most the pool's connect
timeout, reading the response head and its body at most ``timeout_s`` each.
"""

import collections.abc
import enum
import logging
import typing
import urllib.parse

import msgspec

from snipelug_core import refusal, table
from snipelug_net import http_client
from snipelug_node import ports

LOG = logging.getLogger("snipelug.platform")

TIMEOUT_S = 2.0
MAX_TABLE_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_OBJECT_BYTES = 64 * 1024 * 1024

OK = 200
NOT_FOUND = 404
CONFLICT = 409
PRECONDITION_FAILED = 412
MIN_SERVER_ERROR = 500


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
    """One platform service, called over a shared connection pool."""

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
        max_bytes: int = MAX_TABLE_RESPONSE_BYTES,
        is_first: bool | None = None,
    ) -> http_client.FullResponse | ports.Unavailable:
        """Send one request.

        Every transport error becomes ``Unavailable``, and so does a response that may
        be the copy of an earlier refusal.

        Parameters
        ----------
        is_first : bool, optional
            Whether the request must be the first of its connection, so that no copy of
            an earlier success counts as its response. By default all but ``GET`` are.
        """
        call = http_client.Call(
            self._addr,
            method,
            target,
            headers or {},
            body,
            self._timeout_s,
            is_first=method != "GET" if is_first is None else is_first,
        )
        match await self._pool.fetch(call, max_bytes):
            case http_client.FullResponse(status) as response if refusal.may_be_copy(
                status, response.is_identified
            ):
                reason = f"status {status} may be the copy of an earlier refusal"
                return ports.Unavailable(reason, maybe_applied=True)
            case http_client.FullResponse() as response:
                return response
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
        Connection pool, which may be shared with other clients.
    addr : http_client.Address
        IP address and port of the service.
    timeout_s : float
        Timeout of the response head, and again of its body, in seconds.
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
        response = await self._endpoint.fetch(
            "GET", _row_path(table_name, key), is_first=True
        )
        if isinstance(response, ports.Unavailable):
            return response
        if response.status == NOT_FOUND:
            return ports.Absent()
        if response.status != OK:
            return _unexpected_status(response)
        version = _read_version(response)
        if not version:
            return ports.Unavailable("the response has no ETag header", False)
        return ports.Row(table_name, key, version, response.body)

    async def scan(
        self, table_name: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> list[ports.Row] | ports.Unavailable:
        """Read rows in key order."""
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "limit": limit}
        )
        target = f"/tables/{_quote_path_part(table_name)}/rows?{query}"
        response = await self._endpoint.fetch("GET", target)
        if isinstance(response, ports.Unavailable):
            return response
        if response.status != OK:
            return _unexpected_status(response)
        reply = _decode(response, _ScanReply)
        if isinstance(reply, ports.Unavailable):
            return reply
        return [
            ports.Row(table_name, row.key, _parse_etag(row.version), bytes(row.content))
            for row in reply.rows
        ]

    async def write(
        self, write: ports.Write
    ) -> ports.Written | ports.Conflict | ports.Unavailable:
        """Write or delete one row if its precondition holds."""
        method = "DELETE" if write.content is None else "PUT"
        response = await self._endpoint.fetch(
            method,
            _row_path(write.table, write.key),
            _precondition_headers(write.expect) | _content_headers(write.content),
            write.content or b"",
        )
        if isinstance(response, ports.Unavailable):
            return response
        if response.status == PRECONDITION_FAILED:
            return ports.Conflict()
        if write.content is None:
            return _delete_outcome(response, write.expect)
        return _write_outcome(response)

    async def transact(
        self, writes: collections.abc.Sequence[ports.Write]
    ) -> ports.Written | ports.Conflict | ports.Unavailable:
        """Apply all writes, or none if any precondition does not hold."""
        items = [_to_transaction_write(write) for write in writes]
        body = msgspec.json.encode(_Transaction(items))
        response = await self._endpoint.fetch(
            "POST", "/transactions", _content_headers(body), body
        )
        if isinstance(response, ports.Unavailable):
            return response
        if response.status in (CONFLICT, PRECONDITION_FAILED):
            return ports.Conflict()
        if response.status != OK:
            return _unexpected_status(response)
        reply = _decode(response, _TransactionReply)
        if isinstance(reply, ports.Unavailable):
            return reply
        return ports.Written(_parse_etag(reply.version))


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
        response = await self._endpoint.fetch(
            "GET",
            f"/objects/{_quote_path_part(key)}",
            max_bytes=MAX_OBJECT_BYTES,
            is_first=True,
        )
        if isinstance(response, ports.Unavailable):
            return response
        if response.status == NOT_FOUND:
            return ports.Absent()
        if response.status != OK:
            return _unexpected_status(response)
        return response.body

    async def put(self, key: str, content: bytes) -> ports.Written | ports.Unavailable:
        """Write an object."""
        headers = {"content-type": "application/octet-stream"}
        target = f"/objects/{_quote_path_part(key)}"
        response = await self._endpoint.fetch("PUT", target, headers, content)
        if isinstance(response, ports.Unavailable):
            return response
        return _write_outcome(response)

    async def delete(self, key: str) -> ports.Written | ports.Unavailable:
        """Delete an object; one that does not exist counts as deleted."""
        response = await self._endpoint.fetch(
            "DELETE", f"/objects/{_quote_path_part(key)}"
        )
        if isinstance(response, ports.Unavailable):
            return response
        if response.status // 100 == 2 or response.status == NOT_FOUND:
            return ports.Written("")
        return _unexpected_status(response)


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

        A malformed entry makes the whole list unusable: skipping it would make a
        listed instance look removed, and what a removed node owns goes to others.
        Entries with a role unknown to this version are skipped.
        """
        response = await self._endpoint.fetch("GET", "/instances")
        if isinstance(response, ports.Unavailable):
            return response
        if response.status != OK:
            return _unexpected_status(response)
        entries = _decode(response, list[msgspec.Raw])
        if isinstance(entries, ports.Unavailable):
            return entries
        try:
            return [
                _to_instance(msgspec.json.decode(entry, type=_ListedInstance))
                for entry in entries
                if msgspec.json.decode(entry, type=_ListedRole).role in KNOWN_ROLES
            ]
        except msgspec.MsgspecError as exc:
            return ports.Unavailable(f"malformed instance entry: {exc}", False)


def _quote_path_part(part: str) -> str:
    return urllib.parse.quote(part, safe="")


def _row_path(table_name: str, key: str) -> str:
    return f"/tables/{_quote_path_part(table_name)}/rows/{_quote_path_part(key)}"


def _parse_etag(etag: str) -> str:
    return etag.removeprefix("W/").strip('"')


def _read_version(response: http_client.FullResponse) -> str:
    return _parse_etag(response.headers.get("etag", ""))


def _precondition_headers(expect: ports.Precondition) -> dict[str, str]:
    if expect is ports.Expect.ABSENT:
        return {"if-none-match": "*"}
    if expect is ports.Expect.ANY:
        return {}
    return {"if-match": f'"{expect}"'}


def _content_headers(content: bytes | None) -> dict[str, str]:
    return {} if content is None else {"content-type": "application/json"}


def _to_transaction_write(write: ports.Write) -> _TransactionWrite:
    content = None if write.content is None else msgspec.Raw(write.content)
    expect = write.expect
    expect_text = expect.value if isinstance(expect, ports.Expect) else expect
    return _TransactionWrite(write.table, write.key, content, expect_text)


def _unexpected_status(response: http_client.FullResponse) -> ports.Unavailable:
    # Proxies also answer 5xx, including 503, when the connection behind them breaks
    # after they forwarded the request. Only a 4xx proves that nothing was applied.
    reason = f"status {response.status}: {response.body[:200]!r}"
    return ports.Unavailable(reason, maybe_applied=response.status >= MIN_SERVER_ERROR)


def _delete_outcome(
    response: http_client.FullResponse, expect: ports.Precondition
) -> ports.Written | ports.Conflict | ports.Unavailable:
    if response.status // 100 == 2:
        return ports.Written(_read_version(response))
    if response.status == NOT_FOUND:
        expects_row = not isinstance(expect, ports.Expect)
        return ports.Conflict() if expects_row else ports.Written("")
    return _unexpected_status(response)


def _write_outcome(
    response: http_client.FullResponse,
) -> ports.Written | ports.Unavailable:
    if response.status // 100 != 2:
        return _unexpected_status(response)
    version = _read_version(response)
    if not version:
        return ports.Unavailable("the response to a write has no ETag header", True)
    return ports.Written(version)


def _decode(
    response: http_client.FullResponse, kind: type[Structure]
) -> Structure | ports.Unavailable:
    try:
        return msgspec.json.decode(response.body, type=kind)
    except msgspec.MsgspecError as exc:
        return ports.Unavailable(f"malformed response: {exc}", maybe_applied=True)


def _to_instance(entry: _ListedInstance) -> table.Instance:
    return table.Instance(
        entry.id,
        entry.role,
        entry.host,
        entry.port,
        entry.zone,
        entry.name,
        entry.state is _State.LEAVING,
    )

"""Stand-in for the platform's transactional table service."""

import http
import typing

import msgspec
import trio

from snipelug_net import http_server
from snipelug_standins import faults, records, standin

DEFAULT_SCAN_LIMIT = 1000
# Joins table and key to one record key; neither can contain it.
SEPARATOR = "\0"


class Write(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One write of a transaction; null content deletes the row."""

    table: typing.Annotated[str, msgspec.Meta(min_length=1)]
    key: typing.Annotated[str, msgspec.Meta(min_length=1)]
    content: msgspec.Raw
    expect: str


class Transaction(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Writes that are applied atomically."""

    writes: typing.Annotated[list[Write], msgspec.Meta(min_length=1)]


class ScannedRow(msgspec.Struct):
    """A row in the response to a scan."""

    key: str
    version: str
    content: msgspec.Raw


class Tables:
    """Rows by table and key, in memory."""

    faults_type = faults.Faults

    def __init__(self) -> None:
        self.rows = records.Records()
        self.scans = 0
        self.transactions = 0

    async def handle(self, req: http_server.Request) -> http_server.Response:
        """Handle one request."""
        if req.path == "/transactions" and req.method == "POST":
            return self._transact(req)
        parts = req.path.split("/", 4)
        if len(parts) < 4 or parts[1] != "tables" or parts[3] != "rows":
            return standin.not_found(req)
        table = parts[2]
        if len(parts) == 4:
            return (
                self._scan(table, req.query)
                if req.method == "GET"
                else standin.not_found(req)
            )
        return self._row(req, table + SEPARATOR + parts[4])

    def _row(self, req: http_server.Request, row_key: str) -> http_server.Response:
        match req.method:
            case "GET":
                return read_response(self.rows, row_key)
            case "PUT":
                if not _is_json(req.body):
                    message = "the row content is not JSON"
                    return standin.error(
                        http.HTTPStatus.BAD_REQUEST, "bad_row", message
                    )
                return write_response(self.rows, req, row_key, req.body)
            case "DELETE":
                return write_response(self.rows, req, row_key, None)
        return standin.not_found(req)

    def _scan(self, table: str, query: dict[str, str]) -> http_server.Response:
        self.scans += 1
        limit = query.get("limit") or str(DEFAULT_SCAN_LIMIT)
        if not limit.isdecimal():
            message = f"limit {limit!r} is not a decimal number"
            return standin.error(http.HTTPStatus.BAD_REQUEST, "bad_limit", message)
        start = table + SEPARATOR + query.get("prefix", "")
        after = table + SEPARATOR + query.get("after", "")
        keys = sorted(k for k in self.rows.by_key if k.startswith(start) and k > after)
        rows = [
            ScannedRow(
                key.partition(SEPARATOR)[2],
                self.rows.by_key[key].version,
                msgspec.Raw(self.rows.by_key[key].content),
            )
            for key in keys[: int(limit)]
        ]
        self.rows.reads += len(rows)
        return http_server.json_response(http.HTTPStatus.OK, {"rows": rows})

    def _transact(self, req: http_server.Request) -> http_server.Response:
        try:
            transaction = msgspec.json.decode(req.body, type=Transaction)
        except msgspec.MsgspecError as exc:
            return standin.error(
                http.HTTPStatus.BAD_REQUEST, "bad_transaction", str(exc)
            )
        self.transactions += 1
        for row_write in transaction.writes:
            if not self.rows.precondition_holds(_row_key(row_write), row_write.expect):
                self.rows.conflicts += 1
                message = (
                    f"precondition of {row_write.table}/{row_write.key} does not hold"
                )
                return standin.error(http.HTTPStatus.CONFLICT, "conflict", message)
        version = self.rows.next_version()
        for row_write in transaction.writes:
            content = bytes(row_write.content)
            self.rows.put(
                _row_key(row_write), None if content == b"null" else content, version
            )
        return http_server.json_response(http.HTTPStatus.OK, {"version": version})

    def set_faults(self, wanted: faults.Faults) -> bool:
        """Ignore faults; the table service has none of its own."""
        del wanted
        return False

    def stats(self) -> dict[str, object]:
        """Return counters for tests."""
        return {
            "reads": self.rows.reads,
            "writes": self.rows.writes,
            "conflicts": self.rows.conflicts,
            "scans": self.scans,
            "transactions": self.transactions,
            "rows": len(self.rows.by_key),
        }

    async def run(self) -> None:
        """Wait for cancellation; there is no background work."""
        await trio.sleep_forever()


def read_response(rows: records.Records, key: str) -> http_server.Response:
    """Build the response to a read of one record."""
    record = rows.read(key)
    if record is None:
        message = "the record does not exist"
        return standin.error(http.HTTPStatus.NOT_FOUND, "absent", message)
    headers = {"etag": records.etag(record.version)}
    return http_server.Response(http.HTTPStatus.OK, record.content, headers)


def write_response(
    rows: records.Records, req: http_server.Request, key: str, content: bytes | None
) -> http_server.Response:
    """Write one record conditionally and build the response."""
    version = rows.write(key, content, records.expected_version(req.headers))
    if version is None:
        message = "the precondition does not hold"
        return standin.error(
            http.HTTPStatus.PRECONDITION_FAILED, "precondition_failed", message
        )
    headers = {"etag": records.etag(version)}
    return http_server.json_response(http.HTTPStatus.OK, {"version": version}, headers)


def _row_key(row_write: Write) -> str:
    return row_write.table + SEPARATOR + row_write.key


def _is_json(body: bytes) -> bool:
    try:
        msgspec.json.decode(body)
    except msgspec.DecodeError:
        return False
    return True

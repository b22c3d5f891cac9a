"""Stand-in of the platform's transactional table service."""

import http
import typing

import msgspec
import trio

from snipelug_net import http_server
from snipelug_standins import faults, records, standin

SCAN_LIMIT = 1000
# Separates table and key in the store; neither can contain it.
SEPARATOR = "\0"


class Write(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One write of a transaction; a null content deletes the row."""

    table: typing.Annotated[str, msgspec.Meta(min_length=1)]
    key: typing.Annotated[str, msgspec.Meta(min_length=1)]
    content: msgspec.Raw
    expect: str


class Transaction(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Writes that are applied all or none."""

    writes: typing.Annotated[list[Write], msgspec.Meta(min_length=1)]


class ScannedRow(msgspec.Struct):
    """A row in the answer to a scan."""

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
        """Answer one request."""
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
                return get(self.rows, row_key)
            case "PUT":
                if not _is_json(req.body):
                    message = "the row content is not JSON"
                    return standin.error(
                        http.HTTPStatus.BAD_REQUEST, "bad_row", message
                    )
                return write(self.rows, req, row_key, req.body)
            case "DELETE":
                return write(self.rows, req, row_key, None)
        return standin.not_found(req)

    def _scan(self, table: str, query: dict[str, str]) -> http_server.Response:
        self.scans += 1
        limit = query.get("limit") or str(SCAN_LIMIT)
        if not limit.isdecimal():
            message = f"limit {limit!r} is not a number"
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
        for item in transaction.writes:
            if not self.rows.holds(_row_key(item), item.expect):
                self.rows.conflicts += 1
                message = f"precondition of {item.table}/{item.key} does not hold"
                return standin.error(http.HTTPStatus.CONFLICT, "conflict", message)
        version = self.rows.next_version()
        for item in transaction.writes:
            content = bytes(item.content)
            self.rows.put(
                _row_key(item), None if content == b"null" else content, version
            )
        return http_server.json_response(http.HTTPStatus.OK, {"version": version})

    def set_faults(self, wanted: faults.Faults) -> bool:
        """Take over faults; tables have none of their own."""
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
        """Do nothing in the background."""
        await trio.sleep_forever()


def get(rows: records.Records, key: str) -> http_server.Response:
    """Answer a read of one record."""
    record = rows.read(key)
    if record is None:
        message = "there is no such record"
        return standin.error(http.HTTPStatus.NOT_FOUND, "absent", message)
    headers = {"etag": records.etag(record.version)}
    return http_server.Response(http.HTTPStatus.OK, record.content, headers)


def write(
    rows: records.Records, req: http_server.Request, key: str, content: bytes | None
) -> http_server.Response:
    """Answer a conditional write of one record."""
    version = rows.write(key, content, records.expectation(req.headers))
    if version is None:
        message = "the precondition does not hold"
        return standin.error(
            http.HTTPStatus.PRECONDITION_FAILED, "precondition_failed", message
        )
    headers = {"etag": records.etag(version)}
    return http_server.json_response(http.HTTPStatus.OK, {"version": version}, headers)


def _row_key(item: Write) -> str:
    return item.table + SEPARATOR + item.key


def _is_json(body: bytes) -> bool:
    try:
        msgspec.json.decode(body)
    except msgspec.DecodeError:
        return False
    return True

"""Stand-in for the platform's object store."""

import trio

from snipelug_net import http_server
from snipelug_standins import faults, records, standin, tables

PREFIX = "/objects/"


class Objects:
    """Objects by key, in memory."""

    faults_type = faults.Faults

    def __init__(self) -> None:
        self.objects = records.Records()

    async def handle(self, req: http_server.Request) -> http_server.Response:
        """Handle one request."""
        key = req.path.removeprefix(PREFIX)
        if not req.path.startswith(PREFIX) or not key:
            return standin.not_found(req)
        match req.method:
            case "GET":
                return tables.read_response(self.objects, key)
            case "PUT":
                return tables.write_response(self.objects, req, key, req.body)
            case "DELETE":
                return tables.write_response(self.objects, req, key, None)
        return standin.not_found(req)

    def set_faults(self, wanted: faults.Faults) -> bool:
        """Ignore faults; the object store has none of its own."""
        del wanted
        return False

    def stats(self) -> dict[str, object]:
        """Return counters for tests."""
        return {
            "reads": self.objects.reads,
            "writes": self.objects.writes,
            "conflicts": self.objects.conflicts,
            "objects": len(self.objects.by_key),
        }

    async def run(self) -> None:
        """Wait for cancellation; there is no background work."""
        await trio.sleep_forever()

"""Stand-in for the platform's instance list, which lags behind changes."""

import collections
import http
import typing

import msgspec
import trio

from snipelug_net import http_server
from snipelug_standins import faults, standin

PREFIX = "/instances/"


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Entry that platform operators write for one instance.

    Attributes
    ----------
    address : str
        ``HOST:PORT``.
    host, port : str, int
        Parts of ``address``, which the stand-in fills in.
    name : str
        For a plain service, the name that callers use.
    """

    role: typing.Literal["node", "engine", "service", "store"]
    address: typing.Annotated[str, msgspec.Meta(pattern=r"^[^:]+:[0-9]+$")]
    zone: typing.Annotated[str, msgspec.Meta(min_length=1)]
    state: typing.Literal["live", "leaving"] = "live"
    name: str = ""
    id: str = ""
    host: str = ""
    port: int = 0


class Instances:
    """An instance list that readers see with a lag.

    Parameters
    ----------
    lag_s : float
        Age of the list that a reader gets, in seconds.
    """

    faults_type = faults.Faults

    def __init__(self, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self.entries: dict[str, Entry] = {}
        self.reads = 0
        # The infinite age makes the empty list readable from the start.
        self._history: collections.deque[tuple[float, list[Entry]]] = collections.deque(
            [(float("-inf"), [])]
        )

    async def handle(self, req: http_server.Request) -> http_server.Response:
        """Handle one request."""
        if req.path == "/instances" and req.method == "GET":
            self.reads += 1
            return http_server.json_response(
                http.HTTPStatus.OK, self._visible_entries()
            )
        instance_id = req.path.removeprefix(PREFIX)
        if not req.path.startswith(PREFIX) or not instance_id:
            return standin.not_found(req)
        match req.method:
            case "PUT":
                return self._put(instance_id, req.body)
            case "DELETE":
                self.entries.pop(instance_id, None)
                self._record_history()
                return http_server.json_response(http.HTTPStatus.OK, {})
        return standin.not_found(req)

    def _put(self, instance_id: str, body: bytes) -> http_server.Response:
        try:
            entry = msgspec.json.decode(body, type=Entry)
        except msgspec.MsgspecError as exc:
            return standin.error(http.HTTPStatus.BAD_REQUEST, "bad_instance", str(exc))
        host, _, port = entry.address.rpartition(":")
        self.entries[instance_id] = msgspec.structs.replace(
            entry, id=instance_id, host=host, port=int(port)
        )
        self._record_history()
        return http_server.json_response(http.HTTPStatus.OK, self.entries[instance_id])

    def _record_history(self) -> None:
        self._history.append((trio.current_time(), list(self.entries.values())))

    def _visible_entries(self) -> list[Entry]:
        max_recorded_at = trio.current_time() - self.lag_s
        while len(self._history) > 1 and self._history[1][0] <= max_recorded_at:
            self._history.popleft()
        return self._history[0][1]

    def set_faults(self, wanted: faults.Faults) -> bool:
        """Ignore faults; the instance list has none of its own."""
        del wanted
        return False

    def stats(self) -> dict[str, object]:
        """Return counters for tests."""
        return {"reads": self.reads, "instances": len(self.entries)}

    async def run(self) -> None:
        """Wait for cancellation; there is no background work."""
        await trio.sleep_forever()

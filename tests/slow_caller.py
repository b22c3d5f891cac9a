"""A caller that sends a request in parts and keeps every byte that it receives."""

import contextlib
import dataclasses

import h11
import trio

from tests import platform_world

BODY = b"body"


@dataclasses.dataclass
class Answer:
    """What a caller received until its connection ended.

    Attributes
    ----------
    status : int
        Status of the response, 0 if there was none.
    is_complete : bool
        Whether the response was received to its end.
    ended_at : float
        Trio time at which the response or the connection ended, in seconds.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    ended_at: float = 0.0


@dataclasses.dataclass
class Connection:
    """A connection to a node."""

    stream: trio.SocketStream
    proto: h11.Connection = dataclasses.field(
        default_factory=lambda: h11.Connection(h11.CLIENT)
    )

    async def send_head(self, target: str, request_id: str, **headers: str) -> None:
        """Send the head of a request, and the first half of its body."""
        fields = {
            "host": platform_world.HOST,
            "request-id": request_id,
            "authorization": f"Token {platform_world.KEY}",
            "content-length": str(len(BODY)),
        }
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        head = h11.Request(method="POST", target=target, headers=list(fields.items()))
        await self._send(self.proto.send(head) or b"")
        await self._send(self.proto.send(h11.Data(data=BODY[:2])) or b"")

    async def send_partial_head(self) -> None:
        """Send the beginning of the head of a request."""
        await self._send(b"POST /order/ HTTP/1.1\r\nhost: ")

    async def finish_body(self) -> None:
        """Send the other half of the body."""
        await self._send(self.proto.send(h11.Data(data=BODY[2:])) or b"")
        self.proto.send(h11.EndOfMessage())

    async def _send(self, data: bytes) -> None:
        # The node may have closed the connection; what it sent is read all the same.
        with contextlib.suppress(trio.BrokenResourceError):
            await self.stream.send_all(data)

    async def read_answer(self) -> Answer:
        """Read one response, up to its end or that of the connection."""
        answer = Answer()
        with contextlib.suppress(trio.BrokenResourceError, h11.RemoteProtocolError):
            await self._read_into(answer)
        answer.ended_at = trio.current_time()
        return answer

    async def _read_into(self, answer: Answer) -> None:
        while True:
            event = self.proto.next_event()
            if event is h11.NEED_DATA:
                self.proto.receive_data(await self.stream.receive_some())
            elif isinstance(event, h11.Response):
                answer.status = event.status_code
                answer.headers = {k.decode(): v.decode() for k, v in event.headers}
            elif isinstance(event, h11.Data):
                answer.body += bytes(event.data)
            else:
                answer.is_complete = isinstance(event, h11.EndOfMessage)
                return


async def connect(port: int) -> Connection:
    """Open a connection to the node whose callers use a port."""
    return Connection(await trio.open_tcp_stream("127.0.0.1", port))

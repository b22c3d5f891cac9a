"""An upstream that answers each request with given bytes and closes."""

import collections.abc
import dataclasses

import trio

from tests import platform_world


@dataclasses.dataclass
class RawUpstream:
    """Listed as an engine; answers with a head without a length, and ``body``."""

    body: bytes
    requests: int = 0

    async def serve(self, world: platform_world.World) -> None:
        """Start in the world's nursery and list this upstream."""
        listeners: collections.abc.Sequence[
            trio.SocketListener
        ] = await world.nursery.start(trio.serve_tcp, self._answer, 0)
        port = listeners[0].socket.getsockname()[1]
        entry = {
            "service": "llm",
            "address": f"127.0.0.1:{port}",
            "zone": "zone-a",
            "slots": 4,
            "state": "ready",
            "born": 1,
            "models": [{"name": platform_world.MODEL, "version": 1}],
        }
        world.store.put("servers", "i-raw", entry)

    async def _answer(self, stream: trio.SocketStream) -> None:
        head = b""
        while b"\r\n\r\n" not in head:
            head += await stream.receive_some()
        self.requests += 1
        fields = dict(
            line.split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line
        )
        request_id = {k.lower(): v for k, v in fields.items()}[b"request-id"]
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nserver-signature: s\r\nrequest-id: "
            + request_id
            + b"\r\nconnection: close\r\n\r\n"
            + self.body
        )
        await stream.aclose()

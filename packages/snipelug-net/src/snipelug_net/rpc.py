"""Authenticated RPC between nodes: grpclib on trio, with msgspec messages."""

import asyncio
import collections.abc
import dataclasses
import hashlib
import hmac
import typing

import grpclib.client
import grpclib.const
import grpclib.encoding.base
import grpclib.exceptions
import grpclib.protocol
import grpclib.server
import h2.exceptions
import msgspec
import trio
import trio_asyncio

SIGNATURE_BYTES = 16
# If a connection breaks just before a call uses it, grpclib has already dropped its
# transport, and the call raises AttributeError or an h2 error.
BROKEN_CONNECTION_ERRORS = (AttributeError, h2.exceptions.H2Error)

Message = typing.TypeVar("Message", bound=msgspec.Struct)
Answer = typing.TypeVar("Answer", bound=msgspec.Struct)


@dataclasses.dataclass(frozen=True)
class Method(typing.Generic[Message, Answer]):
    """A remote procedure: its name, and its request and reply types."""

    name: str
    request: type[Message]
    reply: type[Answer]

    @property
    def path(self) -> str:
        """The gRPC path of the method."""
        return f"/snipelug.Peer/{self.name}"


@dataclasses.dataclass(frozen=True)
class Unreachable:
    """The call got no reply; whether the peer executed it is unknown."""

    reason: str


class BadSignatureError(Exception):
    """A message with an invalid signature was received."""


class SignedCodec(grpclib.encoding.base.CodecBase):
    """Encode structs as MessagePack, prefixed with a keyed hash of type and content.

    Parameters
    ----------
    key : bytes
        Secret shared by the nodes of one deployment, up to 64 bytes.
    """

    __content_subtype__ = "msgpack"

    def __init__(self, key: bytes) -> None:
        self._key = key

    def _signature(self, message_type: type, body: bytes) -> bytes:
        digest = hashlib.blake2b(key=self._key, digest_size=SIGNATURE_BYTES)
        digest.update(message_type.__name__.encode())
        digest.update(b"\0")
        digest.update(body)
        return digest.digest()

    def encode(self, message: typing.Any, message_type: typing.Any) -> bytes:
        """Serialise and sign a message."""
        body = msgspec.msgpack.encode(message)
        return self._signature(message_type, body) + body

    def decode(self, data: bytes, message_type: typing.Any) -> typing.Any:
        """Verify the signature of a message, then decode and validate its content."""
        body = bytes(data[SIGNATURE_BYTES:])
        expected = self._signature(message_type, body)
        if not hmac.compare_digest(bytes(data[:SIGNATURE_BYTES]), expected):
            raise BadSignatureError(f"bad signature on {message_type.__name__}")
        return msgspec.msgpack.decode(body, type=message_type)


Procedure = collections.abc.Callable[
    [typing.Any], collections.abc.Awaitable[msgspec.Struct]
]


class _CoalescingTransport:
    """Transport that coalesces the writes of one event loop iteration.

    grpclib writes the headers, the message and the end of a call separately.
    Coalesced, they fit one TCP segment and wake the peer once.
    """

    def __init__(self, transport: typing.Any) -> None:
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        self._buffered: list[bytes] = []

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        """Buffer data until the next iteration of the event loop."""
        if not self._buffered:
            self._loop.call_soon(self._flush)
        self._buffered.append(data)

    def close(self) -> None:
        """Flush the buffer and close the connection."""
        self._flush()
        self._transport.close()

    def _flush(self) -> None:
        data = b"".join(self._buffered)
        self._buffered.clear()
        if data and not self._transport.is_closing():
            self._transport.write(data)


class _Protocol(grpclib.protocol.H2Protocol):
    def connection_made(self, transport: typing.Any) -> None:
        super().connection_made(
            typing.cast(typing.Any, _CoalescingTransport(transport))
        )


class _Channel(grpclib.client.Channel):
    def _protocol_factory(self) -> grpclib.protocol.H2Protocol:
        made = super()._protocol_factory()
        return _Protocol(made.handler, made.config, made.h2_config)


class _Server(grpclib.server.Server):
    def _protocol_factory(self) -> grpclib.protocol.H2Protocol:
        made = super()._protocol_factory()
        return _Protocol(made.handler, made.config, made.h2_config)


class _Service:
    """Adapter through which grpclib calls trio procedures."""

    def __init__(
        self, procedures: dict[Method[typing.Any, typing.Any], Procedure]
    ) -> None:
        self._procedures = procedures

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        return {
            method.path: grpclib.const.Handler(
                self._adapt(procedure),
                grpclib.const.Cardinality.UNARY_UNARY,
                method.request,
                method.reply,
            )
            for method, procedure in self._procedures.items()
        }

    @staticmethod
    def _adapt(procedure: Procedure) -> typing.Any:
        async def handle(stream: typing.Any) -> None:
            message = await stream.recv_message()
            answer = await trio_asyncio.trio_as_aio(procedure)(message)
            await stream.send_message(answer)

        return handle


async def serve(
    host: str,
    port: int,
    key: bytes,
    procedures: dict[Method[typing.Any, typing.Any], Procedure],
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve procedures until cancelled; needs an open trio-asyncio loop."""
    server = _Server([_Service(procedures)], codec=SignedCodec(key))
    await trio_asyncio.aio_as_trio(server.start)(host, port)
    task_status.started()
    try:
        await trio.sleep_forever()
    finally:
        server.close()


class Client:
    """Client of one peer; needs an open trio-asyncio loop."""

    def __init__(self, host: str, port: int, key: bytes) -> None:
        self._channel = _Channel(host, port, codec=SignedCodec(key))
        self._closed = False

    async def call(
        self, method: Method[Message, Answer], message: Message, timeout_s: float
    ) -> Answer | Unreachable:
        """Call a procedure; return its reply, or Unreachable with the reason."""
        if self._closed:
            return Unreachable("the client is closed")
        try:
            return await self._call(method, message, timeout_s)
        finally:
            # A connection attempt in progress when the client was closed may have
            # completed since. If an open connection is garbage-collected, grpclib
            # reports it to the event loop, which ends the process.
            if self._closed:
                self._channel.close()

    async def _call(
        self, method: Method[Message, Answer], message: Message, timeout_s: float
    ) -> Answer | Unreachable:
        stub: typing.Any = grpclib.client.UnaryUnaryMethod(
            self._channel, method.path, method.request, method.reply
        )
        with trio.move_on_after(timeout_s):
            try:
                answer = await trio_asyncio.aio_as_trio(stub)(message)
            except (
                grpclib.exceptions.GRPCError,
                grpclib.exceptions.StreamTerminatedError,
                BadSignatureError,
                msgspec.MsgspecError,
                OSError,
                *BROKEN_CONNECTION_ERRORS,
            ) as exc:
                return Unreachable(f"{type(exc).__name__}: {exc}")
            return typing.cast(Answer, answer)
        return Unreachable(f"no answer within {timeout_s} s")

    def close(self) -> None:
        """Close the connection; later calls return Unreachable."""
        self._closed = True
        self._channel.close()

"""Builds requests to model engines and parses their responses."""

import collections.abc
import dataclasses
import http
import typing

import msgspec

from snipelug_core import refusal, stream, table
from snipelug_net import http_client
from snipelug_node import chat

PATH = "/v1/chat/completions"
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_ERROR_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True)
class Run:
    """One run of a chat request at one engine.

    Attributes
    ----------
    run_id : str
        Sent as the request id; every part of the response must have it.
    weight_version : str
        Weight version that the engine must serve; otherwise it declines the request.
    block_keys : sequence of str
        Keys of the prompt's full blocks for that weight version.
    resume_text : str
        Text of the response that was already relayed to the caller.
    timeout_s : float
        Time limit for the head of the response, in seconds.
    """

    run_id: str
    chat: chat.ChatRequest
    weight_version: str
    cache_salt: str
    priority: int
    block_keys: collections.abc.Sequence[str]
    resume_text: str
    is_streamed: bool
    timeout_s: float


def build_call(inst: table.Instance, run: Run) -> http_client.Call:
    """Build the HTTP request of a run."""
    fields = dict(run.chat.fields)
    fields["stream"] = run.is_streamed
    fields["cache_salt"] = run.cache_salt
    fields["priority"] = run.priority
    fields["block_keys"] = run.block_keys
    if run.weight_version:
        fields["weight_version"] = run.weight_version
    if run.resume_text:
        fields["resume_text"] = run.resume_text
    if run.is_streamed:
        fields["stream_options"] = {"include_usage": True}
    headers = {"content-type": "application/json", "x-request-id": run.run_id}
    return http_client.Call(
        (inst.host, inst.port),
        "POST",
        PATH,
        headers,
        msgspec.json.encode(fields),
        run.timeout_s,
    )


@dataclasses.dataclass(frozen=True)
class Declined:
    """The engine responded with an error and did not run the request."""

    status: int
    message: str

    @property
    def has_other_version(self) -> bool:
        """Whether the engine serves a different weight version."""
        return self.status == http.HTTPStatus.CONFLICT

    @property
    def is_retryable(self) -> bool:
        """Whether another engine may accept the request."""
        return self.has_other_version or self.status in (
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            http.HTTPStatus.TOO_MANY_REQUESTS,
        )

    def refusal(self) -> refusal.Refusal:
        """Return the refusal for the caller if no other engine is tried."""
        text = f"the engine responded with {self.status}: {self.message}"
        if self.is_retryable:
            return refusal.refuse(refusal.NO_UPSTREAM, text)
        return refusal.refuse(refusal.BAD_REQUEST, text)


@dataclasses.dataclass(frozen=True)
class Failed:
    """The engine reported a failed run or sent an unexpected response."""

    status: int
    message: str


class _ErrorDetail(msgspec.Struct):
    message: str = ""


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail | str


async def read_error(reply: http_client.StreamingResponse) -> Declined | Failed:
    """Read a response whose status is not 200."""
    body = await reply.read(MAX_ERROR_BYTES, timeout_s=5.0)
    message = ""
    if isinstance(body, bytes):
        message = error_message(body)
    # After a status below 400 the engine may have run the request.
    is_client_error = 400 <= reply.status < 500
    if is_client_error or reply.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        return Declined(reply.status, message)
    return Failed(reply.status, message)


def error_message(body: bytes) -> str:
    """Return the message of an error body, or the first 200 bytes as text."""
    try:
        error = msgspec.json.decode(body, type=_ErrorBody).error
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return body[:200].decode("utf-8", "replace")
    return error if isinstance(error, str) else error.message


@dataclasses.dataclass(frozen=True)
class CompleteResponse:
    """A response that is not streamed; ``content`` has the caller's request id."""

    content: dict[str, object]
    usage: stream.Usage
    upstream_id: str = ""


def parse_complete(
    body: bytes, run_id: str, request_id: str
) -> CompleteResponse | stream.Verdict:
    """Parse a JSON response; check that it is complete and belongs to the run."""
    try:
        content = msgspec.json.decode(body, type=dict[str, object])
        usage = msgspec.convert(content.get("usage"), stream.Usage)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        return stream.Malformed(str(exc)[:200])
    response_id = content.get("id")
    if response_id != run_id:
        return stream.WrongRun(run_id, str(response_id)[:200])
    if not content.get("choices"):
        return stream.Malformed("the response has no choices")
    content["id"] = request_id
    return CompleteResponse(content, usage)


def to_events(body: bytes) -> bytes:
    """Convert a complete JSON response to the events of a streamed response."""
    content = msgspec.json.decode(body, type=dict[str, object])
    choices = typing.cast(list[dict[str, object]], content.get("choices", []))
    content["object"] = "chat.completion.chunk"
    content["choices"] = [_to_delta(choice) for choice in choices]
    return b"data: " + msgspec.json.encode(content) + b"\n\n" + stream.DONE_EVENT


def _to_delta(choice: dict[str, object]) -> dict[str, object]:
    fields = {name: value for name, value in choice.items() if name != "message"}
    return fields | {"delta": choice.get("message", {})}

"""Calls of model engines and the reading of their answers."""

import collections.abc
import dataclasses
import http
import typing

import msgspec

from snipelug_core import refusal, stream, table
from snipelug_net import http_client
from snipelug_node import chat

PATH = "/v1/chat/completions"
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_ERROR_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True)
class Run:
    """One run of a chat request at one engine.

    Attributes
    ----------
    run_id : str
        Sent as request id; each part of the answer must carry it.
    weight_version : str
        Weight version that the engine must run; it refuses if it serves another.
    block_keys : sequence of str
        Keys of the prompt's full blocks, for that weight version.
    resume_text : str
        Text of the answer that the caller already has.
    timeout_s : float
        Time to the head of the response, in seconds.
    """

    run_id: str
    chat: chat.Chat
    weight_version: str
    cache_salt: str
    priority: int
    block_keys: collections.abc.Sequence[str]
    resume_text: str
    streamed: bool
    timeout_s: float


def build_call(inst: table.Instance, run: Run) -> http_client.Call:
    """Build the request to the engine."""
    fields = dict(run.chat.fields)
    fields["stream"] = run.streamed
    fields["cache_salt"] = run.cache_salt
    fields["priority"] = run.priority
    fields["block_keys"] = run.block_keys
    if run.weight_version:
        fields["weight_version"] = run.weight_version
    if run.resume_text:
        fields["resume_text"] = run.resume_text
    if run.streamed:
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
    """The engine answered without running the request."""

    status: int
    message: str

    @property
    def other_version(self) -> bool:
        """Whether the engine serves another weight version."""
        return self.status == http.HTTPStatus.CONFLICT

    @property
    def retryable(self) -> bool:
        """Whether another engine may accept the request."""
        return self.other_version or self.status in (
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            http.HTTPStatus.TOO_MANY_REQUESTS,
        )

    def refusal(self) -> refusal.Refusal:
        """Return what the caller is told when no other engine is tried."""
        text = f"the engine answered {self.status}: {self.message}"
        if self.retryable:
            return refusal.refuse(refusal.NO_UPSTREAM, text)
        return refusal.refuse(refusal.BAD_REQUEST, text)


@dataclasses.dataclass(frozen=True)
class Failed:
    """The engine answered that the run failed, or answered unexpectedly."""

    status: int
    message: str


class _ErrorDetail(msgspec.Struct):
    message: str = ""


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail | str


async def read_error(reply: http_client.StreamingResponse) -> Declined | Failed:
    """Read the body of an answer whose status is not 200."""
    body = await reply.read(MAX_ERROR_BYTES, timeout_s=5.0)
    message = ""
    if isinstance(body, bytes):
        message = error_message(body)
    # A status below 400 is no refusal: the engine may have run the request.
    is_client_error = 400 <= reply.status < 500
    if is_client_error or reply.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        return Declined(reply.status, message)
    return Failed(reply.status, message)


def error_message(body: bytes) -> str:
    """Return the message of an error body, or its first bytes as text."""
    try:
        error = msgspec.json.decode(body, type=_ErrorBody).error
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return body[:200].decode("utf-8", "replace")
    return error if isinstance(error, str) else error.message


@dataclasses.dataclass(frozen=True)
class Whole:
    """A whole answer, not streamed; ``content`` carries the caller's request id."""

    content: dict[str, object]
    usage: stream.Usage
    upstream_id: str = ""


def read_whole(body: bytes, run_id: str, request_id: str) -> Whole | stream.Verdict:
    """Check that a JSON answer is whole and belongs to the run."""
    try:
        content = msgspec.json.decode(body, type=dict[str, object])
        usage = msgspec.convert(content.get("usage"), stream.Usage)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        return stream.Malformed(str(exc)[:200])
    answer_id = content.get("id")
    if answer_id != run_id:
        return stream.WrongRun(run_id, str(answer_id)[:200])
    if not content.get("choices"):
        return stream.Malformed("the answer has no choices")
    content["id"] = request_id
    return Whole(content, usage)


def as_events(body: bytes) -> bytes:
    """Turn a whole JSON answer into the events of a streamed one."""
    content = msgspec.json.decode(body, type=dict[str, object])
    choices = typing.cast(list[dict[str, object]], content.get("choices", []))
    content["object"] = "chat.completion.chunk"
    content["choices"] = [_as_delta(choice) for choice in choices]
    return b"data: " + msgspec.json.encode(content) + b"\n\n" + stream.DONE_EVENT


def _as_delta(choice: dict[str, object]) -> dict[str, object]:
    fields = {name: value for name, value in choice.items() if name != "message"}
    return fields | {"delta": choice.get("message", {})}

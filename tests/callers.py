"""Callers that check every answer; used by process tests and the demo."""

import dataclasses
import typing

import msgspec
import trio

from snipelug_net import http_client
from snipelug_standins import text
from tests import cluster, deployment

CHAT = "/v1/chat/completions"
MAX_ANSWER_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass
class Result:
    """What one call brought.

    Attributes
    ----------
    status : int
        HTTP status; 0 if no answer arrived.
    whole : bool
        The answer is complete and the right one.
    first_token_s : float
        Time to the first byte of generated text, in seconds.
    run_state : str
        For refusals, what the node says about the execution.
    code : str
        For refusals, the stable code.
    request : str
        The node's id of the request, if the head of an answer arrived.
    problem : str
        What was wrong with an answer that is not whole.
    versions : set of str
        Weight versions that the chunks of a streamed answer name.
    """

    status: int = 0
    whole: bool = False
    first_token_s: float = 0.0
    total_s: float = 0.0
    usage: dict[str, int] = dataclasses.field(default_factory=dict)
    node: str = ""
    upstream: str = ""
    run_state: str = ""
    code: str = ""
    request: str = ""
    problem: str = ""
    versions: set[str] = dataclasses.field(default_factory=set)
    content: typing.Any = None


def messages(content: str) -> list[dict[str, str]]:
    """Build a conversation of one user message."""
    return [{"role": "user", "content": content}]


async def chat(
    pool: http_client.Pool,
    node: cluster.Child,
    team: str,
    model: str,
    conversation: list[dict[str, str]],
    max_tokens: int = text.DEFAULT_COMPLETION_TOKENS,
    timeout_s: float = 30.0,
    **fields: object,
) -> Result:
    """Ask for a streamed answer and compare it with the expected text.

    ``fields`` are further fields of the body.
    """
    body = {
        "model": model,
        "messages": conversation,
        "max_tokens": max_tokens,
        "temperature": 0,
        "stream": True,
        **fields,
    }
    call = http_client.Call(
        node.addr,
        "POST",
        CHAT,
        {"authorization": f"Bearer {deployment.bearer_key(team)}"},
        msgspec.json.encode(body),
        timeout_s,
    )
    result = Result()
    start = trio.current_time()
    with trio.move_on_after(timeout_s) as scope:
        await _stream(
            pool, call, result, start, text.expected_response(conversation, max_tokens)
        )
    if scope.cancelled_caught:
        result.problem = f"no whole answer within {timeout_s} s"
    result.total_s = trio.current_time() - start
    return result


async def _stream(
    pool: http_client.Pool,
    call: http_client.Call,
    result: Result,
    start: float,
    expected: str,
) -> None:
    reply = await pool.send(call)
    if not isinstance(reply, http_client.StreamingResponse):
        result.problem = f"no answer: {reply}"
        return
    _note_head(result, reply.status, reply.headers)
    if reply.status != 200:
        body = await reply.read(MAX_ANSWER_BYTES, 5.0)
        _note_refusal(result, body if isinstance(body, bytes) else b"")
        return
    received = b""
    try:
        while True:
            part = await reply.next_part()
            if part is None:
                break
            if isinstance(part, http_client.Lost):
                result.problem = f"the stream broke: {part.reason}"
                return
            if not result.first_token_s and b'"content"' in part:
                result.first_token_s = trio.current_time() - start
            received += part
    finally:
        await reply.aclose()
    _check_stream(result, received, expected)


def _check_stream(result: Result, received: bytes, expected: str) -> None:
    events = [e for e in received.decode().split("\n\n") if e]
    if not events or events[-1] != "data: [DONE]":
        result.problem = f"the stream has no end: {events[-1:]}"
        return
    data = [e.removeprefix("data: ") for e in events[:-1]]
    chunks = [msgspec.json.decode(e) for e in data]
    ids = {chunk.get("id") for chunk in chunks}
    result.versions = {chunk.get("weight_version", "") for chunk in chunks}
    got = "".join(
        choice["delta"].get("content") or ""
        for chunk in chunks
        for choice in chunk.get("choices", [])
    )
    if len(ids) != 1:
        result.problem = f"the stream carries several ids: {ids}"
    elif got != expected:
        result.problem = f"the text is {got!r}, expected {expected!r}"
    else:
        result.whole = True
    result.usage = next((c["usage"] for c in chunks if c.get("usage")), {})


async def order(
    pool: http_client.Pool,
    node: cluster.Child,
    team: str,
    target: str,
    order_id: str,
    timeout_s: float = 30.0,
) -> Result:
    """Place an order with an idempotency key that is its id."""
    headers = {
        "authorization": f"Bearer {deployment.bearer_key(team)}",
        "idempotency-key": order_id,
        "content-type": "application/json",
    }
    body = msgspec.json.encode({"order_id": order_id})
    call = http_client.Call(node.addr, "POST", target, headers, body, timeout_s)
    start = trio.current_time()
    full = await pool.fetch(call)
    result = Result(total_s=trio.current_time() - start)
    if not isinstance(full, http_client.FullResponse):
        result.problem = f"no answer: {full}"
        return result
    _note_head(result, full.status, full.headers)
    if full.status >= 400:
        _note_refusal(result, full.body)
        return result
    result.content = msgspec.json.decode(full.body)
    result.whole = result.content.get("order_id") == order_id
    if not result.whole:
        result.problem = f"the answer is of another order: {result.content}"
    return result


def _note_head(result: Result, status: int, headers: dict[str, str]) -> None:
    result.status = status
    result.request = headers.get("x-request-id", "")
    result.node = headers.get("x-snipelug-node", "")
    result.upstream = headers.get("x-snipelug-upstream", "")


def _note_refusal(result: Result, body: bytes) -> None:
    try:
        error = msgspec.json.decode(body)["error"]
        result.code = error["code"]
        result.run_state = error["run_state"]
        result.problem = f"{result.status} {error['code']}: {error['message']}"
    except (msgspec.DecodeError, KeyError, TypeError):
        result.problem = f"status {result.status} without a refusal: {body[:200]!r}"

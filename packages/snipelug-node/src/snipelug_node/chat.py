"""Validates chat requests and converts them to their internal form."""

import dataclasses
import typing

import msgspec

from snipelug_core import block, refusal

MAX_MESSAGES = 4096
MAX_COMPLETION_TOKENS = 32_768


class Message(msgspec.Struct):
    """One message of a conversation."""

    role: typing.Literal["system", "user", "assistant", "tool", "developer"]
    content: str


class Body(msgspec.Struct):
    """The fields of a chat request that the node reads; others are only forwarded."""

    model: typing.Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    messages: typing.Annotated[
        list[Message], msgspec.Meta(min_length=1, max_length=MAX_MESSAGES)
    ]
    stream: bool = False
    temperature: typing.Annotated[float, msgspec.Meta(ge=0, le=2)] | None = None
    seed: int | None = None
    max_tokens: (
        typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_COMPLETION_TOKENS)] | None
    ) = None


# The node sets these fields. Values from a caller could reach other teams' cache.
RESERVED_FIELDS = (
    "cache_salt",
    "priority",
    "weight_version",
    "block_keys",
    "resume_text",
    "stream_options",
)


@dataclasses.dataclass(frozen=True)
class ChatRequest:
    """A valid chat request.

    Attributes
    ----------
    body : Body
        The fields that the node reads.
    fields : dict
        All fields as received, without those in ``RESERVED_FIELDS``.
    prompt : bytes
        The messages rendered as one text, from which block keys are computed.
    prompt_tokens : int
        Estimated length of the prompt in tokens.
    """

    body: Body
    fields: dict[str, object]
    prompt: bytes
    prompt_tokens: int

    @property
    def is_deterministic(self) -> bool:
        """Whether a second run produces the same text."""
        return self.body.temperature == 0 or self.body.seed is not None


def parse(data: bytes) -> ChatRequest | refusal.Refusal:
    """Validate the body of a chat request."""
    try:
        fields = msgspec.json.decode(data, type=dict[str, object])
        body = msgspec.convert(fields, Body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        return refusal.refuse(refusal.BAD_REQUEST, f"invalid chat request: {exc}")
    for name in RESERVED_FIELDS:
        fields.pop(name, None)
    messages = typing.cast(list[dict[str, object]], fields["messages"])
    prompt = block.render(messages, fields.get("tools"))
    return ChatRequest(body, fields, prompt, block.Bytes4().count(prompt))

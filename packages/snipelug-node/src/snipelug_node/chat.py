"""Chat requests: validation at the border, and their form inside."""

import dataclasses
import typing

import msgspec

from snipelug_core import refusal

MAX_MESSAGES = 4096
MAX_GENERATED_TOKENS = 32_768


class Message(msgspec.Struct):
    """One message of a conversation."""

    role: typing.Literal["system", "user", "assistant", "tool", "developer"]
    content: str


class Body(msgspec.Struct):
    """The fields of a chat request that the node reads; others are passed on."""

    model: typing.Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    messages: typing.Annotated[
        list[Message], msgspec.Meta(min_length=1, max_length=MAX_MESSAGES)
    ]
    stream: bool = False
    temperature: typing.Annotated[float, msgspec.Meta(ge=0, le=2)] | None = None
    seed: int | None = None
    max_tokens: (
        typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_GENERATED_TOKENS)] | None
    ) = None


# Set by the node itself; a caller's values would reach other teams' cache.
RESERVED_FIELDS = (
    "cache_salt",
    "priority",
    "weight_version",
    "block_keys",
    "resume_text",
    "stream_options",
)


@dataclasses.dataclass(frozen=True)
class Chat:
    """A valid chat request.

    Attributes
    ----------
    body : Body
        The fields that the node reads.
    fields : dict
        All fields as sent, less those reserved for the node.
    prompt : str
        The messages rendered as one text, which block keys are made from.
    """

    body: Body
    fields: dict[str, object]
    prompt: str

    @property
    def deterministic(self) -> bool:
        """Whether a second run gives the same text."""
        return self.body.temperature == 0 or self.body.seed is not None


def render(messages: list[Message]) -> str:
    """Render messages so that a conversation's next turn extends the text."""
    return "".join(f"<{m.role}>{m.content}</{m.role}>" for m in messages)


def parse(data: bytes) -> Chat | refusal.Refusal:
    """Validate the body of a chat request."""
    try:
        fields = msgspec.json.decode(data, type=dict[str, object])
        body = msgspec.convert(fields, Body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        return refusal.refuse(refusal.BAD_REQUEST, f"invalid chat request: {exc}")
    for name in RESERVED_FIELDS:
        fields.pop(name, None)
    return Chat(body, fields, render(body.messages))

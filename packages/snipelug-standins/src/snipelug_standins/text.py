"""Prompts and responses as text; a response depends only on its prompt."""

import collections.abc
import hashlib
import typing

import msgspec

TOKEN_BYTES = 4
BLOCK_TOKENS = 2048
BLOCK_BYTES = BLOCK_TOKENS * TOKEN_BYTES
DEFAULT_COMPLETION_TOKENS = 16
WORD_CHARS = 3


Message = collections.abc.Mapping[str, typing.Any]


def render(
    messages: collections.abc.Iterable[Message], preamble: object = None
) -> bytes:
    """Render chat messages as the prompt: one line of JSON per message.

    Parameters
    ----------
    messages : iterable of mapping
        Chat messages, including all fields.
    preamble : object, optional
        Content that precedes the messages, such as tool definitions.
    """
    lines = [msgspec.json.encode(m, order="sorted") for m in messages]
    if preamble is not None:
        lines.insert(0, msgspec.json.encode(preamble, order="sorted"))
    return b"".join(line + b"\n" for line in lines)


def count_tokens(prompt: bytes) -> int:
    """Return the number of tokens in a prompt, rounded up."""
    return -(-len(prompt) // TOKEN_BYTES)


def marker(prompt: bytes) -> str:
    """Return the first word of the response, a hash that identifies the prompt."""
    return "m" + hashlib.blake2b(prompt, digest_size=6).hexdigest()


def answer_tokens(prompt: bytes, length: int) -> list[str]:
    """Return the first ``length`` token texts of the response to a prompt."""
    digest = hashlib.shake_256(prompt).hexdigest(2 * length)
    words = (digest[i : i + WORD_CHARS] + " " for i in range(0, WORD_CHARS * length, 3))
    return [marker(prompt) + " ", *words][:length]


def answer(
    messages: collections.abc.Iterable[Message],
    length: int = DEFAULT_COMPLETION_TOKENS,
) -> str:
    """Return the complete response text of an engine, for tests to compare with."""
    return "".join(answer_tokens(render(messages), length))

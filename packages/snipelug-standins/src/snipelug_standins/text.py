"""Prompts and answers as text; an answer is a function of its prompt."""

import collections.abc
import hashlib

import msgspec

TOKEN_BYTES = 4
BLOCK_TOKENS = 2048
BLOCK_BYTES = BLOCK_TOKENS * TOKEN_BYTES
DEFAULT_COMPLETION_TOKENS = 16
WORD_CHARS = 3


class Part(msgspec.Struct, frozen=True):
    """One part of a message's content; only texts are rendered."""

    type: str
    text: str = ""


class Message(msgspec.Struct, frozen=True):
    """One chat message."""

    role: str
    content: str | list[Part] = ""


def render(messages: collections.abc.Iterable[Message]) -> bytes:
    """Return the prompt that the model sees."""
    return "".join(f"<|{m.role}|>{_content(m)}\n" for m in messages).encode()


def _content(message: Message) -> str:
    if isinstance(message.content, str):
        return message.content
    return "".join(part.text for part in message.content)


def count_tokens(prompt: bytes) -> int:
    """Return the length of a prompt, in tokens."""
    return -(-len(prompt) // TOKEN_BYTES)


def marker(prompt: bytes) -> str:
    """Return the word that starts the answer to a prompt and names it."""
    return "m" + hashlib.blake2b(prompt, digest_size=6).hexdigest()


def answer_tokens(prompt: bytes, length: int) -> list[str]:
    """Return the answer to a prompt as a list of ``length`` token texts."""
    digest = hashlib.shake_256(prompt).hexdigest(2 * length)
    words = (digest[i : i + WORD_CHARS] + " " for i in range(0, WORD_CHARS * length, 3))
    return [marker(prompt) + " ", *words][:length]


def answer(
    messages: collections.abc.Iterable[Message],
    length: int = DEFAULT_COMPLETION_TOKENS,
) -> str:
    """Return the whole text that an engine answers; tests compare with it."""
    return "".join(answer_tokens(render(messages), length))

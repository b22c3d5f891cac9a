"""KV cache block keys, computed as a chain of keyed hashes over the rendered prompt."""

import collections.abc
import dataclasses
import typing

import msgspec

from snipelug_core import contract, hashing

BLOCK_TOKENS = 2048
BYTES_PER_TOKEN = 4

CONVERSATION_BYTES = 8
KEY_BYTES = CONVERSATION_BYTES + hashing.DIGEST_BYTES

Key = bytes
"""Key of a block: the id of its conversation followed by the hash of the block.

Events from engines and stores identify blocks by key only. The leading conversation id
lets every node find the index shard that is responsible for the event.
"""


class Tokenizer(typing.Protocol):
    """Interface of a model's tokenizer as used for block keys."""

    @property
    def name(self) -> str:
        """Name by which models refer to the tokenizer."""
        ...

    def count(self, text: bytes) -> int:
        """Return the number of tokens of a rendered prompt."""
        ...

    def cut(self, text: bytes, tokens: int) -> collections.abc.Iterator[bytes]:
        """Yield consecutive pieces of exactly the given number of tokens.

        The pieces of a prefix of a text must be a prefix of the pieces of the text.
        """
        ...


@dataclasses.dataclass(frozen=True)
class Bytes4:
    """Tokenizer that counts four bytes of the rendered prompt as one token.

    The estimate needs no vocabulary and depends only on the bytes, so all nodes split
    a prompt at the same positions regardless of the engine's tokenizer.
    """

    name: str = "bytes4"

    def count(self, text: bytes) -> int:
        """Return the number of tokens, rounded up."""
        return -(-len(text) // BYTES_PER_TOKEN)

    def cut(self, text: bytes, tokens: int) -> collections.abc.Iterator[bytes]:
        """Yield consecutive pieces of exactly the given number of tokens."""
        size = tokens * BYTES_PER_TOKEN
        for end in range(size, len(text) + 1, size):
            yield text[end - size : end]


TOKENIZERS: collections.abc.Mapping[str, Tokenizer] = {"bytes4": Bytes4()}


@dataclasses.dataclass(frozen=True)
class Chain:
    """Identification of a prompt in the KV cache.

    Attributes
    ----------
    keys : tuple of bytes
        Keys of the full blocks, in prompt order.
    tokens : int
        Number of tokens in the whole prompt.
    conversation : str
        Conversation id in hexadecimal; determines the index shard.
    """

    keys: tuple[Key, ...]
    tokens: int
    conversation: str

    def hex_keys(self) -> list[str]:
        """Return the keys in hexadecimal, as sent to engines."""
        return [key.hex() for key in self.keys]

    def tokens_after(self, blocks: int) -> int:
        """Return the number of tokens after the given number of leading blocks."""
        return self.tokens - blocks * BLOCK_TOKENS


def render(
    messages: collections.abc.Iterable[collections.abc.Mapping[str, object]],
    preamble: object = None,
) -> bytes:
    """Render chat messages as one line of JSON each.

    With one line per message, the rendering is injective, and the rendering of the
    first messages of a conversation is a prefix of the rendering of all of them.

    Parameters
    ----------
    messages : iterable of mapping
        Messages in order.
    preamble : object, optional
        Content that engines place before the messages, such as tool definitions.
    """
    lines = [msgspec.json.encode(m, order="sorted") for m in messages]
    if preamble is not None:
        lines.insert(0, msgspec.json.encode(preamble, order="sorted"))
    return b"".join(line + b"\n" for line in lines)


def chain(
    secret: bytes,
    team: str,
    model: contract.Model,
    prompt: bytes,
    tokenizer: Tokenizer | None = None,
) -> Chain:
    """Compute the keys of a prompt's full blocks.

    Parameters
    ----------
    secret : bytes
        Secret of the deployment, 1 to 64 bytes.
    team : str
        Team that sent the prompt.
    model : contract.Model
        Model that runs the prompt.
    prompt : bytes
        Rendered prompt.
    tokenizer : Tokenizer, optional
        Tokenizer named by `model`, if it is not one of `TOKENIZERS`.

    Raises
    ------
    ValueError
        If the secret is empty, which would leave the hashes unkeyed, or if the
        tokenizer is not the one that the model names.
    """
    _check_secret(secret)
    selected = tokenizer or TOKENIZERS.get(model.tokenizer)
    if selected is None or selected.name != model.tokenizer:
        raise ValueError(f"model {model.name} requires tokenizer {model.tokenizer}")
    root = _root_digest(secret, team, model)
    keys: list[Key] = []
    previous = root
    for piece in selected.cut(prompt, BLOCK_TOKENS):
        previous = hashing.keyed_digest(secret, b"block", previous, piece)
        first = keys[0] if keys else previous
        keys.append(first[:CONVERSATION_BYTES] + previous)
    if not keys:
        prompt_digest = hashing.keyed_digest(secret, b"short", root, prompt)
        return Chain(
            (), selected.count(prompt), prompt_digest[:CONVERSATION_BYTES].hex()
        )
    return Chain(tuple(keys), selected.count(prompt), conversation(keys[0]))


def conversation(key: Key) -> str:
    """Return the id of the conversation that a block belongs to."""
    return key[:CONVERSATION_BYTES].hex()


def cache_salt(secret: bytes, team: str) -> str:
    """Return the salt that isolates a team's prefix cache inside engines."""
    _check_secret(secret)
    return hashing.keyed_digest(secret, b"salt", team.encode()).hex()


def parse_key(text: str) -> Key | None:
    """Parse a key in hexadecimal; return None if it is malformed."""
    try:
        key = bytes.fromhex(text)
    except ValueError:
        return None
    return key if len(key) == KEY_BYTES else None


def _check_secret(secret: bytes) -> None:
    if not secret:
        raise ValueError("secret for block keys is empty")


def _root_digest(secret: bytes, team: str, model: contract.Model) -> bytes:
    parts = (team, model.name, model.adapter, model.tokenizer, model.weight_version)
    return hashing.keyed_digest(secret, b"root", *(p.encode() for p in parts))

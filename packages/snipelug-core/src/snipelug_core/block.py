"""Keys of KV cache blocks: a chain of keyed hashes over the rendered prompt."""

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
"""A block's key: the conversation's id and the block's own hash.

Cache events of engines and feeds of stores name blocks by key only. The id in
front lets any node find the index shard that must hear of the event.
"""


class Tokenizer(typing.Protocol):
    """What block keys need to know of a model's tokenizer."""

    @property
    def name(self) -> str:
        """Name under which models refer to the tokenizer."""
        ...

    def count(self, text: bytes) -> int:
        """Return the number of tokens of a rendered prompt."""
        ...

    def cut(self, text: bytes, tokens: int) -> collections.abc.Iterator[bytes]:
        """Yield the consecutive full pieces of the given number of tokens.

        The pieces of a text's prefix must be a prefix of the text's pieces.
        """
        ...


@dataclasses.dataclass(frozen=True)
class Bytes4:
    """Count four bytes of the rendered prompt as one token.

    The estimate needs no vocabulary and depends on the bytes alone, so that all
    nodes cut a prompt at the same places whatever an engine's tokenizer does.
    """

    name: str = "bytes4"

    def count(self, text: bytes) -> int:
        """Return the number of tokens, a started one included."""
        return -(-len(text) // BYTES_PER_TOKEN)

    def cut(self, text: bytes, tokens: int) -> collections.abc.Iterator[bytes]:
        """Yield the consecutive full pieces."""
        size = tokens * BYTES_PER_TOKEN
        for end in range(size, len(text) + 1, size):
            yield text[end - size : end]


TOKENIZERS: collections.abc.Mapping[str, Tokenizer] = {"bytes4": Bytes4()}


@dataclasses.dataclass(frozen=True)
class Chain:
    """A prompt's identity in the cache.

    Attributes
    ----------
    keys : tuple of bytes
        Keys of the full blocks, in the prompt's order.
    tokens : int
        Tokens of the whole prompt.
    conversation : str
        Id that picks the index shard, in hexadecimal.
    """

    keys: tuple[Key, ...]
    tokens: int
    conversation: str

    def hex_keys(self) -> list[str]:
        """Return the keys as requests to engines carry them."""
        return [key.hex() for key in self.keys]

    def tokens_after(self, blocks: int) -> int:
        """Return the tokens that remain behind the first blocks."""
        return self.tokens - blocks * BLOCK_TOKENS


def render(
    messages: collections.abc.Iterable[collections.abc.Mapping[str, object]],
    preamble: object = None,
) -> bytes:
    """Render chat messages, each as one line of JSON.

    Lines make the rendering injective, and the rendering of a conversation's
    first messages a prefix of the rendering of the whole.

    Parameters
    ----------
    messages : iterable of mapping
        Messages in order.
    preamble : object, optional
        What engines place before the messages, such as tool definitions.
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
        The deployment's secret, 1 to 64 bytes.
    team : str
        Team that sent the prompt.
    model : contract.Model
        Model that runs it.
    prompt : bytes
        Rendered prompt.
    tokenizer : Tokenizer, optional
        The tokenizer that `model` names, if it is not a shipped one.

    Raises
    ------
    ValueError
        If the secret is empty, the keys would not be keyed, or if the tokenizer
        is not the one that the model names.
    """
    _check_secret(secret)
    used = tokenizer or TOKENIZERS.get(model.tokenizer)
    if used is None or used.name != model.tokenizer:
        raise ValueError(f"model {model.name} needs tokenizer {model.tokenizer}")
    root = _root(secret, team, model)
    keys: list[Key] = []
    previous = root
    for piece in used.cut(prompt, BLOCK_TOKENS):
        previous = hashing.keyed_digest(secret, b"block", previous, piece)
        first = keys[0] if keys else previous
        keys.append(first[:CONVERSATION_BYTES] + previous)
    if not keys:
        whole = hashing.keyed_digest(secret, b"short", root, prompt)
        return Chain((), used.count(prompt), whole[:CONVERSATION_BYTES].hex())
    return Chain(tuple(keys), used.count(prompt), conversation(keys[0]))


def conversation(key: Key) -> str:
    """Return the id of the conversation that a block belongs to."""
    return key[:CONVERSATION_BYTES].hex()


def cache_salt(secret: bytes, team: str) -> str:
    """Return the salt that separates a team's prefix cache inside engines."""
    _check_secret(secret)
    return hashing.keyed_digest(secret, b"salt", team.encode()).hex()


def parse_key(text: str) -> Key | None:
    """Read a key in hexadecimal; None if it is not one."""
    try:
        key = bytes.fromhex(text)
    except ValueError:
        return None
    return key if len(key) == KEY_BYTES else None


def _check_secret(secret: bytes) -> None:
    if not secret:
        raise ValueError("the secret of block keys is empty")


def _root(secret: bytes, team: str, model: contract.Model) -> bytes:
    parts = (team, model.name, model.adapter, model.tokenizer, model.weight_version)
    return hashing.keyed_digest(secret, b"root", *(p.encode() for p in parts))

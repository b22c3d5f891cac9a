"""Property tests of block keys."""

import dataclasses

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from snipelug_core import block, contract

SECRET = b"s" * 32
NAMES = st.text("abc-", min_size=1, max_size=4).filter(lambda s: s[0] != "-")
BLOCK_BYTES = block.BLOCK_TOKENS * block.BYTES_PER_TOKEN


@dataclasses.dataclass(frozen=True)
class NamedTokenizer(block.Bytes4):
    name: str = "a"


@dataclasses.dataclass(frozen=True)
class PromptIdentity:
    team: str
    name: str
    adapter: str
    tokenizer: str
    weight_version: str

    def chain(self, prompt: bytes, secret: bytes = SECRET) -> block.Chain:
        fields = dataclasses.asdict(self)
        model = contract.Model(**{k: v for k, v in fields.items() if k != "team"})
        tokenizer = NamedTokenizer(self.tokenizer)
        return block.chain(secret, self.team, model, prompt, tokenizer)


IDENTITIES = st.builds(PromptIdentity, NAMES, NAMES, NAMES | st.just(""), NAMES, NAMES)


@st.composite
def prompts(draw: st.DrawFn) -> bytes:
    letters = draw(st.lists(st.sampled_from(b"xyz"), max_size=4))
    tail = draw(st.binary(max_size=20))
    return b"".join(bytes([letter]) * BLOCK_BYTES for letter in letters) + tail


@hypothesis.given(IDENTITIES, IDENTITIES, prompts(), prompts())
def test_keys_are_equal_only_for_equal_identity_and_prefix(
    identity: PromptIdentity, other: PromptIdentity, text: bytes, other_text: bytes
) -> None:
    """Guards against reading a block of another team, model or weight version."""
    first, second = identity.chain(text), other.chain(other_text)
    for i, a in enumerate(first.keys):
        for j, b in enumerate(second.keys):
            same_text = (
                text[: (i + 1) * BLOCK_BYTES] == other_text[: (j + 1) * BLOCK_BYTES]
            )
            assert (a == b) == (identity == other and same_text)


@pytest.mark.parametrize("field", [f.name for f in dataclasses.fields(PromptIdentity)])
@hypothesis.given(IDENTITIES, prompts())
def test_each_part_of_the_identity_changes_every_key(
    field: str, identity: PromptIdentity, text: bytes
) -> None:
    """Guards against leaving one part of the identity out of the hash."""
    other = dataclasses.replace(identity, **{field: getattr(identity, field) + "x"})
    first, second = identity.chain(text), other.chain(text)
    assert not set(first.keys) & set(second.keys)
    assert first.conversation != second.conversation


@hypothesis.given(IDENTITIES, prompts(), prompts())
def test_longer_prompt_keeps_keys_of_its_prefix(
    identity: PromptIdentity, text: bytes, suffix: bytes
) -> None:
    """Guards against later turns that cannot reuse the blocks of earlier ones."""
    first, longer = identity.chain(text), identity.chain(text + suffix)
    assert len(first.keys) == len(text) // BLOCK_BYTES
    assert longer.keys[: len(first.keys)] == first.keys
    if first.keys:
        assert longer.conversation == first.conversation
    assert {block.conversation(k) for k in longer.keys} <= {longer.conversation}
    assert [block.parse_key(k) for k in longer.hex_keys()] == list(longer.keys)


@hypothesis.given(
    st.lists(st.fixed_dictionaries({"role": NAMES, "content": st.text()})),
    st.lists(st.fixed_dictionaries({"role": NAMES, "content": st.text()})),
)
def test_rendering_is_injective_and_keeps_prefixes(
    messages: list[dict[str, str]], suffix: list[dict[str, str]]
) -> None:
    """Guards against different conversations with the same rendered prompt."""
    text = block.render(messages)
    assert block.render(messages + suffix).startswith(text)
    assert [msgspec.json.decode(line) for line in text.splitlines()] == messages


@hypothesis.given(NAMES, NAMES)
def test_salts_differ_by_team_and_secret(team: str, other: str) -> None:
    """Guards against engines that share a prefix cache between teams."""
    salt = block.cache_salt(SECRET, team)
    assert (salt == block.cache_salt(SECRET, other)) == (team == other)
    assert salt != block.cache_salt(b"t" * 32, team)


def test_invalid_arguments_raise() -> None:
    """Guards against unkeyed hashes and against splitting by the wrong tokenizer."""
    model = contract.Model(name="m", tokenizer="other")
    with pytest.raises(ValueError, match="secret"):
        block.cache_salt(b"", "a")
    with pytest.raises(ValueError, match="tokenizer other"):
        block.chain(SECRET, "a", model, b"")


@pytest.mark.parametrize("text", ["", "zz", "00" * 23, "00" * 25, "é"])
def test_malformed_key_is_none(text: str) -> None:
    """Guards against malformed keys from another node or a store."""
    assert block.parse_key(text) is None

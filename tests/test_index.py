"""Property tests of one shard of the block index."""

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from snipelug_core import block, index

KEYS = [bytes([i]) * block.KEY_BYTES for i in range(4)]
ENTRY_BYTES = index.BYTES_PER_ENTRY + index.BYTES_PER_LOCATION
AMPLE_BYTES = 1000 * ENTRY_BYTES


def engine(boot: str = "b1", name: str = "e1") -> index.Source:
    return index.Source(name, boot)


def store(boot: str = "b1", name: str = "s1") -> index.Source:
    return index.Source(name, boot, is_store=True)


def find_holders(shard: index.Index, key: bytes) -> set[str]:
    return set(shard.lookup([key], 0.0).prefixes())


FeedStep = tuple[int, bool, bool]
FEEDS = st.lists(
    st.tuples(st.integers(0, 3), st.booleans(), st.booleans()), min_size=1, max_size=12
)


def make_events(steps: list[FeedStep]) -> list[index.BlockAdded | index.BlockDropped]:
    """Build the events of one engine and one store, in feed order."""
    events: list[index.BlockAdded | index.BlockDropped] = []
    for seq, (k, is_add, is_store) in enumerate(steps, start=1):
        source = store() if is_store else engine()
        kind = index.BlockAdded if is_add else index.BlockDropped
        events.append(kind(source, KEYS[k], seq))
    return events


@hypothesis.given(FEEDS, st.randoms(use_true_random=False))
def test_reordered_and_repeated_events_give_the_same_state(
    steps: list[FeedStep], rng: random.Random
) -> None:
    """Guards against an addition that arrives late and undoes a newer removal."""
    events = make_events(steps)
    ordered, unordered = index.Index(AMPLE_BYTES), index.Index(AMPLE_BYTES)
    for event in events:
        ordered.apply(event, 0.0)
    shuffled = events + rng.choices(events, k=len(events))
    rng.shuffle(shuffled)
    for event in shuffled:
        unordered.apply(event, 0.0)
    for key in KEYS:
        assert find_holders(unordered, key) == find_holders(ordered, key)


@hypothesis.given(FEEDS, st.randoms(use_true_random=False))
def test_lost_events_never_add_a_location(
    steps: list[FeedStep], rng: random.Random
) -> None:
    """Guards against locations that no source has reported."""
    events = [e for e in make_events(steps) if rng.random() < 0.5]
    shard = index.Index(AMPLE_BYTES)
    for event in events:
        shard.apply(event, 0.0)
    for key in KEYS:
        added = {
            e.source.id
            for e in events
            if e.key == key and isinstance(e, index.BlockAdded)
        }
        assert find_holders(shard, key) <= added


@hypothesis.given(FEEDS, FEEDS, st.randoms(use_true_random=False))
def test_events_of_an_old_boot_are_ignored(
    old: list[FeedStep], new: list[FeedStep], rng: random.Random
) -> None:
    """Guards against locations of blocks that were lost in a restart.

    The feed of a new boot numbers its events from 1 again, so higher sequence numbers
    of the old boot must not hide them.
    """
    without_old_boot, restarted = index.Index(AMPLE_BYTES), index.Index(AMPLE_BYTES)
    for event in make_events(old):
        restarted.apply(event, 0.0)
    boots = [index.Source(s.id, "b2", s.is_store) for s in (engine(), store())]
    for source in boots:
        restarted.observe_boot(source)
    late_events = rng.choices(make_events(old), k=3)
    for event in make_events(new):
        new_source = next(s for s in boots if s.id == event.source.id)
        kind = type(event)
        for shard in (without_old_boot, restarted):
            shard.apply(kind(new_source, event.key, event.seq), 0.0)
        restarted.apply(late_events[event.seq % 3], 0.0)
    for key in KEYS:
        assert find_holders(restarted, key) == find_holders(without_old_boot, key)


HOLDERS = st.lists(st.sets(st.sampled_from(["e1", "e2", "s1", "s2"])), max_size=6)


@hypothesis.given(HOLDERS)
def test_lookup_returns_the_longest_prefix_of_each_location(
    held: list[set[str]],
) -> None:
    """Guards against prefixes longer than what is held, and against missed reuse."""
    shard = index.Index(AMPLE_BYTES)
    keys = [bytes([i]) * block.KEY_BYTES for i in range(len(held))]
    for key, names in zip(keys, held, strict=True):
        for name in names:
            source = index.Source(name, "b1", name.startswith("s"))
            shard.apply(index.BlockAdded(source, key, 1, 7, "c"), 0.0)
    expected = {}
    for name in ("e1", "e2", "s1", "s2"):
        misses = [i for i, names in enumerate(held) if name not in names]
        length = min([*misses, len(held)])
        if length:
            expected[name] = length
    found = shard.lookup(keys, 0.0)
    assert found.prefixes() == expected
    for copies, names in zip(found.stored, held, strict=False):
        assert {c.store for c in copies} == {n for n in names if n.startswith("s")}
        assert all((c.generation, c.checksum) == (7, "c") for c in copies)


@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 40), st.sampled_from("abcd"), st.floats(0.001, 9.0)),
        max_size=200,
    ),
    st.integers(1, 10),
)
def test_memory_is_bounded(steps: list[tuple[int, str, float]], limit: int) -> None:
    """Guards against memory that grows with the number of prompts or drops."""
    shard = index.Index(limit * ENTRY_BYTES)
    for now, (k, name, value) in enumerate(steps):
        key = bytes([k]) * block.KEY_BYTES
        for copy in range(index.MAX_LOCATIONS + 2):
            source = engine(name=f"{name}{copy}")
            shard.apply(index.BlockAdded(source, key, now + 1), float(now))
        shard.appraise([key], value, float(now))
        if name == "a":
            shard.apply(index.BlockDropped(engine(name="a0"), key, now + 1), float(now))
        assert shard.size_bytes <= limit * ENTRY_BYTES
        held = sum(len(e.places) for e in shard._entries.values())
        assert shard._location_count == held
        assert len(shard._heap) <= 2 * limit + 65
        assert len(shard.lookup([key], float(now)).memory) <= index.MAX_LOCATIONS


def test_eviction_heap_is_bounded() -> None:
    """Guards against memory that grows with the number of value changes."""
    shard = index.Index(AMPLE_BYTES)
    shard.apply(index.BlockAdded(engine(), KEYS[0], 1), 0.0)
    for i in range(1000):
        shard.appraise(KEYS[:1], 1.0 + i % 2, 0.0)
    assert len(shard._heap) <= 2 + 65


def test_tombstones_are_bounded() -> None:
    """Guards against memory that grows with drops of unknown blocks."""
    shard = index.Index(AMPLE_BYTES)
    for i in range(2 * index.MAX_TOMBSTONES):
        shard.apply(index.BlockDropped(engine(), i.to_bytes(24, "big"), i + 1), 0.0)
    assert len(shard._tombstones) == index.MAX_TOMBSTONES


def test_eviction_removes_the_least_valuable_entries() -> None:
    """Guards against evicting a valuable prompt in favor of a less valuable one."""
    shard = index.Index(4 * ENTRY_BYTES)
    keys = [bytes([i]) * block.KEY_BYTES for i in range(12)]
    for key in keys[:3]:
        shard.apply(index.BlockAdded(store(), key, 1), 0.0)
    shard.appraise(keys[:3], 0.5, 0.0)
    for i, key in enumerate(keys[3:]):
        shard.apply(index.BlockAdded(store(), key, 1), 60.0 + i)
    assert len(shard.lookup(keys[:3], 100.0).stored) == 3
    shard.appraise(keys[:3], 1e-9, 200.0)
    for key in keys[3:]:
        shard.apply(index.BlockAdded(store(), key, 2), 200.0)
        shard.appraise([key], 0.5, 200.0)
    assert len(shard.lookup(keys[:3], 300.0).stored) < 3


def test_least_valuable_copies_are_chosen_for_deletion() -> None:
    """Guards against a full store that keeps blocks which are not read again."""
    shard = index.Index(AMPLE_BYTES)
    for i, key in enumerate(KEYS):
        shard.apply(index.BlockAdded(store(), key, i + 1, 7, "c"), 0.0)
        shard.appraise([key], 1.0 + i, 0.0)
    shard.apply(index.BlockAdded(store(name="s2"), b"\xff" * block.KEY_BYTES, 1), 0.0)
    expected = [index.BlockAdded(store(), KEYS[i], i + 1, 7, "c") for i in range(2)]
    assert shard.least_valuable("s1", 0.5) == expected
    assert shard.least_valuable("s9", 0.5) == []
    shard.apply(index.BlockAdded(store(name="s2"), KEYS[3], 2), 0.0)
    assert [c.key for c in shard.least_valuable("s2", 0.5)] == [KEYS[3]]
    assert shard.least_valuable("s1", 0.5) == expected


@pytest.mark.parametrize(
    ("unreadable", "first"), [((), 2), (("s1",), 0), (("s2",), 2), (("s1", "s2"), 0)]
)
def test_unreadable_copies_do_not_make_others_redundant(
    unreadable: tuple[str, ...], first: int
) -> None:
    """Guards against deletion of the last readable copies while a zone is out."""
    shard = index.Index(AMPLE_BYTES)
    shard.apply(index.BlockAdded(store(name="s1"), KEYS[2], 1), 0.0)
    for i, key in enumerate(KEYS[:3]):
        shard.apply(index.BlockAdded(store(name="s2"), key, i + 1), 0.0)
        shard.appraise([key], 1.0 + i, 0.0)
    assert shard.least_valuable("s2", 0.1, unreadable)[0].key == KEYS[first]


def test_value_set_before_the_first_event_is_kept() -> None:
    """Guards against deletion of new copies first because they have no value yet."""
    shard = index.Index(AMPLE_BYTES)
    shard.appraise(KEYS[:1], 0.5, 0.0)
    for key in KEYS[:2]:
        shard.apply(index.BlockAdded(store(), key, 1), 1.0)
    assert [c.key for c in shard.least_valuable("s1", 0.5)] == [KEYS[1]]
    for i in range(2 * index.MAX_EARLY_VALUES):
        shard.appraise([i.to_bytes(24, "big")], 0.5, 0.0)
    assert len(shard._early_values) <= index.MAX_EARLY_VALUES


def test_lookup_without_mark_used_does_not_delay_eviction() -> None:
    """Guards against a zone evacuation that makes all prompts look recently used."""
    shard = index.Index(AMPLE_BYTES)
    for key in KEYS[:2]:
        shard.apply(index.BlockAdded(store(), key, 1), 0.0)
    shard.lookup(KEYS[:1], 100.0, mark_used=True)
    shard.lookup(KEYS[1:2], 200.0, mark_used=False)
    assert [c.key for c in shard.least_valuable("s1", 0.5)] == [KEYS[1]]


def test_last_blocks_of_a_prompt_are_evicted_first() -> None:
    """Guards against keeping blocks that are useless without the evicted first one."""
    shard = index.Index(4 * ENTRY_BYTES)
    keys = [bytes([i]) * block.KEY_BYTES for i in range(6)]
    for key in keys[:4]:
        shard.apply(index.BlockAdded(store(), key, 1), 0.0)
    shard.appraise(keys[:4], 1e-3, 1.0)
    for key in keys[4:]:
        shard.apply(index.BlockAdded(store(), key, 1), 2.0)
    assert len(shard.lookup(keys[:4], 3.0).stored) == 2


MISSED_READS = [(0, 0), (5, 0), (4, 1), (6, 0)]


@pytest.mark.parametrize(("generation", "left"), MISSED_READS)
def test_missed_read_removes_only_the_generation_it_expected(
    generation: int, left: int
) -> None:
    """Guards against a late or repeated miss that removes a newer copy."""
    shard = index.Index(AMPLE_BYTES)
    shard.apply(index.BlockAdded(store(), KEYS[0], 3, 5, "c"), 0.0)
    shard.apply(index.BlockDropped(store(), KEYS[0], 0, generation), 0.0)
    assert len(find_holders(shard, KEYS[0])) == left


WRITES = [
    ([(1, 9), (2, 8)], 8),
    ([(2, 8), (1, 9)], 8),
    ([(0, 9), (1, 8)], 9),
    ([(0, 8), (1, 9)], 9),
    ([(1, 8), (0, 9)], 9),
]


@pytest.mark.parametrize(("writes", "kept"), WRITES)
def test_feed_order_decides_between_two_writes(
    writes: list[tuple[int, int]], kept: int
) -> None:
    """Guards against missed reads that expect an overwritten generation."""
    shard = index.Index(AMPLE_BYTES)
    for seq, generation in writes:
        shard.apply(index.BlockAdded(store(), KEYS[0], seq, generation), 0.0)
    assert shard.lookup(KEYS[:1], 0.0).stored[0][0].generation == kept


def test_removed_source_is_not_returned() -> None:
    """Guards against locations at an instance that the platform has removed."""
    shard = index.Index(AMPLE_BYTES)
    shard.apply(index.BlockAdded(store(), KEYS[0], 3), 0.0)
    shard.remove_source("s1")
    assert find_holders(shard, KEYS[0]) == set()

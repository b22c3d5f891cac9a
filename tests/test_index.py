"""Property tests of one shard of the block index."""

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from snipelug_core import block, index

KEYS = [bytes([i]) * block.KEY_BYTES for i in range(4)]
ONE = index.BYTES_PER_ENTRY + index.BYTES_PER_LOCATION
ROOMY = 1000 * ONE


def engine(boot: str = "b1", name: str = "e1") -> index.Source:
    return index.Source(name, boot)


def store(boot: str = "b1", name: str = "s1") -> index.Source:
    return index.Source(name, boot, is_store=True)


def holds(shard: index.Index, key: bytes) -> set[str]:
    return set(shard.lookup([key], 0.0).prefixes())


Step = tuple[int, bool, bool]
FEEDS = st.lists(
    st.tuples(st.integers(0, 3), st.booleans(), st.booleans()), min_size=1, max_size=12
)


def feed(steps: list[Step]) -> list[index.BlockAdded | index.BlockDropped]:
    """Build the events of one engine and one store in the order of their feeds."""
    events: list[index.BlockAdded | index.BlockDropped] = []
    for seq, (k, is_add, is_store) in enumerate(steps, start=1):
        source = store() if is_store else engine()
        kind = index.BlockAdded if is_add else index.BlockDropped
        events.append(kind(source, KEYS[k], seq))
    return events


@hypothesis.given(FEEDS, st.randoms(use_true_random=False))
def test_late_and_repeated_events_end_in_the_same_state(
    steps: list[Step], rng: random.Random
) -> None:
    """Guards against a late addition that undoes a later removal."""
    events = feed(steps)
    ordered, mixed = index.Index(ROOMY), index.Index(ROOMY)
    for event in events:
        ordered.apply(event, 0.0)
    shuffled = events + rng.choices(events, k=len(events))
    rng.shuffle(shuffled)
    for event in shuffled:
        mixed.apply(event, 0.0)
    for key in KEYS:
        assert holds(mixed, key) == holds(ordered, key)


@hypothesis.given(FEEDS, st.randoms(use_true_random=False))
def test_missing_events_never_add_a_location(
    steps: list[Step], rng: random.Random
) -> None:
    """Guards against locations that no source has ever reported."""
    events = [e for e in feed(steps) if rng.random() < 0.5]
    shard = index.Index(ROOMY)
    for event in events:
        shard.apply(event, 0.0)
    for key in KEYS:
        added = {
            e.source.id
            for e in events
            if e.key == key and isinstance(e, index.BlockAdded)
        }
        assert holds(shard, key) <= added


@hypothesis.given(FEEDS, FEEDS, st.randoms(use_true_random=False))
def test_events_of_an_old_boot_do_not_count(
    old: list[Step], new: list[Step], rng: random.Random
) -> None:
    """Guards against offers of blocks that were lost in a restart.

    Feeds of a new boot count from 1 again, so that a higher number of the old boot
    must not hide them.
    """
    fresh, restarted = index.Index(ROOMY), index.Index(ROOMY)
    for event in feed(old):
        restarted.apply(event, 0.0)
    boots = [index.Source(s.id, "b2", s.is_store) for s in (engine(), store())]
    for source in boots:
        restarted.observe_boot(source)
    late = rng.choices(feed(old), k=3)
    for event in feed(new):
        moved = next(s for s in boots if s.id == event.source.id)
        kind = type(event)
        for shard in (fresh, restarted):
            shard.apply(kind(moved, event.key, event.seq), 0.0)
        restarted.apply(late[event.seq % 3], 0.0)
    for key in KEYS:
        assert holds(restarted, key) == holds(fresh, key)


HELD = st.lists(st.sets(st.sampled_from(["e1", "e2", "s1", "s2"])), max_size=6)


@hypothesis.given(HELD)
def test_lookup_returns_the_longest_prefix_of_each_location(
    held: list[set[str]],
) -> None:
    """Guards against prefixes that are too long (wrong) or too short (recomputed)."""
    shard = index.Index(ROOMY)
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
    """Guards against an index that grows with the number of prompts or drops."""
    shard = index.Index(limit * ONE)
    for now, (k, name, value) in enumerate(steps):
        key = bytes([k]) * block.KEY_BYTES
        for copy in range(index.MAX_LOCATIONS + 2):
            source = engine(name=f"{name}{copy}")
            shard.apply(index.BlockAdded(source, key, now + 1), float(now))
        shard.appraise([key], value, float(now))
        if name == "a":
            shard.apply(index.BlockDropped(engine(name="a0"), key, now + 1), float(now))
        assert shard.size_bytes <= limit * ONE
        held = sum(len(e.places) for e in shard._entries.values())
        assert shard._locations == held
        assert len(shard._heap) <= 2 * limit + 65
        assert len(shard.lookup([key], float(now)).memory) <= index.MAX_LOCATIONS


def test_queue_of_evictions_is_bounded() -> None:
    """Guards against memory growing with changes of value."""
    shard = index.Index(ROOMY)
    shard.apply(index.BlockAdded(engine(), KEYS[0], 1), 0.0)
    for i in range(1000):
        shard.appraise(KEYS[:1], 1.0 + i % 2, 0.0)
    assert len(shard._heap) <= 2 + 65


def test_tombstones_are_bounded() -> None:
    """Guards against memory growing with drops of unknown blocks."""
    shard = index.Index(ROOMY)
    for i in range(2 * index.MAX_TOMBSTONES):
        shard.apply(index.BlockDropped(engine(), i.to_bytes(24, "big"), i + 1), 0.0)
    assert len(shard._tombstones) == index.MAX_TOMBSTONES


def test_eviction_takes_the_least_expected_value() -> None:
    """Guards against losing a prompt that is due back for one that is not."""
    shard = index.Index(4 * ONE)
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


def test_cheapest_copies_of_a_store_are_named_for_deletion() -> None:
    """Guards against a full store that keeps what nobody asks for again."""
    shard = index.Index(ROOMY)
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
def test_copies_out_of_reach_do_not_make_others_spare(
    unreadable: tuple[str, ...], first: int
) -> None:
    """Guards against the last readable copies being deleted while a zone is out."""
    shard = index.Index(ROOMY)
    shard.apply(index.BlockAdded(store(name="s1"), KEYS[2], 1), 0.0)
    for i, key in enumerate(KEYS[:3]):
        shard.apply(index.BlockAdded(store(name="s2"), key, i + 1), 0.0)
        shard.appraise([key], 1.0 + i, 0.0)
    assert shard.least_valuable("s2", 0.1, unreadable)[0].key == KEYS[first]


def test_value_that_comes_before_the_block_counts() -> None:
    """Guards against new copies that are deleted first for want of a value."""
    shard = index.Index(ROOMY)
    shard.appraise(KEYS[:1], 0.5, 0.0)
    for key in KEYS[:2]:
        shard.apply(index.BlockAdded(store(), key, 1), 1.0)
    assert [c.key for c in shard.least_valuable("s1", 0.5)] == [KEYS[1]]
    for i in range(2 * index.MAX_EARLY_VALUES):
        shard.appraise([i.to_bytes(24, "big")], 0.5, 0.0)
    assert len(shard._early) <= index.MAX_EARLY_VALUES


def test_a_scan_does_not_keep_entries() -> None:
    """Guards against a zone's move that makes all prompts look recently used."""
    shard = index.Index(ROOMY)
    for key in KEYS[:2]:
        shard.apply(index.BlockAdded(store(), key, 1), 0.0)
    shard.lookup(KEYS[:1], 100.0, mark_used=True)
    shard.lookup(KEYS[1:2], 200.0, mark_used=False)
    assert [c.key for c in shard.least_valuable("s1", 0.5)] == [KEYS[1]]


def test_a_prompt_loses_its_end_first() -> None:
    """Guards against kept blocks that are useless without the evicted first one."""
    shard = index.Index(4 * ONE)
    keys = [bytes([i]) * block.KEY_BYTES for i in range(6)]
    for key in keys[:4]:
        shard.apply(index.BlockAdded(store(), key, 1), 0.0)
    shard.appraise(keys[:4], 1e-3, 1.0)
    for key in keys[4:]:
        shard.apply(index.BlockAdded(store(), key, 1), 2.0)
    assert len(shard.lookup(keys[:4], 3.0).stored) == 2


MISSES = [(0, 0), (5, 0), (4, 1), (6, 0)]


@pytest.mark.parametrize(("generation", "left"), MISSES)
def test_a_missed_read_removes_only_what_it_read(generation: int, left: int) -> None:
    """Guards against a late miss that hides a newer copy, and against repeated ones."""
    shard = index.Index(ROOMY)
    shard.apply(index.BlockAdded(store(), KEYS[0], 3, 5, "c"), 0.0)
    shard.apply(index.BlockDropped(store(), KEYS[0], 0, generation), 0.0)
    assert len(holds(shard, KEYS[0])) == left


WRITES = [
    ([(1, 9), (2, 8)], 8),
    ([(2, 8), (1, 9)], 8),
    ([(0, 9), (1, 8)], 9),
    ([(0, 8), (1, 9)], 9),
    ([(1, 8), (0, 9)], 9),
]


@pytest.mark.parametrize(("writes", "kept"), WRITES)
def test_feed_decides_between_two_writes(
    writes: list[tuple[int, int]], kept: int
) -> None:
    """Guards against reads that miss because of a write that was replaced."""
    shard = index.Index(ROOMY)
    for seq, generation in writes:
        shard.apply(index.BlockAdded(store(), KEYS[0], seq, generation), 0.0)
    assert shard.lookup(KEYS[:1], 0.0).stored[0][0].generation == kept


def test_removed_source_is_not_offered() -> None:
    """Guards against offers of an instance that the platform has removed."""
    shard = index.Index(ROOMY)
    shard.apply(index.BlockAdded(store(), KEYS[0], 3), 0.0)
    shard.remove_source("s1")
    assert holds(shard, KEYS[0]) == set()

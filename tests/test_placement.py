"""Tests of the placement of KV cache blocks in stores."""

import collections
import json
import random

import hypothesis
import pytest
from hypothesis import strategies as st

from snipelug_core import hashing, index, placement, route
from tests import builders

SIZE = builders.BLOCK_BYTES
TTFT, REUSE = route.MODES["ttft"], route.MODES["reuse"]
REASON = placement.Reason


def budgets(burst: float = 1e9, rate: float = 0.0) -> placement.Budgets:
    pairs = [(s, z) for s in ("s1", "s2", "s3") for z in ("a", "b")]
    return {pair: placement.TokenBucket(rate, burst) for pair in pairs}


def copies(*stores: str, boot: str = "b1") -> tuple[index.StoredCopy, ...]:
    return tuple(index.StoredCopy(s, boot, 1, "c") for s in stores)


SINGLE_STORE_CASES = [
    ("whole", builders.store(), {}, 1e9, REASON.PLACED, (0, 1, 2)),
    ("dead", builders.store(alive=False), {}, 1e9, REASON.DEAD, ()),
    ("full", builders.store(free_bytes=25.0), {}, 1e9, REASON.FULL, ()),
    (
        "room for two",
        builders.store(free_bytes=45.0),
        {"block_s": 9.0},
        1e9,
        REASON.PARTLY,
        (0, 1),
    ),
    (
        "price of scarce room",
        builders.store(free_bytes=30.0),
        {"chance": 0.2},
        1e9,
        REASON.VALUE,
        (),
    ),
    (
        "worth scarce room",
        builders.store(free_bytes=30.0),
        {"chance": 0.5},
        1e9,
        REASON.PARTLY,
        (0,),
    ),
    (
        "same value with room",
        builders.store(free_bytes=60.0),
        {"chance": 0.2},
        1e9,
        REASON.PLACED,
        (0, 1, 2),
    ),
    (
        "room to spare",
        builders.store(free_bytes=200.0),
        {},
        1e9,
        REASON.PLACED,
        (0, 1, 2),
    ),
    ("no return", builders.store(), {"chance": 1e-4}, 1e9, REASON.VALUE, ()),
    (
        "no size",
        builders.store(size_bytes=0.0, free_bytes=0.0),
        {},
        1e9,
        REASON.FULL,
        (),
    ),
    ("budget for two", builders.store(), {}, 25.0, REASON.PARTLY, (0, 1)),
    ("no budget", builders.store(), {}, 0.0, REASON.BUDGET, ()),
    ("unknown link", builders.store("s9"), {}, 1e9, REASON.BUDGET, ()),
    ("zone out", builders.store(zone="out"), {}, 1e9, REASON.LEAVING, ()),
    (
        "rest only",
        builders.store(),
        {"found": index.PrefixLocations({}, (copies("s1"), copies("s2")))},
        1e9,
        REASON.PLACED,
        (1, 2),
    ),
    (
        "all there",
        builders.store(),
        {"found": index.PrefixLocations({}, (copies("s1"),) * 3)},
        1e9,
        REASON.THERE,
        (),
    ),
    (
        "copies of an old boot",
        builders.store(),
        {"found": index.PrefixLocations({}, (copies("s1", boot="b0"),) * 3)},
        1e9,
        REASON.PLACED,
        (0, 1, 2),
    ),
]


@pytest.mark.parametrize(
    ("target", "fields", "burst", "reason", "positions"),
    [c[1:] for c in SINGLE_STORE_CASES],
)
def test_store_and_link_state_decide_what_is_placed(
    target: placement.Store,
    fields: dict[str, object],
    burst: float,
    reason: placement.Reason,
    positions: tuple[int, ...],
) -> None:
    """Guards against writes to dead or full stores, and against worthless writes."""
    request = builders.prompt(**fields)
    links = budgets(burst if burst else 1.0)
    if not burst:
        assert links["s1", "a"].consume(1.0, 0.0)
    placed = placement.place(request, [target], links, TTFT, {"out"}, 0.0)
    assert [j.reason for j in placed.decisions] == [reason]
    assert [e.positions for e in placed.exports] == ([positions] if positions else [])
    assert json.loads(json.dumps(placement.record(request, placed, "r")))


STORES = st.lists(
    st.builds(
        builders.store,
        st.sampled_from(["s1", "s2", "s3"]),
        st.sampled_from(["a", "b", "out"]),
        alive=st.booleans(),
        free_bytes=st.sampled_from([0.0, 30.0, 400.0, 1000.0]),
    ),
    unique_by=lambda s: s.id,
)


@hypothesis.given(
    STORES,
    st.integers(0, 8),
    st.sampled_from([TTFT, REUSE]),
    st.sampled_from([0.001, 0.05, 0.9]),
    st.sampled_from([15.0, 35.0, 1e9]),
    st.randoms(use_true_random=False),
)
def test_placement_respects_all_limits(
    stores: list[placement.Store],
    blocks: int,
    mode: route.Mode,
    chance: float,
    burst: float,
    rng: random.Random,
) -> None:
    """Guards against overfull stores, overused links and two copies in one zone."""
    request = builders.prompt(blocks, chance=chance, block_s=2.0)
    placed = placement.place(request, stores, budgets(burst), mode, {"out"}, 0.0)
    shuffled = rng.sample(stores, len(stores))
    again = placement.place(request, shuffled, budgets(burst), mode, {"out"}, 0.0)
    assert again == placed
    by_id = {s.id: s for s in stores}
    zones = [by_id[e.store].zone for e in placed.exports]
    assert len(zones) == len(set(zones)) <= 2
    for i, export in enumerate(placed.exports):
        target = by_id[export.store]
        assert target.alive
        assert target.zone != "out"
        assert export.positions == tuple(range(len(export.positions)))
        assert len(export.positions) * SIZE <= min(target.free_bytes, burst)
        weight = mode.second_copy if i else 1.0
        assert request.value_s * weight >= target.price_s(is_second_copy=i > 0)


def test_mode_decides_on_the_second_copy() -> None:
    """Guards against a mode whose weight of the second copy has no effect."""
    stores = [builders.store("s1", "a"), builders.store("s2", "b", free_bytes=300.0)]
    request = builders.prompt(chance=0.3, block_s=0.2)
    counts = {}
    for mode in (TTFT, REUSE):
        placed = placement.place(request, stores, budgets(), mode, set(), 0.0)
        counts[mode.name] = [e.store for e in placed.exports]
    assert counts == {"ttft": ["s1"], "reuse": ["s1", "s2"]}


@hypothesis.given(
    st.lists(st.tuples(st.floats(0, 5), st.floats(0, 30)), max_size=30),
    st.floats(1, 20),
    st.floats(0, 10),
)
def test_link_budget_is_not_exceeded(
    steps: list[tuple[float, float]], burst: float, rate: float
) -> None:
    """Guards against exports that delay the reads of waiting requests."""
    bucket = placement.TokenBucket(rate, burst)
    now = sent = largest = 0.0
    for gap, size in steps:
        now += gap
        if bucket.consume(size, now):
            sent += size
            largest = max(largest, size)
        bucket.available(now - 1.0)
    assert sent <= burst + rate * now + max(0.0, largest - burst) + 1e-6


def test_transfer_larger_than_the_burst_starts_and_leaves_a_debt() -> None:
    """Guards against long prompts that never fit into a link's budget."""
    bucket = placement.TokenBucket(rate=1.0, burst=10.0)
    assert bucket.consume(30.0, 0.0)
    assert not bucket.consume(10.0, 29.0)
    assert bucket.consume(10.0, 30.0)


def test_reuse_is_estimated_per_team_turns_and_length() -> None:
    """Guards against estimates that mix teams or kinds of prompts."""
    estimator = placement.ReuseEstimator()
    unknown = estimator.probability("new", 0, 5)
    for _ in range(200):
        for turns in range(3):
            estimator.observe("faithful", turns, 5)
        estimator.observe("faithful", 0, 0)
        estimator.observe("once", 0, 5)
    assert estimator.probability("new", 0, 5) == unknown
    assert estimator.probability("once", 0, 5) < 0.05
    assert estimator.probability("faithful", 0, 0) < 0.05
    assert estimator.probability("faithful", 0, 5) > 0.9
    assert 0.9 < estimator.probability("faithful", 1, 5) <= 1.0
    estimator.forget({"faithful"})
    assert estimator.probability("faithful", 0, 5) == unknown


def test_blocks_in_transit_are_not_exported_again() -> None:
    """Guards against repeated exports of blocks that the index does not know yet."""
    links = budgets(burst=2 * SIZE, rate=2 * SIZE)
    stores = [builders.store("s1", "a"), builders.store("s2", "a")]
    request = builders.prompt(5)
    exported: list[tuple[str, int]] = []
    for now in range(4):
        placed = placement.place(request, stores, links, TTFT, set(), float(now))
        exported += [(e.store, p) for e in placed.exports for p in e.positions]
        assert placement.is_retryable(placed) == (now < 2)
        request = placement.with_in_transit(request, placed)
    assert [position for _, position in exported] == [0, 1, 2, 3, 4]
    assert len({name for name, _ in exported}) == 1


@pytest.mark.parametrize("name", ["s1", "s2"])
def test_remaining_blocks_go_to_the_store_of_the_first(name: str) -> None:
    """Guards against a prompt scattered over several stores while it is exported."""
    stores = [builders.store("s1", "a"), builders.store("s2", "a")]
    request = builders.prompt(3, in_transit=frozenset({(name, 0), (name, 1)}))
    placed = placement.place(request, stores, budgets(), TTFT, set(), 0.0)
    assert [(e.store, e.positions) for e in placed.exports] == [(name, (2,))]


def test_second_copies_leave_budget_to_first_copies() -> None:
    """Guards against prompts without a copy because others have two."""
    stores = [builders.store("s1", "a"), builders.store("s2", "b")]
    links = budgets(burst=4 * SIZE)
    first = placement.place(builders.prompt(3), stores, links, REUSE, set(), 0.0)
    assert [len(e.keys) for e in first.exports] == [3, 2]
    other = builders.prompt(2, zone="b")
    later = placement.place(other, stores[1:], links, REUSE, set(), 0.0)
    assert [len(e.keys) for e in later.exports] == [2]


TWO_COPIES = (copies("s1", "s2"),)
CONVERSATIONS = st.lists(
    st.tuples(
        st.integers(1, 4),
        st.sampled_from([0.1, 0.2, 0.3]),
        st.sampled_from([(), ("e1",), ("e2", "e9")]),
        st.sampled_from([(), ("s1",), ("s1", "s2"), ("s9",)]),
        st.integers(0, 4),
    ),
    max_size=8,
)


@hypothesis.settings(max_examples=300)
@hypothesis.given(
    CONVERSATIONS,
    st.sampled_from([35.0, 1e9]),
    st.sampled_from([0.0, 60.0, 1000.0]),
    st.booleans(),
    st.randoms(use_true_random=False),
)
def test_evacuation_copies_the_most_valuable_first(
    drawn: list[tuple[int, float, tuple[str, ...], tuple[str, ...], int]],
    burst: float,
    free: float,
    alive: bool,
    rng: random.Random,
) -> None:
    """Guards against lost prompts and overused links when a zone is evacuated."""
    held = [
        placement.CachedConversation(
            f"c{i}",
            builders.chain(n).keys,
            v,
            SIZE,
            ups,
            (copies(*at),) * min(n, stored),
        )
        for i, (n, v, ups, at, stored) in enumerate(drawn)
    ]
    stores = [
        builders.store("s1", "a"),
        builders.store("s2", "b", free_bytes=free, alive=alive),
    ]
    stores.append(builders.store("s3", "out"))

    def run(
        items: list[placement.CachedConversation],
    ) -> list[placement.Move | placement.PostponedMove]:
        engines = ["e1", "e2"]
        links = budgets(burst)
        plan = placement.plan_move("a", items, stores, engines, links, {"out"}, 0.0)
        return list(plan)

    steps = run(held)
    assert run(rng.sample(held, len(held))) == steps
    by_id = {h.conversation: h for h in held}
    wanted = {
        h.conversation: [
            i
            for i in range(len(h.keys))
            if not (alive and h.copies[i : i + 1] == TWO_COPIES)
        ]
        for h in held
    }
    complete = {c for c, positions in wanted.items() if not positions}
    assert [s.conversation for s in steps] == sorted(
        set(by_id) - complete, key=lambda c: (-by_id[c].value_s, c)
    )
    used: dict[str, float] = collections.Counter()
    for step in steps:
        json.dumps(placement.record_move("a", step))
        if isinstance(step, placement.PostponedMove):
            continue
        item = by_id[step.conversation]
        assert step.export.store == "s2"
        positions = list(step.export.positions)
        assert step.export.keys == tuple(item.keys[i] for i in positions)
        used["s2"] += len(step.export.keys) * SIZE
        imported = [f.position for f in step.imports]
        holds_blocks = step.upstream in item.upstreams
        assert imported == ([] if holds_blocks else positions)
        readable = [i for i in wanted[step.conversation] if item.copies[i : i + 1]]
        readable = [i for i in readable if item.copies[i]]
        assert positions == (wanted[step.conversation] if holds_blocks else readable)
        assert step.upstream in ("e1", "e2")
    assert used["s2"] <= min(free if alive else 0.0, burst + 4 * SIZE)
    if alive and free == 1000.0 and burst == 1e9:
        postponed = [s for s in steps if isinstance(s, placement.PostponedMove)]
        assert all(s.reason is REASON.NO_SOURCE for s in postponed)
        for step in postponed:
            first = wanted[step.conversation][0]
            assert not any(by_id[step.conversation].copies[first : first + 1])


def test_waiting_exports_are_bounded_and_ordered() -> None:
    """Guards against an unbounded queue, and against exporting low values first."""
    queue = placement.ExportQueue(wait_s=10.0, limit=3)
    prompts = [
        placement.Prompt(builders.chain(1, f"c{i}"), "t", "e1", "a", c, 0.2, SIZE)
        for i, c in enumerate([0.1, 0.4, 0.3, 0.2])
    ]
    for now, request in enumerate(prompts):
        queue.add(request, float(now))
    queue.add(prompts[1], 5.0)
    assert queue.due(6.0) == [prompts[1], prompts[2], prompts[3]]
    queue.remove(prompts[2])
    assert queue.due(13.5) == [prompts[1]]
    assert len(queue) == 1


@pytest.mark.parametrize(("burst", "expected"), [(25.0, True), (1e9, False)])
def test_only_a_busy_link_makes_a_placement_retryable(
    burst: float, expected: bool
) -> None:
    """Guards against retries of exports that no store accepts."""
    links = budgets(burst)
    placed = placement.place(
        builders.prompt(), [builders.store()], links, TTFT, set(), 0.0
    )
    assert placement.is_retryable(placed) == expected
    waits = {"s1": 2 * placement.MAX_LINK_WAIT_S}
    placed = placement.place(
        builders.prompt(), [builders.store()], links, TTFT, set(), 0.0, waits
    )
    assert placement.is_retryable(placed)
    dead = [builders.store(alive=False)]
    placed = placement.place(builders.prompt(), dead, links, TTFT, set(), 0.0)
    assert not placement.is_retryable(placed)


@pytest.mark.parametrize(
    ("waits", "expected"),
    [({}, ["s1"]), ({"s1": 1.0}, ["s2"]), ({"s1": 1.0, "s2": 1.0}, [])],
)
def test_nothing_is_exported_over_busy_links(
    waits: dict[str, float], expected: list[str]
) -> None:
    """Guards against exports that delay the reads of waiting requests."""
    stores = [builders.store("s1", "a"), builders.store("s2", "b")]
    links = budgets()
    placed = placement.place(builders.prompt(), stores, links, TTFT, set(), 0.0, waits)
    assert [e.store for e in placed.exports][:1] == expected
    by_store = {j.store: j.reason for j in placed.decisions}
    assert all(by_store[s] is REASON.BUSY for s in waits)


def test_conversations_are_spread_over_the_stores_of_a_zone() -> None:
    """Guards against placing all prompts in the first store."""
    stores = [builders.store("s1"), builders.store("s2")]
    first = collections.Counter(
        hashing.rank(f"c{i}", [s.id for s in stores])[0] for i in range(100)
    )
    placed: collections.Counter[str] = collections.Counter()
    for i in range(100):
        request = placement.Prompt(
            builders.chain(1, f"c{i}"), "t", "e1", "a", 0.5, 0.2, SIZE
        )
        decision = placement.place(request, stores, budgets(), TTFT, set(), 0.0)
        placed.update(e.store for e in decision.exports)
    assert placed == first
    assert min(first.values()) > 25

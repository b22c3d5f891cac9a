"""Tests of upstream selection."""

import collections.abc
import dataclasses
import json
import random

import hypothesis
import pytest
from hypothesis import strategies as st

from snipelug_core import (
    baseline,
    block,
    contract,
    index,
    link,
    prefill,
    route,
    subset,
    table,
)
from tests import builders

ZONES = ("a", "b")
CONTRACT = contract.Contract("t", (), models=("m",), services=("stock",))
CFG = contract.Config(1, {"t": CONTRACT})
ROUTERS = [
    route.LowestCost(route.MODES["ttft"]),
    route.LowestCost(route.MODES["reuse"]),
    baseline.RoundRobin(),
    baseline.LeastLoaded(),
    baseline.PrefixAffinity(),
]


def stored_copy(store: str) -> index.StoredCopy:
    return index.StoredCopy(store, "b", 1, "c")


FILTERS = [
    ({"serves": frozenset({"x"})}, {}, {}, route.Reason.OTHER_MODEL),
    ({}, {}, {"contracts": {}}, route.Reason.NOT_IN_CONTRACT),
    ({}, {"team": "u"}, {}, route.Reason.NOT_IN_CONTRACT),
    ({}, {}, {"zones_out": frozenset({"a"})}, route.Reason.ZONE_OUT),
    ({}, {}, {"instances_out": frozenset({"e"})}, route.Reason.INSTANCE_OUT),
    ({"leaving": True}, {}, {}, route.Reason.LEAVING),
    ({}, {"excluded": frozenset({"e"})}, {}, route.Reason.FAILED_BEFORE),
    ({"weight_version": "w2"}, {}, {}, route.Reason.OTHER_VERSION),
    ({"weight_version": ""}, {}, {}, None),
    ({"weight_version": "w2"}, {"weight_version": ""}, {}, None),
    ({"suspects": 1}, {"suspect": True}, {}, route.Reason.SUSPECT_RUNNING),
    ({"suspects": 1}, {}, {}, None),
    ({}, {"suspect": True}, {}, None),
    ({"needs_grant": True}, {}, {}, route.Reason.COLD_WITHOUT_GRANT),
    ({"needs_grant": True, "granted": True}, {}, {}, None),
    ({"serves": frozenset({"stock"})}, {"wants": "stock", "chain": None}, {}, None),
]


@pytest.mark.parametrize("router", ROUTERS, ids=lambda r: r.name)
@pytest.mark.parametrize(("of_target", "of_request", "of_cfg", "reason"), FILTERS)
def test_filtered_upstreams_are_never_chosen(
    router: route.Router,
    of_target: dict[str, object],
    of_request: dict[str, object],
    of_cfg: dict[str, object],
    reason: route.Reason | None,
) -> None:
    """Guards against routing to a cold, leaving, disabled or unsuitable upstream."""
    req = dataclasses.replace(builders.request(), **of_request)
    context = route.RoutingContext(dataclasses.replace(CFG, **of_cfg))
    targets = [
        builders.target(**of_target),
        builders.target("other", serves=frozenset()),
    ]
    outcome = router.choose(req, targets, context, random.Random(1))
    reasons = {r.id: r.reason for r in outcome.rejected}
    assert reasons.pop("other") is route.Reason.OTHER_MODEL
    if reason is None:
        assert isinstance(outcome, route.Decision)
        assert outcome.chosen.id == "e"
    else:
        assert isinstance(outcome, route.NoUpstream)
        assert reasons == {"e": reason}
        cold = reason is route.Reason.COLD_WITHOUT_GRANT
        assert outcome.awaiting_grant() == (["e"] if cold else [])
    assert json.loads(json.dumps(route.record(req, router, outcome)))


RATES = st.sampled_from([0.0, 1.0, 4.0, 20.0, 20.0])
MODES = st.sampled_from(list(route.MODES.values()))


@st.composite
def routing_scenarios(
    draw: st.DrawFn,
) -> tuple[list[route.Target], route.RoutingContext, int]:
    """Draw upstreams, links and the known block locations of a prompt of n blocks."""
    blocks = draw(st.integers(0, 6))
    names = draw(st.lists(st.sampled_from("efgh"), unique=True, min_size=1))
    per_block = st.sets(st.sampled_from(["s1", "s2"]))
    stored = draw(st.lists(per_block, max_size=blocks))
    copies = tuple(tuple(stored_copy(s) for s in sorted(at)) for at in stored)
    cached = {e: draw(st.integers(0, len(copies))) for e in names}
    pairs = [(s, z) for s in ("s1", "s2") for z in ZONES]
    links = {
        p: link.Link(draw(RATES), draw(st.sampled_from([0.0, 0.5])))
        for p in pairs
        if draw(st.booleans())
    }
    targets = [
        builders.target(
            e,
            zone=draw(st.sampled_from(ZONES)),
            queue=draw(st.integers(0, 5)),
            prefill_s=draw(st.sampled_from([1e-4, 1e-3])),
            weight_version=draw(st.sampled_from(["w1", ""])),
        )
        for e in names
    ]
    found = index.PrefixLocations(cached, copies)
    context = route.RoutingContext(CFG, found, {"a": 0.1}, links, block_bytes=2.0)
    return targets, context, blocks


def lowest_cost(
    target: route.Target, context: route.RoutingContext, mode: route.Mode, blocks: int
) -> float:
    """Compute the lowest cost by trying all split points."""
    tokens = builders.chain(blocks, rest=10).tokens
    fixed_s = target.wait_s() + 2 * context.delay_s.get(target.zone, 0.0)
    no_link = link.Link(0.0)
    best_links = []
    for copies in context.found.stored:
        links = [context.links.get((c.store, target.zone), no_link) for c in copies]
        best_links.append(max([no_link, *links], key=lambda k: k.free_bytes_per_s))
    latency_s = max(
        (k.latency_s for k in best_links if k.free_bytes_per_s), default=0.0
    )
    cached = context.found.memory[target.id]
    costs, fetch_s = [], 0.0
    for end in range(cached, len(best_links) + 1):
        if end > cached:
            if not best_links[end - 1].free_bytes_per_s:
                break
            fetch_s += context.block_bytes / best_links[end - 1].free_bytes_per_s
        prefill_s = (tokens - end * block.BLOCK_TOKENS) * target.prefill_s
        wait_s = fixed_s + fetch_s + (latency_s if end > cached else 0.0)
        costs.append(mode.ttft * (wait_s + prefill_s) + mode.recompute * prefill_s)
    return min(costs)


@hypothesis.settings(max_examples=400)
@hypothesis.given(routing_scenarios(), MODES, st.integers(0, 9))
def test_cost_is_the_minimum_over_split_points(
    scenario: tuple[list[route.Target], route.RoutingContext, int],
    mode: route.Mode,
    seed: int,
) -> None:
    """Guards against fetching blocks when recomputing is faster, and the reverse."""
    targets, context, blocks = scenario
    req = builders.request(chain=builders.chain(blocks, rest=10))
    outcome = route.LowestCost(mode).choose(req, targets, context, random.Random(seed))
    reversed_outcome = route.LowestCost(mode).choose(
        req, targets[::-1], context, random.Random(seed)
    )
    assert isinstance(outcome, route.Decision)
    assert isinstance(reversed_outcome, route.Decision)
    assert reversed_outcome.chosen == outcome.chosen
    expected = {t.id: lowest_cost(t, context, mode, blocks) for t in targets}
    scores = {c.id: c.score for c in outcome.candidates}
    assert scores == pytest.approx(expected, abs=1e-9)
    lowest = min(scores.values())
    margin_s = max(route.TIE_MARGIN_S, route.TIE_MARGIN_SHARE * lowest)
    assert outcome.chosen.score <= lowest + margin_s
    for candidate in outcome.candidates:
        fetches = route.plan_fetch(candidate, context)
        first = candidate.memory_blocks
        assert [f.position for f in fetches] == list(
            range(first, first + candidate.fetch_blocks)
        )
        assert all(f.copy in context.found.stored[f.position] for f in fetches)


def test_equal_candidates_share_the_requests() -> None:
    """Guards against all nodes choosing the first of several equal upstreams."""
    targets = [builders.target(f"e{i}") for i in range(10)]
    router = route.LowestCost(route.MODES["ttft"])
    rng = random.Random(1)
    chosen = set()
    for _ in range(200):
        outcome = router.choose(
            builders.request(), targets, route.RoutingContext(CFG), rng
        )
        assert isinstance(outcome, route.Decision)
        chosen.add(outcome.chosen.id)
    assert len(chosen) == route.MAX_TIED_CANDIDATES


class CountingDict(dict[str, route.Target]):
    """A mapping that counts its reads and rejects iteration."""

    reads = 0

    def get(self, key: str, default: object = None) -> route.Target | None:  # type: ignore[override]
        self.reads += 1
        return super().get(key)

    def __iter__(self) -> collections.abc.Iterator[str]:
        raise AssertionError("the whole fleet was iterated over")


@pytest.mark.parametrize("fleet", [12, 120, 2700])
def test_decision_reads_only_the_subset(fleet: int) -> None:
    """Guards against decisions whose cost grows with the size of the fleet."""
    names = [f"e{i}" for i in range(fleet)]
    targets = CountingDict({n: builders.target(n) for n in names})
    node_subset = subset.Subset("n1")
    node_subset.update({n: f"zone{i % 3}" for i, n in enumerate(names)})
    router = route.LowestCost(route.MODES["ttft"])
    chosen = node_subset.select(targets)
    outcome = router.choose(
        builders.request(), chosen, route.RoutingContext(CFG), random.Random(1)
    )
    assert isinstance(outcome, route.Decision)
    assert targets.reads == len(outcome.candidates) == min(fleet, subset.SUBSET_SIZE)


@hypothesis.given(
    st.dictionaries(st.text("abc", min_size=1), st.sampled_from("xyz"), min_size=1),
    st.integers(3, 6),
    st.data(),
)
def test_subset_is_stable_and_covers_groups(
    groups: dict[str, str], size: int, data: st.DataObject
) -> None:
    """Guards against subsets that omit a zone or change entirely with one instance."""
    before, after = subset.Subset("n1", size), subset.Subset("n1", size)
    before.update(groups)
    removed_id = data.draw(st.sampled_from(sorted(groups)))
    after.update({k: v for k, v in groups.items() if k != removed_id})
    assert len(before.ids) == len(set(before.ids)) == min(size, len(groups))
    assert {groups[i] for i in before.ids} == set(groups.values())
    kept = set(before.ids) - {removed_id}
    has_last_of_group = list(groups.values()).count(groups[removed_id]) == 1
    if not has_last_of_group:
        assert len(kept - set(after.ids)) <= 1
    if removed_id not in before.ids:
        assert before.ids == after.ids


def test_slow_imports_raise_the_estimate_for_a_while() -> None:
    """Guards against fetching over a congested link, and against never retrying it."""
    watch = link.LinkWaitEstimator(decay_s=5.0)
    assert watch.link(10.0, 0.1, 0.0) == link.Link(10.0, 0.1)
    for _ in range(30):
        watch.note(10.0, 20.0, 5.0, 0.0)
    assert watch.wait_s(0.0) == pytest.approx(3.0, rel=0.01)
    assert watch.wait_s(10.0) < 0.5
    for _ in range(30):
        watch.note(10.0, 20.0, 1.0, 0.0)
    assert watch.wait_s(0.0) == pytest.approx(0.0, abs=0.01)
    for _ in range(30):
        watch.note(10.0, 20.0, 5.0, 0.0, pending_s=2.0)
    assert watch.wait_s(0.0) == pytest.approx(1.0, rel=0.01)


VERSIONS = [
    ([], ["w1"]),
    (["w1"], ["w1"]),
    (["w2", "w2", "w1", "w3", ""], ["w1", "w2", "w3"]),
    (["w3", "w2", "w2"], ["w2", "w3"]),
]


@pytest.mark.parametrize(("running", "expected"), VERSIONS)
def test_versions_follow_the_fleet(running: list[str], expected: list[str]) -> None:
    """Guards against an outage when a vendor changes weights without notice."""
    targets = [
        builders.target(f"e{i}", weight_version=v) for i, v in enumerate(running)
    ]
    targets.append(builders.target("x", serves=frozenset({"x"}), weight_version="w9"))
    assert route.weight_versions(targets, "m", "w1") == expected


def test_backlog_counts_long_prompts_and_other_nodes() -> None:
    """Guards against queueing a short prompt behind a long one."""
    backlog = prefill.PrefillBacklog()
    backlog.sent("e", "long", 4.0, now=0.0)
    backlog.sent("e", "short", 0.5, now=1.0)
    assert backlog.estimate_s("e", 2, now=1.0) == pytest.approx(3.5)
    assert backlog.estimate_s("e", 2, now=9.0) == pytest.approx(0.5)
    assert backlog.estimate_s("f", 0, now=1.0) == 0.0
    backlog.first_token("e", "long", now=4.0)
    backlog.first_token("e", "unknown", now=4.0)
    assert backlog.estimate_s("e", 2, now=1.0) == pytest.approx(0.5)
    backlog.ended("e", "long", now=16.0)
    backlog.ended("e", "short", now=16.0)
    for i in range(200):
        backlog.sent("e", str(i), 2.0, now=0.0)
        backlog.first_token("e", str(i), now=3.0)
        backlog.ended("e", str(i), now=12.0)
    expected = 4 * 2.0 * 3 / 12
    assert backlog.estimate_s("e", 4, now=0.0) == pytest.approx(expected, rel=0.05)
    waiting = builders.target(backlog_s=expected).wait_s()
    assert waiting == expected


def test_target_reflects_upstream_state() -> None:
    """Guards against treating a leaving upstream as live."""
    inst = table.Instance("e", table.Role.ENGINE, "h", 1, "a")
    report = table.LoadReport("b", table.Warmth.LEAVING, 1, 0, 1, 0.0, "w1")
    profile = route.Profile(frozenset({"m"}), slots=4)
    for upstream, leaving in [
        (table.Upstream(inst, report), True),
        (table.Upstream(dataclasses.replace(inst, leaving=True)), True),
        (table.Upstream(inst), False),
    ]:
        target = route.make_target(upstream, profile, 3, needs_grant=False)
        assert (target.leaving, target.queue, target.slots) == (leaving, 3, 4)

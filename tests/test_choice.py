"""Choice of an upstream."""

import collections
import dataclasses
import random

import pytest

from snipelug_core import choice, fleet
from tests import relay_builders

ENTRY = relay_builders.entry
NOW = 100.0
RNG = random.Random(1)


def pick(
    upstreams: list[fleet.Upstream],
    request: choice.Request,
    now: float = NOW,
    **context: object,
) -> str | None:
    found = choice.choose(
        upstreams, request, relay_builders.context(**context), (), now, RNG
    )
    return None if found is None else found.upstream.entry.id


def test_zone_that_is_out_gets_nothing() -> None:
    """Guards against work for a zone that operators took out."""
    upstreams = relay_builders.upstreams(ENTRY("near"), ENTRY("far", zone="b"))
    request = relay_builders.request(100, 10)
    assert pick(upstreams, request) == "near"
    assert pick(upstreams, request, zones_out=frozenset({"a"})) == "far"
    assert pick(upstreams, request, zones_out=frozenset({"a", "b"})) is None


UNUSABLE = [
    {"is_leaving": True},
    {"versions": {}},
]


@pytest.mark.parametrize("changes", UNUSABLE)
def test_unusable_entries(changes: dict[str, object]) -> None:
    """Guards against sends to upstreams that leave or lack the model."""
    upstreams = relay_builders.upstreams(ENTRY(**changes))
    assert pick(upstreams, relay_builders.request(100, 10)) is None


def test_tried_blocked_and_switching_are_passed_over() -> None:
    """Guards against a second send to an upstream that has just turned one away."""
    upstreams = relay_builders.upstreams(ENTRY("u1"), ENTRY("u2"), ENTRY("u3"))
    upstreams[0].blocked_until = NOW + 1
    upstreams[1].switching_until = NOW + 1
    context = relay_builders.context()
    request = relay_builders.request(100, 10)
    assert choice.choose(upstreams, request, context, {"u3"}, NOW, RNG) is None
    assert pick(upstreams, request) == "u3"


def test_short_prompt_avoids_engine_that_reads_a_long_one() -> None:
    """Guards against short questions that wait behind long prompts of other nodes."""
    upstreams = relay_builders.upstreams(ENTRY("u1"), ENTRY("u2"))
    request = relay_builders.request(50, 250, 80)
    first = pick(upstreams, request)
    busy = next(u for u in upstreams if u.entry.id == first)
    busy.announced[("10.0.0.2", 1)] = fleet.AnnouncedPrompt(17_000, NOW + 1)
    assert pick(upstreams, request) != first


def test_all_nodes_prefer_one_engine_for_a_new_part() -> None:
    """Guards against a shared part that several engines read at once."""
    entries = [ENTRY(f"u{i}") for i in range(6)]
    request = relay_builders.request(12_800, 4_000)
    first = pick(relay_builders.upstreams(*entries), request)
    assert pick(relay_builders.upstreams(*reversed(entries)), request) == first


def test_prompts_stay_in_the_zone_unless_it_is_busy() -> None:
    """Guards against bytes between zones that buy no time."""
    upstreams = relay_builders.upstreams(ENTRY("near"), ENTRY("far", zone="b"))
    request = relay_builders.request(12_800, 4_000, body_bytes=34_000)
    assert pick(upstreams, request) == "near"
    upstreams[0].prefill_tokens = 40_000
    assert pick(upstreams, request) == "far"


def test_old_weights_are_used_only_while_new_ones_are_busy_or_due() -> None:
    """Guards against late answers for new weights, and old weights after the bound."""
    upstreams = relay_builders.upstreams(
        ENTRY("new", versions={relay_builders.MODEL: 2}), ENTRY("old")
    )
    request = relay_builders.request(100, 10, version=2)
    assert pick(upstreams, request) == "new"
    upstreams[0].prefill_tokens = 5_000
    assert pick(upstreams, request) == "old"
    due = dataclasses.replace(request, least_version=2)
    assert pick(upstreams, due) == "new"
    assert pick(upstreams[1:], due) is None


def test_engine_on_old_weights_fetches_what_others_must_read() -> None:
    """Guards against long prompts read anew by the few engines with new weights."""
    entries = [ENTRY("new", versions={relay_builders.MODEL: 2}), ENTRY("old")]
    request = relay_builders.request(12_800, 4_000, version=2)
    stored = dataclasses.replace(request, fetch_s={1: {"p0": 0.04}})
    for known, expected in ((request, "new"), (stored, "old")):
        upstreams = relay_builders.upstreams(*entries)
        upstreams[0].prefill_tokens = 15_000
        assert pick(upstreams, known) == expected


def test_long_prompts_keep_together() -> None:
    """Guards against short questions that find a long prompt on every engine.

    Plays the load of new weights: no part is cached, and long prompts come faster
    than one engine reads them. Counts engines without a long prompt when half of
    the engines could hold all of them within the objective.
    """
    upstreams = relay_builders.upstreams(*(ENTRY(f"u{i}") for i in range(6)))
    context = relay_builders.context()
    for number in range(4):
        parts = (
            choice.PromptPart(f"c{number}", 12_000),
            choice.PromptPart("own", 4_000),
        )
        request = dataclasses.replace(relay_builders.request(1, 1), parts=parts)
        found = choice.choose(upstreams, request, context, (), NOW, RNG)
        assert found is not None
        assert found.cost_s < 0.8
        found.upstream.prefill_tokens += found.prefill_tokens
    idle = [u for u in upstreams if u.prefill_tokens == 0]
    assert len(idle) >= 2


def test_many_nodes_spread_over_engines_with_new_weights() -> None:
    """Guards against 26 nodes of a zone that all send to one engine at once.

    Plays the first moment of new weights: 3 of 12 engines of each zone serve them, and
    no node has heard of the load that the others cause.
    """
    entries = [
        ENTRY(
            f"{zone}{i}", zone=zone, versions={relay_builders.MODEL: 2 if i < 3 else 1}
        )
        for zone in ("a", "b", "c")
        for i in range(12)
    ]
    sends: collections.Counter[str] = collections.Counter()
    request = relay_builders.request(1, 1, version=2)
    for node in range(26):
        parts = (choice.PromptPart(f"p{node}", 300), choice.PromptPart("own", 80))
        request = dataclasses.replace(request, parts=parts)
        rng = random.Random(node)
        upstreams = relay_builders.upstreams(*entries)
        context = relay_builders.context(nodes=79)
        found = choice.choose(upstreams, request, context, (), NOW, rng)
        assert found is not None
        sends[found.upstream.entry.id] += 1
    assert max(sends.values()) <= 26 / 2


def test_engine_heard_of_long_ago_does_not_look_idle() -> None:
    """Guards against a queue at the engine whose report is oldest when all are busy."""
    registry = fleet.Fleet()
    for name in ("u1", "u2"):
        registry.put(ENTRY(name), 0.0)
    told, silent = registry.upstreams.values()
    registry.record_load(silent, fleet.LoadReport(4, 10, 0, NOW - 2.0))
    for age_s in (1.0, 0.5, 0.0):
        registry.record_load(told, fleet.LoadReport(4, 10, 0, NOW - age_s))
    context = relay_builders.context(mean_load=registry.mean_load("engines", NOW))
    request = relay_builders.request(100, 10)
    waits = [
        choice.choose([one], request, context, (), NOW, RNG) for one in (told, silent)
    ]
    assert all(found is not None and found.wait_s > 0.3 for found in waits)


def test_failing_and_silent_upstreams_are_avoided() -> None:
    """Guards against an upstream that fails requests while it is listed as ready."""
    request = relay_builders.request()
    upstreams = relay_builders.upstreams(ENTRY("u1"), ENTRY("u2"))
    first = pick(upstreams, request)
    bad = next(u for u in upstreams if u.entry.id == first)
    bad.silent_since = NOW - choice.SILENCE_TIMEOUT_S - 0.1
    assert pick(upstreams, request) != first
    bad.silent_since = None
    for _ in range(5):
        bad.record_outcome(is_failure=True, now=NOW)
    assert pick(upstreams, request) != first


@pytest.mark.parametrize("nodes", [1, 6, 79])
def test_cold_upstream_gets_what_it_sustains_from_all_nodes(nodes: int) -> None:
    """Guards against the sum of all nodes' sends to an upstream in cold start.

    Each node has a request for it every 10 ms.
    """
    context = relay_builders.context(nodes=nodes)
    cold = [
        relay_builders.upstreams(ENTRY(cold_s=1e9, born=i))[0] for i in range(nodes)
    ]
    sends: collections.Counter[int] = collections.Counter()
    for tick in range(400):
        now = NOW + tick / 100
        for upstream in cold:
            if choice.has_cold_start_budget(upstream, context, now):
                choice.record_sent(upstream, now)
                sends[tick] += 1
    most = max(
        sum(sends[tick] for tick in range(start, start + 100)) for start in range(300)
    )
    assert most <= 1.5 * context.service.cold_per_s + 5
    assert sum(sends.values()) >= 0.5 * context.service.cold_per_s * 4

"""Tests of the steps of a release, without network or clock."""

import dataclasses
import itertools
import random
import typing

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from snipelug_core import canary, release, restore

DURATION_S = 12.0
DEMAND_PER_S = 600.0
UPSTREAMS = 36
EXPOSURE = release.Exposure()
ORDER = release.Order("app", "v2", DURATION_S, version=5, ordered_ms=10_000.0)
SOUND = release.Judgement(release.Verdict.SOUND)
UNPROVED = release.Judgement(release.Verdict.UNPROVED, "none")
DOUBTFUL = release.Judgement(release.Verdict.DOUBTFUL, "4 of 12 were bad")
BAD = release.Judgement(release.Verdict.BAD, "bad")


def begin(order: release.Order = ORDER, **changes: typing.Any) -> release.Progress:
    values: dict[str, typing.Any] = {
        "known": None,
        "base": "v1",
        "demand_per_s": DEMAND_PER_S,
        "exposure": EXPOSURE,
        "now_ms": order.ordered_ms,
    }
    return release.begin(order, **(values | changes))


def outlook(judgement: release.Judgement = SOUND, **changes: object) -> release.Outlook:
    values: dict[str, typing.Any] = {
        "target_upstreams": UPSTREAMS,
        "base_upstreams": UPSTREAMS,
        "demand_per_s": DEMAND_PER_S,
        "is_drained": False,
    }
    return release.Outlook(judgement, **(values | changes))


def play(
    progress: release.Progress, found: release.Outlook, until_ms: float
) -> list[tuple[float, release.Progress]]:
    """Advance every 0.1 s; return the steps with their times."""
    steps = [(progress.since_ms, progress)]
    now_ms = progress.since_ms
    while now_ms < until_ms and not progress.is_final:
        now_ms += 100.0
        after = release.advance(progress, found, now_ms)
        if after != progress:
            steps.append((now_ms, after))
        progress = after
    return steps


DURATIONS = [4.0, 6.0, 12.0, 30.0, 120.0]


@pytest.mark.parametrize("duration_s", DURATIONS)
@pytest.mark.parametrize("upstreams", [1, 3, 36])
def test_sound_release_is_completed_before_its_deadline(
    duration_s: float, upstreams: int
) -> None:
    """Guards against good releases that are late."""
    order = dataclasses.replace(ORDER, duration_s=duration_s)
    found = outlook(target_upstreams=upstreams, base_upstreams=upstreams)
    steps = play(begin(order), found, order.ordered_ms + 1e3 * duration_s)
    ended_ms, last = steps[-1]
    assert last.stage is release.Stage.COMPLETED
    assert ended_ms < last.deadline_ms
    stages = [progress.stage for _, progress in steps]
    assert stages == sorted(stages)


@pytest.mark.parametrize("duration_s", DURATIONS)
@pytest.mark.parametrize("upstreams", [3, 36])
def test_exposure_of_an_unproved_release(duration_s: float, upstreams: int) -> None:
    """Guards against more than half of the allowed exposure before the shift."""
    order = dataclasses.replace(ORDER, duration_s=duration_s)
    found = outlook(target_upstreams=upstreams, base_upstreams=upstreams)
    steps = play(begin(order), found, order.ordered_ms + 1e3 * duration_s)
    sent = 0.0
    for (at_ms, progress), (next_ms, _) in itertools.pairwise(steps):
        if progress.stage < release.Stage.SHIFT:
            sent += progress.share * DEMAND_PER_S * (next_ms - at_ms) / 1e3
    total = DEMAND_PER_S * duration_s
    assert sent <= 0.5 * (EXPOSURE.share * total + EXPOSURE.extra)


def test_unproved_release_is_not_shifted() -> None:
    """Guards against releases in force that nobody has tested."""
    steps = play(begin(), outlook(UNPROVED), ORDER.ordered_ms + 20_000.0)
    assert max(p.stage for _, p in steps) is release.Stage.ROLLED_BACK
    assert release.Stage.SHIFT not in [p.stage for _, p in steps]


def test_doubtful_release_gets_no_more_requests() -> None:
    """Guards against a load test of a release that looks bad already."""
    steps = play(begin(), outlook(DOUBTFUL), ORDER.ordered_ms + 20_000.0)
    assert [p.stage for _, p in steps] == [
        release.Stage.CANARY,
        release.Stage.ROLLED_BACK,
    ]


def test_release_without_upstreams_ends_at_the_deadline() -> None:
    """Guards against orders without an end."""
    steps = play(begin(), outlook(target_upstreams=0), ORDER.ordered_ms + 20_000.0)
    ended_ms, last = steps[-1]
    assert last.stage is release.Stage.ROLLED_BACK
    assert ended_ms == last.deadline_ms


@pytest.mark.parametrize("at_step", range(5))
def test_bad_release_is_rolled_back_from_each_stage(at_step: int) -> None:
    """Guards against a stage in which responses are not looked at."""
    steps = play(begin(), outlook(), ORDER.ordered_ms + 20_000.0)
    at_ms, progress = steps[min(at_step, len(steps) - 2)]
    after = release.advance(progress, outlook(BAD), at_ms + 1.0)
    assert after.stage is release.Stage.ROLLED_BACK
    assert after.share == 0.0
    assert after.in_use == "v1"
    assert after.reason == "bad"


def test_late_release_is_completed_after_requests_have_ended() -> None:
    """Guards against requests that are cut as a step was late."""
    progress = begin()
    late_ms = progress.deadline_ms + 5_000.0
    progress = dataclasses.replace(
        progress, stage=release.Stage.SHIFT, share=1.0, since_ms=late_ms
    )
    soon = release.advance(progress, outlook(), late_ms + 1_000.0)
    assert soon.stage is release.Stage.SHIFT
    done = release.advance(progress, outlook(is_drained=True), late_ms + 1_000.0)
    assert done.stage is release.Stage.COMPLETED
    at_last = release.advance(progress, outlook(), late_ms + 2_100.0)
    assert at_last.stage is release.Stage.COMPLETED


ANSWERED = [
    # Changes of the progress and of the order, and whether the order is answered.
    ({}, {}, True),
    ({}, {"version": 9}, True),
    ({}, {"release": "v3"}, False),
    ({"stage": release.Stage.COMPLETED}, {"version": 9}, True),
    ({"stage": release.Stage.ROLLED_BACK}, {}, True),
    ({"stage": release.Stage.ROLLED_BACK}, {"version": 9}, False),
    ({"stage": release.Stage.ROLLED_BACK}, {"version": 3, "epoch": 1}, True),
]


@pytest.mark.parametrize(("progress", "order", "expected"), ANSWERED)
def test_repeated_order_changes_nothing(
    progress: dict[str, typing.Any], order: dict[str, typing.Any], expected: bool
) -> None:
    """Guards against releases that begin again for a repeated order."""
    known = dataclasses.replace(begin(), **progress)
    given = dataclasses.replace(ORDER, **order)
    assert release.is_answered(given, known) is expected


def test_next_order_begins_from_the_release_in_use() -> None:
    """Guards against a rollback to a release whose upstreams have ended."""
    known = dataclasses.replace(begin(), stage=release.Stage.COMPLETED)
    after = begin(dataclasses.replace(ORDER, release="v3"), known=known)
    assert (after.base, after.target, after.number) == ("v2", "v3", 2)
    back = begin(dataclasses.replace(ORDER, release="v1"), known=begin())
    assert back.stage is release.Stage.COMPLETED
    assert back.in_use == "v1"


def test_draw_is_as_likely_as_its_share() -> None:
    """Guards against a canary that gets more or less than its part."""
    progress = begin()
    drawn = sum(release.is_drawn(progress, f"id-{n}", 0.1) for n in range(5_000))
    assert 400 < drawn < 600


def test_routes_share_a_canary() -> None:
    """Guards against a route with few requests that is not tested."""
    progress = begin()
    parts = {"often": 0.95, "seldom": 0.05}
    shares = {r: release.route_share(progress, p, 2) for r, p in parts.items()}
    total = sum(parts[route] * share for route, share in shares.items())
    assert total <= progress.share + 1e-9
    assert shares["seldom"] == release.MAX_ROUTE_SHARE


def test_known_orders_outlast_a_restore() -> None:
    """Guards against the order of a copy that was replaced since."""
    orders = release.Orders()
    orders.replace([ORDER], 0.0, False)
    later = dataclasses.replace(ORDER, release="v3", version=9)
    orders.put(later)
    orders.replace([ORDER], 10.0, True)
    assert orders.get("app") == later
    orders.expire(10.0 + restore.RESTORE_GRACE_S / 2)
    assert orders.get("app") == later
    assert orders.expire(10.0 + restore.RESTORE_GRACE_S)
    assert orders.get("app") == ORDER


class Fleet(stateful.RuleBasedStateMachine):
    """Nodes that lead one release in turn, with lost messages and late writes.

    A row with a version stands for the store. Each node has what it last merged. The
    release is sound, or bad from the start, late, at a high load, or on one route.
    """

    NODES = 3

    @stateful.initialize(
        kind=st.sampled_from(["sound", "sound", "bad", "late", "load", "route"]),
        seed=st.integers(0, 1_000),
    )
    def start(self, kind: str, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_ms = ORDER.ordered_ms
        self.kind = kind
        self.row = (begin(), 1)
        self.known = [self.row[0]] * self.NODES
        self.versions = [1] * self.NODES
        self.evidence = [canary.Evidence() for _ in range(self.NODES)]
        self.late_write: tuple[release.Progress, int] | None = None
        self.leader = 0
        self.history = [self.row[0]]

    def write(self, progress: release.Progress, expected: int) -> bool:
        if self.row[1] != expected:
            return False
        self.row = (progress, expected + 1)
        self.history.append(progress)
        return True

    @stateful.rule(leader=st.integers(0, NODES - 1), loses=st.booleans())
    def change_leader(self, leader: int, loses: bool) -> None:
        """Let another node lead; its first write may take effect late."""
        self.leader = leader
        self.lead(leader, loses)

    def lead(self, leader: int, loses: bool) -> None:
        """Let a node take the next step."""
        judgement = self.evidence[leader].judge(self.now_ms / 1e3)
        after = release.advance(
            self.known[leader], outlook(judgement, is_drained=True), self.now_ms
        )
        if after == self.known[leader]:
            return
        if loses:
            self.late_write = after, self.versions[leader]
        elif self.write(after, self.versions[leader]):
            self.versions[leader] = self.row[1]
            self.known[leader] = release.merge(self.known[leader], after)
        else:
            self.read(leader)

    @stateful.rule()
    def write_late(self) -> None:
        if self.late_write is not None:
            self.write(*self.late_write)
            self.late_write = None

    @stateful.rule(node=st.integers(0, NODES - 1))
    def read(self, node: int) -> None:
        """Let a node read the row, as one does that hears nothing of the leader."""
        self.known[node] = release.merge(self.known[node], self.row[0])
        self.versions[node] = self.row[1]

    def bad_part(self, progress: release.Progress, route: str) -> float:
        """Return the part of the responses that are bad now."""
        is_bad = {
            "sound": False,
            "bad": True,
            "late": self.now_ms > ORDER.ordered_ms + 4_000.0,
            "load": progress.stage >= release.Stage.LOAD_TEST,
            "route": route == "b",
        }
        return 0.6 if is_bad[self.kind] else 0.0

    @stateful.rule(
        steps=st.lists(st.sampled_from([0.2, 0.5, 0.5, 1.0]), min_size=1, max_size=12)
    )
    def run(self, steps: list[float]) -> None:
        """Let time pass, in which one node leads and the others read the row."""
        for step_s in steps:
            self.send(step_s)
            self.lead(self.leader, False)
            for node in range(self.NODES):
                if self.rng.random() < 0.8:
                    self.read(node)

    def send(self, step_s: float) -> None:
        """Let the nodes send requests and report all results."""
        self.now_ms += 1e3 * step_s
        for progress in self.known:
            sent = DEMAND_PER_S / self.NODES * step_s
            share = 0.0 if progress.is_final else progress.share
            count = int(share * sent / 6)
            tested = []
            for route in ("a", "b"):
                part = self.bad_part(progress, route)
                for upstream in ("u1", "u2", "u3"):
                    failures = sum(self.rng.random() < part for _ in range(count))
                    tested.append(
                        canary.Tally(route, upstream, count, failures, [1.0] * 4)
                    )
            used = [canary.Tally(r, "", int(sent / 2), 0, [1.0] * 8) for r in "ab"]
            for evidence in self.evidence:
                evidence.add(tested, used, self.now_ms / 1e3)

    @stateful.invariant()
    def is_never_undone(self) -> None:
        """Check that a release that has ended stays as it is."""
        if not hasattr(self, "history"):
            return
        positions = [progress.position for progress in self.history]
        assert positions == sorted(positions)
        finals = {progress.stage for progress in self.history if progress.is_final}
        assert len(finals) <= 1

    @stateful.invariant()
    def is_judged_by_its_responses(self) -> None:
        """Check that a release is in force, or condemned, as its kind is."""
        if not hasattr(self, "history"):
            return
        last = self.history[-1]
        if self.kind == "sound":
            assert "were bad" not in last.reason
        elif self.kind != "late":
            assert last.stage is not release.Stage.COMPLETED


Fleet.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=12, deadline=None
)
TestFleet = Fleet.TestCase

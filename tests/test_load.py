"""Tests of load reports, the corrected queue estimate and the checks before a send."""

import dataclasses
import itertools
import typing

import hypothesis
import msgspec
import pytest
import trio
import trio.testing
from hypothesis import strategies as st

from snipelug_core import admission, contract, load, refusal, table
from snipelug_net import http_client
from snipelug_node import admitter, ports, sender, slots, ticker, watcher
from tests import builders

WARM = table.Warmth.WARM
COLD = table.Warmth.COLD
CFG = contract.Config()


@pytest.mark.parametrize(
    ("first", "second", "kept"),
    [
        (builders.load_report(seq=2), builders.load_report(11.0, seq=1), 0),
        (builders.load_report(seq=2), builders.load_report(9.0, seq=3), 1),
        (builders.load_report(), builders.load_report(9.0, COLD, 9, "y"), 0),
        (builders.load_report(seq=9), builders.load_report(11.0, COLD, 1, "y"), 1),
    ],
    ids=["late", "later-seq", "older-boot", "newer-boot"],
)
def test_newest_report_wins(
    first: table.LoadReport, second: table.LoadReport, kept: int
) -> None:
    """Guards against a late report or one of an older boot replacing a newer one."""
    upstream = builders.upstream(first, second)
    assert upstream.report == (first, second)[kept]


def test_age_from_a_slow_clock_never_makes_a_report_newer() -> None:
    """Guards against different clock rates dating a report after a later send."""
    made_at = 8.9  # Lower bound: 1 s on a clock that is 1.1 times slower is 1.1 s here.
    report = watcher.to_report(watcher.WireReport("x", age_s=1.0), asked_at=10.0)
    assert report.made_at == pytest.approx(made_at)


def test_rejected_report_does_not_update_the_read_time() -> None:
    """Guards against an ignored report that refreshes the time of the last read."""
    upstream = builders.upstream(builders.load_report(10.0, seq=3))
    load.accept_report(upstream, builders.load_report(9.0, boot_id="y"), 12.0)
    load.accept_report(upstream, builders.load_report(10.0, seq=2), 12.0)
    assert upstream.load_read_at == 10.0
    load.accept_report(upstream, builders.load_report(10.0, seq=3), 12.0)
    assert upstream.load_read_at == 12.0


def test_misordered_boot_is_corrected_by_the_next_report() -> None:
    """Guards against permanently excluding a live boot after one misordered report."""
    live = builders.load_report(10.0, boot_id="live")
    late = builders.load_report(11.0, boot_id="gone")
    upstream = builders.upstream(
        live, late, builders.load_report(12.0, boot_id="live", seq=2)
    )
    assert upstream.report is not None
    assert upstream.report.boot_id == "live"


@hypothesis.given(
    st.lists(st.tuples(st.floats(0.01, 0.1), st.booleans()), max_size=40),
    st.integers(0, 40),
    st.integers(0, 5),
)
def test_estimate_is_exact_for_one_node(
    steps: list[tuple[float, bool]], cut: int, foreign: int
) -> None:
    """Guards against counting a send twice or forgetting it after a report."""
    upstream = builders.upstream(builders.load_report(0.0, seq=0, running=foreign))
    now = 1.0
    at_cut = (now, foreign)
    for number, (gap, is_send) in enumerate(steps):
        if number == cut:
            at_cut = (now, foreign + upstream.in_flight)
        now += gap
        if is_send:
            load.record_sent(upstream, now)
        elif upstream.in_flight:
            load.record_ended(upstream, now)
    made_at, running = at_cut
    report = builders.load_report(made_at, seq=1, running=running)
    load.accept_report(upstream, report, made_at)
    assert load.estimate_queue(upstream) == foreign + upstream.in_flight


def test_estimate_covers_own_requests() -> None:
    """Guards against an idle report that hides requests still in flight."""
    upstream = builders.upstream()
    load.record_sent(upstream, 1.0)
    load.accept_report(upstream, builders.load_report(2.0), 2.0)
    assert load.estimate_queue(upstream) == 1


LEAVING = dataclasses.replace(builders.INSTANCE, leaving=True)
NEEDS_GRANT = load.NeedsGrant
EXCLUDED = load.Excluded
REASON = load.Reason


@pytest.mark.parametrize(
    ("upstream", "opened_at", "verdict"),
    [
        (builders.upstream(), 1.0, EXCLUDED(REASON.REPORT_STALE)),
        (builders.upstream(builders.load_report()), 9.0, load.Allowed()),
        (
            builders.upstream(builders.load_report()),
            10.0,
            NEEDS_GRANT(REASON.CONNECTION_NEWER),
        ),
        (
            builders.upstream(builders.load_report(state=COLD)),
            9.0,
            NEEDS_GRANT(REASON.REPORTED_COLD),
        ),
        (
            builders.upstream(
                builders.load_report(), builders.load_report(10.5, COLD, boot_id="y")
            ),
            9.0,
            NEEDS_GRANT(REASON.REPORTED_COLD),
        ),
        (
            builders.upstream(builders.load_report(state=table.Warmth.LEAVING)),
            9.0,
            EXCLUDED(REASON.REPORTED_LEAVING),
        ),
        (table.Upstream(LEAVING), 9.0, EXCLUDED(REASON.LISTED_LEAVING)),
    ],
)
def test_verdict(
    upstream: table.Upstream, opened_at: float, verdict: load.Verdict
) -> None:
    """Guards against a wrong verdict in any state of an upstream."""
    assert load.may_send(upstream, CFG, opened_at, 11.0, 11.0) == verdict


@pytest.mark.parametrize(
    ("cfg", "reason"),
    [
        (contract.Config(zones_out=frozenset({"esk-b"})), REASON.ZONE_OUT),
        (contract.Config(instances_out=frozenset({"u1"})), REASON.INSTANCE_OUT),
    ],
)
def test_zone_or_instance_out_excludes_upstream(
    cfg: contract.Config, reason: load.Reason
) -> None:
    """Guards against new work for a zone or instance taken out of service."""
    upstream = builders.upstream(builders.load_report())
    assert load.may_send(upstream, cfg, 9.0, 10.0, 10.0) == EXCLUDED(reason)


def test_closed_connection_lasts_until_later_warm_report() -> None:
    """Guards against trusting a report made before a connection was closed."""
    upstream = builders.upstream(builders.load_report(10.0))
    load.mark_connection_closed(upstream, 10.5)
    closed = NEEDS_GRANT(REASON.CONNECTION_CLOSED)
    assert load.may_send(upstream, CFG, 9.0, 10.6, 10.6) == closed
    load.accept_report(upstream, builders.load_report(10.4, seq=2), 10.4)
    assert load.may_send(upstream, CFG, 9.0, 10.6, 10.6) == closed
    load.accept_report(upstream, builders.load_report(10.7, seq=3), 10.7)
    assert load.may_send(upstream, CFG, 9.0, 10.8, 10.8) == load.Allowed()


@hypothesis.given(
    st.floats(0.0, 5.0),
    st.floats(0.05, 1.0),
    st.floats(0.0, 30.0),
    st.floats(0.0, 30.0),
    st.booleans(),
    st.booleans(),
)
def test_leaving_upstream_gets_no_work_after_3_s(
    leaves_at: float,
    period: float,
    paused_at: float,
    pause: float,
    by_list: bool,
    list_down: bool,
) -> None:
    """Guards against work for a leaving upstream after 3 s, even after a pause."""
    hypothesis.assume(not (by_list and list_down))
    upstream = table.Upstream(builders.INSTANCE)
    tried_at = None
    now = 0.0
    seq = 0
    paused = False
    while now < leaves_at + 40.0:
        if now >= paused_at and not paused:
            paused = True
            now += pause
        # Checks before the next read, so that after a pause the state is still old.
        if now > leaves_at + 3.0:
            verdict = load.may_send(upstream, CFG, -1.0, now, tried_at)
            assert isinstance(verdict, load.Excluded)
        gone = now >= leaves_at
        seq += 1
        state = table.Warmth.LEAVING if gone and not by_list else WARM
        load.accept_report(upstream, builders.load_report(now, state, seq), now)
        if now > leaves_at + 3.0 and by_list:
            verdict = load.may_send(upstream, CFG, -1.0, now, tried_at)
            assert isinstance(verdict, load.Excluded)
        tried_at = now
        if not list_down:
            upstream.instance = dataclasses.replace(
                builders.INSTANCE, leaving=gone and by_list
            )
        now += period


@pytest.mark.parametrize(
    ("heard_at", "tried_at", "reason"),
    [(7.9, 10.0, REASON.REPORT_STALE), (10.0, 7.9, REASON.LIST_STALE)],
)
def test_stale_information_excludes_upstream(
    heard_at: float, tried_at: float, reason: load.Reason
) -> None:
    """Guards against sending on one fresh source while the other is stale."""
    upstream = builders.upstream(builders.load_report(heard_at))
    assert load.may_send(upstream, CFG, 5.0, 10.0, tried_at) == EXCLUDED(reason)


def test_list_outage_stops_no_work() -> None:
    """Guards against refusing all work while the platform's list is down."""
    upstream = builders.upstream(builders.load_report(100.0))
    verdict = load.may_send(upstream, CFG, 9.0, 100.5, list_tried_at=100.0)
    assert verdict == load.Allowed()


def make_watcher(silent: set[str]) -> tuple[watcher.Watcher, list[tuple[str, float]]]:
    """Return a watcher of three upstreams; silent ones never respond."""
    reads: list[tuple[str, float]] = []

    class Pool:
        async def fetch(
            self, call: http_client.Call, limit_bytes: int
        ) -> http_client.FullResponse | http_client.Lost:
            name = f"u{call.addr[1]}"
            if name in silent:
                await trio.sleep(call.timeout_s)
                return http_client.Lost("no answer")
            reads.append((name, trio.current_time()))
            running = 1 if name == "u2" else 0
            body = msgspec.json.encode(
                {"boot_id": "x", "seq": len(reads), "running": running}
            )
            return http_client.FullResponse(200, {}, body)

    upstreams = {
        f"u{port}": table.Upstream(dataclasses.replace(builders.INSTANCE, port=port))
        for port in (1, 2, 3)
    }
    for name, upstream in upstreams.items():
        upstream.instance = dataclasses.replace(upstream.instance, id=name)

    def accept_report(name: str, report: table.LoadReport, asked_at: float) -> None:
        load.accept_report(upstreams[name], report, asked_at)

    load_watcher = watcher.Watcher(
        table.Tables(upstreams=upstreams),
        typing.cast(ports.InstanceList, None),
        typing.cast(http_client.Pool, Pool()),
        list,
        accept_report,
        lambda *_: None,
        lambda: False,
    )
    return load_watcher, reads


@pytest.mark.parametrize(
    ("active", "silent", "name", "gap_s"),
    [
        (False, set(), "u1", 1.0),
        (False, {"u3"}, "u1", 1.0),
        (False, set(), "u2", 0.5),
        (True, {"u3"}, "u1", 0.5),
    ],
    ids=["quiet", "quiet-beside-silent", "busy", "callers"],
)
async def test_loads_are_read_in_time(
    autojump_clock: trio.testing.MockClock,
    active: bool,
    silent: set[str],
    name: str,
    gap_s: float,
) -> None:
    """Guards against reading loads too rarely or too often.

    If reports are too old, a single lost read stops all work. Idle upstreams without
    callers should be read less often.
    """
    load_watcher, reads = make_watcher(silent)
    load_watcher.is_active = lambda: active
    with trio.move_on_after(20.2):
        await load_watcher._poll_loads()
    times = [at for read, at in reads if read == name]
    gaps = [after - before for before, after in itertools.pairwise(times)]
    assert len(gaps) >= 19
    # The first read comes at the start, the others at their phase.
    assert 0.0 < gaps[0] <= gap_s
    assert gaps[1:] == pytest.approx([gap_s] * (len(gaps) - 1))
    assert gap_s + watcher.LOAD_TIMEOUT_S <= load.STALE_S


def test_slow_list_stops_no_work() -> None:
    """Guards against a period and timeout that let the last list read expire.

    The next read starts one period after the last and takes at most one timeout.
    """
    assert watcher.LIST_INTERVAL_S + watcher.LIST_TIMEOUT_S < load.STALE_S
    assert watcher.LIST_INTERVAL_S >= watcher.LIST_TIMEOUT_S


@pytest.mark.parametrize(
    ("running", "age_s", "looks"),
    [(0, 0.5, 0), (0, 0.9, 1), (1, 0.9, 0)],
    ids=["recent", "quiet", "busy"],
)
async def test_old_load_of_an_idle_upstream_is_read_before_a_send(
    autojump_clock: trio.testing.MockClock, running: int, age_s: float, looks: int
) -> None:
    """Guards against a burst to an upstream that turned cold while it was idle."""
    now = trio.current_time()
    upstream = builders.upstream(builders.load_report(now - age_s, running=running))
    rechecked: list[str] = []

    async def recheck(upstream: table.Upstream) -> None:
        rechecked.append(upstream.instance.id)
        load.accept_report(upstream, builders.load_report(now, COLD, 2), now)

    verdicts: list[load.Verdict] = []

    def judge(upstream: table.Upstream, opened: float, now: float) -> load.Verdict:
        verdicts.append(load.may_send(upstream, CFG, opened, now, now))
        return verdicts[-1]

    class Slots:
        async def acquire(self, upstream_id: str, deadline: float) -> refusal.Refusal:
            return refusal.refuse(refusal.NO_UPSTREAM, "no slot")

        async def acquire_warm(
            self, upstream_id: str, *_: object
        ) -> slots.HeldSlot | None:
            return slots.HeldSlot(upstream_id, None, lambda: None)

    class Pool:
        async def send(
            self, call: http_client.Call, pre_send_check: http_client.PreSendCheck
        ) -> http_client.NotSent:
            return http_client.NotSent("nobody listens")

    outgoing = sender.Sender(
        typing.cast(http_client.Pool, Pool()),
        typing.cast(sender.Slots, Slots()),
        judge,
        recheck,
    )
    call = http_client.Call(("127.0.0.1", 1), "POST", "/")
    outcome = await outgoing.send(upstream, call, now + 10.0)
    assert len(rechecked) == looks
    assert isinstance(outcome, sender.Blocked) == bool(looks)


@pytest.mark.parametrize(
    ("suspect_age_s", "is_claimed", "has_ended"),
    [(0.0, True, False), (0.0, False, True), (admission.GRANT_VALID_S, True, True)],
    ids=["sent", "claim-lost", "suspect-grant-expired"],
)
async def test_slots_of_withheld_request_are_free(
    autojump_clock: trio.testing.MockClock,
    suspect_age_s: float,
    is_claimed: bool,
    has_ended: bool,
) -> None:
    """Guards against a slot in use for `ARRIVAL_BOUND_S` by a request never sent."""
    now = trio.current_time()
    upstream = builders.upstream(builders.load_report(now, COLD, 1))
    held = []
    for part, age_s in (("leased", 0.0), ("suspect", suspect_age_s)):
        name = admission.PartName(part)
        grant = admission.Grant("u", name, "b", part, now - age_s)
        held.append(slots.HeldSlot("u", admitter.Slot(grant), lambda: None))

    class Slots:
        async def acquire(self, *_: object) -> slots.HeldSlot:
            return held[0]

        async def acquire_suspect(self, *_: object) -> slots.HeldSlot:
            return held[1]

    class Pool:
        async def send(
            self, call: http_client.Call, pre_send_check: http_client.PreSendCheck
        ) -> http_client.Withheld | http_client.Lost:
            if pre_send_check(now):
                return http_client.Lost("closed", is_closed=True)
            await trio.sleep(sender.MAX_REPORT_WAIT_S + 1.0)
            return http_client.Withheld()

    async def refresh(_: table.Upstream) -> None:
        pass

    outgoing = sender.Sender(
        typing.cast(http_client.Pool, Pool()),
        typing.cast(sender.Slots, Slots()),
        lambda *_: load.NeedsGrant(load.Reason.REPORTED_COLD),
        refresh,
    )
    call = http_client.Call(("127.0.0.1", 1), "POST", "/")
    await outgoing.send(upstream, call, now + 10.0, lambda _: is_claimed, True)
    assert [h.held.has_ended for h in held if h.held] == [has_ended] * 2


@hypothesis.given(
    now=st.floats(0.0, 2e6), period_s=st.sampled_from([0.01, 0.25, 0.5, 1.0, 1.25, 5.0])
)
def test_periodic_tasks_wake_together_and_never_late(
    now: float, period_s: float
) -> None:
    """Guards against drifting periods, busy loops and tasks that wake separately."""
    first = ticker.wake_time(now, period_s)
    assert now < first <= now + period_s
    second = ticker.wake_time(first, period_s)
    assert first < second <= first + period_s
    if period_s >= ticker.WAKE_GRID_S:
        assert first % ticker.WAKE_GRID_S == 0.0
        assert second - first == period_s


@hypothesis.given(now=st.floats(0.0, 2e6))
def test_loads_are_read_between_ticks(now: float) -> None:
    """Guards against reports made just before connections that they should cover."""
    tick_at = ticker.phase_time(now, ticker.TICK_S)
    read_at = ticker.phase_time(now, watcher.LOAD_INTERVAL_S, watcher.LOAD_OFFSET_S)
    assert now < tick_at <= now + ticker.TICK_S
    assert now < read_at <= now + watcher.LOAD_INTERVAL_S
    assert abs(tick_at - read_at) == watcher.LOAD_OFFSET_S

"""Tests of how a node watches the platform's store."""

import collections
import time

import pytest
import trio
import trio.testing

from snipelug_core import fleet
from snipelug_relay import announce, clock, ports, state, stats, watch
from tests import relay_builders


class OneEntryStore:
    """A store whose list of upstreams has one entry and reports no changes."""

    def __init__(self) -> None:
        self.whole_reads = 0

    async def read_upstreams(self) -> ports.Page[ports.Listing]:
        self.whole_reads += 1
        return ports.Page([relay_builders.entry()], 5, 0.0)

    async def watch_upstreams(
        self, position: int, wait_s: float
    ) -> ports.Page[ports.Listing]:
        return ports.Page([], position, 0.0)


async def test_list_is_read_whole_before_an_upstream_stays_away(
    nursery: trio.Nursery,
) -> None:
    """Guards against the permanent loss of an upstream whose entry has returned.

    A reader whose next read follows the return sees no change and announces none.
    """
    addr = ("127.0.0.1", 1)
    node_state = state.State(ports.Settings("n1", "a", addr, addr, addr))
    node_state.is_reader = False
    store = OneEntryStore()
    watcher = watch.Watch(
        node_state.cfg,
        node_state,
        store,  # type: ignore[arg-type]
        stats.Stats(),
        lambda: None,
        announce.Announcer(None, node_state),
    )
    nursery.start_soon(watcher.run_upstreams)
    await trio.sleep(0.1)
    node_state.apply_listings([ports.Removed("u1")], is_whole=False, in_grace=True)
    await trio.sleep(fleet.REMOVAL_GRACE_S + 0.1)
    watcher.expire()
    await trio.sleep(0.1)
    assert set(node_state.fleet.upstreams) == {"u1"}
    assert store.whole_reads == 2
    nursery.cancel_scope.cancel()


OUTAGE_S = 8.0
"""Outage of the store as in the deployments' days."""


class UnavailableStore:
    """A store that rejects all calls, and counts them by method."""

    def __init__(self) -> None:
        self.calls: collections.Counter[str] = collections.Counter()

    def __getattr__(self, name: str) -> object:
        async def reject(*_args: object) -> ports.Unavailable:
            self.calls[name] += 1
            return ports.Unavailable("the store rejects this node")

        return reject


async def test_failed_calls_are_repeated_less_often(
    monkeypatch: pytest.MonkeyPatch,
    autojump_clock: trio.testing.MockClock,
    nursery: trio.Nursery,
) -> None:
    """Guards against nodes that load a store that is down or rejects them.

    All nodes of a deployment call at the same time, and rejected calls cost as much.
    """
    monkeypatch.setattr(clock, "now", trio.current_time)
    addr = ("127.0.0.1", 1)
    node_state = state.State(ports.Settings("n1", "a", addr, addr, addr))
    store = UnavailableStore()
    watcher = watch.Watch(
        node_state.cfg,
        node_state,
        store,  # type: ignore[arg-type]
        stats.Stats(),
        lambda: None,
        announce.Announcer(None, node_state),
    )
    started_at = time.monotonic()
    for task in (watcher.run_intents, watcher.run_upstreams, watcher.run_members):
        nursery.start_soon(task)
    await trio.sleep(OUTAGE_S)
    assert time.monotonic() - started_at < OUTAGE_S
    # Intents and upstreams must be read within a second of the store's return.
    assert 8 <= store.calls["read_intents"] <= 12
    assert 8 <= store.calls["read_upstreams"] <= 12
    assert 3 <= store.calls["read_members"] <= 6
    nursery.cancel_scope.cancel()


class HoldingStore:
    """A store that reports its clock at the end of a held call."""

    HOLD_S = 0.2

    def clock_ms(self) -> float:
        return 1e3 * clock.now() + 5_000.0

    async def read_intents(self) -> ports.Page[ports.Intent]:
        return ports.Page([], 1, self.clock_ms())

    async def watch_intents(
        self, position: int, wait_s: float
    ) -> ports.Page[ports.Intent]:
        await trio.sleep(self.HOLD_S)
        return ports.Page([], position, self.clock_ms())


async def test_held_response_is_as_old_as_its_call(nursery: trio.Nursery) -> None:
    """Guards against a change missing from a held response that counts as unmade."""
    addr = ("127.0.0.1", 1)
    node_state = state.State(ports.Settings("n1", "a", addr, addr, addr))
    store = HoldingStore()
    ages_ms: list[float] = []

    def record_age() -> None:
        ages_ms.append(store.clock_ms() - node_state.intents_current_ms)

    watcher = watch.Watch(
        node_state.cfg,
        node_state,
        store,  # type: ignore[arg-type]
        stats.Stats(),
        record_age,
        announce.Announcer(None, node_state),
    )
    nursery.start_soon(watcher.run_intents)
    await trio.sleep(3.5 * store.HOLD_S)
    nursery.cancel_scope.cancel()
    assert len(ages_ms) >= 3
    assert all(age_ms >= 1e3 * store.HOLD_S - 5.0 for age_ms in ages_ms[1:])

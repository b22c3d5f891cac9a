"""Tests of limits that several nodes share through an owner, over fake peers."""

import pytest
import trio
import trio.testing

from snipelug_core import contract, refusal
from snipelug_node import limiter
from tests import peer_fakes

LIMITS = contract.Limits(in_flight=16, requests_per_s=1000.0, tokens_per_s=1e6)
TEAM = contract.Contract("t", (), limits=LIMITS)


def build(
    network: peer_fakes.Network,
    nursery: trio.Nursery,
    had_owner: bool = False,
    capacity: int = 4096,
    session_age_s: float = 999.0,
    is_listed: bool = True,
) -> list[limiter.Limiter]:
    """Return the limiters of nodes a and b; a owns the team."""
    built = [
        limiter.Limiter(
            peer_fakes.Peers(network, name),
            f"{name}/1",
            owner_of=lambda _: "a",
            holds_now=lambda _, own=name: own == "a",
            members=lambda: ["a/1", "b/1"],
            session_age_s=lambda: session_age_s,
            is_listed=lambda: is_listed,
            limits_of=lambda _: LIMITS,
            capacity=capacity,
        )
        for name in ("a", "b")
    ]
    built[0].start_owning("t", had_owner)
    for node_limiter in built:
        nursery.start_soon(node_limiter.run)
    return built


async def acquire_many(
    node_limiter: limiter.Limiter, count: int, wait_s: float, nursery: trio.Nursery
) -> list[limiter.Permit]:
    """Return the permits of those of ``count`` requests that start in time."""
    permits: list[limiter.Permit] = []

    async def acquire() -> None:
        answer = await node_limiter.acquire(TEAM, 10.0, trio.current_time() + wait_s)
        if isinstance(answer, limiter.Permit):
            permits.append(answer)

    for _ in range(count):
        nursery.start_soon(acquire)
    await trio.sleep(wait_s)
    return permits


async def test_limit_holds_over_two_nodes(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against nodes that together exceed a team's concurrency limit."""
    first, second = build(peer_fakes.Network(), nursery)
    permits = [
        *await acquire_many(first, 40, 0.9, nursery),
        *await acquire_many(second, 40, 0.9, nursery),
    ]
    assert 14 <= len(permits) <= 16


async def test_floor_without_owner(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against serving nothing, or the full limit, without a live owner."""
    network = peer_fakes.Network()
    _, second = build(network, nursery)
    network.down = {"a"}
    assert len(await acquire_many(second, 40, 0.9, nursery)) == 2


async def test_new_member_uses_its_floor_once_all_count_it(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against serving nothing when the owner dies soon after this node joined.

    A new member may use its floor before `quota.JOIN_WAIT_S` once every other member
    has confirmed that it counts it.
    """
    network = peer_fakes.Network()
    _, second = build(network, nursery, session_age_s=5.0)
    await trio.sleep(1.0)
    network.down = {"a"}
    assert len(await acquire_many(second, 40, 0.9, nursery)) == 2


@pytest.mark.parametrize("case", ["unheard", "unlisted", "busy"])
async def test_new_member_uses_no_floor_until_counted(
    case: str, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a floor granted while another member's share is still too large.

    The owner is unreachable, the session list is older than the node's session, or
    another member still runs more requests than its reduced share.
    """
    network = peer_fakes.Network()
    first, second = build(
        network,
        nursery,
        had_owner=True,
        session_age_s=5.0,
        is_listed=case != "unlisted",
    )
    if case == "busy":
        # Running requests that were admitted under an earlier, larger share.
        team = limiter._Team(LIMITS)
        team.account.in_flight = 12
        first._teams["t"] = team
    if case == "unheard":
        network.down = {"a"}
    await trio.sleep(1.0)
    network.down = {"a"}
    assert await acquire_many(second, 40, 0.9, nursery) == []


async def test_new_owner_waits(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against lending while slices of the previous owner are still in use."""
    _, second = build(peer_fakes.Network(), nursery, had_owner=True)
    assert len(await acquire_many(second, 40, 11.0, nursery)) == 2
    assert len(await acquire_many(second, 40, 6.0, nursery)) > 2


async def test_released_permit_goes_to_the_next_waiter(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a queue that does not advance after a permit is released."""
    first, _ = build(peer_fakes.Network(), nursery, capacity=1)
    permit = await first.acquire(TEAM, 10.0, trio.current_time() + 9.0)
    assert isinstance(permit, limiter.Permit)
    with trio.move_on_after(1.0) as scope:
        await first.acquire(TEAM, 10.0, trio.current_time() + 9.0)
    assert scope.cancelled_caught
    permit.release()
    permit.release()
    later = await first.acquire(TEAM, 10.0, trio.current_time() + 9.0)
    assert isinstance(later, limiter.Permit)
    blocked = await first.acquire(TEAM, 10.0, trio.current_time() + 1.0)
    assert isinstance(blocked, refusal.Refusal)
    assert blocked.kind is refusal.DEADLINE_UNREACHABLE


async def test_burst_is_not_refused_before_the_first_slice(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against early refusals estimated from the floor's rates alone."""
    _, second = build(peer_fakes.Network(), nursery)
    assert len(await acquire_many(second, 12, 0.9, nursery)) == 12


async def test_slice_grows_with_demand(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a burst that waits 3 s for the next slice request."""
    _, second = build(peer_fakes.Network(), nursery)
    assert len(await acquire_many(second, 1, 0.5, nursery)) == 1
    assert len(await acquire_many(second, 11, 0.9, nursery)) == 11


async def test_deadline_ends_the_wait(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a caller that waits past its deadline."""
    network = peer_fakes.Network()
    _, second = build(network, nursery, session_age_s=0.0)
    network.down = {"a"}
    started_at = trio.current_time()
    answer = await second.acquire(TEAM, 10.0, started_at + 2.0)
    assert isinstance(answer, refusal.Refusal)
    assert answer.run_state is refusal.RunState.NOT_RUN
    assert trio.current_time() - started_at < 2.1


async def test_used_tokens_are_settled(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against charging the estimated instead of the actual token use."""
    first, _ = build(peer_fakes.Network(), nursery)
    for used, allowed_s in ((10.0, 0.5), (5e6, 99.0)):
        started_at = trio.current_time()
        permit = await first.acquire(TEAM, 2e6, started_at + 99.0)
        assert isinstance(permit, limiter.Permit)
        permit.release(used)
        assert trio.current_time() - started_at < allowed_s
    before = trio.current_time()
    last = await first.acquire(TEAM, 10.0, before + 99.0)
    assert isinstance(last, limiter.Permit)
    assert trio.current_time() - before > 3.0

"""Limits at several nodes with an owner, over fake peers."""

import pytest
import trio
import trio.testing

from snipelug_core import contract, refusal
from snipelug_node import limiter
from tests import peer_fakes

LIMITS = contract.Limits(in_flight=16, requests_per_s=1000.0, tokens_per_s=1e6)
TEAM = contract.Contract("t", (), limits=LIMITS)


def build(
    net: peer_fakes.Net,
    nursery: trio.Nursery,
    had_owner: bool = False,
    capacity: int = 4096,
    joined_for_s: float = 999.0,
    is_listed: bool = True,
) -> list[limiter.Limiter]:
    """Return the limiters of nodes a and b; a owns the team."""
    built = [
        limiter.Limiter(
            peer_fakes.Peers(net, name),
            f"{name}/1",
            owner_of=lambda _: "a",
            holds_now=lambda _, own=name: own == "a",
            members=lambda: ["a/1", "b/1"],
            session_age_s=lambda: joined_for_s,
            is_listed=lambda: is_listed,
            limits_of=lambda _: LIMITS,
            capacity=capacity,
        )
        for name in ("a", "b")
    ]
    built[0].start_owning("t", had_owner)
    for one in built:
        nursery.start_soon(one.run)
    return built


async def enter_many(
    one: limiter.Limiter, count: int, wait_s: float, nursery: trio.Nursery
) -> list[limiter.Permit]:
    """Return the tickets of those of ``count`` requests that start in time."""
    tickets: list[limiter.Permit] = []

    async def enter() -> None:
        answer = await one.acquire(TEAM, 10.0, trio.current_time() + wait_s)
        if isinstance(answer, limiter.Permit):
            tickets.append(answer)

    for _ in range(count):
        nursery.start_soon(enter)
    await trio.sleep(wait_s)
    return tickets


async def test_limit_over_two_nodes(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against more requests at once than the limit over all nodes."""
    first, second = build(peer_fakes.Net(), nursery)
    tickets = [
        *await enter_many(first, 40, 0.9, nursery),
        *await enter_many(second, 40, 0.9, nursery),
    ]
    assert 14 <= len(tickets) <= 16


async def test_floor_without_owner(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against no service, or the whole limit, while the owner is away."""
    net = peer_fakes.Net()
    _, second = build(net, nursery)
    net.down = {"a"}
    assert len(await enter_many(second, 40, 0.9, nursery)) == 2


async def test_new_member_uses_its_floor_once_all_count_it(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against no service when an owner dies soon after the start."""
    net = peer_fakes.Net()
    _, second = build(net, nursery, joined_for_s=5.0)
    await trio.sleep(1.0)
    net.down = {"a"}
    assert len(await enter_many(second, 40, 0.9, nursery)) == 2


@pytest.mark.parametrize("case", ["unheard", "unlisted", "busy"])
async def test_new_member_uses_no_floor_before(
    case: str, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a floor beside another member's share that is still too large."""
    net = peer_fakes.Net()
    first, second = build(
        net,
        nursery,
        had_owner=True,
        joined_for_s=5.0,
        is_listed=case != "unlisted",
    )
    if case == "busy":
        # Requests of a larger share that was in force before.
        team = limiter._Team(LIMITS)
        team.account.in_flight = 12
        first._teams["t"] = team
    if case == "unheard":
        net.down = {"a"}
    await trio.sleep(1.0)
    net.down = {"a"}
    assert await enter_many(second, 40, 0.9, nursery) == []


async def test_new_owner_waits(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against slices while those of an earlier owner are still in use."""
    _, second = build(peer_fakes.Net(), nursery, had_owner=True)
    assert len(await enter_many(second, 40, 11.0, nursery)) == 2
    assert len(await enter_many(second, 40, 6.0, nursery)) > 2


async def test_slot_goes_to_the_next_in_line(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a queue that stands still after a request has left."""
    first, _ = build(peer_fakes.Net(), nursery, capacity=1)
    ticket = await first.acquire(TEAM, 10.0, trio.current_time() + 9.0)
    assert isinstance(ticket, limiter.Permit)
    with trio.move_on_after(1.0) as scope:
        await first.acquire(TEAM, 10.0, trio.current_time() + 9.0)
    assert scope.cancelled_caught
    ticket.release()
    ticket.release()
    later = await first.acquire(TEAM, 10.0, trio.current_time() + 9.0)
    assert isinstance(later, limiter.Permit)
    blocked = await first.acquire(TEAM, 10.0, trio.current_time() + 1.0)
    assert isinstance(blocked, refusal.Refusal)
    assert blocked.kind is refusal.DEADLINE_UNREACHABLE


async def test_burst_is_not_refused_before_the_first_slice(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against early refusals at the pace of the floor alone."""
    _, second = build(peer_fakes.Net(), nursery)
    assert len(await enter_many(second, 12, 0.9, nursery)) == 12


async def test_slice_grows_with_demand(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a burst that waits 3 s for the next request for a slice."""
    _, second = build(peer_fakes.Net(), nursery)
    assert len(await enter_many(second, 1, 0.5, nursery)) == 1
    assert len(await enter_many(second, 11, 0.9, nursery)) == 11


async def test_deadline_ends_the_wait(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a caller that waits for longer than its deadline."""
    net = peer_fakes.Net()
    _, second = build(net, nursery, joined_for_s=0.0)
    net.down = {"a"}
    started_at = trio.current_time()
    answer = await second.acquire(TEAM, 10.0, started_at + 2.0)
    assert isinstance(answer, refusal.Refusal)
    assert answer.run_state is refusal.RunState.NOT_RUN
    assert trio.current_time() - started_at < 2.1


async def test_used_tokens_are_settled(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against estimates that are charged in place of real use."""
    first, _ = build(peer_fakes.Net(), nursery)
    for used, allowed_s in ((10.0, 0.5), (5e6, 99.0)):
        started_at = trio.current_time()
        ticket = await first.acquire(TEAM, 2e6, started_at + 99.0)
        assert isinstance(ticket, limiter.Permit)
        ticket.release(used)
        assert trio.current_time() - started_at < allowed_s
    before = trio.current_time()
    last = await first.acquire(TEAM, 10.0, before + 99.0)
    assert isinstance(last, limiter.Permit)
    assert trio.current_time() - before > 3.0

"""Slots between nodes: lost messages, fallback to the outage part, single use."""

import trio
import trio.testing

from snipelug_core import admission
from snipelug_node import admitter
from tests import peer_fakes

LEASED = admission.PartName.LEASED


def build_pair(net: peer_fakes.Net, nursery: trio.Nursery) -> admitter.Admitter:
    """Return node a's admitter; b holds the leased part, c the outage part."""
    holders = {LEASED: "b", admission.PartName.SUSPECT: "b"}
    built = {}
    for node_id in ("a", "b", "c"):
        built[node_id] = admitter.Admitter(
            peer_fakes.Peers(net, node_id),
            holder_of=lambda _, part: holders.get(part, "c"),
            holds_now=lambda _, part, own=node_id: holders.get(part, "c") == own,
            cold_limit_of=lambda _: 2,
            incarnation="1",
            nursery=nursery,
        )
    built["b"].start_holding("u", LEASED, had_holder=False)
    built["c"].start_holding("u", admission.PartName.OUTAGE, had_holder=False)
    return built["a"]


async def test_slot_is_used_once_and_released(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a second send on one grant and slots that are never freed."""
    admit = build_pair(peer_fakes.Net(), nursery)
    for _ in range(5):
        async with admit.slot("u", 30.0) as slot:
            assert isinstance(slot, admitter.Slot)
            assert slot.grant.part is LEASED
            assert slot.may_send(trio.current_time())
            assert not slot.may_send(trio.current_time())
            slot.has_ended = True
        await trio.sleep(0.1)


async def test_limit_over_both_parts(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against more slots than the limit, and an unused outage part."""
    admit = build_pair(peer_fakes.Net(), nursery)
    async with admit.slot("u", 30.0) as first, admit.slot("u", 30.0) as second:
        assert isinstance(first, admitter.Slot)
        assert isinstance(second, admitter.Slot)
        assert second.grant.part is admission.PartName.OUTAGE
        async with admit.slot("u", 30.0) as third:
            assert isinstance(third, admitter.Denied)
            assert "leased: all slots in use (1)" in third.reasons


async def test_unreachable_holder_delays_nothing(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against waiting for the release of a slot that was never granted."""
    net = peer_fakes.Net()
    admit = build_pair(net, nursery)
    net.down = {"b"}
    async with admit.slot("u", 30.0) as slot:
        assert isinstance(slot, admitter.Slot)
        assert slot.grant.holder == "c"
    assert net.calls[:2] == [("b", "Admit"), ("c", "Admit")]


async def test_lost_answer_frees_the_slot(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against slots lost with the answer that granted them."""
    net = peer_fakes.Net()
    admit = build_pair(net, nursery)
    net.lose_answers = {"Admit"}
    async with admit.slot("u", 30.0) as slot:
        assert isinstance(slot, admitter.Denied)
    await trio.sleep(0.1)
    net.lose_answers = set()
    async with admit.slot("u", 30.0) as slot:
        assert isinstance(slot, admitter.Slot)
        assert slot.grant.part is LEASED


async def test_grant_expires(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a send on a grant that its holder may count as unused."""
    admit = build_pair(peer_fakes.Net(), nursery)
    async with admit.slot("u", 30.0) as slot:
        assert isinstance(slot, admitter.Slot)
        await trio.sleep(admission.GRANT_VALID_S)
        assert not slot.may_send(trio.current_time())


async def test_cut_request_keeps_its_slot(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a slot freed while the upstream may still run its request."""
    admit = build_pair(peer_fakes.Net(), nursery)
    async with admit.slot("u", 30.0) as slot:
        assert isinstance(slot, admitter.Slot)
        slot.may_send(trio.current_time())
    await trio.sleep(35.0)
    async with admit.slot("u", 30.0, (LEASED,)) as again:
        assert isinstance(again, admitter.Denied)
    await trio.sleep(10.0)
    async with admit.slot("u", 30.0, (LEASED,)) as again:
        assert isinstance(again, admitter.Slot)


async def test_suspect_slot_is_exclusive(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against two suspects on one upstream."""
    admit = build_pair(peer_fakes.Net(), nursery)
    parts = admitter.SUSPECT_PARTS
    async with admit.slot("u", 30.0, parts) as first:
        assert isinstance(first, admitter.Slot)
        async with admit.slot("u", 30.0, parts) as second:
            assert isinstance(second, admitter.Denied)

"""Tests of slots between nodes: lost messages, the outage part and single use."""

import trio
import trio.testing

from snipelug_core import admission, table
from snipelug_node import admitter
from tests import peer_fakes

LEASED = admission.PartName.LEASED


def build_cluster(
    network: peer_fakes.Network, nursery: trio.Nursery
) -> admitter.Admitter:
    """Return node a's admitter; b holds the leased part, c the outage part."""
    return build_nodes(network, nursery, outage_holder="c")["a"]


def build_nodes(
    network: peer_fakes.Network, nursery: trio.Nursery, outage_holder: str
) -> dict[str, admitter.Admitter]:
    """Return the admitters by node; b holds the leased part."""
    holders = {LEASED: "b", admission.PartName.SUSPECT: "b"}
    built = {}
    for node_id in ("a", "b", "c"):
        built[node_id] = admitter.Admitter(
            peer_fakes.Peers(network, node_id),
            holder_of=lambda _, part: holders.get(part, outage_holder),
            holds_now=lambda _, part, own=node_id: (
                holders.get(part, outage_holder) == own
            ),
            cold_limit_of=lambda _: 2,
            incarnation="1",
            nursery=nursery,
        )
    built["b"].start_holding("u", LEASED, had_holder=False)
    outage = admission.PartName.OUTAGE
    built[outage_holder].start_holding("u", outage, had_holder=False)
    return built


async def test_slot_is_used_once_and_released(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a second send on one grant and against slots never freed."""
    slot_admitter = build_cluster(peer_fakes.Network(), nursery)
    for _ in range(5):
        async with slot_admitter.slot("u", 30.0) as slot:
            assert isinstance(slot, admitter.Slot)
            assert slot.grant.part is LEASED
            assert slot.may_send(trio.current_time())
            assert not slot.may_send(trio.current_time())
            slot.has_ended = True
        await trio.sleep(0.1)


async def test_limit_over_both_parts(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against exceeding the limit and against an unused outage part."""
    slot_admitter = build_cluster(peer_fakes.Network(), nursery)
    async with (
        slot_admitter.slot("u", 30.0) as first,
        slot_admitter.slot("u", 30.0) as second,
    ):
        assert isinstance(first, admitter.Slot)
        assert isinstance(second, admitter.Slot)
        assert second.grant.part is admission.PartName.OUTAGE
        async with slot_admitter.slot("u", 30.0) as third:
            assert isinstance(third, admitter.Denied)
            assert "leased: all slots in use (1)" in third.reasons


async def test_unreachable_holder_does_not_delay_requests(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a request that waits for the release of an ungranted slot.

    The release to the unreachable holder must run in the background.
    """
    network = peer_fakes.Network()
    slot_admitter = build_cluster(network, nursery)
    network.down = {"b"}
    async with slot_admitter.slot("u", 30.0) as slot:
        assert isinstance(slot, admitter.Slot)
        assert slot.grant.holder == "c"
    assert network.calls[:2] == [("b", "Admit"), ("c", "Admit")]


async def test_lost_answer_frees_the_slot(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against slots that stay in use because the granting answer was lost."""
    network = peer_fakes.Network()
    slot_admitter = build_cluster(network, nursery)
    network.lose_answers = {"Admit"}
    async with slot_admitter.slot("u", 30.0) as slot:
        assert isinstance(slot, admitter.Denied)
    await trio.sleep(0.1)
    network.lose_answers = set()
    async with slot_admitter.slot("u", 30.0) as slot:
        assert isinstance(slot, admitter.Slot)
        assert slot.grant.part is LEASED


async def test_grant_expires(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a send on an expired grant, which its holder may have reused."""
    slot_admitter = build_cluster(peer_fakes.Network(), nursery)
    async with slot_admitter.slot("u", 30.0) as slot:
        assert isinstance(slot, admitter.Slot)
        await trio.sleep(admission.GRANT_VALID_S)
        assert not slot.may_send(trio.current_time())


async def test_aborted_request_keeps_its_slot(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against freeing a slot while the upstream may still run its request."""
    slot_admitter = build_cluster(peer_fakes.Network(), nursery)
    async with slot_admitter.slot("u", 30.0) as slot:
        assert isinstance(slot, admitter.Slot)
        slot.may_send(trio.current_time())
    await trio.sleep(35.0)
    async with slot_admitter.slot("u", 30.0, (LEASED,)) as again:
        assert isinstance(again, admitter.Denied)
    await trio.sleep(10.0)
    async with slot_admitter.slot("u", 30.0, (LEASED,)) as again:
        assert isinstance(again, admitter.Slot)


async def test_suspect_slot_is_exclusive(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against two suspect requests at one upstream at the same time."""
    slot_admitter = build_cluster(peer_fakes.Network(), nursery)
    parts = admitter.SUSPECT_PARTS
    async with slot_admitter.slot("u", 30.0, parts) as first:
        assert isinstance(first, admitter.Slot)
        async with slot_admitter.slot("u", 30.0, parts) as second:
            assert isinstance(second, admitter.Denied)


async def test_slot_of_cut_request_is_freed_beside_a_busy_slot(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a slot lost while other requests follow without a gap."""
    nodes = build_nodes(peer_fakes.Network(), nursery, outage_holder="b")

    async def report(running: int) -> None:
        made_at = trio.current_time()
        await trio.sleep(0.1)
        cold = table.Warmth.COLD
        nodes["b"].apply_report(
            "u", table.LoadReport("x", cold, running, 0, 1, made_at)
        )

    async with nodes["a"].slot("u", 600.0) as busy:
        assert isinstance(busy, admitter.Slot)
        busy.may_send(trio.current_time())
        async with nodes["a"].slot("u", 600.0) as cut:
            assert isinstance(cut, admitter.Slot)
            cut.may_send(trio.current_time())
            cut.has_arrived = True
        await trio.sleep(0.1)
        await report(running=1)
        busy.has_ended = True
    await trio.sleep(0.1)
    async with nodes["a"].slot("u", 30.0) as early:
        assert isinstance(early, admitter.Denied)
    assert not nodes["b"].has_free_slot("u", LEASED)
    await report(running=0)
    async with nodes["a"].slot("u", 30.0) as first, nodes["a"].slot("u", 30.0) as other:
        assert isinstance(first, admitter.Slot)
        assert isinstance(other, admitter.Slot)

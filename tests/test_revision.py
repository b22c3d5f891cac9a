"""Tests of following and accepting configuration changes over real RPC connections."""

import msgspec
import pytest
import trio

from snipelug_core import change, contract, currency, member, session
from snipelug_net import rpc
from snipelug_node import peer, revision
from tests import fleet


def zone_out(
    zone: str, nonce: str = "", expected: int | None = None
) -> revision.Proposal:
    operations = (change.ZoneOut(zone),)
    return revision.Proposal(operations, "ann", nonce or f"nonce-{zone}", expected)


async def test_change_is_in_force_everywhere_and_survives_outage() -> None:
    """Guards against an accepted change that is later missing on some node."""
    async with fleet.fleet(3) as made:
        outcome = await made.nodes["n0"].keeper.propose(zone_out("tamar-a", expected=0))
        assert isinstance(outcome, revision.Accepted)
        rollout = await made.nodes["n0"].keeper.wait_in_force(1, fleet.WAIT_S)
        assert rollout == revision.Rollout(1, ("n0", "n1", "n2"), ())
        for running in made.nodes.values():
            assert running.keeper.cfg.zones_out == {"tamar-a"}
        made.table.up = False
        refused = await made.nodes["n1"].keeper.propose(zone_out("esk-b"))
        reason = "the table service did not take the change"
        assert refused == revision.NotAllowed(reason)
        made.nodes["n2"].scope.cancel()
        await trio.sleep(5.2)
        for node_id in ("n0", "n1"):
            running = made.nodes[node_id]
            judged = running.keeper.evaluate(running.peers.clock())
            assert isinstance(judged, currency.Current)
            assert judged.rule == "majority"
        restarted = await made.boot("n2")
        await made.until(lambda: restarted.keeper.is_current(restarted.peers.clock()))
        assert restarted.keeper.cfg.zones_out == {"tamar-a"}


async def test_racing_operators_get_one_winner() -> None:
    """Guards against two operators who are both told that they wrote one revision."""
    async with fleet.fleet(3) as made:
        outcomes: dict[str, revision.Outcome] = {}

        async def propose(node_id: str) -> None:
            keeper = made.nodes[node_id].keeper
            proposed = zone_out(f"zone-{node_id}", expected=0)
            outcomes[node_id] = await keeper.propose(proposed)

        async with trio.open_nursery() as nursery:
            for node_id in made.nodes:
                nursery.start_soon(propose, node_id)
        accepted = [v for v in outcomes.values() if isinstance(v, revision.Accepted)]
        lost = [v for v in outcomes.values() if isinstance(v, revision.Outdated)]
        assert (len(accepted), len(lost)) == (1, 2)
        assert {v.revision for v in lost} == {1}
        last = await made.nodes["n0"].keeper.propose(zone_out("late"))
        assert isinstance(last, revision.Accepted)
        assert last.rollout.revision == 2


async def test_lost_answer_and_repeated_call_are_one_change() -> None:
    """Guards against a lost answer that causes a refusal or a duplicate change."""
    async with fleet.fleet(3) as made:
        made.table.lose_answers = 1
        first = await made.nodes["n0"].keeper.propose(zone_out("esk-b", expected=0))
        assert isinstance(first, revision.Accepted)
        again = await made.nodes["n1"].keeper.propose(zone_out("esk-b", expected=0))
        assert isinstance(again, revision.Accepted)
        assert made.nodes["n1"].keeper.cfg.revision == 1


async def test_unclear_write_is_settled_by_repeating_the_call() -> None:
    """Guards against a definite answer about a write whose outcome is unknown."""
    async with fleet.fleet(3) as made:
        made.table.fail_after_write = True
        first = await made.nodes["n0"].keeper.propose(zone_out("esk-b", expected=0))
        assert first == revision.Unclear(1, "nonce-esk-b")
        made.table.fail_after_write = False
        made.table.up = True
        await made.until_current()
        again = await made.nodes["n0"].keeper.propose(zone_out("esk-b", expected=0))
        assert isinstance(again, revision.Accepted)
        assert again.rollout.revision == 1


async def test_written_change_without_majority_is_not_called_accepted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against reporting a change as accepted that an outage could hide."""
    monkeypatch.setattr(revision, "ACCEPT_WAIT_S", 1.0)
    async with fleet.fleet(3) as made:
        for node_id in ("n1", "n2"):
            made.nodes[node_id].scope.cancel()
        outcome = await made.nodes["n0"].keeper.propose(zone_out("esk-b"))
        rollout = revision.Rollout(1, ("n0",), ("n1", "n2"))
        assert outcome == revision.RecordedOnly(rollout)
        again = await made.nodes["n0"].keeper.propose(zone_out("esk-b"))
        assert again == revision.RecordedOnly(rollout)


async def test_node_alone_neither_accepts_nor_serves_without_store() -> None:
    """Guards against a minority that continues with an outdated configuration."""
    async with fleet.fleet(3) as made:
        for node_id in ("n1", "n2"):
            made.nodes[node_id].scope.cancel()
        running = made.nodes["n0"]
        await made.until(lambda: running.peers.live() == ["n0"])
        outcome = await running.keeper.propose(zone_out("esk-b"))
        assert outcome == revision.NotAllowed("only 1 of 3 members are heard")
        assert ("changes", change.row_key(1)) not in made.table.rows
        made.table.up = False
        await trio.sleep(5.2)
        assert not running.keeper.is_current(running.peers.clock())


async def test_late_node_catches_up_from_snapshot_of_peer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a node that cannot boot after peers dropped old changes."""
    monkeypatch.setattr(revision, "LOG_LENGTH", 2)
    async with fleet.fleet(2) as made:
        for number in range(5):
            outcome = await made.nodes["n0"].keeper.propose(zone_out(f"z{number}"))
            assert isinstance(outcome, revision.Accepted)
        keeper = made.nodes["n0"].keeper
        request = revision.DeltasRequest(0)
        reply = await made.nodes["n1"].peers.call("n0", revision.DELTAS, request, 1.0)
        assert isinstance(reply, revision.DeltasReply)
        assert reply.snapshot is not None
        config = change.apply_snapshot(contract.Config(), reply.snapshot)
        assert config == keeper.cfg
        history = await keeper.history(0, 10)
        assert isinstance(history, list)
        assert [item.revision for item in history] == [1, 2, 3, 4, 5]


async def test_members_come_from_sessions_once_written() -> None:
    """Guards against counting peers that are not members for majorities."""
    async with fleet.fleet(2) as made:
        for node_id, port in made.ports.items():
            row = session.Row(f"{node_id}@1.1", node_id, "1", 1, "127.0.0.1", port)
            made.table.put("sessions", row.session, msgspec.json.encode(row))
        lost = session.Row("n9@1.1", "n9", "1", 1, "127.0.0.1", 1)
        made.table.put("sessions", lost.session, msgspec.json.encode(lost))
        members = made.nodes["n0"].peers.members
        await made.until(lambda: "n9" in members.rows)
        assert members.voters() == {"n0", "n1", "n9"}
        # A revoked session has no row, but its node may still run.
        del made.table.rows["sessions", lost.session]
        await made.until(lambda: members.rows["n9"].revoked)
        assert members.voters() == {"n0", "n1", "n9"}


async def test_unknown_node_is_unreachable_and_local_call_is_direct() -> None:
    """Guards against calls to unknown nodes that hang and remote calls to itself."""
    async with fleet.fleet(1) as made:
        peers = made.nodes["n0"].peers
        message = currency.Heartbeat("n0", "1", 0, False)
        assert isinstance(
            await peers.call("nobody", peer.HEARTBEAT, message, 1.0), rpc.Unreachable
        )
        reply = await peers.call("n0", peer.HEARTBEAT, message, 1.0)
        assert isinstance(reply, currency.HeartbeatReply)


PEERS = [
    ("n1=10.0.0.1:7000", member.Member("n1", "", "10.0.0.1", 7000)),
    ("n1=[::1]:7000", member.Member("n1", "", "::1", 7000)),
    ("n1", peer.InvalidPeer("peer 'n1' is not of the form ID=HOST:PORT")),
    ("n1=h:0", peer.InvalidPeer("peer 'n1=h:0': port 0 is not between 1 and 65535")),
]


@pytest.mark.parametrize(("text", "expected"), PEERS)
def test_peer_setting(text: str, expected: object) -> None:
    """Guards against silently ignoring a mistyped peer."""
    assert peer.parse_peer(text) == expected

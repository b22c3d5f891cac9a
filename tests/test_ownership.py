"""Schedules of sessions and ownership that random exploration rarely reaches."""

import collections.abc
import typing

import pytest

from snipelug_core import ownership, session, step
from tests import world

ITEM = "upstream:u"


class Harness:
    """Nodes whose flows run step by step against one store."""

    def __init__(self) -> None:
        self.store = world.Store()
        self.now = 0.0

    def node(self, name: str, with_session: bool = True) -> world.Node:
        node = world.Node(name, "p", 1.0, 0.0)
        node.instance_list_view.self_listed = True
        if with_session:
            self.run(session.renew(node.lease, self.now))
        return node

    def run(
        self,
        flow: collections.abc.Generator[typing.Any, step.Event, None],
        *faults: str,
    ) -> None:
        """Run a flow, applying the given faults to its steps in order."""
        left = list(faults)
        outcome: object = None
        try:
            pending_step = next(flow)
            while True:
                fault = left.pop(0) if left else ""
                outcome = self.store.perform(pending_step, fault)
                pending_step = flow.send(step.Event(outcome, self.now))
        except StopIteration:
            return

    def acquire(self, node: world.Node, *faults: str) -> None:
        self.run(ownership.acquire(node.owners, ITEM, node.instance_list_view), *faults)

    def revoke(self, node: world.Node) -> None:
        place = (session.TABLE, node.lease.session)
        version = self.store.rows[place][0]
        stale = session.StaleSession(node.lease.session, version, 30.0)
        assert isinstance(self.store.apply(session.revoke(stale)), step.Applied)

    def owners(self, *nodes: world.Node) -> list[str]:
        return [
            node.id
            for node in nodes
            if ownership.fencing_token(node.owners, ITEM, self.now) is not None
        ]

    def holders(self, *nodes: world.Node) -> list[str]:
        return [n.id for n in nodes if ownership.has_outage_slot(n.owners, ITEM)]


def test_late_creation_does_not_bring_a_session_back() -> None:
    """Guards against a second write that creates the same session id."""
    harness = Harness()
    a, b = harness.node("a", with_session=False), harness.node("b")
    harness.run(session.renew(a.lease, 0.0), "late")
    for _ in range(2):
        harness.run(session.renew(a.lease, 0.0))
    harness.acquire(a)
    assert harness.owners(a, b) == ["a"]
    harness.revoke(a)
    harness.now = 40.0
    harness.run(session.renew(b.lease, 40.0))
    harness.acquire(b)
    harness.store.apply(harness.store.late.pop())
    for _ in range(3):
        harness.run(session.renew(a.lease, 40.0))
    assert a.lease.valid(40.0)
    assert harness.owners(a, b) == ["b"]


@pytest.mark.parametrize("revoked", [False, True])
def test_lease_is_fresh_once_the_store_answers(revoked: bool) -> None:
    """Guards against confirming only an old renewal, so that the lease soon expires."""
    harness = Harness()
    a = harness.node("a")
    harness.now = 5.0
    harness.run(session.renew(a.lease, 5.0), "lost", "lost")
    if revoked:
        harness.revoke(a)
    harness.now = 19.0
    harness.run(session.renew(a.lease, 19.0))
    assert a.lease.valid(19.0 + session.RENEW_S)


def test_late_hand_over_does_not_meet_a_resumed_owner() -> None:
    """Guards against two owners after a hand-over whose answers were lost."""
    harness = Harness()
    a, b = harness.node("a"), harness.node("b")
    harness.acquire(a)
    successor = ownership.Successor(b.lease.session, b.owners.own_process, listed=True)
    lost = ["late", "lost"] * ownership.HAND_OVER_ATTEMPTS
    harness.run(ownership.hand_over(a.owners, ITEM, successor), *lost)
    late = harness.store.late.pop()
    harness.acquire(a, "", "late")
    harness.store.apply(late)
    harness.acquire(b)
    assert len(harness.owners(a, b)) <= 1
    assert len(harness.holders(a, b)) <= 1
    harness.acquire(a)
    assert len(harness.owners(a, b)) == 1


def test_reading_older_than_a_hand_over_is_ignored() -> None:
    """Guards against a slow scan that returns an item to its previous owner."""
    harness = Harness()
    a = harness.node("a")
    harness.acquire(a)
    old = harness.store.rows[(ownership.TABLE, ITEM)]
    harness.run(ownership.hand_over(a.owners, ITEM, None))
    ownership.observe_row(a.owners, ITEM, *old, harness.now)
    assert harness.owners(a) == []
    assert harness.holders(a) == []


def test_session_with_unclear_creation_takes_nothing() -> None:
    """Guards against an owner row of a session that other nodes see as missing."""
    harness = Harness()
    a, b = harness.node("a", with_session=False), harness.node("b")
    harness.run(session.renew(a.lease, 0.0), "late", "lost")
    harness.acquire(a)
    harness.acquire(b)
    harness.store.apply(harness.store.late.pop())
    harness.run(session.renew(a.lease, 0.0))
    harness.run(session.renew(a.lease, 0.0))
    assert harness.owners(a, b) == ["b"]


def test_outage_slot_outlives_the_lease_and_moves_on_removal() -> None:
    """Guards against moving a slot while its holder may still use it."""
    harness = Harness()
    a, b = harness.node("a"), harness.node("b")
    harness.acquire(a)
    harness.revoke(a)
    for now, listed in [(40.0, {"a", "b"}), (50.0, {"b"}), (79.0, {"b"})]:
        harness.now = now
        harness.run(session.renew(b.lease, now))
        ownership.observe_instance_list(b.instance_list_view, listed, ["a"], "b", now)
        harness.acquire(b)
        assert harness.owners(a, b) == ["b"]
        assert harness.holders(a, b) == ["a"]
    ownership.observe_instance_list(b.instance_list_view, {"b"}, ["a"], "b", 80.0)
    harness.acquire(b)
    assert harness.holders(b) == ["b"]


def test_unlisted_node_takes_no_outage_slot() -> None:
    """Guards against a new node whose slot other nodes consider free."""
    harness = Harness()
    a = harness.node("a")
    ownership.observe_instance_list(a.instance_list_view, {"b"}, [], "a", 0.0)
    harness.acquire(a)
    assert harness.owners(a) == ["a"]
    assert harness.holders(a) == []
    ownership.observe_instance_list(a.instance_list_view, {"a", "b"}, [], "a", 0.0)
    harness.acquire(a)
    assert harness.holders(a) == ["a"]


def test_renewal_with_lost_answer_counts_from_its_sending() -> None:
    """Guards against a lease that is valid longer than observers wait."""
    harness = Harness()
    a = harness.node("a")
    harness.run(session.renew(a.lease, 5.0), "lost", "lost")
    assert a.lease.valid(14.9)
    assert not a.lease.valid(15.0)
    harness.run(session.renew(a.lease, 10.0))
    assert a.lease.valid(19.9)
    assert not a.lease.valid(20.0)


def test_session_is_revoked_after_it_was_seen_unchanged() -> None:
    """Guards against revoking a session that was renewed in the meantime."""
    watch = session.Watch()
    assert list(session.observe(watch, {"s": "1"}, 0.0, 1.0)) == []
    assert list(session.observe(watch, {"s": "1"}, 30.9, 32.0)) == []
    stale = list(session.observe(watch, {"s": "1"}, 31.0, 32.0))
    assert [(item.session, item.version) for item in stale] == [("s", "1")]
    assert list(session.observe(watch, {"s": "2"}, 62.0, 63.0)) == []
    assert list(session.observe(watch, {"s": "2"}, 64.0, 65.0)) == []


def test_slot_is_not_handed_to_an_unlisted_node() -> None:
    """Guards against a hand-over to a node that other nodes consider removed."""
    harness = Harness()
    a, b, c = (harness.node(name) for name in "abc")
    b.instance_list_view.self_listed = False
    harness.acquire(a)
    successor = ownership.Successor(b.lease.session, b.owners.own_process)
    harness.run(ownership.hand_over(a.owners, ITEM, successor))
    harness.acquire(b)
    harness.revoke(b)
    for now in (0.0, 31.0):
        harness.now = now
        harness.run(session.renew(c.lease, now))
        ownership.observe_instance_list(
            c.instance_list_view, {"a", "c"}, ["b"], "c", now
        )
        harness.acquire(c)
        harness.acquire(c)
    assert harness.owners(a, b, c) == ["c"]
    assert len(harness.holders(a, b, c)) <= 1

"""Schedules of sessions and ownership that random exploration rarely reaches."""

import collections.abc
import typing

import pytest

from snipelug_core import ownership, session, step
from tests import world

ITEM = "upstream:u"


class Bench:
    """Nodes whose flows run step by step against one store."""

    def __init__(self) -> None:
        self.store = world.Store()
        self.now = 0.0

    def node(self, name: str, with_session: bool = True) -> world.Node:
        node = world.Node(name, "p", 1.0, 0.0)
        node.unlisted.self_listed = True
        if with_session:
            self.run(session.renew(node.lease, self.now))
        return node

    def run(
        self,
        flow: collections.abc.Generator[typing.Any, step.Event, None],
        *faults: str,
    ) -> None:
        """Run a flow; its steps meet the given faults in turn."""
        left = list(faults)
        outcome: object = None
        try:
            taken = next(flow)
            while True:
                fault = left.pop(0) if left else ""
                outcome = self.store.perform(taken, fault)
                taken = flow.send(step.Event(outcome, self.now))
        except StopIteration:
            return

    def acquire(self, node: world.Node, *faults: str) -> None:
        self.run(ownership.acquire(node.owners, ITEM, node.unlisted), *faults)

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
    bench = Bench()
    a, b = bench.node("a", with_session=False), bench.node("b")
    bench.run(session.renew(a.lease, 0.0), "late")
    for _ in range(2):
        bench.run(session.renew(a.lease, 0.0))
    bench.acquire(a)
    assert bench.owners(a, b) == ["a"]
    bench.revoke(a)
    bench.now = 40.0
    bench.run(session.renew(b.lease, 40.0))
    bench.acquire(b)
    bench.store.apply(bench.store.late.pop())
    for _ in range(3):
        bench.run(session.renew(a.lease, 40.0))
    assert a.lease.valid(40.0)
    assert bench.owners(a, b) == ["b"]


@pytest.mark.parametrize("revoked", [False, True])
def test_lease_is_fresh_once_the_store_answers(revoked: bool) -> None:
    """Guards against a read-back of an old renewal that leaves a lapsing lease."""
    bench = Bench()
    a = bench.node("a")
    bench.now = 5.0
    bench.run(session.renew(a.lease, 5.0), "lost", "lost")
    if revoked:
        bench.revoke(a)
    bench.now = 19.0
    bench.run(session.renew(a.lease, 19.0))
    assert a.lease.valid(19.0 + session.RENEW_S)


def test_late_hand_over_does_not_meet_a_resumed_owner() -> None:
    """Guards against two owners after a hand-over whose answers were lost."""
    bench = Bench()
    a, b = bench.node("a"), bench.node("b")
    bench.acquire(a)
    heir = ownership.Successor(b.lease.session, b.owners.own_process, listed=True)
    lost = ["late", "lost"] * ownership.HAND_OVER_ATTEMPTS
    bench.run(ownership.hand_over(a.owners, ITEM, heir), *lost)
    late = bench.store.late.pop()
    bench.acquire(a, "", "late")
    bench.store.apply(late)
    bench.acquire(b)
    assert len(bench.owners(a, b)) <= 1
    assert len(bench.holders(a, b)) <= 1
    bench.acquire(a)
    assert len(bench.owners(a, b)) == 1


def test_reading_older_than_a_hand_over_is_ignored() -> None:
    """Guards against a slow scan that returns an item to its last owner."""
    bench = Bench()
    a = bench.node("a")
    bench.acquire(a)
    old = bench.store.rows[(ownership.TABLE, ITEM)]
    bench.run(ownership.hand_over(a.owners, ITEM, None))
    ownership.observe_row(a.owners, ITEM, *old, bench.now)
    assert bench.owners(a) == []
    assert bench.holders(a) == []


def test_session_with_unclear_creation_takes_nothing() -> None:
    """Guards against a row of a session that others see as missing."""
    bench = Bench()
    a, b = bench.node("a", with_session=False), bench.node("b")
    bench.run(session.renew(a.lease, 0.0), "late", "lost")
    bench.acquire(a)
    bench.acquire(b)
    bench.store.apply(bench.store.late.pop())
    bench.run(session.renew(a.lease, 0.0))
    bench.run(session.renew(a.lease, 0.0))
    assert bench.owners(a, b) == ["b"]


def test_outage_slot_outlives_the_lease_and_moves_on_removal() -> None:
    """Guards against a slot that moves while its holder may still use it."""
    bench = Bench()
    a, b = bench.node("a"), bench.node("b")
    bench.acquire(a)
    bench.revoke(a)
    for now, listed in [(40.0, {"a", "b"}), (50.0, {"b"}), (79.0, {"b"})]:
        bench.now = now
        bench.run(session.renew(b.lease, now))
        ownership.observe_instance_list(b.unlisted, listed, ["a"], "b", now)
        bench.acquire(b)
        assert bench.owners(a, b) == ["b"]
        assert bench.holders(a, b) == ["a"]
    ownership.observe_instance_list(b.unlisted, {"b"}, ["a"], "b", 80.0)
    bench.acquire(b)
    assert bench.holders(b) == ["b"]


def test_unlisted_node_takes_no_outage_slot() -> None:
    """Guards against a new node whose slot others see as free."""
    bench = Bench()
    a = bench.node("a")
    ownership.observe_instance_list(a.unlisted, {"b"}, [], "a", 0.0)
    bench.acquire(a)
    assert bench.owners(a) == ["a"]
    assert bench.holders(a) == []
    ownership.observe_instance_list(a.unlisted, {"a", "b"}, [], "a", 0.0)
    bench.acquire(a)
    assert bench.holders(a) == ["a"]


def test_renewal_with_lost_answer_counts_from_its_sending() -> None:
    """Guards against a lease that outlives what observers wait for."""
    bench = Bench()
    a = bench.node("a")
    bench.run(session.renew(a.lease, 5.0), "lost", "lost")
    assert a.lease.valid(14.9)
    assert not a.lease.valid(15.0)
    bench.run(session.renew(a.lease, 10.0))
    assert a.lease.valid(19.9)
    assert not a.lease.valid(20.0)


def test_session_is_revoked_after_it_was_seen_unchanged() -> None:
    """Guards against revoking a session that was renewed in between."""
    watch = session.Watch()
    assert list(session.observe(watch, {"s": "1"}, 0.0, 1.0)) == []
    assert list(session.observe(watch, {"s": "1"}, 30.9, 32.0)) == []
    stale = list(session.observe(watch, {"s": "1"}, 31.0, 32.0))
    assert [(item.session, item.version) for item in stale] == [("s", "1")]
    assert list(session.observe(watch, {"s": "2"}, 62.0, 63.0)) == []
    assert list(session.observe(watch, {"s": "2"}, 64.0, 65.0)) == []


def test_slot_is_not_handed_to_an_unlisted_node() -> None:
    """Guards against a hand-over whose receiver others see as removed."""
    bench = Bench()
    a, b, c = (bench.node(name) for name in "abc")
    b.unlisted.self_listed = False
    bench.acquire(a)
    heir = ownership.Successor(b.lease.session, b.owners.own_process)
    bench.run(ownership.hand_over(a.owners, ITEM, heir))
    bench.acquire(b)
    bench.revoke(b)
    for now in (0.0, 31.0):
        bench.now = now
        bench.run(session.renew(c.lease, now))
        ownership.observe_instance_list(c.unlisted, {"a", "c"}, ["b"], "c", now)
        bench.acquire(c)
        bench.acquire(c)
    assert bench.owners(a, b, c) == ["c"]
    assert len(bench.holders(a, b, c)) <= 1

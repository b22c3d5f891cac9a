"""Tests of the maintenance of sessions and owner rows, on a virtual clock."""

import random

import trio
import trio.testing

from snipelug_core import ownership, table
from snipelug_node import lease, peer, revision
from tests import fakes

UPSTREAM = ownership.Kind.UPSTREAM
ITEMS = [(UPSTREAM, f"u{fencing_token}") for fencing_token in range(6)]


class Cluster:
    """Lease keepers that share one table service."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.tables = fakes.Tables()
        self.network = fakes.Network()
        self.keepers: dict[str, lease.Keeper] = {}
        self.scopes: dict[str, trio.CancelScope] = {}

    async def start(self, *names: str) -> None:
        for name in names:
            peers = self.network.join(name)
            keeper = lease.Keeper(
                f"{name}-p", self.tables, peers, lambda: ITEMS, random.Random(name)
            )
            self.keepers[name] = keeper
            self.scopes[name] = await self.nursery.start(self._run, keeper)
        self.publish_instance_list()

    async def _run(
        self,
        keeper: lease.Keeper,
        task_status: trio.TaskStatus[trio.CancelScope] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        with trio.CancelScope() as scope:
            task_status.started(scope)
            await keeper.run()

    def publish_instance_list(self) -> None:
        listed = [
            table.Instance(name, table.Role.NODE, "127.0.0.1", 1, "z")
            for name in self.keepers
        ]
        for keeper in self.keepers.values():
            keeper.observe_instance_list(listed, trio.current_time())

    def kill(self, name: str) -> None:
        self.scopes[name].cancel()
        self.network.cut.add(name)

    def owners(self, item: lease.Item) -> list[str]:
        now = trio.current_time()
        keepers = self.keepers.items()
        return [n for n, k in keepers if k.holds(*item, now) is not None]

    def all_owned_by(self, *names: str) -> bool:
        found = [self.owners(item) for item in ITEMS]
        return all(len(owners) == 1 and owners[0] in names for owners in found)


async def test_items_are_owned_and_taken_over(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against items without an owner and against a takeover before 30 s."""
    cluster = Cluster(nursery)
    await cluster.start("a", "b", "c")
    await trio.sleep(20)
    assert cluster.all_owned_by("a", "b", "c")
    owner_before = {i: cluster.keepers["b"].owner_of(*i) for i in ITEMS}
    assert {i: cluster.owners(i)[0] for i in ITEMS} == owner_before
    lost_item = next(i for i in ITEMS if owner_before[i] == "a")
    fencing_token = cluster.keepers["a"].holds(*lost_item, trio.current_time())
    assert fencing_token is not None
    cluster.kill("a")
    await trio.sleep(24)
    assert cluster.owners(lost_item) == []
    await trio.sleep(41)
    assert cluster.all_owned_by("b", "c")
    new_owner = cluster.keepers[cluster.owners(lost_item)[0]]
    new_token = new_owner.holds(*lost_item, trio.current_time())
    assert new_token is not None
    assert new_token > fencing_token
    assert cluster.keepers["a"].outage_holder(*lost_item)
    assert not new_owner.outage_holder(*lost_item)
    assert new_owner.owner_since(*lost_item) <= trio.current_time()
    nursery.cancel_scope.cancel()


async def test_preferred_node_names_an_owner_it_just_read(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against requests that wait for the next scan to learn a team's owner."""
    cluster = Cluster(nursery)
    peers = cluster.network.join("b")
    b = lease.Keeper("b-p", cluster.tables, peers, lambda: ITEMS, random.Random("b"))
    await b.renew()
    await b.read_sessions()
    cluster.network.cut.add("b")
    await cluster.start("a")
    await trio.sleep(20)
    await b.renew()
    await b.acquire()
    assert [b.owner_of(*item) for item in ITEMS] == ["a"] * len(ITEMS)
    nursery.cancel_scope.cancel()


async def test_owner_is_read_for_requests_that_wait(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against requests that wait for a scan, and against a read per request."""
    cluster = Cluster(nursery)
    peers = cluster.network.join("b")
    b = lease.Keeper("b-p", cluster.tables, peers, lambda: ITEMS, random.Random("b"))
    cluster.network.cut.add("b")
    await cluster.start("a")
    await trio.sleep(20)
    cluster.tables.reads = 0
    for _ in range(5):
        await b.read_owner(*ITEMS[0])
    assert b.owner_of(*ITEMS[0]) == "a"
    assert cluster.tables.reads == 1
    await trio.sleep(lease.MIN_REREAD_INTERVAL_S)
    await b.read_owner(*ITEMS[0])
    assert cluster.tables.reads == 2
    nursery.cancel_scope.cancel()


async def test_planned_stop_hands_everything_over(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a planned stop that leaves items and slots unowned for 30 s."""
    cluster = Cluster(nursery)
    await cluster.start("a", "b")
    await trio.sleep(20)
    await cluster.keepers["a"].stop()
    assert all("a" not in cluster.owners(item) for item in ITEMS)
    await trio.sleep(12)
    assert cluster.all_owned_by("b")
    assert all(cluster.keepers["b"].outage_holder(*item) for item in ITEMS)
    assert not any(cluster.keepers["a"].outage_holder(*item) for item in ITEMS)
    assert not any(
        "a" in key for name, key in cluster.tables.rows if name == "sessions"
    )
    nursery.cancel_scope.cancel()


async def test_outage_ends_leases_but_not_outage_slots(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against owning without a lease and against losing an outage slot."""
    cluster = Cluster(nursery)
    await cluster.start("a", "b")
    await trio.sleep(20)
    outage_holders = {
        i: n for i in ITEMS for n in "ab" if cluster.keepers[n].outage_holder(*i)
    }
    assert len(outage_holders) == len(ITEMS)
    cluster.tables.down = True
    await trio.sleep(120)
    assert all(cluster.owners(item) == [] for item in ITEMS)
    assert all(cluster.keepers[n].outage_holder(*i) for i, n in outage_holders.items())
    cluster.tables.down = False
    await trio.sleep(60)
    assert cluster.all_owned_by("a", "b")
    assert all(cluster.keepers[n].outage_holder(*i) for i, n in outage_holders.items())
    nursery.cancel_scope.cancel()


async def test_store_load_of_an_idle_node(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against an idle node that writes more than its session renewals."""
    cluster = Cluster(nursery)
    await cluster.start("a")
    await trio.sleep(30)
    cluster.tables.writes = cluster.tables.reads = cluster.tables.scans = 0
    await trio.sleep(300)
    assert 60 <= cluster.tables.writes <= 75
    assert cluster.tables.reads <= len(ITEMS) * 300 / 30 * 1.1
    assert cluster.tables.scans <= 2 * 300 / 5
    nursery.cancel_scope.cancel()


async def test_sessions_are_read_once_for_members_and_revocation(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against reading sessions twice and against revoking too early or late."""
    cluster = Cluster(nursery)
    await cluster.start("b")
    tables = cluster.tables
    settings = peer.Settings("a", "a-p", "127.0.0.1", 1, b"key")
    revision_keeper = revision.Keeper(tables, peer.Peers(settings))
    keeper = lease.Keeper(
        "a-p",
        tables,
        cluster.network.join("a"),
        lambda: ITEMS,
        random.Random("a"),
        reads_sessions=False,
    )
    revision_keeper.on_sessions = keeper.apply_sessions
    await nursery.start(revision_keeper.run)
    await nursery.start(keeper.run)
    await trio.sleep(60)
    assert keeper.members() == {"a", "b"} == set(revision_keeper._members.rows)
    cluster.kill("b")
    tables.scans = 0
    await trio.sleep(25)
    assert keeper.members() == {"a", "b"}
    # Sessions and owners are each scanned every 5 s.
    assert tables.scans <= 2 * 25 / 5 + 1
    await trio.sleep(20)
    assert keeper.members() == {"a"}
    assert not any("b" in key for name, key in tables.rows if name == "sessions")
    nursery.cancel_scope.cancel()

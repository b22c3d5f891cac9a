"""Tests of nodes that follow tables of a store that is restored from copies."""

import contextlib
import itertools

import pytest
from hypothesis import settings, stateful
from hypothesis import strategies as st

from snipelug_core import cursor, restore
from snipelug_relay import clock, messages, ports
from tests import restored_store

Position = cursor.Position
APPLY, READ, DROP = cursor.Decision.APPLY, cursor.Decision.READ, cursor.Decision.DROP


@pytest.mark.parametrize(
    ("known", "since", "read", "newest", "expected"),
    [
        (Position(1, 5), Position(1, 5), Position(1, 5), 1, APPLY),
        (Position(1, 5), Position(1, 5), Position(1, 9), 1, APPLY),
        # An announcement was applied while the call was under way.
        (Position(1, 7), Position(1, 5), Position(1, 9), 1, APPLY),
        (Position(1, 7), Position(1, 5), Position(1, 6), 1, DROP),
        # The store was restored: the version can be lower, equal or higher.
        (Position(1, 5), Position(1, 5), Position(2, 3), 2, READ),
        (Position(1, 5), Position(1, 5), Position(2, 5), 2, READ),
        (Position(1, 5), Position(1, 5), Position(2, 9), 1, READ),
        (None, Position(1, 5), Position(2, 9), 2, READ),
        (None, Position(1, 5), Position(1, 9), 1, READ),
        # Late responses of the epoch before.
        (Position(1, 5), Position(1, 5), Position(1, 9), 2, DROP),
        (Position(2, 2), Position(1, 5), Position(1, 9), 2, DROP),
        (None, Position(1, 5), Position(1, 9), 2, DROP),
        # A store without epochs.
        (Position(0, 5), Position(0, 5), Position(0, 9), 0, APPLY),
        (Position(0, 5), Position(0, 5), Position(0, 3), 0, READ),
    ],
)
def test_changes_apply_only_within_one_epoch(
    known: Position | None,
    since: Position,
    read: Position,
    newest: int,
    expected: cursor.Decision,
) -> None:
    """Guards against changes that are skipped or undone after a restore."""
    assert cursor.judge_changes(known, since, read, newest) is expected


@pytest.mark.parametrize(
    ("known", "since", "read", "is_complete", "newest", "expected"),
    [
        (Position(1, 5), 5, Position(1, 9), True, 1, APPLY),
        (Position(1, 5), 3, Position(1, 5), True, 1, APPLY),
        (Position(1, 5), 5, Position(1, 9), False, 1, READ),
        (Position(1, 5), 6, Position(1, 9), True, 1, READ),
        (Position(1, 5), 3, Position(1, 4), True, 1, DROP),
        (None, 5, Position(1, 9), True, 1, DROP),
        # Of a newer epoch than any response to this node, and of an earlier one.
        (Position(1, 5), 3, Position(2, 3), True, 1, READ),
        (Position(1, 5), 5, Position(2, 9), True, 2, READ),
        (Position(1, 5), 5, Position(1, 9), True, 2, DROP),
        (Position(2, 5), 5, Position(1, 9), True, 2, DROP),
        (Position(1, 5), 5, Position(0, 9), True, 1, DROP),
    ],
)
def test_announcements_apply_only_within_one_epoch(
    known: Position | None,
    since: int,
    read: Position,
    is_complete: bool,
    newest: int,
    expected: cursor.Decision,
) -> None:
    """Guards against announcements of before a restore that are taken for new ones."""
    found = cursor.judge_announcement(known, since, read, is_complete, newest)
    assert found is expected


@pytest.mark.parametrize(("epoch", "expected"), [(1, DROP), (2, APPLY), (3, APPLY)])
def test_whole_table_of_an_earlier_epoch_is_not_applied(
    epoch: int, expected: cursor.Decision
) -> None:
    """Guards against a late response that undoes what was read after a restore."""
    assert cursor.judge_whole(Position(epoch, 5), 2) is expected


NODE = st.integers(0, 3)
TABLE = st.sampled_from(restored_store.TABLES)
ZONES = ("a", "z")
UPSTREAM_IDS = ("b", "n", "o")
CHANGE = st.tuples(
    st.sampled_from(["zone", "configure", "w", "l", "d", "s", "x"]), st.integers(0, 2)
)
"""A change of the operator or of a process, and the number of what it concerns."""


class Readers(stateful.RuleBasedStateMachine):
    """State machine: four nodes, two of which read a store for the others.

    Responses are late, held across restores or lost, and read in two pages; messages
    are late, lost and repeated; nodes restart. At the end messages stop, and each node
    must have the state of the tables, besides what must never go back.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self._patch = contextlib.ExitStack()
        monkeypatch = self._patch.enter_context(pytest.MonkeyPatch.context())
        monkeypatch.setattr(clock, "now", lambda: self.now)
        self.store = restored_store.Store()
        self.copies: list[restored_store.Copy] = []
        self.processes = [restored_store.Process(name) for name in UPSTREAM_IDS]
        self.zones_out: set[str] = set()
        self.configured = (1, 0)
        self.contents = itertools.count(1)
        self.nodes = [self.new_node(number) for number in range(4)]
        self.messages: list[messages.Message] = []
        self.write_all()

    def new_node(self, number: int) -> restored_store.Node:
        return restored_store.Node(f"n{number}", is_reader=number < 2)

    def write_process(self, process: restored_store.Process) -> None:
        if process.is_alive:
            self.store.write(restored_store.LIST, process.id, process.entry())
        else:
            self.store.delete(restored_store.LIST, process.id)

    def write_intents(self) -> None:
        config = restored_store.configuration(*self.configured)
        self.store.write(restored_store.INTENTS, "config", config)
        for zone in ZONES:
            if zone in self.zones_out:
                self.store.write(restored_store.INTENTS, zone, ports.Evacuation(zone))
            else:
                self.store.delete(restored_store.INTENTS, zone)

    def write_all(self) -> None:
        self.write_intents()
        for process in self.processes:
            self.write_process(process)

    @stateful.rule(number=st.integers(0, 2), what=st.sampled_from("wwldslx"))
    def change_process(self, number: int, what: str) -> None:
        """Write a row, load weights, leave, lapse, or end and start again."""
        process = self.processes[number]
        match what:
            case "l" if process.is_alive:
                process.weights += 1
            case "d" if process.is_alive:
                process.is_leaving = True
            case "s" if process.is_alive:
                process.is_alive = False
            case "s":
                born = process.born + 1
                self.processes[number] = restored_store.Process(process.id, born)
            case "x":
                self.store.delete(restored_store.LIST, process.id)
                return
        self.write_process(self.processes[number])

    @stateful.rule(number=st.integers(0, 2), node=NODE)
    def lapse(self, number: int, node: int) -> None:
        """Let one node read the list while an entry is away for a moment."""
        for each in {0, node}:
            self.poll(each, restored_store.LIST, is_paged=False)
        self.store.delete(restored_store.LIST, UPSTREAM_IDS[number])
        self.poll(node, restored_store.LIST, is_paged=False)
        self.write_process(self.processes[number])
        self.poll(0, restored_store.LIST, is_paged=False)

    @stateful.rule(zone=st.sampled_from(ZONES))
    def change_zone(self, zone: str) -> None:
        self.zones_out ^= {zone}
        self.write_intents()

    @stateful.rule()
    def configure(self) -> None:
        """Write a new version, or give a version that was lost another content."""
        row = self.store.rows.get((restored_store.INTENTS, "config"))
        version, _ = self.configured
        is_lost = row is None or getattr(row, "version", 0) < version
        self.configured = (version if is_lost else version + 1, next(self.contents))
        self.write_intents()

    @stateful.rule()
    def write_again(self) -> None:
        self.write_all()

    @stateful.rule()
    def copy(self) -> None:
        self.copies.append(self.store.copy())

    @stateful.precondition(lambda self: self.copies)
    @stateful.rule(data=st.data(), is_written=st.booleans())
    def restore(self, data: st.DataObject, is_written: bool) -> None:
        """Go back to a copy of this epoch; possibly write past the last version."""
        copy = data.draw(st.sampled_from(self.copies))
        version = self.store.version
        self.store.restore(copy)
        self.copies.clear()
        if is_written:
            self.write_all()
            while self.store.version <= version:
                self.store.write(
                    "other", "note", ports.Removed(str(self.store.version))
                )

    @stateful.rule(
        changes=st.lists(CHANGE, min_size=1, max_size=3),
        readers=st.sets(NODE),
        held=st.sets(st.tuples(NODE, TABLE)),
        later_changes=st.lists(CHANGE, max_size=2),
        is_written=st.booleans(),
        later_readers=st.sets(NODE),
        late=st.sets(NODE),
    )
    def lose_changes(
        self,
        changes: list[tuple[str, int]],
        readers: set[int],
        held: set[tuple[int, str]],
        later_changes: list[tuple[str, int]],
        is_written: bool,
        later_readers: set[int],
        late: set[int],
    ) -> None:
        """Lose changes that some nodes have read, while other nodes are reading.

        Responses and announcements of before arrive after the restore.
        """
        self.copy()
        copy = self.copies[-1]
        for change in changes:
            self.make(*change)
        for number, table in itertools.product(readers, restored_store.TABLES):
            self.poll(number, table, is_paged=False)
        for number, table in sorted(held):
            self.send(number, table, is_paged=False)
            self.answer(number, table)
        version, messages_before = self.store.version, list(self.messages)
        self.store.restore(copy)
        self.copies.clear()
        for change in later_changes:
            self.make(*change)
        while is_written and self.store.version <= version:
            self.store.write("other", "note", ports.Removed(str(self.store.version)))
        for number, table in itertools.product(later_readers, restored_store.TABLES):
            self.poll(number, table, is_paged=False)
        for number, table in sorted(held):
            self.receive(number, table, is_lost=False)
        for number, message in itertools.product(late, messages_before):
            self.nodes[number].handle(message)

    def make(self, what: str, number: int) -> None:
        match what:
            case "zone":
                self.change_zone(ZONES[number % len(ZONES)])
            case "configure":
                self.configure()
            case _:
                self.change_process(number, what)

    @stateful.rule()
    def forget_history(self) -> None:
        self.store.forget()

    @stateful.rule(number=NODE, table=TABLE, is_paged=st.booleans())
    def send(self, number: int, table: str, is_paged: bool) -> None:
        node = self.nodes[number]
        if table not in node.calls:
            node.send(table, is_paged)

    @stateful.rule(number=NODE, table=TABLE)
    def answer(self, number: int, table: str) -> None:
        call = self.nodes[number].calls.get(table)
        if call is not None and not call.is_answered:
            call.answer(table, self.store)

    @stateful.rule(
        number=NODE, table=TABLE, is_lost=st.sampled_from([False] * 4 + [True])
    )
    def receive(self, number: int, table: str, is_lost: bool) -> None:
        node = self.nodes[number]
        call = node.calls.get(table)
        if call is None or not call.is_answered:
            return
        if is_lost:
            del node.calls[table]
        else:
            node.receive(table)
            self.collect(node)

    @stateful.rule(number=NODE, table=TABLE, is_paged=st.booleans())
    def poll(self, number: int, table: str, is_paged: bool) -> None:
        """Read a table at once, and whole if its changes cannot be read."""
        node = self.nodes[number]
        if table in node.calls:
            return
        for _ in range(2):
            node.send(table, is_paged)
            while not node.calls[table].is_answered:
                node.calls[table].answer(table, self.store)
            node.receive(table)
            self.collect(node)
            node.check()
            if node.cursors[table].position is not None:
                return

    def collect(self, node: restored_store.Node) -> None:
        self.messages += node.sender.sent
        node.sender.sent.clear()

    @stateful.precondition(lambda self: self.messages)
    @stateful.rule(number=NODE, data=st.data())
    def deliver(self, number: int, data: st.DataObject) -> None:
        """Deliver a message, late or repeated; the others may never arrive."""
        self.nodes[number].handle(data.draw(st.sampled_from(self.messages)))

    @stateful.precondition(lambda self: self.messages)
    @stateful.rule(number=NODE)
    def deliver_newest(self, number: int) -> None:
        self.nodes[number].handle(self.messages[-1])

    @stateful.rule(number=NODE)
    def restart(self, number: int) -> None:
        self.nodes[number] = self.new_node(number)

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 2.5, 5.5]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        for node in self.nodes:
            node.watch.expire()

    @stateful.invariant()
    def nothing_goes_back(self) -> None:
        for node in self.nodes:
            node.check()

    @stateful.invariant()
    def positions_are_of_the_newest_epoch(self) -> None:
        for node in self.nodes:
            for progress in node.cursors.values():
                if progress.position is not None:
                    assert progress.epoch == node.state.store_epoch, "another epoch"

    def teardown(self) -> None:
        with self._patch:
            self.settle()

    def settle(self) -> None:
        """Stop changes and faults; nodes read and follow the readers for a time."""
        for node in self.nodes:
            node.calls.clear()
        self.write_all()
        for _ in range(8):
            for node, table in itertools.product(self.nodes, restored_store.TABLES):
                if node.must_read(table):
                    self.poll(self.nodes.index(node), table, is_paged=False)
            for message, node in itertools.product(self.messages, self.nodes):
                node.handle(message)
            self.messages.clear()
            self.wait(restore.RESTORE_GRACE_S / 4)
        for node in self.nodes:
            node.check()
            self.check_settled(node)

    def check_settled(self, node: restored_store.Node) -> None:
        alive = [process for process in self.processes if process.is_alive]
        found = node.state.fleet.upstreams
        assert {u.entry.id: u.entry for u in found.values()} == {
            process.id: process.entry() for process in alive
        }
        for process in alive:
            is_leaving = (
                process.is_leaving or (process.id, process.born) in node.leaving
            )
            assert found[process.id].is_leaving == is_leaving
            assert found[process.id].versions == {"m": process.weights}
        assert node.state.zones_out == self.zones_out
        expected = restored_store.configuration(*self.configured)
        known = node.state.catalog
        assert known is not None
        assert known.version == expected.version
        assert known.has_same_content(expected)


@pytest.mark.parametrize("node", range(4))
@pytest.mark.parametrize("number", range(3))
def test_entry_that_returned_between_reads_of_a_reader_is_used(
    node: int, number: int
) -> None:
    """Guards against a node that misses an upstream until its entry changes."""
    readers = Readers()
    readers.lapse(number, node)
    readers.deliver_newest(node)
    readers.teardown()


def test_lists_that_differ_for_good_are_read_less_and_less_often() -> None:
    """Guards against nodes that read all the time as programs decode differently."""
    readers = Readers()
    with readers._patch:
        for each in (0, 3):
            readers.poll(each, restored_store.LIST, is_paged=False)
        follower = readers.nodes[3]
        whole_reads = 0
        for _ in range(240):
            readers.now += 0.5
            readers.messages.clear()
            readers.poll(0, restored_store.LIST, is_paged=False)
            for message in readers.messages:
                assert isinstance(message, messages.ListRead)
                message.digest = (message.digest or 0) ^ 1
                follower.handle(message)
            if follower.cursors[restored_store.LIST].position is None:
                whole_reads += 1
                readers.poll(3, restored_store.LIST, is_paged=False)
        assert 1 <= whole_reads <= 7


TestReaders = Readers.TestCase
TestReaders.settings = settings(max_examples=150, stateful_step_count=60, deadline=None)

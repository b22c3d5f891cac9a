"""Model of a store that is restored from copies, and of nodes that follow it."""

import dataclasses

from snipelug_core import catalog, fleet
from snipelug_relay import clock, messages, ports, state, stats, watch

LIST = "list"
INTENTS = "intents"
TABLES = (LIST, INTENTS)

Item = ports.Listing | ports.Intent
Rows = dict[tuple[str, str], Item]

ADDR = ("127.0.0.1", 1)
LATENESS_S = 1.3
"""Time after which a node that is not a reader reads for itself."""


@dataclasses.dataclass(frozen=True)
class Copy:
    """Rows and version of the store at one moment."""

    rows: Rows
    version: int


class Store:
    """Rows by table and key; versions are given out again after a restore."""

    def __init__(self) -> None:
        self.epoch = 1
        self.version = 0
        self.rows: Rows = {}
        self._oldest = 0
        self._history: list[tuple[int, str, Item]] = []

    def write(self, table: str, key: str, item: Item) -> None:
        """Write a row if its content differs."""
        if self.rows.get((table, key)) != item:
            self.version += 1
            self.rows[(table, key)] = item
            self._history.append((self.version, table, item))

    def delete(self, table: str, key: str) -> None:
        """Delete a row if it exists."""
        item = self.rows.pop((table, key), None)
        if item is not None:
            self.version += 1
            gone = item if isinstance(item, ports.Evacuation) else key
            self._history.append((self.version, table, ports.Removed(gone)))

    def copy(self) -> Copy:
        """Return a copy to which the store can be restored."""
        return Copy(dict(self.rows), self.version)

    def restore(self, copy: Copy) -> None:
        """Go back to a copy."""
        self.epoch += 1
        self.rows, self.version = dict(copy.rows), copy.version
        self.forget()

    def forget(self) -> None:
        """Discard the history, so that earlier positions are unknown."""
        self._oldest = self.version
        self._history.clear()

    def read(self, table: str) -> ports.Page[Item]:
        """Read a whole table, with keys in order."""
        items = [item for (name, _), item in sorted(self.rows.items()) if name == table]
        return self._page(items)

    def changes(self, table: str, since: int) -> ports.Page[Item] | ports.HistoryLost:
        """Read the changes of a table after a position."""
        if not self._oldest <= since <= self.version:
            return ports.HistoryLost()
        found = [i for ver, name, i in self._history if name == table and ver > since]
        return self._page(found)

    def _page(self, items: list[Item]) -> ports.Page[Item]:
        return ports.Page(items, self.version, 1e3 * clock.now(), self.epoch)


@dataclasses.dataclass
class Call:
    """A read of a node that is under way.

    Attributes
    ----------
    pages : list of ports.Page or ports.HistoryLost
        Responses of the store so far.
    is_paged : bool
        Whether the table is read in two pages, at two times.
    """

    since: watch.cursor.Position | None
    sent_at: float
    is_paged: bool
    pages: list[ports.Page[Item] | ports.HistoryLost] = dataclasses.field(
        default_factory=list
    )

    @property
    def is_answered(self) -> bool:
        """Whether the whole response has been made."""
        is_paged = self.is_paged and self.since is None
        return len(self.pages) == (2 if is_paged else 1)

    def answer(self, table: str, store: Store) -> None:
        """Make the response, or its next page."""
        if self.since is not None:
            self.pages.append(store.changes(table, self.since.version))
            return
        page = store.read(table)
        if self.is_paged:
            # Keys are split at "m".
            is_second = bool(self.pages)
            items = [
                item
                for (name, key), item in sorted(store.rows.items())
                if name == table and (key >= "m") is is_second
            ]
            page = dataclasses.replace(page, items=items)
        self.pages.append(page)

    def result(self) -> ports.Page[Item] | ports.HistoryLost | ports.Unavailable:
        """Return the response as the adapter does."""
        first, last = self.pages[0], self.pages[-1]
        if isinstance(first, ports.HistoryLost) or isinstance(last, ports.HistoryLost):
            return ports.HistoryLost()
        if first.epoch != last.epoch or last.position < first.position:
            return ports.Unavailable("restored")
        if first is last:
            return first
        return dataclasses.replace(first, items=[*first.items, *last.items])


class Sender:
    """Collects the announcements of a node."""

    def __init__(self) -> None:
        self.sent: list[messages.Message] = []

    def set_handler(self, kind: type, handler: object) -> None:
        pass

    def send_to_zone(self, message: messages.Message) -> bool:
        self.sent.append(message)
        return True


class Node:
    """A node that reads the tables, and follows the announcements of readers.

    Attributes
    ----------
    calls : dict of str to Call
        Its reads that are under way, by table.
    leaving : set of (str, int)
        Processes that it has known as leaving.
    """

    def __init__(self, name: str, is_reader: bool) -> None:
        cfg = ports.Settings(name, "a", ADDR, ADDR, ADDR)
        self.name = name
        self.state = state.State(cfg)
        self.state.is_reader = is_reader
        self.sender = Sender()
        self.watch = watch.Watch(
            cfg,
            self.state,
            None,  # type: ignore[arg-type]
            stats.Stats(),
            lambda: None,
            self.sender,  # type: ignore[arg-type]
        )
        self.cursors = {
            LIST: self.watch._list_cursor,
            INTENTS: self.watch._intents_cursor,
        }
        self.calls: dict[str, Call] = {}
        self.leaving: set[tuple[str, int]] = set()
        self.versions: dict[tuple[str, int], int] = {}
        self.configuration = 0

    def send(self, table: str, is_paged: bool) -> None:
        """Start to read a table."""
        cursor = self.cursors[table]
        cursor.read_requested = type(cursor.read_requested)()
        self.calls[table] = Call(cursor.known, clock.now(), is_paged)

    def receive(self, table: str) -> None:
        """Apply the response to a read."""
        call = self.calls.pop(table)
        page = call.result()
        cursor = self.cursors[table]
        if isinstance(page, ports.HistoryLost):
            cursor.position = None
        elif isinstance(page, ports.Unavailable):
            return
        elif table == LIST:
            self.state.record_response(page, call.sent_at, clock.now())
            self.watch._apply_listings(page, call.since, call.sent_at)  # type: ignore[arg-type]
        else:
            self.watch._apply_intents(page, call.since, call.sent_at)  # type: ignore[arg-type]

    def handle(self, message: messages.Message) -> None:
        """Handle an announcement of another node."""
        if isinstance(message, messages.ListRead):
            self.watch._on_list_read(message)
        elif isinstance(message, messages.IntentsRead):
            self.watch._on_intents_read(message)

    def must_read(self, table: str) -> bool:
        """Return whether the node reads a table for itself now."""
        cursor = self.cursors[table]
        return (
            self.state.is_reader
            or cursor.position is None
            or cursor.read_requested.is_set()
            or clock.now() - cursor.current_at > LATENESS_S
        )

    def check(self) -> None:
        """Check that nothing that must not go back has gone back."""
        for upstream in self.state.fleet.upstreams.values():
            process = upstream.entry.id, upstream.entry.born
            version = upstream.versions.get("m", 0)
            assert version >= self.versions.get(process, 0), "older weights"
            self.versions[process] = version
            if upstream.is_leaving:
                self.leaving.add(process)
            assert upstream.is_leaving or process not in self.leaving, "ready again"
        known = self.state.catalog
        if known is not None:
            assert known.version >= self.configuration, "older configuration"
            self.configuration = known.version


@dataclasses.dataclass
class Process:
    """An upstream's process; its state outlasts a restore of the store."""

    id: str
    born: int = 1
    weights: int = 1
    is_leaving: bool = False
    is_alive: bool = True

    def entry(self) -> fleet.Entry:
        """Return the row that it writes."""
        return fleet.Entry(
            self.id,
            "s",
            "10.0.0.1",
            80,
            "a",
            is_leaving=self.is_leaving,
            born=self.born,
            versions={"m": self.weights},
        )


def configuration(version: int, content: int) -> catalog.Catalog:
    """Build a configuration; equal versions can have other content."""
    return catalog.Catalog(version, (), (catalog.Service(f"s{content}"),))

"""Which node may have a prompt part saved to a KV cache store.

A node plans a save, and an engine makes it up to a request's timeout later, at a store
that may have restarted meanwhile. Other nodes still expect what the store held before,
so a part that they know to be complete would be read while it is written again. No
node can rule that out by itself: a store neither tells who plans to save a part nor
accepts saves for one epoch only.

Each store therefore has a coordinator, the node that ranks first for its address. It
grants a save of a part only if none of its earlier saves can have been made since the
store last restarted, and none can still be made. What other nodes know to be complete
is then never written a second time.

Two nodes never grant for the same store, though they read the member table at different
times: a node grants only while its last read is recent, and only after it has ranked
first for so long that the grants of any other node have ended, or after the node that
granted before has handed its term over. Lost messages and late nodes cost saves, which
are made with a later prompt.
"""

import collections.abc
import dataclasses
import enum
import math
import random

import msgspec

from snipelug_core import hashing, kv_index, ranges

MAX_VIEW_AGE_S = 30.0
"""Age of the last read of the members at which a node grants nothing.

Nodes read the members every 12 s. The rest bridges an outage of the platform's store.
"""

GRANT_VALID_S = 2.0
"""Time for which a grant may be used, from before it was requested."""

SAVE_MARGIN_S = GRANT_VALID_S + 3.0
"""Time after a request's deadline at which an engine makes no save for it any more.

It covers the time until the request is sent and one for which the engine is silent.
"""

START_SPREAD_S = 3.0
"""Maximum difference between the starts of nodes that have started together."""

JOINED_S = 2.5
"""Time after its start within which a node that grants early has ranked first."""

FIRST_GRANT_S = 8.0
"""Time after its start at which a node may grant if all nodes have started together.

By then each of them has read the rows of all others, and none has granted before.
"""

DEAD_SAVE_MARGIN_S = 3.0
"""The same margin for requests of a process that has ended."""

HANDOVER_VALID_S = 2.0
"""Time after which the answer to a request for a term is ignored."""

HANDOVER_TRIES = 30
"""Number of times that a node requests a term, at intervals of ``follow``.

The node that holds it knows a new one within 12 s.
"""

CEDED_S = 10.0
"""Time for which a term that has ended may be handed over, and is sent again."""

HINT_S = 15.0
"""Time for which a node that has taken over is preferred to the one by rank."""

MAX_HANDOVER_BYTES = 7_000
"""Size of the open saves of a term that may be handed over, for a datagram."""

HANDED_SAVE_BYTES = 20
"""Size of an open save besides the texts of its key, at most."""

RELIST_INTERVAL_S = 20.0
"""Minimum time between lists that show which saves have failed; a list is costly."""

MAX_OUTSTANDING = 20_000
"""Maximum number of saves of one store whose result is open, about 5 MB."""

NUMBER_BITS = 40
"""Numbers of terms and claims are random, as messages outlast a process."""

MAX_PARTS = 100
"""Maximum number of parts of a claim, so that it fits into a datagram."""


class Verdict(enum.IntEnum):
    """Decision on the save of one part.

    Attributes
    ----------
    BUSY
        The part is in the store, or a save of it may be under way.
    FAILED
        An earlier save has ended, and the store has not reported the part. Another
        store may take it.
    """

    GRANTED = 0
    BUSY = 1
    FAILED = 2


class Claim(msgspec.Struct, array_like=True, frozen=True, tag=30):
    """A request for grants to save parts of one prompt to a store.

    Attributes
    ----------
    number : int
        Number of the claim at the sender; repeated in the answer.
    store : str
        Address of the store.
    epoch : int
        Epoch of the store as the sender knows it.
    lasts_s : float
        Time after which the sender's request ends, in seconds.
    """

    number: ranges.Number
    store: ranges.Name
    epoch: ranges.Number
    salt: ranges.Name
    parts: list[ranges.Name]
    lasts_s: ranges.DurationS


class Granted(msgspec.Struct, array_like=True, frozen=True, tag=31):
    """The answer to a claim.

    Attributes
    ----------
    verdicts : list of Verdict
        Decision on each part; empty if the sender grants nothing for the store.
    """

    number: ranges.Number
    verdicts: list[Verdict]


class Release(msgspec.Struct, array_like=True, frozen=True, tag=32):
    """Returns the grants of a claim whose request no engine has run."""

    number: ranges.Number
    store: ranges.Name


class TermRequest(msgspec.Struct, array_like=True, frozen=True, tag=33):
    """Requests the term of a store from the node that may have granted until now.

    Attributes
    ----------
    number : int
        Number of the sender's own term; repeated in the answer.
    """

    number: ranges.Number
    store: ranges.Name


class Handover(msgspec.Struct, array_like=True, frozen=True, tag=34):
    """The sender grants no saves to a store any more; the receiver may.

    Attributes
    ----------
    saves : list of (str, str, float)
        Salt and id of each part whose save is open, and the time until it has ended, in
        seconds.
    """

    number: ranges.Number
    store: ranges.Name
    saves: list[tuple[ranges.Name, ranges.Name, ranges.DurationS]]


class Coordinating(msgspec.Struct, array_like=True, frozen=True, tag=36):
    """The sender grants saves to a store, as members read later will show."""

    store: ranges.Name


class Left(msgspec.Struct, array_like=True, frozen=True, tag=35):
    """A node is stopping and ranks for no store any more.

    Attributes
    ----------
    started_ms : float or None
        Its start on the clock of the platform's store, as in its member row.
    """

    node_id: ranges.Name
    started_ms: ranges.ClockMs | None


Message = Claim | Granted | Release | TermRequest | Handover | Coordinating | Left

Outgoing = tuple[str, Message]
"""Id of the node to which a message is sent, and the message."""


@dataclasses.dataclass(frozen=True)
class View:
    """The members as this node read them last.

    Attributes
    ----------
    started_ms : mapping of str to (float or None)
        Start of each node on the clock of the platform's store; None if not known.
    read_at : float
        Time at which the read was sent, in seconds.
    """

    started_ms: collections.abc.Mapping[str, float | None]
    read_at: float


@dataclasses.dataclass
class Save:
    """A granted save whose result is open.

    Attributes
    ----------
    holder, number : str, int
        Node and number of its claim.
    ends_at : float
        Time after which no engine makes it any more, in seconds.
    """

    holder: str
    number: int
    ends_at: float


@dataclasses.dataclass
class Term:
    """The time for which this node has ranked first for a store.

    Attributes
    ----------
    since : float
        Start of the term, in seconds.
    is_settled : bool
        Whether no save granted by another node can be under way any more.
    listed_at : float
        Time at which the last list of the store was requested since, in seconds.
    saves : dict of PartKey to Save
        Granted saves after which the store has not reported the part.
    wants_list : bool
        Whether parts were claimed whose earlier saves have ended without a report.
    number : int
        Number of the requests for the term.
    tries : int
        Number of times that it was requested.
    requested_at : float
        When it was requested last, in seconds.
    """

    since: float
    number: int
    is_settled: bool = False
    listed_at: float = -math.inf
    saves: dict[kv_index.PartKey, Save] = dataclasses.field(default_factory=dict)
    wants_list: bool = False
    tries: int = 0
    requested_at: float = -math.inf


@dataclasses.dataclass(frozen=True)
class Ceded:
    """A term that was handed over."""

    to: str
    message: Handover
    at: float


class Coordinator:
    """Grants saves for the stores for which this node ranks first.

    Parameters
    ----------
    is_first_start : bool
        Whether no node of the deployment has run before.
    """

    def __init__(self, node_id: str, is_first_start: bool, rng: random.Random) -> None:
        self._node_id = node_id
        self._rng = rng
        self._is_leaving = False
        self._left: dict[str, float | None] = {}
        self._hints: dict[str, tuple[str, float]] = {}
        self._ceded: dict[str, Ceded] = {}
        self._ended: dict[str, tuple[Term, float]] = {}
        self._is_first_start = is_first_start
        self._started_at = math.inf
        self._view = View({}, -math.inf)
        self._changed_at = -math.inf
        self._longest_s = 0.0
        self._present: set[str] = set()
        self._ranked: dict[str, str | None] = {}
        self._terms: dict[str, Term] = {}

    def set_members(self, view: View, now: float) -> None:
        """Use a newer view of the members."""
        if math.isinf(self._started_at):
            self._started_at = now
        is_gap = view.read_at - self._view.read_at > MAX_VIEW_AGE_S
        if is_gap or view.started_ms.keys() != self._view.started_ms.keys():
            self._changed_at = now
        self._left = {k: at for k, at in self._left.items() if k in view.started_ms}
        self._view = view
        self._update_present()
        for store in list(self._terms):
            if is_gap:
                del self._terms[store]
            elif self.coordinator_of(store) != self._node_id:
                self._ended[store] = self._terms.pop(store), now

    def record_coordinating(self, sender: str, store: str, now: float) -> None:
        """Record that a node has taken over, before its row is seen."""
        self._hints[store] = sender, now

    def asked_node(self, store: str, now: float) -> str | None:
        """Return the node to which this one sends its claims for a store, if any."""
        sender, at = self._hints.get(store, ("", -math.inf))
        if now - at < HINT_S and sender not in self._left:
            return sender
        return self.coordinator_of(store)

    def drop_hint(self, store: str) -> None:
        """Forget which node has taken over, as it does not grant."""
        self._hints.pop(store, None)

    def coordinator_of(self, store: str) -> str | None:
        """Return the node that ranks first for the store at an address, if any."""
        if store not in self._ranked:
            ranked = self._rank(store)
            self._ranked[store] = ranked[0] if ranked else None
        return self._ranked[store]

    def _rank(self, store: str) -> list[str]:
        return hashing.rank(store, self._present)

    def _update_present(self) -> None:
        """Find the members that have not left; ranks are kept if they are the same."""
        present = {
            node_id
            for node_id, started_ms in self._view.started_ms.items()
            if self._left.get(node_id, math.nan) != started_ms
        }
        if present != self._present:
            self._present = present
            self._ranked.clear()

    def follow(
        self, stores: collections.abc.Collection[str], longest_s: float, now: float
    ) -> None:
        """Begin and end the terms for the configured stores; call this regularly.

        Parameters
        ----------
        longest_s : float
            Longest time for which a request may run, in seconds.
        """
        self._longest_s = max(self._longest_s, longest_s)
        self._ended = {
            store: (term, at)
            for store, (term, at) in self._ended.items()
            if now - at < CEDED_S
        }
        for store in [s for s in self._terms if s not in stores]:
            # Its grants are not remembered, so a later term must wait for their end.
            del self._terms[store]
            self._changed_at = now
        if not self._is_current(now):
            return
        for store in stores:
            if self.coordinator_of(store) != self._node_id or self._is_leaving:
                continue
            if store not in self._terms:
                since = self._changed_at
                if store in self._ceded:
                    since = max(since, self._ceded[store].at)
                number = self._rng.getrandbits(NUMBER_BITS)
                self._terms[store] = Term(since, number)
            term = self._terms[store]
            term.is_settled = term.is_settled or self._may_settle(term, now)

    def term_requests(self, now: float) -> collections.abc.Iterator[Outgoing]:
        """Yield the requests for terms that other nodes may hold, once an interval."""
        for store, term in self._terms.items():
            if term.is_settled or term.tries >= HANDOVER_TRIES:
                continue
            term.tries += 1
            term.requested_at = now
            for node_id in self._predecessors(store):
                yield node_id, TermRequest(term.number, store)

    def _predecessors(self, store: str) -> list[str]:
        """Return the nodes that may have granted before this one ranked first."""
        return [*self._rank(store)[1:2], *self._left]

    def cede(
        self,
        sender: str,
        message: TermRequest,
        state: kv_index.StoreState | None,
        now: float,
    ) -> Handover | None:
        """Hand the term of a store over to a node, if this node grants saves to it.

        Saves that have ended are left out, as the receiver reads the list of the store.

        Parameters
        ----------
        state : kv_index.StoreState or None
            What this node knows of the store; None if it is not configured.
        """
        known = self._ceded.get(message.store)
        if known is not None and known.message.number == message.number:
            # The first answer was lost.
            return known.message if now - known.at < CEDED_S else None
        term = self._cedable_term(sender, message.store, now)
        if term is None:
            return None
        if state is not None:
            _drop_reported(term, state)
        saves = [
            (salt, part, save.ends_at - now)
            for (salt, part), save in term.saves.items()
            if save.ends_at > now
        ]
        sizes = (HANDED_SAVE_BYTES + len(f"{s}{p}".encode()) for s, p, _ in saves)
        if sum(sizes) > MAX_HANDOVER_BYTES:
            return None
        self._terms.pop(message.store, None)
        self._ended.pop(message.store, None)
        handover = Handover(message.number, message.store, saves)
        self._ceded[message.store] = Ceded(sender, handover, now)
        return handover

    def _cedable_term(self, sender: str, store: str, now: float) -> Term | None:
        """Return a term that this node may hand over to another one, if any."""
        ranked = self._rank(store)
        ranks_later = (
            self._node_id in ranked
            and sender in ranked
            and ranked.index(sender) > ranked.index(self._node_id)
        )
        if sender == self._node_id or (ranks_later and not self._is_leaving):
            return None
        term = self._term_in_force(store, now)
        if term is None and store in self._ended:
            ended, ended_at = self._ended[store]
            term = ended if ended.is_settled and now - ended_at < CEDED_S else None
        return None if term is None or math.isinf(term.listed_at) else term

    def accept(self, message: Handover, now: float) -> bool:
        """Take over the term of a store; its list is read before the first grant.

        Returns
        -------
        bool
            Whether the message was the expected one.
        """
        term = self._terms.get(message.store)
        if (
            term is None
            or term.is_settled
            or term.number != message.number
            or now - term.requested_at > HANDOVER_VALID_S
        ):
            return False
        term.is_settled = True
        for salt, part, ends_s in message.saves:
            term.saves[(salt, part)] = Save("", 0, now + ends_s)
        return True

    def leave(self) -> Left:
        """Grant nothing any more; return what the other nodes are told."""
        self._is_leaving = True
        return Left(self._node_id, self._view.started_ms.get(self._node_id))

    def record_left(self, message: Left, now: float) -> None:
        """Record that a node is stopping, before its row is seen to be gone."""
        if message.node_id == self._node_id:
            return
        if self._view.started_ms.get(message.node_id) != message.started_ms:
            return
        if message.node_id in self._view.started_ms:
            self._left[message.node_id] = message.started_ms
            self._update_present()
            self._changed_at = now

    def _is_current(self, now: float) -> bool:
        return now - self._view.read_at < MAX_VIEW_AGE_S

    def _may_settle(self, term: Term, now: float) -> bool:
        if now - term.since >= MAX_VIEW_AGE_S + self._longest_s + SAVE_MARGIN_S:
            return True
        if not self._have_started_together() or not (
            term.since - self._started_at <= JOINED_S
            and self._view.read_at - self._started_at >= START_SPREAD_S + JOINED_S
        ):
            return False
        wait_s = FIRST_GRANT_S
        if not self._is_first_start:
            # Engines may still make saves for the processes that ran before.
            wait_s = self._last_start_s() + self._longest_s + DEAD_SAVE_MARGIN_S
            wait_s = max(wait_s, FIRST_GRANT_S)
        return now - self._started_at >= wait_s

    def _have_started_together(self) -> bool:
        """Return whether no other process can have granted since this one started."""
        started_ms = self._view.started_ms
        own_ms = started_ms.get(self._node_id)
        return own_ms is not None and all(
            at_ms is not None and abs(at_ms - own_ms) <= 1e3 * START_SPREAD_S
            for at_ms in started_ms.values()
        )

    def _last_start_s(self) -> float:
        """Return how long after this node the last one has started, in seconds."""
        started_ms = [at for at in self._view.started_ms.values() if at is not None]
        own_ms = self._view.started_ms.get(self._node_id) or 0.0
        return (max(started_ms, default=own_ms) - own_ms) / 1e3

    def _term_in_force(self, store: str, now: float) -> Term | None:
        term = self._terms.get(store)
        return term if term and term.is_settled and self._is_current(now) else None

    def is_settled(self, store: str, now: float) -> bool:
        """Return whether no other node grants saves to the store at an address."""
        return self._term_in_force(store, now) is not None

    def may_grant(self, state: kv_index.StoreState, now: float) -> bool:
        """Return whether this node grants saves to a store now."""
        term = self._term_in_force(state.store.address, now)
        return (
            not self._is_leaving
            and term is not None
            and not math.isinf(term.listed_at)
            and state.is_fresh(now)
            and now >= state.saves_allowed_at
        )

    def needs_list(self, state: kv_index.StoreState, now: float) -> bool:
        """Return whether this node must read the list of a store now."""
        term = self._term_in_force(state.store.address, now)
        if term is None or not state.is_fresh(now):
            return False
        if math.isinf(term.listed_at):
            return True
        return term.wants_list and now - term.listed_at >= RELIST_INTERVAL_S

    def record_list(
        self,
        state: kv_index.StoreState,
        partial: collections.abc.Collection[kv_index.PartKey],
        sent_at: float,
    ) -> None:
        """Record the list of a store, whose complete parts are in its state by now.

        Parameters
        ----------
        partial : collection of PartKey
            Parts that are being written, or whose save was broken off.
        sent_at : float
            Time at which the list was requested, in seconds.
        """
        term = self._terms.get(state.store.address)
        if term is None or not term.is_settled:
            return
        term.listed_at, term.wants_list = sent_at, False
        term.saves = {
            key: save
            for key, save in term.saves.items()
            if key not in state.parts and (key in partial or save.ends_at > sent_at)
        }
        for key in partial:
            term.saves.setdefault(key, Save("", 0, sent_at))

    def record_restart(self, state: kv_index.StoreState) -> None:
        """Record that a store has restarted; call this before its state is cleared.

        Saves that were reported in the epoch that has ended are not made again.
        """
        term = self._terms.get(state.store.address)
        if term is not None:
            _drop_reported(term, state)

    def record_freed(
        self,
        state: kv_index.StoreState,
        keys: collections.abc.Iterable[kv_index.PartKey],
        now: float,
    ) -> None:
        """Record that parts are gone; other nodes may read them until they learn it.

        Parts of outdated weights are not saved again.
        """
        term = self._terms.get(state.store.address)
        if term is None:
            return
        ends_at = now + kv_index.RESTART_SAVE_DELAY_S
        for key in keys:
            if len(term.saves) >= MAX_OUTSTANDING:
                return
            if not state.is_superseded(key[0], now):
                term.saves[key] = Save("", 0, ends_at)

    def decide(
        self, holder: str, claim: Claim, state: kv_index.StoreState | None, now: float
    ) -> Granted:
        """Decide on a claim of a node, which may be this one.

        Parameters
        ----------
        state : kv_index.StoreState or None
            What this node knows of the store; None if it is not configured.
        """
        term = self._terms.get(claim.store)
        if (
            term is None
            or state is None
            or state.epoch != claim.epoch
            or not self.may_grant(state, now)
        ):
            return Granted(claim.number, [])
        if len(term.saves) >= MAX_OUTSTANDING:
            _drop_reported(term, state)
        ends_at = now + claim.lasts_s + SAVE_MARGIN_S
        save = Save(holder, claim.number, ends_at)
        verdicts = [
            self._decide_part(term, (claim.salt, part), save, state, now)
            for part in claim.parts
        ]
        return Granted(claim.number, verdicts)

    def _decide_part(
        self,
        term: Term,
        key: kv_index.PartKey,
        save: Save,
        state: kv_index.StoreState,
        now: float,
    ) -> Verdict:
        if key in state.parts:
            term.saves.pop(key, None)
            return Verdict.BUSY
        if state.is_superseded(key[0], now):
            return Verdict.BUSY
        earlier = term.saves.get(key)
        if earlier is None:
            if len(term.saves) >= MAX_OUTSTANDING:
                return Verdict.FAILED
            term.saves[key] = save
            return Verdict.GRANTED
        if (earlier.holder, earlier.number) == (save.holder, save.number):
            # The claim arrived twice.
            return Verdict.GRANTED
        if now < earlier.ends_at:
            return Verdict.BUSY
        term.wants_list = True
        return Verdict.FAILED

    def release(self, holder: str, message: Release) -> None:
        """Take back the grants of a claim whose request no engine has run."""
        term = self._terms.get(message.store)
        if term is None:
            return
        term.saves = {
            key: save
            for key, save in term.saves.items()
            if (save.holder, save.number) != (holder, message.number)
        }

    def open_saves(self) -> int:
        """Return the number of granted saves whose result is open."""
        return sum(len(term.saves) for term in self._terms.values())


def _drop_reported(term: Term, state: kv_index.StoreState) -> None:
    """Forget the saves of parts that the store has reported."""
    term.saves = {k: save for k, save in term.saves.items() if k not in state.parts}

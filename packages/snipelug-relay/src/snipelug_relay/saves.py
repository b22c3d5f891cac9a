"""Obtains grants to save prompt parts to KV cache stores, and gives them."""

import collections
import collections.abc
import dataclasses
import logging
import math
import random

import trio

from snipelug_core import choice, kv_index, save_grants
from snipelug_net import lines
from snipelug_relay import announce, clock, state, stats

LOG = logging.getLogger("snipelug.saves")

ANSWER_TIMEOUT_S = 0.15
"""Time to wait for a coordinator; the prompt then goes on without a save."""

CLOSED_S = 1.0
UNANSWERED_CLOSED_S = 4.0
"""Times for which nothing is saved to a store whose coordinator does not grant.

The longer one is for a coordinator that does not answer, as each claim delays a prompt.
"""

FOLLOW_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True)
class Claimed:
    """A claim that was sent to the coordinator of a store."""

    coordinator: str
    message: save_grants.Claim


@dataclasses.dataclass(frozen=True)
class Grants:
    """Granted saves of the parts of one prompt.

    Attributes
    ----------
    key_salt : str
        Cache salt under which the parts are saved.
    saves : dict of str to kv_index.Saving
        The saves by the id of the part.
    claims : tuple of Claimed
        The claims by which they were granted.
    valid_until : float
        Monotonic time until which the request may be sent, in seconds.
    """

    key_salt: str = ""
    saves: dict[str, kv_index.Saving] = dataclasses.field(default_factory=dict)
    claims: tuple[Claimed, ...] = ()
    valid_until: float = math.inf


@dataclasses.dataclass
class _Waiting:
    """A claim whose answer has not arrived yet."""

    claimed: Claimed
    answered: trio.Event = dataclasses.field(default_factory=trio.Event)
    answer: save_grants.Granted | None = None


class Saves:
    """Claims saves for this node, and decides on the claims of other nodes."""

    def __init__(
        self,
        node_state: state.State,
        announcer: announce.Announcer,
        metrics: stats.Stats,
    ) -> None:
        self._state = node_state
        self._announcer = announcer
        self._stats = metrics
        self._next_number = random.getrandbits(save_grants.NUMBER_BITS)
        self._waiting: dict[int, _Waiting] = {}
        announcer.set_peer_handler(save_grants.Claim, self._on_claim)
        announcer.set_peer_handler(save_grants.Granted, self._on_granted)
        announcer.set_peer_handler(save_grants.Release, self._on_release)
        announcer.set_peer_handler(save_grants.TermRequest, self._on_term_request)
        announcer.set_peer_handler(save_grants.Handover, self._on_handover)
        announcer.set_peer_handler(save_grants.Left, self._on_left)
        announcer.set_peer_handler(save_grants.Coordinating, self._on_coordinating)

    async def run(self) -> None:
        """Follow for which stores this node grants saves, until cancelled."""
        granting: set[str] = set()
        while True:
            now = clock.now()
            self._state.follow_stores(now)
            for node_id, message in self._state.saves.term_requests(now):
                self._announcer.send_to(node_id, message)
            states = self._state.index.store_states.values()
            found = {
                s.store.name
                for s in states
                if self._state.saves.is_settled(s.store.address, now)
            }
            for store in sorted(found ^ granting):
                lines.event(
                    LOG, "save_coordinator", store=store, is_granting=store in found
                )
            granting = found
            await trio.sleep(FOLLOW_INTERVAL_S)

    async def claim(
        self, parts: tuple[choice.PromptPart, ...], key_salt: str, left_s: float
    ) -> Grants:
        """Claim the saves that a prompt needs; return those that are granted.

        Parameters
        ----------
        left_s : float
            Time until the end of the request, in seconds.
        """
        now = clock.now()
        wanted = self._state.index.wanted_saves(parts, key_salt, now)
        by_store: dict[str, list[str]] = collections.defaultdict(list)
        for part_id, saving in wanted.items():
            by_store[saving.state.store.address].append(part_id)
        granted: dict[str, kv_index.Saving] = {}
        claims: list[Claimed] = []

        async def claim_store(address: str, part_ids: list[str]) -> None:
            saving = wanted[part_ids[0]]
            message = self._build(address, saving, key_salt, part_ids, left_s)
            coordinator = self._state.saves.asked_node(address, now)
            answer = await self._ask(coordinator, message)
            is_useful = False
            for part_id, verdict in _verdicts(message, answer):
                self._stats.saves.labels(verdict.name.lower()).inc()
                if verdict is save_grants.Verdict.GRANTED:
                    granted[part_id], is_useful = saving, True
                elif verdict is save_grants.Verdict.FAILED:
                    key = key_salt, part_id
                    saving.state.record_failed(key, clock.now())
            if is_useful and coordinator is not None:
                claims.append(Claimed(coordinator, message))
            if answer is None or not answer.verdicts:
                self._state.saves.drop_hint(address)
                for_s = UNANSWERED_CLOSED_S if answer is None else CLOSED_S
                self._close(saving.state, key_salt, part_ids, for_s)

        async with trio.open_nursery() as nursery:
            for address, part_ids in by_store.items():
                taken = part_ids[: save_grants.MAX_PARTS]
                nursery.start_soon(claim_store, address, taken)
        if not claims:
            return Grants()
        return Grants(key_salt, granted, tuple(claims), now + save_grants.GRANT_VALID_S)

    def _build(
        self,
        address: str,
        saving: kv_index.Saving,
        key_salt: str,
        part_ids: list[str],
        left_s: float,
    ) -> save_grants.Claim:
        self._next_number += 1
        return save_grants.Claim(
            self._next_number,
            address,
            saving.epoch or 0,
            key_salt,
            part_ids,
            max(0.0, left_s),
        )

    def _close(
        self,
        store_state: kv_index.StoreState,
        key_salt: str,
        part_ids: list[str],
        for_s: float,
    ) -> None:
        """Save to other stores for a time, as nobody grants saves to this one."""
        store_state.closed_until = clock.now() + for_s
        for part_id in part_ids:
            store_state.pending_saves.pop((key_salt, part_id), None)
        self._stats.saves.labels("closed").inc(len(part_ids))

    async def _ask(
        self, coordinator: str | None, message: save_grants.Claim
    ) -> save_grants.Granted | None:
        """Return the answer to a claim; None if it does not arrive in time."""
        if coordinator is None:
            return save_grants.Granted(message.number, [])
        if coordinator == self._state.cfg.node_id:
            return self._decide(coordinator, message)
        waiting = _Waiting(Claimed(coordinator, message))
        self._waiting[message.number] = waiting
        try:
            self._announcer.send_to(coordinator, message)
            with trio.move_on_after(ANSWER_TIMEOUT_S):
                await waiting.answered.wait()
        finally:
            del self._waiting[message.number]
            if waiting.answer is None:
                # The coordinator may have granted it.
                self._return(waiting.claimed)
        if waiting.answer is None:
            lines.event(
                LOG,
                "save_claim_unanswered",
                store=message.store,
                coordinator=coordinator,
            )
        return waiting.answer

    def release(self, grants: Grants) -> None:
        """Return grants whose request no engine has run."""
        for item in grants.claims:
            self._return(item)

    def _return(self, item: Claimed) -> None:
        message = save_grants.Release(item.message.number, item.message.store)
        if item.coordinator == self._state.cfg.node_id:
            self._state.saves.release(item.coordinator, message)
        else:
            self._announcer.send_to(item.coordinator, message)

    def _decide(self, holder: str, message: save_grants.Claim) -> save_grants.Granted:
        store_state = self._state.index.state_at(message.store)
        return self._state.saves.decide(holder, message, store_state, clock.now())

    def _on_claim(self, sender: str, message: save_grants.Claim) -> None:
        self._announcer.send_to(sender, self._decide(sender, message))

    def _on_granted(self, sender: str, message: save_grants.Granted) -> None:
        waiting = self._waiting.get(message.number)
        if waiting is not None and waiting.claimed.coordinator == sender:
            waiting.answer = message
            waiting.answered.set()

    def leave(self) -> None:
        """Leave the grants to other nodes, as this one is stopping."""
        self._send_to_recent(self._state.saves.leave())

    def _send_to_recent(self, message: save_grants.Message) -> None:
        """Send to all nodes, including those that may be restarting."""
        for member in self._state.recent_members:
            if member.node_id != self._state.cfg.node_id:
                self._announcer.send_to(member.node_id, message)

    def _on_term_request(self, sender: str, message: save_grants.TermRequest) -> None:
        store_state = self._state.index.state_at(message.store)
        handover = self._state.saves.cede(sender, message, store_state, clock.now())
        if handover is not None:
            lines.event(
                LOG,
                "save_term_ceded",
                store=message.store,
                to=sender,
                open_saves=len(handover.saves),
            )
            self._announcer.send_to(sender, handover)

    def _on_handover(self, _sender: str, message: save_grants.Handover) -> None:
        if self._state.saves.accept(message, clock.now()):
            self._send_to_recent(save_grants.Coordinating(message.store))

    def _on_coordinating(self, sender: str, message: save_grants.Coordinating) -> None:
        self._state.saves.record_coordinating(sender, message.store, clock.now())

    def _on_left(self, _sender: str, message: save_grants.Left) -> None:
        self._state.saves.record_left(message, clock.now())

    def _on_release(self, sender: str, message: save_grants.Release) -> None:
        self._state.saves.release(sender, message)


def _verdicts(
    message: save_grants.Claim, answer: save_grants.Granted | None
) -> collections.abc.Iterator[tuple[str, save_grants.Verdict]]:
    verdicts = [] if answer is None else answer.verdicts
    return zip(message.parts, verdicts, strict=False)

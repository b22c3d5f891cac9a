"""Shares the rate limits that upstreams name among the nodes.

A limit is a rate of all nodes together, but an upstream names it only to those that
send requests there. A node that hears of a new, changed or ended limit in an answer
tells all others. Datagrams are lost, and nodes join or wake, so the limits in force are
repeated to a few nodes at a time.
"""

import collections.abc
import dataclasses
import logging
import math
import random

import trio

from snipelug_core import fleet, named_limit
from snipelug_net import lines
from snipelug_relay import clock, messages, ports, state

LOG = logging.getLogger("snipelug.upstream_limits")

CHECK_INTERVAL_S = 0.25
REPEAT_INTERVAL_S = 2.0
REPEAT_JITTER = 0.25
"""Random fraction of the interval, so that nodes do not repeat limits together."""

REPEAT_NODES = 3
"""Number of nodes to which a limit is repeated."""

ENDED_REPEAT_S = 10.0
"""Time for which the end of a limit is repeated."""

CHANGE_BURST = 4
"""Number of changes of one limit that are told at once."""

MIN_CHANGE_INTERVAL_S = 0.25
CHANGE_INTERVAL_PER_NODE_S = 0.01
"""Contribution of each node to the interval at which further changes are told.

An upstream may change its limit with each answer, and each node may be the first to
hear of a change.
"""

MAX_MESSAGE_DELAY_S = 0.05
"""Time that a message may take.

A limit that it lifts may have been named again meanwhile.
"""

Send = collections.abc.Callable[
    [messages.Message, collections.abc.Iterable[ports.Member] | None], bool
]
"""Sends a message to some nodes, or to all if None."""


@dataclasses.dataclass
class Told:
    """What was last told about the limit of a process.

    Attributes
    ----------
    per_s : float or None
        The limit as it was last logged, in requests per second.
    paced_until : float
        Monotonic time until which the changes that were told use up the rate at which
        they may be told, in seconds.
    repeat_at : float
        Monotonic time at which it is repeated, in seconds.
    """

    per_s: float | None = None
    paced_until: float = -math.inf
    repeat_at: float = math.inf


class UpstreamLimits:
    """Records, logs and announces the limits that upstreams name."""

    def __init__(self, node_state: state.State, send: Send) -> None:
        self._state = node_state
        self._send = send
        self._told: dict[tuple[str, int], Told] = {}
        self._has_work = trio.Event()
        self._rng = random.Random()

    def record(
        self, upstream: fleet.Upstream, answer: named_limit.Answer, asked_at: float
    ) -> None:
        """Record what an answer that has just arrived tells about a limit."""
        self._apply(
            upstream, named_limit.Statement(answer.per_s, asked_at, clock.now())
        )

    def on_message(self, message: messages.Limited) -> None:
        """Record what another node heard about a limit."""
        upstream = self._state.fleet.upstreams.get(message.upstream_id)
        if upstream is None or upstream.entry.born != message.born:
            return
        now = clock.now()
        heard_at = now - message.age_s
        asked_at = now - message.asked_age_s - MAX_MESSAGE_DELAY_S
        self._apply(
            upstream,
            named_limit.Statement(
                message.per_s, min(asked_at, heard_at), heard_at, is_first_hand=False
            ),
        )

    async def run(self) -> None:
        """Tell changes that were held back and repeat limits until cancelled."""
        while True:
            await self._has_work.wait()
            await trio.sleep(CHECK_INTERVAL_S)
            self._check(clock.now())
            if not self._told:
                self._has_work = trio.Event()

    def _apply(
        self, upstream: fleet.Upstream, statement: named_limit.Statement
    ) -> None:
        change = self._state.fleet.record_limit(upstream, statement)
        if change is None and upstream.limit_per_s is None:
            return
        process = upstream.entry.id, upstream.entry.born
        before = None if change is None else change.before
        told = self._told.setdefault(process, Told(before))
        self._has_work.set()
        self._tell(upstream, told, clock.now())

    def _tell(self, upstream: fleet.Upstream, told: Told, now: float) -> None:
        """Log and announce a limit that differs from what was last told."""
        limit = upstream.notice.limit
        interval_s = self._change_interval_s()
        due_at = told.paced_until - (CHANGE_BURST - 1) * interval_s
        if limit is None or limit.per_s == told.per_s or now < due_at:
            return
        lines.event(
            LOG,
            "upstream_limited",
            upstream=upstream.entry.id,
            service=upstream.entry.service,
            per_s=limit.per_s,
            before=told.per_s,
            source="response" if limit.statement.is_first_hand else "node",
        )
        told.per_s = limit.per_s
        told.paced_until = max(told.paced_until, now) + interval_s
        told.repeat_at = now + self._repeat_delay_s()
        if limit.statement.is_first_hand:
            self._send(_message(upstream.entry, limit.statement, now), None)

    def _check(self, now: float) -> None:
        for process, told in list(self._told.items()):
            upstream = self._state.fleet.upstreams.get(process[0])
            is_listed = upstream is not None and upstream.entry.born == process[1]
            if upstream is None or not is_listed or _is_over(upstream, told, now):
                del self._told[process]
                continue
            self._tell(upstream, told, now)
            if now >= told.repeat_at:
                told.repeat_at = now + self._repeat_delay_s()
                self._repeat(upstream, now)

    def _repeat(self, upstream: fleet.Upstream, now: float) -> None:
        """Repeat a limit if no other node is known to have heard of it later."""
        limit = upstream.notice.limit
        if limit is None or not limit.statement.is_first_hand:
            return
        own_id = self._state.cfg.node_id
        others = [m for m in self._state.members if m.node_id != own_id]
        some = self._rng.sample(others, min(REPEAT_NODES, len(others)))
        self._send(_message(upstream.entry, limit.statement, now), some)

    def _change_interval_s(self) -> float:
        by_nodes_s = CHANGE_INTERVAL_PER_NODE_S * self._state.nodes
        return max(MIN_CHANGE_INTERVAL_S, by_nodes_s)

    def _repeat_delay_s(self) -> float:
        jitter = REPEAT_JITTER * (2 * self._rng.random() - 1)
        return REPEAT_INTERVAL_S * (1 + jitter)


def _is_over(upstream: fleet.Upstream, told: Told, now: float) -> bool:
    """Return whether nothing more is to be told about a limit."""
    limit = upstream.notice.limit
    if limit is None:
        return True
    has_ended = limit.per_s is None and told.per_s is None
    return has_ended and now > limit.since + ENDED_REPEAT_S


def _message(
    entry: fleet.Entry, statement: named_limit.Statement, now: float
) -> messages.Limited:
    return messages.Limited(
        entry.id,
        entry.born,
        statement.per_s,
        max(0.0, now - statement.heard_at),
        max(0.0, now - statement.asked_at),
    )

"""Polling of the instance list and of the load of upstreams."""

import collections.abc
import dataclasses
import logging
import typing

import msgspec
import trio

from snipelug_core import admission, load, table
from snipelug_net import http_client, lines
from snipelug_node import ports, ticker

LOG = logging.getLogger("snipelug.watcher")

LIST_INTERVAL_S = 1.25
LIST_TIMEOUT_S = 0.7
# Together less than load.STALE_S, so that one slow read of the list does not stop all
# work.
LOAD_INTERVAL_S = 0.5
LOAD_OFFSET_S = 0.25
"""Delay of load reads after the tick at which connections are opened. A connection
carries requests only after a report made later; reports lag by 0.2 s."""

LOAD_TIMEOUT_S = 1.0
IDLE_READ_AGE_S = 0.75
"""Age of the last read at which an idle upstream is read again while this node has
no callers. It lies between one and two intervals, so that an idle upstream is read
at every second one: after a read that times out, the next one still starts within
load.STALE_S of the last successful one."""
MAX_REPORT_BYTES = 64 * 1024
UPSTREAM_ROLES = frozenset({table.Role.ENGINE, table.Role.SERVICE})

Subset = collections.abc.Callable[
    [collections.abc.Iterable[table.Instance]], list[table.Instance]
]


class WireReport(msgspec.Struct):
    """A load report as an upstream sends it."""

    boot_id: str
    state: typing.Literal["cold", "warm", "leaving"] = "warm"
    running: int = 0
    waiting: int = 0
    seq: int = 0
    age_s: float = 0.0
    weight_version: str = ""


def to_report(message: WireReport, asked_at: float) -> table.LoadReport:
    """Convert a report; ``made_at`` is the earliest time it can have been made.

    The upstream measures the age on its own clock, which may run slower than this
    node's.
    """
    return table.LoadReport(
        boot_id=message.boot_id,
        state=table.Warmth(message.state),
        running=message.running,
        waiting=message.waiting,
        seq=message.seq,
        made_at=asked_at - admission.MAX_CLOCK_RATE_RATIO * message.age_s,
        weight_version=message.weight_version,
    )


def merge_instances(
    tables: table.Tables,
    listed: collections.abc.Iterable[table.Instance],
    subset: Subset,
) -> list[str]:
    """Update the tables from the instance list.

    Returns
    -------
    list of str
        Ids of upstreams that were added.
    """
    tables.instances = {inst.id: inst for inst in listed}
    kept = subset(
        inst for inst in tables.instances.values() if inst.role in UPSTREAM_ROLES
    )
    wanted = {inst.id: inst for inst in kept}
    for upstream_id in list(tables.upstreams):
        upstream = tables.upstreams[upstream_id]
        if upstream_id in wanted:
            upstream.instance = wanted[upstream_id]
        elif upstream.in_flight == 0:
            del tables.upstreams[upstream_id]
    added = [uid for uid in wanted if uid not in tables.upstreams]
    for uid in added:
        tables.upstreams[uid] = table.Upstream(wanted[uid])
    return added


@dataclasses.dataclass
class Watcher:
    """Polls the instance list and the load of this node's upstreams.

    Attributes
    ----------
    on_report : callable
        Called with the upstream's id, each report read, and the monotonic time
        before it was requested, in seconds.
    on_list : callable
        Called with each list read, and the monotonic time at which it arrived.
    is_active : callable
        Returns whether this node had callers recently.
    list_outcome : list of table.Instance or ports.Unavailable
        Outcome of the latest finished read of the instance list.
    list_tried_at : float or None
        Monotonic time just before the latest finished read of the instance list
        started, whether or not it succeeded, in seconds.
    """

    tables: table.Tables
    instance_list: ports.InstanceList
    pool: http_client.Pool
    subset: Subset
    on_report: collections.abc.Callable[[str, table.LoadReport, float], None]
    on_list: collections.abc.Callable[[list[table.Instance], float], None]
    is_active: collections.abc.Callable[[], bool] = lambda: True
    list_tried_at: float | None = None
    list_outcome: list[table.Instance] | ports.Unavailable = ports.Unavailable(
        "the instance list has not been read yet", False
    )
    _ids_being_read: set[str] = dataclasses.field(default_factory=set)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Poll until cancelled."""
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_list)
            nursery.start_soon(self._poll_loads)

    async def _poll_list(self) -> None:
        while True:
            started_at = trio.current_time()
            await self.read_list()
            await trio.sleep_until(ticker.wake_time(started_at, LIST_INTERVAL_S))

    async def read_list(self) -> None:
        """Read the instance list once."""
        tried_at = trio.current_time()
        listed: list[table.Instance] | ports.Unavailable
        listed = ports.Unavailable(f"no response within {LIST_TIMEOUT_S} s", False)
        with trio.move_on_after(LIST_TIMEOUT_S):
            listed = await self.instance_list.read()
        self.list_tried_at = tried_at
        self.list_outcome = listed
        if isinstance(listed, ports.Unavailable):
            lines.warning(LOG, "instance_list_unavailable", reason=listed.reason)
            return
        self.on_list(listed, trio.current_time())
        added = merge_instances(self.tables, listed, self.subset)
        if added:
            lines.event(LOG, "upstreams_added", upstreams=added)

    async def read(self) -> list[table.Instance] | ports.Unavailable:
        """Return the latest outcome, so that other components need not read the list.

        Implements ``ports.InstanceList``.
        """
        return self.list_outcome

    async def _poll_loads(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                for upstream in self._due_upstreams(trio.current_time()):
                    nursery.start_soon(self._read_load_once, upstream)
                now = trio.current_time()
                due_at = ticker.phase_time(now, LOAD_INTERVAL_S, LOAD_OFFSET_S)
                await trio.sleep_until(due_at)

    def _due_upstreams(self, now: float) -> collections.abc.Iterator[table.Upstream]:
        is_active = self.is_active()
        for upstream in self.tables.upstreams.values():
            if upstream.instance.id in self._ids_being_read:
                continue
            load_read_at = upstream.load_read_at
            is_recent = (
                load_read_at is not None and now - load_read_at < IDLE_READ_AGE_S
            )
            if is_active or not is_recent or not load.is_idle(upstream):
                yield upstream

    async def _read_load_once(self, upstream: table.Upstream) -> None:
        """Read a load unless a read runs; a slow upstream does not delay the others."""
        upstream_id = upstream.instance.id
        self._ids_being_read.add(upstream_id)
        try:
            await self.read_load(upstream)
        finally:
            self._ids_being_read.discard(upstream_id)

    async def read_load(self, upstream: table.Upstream) -> None:
        """Read the load of one upstream."""
        asked_at = trio.current_time()
        inst = upstream.instance
        call = http_client.Call(
            (inst.host, inst.port), "GET", "/load", timeout_s=LOAD_TIMEOUT_S
        )
        response = await self.pool.fetch(call, MAX_REPORT_BYTES)
        if not isinstance(response, http_client.FullResponse):
            return
        try:
            message = msgspec.json.decode(response.body, type=WireReport)
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            lines.warning(LOG, "load_report_invalid", upstream=inst.id, reason=str(exc))
            return
        self.on_report(inst.id, to_report(message, asked_at), asked_at)

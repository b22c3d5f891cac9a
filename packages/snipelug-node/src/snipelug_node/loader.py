"""Orders engines to load weights, with a limit on concurrent loads per deployment."""

import collections.abc
import dataclasses
import http
import logging

import msgspec
import trio

from snipelug_core import contract, table, weights
from snipelug_net import http_client, lines
from snipelug_node import ports

LOG = logging.getLogger("snipelug.loader")

ORDER_TIMEOUT_S = 30.0


class SlotsRow(msgspec.Struct):
    """Row of the slots taken by loads in progress."""

    holders: list[weights.Holder] = msgspec.field(default_factory=list)


@dataclasses.dataclass
class Loader:
    """Orders the engines that this node owns to load the configured weights.

    Attributes
    ----------
    fencing_of : callable
        Returns the fencing token of this node's owner row for an upstream, or None if
        this node is not its owner now.
    session : callable
        Returns the id of this node's session, empty if it has none.
    live_sessions : callable
        Returns the ids of all sessions that exist.
    limit : int
        Highest number of concurrent loads in the deployment.
    """

    tables: table.Tables
    store: ports.TableService
    pool: http_client.Pool
    cfg: collections.abc.Callable[[], contract.Config]
    fencing_of: collections.abc.Callable[[str], int | None]
    session: collections.abc.Callable[[], str]
    live_sessions: collections.abc.Callable[[], collections.abc.Container[str]]
    refresh: collections.abc.Callable[[table.Upstream], collections.abc.Awaitable[None]]
    limit: int

    def plan(self) -> collections.abc.Iterator[weights.LoadOrder]:
        """Yield the loads that are needed now."""
        return weights.plan_loads(self.tables, self.cfg(), self.fencing_of)

    async def execute(self, load: weights.LoadOrder) -> None:
        """Order one load if a slot is free."""
        holder = weights.Holder(load.upstream_id, self.session())
        if not holder.session or not await self._acquire_slot(holder):
            return
        try:
            await self._send_order(load)
        finally:
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 5.0):
                await self._release_slot(holder)

    async def _send_order(self, load: weights.LoadOrder) -> None:
        upstream = self.tables.upstreams.get(load.upstream_id)
        if upstream is None:
            return
        inst = upstream.instance
        content = {
            "order": {"weight_version": load.weight_version},
            "fencing": load.fencing,
        }
        call = http_client.Call(
            (inst.host, inst.port),
            "POST",
            "/orders",
            {"content-type": "application/json"},
            msgspec.json.encode(content),
            ORDER_TIMEOUT_S,
        )
        outcome = await self.pool.fetch(
            call, pre_send_check=lambda _: self.fencing_of(inst.id) == load.fencing
        )
        is_loaded = (
            isinstance(outcome, http_client.FullResponse)
            and outcome.status == http.HTTPStatus.OK
        )
        lines.event(
            LOG,
            "weights_ordered",
            upstream=inst.id,
            weight_version=load.weight_version,
            fencing=load.fencing,
            done=is_loaded,
            outcome="" if is_loaded else str(outcome)[:200],
        )
        await self.refresh(upstream)

    async def _acquire_slot(self, holder: weights.Holder) -> bool:
        read = await self._read_holders()
        if read is None:
            return False
        holders, expect = read
        live = self.live_sessions()
        decision = weights.take_slot(holders, holder, live, self.limit)
        if isinstance(decision, weights.NoSlot):
            return False
        return await self._write_holders(decision.holders, expect)

    async def _release_slot(self, holder: weights.Holder) -> None:
        """Release a slot; if that fails, the end of the session frees the slot."""
        for _ in range(3):
            read = await self._read_holders()
            if read is None:
                continue
            holders, expect = read
            if holder not in holders:
                return
            if await self._write_holders(weights.free_slot(holders, holder), expect):
                return

    async def _read_holders(
        self,
    ) -> tuple[list[weights.Holder], ports.Precondition] | None:
        row = await self.store.read(weights.TABLE, weights.ROW_KEY)
        if isinstance(row, ports.Unavailable):
            return None
        if isinstance(row, ports.Absent):
            return [], ports.Expect.ABSENT
        return msgspec.json.decode(row.content, type=SlotsRow).holders, row.version

    async def _write_holders(
        self,
        holders: collections.abc.Iterable[weights.Holder],
        expect: ports.Precondition,
    ) -> bool:
        content = msgspec.json.encode(SlotsRow(list(holders)))
        write = ports.Write(weights.TABLE, weights.ROW_KEY, content, expect)
        return isinstance(await self.store.write(write), ports.Written)

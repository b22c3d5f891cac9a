"""Tests cold-start slots of requests that are cut before the head of their response."""

import collections.abc
import functools
import typing
from unittest import mock

import pytest
import trio

from snipelug_core import admission, load, refusal, table
from snipelug_net import http_client
from snipelug_node import confirmer, lease, sender, slots
from tests import peer_fakes, test_admitter

REPORT_INTERVAL_S = 0.05
# Several times longer than the confirmer's reads of a cold upstream take, and far below
# `admission.ARRIVAL_BOUND_S`.
FREED_WITHIN_S = 3.0
CALL_TIMEOUT_S = 0.2

Serve = collections.abc.Callable[
    [trio.SocketStream], collections.abc.Awaitable[typing.Any]
]


async def close_after_request(stream: trio.SocketStream) -> None:
    """Read the request, then close the connection."""
    await stream.receive_some()
    await stream.aclose()


async def close_unread(stream: trio.SocketStream) -> None:
    """Close the connection without reading the request, which resets it."""
    await trio.lowlevel.wait_readable(stream.socket)
    await stream.aclose()


async def send_no_http(stream: trio.SocketStream) -> None:
    """Send bytes that are no response, and keep the connection open."""
    await stream.send_all(b"no response\r\n\r\n")
    await trio.sleep_forever()


async def keep_silent(stream: trio.SocketStream) -> None:
    """Read the request and send nothing."""
    await stream.receive_some()
    await trio.sleep_forever()


async def start_upstream(nursery: trio.Nursery, serve: Serve) -> table.Upstream:
    listen = functools.partial(trio.serve_tcp, serve, 0, host="127.0.0.1")
    listeners: list[trio.SocketListener] = await nursery.start(listen)
    port = listeners[0].socket.getsockname()[1]
    inst = table.Instance("u", table.Role.ENGINE, "127.0.0.1", port, "z")
    return table.Upstream(inst)


def build_sender(nursery: trio.Nursery, upstream: table.Upstream) -> sender.Sender:
    """Return node a's sender; b holds all slots and gets reports of an idle upstream.

    The upstream is in cold start and sustains two requests.
    """
    nodes = test_admitter.build_nodes(peer_fakes.Network(), nursery, outage_holder="b")

    async def refresh(upstream: table.Upstream) -> None:
        await trio.sleep(0)

    tables = table.Tables(upstreams={"u": upstream})
    tracker = confirmer.Confirmer(tables, refresh, nursery)
    keeper = mock.Mock(spec=lease.Keeper)
    node_slots = slots.Slots(nodes["a"], keeper, lambda: ["u"], tracker, nursery)

    async def report_idle() -> None:
        seq = 0
        while True:
            seq += 1
            now = trio.current_time()
            report = table.LoadReport("x", table.Warmth.COLD, 0, 0, seq, now)
            upstream.report = report
            nodes["b"].apply_report("u", report)
            tracker.apply_report("u")
            await trio.sleep(REPORT_INTERVAL_S)

    nursery.start_soon(report_idle)
    verdict = load.NeedsGrant(load.Reason.REPORTED_COLD)
    return sender.Sender(http_client.Pool(), node_slots, lambda *_: verdict, refresh)


async def count_slots(node_sender: sender.Sender) -> int:
    """Return how many slots can be had at once within `FREED_WITHIN_S`."""
    deadline = trio.current_time() + FREED_WITHIN_S
    count = 0
    while count < 2:
        slot = await node_sender.slots.acquire("u", deadline)
        if isinstance(slot, refusal.Refusal):
            break
        count += 1
    return count


@pytest.mark.parametrize(
    ("serve", "free"),
    [
        (close_after_request, 2),
        (close_unread, 2),
        (send_no_http, 1),
        (keep_silent, 1),
    ],
)
async def test_slot_is_free_once_the_upstream_closed_the_connection(
    nursery: trio.Nursery, serve: Serve, free: int
) -> None:
    """Guards against a slot in use long after its request can no longer arrive.

    If this node closed the connection, the request may still arrive, so that the slot
    must stay in use although the upstream is idle.
    """
    upstream = await start_upstream(nursery, serve)
    node_sender = build_sender(nursery, upstream)
    addr = (upstream.instance.host, upstream.instance.port)
    call = http_client.Call(addr, "POST", "/", body=b"{}", timeout_s=CALL_TIMEOUT_S)
    deadline = trio.current_time() + admission.MAX_DURATION_S
    outcome = await node_sender.send(upstream, call, deadline)
    assert isinstance(outcome, http_client.Lost)
    assert await count_slots(node_sender) == free

"""Tests of the announcements between nodes."""

import random
import socket

import msgspec
import pytest
import trio
import trio.testing

from snipelug_core import catalog, choice
from snipelug_relay import announce, clock, messages, ports, state
from tests import port_numbers, relay_builders


def node(name: str, host: str) -> tuple[announce.Announcer, state.State]:
    addr = (host, *port_numbers.free_ports(1, host))
    cfg = ports.Settings(name, "a", addr, addr, addr, peers=addr)
    node_state = state.State(cfg)
    node_state.fleet.put(relay_builders.entry(), clock.now())
    return announce.Announcer(addr, node_state), node_state


def introduce(*all_states: state.State) -> None:
    members = [ports.Member(b.cfg.node_id, "a", 0.0, b.cfg.peers) for b in all_states]
    for node_state in all_states:
        node_state.members = node_state.recent_members = members


async def test_prompts_and_switches_reach_the_other_nodes(
    nursery: trio.Nursery,
) -> None:
    """Guards against requests queued behind a peer's prompts or at loading engines."""
    first, first_state = node("n1", "127.0.0.1")
    second, second_state = node("n2", "127.0.0.2")
    introduce(first_state, second_state)
    nursery.start_soon(first.run)
    nursery.start_soon(second.run)
    await trio.testing.wait_all_tasks_blocked()
    upstream = second_state.fleet.upstreams["u1"]
    announce_read = first.announce_prompt("u1", 9_000)
    assert announce_read is not None
    first.announce_switching("u1", 1.0)
    await trio.sleep(0.1)
    assert upstream.announced_tokens(clock.now()) == 9_000
    assert upstream.switching_until > clock.now()
    announce_read()
    first.announce_serving(relay_builders.entry(), relay_builders.MODEL, 2)
    await trio.sleep(0.1)
    assert upstream.announced_tokens(clock.now()) == 0
    assert upstream.switching_until == 0.0
    assert upstream.versions[relay_builders.MODEL] == 2
    assert first.announce_prompt("u1", announce.MIN_PROMPT_TOKENS - 1) is None
    nursery.cancel_scope.cancel()


BAD = [b"", b"\xff\xff", msgspec.msgpack.encode([9, "u1"]), b"x" * 600]


@pytest.mark.parametrize("data", BAD)
async def test_bad_and_foreign_datagrams_change_nothing(
    nursery: trio.Nursery, data: bytes
) -> None:
    """Guards against a crash at bad datagrams and against trust in unknown senders."""
    first, node_state = node("n1", "127.0.0.1")
    _, other = node("n2", "127.0.0.2")
    introduce(node_state, other)
    nursery.start_soon(first.run)
    await trio.testing.wait_all_tasks_blocked()
    switch = msgspec.msgpack.encode(messages.Switching("u1", 9.0))
    assert node_state.cfg.peers is not None
    for host, content in (("127.0.0.2", data), ("127.0.0.3", switch)):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind((host, 0))
            sock.sendto(content, node_state.cfg.peers)
    await trio.sleep(0.1)
    assert node_state.fleet.upstreams["u1"].switching_until == 0.0
    nursery.cancel_scope.cancel()


async def test_part_that_a_peer_reads_is_not_read_elsewhere(
    nursery: trio.Nursery,
) -> None:
    """Guards against prefill of one shared part in two zones at the same time.

    The peer is in another zone, so this node would prefer an engine of its own zone.
    """
    first, first_state = node("n1", "127.0.0.1")
    second, second_state = node("n2", "127.0.0.2")
    introduce(first_state, second_state)
    engines = catalog.Service("engines", engine=relay_builders.ENGINE)
    known = [catalog.Catalog(1, (), (engines,))]
    second_state.apply_intents(known, 0.0, is_whole=True)
    second_state.fleet.put(relay_builders.entry("near", zone="b"), clock.now())
    nursery.start_soon(first.run)
    nursery.start_soon(second.run)
    await trio.testing.wait_all_tasks_blocked()
    request = relay_builders.request(16_000, 500, zone="b", body_bytes=34_000)
    upstreams = second_state.fleet.of_service("engines")
    context = relay_builders.context()
    rng = random.Random(1)
    before = choice.choose(upstreams, request, context, (), clock.now(), rng)
    first.announce_prompt("u1", 16_500, request.parts[0])
    await trio.sleep(0.1)
    after = choice.choose(upstreams, request, context, (), clock.now(), rng)
    assert before is not None
    assert after is not None
    assert before.upstream.entry.id == "near"
    assert after.upstream.entry.id == "u1"
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("born", "version", "expected"),
    [
        (2, 3, 3),
        (None, 3, 3),
        # Of the process before, and overtaken by a later one.
        (1, 3, 2),
        (2, 1, 2),
    ],
)
def test_late_announcement_of_weights_changes_nothing(
    born: int | None, version: int, expected: int
) -> None:
    """Guards against engines that seem to serve weights that they have not loaded."""
    announcer, node_state = node("n0", "127.0.0.1")
    model = relay_builders.MODEL
    entry = relay_builders.entry(born=2, versions={model: 2})
    node_state.fleet.put(entry, 0.0)
    message = messages.Serving(entry.id, model, version, born)
    announcer._handle(("127.0.0.2", 1), message)
    assert node_state.fleet.upstreams[entry.id].versions == {model: expected}

"""Tests of the choice between reading a prompt part from a store and computing it."""

import dataclasses
import heapq
import random
import statistics

import pytest

from snipelug_core import transfers
from snipelug_relay import announce, clock, job, messages, ports, stats, transfer_delays
from snipelug_relay import state as relay_state
from tests import relay_builders

NOW = 100.0
STORES = [f"s{number}" for number in range(16)]
SLOW = STORES[:4]
WEIGHTS = [1.5] * 4 + [1.0] * 12
"""Stores of different size; a third of the parts lie in those that become slow."""

SLOW_FROM_S, SLOW_UNTIL_S, END_S = 5.0, 15.0, 30.0
TOKENS = 12_800
TRANSFER_S, COMPUTE_S, OTHER_S = 0.046, 0.132, 0.06
"""Times on koro-sms-grown; the last one is for the rest of the prompt."""

OBJECTIVE_S = 0.6
PROMPTS_PER_S = 75
MESSAGE_S = 0.25


def compute_s(tokens: int) -> float:
    return COMPUTE_S * tokens / TOKENS


def late_delays(store: str, delay_s: float, count: int = 7) -> transfers.Delays:
    """Build delays of prompts of which those from one store are late."""
    delays = transfers.Delays()
    for number in range(40):
        delays.record(STORES[number % 8 + 4], 0.0, NOW - 1.0)
    for _ in range(count):
        delays.record(store, delay_s, NOW)
    return delays


def wanted(delays: transfers.Delays, now: float = NOW, is_probe: bool = False) -> bool:
    """Return whether a part is read from the first store."""
    item = transfers.Transfer("p", TOKENS, STORES[0], TRANSFER_S)
    return bool(dict(transfers.times_s([item], delays, compute_s, is_probe, now)))


class StoreSimulation:
    """Plays prompts whose parts are read from stores, of which some are slow.

    A store makes one transfer after another. Nodes learn of a first token after the
    time that a message takes.
    """

    def __init__(self, seed: int, learns: bool) -> None:
        self.rng = random.Random(seed)
        self.learns = learns
        self.delays = transfers.Delays()
        self.free_at = dict.fromkeys(STORES, 0.0)
        self.samples: list[tuple[float, str, float]] = []
        self.first_s: list[tuple[float, float]] = []

    def run(self) -> list[tuple[float, float]]:
        """Return the arrival and the time to the first token of each prompt."""
        for number in range(int(END_S * PROMPTS_PER_S)):
            self.send(number / PROMPTS_PER_S)
        return self.first_s

    def send(self, now: float) -> None:
        while self.samples and self.samples[0][0] <= now:
            at, store, delay_s = heapq.heappop(self.samples)
            self.delays.record(store, delay_s, at)
        (store,) = self.rng.choices(STORES, WEIGHTS)
        wait_s = self.rng.expovariate(1 / 0.04)
        item = transfers.Transfer("p", TOKENS, store, TRANSFER_S)
        is_probe = self.rng.random() < transfers.PROBE_FRACTION
        times = dict(transfers.times_s([item], self.delays, compute_s, is_probe, now))
        if self.learns and not times:
            self.first_s.append((now, wait_s + COMPUTE_S + OTHER_S))
            return
        is_slow = store in SLOW and SLOW_FROM_S <= now < SLOW_UNTIL_S
        begins_at = max(now, self.free_at[store])
        ends_at = begins_at + TRANSFER_S * (4.0 if is_slow else 1.0)
        self.free_at[store] = ends_at
        first_s = wait_s + ends_at - now + OTHER_S
        self.first_s.append((now, first_s))
        delay_s = first_s - 0.04 - TRANSFER_S - OTHER_S
        heapq.heappush(self.samples, (now + first_s + MESSAGE_S, store, delay_s))


def part_late(first_s: list[tuple[float, float]], since: float, until: float) -> float:
    found = [first for at, first in first_s if since <= at < until]
    return sum(first > OBJECTIVE_S for first in found) / len(found)


@pytest.mark.parametrize("seed", range(4))
def test_parts_in_slow_stores_are_computed_under_load(seed: int) -> None:
    """Guards against prompts that are late for as long as a store is slow."""
    before = StoreSimulation(seed, learns=False).run()
    after = StoreSimulation(seed, learns=True).run()
    assert part_late(before, SLOW_FROM_S, SLOW_UNTIL_S) > 0.1
    slow_s = SLOW_UNTIL_S - SLOW_FROM_S
    assert (
        part_late(after, SLOW_FROM_S, SLOW_UNTIL_S)
        < part_late(before, SLOW_FROM_S, SLOW_UNTIL_S) / 2
    )
    # Once the stores have recovered, they are used again.
    recovered = SLOW_UNTIL_S + slow_s / 2
    medians = [
        statistics.median(first for at, first in played if at >= recovered)
        for played in (before, after)
    ]
    assert medians[1] == pytest.approx(medians[0], rel=0.05)


def test_sound_stores_are_read() -> None:
    """Guards against parts that are computed because of short delays."""
    assert wanted(transfers.Delays())
    assert wanted(late_delays(STORES[0], 0.19))
    assert wanted(late_delays(STORES[0], 5.0, count=transfers.MIN_SAMPLES - 1))


def test_slow_store_is_not_read_but_for_probes() -> None:
    """Guards against a store that is avoided for good."""
    delays = late_delays(STORES[0], 0.8)
    assert not wanted(delays)
    assert wanted(delays, is_probe=True)
    assert wanted(delays, now=NOW + transfers.MAX_AGE_S + 0.1)
    for _ in range(transfers.MIN_SAMPLES):
        delays.record(STORES[0], 0.0, NOW)
    assert wanted(delays)


def test_overloaded_engines_are_no_sign_of_a_slow_store() -> None:
    """Guards against more work for engines that are late with all prompts."""
    delays = transfers.Delays()
    for number in range(160):
        delays.record(STORES[number % 16], 0.7, NOW)
    assert wanted(delays)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("mean_s", [0.05, 0.4, 1.0])
def test_delays_that_differ_by_chance_are_no_sign_of_a_slow_store(
    seed: int, mean_s: float
) -> None:
    """Guards against sound stores that are avoided while engines are overloaded.

    The delays of all prompts have one distribution. A store that counts as slow makes
    engines compute what they could read, when they have no time for it.
    """
    rng = random.Random(seed)
    delays = transfers.Delays()
    checked = slow = 0
    for number in range(int(10 * PROMPTS_PER_S)):
        now = number / PROMPTS_PER_S
        store = rng.choice(["", *STORES]) if rng.random() < 0.6 else ""
        delays.record(store, rng.expovariate(1 / mean_s), now)
        for name in STORES:
            checked += 1
            slow += delays.delay_s(name, now) > 0
    assert slow <= 0.02 * checked


@pytest.mark.parametrize("delay_s", [float("inf"), float("nan"), -1e9, 1e9])
def test_odd_delays_are_bounded(delay_s: float) -> None:
    """Guards against estimates that break when times are odd."""
    delays = late_delays(STORES[0], delay_s)
    assert 0.0 <= delays.delay_s(STORES[0], NOW) <= transfers.MAX_DELAY_S


def test_parts_after_a_computed_one_are_computed() -> None:
    """Guards against transfers that an engine cannot use."""
    delays = late_delays(STORES[0], 0.8)
    items = [
        transfers.Transfer("p0", TOKENS, STORES[1], TRANSFER_S),
        transfers.Transfer("p1", TOKENS, STORES[0], TRANSFER_S),
        transfers.Transfer("p2", TOKENS, STORES[1], TRANSFER_S),
    ]
    found = dict(transfers.times_s(items, delays, compute_s, False, NOW))
    assert list(found) == ["p0"]


def test_plan_reads_wanted_parts_only() -> None:
    """Guards against a transfer of a part that counts as computed."""
    index = relay_builders.fresh_index(0.0)
    (known,) = index.store_states.values()
    parts = relay_builders.request(12_800, 4_000).parts
    known.add(("salt", "p0"), 12_800, 0.0)
    assert any(index.plan(parts, "salt", 0.1, {"p0"}).sources)
    plan = index.plan(parts, "salt", 0.1, ())
    assert not any(plan.sources)
    assert not any(plan.targets)


@pytest.mark.parametrize("link_bits_per_s", [0.0, 4.2e11])
def test_parts_behind_a_link_of_unknown_rate_are_read(link_bits_per_s: float) -> None:
    """Guards against stores that are not read, as the configuration has no rate."""
    store = relay_builders.kv_store(link_bits_per_s=link_bits_per_s)
    index = relay_builders.fresh_index(0.0, store)
    (known,) = index.store_states.values()
    parts = relay_builders.request(12_800, 4_000).parts
    known.add(("salt", "p0"), 12_800, 0.0)
    found = index.transfers(parts, "salt", relay_builders.ENGINE, "a", 0.1)
    times = dict(transfers.times_s(found, transfers.Delays(), compute_s, False, 0.1))
    assert list(times) == ["p0"]
    assert any(index.plan(parts, "salt", 0.1, times).sources)


@dataclasses.dataclass
class Node:
    """A node with its own samples; ``share`` passes its messages to others."""

    state: relay_state.State
    announcer: announce.Announcer
    delays: transfer_delays.TransferDelays

    def record(self, store: str, late_s: float) -> None:
        upstream = relay_builders.upstreams(relay_builders.entry())[0]
        sent = job.UpstreamAttempt(upstream, TOKENS, 0, {}, store=store)
        self.delays.record(sent, late_s)

    def slow_stores(self) -> list[str]:
        now = clock.now()
        return [s for s in STORES if self.state.transfer_delays.delay_s(s, now) > 0]


def build_node() -> Node:
    addr = ("127.0.0.1", 1)
    node_state = relay_state.State(ports.Settings("n1", "a", addr, addr, addr))
    node_state.index.set_stores([relay_builders.kv_store(name) for name in STORES])
    announcer = announce.Announcer(None, node_state)
    delays = transfer_delays.TransferDelays(node_state, announcer, stats.Stats())
    return Node(node_state, announcer, delays)


def share(nodes: list[Node]) -> int:
    """Pass the messages of all nodes on; return the number of samples."""
    unsent = [node.delays.take_unsent() for node in nodes]
    for sender, samples in zip(nodes, unsent, strict=True):
        message = messages.TransferDelays(samples)
        for node in nodes:
            if samples and node is not sender:
                node.announcer._handle(("127.0.0.2", 1), message)
    return sum(len(samples) for samples in unsent)


@pytest.mark.parametrize("slow", [1, 4, 8])
def test_nodes_with_few_prompts_notice_slow_stores_together(slow: int) -> None:
    """Guards against slow stores that no node has enough samples of.

    Each of 36 nodes has sent two prompts without a transfer and two with one. The late
    ones, which are told first, must not pass for the usual delay.
    """
    nodes = [build_node() for _ in range(36)]
    for number, node in enumerate(nodes):
        node.record("", 0.0)
        node.record("", 0.02)
        for store in (STORES[number % 8], STORES[8 + number % 8]):
            is_slow = store in STORES[:slow]
            node.record(store, 0.9 if is_slow else 0.01)
    for _ in range(2):
        share(nodes)
    assert all(node.slow_stores() == STORES[:slow] for node in nodes)


def test_nodes_that_are_late_with_all_prompts_call_no_store_slow() -> None:
    """Guards against more work for engines that are overloaded."""
    nodes = [build_node() for _ in range(28)]
    for number, node in enumerate(nodes):
        for store in ("", "", STORES[number % 16], STORES[(number + 8) % 16]):
            node.record(store, 0.7)
    for _ in range(2):
        share(nodes)
    assert not any(node.slow_stores() for node in nodes)


def test_nothing_is_sent_while_no_store_is_slow() -> None:
    """Guards against messages without need, and stores that are not configured."""
    nodes = [build_node() for _ in range(2)]
    for node in nodes:
        for store in ("", *STORES):
            node.record(store, 0.05)
    assert share(nodes) == 0
    renamed = messages.TransferDelays([("unknown", 4.0)] * 5)
    nodes[0].announcer._handle(("127.0.0.2", 1), renamed)
    assert nodes[0].state.transfer_delays.delay_s("unknown", clock.now()) == 0.0
    assert share(nodes) == 0

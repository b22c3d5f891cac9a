"""Tests of the memory that connections share, without a network."""

import dataclasses
import random

import pytest

from snipelug_net import memory

LIMIT = 1_000
MEGABYTE = 1_000_000


@dataclasses.dataclass(eq=False)
class Client:
    """Holds memory, and records that it was dropped."""

    peer: str = "a"
    active_at: float = 0.0
    use: memory.Use = memory.Use.INCOMPLETE_REQUEST
    is_dropped: bool = False

    def drop(self) -> None:
        assert not self.is_dropped
        self.is_dropped = True


def held(*clients: tuple[Client, int]) -> memory.Budget:
    budget = memory.Budget(LIMIT)
    for client, size in clients:
        assert budget.charge(client, size)
    return budget


def test_upload_that_stalls_longest_is_dropped_first() -> None:
    """Guards against uploads in progress that make room for stalled ones."""
    stalled, active = Client(active_at=1.0), Client(active_at=2.0)
    budget = held((stalled, 500), (active, 500))
    assert budget.charge(active, 100)
    assert (stalled.is_dropped, active.is_dropped) == (True, False)
    assert budget.used_bytes == 600


def test_greediest_peer_is_dropped_first() -> None:
    """Guards against clients that pay for another one with many connections."""
    others = [Client("greedy", active_at=9.0) for _ in range(3)]
    small = Client("small", active_at=1.0)
    budget = held((small, 300), *((item, 200) for item in others))
    assert budget.charge(Client("new", active_at=10.0), 200)
    assert not small.is_dropped
    assert sum(item.is_dropped for item in others) == 1


def test_complete_requests_are_not_dropped() -> None:
    """Guards against a refusal of a request that an upstream may be running."""
    whole = Client(use=memory.Use.REQUEST)
    reader = Client(use=memory.Use.UNREAD_RESPONSE, active_at=5.0)
    budget = held((whole, 600), (reader, 300))
    upload = Client(active_at=9.0)
    assert not budget.charge(upload, 200)
    assert upload.is_dropped
    assert not reader.is_dropped
    assert budget.charge(Client(use=memory.Use.REQUEST), 200)
    assert reader.is_dropped
    assert not whole.is_dropped
    assert not budget.charge(Client(use=memory.Use.REQUEST), 300)


def test_single_client_may_exceed_the_limit() -> None:
    """Guards against a request that is never served, as it is larger than the limit."""
    budget = memory.Budget(LIMIT)
    only = Client()
    assert budget.charge(only, 5 * LIMIT)
    budget.release(only)
    assert budget.used_bytes == 0


@pytest.mark.parametrize("seed", range(20))
def test_used_memory_is_bounded_and_released(seed: int) -> None:
    """Guards against memory that is lost from the count, or counted twice."""
    rng = random.Random(seed)
    budget = memory.Budget(LIMIT)
    clients = [Client(rng.choice("abc")) for _ in range(30)]
    for step in range(500):
        client = rng.choice(clients)
        if client.is_dropped or rng.random() < 0.2:
            budget.release(client)
            client.is_dropped = False
            continue
        client.active_at = float(step)
        budget.charge(client, rng.randint(1, 200))
        assert budget.used_bytes <= LIMIT
    for client in clients:
        budget.release(client)
    assert budget.used_bytes == 0


MACHINES = [
    # Memory in MB, descriptors, expected number of connections.
    (None, None, 4096),
    (150, 4_100, 732),
    (552, 8_192, 2_695),
    (96, 300, 66),
    (1, 201, 1),
    (None, 100, 1),
]


@pytest.mark.parametrize(("megabytes", "descriptors", "expected"), MACHINES)
def test_connections_of_a_machine(
    megabytes: int | None, descriptors: int | None, expected: int
) -> None:
    """Guards against more connections than a machine's memory or descriptors bear."""
    size = None if megabytes is None else megabytes * MEGABYTE
    assert memory.max_connections(size, descriptors, 4096) == expected

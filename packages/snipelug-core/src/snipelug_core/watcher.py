"""Selection of the nodes that read from the platform for their zone."""

import collections.abc
import dataclasses

from snipelug_core import hashing

READERS_PER_ZONE = 2
"""Nodes per zone that read; two, so that the loss of one has no effect."""

READERS_PER_STORE = 1
"""Nodes per zone that poll one KV cache store; without one, all nodes poll it.

A reader for each store spreads the load over the links of a zone: at 500 parts per
second, a single node that forwards the events of all stores to 25 others saturates a
5 Mbit/s link.
"""

MAX_NODES_WITHOUT_READERS = 4
"""Maximum size of a zone in which each node reads for itself."""


@dataclasses.dataclass(frozen=True)
class Node:
    """A node and its availability zone."""

    id: str
    zone: str


def pick_readers(
    nodes: collections.abc.Iterable[Node],
    zone: str,
    store: str | None = None,
) -> collections.abc.Sequence[str]:
    """Return the nodes that read for a zone; all nodes compute the same result.

    Parameters
    ----------
    store : str or None
        Name of a KV cache store; None for the tables in the platform's store.
    """
    ids = [node.id for node in nodes if node.zone == zone]
    if len(ids) <= MAX_NODES_WITHOUT_READERS:
        return ids
    if store is None:
        return hashing.rank(zone, ids)[:READERS_PER_ZONE]
    return hashing.rank(f"{zone}/{store}", ids)[:READERS_PER_STORE]

"""Which nodes of a zone read from the platform for the others."""

import collections.abc
import dataclasses

from snipelug_core import hashing

READERS_PER_ZONE = 2
"""Nodes that read; two, so that the loss of one is not noticed."""

READERS_PER_STORE = 1
"""Nodes that read one store of KV cache; without it the others read for themselves.

Their number spreads what is told over the links of a zone: at 500 parts a second one
node that tells 25 others of all stores fills a link of 5 Mbit/s.
"""

MAX_NODES_WITHOUT_READERS = 4
"""In zones with at most so many nodes each reads for itself."""


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
    """Return the nodes of a zone that read for it, the same at every node.

    Parameters
    ----------
    store : str or None
        A store of KV cache; None for the tables of the platform's store.
    """
    ids = [node.id for node in nodes if node.zone == zone]
    if len(ids) <= MAX_NODES_WITHOUT_READERS:
        return ids
    if store is None:
        return hashing.rank(zone, ids)[:READERS_PER_ZONE]
    return hashing.rank(f"{zone}/{store}", ids)[:READERS_PER_STORE]

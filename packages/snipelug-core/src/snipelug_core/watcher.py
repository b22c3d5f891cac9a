"""Which nodes of a zone read from the platform for the others."""

import collections.abc
import dataclasses

from snipelug_core import hashing

PER_ZONE = 2
"""Nodes that read; two, so that the loss of one is not noticed."""

ALL_UP_TO = 4
"""In zones with at most so many nodes each reads for itself."""


@dataclasses.dataclass(frozen=True)
class Node:
    """A node and its availability zone."""

    id: str
    zone: str


def pick(
    nodes: collections.abc.Iterable[Node], zone: str
) -> collections.abc.Sequence[str]:
    """Return the nodes of a zone that read for it, the same at every node."""
    ids = [node.id for node in nodes if node.zone == zone]
    if len(ids) <= ALL_UP_TO:
        return ids
    return hashing.rank(zone, ids)[:PER_ZONE]

"""The upstreams that one node works with."""

import collections
import collections.abc

from snipelug_core import hashing, route

SUBSET_SIZE = 40
"""Upstreams that one node works with; bounds the cost of a decision."""


class Subset:
    """The upstreams that one node works with.

    Parameters
    ----------
    node_id : str
        Node whose subset this is.
    size : int
        Most upstreams in the subset.
    """

    def __init__(self, node_id: str, size: int = SUBSET_SIZE) -> None:
        self.node_id = node_id
        self.size = size
        self.ids: tuple[str, ...] = ()

    def update(self, groups: collections.abc.Mapping[str, str]) -> None:
        """Choose again after the instance list has changed.

        Parameters
        ----------
        groups : mapping of str to str
            Group of each upstream, such as its zone and models. The subset takes
            one of each group in turn, so that each group is represented.
        """
        members: dict[str, list[str]] = collections.defaultdict(list)
        for upstream_id in hashing.rank(self.node_id, groups):
            members[groups[upstream_id]].append(upstream_id)
        order = hashing.rank(self.node_id, members)
        depth = max((len(m) for m in members.values()), default=0)
        turns = ((i, g) for i in range(depth) for g in order if i < len(members[g]))
        chosen = [members[g][i] for i, g in turns]
        self.ids = tuple(chosen[: self.size])

    def select(
        self, targets: collections.abc.Mapping[str, route.Target]
    ) -> collections.abc.Iterator[route.Target]:
        """Yield the upstreams of the subset that are known now."""
        for upstream_id in self.ids:
            target = targets.get(upstream_id)
            if target is not None:
                yield target

"""Selection of the subset of upstreams that one node sends requests to."""

import collections
import collections.abc

from snipelug_core import hashing, route

SUBSET_SIZE = 40
"""Maximum number of upstreams per node; bounds the cost of a routing decision."""


class Subset:
    """The subset of upstreams that one node sends requests to.

    Parameters
    ----------
    node_id : str
        Node whose subset this is.
    size : int
        Maximum number of upstreams in the subset.
    """

    def __init__(self, node_id: str, size: int = SUBSET_SIZE) -> None:
        self.node_id = node_id
        self.size = size
        self.ids: tuple[str, ...] = ()

    def update(self, groups: collections.abc.Mapping[str, str]) -> None:
        """Recompute the subset after the instance list has changed.

        Parameters
        ----------
        groups : mapping of str to str
            Group of each upstream, such as its zone and models. Upstreams are taken
            from each group in turn, so that every group is represented.
        """
        members: dict[str, list[str]] = collections.defaultdict(list)
        for upstream_id in hashing.rank(self.node_id, groups):
            members[groups[upstream_id]].append(upstream_id)
        order = hashing.rank(self.node_id, members)
        largest = max((len(m) for m in members.values()), default=0)
        turns = ((i, g) for i in range(largest) for g in order if i < len(members[g]))
        chosen = [members[g][i] for i, g in turns]
        self.ids = tuple(chosen[: self.size])

    def select(
        self, targets: collections.abc.Mapping[str, route.Target]
    ) -> collections.abc.Iterator[route.Target]:
        """Yield the targets of the subset's upstreams that are currently known."""
        for upstream_id in self.ids:
            target = targets.get(upstream_id)
            if target is not None:
                yield target

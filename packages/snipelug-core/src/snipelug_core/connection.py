"""Which connections to upstreams are opened before they are needed."""

import collections.abc
import dataclasses

from snipelug_core import table

IDLE_CONNECTIONS = 8
"""Idle connections kept per upstream.

A connection may carry requests without a grant only once a load report newer than
the connection has arrived, so one opened for a request would delay it by the lag
of the reports.
"""


@dataclasses.dataclass(frozen=True)
class OpenConnections:
    """Open idle connections to an upstream."""

    upstream_id: str
    count: int


def plan_connections(
    tables: table.Tables, idle_count: collections.abc.Callable[[table.Instance], int]
) -> collections.abc.Iterator[OpenConnections]:
    """Yield the connections to open now."""
    for upstream in tables.upstreams.values():
        inst = upstream.instance
        reachable = upstream.report is not None and not inst.leaving
        missing = IDLE_CONNECTIONS - idle_count(inst)
        if reachable and missing > 0:
            yield OpenConnections(inst.id, missing)

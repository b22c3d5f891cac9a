"""Planning of connections to upstreams that are opened in advance."""

import collections.abc
import dataclasses

from snipelug_core import table

IDLE_CONNECTIONS = 8
"""Number of idle connections kept per upstream.

A connection may carry requests without a grant only after a load report newer than
the connection has arrived. Opening a connection on demand would therefore delay the
request by the lag of the load reports.
"""

MAX_IDLE_CONNECTIONS = 64
CONNECTIONS_PER_REFUSAL = 4
"""Number of idle connections kept for each refusal since the last tick.

Each refusal ends a connection. Its replacement is opened by the next tick, after 0.5 s,
and carries requests only after a report newer than it has arrived: four ticks cover the
interval of the reports and a lag of 1 s.
"""


@dataclasses.dataclass(frozen=True)
class OpenConnections:
    """An action: open a number of idle connections to an upstream."""

    upstream_id: str
    count: int


def plan_connections(
    tables: table.Tables, idle_count: collections.abc.Callable[[table.Instance], int]
) -> collections.abc.Iterator[OpenConnections]:
    """Yield the connections to open now, for all reachable upstreams.

    The refusals of each upstream are counted anew from here.
    """
    for upstream in tables.upstreams.values():
        inst = upstream.instance
        reachable = upstream.report is not None and not inst.leaving
        wanted = IDLE_CONNECTIONS + CONNECTIONS_PER_REFUSAL * upstream.refusals
        upstream.refusals = 0
        missing = min(wanted, MAX_IDLE_CONNECTIONS) - idle_count(inst)
        if reachable and missing > 0:
            yield OpenConnections(inst.id, missing)

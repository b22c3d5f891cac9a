"""State of a deployment on the platform, read from its store and from the nodes."""

import dataclasses
import typing

import msgspec
import trio
import typer
from prometheus_client import parser

from snipelug_cli import api, calls, output
from snipelug_core import catalog, fleet
from snipelug_net import http_client
from snipelug_platform import main as platform_main
from snipelug_platform import settings
from snipelug_relay import ports

METRICS_TIMEOUT_S = 1.0
"""Timeout for the metrics of a node; a hung node is shown without them."""

GAUGE_COLUMNS = {
    "snipelug_configuration_version": "configuration",
    "snipelug_configuration_age_seconds": "configuration_age_s",
    "snipelug_upstreams": "upstreams",
}
"""Column names by the name of the node's gauge."""

HTTP_OK = 200


@dataclasses.dataclass(frozen=True)
class Status:
    """State reported by the platform's store and the nodes.

    Attributes
    ----------
    configuration : int or None
        Newest configuration version written by the operator; None if there is none.
    weights : dict of str to int
        Weight version of each model, as set by the operator.
    zones_out : list of str
        Zones that receive no new work.
    unreadable : list of str
        Operator and upstream rows that cannot be parsed, with the reason.
    nodes, upstreams : list of dict
        One row for each node and each upstream.
    orders : dict or None
        The node that holds the lease for ordering weights, with its fencing token
        and the remaining time. A row from before a restore of the store does not tell
        who holds the lease.
    releases : list of dict
        One row for the latest release of each service.
    """

    configuration: int | None
    weights: dict[str, int]
    zones_out: list[str]
    unreadable: list[str]
    nodes: list[api.Content]
    upstreams: list[api.Content]
    orders: api.Content | None
    releases: list[api.Content]


async def read_status(
    store: ports.ControlStore, pool: http_client.Pool, metrics_port: int
) -> Status | ports.Unavailable:
    """Read the state of a deployment."""
    intents = await store.read_intents()
    listings = await store.read_upstreams()
    members = await store.read_members()
    lease = await store.read_lease()
    releases = await store.read_releases()
    for answer in (intents, listings, members, lease, releases):
        if isinstance(answer, ports.Unavailable):
            return answer
    assert isinstance(intents, ports.Page)
    assert isinstance(listings, ports.Page)
    assert isinstance(members, ports.Page)
    assert isinstance(lease, ports.LeaseRow)
    assert isinstance(releases, ports.Page)
    items = [*intents.items, *listings.items]
    versions = [i.version for i in items if isinstance(i, catalog.Catalog)]
    return Status(
        configuration=max(versions, default=None),
        weights={i.model: i.version for i in items if isinstance(i, ports.Version)},
        zones_out=sorted(i.zone for i in items if isinstance(i, ports.Evacuation)),
        unreadable=[
            f"{i.key}: {i.reason}" for i in items if isinstance(i, ports.Unreadable)
        ],
        nodes=await _read_node_rows(members, pool, metrics_port),
        upstreams=[_upstream_row(i) for i in items if isinstance(i, fleet.Entry)],
        orders=_order_lease_row(lease),
        releases=[_release_row(row, releases.clock_ms) for row in releases.items],
    )


async def _read_node_rows(
    members: ports.Page[ports.Member], pool: http_client.Pool, metrics_port: int
) -> list[api.Content]:
    rows: list[api.Content] = []

    async def add(member: ports.Member) -> None:
        row: api.Content = {
            "node": member.node_id,
            "zone": member.zone,
            "seen_s_ago": (members.clock_ms - member.seen_ms) / 1e3,
        }
        if member.addr is not None:
            row |= await _read_gauges(pool, (member.addr[0], metrics_port))
        rows.append(row)

    async with trio.open_nursery() as nursery:
        for member in members.items:
            nursery.start_soon(add, member)
    return sorted(rows, key=lambda row: str(row["node"]))


async def _read_gauges(
    pool: http_client.Pool, addr: http_client.Address
) -> api.Content:
    call = http_client.Call(addr, "GET", "/metrics", timeout_s=METRICS_TIMEOUT_S)
    with trio.move_on_after(METRICS_TIMEOUT_S):
        result = await pool.fetch(call)
        if not isinstance(result, http_client.FullResponse) or result.status != HTTP_OK:
            return {"metrics": "not served"}
        text = result.body.decode("utf-8", "replace")
        try:
            return {
                GAUGE_COLUMNS[family.name]: family.samples[0].value
                for family in parser.text_string_to_metric_families(text)
                if family.name in GAUGE_COLUMNS
            }
        except ValueError as exc:
            return {"metrics": f"not readable: {exc}"}
    return {"metrics": f"no answer within {METRICS_TIMEOUT_S} s"}


def _upstream_row(entry: fleet.Entry) -> api.Content:
    return {
        "upstream": entry.id,
        "service": entry.service,
        "zone": entry.zone,
        "address": f"{entry.host}:{entry.port}",
        "state": "leaving" if entry.is_leaving else "ready",
        "cold_s": entry.cold_s,
        "weights": [f"{model} {v}" for model, v in sorted(entry.versions.items())],
        "release": entry.release,
    }


def _order_lease_row(row: ports.LeaseRow) -> api.Content | None:
    if row.lease is None:
        return None
    return {
        "holder": row.lease.holder,
        "fencing": row.lease.fencing,
        "left_s": (row.lease.until_ms - row.clock_ms) / 1e3,
        "is_from_before_restore": row.lease.epoch < row.epoch,
    }


def _release_row(row: ports.ReleaseRow, clock_ms: float) -> api.Content:
    progress = row.progress
    left_s = None if progress.is_final else (progress.deadline_ms - clock_ms) / 1e3
    return {
        "service": progress.service,
        "from": progress.base,
        "to": progress.target,
        "stage": progress.stage.name.lower(),
        "share": progress.share,
        "left_s": left_s,
        "leader": row.holder,
        "reason": progress.reason,
    }


def show(
    store: typing.Annotated[
        str,
        typer.Option(
            envvar="SNIPELUG_STORE", help="The platform's store.", metavar="IP:PORT"
        ),
    ],
    metrics_port: typing.Annotated[
        int, typer.Option(help="Port on which nodes serve their metrics.")
    ] = settings.METRICS_PORT,
    as_json: output.JsonOption = False,
) -> None:
    """Show the configuration, weights, releases, nodes and upstreams."""
    addr = settings.parse_address(store)
    if isinstance(addr, settings.InvalidSettings):
        calls.fail(calls.ExitCode.INVALID, f"--store {store!r} is not IP:PORT")

    async def run() -> Status | ports.Unavailable:
        pool = http_client.Pool(METRICS_TIMEOUT_S)
        return await read_status(
            platform_main.control_store(pool, addr), pool, metrics_port
        )

    result = trio.run(run)
    if isinstance(result, ports.Unavailable):
        calls.fail(
            calls.ExitCode.UNREACHABLE, f"the store does not answer: {result.reason}"
        )
    content = msgspec.to_builtins(result)
    if as_json:
        output.print_json(content)
        return
    rows = [[name, content[name]] for name in ("configuration", "zones_out")]
    rows += [[f"weights of {model}", v] for model, v in sorted(result.weights.items())]
    rows += [["unreadable", text] for text in result.unreadable]
    output.print_table("Operator", ("what", "value"), rows)
    output.print_rows("Nodes", result.nodes)
    output.print_rows("Upstreams", result.upstreams)
    output.print_rows("Releases", result.releases)
    output.print_rows(
        "Lease for weight orders", [result.orders] if result.orders else []
    )

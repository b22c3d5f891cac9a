"""The command `snipelugd`."""

import typing

import trio
import typer

from snipelug_node import journal, node, settings

APP = typer.Typer(add_completion=True, pretty_exceptions_enable=False)

EXIT_INVALID_SETTINGS = 2


def option(
    flag: str, text: str, environment: str | None = None, metavar: str | None = None
) -> typing.Any:
    """Build an option that can also be set by an environment variable."""
    variable = environment or "SNIPELUG_" + flag.removeprefix("--").upper()
    return typer.Option(
        flag, envvar=variable.replace("-", "_"), help=text, metavar=metavar
    )


@APP.command()
def serve(
    node_id: typing.Annotated[str, option("--node-id", "Instance id.")] = "",
    zone: typing.Annotated[str, option("--zone", "Availability zone.")] = "",
    host: typing.Annotated[str, option("--host", "IP address.")] = "127.0.0.1",
    port: typing.Annotated[int, option("--port", "Port for callers.")] = 8080,
    admin_port: typing.Annotated[
        int, option("--admin-port", "Port for operators.")
    ] = 8081,
    rpc_port: typing.Annotated[int, option("--rpc-port", "Port for nodes.")] = 8082,
    rpc_advertise: typing.Annotated[
        str,
        option("--rpc-advertise", "Address told to other nodes.", metavar="IP:PORT"),
    ] = "",
    tables: typing.Annotated[
        str, option("--tables", "Table service.", metavar="IP:PORT")
    ] = "",
    objects: typing.Annotated[
        str, option("--objects", "Object store.", metavar="IP:PORT")
    ] = "",
    instances: typing.Annotated[
        str, option("--instances", "Instance list.", metavar="IP:PORT")
    ] = "",
    key: typing.Annotated[str, option("--key", "Secret shared by all nodes.")] = "",
    admin_key: typing.Annotated[
        str, option("--admin-key", "Bearer key of operators.")
    ] = "",
    peer: typing.Annotated[
        list[str] | None,
        option("--peer", "Another node; may be repeated.", metavar="ID=IP:PORT"),
    ] = None,
    zone_delay: typing.Annotated[
        list[str] | None,
        option("--zone-delay", "One-way delay.", metavar="ZONE:ZONE=MS"),
    ] = None,
    statsd: typing.Annotated[
        str, option("--statsd", "Metrics receiver.", metavar="IP:PORT")
    ] = "",
    mode: typing.Annotated[str, option("--mode", "Routing: ttft or reuse.")] = "ttft",
    cold_limit: typing.Annotated[
        int, option("--cold-limit", "Requests a cold upstream sustains.")
    ] = 2,
    unconfirmed_limit: typing.Annotated[
        int,
        option("--unconfirmed-limit", "Requests a warm upstream gets per report."),
    ] = 0,
    weight_loads: typing.Annotated[
        int, option("--weight-loads", "Weight loads at once.")
    ] = 3,
    upstream_in_flight: typing.Annotated[
        int, option("--upstream-in-flight", "Requests of this node per upstream.")
    ] = 64,
    engine_slots: typing.Annotated[
        int, option("--engine-slots", "Requests that one engine runs at once.")
    ] = 16,
    block_bytes: typing.Annotated[
        int, option("--block-bytes", "Size of one cached block.")
    ] = 65_536,
    link_bytes_per_s: typing.Annotated[
        float, option("--link-bytes-per-s", "Rate from a store to one zone.")
    ] = 1e9,
    drain_s: typing.Annotated[
        float, option("--drain-s", "Longest planned stop, in seconds.")
    ] = 60.0,
    log_level: typing.Annotated[str, option("--log-level", "Log level.")] = "INFO",
    check: typing.Annotated[
        bool, typer.Option("--check", help="Validate the settings and exit.")
    ] = False,
) -> None:
    """Serve callers, operators and other nodes until stopped."""
    parser = settings.Parser()
    cfg = settings.Settings(
        node_id=parser.required("--node-id", node_id),
        zone=parser.required("--zone", zone),
        host=parser.ip("--host", host),
        port=parser.port("--port", port),
        admin_port=parser.port("--admin-port", admin_port),
        rpc_port=parser.port("--rpc-port", rpc_port),
        tables=parser.address("--tables", tables),
        objects=parser.address("--objects", objects),
        instances=parser.address("--instances", instances),
        key=parser.key("--key", key),
        admin_key=parser.key("--admin-key", admin_key).decode(),
        peers=parser.peers("--peer", peer or []),
        zone_delays_s=parser.zone_delays("--zone-delay", zone_delay or []),
        rpc_advertise=(
            parser.address("--rpc-advertise", rpc_advertise) if rpc_advertise else None
        ),
        statsd=parser.address("--statsd", statsd) if statsd else None,
        mode=parser.one_of("--mode", mode, settings.MODES),
        cold_limit=cold_limit,
        unconfirmed_limit=unconfirmed_limit,
        weight_loads=weight_loads,
        upstream_in_flight=upstream_in_flight,
        engine_slots=engine_slots,
        block_bytes=block_bytes,
        link_bytes_per_s=link_bytes_per_s,
        drain_s=drain_s,
        log_level=parser.one_of("--log-level", log_level, settings.LOG_LEVELS),
    )
    parser.at_least("--cold-limit", cold_limit, 1)
    parser.at_least("--unconfirmed-limit", unconfirmed_limit, 0)
    parser.at_least("--weight-loads", weight_loads, 1)
    parser.at_least("--upstream-in-flight", upstream_in_flight, 1)
    parser.at_least("--engine-slots", engine_slots, 1)
    parser.at_least("--block-bytes", block_bytes, 1)
    parser.at_least("--link-bytes-per-s", link_bytes_per_s, 1)
    parser.at_least("--drain-s", drain_s, 0)
    if len({port, admin_port, rpc_port}) < 3:
        parser.add_error("--port, --admin-port, --rpc-port", "must differ")
    if parser.errors:
        for error in parser.errors:
            typer.echo(f"snipelugd: {error}", err=True)
        raise typer.Exit(EXIT_INVALID_SETTINGS)
    if check:
        typer.echo("settings are valid")
        return
    journal.configure_logging(cfg.node_id, cfg.log_level)
    trio.run(node.run, cfg)


def run() -> None:
    """Run the command."""
    APP()


if __name__ == "__main__":
    run()

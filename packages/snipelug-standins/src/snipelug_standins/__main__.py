"""Command line of the stand-ins: ``python -m snipelug_standins ROLE``."""

import logging
import pathlib
import typing

import trio
import typer

from snipelug_standins import (
    engine,
    instances,
    link,
    load,
    objects,
    service,
    standin,
    store,
    tables,
)

app = typer.Typer(add_completion=False, help="Run one stand-in for an external system.")

Host = typing.Annotated[str, typer.Option(help="Address to listen on.")]
Port = typing.Annotated[
    int, typer.Option(min=0, help="Port; 0 to let the system choose one.")
]
NonNegativeFloat = typing.Annotated[float, typer.Option(min=0)]
PositiveFloat = typing.Annotated[float, typer.Option(min=0.001)]
Seconds = typing.Annotated[float, typer.Option(min=0)]
NonNegativeInt = typing.Annotated[int, typer.Option(min=0)]
PositiveInt = typing.Annotated[int, typer.Option(min=1)]
LOOPBACK = "127.0.0.1"


def _run(role: standin.Role, host: str, port: int) -> None:
    trio.run(standin.serve, role, host, port)


@app.command("engine")
def run_engine(
    host: Host = LOOPBACK,
    port: Port = 0,
    prefill_rate: PositiveFloat = 100_000.0,
    decode_rate: PositiveFloat = 200.0,
    max_batch: PositiveInt = 16,
    cache_tokens: NonNegativeInt = 400_000,
    block_bytes: PositiveInt = 65_536,
    weight_version: str = "w1",
    load_s: Seconds = 0.5,
    check_fencing: bool = False,
    lag_s: Seconds = 0.0,
    cold_limit: PositiveInt = 2,
    cold: bool = False,
    warm_requests: PositiveInt = 8,
    on_overload: load.OnOverload = load.OnOverload.EXIT,
    recover_s: Seconds = 1.0,
) -> None:
    """Run an engine; ``--cold`` starts it cold."""
    options = engine.Options(
        prefill_rate=prefill_rate,
        decode_rate=decode_rate,
        max_batch=max_batch,
        cache_tokens=cache_tokens,
        block_bytes=block_bytes,
        weight_version=weight_version,
        load_s=load_s,
        check_fencing=check_fencing,
        lag_s=lag_s,
    )
    warmth = load.Warmth(cold_limit, warm_requests, on_overload, recover_s, cold)
    _run(engine.Engine(options, warmth), host, port)


@app.command("service")
def run_service(
    host: Host = LOOPBACK,
    port: Port = 0,
    time_s: Seconds = 0.0,
    lag_s: Seconds = 0.0,
    cold_limit: PositiveInt = 2,
    cold: bool = False,
    warm_requests: PositiveInt = 8,
    on_overload: load.OnOverload = load.OnOverload.EXIT,
    recover_s: Seconds = 1.0,
) -> None:
    """Run a plain service that counts how often each order runs."""
    warmth = load.Warmth(cold_limit, warm_requests, on_overload, recover_s, cold)
    _run(service.Service(time_s, warmth, lag_s), host, port)


@app.command("store")
def run_store(
    host: Host = LOOPBACK,
    port: Port = 0,
    memory_bytes: NonNegativeInt = 1 << 30,
    disk_bytes: NonNegativeInt = 1 << 32,
    memory_rate: NonNegativeFloat = 0.0,
    disk_rate: NonNegativeFloat = 0.0,
    directory: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="Directory in which blocks survive a restart."),
    ] = None,
) -> None:
    """Run a KV cache store."""
    role = store.Store(memory_bytes, disk_bytes, memory_rate, disk_rate, directory)
    _run(role, host, port)


@app.command("tables")
def run_tables(host: Host = LOOPBACK, port: Port = 0) -> None:
    """Run the table service."""
    _run(tables.Tables(), host, port)


@app.command("objects")
def run_objects(host: Host = LOOPBACK, port: Port = 0) -> None:
    """Run the object store."""
    _run(objects.Objects(), host, port)


@app.command("instances")
def run_instances(host: Host = LOOPBACK, port: Port = 0, lag_s: Seconds = 0.0) -> None:
    """Run the instance list."""
    _run(instances.Instances(lag_s), host, port)


@app.command("link")
def run_link(
    to: typing.Annotated[str, typer.Option(help="HOST:PORT to forward to.")],
    host: Host = LOOPBACK,
    port: Port = 0,
    control_port: Port = 0,
) -> None:
    """Run a TCP forwarder."""
    to_host, _, to_port = to.rpartition(":")
    if not to_host or not to_port.isdecimal():
        raise typer.BadParameter(f"{to!r} is not HOST:PORT")
    trio.run(link.serve, link.Link(to_host, int(to_port)), host, port, control_port)


if __name__ == "__main__":
    logging.basicConfig(level=logging.INFO)
    app(prog_name="snipelug_standins")

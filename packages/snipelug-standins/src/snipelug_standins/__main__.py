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

app = typer.Typer(add_completion=False, help="Run one stand-in of an outside system.")

Host = typing.Annotated[str, typer.Option(help="Address to listen on.")]
Port = typing.Annotated[int, typer.Option(min=0, help="Port; 0 to pick one.")]
Rate = typing.Annotated[float, typer.Option(min=0)]
Positive = typing.Annotated[float, typer.Option(min=0.001)]
Seconds = typing.Annotated[float, typer.Option(min=0)]
Size = typing.Annotated[int, typer.Option(min=0)]
Number = typing.Annotated[int, typer.Option(min=1)]
LOCAL = "127.0.0.1"


def _serve(role: standin.Role, host: str, port: int) -> None:
    trio.run(standin.serve, role, host, port)


@app.command("engine")
def run_engine(
    host: Host = LOCAL,
    port: Port = 0,
    prefill_rate: Positive = 100_000.0,
    decode_rate: Positive = 200.0,
    max_batch: Number = 16,
    cache_tokens: Size = 400_000,
    block_bytes: Number = 65_536,
    weight_version: str = "w1",
    load_s: Seconds = 0.5,
    check_fencing: bool = False,
    lag_s: Seconds = 0.0,
    cold_limit: Number = 2,
    cold: bool = False,
    warm_requests: Number = 8,
    on_overload: load.OnOverload = load.OnOverload.EXIT,
    recover_s: Seconds = 1.0,
) -> None:
    """Run a model engine; ``--cold`` starts it cold."""
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
    _serve(engine.Engine(options, warmth), host, port)


@app.command("service")
def run_service(
    host: Host = LOCAL,
    port: Port = 0,
    time_s: Seconds = 0.0,
    lag_s: Seconds = 0.0,
    cold_limit: Number = 2,
    cold: bool = False,
    warm_requests: Number = 8,
    on_overload: load.OnOverload = load.OnOverload.EXIT,
    recover_s: Seconds = 1.0,
) -> None:
    """Run a plain service that counts how often each order runs."""
    warmth = load.Warmth(cold_limit, warm_requests, on_overload, recover_s, cold)
    _serve(service.Service(time_s, warmth, lag_s), host, port)


@app.command("store")
def run_store(
    host: Host = LOCAL,
    port: Port = 0,
    memory_bytes: Size = 1 << 30,
    disk_bytes: Size = 1 << 32,
    memory_rate: Rate = 0.0,
    disk_rate: Rate = 0.0,
    directory: typing.Annotated[
        pathlib.Path | None, typer.Option(help="Keeps blocks over a restart.")
    ] = None,
) -> None:
    """Run a KV cache store instance."""
    role = store.Store(memory_bytes, disk_bytes, memory_rate, disk_rate, directory)
    _serve(role, host, port)


@app.command("tables")
def run_tables(host: Host = LOCAL, port: Port = 0) -> None:
    """Run the table service."""
    _serve(tables.Tables(), host, port)


@app.command("objects")
def run_objects(host: Host = LOCAL, port: Port = 0) -> None:
    """Run the object store."""
    _serve(objects.Objects(), host, port)


@app.command("instances")
def run_instances(host: Host = LOCAL, port: Port = 0, lag_s: Seconds = 0.0) -> None:
    """Run the instance list."""
    _serve(instances.Instances(lag_s), host, port)


@app.command("link")
def run_link(
    to: typing.Annotated[str, typer.Option(help="HOST:PORT to forward to.")],
    host: Host = LOCAL,
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

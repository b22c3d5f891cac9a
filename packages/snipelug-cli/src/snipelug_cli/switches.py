"""Commands that take availability zones and instances out and put them back."""

import dataclasses
import typing

import typer

from snipelug_cli import calls, output, proposal
from snipelug_core import change


@dataclasses.dataclass(frozen=True)
class Kind:
    """Something that operators take out of service and put back.

    Attributes
    ----------
    plural, title : str
        Name in texts and above the table.
    field : str
        Field of the operations.
    known, out : str
        Fields of the configuration: what is listed, and what is out of service.
    """

    plural: str
    title: str
    field: str
    take_out: type[typing.Any]
    put_in: type[typing.Any]
    known: str
    out: str


ZONES = Kind(
    "availability zones",
    "Availability zones",
    "zone",
    change.ZoneOut,
    change.ZoneIn,
    "zones",
    "zones_out",
)
INSTANCES = Kind(
    "instances",
    "Instances",
    "instance",
    change.InstanceOut,
    change.InstanceIn,
    "instances",
    "instances_out",
)


def add_commands(app: typer.Typer, kind: Kind) -> None:
    """Add the commands out, in and list of one kind."""
    names = typer.Argument(metavar=f"{kind.field.upper()}S")

    @app.command(
        "out", help=f"Take {kind.plural} out of service; work in progress goes on."
    )
    def take_out(
        ctx: typer.Context,
        names: typing.Annotated[list[str], names],
        expect: proposal.Expect = None,
        wait: proposal.Wait = proposal.DEFAULT_WAIT_S,
        author: proposal.Author = "",
        force: proposal.Force = False,
        as_json: output.Json = False,
    ) -> None:
        operations = proposal.build(
            kind.take_out, ({kind.field: name} for name in names)
        )
        options = proposal.Options(expect, wait, proposal.author(author), force)
        proposal.propose(ctx, operations, options, as_json)

    @app.command("in", help=f"Put {kind.plural} back into service.")
    def put_in(
        ctx: typer.Context,
        names: typing.Annotated[list[str], names],
        expect: proposal.Expect = None,
        wait: proposal.Wait = proposal.DEFAULT_WAIT_S,
        author: proposal.Author = "",
        as_json: output.Json = False,
    ) -> None:
        operations = proposal.build(kind.put_in, ({kind.field: name} for name in names))
        options = proposal.Options(expect, wait, proposal.author(author))
        proposal.propose(ctx, operations, options, as_json)

    @app.command("list", help=f"List {kind.plural} and whether they are in service.")
    def show(ctx: typer.Context, as_json: output.Json = False) -> None:
        _show(ctx, kind, as_json)


def _show(ctx: typer.Context, kind: Kind, as_json: bool) -> None:
    content = calls.call(ctx, "GET", "/config")
    listed, out = content[kind.known], content[kind.out]
    rows: list[list[object]] = [
        [name, "out" if name in out else "in", name in listed]
        for name in sorted({*listed, *out})
    ]
    if as_json:
        shown = [{"name": n, "state": s, "listed": k} for n, s, k in rows]
        output.print_json({"revision": content["revision"], kind.known: shown})
        return
    output.print_table(kind.title, ["name", "state", "in platform's list"], rows)

"""Commands that take availability zones and instances out of and into service."""

import dataclasses
import typing

import typer

from snipelug_cli import calls, output, proposal
from snipelug_core import change


@dataclasses.dataclass(frozen=True)
class ResourceKind:
    """A kind of resource that can be taken out of service.

    Attributes
    ----------
    plural, title : str
        Name in help texts and as the table title.
    field : str
        Name of the field of the operations.
    take_out, put_in : type
        Operations that take a resource out of service and put it back.
    known, out : str
        Configuration fields with the listed and the out-of-service resources.
    """

    plural: str
    title: str
    field: str
    take_out: type[typing.Any]
    put_in: type[typing.Any]
    known: str
    out: str


ZONES = ResourceKind(
    "availability zones",
    "Availability zones",
    "zone",
    change.ZoneOut,
    change.ZoneIn,
    "zones",
    "zones_out",
)
INSTANCES = ResourceKind(
    "instances",
    "Instances",
    "instance",
    change.InstanceOut,
    change.InstanceIn,
    "instances",
    "instances_out",
)


def add_commands(app: typer.Typer, kind: ResourceKind) -> None:
    """Add the commands ``out``, ``in`` and ``list`` for a kind of resource."""
    names = typer.Argument(metavar=f"{kind.field.upper()}S")

    @app.command(
        "out", help=f"Take {kind.plural} out of service; work in progress is completed."
    )
    def take_out(
        ctx: typer.Context,
        names: typing.Annotated[list[str], names],
        expect: proposal.ExpectOption = None,
        wait: proposal.WaitOption = proposal.DEFAULT_WAIT_S,
        author: proposal.AuthorOption = "",
        force: proposal.ForceOption = False,
        as_json: output.JsonOption = False,
    ) -> None:
        operations = proposal.build_operations(
            kind.take_out, ({kind.field: name} for name in names)
        )
        options = proposal.Options(expect, wait, proposal.resolve_author(author), force)
        proposal.propose(ctx, operations, options, as_json)

    @app.command("in", help=f"Put {kind.plural} back into service.")
    def put_in(
        ctx: typer.Context,
        names: typing.Annotated[list[str], names],
        expect: proposal.ExpectOption = None,
        wait: proposal.WaitOption = proposal.DEFAULT_WAIT_S,
        author: proposal.AuthorOption = "",
        as_json: output.JsonOption = False,
    ) -> None:
        operations = proposal.build_operations(
            kind.put_in, ({kind.field: name} for name in names)
        )
        options = proposal.Options(expect, wait, proposal.resolve_author(author))
        proposal.propose(ctx, operations, options, as_json)

    @app.command("list", help=f"List {kind.plural} and whether they are in service.")
    def show(ctx: typer.Context, as_json: output.JsonOption = False) -> None:
        _show(ctx, kind, as_json)


def _show(ctx: typer.Context, kind: ResourceKind, as_json: bool) -> None:
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
    output.print_table(kind.title, ["name", "state", "in platform list"], rows)

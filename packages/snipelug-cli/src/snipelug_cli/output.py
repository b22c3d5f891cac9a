"""Output of commands: tables for people, JSON for scripts."""

import collections.abc
import datetime
import sys
import typing

import msgspec
import rich.console
import rich.table
import typer

from snipelug_cli import api

JsonOption = typing.Annotated[
    bool, typer.Option("--json", help="Print JSON for scripts.")
]


def print_json(content: object) -> None:
    """Print content as formatted JSON."""
    typer.echo(msgspec.json.format(msgspec.json.encode(content)).decode())


def print_table(
    title: str, columns: collections.abc.Sequence[str], rows: list[list[object]]
) -> None:
    """Print a table, or that it has no rows."""
    # Without a terminal, rich assumes 80 columns and truncates cells.
    width = None if sys.stdout.isatty() else 200
    console = rich.console.Console(width=width, markup=False, highlight=False)
    table = rich.table.Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(_format_cell(value) for value in row))
    console.print(table if rows else f"{title}: none")


def _format_cell(value: object) -> str:
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:.1f}"
        case list() | tuple():
            return ", ".join(_format_cell(item) for item in value) or "-"
        case _:
            return str(value)


def print_rows(title: str, rows: list[api.Content]) -> None:
    """Print rows as one table, with a column for each field that any row has."""
    columns = list(dict.fromkeys(name for row in rows for name in row))
    print_table(title, columns, [[row.get(c) for c in columns] for row in rows])


def print_rollout(content: api.Content) -> None:
    """Print the outcome of a change and on how many nodes it is in force."""
    count = len(content["in_force"])
    total = count + len(content["missing"])
    labels = {"unchanged": "nothing to change", "recorded": "stored"}
    outcome = labels.get(content["outcome"], content["outcome"])
    number = content["revision"]
    typer.echo(f"{outcome}; revision {number} is in force on {count} of {total} nodes")


def format_time(wall: float) -> str:
    """Format a wall-clock time in UTC."""
    moment = datetime.datetime.fromtimestamp(wall, tz=datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")


def format_operations(operations: list[api.Content]) -> str:
    """Format the operations of a change as one line."""
    return "; ".join(_format_operation(operation) for operation in operations)


def _format_operation(operation: api.Content) -> str:
    match operation:
        case {"type": kind, "contract": {"team": name}}:
            return f"{kind} {name}"
        case {"type": kind, "model": {"name": name}}:
            return f"{kind} {name}"
        case {"type": kind, **rest}:
            return f"{kind} {' '.join(str(value) for value in rest.values())}"
        case _:
            return str(operation)

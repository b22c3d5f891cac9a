"""What commands print: tables for people, JSON for scripts."""

import collections.abc
import datetime
import sys
import typing

import msgspec
import rich.console
import rich.table
import typer

from snipelug_cli import api

Json = typing.Annotated[bool, typer.Option("--json", help="Print JSON for scripts.")]


def print_json(content: object) -> None:
    """Print JSON for scripts."""
    typer.echo(msgspec.json.format(msgspec.json.encode(content)).decode())


def print_table(
    title: str, columns: collections.abc.Sequence[str], rows: list[list[object]]
) -> None:
    """Print a table, or that there is nothing to show."""
    # Without a terminal, rich assumes 80 columns and cuts cells off.
    width = None if sys.stdout.isatty() else 200
    console = rich.console.Console(width=width, markup=False, highlight=False)
    table = rich.table.Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(_cell(value) for value in row))
    console.print(table if rows else f"{title}: none")


def _cell(value: object) -> str:
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:.1f}"
        case list() | tuple():
            return ", ".join(_cell(item) for item in value) or "-"
        case _:
            return str(value)


def print_rows(title: str, rows: list[api.Content]) -> None:
    """Print rows of equal or different fields as one table."""
    columns = list(dict.fromkeys(name for row in rows for name in row))
    print_table(title, columns, [[row.get(c) for c in columns] for row in rows])


def print_rollout(content: api.Content) -> None:
    """Print on how many nodes a change is in force."""
    count = len(content["in_force"])
    total = count + len(content["missing"])
    words = {"unchanged": "nothing to change", "recorded": "stored"}
    outcome = words.get(content["outcome"], content["outcome"])
    number = content["revision"]
    typer.echo(f"{outcome}; revision {number} is in force on {count} of {total} nodes")


def format_time(wall: float) -> str:
    """Return a wall clock time as text, in UTC."""
    made = datetime.datetime.fromtimestamp(wall, tz=datetime.UTC)
    return made.strftime("%Y-%m-%d %H:%M:%S")


def describe(operations: list[api.Content]) -> str:
    """Return the operations of a change as one line."""
    return "; ".join(_describe_one(operation) for operation in operations)


def _describe_one(operation: api.Content) -> str:
    match operation:
        case {"type": kind, "contract": {"team": name}}:
            return f"{kind} {name}"
        case {"type": kind, "model": {"name": name}}:
            return f"{kind} {name}"
        case {"type": kind, **rest}:
            return f"{kind} {' '.join(str(value) for value in rest.values())}"
        case _:
            return str(operation)

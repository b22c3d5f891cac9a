"""Performs the store steps of the decision logic on the table service."""

import collections.abc
import typing

import msgspec
import trio

from snipelug_core import step
from snipelug_node import ports

PAGE_ROWS = 1000

Result = typing.TypeVar("Result")


async def perform(
    tables: ports.TableService, operation: step.Write | step.Read
) -> object:
    """Perform one step and return its outcome as one of the types in ``step``."""
    if isinstance(operation, step.Write):
        return await _write(tables, operation)
    match await tables.read(operation.table, operation.key):
        case ports.Row(version=version, content=content):
            return decode(version, content, operation.kind)
        case ports.Absent():
            return step.Missing()
        case ports.Unavailable(reason):
            return step.NoAnswer(reason)


async def _write(
    tables: ports.TableService, operation: step.Write
) -> step.Applied | step.PreconditionFailed | step.NoAnswer:
    content = (
        None if operation.content is None else msgspec.json.encode(operation.content)
    )
    must_be_absent = not isinstance(operation.expect, str)
    expect = (
        ports.Expect.ABSENT if must_be_absent else typing.cast(str, operation.expect)
    )
    write = ports.Write(operation.table, operation.key, content, expect)
    match await tables.write(write):
        case ports.Written(version):
            return step.Applied(version)
        case ports.Conflict():
            return step.PreconditionFailed()
        case ports.Unavailable(reason, maybe_applied):
            return step.NoAnswer(reason, maybe_applied)


def decode(version: str, content: bytes, kind: type) -> step.Found | step.Malformed:
    """Decode the content of a row to a dataclass."""
    try:
        return step.Found(version, msgspec.json.decode(content, type=kind))
    except msgspec.MsgspecError as exc:
        return step.Malformed(str(exc))


async def run(
    tables: ports.TableService,
    flow: collections.abc.Generator[step.Write | step.Read, step.Event, Result],
) -> Result:
    """Run a generator whose steps are all store steps, and return its result."""
    try:
        operation = next(flow)
        while True:
            outcome = await perform(tables, operation)
            operation = flow.send(step.Event(outcome, trio.current_time()))
    except StopIteration as stop:
        return typing.cast(Result, stop.value)


async def scan_all(
    tables: ports.TableService, table_name: str, prefix: str = ""
) -> list[ports.Row] | ports.Unavailable:
    """Read all rows of a table with the key prefix, page by page."""
    rows: list[ports.Row] = []
    after = ""
    while True:
        page = await tables.scan(table_name, prefix, after, PAGE_ROWS)
        if isinstance(page, ports.Unavailable):
            return page
        rows += page
        if len(page) < PAGE_ROWS:
            return rows
        after = page[-1].key

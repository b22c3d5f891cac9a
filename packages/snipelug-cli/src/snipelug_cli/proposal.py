"""Proposals of changes, and the command options that they share."""

import collections.abc
import dataclasses
import getpass
import typing
import uuid

import msgspec
import typer

from snipelug_cli import api, calls, output
from snipelug_core import change

DEFAULT_WAIT_S = 20.0
MAX_WAIT_S = 60.0

ExpectOption = typing.Annotated[
    int | None,
    typer.Option(min=0, help="Fail unless this is the newest revision."),
]
WaitOption = typing.Annotated[
    float,
    typer.Option(
        min=0.0,
        max=MAX_WAIT_S,
        help="Seconds to wait until the change is in force on all members.",
    ),
]
AuthorOption = typing.Annotated[
    str,
    typer.Option(
        envvar="SNIPELUG_AUTHOR",
        help="Author name for the history.",
        show_default="user name",
    ),
]
ForceOption = typing.Annotated[
    bool, typer.Option(help="Allow names that are not in the platform's list.")
]


@dataclasses.dataclass(frozen=True)
class Options:
    """Options of a proposed change."""

    expected: int | None
    wait_s: float
    author: str
    force: bool = False


def resolve_author(given: str) -> str:
    """Return the author name for the history; by default that of the current user."""
    if given:
        return given
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        calls.fail(
            calls.ExitCode.INVALID,
            "the current user has no name: set SNIPELUG_AUTHOR or --author",
        )


def build_operations(
    operation_type: type[typing.Any],
    values: collections.abc.Iterable[dict[str, typing.Any]],
) -> list[typing.Any]:
    """Build operations from arguments; exit the command if any is invalid."""
    built = []
    errors = []
    for value in values:
        try:
            built.append(
                msgspec.convert(
                    {"type": operation_type.__name__, **value}, operation_type
                )
            )
        except msgspec.ValidationError as exc:
            errors.append(f"{value}: {exc}")
    if errors:
        calls.fail(calls.ExitCode.INVALID, "invalid arguments", errors)
    return built


def propose(
    ctx: typer.Context,
    operations: collections.abc.Sequence[change.Operation],
    options: Options,
    as_json: bool,
) -> None:
    """Propose a change, wait until it is in force and report the result."""
    body = {
        "operations": operations,
        "author": options.author,
        "nonce": uuid.uuid4().hex,
        "expected": options.expected,
        "force": options.force,
    }
    content = calls.call(ctx, "POST", "/changes", body)
    if content["missing"] and options.wait_s > 0:
        content = _wait_in_force(ctx, content, options.wait_s)
    if as_json:
        output.print_json(content)
    else:
        output.print_rollout(content)
    if content["missing"]:
        missing = ", ".join(content["missing"])
        message = (
            f"revision {content['revision']} is not known to be in force on: "
            f"{missing}. These nodes adopt it when they next reach the table "
            "service or a peer, and refuse new work until then; check with "
            "'snipelug status'"
        )
        calls.fail(calls.ExitCode.NOT_IN_FORCE, message)
    if content["outcome"] == "recorded":
        message = "the change is stored, but not yet confirmed by a majority of nodes"
        calls.fail(calls.ExitCode.NOT_IN_FORCE, message)


def _wait_in_force(
    ctx: typer.Context, content: api.Content, wait_s: float
) -> api.Content:
    """Wait for the change through any node, so that a hung one does not block it."""
    fields = {"revision": content["revision"], "wait_s": wait_s}
    path = api.add_query("/in-force", fields)
    answer = api.call(ctx.obj, "GET", path, wait_s=wait_s)
    if not isinstance(answer, api.Succeeded):
        return content
    rollout = {k: answer.content[k] for k in ("in_force", "missing")}
    outcome = content["outcome"]
    if outcome == "recorded" and not rollout["missing"]:
        outcome = "accepted"
    return {**content, **rollout, "outcome": outcome}

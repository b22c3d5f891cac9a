"""Proposals of changes, and the options that all of them have."""

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

Expect = typing.Annotated[
    int | None,
    typer.Option(min=0, help="Refuse if the newest revision is another."),
]
Wait = typing.Annotated[
    float,
    typer.Option(
        min=0.0,
        max=MAX_WAIT_S,
        help="Seconds to wait until the change is in force on all members.",
    ),
]
Author = typing.Annotated[
    str,
    typer.Option(
        envvar="SNIPELUG_AUTHOR", help="Name in the history.", show_default="user name"
    ),
]
Force = typing.Annotated[
    bool, typer.Option(help="Allow names that the platform's list does not contain.")
]


@dataclasses.dataclass(frozen=True)
class Options:
    """How a change is proposed."""

    expected: int | None
    wait_s: float
    author: str
    force: bool = False


def author(given: str) -> str:
    """Return the name for the history; the user's by default."""
    if given:
        return given
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        calls.fail(
            calls.Exit.INVALID, "the user has no name: set SNIPELUG_AUTHOR or --author"
        )


def build(
    kind: type[typing.Any], values: collections.abc.Iterable[dict[str, typing.Any]]
) -> list[typing.Any]:
    """Build operations from arguments; end the command if any is invalid."""
    built = []
    mistakes = []
    for value in values:
        try:
            built.append(msgspec.convert({"type": kind.__name__, **value}, kind))
        except msgspec.ValidationError as exc:
            mistakes.append(f"{value}: {exc}")
    if mistakes:
        calls.fail(calls.Exit.INVALID, "invalid arguments", mistakes)
    return built


def propose(
    ctx: typer.Context,
    operations: collections.abc.Sequence[change.Operation],
    options: Options,
    as_json: bool,
) -> None:
    """Propose one change, wait for it and report where it is in force."""
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
            f"{missing}. These nodes take it over when they next see the table "
            "service or a peer, and refuse new work until then; look with "
            "'snipelug status'"
        )
        calls.fail(calls.Exit.NOT_EVERYWHERE, message)
    if content["outcome"] == "recorded":
        message = "the change is stored, but no majority has reported it yet"
        calls.fail(calls.Exit.NOT_EVERYWHERE, message)


def _wait_in_force(
    ctx: typer.Context, content: api.Content, wait_s: float
) -> api.Content:
    """Wait on any node, so that one that hangs does not hold the change up."""
    fields = {"revision": content["revision"], "wait_s": wait_s}
    path = api.query("/in-force", fields)
    answer = api.call(ctx.obj, "GET", path, wait_s=wait_s)
    if not isinstance(answer, api.Done):
        return content
    rollout = {k: answer.content[k] for k in ("in_force", "missing")}
    outcome = content["outcome"]
    if outcome == "recorded" and not rollout["missing"]:
        outcome = "accepted"
    return {**content, **rollout, "outcome": outcome}

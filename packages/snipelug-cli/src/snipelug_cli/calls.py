"""Admin API calls that exit the command unless they succeed."""

import collections.abc
import enum
import typing

import typer

from snipelug_cli import api

INVALID_CODES = ("invalid", "bad_request")
UNKNOWN_CODES = ("unclear", "not_json")


class ExitCode(enum.IntEnum):
    """Exit codes of the command."""

    DONE = 0
    REFUSED = 1
    INVALID = 2
    UNREACHABLE = 3
    NOT_IN_FORCE = 4


def fail(
    code: ExitCode, message: str, details: collections.abc.Iterable[str] = ()
) -> typing.NoReturn:
    """Print an error to standard error and exit the command."""
    typer.echo(f"snipelug: {message}", err=True)
    for detail in details:
        typer.echo(f"  - {detail}", err=True)
    raise typer.Exit(code)


def call(
    ctx: typer.Context,
    method: str,
    path: str,
    body: api.Content | None = None,
    wait_s: float = 0.0,
) -> api.Content:
    """Call a node and return its answer; exit the command if the call fails."""
    settings: api.Settings = ctx.obj
    if not settings.key:
        fail(ExitCode.INVALID, "no admin key: set SNIPELUG_ADMIN_KEY or --key")
    addresses = [api.parse_address(url) for url in settings.urls]
    errors = [item.message for item in addresses if isinstance(item, api.BadUrl)]
    if errors or not addresses:
        fail(ExitCode.INVALID, "set SNIPELUG_ADMIN_URL or --url correctly", errors)
    answer = api.call(settings, method, path, body, wait_s)
    if isinstance(answer, api.Refused):
        _fail_refused(answer)
    if isinstance(answer, api.Unreachable):
        _fail_unreachable(answer, method)
    return answer.content


def _fail_unreachable(answer: api.Unreachable, method: str) -> typing.NoReturn:
    message = (
        "no node answered; check SNIPELUG_ADMIN_URL and that the nodes are running"
    )
    if answer.may_have_run and method == "POST":
        message = (
            "no node answered, and the call may have taken effect; "
            "check 'snipelug contracts history' before repeating it"
        )
    fail(ExitCode.UNREACHABLE, message, answer.reasons)


def _fail_refused(answer: api.Refused) -> typing.NoReturn:
    errors = answer.content.get("mistakes", [])
    if answer.code in INVALID_CODES:
        fail(ExitCode.INVALID, answer.message, errors)
    if answer.code in UNKNOWN_CODES:
        fail(ExitCode.UNREACHABLE, answer.message)
    if answer.code == "unauthenticated":
        message = f"{answer.message}; check SNIPELUG_ADMIN_KEY"
        fail(ExitCode.REFUSED, message)
    fail(ExitCode.REFUSED, f"refused ({answer.code}): {answer.message}")

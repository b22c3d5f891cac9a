"""Calls of the admin API that end the command unless they succeed."""

import collections.abc
import enum
import typing

import typer

from snipelug_cli import api

INVALID_CODES = ("invalid", "bad_request")
UNKNOWN_CODES = ("unclear", "not_json")


class Exit(enum.IntEnum):
    """Exit codes of the command."""

    DONE = 0
    REFUSED = 1
    INVALID = 2
    UNREACHABLE = 3
    NOT_EVERYWHERE = 4


def fail(
    code: Exit, message: str, details: collections.abc.Iterable[str] = ()
) -> typing.NoReturn:
    """Print what is wrong and end the command."""
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
    """Call a node; end the command unless it did what was asked."""
    settings: api.Settings = ctx.obj
    if not settings.key:
        fail(Exit.INVALID, "no operators' key: set SNIPELUG_ADMIN_KEY or --key")
    bad = [api.parse_address(url) for url in settings.urls]
    mistakes = [item.message for item in bad if isinstance(item, api.BadUrl)]
    if mistakes or not bad:
        fail(Exit.INVALID, "set SNIPELUG_ADMIN_URL or --url correctly", mistakes)
    answer = api.call(settings, method, path, body, wait_s)
    if isinstance(answer, api.Refused):
        _report_refusal(answer)
    if isinstance(answer, api.Unreachable):
        _report_unreachable(answer, method)
    return answer.content


def _report_unreachable(answer: api.Unreachable, method: str) -> typing.NoReturn:
    message = "no node answered; check SNIPELUG_ADMIN_URL and the nodes"
    if answer.maybe_done and method == "POST":
        message = (
            "no node gave an answer, and the call may have taken effect; "
            "look with 'snipelug contracts history' before repeating it"
        )
    fail(Exit.UNREACHABLE, message, answer.reasons)


def _report_refusal(answer: api.Refused) -> typing.NoReturn:
    mistakes = answer.content.get("mistakes", [])
    if answer.code in INVALID_CODES:
        fail(Exit.INVALID, answer.message, mistakes)
    if answer.code in UNKNOWN_CODES:
        fail(Exit.UNREACHABLE, answer.message)
    if answer.code == "unauthenticated":
        message = f"{answer.message}; check SNIPELUG_ADMIN_KEY"
        fail(Exit.REFUSED, message)
    fail(Exit.REFUSED, f"refused ({answer.code}): {answer.message}")

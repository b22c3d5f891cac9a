"""Command line for operators.

Exit codes: 0 done; 1 refused by the node; 2 usage error or invalid input, with all
mistakes listed; 3 no node gave a usable answer; 4 accepted, but not in force on all
members within the wait.
"""

import collections.abc
import dataclasses
import datetime
import enum
import getpass
import pathlib
import sys
import typing
import uuid

import msgspec
import rich.console
import rich.table
import typer

from snipelug_cli import api, document
from snipelug_core import change, contract


class Exit(enum.IntEnum):
    """Exit codes of the command."""

    DONE = 0
    REFUSED = 1
    INVALID = 2
    UNREACHABLE = 3
    NOT_EVERYWHERE = 4


HELP = """Operate snipelug: contracts, zones, instances, models, status.

Exit codes: 0 done; 1 refused by the node; 2 usage error or invalid input; 3 no node
gave a usable answer; 4 accepted, but not in force on all members within the wait.
"""
DEFAULT_WAIT_S = 20.0
MAX_WAIT_S = 60.0
INVALID_CODES = ("invalid", "bad_request")
UNKNOWN_CODES = ("unclear", "not_json")

app = typer.Typer(help=HELP, no_args_is_help=True, pretty_exceptions_enable=False)
contracts_app = typer.Typer(help="Contracts of teams.", no_args_is_help=True)
zones_app = typer.Typer(help="Availability zones.", no_args_is_help=True)
instances_app = typer.Typer(help="Single instances.", no_args_is_help=True)
models_app = typer.Typer(help="Models as served.", no_args_is_help=True)
quarantine_app = typer.Typer(help="Requests that crash upstreams.")
claims_app = typer.Typer(help="Orders whose execution is unknown.")
app.add_typer(contracts_app, name="contracts")
app.add_typer(zones_app, name="zones")
app.add_typer(instances_app, name="instances")
app.add_typer(models_app, name="models")
app.add_typer(quarantine_app, name="quarantine")
app.add_typer(claims_app, name="claims")

Files = typing.Annotated[
    list[pathlib.Path], typer.Argument(help="Contract files, .json or .toml.")
]
Json = typing.Annotated[bool, typer.Option("--json", help="Print JSON for scripts.")]
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


@app.callback()
def configure(
    ctx: typer.Context,
    url: typing.Annotated[
        str,
        typer.Option(
            envvar="SNIPELUG_ADMIN_URL",
            help="Node's admin URL, http://HOST:PORT; several separated by commas.",
        ),
    ] = "http://127.0.0.1:8081",
    key: typing.Annotated[
        str, typer.Option(envvar="SNIPELUG_ADMIN_KEY", help="Operators' bearer key.")
    ] = "",
) -> None:
    """Read where and as whom to call."""
    urls = tuple(part.strip() for part in url.split(",") if part.strip())
    ctx.obj = api.Settings(urls, key)


def _fail(
    code: Exit, message: str, details: collections.abc.Iterable[str] = ()
) -> typing.NoReturn:
    typer.echo(f"snipelug: {message}", err=True)
    for detail in details:
        typer.echo(f"  - {detail}", err=True)
    raise typer.Exit(code)


def _call(
    ctx: typer.Context,
    method: str,
    path: str,
    body: api.Content | None = None,
    wait_s: float = 0.0,
) -> api.Content:
    """Call a node; end the command unless it did what was asked."""
    settings: api.Settings = ctx.obj
    if not settings.key:
        _fail(Exit.INVALID, "no operators' key: set SNIPELUG_ADMIN_KEY or --key")
    bad = [api.parse_address(url) for url in settings.urls]
    mistakes = [item.message for item in bad if isinstance(item, api.BadUrl)]
    if mistakes or not bad:
        _fail(Exit.INVALID, "set SNIPELUG_ADMIN_URL or --url correctly", mistakes)
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
    _fail(Exit.UNREACHABLE, message, answer.reasons)


def _report_refusal(answer: api.Refused) -> typing.NoReturn:
    mistakes = answer.content.get("mistakes", [])
    if answer.code in INVALID_CODES:
        _fail(Exit.INVALID, answer.message, mistakes)
    if answer.code in UNKNOWN_CODES:
        _fail(Exit.UNREACHABLE, answer.message)
    if answer.code == "unauthenticated":
        message = f"{answer.message}; check SNIPELUG_ADMIN_KEY"
        _fail(Exit.REFUSED, message)
    _fail(Exit.REFUSED, f"refused ({answer.code}): {answer.message}")


def _print_json(content: object) -> None:
    typer.echo(msgspec.json.format(msgspec.json.encode(content)).decode())


def _print_table(
    title: str, columns: collections.abc.Sequence[str], rows: list[list[object]]
) -> None:
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


def _print_rows(title: str, rows: list[api.Content]) -> None:
    columns = list(dict.fromkeys(name for row in rows for name in row))
    _print_table(title, columns, [[row.get(c) for c in columns] for row in rows])


def _propose(
    ctx: typer.Context,
    operations: collections.abc.Sequence[change.Operation],
    options: Options,
    as_json: bool,
) -> None:
    body = {
        "operations": operations,
        "author": options.author,
        "nonce": uuid.uuid4().hex,
        "expected": options.expected,
        "force": options.force,
    }
    content = _call(ctx, "POST", "/changes", body)
    if content["missing"] and options.wait_s > 0:
        content = _wait_in_force(ctx, content, options.wait_s)
    if as_json:
        _print_json(content)
    else:
        _print_rollout(content)
    if content["missing"]:
        missing = ", ".join(content["missing"])
        message = (
            f"revision {content['revision']} is not known to be in force on: "
            f"{missing}. These nodes take it over when they next see the table "
            "service or a peer, and refuse new work until then; look with "
            "'snipelug status'"
        )
        _fail(Exit.NOT_EVERYWHERE, message)
    if content["outcome"] == "recorded":
        message = "the change is stored, but no majority has reported it yet"
        _fail(Exit.NOT_EVERYWHERE, message)


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


def _print_rollout(content: api.Content) -> None:
    count = len(content["in_force"])
    total = count + len(content["missing"])
    words = {"unchanged": "nothing to change", "recorded": "stored"}
    outcome = words.get(content["outcome"], content["outcome"])
    number = content["revision"]
    typer.echo(f"{outcome}; revision {number} is in force on {count} of {total} nodes")


def _author(given: str) -> str:
    if given:
        return given
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        _fail(Exit.INVALID, "the user has no name: set SNIPELUG_AUTHOR or --author")


def _load(files: list[pathlib.Path]) -> tuple[change.Operation, ...]:
    loaded = document.load(files)
    if isinstance(loaded, document.Mistakes):
        _fail(Exit.INVALID, "the files are invalid", loaded.messages)
    return loaded.operations


def _build(
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
        _fail(Exit.INVALID, "invalid arguments", mistakes)
    return built


@contracts_app.command("check")
def check_contracts(
    ctx: typer.Context,
    files: Files,
    as_json: Json = False,
    offline: typing.Annotated[
        bool, typer.Option(help="Check the files alone, without a node.")
    ] = False,
) -> None:
    """Check contract files, also against the configuration in force."""
    operations = _load(files)
    content: api.Content = {"outcome": "valid", "revision": None}
    if not offline:
        content = _call(ctx, "POST", "/check", {"operations": operations})
    if as_json:
        _print_json(content)
        return
    against = "" if offline else f" against revision {content['revision']}"
    count = len(operations)
    typer.echo(f"{content['outcome']}{against}: {count} contracts and models")


@contracts_app.command("apply")
def apply_contracts(
    ctx: typer.Context,
    files: Files,
    expect: Expect = None,
    wait: Wait = DEFAULT_WAIT_S,
    author: Author = "",
    as_json: Json = False,
) -> None:
    """Put the contracts and models of files into force, all in one change.

    A change by another operator between the check and the write is refused. Give
    --expect with the revision that the files were prepared on to refuse changes
    since then as well.
    """
    operations = _load(files)
    if expect is None:
        checked = _call(ctx, "POST", "/check", {"operations": operations})
        expect = checked["revision"]
    _propose(ctx, operations, Options(expect, wait, _author(author)), as_json)


@contracts_app.command("remove")
def remove_contracts(
    ctx: typer.Context,
    teams: list[str],
    expect: Expect = None,
    wait: Wait = DEFAULT_WAIT_S,
    author: Author = "",
    as_json: Json = False,
) -> None:
    """Remove the contracts of teams; their requests are refused from then on."""
    operations = _build(change.RemoveContract, ({"team": t} for t in teams))
    options = Options(expect, wait, _author(author))
    _propose(ctx, operations, options, as_json)


@contracts_app.command("show")
def show_contracts(
    ctx: typer.Context,
    team: typing.Annotated[str | None, typer.Argument()] = None,
    as_json: Json = False,
) -> None:
    """Show the contracts in force, or all of one team's."""
    content = _call(ctx, "GET", "/config")
    contracts = [c for c in content["contracts"] if team in (None, c["team"])]
    if team is not None and not contracts:
        known = ", ".join(c["team"] for c in content["contracts"]) or "none"
        _fail(Exit.REFUSED, f"no contract of team {team!r} (known: {known})")
    if as_json:
        _print_json({"revision": content["revision"], "contracts": contracts})
        return
    if team is not None:
        rows = [[name, value] for name, value in contracts[0].items()]
        _print_table(f"Contract of {team}", ["field", "value"], rows)
        return
    columns = ["team", "models", "services", "weight", "priority", "deadline_s"]
    title = f"Contracts at revision {content['revision']}"
    _print_table(title, columns, [[c[k] for k in columns] for c in contracts])


@contracts_app.command("history")
def show_history(
    ctx: typer.Context,
    after: typing.Annotated[
        int | None, typer.Option(min=0, help="Show changes after this revision.")
    ] = None,
    limit: typing.Annotated[int, typer.Option(min=1, max=500)] = 20,
    as_json: Json = False,
) -> None:
    """Show the newest changes, or those after a revision."""
    path = api.query("/changes", {"after": after, "limit": limit})
    content = _call(ctx, "GET", path)
    if as_json:
        _print_json(content)
        return
    rows: list[list[object]] = [
        [c["revision"], _time(c["wall"]), c["author"], _describe(c["operations"])]
        for c in content["changes"]
    ]
    _print_table("Changes", ["revision", "time (UTC)", "author", "change"], rows)


def _time(wall: float) -> str:
    made = datetime.datetime.fromtimestamp(wall, tz=datetime.UTC)
    return made.strftime("%Y-%m-%d %H:%M:%S")


def _describe(operations: list[api.Content]) -> str:
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


@contracts_app.command("hash-key")
def hash_key() -> None:
    """Read a bearer key from standard input and print its hash for a contract."""
    key = sys.stdin.readline().strip()
    if not key:
        _fail(Exit.INVALID, "standard input holds no key")
    typer.echo(contract.hash_key(key))


def _switch(
    ctx: typer.Context,
    kind: type[typing.Any],
    field: str,
    names: list[str],
    options: Options,
    as_json: bool,
) -> None:
    operations = _build(kind, ({field: name} for name in names))
    _propose(ctx, operations, options, as_json)


def _list_switches(
    ctx: typer.Context, known: str, out: str, title: str, as_json: bool
) -> None:
    content = _call(ctx, "GET", "/config")
    names = sorted({*content[known], *content[out]})
    rows: list[list[object]] = [
        [name, "out" if name in content[out] else "in", name in content[known]]
        for name in names
    ]
    if as_json:
        shown = [{"name": n, "state": s, "listed": k} for n, s, k in rows]
        _print_json({"revision": content["revision"], known: shown})
        return
    _print_table(title, ["name", "state", "in platform's list"], rows)


@zones_app.command("out")
def take_zones_out(
    ctx: typer.Context,
    zones: list[str],
    expect: Expect = None,
    wait: Wait = DEFAULT_WAIT_S,
    author: Author = "",
    force: Force = False,
    as_json: Json = False,
) -> None:
    """Take availability zones out of service; work in progress goes on."""
    options = Options(expect, wait, _author(author), force)
    _switch(ctx, change.ZoneOut, "zone", zones, options, as_json)


@zones_app.command("in")
def put_zones_in(
    ctx: typer.Context,
    zones: list[str],
    expect: Expect = None,
    wait: Wait = DEFAULT_WAIT_S,
    author: Author = "",
    as_json: Json = False,
) -> None:
    """Put availability zones back into service."""
    options = Options(expect, wait, _author(author))
    _switch(ctx, change.ZoneIn, "zone", zones, options, as_json)


@zones_app.command("list")
def list_zones(ctx: typer.Context, as_json: Json = False) -> None:
    """List availability zones and whether they are in service."""
    _list_switches(ctx, "zones", "zones_out", "Availability zones", as_json)


@instances_app.command("out")
def take_instances_out(
    ctx: typer.Context,
    instances: list[str],
    expect: Expect = None,
    wait: Wait = DEFAULT_WAIT_S,
    author: Author = "",
    force: Force = False,
    as_json: Json = False,
) -> None:
    """Take instances out of service; work in progress goes on."""
    options = Options(expect, wait, _author(author), force)
    _switch(ctx, change.InstanceOut, "instance", instances, options, as_json)


@instances_app.command("in")
def put_instances_in(
    ctx: typer.Context,
    instances: list[str],
    expect: Expect = None,
    wait: Wait = DEFAULT_WAIT_S,
    author: Author = "",
    as_json: Json = False,
) -> None:
    """Put instances back into service."""
    options = Options(expect, wait, _author(author))
    _switch(ctx, change.InstanceIn, "instance", instances, options, as_json)


@instances_app.command("list")
def list_instances(ctx: typer.Context, as_json: Json = False) -> None:
    """List instances and whether they are in service."""
    _list_switches(ctx, "instances", "instances_out", "Instances", as_json)


@models_app.command("put")
def put_model(
    ctx: typer.Context,
    name: str,
    weight_version: typing.Annotated[
        str,
        typer.Option(
            help="Version that engines are ordered to load; empty leaves it to them."
        ),
    ] = "",
    tokenizer: str = "bytes4",
    adapter: str = "",
    expect: Expect = None,
    wait: Wait = DEFAULT_WAIT_S,
    author: Author = "",
    as_json: Json = False,
) -> None:
    """Create or replace a model; new requests use its weight version."""
    fields = {
        "name": name,
        "weight_version": weight_version,
        "tokenizer": tokenizer,
        "adapter": adapter,
    }
    operations = _build(change.PutModel, [{"model": fields}])
    options = Options(expect, wait, _author(author))
    _propose(ctx, operations, options, as_json)


@models_app.command("list")
def list_models(ctx: typer.Context, as_json: Json = False) -> None:
    """List the models in force."""
    content = _call(ctx, "GET", "/config")
    if as_json:
        _print_json({"revision": content["revision"], "models": content["models"]})
        return
    _print_rows(f"Models at revision {content['revision']}", content["models"])


@app.command("status")
def show_status(ctx: typer.Context, as_json: Json = False) -> None:
    """Show nodes with their revision, upstreams, leases and queues."""
    content = _call(ctx, "GET", "/status")
    if as_json:
        _print_json(content)
        return
    current = content["currency"]
    state = f"current by rule {current['rule']}" if current["current"] else "refusing"
    reason = "" if current["current"] else f": {current['reason']}"
    number = content["revision"]
    typer.echo(f"{content['node']}: revision {number}, {state}{reason}")
    for name in ("nodes", "upstreams", "leases", "queues"):
        _print_rows(name.capitalize(), content[name])


@quarantine_app.command("list")
def list_quarantine(ctx: typer.Context, as_json: Json = False) -> None:
    """List quarantined requests by fingerprint."""
    content = _call(ctx, "GET", "/quarantine")
    if as_json:
        _print_json(content)
    else:
        _print_rows("Quarantined", content["quarantined"])


@quarantine_app.command("release")
def release_quarantine(
    ctx: typer.Context, fingerprint: str, author: Author = "", as_json: Json = False
) -> None:
    """Let a quarantined request run again."""
    body = {"fingerprint": fingerprint, "author": _author(author)}
    content = _call(ctx, "POST", "/quarantine/release", body)
    if as_json:
        _print_json(content)
    else:
        typer.echo(f"released {fingerprint}")


@claims_app.command("list")
def list_claims(ctx: typer.Context, as_json: Json = False) -> None:
    """List orders of which nobody knows whether they ran."""
    content = _call(ctx, "GET", "/claims")
    if as_json:
        _print_json(content)
    else:
        _print_rows("Unknown claims", content["claims"])


@claims_app.command("settle")
def settle_claim(
    ctx: typer.Context,
    team: str,
    key: str,
    ran: typing.Annotated[
        bool,
        typer.Option(
            "--ran/--not-run",
            help="What the upstream's records say; --not-run lets the order run again.",
            show_default=False,
        ),
    ],
    author: Author = "",
    as_json: Json = False,
) -> None:
    """Record whether an unknown order ran; look at the upstream's records first."""
    body = {
        "team": team,
        "key": key,
        "ran": ran,
        "author": _author(author),
    }
    content = _call(ctx, "POST", "/claims/settle", body)
    if as_json:
        _print_json(content)
    else:
        typer.echo(f"settled {team}/{key} as {'ran' if ran else 'not run'}")


def run() -> None:
    """Run the command."""
    app()

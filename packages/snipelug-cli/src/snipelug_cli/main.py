"""Command line for operators.

Exit codes: 0 success; 1 refused by the node; 2 usage error or invalid input, with all
errors listed; 3 no usable answer from any node; 4 accepted, but not in force on all
members before the timeout.
"""

import pathlib
import sys
import typing

import typer

from snipelug_cli import (
    api,
    calls,
    deployment,
    document,
    explain,
    output,
    proposal,
    switches,
    where,
)
from snipelug_core import change, contract

HELP = """Operate snipelug: contracts, zones, instances, models, status.

Exit codes: 0 success; 1 refused by the node; 2 usage error or invalid input; 3 no
usable answer from any node; 4 accepted, but not in force on all members before the
timeout.
"""
app = typer.Typer(help=HELP, no_args_is_help=True, pretty_exceptions_enable=False)
contracts_app = typer.Typer(help="Manage the contracts of teams.", no_args_is_help=True)
zones_app = typer.Typer(
    help="Take availability zones out of service.", no_args_is_help=True
)
instances_app = typer.Typer(
    help="Take single instances out of service.", no_args_is_help=True
)
models_app = typer.Typer(
    help="Manage the models that are served.", no_args_is_help=True
)
quarantine_app = typer.Typer(help="Manage requests that crash upstreams.")
claims_app = typer.Typer(help="Settle orders with an unknown outcome.")
app.add_typer(contracts_app, name="contracts")
app.add_typer(zones_app, name="zones")
app.add_typer(instances_app, name="instances")
app.add_typer(models_app, name="models")
app.add_typer(quarantine_app, name="quarantine")
app.add_typer(claims_app, name="claims")
app.command("explain")(explain.explain)
app.command("platform")(deployment.show)
app.command("where")(where.where)
switches.add_commands(zones_app, switches.ZONES)
switches.add_commands(instances_app, switches.INSTANCES)

Files = typing.Annotated[
    list[pathlib.Path], typer.Argument(help="Contract files in JSON or TOML.")
]


@app.callback()
def configure(
    ctx: typer.Context,
    url: typing.Annotated[
        str,
        typer.Option(
            envvar="SNIPELUG_ADMIN_URL",
            help="Admin URLs of nodes, http://HOST:PORT, comma-separated.",
        ),
    ] = "http://127.0.0.1:8081",
    key: typing.Annotated[
        str,
        typer.Option(envvar="SNIPELUG_ADMIN_KEY", help="Bearer key of the admin API."),
    ] = "",
) -> None:
    """Store the admin URLs and the bearer key for the commands."""
    urls = tuple(part.strip() for part in url.split(",") if part.strip())
    ctx.obj = api.Settings(urls, key)


def _load_operations(files: list[pathlib.Path]) -> tuple[change.Operation, ...]:
    loaded = document.load(files)
    if isinstance(loaded, document.LoadErrors):
        calls.fail(calls.ExitCode.INVALID, "the files are invalid", loaded.messages)
    return loaded.operations


@contracts_app.command("check")
def check_contracts(
    ctx: typer.Context,
    files: Files,
    as_json: output.JsonOption = False,
    offline: typing.Annotated[
        bool, typer.Option(help="Check only the files, without calling a node.")
    ] = False,
) -> None:
    """Check contract files, by default also against the configuration in force."""
    operations = _load_operations(files)
    content: api.Content = {"outcome": "valid", "revision": None}
    if not offline:
        content = calls.call(ctx, "POST", "/check", {"operations": operations})
    if as_json:
        output.print_json(content)
        return
    against = "" if offline else f" against revision {content['revision']}"
    count = len(operations)
    typer.echo(f"{content['outcome']}{against}: {count} contracts and models")


@contracts_app.command("apply")
def apply_contracts(
    ctx: typer.Context,
    files: Files,
    expect: proposal.ExpectOption = None,
    wait: proposal.WaitOption = proposal.DEFAULT_WAIT_S,
    author: proposal.AuthorOption = "",
    as_json: output.JsonOption = False,
) -> None:
    """Apply the contracts and models in the files as a single change.

    The command fails if another operator makes a change between the check and the
    write. To fail on any change since the files were prepared, pass the revision
    they are based on as --expect.
    """
    operations = _load_operations(files)
    if expect is None:
        checked = calls.call(ctx, "POST", "/check", {"operations": operations})
        expect = checked["revision"]
    proposal.propose(
        ctx,
        operations,
        proposal.Options(expect, wait, proposal.resolve_author(author)),
        as_json,
    )


@contracts_app.command("remove")
def remove_contracts(
    ctx: typer.Context,
    teams: list[str],
    expect: proposal.ExpectOption = None,
    wait: proposal.WaitOption = proposal.DEFAULT_WAIT_S,
    author: proposal.AuthorOption = "",
    as_json: output.JsonOption = False,
) -> None:
    """Remove the contracts of teams; further requests of the teams are refused."""
    operations = proposal.build_operations(
        change.RemoveContract, ({"team": t} for t in teams)
    )
    options = proposal.Options(expect, wait, proposal.resolve_author(author))
    proposal.propose(ctx, operations, options, as_json)


@contracts_app.command("show")
def show_contracts(
    ctx: typer.Context,
    team: typing.Annotated[str | None, typer.Argument()] = None,
    as_json: output.JsonOption = False,
) -> None:
    """List the contracts in force, or show all fields of one team's contract."""
    content = calls.call(ctx, "GET", "/config")
    contracts = [c for c in content["contracts"] if team in (None, c["team"])]
    if team is not None and not contracts:
        known = ", ".join(c["team"] for c in content["contracts"]) or "none"
        calls.fail(
            calls.ExitCode.REFUSED, f"no contract of team {team!r} (known: {known})"
        )
    if as_json:
        output.print_json({"revision": content["revision"], "contracts": contracts})
        return
    if team is not None:
        rows = [[name, value] for name, value in contracts[0].items()]
        output.print_table(f"Contract of {team}", ["field", "value"], rows)
        return
    columns = ["team", "models", "services", "weight", "priority", "deadline_s"]
    title = f"Contracts at revision {content['revision']}"
    output.print_table(title, columns, [[c[k] for k in columns] for c in contracts])


@contracts_app.command("history")
def show_history(
    ctx: typer.Context,
    after: typing.Annotated[
        int | None, typer.Option(min=0, help="Show only changes after this revision.")
    ] = None,
    limit: typing.Annotated[int, typer.Option(min=1, max=500)] = 20,
    as_json: output.JsonOption = False,
) -> None:
    """Show the latest changes, or those after a revision."""
    path = api.add_query("/changes", {"after": after, "limit": limit})
    content = calls.call(ctx, "GET", path)
    if as_json:
        output.print_json(content)
        return
    rows: list[list[object]] = [
        [
            c["revision"],
            output.format_time(c["wall"]),
            c["author"],
            output.format_operations(c["operations"]),
        ]
        for c in content["changes"]
    ]
    output.print_table("Changes", ["revision", "time (UTC)", "author", "change"], rows)


@contracts_app.command("hash-key")
def hash_key() -> None:
    """Read a bearer key from standard input and print its hash for a contract."""
    key = sys.stdin.readline().strip()
    if not key:
        calls.fail(calls.ExitCode.INVALID, "no key on standard input")
    typer.echo(contract.hash_key(key))


@models_app.command("put")
def put_model(
    ctx: typer.Context,
    name: str,
    weight_version: typing.Annotated[
        str,
        typer.Option(
            help="Version that engines must load; if empty, they choose their own."
        ),
    ] = "",
    tokenizer: str = "bytes4",
    adapter: str = "",
    expect: proposal.ExpectOption = None,
    wait: proposal.WaitOption = proposal.DEFAULT_WAIT_S,
    author: proposal.AuthorOption = "",
    as_json: output.JsonOption = False,
) -> None:
    """Create or replace a model; new requests use the given weight version."""
    fields = {
        "name": name,
        "weight_version": weight_version,
        "tokenizer": tokenizer,
        "adapter": adapter,
    }
    operations = proposal.build_operations(change.PutModel, [{"model": fields}])
    options = proposal.Options(expect, wait, proposal.resolve_author(author))
    proposal.propose(ctx, operations, options, as_json)


@models_app.command("list")
def list_models(ctx: typer.Context, as_json: output.JsonOption = False) -> None:
    """List the models in force."""
    content = calls.call(ctx, "GET", "/config")
    if as_json:
        output.print_json(
            {"revision": content["revision"], "models": content["models"]}
        )
        return
    output.print_rows(f"Models at revision {content['revision']}", content["models"])


@app.command("status")
def show_status(ctx: typer.Context, as_json: output.JsonOption = False) -> None:
    """Show the nodes and their revisions, upstreams, leases and queues."""
    content = calls.call(ctx, "GET", "/status")
    if as_json:
        output.print_json(content)
        return
    current = content["currency"]
    state = f"current by rule {current['rule']}" if current["current"] else "refusing"
    reason = "" if current["current"] else f": {current['reason']}"
    number = content["revision"]
    typer.echo(f"{content['node']}: revision {number}, {state}{reason}")
    for name in ("nodes", "upstreams", "leases", "queues"):
        output.print_rows(name.capitalize(), content[name])


@quarantine_app.command("list")
def list_quarantine(ctx: typer.Context, as_json: output.JsonOption = False) -> None:
    """List the fingerprints of quarantined requests."""
    content = calls.call(ctx, "GET", "/quarantine")
    if as_json:
        output.print_json(content)
    else:
        output.print_rows("Quarantined", content["quarantined"])


@quarantine_app.command("release")
def release_quarantine(
    ctx: typer.Context,
    fingerprint: str,
    author: proposal.AuthorOption = "",
    as_json: output.JsonOption = False,
) -> None:
    """Release a request from quarantine, so that it can run again."""
    body = {"fingerprint": fingerprint, "author": proposal.resolve_author(author)}
    content = calls.call(ctx, "POST", "/quarantine/release", body)
    if as_json:
        output.print_json(content)
    else:
        typer.echo(f"released {fingerprint}")


@claims_app.command("list")
def list_claims(ctx: typer.Context, as_json: output.JsonOption = False) -> None:
    """List orders for which it is unknown whether they ran."""
    content = calls.call(ctx, "GET", "/claims")
    if as_json:
        output.print_json(content)
    else:
        output.print_rows("Unknown claims", content["claims"])


@claims_app.command("settle")
def settle_claim(
    ctx: typer.Context,
    team: str,
    key: str,
    ran: typing.Annotated[
        bool,
        typer.Option(
            "--ran/--not-run",
            help="Whether the upstream ran the order; --not-run lets it run again.",
            show_default=False,
        ),
    ],
    author: proposal.AuthorOption = "",
    as_json: output.JsonOption = False,
) -> None:
    """Settle whether an order ran; check the records of the upstream first."""
    body = {
        "team": team,
        "key": key,
        "ran": ran,
        "author": proposal.resolve_author(author),
    }
    content = calls.call(ctx, "POST", "/claims/settle", body)
    if as_json:
        output.print_json(content)
    else:
        typer.echo(f"settled {team}/{key} as {'ran' if ran else 'not run'}")


def run() -> None:
    """Entry point of the `snipelug` command."""
    app()

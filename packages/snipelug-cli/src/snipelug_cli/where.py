"""Command that explains where a request would be sent now, without sending it."""

import typing
import urllib.parse

import msgspec
import trio
import typer

from snipelug_cli import api, calls, output
from snipelug_net import http_client
from snipelug_platform import settings

TIMEOUT_S = 2.0
"""Timeout for the answer of the node."""

HTTP_OK = 200
BAD_REQUEST = 400


async def ask(
    addr: http_client.Address, query: dict[str, object]
) -> api.Content | str | http_client.NotSent:
    """Return a node's explanation, its error, or why it did not answer."""
    given = {name: value for name, value in query.items() if value not in (None, "")}
    target = f"/where?{urllib.parse.urlencode(given)}"
    call = http_client.Call(addr, "GET", target, timeout_s=TIMEOUT_S)
    result = await http_client.Pool(TIMEOUT_S).fetch(call)
    if not isinstance(result, http_client.FullResponse):
        return http_client.NotSent(getattr(result, "reason", "no answer"))
    try:
        content = msgspec.json.decode(result.body, type=dict[str, typing.Any])
    except msgspec.DecodeError as exc:
        return http_client.NotSent(f"status {result.status}, not readable: {exc}")
    if result.status == BAD_REQUEST:
        return str(content.get("error", "the node refused the question"))
    if result.status != HTTP_OK:
        return http_client.NotSent(f"status {result.status}")
    return content


def where(
    node: typing.Annotated[
        str, typer.Option(help="Metrics address of the node.", metavar="IP:PORT")
    ],
    host: typing.Annotated[str, typer.Option(help="Host of the route.")],
    path: typing.Annotated[str, typer.Option(help="Path of the request.")],
    team: typing.Annotated[str, typer.Option(help="Name of the team.")] = "",
    service: typing.Annotated[
        str, typer.Option(help="Service, if the route has several.")
    ] = "",
    model: typing.Annotated[str, typer.Option(help="Model of a prompt.")] = "",
    parts: typing.Annotated[
        str, typer.Option(help="Parts of the prompt, ID:TOKENS separated by commas.")
    ] = "",
    output_tokens: typing.Annotated[int, typer.Option(min=0)] = 0,
    body_bytes: typing.Annotated[int, typer.Option(min=0)] = 0,
    left_s: typing.Annotated[
        float | None, typer.Option(min=0.0, help="Time that the caller would wait.")
    ] = None,
    as_json: output.JsonOption = False,
) -> None:
    """Explain where a request would be sent now, without sending it."""
    addr = settings.parse_address(node)
    if isinstance(addr, settings.InvalidSettings):
        calls.fail(calls.ExitCode.INVALID, f"--node {node!r} is not IP:PORT")
    query: dict[str, object] = {
        "host": host,
        "path": path,
        "team": team,
        "service": service,
        "model": model,
        "parts": parts,
        "output_tokens": output_tokens,
        "body_bytes": body_bytes,
        "left_s": left_s,
    }
    found = trio.run(ask, addr, query)
    if isinstance(found, http_client.NotSent):
        reason = f"the node does not answer: {found.reason}"
        calls.fail(calls.ExitCode.UNREACHABLE, reason)
    if isinstance(found, str):
        calls.fail(calls.ExitCode.REFUSED, found)
    if as_json:
        output.print_json(found)
        return
    rows = [[k, v] for k, v in found.items() if k not in ("upstreams", "excluded")]
    output.print_table("Decision", ("what", "value"), rows)
    output.print_rows("Upstreams, the cheapest first", found["upstreams"])
    excluded = [{"upstream": k, "why": v} for k, v in found["excluded"].items()]
    output.print_rows("Excluded", excluded)

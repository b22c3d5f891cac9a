"""Explanation of the outcome of a request, derived from the logs of nodes."""

import collections.abc
import dataclasses
import pathlib
import typing

import msgspec
import typer

from snipelug_cli import calls, output
from snipelug_core import refusal

CONTEXT_WINDOW_S = 3.0
"""Events this long before the request are included; covers one round of orders."""

STATE_EVENTS = frozenset(
    {
        "configuration",
        "history_lost",
        "lease_not_taken",
        "lease_taken",
        "members",
        "order",
        "reload",
        "kv_store_epoch",
        "kv_store_lost",
        "start",
        "stop",
        "stopped",
        "store_lost",
        "store_regained",
        "upstream",
        "upstream_blocked",
        "upstream_limited",
        "weights_named",
        "zones_out",
    }
)
"""Events that change the state on which a node bases its decisions."""

Line = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Explanation:
    """The log lines that explain a request.

    Attributes
    ----------
    request : dict
        The log line of the request itself.
    beliefs : list of dict
        State changes of the same node during and shortly before the request, and
        those that named the limits for which it was refused, also earlier ones, and
        the responses that were discarded on its connections.
    verdict : str
        Human-readable summary.
    """

    request: Line
    beliefs: list[Line]
    verdict: str


def read_lines(files: collections.abc.Iterable[pathlib.Path]) -> list[Line]:
    """Read JSON log lines; skip text before the JSON, and lines without any."""
    lines = []
    for path in files:
        for text in path.read_text(errors="replace").splitlines():
            start = text.find('{"t":')
            if start < 0:
                continue
            try:
                found = msgspec.json.decode(text[start:])
            except msgspec.DecodeError:
                continue
            if isinstance(found, dict) and "event" in found:
                lines.append(found)
    return sorted(lines, key=lambda line: float(line["t"]))


def build_explanation(lines: list[Line], request_id: str) -> Explanation | None:
    """Explain a request; return None if no log line has its id."""
    named = [
        line
        for line in lines
        if line["event"] == "request" and str(line.get("id")) == request_id
    ]
    if not named:
        return None
    request = named[-1]
    end = float(request["t"])
    begin = end - float(request.get("ms") or 0.0) / 1000 - CONTEXT_WINDOW_S
    before = [
        line
        for line in lines
        if line["node"] == request["node"] and float(line["t"]) <= end
    ]
    namings = _find_namings(before)
    verdict = _verdict(request)
    decisive: list[Line] = []
    if request.get("code") == refusal.UPSTREAM_LIMITED.code:
        limits = _find_limits(request, namings)
        verdict = " ".join([verdict, *_describe_limits(limits, namings, end)])
        decisive = [namings[name] for name in limits if name in namings]
    discards = _find_discards(before, request)
    if discards:
        verdict += f" {len(discards)} responses were discarded on its connections."
        decisive += discards
    beliefs = [
        line
        for line in before
        if (line["event"] in STATE_EVENTS and begin <= float(line["t"]))
        or any(line is item for item in decisive)
    ]
    return Explanation(request, beliefs, verdict)


def _find_namings(lines: list[Line]) -> dict[str, Line]:
    """Return the last event on the limit of each upstream, by upstream."""
    return {
        str(line.get("upstream")): line
        for line in lines
        if line["event"] == "upstream_limited"
    }


def _find_discards(before: list[Line], request: Line) -> list[Line]:
    """Return the responses that were discarded on the connections of a request.

    Numbers of connections start anew with each process.
    """
    attempts = request.get("attempts") or []
    used = {item["connection"] for item in attempts if "connection" in item}
    starts = (i for i, line in enumerate(before) if line["event"] == "start")
    own_process = before[max(starts, default=0) :]
    request_id = str(request.get("id"))
    return [
        line
        for line in own_process
        if line["event"] == "response_discarded"
        and (line.get("connection") in used or line.get("due") == request_id)
    ]


def _find_limits(request: Line, namings: dict[str, Line]) -> dict[str, Line]:
    """Return the limits for which a request was refused, by upstream."""
    logged = request.get("limits")
    if isinstance(logged, list):
        return {
            str(item["upstream"]): item
            for item in logged
            if isinstance(item, dict) and "upstream" in item
        }
    return {
        name: line for name, line in namings.items() if line.get("per_s") is not None
    }


def _describe_limits(
    limits: dict[str, Line], namings: dict[str, Line], end: float
) -> collections.abc.Iterator[str]:
    for name, limit in limits.items():
        naming = namings.get(name)
        when = "; the files do not tell when it named it"
        if naming is not None:
            via = " to another node" if naming.get("source") == "node" else ""
            when = f", named{via} {end - float(naming['t']):.2f} s before"
        opens = limit.get("opens_in_s")
        wait = f"; the next one could be sent after {opens} s" if opens else ""
        yield f"{name} takes {limit.get('per_s')} requests/s of all nodes{when}{wait}."


def _verdict(request: Line) -> str:
    """Summarize the outcome of the request and its cause in one sentence."""
    attempts = request.get("attempts") or []
    last = attempts[-1] if attempts else {}
    where = f"at {last['upstream']}" if last else "before any upstream was asked"
    reason = request.get("reason") or last.get("reason") or "no reason was logged"
    match request.get("outcome"):
        case "refused":
            return f"Refused {where} after {len(attempts)} attempts: {reason}."
        case "failed" | "broken":
            return f"Failed {where} in attempt {len(attempts)}: {reason}."
        case "left":
            return f"The caller left {where} after {request.get('ms')} ms."
        case "cut":
            return f"Cut {where} after {request.get('ms')} ms: {reason}."
        case "answered" if last:
            return (
                f"Answered by {last['upstream']}: first byte after "
                f"{request.get('first_ms')} ms; sent at {last.get('at_ms')} ms, "
                f"{last.get('cost_ms')} ms were expected there with "
                f"{last.get('prefill', 0)} prompt tokens to read and "
                f"{last.get('running')} requests of this node."
            )
    return f"Outcome {request.get('outcome')}: {reason}."


def explain(
    request_id: typing.Annotated[str, typer.Argument(help="ID of the request.")],
    files: typing.Annotated[
        list[pathlib.Path], typer.Argument(help="Log files of nodes.")
    ],
    as_json: output.JsonOption = False,
) -> None:
    """Show the log lines about a request and the cause of its outcome."""
    try:
        lines = read_lines(files)
    except OSError as exc:
        calls.fail(calls.ExitCode.INVALID, "a log file cannot be read", (str(exc),))
    found = build_explanation(lines, request_id)
    if found is None:
        message = (
            f"no log line for request {request_id}; routine lines are sampled, so a "
            "request that was answered in time may have none"
        )
        calls.fail(calls.ExitCode.REFUSED, message)
    if as_json:
        output.print_json(dataclasses.asdict(found))
        return
    typer.echo(found.verdict)
    request = found.request
    rows: list[list[object]] = [
        [name, request.get(name)]
        for name in (
            "node",
            "route",
            "team",
            "outcome",
            "code",
            "first_ms",
            "ms",
            "allowed_ms",
            "config",
            "config_age_s",
        )
    ]
    output.print_table("Request", ("field", "value"), rows)
    columns = ("upstream", "at_ms", "cost_ms", "candidates", "version", "result")
    output.print_table(
        "Attempts",
        (*columns, "reason"),
        [
            [attempt.get(column) for column in (*columns, "reason")]
            for attempt in request.get("attempts") or []
        ],
    )
    output.print_table(
        f"State changes of {request['node']} before the end of the request",
        ("seconds before end", "event", "details"),
        [
            [
                round(float(request["t"]) - float(line["t"]), 3),
                line["event"],
                _format_details(line),
            ]
            for line in found.beliefs
        ],
    )


def _format_details(line: Line) -> str:
    hidden = {"t", "level", "node", "logger", "event"}
    return ", ".join(f"{k}={v}" for k, v in line.items() if k not in hidden)

"""Explains where a request would be sent now, without sending it.

The estimates are those of the real decision. Nothing is counted, and no permit or
retry is taken, so a preview changes nothing for callers.
"""

import dataclasses
import math
import re

from snipelug_core import catalog, choice, refusal
from snipelug_relay import clock, job, ports, selection, state

PART_PATTERN = re.compile(r"([0-9a-fA-F]{1,64}):([0-9]{1,9})")
NUMBER_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
MAX_PARTS = 1_000


@dataclasses.dataclass(frozen=True)
class Query:
    """The request to explain.

    Attributes
    ----------
    team : str
        Name of the caller's team; empty for a caller without one.
    service : str
        Service of the route; empty for the first one.
    left_s : float
        Time that the caller would wait, in seconds.
    """

    host: str
    path: str
    team: str = ""
    service: str = ""
    model: str = ""
    parts: tuple[choice.PromptPart, ...] = ()
    output_tokens: int = 0
    body_bytes: int = 0
    left_s: float = math.inf


def parse(query: dict[str, str]) -> Query | str:
    """Return the query of a URL, or what is wrong with it."""
    unknown = query.keys() - {
        "host",
        "path",
        "team",
        "service",
        "model",
        "parts",
        "output_tokens",
        "body_bytes",
        "left_s",
    }
    if unknown:
        return f"unknown parameters: {', '.join(sorted(unknown))}"
    numbers: dict[str, float] = {}
    for name in ("output_tokens", "body_bytes", "left_s"):
        text = query.get(name, "")
        if text and NUMBER_PATTERN.fullmatch(text) is None:
            return f"{name} is no number: {text!r}"
        if text:
            numbers[name] = float(text)
    parts = []
    for text in filter(None, query.get("parts", "").split(",", MAX_PARTS)):
        match = PART_PATTERN.fullmatch(text.strip())
        if match is None:
            return f"a part of a prompt is not ID:TOKENS: {text[:80]!r}"
        parts.append(choice.PromptPart(match[1], int(match[2])))
    if not query.get("host") or not query.get("path"):
        return "host and path are required"
    return Query(
        query["host"].lower(),
        query["path"],
        query.get("team", ""),
        query.get("service", ""),
        query.get("model", ""),
        tuple(parts),
        int(numbers.get("output_tokens", 0)),
        int(numbers.get("body_bytes", 0)),
        numbers.get("left_s", math.inf),
    )


class Preview:
    """Explains decisions with the state of a node."""

    def __init__(self, cfg: ports.Settings, node_state: state.State) -> None:
        self._state = node_state
        self._selector = selection.Selector(cfg, node_state)

    def explain(self, query: Query) -> dict[str, object] | str:
        """Return the decision on a request, or why there is none."""
        known = self._state.catalog
        if known is None:
            return "the node has not read its configuration"
        route = known.find_route(query.host, query.path)
        if isinstance(route, refusal.Refusal):
            return route.message
        teams = {team.name: team for team in known.teams}
        if query.team and query.team not in teams:
            return f"no team {query.team!r} is configured"
        services = [name for name, _ in route.services]
        if query.service and query.service not in services:
            return f"the route has no service {query.service!r}: {', '.join(services)}"
        now = clock.now()
        work = self._build_job(query, route, teams.get(query.team), known, now)
        ranked, excluded = self._selector.candidates(work, now)
        answer: dict[str, object] = {
            "route": route.name,
            "service": work.service,
            "services": dict(route.services),
            "priority": work.priority,
            "configuration": known.version,
            "configuration_age_s": round(now - self._state.confirmed_at, 2),
            "upstreams": [_upstream_row(item, now) for item in ranked],
            "excluded": excluded,
        }
        return answer | self._decide(work, ranked)

    def _decide(self, work: job.Job, ranked: list[choice.Choice]) -> dict[str, object]:
        """Return the decision by the best upstream.

        With many nodes, a request is compared at some of the upstreams only, so it may
        go to one of the next in order.
        """
        if not ranked:
            reason = f"no upstream of {work.service} is available"
            code = refusal.NO_UPSTREAM.code
            return {"decision": "refuse", "code": code, "reason": reason}
        best = ranked[0]
        wait_s = self._selector.retry_after(work, best)
        if wait_s is not None:
            return {
                "decision": "refuse",
                "code": refusal.OVERLOADED.code,
                "reason": f"expected wait is {best.wait_s:.2f} s on the best upstream",
                "retry_after_s": round(wait_s, 2),
            }
        return {
            "decision": "send",
            "upstream": best.upstream.entry.id,
            "reason": f"lowest expected cost of {len(ranked)} upstreams",
        }

    def _build_job(
        self,
        query: Query,
        route: catalog.Route,
        team: catalog.Team | None,
        known: catalog.Catalog,
        now: float,
    ) -> job.Job:
        request = ports.CallerRequest(
            request_id="",
            method="POST",
            target=query.path,
            host=query.host,
            path=query.path,
            key=None,
            time_left_s=query.left_s,
            resume_after=None,
            model=query.model,
            parts=query.parts,
            output_tokens=query.output_tokens,
            forwarded_headers=(),
            body=bytes(min(query.body_bytes, known.limits.body_bytes)),
        )
        deadline = now + min(query.left_s, route.timeout_s)
        service = query.service or route.services[0][0]
        return job.Job(
            request,
            route,
            team,
            service,
            now,
            deadline,
            deadline,
            service_cfg=known.services.get(service),
            is_transfer_probe=False,
        )


def _upstream_row(item: choice.Choice, now: float) -> dict[str, object]:
    upstream = item.upstream
    load = upstream.load
    return {
        "upstream": upstream.entry.id,
        "zone": upstream.entry.zone,
        "cost_ms": round(1000 * item.cost_s, 1),
        "wait_ms": round(1000 * item.wait_s, 1),
        "read_ms": round(1000 * item.read_s, 1) if item.ttft_s else None,
        "prefill": item.prefill_tokens,
        "fetched": sorted(item.transfer_times_s),
        "slowness": round(item.slowness, 2),
        "own_running": upstream.running,
        "reported": None if load is None else f"{load.running}+{load.waiting}",
        "report_age_s": None if load is None else round(now - load.at, 2),
    }

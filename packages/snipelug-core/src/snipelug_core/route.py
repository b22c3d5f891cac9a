"""Choice of an upstream by expected time to first token and recomputed tokens."""

import collections
import collections.abc
import dataclasses
import enum
import math
import random
import typing

from snipelug_core import block, contract, index, link, table

TIE_S = 0.002
TIE_SHARE = 0.03
"""Scores this close count as equal: load reports lag by more than that."""

TIE_CANDIDATES = 4


@dataclasses.dataclass(frozen=True)
class Mode:
    """Weights of the aims that a deployment balances.

    Attributes
    ----------
    name : str
        Name in settings and log lines.
    ttft : float
        Weight of a second until the first token.
    recompute : float
        Additional weight of a second of prefill that a cache could have saved.
    spread : float
        Weight of a second copy of a prompt's blocks outside the zone.
    """

    name: str
    ttft: float
    recompute: float
    spread: float


MODES: collections.abc.Mapping[str, Mode] = {
    "ttft": Mode("ttft", ttft=1.0, recompute=1.0, spread=0.25),
    "reuse": Mode("reuse", ttft=1.0, recompute=3.0, spread=1.0),
}
"""Even for TTFT a second of prefill counts twice: once for its own request, once for
the requests that queue behind it. A weight of 0.25 gave a higher p95."""


@dataclasses.dataclass(frozen=True)
class Profile:
    """What is known of upstreams of one kind; fields as in `Target`."""

    serves: frozenset[str]
    slots: int = 1
    service_s: float = 1.0
    prefill_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Target:
    """An upstream as a routing decision sees it.

    Attributes
    ----------
    serves : frozenset of str
        Models of an engine, or the name of a plain service.
    queue : int
        Estimated requests running and waiting (``load.estimate_queue``).
    slots : int
        Requests that the upstream runs at once.
    service_s : float
        Mean time that a request occupies a slot, in seconds.
    prefill_s : float
        Prefill of one token, in seconds.
    backlog_s : float
        Prefill ahead of a new request (`prefill.Backlog.estimate_s`), in seconds.
    weight_version : str
        Version that new requests run on; empty if unknown.
    needs_grant : bool
        The upstream counts as cold.
    suspects : int
        Requests with one crash that run there now.
    """

    id: str
    zone: str
    serves: frozenset[str]
    queue: int = 0
    slots: int = 1
    service_s: float = 1.0
    prefill_s: float = 0.0
    backlog_s: float = 0.0
    weight_version: str = ""
    leaving: bool = False
    needs_grant: bool = False
    granted: bool = False
    suspects: int = 0

    def wait_s(self) -> float:
        """Return the expected time until the prefill of a new request, in seconds."""
        ahead = self.queue + 1 - self.slots
        return max(0, ahead) * self.service_s / self.slots + self.backlog_s


@dataclasses.dataclass(frozen=True)
class Request:
    """What a routing decision needs to know of a request.

    Attributes
    ----------
    wants : str
        Model or plain service.
    weight_version : str
        Weight version that the block keys are bound to; empty for a service.
    chain : block.Chain or None
        The prompt's identity in the cache; None for a service.
    suspect : bool
        The request has crashed an upstream once.
    excluded : frozenset of str
        Upstreams that this request has already failed on.
    """

    id: str
    team: str
    wants: str
    weight_version: str = ""
    chain: block.Chain | None = None
    suspect: bool = False
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Facts:
    """What a node knows when it decides.

    Attributes
    ----------
    delay_s : mapping of str to float
        One-way delay from this node to each zone, in seconds.
    links : mapping of (str, str) to link.Link
        Link by store and zone; a store without a link is not read.
    block_bytes : float
        Size of the KV cache of one block, in bytes.
    """

    cfg: contract.Config
    found: index.Found = index.Found()
    delay_s: collections.abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    links: collections.abc.Mapping[tuple[str, str], link.Link] = dataclasses.field(
        default_factory=dict
    )
    block_bytes: float = 0.0


# Filters.


class Reason(enum.StrEnum):
    """Why an upstream is no candidate."""

    OTHER_MODEL = "other_model"
    NOT_IN_CONTRACT = "not_in_contract"
    ZONE_OUT = "zone_out"
    INSTANCE_OUT = "instance_out"
    LEAVING = "leaving"
    COLD_WITHOUT_GRANT = "cold_without_grant"
    SUSPECT_RUNNING = "suspect_running"
    FAILED_BEFORE = "failed_before"
    OTHER_VERSION = "other_version"


@dataclasses.dataclass(frozen=True)
class Rejected:
    """An upstream that is no candidate, and why."""

    id: str
    reason: Reason


def reject(target: Target, req: Request, cfg: contract.Config) -> Reason | None:
    """Return why a request may not go to an upstream; None if it may."""
    agreed = cfg.contracts.get(req.team)
    if req.wants not in target.serves:
        return Reason.OTHER_MODEL
    if agreed is None or req.wants not in (*agreed.models, *agreed.services):
        return Reason.NOT_IN_CONTRACT
    if target.zone in cfg.zones_out:
        return Reason.ZONE_OUT
    if target.id in cfg.instances_out:
        return Reason.INSTANCE_OUT
    if target.leaving:
        return Reason.LEAVING
    if _is_other_version(target, req):
        return Reason.OTHER_VERSION
    if target.id in req.excluded:
        return Reason.FAILED_BEFORE
    if req.suspect and target.suspects:
        return Reason.SUSPECT_RUNNING
    if target.needs_grant and not target.granted:
        return Reason.COLD_WITHOUT_GRANT
    return None


def _is_other_version(target: Target, req: Request) -> bool:
    # An engine refuses a request that names a version that it does not run.
    known = bool(target.weight_version and req.weight_version)
    return known and target.weight_version != req.weight_version


def weight_versions(
    targets: collections.abc.Iterable[Target], model: str, expected: str
) -> list[str]:
    """Return the versions of a model that can be asked for, the best first.

    Vendors swap weights without notice, so the version that is configured may run
    nowhere. It comes first if it does, then the others by number of upstreams.
    """
    counts = collections.Counter(
        t.weight_version for t in targets if model in t.serves and t.weight_version
    )
    if not counts:
        return [expected]
    return sorted(counts, key=lambda v: (v != expected, -counts[v], v))


def screen(
    targets: collections.abc.Iterable[Target],
    req: Request,
    cfg: contract.Config,
    rejected: list[Rejected],
) -> collections.abc.Iterator[Target]:
    """Yield the upstreams that may run a request; append the others to a list."""
    for target in targets:
        reason = reject(target, req, cfg)
        if reason is None:
            yield target
        else:
            rejected.append(Rejected(target.id, reason))


# Cost of a candidate.


@dataclasses.dataclass(frozen=True)
class Fetch:
    """A block that the engine imports before it runs the request."""

    position: int
    copy: index.Stored


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An upstream with its expected cost for one request.

    Attributes
    ----------
    score : float
        Weighted cost in seconds; the lowest wins.
    wait_s, delay_s, fetch_s, prefill_s : float
        Parts of the expected time to first token, in seconds.
    memory_blocks, fetch_blocks : int
        Leading blocks in the upstream's memory, and following ones to import.
    recomputed_tokens : int
        Tokens of the prompt to prefill.
    """

    id: str
    zone: str
    score: float
    wait_s: float
    delay_s: float
    fetch_s: float
    prefill_s: float
    memory_blocks: int
    fetch_blocks: int
    recomputed_tokens: int

    @property
    def ttft_s(self) -> float:
        """Expected time to first token, in seconds."""
        return self.wait_s + self.delay_s + self.fetch_s + self.prefill_s


@dataclasses.dataclass(frozen=True)
class _Split:
    """How many blocks to have before the prefill of the rest starts."""

    blocks: int
    fetch_s: float


class _Splits:
    """Best split points of one prompt for the engines of one zone.

    All start points are solved in one pass from the end, so that the cost of a
    decision is blocks times zones and not blocks times candidates.
    """

    def __init__(self, facts: Facts, mode: Mode, zone: str, prefill_s: float) -> None:
        self.copies = list(_best_copies(facts, zone))
        count = len(self.copies)
        links = [path for _, path in self.copies]
        self._latency_s = max((k.latency_s for k in links if k), default=0.0)
        step_s = [
            facts.block_bytes / k.free_bytes_per_s if k else math.inf for k in links
        ]
        full_weight = mode.ttft + mode.recompute
        gain = full_weight * prefill_s * block.BLOCK_TOKENS
        # best[m] is the split with the lowest cost among those from m on, with the
        # cost and the fetch time counted from m.
        self._best = [(0.0, _Split(count, 0.0))]
        for m in range(count - 1, -1, -1):
            cost, split = self._best[-1]
            cost += mode.ttft * step_s[m] - gain
            further = _Split(split.blocks, split.fetch_s + step_s[m])
            stop = _Split(m, 0.0)
            self._best.append((cost, further) if cost < 0 else (0.0, stop))
        self._best.reverse()
        self._latency_cost = mode.ttft * self._latency_s

    def after(self, memory_blocks: int) -> _Split:
        """Return the best split for an engine that holds some leading blocks."""
        if memory_blocks >= len(self.copies):
            return _Split(memory_blocks, 0.0)
        cost, split = self._best[memory_blocks]
        if split.blocks == memory_blocks or cost + self._latency_cost >= 0:
            return _Split(memory_blocks, 0.0)
        return _Split(split.blocks, split.fetch_s + self._latency_s)


def _best_copies(
    facts: Facts, zone: str
) -> collections.abc.Iterator[tuple[index.Stored | None, link.Link | None]]:
    """Yield the copy of each leading block that arrives first in a zone."""
    for copies in facts.found.stored:
        links = [(c, facts.links.get((c.store, zone))) for c in copies]
        usable = [(c, k) for c, k in links if k and k.free_bytes_per_s > 0]
        if usable:
            yield max(usable, key=lambda pair: pair[1].free_bytes_per_s)
        else:
            yield None, None


def price(
    targets: collections.abc.Iterable[Target], req: Request, facts: Facts, mode: Mode
) -> collections.abc.Iterator[Candidate]:
    """Yield each upstream with its expected cost."""
    splits: dict[tuple[str, float], _Splits] = {}
    tokens = req.chain.tokens if req.chain else 0
    for target in targets:
        held = facts.found.memory.get(target.id, 0)
        split = _Split(held, 0.0)
        if facts.found.stored:
            name = (target.zone, target.prefill_s)
            if name not in splits:
                splits[name] = _Splits(facts, mode, *name)
            split = splits[name].after(held)
        rest = max(0, tokens - split.blocks * block.BLOCK_TOKENS)
        yield _candidate(target, held, split, rest, facts, mode)


def _candidate(
    target: Target, held: int, split: _Split, rest: int, facts: Facts, mode: Mode
) -> Candidate:
    wait_s = target.wait_s()
    delay_s = 2 * facts.delay_s.get(target.zone, 0.0)
    prefill_s = rest * target.prefill_s
    ttft_s = wait_s + delay_s + split.fetch_s + prefill_s
    return Candidate(
        id=target.id,
        zone=target.zone,
        score=mode.ttft * ttft_s + mode.recompute * prefill_s,
        wait_s=wait_s,
        delay_s=delay_s,
        fetch_s=split.fetch_s,
        prefill_s=prefill_s,
        memory_blocks=held,
        fetch_blocks=split.blocks - held,
        recomputed_tokens=rest,
    )


def plan_fetch(chosen: Candidate, facts: Facts) -> list[Fetch]:
    """Return the blocks that the chosen engine must import, in order."""
    first = chosen.memory_blocks
    last = first + chosen.fetch_blocks
    copies = list(_best_copies(facts, chosen.zone))[first:last]
    return [Fetch(i, c) for i, (c, _) in enumerate(copies, start=first) if c]


# The decision and its record.


class Why(enum.StrEnum):
    """Why the chosen candidate was taken."""

    ONLY = "only_candidate"
    LOWEST_SCORE = "lowest_score"
    TIE = "random_among_equal"
    TURN = "next_in_turn"
    SHORTEST_QUEUE = "shortest_queue"
    AFFINITY = "prefix_affinity"


@dataclasses.dataclass(frozen=True)
class Decision:
    """The chosen upstream, and what it was chosen from."""

    chosen: Candidate
    why: Why
    candidates: tuple[Candidate, ...]
    rejected: tuple[Rejected, ...]


@dataclasses.dataclass(frozen=True)
class NoUpstream:
    """No upstream may run the request."""

    rejected: tuple[Rejected, ...]

    def awaiting_grant(self) -> list[str]:
        """Return the upstreams that lack only a grant of a cold-start slot."""
        reason = Reason.COLD_WITHOUT_GRANT
        return [r.id for r in self.rejected if r.reason is reason]


class Router(typing.Protocol):
    """A way to choose an upstream."""

    @property
    def name(self) -> str:
        """Name in log lines."""
        ...

    def choose(
        self,
        req: Request,
        targets: collections.abc.Iterable[Target],
        facts: Facts,
        rng: random.Random,
    ) -> Decision | NoUpstream:
        """Choose among the upstreams of the node's subset."""
        ...


@dataclasses.dataclass(frozen=True)
class ByCost:
    """Choose the lowest weighted cost; equal scores are settled at random.

    The random choice keeps nodes with the same lagging reports from sending all
    their requests to the same upstream.
    """

    mode: Mode
    name: str = "cost"

    def choose(
        self,
        req: Request,
        targets: collections.abc.Iterable[Target],
        facts: Facts,
        rng: random.Random,
    ) -> Decision | NoUpstream:
        """Choose by expected cost."""
        rejected: list[Rejected] = []
        admitted = screen(targets, req, facts.cfg, rejected)
        priced = price(admitted, req, facts, self.mode)
        ranked = sorted(priced, key=lambda c: (c.score, c.id))
        if not ranked:
            return NoUpstream(tuple(rejected))
        limit = ranked[0].score + max(TIE_S, TIE_SHARE * ranked[0].score)
        equal = [c for c in ranked[:TIE_CANDIDATES] if c.score <= limit]
        chosen = rng.choice(equal)
        why = Why.TIE if len(equal) > 1 else Why.LOWEST_SCORE
        if len(ranked) == 1:
            why = Why.ONLY
        return Decision(chosen, why, tuple(ranked), tuple(rejected))


def record(
    req: Request, router: Router, outcome: Decision | NoUpstream
) -> dict[str, object]:
    """Return the fields of the log line of one decision."""
    fields: dict[str, object] = {
        "event": "route",
        "request": req.id,
        "team": req.team,
        "wants": req.wants,
        "router": router.name,
        "rejected": {r.id: r.reason.value for r in outcome.rejected},
    }
    if isinstance(outcome, NoUpstream):
        return fields | {"chosen": None, "reason": "no_upstream", "candidates": []}
    listed = [_candidate_fields(c) for c in outcome.candidates]
    chosen = outcome.chosen.id
    return fields | {
        "chosen": chosen,
        "reason": outcome.why.value,
        "candidates": listed,
    }


def _candidate_fields(candidate: Candidate) -> dict[str, object]:
    fields = dataclasses.asdict(candidate)
    rounded = {k: round(v, 6) for k, v in fields.items() if isinstance(v, float)}
    return fields | rounded


def make_target(
    upstream: table.Upstream,
    profile: Profile,
    queue: int,
    needs_grant: bool,
    backlog_s: float = 0.0,
) -> Target:
    """Build the view of an upstream from the node's table.

    Parameters
    ----------
    upstream : table.Upstream
        Row of the upstream.
    profile : Profile
        What is known of upstreams of its kind.
    queue : int
        Result of ``load.estimate_queue``.
    needs_grant : bool
        Whether ``load.check_warmth`` asks for a grant.
    backlog_s : float
        Result of `prefill.Backlog.estimate_s`.
    """
    inst, report = upstream.instance, upstream.report
    reported_leaving = report is not None and report.state is table.Warmth.LEAVING
    return Target(
        id=inst.id,
        zone=inst.zone,
        serves=profile.serves,
        queue=queue,
        slots=profile.slots,
        service_s=profile.service_s,
        prefill_s=profile.prefill_s,
        backlog_s=backlog_s,
        weight_version=report.weight_version if report else "",
        leaving=inst.leaving or reported_leaving,
        needs_grant=needs_grant,
    )

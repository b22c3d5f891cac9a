"""Upstream selection by expected time to first token and recomputed tokens."""

import collections
import collections.abc
import dataclasses
import enum
import math
import random
import typing

from snipelug_core import block, contract, index, link, table

TIE_MARGIN_S = 0.002
TIE_MARGIN_SHARE = 0.03
"""Scores within these margins count as equal: the lag of load reports causes larger
errors."""

MAX_TIED_CANDIDATES = 4


@dataclasses.dataclass(frozen=True)
class Mode:
    """Weights of the routing and placement objectives of a deployment.

    Attributes
    ----------
    name : str
        Name in settings and log lines.
    ttft : float
        Weight of one second of time to first token.
    recompute : float
        Additional weight of one second of prefill that a cache hit would have saved.
    spread : float
        Weight of the value of a second copy of a prompt's blocks in another zone.
    """

    name: str
    ttft: float
    recompute: float
    second_copy: float


MODES: collections.abc.Mapping[str, Mode] = {
    "ttft": Mode("ttft", ttft=1.0, recompute=1.0, second_copy=0.25),
    "reuse": Mode("reuse", ttft=1.0, recompute=3.0, second_copy=1.0),
}
"""Weights of each mode, by name.

Even in the mode ``ttft``, prefill counts twice: once for its own request and once for
the requests queued behind it. A recompute weight of 0.25 gave a higher p95.
"""


@dataclasses.dataclass(frozen=True)
class Profile:
    """Capacity and speed of one kind of upstream; fields as in `Target`."""

    serves: frozenset[str]
    slots: int = 1
    service_s: float = 1.0
    prefill_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Target:
    """State of an upstream as used in a routing decision.

    Attributes
    ----------
    serves : frozenset of str
        Models of an engine, or the name of a plain service.
    queue : int
        Estimated requests running and waiting (``load.estimate_queue``).
    slots : int
        Requests that the upstream runs concurrently.
    service_s : float
        Mean time for which a request occupies a slot, in seconds.
    prefill_s : float
        Prefill time of one token, in seconds.
    backlog_s : float
        Prefill time queued ahead of a new request, in seconds
        (`prefill.PrefillBacklog.estimate_s`).
    weight_version : str
        Weight version that new requests run on; empty if unknown.
    needs_grant : bool
        Whether the upstream counts as cold, so that a request needs a cold-start slot.
    granted : bool
        Whether this node has been granted a cold-start slot for the upstream.
    suspects : int
        Running requests that have already crashed an upstream once.
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
        """Return the expected wait before prefill of a new request, in seconds."""
        ahead = self.queue + 1 - self.slots
        return max(0, ahead) * self.service_s / self.slots + self.backlog_s


@dataclasses.dataclass(frozen=True)
class Request:
    """Properties of a request that matter for routing.

    Attributes
    ----------
    wants : str
        Name of the requested model or plain service.
    weight_version : str
        Weight version that the block keys were computed for; empty for a service.
    chain : block.Chain or None
        Block keys of the prompt; None for a service.
    suspect : bool
        Whether the request has already crashed an upstream once.
    excluded : frozenset of str
        Upstreams on which this request has already failed.
    """

    id: str
    team: str
    wants: str
    weight_version: str = ""
    chain: block.Chain | None = None
    suspect: bool = False
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class RoutingContext:
    """Node state that a routing decision is based on.

    Attributes
    ----------
    cfg : contract.Config
        Configuration in force.
    found : index.PrefixLocations
        Known locations of the prompt's blocks.
    delay_s : mapping of str to float
        One-way network delay from this node to each zone, in seconds.
    links : mapping of (str, str) to link.Link
        Links by store and zone; stores without a link are not read.
    block_bytes : float
        Size of one KV cache block, in bytes.
    """

    cfg: contract.Config
    found: index.PrefixLocations = index.PrefixLocations()
    delay_s: collections.abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    links: collections.abc.Mapping[tuple[str, str], link.Link] = dataclasses.field(
        default_factory=dict
    )
    block_bytes: float = 0.0


# Filtering.


class Reason(enum.StrEnum):
    """Why an upstream is not a candidate."""

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
    """An upstream that is not a candidate, with the reason."""

    id: str
    reason: Reason


def rejection_reason(
    target: Target, req: Request, cfg: contract.Config
) -> Reason | None:
    """Return why an upstream may not run a request; None if it may."""
    team_contract = cfg.contracts.get(req.team)
    if req.wants not in target.serves:
        return Reason.OTHER_MODEL
    if team_contract is None or req.wants not in (
        *team_contract.models,
        *team_contract.services,
    ):
        return Reason.NOT_IN_CONTRACT
    if target.zone in cfg.zones_out:
        return Reason.ZONE_OUT
    if target.id in cfg.instances_out:
        return Reason.INSTANCE_OUT
    if target.leaving:
        return Reason.LEAVING
    if _is_version_mismatch(target, req):
        return Reason.OTHER_VERSION
    if target.id in req.excluded:
        return Reason.FAILED_BEFORE
    if req.suspect and target.suspects:
        return Reason.SUSPECT_RUNNING
    if target.needs_grant and not target.granted:
        return Reason.COLD_WITHOUT_GRANT
    return None


def _is_version_mismatch(target: Target, req: Request) -> bool:
    # Engines refuse requests that name a weight version they do not run.
    both_known = bool(target.weight_version and req.weight_version)
    return both_known and target.weight_version != req.weight_version


def weight_versions(
    targets: collections.abc.Iterable[Target], model: str, expected: str
) -> list[str]:
    """Return the weight versions of a model that can be requested, best first.

    Vendors replace weights without notice, so the configured version may not run
    anywhere. If it does, it comes first; other versions follow by upstream count.
    """
    counts = collections.Counter(
        t.weight_version for t in targets if model in t.serves and t.weight_version
    )
    if not counts:
        return [expected]
    return sorted(counts, key=lambda v: (v != expected, -counts[v], v))


def filter_targets(
    targets: collections.abc.Iterable[Target],
    req: Request,
    cfg: contract.Config,
    rejected: list[Rejected],
) -> collections.abc.Iterator[Target]:
    """Yield the upstreams that may run a request; append the others to `rejected`."""
    for target in targets:
        reason = rejection_reason(target, req, cfg)
        if reason is None:
            yield target
        else:
            rejected.append(Rejected(target.id, reason))


# Cost estimation.


@dataclasses.dataclass(frozen=True)
class Fetch:
    """A KV cache block that the engine imports before it runs the request."""

    position: int
    copy: index.StoredCopy


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An upstream with the expected cost of running one request there.

    Attributes
    ----------
    score : float
        Weighted cost in seconds; the lowest wins.
    wait_s, delay_s, fetch_s, prefill_s : float
        Components of the expected time to first token, in seconds.
    memory_blocks, fetch_blocks : int
        Leading blocks in the upstream's memory, and the following ones to import.
    recomputed_tokens : int
        Prompt tokens to prefill.
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
class _SplitPoint:
    """A split of a prompt into leading cached blocks and a rest to prefill.

    Attributes
    ----------
    blocks : int
        Number of leading blocks in the engine's memory when prefill starts.
    fetch_s : float
        Time to import those that the engine lacks, in seconds.
    """

    blocks: int
    fetch_s: float


class _SplitTable:
    """Best split points of one prompt for the engines of one zone.

    One pass from the last block computes them for every number of blocks already
    held, so a decision takes O(blocks * zones) and not O(blocks * candidates) time.
    """

    def __init__(
        self, context: RoutingContext, mode: Mode, zone: str, prefill_s: float
    ) -> None:
        self.copies = list(_best_copies(context, zone))
        count = len(self.copies)
        links = [path for _, path in self.copies]
        self._latency_s = max((k.latency_s for k in links if k), default=0.0)
        block_fetch_s = [
            context.block_bytes / k.free_bytes_per_s if k else math.inf for k in links
        ]
        full_weight = mode.ttft + mode.recompute
        prefill_gain = full_weight * prefill_s * block.BLOCK_TOKENS
        # After the final reverse, _best[m] is the cheapest split at or after block m,
        # with its cost and fetch time counted from block m.
        self._best = [(0.0, _SplitPoint(count, 0.0))]
        for m in range(count - 1, -1, -1):
            cost, split = self._best[-1]
            cost += mode.ttft * block_fetch_s[m] - prefill_gain
            extended = _SplitPoint(split.blocks, split.fetch_s + block_fetch_s[m])
            stop = _SplitPoint(m, 0.0)
            self._best.append((cost, extended) if cost < 0 else (0.0, stop))
        self._best.reverse()
        self._latency_cost = mode.ttft * self._latency_s

    def best_split(self, memory_blocks: int) -> _SplitPoint:
        """Return the best split for an engine with some leading blocks in memory."""
        if memory_blocks >= len(self.copies):
            return _SplitPoint(memory_blocks, 0.0)
        cost, split = self._best[memory_blocks]
        if split.blocks == memory_blocks or cost + self._latency_cost >= 0:
            return _SplitPoint(memory_blocks, 0.0)
        return _SplitPoint(split.blocks, split.fetch_s + self._latency_s)


def _best_copies(
    context: RoutingContext, zone: str
) -> collections.abc.Iterator[tuple[index.StoredCopy | None, link.Link | None]]:
    """Yield the copy of each leading block over the fastest link to a zone."""
    for copies in context.found.stored:
        links = [(c, context.links.get((c.store, zone))) for c in copies]
        usable = [(c, k) for c, k in links if k and k.free_bytes_per_s > 0]
        if usable:
            yield max(usable, key=lambda pair: pair[1].free_bytes_per_s)
        else:
            yield None, None


def estimate_costs(
    targets: collections.abc.Iterable[Target],
    req: Request,
    context: RoutingContext,
    mode: Mode,
) -> collections.abc.Iterator[Candidate]:
    """Yield each upstream with the expected cost of the request."""
    split_tables: dict[tuple[str, float], _SplitTable] = {}
    tokens = req.chain.tokens if req.chain else 0
    for target in targets:
        held = context.found.memory.get(target.id, 0)
        split = _SplitPoint(held, 0.0)
        if context.found.stored:
            name = (target.zone, target.prefill_s)
            if name not in split_tables:
                split_tables[name] = _SplitTable(context, mode, *name)
            split = split_tables[name].best_split(held)
        recomputed_tokens = max(0, tokens - split.blocks * block.BLOCK_TOKENS)
        yield _make_candidate(target, held, split, recomputed_tokens, context, mode)


def _make_candidate(
    target: Target,
    held: int,
    split: _SplitPoint,
    recomputed_tokens: int,
    context: RoutingContext,
    mode: Mode,
) -> Candidate:
    wait_s = target.wait_s()
    delay_s = 2 * context.delay_s.get(target.zone, 0.0)
    prefill_s = recomputed_tokens * target.prefill_s
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
        recomputed_tokens=recomputed_tokens,
    )


def plan_fetch(chosen: Candidate, context: RoutingContext) -> list[Fetch]:
    """Return the blocks that the chosen engine imports, in prompt order."""
    first = chosen.memory_blocks
    last = first + chosen.fetch_blocks
    copies = list(_best_copies(context, chosen.zone))[first:last]
    return [Fetch(i, c) for i, (c, _) in enumerate(copies, start=first) if c]


# Decisions.


class ChoiceReason(enum.StrEnum):
    """Why a candidate was chosen."""

    ONLY = "only_candidate"
    LOWEST_SCORE = "lowest_score"
    TIE = "random_among_equal"
    TURN = "next_in_turn"
    SHORTEST_QUEUE = "shortest_queue"
    AFFINITY = "prefix_affinity"


@dataclasses.dataclass(frozen=True)
class Decision:
    """The chosen upstream, with all candidates and rejected upstreams."""

    chosen: Candidate
    reason: ChoiceReason
    candidates: tuple[Candidate, ...]
    rejected: tuple[Rejected, ...]


@dataclasses.dataclass(frozen=True)
class NoUpstream:
    """Result of a decision in which no upstream may run the request."""

    rejected: tuple[Rejected, ...]

    def awaiting_grant(self) -> list[str]:
        """Return the upstreams rejected only for want of a cold-start slot."""
        reason = Reason.COLD_WITHOUT_GRANT
        return [r.id for r in self.rejected if r.reason is reason]


class Router(typing.Protocol):
    """Interface of a routing policy."""

    @property
    def name(self) -> str:
        """Name in log lines."""
        ...

    def choose(
        self,
        req: Request,
        targets: collections.abc.Iterable[Target],
        context: RoutingContext,
        rng: random.Random,
    ) -> Decision | NoUpstream:
        """Choose one of the given upstreams."""
        ...


@dataclasses.dataclass(frozen=True)
class LowestCost:
    """Choose the upstream with the lowest weighted cost; break ties at random.

    Nodes see the same outdated load reports. Random tie-breaking keeps them from
    all sending their requests to the same upstream.
    """

    mode: Mode
    name: str = "cost"

    def choose(
        self,
        req: Request,
        targets: collections.abc.Iterable[Target],
        context: RoutingContext,
        rng: random.Random,
    ) -> Decision | NoUpstream:
        """Choose the upstream with the lowest expected cost."""
        rejected: list[Rejected] = []
        eligible = filter_targets(targets, req, context.cfg, rejected)
        estimated = estimate_costs(eligible, req, context, self.mode)
        ranked = sorted(estimated, key=lambda c: (c.score, c.id))
        if not ranked:
            return NoUpstream(tuple(rejected))
        limit = ranked[0].score + max(TIE_MARGIN_S, TIE_MARGIN_SHARE * ranked[0].score)
        tied = [c for c in ranked[:MAX_TIED_CANDIDATES] if c.score <= limit]
        chosen = rng.choice(tied)
        reason = ChoiceReason.TIE if len(tied) > 1 else ChoiceReason.LOWEST_SCORE
        if len(ranked) == 1:
            reason = ChoiceReason.ONLY
        return Decision(chosen, reason, tuple(ranked), tuple(rejected))


def record(
    req: Request, router: Router, outcome: Decision | NoUpstream
) -> dict[str, object]:
    """Return the log fields of a routing decision."""
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
        "reason": outcome.reason.value,
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
    """Build a routing target from the node's table entry of an upstream.

    Parameters
    ----------
    upstream : table.Upstream
        Table entry of the upstream.
    profile : Profile
        Capacity and speed of this kind of upstream.
    queue : int
        Result of ``load.estimate_queue``.
    needs_grant : bool
        Whether ``load.check_warmth`` asks for a grant.
    backlog_s : float
        Result of `prefill.PrefillBacklog.estimate_s`.
    """
    instance, report = upstream.instance, upstream.report
    reported_leaving = report is not None and report.state is table.Warmth.LEAVING
    return Target(
        id=instance.id,
        zone=instance.zone,
        serves=profile.serves,
        queue=queue,
        slots=profile.slots,
        service_s=profile.service_s,
        prefill_s=profile.prefill_s,
        backlog_s=backlog_s,
        weight_version=report.weight_version if report else "",
        leaving=instance.leaving or reported_leaving,
        needs_grant=needs_grant,
    )

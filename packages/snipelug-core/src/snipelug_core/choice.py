"""Choice of the upstream with the lowest expected cost for a request."""

import collections.abc
import dataclasses
import random

from snipelug_core import catalog, fleet, hashing, queueing, shared_rate, speed

ATTENTION_S_PER_TOKEN_PAIR = 5e-10
"""Attention time per pair of tokens; the specifications give 0.32 and 0.65 ns."""

BATCH_STEP_S = 0.005
"""Delay that one more running request adds for the others: one batch step."""

CROSS_ZONE_COST_S = 0.03
"""Fixed cost of an upstream in another zone, in addition to the cost per byte."""

CROSS_ZONE_COST_S_PER_BYTE = 4e-6
"""Cost of each byte sent to another zone; a 34 KB prompt costs about 140 ms."""

FAILURE_COST_S = 1.0
"""Cost of an upstream whose recent requests all failed; scaled by its failure rate."""

SILENCE_TIMEOUT_S = 0.7
"""Time without a response to waiting requests after which an upstream is avoided."""

SILENCE_COST_S = 3.0
OLD_WEIGHTS_COST_S = 0.05
"""Cost of an engine with outdated weights while engines load the requested version.

An answer from outdated weights is better than a late one. At a higher cost, all nodes
together overload the first engines that serve the new version.
"""

OLD_WEIGHTS_PREFILL_FACTOR = 0.5
"""Cost per second of prefill on outdated weights.

Engines with the new weights must compute the same prompt parts again.
"""

KV_CACHE_FULL_COST_S = 0.25
"""Cost of a prompt that does not fit into the KV cache with the running requests."""

COLD_START_COST_S = 0.5
"""Cost of an upstream in cold start, during which it is slow."""

COLD_START_LOAD_FRACTION = 0.7
"""Fraction of a cold upstream's sustainable load that the nodes use."""

LONG_PREFILL_TOKENS = 3_000
"""Minimum size of a long prefill: 60 ms, a fifth of the allowed pause."""

LONG_PREFILL_FACTOR = 0.5
"""Cost per second of a long prefill at an upstream that has no other long prefill.

It concentrates long prompts on few engines under load, so that short prompts find
engines without a queue.
"""

AFFINITY_BONUS_S = 0.03
"""Cost reduction for the upstream that ranks first for the shared prompt part."""

MAX_NODES_WITHOUT_SAMPLING = 12
"""Number of nodes above which each chooses among a random sample of the engines.

With many nodes, each receives load reports of an engine too rarely to compare all
engines. Nodes with the same information would all send to the engine that looks best,
such as the first ones with new weights.
"""

SAMPLE_SAME_ZONE = 4
SAMPLE_OTHER_ZONES = 2
"""Sample size for engines of the node's own zone and of the other zones."""


NO_TRANSFERS: collections.abc.Mapping[str, float] = {}


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that other requests may have in common with it."""

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Request:
    """Properties of a request that determine the choice of an upstream.

    Attributes
    ----------
    zone : str
        The node's availability zone.
    body_bytes : int
        Size of the request body.
    model : str
        Requested model; empty for plain services.
    parts : tuple of PromptPart
        Parts of the prompt in order.
    version : int
        Newest weight version of the model; 0 if none is known.
    least_version : int
        Oldest weight version that may still be used.
    fetch_s : collections.abc.Mapping
        Transfer time of prompt parts from a KV cache store, in seconds, by weight
        version and part id.
    output_tokens : int
        Maximum number of tokens in the answer.
    allowed_ids : frozenset of str or None
        Upstreams that may take the request; None for all.
    """

    service: str
    zone: str
    body_bytes: int = 0
    model: str = ""
    parts: tuple[PromptPart, ...] = ()
    version: int = 0
    least_version: int = 0
    fetch_s: collections.abc.Mapping[int, collections.abc.Mapping[str, float]] = (
        dataclasses.field(default_factory=dict)
    )
    output_tokens: int = 0
    allowed_ids: frozenset[str] | None = None

    def transfer_times_s(self, version: int) -> collections.abc.Mapping[str, float]:
        """Return the transfer times to an engine with the given weight version."""
        return self.fetch_s.get(version, NO_TRANSFERS)


@dataclasses.dataclass(frozen=True)
class Context:
    """State that is common to all upstreams considered for a request.

    Attributes
    ----------
    zones_out : frozenset of str
        Zones that receive no new requests.
    nodes : int
        Number of nodes that share the upstreams.
    mean_load : (float, float)
        Average requests of other nodes running and waiting at an upstream.
    request_s : float
        Expected wait for each request that is queued at an engine, in seconds.
    wait_scale : float
        Factor by which real waits at engines exceed the estimate from their load.
    opens_at : collections.abc.Mapping
        Monotonic time from which a request may ask for a permit, in seconds, by the id
        of upstreams whose rate all nodes share.
    prefill_tokens_per_s : float
        Speed at which the engines read prompts.
    plain_s : float
        Processing time of a request at a plain service, in seconds.
    """

    service: catalog.Service
    zones_out: frozenset[str] = frozenset()
    nodes: int = 1
    mean_load: tuple[float, float] = (0.0, 0.0)
    request_s: float = queueing.QUEUED_REQUEST_S
    wait_scale: float = 1.0
    opens_at: collections.abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    prefill_tokens_per_s: float = speed.PREFILL_TOKENS_PER_S
    plain_s: float = speed.PLAIN_SERVICE_S

    def compute_s(self, tokens: int) -> float:
        """Return the time to prefill a prompt part at the start of a prompt."""
        return tokens / self.prefill_tokens_per_s + _attention_s(tokens, tokens)

    def available_at(self, upstream: fleet.Upstream) -> float:
        """Return the monotonic time from which an upstream may be chosen."""
        opens_at = self.opens_at.get(upstream.entry.id, 0.0)
        return max(upstream.available_at, opens_at)


@dataclasses.dataclass(frozen=True)
class Choice:
    """The chosen upstream and the estimate that led to the choice.

    Attributes
    ----------
    cost_s : float
        Expected cost, in seconds.
    candidates : int
        Number of upstreams that were compared.
    prefill_tokens : int
        Tokens that the upstream is expected to prefill.
    wait_s : float
        Expected time before processing starts, in seconds.
    ttft_s : float
        Expected time to first token, in seconds; 0 for plain services.
    load_wait_s : float
        The wait as estimated from load alone, with a scale of 1, in seconds.
    other_s : float
        Part of the time to first token for transfers and attention, in seconds.
    transfer_times_s : collections.abc.Mapping
        Parts that it should read from KV cache stores, with the expected time in
        seconds.
    slowness : float
        Expected slowness of the upstream, 1 as usual.
    """

    upstream: fleet.Upstream
    cost_s: float
    candidates: int
    prefill_tokens: int = 0
    wait_s: float = 0.0
    ttft_s: float = 0.0
    load_wait_s: float = 0.0
    other_s: float = 0.0
    transfer_times_s: collections.abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    slowness: float = 1.0

    @property
    def read_s(self) -> float:
        """Expected time for transfer and prefill of the prompt, in seconds."""
        return self.ttft_s - self.wait_s


@dataclasses.dataclass(frozen=True)
class Estimate:
    """Expected performance of one upstream for a request.

    Attributes
    ----------
    cost_s : float
        Expected wait plus all penalties and bonuses, in seconds.
    """

    cost_s: float
    wait_s: float = 0.0
    ttft_s: float = 0.0
    prefill_tokens: int = 0
    load_wait_s: float = 0.0
    other_s: float = 0.0


def exclusion(
    upstream: fleet.Upstream,
    request: Request,
    context: Context,
    tried: collections.abc.Container[str],
    now: float,
) -> str:
    """Return why the request may not be sent to an upstream now; empty if it may."""
    entry = upstream.entry
    if upstream.is_leaving:
        return "it is leaving"
    if entry.zone in context.zones_out:
        return f"the availability zone {entry.zone} is out of service"
    if entry.id in tried:
        return "the request was sent there before"
    if request.allowed_ids is not None and entry.id not in request.allowed_ids:
        return "its release gets no such request"
    if now < upstream.blocked_until:
        return "a connect failed, or it rejected a request"
    if now < upstream.switching_until:
        return "it loads weights"
    if now < upstream.notice.paused_until:
        return "it asked for no requests"
    if now < context.available_at(upstream):
        return "its rate is used up"
    if request.model and request.model not in upstream.versions:
        return "it does not serve the model"
    if upstream.versions.get(request.model, 0) < request.least_version:
        return "its weights are too old"
    return ""


def eligible(
    upstreams: collections.abc.Iterable[fleet.Upstream],
    request: Request,
    context: Context,
    tried: collections.abc.Container[str],
    now: float,
) -> collections.abc.Iterator[fleet.Upstream]:
    """Yield the upstreams to which the request may be sent now."""
    for upstream in upstreams:
        if not exclusion(upstream, request, context, tried, now):
            yield upstream


def rate_key(entry: fleet.Entry) -> str:
    """Return the key of the rate that all nodes share for an upstream's process."""
    return f"{entry.id}/{entry.born}"


def shared_rate_of(
    upstream: fleet.Upstream, service: catalog.Service | None, now: float
) -> shared_rate.Rate | None:
    """Return the rate of all nodes together at an upstream, None if it has none.

    The lower one counts if the upstream is in cold start and names a limit.
    """
    rates = []
    if upstream.limit_per_s is not None:
        rates.append(shared_rate.limit_rate(upstream.limit_per_s))
    cold_per_s = service.cold_per_s if service is not None else 0.0
    if now < upstream.cold_until and cold_per_s > 0:
        rates.append(shared_rate.cold_rate(COLD_START_LOAD_FRACTION * cold_per_s))
    return min(rates, key=lambda rate: rate.per_s, default=None)


def choose(
    upstreams: collections.abc.Iterable[fleet.Upstream],
    request: Request,
    context: Context,
    tried: collections.abc.Container[str],
    now: float,
    rng: random.Random,
    consider_all: bool = False,
) -> Choice | None:
    """Return the eligible upstream with the lowest expected cost, if there is one.

    Parameters
    ----------
    consider_all : bool
        Compare all upstreams, even if there are too many nodes to do so by default.
    """
    candidates = list(eligible(upstreams, request, context, tried, now))
    if not candidates:
        return None
    preferred = _preferred_upstream(candidates, request)
    if (
        request.model
        and context.nodes > MAX_NODES_WITHOUT_SAMPLING
        and not consider_all
    ):
        candidates = _sample_candidates(candidates, request, preferred, rng)
    rated = (
        (_estimate_cost(u, request, context, now, u is preferred), u)
        for u in candidates
    )
    estimate, best = min(rated, key=lambda item: (item[0].cost_s, rng.random()))
    return _build_choice(estimate, best, request, len(candidates), now)


def rank(
    upstreams: collections.abc.Iterable[fleet.Upstream],
    request: Request,
    context: Context,
    now: float,
) -> list[Choice]:
    """Return a choice for each eligible upstream, that with the lowest cost first."""
    candidates = list(eligible(upstreams, request, context, (), now))
    preferred = _preferred_upstream(candidates, request) if candidates else None
    found = (
        _build_choice(
            _estimate_cost(u, request, context, now, u is preferred),
            u,
            request,
            len(candidates),
            now,
        )
        for u in candidates
    )
    return sorted(found, key=lambda item: item.cost_s)


def _build_choice(
    estimate: Estimate,
    upstream: fleet.Upstream,
    request: Request,
    candidates: int,
    now: float,
) -> Choice:
    return Choice(
        upstream,
        estimate.cost_s,
        candidates,
        estimate.prefill_tokens,
        estimate.wait_s,
        estimate.ttft_s,
        estimate.load_wait_s,
        estimate.other_s,
        request.transfer_times_s(upstream.versions.get(request.model, 0)),
        upstream.slow_factor.value_at(now),
    )


def shared_part(parts: tuple[PromptPart, ...]) -> PromptPart | None:
    """Return the last shared part; the final part is specific to the request."""
    return parts[-2] if len(parts) > 1 else None


def _sample_candidates(
    candidates: collections.abc.Sequence[fleet.Upstream],
    request: Request,
    preferred: fleet.Upstream | None,
    rng: random.Random,
) -> list[fleet.Upstream]:
    """Return a random sample of the upstreams and the preferred one."""
    same_zone = [u for u in candidates if u.entry.zone == request.zone]
    other_zones = [u for u in candidates if u.entry.zone != request.zone]
    picked = rng.sample(same_zone, min(SAMPLE_SAME_ZONE, len(same_zone)))
    picked += rng.sample(other_zones, min(SAMPLE_OTHER_ZONES, len(other_zones)))
    if preferred is not None and preferred not in picked:
        picked.append(preferred)
    return picked


def _preferred_upstream(
    candidates: collections.abc.Sequence[fleet.Upstream], request: Request
) -> fleet.Upstream | None:
    """Return the upstream that all nodes prefer for the prompt's shared part.

    If no KV cache store holds the part, upstreams that have computed it or are
    computing it take precedence. Otherwise, upstreams in the node's zone do, so that
    prompts stay in their zone.
    """
    shared = shared_part(request.parts)
    if shared is None:
        return None
    if shared.id not in request.transfer_times_s(request.version):
        candidates = [
            u for u in candidates if shared.id in u.cached_parts
        ] or candidates
    same_zone = [u for u in candidates if u.entry.zone == request.zone]
    return max(
        same_zone or candidates,
        key=lambda u: hashing.rendezvous_score(shared.id, u.entry.id),
    )


def _estimate_cost(
    upstream: fleet.Upstream,
    request: Request,
    context: Context,
    now: float,
    is_preferred: bool,
) -> Estimate:
    cost = FAILURE_COST_S * upstream.failure_rate_at(now)
    if upstream.entry.zone != request.zone:
        cost += CROSS_ZONE_COST_S + CROSS_ZONE_COST_S_PER_BYTE * request.body_bytes
    if now < upstream.cold_until:
        cost += COLD_START_COST_S
    silent_since = upstream.silent_since
    if silent_since is not None and now - silent_since > SILENCE_TIMEOUT_S:
        cost += SILENCE_COST_S
    engine = context.service.engine
    if engine is None:
        load_s, wait_s = _plain_service_load_s(upstream, context, now)
        return Estimate(cost + load_s, wait_s)
    at_engine = _estimate_engine_cost(upstream, request, context, engine, now)
    if upstream.versions.get(request.model, 0) < request.version:
        read_s = at_engine.prefill_tokens / context.prefill_tokens_per_s
        cost += OLD_WEIGHTS_COST_S + OLD_WEIGHTS_PREFILL_FACTOR * read_s
    if is_preferred:
        shared = shared_part(request.parts)
        tokens = shared.tokens if shared is not None else 0
        stored = shared is not None and shared.id in request.transfer_times_s(
            request.version
        )
        # Other nodes send the same part to the preferred upstream too.
        saved_s = 0.0 if stored else tokens / context.prefill_tokens_per_s
        cost -= AFFINITY_BONUS_S + 0.5 * saved_s
    return dataclasses.replace(at_engine, cost_s=cost + at_engine.cost_s)


def _plain_service_load_s(
    upstream: fleet.Upstream, context: Context, now: float
) -> tuple[float, float]:
    """Return the cost of a plain service's load, and the expected wait, in seconds."""
    running, waiting = upstream.other_nodes_load(now, context.mean_load)
    total = running + waiting + upstream.running
    slots = max(1, upstream.entry.slots)
    queued = max(0.0, total + 1 - slots) / slots
    service_s = context.plain_s * upstream.slow_factor.value_at(now)
    wait_s = service_s * queued
    cost_s = wait_s + service_s * 0.3 * total / slots
    return cost_s + service_s - context.plain_s, wait_s


def _attention_s(prompt: int, prefill: int) -> float:
    """Return the attention time for the uncached tail of a prompt, in seconds."""
    return ATTENTION_S_PER_TOKEN_PAIR * prefill * (prompt - prefill / 2)


def _estimate_engine_cost(
    upstream: fleet.Upstream,
    request: Request,
    context: Context,
    engine: catalog.Engine,
    now: float,
) -> Estimate:
    running, waiting = upstream.other_nodes_load(now, context.mean_load)
    pending = upstream.prefill_tokens + upstream.announced_tokens(now)
    slowness = upstream.slow_factor.value_at(now)
    load_wait_s = pending / context.prefill_tokens_per_s
    load_wait_s += BATCH_STEP_S * (running + upstream.running)
    total = running + waiting + upstream.running
    load_wait_s += context.request_s * max(waiting, total + 1 - engine.slots)
    load_wait_s *= slowness
    wait_s = context.wait_scale * load_wait_s
    transfer_times_s = request.transfer_times_s(upstream.versions.get(request.model, 0))
    read_s, prefill, size = 0.0, 0, request.output_tokens
    for part in request.parts:
        size += part.tokens
        if part.id in upstream.cached_parts:
            continue
        if part.id in transfer_times_s:
            read_s += transfer_times_s[part.id]
            continue
        prefill += part.tokens
    prompt = sum(part.tokens for part in request.parts)
    other_s = read_s + slowness * _attention_s(prompt, prefill)
    read_s = other_s + slowness * prefill / context.prefill_tokens_per_s
    if upstream.reserved_tokens + size > engine.kv_capacity_tokens:
        wait_s += KV_CACHE_FULL_COST_S
    ttft_s = cost_s = wait_s + read_s
    if prefill >= LONG_PREFILL_TOKENS and pending < LONG_PREFILL_TOKENS:
        cost_s += LONG_PREFILL_FACTOR * read_s
    return Estimate(cost_s, wait_s, ttft_s, prefill, load_wait_s, other_s)

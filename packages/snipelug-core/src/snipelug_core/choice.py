"""Choice of an upstream for a request: the one with the least expected cost."""

import collections.abc
import dataclasses
import random

from snipelug_core import catalog, fleet, hashing

PREFILL_TOKENS_PER_S = 50_000.0
"""Speed at which engines read prompts; the sites' sheets say 51 to 64 a ms."""

ATTENTION_S_PER_TOKEN_PAIR = 5e-10
"""Time for each pair of tokens of a prompt; the sheets say 0.32 and 0.65 ns."""

BATCH_STEP_S = 0.005
"""Time that one more running request costs the others; a step of a batch."""

QUEUED_REQUEST_S = 0.03
"""Wait behind each request that is queued at an upstream."""

PLAIN_SERVICE_S = 0.03
"""Time that a plain service works on a request; the sheets say 22 to 69 ms."""

CROSS_ZONE_COST_S = 0.03
"""Cost of leaving the caller's zone, beside the bytes that cross."""

CROSS_ZONE_COST_S_PER_BYTE = 4e-6
"""Cost of each byte that crosses zones; it weighs 34 KB prompts like 140 ms."""

FAILURE_COST_S = 1.0
"""Cost of an upstream all of whose latest requests failed."""

SILENCE_TIMEOUT_S = 0.7
"""Silence, while requests wait, after which an upstream is avoided."""

SILENCE_COST_S = 3.0
OLD_WEIGHTS_COST_S = 0.05
"""Cost of weights older than the version named, while upstreams load it.

An answer made on old weights is worth more than one that comes late, and at a higher
cost all nodes together overload the first engines that serve the new ones.
"""

OLD_WEIGHTS_PREFILL_FACTOR = 0.5
"""Cost of reading on old weights, per second, as new ones need it read again."""

KV_CACHE_FULL_COST_S = 0.25
"""Cost of a prompt that does not fit beside those that already run."""

COLD_START_COST_S = 0.5
"""Cost of an upstream in cold start, which works slowly."""

COLD_START_LOAD_FRACTION = 0.7
"""Part of the sustained load of a cold upstream that is used."""

LONG_PREFILL_TOKENS = 3_000
"""Prompts that are read for longer than 60 ms, a fifth of the allowed pause."""

LONG_PREFILL_FACTOR = 0.5
"""Cost, per second of reading, of a long prompt at an upstream that reads none.

It keeps long prompts together when engines are busy, so that short ones find
engines on which they need not wait.
"""

AFFINITY_BONUS_S = 0.03
"""Preference for the upstream that ranks first for a prompt's parts."""

MAX_NODES_WITHOUT_SAMPLING = 12
"""With more nodes each hears of an engine too seldom to choose among all.

Nodes that know the same would all send to the engine that looks best, such as the
first ones with new weights.
"""

SAMPLE_SAME_ZONE = 4
SAMPLE_OTHER_ZONES = 2
"""Engines of the node's zone and of others that are weighed where nodes are many."""


NO_TRANSFERS: collections.abc.Mapping[str, float] = {}


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Request:
    """What a request needs of an upstream.

    Attributes
    ----------
    zone : str
        The node's availability zone.
    body_bytes : int
        Size of the request.
    model : str
        Model for engines, empty for plain services.
    parts : tuple of Part
        Parts of the prompt in order.
    version : int
        Newest weight version of the model; 0 if none is known.
    least_version : int
        Older weights must not be used any more.
    fetch_s : collections.abc.Mapping
        Time in which parts can be fetched from a store, in seconds, by weight
        version and part.
    output_tokens : int
        Most tokens of the answer.
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

    def transfer_times_s(self, version: int) -> collections.abc.Mapping[str, float]:
        """Return the times of transfers to an engine that serves a weight version."""
        return self.fetch_s.get(version, NO_TRANSFERS)


@dataclasses.dataclass(frozen=True)
class Context:
    """What all upstreams of a choice have in common.

    Attributes
    ----------
    zones_out : frozenset of str
        Zones that get no new work.
    nodes : int
        Nodes that share the upstreams.
    mean_load : (float, float)
        Requests of other nodes that run and wait at an upstream, on average.
    """

    service: catalog.Service
    zones_out: frozenset[str] = frozenset()
    nodes: int = 1
    mean_load: tuple[float, float] = (0.0, 0.0)


@dataclasses.dataclass(frozen=True)
class Choice:
    """An upstream and what decided for it.

    Attributes
    ----------
    cost_s : float
        Expected cost, in seconds.
    candidates : int
        Upstreams that were weighed.
    prefill_tokens : int
        Tokens that the upstream is expected to read.
    wait_s : float
        Expected time before its prompt is read, in seconds; 0 for plain services.
    first_s : float
        Expected time to the first token, in seconds; 0 for plain services.
    """

    upstream: fleet.Upstream
    cost_s: float
    candidates: int
    prefill_tokens: int = 0
    wait_s: float = 0.0
    ttft_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Estimate:
    """What is expected of one upstream.

    Attributes
    ----------
    cost_s : float
        Time to the first token, and what weighs for and against it, in seconds.
    """

    cost_s: float
    wait_s: float = 0.0
    ttft_s: float = 0.0
    prefill_tokens: int = 0


def eligible(
    upstreams: collections.abc.Iterable[fleet.Upstream],
    request: Request,
    context: Context,
    tried: collections.abc.Container[str],
    now: float,
) -> collections.abc.Iterator[fleet.Upstream]:
    """Yield the upstreams to which the request may be sent now."""
    for upstream in upstreams:
        entry = upstream.entry
        if entry.is_leaving or entry.zone in context.zones_out or entry.id in tried:
            continue
        if now < upstream.blocked_until or now < upstream.switching_until:
            continue
        if request.model and request.model not in upstream.versions:
            continue
        if upstream.versions.get(request.model, 0) < request.least_version:
            continue
        if not has_cold_start_budget(upstream, context, now):
            continue
        yield upstream


def has_cold_start_budget(
    upstream: fleet.Upstream, context: Context, now: float
) -> bool:
    """Tell whether this node's share lets a cold upstream have a request now.

    The shares of all nodes add up to what the upstream sustains. A node's level
    starts at a random point, so that many nodes do not send at the same moment.
    """
    if now >= upstream.cold_until or context.service.cold_per_s <= 0:
        return True
    rate = COLD_START_LOAD_FRACTION * context.service.cold_per_s / max(1, context.nodes)
    if upstream.cold_start_refilled_at == 0.0:
        seed = f"{upstream.entry.id}{upstream.entry.born}{id(upstream)}"
        upstream.cold_start_budget = random.Random(seed).random()
        upstream.cold_start_refilled_at = now
    gained = rate * max(0.0, now - upstream.cold_start_refilled_at)
    upstream.cold_start_budget = min(1.0, upstream.cold_start_budget + gained)
    upstream.cold_start_refilled_at = now
    return upstream.cold_start_budget >= 1.0


def record_sent(upstream: fleet.Upstream, now: float) -> None:
    """Count a request against the share of a cold upstream."""
    if now < upstream.cold_until:
        upstream.cold_start_budget -= 1.0


def choose(
    upstreams: collections.abc.Iterable[fleet.Upstream],
    request: Request,
    context: Context,
    tried: collections.abc.Container[str],
    now: float,
    rng: random.Random,
    consider_all: bool = False,
) -> Choice | None:
    """Return the eligible upstream with the least expected cost, if there is one.

    Parameters
    ----------
    weigh_all : bool
        Weigh all upstreams also where nodes are many.
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
    return Choice(
        best,
        estimate.cost_s,
        len(candidates),
        estimate.prefill_tokens,
        estimate.wait_s,
        estimate.ttft_s,
    )


def shared_part(parts: tuple[PromptPart, ...]) -> PromptPart | None:
    """Return the last part that other requests share; the very last is their own."""
    return parts[-2] if len(parts) > 1 else None


def _sample_candidates(
    candidates: collections.abc.Sequence[fleet.Upstream],
    request: Request,
    preferred: fleet.Upstream | None,
    rng: random.Random,
) -> list[fleet.Upstream]:
    """Return some random upstreams, and the one that ranks first."""
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

    It is one that has read the part or reads it now, as long as no store holds it,
    and else one of the node's zone, so that prompts stay in their zone.
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
        return Estimate(cost + _plain_service_wait_s(upstream, context, now))
    at_engine = _estimate_engine_cost(upstream, request, context, engine, now)
    if upstream.versions.get(request.model, 0) < request.version:
        read_s = at_engine.prefill_tokens / PREFILL_TOKENS_PER_S
        cost += OLD_WEIGHTS_COST_S + OLD_WEIGHTS_PREFILL_FACTOR * read_s
    if is_preferred:
        shared = shared_part(request.parts)
        tokens = shared.tokens if shared is not None else 0
        stored = shared is not None and shared.id in request.transfer_times_s(
            request.version
        )
        # The upstream that ranks first is where other nodes send the same part.
        saved_s = 0.0 if stored else tokens / PREFILL_TOKENS_PER_S
        cost -= AFFINITY_BONUS_S + 0.5 * saved_s
    return dataclasses.replace(at_engine, cost_s=cost + at_engine.cost_s)


def _plain_service_wait_s(
    upstream: fleet.Upstream, context: Context, now: float
) -> float:
    running, waiting = upstream.other_nodes_load(now, context.mean_load)
    total = running + waiting + upstream.running
    slots = max(1, upstream.entry.slots)
    return PLAIN_SERVICE_S * (max(0.0, total + 1 - slots) / slots + 0.3 * total / slots)


def _attention_s(prompt: int, prefill: int) -> float:
    """Return the time of attention for the last tokens of a prompt, in seconds."""
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
    wait_s = pending / PREFILL_TOKENS_PER_S
    wait_s += BATCH_STEP_S * (running + upstream.running)
    total = running + waiting + upstream.running
    wait_s += QUEUED_REQUEST_S * max(waiting, total + 1 - engine.slots)
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
    read_s += prefill / PREFILL_TOKENS_PER_S + _attention_s(prompt, prefill)
    if upstream.reserved_tokens + size > engine.kv_capacity_tokens:
        wait_s += KV_CACHE_FULL_COST_S
    ttft_s = cost_s = wait_s + read_s
    if prefill >= LONG_PREFILL_TOKENS and pending < LONG_PREFILL_TOKENS:
        cost_s += LONG_PREFILL_FACTOR * read_s
    return Estimate(cost_s, wait_s, ttft_s, prefill)

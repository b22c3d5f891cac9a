"""Simple routing policies, as baselines for benchmarks of `route.LowestCost`."""

import collections.abc
import dataclasses
import random

from snipelug_core import hashing, index, route

_NEUTRAL = route.Mode("neutral", ttft=1.0, recompute=0.0, second_copy=0.0)


def _without_stores(context: route.RoutingContext) -> route.RoutingContext:
    """Drop the copies in stores, because baselines reuse only engines' memory."""
    found = index.PrefixLocations(context.found.memory)
    return dataclasses.replace(context, found=found)


class _Baseline:
    """Base class that filters upstreams; subclasses choose among the eligible ones."""

    name: str

    def choose(
        self,
        req: route.Request,
        targets: collections.abc.Iterable[route.Target],
        context: route.RoutingContext,
        rng: random.Random,
    ) -> route.Decision | route.NoUpstream:
        """Choose one of the eligible upstreams by the policy of the subclass."""
        rejected: list[route.Rejected] = []
        eligible = list(route.filter_targets(targets, req, context.cfg, rejected))
        if not eligible:
            return route.NoUpstream(tuple(rejected))
        target, reason = self._pick(req, eligible, rng)
        estimated = route.estimate_costs(
            [target], req, _without_stores(context), _NEUTRAL
        )
        candidates = tuple(estimated)
        return route.Decision(candidates[0], reason, candidates, tuple(rejected))

    def _pick(
        self, req: route.Request, targets: list[route.Target], rng: random.Random
    ) -> tuple[route.Target, route.ChoiceReason]:
        raise NotImplementedError


class RoundRobin(_Baseline):
    """Choose the upstreams in turn."""

    name = "round_robin"

    def __init__(self) -> None:
        self._count = 0

    def _pick(
        self, req: route.Request, targets: list[route.Target], rng: random.Random
    ) -> tuple[route.Target, route.ChoiceReason]:
        del req, rng
        self._count += 1
        ordered = sorted(targets, key=lambda t: t.id)
        return ordered[self._count % len(ordered)], route.ChoiceReason.TURN


class LeastLoaded(_Baseline):
    """Choose the upstream with the fewest requests per slot."""

    name = "least_loaded"

    def _pick(
        self, req: route.Request, targets: list[route.Target], rng: random.Random
    ) -> tuple[route.Target, route.ChoiceReason]:
        del req
        lowest = min(t.queue / t.slots for t in targets)
        tied = [t for t in targets if t.queue / t.slots == lowest]
        return rng.choice(tied), route.ChoiceReason.SHORTEST_QUEUE


class PrefixAffinity(_Baseline):
    """Send each conversation to the upstream ranked first by rendezvous hashing."""

    name = "prefix_affinity"

    def _pick(
        self, req: route.Request, targets: list[route.Target], rng: random.Random
    ) -> tuple[route.Target, route.ChoiceReason]:
        if req.chain is None:
            return rng.choice(targets), route.ChoiceReason.TIE
        conversation = req.chain.conversation
        best = max(
            targets, key=lambda t: (hashing.rendezvous_score(conversation, t.id), t.id)
        )
        return best, route.ChoiceReason.AFFINITY

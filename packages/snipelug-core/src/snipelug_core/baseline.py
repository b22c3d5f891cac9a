"""Simple routers that benchmarks compare the router by cost with."""

import collections.abc
import dataclasses
import random

from snipelug_core import hashing, index, route

_NEUTRAL = route.Mode("neutral", ttft=1.0, recompute=0.0, second_copy=0.0)


def _without_stores(context: route.RoutingContext) -> route.RoutingContext:
    """Drop the copies in stores: the baselines only reuse engines' memory."""
    found = index.PrefixLocations(context.found.memory)
    return dataclasses.replace(context, found=found)


class _Baseline:
    """Screening that all baselines share; they differ in the choice only."""

    name: str

    def choose(
        self,
        req: route.Request,
        targets: collections.abc.Iterable[route.Target],
        context: route.RoutingContext,
        rng: random.Random,
    ) -> route.Decision | route.NoUpstream:
        """Choose by the baseline's rule."""
        rejected: list[route.Rejected] = []
        admitted = list(route.filter_targets(targets, req, context.cfg, rejected))
        if not admitted:
            return route.NoUpstream(tuple(rejected))
        target, reason = self._pick(req, admitted, rng)
        priced = route.estimate_costs([target], req, _without_stores(context), _NEUTRAL)
        candidates = tuple(priced)
        return route.Decision(candidates[0], reason, candidates, tuple(rejected))

    def _pick(
        self, req: route.Request, targets: list[route.Target], rng: random.Random
    ) -> tuple[route.Target, route.ChoiceReason]:
        raise NotImplementedError


class RoundRobin(_Baseline):
    """Take the upstreams in turn."""

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
    """Take the upstream with the fewest requests per slot."""

    name = "least_loaded"

    def _pick(
        self, req: route.Request, targets: list[route.Target], rng: random.Random
    ) -> tuple[route.Target, route.ChoiceReason]:
        del req
        lowest = min(t.queue / t.slots for t in targets)
        equal = [t for t in targets if t.queue / t.slots == lowest]
        return rng.choice(equal), route.ChoiceReason.SHORTEST_QUEUE


class PrefixAffinity(_Baseline):
    """Send each conversation to the upstream that its id ranks first."""

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

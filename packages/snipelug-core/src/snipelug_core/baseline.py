"""Simple routers that benchmarks compare the router by cost with."""

import collections.abc
import dataclasses
import random

from snipelug_core import hashing, index, route

_NEUTRAL = route.Mode("neutral", ttft=1.0, recompute=0.0, spread=0.0)


def _without_stores(facts: route.Facts) -> route.Facts:
    """Drop the copies in stores: the baselines only reuse engines' memory."""
    found = index.Found(facts.found.memory)
    return dataclasses.replace(facts, found=found)


class _Baseline:
    """Screening that all baselines share; they differ in the choice only."""

    name: str

    def choose(
        self,
        req: route.Request,
        targets: collections.abc.Iterable[route.Target],
        facts: route.Facts,
        rng: random.Random,
    ) -> route.Decision | route.NoUpstream:
        """Choose by the baseline's rule."""
        rejected: list[route.Rejected] = []
        admitted = list(route.screen(targets, req, facts.cfg, rejected))
        if not admitted:
            return route.NoUpstream(tuple(rejected))
        target, why = self._pick(req, admitted, rng)
        priced = route.price([target], req, _without_stores(facts), _NEUTRAL)
        candidates = tuple(priced)
        return route.Decision(candidates[0], why, candidates, tuple(rejected))

    def _pick(
        self, req: route.Request, targets: list[route.Target], rng: random.Random
    ) -> tuple[route.Target, route.Why]:
        raise NotImplementedError


class RoundRobin(_Baseline):
    """Take the upstreams in turn."""

    name = "round_robin"

    def __init__(self) -> None:
        self._count = 0

    def _pick(
        self, req: route.Request, targets: list[route.Target], rng: random.Random
    ) -> tuple[route.Target, route.Why]:
        del req, rng
        self._count += 1
        ordered = sorted(targets, key=lambda t: t.id)
        return ordered[self._count % len(ordered)], route.Why.TURN


class LeastLoaded(_Baseline):
    """Take the upstream with the fewest requests per slot."""

    name = "least_loaded"

    def _pick(
        self, req: route.Request, targets: list[route.Target], rng: random.Random
    ) -> tuple[route.Target, route.Why]:
        del req
        lowest = min(t.queue / t.slots for t in targets)
        equal = [t for t in targets if t.queue / t.slots == lowest]
        return rng.choice(equal), route.Why.SHORTEST_QUEUE


class PrefixAffinity(_Baseline):
    """Send each conversation to the upstream that its id ranks first."""

    name = "prefix_affinity"

    def _pick(
        self, req: route.Request, targets: list[route.Target], rng: random.Random
    ) -> tuple[route.Target, route.Why]:
        if req.chain is None:
            return rng.choice(targets), route.Why.TIE
        conversation = req.chain.conversation
        best = max(
            targets, key=lambda t: (hashing.rendezvous_score(conversation, t.id), t.id)
        )
        return best, route.Why.AFFINITY

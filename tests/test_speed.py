"""Tests of the learned speed of upstreams."""

import random

import pytest

from snipelug_core import choice, speed
from tests import relay_builders

NOW = 100.0


def learn(
    tokens_per_s: float, wait_s: float, count: int = 32, seed: int = 0
) -> speed.SpeedModel:
    """Learn from prompts of which most have waited before they were read."""
    rng = random.Random(seed)
    model = speed.SpeedModel()
    for number in range(count):
        tokens = rng.randint(2_000, 20_000)
        waited_s = rng.expovariate(1.0 / wait_s) if wait_s else 0.0
        other_s = rng.uniform(0.0, 0.08)
        first_s = tokens / tokens_per_s + waited_s + other_s
        model.record_prompt(tokens, first_s, other_s, NOW + 0.1 * number)
    return model


@pytest.mark.parametrize("tokens_per_s", [51_100.0, 63_900.0, 112_000.0, 20_000.0])
@pytest.mark.parametrize("wait_s", [0.0, 0.05])
@pytest.mark.parametrize("seed", range(5))
def test_speed_is_learned_beside_waits(
    tokens_per_s: float, wait_s: float, seed: int
) -> None:
    """Guards against estimates that are off by a quarter where engines differ."""
    found = learn(tokens_per_s, wait_s, seed=seed).prefill_tokens_per_s(NOW + 4.0)
    assert 0.75 * tokens_per_s < found < 1.25 * tokens_per_s


def test_few_or_old_responses_tell_nothing() -> None:
    """Guards against a speed from a single response, or of engines long gone."""
    model = learn(112_000.0, 0.0, count=speed.MIN_SAMPLES - 1)
    assert model.prefill_tokens_per_s(NOW) == speed.PREFILL_TOKENS_PER_S
    model = learn(112_000.0, 0.0)
    late = NOW + speed.MAX_AGE_S + 10.0
    assert model.prefill_tokens_per_s(late) == speed.PREFILL_TOKENS_PER_S


@pytest.mark.parametrize("first_s", [1e-9, 1e6, float("inf"), float("nan"), 0.0])
def test_wild_times_are_bounded(first_s: float) -> None:
    """Guards against estimates that break when times are odd."""
    model = speed.SpeedModel()
    for _ in range(speed.MAX_SAMPLES):
        model.record_prompt(10_000, first_s, 0.0, NOW)
        model.record_plain(first_s, NOW)
    found = model.prefill_tokens_per_s(NOW)
    assert speed.MIN_TOKENS_PER_S <= found <= speed.MAX_TOKENS_PER_S
    assert speed.MIN_PLAIN_S <= model.plain_s(NOW) <= speed.MAX_PLAIN_S


@pytest.mark.parametrize("service_s", [0.0225, 0.0686])
def test_plain_speed_is_learned_beside_waits(service_s: float) -> None:
    """Guards against plain services that all count as equally fast."""
    rng = random.Random(1)
    model = speed.SpeedModel()
    for number in range(speed.MAX_SAMPLES):
        waited_s = rng.choice([0.0, 0.0, 0.1])
        model.record_plain(service_s * rng.uniform(0.9, 1.1) + waited_s, NOW + number)
    assert 0.75 * service_s < model.plain_s(NOW + 32.0) < 1.25 * service_s


def test_choice_uses_the_learned_speed() -> None:
    """Guards against prompts that count as late at fast engines."""
    upstreams = relay_builders.upstreams(relay_builders.entry("u1"))
    request = relay_builders.request(10_000, 10_000)
    expected = []
    for tokens_per_s in (50_000.0, 100_000.0):
        context = relay_builders.context(prefill_tokens_per_s=tokens_per_s)
        found = choice.choose(upstreams, request, context, (), 0.0, random.Random(0))
        assert found is not None
        expected.append(found.read_s - found.other_s)
    assert expected == pytest.approx([0.4, 0.2])

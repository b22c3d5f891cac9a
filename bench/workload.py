"""Requests of a deployment: sizes, teams, returning conversations, orders."""

import collections.abc
import dataclasses
import enum
import math
import random

from snipelug_core import block, contract, hashing

SECRET = b"bench"
MODEL = "m"
WEIGHT_VERSION = "w1"
SERVICE = "orders"


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Sizes of a deployment, as in section 1 of the design page.

    Attributes
    ----------
    stores : tuple of str
        Zone of each store.
    leaving : str
        Zone that is taken out; it has a store.
    long_tokens : tuple of int
        Range of the tokens of a long prompt.
    long_share, return_share, order_share : float
        Share of long prompts, of those that are returns, and of orders.
    """

    name: str
    mode: str
    zones: tuple[str, ...]
    engines: int
    services: int
    stores: tuple[str, ...]
    leaving: str
    delay_s: float
    client_delay_s: float
    long_tokens: tuple[int, int]
    long_share: float
    return_share: float
    order_share: float
    nodes: int = 6
    teams: int = 10


DEPLOYMENTS = (
    Deployment(
        name="tas-north",
        mode="ttft",
        zones=("tamar-a", "esk-b", "meander-c"),
        engines=9,
        services=3,
        stores=("tamar-a", "esk-b"),
        leaving="esk-b",
        delay_s=0.0005,
        client_delay_s=0.003,
        long_tokens=(8_000, 40_000),
        long_share=0.4,
        return_share=0.5,
        order_share=0.2,
    ),
    Deployment(
        name="cantabrico",
        mode="reuse",
        zones=("bilbao-1", "santander-1", "oviedo-1"),
        engines=6,
        services=3,
        stores=("bilbao-1", "santander-1"),
        leaving="santander-1",
        delay_s=0.0015,
        client_delay_s=0.001,
        long_tokens=(12_000, 60_000),
        long_share=0.4,
        return_share=0.6,
        order_share=0.1,
    ),
)

SHORT_TOKENS = (200, 1_500)
ADDED_TOKENS = (100, 800)
"""Tokens that a return adds to the prompt."""

GENERATED_TOKENS = (20, 200)
GAP_S = (20.0, 1_200.0)
"""Range of the gaps before a return; engine memory turns over in about a minute."""

DECAY_S = 600.0
"""Decay of the index, of the order of the gaps above."""

MAX_TURNS = 6


class Kind(enum.StrEnum):
    """Kinds of requests."""

    SHORT = "short"
    LONG = "long"
    RETURN = "return"
    ORDER = "order"


@dataclasses.dataclass
class Arrival:
    """One request of the workload.

    Attributes
    ----------
    returns_at : float
        Time of the conversation's next request, in seconds; ``inf`` for none.
    """

    id: str
    at: float
    kind: Kind
    team: str
    chain: block.Chain | None
    turns: int = 0
    generated: int = 0
    returns_at: float = math.inf


def teams(dep: Deployment) -> list[str]:
    """Return the names of the teams, the largest first."""
    return [f"team{i}" for i in range(dep.teams)]


def config(dep: Deployment) -> contract.Config:
    """Return a configuration in which all teams may use all there is."""
    contracts = {
        t: contract.Contract(t, (), models=(MODEL,), services=(SERVICE,))
        for t in teams(dep)
    }
    return contract.Config(1, contracts)


def chain(conversation: str, tokens: int) -> block.Chain:
    """Return the chain of a synthetic prompt, without making its text."""
    root = hashing.keyed_digest(SECRET, conversation.encode())
    head = root[: block.CONVERSATION_BYTES]
    count = tokens // block.BLOCK_TOKENS
    keys = (
        head + hashing.keyed_digest(SECRET, root, i.to_bytes(4, "big"))
        for i in range(count)
    )
    return block.Chain(tuple(keys), tokens, head.hex())


def generate(
    dep: Deployment, rate: float, duration_s: float, seed: int
) -> list[Arrival]:
    """Draw the arrivals of a run, in order of time.

    Returns are drawn from conversations that are due, so that the mix keeps its
    shares over the run.
    """
    rng = random.Random(seed)
    names = teams(dep)
    weights = [1 / (i + 1) for i in range(len(names))]
    due: list[tuple[float, Arrival, str]] = []
    arrivals: list[Arrival] = []
    now = 0.0
    while True:
        now += rng.expovariate(rate)
        if now > duration_s:
            return arrivals
        name = f"r{len(arrivals)}"
        ready = [d for d in due if d[0] <= now]
        if rng.random() < dep.order_share:
            team = rng.choices(names, weights)[0]
            arrivals.append(Arrival(name, now, Kind.ORDER, team, None))
        elif rng.random() >= dep.long_share:
            team = rng.choices(names, weights)[0]
            tokens = rng.randint(*SHORT_TOKENS)
            made = Arrival(name, now, Kind.SHORT, team, chain(name, tokens))
            arrivals.append(made)
        elif ready and rng.random() < dep.return_share:
            entry = rng.choice(ready)
            due.remove(entry)
            arrivals.append(_return(rng, name, now, entry))
        else:
            team = rng.choices(names, weights)[0]
            tokens = int(_log_uniform(rng, *dep.long_tokens))
            arrivals.append(Arrival(name, now, Kind.LONG, team, chain(name, tokens)))
        made = arrivals[-1]
        made.generated = rng.randint(*GENERATED_TOKENS)
        if made.kind in (Kind.LONG, Kind.RETURN) and made.turns < MAX_TURNS:
            gap_s = _log_uniform(rng, *GAP_S)
            source = entry[2] if made.kind is Kind.RETURN else name
            due.append((now + gap_s, made, source))


def _return(
    rng: random.Random, name: str, now: float, entry: tuple[float, Arrival, str]
) -> Arrival:
    _, earlier, conversation = entry
    assert earlier.chain is not None
    earlier.returns_at = now
    tokens = earlier.chain.tokens + rng.randint(*ADDED_TOKENS)
    made = chain(conversation, tokens)
    return Arrival(name, now, Kind.RETURN, earlier.team, made, earlier.turns + 1)


def _log_uniform(rng: random.Random, low: float, high: float) -> float:
    return math.exp(rng.uniform(math.log(low), math.log(high)))


def mean_prefill_tokens(arrivals: collections.abc.Iterable[Arrival]) -> float:
    """Return the mean prompt tokens of all arrivals, orders included."""
    sizes = [a.chain.tokens if a.chain else 0 for a in arrivals]
    return sum(sizes) / len(sizes)

"""Models of engines, stores and links under a virtual clock."""

import collections
import dataclasses
import math

from snipelug_core import block, table

PREFILL_TOKENS_PER_S = 16_000.0
DECODE_S = 0.020
ENGINE_BLOCKS = 200
"""Blocks in an engine's memory, about 400,000 tokens."""

BLOCK_BYTES = 128 * 1024 * 1024
LINK_BYTES_PER_S = 4e9
STORE_BLOCKS = 6_000
COLD_LIMIT = 2
WARM_AFTER = 8
"""Answers after which a cold engine is warm."""


@dataclasses.dataclass
class Server:
    """An engine or a plain service: one queue of work, LRU memory.

    Attributes
    ----------
    busy_until : float
        Time at which the queue of prefill or of service calls is empty.
    cold_answers : int
        Answers that are missing until the server is warm.
    """

    inst: table.Instance
    boot: int = 1
    seq: int = 0
    running: int = 0
    busy_until: float = 0.0
    cold_answers: int = 0
    memory: collections.OrderedDict[block.Key, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    events: list[tuple[int, bool, block.Key]] = dataclasses.field(default_factory=list)

    @property
    def boot_id(self) -> str:
        """Id of the boot."""
        return f"b{self.boot}"

    def report(self, now: float) -> table.LoadReport:
        """Return a load report made now."""
        self.seq += 1
        state = table.Warmth.COLD if self.cold_answers else table.Warmth.WARM
        return table.LoadReport(
            self.boot_id, state, self.running, 0, self.seq, now, "w1"
        )

    def held(self, keys: tuple[block.Key, ...]) -> int:
        """Return the number of leading blocks in memory."""
        return next((i for i, k in enumerate(keys) if k not in self.memory), len(keys))

    def keep(self, keys: tuple[block.Key, ...]) -> None:
        """Put blocks into memory; the least recently used leave."""
        for key in reversed(keys):
            if key not in self.memory:
                self.memory[key] = None
                self.events.append((0, True, key))
            self.memory.move_to_end(key)
        while len(self.memory) > ENGINE_BLOCKS:
            key, _ = self.memory.popitem(last=False)
            self.events.append((0, False, key))

    def work(self, work_s: float, now: float) -> float:
        """Queue work; return the time at which it is done."""
        self.busy_until = max(now, self.busy_until) + work_s
        return self.busy_until

    def restart(self) -> None:
        """Come back cold and empty."""
        self.boot += 1
        self.seq = 0
        self.memory.clear()
        self.events.clear()
        self.cold_answers = WARM_AFTER


@dataclasses.dataclass
class Store:
    """A store with one link; it refuses blocks when it is full."""

    inst: table.Instance
    busy_until: float = 0.0
    carried_bytes: float = 0.0
    blocks: dict[block.Key, int] = dataclasses.field(default_factory=dict)
    written: int = 0
    refused: int = 0
    events: list[tuple[bool, block.Key, int]] = dataclasses.field(default_factory=list)

    def transfer(self, count: int, now: float) -> float:
        """Carry blocks over the link; return the time at which they arrive."""
        size = count * BLOCK_BYTES
        self.carried_bytes += size
        self.busy_until = max(now, self.busy_until) + size / LINK_BYTES_PER_S
        return self.busy_until

    def put(self, key: block.Key) -> None:
        """Store a block if there is room."""
        if len(self.blocks) >= STORE_BLOCKS and key not in self.blocks:
            self.refused += 1
            return
        self.written += 1
        self.blocks[key] = self.written
        self.events.append((True, key, self.written))

    def delete(self, key: block.Key) -> None:
        """Remove a block."""
        generation = self.blocks.pop(key, None)
        if generation is not None:
            self.events.append((False, key, generation))


def percentile(values: list[float], share: float) -> float:
    """Return the nearest-rank percentile; NaN of nothing."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]

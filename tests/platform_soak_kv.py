"""Saves and reads of prompt parts, as the engines of the soak make them."""

import collections.abc
import dataclasses
import math
import random

import trio

from snipelug_platform_standin import kv_store, server

SAVE_DELAYS_S = (0.0, 0.1, 0.4, 1.0, 1.9)
"""Times after which an engine has computed a part, within the callers' deadline."""

WRITE_TIMES_S = (0.05, 0.3, 0.8)
READS = 4
"""Number of times at which an engine may begin one read, until its deadline."""

CHECK_INTERVAL_S = 0.01

Key = tuple[str, str]


@dataclasses.dataclass
class Engines:
    """Makes the saves and reads that nodes request from engines.

    Attributes
    ----------
    report : callable
        Called with each read of a part that is being written.
    saves, reads : int
        Numbers of those made.
    """

    kv: kv_store.KvStore
    rng: random.Random
    report: collections.abc.Callable[[str, str], None]
    saves: int = 0
    reads: int = 0

    async def run(
        self, upstreams: collections.abc.Callable[[], list[server.Server]]
    ) -> None:
        """Follow the requests of all engines until cancelled."""
        seen: dict[str, int] = {}
        async with trio.open_nursery() as nursery:
            while True:
                for item in upstreams():
                    begun = item.executed[seen.get(item.id, 0) :]
                    seen[item.id] = len(item.executed)
                    for request in begun:
                        self._start(nursery, request.headers)
                await trio.sleep(CHECK_INTERVAL_S)

    def _start(self, nursery: trio.Nursery, headers: dict[str, str]) -> None:
        salt = headers.get("cache-salt", "")
        if not salt:
            return
        parts = headers.get("prompt-prefix", "").split(",")
        sources = headers.get("cache-source", "").split(",")
        targets = headers.get("cache-target", "").split(",")
        for number, part in enumerate(parts):
            key = (salt, part.partition(":")[0].strip())
            if len(sources) == len(parts) and sources[number].strip() != "-":
                until_s = float(headers.get("cache-retain-until", math.inf)) / 1e3
                nursery.start_soon(self._read, key, until_s)
            if len(targets) == len(parts) and targets[number].strip() != "-":
                nursery.start_soon(self._save, key)

    async def _save(self, key: Key) -> None:
        await trio.sleep(self.rng.choice(SAVE_DELAYS_S))
        if key in self.kv.held or key in self.kv.partial:
            return
        self.saves += 1
        epoch = self.kv.epoch
        self.kv.partial[key] = 2000
        await trio.sleep(self.rng.choice(WRITE_TIMES_S))
        if self.kv.epoch == epoch and self.kv.partial.pop(key, None):
            self.kv.add_part(*key, 2000, "m")

    async def _read(self, key: Key, until_s: float) -> None:
        self.reads += 1
        for _ in range(READS):
            left_s = min(until_s - trio.current_time(), 1.5)
            if left_s <= 0:
                return
            if key in self.kv.partial:
                self.report("incomplete part", f"{key} with {left_s:.2f} s left")
                return
            await trio.sleep(left_s / READS)

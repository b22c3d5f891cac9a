"""Prefix cache of an engine: blocks of prompt tokens, limited in number."""

import collections
import hashlib

from snipelug_standins import events, text

DIGEST_BYTES = 16


def hash_blocks(salt: str, model: str, version: str, prompt: bytes) -> list[str]:
    """Return the ids of the prompt's full blocks; each hash covers its predecessors."""
    parent = _digest(b"", "\0".join((salt, model, version)).encode())
    ids = []
    for start in range(0, len(prompt) - text.BLOCK_BYTES + 1, text.BLOCK_BYTES):
        parent = _digest(parent, prompt[start : start + text.BLOCK_BYTES])
        ids.append(parent.hex())
    return ids


def _digest(parent: bytes, content: bytes) -> bytes:
    return hashlib.blake2b(parent + content, digest_size=DIGEST_BYTES).digest()


class Cache:
    """A cache of blocks that evicts the least recently used ones.

    Parameters
    ----------
    capacity_blocks : int
        Maximum number of blocks.
    feed : events.Feed
        Receives an event for each block with a known key that is stored or
        removed.
    """

    def __init__(self, capacity_blocks: int, feed: events.Feed) -> None:
        self.capacity_blocks = capacity_blocks
        self.feed = feed
        self.evictions = 0
        # Keys that nodes use, by block id; least recently used first.
        self._blocks: collections.OrderedDict[str, str] = collections.OrderedDict()
        self._id_by_key: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._blocks)

    def match_prefix(self, ids: list[str]) -> int:
        """Return the length of the cached prefix in blocks, and mark it as used."""
        count = 0
        for block_id in ids:
            if block_id not in self._blocks:
                break
            count += 1
        # Keeps the first block longest: later blocks are unusable without it.
        for block_id in reversed(ids[:count]):
            self._blocks.move_to_end(block_id)
        return count

    def set_key(self, block_id: str, key: str, now: float) -> None:
        """Set the key that nodes use for a cached block."""
        if not key or self._blocks.get(block_id, key) == key:
            return
        self._blocks[block_id] = key
        self._id_by_key[key] = block_id
        self.feed.append(now, "stored", key)

    def store(self, block_id: str, key: str, now: float) -> None:
        """Add a block; the key is empty if no node supplied one."""
        self._blocks.setdefault(block_id, "")
        self._blocks.move_to_end(block_id)
        self.set_key(block_id, key, now)
        while len(self._blocks) > self.capacity_blocks:
            self.evictions += 1
            self._remove(next(iter(self._blocks)), now)

    def id_of(self, key: str) -> str | None:
        """Return the id of the cached block with this key."""
        return self._id_by_key.get(key)

    def clear(self, now: float) -> None:
        """Remove all blocks."""
        for block_id in list(self._blocks):
            self._remove(block_id, now)

    def _remove(self, block_id: str, now: float) -> None:
        key = self._blocks.pop(block_id)
        if not key:
            return
        if self._id_by_key.get(key) == block_id:
            del self._id_by_key[key]
        self.feed.append(now, "removed", key)

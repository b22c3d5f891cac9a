"""Stand-in for a KV cache store with a memory tier and a disk tier."""

import collections
import collections.abc
import dataclasses
import enum
import hashlib
import http
import pathlib
import urllib.parse
import uuid

import trio

from snipelug_net import http_server
from snipelug_standins import events, faults, standin, transfer

PREFIX = "/blocks/"
SUFFIX = "block"


class Tier(enum.StrEnum):
    """Storage tier of a block."""

    MEMORY = "memory"
    DISK = "disk"


@dataclasses.dataclass
class Block:
    """A completely written block."""

    generation: str
    checksum: str
    body: bytes
    tier: Tier = Tier.MEMORY

    @property
    def etag(self) -> str:
        """Entity tag that ``If-Match`` is compared with."""
        return f'"{self.generation}-{self.checksum}"'


def checksum(body: bytes) -> str:
    """Return the hexadecimal checksum of a block body."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


class _TruncatedBody:
    """A body that ends the process after sending only a part."""

    def __init__(self, part: bytes) -> None:
        self._content = part

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the part, then stop the process."""
        yield self._content
        standin.stop_process(standin.EXIT_DIE, "fault die_in_transfer")

    async def aclose(self) -> None:
        """Do nothing; there are no resources to release."""


class Store:
    """Blocks by key; the least recently used are moved from memory to disk.

    Parameters
    ----------
    memory_bytes, disk_bytes : int
        Capacity of each tier, in bytes.
    memory_rate, disk_rate : float
        Bandwidth of the link to each tier, in bytes per second; 0 for unlimited.
    directory : pathlib.Path, optional
        Directory with a file per block, so that blocks survive a restart.
    """

    faults_type = faults.StoreFaults

    def __init__(
        self,
        memory_bytes: int = 1 << 30,
        disk_bytes: int = 1 << 32,
        memory_rate: float = 0.0,
        disk_rate: float = 0.0,
        directory: pathlib.Path | None = None,
    ) -> None:
        self.boot_id = uuid.uuid4().hex
        self.sizes = {Tier.MEMORY: memory_bytes, Tier.DISK: disk_bytes}
        self.links = {
            Tier.MEMORY: transfer.Link(memory_rate),
            Tier.DISK: transfer.Link(disk_rate),
        }
        self.rates = {Tier.MEMORY: memory_rate, Tier.DISK: disk_rate}
        # Least recently used first.
        self.blocks: collections.OrderedDict[str, Block] = collections.OrderedDict()
        self.feed = events.Feed()
        self.faults = faults.StoreFaults()
        self.counts: collections.Counter[str] = collections.Counter()
        self._directory = directory
        self._corrupt_reads = 0
        self._transfers_before_exit: int | None = None

    async def handle(self, req: http_server.Request) -> http_server.Response:
        """Handle one request."""
        if req.path == "/status" and req.method == "GET":
            return http_server.json_response(http.HTTPStatus.OK, self._status())
        if req.path == "/blocks" and req.method == "GET":
            return self._list(req)
        key = req.path.removeprefix(PREFIX)
        if not req.path.startswith(PREFIX) or not key:
            return standin.not_found(req)
        match req.method:
            case "GET":
                return await self._get(key, req)
            case "PUT":
                return await self._put(key, req)
            case "DELETE":
                return self._delete(key, req)
        return standin.not_found(req)

    async def _put(self, key: str, req: http_server.Request) -> http_server.Response:
        generation = req.headers.get("x-generation", "")
        expected = req.headers.get("x-checksum", "")
        if not generation or not expected:
            message = "the headers X-Generation and X-Checksum are required"
            return standin.error(http.HTTPStatus.BAD_REQUEST, "bad_block", message)
        actual = checksum(req.body)
        if actual != expected:
            message = (
                f"the body has the checksum {actual}, but the header says {expected}"
            )
            return standin.error(http.HTTPStatus.BAD_REQUEST, "bad_checksum", message)
        if self.faults.full:
            return self._full_response(key)
        # The block becomes visible only after the transfer is complete.
        self._write_part_file(key, req.body[: len(req.body) // 2])
        if self._dies_in_transfer():
            standin.stop_process(standin.EXIT_DIE, "fault die_in_transfer")
        await self.links[Tier.MEMORY].transfer(len(req.body))
        tier = self._make_room(len(req.body), key)
        if tier is None:
            return self._full_response(key)
        self._remove(key)
        block = Block(generation, expected, req.body, tier)
        self._write_block_file(key, block)
        self.blocks[key] = block
        self.counts["writes"] += 1
        self._publish("stored", key, block)
        headers = {"etag": block.etag}
        return http_server.json_response(http.HTTPStatus.CREATED, {}, headers)

    async def _get(self, key: str, req: http_server.Request) -> http_server.Response:
        block = self.blocks.get(key)
        if block is None:
            self.counts["misses"] += 1
            message = f"block {key} does not exist"
            return standin.error(http.HTTPStatus.NOT_FOUND, "absent", message)
        wanted = req.headers.get("if-match", "*").strip()
        if wanted not in ("*", block.etag):
            self.counts["mismatches"] += 1
            message = f"block {key} has the entity tag {block.etag}"
            return standin.error(
                http.HTTPStatus.PRECONDITION_FAILED, "precondition_failed", message
            )
        self.blocks.move_to_end(key)
        await self.links[block.tier].transfer(len(block.body))
        self.counts["reads"] += 1
        body = block.body
        if self._corrupt_reads > 0:
            self._corrupt_reads -= 1
            body = bytes(reversed(body))
        headers = {"etag": block.etag, "x-tier": block.tier.value}
        if self._dies_in_transfer():
            truncated = _TruncatedBody(body[: len(body) // 2])
            return http_server.Response(http.HTTPStatus.OK, truncated, headers)
        return http_server.Response(http.HTTPStatus.OK, body, headers)

    def _delete(self, key: str, req: http_server.Request) -> http_server.Response:
        block = self.blocks.get(key)
        wanted = req.headers.get("if-match", "*").strip()
        if block is None:
            message = f"block {key} does not exist"
            return standin.error(http.HTTPStatus.NOT_FOUND, "absent", message)
        if wanted not in ("*", block.etag):
            message = f"block {key} has the entity tag {block.etag}"
            return standin.error(
                http.HTTPStatus.PRECONDITION_FAILED, "precondition_failed", message
            )
        self._remove(key)
        return http_server.json_response(http.HTTPStatus.OK, {})

    def _list(self, req: http_server.Request) -> http_server.Response:
        after = events.parse_after(req.query)
        if after is None:
            message = "the query parameter after is not a number"
            return standin.error(http.HTTPStatus.BAD_REQUEST, "bad_after", message)
        entries = self.feed.read_after(after, trio.current_time())
        content = {"boot_id": self.boot_id, "blocks": entries}
        return http_server.json_response(http.HTTPStatus.OK, content)

    def _full_response(self, key: str) -> http_server.Response:
        self.counts["full"] += 1
        message = f"not enough space for block {key}"
        return standin.error(http.HTTPStatus.INSUFFICIENT_STORAGE, "full", message)

    def _used_bytes(self, tier: Tier) -> int:
        return sum(len(b.body) for b in self.blocks.values() if b.tier is tier)

    def _free_bytes(self, tier: Tier, excluded_key: str) -> int:
        """Return the free bytes of a tier, not counting one block as used."""
        used = self._used_bytes(tier)
        old = self.blocks.get(excluded_key)
        if old is not None and old.tier is tier:
            used -= len(old.body)
        return self.sizes[tier] - used

    def _make_room(self, size_bytes: int, replaced: str) -> Tier | None:
        """Move blocks to disk until a new block fits; return the tier for it."""
        for key, block in self.blocks.items():
            if size_bytes <= self._free_bytes(Tier.MEMORY, replaced):
                return Tier.MEMORY
            fits_disk = len(block.body) <= self._free_bytes(Tier.DISK, replaced)
            if key != replaced and block.tier is Tier.MEMORY and fits_disk:
                block.tier = Tier.DISK
        return next(
            (t for t in Tier if size_bytes <= self._free_bytes(t, replaced)), None
        )

    def _remove(self, key: str) -> None:
        block = self.blocks.pop(key, None)
        if block is not None:
            if self._directory is not None:
                self._block_path(self._directory, key, block).unlink()
            self._publish("removed", key, block)

    # Block files

    @staticmethod
    def _block_path(directory: pathlib.Path, key: str, block: Block) -> pathlib.Path:
        fields = (key, block.generation, block.checksum)
        names = [urllib.parse.quote(f, safe="").replace(".", "%2E") for f in fields]
        return directory / ".".join((*names, SUFFIX))

    def _write_part_file(self, key: str, part: bytes) -> None:
        if self._directory is not None:
            name = urllib.parse.quote(key, safe="")
            (self._directory / f"{name}.part").write_bytes(part)

    def _write_block_file(self, key: str, block: Block) -> None:
        """Write the file of a complete block.

        The rename at the end ensures that no partly written file has the
        name of a block file.
        """
        if self._directory is None:
            return
        self._write_part_file(key, block.body)
        part = self._directory / f"{urllib.parse.quote(key, safe='')}.part"
        part.rename(self._block_path(self._directory, key, block))

    def _load_block_files(self) -> None:
        """Load the blocks that an earlier process wrote."""
        if self._directory is None:
            return
        self._directory.mkdir(exist_ok=True)
        for path in self._directory.glob(f"*.{SUFFIX}"):
            names = path.name.split(".")[:3]
            key, generation, expected = map(urllib.parse.unquote, names)
            block = Block(generation, expected, path.read_bytes(), Tier.DISK)
            self.blocks[key] = block
            self._publish("stored", key, block)

    def _dies_in_transfer(self) -> bool:
        """Count a transfer; return whether the process must exit during it."""
        left = self._transfers_before_exit
        if left:
            self._transfers_before_exit = left - 1
        return left == 0

    def _publish(self, event: str, key: str, block: Block) -> None:
        self.feed.append(
            trio.current_time(),
            event,
            key,
            generation=block.generation,
            checksum=block.checksum,
            bytes=len(block.body),
            tier=block.tier.value,
        )

    def _status(self) -> dict[str, object]:
        tiers = {
            tier.value: {
                "size_bytes": self.sizes[tier],
                "used_bytes": self._used_bytes(tier),
                "rate_bytes_per_s": self.rates[tier] / self.faults.slowdown,
                "carried_bytes": self.links[tier].carried_bytes,
            }
            for tier in Tier
        }
        return {"boot_id": self.boot_id, "blocks": len(self.blocks), "tiers": tiers}

    def set_faults(self, wanted: faults.Faults) -> bool:
        """Apply new faults."""
        assert isinstance(wanted, faults.StoreFaults)
        self.faults = wanted
        self._corrupt_reads = wanted.corrupt_reads
        dies = wanted.die_in_transfer
        self._transfers_before_exit = None if dies is None else dies.after
        for link in self.links.values():
            link.slowdown = wanted.slowdown
        return False

    def stats(self) -> dict[str, object]:
        """Return counters for tests."""
        names = ("writes", "reads", "misses", "mismatches", "full")
        return {name: self.counts[name] for name in names} | self._status()

    async def run(self) -> None:
        """Load the blocks on disk, then wait for cancellation."""
        self._load_block_files()
        await trio.sleep_forever()

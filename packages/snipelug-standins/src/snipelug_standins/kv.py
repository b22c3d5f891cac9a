"""Transfer of KV cache blocks between an engine and KV cache stores."""

import msgspec

from snipelug_net import http_client
from snipelug_standins import store

TRANSFER_TIMEOUT_S = 30.0
MAX_BLOCK_BYTES = 256 * 1024 * 1024
ID_BYTES = 32
CREATED = 201
OK = 200


class StoreAddress(msgspec.Struct, frozen=True):
    """Address of a KV cache store."""

    host: str
    port: int


class ExportBlock(msgspec.Struct, frozen=True):
    """A block to export, identified by the key that the node computed for it."""

    key: str


class ExportOrder(msgspec.Struct, frozen=True):
    """Body of ``POST /kv/export``."""

    blocks: list[ExportBlock]
    store: StoreAddress
    generation: int | str


class StoredBlock(msgspec.Struct, frozen=True):
    """Identity of a block in a KV cache store."""

    key: str
    generation: int | str
    checksum: str


class ImportOrder(msgspec.Struct, frozen=True):
    """Body of ``POST /kv/import``."""

    blocks: list[StoredBlock]
    store: StoreAddress


def pack(block_id: str, size_bytes: int) -> bytes:
    """Return the body of a block, which starts with the block id."""
    filler = block_id.encode() * (1 + size_bytes // ID_BYTES)
    return filler[: max(size_bytes, ID_BYTES)]


def unpack(body: bytes) -> str:
    """Return the block id from the body of a block."""
    return body[:ID_BYTES].decode("ascii", "replace")


async def export_block(
    pool: http_client.Pool, order: ExportOrder, key: str, body: bytes
) -> StoredBlock | None:
    """Write one block to the store; return None if the write failed."""
    checksum = store.checksum(body)
    call = http_client.Call(
        (order.store.host, order.store.port),
        "PUT",
        f"/blocks/{key}",
        {"x-generation": str(order.generation), "x-checksum": checksum},
        body,
        TRANSFER_TIMEOUT_S,
    )
    full = await pool.fetch(call)
    if not isinstance(full, http_client.FullResponse) or full.status != CREATED:
        return None
    return StoredBlock(key, order.generation, checksum)


async def import_block(
    pool: http_client.Pool, address: StoreAddress, block: StoredBlock
) -> str | None:
    """Read one block from the store; return its id, or None for a miss."""
    call = http_client.Call(
        (address.host, address.port),
        "GET",
        f"/blocks/{block.key}",
        {"if-match": f'"{block.generation}-{block.checksum}"'},
        timeout_s=TRANSFER_TIMEOUT_S,
    )
    full = await pool.fetch(call, MAX_BLOCK_BYTES)
    if not isinstance(full, http_client.FullResponse) or full.status != OK:
        return None
    # Detects corruption in transit or in the store.
    if store.checksum(full.body) != block.checksum:
        return None
    return unpack(full.body)

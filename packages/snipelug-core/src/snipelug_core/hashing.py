"""Keyed hashes and rendezvous ranking."""

import collections.abc
import hashlib

DIGEST_BYTES = 16


def keyed_digest(key: bytes, *parts: bytes) -> bytes:
    """Return the keyed hash of the parts, each preceded by its length.

    Parameters
    ----------
    key : bytes
        Secret key of at most 64 bytes.
    *parts : bytes
        Values to hash. Length prefixes make ("ab", "c") and ("a", "bc") differ.

    Returns
    -------
    bytes
        Digest of 16 bytes.
    """
    digest = hashlib.blake2b(key=key, digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def rendezvous_score(item: str, candidate: str) -> int:
    """Return the rendezvous hashing score, which is the same in every process."""
    text = f"{item}\0{candidate}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def rank(item: str, candidates: collections.abc.Iterable[str]) -> list[str]:
    """Sort candidates for an item by descending rendezvous score.

    Removing a candidate leaves the order of the others unchanged.
    """
    return sorted(
        candidates, key=lambda c: (rendezvous_score(item, c), c), reverse=True
    )

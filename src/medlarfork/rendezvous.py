"""Assign keys to members and shards by consistent hashing, so that changes move few keys."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

_JUMP_FACTOR = 2862933555777941757
"""Multiplier of the linear congruential generator that draws the jumps."""

_JUMP_MASK = 2**64 - 1
"""Limits the generator's state to 64 bits."""

_JUMP_RANGE = float(2**31)
"""Range of the generator's upper bits, from which a jump is computed."""


def rank(key: str, member_ids: Iterable[str]) -> tuple[str, ...]:
    """Return the member ids, best first, by rendezvous (highest random weight) hashing.

    The loss of a member only moves the keys for which it was first.
    """
    return tuple(sorted(member_ids, key=lambda member_id: _weight(key, member_id), reverse=True))


def shard(key: str, shards: int) -> int:
    """Return the index of the shard that a key belongs to, by its hash modulo ``shards``."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % shards


def jump_hash(key: str, shards: int) -> int:
    """Return the index of the shard that a key belongs to, by jump consistent hashing.

    When ``shards`` grows by one, about ``n / shards`` of ``n`` keys move, all to the new shard.
    """
    state = int.from_bytes(hashlib.blake2b(key.encode(), digest_size=8).digest(), "big")
    index, next_index = 0, 0
    while next_index < shards:
        index = next_index
        state = (state * _JUMP_FACTOR + 1) & _JUMP_MASK
        next_index = int((index + 1) * (_JUMP_RANGE / ((state >> 33) + 1)))
    return index


def _weight(key: str, member_id: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{member_id}".encode(), digest_size=8).digest()

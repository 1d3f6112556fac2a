"""Rank members for a key so that each member's loss moves only the keys it was first for."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

_JUMP_FACTOR = 2862933555777941757
"""Factor of the linear congruential generator that draws the jumps."""

_JUMP_MASK = 2**64 - 1
"""Keeps its state to 64 bits."""

_JUMP_RANGE = float(2**31)
"""Range of its upper bits."""


def rank(key: str, member_ids: Iterable[str]) -> tuple[str, ...]:
    """Return the member ids, best first, by highest random weight."""
    return tuple(sorted(member_ids, key=lambda member_id: _weight(key, member_id), reverse=True))


def shard(key: str, shards: int) -> int:
    """Return which of ``shards`` parts a key belongs to."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % shards


def jump_hash(key: str, shards: int) -> int:
    """Return which of ``shards`` parts a key belongs to, so that one part more moves few keys.

    Jump consistent hashing: of ``n`` keys, about ``n / shards`` move when ``shards`` grows to that
    number, all of them to the new part.
    """
    state = int.from_bytes(hashlib.blake2b(key.encode(), digest_size=8).digest(), "big")
    part, following = 0, 0
    while following < shards:
        part = following
        state = (state * _JUMP_FACTOR + 1) & _JUMP_MASK
        following = int((part + 1) * (_JUMP_RANGE / ((state >> 33) + 1)))
    return part


def _weight(key: str, member_id: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{member_id}".encode(), digest_size=8).digest()

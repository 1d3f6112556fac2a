"""Rank members for a key so that each member's loss moves only the keys it was first for."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rank(key: str, member_ids: Iterable[str]) -> tuple[str, ...]:
    """Return the member ids, best first, by highest random weight."""
    return tuple(sorted(member_ids, key=lambda member_id: _weight(key, member_id), reverse=True))


def shard(key: str, shards: int) -> int:
    """Return which of ``shards`` parts a key belongs to."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % shards


def _weight(key: str, member_id: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{member_id}".encode(), digest_size=8).digest()

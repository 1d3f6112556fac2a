"""Divide a service's upstreams into shards, and choose the shard of each request: pure.

The load that this answers: hundreds of requests a second for tens of engines. One owner compares
every engine for every request, so its work grows with both; one that falls behind leaves entry
hosts to place blindly. Shards with an owner each divide both, and requests about one matter still
meet at the engines that have read it.

Engines come and go, in releases a third of them within seconds. So a shard more or less moves only
the engines of that shard: divided anew each time, all owners were new to all engines, and had them
read again what they held.
"""

from __future__ import annotations

import collections
import functools
import hashlib
import heapq
import math
from collections.abc import Iterable

from medlarfork import rendezvous
from medlarfork.coordination import upstream_types
from medlarfork.placement import placement_messages

UPSTREAMS_PER_SHARD = 12
"""Upstreams that a shard has on average, at most: more cost its owner more for each request, and
with fewer, shards are so uneven that the smallest refuse while others have room."""

OWNER_CACHE_SIZE = 256
"""Results that are remembered: asked for with every request, and new only when a replica comes or
goes."""

AFFINITY_SEGMENT = 1
"""Which part of a prompt names the matter that requests share; nearly all share the first."""


def count(upstreams: int) -> int:
    """Return into how many shards a service with this many upstreams is divided."""
    return max(1, math.ceil(upstreams / UPSTREAMS_PER_SHARD))


def sizes(
    service: str, upstreams: Iterable[upstream_types.Announcement]
) -> dict[placement_messages.Shard, int]:
    """Return the shards of a service with their numbers of upstreams; empty ones are left out."""
    own = [item.upstream_id for item in upstreams if item.service == service]
    parts = count(len(own))
    counted = collections.Counter(rendezvous.jump(upstream_id, parts) for upstream_id in own)
    return {
        placement_messages.Shard(service, index, parts): size
        for index, size in sorted(counted.items())
    }


def affinity_key(parts: tuple[placement_messages.PromptSegment, ...]) -> str:
    """Return what a prompt is about; empty if it shares nothing with others."""
    return parts[AFFINITY_SEGMENT].part_id if len(parts) > AFFINITY_SEGMENT else ""


def choose(
    key: str, size_by_shard: dict[placement_messages.Shard, int], service: str
) -> tuple[placement_messages.Shard, placement_messages.Shard | None]:
    """Return the shard for a key, in proportion to the shards' upstreams, and the next one.

    Weighted rendezvous hashing: a shard that grows or shrinks moves few keys.

    Args:
        key: What is to meet in one shard.
        size_by_shard: The shards with their numbers of upstreams.
        service: Used where there is no shard.

    Returns:
        The shard, and the one to be asked while it is busy; None if there is no other.
    """
    if len(size_by_shard) <= 1:
        return next(iter(size_by_shard), placement_messages.Shard(service)), None
    first, second = heapq.nlargest(
        2, size_by_shard, key=lambda shard: _score(key, shard, size_by_shard[shard])
    )
    return first, second


@functools.lru_cache(maxsize=OWNER_CACHE_SIZE)
def owners(service: str, count: int, replica_ids: tuple[str, ...]) -> tuple[str, ...]:
    """Return the owner of each shard of a service, in order; empty without replicas.

    Each is the first replica by a hash that owns no earlier shard, so that no replica has two
    while another has none, and one that is lost moves few shards. Another number of shards moves
    none of those that stay.
    """
    chosen: list[str] = []
    for index in range(count if replica_ids else 0):
        ranked = rendezvous.rank(f"{service}/{index}", replica_ids)
        taken = chosen[len(chosen) - len(chosen) % len(replica_ids) :]
        chosen.append(next(replica_id for replica_id in ranked if replica_id not in taken))
    return tuple(chosen)


def _score(key: str, shard: placement_messages.Shard, size: int) -> float:
    digest = hashlib.blake2b(f"{key}\0{shard.index}".encode(), digest_size=8).digest()
    draw = (int.from_bytes(digest, "big") + 0.5) / 2.0**64
    return -size / math.log(draw)

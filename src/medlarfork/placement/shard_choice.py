"""Divide a service's upstreams into shards, and choose the shard of each request. Pure.

It serves hundreds of requests a second on tens of engines. One owner compares every engine for
every request, so its work grows with both, and an owner that falls behind leaves entry hosts to
place without it. Shards with one owner each divide both, and requests with the same affinity key
still meet at the engines that hold their prefix.

Engines come and go, in a release a third of them within seconds. So adding or removing a shard
moves only the engines of that shard. A full reassignment would make all engines new to their
owners, who would recompute prefixes that the engines hold.
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
"""Highest mean number of upstreams in a shard. More of them cost the owner more time per
request; with fewer, shards differ so much in size that the smallest refuse while others have
capacity."""

OWNER_CACHE_SIZE = 256
"""Owner lists that are cached: they are needed for every request, and change only when a replica
joins or leaves."""

AFFINITY_SEGMENT = 1
"""Index of the prompt segment that is the affinity key; nearly all prompts share the first one."""


def count(upstreams: int) -> int:
    """Return the number of shards of a service with this many upstreams."""
    return max(1, math.ceil(upstreams / UPSTREAMS_PER_SHARD))


def sizes(
    service: str, upstreams: Iterable[upstream_types.Announcement], version: str | None = None
) -> dict[placement_messages.Shard, int]:
    """Return the shards of a service with their numbers of upstreams, without empty shards.

    Args:
        service: The service.
        upstreams: The upstreams of all services.
        version: Only upstreams of this version are counted; None for all.
    """
    own = [item for item in upstreams if item.service == service]
    shards = count(len(own))
    counted = collections.Counter(
        rendezvous.jump_hash(item.upstream_id, shards)
        for item in own
        if version is None or item.version == version
    )
    return {
        placement_messages.Shard(service, index, shards): size
        for index, size in sorted(counted.items())
    }


def affinity_key(segments: tuple[placement_messages.PromptSegment, ...]) -> str:
    """Return the affinity key of a prompt; empty if it shares nothing with others."""
    return segments[AFFINITY_SEGMENT].part_id if len(segments) > AFFINITY_SEGMENT else ""


def choose(
    key: str, size_by_shard: dict[placement_messages.Shard, int], service: str
) -> tuple[placement_messages.Shard, placement_messages.Shard | None]:
    """Return the shard for a key, in proportion to the shards' upstreams, and an alternative.

    It uses weighted rendezvous hashing, so that a shard that grows or shrinks moves few keys.

    Args:
        key: Requests with the same key get the same shard.
        size_by_shard: The shards with their numbers of upstreams.
        service: Used if there is no shard.

    Returns:
        The shard, and the one to ask while it is busy; None if there is no other.
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

    Each owner is the first replica in hash order that owns no earlier shard, so that no replica has
    two while another has none, and losing a replica moves few shards. Changing the number of shards
    moves none of the remaining ones.
    """
    chosen: list[str] = []
    for index in range(count if replica_ids else 0):
        ranked = rendezvous.rank(f"{service}/{index}", replica_ids)
        taken = chosen[len(chosen) - len(chosen) % len(replica_ids) :]
        chosen.append(next(replica_id for replica_id in ranked if replica_id not in taken))
    return tuple(chosen)


def _score(key: str, shard: placement_messages.Shard, size: int) -> float:
    digest = hashlib.blake2b(f"{key}\0{shard.index}".encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest, "big") + 0.5) / 2.0**64
    return -size / math.log(uniform)

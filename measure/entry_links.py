"""Measure how many links entry hosts need between them, and what using few pools costs.

The first part counts the owners that each host asks at the size to design for. The second part
lets requests arrive by chance at one service's pools in virtual time, once with each entry host
using a few of them and once using all. Run ``python -m measure.entry_links``.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import random
import statistics

from medlarfork import rendezvous, ticket
from medlarfork.entry import _shard_choice
from medlarfork.pool import ownership

HOSTS = (9, 100, 390)
MODELS = 23
SHARDS = 10
SLOTS = 29 * 8
"""Slots of a pool: 291 engines of a model are 29 a pool, with 8 slots each."""

UTILISATIONS = (0.8, 0.9, 0.97)
_DRAWS = 30
_DURATION_S = 40.0
_WARM_UP_S = 10.0
_USES_ALL = 1
"""A number of hosts so small that each of them uses every pool."""


@dataclasses.dataclass(frozen=True, slots=True)
class Links:
    """Hold the links that entry hosts need.

    Attributes:
        opened: Median of the connections that a host opens; each takes two descriptors.
        opened_most: Most that a host opens.
        accepted_most: Most connections that a host accepts; each takes one descriptor.
        descriptors_median: Median of a host's descriptors for both.
        descriptors_most: Most of them.
        callers_fewest: Entry hosts that use the pool with the fewest.
        callers_most: Entry hosts that use the pool with the most.
    """

    hosts: int
    subset: bool
    opened: float
    opened_most: int
    accepted_most: int
    descriptors_median: float
    descriptors_most: int
    callers_fewest: int
    callers_most: int


@dataclasses.dataclass(frozen=True, slots=True)
class Waits:
    """Hold how requests waited at one utilisation."""

    utilisation: float
    subset: bool
    queued_share: float
    wait_p99_s: float


def main() -> tuple[tuple[Links, ...], tuple[Waits, ...]]:
    """Measure and print."""
    links = tuple(count(hosts, subset=subset) for hosts in HOSTS for subset in (False, True))
    for item in links:
        print(
            f"{item.hosts:4} hosts, {'few pools' if item.subset else 'all pools'}:"
            f" opened {item.opened:.0f} (most {item.opened_most}),"
            f" accepted at most {item.accepted_most},"
            f" descriptors {item.descriptors_median:.0f} (most {item.descriptors_most}),"
            f" callers a pool {item.callers_fewest} to {item.callers_most}"
        )
    waits = tuple(wait(load, subset=subset) for load in UTILISATIONS for subset in (False, True))
    for item in waits:
        print(
            f"utilisation {item.utilisation:.2f}, {'few pools' if item.subset else 'all pools'}:"
            f" queued {item.queued_share:.3%}, 99th percentile of waits {item.wait_p99_s:.3f} s"
        )
    return links, waits


def count(hosts: int, *, subset: bool) -> Links:
    """Count the links of entry hosts that call every model."""
    ids = [f"entry-{number:03d}" for number in range(hosts)]
    pools_by_model = [_pools(model) for model in range(MODELS)]
    owner_by_pool = {pool: _owner(pool, ids) for pools in pools_by_model for pool in pools}
    callers: collections.Counter[str] = collections.Counter()
    accepted: collections.Counter[str] = collections.Counter()
    opened: dict[str, int] = {}
    for entry_id in ids:
        used = [pool for pools in pools_by_model for pool in _used(entry_id, pools, hosts, subset)]
        callers.update(used)
        owners = {owner_by_pool[pool] for pool in used} - {entry_id}
        accepted.update(owners)
        opened[entry_id] = len(owners)
    descriptors = [2 * opened[entry_id] + accepted[entry_id] for entry_id in ids]
    return Links(
        hosts,
        subset,
        statistics.median(opened.values()),
        max(opened.values()),
        max(accepted.values()),
        statistics.median(descriptors),
        max(descriptors),
        min(callers[pool] for pool in owner_by_pool),
        max(callers.values()),
    )


def wait(utilisation: float, *, subset: bool) -> Waits:
    """Let requests of 390 hosts arrive at one service, one second of work each on average."""
    hosts, generator = HOSTS[-1], random.Random(7)
    pools = _pools(0)
    choices = [
        _shard_choice.ShardChoice(f"entry-{number:03d}", random.Random(number))
        for number in range(hosts)
    ]
    busy_until: dict[str, list[float]] = {pool: [0.0] * SLOTS for pool in pools}
    rate_per_s = utilisation * SLOTS * SHARDS
    waits: list[float] = []
    now = 0.0
    while now < _DURATION_S:
        now += generator.expovariate(rate_per_s)
        choice = generator.choice(choices)
        pool = choice.choose(pools, hosts if subset else _USES_ALL, now)
        slots = busy_until[pool]
        starts_at = max(now, heapq.heappop(slots))
        heapq.heappush(slots, starts_at + generator.expovariate(1.0))
        if starts_at > now:
            running = sum(until > now for until in slots)
            queued = int((starts_at - now) * SLOTS)
            choice.record_summary(ticket.PoolSummary(pool, 29, SLOTS, running, queued, SLOTS), now)
        if now >= _WARM_UP_S:
            waits.append(starts_at - now)
    waits.sort()
    queued_share = sum(item > 0 for item in waits) / len(waits)
    return Waits(utilisation, subset, queued_share, waits[len(waits) * 99 // 100])


def _pools(model: int) -> tuple[str, ...]:
    return tuple(ownership.pool_name(f"model-{model}", shard) for shard in range(SHARDS))


def _owner(pool: str, ids: list[str]) -> str:
    return rendezvous.rank(pool, ids)[0]


def _used(entry_id: str, pools: tuple[str, ...], hosts: int, subset: bool) -> set[str]:
    if not subset:
        return set(pools)
    choice = _shard_choice.ShardChoice(entry_id, random.Random(1))
    return {choice.choose(pools, hosts, 0.0) for _ in range(_DRAWS)}


if __name__ == "__main__":
    main()

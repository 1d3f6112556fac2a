"""Choice of the pool for a request among the shards of a service, by last known load."""

from __future__ import annotations

import dataclasses
import random

from medlarfork import rendezvous, ticket

_MIN_POOLS = 2
"""Minimum number of a service's pools that an entry host uses, if there are as many."""

_MIN_CALLERS_PER_POOL = 16
"""Minimum average number of entry hosts per pool.

With so many, it is unlikely that the rendezvous order leaves a pool without any entry host.
"""

_MAX_EXTRA_POOLS = 2
"""Maximum number of further pools that an entry host tries while its own are overloaded.

Without a limit, every host would connect to every owner during an overload.
"""

_OVERLOAD_RATIO = 2.0
"""Running and queued requests per slot from which a pool counts as overloaded."""

_DEFAULT_LOAD = 0.5
"""Load assumed for a pool without a recent summary: no ticket was queued there."""

_SUMMARY_TTL_S = 5.0
"""Lifetime of a summary in seconds; a pool with queued tickets sends them more often."""


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedSummary:
    """A pool summary and the time it was received."""

    summary: ticket.PoolSummary
    received_at: float


class ShardChoice:
    """Picks the less loaded of two random pools out of the subset that this entry host uses.

    Each entry host uses the first pools in the rendezvous order for its own id. So it needs links
    to few owners, and its subset is stable when other hosts join or leave. With few entry hosts
    each uses more pools, so that every pool is used by some host.

    Two random choices are enough to balance the pools. Always choosing the least loaded pool would
    send all entry hosts to the same pool between two summaries.
    """

    def __init__(self, entry_id: str, generator: random.Random) -> None:
        """Start without summaries."""
        self._entry_id = entry_id
        self._generator = generator
        self._summary_by_pool: dict[str, _ReceivedSummary] = {}
        self._requests_since_by_pool: dict[str, int] = {}
        self._ranked_by_pools: dict[tuple[str, ...], tuple[str, ...]] = {}

    def record_summary(self, summary: ticket.PoolSummary, now: float) -> None:
        """Record a pool's newest summary."""
        self._summary_by_pool[summary.pool] = _ReceivedSummary(summary, now)
        self._requests_since_by_pool[summary.pool] = 0

    def retain_only(self, pools: frozenset[str]) -> None:
        """Remove the state of pools that no longer exist."""
        for by_pool in (self._summary_by_pool, self._requests_since_by_pool):
            for known in tuple(by_pool):
                if known not in pools:
                    del by_pool[known]
        self._ranked_by_pools.clear()

    def choose(self, pools: tuple[str, ...], hosts: int, now: float) -> str:
        """Return one of a service's pools; an empty string if there are none.

        Args:
            hosts: Number of entry hosts in the view.
        """
        if not pools:
            return ""
        candidates = self._candidates(pools, hosts, now)
        two = len(candidates) > 1
        sample = self._generator.sample(candidates, 2) if two else candidates
        chosen = min(sample, key=self._load)
        self._requests_since_by_pool[chosen] = self._requests_since_by_pool.get(chosen, 0) + 1
        return chosen

    def _candidates(self, pools: tuple[str, ...], hosts: int, now: float) -> tuple[str, ...]:
        """Return the pools to sample; further ones replace those without slots or overloaded."""
        self._evict_expired(pools, now)
        ranked = self._ranked(pools)
        count = _subset_size(len(pools), hosts)
        with_slots = tuple(pool for pool in ranked if self._may_have_slots(pool))
        nearest = with_slots[: count + _MAX_EXTRA_POOLS]
        not_overloaded = tuple(pool for pool in nearest if not self._is_overloaded(pool))
        return not_overloaded[:count] or with_slots[:count] or ranked[:count]

    def _evict_expired(self, pools: tuple[str, ...], now: float) -> None:
        """Evict expired summaries, so that a pool that was skipped is tried again."""
        for pool in pools:
            known = self._summary_by_pool.get(pool)
            if known is not None and now >= known.received_at + _SUMMARY_TTL_S:
                del self._summary_by_pool[pool]
                self._requests_since_by_pool[pool] = 0

    def _ranked(self, pools: tuple[str, ...]) -> tuple[str, ...]:
        ranked = self._ranked_by_pools.get(pools)
        if ranked is None:
            ranked = rendezvous.rank(self._entry_id, pools)
            self._ranked_by_pools[pools] = ranked
        return ranked

    def _may_have_slots(self, pool: str) -> bool:
        known = self._summary_by_pool.get(pool)
        return known is None or known.summary.slots > 0

    def _is_overloaded(self, pool: str) -> bool:
        known = self._summary_by_pool.get(pool)
        if known is None:
            return False
        return known.summary.running + known.summary.queued >= _OVERLOAD_RATIO * known.summary.slots

    def _load(self, pool: str) -> float:
        known = self._summary_by_pool.get(pool)
        if known is None:
            return _DEFAULT_LOAD
        summary = known.summary
        if not summary.slots:
            return float("inf")
        sent = self._requests_since_by_pool.get(pool, 0)
        return (summary.running + summary.queued + sent) / summary.slots


def _subset_size(pools: int, hosts: int) -> int:
    """Return how many of a service's pools each entry host uses."""
    for_callers = -(-pools * _MIN_CALLERS_PER_POOL // max(hosts, 1))
    return min(max(_MIN_POOLS, for_callers), pools)

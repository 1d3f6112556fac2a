"""Choose between the pools of a service: few for each entry host, by their last known load."""

from __future__ import annotations

import dataclasses
import random

from medlarfork import rendezvous, ticket

_MIN_POOLS = 2
"""Pools of a service that an entry host uses at least, if there are so many."""

_MIN_CALLERS_PER_POOL = 16
"""Entry hosts that use a pool on average at least; by chance alone none has no caller then."""

_MAX_EXTRA_POOLS = 2
"""Pools beyond its own that an entry host tries while its own are overloaded.

More would connect every host with every owner in just the worst moments.
"""

_OVERLOAD_RATIO = 2.0
"""Requests for each slot, running and queued, from which on others are tried."""

_DEFAULT_LOAD = 0.5
"""Load taken for a pool that sent no summary lately: no ticket had to wait there."""

_SUMMARY_TTL_S = 5.0
"""How long a summary counts, in seconds; a pool where tickets wait sends them more often."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    """Hold a summary and when it came."""

    summary: ticket.PoolSummary
    heard_at: float


class ShardChoice:
    """Pick the less loaded of two pools drawn by chance from those this entry host uses.

    Each entry host uses the first pools in rendezvous order for its own id, so that it needs
    links to few owners and keeps to them whoever joins or leaves. With few entry hosts each uses
    more of them, so that every pool has callers.

    Two draws suffice to keep the pools even, and unlike always taking the least loaded one they
    don't send every entry host to the same pool between two summaries.
    """

    def __init__(self, entry_id: str, generator: random.Random) -> None:
        """Start without knowledge of any pool."""
        self._entry_id = entry_id
        self._generator = generator
        self._heard_by_pool: dict[str, _Heard] = {}
        self._asked_since_by_pool: dict[str, int] = {}
        self._ranked_by_pools: dict[tuple[str, ...], tuple[str, ...]] = {}

    def record_summary(self, summary: ticket.PoolSummary, now: float) -> None:
        """Take a pool's newest load."""
        self._heard_by_pool[summary.pool] = _Heard(summary, now)
        self._asked_since_by_pool[summary.pool] = 0

    def retain_only(self, pools: frozenset[str]) -> None:
        """Forget pools that no longer exist."""
        for by_pool in (self._heard_by_pool, self._asked_since_by_pool):
            for known in tuple(by_pool):
                if known not in pools:
                    del by_pool[known]
        self._ranked_by_pools.clear()

    def choose(self, pools: tuple[str, ...], hosts: int, now: float) -> str:
        """Return one of a service's pools; an empty text if there are none.

        Args:
            hosts: Entry hosts of the view.
        """
        if not pools:
            return ""
        candidates = self._candidates(pools, hosts, now)
        two = len(candidates) > 1
        drawn = self._generator.sample(candidates, 2) if two else candidates
        chosen = min(drawn, key=self._load)
        self._asked_since_by_pool[chosen] = self._asked_since_by_pool.get(chosen, 0) + 1
        return chosen

    def _candidates(self, pools: tuple[str, ...], hosts: int, now: float) -> tuple[str, ...]:
        """Return the pools to draw from; others stand in for those that are no help."""
        self._forget_old(pools, now)
        ranked = self._ranked(pools)
        count = _subset_size(len(pools), hosts)
        alive = tuple(pool for pool in ranked if self._is_alive(pool))
        near = alive[: count + _MAX_EXTRA_POOLS]
        calm = tuple(pool for pool in near if not self._is_overloaded(pool))
        return calm[:count] or alive[:count] or ranked[:count]

    def _forget_old(self, pools: tuple[str, ...], now: float) -> None:
        """Forget old summaries, so that a pool that was no help is asked again."""
        for pool in pools:
            heard = self._heard_by_pool.get(pool)
            if heard is not None and now >= heard.heard_at + _SUMMARY_TTL_S:
                del self._heard_by_pool[pool]
                self._asked_since_by_pool[pool] = 0

    def _ranked(self, pools: tuple[str, ...]) -> tuple[str, ...]:
        ranked = self._ranked_by_pools.get(pools)
        if ranked is None:
            ranked = rendezvous.rank(self._entry_id, pools)
            self._ranked_by_pools[pools] = ranked
        return ranked

    def _is_alive(self, pool: str) -> bool:
        heard = self._heard_by_pool.get(pool)
        return heard is None or heard.summary.slots > 0

    def _is_overloaded(self, pool: str) -> bool:
        heard = self._heard_by_pool.get(pool)
        if heard is None:
            return False
        return heard.summary.running + heard.summary.queued >= _OVERLOAD_RATIO * heard.summary.slots

    def _load(self, pool: str) -> float:
        heard = self._heard_by_pool.get(pool)
        if heard is None:
            return _DEFAULT_LOAD
        summary = heard.summary
        if not summary.slots:
            return float("inf")
        asked = self._asked_since_by_pool.get(pool, 0)
        return (summary.running + summary.queued + asked) / summary.slots


def _subset_size(pools: int, hosts: int) -> int:
    """Return how many of a service's pools each entry host uses."""
    for_callers = -(-pools * _MIN_CALLERS_PER_POOL // max(hosts, 1))
    return min(max(_MIN_POOLS, for_callers), pools)

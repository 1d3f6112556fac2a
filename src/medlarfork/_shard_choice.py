"""Choose between the pools of a service by their last known load."""

from __future__ import annotations

import random

from medlarfork import ticket


class ShardChoice:
    """Pick the less loaded of two pools drawn by chance.

    Two draws suffice to keep the pools even, and unlike always taking the least loaded one they
    don't send every entry host to the same pool between two summaries.
    """

    def __init__(self, generator: random.Random) -> None:
        """Start without knowledge of any pool."""
        self._generator = generator
        self._summary_by_pool: dict[str, ticket.PoolSummary] = {}
        self._asked_since_by_pool: dict[str, int] = {}

    def learn(self, summary: ticket.PoolSummary) -> None:
        """Take a pool's newest load."""
        self._summary_by_pool[summary.pool] = summary
        self._asked_since_by_pool[summary.pool] = 0

    def keep_only(self, pools: frozenset[str]) -> None:
        """Forget pools that no longer exist."""
        for known in tuple(self._summary_by_pool):
            if known not in pools:
                del self._summary_by_pool[known]
        for known in tuple(self._asked_since_by_pool):
            if known not in pools:
                del self._asked_since_by_pool[known]

    def choose(self, pools: tuple[str, ...]) -> str:
        """Return one of the pools; an empty text if there are none."""
        if not pools:
            return ""
        drawn = pools if len(pools) == 1 else self._generator.sample(pools, 2)
        chosen = min(drawn, key=self._load)
        self._asked_since_by_pool[chosen] = self._asked_since_by_pool.get(chosen, 0) + 1
        return chosen

    def _load(self, pool: str) -> float:
        asked = self._asked_since_by_pool.get(pool, 0)
        summary = self._summary_by_pool.get(pool)
        if summary is None:
            return float(asked)
        if not summary.slots:
            return float("inf")
        return (summary.running + summary.queued + asked) / summary.slots

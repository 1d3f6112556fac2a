"""Size the slots withheld from lower tiers by the demand seen at higher ones."""

from __future__ import annotations

import math
from collections.abc import Mapping

from medlarfork.pool import _rate_meter

_FAST_S = 2.0
"""Window that notices a burst, in seconds."""
_SLOW_S = 30.0
"""Window that remembers one, in seconds."""
_SMOOTHING = 0.02
"""Least weight of the newest observation in a tier's means."""
_NEGLIGIBLE = 0.25
"""Part of a slot that is not rounded up to a whole one."""
_TRUST = 0.25
"""How far the mean rate of freed slots is relied on; they are freed in clusters."""
_MAX_SLACK_S = 60.0
"""Longest slack that matters, in seconds."""


class _Mean:
    """Average what is observed, with slow forgetting."""

    __slots__ = ("_count", "value")

    def __init__(self) -> None:
        self._count = 0
        self.value = 0.0

    def add(self, observed: float) -> None:
        """Add an observation."""
        self._count += 1
        self.value += max(_SMOOTHING, 1 / self._count) * (observed - self.value)


class Reserve:
    """Estimate how many slots each tier's arrivals occupy, from their rate and slot time."""

    def __init__(self, deviations: float, max_share: float) -> None:
        """Create an estimate; see ``PoolOptions`` for both numbers."""
        self._deviations = deviations
        self._max_share = max_share
        self._rates_by_tier: dict[int, tuple[_rate_meter.RateMeter, _rate_meter.RateMeter]] = {}
        self._slot_by_tier: dict[int, _Mean] = {}
        self._slack_by_tier: dict[int, _Mean] = {}

    def arrived(self, tier: int, slack_s: float, now: float) -> None:
        """Count an arrival that can wait for ``slack_s`` and still meet its target."""
        rates = self._rates_by_tier.get(tier)
        if rates is None:
            rates = (_rate_meter.RateMeter(_FAST_S), _rate_meter.RateMeter(_SLOW_S))
            self._rates_by_tier[tier] = rates
        for rate in rates:
            rate.add(now)
        bounded_s = min(_MAX_SLACK_S, max(0.0, slack_s))
        self._slack_by_tier.setdefault(tier, _Mean()).add(bounded_s)

    def released(self, tier: int, slot_s: float) -> None:
        """Learn how long a ticket of the tier held its slot."""
        self._slot_by_tier.setdefault(tier, _Mean()).add(slot_s)

    def is_top(self, tier: int) -> bool:
        """Return whether no arrival at a higher tier has been seen."""
        return all(higher >= tier for higher in self._rates_by_tier)

    def withheld(
        self,
        tier: int,
        slots: int,
        running_by_tier: Mapping[int, int],
        freed_per_s: float,
        now: float,
    ) -> int:
        """Return how many free slots the tier must leave to those above it.

        Each higher tier may need its mean demand and some deviations more, less what it runs
        now; less still if slots are freed so often that its arrivals can afford to wait.
        """
        wanted = 0.0
        for higher, rates in self._rates_by_tier.items():
            if higher >= tier:
                continue
            per_s = max(rate.per_s(now) for rate in rates)
            demand = per_s * self._mean_s(self._slot_by_tier, higher)
            most = demand + self._deviations * math.sqrt(demand)
            spare_per_s = max(0.0, freed_per_s - per_s)
            slack_s = self._mean_s(self._slack_by_tier, higher)
            risk = math.exp(-spare_per_s * slack_s * _TRUST)
            wanted += max(0.0, most - running_by_tier.get(higher, 0)) * risk
        return min(math.ceil(wanted - _NEGLIGIBLE), int(slots * self._max_share))

    def _mean_s(self, mean_by_tier: Mapping[int, _Mean], tier: int) -> float:
        mean = mean_by_tier.get(tier)
        return 0.0 if mean is None else mean.value

"""Slots withheld from lower tiers for the arrivals expected at higher tiers."""

from __future__ import annotations

import math
from collections.abc import Mapping

from medlarfork.pool import _rate_meter

_FAST_WINDOW_S = 2.0
"""Window of the arrival rate that reacts to a burst, in seconds."""
_SLOW_WINDOW_S = 30.0
"""Window of the arrival rate that keeps a past burst in account, in seconds."""
_MIN_SMOOTHING = 0.02
"""Minimum weight of the newest observation in a tier's means."""
_ROUNDING_TOLERANCE = 0.25
"""Fraction of a slot that is not rounded up to a full one."""
_FREED_RATE_CONFIDENCE = 0.25
"""Factor on the mean rate of freed slots, which overstates their availability: slots are freed in
clusters."""
_MAX_SLACK_S = 60.0
"""Upper bound of the slack recorded for an arrival, in seconds."""


class _DecayingMean:
    """Mean of all observations at first, then exponentially smoothed."""

    __slots__ = ("_count", "value")

    def __init__(self) -> None:
        self._count = 0
        self.value = 0.0

    def add(self, observed: float) -> None:
        """Add an observation."""
        self._count += 1
        self.value += max(_MIN_SMOOTHING, 1 / self._count) * (observed - self.value)


class Reserve:
    """Estimate each tier's slot demand from its arrival rate and slot time."""

    def __init__(self, deviations: float, max_share: float) -> None:
        """Start without observations.

        Args:
            deviations: ``PoolOptions.withhold_deviations``.
            max_share: ``PoolOptions.withhold_max_share``.
        """
        self._deviations = deviations
        self._max_share = max_share
        self._arrival_rates_by_tier: dict[
            int, tuple[_rate_meter.RateMeter, _rate_meter.RateMeter]
        ] = {}
        self._slot_time_by_tier: dict[int, _DecayingMean] = {}
        self._slack_by_tier: dict[int, _DecayingMean] = {}

    def record_arrival(self, tier: int, slack_s: float, now: float) -> None:
        """Count an arrival that can wait ``slack_s`` seconds and still meet its target."""
        rates = self._arrival_rates_by_tier.get(tier)
        if rates is None:
            rates = (_rate_meter.RateMeter(_FAST_WINDOW_S), _rate_meter.RateMeter(_SLOW_WINDOW_S))
            self._arrival_rates_by_tier[tier] = rates
        for rate in rates:
            rate.add(now)
        bounded_s = min(_MAX_SLACK_S, max(0.0, slack_s))
        self._slack_by_tier.setdefault(tier, _DecayingMean()).add(bounded_s)

    def record_release(self, tier: int, slot_s: float) -> None:
        """Record how long a ticket of the tier held its slot, in seconds."""
        self._slot_time_by_tier.setdefault(tier, _DecayingMean()).add(slot_s)

    def is_highest_seen(self, tier: int) -> bool:
        """Return whether no higher tier has had an arrival yet."""
        return all(higher >= tier for higher in self._arrival_rates_by_tier)

    def withheld(
        self,
        tier: int,
        slots: int,
        running_by_tier: Mapping[int, int],
        freed_per_s: float,
        now: float,
    ) -> int:
        """Return how many free slots the tier must leave to the tiers above it.

        Each higher tier needs its mean demand plus some standard deviations, minus what it runs
        now. The need is discounted if slots are freed so often that its arrivals can wait for one.
        """
        needed = 0.0
        for higher, rates in self._arrival_rates_by_tier.items():
            if higher >= tier:
                continue
            per_s = max(rate.per_s(now) for rate in rates)
            demand = per_s * self._mean_s(self._slot_time_by_tier, higher)
            max_demand = demand + self._deviations * math.sqrt(demand)
            spare_per_s = max(0.0, freed_per_s - per_s)
            slack_s = self._mean_s(self._slack_by_tier, higher)
            risk = math.exp(-spare_per_s * slack_s * _FREED_RATE_CONFIDENCE)
            needed += max(0.0, max_demand - running_by_tier.get(higher, 0)) * risk
        return min(math.ceil(needed - _ROUNDING_TOLERANCE), int(slots * self._max_share))

    def _mean_s(self, mean_by_tier: Mapping[int, _DecayingMean], tier: int) -> float:
        mean = mean_by_tier.get(tier)
        return 0.0 if mean is None else mean.value

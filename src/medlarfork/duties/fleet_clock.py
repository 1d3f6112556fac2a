"""Agree on the time of day among hosts whose clocks differ and jump; pure.

Each host compares its steady clock with the time of day of every replica that speaks to it, and
takes the median of the differences. A jump of less than half of the clocks moves it by no more than
their usual difference; the way of a message adds some milliseconds.
"""

from __future__ import annotations

import statistics

SAMPLE_S = 3.0
"""How long a replica's time counts after it was told, in seconds: several of its periods."""


class FleetClock:
    """Turn a host's steady time into the time of day that the fleet agrees on."""

    def __init__(self) -> None:
        """Start with nobody's time."""
        self._sample_by_source: dict[str, tuple[float, float]] = {}

    def add_sample(self, source: str, wall_s: float, steady_s: float) -> None:
        """Take a host's time of day, in Unix seconds, at a steady time of this one's."""
        self._sample_by_source[source] = (steady_s, wall_s - steady_s)

    def fleet_time_s(self, steady_s: float, own_wall_s: float) -> float:
        """Return the agreed time of day in Unix seconds.

        Args:
            steady_s: This host's steady time, which counts while it is suspended.
            own_wall_s: This host's time of day at that moment.
        """
        offsets = [
            offset for at, offset in self._sample_by_source.values() if steady_s - at <= SAMPLE_S
        ]
        offsets.append(own_wall_s - steady_s)
        return steady_s + statistics.median(offsets)

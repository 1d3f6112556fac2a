"""Common Unix time of hosts whose wall clocks differ and jump.

Pure: no I/O, no clock. Each host takes the median of the offsets between its steady clock and the
wall clocks of the replicas that send to it. If fewer than half of the clocks jump, the median moves
by no more than their usual difference; message latency adds a few milliseconds.
"""

from __future__ import annotations

import statistics

SAMPLE_S = 3.0
"""Maximum age of a replica's time sample, in seconds: several report periods."""


class FleetClock:
    """Converts a host's steady time to the fleet's common Unix time."""

    def __init__(self) -> None:
        """Start without samples."""
        self._sample_by_source: dict[str, tuple[float, float]] = {}

    def add_sample(self, source: str, wall_s: float, steady_s: float) -> None:
        """Add another host's Unix time, received at a steady time of this host; in seconds."""
        self._sample_by_source[source] = (steady_s, wall_s - steady_s)

    def fleet_time_s(self, steady_s: float, own_wall_s: float) -> float:
        """Return the fleet's common time, in Unix seconds.

        Args:
            steady_s: This host's steady time in seconds, which includes suspended time.
            own_wall_s: This host's Unix time at that moment, in seconds.
        """
        offsets = [
            offset for at, offset in self._sample_by_source.values() if steady_s - at <= SAMPLE_S
        ]
        offsets.append(own_wall_s - steady_s)
        return steady_s + statistics.median(offsets)

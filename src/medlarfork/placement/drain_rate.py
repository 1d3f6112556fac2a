"""Measure how fast requests that waited are started, by their reading: pure."""

from __future__ import annotations

import collections

WINDOW_S = 2.0
"""Time over which starts are counted, in seconds: tens of long prompts, and less than the targets
that are predicted with it."""

MIN_RATE = 0.1
"""Least rate that is reckoned with, as a share of one engine's time: nothing is predicted to wait
forever."""


class DrainRate:
    """Hold the reading that was started within the window."""

    def __init__(self) -> None:
        """Start with nothing."""
        self._starts: collections.deque[tuple[float, float]] = collections.deque()
        self._read_ms = 0.0

    def record_start(self, prefill_ms: float, now: float) -> None:
        """Count the reading of a request that starts now, in milliseconds."""
        self._starts.append((now, prefill_ms))
        self._read_ms += prefill_ms
        self._drop_old(now)

    def per_ms(self, now: float) -> float:
        """Return how many milliseconds of reading start in a millisecond."""
        self._drop_old(now)
        return max(self._read_ms / (WINDOW_S * 1000.0), MIN_RATE)

    def _drop_old(self, now: float) -> None:
        while self._starts and self._starts[0][0] < now - WINDOW_S:
            self._read_ms -= self._starts.popleft()[1]

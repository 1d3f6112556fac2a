"""Measure how fast queued requests start, by their prefill time. Pure: no I/O, no clock."""

from __future__ import annotations

import collections

WINDOW_S = 2.0
"""Window over which starts are counted, in seconds: it covers tens of long prompts, and is
shorter than the targets that are predicted with it."""

MIN_RATE = 0.1
"""Lowest rate that is assumed, as a fraction of one engine's time, so that no predicted wait is
infinite."""


class DrainRate:
    """Sum the prefill time that started within the window."""

    def __init__(self) -> None:
        """Start with an empty window."""
        self._starts: collections.deque[tuple[float, float]] = collections.deque()
        self._prefill_ms = 0.0

    def record_start(self, prefill_ms: float, now: float) -> None:
        """Count the prefill time of a request that starts now, in milliseconds."""
        self._starts.append((now, prefill_ms))
        self._prefill_ms += prefill_ms
        self._drop_old(now)

    def per_ms(self, now: float) -> float:
        """Return the prefill time that starts per millisecond, in milliseconds."""
        self._drop_old(now)
        return max(self._prefill_ms / (WINDOW_S * 1000.0), MIN_RATE)

    def _drop_old(self, now: float) -> None:
        while self._starts and self._starts[0][0] < now - WINDOW_S:
            self._prefill_ms -= self._starts.popleft()[1]

"""An event rate with exponential decay."""

from __future__ import annotations

import math


class RateMeter:
    """Measure the rate of events over a recent window, in constant memory."""

    __slots__ = ("_count", "_first", "_last", "_window_s")

    def __init__(self, window_s: float) -> None:
        """Create a meter whose events decay with time constant ``window_s``, in seconds."""
        self._window_s = window_s
        self._count = 0.0
        self._first: float | None = None
        self._last = 0.0

    def add(self, now: float, amount: float = 1.0) -> None:
        """Count an event."""
        if self._first is None:
            self._first = now
        self._count = self._decayed(now) + amount
        self._last = now

    def per_s(self, now: float) -> float:
        """Return the rate per second; a meter younger than its window divides by its age."""
        if self._first is None:
            return 0.0
        age = max(now - self._first, self._window_s / 10)
        span = self._window_s * -math.expm1(-age / self._window_s)
        return self._decayed(now) / span

    def _decayed(self, now: float) -> float:
        return self._count * math.exp(-max(0.0, now - self._last) / self._window_s)

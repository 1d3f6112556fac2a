"""Measure the rate of something that happens now and then, over the last seconds."""

from __future__ import annotations

import math


class RateMeter:
    """Count events with exponential forgetting; constant memory."""

    __slots__ = ("_count", "_first", "_last", "_window_s")

    def __init__(self, window_s: float) -> None:
        """Create a counter that forgets over about ``window_s`` seconds."""
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
        """Return the rate a second; a young counter divides by its age, not its window."""
        if self._first is None:
            return 0.0
        age = max(now - self._first, self._window_s / 10)
        span = self._window_s * -math.expm1(-age / self._window_s)
        return self._decayed(now) / span

    def _decayed(self, now: float) -> float:
        return self._count * math.exp(-max(0.0, now - self._last) / self._window_s)

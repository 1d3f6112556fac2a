"""Limit a rate with a token bucket."""

from __future__ import annotations

import math


class TokenBucket:
    """Refill at a rate up to a burst; may be overdrawn."""

    def __init__(self, per_s: float, burst: float, now: float) -> None:
        """Create a full bucket."""
        self.per_s = per_s
        self.burst = burst
        self._level = burst
        self._filled = now

    def wait_s(self, now: float, needed: float) -> float:
        """Return how long until ``needed`` is there; 0 if it is now."""
        self._level = min(self.burst, self._level + max(0.0, now - self._filled) * self.per_s)
        self._filled = now
        missing = needed - self._level
        if missing <= 0:
            return 0.0
        return missing / self.per_s if self.per_s > 0 else math.inf

    def take(self, amount: float) -> None:
        """Take an amount, whether it is there or not."""
        self._level -= amount

"""A token bucket."""

from __future__ import annotations

import math


class TokenBucket:
    """Limit a rate; the level refills up to the burst and may be overdrawn."""

    def __init__(self, per_s: float, burst: float, now: float) -> None:
        """Create a full bucket."""
        self.per_s = per_s
        self.burst = burst
        self._level = burst
        self._refilled_at = now

    def wait_s(self, now: float, needed: float) -> float:
        """Return the seconds until the level reaches ``needed``; 0 if it already has."""
        self._level = min(self.burst, self._level + max(0.0, now - self._refilled_at) * self.per_s)
        self._refilled_at = now
        missing = needed - self._level
        if missing <= 0:
            return 0.0
        return missing / self.per_s if self.per_s > 0 else math.inf

    def consume(self, amount: float) -> None:
        """Subtract an amount, even if the level becomes negative."""
        self._level -= amount

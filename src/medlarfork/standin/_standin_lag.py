"""Load of a stand-in, reported with a delay as by real engines."""

from __future__ import annotations

import collections
import dataclasses

from medlarfork import upstream

_MAX_SAMPLES = 1000
"""Maximum number of samples; if more are taken within the delay, the delay becomes shorter."""


class DelayedLoad:
    """Samples of the load, of which an old one is reported."""

    def __init__(self, lag_s: float) -> None:
        """Report loads that are at least ``lag_s`` seconds old."""
        self._lag_s = lag_s
        self._samples: collections.deque[tuple[float, upstream.Load]] = collections.deque(
            [(0.0, upstream.Load())], maxlen=_MAX_SAMPLES
        )

    def report(self, load: upstream.Load, now: float) -> upstream.Load:
        """Record the current load and return the newest sample that is old enough."""
        self._samples.append((now, load))
        while len(self._samples) > 1 and self._samples[1][0] <= now - self._lag_s:
            self._samples.popleft()
        taken_at, reported = self._samples[0]
        return dataclasses.replace(reported, age_s=now - taken_at if taken_at else 0.0)

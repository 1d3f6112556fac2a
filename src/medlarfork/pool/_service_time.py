"""Service times of requests: mean and quantiles over recent samples, per class and account."""

from __future__ import annotations

import bisect
import collections

_MAX_SAMPLES = 64
"""Durations kept for each key; the oldest is replaced first."""
_MIN_SAMPLES = 12
"""Samples below which a key gives no estimate."""
_MAX_KEYS = 1024
"""Keys kept; the least recently updated one is evicted first."""


class _SampleWindow:
    """Hold the latest durations, both in order of arrival and sorted."""

    __slots__ = ("_latest", "_sorted", "total")

    def __init__(self) -> None:
        self._latest: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []
        self.total = 0.0

    def __len__(self) -> int:
        return len(self._sorted)

    def add(self, duration_s: float) -> None:
        """Add a duration; a full window drops its oldest one."""
        if len(self._latest) == _MAX_SAMPLES:
            oldest = self._latest.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
            self.total -= oldest
        self._latest.append(duration_s)
        bisect.insort(self._sorted, duration_s)
        self.total += duration_s

    def quantile(self, fraction: float) -> float:
        """Return the duration that the given fraction of all samples falls below."""
        return self._sorted[min(len(self._sorted) - 1, int(fraction * len(self._sorted)))]


class ServiceTimeEstimate:
    """Estimate how long requests hold a slot.

    An account with too few samples falls back to its class; without enough samples there, the
    estimate is None.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self._window_by_key: collections.OrderedDict[tuple[str, str], _SampleWindow]
        self._window_by_key = collections.OrderedDict()

    def add(self, class_name: str, account: str, duration_s: float) -> None:
        """Add the service time of a finished request."""
        for key in ((class_name, account), (class_name, "")):
            window = self._window_by_key.get(key)
            if window is None:
                window = self._window_by_key[key] = _SampleWindow()
            self._window_by_key.move_to_end(key)
            window.add(duration_s)
        while len(self._window_by_key) > _MAX_KEYS:
            self._window_by_key.popitem(last=False)

    def quantile(self, class_name: str, account: str, fraction: float) -> float | None:
        """Return a quantile in seconds, or None if there are too few samples."""
        window = self._window(class_name, account)
        return None if window is None else window.quantile(fraction)

    def quantiles(
        self, class_name: str, account: str, fractions: tuple[float, ...]
    ) -> tuple[float, ...] | None:
        """Return several quantiles in seconds, or None if there are too few samples."""
        window = self._window(class_name, account)
        return (
            None if window is None else tuple(window.quantile(fraction) for fraction in fractions)
        )

    def mean(self, class_name: str, account: str) -> float | None:
        """Return the mean in seconds, or None if there are too few samples."""
        window = self._window(class_name, account)
        return None if window is None else window.total / len(window)

    def _window(self, class_name: str, account: str) -> _SampleWindow | None:
        for key in ((class_name, account), (class_name, "")):
            window = self._window_by_key.get(key)
            if window is not None and len(window) >= _MIN_SAMPLES:
                return window
        return None

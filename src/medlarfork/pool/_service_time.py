"""Learn how long requests hold a slot: bounded quantiles per class and account."""

from __future__ import annotations

import bisect
import collections

_SAMPLES = 64
"""Latest durations kept for each key."""
_ENOUGH = 12
"""Samples below which a key's quantiles are not believed."""
_MAX_KEYS = 1024
"""Keys kept; the one unused for longest goes first."""


class _Window:
    """Hold the latest durations in order of arrival and of size."""

    __slots__ = ("_latest", "_sorted", "total")

    def __init__(self) -> None:
        self._latest: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []
        self.total = 0.0

    def __len__(self) -> int:
        return len(self._sorted)

    def add(self, duration_s: float) -> None:
        """Add a duration; the oldest goes."""
        if len(self._latest) == _SAMPLES:
            oldest = self._latest.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
            self.total -= oldest
        self._latest.append(duration_s)
        bisect.insort(self._sorted, duration_s)
        self.total += duration_s

    def quantile(self, share: float) -> float:
        """Return the duration that a share of all falls below."""
        return self._sorted[min(len(self._sorted) - 1, int(share * len(self._sorted)))]


class ServiceTimeEstimate:
    """Estimate service times; with too few samples it says so instead of guessing."""

    def __init__(self) -> None:
        """Create an estimate that knows nothing."""
        self._window_by_key: collections.OrderedDict[tuple[str, str], _Window]
        self._window_by_key = collections.OrderedDict()

    def add(self, class_name: str, account: str, duration_s: float) -> None:
        """Learn from one finished request."""
        for key in ((class_name, account), (class_name, "")):
            window = self._window_by_key.get(key)
            if window is None:
                window = self._window_by_key[key] = _Window()
            self._window_by_key.move_to_end(key)
            window.add(duration_s)
        while len(self._window_by_key) > _MAX_KEYS:
            self._window_by_key.popitem(last=False)

    def quantile(self, class_name: str, account: str, share: float) -> float | None:
        """Return a quantile in seconds, or None while too little is known."""
        window = self._window(class_name, account)
        return None if window is None else window.quantile(share)

    def quantiles(
        self, class_name: str, account: str, shares: tuple[float, ...]
    ) -> tuple[float, ...] | None:
        """Return several quantiles in seconds, or None while too little is known."""
        window = self._window(class_name, account)
        return None if window is None else tuple(window.quantile(share) for share in shares)

    def mean(self, class_name: str, account: str) -> float | None:
        """Return the mean in seconds, or None while too little is known."""
        window = self._window(class_name, account)
        return None if window is None else window.total / len(window)

    def _window(self, class_name: str, account: str) -> _Window | None:
        for key in ((class_name, account), (class_name, "")):
            window = self._window_by_key.get(key)
            if window is not None and len(window) >= _ENOUGH:
                return window
        return None

"""Take times for a histogram, and keep them until the library that sums them up is loaded."""

from __future__ import annotations

import collections
import contextlib
from collections.abc import Callable, Mapping
from typing import Protocol


class Histogram(Protocol):
    """What times are handed on to: a histogram of OpenTelemetry."""

    def record(self, amount: float, attributes: Mapping[str, str] | None = None) -> None:
        """Add one time."""
        ...


class Timing:
    """Record the times of one kind of event, in seconds.

    Attributes:
        name: The histogram's name.
        description: What is timed.
    """

    def __init__(
        self, name: str, description: str, *, max_pending: int, on_full: Callable[[], None]
    ) -> None:
        """Start without a histogram.

        Args:
            name: The histogram's name.
            description: What is timed.
            max_pending: How many times are kept before a histogram is asked for.
            on_full: Asks for it; called once.
        """
        self.name = name
        self.description = description
        self._max_pending = max_pending
        self._on_full = on_full
        self._histogram: Histogram | None = None
        self._pending: collections.deque[tuple[float, dict[str, str]]] = collections.deque()

    def record(self, seconds: float, labels: dict[str, str] | None = None) -> None:
        """Take one time."""
        if self._histogram is not None:
            self._histogram.record(seconds, labels)
            return
        self._pending.append((seconds, labels or {}))
        if len(self._pending) == self._max_pending:
            self._on_full()
        if self._histogram is not None:
            # It came from another thread between the look and the append.
            self._flush_pending(self._histogram)

    def attach(self, histogram: Histogram) -> None:
        """Hand what was kept, and all that follows, on to a histogram; from any thread."""
        self._histogram = histogram
        self._flush_pending(histogram)

    def _flush_pending(self, histogram: Histogram) -> None:
        with contextlib.suppress(IndexError):
            while True:
                histogram.record(*self._pending.popleft())

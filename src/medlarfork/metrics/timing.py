"""Recorder of times for a histogram that buffers them until the SDK is loaded."""

from __future__ import annotations

import collections
import contextlib
from collections.abc import Callable, Mapping
from typing import Protocol


class Histogram(Protocol):
    """Interface of an OpenTelemetry histogram."""

    def record(self, amount: float, attributes: Mapping[str, str] | None = None) -> None:
        """Record one time."""
        ...


class Timing:
    """Recorder of the times of one kind of event, in seconds.

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
            max_pending: Number of buffered times at which a histogram is requested.
            on_full: Called once at that number, to have a histogram attached.
        """
        self.name = name
        self.description = description
        self._max_pending = max_pending
        self._on_full = on_full
        self._histogram: Histogram | None = None
        self._pending: collections.deque[tuple[float, dict[str, str]]] = collections.deque()

    def record(self, seconds: float, labels: dict[str, str] | None = None) -> None:
        """Record one time."""
        if self._histogram is not None:
            self._histogram.record(seconds, labels)
            return
        self._pending.append((seconds, labels or {}))
        if len(self._pending) == self._max_pending:
            self._on_full()
        if self._histogram is not None:
            # Another thread attached it between the check and the append.
            self._flush_pending(self._histogram)

    def attach(self, histogram: Histogram) -> None:
        """Forward the buffered times and all later ones to a histogram; callable in any thread."""
        self._histogram = histogram
        self._flush_pending(histogram)

    def _flush_pending(self, histogram: Histogram) -> None:
        with contextlib.suppress(IndexError):
            while True:
                histogram.record(*self._pending.popleft())

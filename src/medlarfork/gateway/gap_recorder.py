"""Records the inter-event gaps of one stream, which show the load of its engine."""

from __future__ import annotations

from medlarfork.placement import placement_messages

MIN_EVENTS = 4
"""Minimum number of events for a summary; fewer give no representative median."""

MAX_GAPS = 256
"""Number of gaps stored for one stream, the first ones; bounds memory."""


class GapRecorder:
    """Collects the inter-event gaps of one attempt."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._event_at = 0.0
        self._longest_ms = 0.0
        self._gaps_ms: list[float] = []

    def record_event(self, now: float) -> float:
        """Record an event passed on at a monotonic time; return the gap before it in ms."""
        gap_ms = (now - self._event_at) * 1000.0 if self._event_at else 0.0
        if self._event_at and len(self._gaps_ms) < MAX_GAPS:
            self._gaps_ms.append(gap_ms)
        self._longest_ms = max(self._longest_ms, gap_ms)
        self._event_at = now
        return gap_ms

    def summary(self) -> placement_messages.InterEventGaps | None:
        """Return the median and the longest gap; None if there were too few events."""
        if len(self._gaps_ms) < MIN_EVENTS - 1:
            return None
        return placement_messages.InterEventGaps(_median(self._gaps_ms), self._longest_ms)


def _median(values: list[float]) -> float:
    """Return the median; the standard library's costs an entry host five modules at start-up."""
    ordered = sorted(values)
    count = len(ordered)
    return (ordered[(count - 1) // 2] + ordered[count // 2]) / 2.0

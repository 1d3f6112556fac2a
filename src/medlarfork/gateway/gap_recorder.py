"""Note the pauses between the events of one stream: they tell how its engine works."""

from __future__ import annotations

from medlarfork.placement import placement_messages

MIN_EVENTS = 4
"""Events from which a stream's pauses are told: fewer have no usual one."""

MAX_GAPS = 256
"""Pauses that are remembered of one stream, the first ones, which bounds memory."""


class GapRecorder:
    """Collect the pauses of one attempt."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._event_at = 0.0
        self._longest_ms = 0.0
        self._pauses_ms: list[float] = []

    def note_event(self, now: float) -> float:
        """Note that an event is passed on at a monotonic time; return the pause before it in ms."""
        pause_ms = (now - self._event_at) * 1000.0 if self._event_at else 0.0
        if self._event_at and len(self._pauses_ms) < MAX_GAPS:
            self._pauses_ms.append(pause_ms)
        self._longest_ms = max(self._longest_ms, pause_ms)
        self._event_at = now
        return pause_ms

    def whole(self) -> placement_messages.InterEventGaps | None:
        """Return the pauses; None if there were too few events."""
        if len(self._pauses_ms) < MIN_EVENTS - 1:
            return None
        return placement_messages.InterEventGaps(_median(self._pauses_ms), self._longest_ms)


def _median(values: list[float]) -> float:
    """Return the median; the standard library's costs an entry host's start five modules."""
    ordered = sorted(values)
    count = len(ordered)
    return (ordered[(count - 1) // 2] + ordered[count // 2]) / 2.0

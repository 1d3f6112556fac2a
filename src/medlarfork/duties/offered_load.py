"""Offered load of a service, in engines kept busy, from the load reports of its owners."""

from __future__ import annotations

import collections
import dataclasses

from medlarfork.placement import placement_messages

AVERAGING_WINDOW_S = 1.0
"""Averaging window of prefill load, in seconds: short enough to show bursts that matter, long
enough that a single long prompt does not look like a burst."""

PEAK_HOLD_S = 20.0
"""How long a peak is held, in seconds: bursts recur, and an engine takes seconds to start."""


@dataclasses.dataclass(frozen=True, slots=True)
class _LoadReport:
    at: float
    work: placement_messages.ServiceLoad


class OfferedLoad:
    """Sums the load reports of all replicas for one service.

    Pure: no I/O, no clock.
    """

    def __init__(self) -> None:
        """Start without reports."""
        self._last_by_source: dict[tuple[str, int], _LoadReport] = {}
        self._offered: collections.deque[tuple[float, float]] = collections.deque()
        self._peaks: collections.deque[tuple[float, float]] = collections.deque()

    def update(
        self, source: str, boot: int, work: placement_messages.ServiceLoad, now: float
    ) -> None:
        """Add a replica's report; the first of each start is only the base for the next ones."""
        last = self._last_by_source.get((source, boot))
        self._last_by_source[(source, boot)] = _LoadReport(now, work)
        if last is not None:
            self._offered.append((now, max(0.0, work.read_ms - last.work.read_ms)))

    def busy_engines(self, slots: int, now: float) -> float:
        """Return how many engines the current load would keep fully busy."""
        while self._offered and self._offered[0][0] <= now - AVERAGING_WINDOW_S:
            self._offered.popleft()
        self._last_by_source = {
            source: report
            for source, report in self._last_by_source.items()
            if report.at > now - PEAK_HOLD_S
        }
        prefill_engines = sum(read_ms for _, read_ms in self._offered) / (
            AVERAGING_WINDOW_S * 1000.0
        )
        recent = (
            report
            for report in self._last_by_source.values()
            if report.at > now - AVERAGING_WINDOW_S
        )
        return max(prefill_engines, sum(report.work.requests for report in recent) / max(slots, 1))

    def peak_engines(self, slots: int, now: float) -> float:
        """Return the highest load of the last ``PEAK_HOLD_S``, in fully busy engines."""
        busy_engines = self.busy_engines(slots, now)
        while self._peaks and self._peaks[-1][1] <= busy_engines:
            self._peaks.pop()
        self._peaks.append((now, busy_engines))
        while self._peaks[0][0] <= now - PEAK_HOLD_S:
            self._peaks.popleft()
        return self._peaks[0][1]

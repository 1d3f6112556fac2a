"""Measure how many engines' work is offered to a service, by what its owners were asked; pure."""

from __future__ import annotations

import collections
import dataclasses

from medlarfork.placement import placement_messages

AVERAGING_WINDOW_S = 1.0
"""Time over which reading is averaged, in seconds: as short as bursts that matter, long enough that
single long prompts do not look like one."""

PEAK_HOLD_S = 20.0
"""How long a peak is held, in seconds: bursts return, and an engine takes seconds to start."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Told:
    at: float
    work: placement_messages.ServiceLoad


class OfferedLoad:
    """Sum what all replicas tell of one service."""

    def __init__(self) -> None:
        """Start without load."""
        self._last_by_source: dict[tuple[str, int], _Told] = {}
        self._offered: collections.deque[tuple[float, float]] = collections.deque()
        self._peaks: collections.deque[tuple[float, float]] = collections.deque()

    def take(
        self, source: str, boot: int, work: placement_messages.ServiceLoad, now: float
    ) -> None:
        """Take a replica's sums; those of a new start count from the next message on."""
        last = self._last_by_source.get((source, boot))
        self._last_by_source[(source, boot)] = _Told(now, work)
        if last is not None:
            self._offered.append((now, max(0.0, work.read_ms - last.work.read_ms)))

    def engines(self, slots: int, now: float) -> float:
        """Return how many engines the load offered now would keep busy all the time."""
        while self._offered and self._offered[0][0] <= now - AVERAGING_WINDOW_S:
            self._offered.popleft()
        self._last_by_source = {
            source: told
            for source, told in self._last_by_source.items()
            if told.at > now - PEAK_HOLD_S
        }
        reading = sum(read_ms for _, read_ms in self._offered) / (AVERAGING_WINDOW_S * 1000.0)
        fresh = (
            told for told in self._last_by_source.values() if told.at > now - AVERAGING_WINDOW_S
        )
        return max(reading, sum(told.work.requests for told in fresh) / max(slots, 1))

    def peak(self, slots: int, now: float) -> float:
        """Return the highest load of the last while, in engines that are always busy."""
        engines = self.engines(slots, now)
        while self._peaks and self._peaks[-1][1] <= engines:
            self._peaks.pop()
        self._peaks.append((now, engines))
        while self._peaks[0][0] <= now - PEAK_HOLD_S:
            self._peaks.popleft()
        return self._peaks[0][1]

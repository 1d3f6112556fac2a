"""Measure how many engines' work is offered to a service, by what its owners were asked; pure."""

from __future__ import annotations

import collections

from medlarfork.placement import placement_messages

SPAN_S = 1.0
"""Time over which load is averaged, in seconds: as short as bursts that matter, long enough that
single long prompts do not look like one."""

HOLD_S = 20.0
"""How long a peak is held, in seconds: bursts return, and an engine takes seconds to start."""


class OfferedLoad:
    """Sum what all replicas tell of one service."""

    def __init__(self) -> None:
        """Start without load."""
        self._last_by_source: dict[tuple[str, int], placement_messages.OfferedWork] = {}
        self._offered: collections.deque[tuple[float, float, float]] = collections.deque()
        self._read_ms = 0.0
        self._slot_ms = 0.0
        self._peaks: collections.deque[tuple[float, float]] = collections.deque()

    def take(
        self, source: str, boot: int, load: placement_messages.OfferedWork, now: float
    ) -> None:
        """Take a replica's sums; those of a new start count from the next message on."""
        last = self._last_by_source.get((source, boot), load)
        self._last_by_source[(source, boot)] = load
        read_ms = max(0.0, load.read_ms - last.read_ms)
        slot_ms = max(0.0, load.slot_ms - last.slot_ms)
        self._offered.append((now, read_ms, slot_ms))
        self._read_ms += read_ms
        self._slot_ms += slot_ms

    def engines(self, slots: int, now: float) -> float:
        """Return how many engines the load offered now would keep busy all the time."""
        while self._offered and self._offered[0][0] <= now - SPAN_S:
            _, read_ms, slot_ms = self._offered.popleft()
            self._read_ms -= read_ms
            self._slot_ms -= slot_ms
        span_ms = SPAN_S * 1000.0
        return max(self._read_ms / span_ms, self._slot_ms / span_ms / max(slots, 1), 0.0)

    def peak(self, slots: int, now: float) -> float:
        """Return the highest load of the last while, in engines that are always busy."""
        engines = self.engines(slots, now)
        while self._peaks and self._peaks[-1][1] <= engines:
            self._peaks.pop()
        self._peaks.append((now, engines))
        while self._peaks[0][0] <= now - HOLD_S:
            self._peaks.popleft()
        return self._peaks[0][1]

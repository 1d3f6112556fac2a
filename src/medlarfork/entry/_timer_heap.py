"""Timer heap with one timer per key."""

from __future__ import annotations

import heapq
import math
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

_SLACK = 64
"""Stale heap entries tolerated beyond twice the number of live ones."""


class TimerHeap(Generic[Key]):
    """Sets, moves and clears timers in logarithmic time; memory is linear in the live timers."""

    def __init__(self) -> None:
        """Start without timers."""
        self._due_by_key: dict[Key, float] = {}
        self._heap: list[tuple[float, int, Key]] = []
        self._pushed = 0

    def __len__(self) -> int:
        """Return the number of timers that are set."""
        return len(self._due_by_key)

    def set(self, key: Key, at: float) -> None:
        """Set or move the key's timer; an infinite time clears it."""
        if at == math.inf:
            self.clear(key)
            return
        if self._due_by_key.get(key) == at:
            return
        self._due_by_key[key] = at
        self._pushed += 1
        heapq.heappush(self._heap, (at, self._pushed, key))
        if len(self._heap) > 2 * len(self._due_by_key) + _SLACK:
            self._rebuild()

    def clear(self, key: Key) -> None:
        """Clear the key's timer, if it is set."""
        self._due_by_key.pop(key, None)

    def pop_due(self, now: float) -> Key | None:
        """Remove and return a key whose timer is due; None if there is none."""
        if self.earliest() > now:
            return None
        _, _, key = heapq.heappop(self._heap)
        del self._due_by_key[key]
        return key

    def earliest(self) -> float:
        """Return the earliest time; infinite if no timer is set."""
        while self._heap:
            at, _, key = self._heap[0]
            if self._due_by_key.get(key) == at:
                return at
            heapq.heappop(self._heap)
        return math.inf

    def _rebuild(self) -> None:
        self._heap = [(at, order, key) for order, (key, at) in enumerate(self._due_by_key.items())]
        self._pushed = len(self._heap)
        heapq.heapify(self._heap)

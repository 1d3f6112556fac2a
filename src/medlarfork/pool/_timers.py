"""Timers of queued and running tickets."""

from __future__ import annotations

import enum
import heapq
import itertools
import math
from collections.abc import Iterator

from medlarfork.pool import _pool_ticket

Item = _pool_ticket.QueuedTicket | _pool_ticket.RunningTicket
"""The ticket of a timer; the timer lapses when it is no longer live."""
_MAX_STALE = 256
"""Timers kept beyond those of the live tickets before lapsed ones are dropped."""
_MAX_PER_TICKET = 4
"""Timers assumed for each live ticket."""


class Kind(enum.Enum):
    """What happens to a ticket when its timer is due.

    EXPIRE: a queued ticket is shed; the slot of a running one is reclaimed.
    URGENT: a queued ticket now needs a slot to meet its target.
    LATE: a queued ticket can no longer meet its target.
    """

    EXPIRE = enum.auto()
    URGENT = enum.auto()
    LATE = enum.auto()


class Timers:
    """Hold timers, the earliest first."""

    def __init__(self) -> None:
        """Start without timers."""
        self._heap: list[tuple[float, int, Kind, Item]] = []
        self._sequence = itertools.count()

    def add(self, at: float, kind: Kind, item: Item) -> None:
        """Add a timer that is due at monotonic time ``at``."""
        heapq.heappush(self._heap, (at, next(self._sequence), kind, item))

    def due(self, now: float) -> Iterator[tuple[Kind, Item]]:
        """Remove the timers that are due, and yield those whose ticket is live."""
        while self._heap and self._heap[0][0] <= now:
            _, _, kind, item = heapq.heappop(self._heap)
            if item.live:
                yield kind, item

    def next_at(self) -> float:
        """Return when the next timer is due; infinite if there is none."""
        while self._heap and not self._heap[0][3].live:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else math.inf

    def trim(self, live: int) -> None:
        """Drop lapsed timers if there are many more than ``live`` tickets need."""
        if len(self._heap) > _MAX_PER_TICKET * live + _MAX_STALE:
            self._heap = [timer for timer in self._heap if timer[3].live]
            heapq.heapify(self._heap)

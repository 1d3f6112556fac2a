"""Keep the times at which something is to be looked at, the earliest first."""

from __future__ import annotations

import enum
import heapq
import itertools
import math
from collections.abc import Iterator

from medlarfork.pool import _pool_ticket

Item = _pool_ticket.QueuedTicket | _pool_ticket.RunningTicket
"""What a timer is for; timers of a dead one lapse."""
_SLACK = 256
"""Timers kept beyond what the live tickets need before the lapsed ones are dropped."""
_PER_TICKET = 4
"""Timers that one live ticket may have."""


class Kind(enum.Enum):
    """Say what is to be looked at."""

    EXPIRE = enum.auto()
    URGENT = enum.auto()
    LATE = enum.auto()


class Timers:
    """Hold timers of queued and running tickets."""

    def __init__(self) -> None:
        """Create an empty set."""
        self._heap: list[tuple[float, int, Kind, Item]] = []
        self._number = itertools.count()

    def add(self, at: float, kind: Kind, item: Item) -> None:
        """Set a timer."""
        heapq.heappush(self._heap, (at, next(self._number), kind, item))

    def due(self, now: float) -> Iterator[tuple[Kind, Item]]:
        """Take the timers that are due and whose ticket is live."""
        while self._heap and self._heap[0][0] <= now:
            _, _, kind, item = heapq.heappop(self._heap)
            if item.live:
                yield kind, item

    def next_at(self) -> float:
        """Return when the next timer is due; infinity if there is none."""
        while self._heap and not self._heap[0][3].live:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else math.inf

    def trim(self, live: int) -> None:
        """Drop lapsed timers once they outnumber those of ``live`` tickets."""
        if len(self._heap) > _PER_TICKET * live + _SLACK:
            self._heap = [timer for timer in self._heap if timer[3].live]
            heapq.heapify(self._heap)

"""Keep the times at which things identified by a text are due; the latest time set counts."""

from __future__ import annotations

import heapq
import math


class DueQueue:
    """Order ids by due time; each id has at most one."""

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[float, str]] = []
        self._due_by_id: dict[str, float] = {}

    @property
    def next_at(self) -> float:
        """Return the earliest due time; infinite if there is none."""
        self._drop_replaced()
        return self._heap[0][0] if self._heap else math.inf

    def set(self, item_id: str, due: float) -> None:
        """Replace an id's due time; infinite means never."""
        self._due_by_id.pop(item_id, None)
        if due == math.inf:
            return
        self._due_by_id[item_id] = due
        heapq.heappush(self._heap, (due, item_id))
        if len(self._heap) > 2 * len(self._due_by_id) + 64:
            self._heap = [(at, each) for each, at in self._due_by_id.items()]
            heapq.heapify(self._heap)

    def pop(self, now: float) -> str | None:
        """Remove and return an id that is due, if any."""
        if self.next_at > now:
            return None
        _, item_id = heapq.heappop(self._heap)
        del self._due_by_id[item_id]
        return item_id

    def _drop_replaced(self) -> None:
        while self._heap:
            due, item_id = self._heap[0]
            if self._due_by_id.get(item_id) == due:
                return
            heapq.heappop(self._heap)

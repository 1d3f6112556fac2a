"""Slots of an upstream with a priority queue."""

from __future__ import annotations

import contextlib
import heapq
import itertools
from collections.abc import AsyncIterator

import curio


class Slots:
    """Fixed number of slots, granted by priority and then in order of arrival.

    Attributes:
        running: Number of slots in use.
    """

    def __init__(self, count: int) -> None:
        """Start with all slots free."""
        self._count = count
        self._arrival_numbers = itertools.count()
        self._waiting: list[tuple[int, int, curio.Event]] = []
        self.running = 0

    @property
    def waiting(self) -> int:
        """Return the number of tasks that wait for a slot."""
        return len(self._waiting)

    @contextlib.asynccontextmanager
    async def hold(self, priority: int) -> AsyncIterator[None]:
        """Hold a slot; a lower number is a higher priority."""
        await self._acquire(priority)
        try:
            yield
        finally:
            await self._release()

    async def _acquire(self, priority: int) -> None:
        if self.running < self._count:
            self.running += 1
            return
        acquired = curio.Event()
        entry = (priority, next(self._arrival_numbers), acquired)
        heapq.heappush(self._waiting, entry)
        try:
            await acquired.wait()
        except curio.CancelledError:
            if acquired.is_set():
                await self._release()
            else:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            raise

    async def _release(self) -> None:
        """Pass the slot to the next waiting task, or free it."""
        if self._waiting:
            _, _, acquired = heapq.heappop(self._waiting)
            await acquired.set()
        else:
            self.running -= 1

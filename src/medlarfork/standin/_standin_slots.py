"""Share an upstream's slots: the highest priority first, then in order of arrival."""

from __future__ import annotations

import contextlib
import heapq
import itertools
from collections.abc import AsyncIterator

import curio


class Slots:
    """Hand out a fixed number of slots under curio."""

    def __init__(self, count: int) -> None:
        """Start with all slots free."""
        self._count = count
        self._order = itertools.count()
        self._waiting: list[tuple[int, int, curio.Event]] = []
        self.running = 0

    @property
    def waiting(self) -> int:
        """Return how many wait for a slot."""
        return len(self._waiting)

    @contextlib.asynccontextmanager
    async def hold(self, priority: int) -> AsyncIterator[None]:
        """Hold a slot; a lower number is a higher priority."""
        await self._take(priority)
        try:
            yield
        finally:
            await self._give_back()

    async def _take(self, priority: int) -> None:
        if self.running < self._count:
            self.running += 1
            return
        turn = curio.Event()
        entry = (priority, next(self._order), turn)
        heapq.heappush(self._waiting, entry)
        try:
            await turn.wait()
        except curio.CancelledError:
            if turn.is_set():
                await self._give_back()
            else:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            raise

    async def _give_back(self) -> None:
        """Pass the slot on to the next in line, or free it."""
        if self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            await turn.set()
        else:
            self.running -= 1

"""Run a node: hand it events with the time, and perform what it returns."""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from typing import Any

import curio

from medlarfork import node

_POLL_S = 0.02
"""Longest sleep of the timer: how late an earlier wake may be noticed, in seconds."""


class Runner:
    """Drive one node from curio tasks of one thread.

    ``post`` is synchronous, so events are handled one at a time in the order they are posted,
    and an event posted while another is being handled waits its turn.
    """

    def __init__(
        self,
        driven: node.Node,
        *,
        perform: Callable[[Any], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Wire the node to ``perform``, which is called with every action but ``node.Wake``."""
        self._node = driven
        self._perform = perform
        self._clock = clock
        self._wakes: list[float] = []
        self._waiting: list[Any] = []
        self._handling = False
        self._timer: curio.Task | None = None

    async def start(self) -> None:
        """Start the timer and post ``node.Started``."""
        self._timer = await curio.spawn(self._run_timer, daemon=True)
        self.post(node.Started())

    async def close(self) -> None:
        """Stop the timer; no ``TimeDue`` is posted afterwards."""
        if self._timer is not None:
            await self._timer.cancel()
            self._timer = None

    def post(self, event: Any) -> None:
        """Handle an event now, or after the one being handled."""
        self._waiting.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._waiting:
                self._handle(self._waiting.pop(0))
        finally:
            self._handling = False

    def _handle(self, event: Any) -> None:
        for action in self._node.handle(event, self._clock()):
            if isinstance(action, node.Wake):
                heapq.heappush(self._wakes, action.at)
            else:
                self._perform(action)

    async def _run_timer(self) -> None:
        while True:
            await curio.sleep(self._delay())
            if self._wakes and self._wakes[0] <= self._clock():
                self._drop_due()
                self.post(node.TimeDue())

    def _drop_due(self) -> None:
        now = self._clock()
        while self._wakes and self._wakes[0] <= now:
            heapq.heappop(self._wakes)

    def _delay(self) -> float:
        if not self._wakes:
            return _POLL_S
        return min(max(0.0, self._wakes[0] - self._clock()), _POLL_S)

"""Run a node under curio: pass it events with the time, and perform the actions it returns."""

from __future__ import annotations

import collections
import heapq
import math
import time
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from medlarfork import node


class Runner:
    """Drive one node from the curio tasks of one thread.

    Events are handled one at a time in the order in which they are posted, and actions are started
    in the order in which the node returned them. ``perform`` must not wait for anything that
    depends on a later action; it may wake tasks and put items into queues.
    """

    def __init__(
        self,
        driven_node: node.Node,
        *,
        perform: Callable[[Any], Awaitable[None]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Connect the node to ``perform``, which is called with every action but ``node.Wake``."""
        self._node = driven_node
        self._perform = perform
        self._clock = clock
        self._actions: collections.deque[Any] = collections.deque()
        self._wakes: list[float] = []
        self._sleeping_until = -math.inf
        self._earlier_wake = curio.Event()
        self._timer: curio.Task | None = None

    async def start(self) -> None:
        """Start the timer and post ``node.Started``."""
        self._timer = await curio.spawn(self._run_timer, daemon=True)
        await self.post(node.Started())

    async def close(self) -> None:
        """Stop the timer; no ``TimeDue`` is posted afterwards."""
        if self._timer is not None:
            await self._timer.cancel()
            self._timer = None

    async def post(self, event: Any) -> None:
        """Handle an event and perform the resulting actions."""
        self._actions.extend(self._node.handle(event, self._clock()))
        while self._actions:
            action = self._actions.popleft()
            if isinstance(action, node.Wake):
                await self._wake_at(action.at)
            else:
                await self._perform(action)

    async def _wake_at(self, at: float) -> None:
        heapq.heappush(self._wakes, at)
        if at < self._sleeping_until:
            await self._earlier_wake.set()

    async def _run_timer(self) -> None:
        while True:
            await self._sleep()
            if self._wakes and self._wakes[0] <= self._clock():
                self._pop_due()
                await self.post(node.TimeDue())

    async def _sleep(self) -> None:
        """Sleep until the earliest wake time, or until an earlier one is requested."""
        self._earlier_wake.clear()
        self._sleeping_until = self._wakes[0] if self._wakes else math.inf
        if not self._wakes:
            await self._earlier_wake.wait()
            return
        delay = self._wakes[0] - self._clock()
        if delay > 0:
            await curio.ignore_after(delay, self._earlier_wake.wait)

    def _pop_due(self) -> None:
        now = self._clock()
        while self._wakes and self._wakes[0] <= now:
            heapq.heappop(self._wakes)

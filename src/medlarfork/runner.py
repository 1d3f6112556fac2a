"""Run a node under curio: pass it events with the time, and perform the actions it returns."""

from __future__ import annotations

import collections
import heapq
import logging
import math
import time
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from medlarfork import errors, logs, node, timeouts, vital_tasks

_log = logging.getLogger(__name__)

FAULT_WAKE_S = 0.1
"""Time after a fault of the node until it gets another ``TimeDue``, in seconds: the wakes that it
would have requested are lost."""


class Runner:
    """Drive one node from the curio tasks of one thread.

    Events are handled one at a time in the order in which they are posted, and actions are started
    in the order in which the node returned them. ``perform`` must not wait for anything that
    depends on a later action; it may wake tasks and put items into queues.

    An event or an action that raises an exception loses only itself: the exception is logged and
    counted, and what else was to be done goes on. Only a node whose state can't be trusted any more
    ends the process.

    Attributes:
        faults: Events and actions that failed since the start.
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
        self.faults = 0

    async def start(self) -> None:
        """Start the timer and post ``node.Started``."""
        self._timer = await vital_tasks.spawn(self._run_timer)
        await self.post(node.Started())

    async def close(self) -> None:
        """Stop the timer; no ``TimeDue`` is posted afterwards."""
        if self._timer is not None:
            await self._timer.cancel()
            self._timer = None

    async def post(self, event: Any) -> None:
        """Handle an event and perform the resulting actions.

        Raises:
            SystemExit: The node's state can't be trusted any more.
        """
        self._actions.extend(self._handle(event))
        while self._actions:
            match self._actions.popleft():
                case node.Wake(at):
                    await self._wake_at(at)
                case node.Fault(part, cause):
                    self._record_fault(part, cause)
                case action:
                    await self._try_perform(action)

    def _handle(self, event: Any) -> tuple[Any, ...]:
        now = self._clock()
        try:
            return self._node.handle(event, now)
        except errors.BrokenStateError as error:
            vital_tasks.end_process(type(event).__name__, error)
        except Exception as error:
            self._record_fault(type(event).__name__, error)
            return (node.Wake(now + FAULT_WAKE_S),)

    async def _try_perform(self, action: Any) -> None:
        try:
            await self._perform(action)
        except Exception as error:
            self._record_fault(type(action).__name__, error)

    def _record_fault(self, part: str, cause: Exception) -> None:
        self.faults += 1
        logs.event(_log, "fault", severity=logging.ERROR, part=part, cause=cause)

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
            await timeouts.call_until(delay, self._earlier_wake.wait)

    def _pop_due(self) -> None:
        now = self._clock()
        while self._wakes and self._wakes[0] <= now:
            heapq.heappop(self._wakes)

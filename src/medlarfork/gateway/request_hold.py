"""Holds requests until a restarted entry host has the state to serve them, or a slot; bounded.

It matters when all processes are restarted at once: entry hosts serve before control has elected a
leader and before upstreams have announced themselves. Callers connect at once and have at most one
retry left, so most requests rejected then are lost, while held ones are served late.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

import curio

from medlarfork import logs
from medlarfork.placement import standalone_queue

_log = logging.getLogger(__name__)

MAX_HOLD_S = 3.0
"""Maximum wait, in seconds: an election after the lease expired (1.4 s) and then one announcement
period (1.2 s), plus message latency."""

MAX_HELD = 400
"""Maximum number of requests that are held at once: 8 MB with bodies of 20 KB, as long prompts
have."""

RESPONSE_RESERVE_S = 0.1
"""Time reserved before the caller's deadline when a hold ends, in seconds: with less, the request
can't be served any more."""


MIN_PAUSE_S = 0.001
"""Shortest wait for a slot, in seconds: a limit that has just ended is checked after it."""


class HoldQueue:
    """Holds requests until a condition becomes true."""

    def __init__(self) -> None:
        """Start empty."""
        self._held = 0
        self._changed = curio.Event()

    @property
    def held(self) -> int:
        """Return how many requests are held."""
        return self._held

    async def notify_change(self) -> None:
        """Re-evaluate the conditions of all held requests."""
        changed, self._changed = self._changed, curio.Event()
        await changed.set()

    async def wait(self, condition: Callable[[], bool], left_s: float) -> bool:
        """Wait until a condition is true; return False on timeout or if the queue is full.

        Args:
            condition: Evaluated at once and after each ``notify_change``.
            left_s: Time until the caller's deadline, in seconds.
        """
        until = time.monotonic() + min(MAX_HOLD_S, left_s - RESPONSE_RESERVE_S)
        if self._held >= MAX_HELD:
            return condition()
        self._held += 1
        try:
            while not condition():
                pause_s = until - time.monotonic()
                if pause_s <= 0:
                    return False
                await curio.ignore_after(pause_s, self._changed.wait)
            return True
        finally:
            self._held -= 1


async def wait_for_slot(
    queue: standalone_queue.StandaloneQueue,
    waiting: standalone_queue.Waiting,
    changed: curio.UniversalEvent,
) -> None:
    """Wait until a request has left the queue of requests beyond this host's share of the slots.

    Args:
        queue: The queue.
        waiting: The request.
        changed: Set when it is to be checked again.
    """
    try:
        while not waiting.is_done:
            check_at = queue.check(waiting, time.monotonic())
            if not waiting.is_done:
                changed.clear()
                pause_s = max(check_at - time.monotonic(), MIN_PAUSE_S)
                await curio.ignore_after(pause_s, changed.wait)
    except BaseException:
        queue.withdraw(waiting, time.monotonic())
        raise


def log_placed(granted: standalone_queue.Granted) -> None:
    """Log a placement without an owner, with the share and the report that it rests on."""
    allowance = granted.allowance
    age_s = allowance.report_age_s
    logs.event(
        _log,
        "placed_locally",
        ticket=granted.placed.ticket_id,
        upstream=granted.placed.upstream_id,
        running=granted.running,
        share=round(allowance.share, 3),
        slots=allowance.slots,
        report_ms=None if age_s is None else round(age_s * 1000.0),
        waited_ms=round(granted.waited_s * 1000.0, 1),
    )

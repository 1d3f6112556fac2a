"""Holds requests until a restarted entry host has the state to serve them; bounded.

It matters when all processes are restarted at once: entry hosts serve before control has elected a
leader and before upstreams have announced themselves. Callers connect at once and have at most one
retry left, so most requests rejected then are lost, while held ones are served late.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import curio

from medlarfork import timeouts

MAX_HOLD_S = 3.0
"""Maximum wait, in seconds: an election after the lease expired (1.4 s) and then one announcement
period (1.2 s), plus message latency."""

MAX_HELD = 400
"""Maximum number of requests that are held at once: 8 MB with bodies of 20 KB, as long prompts
have."""

RESPONSE_RESERVE_S = 0.1
"""Time reserved before the caller's deadline when a hold ends, in seconds: with less, the request
can't be served any more."""


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
                await timeouts.call_until(pause_s, self._changed.wait)
            return True
        finally:
            self._held -= 1

"""Let requests wait, bounded in number and time, for what a restarted entry host doesn't know yet.

The load that this answers: all processes are started at once. Entry hosts serve again before
control has a leader, and before upstreams have announced themselves; callers come at once, and have
one try more at most. What is refused then is mostly lost, what waits is served late.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import curio

MAX_HOLD_S = 3.0
"""Longest wait, in seconds: an election after a lease has run out (1.4 s) and then one period of
announcements (1.2 s), with the ways in between."""

MAX_HELD = 400
"""Requests that wait at once: with bodies of 20 KB, as long prompts have, 8 MB."""

RESPONSE_RESERVE_S = 0.1
"""Time that is left before a caller gives up when its wait ends, in seconds: a request that goes on
with less can't be served any more."""


class HoldQueue:
    """Hold requests until a condition comes true."""

    def __init__(self) -> None:
        """Start with none."""
        self._held = 0
        self._changed = curio.Event()

    @property
    def held(self) -> int:
        """Return how many requests wait."""
        return self._held

    async def notify_change(self) -> None:
        """Have those that wait look at their conditions again."""
        changed, self._changed = self._changed, curio.Event()
        await changed.set()

    async def wait(self, condition: Callable[[], bool], left_s: float) -> bool:
        """Wait until a condition is true; return False if that takes too long or too many wait.

        Args:
            condition: What is waited for; looked at after each ``notify_change``.
            left_s: Time until the caller gives up, in seconds.
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

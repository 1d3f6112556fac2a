"""Turns of connections with much input, so that other tasks run in between."""

from __future__ import annotations

import curio


class Turns:
    """Lets connections with much input run one after the other, and all other tasks in between.

    The load it handles: hundreds of connections whose clients send thousands of requests or small
    chunks ahead. If each took its share of every pass of the event loop, a pass would take longer
    than callers wait.
    """

    def __init__(self) -> None:
        """Start with no connection waiting."""
        self._lock = curio.Lock()

    async def wait(self) -> None:
        """Wait until those who came before have had their turn, and then for all other tasks."""
        async with self._lock:
            await curio.sleep(0)

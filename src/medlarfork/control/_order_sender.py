"""Execution of engine orders, each in a task of its own."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from medlarfork.http import http_client
from medlarfork.orders import fenced_lease, order_client, order_types

_LIMITS = http_client.ClientLimits(body_bytes=1 << 20)
"""Limits of orders; the state of an engine lists its models."""

Post = Callable[[Any], Awaitable[None]]
"""Posts an event to the node."""


class OrderSender:
    """Owns the HTTP client and the tasks; there are at most as many tasks as engines."""

    def __init__(
        self, lease: fenced_lease.FencedLease, post: Post, *, read_timeout_s: float
    ) -> None:
        """Prepare to send under a lease; ``post`` gets the result of each action."""
        self._http = http_client.HttpClient(limits=_LIMITS)
        self._client = order_client.OrderClient(
            self._http, lease=lease, read_timeout_s=read_timeout_s
        )
        self._post = post
        self._tasks: set[curio.Task] = set()

    async def start(self) -> None:
        """Start the client."""
        await self._http.start()

    async def close(self) -> None:
        """Cancel what is in progress; engines may still execute it."""
        for task in tuple(self._tasks):
            await task.cancel()
        await self._http.close()

    async def send(self, action: order_types.OrderEngine | order_types.ReadEngineState) -> None:
        """Start to execute an action."""
        self._tasks.add(await curio.spawn(self._execute, action, daemon=True))

    async def _execute(self, action: order_types.OrderEngine | order_types.ReadEngineState) -> None:
        try:
            match action:
                case order_types.OrderEngine():
                    await self._post(await self._client.order(action))
                case order_types.ReadEngineState():
                    await self._post(await self._client.read_state(action))
        finally:
            self._tasks.discard(await curio.current_task())

"""Carry out the order desk's actions that concern engines, each in a task of its own."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from medlarfork.http import http_client
from medlarfork.orders import fenced_lease, order_client, order_types

Post = Callable[[Any], Awaitable[None]]
"""Hand an event to the node."""


class OrderSender:
    """Own the client and the tasks; there are at most as many tasks as engines."""

    def __init__(
        self, lease: fenced_lease.FencedLease, post: Post, *, read_timeout_s: float
    ) -> None:
        """Prepare to send under a lease; ``post`` gets what became of each action."""
        self._http = http_client.HttpClient()
        self._client = order_client.OrderClient(
            self._http, lease=lease, read_timeout_s=read_timeout_s
        )
        self._post = post
        self._tasks: set[curio.Task] = set()

    async def start(self) -> None:
        """Start the client."""
        await self._http.start()

    async def close(self) -> None:
        """Cut what is in progress; engines may still carry it out."""
        for task in tuple(self._tasks):
            await task.cancel()
        await self._http.close()

    async def send(self, action: order_types.OrderEngine | order_types.ReadEngineState) -> None:
        """Begin to carry out an action."""
        self._tasks.add(await curio.spawn(self._carry_out, action, daemon=True))

    async def _carry_out(
        self, action: order_types.OrderEngine | order_types.ReadEngineState
    ) -> None:
        try:
            match action:
                case order_types.OrderEngine():
                    await self._post(await self._client.order(action))
                case order_types.ReadEngineState():
                    await self._post(await self._client.read_state(action))
        finally:
            self._tasks.discard(await curio.current_task())

"""Timeouts under curio that may be nested, also when the process stalls.

After a stall, several deadlines may have passed when a task runs again. curio then delivers the
timeout of a block that has ended to an enclosing or a later one, drops the timeout of an enclosing
block, or delivers it twice. The functions here keep each timeout to its own block.
"""

from __future__ import annotations

import types
from collections.abc import Awaitable, Callable
from typing import Any

import curio


def timeout_after(seconds: float) -> _Timeout:
    """Return a context that raises ``curio.TaskTimeout`` if its block takes longer."""
    return _Timeout(curio.timeout_after(seconds))


async def call_with_timeout(
    seconds: float, call: Callable[..., Awaitable[Any]], *arguments: Any
) -> Any:
    """Return the result of a call.

    Raises:
        curio.TaskTimeout: It takes longer.
    """
    async with timeout_after(seconds):
        return await call(*arguments)


async def call_until(seconds: float, call: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
    """Return the result of a call; None if it takes longer."""
    async with _Timeout(curio.ignore_after(seconds)):
        return await call(*arguments)
    return None


class _Timeout:
    """Context of curio's, and the repairs around it."""

    __slots__ = ("_enclosing_at", "_inner", "_task")

    def __init__(self, inner: Any) -> None:
        """Wrap a context of curio's."""
        self._inner = inner
        self._task: curio.Task | None = None
        self._enclosing_at: float | None = None

    async def __aenter__(self) -> None:
        """Start the timeout.

        Raises:
            curio.TimeoutCancellationError: The timeout of an enclosing block has passed already;
                curio would drop it if this block ended without waiting.
        """
        self._task = task = await curio.current_task()
        passed = task.cancel_pending
        if task.allow_cancel and isinstance(passed, curio.TaskTimeout):
            task.cancel_pending = None
            raise curio.TimeoutCancellationError(*passed.args)
        self._enclosing_at = task.timeout
        await self._inner.__aenter__()

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> bool | None:
        """End the timeout.

        Raises:
            curio.TaskTimeout: Its time has passed.
            curio.TimeoutCancellationError: That of an enclosing block has passed.
        """
        try:
            return await self._inner.__aexit__(kind, error, traceback)
        except curio.TimeoutCancellationError:
            self._task.timeout = None  # Once raised, it must not interrupt the clean-up as well.
            raise
        finally:
            self._discard_own()

    def _discard_own(self) -> None:
        """Discard the timeout of this block if it was not delivered before the block ended."""
        pending = self._task.cancel_pending
        is_own = isinstance(pending, curio.TaskTimeout) and (
            self._enclosing_at is None or pending.args[0] < self._enclosing_at
        )
        if is_own:
            self._task.cancel_pending = None

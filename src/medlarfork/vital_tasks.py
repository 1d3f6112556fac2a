"""Tasks that a program can't do without: one that fails ends the process.

A process that lost one of its tasks looks alive, but doesn't do its work. Its supervisor can only
start it again once it has ended. Cancelling a task, as every ``close`` does, is no failure.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any, NoReturn

import curio

from medlarfork import logs

_log = logging.getLogger(__name__)

FAILURE_STATUS = 1
"""Exit status of a process that one of its parts ended."""


async def spawn(run: Callable[..., Awaitable[None]], *arguments: Any) -> curio.Task:
    """Start a task whose failure ends the process, and return it for ``cancel``."""
    return await curio.spawn(_run_or_exit, run, arguments, daemon=True)


def end_process(part: str, cause: BaseException) -> NoReturn:
    """End the process because a part of it failed.

    Raises:
        SystemExit: Always; curio lets it end the program from any task.
    """
    logs.event(_log, "process_failed", severity=logging.CRITICAL, part=part, cause=cause)
    raise SystemExit(FAILURE_STATUS)


async def close_fully(close: Callable[[], Awaitable[None]]) -> None:
    """Close a program also while a failed task ends the process, which cancels all tasks."""
    async with curio.disable_cancellation():
        await close()


async def _run_or_exit(run: Callable[..., Awaitable[None]], arguments: tuple[Any, ...]) -> None:
    try:
        await run(*arguments)
    except (Exception, curio.TaskTimeout, curio.TimeoutCancellationError) as error:
        # A timeout that no block of the task has caught; curio would end the task without a report.
        end_process(run.__qualname__, error)


class VitalTasks:
    """The tasks of one program that it can't do without."""

    def __init__(self) -> None:
        """Start without tasks."""
        self._tasks: list[curio.Task] = []

    async def spawn(self, run: Callable[..., Awaitable[None]], *arguments: Any) -> None:
        """Start a task whose failure ends the process."""
        self._tasks.append(await spawn(run, *arguments))

    async def close(self) -> None:
        """Cancel all tasks."""
        while self._tasks:
            await self._tasks.pop().cancel()

"""Write a replica's records in a thread, so that a sync does not block the event loop."""

from __future__ import annotations

import collections
import logging
import time
from collections.abc import Awaitable, Callable

import curio

from medlarfork import errors, logs, node, vital_tasks
from medlarfork.replica import journal, replica_types

_log = logging.getLogger(__name__)

FULL_RETRY_S = 0.25
"""Delay before a write that failed on a full disk is retried, in seconds."""

SLOW_S = 0.5
"""Duration above which a write with its sync is logged, in seconds: about half of the election
timeout, so that slow disks show up in the log where leaders change. The line also has the time
that the disk took; the rest is the wait of a busy host for a thread."""

Write = node.Persist | replica_types.SaveSnapshot


class DiskWriter:
    """Perform writes in order; those queued during another write share one sync."""

    def __init__(
        self,
        target: journal.Journal,
        *,
        on_synced: Callable[[node.Synced], Awaitable[None]],
        on_failed: Callable[[Exception], Awaitable[None]],
    ) -> None:
        """Prepare to write to a journal, which its owner starts and closes."""
        self._journal = target
        self._on_synced = on_synced
        self._on_failed = on_failed
        self._queue: collections.deque[Write] = collections.deque()
        self._wakeup = curio.Event()
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Start writing."""
        self._task = await vital_tasks.spawn(self._run)

    async def close(self) -> None:
        """Stop; a write in progress is finished first, and queued writes are dropped."""
        self._queue.clear()
        if self._task is not None:
            await self._task.cancel()
            self._task = None

    async def write(self, action: Write) -> None:
        """Queue a write."""
        self._queue.append(action)
        await self._wakeup.set()

    async def _run(self) -> None:
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            while self._queue:
                try:
                    # The thread of a cancelled task would still write after the files are closed.
                    async with curio.disable_cancellation():
                        token = await self._write_next()
                except Exception as error:
                    await self._on_failed(error)
                    return
                await self._on_synced(node.Synced(token))

    async def _write_next(self) -> int:
        """Perform the queued writes that may share a sync, and return the last one's token."""
        action = self._queue.popleft()
        if isinstance(action, replica_types.SaveSnapshot):
            await self._retry_while_full(
                self._journal.save_snapshot, action.snapshot, action.records
            )
            return action.token
        records = list(action.records)
        token = action.token
        while self._queue and isinstance(self._queue[0], node.Persist):
            following = self._queue.popleft()
            assert isinstance(following, node.Persist)
            records.extend(following.records)
            token = following.token
        await self._retry_while_full(self._journal.append_and_sync, records)
        return token

    async def _retry_while_full(self, write: Callable[..., None], *arguments: object) -> None:
        """Perform a write, and retry it for as long as the disk is full."""
        is_full = False
        started_at = time.monotonic()
        while True:
            try:
                disk_s = await curio.run_in_thread(_timed, write, *arguments)
            except errors.DiskFullError as error:
                if not is_full:
                    logs.event(_log, "disk_full", severity=logging.WARNING, why=str(error))
                is_full = True
                await curio.sleep(FULL_RETRY_S)
            else:
                took_s = time.monotonic() - started_at
                if is_full:
                    logs.event(_log, "disk_has_room")
                elif took_s > SLOW_S:
                    logs.event(
                        _log, "disk_slow", severity=logging.WARNING, took_s=took_s, disk_s=disk_s
                    )
                return


def _timed(write: Callable[..., None], *arguments: object) -> float:
    """Perform a write and return how long it took, without the wait for a thread, in seconds."""
    started_at = time.monotonic()
    write(*arguments)
    return time.monotonic() - started_at

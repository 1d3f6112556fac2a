"""Writes the origins that a replica was told to its file, in a thread."""

from __future__ import annotations

import logging

import curio

from medlarfork import logs, vital_tasks
from medlarfork.resumption import origin_file, origin_messages

_log = logging.getLogger(__name__)

WRITE_PERIOD_S = 0.05
"""Time for which origins are collected before they are written, in seconds: a process that is
killed loses those of this time, which two other replicas keep."""

MAX_PENDING = 20_000
"""Maximum number of groups that wait for a disk that hangs; further ones are not written."""


class OriginWriter:
    """Appends origins to a file that its owner has started."""

    def __init__(self, file: origin_file.OriginFile) -> None:
        """Prepare to write to a file."""
        self._file = file
        self._pending: list[origin_messages.OriginGroup] = []
        self._changed = curio.Event()
        self._task: curio.Task | None = None
        self._has_failed = False

    async def start(self) -> None:
        """Start writing."""
        self._task = await vital_tasks.spawn(self._run)

    async def close(self) -> None:
        """Write what is pending, and close the file."""
        if self._task is not None:
            await self._task.cancel()
            self._task = None
            await self._write()
        self._file.close()

    async def write(self, groups: tuple[origin_messages.OriginGroup, ...]) -> None:
        """Queue origins."""
        if len(self._pending) < MAX_PENDING:
            self._pending += groups
            await self._changed.set()

    async def _run(self) -> None:
        while True:
            await self._changed.wait()
            await curio.sleep(WRITE_PERIOD_S)
            self._changed.clear()
            async with curio.disable_cancellation():
                await self._write()

    async def _write(self) -> None:
        groups, self._pending = tuple(self._pending), []
        if not groups:
            return
        try:
            await curio.run_in_thread(self._file.append, groups)
        except OSError as error:
            if not self._has_failed:
                logs.event(_log, "origins_not_written", severity=logging.WARNING, why=str(error))
            self._has_failed = True
        else:
            self._has_failed = False

"""Write log lines without ever waiting for their reader, and bound how many there are.

What can't be written is dropped and counted; the next line that is written tells how many were.
"""

from __future__ import annotations

import io
import logging
import select
from typing import TextIO

WRITE_BYTES = select.PIPE_BUF
"""Bytes written at once: what a pipe that is ready takes without blocking, by POSIX."""

_DROPPED_FIELD = "dropped_lines"
"""Field of a line that tells how many were dropped before it."""


class LineHandler(logging.Handler):
    """Write each record as a line; a reader that stands still costs lines, not time."""

    def __init__(self, stream: TextIO, *, lines_per_s: int) -> None:
        """Write to ``stream`` at most ``lines_per_s`` lines in each second."""
        super().__init__()
        self._stream = stream
        self._poll = _poll_for(stream)
        self._limit = LineLimit(lines_per_s)
        self._is_truncated = False
        self.addFilter(self._limit)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        try:
            line = self.format(record) + "\n"
            is_written = self._write(line)
        except Exception:
            self.handleError(record)
            return
        if not is_written:
            self._limit.dropped += 1 + _count_reported(record)

    def _write(self, line: str) -> bool:
        """Return whether the whole line was taken."""
        if self._poll is None:
            self._stream.write(line)
            self._stream.flush()
            return True
        data = line.encode("utf-8", "backslashreplace")
        if self._is_truncated:
            data = b"\n" + data
        for start in range(0, len(data), WRITE_BYTES):
            if not self._poll.poll(0):
                self._is_truncated = self._is_truncated or start > 0
                return False
            self._stream.buffer.write(data[start : start + WRITE_BYTES])
            self._stream.buffer.flush()
        self._is_truncated = False
        return True


class LineLimit(logging.Filter):
    """Drop lines beyond a number a second, and say in a later line how many were dropped.

    Warnings and errors always pass: a process has few, and they are what is looked for.

    Attributes:
        dropped: Lines that were dropped and that no written line has told of.
    """

    def __init__(self, lines_per_s: int) -> None:
        """Allow ``lines_per_s`` lines in each second."""
        super().__init__()
        self._lines_per_s = lines_per_s
        self._second = 0
        self._passed = 0
        self.dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Say whether a record is to be written."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._passed = 0
        self._passed += 1
        if self._passed <= self._lines_per_s or record.levelno >= logging.WARNING:
            if self.dropped and isinstance(record.msg, dict):
                record.msg = {**record.msg, _DROPPED_FIELD: self.dropped}
                self.dropped = 0
            return True
        self.dropped += 1
        return False


def _count_reported(record: logging.LogRecord) -> int:
    """Return how many dropped lines a record tells of."""
    return record.msg.get(_DROPPED_FIELD, 0) if isinstance(record.msg, dict) else 0


def _poll_for(stream: TextIO) -> select.poll | None:
    """Return what tells whether a stream takes bytes now; None for one without a descriptor."""
    try:
        descriptor = stream.fileno()
    except (OSError, io.UnsupportedOperation):
        return None
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return poll

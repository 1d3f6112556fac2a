"""Non-blocking, rate-limited output of log lines.

Lines that can't be written are dropped and counted; the next line written reports their number.
"""

from __future__ import annotations

import io
import logging
import select
from typing import TextIO

WRITE_BYTES = select.PIPE_BUF
"""Maximum bytes per write: POSIX lets a writable pipe accept this many without blocking."""

_DROPPED_FIELD = "dropped_lines"
"""Field with the number of lines that were dropped before a line."""


class LineHandler(logging.Handler):
    """Log handler that drops lines instead of blocking when the reader of the stream is stalled."""

    def __init__(self, stream: TextIO, *, lines_per_s: int) -> None:
        """Write to ``stream`` at most ``lines_per_s`` lines a second."""
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
        """Return whether the complete line was written."""
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
    """Filter that limits the rate of lines and reports the number of dropped ones in a later line.

    Warnings and errors always pass, because they are few and matter most when searching the log.

    Attributes:
        dropped: Number of dropped lines that no written line has reported yet.
    """

    def __init__(self, lines_per_s: int) -> None:
        """Allow ``lines_per_s`` lines a second."""
        super().__init__()
        self._lines_per_s = lines_per_s
        self._second = 0
        self._passed = 0
        self.dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a record is to be written."""
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
    """Return the number of dropped lines that a record reports."""
    return record.msg.get(_DROPPED_FIELD, 0) if isinstance(record.msg, dict) else 0


def _poll_for(stream: TextIO) -> select.poll | None:
    """Return a poll object for the stream's writability; None if it has no descriptor."""
    try:
        descriptor = stream.fileno()
    except (OSError, io.UnsupportedOperation):
        return None
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return poll

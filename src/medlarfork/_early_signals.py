"""Queues the signals that reach a program before it can act on them.

Imports take most of a program's start, and a signal without a handler would end it meanwhile. A
program calls ``keep`` before its other imports; ``_stop_signal`` then reads the same queue.
"""

from __future__ import annotations

import os
import signal
import time
import types
from collections.abc import Iterable

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
"""Signals that request a graceful stop."""


class SignalQueue:
    """Queues the numbers of caught signals in a pipe, to which the interpreter writes them."""

    def __init__(self) -> None:
        """Open the pipe and let the interpreter write to it."""
        self.reader, self._writer = os.pipe()
        os.set_blocking(self.reader, False)
        os.set_blocking(self._writer, False)
        self._old_writer = signal.set_wakeup_fd(self._writer, warn_on_full_buffer=False)

    def read(self) -> tuple[int, ...]:
        """Return the numbers of all queued signals, without waiting for one."""
        try:
            return tuple(os.read(self.reader, 1 << 16))
        except BlockingIOError:
            return ()

    def close(self) -> None:
        """Close the pipe; signals go where they went before."""
        signal.set_wakeup_fd(self._old_writer)
        os.close(self.reader)
        os.close(self._writer)


kept: SignalQueue | None = None
"""The queue of this process once ``keep`` was called; it stays open until the process ends."""


def keep(signals: Iterable[signal.Signals] = (*STOP_SIGNALS, signal.SIGHUP)) -> None:
    """Queue these signals from now on, in place of their usual effect."""
    global kept
    kept = kept or SignalQueue()
    for number in signals:
        signal.signal(number, record)


handled_at: dict[int, float] = {}
"""When the interpreter handled the first signal of each number, in monotonic seconds."""


def record(number: int, frame: types.FrameType | None) -> None:
    """Record the time of a signal: the interpreter has already written its number to the queue.

    A busy event loop reads the queue later than this.
    """
    handled_at.setdefault(number, time.monotonic())

"""Wait under curio for the signals that ask a program to stop."""

from __future__ import annotations

import signal
import socket
import types
from collections.abc import Iterable

import curio.traps

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
"""Signals that ask for a graceful stop."""


class StopSignal:
    """Catch stop signals from ``start`` to ``close``; the main thread only."""

    def __init__(self, signals: Iterable[signal.Signals] = STOP_SIGNALS) -> None:
        """Prepare to catch these signals."""
        self._signals = tuple(signals)
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)
        self._old_writer = -1
        self._old_handlers: dict[signal.Signals, signal._HANDLER] = {}

    def start(self) -> None:
        """Catch the signals from now on."""
        self._old_writer = signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)
        for number in self._signals:
            self._old_handlers[number] = signal.signal(number, _ignore)

    def close(self) -> None:
        """Give the signals back to their earlier handlers."""
        for number, handler in self._old_handlers.items():
            signal.signal(number, handler)
        self._old_handlers.clear()
        signal.set_wakeup_fd(self._old_writer)
        self._reader.close()
        self._writer.close()

    async def wait(self) -> signal.Signals:
        """Return the next signal that was caught."""
        while True:
            try:
                number = self._reader.recv(1)[0]
            except BlockingIOError:
                await curio.traps._read_wait(self._reader)
                continue
            # Other signals that have a handler of their own arrive here too.
            if number in self._signals:
                return signal.Signals(number)


def _ignore(number: int, frame: types.FrameType | None) -> None:
    """Let the signal pass; it has been written to the pair already."""

"""Handling of stop signals under curio."""

from __future__ import annotations

import signal
import socket
import types
from collections.abc import Iterable

import curio.traps

from medlarfork import _early_signals

STOP_SIGNALS = _early_signals.STOP_SIGNALS


class StopSignal:
    """Catches stop signals between ``start`` and ``close``; usable only in the main thread."""

    def __init__(self, signals: Iterable[signal.Signals] = STOP_SIGNALS) -> None:
        """Prepare to catch these signals."""
        self._signals = tuple(signals)
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)
        self._old_writer = -1
        self._old_handlers: dict[signal.Signals, signal._HANDLER] = {}

    def start(self) -> None:
        """Start to catch the signals; those that came earlier and were kept count as caught."""
        self._old_writer = signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)
        for number in self._signals:
            self._old_handlers[number] = signal.signal(number, _ignore)
        # Setting a handler runs the one before for signals that have arrived, so none is missed.
        self._writer.send(bytes(_early_signals.take()))

    def close(self) -> None:
        """Restore the previous signal handlers."""
        for number, handler in self._old_handlers.items():
            signal.signal(number, handler)
        self._old_handlers.clear()
        signal.set_wakeup_fd(self._old_writer)
        self._reader.close()
        self._writer.close()

    async def wait(self) -> signal.Signals:
        """Wait for the next caught signal and return it."""
        while True:
            try:
                number = self._reader.recv(1)[0]
            except BlockingIOError:
                await curio.traps._read_wait(self._reader)
                continue
            # Signals with other Python handlers are written to the wakeup descriptor, too.
            if number in self._signals:
                return signal.Signals(number)


def _ignore(number: int, frame: types.FrameType | None) -> None:
    """Do nothing: the interpreter has already written the signal to the wakeup descriptor."""

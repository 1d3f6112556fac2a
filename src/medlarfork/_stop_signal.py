"""Handling of stop signals under curio."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterable

import curio.traps

from medlarfork import _early_signals

STOP_SIGNALS = _early_signals.STOP_SIGNALS


class StopSignal:
    """Catches stop signals between ``start`` and ``close``; usable only in the main thread."""

    def __init__(self, signals: Iterable[signal.Signals] = STOP_SIGNALS) -> None:
        """Prepare to catch these signals."""
        self._signals = tuple(signals)
        self._queue: _early_signals.SignalQueue | None = None
        self._caught: list[int] = []
        self._old_handlers: dict[signal.Signals, signal._HANDLER] = {}

    def start(self) -> None:
        """Start to catch the signals; those that came earlier and were kept count as caught."""
        self._queue = _early_signals.kept or _early_signals.SignalQueue()
        for number in self._signals:
            self._old_handlers[number] = signal.signal(number, _early_signals.record)

    def close(self) -> None:
        """Restore the previous signal handlers."""
        for number, handler in self._old_handlers.items():
            signal.signal(number, handler)
        self._old_handlers.clear()
        if self._queue is not None and self._queue is not _early_signals.kept:
            self._queue.close()
        self._queue = None

    @staticmethod
    def stop_requested_at() -> float:
        """Return when the first stop signal was handled, in monotonic seconds; now if none was."""
        handled_at = [_early_signals.handled_at.get(number) for number in STOP_SIGNALS]
        return min((at for at in handled_at if at is not None), default=time.monotonic())

    async def wait(self) -> signal.Signals:
        """Wait for the next caught signal and return it; those that request a stop come last.

        The system delivers signals that are pending together in no order of their sending, so a
        stop must not overtake a signal that was sent before it.
        """
        assert self._queue is not None
        while True:
            # Signals with other Python handlers are written to the queue, too.
            self._caught += [each for each in self._queue.read() if each in self._signals]
            if self._caught:
                self._caught.sort(key=lambda number: number in STOP_SIGNALS)
                return signal.Signals(self._caught.pop(0))
            await curio.traps._read_wait(self._queue.reader)

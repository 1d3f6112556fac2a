"""Keeps the signals that reach a program before it can act on them.

Imports take most of a program's start, and a signal without a handler would end it meanwhile. A
program calls ``keep`` before its other imports; ``_stop_signal`` then takes what was kept.
"""

from __future__ import annotations

import signal
import types
from collections.abc import Iterable

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
"""Signals that request a graceful stop."""

_kept: list[signal.Signals] = []


def keep(signals: Iterable[signal.Signals] = (*STOP_SIGNALS, signal.SIGHUP)) -> None:
    """Keep these signals from now on, in place of their usual effect."""
    for number in signals:
        signal.signal(number, _keep)


def take() -> tuple[signal.Signals, ...]:
    """Return the signals kept so far, in order, and forget them."""
    taken = tuple(_kept)
    _kept.clear()
    return taken


def _keep(number: int, frame: types.FrameType | None) -> None:
    _kept.append(signal.Signals(number))

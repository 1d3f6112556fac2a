"""Parse the load that an upstream states in the head of a response. Pure: no I/O, no clock."""

from __future__ import annotations

import dataclasses
import math

MAX_COUNT = 1_000_000
"""Largest number of requests that is accepted; anything above is not a count."""

SLOWDOWN_BOUNDS = (0.1, 20.0)
"""Slowdowns outside are errors of the upstream."""

USUAL_PERCENT = 100.0
"""The stated percentage at which work takes as long as usual."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """The load of one upstream, as of some time before the response arrived.

    Attributes:
        running: Requests that run, from all entry hosts.
        waiting: Requests that wait for a slot there.
        slots: Requests that can run at the same time.
        slowdown: How much longer work takes there at this moment, where 1 is usual; None if the
            upstream does not state it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


def parse(text: str) -> ReportedLoad | None:
    """Return the load that a header states, or None if it is absent or malformed.

    Args:
        text: Requests running, requests waiting, and slots, separated by commas; a fourth figure
            states the time that work takes now, in percent of the usual.
    """
    figures = [item.strip() for item in text.split(",")]
    if len(figures) not in (3, 4):
        return None
    counts = [_count(figure) for figure in figures[:3]]
    running, waiting, slots = counts
    if running is None or waiting is None or not slots:
        return None
    if len(figures) == 3:
        return ReportedLoad(running, waiting, slots)
    slowdown = _slowdown(figures[3])
    return None if slowdown is None else ReportedLoad(running, waiting, slots, slowdown)


def _count(text: str) -> int | None:
    if not (text.isascii() and text.isdigit()):
        return None
    count = int(text[: len(str(MAX_COUNT)) + 1])
    return count if count <= MAX_COUNT else None


def _slowdown(text: str) -> float | None:
    try:
        slowdown = float(text) / USUAL_PERCENT
    except ValueError:
        return None
    low, high = SLOWDOWN_BOUNDS
    return slowdown if math.isfinite(slowdown) and low <= slowdown <= high else None

"""Decide what follows when an attempt at an upstream has ended: pure rules of repetition.

A request that may not be repeated is sent again only if its upstream proved that it did not run.
One that may be is sent again within its route's number of attempts. Either draws on the shared
budget of repeats once an upstream has seen it. What the caller is told follows from whether any
upstream may have run it: "not run" must be true.
"""

from __future__ import annotations

import dataclasses

from medlarfork.placement import placement_messages
from medlarfork.routes import routing

MAX_REJECTIONS = 6
"""Upstreams that may refuse one request, or be unreachable for it, before it is given up: each
costs a round trip and a part of the budget of repeats, and where so many refuse hardly any other
takes it."""

MIN_ATTEMPT_MS = 50.0
"""Time left under which another attempt is not worth beginning, in milliseconds: no upstream can
answer over two links in less."""


MIN_STALL_TIMEOUT_S = 1.0
"""Shortest silence in a stream that is taken for a failure, in seconds: several times the longest
pause that reading beside the stream causes."""

STALL_TIMEOUT_FACTOR = 1.5
"""The same as a multiple of the pause that callers expect at most: beyond it the stream is late
anyway."""


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Hold how far a request has come.

    Attributes:
        runs: Attempts that an upstream may have run.
        rejections: Attempts that provably did not run.
        response_started: Whether the caller has a part of an answer.
    """

    runs: int = 0
    rejections: int = 0
    response_started: bool = False

    def after(self, end: placement_messages.RunEnd) -> Progress:
        """Return the progress after an attempt that ended without a whole answer."""
        match end:
            case placement_messages.RunEnd.REJECTED | placement_messages.RunEnd.UNREACHABLE:
                return dataclasses.replace(self, rejections=self.rejections + 1)
            case placement_messages.RunEnd.NOT_SENT:
                return self
            case _:
                return dataclasses.replace(self, runs=self.runs + 1)


def may_retry(route: routing.Route, progress: Progress, left_ms: float) -> bool:
    """Say whether the rules allow another attempt; the budget is asked separately."""
    if left_ms < MIN_ATTEMPT_MS or progress.rejections >= MAX_REJECTIONS:
        return False
    if progress.runs == 0:
        return True
    return route.may_repeat and progress.runs < route.max_attempts


def stall_timeout_s(route: routing.Route) -> float:
    """Return the silence after which a stream that can go on elsewhere is given up."""
    return max(MIN_STALL_TIMEOUT_S, STALL_TIMEOUT_FACTOR * route.gap_ms / 1000.0)


def final_status(progress: Progress, *, in_time: bool) -> int:
    """Return the status that tells the caller truthfully what became of its request."""
    if progress.runs == 0:
        return 503
    return 502 if in_time else 504

"""Retry rules: whether a failed attempt may be retried, and the status when it may not.

A non-repeatable request is retried only if its upstream proved that it did not run. A repeatable
one is retried up to its route's number of attempts. Once an upstream has received the request, each
retry also counts against the shared retry budget. The final status depends on whether any upstream
may have run the request: 503 promises that it did not run.

Pure: no I/O, no clock.
"""

from __future__ import annotations

import dataclasses
import math

from medlarfork.placement import placement_messages
from medlarfork.routes import routing

MAX_REJECTIONS = 6
"""Attempts of one request that upstreams may reject, or that may find them unreachable, before the
request fails. Each costs a round trip and a share of the retry budget, and after so many rejections
another upstream is unlikely to accept the request."""

MIN_ATTEMPT_MS = 50.0
"""Least time left for another attempt, in milliseconds: no upstream can answer over two links in
less."""

MIN_STALL_TIMEOUT_S = 1.5
"""Shortest inter-event gap of a stream that is treated as a stall, in seconds: a sound upstream may
be silent for a second or so, and callers leave after 2 s."""

UNACKNOWLEDGED_CHECK_S = 1.5
"""Time without an acknowledgement after which a repeatable request is sent to another upstream as
well, in seconds: early enough for callers that leave after 2 s."""

UNACKNOWLEDGED_S = 4.0
"""Time without an acknowledgement after which an attempt fails, in seconds: a sound upstream may be
silent for two, and the kernel repeats data at growing intervals."""

MAX_IDLE_S = 4.0
"""Idle time of a connection after which it carries no request that can't be repeated, in seconds:
servers commonly close idle ones from 5 s on, and a connection that is lost shows it only when it is
used."""

STALL_TIMEOUT_FACTOR = 1.5
"""Stall timeout as a multiple of the route's target for the inter-event gap: a longer gap misses
that target in any case."""


NOT_RUN = frozenset(
    {
        placement_messages.RunEnd.NOT_SENT,
        placement_messages.RunEnd.REJECTED,
        placement_messages.RunEnd.UNREACHABLE,
    }
)
"""Ends of attempts that provably did not run."""


NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request has not run and never will."""


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """The attempts of a request so far.

    Attributes:
        runs: Attempts that an upstream may have run.
        rejections: Attempts that provably did not run.
        response_started: Whether the caller has received part of an answer.
    """

    runs: int = 0
    rejections: int = 0
    response_started: bool = False

    def after(self, end: placement_messages.RunEnd) -> Progress:
        """Return the progress after an attempt that ended without a complete answer."""
        match end:
            case placement_messages.RunEnd.REJECTED | placement_messages.RunEnd.UNREACHABLE:
                return dataclasses.replace(self, rejections=self.rejections + 1)
            case placement_messages.RunEnd.NOT_SENT:
                return self
            case _:
                return dataclasses.replace(self, runs=self.runs + 1)


def may_retry(route: routing.Route, progress: Progress, left_ms: float) -> bool:
    """Return whether the rules allow another attempt; the retry budget is checked separately."""
    if left_ms < MIN_ATTEMPT_MS or progress.rejections >= MAX_REJECTIONS:
        return False
    if progress.runs == 0:
        return True
    return route.may_repeat and progress.runs < route.max_attempts


def stall_timeout_s(route: routing.Route) -> float:
    """Return the inter-event gap after which a stream is resumed at another upstream."""
    return max(MIN_STALL_TIMEOUT_S, STALL_TIMEOUT_FACTOR * route.gap_ms / 1000.0)


def max_idle_s(route: routing.Route) -> float:
    """Return how long a connection may have been idle to carry a request of a route."""
    return math.inf if route.may_repeat else MAX_IDLE_S


def is_failure(status: int) -> bool:
    """Return whether the status of a run is a failure that another upstream may mend."""
    return status >= 500 or status in NOT_RUN_STATUSES


def final_status(progress: Progress, *, in_time: bool) -> int:
    """Return the status of a request without an answer: 503 only if no upstream ran it."""
    if progress.runs == 0:
        return 503
    return 502 if in_time else 504

"""Measure how fast the runs of a shard end while requests are queued. Pure: no I/O, no clock.

It handles bursts. While the queue is empty, runs end at the rate of the demand, which says nothing
about the capacity; so only the time in which requests are queued is measured.
"""

from __future__ import annotations

import collections
import dataclasses
import math

from medlarfork.placement import placement_messages

WINDOW_S = 2.0
"""Time with queued requests over which ended runs are counted, in seconds: it covers many runs, and
is a part of a burst, which lasts 3.5 s or more."""

MIN_SAMPLE_S = 0.5
"""Shortest time with queued requests after which places in the schedule of retries are assigned by
the measured rate, in seconds. A wrong place costs less than a wrong refusal."""

MIN_RUNS = 20
"""Completed runs from which the shortest one tells how long a run takes at least."""

MAX_PAUSE_S = 10.0
"""Time without queued requests after which a measurement is discarded, in seconds. Bursts follow
each other within it, while releases and scaling change a service over longer times."""


NOT_RUN = frozenset(
    {
        placement_messages.RunEnd.NOT_SENT,
        placement_messages.RunEnd.REJECTED,
        placement_messages.RunEnd.UNREACHABLE,
    }
)
"""Ends that leave no slot for a queued request: the upstream had none, or was not reached."""


@dataclasses.dataclass(frozen=True, slots=True)
class _End:
    """A run that ended while requests were queued.

    Attributes:
        queued_s: How long requests had been queued in total, in seconds.
        tier: Its priority.
        run_s: How long it took, in seconds; 0 if it did not complete.
    """

    queued_s: float
    tier: int
    run_s: float


class StartRate:
    """Count the ended runs of a shard while requests are queued; callers pass the time.

    Attributes:
        is_active: Whether a request with a client account was placed; nothing is measured before.
    """

    def __init__(self) -> None:
        """Start without measurements."""
        self.is_active = False
        self._queued_s = 0.0
        self._advanced_at = -math.inf
        self._is_waiting = False
        self._ends: collections.deque[_End] = collections.deque()
        self._count_by_tier: collections.Counter[int] = collections.Counter()
        self._completed = 0
        self._completed_s = 0.0

    def advance(self, now: float, *, is_waiting: bool) -> None:
        """Record whether requests are queued from now on."""
        if not self.is_active:
            return
        if self._is_waiting:
            self._queued_s += now - self._advanced_at
        elif is_waiting and now - self._advanced_at > MAX_PAUSE_S:
            self._queued_s = 0.0
            self._drop_before(math.inf)
        if self._is_waiting or is_waiting:
            self._advanced_at = now
        self._is_waiting = is_waiting
        self._drop_before(self._queued_s - WINDOW_S)

    def record_end(self, tier: int, ended: placement_messages.RunEnded, now: float) -> None:
        """Count the end of a run."""
        if not self._is_waiting or ended.end in NOT_RUN:
            return
        self.advance(now, is_waiting=True)
        is_complete = ended.end is placement_messages.RunEnd.COMPLETE and ended.after_ms > 0
        run_s = ended.after_ms / 1000.0 if is_complete else 0.0
        self._ends.append(_End(self._queued_s, tier, run_s))
        self._count_by_tier[tier] += 1
        self._completed += is_complete
        self._completed_s += run_s

    @property
    def is_measured(self) -> bool:
        """Return whether the rate was measured over the entire window."""
        return self._queued_s >= WINDOW_S

    @property
    def run_s(self) -> float | None:
        """Return the mean time of the runs that completed, in seconds; None if none did."""
        return self._completed_s / self._completed if self._completed else None

    @property
    def shortest_run_s(self) -> float:
        """Return the shortest time of the runs that completed, in seconds; 0 if few did."""
        if self._completed < MIN_RUNS:
            return 0.0
        return min(end.run_s for end in self._ends if end.run_s > 0)

    def per_s(self, tier: int) -> float:
        """Return how many slots become free for a tier in a second; 0 if that is unknown.

        More urgent tiers use the slots that their own runs leave.
        """
        if self._queued_s < MIN_SAMPLE_S:
            return 0.0
        ended = sum(count for other, count in self._count_by_tier.items() if other >= tier)
        return ended / min(self._queued_s, WINDOW_S)

    @property
    def total_per_s(self) -> float:
        """Return how many slots become free in a second; 0 if that is unknown."""
        return len(self._ends) / min(self._queued_s, WINDOW_S) if self._queued_s else 0.0

    def _drop_before(self, queued_s: float) -> None:
        while self._ends and self._ends[0].queued_s < queued_s:
            end = self._ends.popleft()
            self._count_by_tier[end.tier] -= 1
            if not self._count_by_tier[end.tier]:
                del self._count_by_tier[end.tier]
            self._completed -= end.run_s > 0
            self._completed_s -= end.run_s

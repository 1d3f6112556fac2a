"""Bound how often requests are sent once more, over all entry hosts together.

The load that this answers: when upstreams fail, every failed send would otherwise become two, which
overloads those that are left. Each entry host takes its own requests' ratio and an equal share of
the burst, so that the sum stays below the budget without asking anyone. A sliding window is kept
exactly: the times of all repeats within it are remembered.
"""

from __future__ import annotations

import collections
import dataclasses

USED_SHARE = 0.85
"""Share of the budget that is used; the rest covers hosts that came or restarted meanwhile."""


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetRules:
    """Hold the budget of a service over all entry hosts.

    Attributes:
        ratio: Repeats allowed for each request.
        burst: Repeats allowed in a window besides.
        window_s: The window's length, in seconds.
    """

    ratio: float = 0.2
    burst: float = 50.0
    window_s: float = 10.0


class RetryBudget:
    """Keep one entry host's share of one service's budget; pure."""

    def __init__(self, rules: BudgetRules) -> None:
        """Start with an unused share."""
        self._rules = rules
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._drop_old(now)

    def take(self, now: float, *, entry_hosts: int) -> bool:
        """Count a repeat if the share allows one; say whether it does."""
        if not self.has_room(now, entry_hosts=entry_hosts):
            return False
        self._repeats.append(now)
        return True

    def has_room(self, now: float, *, entry_hosts: int) -> bool:
        """Say whether the share allows a repeat, without counting one."""
        self._drop_old(now)
        burst_share = self._rules.burst / max(entry_hosts, 1)
        allowed = USED_SHARE * (self._rules.ratio * len(self._requests) + burst_share)
        return len(self._repeats) + 1 <= allowed

    def _drop_old(self, now: float) -> None:
        oldest = now - self._rules.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest:
                times.popleft()

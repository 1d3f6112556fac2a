"""Limits retries over all entry hosts together.

Without a limit, every failed send would become two while upstreams fail, which overloads the
remaining ones. Each entry host has a token bucket per service. It starts empty, earns the ratio
with each of its own requests, and holds at most its share of the burst. The sum stays within the
budget in every window without coordination, also over restarts: a window sees at most what the
buckets hold when it begins, and what is earned in it.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable


@dataclasses.dataclass(frozen=True, slots=True)
class _Earning:
    """How requests earn tokens: what a window earns, and what it starts with, is within the ratio.

    Attributes:
        share: Share of the ratio that a request earns.
        recent_s: Time during which such tokens can be held beyond the share of the burst, in
            seconds.
    """

    share: float
    recent_s: float


USUAL = _Earning(0.95, 0.5)
"""For hosts whose share of the burst is a token or more."""

SPARSE = _Earning(0.65, 5.0)
"""For the others: without a longer time, hosts with few requests could never hold a token."""

HELD_SHARE = 0.85
"""Share of the burst that all buckets hold at most."""

YOUNG_SHARE = 0.6
"""Part of ``HELD_SHARE`` that a host holds in the first window of its life. It gets the rest at the
end of that: no later window sees what its former life has spent."""

REFILLED_SHARE = 0.1
"""Share of the burst that all buckets earn in a window without requests: a host with few requests
can retry some time after its start."""

Share = Callable[[float], float]
"""Returns this host's share of the burst at a monotonic time in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetRules:
    """The retry budget of a service over all entry hosts.

    Attributes:
        ratio: Retries allowed for each request.
        burst: Further retries allowed in a window.
        window_s: Length of the window, in seconds.
    """

    ratio: float = 0.2
    burst: float = 50.0
    window_s: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetState:
    """The state of one entry host's bucket, for logs and metrics.

    Attributes:
        tokens: Retries that it allows now.
        limit: Tokens that it can hold now, with the reserved ones.
        reserved: Retries that were allowed and have not been sent yet.
        burst: This host's share of the burst, in tokens; 0 while the host may not be counted.
    """

    tokens: float
    limit: float
    reserved: int
    burst: float

    def __str__(self) -> str:
        """Return the state for a log line."""
        return (
            f"{self.tokens:.1f} of {self.limit:.1f} left, {self.reserved} reserved, "
            f"burst {self.burst:.1f}"
        )


class RetryPermit:
    """One retry that a budget allows; ``use`` when it is sent, or ``release`` if it is not.

    Attributes:
        is_open: Whether neither has been called.
    """

    def __init__(self, budget: RetryBudget) -> None:
        """Create the permit of a reserved token."""
        self._budget = budget
        self.is_open = True

    def use(self) -> None:
        """Record that the retry is sent now."""
        self._end(is_sent=True)

    def release(self) -> None:
        """Return the token of a retry that is not sent; no effect if it was."""
        self._end(is_sent=False)

    def _end(self, *, is_sent: bool) -> None:
        if self.is_open:
            self.is_open = False
            self._budget.end_reservation(is_sent=is_sent)


class RetryBudget:
    """One entry host's bucket of a service's retry budget. Pure: no I/O, no clock."""

    def __init__(self, rules: BudgetRules, share: Share, now: float) -> None:
        """Start with an empty bucket: the former life of this host may have spent its own.

        Args:
            rules: The budget of the service.
            share: Returns this host's share of the burst.
            now: Monotonic time, in seconds.
        """
        self._rules = rules
        self._share = share
        self._tokens = 0.0
        self._reserved = 0
        self._refilled_at = now
        self._young_until = now + rules.window_s
        self._is_young = True
        self._recent: collections.deque[float] = collections.deque()

    @property
    def tokens(self) -> float:
        """Return the tokens as of the last decision, also from another thread."""
        return self._tokens

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        earning = self._earning(self._burst_share(now))
        self._drop_old(now - earning.recent_s)
        self._recent.append(now)
        self._tokens += earning.share * self._rules.ratio

    def reserve(self, now: float) -> RetryPermit | None:
        """Return a permit for one retry, or None if no token is left.

        It takes up room in the bucket until the retry is sent, which may be long after it was
        allowed: otherwise retries that wait would arrive together with later ones.
        """
        if not self.has_room(now):
            return None
        self._tokens -= 1.0
        self._reserved += 1
        return RetryPermit(self)

    def has_room(self, now: float) -> bool:
        """Return whether the bucket allows a retry, without reserving a token."""
        return self.state(now).tokens >= 1.0

    def end_reservation(self, *, is_sent: bool) -> None:
        """Spend a reserved token, or return it to the bucket (see ``RetryPermit``)."""
        self._reserved -= 1
        if not is_sent:
            self._tokens += 1.0

    def state(self, now: float) -> BudgetState:
        """Return the state of the bucket."""
        burst = self._burst_share(now)
        earning = self._earning(burst)
        self._drop_old(now - earning.recent_s)
        refilled = REFILLED_SHARE * burst * (now - self._refilled_at) / self._rules.window_s
        earned = earning.share * self._rules.ratio * len(self._recent)
        self._refilled_at = now
        young_limit = YOUNG_SHARE * HELD_SHARE * burst + earned
        limit = HELD_SHARE * burst + earned
        if not self._is_young:
            self._limit_tokens(refilled, limit)
            return BudgetState(self._tokens, limit, self._reserved, burst)
        self._limit_tokens(refilled, young_limit)
        if burst > 0.0 and now >= self._young_until:
            self._is_young = False
            self._tokens += limit - young_limit
        return BudgetState(self._tokens, young_limit, self._reserved, burst)

    def _drop_old(self, oldest: float) -> None:
        while self._recent and self._recent[0] < oldest:
            self._recent.popleft()

    def _limit_tokens(self, refilled: float, limit: float) -> None:
        self._tokens = min(self._tokens + refilled, max(limit - self._reserved, 0.0))

    def _burst_share(self, now: float) -> float:
        return self._rules.burst * self._share(now)

    def _earning(self, burst: float) -> _Earning:
        return USUAL if HELD_SHARE * burst >= 1.0 else SPARSE

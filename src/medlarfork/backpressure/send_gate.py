"""Pace requests to upstreams by their rate limits and backoffs. Pure: no I/O, no clock.

It serves two cases: engines that shed load with Retry-After, and overloaded engines that limit the
request rate of all entry hosts together. The placement owner paces requests at the full rate, like
a token bucket with a short burst. An entry host that places without an owner uses its part of half
the rate, since an owner may be placing at the same time.
"""

from __future__ import annotations

from medlarfork.backpressure import signal_ledger

MIN_RATE = 0.1
"""Requests a second sent to an upstream that states a lower limit, even 0. Only another response
can show that the limit has ended."""

BURST_S = 0.25
"""Unused send time that a burst may catch up on, in seconds. Requests arrive in bursts, and
callers pay for a limit that is not fully used."""


class SendGate:
    """Pace requests by rate limits and backoffs; callers pass the time, in seconds."""

    def __init__(self, ledger: signal_ledger.SignalLedger) -> None:
        """Use the signals of a ledger."""
        self._ledger = ledger
        self._due_at_by_upstream: dict[str, float] = {}

    @property
    def is_unrestricted(self) -> bool:
        """Return whether no upstream has sent any signal."""
        return self._ledger.is_empty

    def is_leaving(self, upstream_id: str) -> bool:
        """Return whether an upstream is leaving and accepts no more requests."""
        return self._ledger.is_leaving(upstream_id)

    def is_closed_to_all(self, upstream_id: str, now: float) -> bool:
        """Return whether an upstream gets none from any host, since it has rejected too many."""
        return self._ledger.backoff_until(upstream_id, signal_ledger.ALL_HOSTS) > now

    def rate(self, upstream_id: str, share: float = 1.0) -> float | None:
        """Return the request rate allowed from here, in requests a second; None for no limit.

        Args:
            upstream_id: The incarnation.
            share: The fraction of the upstream's limit that may be used here.
        """
        rate = self._ledger.rate(upstream_id)
        return None if rate is None else max(rate, MIN_RATE) * share

    def wait_s(self, upstream_id: str, entry_id: str, now: float, share: float = 1.0) -> float:
        """Return the time until an upstream may get a request, in seconds; 0 if it may get one now.

        Args:
            upstream_id: The incarnation.
            entry_id: The entry host that would send the request.
            now: The time in seconds.
            share: The fraction of the upstream's limit that may be used here.
        """
        backoff_s = max(0.0, self._ledger.backoff_until(upstream_id, entry_id) - now)
        return max(backoff_s, self._rate_wait_s(upstream_id, now, share))

    def _rate_wait_s(self, upstream_id: str, now: float, share: float) -> float:
        rate = self.rate(upstream_id, share)
        if rate is None:
            return 0.0
        interval_s = 1.0 / rate
        # Requests sent before the limit was known count as one request sent when it was recorded.
        first_at = self._ledger.limited_since(upstream_id) + interval_s
        due_at = max(self._due_at_by_upstream.get(upstream_id, first_at), first_at)
        if due_at > now + interval_s:
            # The limit has been raised since the last request.
            due_at = now + interval_s
            self._due_at_by_upstream[upstream_id] = due_at
        return max(0.0, due_at - now)

    def record_send(self, upstream_id: str, now: float, share: float = 1.0) -> None:
        """Count a request that is sent now against the limit."""
        rate = self.rate(upstream_id, share)
        if rate is None:
            self._due_at_by_upstream.pop(upstream_id, None)
            return
        due_at = self._due_at_by_upstream.get(upstream_id, now)
        self._due_at_by_upstream[upstream_id] = max(due_at, now - BURST_S) + 1.0 / rate

    def evict_unlimited(self) -> None:
        """Remove the pacing state of upstreams that have no limit any more."""
        for upstream_id in tuple(self._due_at_by_upstream):
            if self._ledger.rate(upstream_id) is None:
                del self._due_at_by_upstream[upstream_id]

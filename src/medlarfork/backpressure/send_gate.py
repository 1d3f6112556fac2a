"""Decide when an upstream may get its next request, by its backpressure signals: pure.

The load that this answers: engines that shed load, and engines in need that limit the rate of
requests from all hosts together. The owner of placement paces requests at the whole rate, like a
token bucket with a short burst; a host that places alone at its part of one half, since an owner
may be placing at the same time.
"""

from __future__ import annotations

from medlarfork.backpressure import signal_ledger

MIN_RATE = 0.1
"""Requests a second that are sent to an upstream that names less: only an answer tells that the
limit has ended."""

BURST_S = 0.25
"""Unused time that a burst may catch up, in seconds: requests come in bursts, and a limit that is
not used up costs their callers."""


class SendGate:
    """Pace requests by limits and pauses; the time is handed in, in seconds."""

    def __init__(self, ledger: signal_ledger.SignalLedger) -> None:
        """Go by what a ledger holds."""
        self._ledger = ledger
        self._due_at_by_upstream: dict[str, float] = {}

    @property
    def is_unrestricted(self) -> bool:
        """Return whether no upstream has signalled anything."""
        return self._ledger.is_empty

    def is_leaving(self, upstream_id: str) -> bool:
        """Return whether an upstream takes no request any more."""
        return self._ledger.is_leaving(upstream_id)

    def rate(self, upstream_id: str, share: float = 1.0) -> float | None:
        """Return how many requests a second an upstream may get from here; None for no limit.

        Args:
            upstream_id: The incarnation.
            share: This place's part of what the upstream takes.
        """
        rate = self._ledger.rate(upstream_id)
        return None if rate is None else max(rate, MIN_RATE) * share

    def wait_s(self, upstream_id: str, entry_id: str, now: float, share: float = 1.0) -> float:
        """Return how long an upstream is to get no request, in seconds; 0 if it may get one.

        Args:
            upstream_id: The incarnation.
            entry_id: The entry host that would send it.
            now: The time in seconds.
            share: This place's part of what the upstream takes.
        """
        paused_s = max(0.0, self._ledger.backoff_until(upstream_id, entry_id) - now)
        return max(paused_s, self._paced_s(upstream_id, now, share))

    def _paced_s(self, upstream_id: str, now: float, share: float) -> float:
        rate = self.rate(upstream_id, share)
        if rate is None:
            return 0.0
        interval_s = 1.0 / rate
        # What was sent before the limit was known counts as one request just now.
        first_at = self._ledger.limited_since(upstream_id) + interval_s
        due_at = max(self._due_at_by_upstream.get(upstream_id, first_at), first_at)
        if due_at > now + interval_s:
            # The limit has risen meanwhile.
            due_at = now + interval_s
            self._due_at_by_upstream[upstream_id] = due_at
        return max(0.0, due_at - now)

    def record_send(self, upstream_id: str, now: float, share: float = 1.0) -> None:
        """Count a request that is sent now."""
        rate = self.rate(upstream_id, share)
        if rate is None:
            self._due_at_by_upstream.pop(upstream_id, None)
            return
        due_at = self._due_at_by_upstream.get(upstream_id, now)
        self._due_at_by_upstream[upstream_id] = max(due_at, now - BURST_S) + 1.0 / rate

    def evict_unlimited(self) -> None:
        """Drop what is kept of upstreams that name no limit any more."""
        for upstream_id in tuple(self._due_at_by_upstream):
            if self._ledger.rate(upstream_id) is None:
                del self._due_at_by_upstream[upstream_id]

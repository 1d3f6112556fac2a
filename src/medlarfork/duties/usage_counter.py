"""Usage counter of an entry host: requests started per client account and window.

Pure: no I/O, no clock. Designed for hundreds of requests per second, leader changes and lost
messages: counts only increase and are sent as totals, so duplicated or delayed messages have no
effect, and a new leader gets all retained windows.
"""

from __future__ import annotations

import collections

from medlarfork.duties import usage_messages

RETAINED_WINDOWS = 24
"""Number of windows that are kept for resending: two minutes of 5 s windows, longer than a
deployment is without a leader."""

MIN_PERIOD_S = 0.4
"""Report period of a host in a small fleet, in seconds: counts since the last report are lost if
the host loses power."""

MAX_PERIOD_S = 2.4
"""Report period in the largest fleets, in seconds: shorter than a window waits for late hosts."""

HOST_REPORTS_PER_S = 200.0
"""Reports that a leader receives per second: a small part of its CPU time."""


def report_period_s(entry_hosts: int) -> float:
    """Return the report period of a host in a fleet of this size, in seconds."""
    return min(MAX_PERIOD_S, max(MIN_PERIOD_S, entry_hosts / HOST_REPORTS_PER_S))


class UsageCounter:
    """Counts of one entry host since its start."""

    def __init__(self, *, boot: int, window_s: float) -> None:
        """Start without counts.

        Args:
            boot: Identifies this start of the entry host.
            window_s: Length of a window, in seconds.
        """
        self._boot = boot
        self._window_s = window_s
        self._counts_by_window: dict[int, collections.Counter[str]] = {}
        self._changed_by_window: dict[int, int] = {}
        self._sequence = 0
        self._confirmed_sequence = 0
        self._ledger = 0
        self._leader_id = ""
        self._in_flight: dict[int, tuple[str, float]] = {}
        self._last_send = 0
        self._reported_open_window = 0

    def record_sent(self, account: str, fleet_time_s: float) -> int:
        """Record a call sent at a Unix time in seconds; return its handle for ``record_outcome``.

        Its window stays open until it is known whether the upstream started to run it.
        """
        self._last_send += 1
        self._in_flight[self._last_send] = (account, fleet_time_s)
        return self._last_send

    def record_outcome(self, send: int, *, has_started: bool) -> None:
        """Count a sent call if it started to run; otherwise discard it."""
        account, fleet_time_s = self._in_flight.pop(send)
        if has_started:
            self.record_started(account, fleet_time_s)

    def record_started(self, account: str, fleet_time_s: float) -> None:
        """Count a request that an upstream started to run at a Unix time in seconds.

        A window that was reported as complete stays complete even if the fleet's time steps back.
        """
        window = max(self._window(fleet_time_s), self._reported_open_window)
        counts = self._counts_by_window.setdefault(window, collections.Counter())
        counts[account] += 1
        self._changed_by_window[window] = self._sequence + 1

    def pending_report(self, leader_id: str, fleet_time_s: float) -> usage_messages.UsageTold:
        """Return the next report to the leader; a new leader gets all windows."""
        if leader_id != self._leader_id:
            self._leader_id = leader_id
            self._resend_all()
        self._evict_before(self._window(fleet_time_s) - RETAINED_WINDOWS)
        self._sequence += 1
        oldest_s = min((sent_s for _, sent_s in self._in_flight.values()), default=fleet_time_s)
        self._reported_open_window = max(
            self._reported_open_window, self._window(min(oldest_s, fleet_time_s))
        )
        windows = tuple(
            usage_messages.WindowCounts(window, dict(counts))
            for window, counts in self._counts_by_window.items()
            if self._changed_by_window[window] > self._confirmed_sequence
        )
        return usage_messages.UsageTold(
            self._boot, self._sequence, self._reported_open_window, windows, self._ledger
        )

    def confirm(self, leader_id: str, receipt: usage_messages.UsageReceipt) -> None:
        """Handle a leader's receipt; a leader that has restarted since gets all windows again."""
        if leader_id != self._leader_id or receipt.boot != self._boot:
            return
        if self._ledger not in (0, receipt.ledger):
            self._resend_all()
            return
        self._ledger = receipt.ledger
        self._confirmed_sequence = max(self._confirmed_sequence, receipt.sequence)

    def _resend_all(self) -> None:
        self._ledger = 0
        self._confirmed_sequence = 0

    def _window(self, fleet_time_s: float) -> int:
        return int(fleet_time_s // self._window_s)

    def _evict_before(self, oldest: int) -> None:
        for window in [window for window in self._counts_by_window if window < oldest]:
            del self._counts_by_window[window]
            del self._changed_by_window[window]

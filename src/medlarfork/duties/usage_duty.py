"""Usage duty of the leader: fixes complete windows and reports them to the platform."""

from __future__ import annotations

import random
from typing import Any

from medlarfork.duties import duty_state, duty_types, usage_ledger

FIX_RETRY_S = 1.0
"""Time after which the proposal to fix a window is retried, in seconds."""

MIN_BACKOFF_S = 0.5
"""Backoff after the first failed report, in seconds; it doubles with each further failure."""

MAX_BACKOFF_S = 4.0
"""Maximum backoff, in seconds: a platform that recovers soon gets its reports."""

BACKOFF_JITTER = 0.3
"""Randomized fraction of the backoff, so that callers do not retry at the same time."""


class UsageDuty:
    """Reports each window once its counts are fixed, one at a time, oldest first.

    Pure: no I/O, no clock.
    """

    def __init__(self, state: duty_state.DutyState, rng: random.Random) -> None:
        """Use the replicated state; ``rng`` draws the jitter of backoffs."""
        self._state = state
        self._rng = rng
        self._retry_fix_at_by_window: dict[int, float] = {}
        self._next_report_at = 0.0
        self._failures = 0

    def windows_to_fix(
        self, ledger: usage_ledger.UsageLedger, entry_ids: frozenset[str], now: float
    ) -> tuple[duty_state.FixUsage, ...]:
        """Return commands that fix the complete windows."""
        fixes = []
        complete_windows = ledger.complete_windows(entry_ids, now)
        self._retry_fix_at_by_window = {
            window: due
            for window, due in self._retry_fix_at_by_window.items()
            if window in complete_windows
        }
        for window in complete_windows:
            if not self._state.may_fix(window):
                ledger.drop(window)
                continue
            if self._retry_fix_at_by_window.get(window, now) <= now:
                self._retry_fix_at_by_window[window] = now + FIX_RETRY_S
                fixes.append(duty_state.FixUsage(window, ledger.counts(window)))
        return tuple(fixes)

    def next_report(self, now: float) -> duty_types.ReportUsage | None:
        """Return the oldest fixed window that is not reported yet; None during a backoff."""
        if now < self._next_report_at:
            return None
        for window, fixed in sorted(self._state.usage_by_window.items()):
            if not fixed.is_reported:
                return duty_types.ReportUsage(window, fixed.count_by_account)
        return None

    def on_call_end(
        self, report: duty_types.ReportUsage, end: duty_types.CallEnd, now: float
    ) -> Any:
        """Handle the end of a report; return the command to propose, if any."""
        if end is duty_types.CallEnd.DONE:
            self._failures = 0
            self._next_report_at = now
            return duty_state.UsageReported(report.window)
        backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0**self._failures)
        self._failures += 1
        self._next_report_at = now + backoff_s * self._rng.uniform(1.0 - BACKOFF_JITTER, 1.0)
        return None

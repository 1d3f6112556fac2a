"""Decide which window's usage is fixed next, and which is sent to the platform when; pure."""

from __future__ import annotations

import random
from typing import Any

from medlarfork.duties import duty_state, duty_types, usage_ledger

FIX_RETRY_S = 1.0
"""Time after which the log is asked once more to fix a window, in seconds."""

MIN_BACKOFF_S = 0.5
"""Pause after a first report that failed, in seconds; pauses double with each in a row."""

MAX_BACKOFF_S = 4.0
"""Longest such pause, in seconds: a platform that comes back is soon told."""

BACKOFF_JITTER = 0.3
"""Part of a pause that is drawn, so that callers do not come back together."""


class UsageDuty:
    """Report each window once its counts are fixed, one at a time, the newest last."""

    def __init__(self, log: duty_state.DutyState, draw: random.Random) -> None:
        """Work on the log's state; ``draw`` spreads the pauses."""
        self._log = log
        self._draw = draw
        self._fix_due_by_window: dict[int, float] = {}
        self._due = 0.0
        self._failures = 0

    def windows_to_fix(
        self, ledger: usage_ledger.UsageLedger, entry_ids: frozenset[str], now: float
    ) -> tuple[duty_state.FixUsage, ...]:
        """Return the windows that are complete, for the log to fix."""
        fixes = []
        complete = ledger.complete(entry_ids, now)
        self._fix_due_by_window = {
            window: due for window, due in self._fix_due_by_window.items() if window in complete
        }
        for window in complete:
            if not self._log.may_fix(window):
                ledger.drop(window)
                continue
            if self._fix_due_by_window.get(window, now) <= now:
                self._fix_due_by_window[window] = now + FIX_RETRY_S
                fixes.append(duty_state.FixUsage(window, ledger.counts(window)))
        return tuple(fixes)

    def next_report(self, now: float) -> duty_types.ReportUsage | None:
        """Return the oldest window that the platform does not have, if it is to be sent now."""
        if now < self._due:
            return None
        for window, fixed in sorted(self._log.usage_by_window.items()):
            if not fixed.is_reported:
                return duty_types.ReportUsage(window, fixed.count_by_account)
        return None

    def on_call_end(
        self, report: duty_types.ReportUsage, end: duty_types.CallEnd, now: float
    ) -> Any:
        """Take the end of a report; return what the log is to be told."""
        if end is duty_types.CallEnd.DONE:
            self._failures = 0
            self._due = now
            return duty_state.UsageReported(report.window)
        pause_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0**self._failures)
        self._failures += 1
        self._due = now + pause_s * self._draw.uniform(1.0 - BACKOFF_JITTER, 1.0)
        return None

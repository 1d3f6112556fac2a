"""Usage ledger of the leader: sums the counts of entry hosts and finds the complete windows."""

from __future__ import annotations

import collections

from medlarfork.duties import usage_messages

STRAGGLER_TIMEOUT_S = 3.0
"""How long a window that has ended waits for entry hosts whose report is missing, in seconds:
longer than most suspensions of a host, and well before the window's report is due."""

MAX_WINDOWS = 48
"""Maximum number of windows; the oldest are evicted."""

MAX_ACCOUNTS = 10_000
"""Maximum number of client accounts per host and window; further ones are ignored."""


class UsageLedger:
    """Counts by window and entry host, merged by their maximum.

    Pure: no I/O, no clock. Nothing is durable, since entry hosts resend their counts.
    """

    def __init__(self, ledger: int) -> None:
        """Start without counts; ``ledger`` identifies this start of the replica."""
        self._ledger = ledger
        self._counts_by_window: dict[int, dict[tuple[str, int], dict[str, int]]] = {}
        self._open_window_by_entry: dict[str, int] = {}
        self._ended_at_by_window: dict[int, float] = {}

    def take(
        self, entry_id: str, message: usage_messages.UsageTold, now: float
    ) -> usage_messages.UsageReceipt:
        """Merge a report of an entry host and return its receipt."""
        for counted in message.windows:
            by_start = self._counts_by_window.setdefault(counted.window, {})
            counts = by_start.setdefault((entry_id, message.boot), {})
            for account, count in list(counted.count_by_account.items())[:MAX_ACCOUNTS]:
                counts[account] = max(count, counts.get(account, 0))
        self._evict_oldest()
        # Otherwise the message lacks windows that an earlier start of a replica confirmed.
        if message.ledger in (0, self._ledger):
            self._record_ended_windows(entry_id, message.open_window, now)
        return usage_messages.UsageReceipt(message.boot, message.sequence, self._ledger)

    def complete_windows(self, entry_ids: frozenset[str], now: float) -> tuple[int, ...]:
        """Return the windows for which no further reports are expected, oldest first.

        Args:
            entry_ids: Present entry hosts.
            now: The time in seconds.
        """
        # Hosts that are gone are not waited for; one that comes back sends its counts again.
        self._open_window_by_entry = {
            entry_id: self._open_window_by_entry.get(entry_id, 0) for entry_id in entry_ids
        }
        first_open_window = min(self._open_window_by_entry.values(), default=0)
        return tuple(
            window
            for window in sorted(self._counts_by_window)
            if window < first_open_window
            or self._ended_at_by_window.get(window, now) + STRAGGLER_TIMEOUT_S <= now
        )

    def counts(self, window: int) -> dict[str, int]:
        """Return the requests started in a window by client account, as far as reported."""
        total: collections.Counter[str] = collections.Counter()
        for counts in self._counts_by_window.get(window, {}).values():
            total.update(counts)
        return dict(total)

    def drop(self, window: int) -> None:
        """Remove a window whose counts are fixed."""
        self._counts_by_window.pop(window, None)
        self._ended_at_by_window.pop(window, None)

    def _record_ended_windows(self, entry_id: str, open_window: int, now: float) -> None:
        """Record an entry host's open window, and that the windows before it have ended."""
        known = self._open_window_by_entry.get(entry_id, 0)
        self._open_window_by_entry[entry_id] = max(known, open_window)
        for window in self._counts_by_window:
            if window < open_window:
                self._ended_at_by_window.setdefault(window, now)

    def _evict_oldest(self) -> None:
        for window in sorted(self._counts_by_window)[:-MAX_WINDOWS]:
            self.drop(window)

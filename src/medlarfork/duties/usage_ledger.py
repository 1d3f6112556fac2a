"""Add up at the leader what entry hosts counted, and say which windows are complete; pure."""

from __future__ import annotations

import collections

from medlarfork.duties import usage_messages

STRAGGLER_TIMEOUT_S = 3.0
"""How long a window that has ended waits for entry hosts that did not tell of it yet, in seconds:
longer than most hosts stand still, and well before a report is late."""

MAX_WINDOWS = 48
"""Windows that are kept at once; the oldest give way."""

MAX_ACCOUNTS = 10_000
"""Client accounts that are counted in a window; what further ones are told of is left out."""


class UsageLedger:
    """Merge counts by their maximum; nothing here is durable, since entry hosts tell again."""

    def __init__(self, ledger: int) -> None:
        """Start without counts; ``ledger`` names this start of its replica."""
        self._ledger = ledger
        self._counts_by_window: dict[int, dict[tuple[str, int], dict[str, int]]] = {}
        self._open_window_by_entry: dict[str, int] = {}
        self._ended_at_by_window: dict[int, float] = {}

    def take(
        self, entry_id: str, told: usage_messages.UsageTold, now: float
    ) -> usage_messages.UsageReceipt:
        """Take what an entry host tells and return the receipt for it."""
        for counted in told.windows:
            by_start = self._counts_by_window.setdefault(counted.window, {})
            counts = by_start.setdefault((entry_id, told.boot), {})
            for account, count in list(counted.count_by_account.items())[:MAX_ACCOUNTS]:
                counts[account] = max(count, counts.get(account, 0))
        self._forget_oldest()
        # Else windows that an earlier start of a replica confirmed are missing in this message.
        if told.ledger in (0, self._ledger):
            self._note_ended(entry_id, told.open_window, now)
        return usage_messages.UsageReceipt(told.boot, told.sequence, self._ledger)

    def complete(self, entry_ids: frozenset[str], now: float) -> tuple[int, ...]:
        """Return the windows of which no more is to be heard, the oldest first.

        Args:
            entry_ids: The entry hosts that are there.
            now: The time in seconds.
        """
        # Hosts that are gone are not waited for; one that comes back tells again.
        self._open_window_by_entry = {
            entry_id: self._open_window_by_entry.get(entry_id, 0) for entry_id in entry_ids
        }
        all_past = min(self._open_window_by_entry.values(), default=0)
        return tuple(
            window
            for window in sorted(self._counts_by_window)
            if window < all_past
            or self._ended_at_by_window.get(window, now) + STRAGGLER_TIMEOUT_S <= now
        )

    def counts(self, window: int) -> dict[str, int]:
        """Return the requests of each client account that began in a window, as far as known."""
        total: collections.Counter[str] = collections.Counter()
        for counts in self._counts_by_window.get(window, {}).values():
            total.update(counts)
        return dict(total)

    def drop(self, window: int) -> None:
        """Forget a window whose counts are fixed."""
        self._counts_by_window.pop(window, None)
        self._ended_at_by_window.pop(window, None)

    def _note_ended(self, entry_id: str, open_window: int, now: float) -> None:
        """Note that an entry host counts in a window, and that those before it are over."""
        known = self._open_window_by_entry.get(entry_id, 0)
        self._open_window_by_entry[entry_id] = max(known, open_window)
        for window in self._counts_by_window:
            if window < open_window:
                self._ended_at_by_window.setdefault(window, now)

    def _forget_oldest(self) -> None:
        for window in sorted(self._counts_by_window)[:-MAX_WINDOWS]:
            self.drop(window)

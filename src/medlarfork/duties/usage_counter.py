"""Count at an entry host which client accounts' requests began to run, window by window; pure.

The load that this answers: hundreds of requests a second, leaders that change, and messages that
are lost. Counts only grow and are told whole, so a repeated or late message does no harm, and a new
leader is told everything that is still kept.
"""

from __future__ import annotations

import collections

from medlarfork.duties import usage_messages

RETAINED_WINDOWS = 24
"""Windows that are kept to be told again: two minutes of 5 s windows, longer than a deployment is
without a leader."""

MIN_PERIOD_S = 0.4
"""How often a host tells the leader in a small fleet, in seconds: what it counts meanwhile is lost
if it loses power."""

MAX_PERIOD_S = 2.4
"""The same in the largest fleets, in seconds: less than a window waits for hosts that are late."""

HOST_REPORTS_PER_S = 200.0
"""Hosts that a leader hears in a second: a small part of its processor."""


def report_period_s(entry_hosts: int) -> float:
    """Return how often a host of a fleet tells the leader, in seconds."""
    return min(MAX_PERIOD_S, max(MIN_PERIOD_S, entry_hosts / HOST_REPORTS_PER_S))


class UsageCounter:
    """Keep one entry host's counts since its start."""

    def __init__(self, *, boot: int, window_s: float) -> None:
        """Start without counts.

        Args:
            boot: Names this start of the entry host.
            window_s: Length of a window, in seconds.
        """
        self._boot = boot
        self._window_s = window_s
        self._counts_by_window: dict[int, collections.Counter[str]] = {}
        self._changed_by_window: dict[int, int] = {}
        self._sequence = 0
        self._confirmed = 0
        self._ledger = 0
        self._leader_id = ""
        self._sent: dict[int, tuple[str, float]] = {}
        self._sends = 0
        self._open_window = 0

    def record_sent(self, account: str, fleet_time_s: float) -> int:
        """Note a call that begins to run now, if its upstream takes it, at a true Unix time.

        Its window stays open until that is known: ``record_outcome`` gets what is returned here.
        """
        self._sends += 1
        self._sent[self._sends] = (account, fleet_time_s)
        return self._sends

    def record_outcome(self, send: int, *, has_started: bool) -> None:
        """Count a call that was sent, or forget it if it did not run."""
        account, fleet_time_s = self._sent.pop(send)
        if has_started:
            self.record_started(account, fleet_time_s)

    def record_started(self, account: str, fleet_time_s: float) -> None:
        """Count a request that an upstream began to run at a true time, in Unix seconds.

        A window that was told to be over stays so, also if the agreed time went back a little.
        """
        window = max(self._window(fleet_time_s), self._open_window)
        counts = self._counts_by_window.setdefault(window, collections.Counter())
        counts[account] += 1
        self._changed_by_window[window] = self._sequence + 1

    def pending_report(self, leader_id: str, fleet_time_s: float) -> usage_messages.UsageTold:
        """Return what the leader is to be told now; a new one is told everything."""
        if leader_id != self._leader_id:
            self._leader_id = leader_id
            self._tell_all()
        self._forget_before(self._window(fleet_time_s) - RETAINED_WINDOWS)
        self._sequence += 1
        oldest_s = min((sent_s for _, sent_s in self._sent.values()), default=fleet_time_s)
        self._open_window = max(self._open_window, self._window(min(oldest_s, fleet_time_s)))
        windows = tuple(
            usage_messages.WindowCounts(window, dict(counts))
            for window, counts in self._counts_by_window.items()
            if self._changed_by_window[window] > self._confirmed
        )
        return usage_messages.UsageTold(
            self._boot, self._sequence, self._open_window, windows, self._ledger
        )

    def confirm(self, leader_id: str, receipt: usage_messages.UsageReceipt) -> None:
        """Take a leader's receipt; one that has started again since is told everything."""
        if leader_id != self._leader_id or receipt.boot != self._boot:
            return
        if self._ledger not in (0, receipt.ledger):
            self._tell_all()
            return
        self._ledger = receipt.ledger
        self._confirmed = max(self._confirmed, receipt.sequence)

    def _tell_all(self) -> None:
        self._ledger = 0
        self._confirmed = 0

    def _window(self, fleet_time_s: float) -> int:
        return int(fleet_time_s // self._window_s)

    def _forget_before(self, oldest: int) -> None:
        for window in [window for window in self._counts_by_window if window < oldest]:
            del self._counts_by_window[window]
            del self._changed_by_window[window]

"""Backpressure state of one replica: merges the signals of entry hosts and distributes them.

Every entry host reports the rate limits and backoffs that it read in responses to every replica, so
any replica that owns placement can apply them. The leader forwards them to all entry hosts, which
place requests themselves while they reach no owner. Pure: no I/O, no clock.
"""

from __future__ import annotations

import math
from typing import Any

from medlarfork import node
from medlarfork.backpressure import send_gate, signal_ledger, signal_messages
from medlarfork.coordination import coordinator_types

PUSH_PERIOD_S = 0.25
"""Minimum interval between two reports to entry hosts, in seconds: about as long as a host waits
for an owner before it places alone, and hundreds of hosts receive each report."""

MAX_UPSTREAMS_PER_REPORT = 500
"""Maximum upstreams in one report, about 20 KB; the rest follows in the next report."""


class BackpressureManager:
    """Signal ledger and send gate of one replica."""

    def __init__(self) -> None:
        """Start without any signal."""
        self.ledger = signal_ledger.SignalLedger()
        self.gate = send_gate.SendGate(self.ledger)
        self._pending: dict[str, None] = {}
        self._push_due = -math.inf

    def take(self, report: signal_messages.SignalReport, now: float) -> tuple[Any, ...]:
        """Merge an entry host's report and return the events to log."""
        merged = self.ledger.merge(report, now)
        self._pending.update(dict.fromkeys((*merged.changed, *merged.paused, *merged.outdated)))
        return tuple(
            coordinator_types.LogEvent(
                "upstream_limit", {"upstream": name, "rate_limit": self.ledger.rate(name)}
            )
            for name in merged.changed
        )

    def push(
        self, entry_ids: frozenset[str], *, leads: bool, now: float
    ) -> tuple[node.Send | node.Wake, ...]:
        """Return the report of pending changes to all entry hosts, if this replica leads."""
        if not self._pending:
            return ()
        if not leads:
            self._pending.clear()
            return ()
        if now < self._push_due:
            return (node.Wake(self._push_due),)
        self._push_due = now + PUSH_PERIOD_S
        names = tuple(self._pending)[:MAX_UPSTREAMS_PER_REPORT]
        for name in names:
            del self._pending[name]
        report = self.ledger.report(names, now)
        return tuple(node.Send(entry_id, report) for entry_id in entry_ids)

    def whole(self, entry_id: str, now: float) -> signal_messages.SignalReport:
        """Return the full report for an entry host that has just connected."""
        return self.ledger.report(
            self.ledger.known()[-MAX_UPSTREAMS_PER_REPORT:], now, entry_id=entry_id
        )

    def sync_replica(self, replica_id: str, now: float) -> tuple[node.Send, ...]:
        """Return the full report to a replica that has just started, before it owns placement."""
        report = self.ledger.whole(now)
        return () if report.is_empty else (node.Send(replica_id, report),)

    def on_tick(self, now: float) -> None:
        """Schedule recent changes to be resent, and remove expired signals."""
        for name in self.ledger.changed_since(now - signal_messages.RESEND_WINDOW_S):
            self._pending[name] = None
        self.ledger.tidy(now)
        self.gate.evict_unlimited()

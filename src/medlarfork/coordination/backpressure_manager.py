"""Merge the backpressure signals that entry hosts report, and pass them on; pure.

Every entry host tells every replica what it read in answers, so whichever replica owns placement
goes by it. The replica that leads passes it on to all entry hosts, which place alone while they
reach no owner.
"""

from __future__ import annotations

import math
from typing import Any

from medlarfork import node
from medlarfork.backpressure import send_gate, signal_ledger, signal_messages
from medlarfork.coordination import coordinator_types

PUSH_PERIOD_S = 0.25
"""Least time between two reports to entry hosts, in seconds: hosts that place alone wait for an
owner for about as long, and hundreds of hosts are told."""

MAX_UPSTREAMS_PER_REPORT = 500
"""Upstreams in one report, about 20 KB; the rest follows."""


class BackpressureManager:
    """Hold the ledger of one replica, and the gate of its placement; the time is handed in."""

    def __init__(self) -> None:
        """Start without any signal."""
        self.ledger = signal_ledger.SignalLedger()
        self.gate = send_gate.SendGate(self.ledger)
        self._untold: dict[str, None] = {}
        self._push_due = -math.inf

    def take(self, report: signal_messages.SignalReport, now: float) -> tuple[Any, ...]:
        """Take what an entry host tells; return the log lines."""
        merged = self.ledger.merge(report, now)
        self._untold.update(dict.fromkeys((*merged.changed, *merged.outdated)))
        return tuple(
            coordinator_types.LogEvent(
                "upstream_limit", {"upstream": name, "rate_limit": self.ledger.rate(name)}
            )
            for name in merged.changed
        )

    def push(
        self, entry_ids: frozenset[str], *, leads: bool, now: float
    ) -> tuple[node.Send | node.Wake, ...]:
        """Tell all entry hosts what is new, if this replica leads."""
        if not self._untold:
            return ()
        if not leads:
            self._untold.clear()
            return ()
        if now < self._push_due:
            return (node.Wake(self._push_due),)
        self._push_due = now + PUSH_PERIOD_S
        names = tuple(self._untold)[:MAX_UPSTREAMS_PER_REPORT]
        for name in names:
            del self._untold[name]
        report = self.ledger.report(names, now)
        return tuple(node.Send(entry_id, report) for entry_id in entry_ids)

    def whole(self, entry_id: str, now: float) -> signal_messages.SignalReport:
        """Return all that concerns an entry host, for one that has just come."""
        return self.ledger.report(
            self.ledger.known()[-MAX_UPSTREAMS_PER_REPORT:], now, entry_id=entry_id
        )

    def tell_replica(self, replica_id: str, now: float) -> tuple[node.Send, ...]:
        """Tell a replica that has just started everything, before it owns placement."""
        report = self.ledger.whole(now)
        return () if report.is_empty else (node.Send(replica_id, report),)

    def on_time(self, now: float) -> None:
        """Have what is new told once more, and forget what is old."""
        for name in self.ledger.changed_since(now - signal_messages.RESEND_WINDOW_S):
            self._untold[name] = None
        self.ledger.tidy(now)
        self.gate.evict_unlimited()

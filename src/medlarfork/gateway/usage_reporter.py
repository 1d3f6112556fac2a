"""Counts started requests for each client account, and reports them to the leader."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import curio

from medlarfork.duties import fleet_clock, usage_counter, usage_messages
from medlarfork.gateway import entry_session

Send = Callable[[str, Any], Any]
"""Sends a message to a replica."""


class UsageReporter:
    """The usage counts of one start of an entry host."""

    def __init__(self, window_s: float, send: Send) -> None:
        """Start without counts.

        Args:
            window_s: Length of a window, in seconds.
            send: Sends a message to a replica.
        """
        self._counter = usage_counter.UsageCounter(
            boot=random.SystemRandom().getrandbits(48) + 1, window_s=window_s
        )
        self._clock = fleet_clock.FleetClock()
        self._send = send

    def record_started(self, account: str) -> None:
        """Count a request that starts to run now."""
        if account:
            self._counter.record_started(account, self._true_s())

    def record_sent(self, account: str) -> int:
        """Count a sent call; return its id for ``record_outcome``, 0 where it is not counted."""
        return self._counter.record_sent(account, self._true_s()) if account else 0

    def record_outcome(self, send: int, *, has_started: bool) -> None:
        """Record whether a sent call started to run."""
        if send:
            self._counter.record_outcome(send, has_started=has_started)

    def observe_clock(self, replica_id: str, wall_s: float) -> None:
        """Record a replica's wall-clock time, in Unix seconds; 0 if it sent none."""
        if wall_s:
            self._clock.add_sample(replica_id, wall_s, _steady_s())

    def apply_receipt(self, leader_id: str, receipt: usage_messages.UsageReceipt) -> None:
        """Apply a leader's receipt."""
        self._counter.confirm(leader_id, receipt)

    def report(self, leader_id: str) -> None:
        """Report the counts that the leader has not confirmed."""
        if leader_id:
            self._send(leader_id, self._counter.pending_report(leader_id, self._true_s()))

    async def report_periodically(self, session: entry_session.EntrySession) -> None:
        """Report to the session's current leader periodically."""
        while True:
            self.report(session.leader_id)
            await curio.sleep(usage_counter.report_period_s(session.entry_hosts))

    def _true_s(self) -> float:
        return self._clock.fleet_time_s(_steady_s(), time.time())


def _steady_s() -> float:
    """Return the time of a clock that keeps running while the machine is suspended, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)

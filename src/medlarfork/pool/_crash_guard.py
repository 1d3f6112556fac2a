"""Block requests that repeatedly crash the upstreams they run on.

The pool's owner sees every ticket and how each run ended, so its own ledger is sufficient. A broken
connection counts as a crash of the upstream immediately, so that the request is not retried
elsewhere while the cause is unknown. A later announcement by the same incarnation of the upstream
withdraws the crash. A new owner starts with an empty ledger.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from medlarfork import ticket
from medlarfork.quarantine import crash_ledger

PROOF_DELAY_S = 0.2
"""How long after a broken connection an announcement must be received to prove that the upstream is
still alive, in seconds: one sent just before a crash may arrive just after it."""

TRIAL_RETRY_S = 1.0
"""Retry time while another trial of the same request is queued or running, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class _BrokenRun:
    key: str
    crash_id: str
    at: float


class CrashGuard:
    """Count upstream crashes of one pool per request, and block crash-inducing requests."""

    def __init__(self) -> None:
        """Start with an empty ledger."""
        self._ledger = crash_ledger.CrashLedger()
        self._broken_runs_by_upstream: dict[str, list[_BrokenRun]] = {}
        self._trial_ticket_by_key: dict[str, str] = {}

    def blocked_for_s(
        self, item: ticket.Ticket, is_active: Callable[[str], bool], now: float
    ) -> float | None:
        """Return after how many seconds a blocked request may be retried; None if it may run now.

        Args:
            item: The ticket that arrived.
            is_active: Returns whether a ticket is queued or running.
            now: Monotonic time in seconds.
        """
        key = item.repeat_key
        standing = self._ledger.standing(key, now)
        match standing.verdict:
            case crash_ledger.Verdict.HELD:
                return min(standing.trial_in_s, crash_ledger.CASE_RETENTION_S)
            case crash_ledger.Verdict.TRIAL:
                if is_active(self._trial_ticket_by_key.get(key, "")):
                    return TRIAL_RETRY_S
                self._trial_ticket_by_key[key] = item.ticket_id
        return None

    def record_run_end(
        self,
        item: ticket.Ticket,
        upstream_id: str,
        incarnation: int,
        cause: ticket.ReleaseCause,
        now: float,
    ) -> None:
        """Record a run's end: a finished one clears its request, a broken one counts as a crash."""
        key = item.repeat_key
        if not key:
            return
        if self._trial_ticket_by_key.get(key) == item.ticket_id:
            del self._trial_ticket_by_key[key]
        match cause:
            case ticket.ReleaseCause.FINISHED:
                self._ledger.record_completion(key, now, now)
            case ticket.ReleaseCause.BROKEN:
                crash_id = f"{upstream_id}@{incarnation}"
                if self._ledger.record_crash(key, crash_id, now, now):
                    broken_runs = self._broken_runs_by_upstream.setdefault(upstream_id, [])
                    broken_runs.append(_BrokenRun(key, crash_id, now))

    def handle_announcement(self, upstream_id: str, incarnation: int, heard_at: float) -> None:
        """Withdraw the crashes of an upstream that is still alive.

        An announcement of another incarnation confirms them: the upstream was restarted.
        """
        broken_runs = self._broken_runs_by_upstream.pop(upstream_id, [])
        undecided: list[_BrokenRun] = []
        for item in broken_runs:
            if item.crash_id != f"{upstream_id}@{incarnation}":
                continue
            if heard_at <= item.at + PROOF_DELAY_S:
                undecided.append(item)
            else:
                self._ledger.withdraw_crash(item.key, item.crash_id)
        if undecided:
            self._broken_runs_by_upstream[upstream_id] = undecided

    def handle_upstream_gone(self, upstream_id: str) -> None:
        """Confirm the crashes of an upstream whose lease ended."""
        self._broken_runs_by_upstream.pop(upstream_id, None)

    def prune(self, now: float) -> None:
        """Drop expired cases, and trials whose case is gone."""
        self._ledger.tidy(now)
        known = set(self._ledger.known())
        self._trial_ticket_by_key = {
            key: ticket_id for key, ticket_id in self._trial_ticket_by_key.items() if key in known
        }

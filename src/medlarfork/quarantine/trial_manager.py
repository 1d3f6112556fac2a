"""Grant trials of requests that ended upstreams: one at a time, whichever hosts ask. Pure.

A replica decides for the requests whose placement it owns. Entry hosts agree on it by a hash, so
two grant at once only while hosts differ on who owns placement, and what a trial showed is counted
by the ledgers of all.
"""

from __future__ import annotations

import dataclasses

from medlarfork.placement import placement_messages
from medlarfork.quarantine import crash_ledger

SETTLE_S = 1.0
"""Time after a trial without a whole answer before the next, in seconds: its entry host looks
meanwhile whether the upstream ended, and tells."""

REPORT_GRACE_S = 1.0
"""Time after the caller's deadline at which a trial counts as ended, in seconds: its entry host is
lost, or its report."""

RETRY_MS = 1000.0
"""When to come back while another trial runs, in milliseconds: most runs end within."""


@dataclasses.dataclass(slots=True)
class _Trial:
    ticket_id: str
    until: float


class TrialManager:
    """Decide on questions of placement that ask for a trial; the time is handed in."""

    def __init__(self, ledger: crash_ledger.CrashLedger) -> None:
        """Decide by what a ledger holds."""
        self._ledger = ledger
        self._trial_by_key: dict[str, _Trial] = {}
        self._key_by_ticket: dict[str, str] = {}

    def request_trial(
        self, request: placement_messages.PlaceRequest, now: float
    ) -> placement_messages.PlaceRefused | None:
        """Grant the trial that a question asks for, or return why it may not run now."""
        key = request.trial_key
        standing = self._ledger.standing(key, now)
        running = self._trial_by_key.get(key)
        if running is not None and running.until > now:
            if running.ticket_id == request.ticket_id:
                return None
            why = "another one like it runs on trial, since upstreams ended under it"
            cause = placement_messages.RefusalCause.TRIAL
            return placement_messages.PlaceRefused(request.ticket_id, RETRY_MS, why, cause)
        if standing.verdict is crash_ledger.Verdict.HELD:
            return crash_ledger.refusal(request.ticket_id, standing)
        if running is not None:
            self._key_by_ticket.pop(running.ticket_id, None)
        until = now + request.left_ms / 1000.0 + REPORT_GRACE_S
        self._trial_by_key[key] = _Trial(request.ticket_id, until)
        self._key_by_ticket[request.ticket_id] = key
        return None

    def on_ended(self, ticket_id: str, end: placement_messages.RunEnd, now: float) -> None:
        """Take the end of a trial; other tickets are none of this desk's."""
        trial = self._trial_by_key.get(self._key_by_ticket.get(ticket_id, ""))
        if end in (placement_messages.RunEnd.COMPLETE, placement_messages.RunEnd.NOT_SENT):
            self.release(ticket_id)
        elif trial is not None and trial.ticket_id == ticket_id:
            trial.until = now + SETTLE_S

    def release(self, ticket_id: str) -> None:
        """Let the next one run: this trial ended with an answer, or never ran."""
        key = self._key_by_ticket.pop(ticket_id, "")
        trial = self._trial_by_key.get(key)
        if trial is not None and trial.ticket_id == ticket_id:
            del self._trial_by_key[key]

    def tidy(self, now: float) -> None:
        """Forget the trials that have ended."""
        for key, trial in tuple(self._trial_by_key.items()):
            if trial.until <= now:
                del self._trial_by_key[key]
                self._key_by_ticket.pop(trial.ticket_id, None)

"""Grant trials of crash-inducing requests, one at a time across entry hosts. Pure.

A replica decides for the requests whose placement it owns. Entry hosts agree on the owner by a
hash, so two replicas grant trials of one request at once only while hosts disagree on the owner.
Every ledger records the result of a trial.
"""

from __future__ import annotations

import dataclasses

from medlarfork.placement import placement_messages
from medlarfork.quarantine import crash_ledger

SETTLE_S = 1.0
"""Delay after a trial without a complete answer before the next one, in seconds: meanwhile its
entry host checks whether the upstream crashed, and reports it."""

REPORT_GRACE_S = 1.0
"""Time after the caller's deadline at which a trial counts as ended, in seconds: its entry host
or its report was lost."""

RETRY_MS = 1000.0
"""Retry delay while another trial runs, in milliseconds: most requests end within it."""


@dataclasses.dataclass(slots=True)
class _Trial:
    ticket_id: str
    until: float


class TrialManager:
    """Grant or refuse placement requests that need a trial; callers pass the time."""

    def __init__(self, ledger: crash_ledger.CrashLedger) -> None:
        """Decide by the cases of a ledger."""
        self._ledger = ledger
        self._trial_by_key: dict[str, _Trial] = {}
        self._key_by_ticket: dict[str, str] = {}

    def request_trial(
        self, request: placement_messages.PlaceRequest, now: float
    ) -> placement_messages.PlaceRefused | None:
        """Grant the trial that a placement request needs, or return the refusal."""
        key = request.trial_key
        standing = self._ledger.standing(key, now)
        running = self._trial_by_key.get(key)
        if running is not None and running.until > now:
            if running.ticket_id == request.ticket_id:
                return None
            why = "another copy of it is on trial because upstreams crashed while they ran it"
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
        """Handle the end of a run; tickets without a trial are ignored."""
        trial = self._trial_by_key.get(self._key_by_ticket.get(ticket_id, ""))
        if end in (placement_messages.RunEnd.COMPLETE, placement_messages.RunEnd.NOT_SENT):
            self.release(ticket_id)
        elif trial is not None and trial.ticket_id == ticket_id:
            trial.until = now + SETTLE_S

    def release(self, ticket_id: str) -> None:
        """Allow the next trial: this one ended with a complete answer, or never ran."""
        key = self._key_by_ticket.pop(ticket_id, "")
        trial = self._trial_by_key.get(key)
        if trial is not None and trial.ticket_id == ticket_id:
            del self._trial_by_key[key]

    def tidy(self, now: float) -> None:
        """Evict trials that have ended."""
        for key, trial in tuple(self._trial_by_key.items()):
            if trial.until <= now:
                del self._trial_by_key[key]
                self._key_by_ticket.pop(trial.ticket_id, None)

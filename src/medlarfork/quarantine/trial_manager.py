"""Grant trials of requests with suspect subjects, one at a time across entry hosts. Pure.

A replica decides for the requests whose placement it owns. Entry hosts agree on the owner by a
hash of the worst subject, so two replicas grant trials of it at once only while hosts disagree on
the owner. Every ledger records the result of a trial.
"""

from __future__ import annotations

import dataclasses

from medlarfork.placement import placement_messages
from medlarfork.quarantine import crash_ledger, crash_subject

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
        self._keys_by_ticket: dict[str, tuple[str, ...]] = {}

    def request_trial(
        self, request: placement_messages.PlaceRequest, now: float
    ) -> placement_messages.PlaceRefused | None:
        """Grant the trial that a placement request needs, or return the refusal."""
        keys = crash_subject.of_placement(request)
        suspects = self._ledger.suspects(keys, now)
        tried = tuple(dict.fromkeys((request.trial_key, *(item.key for item in suspects))))
        running = [trial for key in tried if (trial := self._running(key, now)) is not None]
        if any(trial.ticket_id != request.ticket_id for trial in running):
            why = "another request with the same suspect is on trial because upstreams crashed"
            cause = placement_messages.RefusalCause.TRIAL
            return placement_messages.PlaceRefused(request.ticket_id, RETRY_MS, why, cause)
        if running:
            return None
        if suspects and suspects[0].verdict is crash_ledger.Verdict.HELD:
            shown = crash_subject.describe(suspects[0].key, request.service, request.parts)
            return crash_ledger.refusal(request.ticket_id, suspects[0], shown)
        trial = _Trial(request.ticket_id, now + request.left_ms / 1000.0 + REPORT_GRACE_S)
        self._trial_by_key.update(dict.fromkeys(tried, trial))
        self._keys_by_ticket[request.ticket_id] = tried
        return None

    def on_ended(self, ticket_id: str, end: placement_messages.RunEnd, now: float) -> None:
        """Handle the end of a run; tickets without a trial are ignored."""
        if end in (placement_messages.RunEnd.COMPLETE, placement_messages.RunEnd.NOT_SENT):
            self.release(ticket_id)
            return
        for key in self._keys_by_ticket.get(ticket_id, ()):
            trial = self._trial_by_key.get(key)
            if trial is not None and trial.ticket_id == ticket_id:
                trial.until = now + SETTLE_S

    def release(self, ticket_id: str) -> None:
        """Allow the next trial: this one ended with a complete answer, or never ran."""
        for key in self._keys_by_ticket.pop(ticket_id, ()):
            trial = self._trial_by_key.get(key)
            if trial is not None and trial.ticket_id == ticket_id:
                del self._trial_by_key[key]

    def tidy(self, now: float) -> None:
        """Evict trials that have ended."""
        for trial in tuple(self._trial_by_key.values()):
            if trial.until <= now:
                self.release(trial.ticket_id)

    def _running(self, key: str, now: float) -> _Trial | None:
        """Return the trial of a subject that has not ended."""
        trial = self._trial_by_key.get(key)
        if trial is None or trial.until > now:
            return trial
        self.release(trial.ticket_id)
        return None

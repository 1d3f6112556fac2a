"""Keep requests that end the upstreams that run them from further ones.

The pool's owner sees every ticket and how each run ended, so its own ledger suffices. A run that
broke counts as an end at once, so that what is undecided does not go on, until its upstream shows
by an announcement after that that it lives. A new owner starts with an empty ledger.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from medlarfork import ticket
from medlarfork.quarantine import crash_ledger

AFTERWARDS_S = 0.2
"""How long after a break an announcement must have been heard to prove that its upstream lives, in
seconds: one that was sent just before may arrive just after."""

BUSY_RETRY_S = 1.0
"""When to come back while another trial of the same request runs, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Break:
    key: str
    end_id: str
    at: float


class CrashGuard:
    """Count the ends of one pool's upstreams by request, and refuse what ended several."""

    def __init__(self) -> None:
        """Start with an empty ledger."""
        self._ledger = crash_ledger.CrashLedger()
        self._breaks_by_upstream: dict[str, list[_Break]] = {}
        self._trial_by_key: dict[str, str] = {}

    def refusal_s(
        self, item: ticket.Ticket, is_open: Callable[[str], bool], now: float
    ) -> float | None:
        """Return when a request that may not run is to come back, in seconds; None if it may.

        Args:
            item: The ticket that has come.
            is_open: Says whether a ticket waits or runs.
            now: The time in seconds.
        """
        key = item.repeat_key
        standing = self._ledger.standing(key, now)
        match standing.verdict:
            case crash_ledger.Verdict.HELD:
                return min(standing.trial_in_s, crash_ledger.CASE_RETENTION_S)
            case crash_ledger.Verdict.TRIAL:
                if is_open(self._trial_by_key.get(key, "")):
                    return BUSY_RETRY_S
                self._trial_by_key[key] = item.ticket_id
        return None

    def on_ended(
        self,
        item: ticket.Ticket,
        upstream_id: str,
        incarnation: int,
        cause: ticket.ReleaseCause,
        now: float,
    ) -> None:
        """Take the end of a run."""
        key = item.repeat_key
        if not key:
            return
        if self._trial_by_key.get(key) == item.ticket_id:
            del self._trial_by_key[key]
        match cause:
            case ticket.ReleaseCause.FINISHED:
                self._ledger.record_completion(key, now, now)
            case ticket.ReleaseCause.BROKEN:
                end_id = f"{upstream_id}@{incarnation}"
                if self._ledger.record_crash(key, end_id, now, now):
                    breaks = self._breaks_by_upstream.setdefault(upstream_id, [])
                    breaks.append(_Break(key, end_id, now))

    def on_announced(self, upstream_id: str, incarnation: int, heard_at: float) -> None:
        """Take back the ends of an upstream that lives on; a later start confirms them."""
        breaks = self._breaks_by_upstream.pop(upstream_id, [])
        undecided: list[_Break] = []
        for item in breaks:
            if item.end_id != f"{upstream_id}@{incarnation}":
                continue
            if heard_at <= item.at + AFTERWARDS_S:
                undecided.append(item)
            else:
                self._ledger.withdraw_crash(item.key, item.end_id)
        if undecided:
            self._breaks_by_upstream[upstream_id] = undecided

    def on_gone(self, upstream_id: str) -> None:
        """Let the ends of an upstream that is not heard any more stand."""
        self._breaks_by_upstream.pop(upstream_id, None)

    def tidy(self, now: float) -> None:
        """Forget the cases that tell nothing any more."""
        self._ledger.tidy(now)
        known = set(self._ledger.known())
        self._trial_by_key = {
            key: ticket_id for key, ticket_id in self._trial_by_key.items() if key in known
        }

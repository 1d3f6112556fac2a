"""Recently finished tickets, kept so that resent messages have no effect."""

from __future__ import annotations

import collections

from medlarfork import ticket

_RETENTION_S = 60.0
"""How long a finished ticket is kept, in seconds."""
_MAX_ENTRIES = 32_768
"""Finished tickets kept at most; the oldest are evicted first."""


class FinishedTickets:
    """Hold the outcome of tickets that are no longer queued or running."""

    def __init__(self) -> None:
        """Start empty."""
        self._outcome_by_id: collections.OrderedDict[str, tuple[float, ticket.Shed | None]]
        self._outcome_by_id = collections.OrderedDict()
        self._reclaimed: set[str] = set()

    def __contains__(self, ticket_id: str) -> bool:
        """Return whether a ticket is known to be finished."""
        return ticket_id in self._outcome_by_id

    def shed(self, ticket_id: str) -> ticket.Shed | None:
        """Return the ``Shed`` that a ticket was answered with, if it was refused."""
        return self._outcome_by_id.get(ticket_id, (0.0, None))[1]

    def reopen(self, ticket_id: str) -> bool:
        """Return whether a ticket may still be running.

        True if it is not finished, or if only its slot was reclaimed; then its entry is removed.
        """
        if ticket_id in self._reclaimed:
            self._evict(ticket_id)
        return ticket_id not in self._outcome_by_id

    def add_reclaimed(self, ticket_id: str, now: float) -> None:
        """Add a ticket whose slot was reclaimed because its holder did not release it in time."""
        self.add(ticket_id, None, now)
        self._reclaimed.add(ticket_id)

    def add(self, ticket_id: str, shed: ticket.Shed | None, now: float) -> None:
        """Add a finished ticket, with its refusal if it was refused, and evict old ones."""
        self._reclaimed.discard(ticket_id)
        self._outcome_by_id[ticket_id] = (now, shed)
        while self._outcome_by_id:
            oldest = next(iter(self._outcome_by_id))
            is_recent = now - self._outcome_by_id[oldest][0] < _RETENTION_S
            if is_recent and len(self._outcome_by_id) <= _MAX_ENTRIES:
                return
            self._evict(oldest)

    def _evict(self, ticket_id: str) -> None:
        del self._outcome_by_id[ticket_id]
        self._reclaimed.discard(ticket_id)

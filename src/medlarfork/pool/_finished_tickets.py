"""Remember finished tickets for a while, so that a repeated message changes nothing."""

from __future__ import annotations

import collections

from medlarfork import ticket

_KEEP_S = 60.0
"""How long a finished ticket is remembered, in seconds."""
_MAX_KEPT = 32_768
"""Finished tickets remembered at most; the oldest go first."""


class FinishedTickets:
    """Hold the final word on tickets that are neither queued nor running any more."""

    def __init__(self) -> None:
        """Create an empty memory."""
        self._final_by_id: collections.OrderedDict[str, tuple[float, ticket.Shed | None]]
        self._final_by_id = collections.OrderedDict()
        self._unreleased: set[str] = set()

    def __contains__(self, ticket_id: str) -> bool:
        """Return whether a ticket is known to be finished."""
        return ticket_id in self._final_by_id

    def shed(self, ticket_id: str) -> ticket.Shed | None:
        """Return the refusal of a ticket, if it was refused."""
        return self._final_by_id.get(ticket_id, (0.0, None))[1]

    def adopt(self, ticket_id: str) -> bool:
        """Return whether a ticket may still run: it is not finished, or only its slot was taken.

        In the second case its end is forgotten.
        """
        if ticket_id in self._unreleased:
            self._forget(ticket_id)
        return ticket_id not in self._final_by_id

    def take_back(self, ticket_id: str, now: float) -> None:
        """Remember that a slot was taken back from a holder that never released it."""
        self.add(ticket_id, None, now)
        self._unreleased.add(ticket_id)

    def add(self, ticket_id: str, shed: ticket.Shed | None, now: float) -> None:
        """Remember a ticket's end."""
        self._unreleased.discard(ticket_id)
        self._final_by_id[ticket_id] = (now, shed)
        while self._final_by_id:
            oldest = next(iter(self._final_by_id))
            young = now - self._final_by_id[oldest][0] < _KEEP_S
            if young and len(self._final_by_id) <= _MAX_KEPT:
                return
            self._forget(oldest)

    def _forget(self, ticket_id: str) -> None:
        del self._final_by_id[ticket_id]
        self._unreleased.discard(ticket_id)

"""Keep the requests that wait for an upstream, in the order in which they are to start."""

from __future__ import annotations

import bisect
import dataclasses

from medlarfork.placement import placement_messages, start_rules

Order = tuple[int, float, float, str]
"""What waiting requests are sorted by."""


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """Hold a request that waits.

    Attributes:
        entry_id: The entry host that asks for it.
        request: What is to run.
        since: When it came, in seconds.
        read_ms: Its reading on the engine that held most of its prompt when it came, in
            milliseconds.
    """

    entry_id: str
    request: placement_messages.PlaceRequest
    since: float
    read_ms: float = 0.0

    @property
    def until(self) -> float:
        """Return when its caller gives up."""
        return self.since + self.request.left_ms / 1000.0

    def is_late(self, now: float) -> bool:
        """Return whether a request with a prompt has waited too long to be of use."""
        target_ms = self.request.target_ms * start_rules.HOPELESS_TARGETS
        return bool(self.request.parts) and 0 < target_ms <= (now - self.since) * 1000.0

    @property
    def kind(self) -> tuple[int, float]:
        """Return what requests with about the same prospects have in common."""
        return self.request.tier, self.request.target_ms

    @property
    def order(self) -> Order:
        """Return what it is ordered by: its tier, then how soon it is expected, then its age.

        By the moment it is expected at, overdue long prompts would go before every short one.
        """
        request = self.request
        return request.tier, request.target_ms, self.since, request.ticket_id


class WaitingLine:
    """Keep waiting requests sorted; pure."""

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._by_ticket: dict[str, Waiting] = {}
        self._sorted: list[Order] = []

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._by_ticket)

    def __contains__(self, ticket_id: str) -> bool:
        """Return whether a request waits."""
        return ticket_id in self._by_ticket

    def in_order(self) -> tuple[Waiting, ...]:
        """Return all that wait now, the first to start first."""
        return tuple(self._by_ticket[order[-1]] for order in self._sorted)

    def add(self, waiting: Waiting) -> None:
        """Let a request wait that does not wait yet."""
        self._by_ticket[waiting.request.ticket_id] = waiting
        bisect.insort(self._sorted, waiting.order)

    def remove(self, ticket_id: str) -> None:
        """Let a request wait no more; nothing happens if it does not wait."""
        waiting = self._by_ticket.pop(ticket_id, None)
        if waiting is not None:
            del self._sorted[bisect.bisect_left(self._sorted, waiting.order)]

    def remove_entry(self, entry_id: str) -> None:
        """Drop the requests of an entry host."""
        for ticket_id, waiting in tuple(self._by_ticket.items()):
            if waiting.entry_id == entry_id:
                self.remove(ticket_id)

    def reading_before_ms(self, waiting: Waiting) -> float:
        """Return the reading of all that start before a request, in milliseconds."""
        before = self._sorted[: bisect.bisect_left(self._sorted, waiting.order)]
        return sum(self._by_ticket[order[-1]].read_ms for order in before)

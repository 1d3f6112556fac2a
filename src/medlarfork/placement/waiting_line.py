"""Keep the requests that wait for an upstream, in the order in which they are to start."""

from __future__ import annotations

import bisect
import dataclasses

from medlarfork.placement import placement_messages

ANSWER_MS = 100.0
"""Time before its caller leaves at which a request that waits is refused, in milliseconds: the way
of the answer, over two links."""

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
        run_ms: How long its answer takes after its first event, in milliseconds.
    """

    entry_id: str
    request: placement_messages.PlaceRequest
    since: float
    read_ms: float = 0.0
    run_ms: float = 0.0

    @property
    def until(self) -> float:
        """Return when its caller gives up."""
        return self.since + self.request.left_ms / 1000.0

    @property
    def waits_until(self) -> float:
        """Return when it is to be answered if it has not begun: before its caller leaves.

        A caller that leaves is lost; one that is told when to come back does so.
        """
        answered_ms = max(0.0, self.request.waits_ms - ANSWER_MS)
        return self.since + answered_ms / 1000.0

    @property
    def begins_until(self) -> float:
        """Return when it has to begin at the latest to be of use to its caller.

        That is to end before its caller gives up, and to have an event before it leaves.
        """
        ends = self.until - (self.read_ms + self.run_ms) / 1000.0
        return min(ends, self.waits_until - self.read_ms / 1000.0)

    def is_late(self, now: float) -> bool:
        """Return whether a request with a prompt has waited beyond its target."""
        target_ms = self.request.target_ms
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

    @property
    def reading_ms(self) -> float:
        """Return the reading of all that wait, in milliseconds."""
        return sum(waiting.read_ms for waiting in self._by_ticket.values())

    def in_order(self, now: float) -> tuple[Waiting, ...]:
        """Return all that wait now, the first to start first.

        Of one kind, those that are late already go last: they lose little by waiting on, and the
        others would be late after them. Oldest first, an overload makes all of them late.
        """
        waiting = [self._by_ticket[order[-1]] for order in self._sorted]
        return tuple(sorted(waiting, key=lambda item: (item.kind, item.is_late(now))))

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

    def count_before(self, waiting: Waiting) -> int:
        """Return how many start before one that comes now, if none of them is late."""
        return bisect.bisect_left(self._sorted, waiting.order)

    def reading_before_ms(self, waiting: Waiting, now: float) -> float:
        """Return the reading of all that start before one that comes now, in milliseconds."""
        orders = self._sorted[: bisect.bisect_left(self._sorted, waiting.order)]
        before = (self._by_ticket[order[-1]] for order in orders)
        return sum(
            item.read_ms for item in before if item.kind != waiting.kind or not item.is_late(now)
        )

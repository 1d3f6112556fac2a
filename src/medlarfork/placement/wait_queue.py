"""Keep the requests that wait for an upstream, in the order in which they are to start."""

from __future__ import annotations

import bisect
import dataclasses

from medlarfork.placement import placement_messages

ANSWER_LATENCY_MS = 100.0
"""Time before its caller leaves at which a request that waits is refused, in milliseconds: the way
of the answer, over two links."""

SortKey = tuple[int, float, float, str]
"""What waiting requests are sorted by."""


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRequest:
    """Hold a request that waits.

    Attributes:
        entry_id: The entry host that asks for it.
        request: What is to run.
        queued_at: When it came, in seconds.
        prefill_ms: Its reading on the engine that held most of its prompt when it came, in
            milliseconds.
        decode_ms: How long its answer takes after its first event, in milliseconds.
    """

    entry_id: str
    request: placement_messages.PlaceRequest
    queued_at: float
    prefill_ms: float = 0.0
    decode_ms: float = 0.0

    @property
    def deadline(self) -> float:
        """Return when its caller gives up."""
        return self.queued_at + self.request.left_ms / 1000.0

    @property
    def answer_by(self) -> float:
        """Return when it is to be answered if it has not begun: before its caller leaves.

        A caller that leaves is lost; one that is told when to come back does so.
        """
        answered_ms = max(0.0, self.request.max_wait_ms - ANSWER_LATENCY_MS)
        return self.queued_at + answered_ms / 1000.0

    @property
    def latest_start(self) -> float:
        """Return when it has to begin at the latest to be of use to its caller.

        That is to end before its caller gives up, and to have an event before it leaves.
        """
        ends = self.deadline - (self.prefill_ms + self.decode_ms) / 1000.0
        return min(ends, self.answer_by - self.prefill_ms / 1000.0)

    def is_late(self, now: float) -> bool:
        """Return whether a request with a prompt has waited beyond its target."""
        target_ms = self.request.target_ms
        return bool(self.request.parts) and 0 < target_ms <= (now - self.queued_at) * 1000.0

    @property
    def kind(self) -> tuple[int, float]:
        """Return what requests with about the same prospects have in common."""
        return self.request.tier, self.request.target_ms

    @property
    def order(self) -> SortKey:
        """Return what it is ordered by: its tier, then how soon it is expected, then its age.

        By the moment it is expected at, overdue long prompts would go before every short one.
        """
        request = self.request
        return request.tier, request.target_ms, self.queued_at, request.ticket_id


class WaitQueue:
    """Keep waiting requests sorted; pure."""

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._by_ticket: dict[str, WaitingRequest] = {}
        self._sorted: list[SortKey] = []

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._by_ticket)

    def __contains__(self, ticket_id: str) -> bool:
        """Return whether a request waits."""
        return ticket_id in self._by_ticket

    @property
    def prefill_ms(self) -> float:
        """Return the reading of all that wait, in milliseconds."""
        return sum(waiting.prefill_ms for waiting in self._by_ticket.values())

    def in_order(self, now: float) -> tuple[WaitingRequest, ...]:
        """Return all that wait now, the first to start first.

        Of one kind, those that are late already go last: they lose little by waiting on, and the
        others would be late after them. Oldest first, an overload makes all of them late.
        """
        waiting = [self._by_ticket[order[-1]] for order in self._sorted]
        return tuple(sorted(waiting, key=lambda item: (item.kind, item.is_late(now))))

    def add(self, waiting: WaitingRequest) -> None:
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

    def count_before(self, waiting: WaitingRequest) -> int:
        """Return how many start before one that comes now, if none of them is late."""
        return bisect.bisect_left(self._sorted, waiting.order)

    def prefill_ms_before(self, waiting: WaitingRequest, now: float) -> float:
        """Return the reading of all that start before one that comes now, in milliseconds."""
        orders = self._sorted[: bisect.bisect_left(self._sorted, waiting.order)]
        before = (self._by_ticket[order[-1]] for order in orders)
        return sum(
            item.prefill_ms for item in before if item.kind != waiting.kind or not item.is_late(now)
        )

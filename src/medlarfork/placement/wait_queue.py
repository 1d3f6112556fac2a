"""Priority queue of the requests that wait for an upstream."""

from __future__ import annotations

import bisect
import dataclasses

from medlarfork.placement import placement_messages

ANSWER_LATENCY_MS = 100.0
"""How long before its caller leaves a queued request is refused, in milliseconds: the latency of
the answer over two links."""

SortKey = tuple[int, float, bool, float, str]
"""Sort key of queued requests; their ticket is the last element."""


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A queued request.

    Attributes:
        entry_id: The entry host that sent it.
        request: The placement request.
        queued_at: When it arrived, in seconds.
        prefill_ms: Its prefill on the engine that held its longest prefix on arrival, in
            milliseconds.
        decode_ms: How long its answer takes after the first event, in milliseconds.
        promised_at: The scheduled time of its retry, in seconds; None unless it is a retry that
            arrived at that time.
    """

    entry_id: str
    request: placement_messages.PlaceRequest
    queued_at: float
    prefill_ms: float = 0.0
    decode_ms: float = 0.0
    promised_at: float | None = None

    @property
    def is_returning(self) -> bool:
        """Return whether it goes before new requests of its kind."""
        return self.promised_at is not None

    @property
    def deadline(self) -> float:
        """Return when its caller gives up, in seconds."""
        return self.queued_at + self.request.left_ms / 1000.0

    @property
    def answer_by(self) -> float:
        """Return when it is answered at the latest if it has not started: before its caller leaves.

        A caller that leaves is lost; one that gets a retry delay comes back.
        """
        wait_ms = max(0.0, self.request.max_wait_ms - ANSWER_LATENCY_MS)
        return self.queued_at + wait_ms / 1000.0

    @property
    def latest_start(self) -> float:
        """Return the latest start, in seconds, that is still of use to its caller.

        From it, the request ends before its caller gives up, and has an event before the caller
        leaves.
        """
        latest_to_end = self.deadline - (self.prefill_ms + self.decode_ms) / 1000.0
        return min(latest_to_end, self.answer_by - self.prefill_ms / 1000.0)

    def is_late(self, now: float) -> bool:
        """Return whether a request with a prompt has waited beyond its target."""
        target_ms = self.request.target_ms
        return bool(self.request.parts) and 0 < target_ms <= (now - self.queued_at) * 1000.0

    @property
    def kind(self) -> tuple[int, float]:
        """Return the group of requests with about the same prospects."""
        return self.request.tier, self.request.target_ms

    @property
    def order(self) -> SortKey:
        """Return the sort key: tier, then target, then scheduled retries, then age.

        Sorted by due time instead, overdue long prompts would go before every short one.
        """
        request = self.request
        is_new = self.promised_at is None
        return request.tier, request.target_ms, is_new, self.queued_at, request.ticket_id


class WaitQueue:
    """Keep queued requests sorted. Pure: no I/O, no clock."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        self._by_ticket: dict[str, WaitingRequest] = {}
        self._sorted: list[SortKey] = []

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._by_ticket)

    def __contains__(self, ticket_id: str) -> bool:
        """Return whether a request is queued."""
        return ticket_id in self._by_ticket

    @property
    def prefill_ms(self) -> float:
        """Return the prefill of all queued requests, in milliseconds."""
        return sum(waiting.prefill_ms for waiting in self._by_ticket.values())

    def in_order(self, now: float) -> tuple[WaitingRequest, ...]:
        """Return all queued requests, the first to start first.

        Within a kind, requests that are already late go last: they lose little by waiting longer,
        and would make the others late. With the oldest first, an overload makes all of them late.
        """
        waiting = [self._by_ticket[order[-1]] for order in self._sorted]
        return tuple(sorted(waiting, key=lambda item: (item.kind, item.is_late(now))))

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request that is not queued yet."""
        self._by_ticket[waiting.request.ticket_id] = waiting
        bisect.insort(self._sorted, waiting.order)

    def remove(self, ticket_id: str) -> None:
        """Remove a request, if it is queued."""
        waiting = self._by_ticket.pop(ticket_id, None)
        if waiting is not None:
            del self._sorted[bisect.bisect_left(self._sorted, waiting.order)]

    def remove_entry(self, entry_id: str) -> None:
        """Remove the requests of an entry host."""
        for ticket_id, waiting in tuple(self._by_ticket.items()):
            if waiting.entry_id == entry_id:
                self.remove(ticket_id)

    def has_returning(self, kind: tuple[int, float]) -> bool:
        """Return whether a scheduled retry of a kind is queued; it is the first of its kind."""
        first = bisect.bisect_left(self._sorted, kind)
        return first < len(self._sorted) and self._sorted[first][:3] == (*kind, False)

    @property
    def first_returning(self) -> WaitingRequest | None:
        """Return the first request of the queue if it is a scheduled retry."""
        first = self._by_ticket[self._sorted[0][-1]] if self._sorted else None
        return first if first is not None and first.is_returning else None

    def count_before(self, waiting: WaitingRequest) -> int:
        """Return how many requests start before a new one, if none of them is late."""
        return bisect.bisect_left(self._sorted, waiting.order)

    def prefill_ms_before(self, waiting: WaitingRequest, now: float) -> float:
        """Return the prefill of all requests that start before a new one, in milliseconds."""
        orders = self._sorted[: bisect.bisect_left(self._sorted, waiting.order)]
        earlier = (self._by_ticket[order[-1]] for order in orders)
        return sum(
            item.prefill_ms
            for item in earlier
            if item.kind != waiting.kind or not item.is_late(now)
        )

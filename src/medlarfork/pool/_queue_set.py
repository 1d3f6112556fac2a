"""All queued tickets of a pool."""

from __future__ import annotations

from medlarfork.pool import _pool_ticket, _tier_queue


class QueueSet:
    """Index the queued tickets by tier, id and entry host."""

    def __init__(self, *, late_last: bool) -> None:
        """Start empty; ``late_last`` is passed to each ``TierQueue``."""
        self._late_last = late_last
        self._queue_by_tier: dict[int, _tier_queue.TierQueue] = {}
        self._queued_by_id: dict[str, _pool_ticket.QueuedTicket] = {}
        self._ids_by_entry: dict[str, set[str]] = {}
        self.count_by_tier: dict[int, int] = {}
        self.urgent_by_tier: dict[int, int] = {}

    def __len__(self) -> int:
        """Return the number of queued tickets."""
        return len(self._queued_by_id)

    def get(self, ticket_id: str) -> _pool_ticket.QueuedTicket | None:
        """Return a queued ticket by id."""
        return self._queued_by_id.get(ticket_id)

    def push(self, queued: _pool_ticket.QueuedTicket, *, at_head: bool) -> None:
        """Queue a ticket in its tier."""
        item = queued.ticket
        queue = self._queue_by_tier.get(item.tier)
        if queue is None:
            queue = _tier_queue.TierQueue(late_last=self._late_last)
            self._queue_by_tier[item.tier] = queue
        queued.live = True
        queue.push(queued, at_head=at_head)
        self._index(queued)

    def pop(self, tier: int, now: float, cost_of: _tier_queue.CostOf) -> _pool_ticket.QueuedTicket:
        """Remove and return the ticket of a tier that starts next; the tier must have one."""
        queued = self._queue_by_tier[tier].pop(now, cost_of)
        self._unindex(queued)
        return queued

    def requeue(self, queued: _pool_ticket.QueuedTicket) -> None:
        """Put a popped ticket back at the head of its tier, because it could not be started."""
        self.push(queued, at_head=True)
        self.set_urgent(queued, queued.was_urgent)

    def remove(self, queued: _pool_ticket.QueuedTicket) -> None:
        """Remove a ticket."""
        self._queue_by_tier[queued.ticket.tier].remove(queued)
        self._unindex(queued)

    def set_urgent(self, queued: _pool_ticket.QueuedTicket, urgent: bool) -> None:
        """Set whether a queued ticket needs a slot now to meet its target."""
        if queued.urgent != urgent:
            tier = queued.ticket.tier
            queued.urgent = urgent
            change = 1 if urgent else -1
            self.urgent_by_tier[tier] = self.urgent_by_tier.get(tier, 0) + change

    def top_tier(self) -> int | None:
        """Return the highest tier that has tickets queued."""
        return min(self.count_by_tier, default=None)

    def next_to_shed(self) -> _pool_ticket.QueuedTicket | None:
        """Return the ticket to shed first: the newest of the lowest tier."""
        if not self.count_by_tier:
            return None
        return self._queue_by_tier[max(self.count_by_tier)].newest()

    def resumed(self) -> tuple[_pool_ticket.QueuedTicket, ...]:
        """Return the tickets of streams that can be resumed at one version only."""
        queued = self._queued_by_id.values()
        return tuple(item for item in queued if item.ticket.version is not None)

    def count_up_to_tier(self, tier: int) -> int:
        """Return how many tickets of a tier and the tiers above it are queued."""
        return sum(count for other, count in self.count_by_tier.items() if other <= tier)

    def of_entry(self, entry_id: str) -> tuple[_pool_ticket.QueuedTicket, ...]:
        """Return an entry host's queued tickets."""
        ids = sorted(self._ids_by_entry.get(entry_id, ()))
        return tuple(self._queued_by_id[ticket_id] for ticket_id in ids)

    def _index(self, queued: _pool_ticket.QueuedTicket) -> None:
        item = queued.ticket
        self._queued_by_id[item.ticket_id] = queued
        self._ids_by_entry.setdefault(item.entry_id, set()).add(item.ticket_id)
        self.count_by_tier[item.tier] = self.count_by_tier.get(item.tier, 0) + 1

    def _unindex(self, queued: _pool_ticket.QueuedTicket) -> None:
        item = queued.ticket
        queued.was_urgent = queued.urgent
        self.set_urgent(queued, False)
        del self._queued_by_id[item.ticket_id]
        ids = self._ids_by_entry[item.entry_id]
        ids.discard(item.ticket_id)
        if not ids:
            del self._ids_by_entry[item.entry_id]
        self.count_by_tier[item.tier] -= 1
        if not self.count_by_tier[item.tier]:
            # The empty queue is kept for its accounts' virtual times; there are only a few tiers.
            del self.count_by_tier[item.tier]

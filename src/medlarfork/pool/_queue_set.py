"""Hold all queued tickets of a pool, by tier, by id and by entry host."""

from __future__ import annotations

from medlarfork.pool import _pool_ticket, _tier_queue


class QueueSet:
    """Index the queued tickets."""

    def __init__(self, *, late_last: bool) -> None:
        """Create an empty set."""
        self._late_last = late_last
        self._queue_by_tier: dict[int, _tier_queue.TierQueue] = {}
        self._entry_by_id: dict[str, _pool_ticket.QueuedTicket] = {}
        self._ids_by_entry: dict[str, set[str]] = {}
        self.count_by_tier: dict[int, int] = {}
        self.urgent_by_tier: dict[int, int] = {}

    def __len__(self) -> int:
        """Return the number of queued tickets."""
        return len(self._entry_by_id)

    def get(self, ticket_id: str) -> _pool_ticket.QueuedTicket | None:
        """Return a queued ticket by id."""
        return self._entry_by_id.get(ticket_id)

    def push(self, entry: _pool_ticket.QueuedTicket, *, at_head: bool) -> None:
        """Queue a ticket in its tier."""
        item = entry.ticket
        queue = self._queue_by_tier.get(item.tier)
        if queue is None:
            queue = _tier_queue.TierQueue(late_last=self._late_last)
            self._queue_by_tier[item.tier] = queue
        entry.live = True
        queue.push(entry, at_head=at_head)
        self._index(entry)

    def pop(self, tier: int, now: float, cost_of: _tier_queue.CostOf) -> _pool_ticket.QueuedTicket:
        """Take the ticket of a tier that starts next; the tier must have one."""
        entry = self._queue_by_tier[tier].pop(now, cost_of)
        self._unindex(entry)
        return entry

    def put_back(self, entry: _pool_ticket.QueuedTicket) -> None:
        """Queue a ticket again that was popped but could not be placed."""
        self.push(entry, at_head=True)
        self.set_urgent(entry, entry.was_urgent)

    def remove(self, entry: _pool_ticket.QueuedTicket) -> None:
        """Take a ticket out."""
        self._queue_by_tier[entry.ticket.tier].remove(entry)
        self._unindex(entry)

    def set_urgent(self, entry: _pool_ticket.QueuedTicket, urgent: bool) -> None:
        """Note that a queued ticket needs a slot now to meet its target, or can't any more."""
        if entry.urgent != urgent:
            tier = entry.ticket.tier
            entry.urgent = urgent
            change = 1 if urgent else -1
            self.urgent_by_tier[tier] = self.urgent_by_tier.get(tier, 0) + change

    def top_tier(self) -> int | None:
        """Return the highest tier that has tickets queued."""
        return min(self.count_by_tier, default=None)

    def newest_of_lowest(self) -> _pool_ticket.QueuedTicket | None:
        """Return the ticket to shed first."""
        if not self.count_by_tier:
            return None
        return self._queue_by_tier[max(self.count_by_tier)].newest()

    def up_to_tier(self, tier: int) -> int:
        """Return how many tickets of a tier and those above it are queued."""
        return sum(count for other, count in self.count_by_tier.items() if other <= tier)

    def of_entry(self, entry_id: str) -> tuple[_pool_ticket.QueuedTicket, ...]:
        """Return an entry host's queued tickets."""
        ids = sorted(self._ids_by_entry.get(entry_id, ()))
        return tuple(self._entry_by_id[ticket_id] for ticket_id in ids)

    def _index(self, entry: _pool_ticket.QueuedTicket) -> None:
        item = entry.ticket
        self._entry_by_id[item.ticket_id] = entry
        self._ids_by_entry.setdefault(item.entry_id, set()).add(item.ticket_id)
        self.count_by_tier[item.tier] = self.count_by_tier.get(item.tier, 0) + 1

    def _unindex(self, entry: _pool_ticket.QueuedTicket) -> None:
        item = entry.ticket
        entry.was_urgent = entry.urgent
        self.set_urgent(entry, False)
        del self._entry_by_id[item.ticket_id]
        ids = self._ids_by_entry[item.entry_id]
        ids.discard(item.ticket_id)
        if not ids:
            del self._ids_by_entry[item.entry_id]
        self.count_by_tier[item.tier] -= 1
        if not self.count_by_tier[item.tier]:
            # An empty tier keeps its queue, for the accounts' shares; tiers are few.
            del self.count_by_tier[item.tier]

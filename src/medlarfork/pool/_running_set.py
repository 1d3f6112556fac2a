"""All granted tickets of a pool that are not yet released."""

from __future__ import annotations

from medlarfork.pool import _pool_ticket


class RunningSet:
    """Index the running tickets by id, tier, entry host and upstream."""

    def __init__(self) -> None:
        """Start empty."""
        self._running_by_id: dict[str, _pool_ticket.RunningTicket] = {}
        self._ids_by_entry: dict[str, set[str]] = {}
        self._ids_by_upstream: dict[str, set[str]] = {}
        self.count_by_tier: dict[int, int] = {}

    def __len__(self) -> int:
        """Return the number of running tickets."""
        return len(self._running_by_id)

    def get(self, ticket_id: str) -> _pool_ticket.RunningTicket | None:
        """Return a running ticket by id."""
        return self._running_by_id.get(ticket_id)

    def add(self, running: _pool_ticket.RunningTicket) -> None:
        """Add a ticket."""
        item = running.ticket
        self._running_by_id[item.ticket_id] = running
        self._ids_by_entry.setdefault(item.entry_id, set()).add(item.ticket_id)
        self._ids_by_upstream.setdefault(running.upstream_id, set()).add(item.ticket_id)
        self.count_by_tier[item.tier] = self.count_by_tier.get(item.tier, 0) + 1

    def pop(self, ticket_id: str) -> _pool_ticket.RunningTicket | None:
        """Remove and return a ticket; None if it does not run."""
        running = self._running_by_id.pop(ticket_id, None)
        if running is None:
            return None
        running.live = False
        item = running.ticket
        _discard(self._ids_by_entry, item.entry_id, ticket_id)
        _discard(self._ids_by_upstream, running.upstream_id, ticket_id)
        self.count_by_tier[item.tier] -= 1
        if not self.count_by_tier[item.tier]:
            del self.count_by_tier[item.tier]
        return running

    def of_entry(self, entry_id: str) -> tuple[_pool_ticket.RunningTicket, ...]:
        """Return an entry host's running tickets."""
        ids = sorted(self._ids_by_entry.get(entry_id, ()))
        return tuple(self._running_by_id[ticket_id] for ticket_id in ids)

    def at_upstream(self, upstream_id: str) -> tuple[_pool_ticket.RunningTicket, ...]:
        """Return the tickets that run at an upstream, including its earlier incarnations."""
        ids = sorted(self._ids_by_upstream.get(upstream_id, ()))
        return tuple(self._running_by_id[ticket_id] for ticket_id in ids)


def _discard(ids_by_key: dict[str, set[str]], key: str, ticket_id: str) -> None:
    ids = ids_by_key[key]
    ids.discard(ticket_id)
    if not ids:
        del ids_by_key[key]

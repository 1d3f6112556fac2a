"""Run one pool on its owner and remember who waits in it."""

from __future__ import annotations

import collections
import math
from typing import Any, Protocol

from medlarfork import node, ticket
from medlarfork.pool import pool_events, pool_view

_RETRY_AFTER_S = 1.0

_REMEMBERED = 32_768
"""Tickets remembered after they were given up; the oldest go first."""


class Scheduler(Protocol):
    """Decide who gets the pool's slots; ``pool.Pool`` is one."""

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event and return the actions."""
        ...

    def summary(self, now: float) -> ticket.PoolSummary:
        """Return the pool's load."""
        ...

    def upstream_views(self) -> tuple[pool_view.UpstreamView, ...]:
        """Show every upstream."""
        ...


class OwnedPool:
    """Hand events to the scheduler, and turn the queue away when the pool is given up."""

    def __init__(self, name: str, scheduler: Scheduler) -> None:
        """Wrap the scheduler of the pool of that name."""
        self.name = name
        self.wake_at = math.inf
        self._scheduler = scheduler
        self._holder_by_queued: dict[str, str] = {}
        # The scheduler ignores tickets it has dropped; this says which of them to turn away.
        self._lost_by_ended: collections.OrderedDict[str, bool] = collections.OrderedDict()

    def __len__(self) -> int:
        """Return the number of queued tickets."""
        return len(self._holder_by_queued)

    def is_queued(self, ticket_id: str) -> bool:
        """Return whether the ticket waits here."""
        return ticket_id in self._holder_by_queued

    def summary(self, now: float) -> ticket.PoolSummary:
        """Return the pool's load."""
        return self._scheduler.summary(now)

    def upstream_views(self) -> tuple[pool_view.UpstreamView, ...]:
        """Show every upstream."""
        return self._scheduler.upstream_views()

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event and return what to tell the holders of tickets."""
        match event:
            case ticket.Ticket(ticket_id, entry_id) if ticket_id in self._lost_by_ended:
                lost = self._lost_by_ended[ticket_id]
                return (self._turned_away(ticket_id, entry_id),) if lost else ()
            case ticket.Ticket(ticket_id, entry_id):
                self._holder_by_queued[ticket_id] = entry_id
            case ticket.Withdraw(ticket_id) | ticket.Release(ticket_id):
                self._end(ticket_id, lost=False)
            case ticket.Running():
                self._holder_by_queued.pop(event.ticket.ticket_id, None)
            case pool_events.EntryGone(entry_id):
                self._forget(entry_id)
            case node.TimeDue():
                self.wake_at = math.inf
        return tuple(self._followed(self._scheduler.handle(event, now)))

    def close(self) -> tuple[ticket.Shed, ...]:
        """Turn every queued ticket away; its holder asks the next owner."""
        return tuple(
            self._turned_away(ticket_id, entry_id)
            for ticket_id, entry_id in self._holder_by_queued.items()
        )

    def _turned_away(self, ticket_id: str, entry_id: str) -> ticket.Shed:
        reason = ticket.ShedReason.NOT_OWNER
        return ticket.Shed(ticket_id, entry_id, self.name, reason, _RETRY_AFTER_S)

    def _followed(self, actions: tuple[Any, ...]) -> list[Any]:
        told: list[Any] = []
        for action in actions:
            match action:
                case node.Wake(at):
                    self.wake_at = min(self.wake_at, at)
                    continue
                case ticket.Grant(ticket_id) | ticket.Shed(ticket_id):
                    self._holder_by_queued.pop(ticket_id, None)
            told.append(action)
        return told

    def _forget(self, entry_id: str) -> None:
        gone = [item for item, holder in self._holder_by_queued.items() if holder == entry_id]
        for ticket_id in gone:
            self._end(ticket_id, lost=True)

    def _end(self, ticket_id: str, *, lost: bool) -> None:
        self._holder_by_queued.pop(ticket_id, None)
        self._lost_by_ended[ticket_id] = lost
        if len(self._lost_by_ended) > _REMEMBERED:
            self._lost_by_ended.popitem(last=False)

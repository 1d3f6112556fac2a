"""A pool on its owner, with the entry hosts that hold its queued tickets."""

from __future__ import annotations

import collections
import math
from typing import Any, Protocol

from medlarfork import node, ticket
from medlarfork.pool import pool_events, pool_view

_RETRY_AFTER_S = 1.0

_MAX_ENDED = 32_768
"""Ended tickets kept; the oldest are evicted first."""


class Scheduler(Protocol):
    """Interface of a scheduler that grants the pool's slots, such as ``pool.Pool``."""

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event and return the actions."""
        ...

    def summary(self, now: float) -> ticket.PoolSummary:
        """Return the pool's load."""
        ...

    def upstream_views(self) -> tuple[pool_view.UpstreamView, ...]:
        """Return a view of every upstream."""
        ...


class OwnedPool:
    """Forward events to the scheduler, and reject all queued tickets when ownership is given up."""

    def __init__(self, name: str, scheduler: Scheduler) -> None:
        """Wrap the scheduler of the pool ``name``."""
        self.name = name
        self.wake_at = math.inf
        self._scheduler = scheduler
        self._holder_by_queued: dict[str, str] = {}
        # The scheduler ignores tickets that have ended. Those that were dropped with their lost
        # entry host (True) are rejected instead if they are sent again.
        self._is_lost_by_ended: collections.OrderedDict[str, bool] = collections.OrderedDict()

    def __len__(self) -> int:
        """Return the number of queued tickets."""
        return len(self._holder_by_queued)

    def is_queued(self, ticket_id: str) -> bool:
        """Return whether the ticket is queued here."""
        return ticket_id in self._holder_by_queued

    def summary(self, now: float) -> ticket.PoolSummary:
        """Return the pool's load."""
        return self._scheduler.summary(now)

    def upstream_views(self) -> tuple[pool_view.UpstreamView, ...]:
        """Return a view of every upstream."""
        return self._scheduler.upstream_views()

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event and return the messages to the entry hosts that hold the tickets."""
        match event:
            case ticket.Ticket(ticket_id, entry_id) if ticket_id in self._is_lost_by_ended:
                lost = self._is_lost_by_ended[ticket_id]
                return (self._rejection(ticket_id, entry_id),) if lost else ()
            case ticket.Ticket(ticket_id, entry_id):
                self._holder_by_queued[ticket_id] = entry_id
            case ticket.Withdraw(ticket_id) | ticket.Release(ticket_id):
                self._end(ticket_id, lost=False)
            case ticket.Running():
                self._holder_by_queued.pop(event.ticket.ticket_id, None)
            case pool_events.EntryGone(entry_id):
                self._end_tickets_of(entry_id)
            case node.TimeDue():
                self.wake_at = math.inf
        return tuple(self._process_actions(self._scheduler.handle(event, now)))

    def close(self) -> tuple[ticket.Shed, ...]:
        """Reject every queued ticket, so that its holder asks the next owner."""
        return tuple(
            self._rejection(ticket_id, entry_id)
            for ticket_id, entry_id in self._holder_by_queued.items()
        )

    def _rejection(self, ticket_id: str, entry_id: str) -> ticket.Shed:
        reason = ticket.ShedReason.NOT_OWNER
        return ticket.Shed(ticket_id, entry_id, self.name, reason, _RETRY_AFTER_S)

    def _process_actions(self, actions: tuple[Any, ...]) -> list[Any]:
        outgoing: list[Any] = []
        for action in actions:
            match action:
                case node.Wake(at):
                    self.wake_at = min(self.wake_at, at)
                    continue
                case ticket.Grant(ticket_id) | ticket.Shed(ticket_id):
                    self._holder_by_queued.pop(ticket_id, None)
            outgoing.append(action)
        return outgoing

    def _end_tickets_of(self, entry_id: str) -> None:
        ticket_ids = [item for item, holder in self._holder_by_queued.items() if holder == entry_id]
        for ticket_id in ticket_ids:
            self._end(ticket_id, lost=True)

    def _end(self, ticket_id: str, *, lost: bool) -> None:
        self._holder_by_queued.pop(ticket_id, None)
        self._is_lost_by_ended[ticket_id] = lost
        if len(self._is_lost_by_ended) > _MAX_ENDED:
            self._is_lost_by_ended.popitem(last=False)

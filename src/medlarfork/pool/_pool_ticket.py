"""Records of a queued and of a running ticket."""

from __future__ import annotations

import math

from medlarfork import ticket

_DIGITS = "0123456789"


class QueuedTicket:
    """Hold a ticket that waits for a slot; all times are monotonic seconds of the pool's owner.

    Attributes:
        expires_at: Deadline.
        hopeless_at: When its deadline can no longer be met.
        target_at: When its target is missed; infinite if it has none.
        latest_start: Latest start that can still meet its target.
        urgent_at: Start from which its target is at risk.
        order_key: Sort key among its account's tickets; the lowest starts first.
        urgent: Whether it needs a slot now to meet its target.
        was_urgent: Whether it was urgent when it was removed from the queue.
        live: Whether it is queued; heaps drop entries of other tickets later.
    """

    __slots__ = ("arrived", "expires_at", "hopeless_at", "latest_start", "live", "order_key",
                 "target_at", "ticket", "urgent", "was_urgent", "urgent_at")  # fmt: skip

    def __init__(self, item: ticket.Ticket, now: float) -> None:
        """Convert the ticket's durations to points in time."""
        self.ticket = item
        self.arrived = now - item.waited_s
        self.expires_at = now + item.time_left_s
        self.target_at = math.inf if item.target_left_s is None else now + item.target_left_s
        self.hopeless_at = self.expires_at
        self.latest_start = self.target_at
        self.urgent_at = self.target_at
        self.order_key = self.arrived
        self.urgent = False
        self.was_urgent = False
        self.live = True


class RunningTicket:
    """Hold a granted ticket until it is released; all times are in monotonic seconds.

    Attributes:
        upstream_generation: Which registration of its upstream it runs on; -1 if none is known.
        expires_at: When its slot is reclaimed unless it is released before.
        by_floor: Whether it was started by its tier's floor, ahead of higher tiers.
        live: Whether it still runs.
        orphaned: Whether its entry host was lost.
        preempt_requested_at: When its preemption was last requested.
        recall_requested_at: When it was last requested back from a lost upstream.
        grant: The grant; None if an earlier owner granted it.
    """

    __slots__ = ("by_floor", "expires_at", "grant", "live", "upstream_generation", "orphaned",
                 "preempt_requested_at", "recall_requested_at", "started", "ticket",
                 "upstream_id")  # fmt: skip

    def __init__(
        self, item: ticket.Ticket, upstream_id: str, started: float, expires_at: float
    ) -> None:
        """Create the record of a ticket that runs on an upstream."""
        self.ticket = item
        self.upstream_id = upstream_id
        self.upstream_generation = -1
        self.started = started
        self.expires_at = expires_at
        self.by_floor = False
        self.live = True
        self.orphaned = False
        self.preempt_requested_at: float | None = None
        self.recall_requested_at: float | None = None
        self.grant: ticket.Grant | None = None


def request_key(ticket_id: str) -> str:
    """Return the part of the id that all tickets of a request share: all but the attempt number."""
    return ticket_id.rstrip(_DIGITS)

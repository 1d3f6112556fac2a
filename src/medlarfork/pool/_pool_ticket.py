"""Keep what a pool knows of one queued and of one running ticket."""

from __future__ import annotations

import math

from medlarfork import ticket

_DIGITS = "0123456789"


class QueuedTicket:
    """Hold a ticket that waits for a slot; all times are the pool's own monotonic seconds."""

    __slots__ = ("arrived", "expires_at", "hopeless_at", "latest_start", "live", "order_key",
                 "target_at", "ticket", "urgent", "was_urgent", "urgent_at")  # fmt: skip

    def __init__(self, item: ticket.Ticket, now: float) -> None:
        """Convert the ticket's durations to times."""
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
    """Hold a granted ticket until it is released."""

    __slots__ = ("by_floor", "expires_at", "grant", "live", "number", "orphaned",
                 "preempt_asked", "stalled_at", "started", "ticket", "upstream_id")  # fmt: skip

    def __init__(
        self, item: ticket.Ticket, upstream_id: str, started: float, expires_at: float
    ) -> None:
        """Note a grant; ``expires_at`` is when the slot is taken back unreleased."""
        self.ticket = item
        self.upstream_id = upstream_id
        self.number = -1
        self.started = started
        self.expires_at = expires_at
        self.by_floor = False
        self.live = True
        self.orphaned = False
        self.preempt_asked: float | None = None
        self.stalled_at: float | None = None
        self.grant: ticket.Grant | None = None


def request_key(ticket_id: str) -> str:
    """Return what all tickets of one request share: the id without its attempt number."""
    return ticket_id.rstrip(_DIGITS)

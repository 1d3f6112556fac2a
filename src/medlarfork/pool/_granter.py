"""Start queued tickets: choose the tier, the ticket and the upstream."""

from __future__ import annotations

from medlarfork import ticket
from medlarfork.pool import _pool_state, _pool_ticket, _timers, pool_options

_MAX_ASIDE = 4
"""Tickets set aside at once because only upstreams that they avoid are free."""


class Granter:
    """Turn free slots into grants."""

    def __init__(
        self, pool: str, options: pool_options.PoolOptions, parts: _pool_state.PoolState
    ) -> None:
        """Create the starter of a pool."""
        self._pool = pool
        self._options = options
        self._parts = parts

    def start(self, now: float) -> list[ticket.Grant]:
        """Start queued tickets for as long as slots are free for them."""
        grants: list[ticket.Grant] = []
        aside: list[_pool_ticket.QueuedTicket] = []
        while self._parts.upstreams.free > 0 and len(aside) < _MAX_ASIDE:
            tier, by_floor = self._next_tier(now)
            if tier is None:
                break
            entry = self._parts.queues.pop(tier, now, self._cost)
            grant = self._start(entry, by_floor, now)
            if grant is None:
                aside.append(entry)
            else:
                grants.append(grant)
        for entry in aside:
            self._parts.queues.put_back(entry)
        return grants

    def _next_tier(self, now: float) -> tuple[int | None, bool]:
        top = self._parts.queues.top_tier()
        if top is None:
            return None, False
        if self._options.floors:
            running = self._parts.running.count_by_tier
            owed = self._parts.floor.entitled(running, self._parts.queues.count_by_tier)
            if owed is not None:
                return owed, owed != top
        if self._parts.upstreams.free <= self.withheld(top, now):
            return None, False
        return top, False

    def withheld(self, tier: int, now: float) -> int:
        """Return how many free slots a tier must leave to those above it."""
        if not self._options.withhold or self._parts.reserve.is_top(tier):
            return 0
        return self._parts.reserve.withheld(
            tier,
            self._parts.upstreams.slots,
            self._parts.running.count_by_tier,
            self._parts.outlook.freed_per_s(now),
            now,
        )

    def _cost(self, item: ticket.Ticket) -> float:
        slot_s = self._parts.outlook.slot_s(item) if self._options.charge_time else 1.0
        return slot_s / self._parts.accounts.weight(item.account)

    def _start(
        self, entry: _pool_ticket.QueuedTicket, by_floor: bool, now: float
    ) -> ticket.Grant | None:
        item = entry.ticket
        avoid = self._parts.stall.avoid(item)
        chosen = self._parts.upstreams.choose(item, avoid)
        if chosen is None:
            if self._parts.upstreams.other_usable(avoid):
                return None
            chosen = self._parts.upstreams.choose(item, ())
        if chosen is None:
            return None
        announcement = chosen.announcement
        running = self.run(item, announcement.upstream_id, now, entry.expires_at, now)
        running.by_floor = by_floor
        running.grant = ticket.Grant(
            ticket_id=item.ticket_id,
            entry_id=item.entry_id,
            pool=self._pool,
            upstream_id=announcement.upstream_id,
            address=announcement.address,
        )
        self._parts.preemption.add(running)
        self._parts.upstreams.prefixes.hint(item.prefix, announcement.upstream_id)
        return running.grant

    def run(
        self, item: ticket.Ticket, upstream_id: str, started: float, expires_at: float, now: float
    ) -> _pool_ticket.RunningTicket:
        """Count a ticket as running, and see to it that its slot comes back some day."""
        taken_back_at = expires_at + self._options.release_grace_s
        running = _pool_ticket.RunningTicket(item, upstream_id, started, taken_back_at)
        running.number = self._parts.upstreams.start(upstream_id, started, now)
        self._parts.running.add(running)
        self._parts.timers.add(taken_back_at, _timers.Kind.EXPIRE, running)
        return running

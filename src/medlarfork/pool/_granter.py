"""Granting of free slots: choose the tier, the ticket and the upstream."""

from __future__ import annotations

from medlarfork import ticket
from medlarfork.pool import _pool_state, _pool_ticket, _timers, pool_options

_MAX_SKIPPED = 4
"""Tickets skipped in one pass because only upstreams that they avoid have free slots."""

_MAX_SKIPPED_RESUMED = 32
"""Tickets skipped in one pass because no upstream of the version that they need has a free slot."""


class Granter:
    """Grant free slots to queued tickets."""

    def __init__(
        self, pool: str, options: pool_options.PoolOptions, state: _pool_state.PoolState
    ) -> None:
        """Create the granter of a pool.

        Args:
            pool: Pool name, as ``SERVICE/SHARD``.
            options: Rules and constants.
            state: The pool's state, which grants update.
        """
        self._pool = pool
        self._options = options
        self._state = state

    def grant_queued(self, now: float) -> list[ticket.Grant]:
        """Grant slots to queued tickets until no slot is free for them."""
        grants: list[ticket.Grant] = []
        skipped: list[_pool_ticket.QueuedTicket] = []
        skips_left = {False: _MAX_SKIPPED, True: _MAX_SKIPPED_RESUMED}
        while self._state.upstreams.free > 0 and min(skips_left.values()) > 0:
            tier, by_floor = self._next_tier(now)
            if tier is None:
                break
            queued = self._state.queues.pop(tier, now, self._account_cost)
            grant = self._grant(queued, by_floor, now)
            if grant is None:
                skipped.append(queued)
                skips_left[queued.ticket.version is not None] -= 1
            else:
                grants.append(grant)
        for queued in skipped:
            self._state.queues.requeue(queued)
        return grants

    def _next_tier(self, now: float) -> tuple[int | None, bool]:
        top = self._state.queues.top_tier()
        if top is None:
            return None, False
        if self._options.floors:
            running = self._state.running.count_by_tier
            entitled = self._state.floor.most_entitled_tier(
                running, self._state.queues.count_by_tier
            )
            if entitled is not None:
                return entitled, entitled != top
        if self._state.upstreams.free <= self.withheld(top, now):
            return None, False
        return top, False

    def withheld(self, tier: int, now: float) -> int:
        """Return how many free slots a tier must leave to the tiers above it."""
        if not self._options.withhold or self._state.reserve.is_highest_seen(tier):
            return 0
        return self._state.reserve.withheld(
            tier,
            self._state.upstreams.slots,
            self._state.running.count_by_tier,
            self._state.forecast.freed_per_s(now),
            now,
        )

    def _account_cost(self, item: ticket.Ticket) -> float:
        slot_s = self._state.forecast.mean_slot_s(item) if self._options.charge_time else 1.0
        return slot_s / self._state.accounts.weight(item.account)

    def _grant(
        self, queued: _pool_ticket.QueuedTicket, by_floor: bool, now: float
    ) -> ticket.Grant | None:
        item = queued.ticket
        avoid = self._state.failover.avoided_upstreams(item)
        chosen = self._state.upstreams.choose(item, avoid)
        if chosen is None:
            if self._state.upstreams.has_usable_besides(avoid, item.version):
                return None
            chosen = self._state.upstreams.choose(item, ())
        if chosen is None:
            return None
        announcement = chosen.announcement
        running = self.add_running(item, announcement.upstream_id, now, queued.expires_at, now)
        running.by_floor = by_floor
        running.grant = ticket.Grant(
            ticket_id=item.ticket_id,
            entry_id=item.entry_id,
            pool=self._pool,
            upstream_id=announcement.upstream_id,
            address=announcement.address,
            version=announcement.version,
        )
        self._state.preemption.add(running)
        self._state.upstreams.prefixes.record_holder(item.prefix, announcement.upstream_id)
        return running.grant

    def add_running(
        self, item: ticket.Ticket, upstream_id: str, started: float, expires_at: float, now: float
    ) -> _pool_ticket.RunningTicket:
        """Add a running ticket, and set the timer that reclaims its slot if it isn't released."""
        reclaim_at = expires_at + self._options.release_grace_s
        running = _pool_ticket.RunningTicket(item, upstream_id, started, reclaim_at)
        running.upstream_generation = self._state.upstreams.add_running(upstream_id, started, now)
        self._state.running.add(running)
        self._state.timers.add(reclaim_at, _timers.Kind.EXPIRE, running)
        return running

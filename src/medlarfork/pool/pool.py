"""Schedule one pool: who starts next, on which upstream, and who is refused or preempted."""

from __future__ import annotations

import math
import random
from typing import Any

from medlarfork import node, ticket, upstream
from medlarfork.pool import (
    _finished_tickets,
    _granter,
    _pool_state,
    _pool_ticket,
    _timers,
    pool_events,
    pool_options,
    pool_view,
)

PoolOptions = pool_options.PoolOptions

_HOUSEKEEP_S = 1.0
"""How often upstreams are compared, in seconds."""
_PATROL_S = 0.05
"""How often withheld slots are looked at again while tickets wait for them, in seconds."""


class Pool:
    """Decide for one pool; see ``pool_events`` for what goes in and out of ``handle``.

    Higher tiers start first. A lower tier starts before them only on its floor, leaves them the
    slots they are expected to need, and gives slots back to them by preemption. Tickets are
    refused from the lowest tier's newest upwards, except those refused for their own deadline or
    their own account's limit.
    """

    def __init__(
        self, *, name: str, entry_id: str, random: random.Random, options: PoolOptions
    ) -> None:
        """Create the pool of an owner.

        Args:
            name: Pool name, as ``SERVICE/SHARD``.
            entry_id: The entry host that owns the pool.
            random: Seeded generator that spreads retry times.
            options: Rules and constants.
        """
        self.name = name
        self.entry_id = entry_id
        self._options = options
        self._parts = parts = _pool_state.PoolState(options, random)
        self._queues = parts.queues
        self._running = parts.running
        self._upstreams = parts.upstreams
        self._accounts = parts.accounts
        self._outlook = parts.outlook
        self._timers = parts.timers
        self._preemption = parts.preemption
        self._finished = _finished_tickets.FinishedTickets()
        self._starter = _granter.Granter(name, options, parts)
        self._housekeep_at = -math.inf
        self._wake_at = -math.inf
        self._arrived: _pool_ticket.QueuedTicket | None = None
        self._actions: list[Any] = []

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event at a monotonic time in seconds and return the actions, in order."""
        self._actions = []
        if self._options.floors:
            running, queued = self._running.count_by_tier, self._queues.count_by_tier
            self._parts.floor.advance(now, self._upstreams.slots, running, queued)
        self._housekeep(now)
        self._apply(event, now)
        self._look_at_due(now)
        self._actions += self._starter.start(now)
        self._watch_arrived(now)
        self._shed_overflow(now)
        self._preempt(now)
        self._set_wake(now)
        return tuple(self._actions)

    def summary(self, now: float) -> ticket.PoolSummary:
        """Summarise the load, for entry hosts that choose between a service's pools."""
        return ticket.PoolSummary(
            pool=self.name,
            upstreams=self._upstreams.usable,
            slots=self._upstreams.slots,
            running=len(self._running),
            queued=len(self._queues),
            drain_per_s=self._outlook.drain_per_s(now),
        )

    def upstream_views(self) -> tuple[pool_view.UpstreamView, ...]:
        """Show every upstream."""
        health, slow_start_s = self._upstreams.health, self._options.slow_start_s
        return tuple(known.view(health, slow_start_s) for known in self._upstreams)

    def tier_views(self, now: float) -> tuple[pool_view.TierView, ...]:
        """Show every tier that has tickets queued or running."""
        tiers = sorted({*self._queues.count_by_tier, *self._running.count_by_tier})
        return tuple(
            pool_view.TierView(
                tier=tier,
                queued=self._queues.count_by_tier.get(tier, 0),
                running=self._running.count_by_tier.get(tier, 0),
                withheld=self._starter.withheld(tier, now),
                floor_slots=self._parts.floor.slots(tier),
            )
            for tier in tiers
        )

    def _apply(self, event: Any, now: float) -> None:
        match event:
            case ticket.Ticket():
                self._arrive(event, now)
            case ticket.Release():
                self._release(event, now)
            case ticket.Withdraw(ticket_id=ticket_id, pool=pool):
                unused = ticket.Release(ticket_id, pool, ticket.ReleaseCause.UNUSED)
                self._release(unused, now)
            case ticket.Running():
                self._take_over(event, now)
            case pool_events.UpstreamUp(announcement, age_s):
                self._announced(announcement, now, came_up=True, age_s=age_s)
            case pool_events.UpstreamChanged(announcement, age_s):
                self._announced(announcement, now, came_up=False, age_s=age_s)
            case pool_events.UpstreamGone(upstream_id=upstream_id):
                self._upstreams.gone(upstream_id, now)
                self._parts.crashes.on_gone(upstream_id)
            case pool_events.TookOver():
                self._upstreams.take_over(now)
                self._housekeep_at = now + min(_HOUSEKEEP_S, self._options.settle_s)
            case pool_events.EntryGone(entry_id=entry_id):
                self._lose_entry(entry_id, now)
            case pool_events.PolicyChanged():
                self._configure(event, now)
            case node.TimeDue() | node.Started():
                pass

    def _configure(self, event: pool_events.PolicyChanged, now: float) -> None:
        share_by_tier: dict[int, float] = {}
        for item in event.classes:
            share = max(item.floor_share, share_by_tier.get(item.tier, 0.0))
            share_by_tier[item.tier] = share
        self._parts.floor.set_shares(share_by_tier)
        self._accounts.configure(event.accounts, event.service.shards, now)
        self._upstreams.configure(event.drained_upstreams, event.service.slots, now)

    def _announced(
        self, announcement: upstream.Announcement, now: float, *, came_up: bool, age_s: float
    ) -> None:
        self._upstreams.announce(announcement, now, came_up=came_up, age_s=age_s)
        self._parts.crashes.on_announced(
            announcement.upstream_id, announcement.incarnation, now - age_s
        )

    def _is_open(self, ticket_id: str) -> bool:
        """Return whether a ticket waits or runs."""
        queued = self._queues.get(ticket_id) is not None
        return queued or self._running.get(ticket_id) is not None

    def _arrive(self, item: ticket.Ticket, now: float) -> None:
        if self._answer_again(item):
            return
        retry_s = self._parts.crashes.refusal_s(item, self._is_open, now)
        if retry_s is not None:
            self._shed(item, ticket.ShedReason.ENDS_UPSTREAMS, now, retry_s)
            return
        entry = _pool_ticket.QueuedTicket(item, now)
        resumed = item.resume_offset > 0 or self._preemption.suffered(item.ticket_id)
        self._outlook.set_times(entry)
        if not resumed:
            self._parts.reserve.arrived(item.tier, entry.urgent_at - now, now)
            limit_s = self._accounts.wait_s(item.account, now, self._outlook.slot_s(item))
            if limit_s > 0:
                self._shed(item, ticket.ShedReason.ACCOUNT_LIMIT, now, limit_s)
                return
        # A resumed ticket goes to the head, so nothing of its tier is ahead of it.
        ahead = 0 if resumed else self._queues.count_by_tier.get(item.tier, 0)
        if self._outlook.is_hopeless(entry, ahead, now):
            self._shed(item, ticket.ShedReason.HOPELESS, now)
            return
        self._accounts.admitted(item.account, counted=not resumed)
        self._queues.push(entry, at_head=resumed)
        self._arrived = entry

    def _watch_arrived(self, now: float) -> None:
        """Set the timers of a ticket that has just arrived and was not started at once."""
        entry, self._arrived = self._arrived, None
        if entry is None or not entry.live:
            return
        self._timers.add(entry.hopeless_at, _timers.Kind.EXPIRE, entry)
        tier = entry.ticket.tier
        if not self._options.preempt or entry.ticket.target_left_s is None:
            return
        wait_s = self._queues.up_to_tier(tier) / max(1.0, self._outlook.freed_per_s(now))
        if entry.urgent_at - wait_s > now:
            self._timers.add(entry.urgent_at - wait_s, _timers.Kind.URGENT, entry)
        elif entry.latest_start > now:
            self._queues.set_urgent(entry, True)
        self._timers.add(entry.latest_start, _timers.Kind.LATE, entry)

    def _answer_again(self, item: ticket.Ticket) -> bool:
        running = self._running.get(item.ticket_id)
        if running is not None:
            if running.grant is not None:
                self._actions.append(running.grant)
            return True
        if item.ticket_id in self._finished:
            shed = self._finished.shed(item.ticket_id)
            if shed is not None:
                self._actions.append(shed)
            return True
        return self._queues.get(item.ticket_id) is not None

    def _release(self, event: ticket.Release, now: float) -> None:
        entry = self._queues.get(event.ticket_id)
        if entry is not None:
            self._queues.remove(entry)
            self._accounts.ended(entry.ticket.account, 0)
        else:
            self._end_running(event, now)
        if event.ticket_id not in self._finished:
            self._finished.add(event.ticket_id, None, now)

    def _end_running(self, event: ticket.Release, now: float) -> None:
        running = self._running.pop(event.ticket_id)
        if running is None:
            return
        item = running.ticket
        known = self._upstreams.get(running.upstream_id)
        incarnation = 0 if known is None else known.announcement.incarnation
        self._parts.crashes.on_ended(item, running.upstream_id, incarnation, event.cause, now)
        self._upstreams.finish(running, event, now)
        self._accounts.ended(item.account, event.tokens)
        if event.cause != ticket.ReleaseCause.UNUSED:
            self._parts.reserve.released(item.tier, now - running.started)
        self._outlook.released(item, event, now)
        self._parts.stall.ended(item, event.cause)
        preempted = event.cause == ticket.ReleaseCause.PREEMPTED
        self._preemption.ended(running, preempted=preempted, now=now)

    def _take_over(self, event: ticket.Running, now: float) -> None:
        item = event.ticket
        known = self._running.get(item.ticket_id)
        if known is not None:
            self._adopt(known, event, now)
            return
        if not self._finished.adopt(item.ticket_id):
            return
        entry = self._queues.get(item.ticket_id)
        if entry is not None:
            self._queues.remove(entry)
        else:
            self._accounts.admitted(item.account, counted=False)
        started, expires_at = now - event.running_s, now + item.time_left_s
        running = self._starter.run(item, event.upstream_id, started, expires_at, now)
        self._preemption.add(running)

    def _adopt(self, known: _pool_ticket.RunningTicket, event: ticket.Running, now: float) -> None:
        """Give a lost entry host's ticket its slot back: the host is there again and runs it."""
        if known.orphaned:
            known.orphaned = False
            known.expires_at = now + event.ticket.time_left_s + self._options.release_grace_s
            self._timers.add(known.expires_at, _timers.Kind.EXPIRE, known)

    def _lose_entry(self, entry_id: str, now: float) -> None:
        for entry in self._queues.of_entry(entry_id):
            self._queues.remove(entry)
            self._accounts.ended(entry.ticket.account, 0)
            self._finished.add(entry.ticket.ticket_id, None, now)
        for running in self._running.of_entry(entry_id):
            running.orphaned = True
            running.expires_at = min(running.expires_at, now + self._options.orphan_s)
            self._timers.add(running.expires_at, _timers.Kind.EXPIRE, running)

    def _look_at_due(self, now: float) -> None:
        for kind, item in self._timers.due(now):
            match item:
                case _pool_ticket.RunningTicket():
                    self._take_back(item, now)
                case _pool_ticket.QueuedTicket() if kind is _timers.Kind.EXPIRE:
                    self._drop(item, ticket.ShedReason.HOPELESS, now)
                case _pool_ticket.QueuedTicket():
                    self._queues.set_urgent(item, kind is _timers.Kind.URGENT)
        if self._upstreams.usable:
            return
        if self._upstreams.unusable_s(now) >= self._options.no_upstream_grace_s:
            while (entry := self._queues.newest_of_lowest()) is not None:
                self._drop(entry, ticket.ShedReason.NO_UPSTREAM, now)

    def _take_back(self, running: _pool_ticket.RunningTicket, now: float) -> None:
        if running.expires_at > now:
            return
        self._running.pop(running.ticket.ticket_id)
        self._upstreams.finish(running, None, now)
        self._accounts.ended(running.ticket.account, 0)
        self._finished.take_back(running.ticket.ticket_id, now)

    def _shed_overflow(self, now: float) -> None:
        while len(self._queues) > self._options.max_queued:
            entry = self._queues.newest_of_lowest()
            if entry is None:
                return
            self._drop(entry, ticket.ShedReason.OVERLOADED, now)

    def _preempt(self, now: float) -> None:
        if not self._options.preempt or not any(self._queues.urgent_by_tier.values()):
            return
        wanted = 0
        pending = self._preemption.pending(now)
        for tier in sorted(self._queues.urgent_by_tier):
            wanted += self._queues.urgent_by_tier[tier]
            while pending < wanted:
                victim = self._preemption.choose(tier, self._may_spare, self._upstreams.slots, now)
                if victim is None:
                    break
                held = victim.ticket
                self._actions.append(ticket.Preempt(held.ticket_id, held.entry_id, self.name))
                pending += 1

    def _move_stalled(self, now: float) -> None:
        """Ask for tickets back from upstreams that are lost."""
        stall = self._parts.stall
        for known in self._upstreams:
            if known.running and self._upstreams.usable and stall.is_lost(known, now):
                running = self._running.at_upstream(known.announcement.upstream_id)
                self._actions += stall.ask(running, now)

    def _may_spare(self, tier: int) -> bool:
        running = self._running.count_by_tier.get(tier, 0)
        return not self._options.floors or running > int(self._parts.floor.slots(tier))

    def _drop(
        self, entry: _pool_ticket.QueuedTicket, reason: ticket.ShedReason, now: float
    ) -> None:
        self._queues.remove(entry)
        self._accounts.ended(entry.ticket.account, 0)
        self._shed(entry.ticket, reason, now)

    def _shed(
        self,
        item: ticket.Ticket,
        reason: ticket.ShedReason,
        now: float,
        limit_s: float | None = None,
    ) -> None:
        if limit_s is None:
            queued = self._queues.count_by_tier.get(item.tier, 0)
            retry_after_s = self._outlook.retry_after_s(item.tier, queued, now)
        else:
            retry_after_s = self._outlook.spread_s(limit_s)
        shed = ticket.Shed(item.ticket_id, item.entry_id, self.name, reason, retry_after_s)
        self._finished.add(item.ticket_id, shed, now)
        self._actions.append(shed)

    def _housekeep(self, now: float) -> None:
        if now < self._housekeep_at:
            return
        self._housekeep_at = now + _HOUSEKEEP_S
        self._upstreams.housekeep(now)
        self._parts.crashes.tidy(now)
        if self._options.move_stalled:
            self._move_stalled(now)
        self._preemption.trim(self._running.count_by_tier)

    def _set_wake(self, now: float) -> None:
        queued, running = len(self._queues), len(self._running)
        self._timers.trim(queued + running)
        at = self._timers.next_at()
        if queued:
            at = min(at, now + (_PATROL_S if self._upstreams.free else _HOUSEKEEP_S))
        if (queued or running or self._upstreams.usable) and self._housekeep_at < at:
            at = self._housekeep_at
        if at < math.inf and not now < self._wake_at <= at:
            self._wake_at = at
            self._actions.append(node.Wake(at))

"""Scheduler of one pool: which ticket starts next and where, and which is refused or preempted."""

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

_HOUSEKEEPING_PERIOD_S = 1.0
"""How often housekeeping runs: upstream comparison, failover, pruning; in seconds."""
_WITHHELD_RECHECK_S = 0.05
"""How often withheld slots are re-evaluated while tickets wait for them, in seconds."""


class Pool:
    """Schedule the tickets of one pool; ``pool_events`` lists the events and actions of ``handle``.

    Higher tiers start first. A lower tier starts before them only to use its floor, leaves free the
    slots that they are expected to need, and may be preempted for them. On overload the newest
    ticket of the lowest tier is shed first; a ticket whose own deadline, account limit or record
    of crashed upstreams rules it out is shed regardless of its tier.
    """

    def __init__(
        self, *, name: str, entry_id: str, random: random.Random, options: PoolOptions
    ) -> None:
        """Create the pool of an owner.

        Args:
            name: Pool name, as ``SERVICE/SHARD``.
            entry_id: The entry host that owns the pool.
            random: Seeded generator of the jitter of retry times.
            options: Rules and constants.
        """
        self.name = name
        self.entry_id = entry_id
        self._options = options
        self._state = state = _pool_state.PoolState(options, random)
        self._queues = state.queues
        self._running = state.running
        self._upstreams = state.upstreams
        self._accounts = state.accounts
        self._forecast = state.forecast
        self._timers = state.timers
        self._preemption = state.preemption
        self._finished = _finished_tickets.FinishedTickets()
        self._granter = _granter.Granter(name, options, state)
        self._housekeep_at = -math.inf
        self._wake_at = -math.inf
        self._new_ticket: _pool_ticket.QueuedTicket | None = None
        self._actions: list[Any] = []

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event at a monotonic time in seconds and return the actions, in order."""
        self._actions = []
        if self._options.floors:
            running, queued = self._running.count_by_tier, self._queues.count_by_tier
            self._state.floor.advance(now, self._upstreams.slots, running, queued)
        self._housekeep(now)
        self._apply(event, now)
        self._process_due_timers(now)
        self._actions += self._granter.grant_queued(now)
        self._set_arrival_timers(now)
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
            drain_per_s=self._forecast.drain_per_s(now),
        )

    def upstream_views(self) -> tuple[pool_view.UpstreamView, ...]:
        """Return a view of every upstream."""
        health, slow_start_s = self._upstreams.health, self._options.slow_start_s
        return tuple(
            upstream_state.view(health, slow_start_s) for upstream_state in self._upstreams
        )

    def tier_views(self, now: float) -> tuple[pool_view.TierView, ...]:
        """Return a view of every tier that has tickets queued or running."""
        tiers = sorted({*self._queues.count_by_tier, *self._running.count_by_tier})
        return tuple(
            pool_view.TierView(
                tier=tier,
                queued=self._queues.count_by_tier.get(tier, 0),
                running=self._running.count_by_tier.get(tier, 0),
                withheld=self._granter.withheld(tier, now),
                floor_slots=self._state.floor.slots(tier),
            )
            for tier in tiers
        )

    def _apply(self, event: Any, now: float) -> None:
        match event:
            case ticket.Ticket():
                self._admit(event, now)
            case ticket.Release():
                self._release(event, now)
            case ticket.Withdraw(ticket_id=ticket_id, pool=pool):
                unused = ticket.Release(ticket_id, pool, ticket.ReleaseCause.UNUSED)
                self._release(unused, now)
            case ticket.Running():
                self._add_taken_over(event, now)
            case pool_events.UpstreamUp(announcement, age_s):
                self._apply_announcement(announcement, now, came_up=True, age_s=age_s)
            case pool_events.UpstreamChanged(announcement, age_s):
                self._apply_announcement(announcement, now, came_up=False, age_s=age_s)
            case pool_events.UpstreamGone(upstream_id=upstream_id):
                self._upstreams.mark_gone(upstream_id, now)
                self._state.crash_guard.handle_upstream_gone(upstream_id)
            case pool_events.TookOver():
                self._upstreams.take_over(now)
                self._housekeep_at = now + min(_HOUSEKEEPING_PERIOD_S, self._options.settle_s)
            case pool_events.EntryGone(entry_id=entry_id):
                self._remove_entry_host(entry_id, now)
            case pool_events.PolicyChanged():
                self._configure(event, now)
            case node.TimeDue() | node.Started():
                pass

    def _configure(self, event: pool_events.PolicyChanged, now: float) -> None:
        share_by_tier: dict[int, float] = {}
        for item in event.classes:
            share = max(item.floor_share, share_by_tier.get(item.tier, 0.0))
            share_by_tier[item.tier] = share
        self._state.floor.set_shares(share_by_tier)
        self._accounts.configure(event.accounts, event.service.shards, now)
        self._upstreams.configure(event.drained_upstreams, event.service.slots, now)

    def _apply_announcement(
        self, announcement: upstream.Announcement, now: float, *, came_up: bool, age_s: float
    ) -> None:
        self._upstreams.apply_announcement(announcement, now, came_up=came_up, age_s=age_s)
        self._state.crash_guard.handle_announcement(
            announcement.upstream_id, announcement.incarnation, now - age_s
        )

    def _is_active(self, ticket_id: str) -> bool:
        """Return whether a ticket is queued or running."""
        queued = self._queues.get(ticket_id) is not None
        return queued or self._running.get(ticket_id) is not None

    def _admit(self, item: ticket.Ticket, now: float) -> None:
        if self._resend_answer(item):
            return
        retry_s = self._state.crash_guard.blocked_for_s(item, self._is_active, now)
        if retry_s is not None:
            self._shed(item, ticket.ShedReason.ENDS_UPSTREAMS, now, retry_s)
            return
        if self._upstreams.lacks_version(item.version):
            self._shed(item, ticket.ShedReason.NO_UPSTREAM, now)
            return
        queued_ticket = _pool_ticket.QueuedTicket(item, now)
        resumed = item.resume_offset > 0 or self._preemption.was_preempted(item.ticket_id)
        self._forecast.set_start_times(queued_ticket)
        if not resumed:
            self._state.reserve.record_arrival(item.tier, queued_ticket.urgent_at - now, now)
            retry_s = self._accounts.wait_s(item.account, now, self._forecast.mean_slot_s(item))
            if retry_s > 0:
                self._shed(item, ticket.ShedReason.ACCOUNT_LIMIT, now, retry_s)
                return
        # A resumed ticket is queued at the head, so no ticket of its tier is ahead of it.
        ahead = 0 if resumed else self._queues.count_by_tier.get(item.tier, 0)
        if self._forecast.is_hopeless(queued_ticket, ahead, now):
            self._shed(item, ticket.ShedReason.HOPELESS, now)
            return
        self._accounts.record_admission(item.account, charge_request=not resumed)
        self._queues.push(queued_ticket, at_head=resumed)
        self._new_ticket = queued_ticket

    def _set_arrival_timers(self, now: float) -> None:
        """Set the timers of a ticket that has just arrived and was not started immediately."""
        queued_ticket, self._new_ticket = self._new_ticket, None
        if queued_ticket is None or not queued_ticket.live:
            return
        self._timers.add(queued_ticket.hopeless_at, _timers.Kind.EXPIRE, queued_ticket)
        tier = queued_ticket.ticket.tier
        if not self._options.preempt or queued_ticket.ticket.target_left_s is None:
            return
        wait_s = self._queues.count_up_to_tier(tier) / max(1.0, self._forecast.freed_per_s(now))
        if queued_ticket.urgent_at - wait_s > now:
            self._timers.add(queued_ticket.urgent_at - wait_s, _timers.Kind.URGENT, queued_ticket)
        elif queued_ticket.latest_start > now:
            self._queues.set_urgent(queued_ticket, True)
        self._timers.add(queued_ticket.latest_start, _timers.Kind.LATE, queued_ticket)

    def _resend_answer(self, item: ticket.Ticket) -> bool:
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
        queued_ticket = self._queues.get(event.ticket_id)
        if queued_ticket is not None:
            self._queues.remove(queued_ticket)
            self._accounts.record_end(queued_ticket.ticket.account, 0)
        else:
            self._end_running(event, now)
        if event.ticket_id not in self._finished:
            self._finished.add(event.ticket_id, None, now)

    def _end_running(self, event: ticket.Release, now: float) -> None:
        running = self._running.pop(event.ticket_id)
        if running is None:
            return
        item = running.ticket
        upstream_state = self._upstreams.get(running.upstream_id)
        incarnation = 0 if upstream_state is None else upstream_state.announcement.incarnation
        self._state.crash_guard.record_run_end(
            item, running.upstream_id, incarnation, event.cause, now
        )
        self._upstreams.remove_running(running, event, now)
        self._accounts.record_end(item.account, event.tokens)
        if event.cause != ticket.ReleaseCause.UNUSED:
            self._state.reserve.record_release(item.tier, now - running.started)
        self._forecast.record_release(item, event, now)
        self._state.failover.record_end(item, event.cause)
        preempted = event.cause == ticket.ReleaseCause.PREEMPTED
        self._preemption.record_end(running, preempted=preempted, now=now)

    def _add_taken_over(self, event: ticket.Running, now: float) -> None:
        item = event.ticket
        current = self._running.get(item.ticket_id)
        if current is not None:
            self._restore_orphan(current, event, now)
            return
        if not self._finished.reopen(item.ticket_id):
            return
        queued_ticket = self._queues.get(item.ticket_id)
        if queued_ticket is not None:
            self._queues.remove(queued_ticket)
        else:
            self._accounts.record_admission(item.account, charge_request=False)
        started, expires_at = now - event.running_s, now + item.time_left_s
        running = self._granter.add_running(item, event.upstream_id, started, expires_at, now)
        self._preemption.add(running)

    def _restore_orphan(
        self, current: _pool_ticket.RunningTicket, event: ticket.Running, now: float
    ) -> None:
        """Restore a ticket's slot after its lost entry host has returned and still runs it."""
        if current.orphaned:
            current.orphaned = False
            current.expires_at = now + event.ticket.time_left_s + self._options.release_grace_s
            self._timers.add(current.expires_at, _timers.Kind.EXPIRE, current)

    def _remove_entry_host(self, entry_id: str, now: float) -> None:
        for queued_ticket in self._queues.of_entry(entry_id):
            self._queues.remove(queued_ticket)
            self._accounts.record_end(queued_ticket.ticket.account, 0)
            self._finished.add(queued_ticket.ticket.ticket_id, None, now)
        for running in self._running.of_entry(entry_id):
            running.orphaned = True
            running.expires_at = min(running.expires_at, now + self._options.orphan_s)
            self._timers.add(running.expires_at, _timers.Kind.EXPIRE, running)

    def _process_due_timers(self, now: float) -> None:
        for kind, item in self._timers.due(now):
            match item:
                case _pool_ticket.RunningTicket():
                    self._reclaim(item, now)
                case _pool_ticket.QueuedTicket() if kind is _timers.Kind.EXPIRE:
                    self._shed_queued(item, ticket.ShedReason.HOPELESS, now)
                case _pool_ticket.QueuedTicket():
                    self._queues.set_urgent(item, kind is _timers.Kind.URGENT)
        if self._upstreams.usable:
            return
        if self._upstreams.unusable_s(now) >= self._options.no_upstream_grace_s:
            while (queued_ticket := self._queues.next_to_shed()) is not None:
                self._shed_queued(queued_ticket, ticket.ShedReason.NO_UPSTREAM, now)

    def _reclaim(self, running: _pool_ticket.RunningTicket, now: float) -> None:
        if running.expires_at > now:
            return
        self._running.pop(running.ticket.ticket_id)
        self._upstreams.remove_running(running, None, now)
        self._accounts.record_end(running.ticket.account, 0)
        self._finished.add_reclaimed(running.ticket.ticket_id, now)

    def _shed_overflow(self, now: float) -> None:
        while len(self._queues) > self._options.max_queued:
            queued_ticket = self._queues.next_to_shed()
            if queued_ticket is None:
                return
            self._shed_queued(queued_ticket, ticket.ShedReason.OVERLOADED, now)

    def _preempt(self, now: float) -> None:
        if not self._options.preempt or not any(self._queues.urgent_by_tier.values()):
            return
        needed = 0
        pending = self._preemption.count_pending(now)
        for tier in sorted(self._queues.urgent_by_tier):
            needed += self._queues.urgent_by_tier[tier]
            while pending < needed:
                victim = self._preemption.choose_victim(
                    tier, self._is_above_floor, self._upstreams.slots, now
                )
                if victim is None:
                    break
                held = victim.ticket
                self._actions.append(ticket.Preempt(held.ticket_id, held.entry_id, self.name))
                pending += 1

    def _recall_stalled(self, now: float) -> None:
        """Recall tickets from lost upstreams, if there is another upstream to run them."""
        failover = self._state.failover
        for upstream_state in self._upstreams:
            if (
                upstream_state.running
                and self._upstreams.usable
                and failover.is_lost(upstream_state, now)
            ):
                running = self._running.at_upstream(upstream_state.announcement.upstream_id)
                self._actions += failover.recall(running, now)

    def _is_above_floor(self, tier: int) -> bool:
        running = self._running.count_by_tier.get(tier, 0)
        return not self._options.floors or running > int(self._state.floor.slots(tier))

    def _shed_queued(
        self, queued_ticket: _pool_ticket.QueuedTicket, reason: ticket.ShedReason, now: float
    ) -> None:
        self._queues.remove(queued_ticket)
        self._accounts.record_end(queued_ticket.ticket.account, 0)
        self._shed(queued_ticket.ticket, reason, now)

    def _shed(
        self,
        item: ticket.Ticket,
        reason: ticket.ShedReason,
        now: float,
        retry_s: float | None = None,
    ) -> None:
        if retry_s is None:
            queued = self._queues.count_by_tier.get(item.tier, 0)
            retry_after_s = self._forecast.retry_after_s(item.tier, queued, now)
        else:
            retry_after_s = self._forecast.jittered_s(retry_s)
        shed = ticket.Shed(item.ticket_id, item.entry_id, self.name, reason, retry_after_s)
        self._finished.add(item.ticket_id, shed, now)
        self._actions.append(shed)

    def _housekeep(self, now: float) -> None:
        if now < self._housekeep_at:
            return
        self._housekeep_at = now + _HOUSEKEEPING_PERIOD_S
        self._upstreams.housekeep(now)
        self._state.crash_guard.prune(now)
        if self._options.move_stalled:
            self._recall_stalled(now)
        self._preemption.trim(self._running.count_by_tier)
        for queued_ticket in self._queues.resumed():
            if self._upstreams.lacks_version(queued_ticket.ticket.version):
                self._shed_queued(queued_ticket, ticket.ShedReason.NO_UPSTREAM, now)

    def _set_wake(self, now: float) -> None:
        queued, running = len(self._queues), len(self._running)
        self._timers.trim(queued + running)
        at = self._timers.next_at()
        if queued:
            at = min(
                at, now + (_WITHHELD_RECHECK_S if self._upstreams.free else _HOUSEKEEPING_PERIOD_S)
            )
        if (queued or running or self._upstreams.usable) and self._housekeep_at < at:
            at = self._housekeep_at
        if at < math.inf and not now < self._wake_at <= at:
            self._wake_at = at
            self._actions.append(node.Wake(at))

"""Reference implementation of a pool without adaptive rules.

``pool.Pool`` with ``pool_options.NON_ADAPTIVE`` is tested against it. Every decision is a linear
scan of one list of queued and one of running tickets.
"""

from __future__ import annotations

import dataclasses
import math
from typing import Any

from medlarfork import node, ticket, upstream
from medlarfork.pool import _account_limiter, pool_events, pool_options


@dataclasses.dataclass(frozen=True, slots=True)
class _Queued:
    item: ticket.Ticket
    number: int
    arrived: float
    expires_at: float
    at_head: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    item: ticket.Ticket
    upstream_id: str
    incarnation: int
    expires_at: float
    grant: ticket.Grant


class ReferencePool:
    """Decide like a pool without adaptive rules, in code that is slow but easy to verify."""

    def __init__(self, *, name: str, options: pool_options.PoolOptions) -> None:
        """Create an empty pool; only the options that ``NON_ADAPTIVE`` leaves enabled are used."""
        self._name = name
        self._options = options
        self._queued: list[_Queued] = []
        self._running: list[_Running] = []
        self._finished: dict[str, ticket.Shed | None] = {}
        self._announcement_by_id: dict[str, upstream.Announcement] = {}
        self._last_grant_by_upstream: dict[str, int] = {}
        self._grant_count = 0
        self._sequence = 0
        self._drained: tuple[str, ...] = ()
        self._default_slots = 1
        self._accounts = _account_limiter.AccountLimiter()
        self._finish_tags_by_tier: dict[int, dict[str, float]] = {}
        self._virtual_time_by_tier: dict[int, float] = {}
        self._unusable_since: float | None = None
        self._actions: list[Any] = []

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event at a monotonic time in seconds and return grants and sheds."""
        self._actions = []
        self._apply(event, now)
        self._expire(now)
        self._start(now)
        while len(self._queued) > self._options.max_queued:
            self._shed(self._next_to_shed(), ticket.ShedReason.OVERLOADED)
        return tuple(self._actions)

    def _apply(self, event: Any, now: float) -> None:
        match event:
            case ticket.Ticket():
                self._arrive(event, now)
            case ticket.Release() | ticket.Withdraw():
                self._end(event)
            case pool_events.UpstreamUp(announcement=announcement):
                self._announce(announcement)
            case pool_events.UpstreamChanged(announcement=announcement):
                if announcement.upstream_id in self._announcement_by_id:
                    self._announce(announcement)
            case pool_events.UpstreamGone(upstream_id=upstream_id):
                self._announcement_by_id.pop(upstream_id, None)
            case pool_events.PolicyChanged():
                self._drained = event.drained_upstreams
                self._default_slots = event.service.slots
                self._accounts.configure(event.accounts, event.service.shards, now)
            case node.TimeDue():
                pass

    def _announce(self, announcement: upstream.Announcement) -> None:
        previous = self._announcement_by_id.get(announcement.upstream_id)
        if previous is None or previous.incarnation < announcement.incarnation:
            self._last_grant_by_upstream.pop(announcement.upstream_id, None)
        elif previous.state == upstream.UpstreamState.LEAVING:
            return
        self._announcement_by_id[announcement.upstream_id] = announcement

    def _arrive(self, item: ticket.Ticket, now: float) -> None:
        running = [other for other in self._running if other.item.ticket_id == item.ticket_id]
        if running:
            self._actions.append(running[0].grant)
            return
        if item.ticket_id in self._finished:
            shed = self._finished[item.ticket_id]
            self._actions.extend([] if shed is None else [shed])
            return
        if any(queued.item.ticket_id == item.ticket_id for queued in self._queued):
            return
        resumed = item.resume_offset > 0
        reason = self._refusal_reason(item, resumed, now)
        if reason is not None:
            self._refuse(item, reason)
            return
        self._accounts.record_admission(item.account, charge_request=not resumed)
        self._push(item, now - item.waited_s, now + item.time_left_s, resumed)

    def _refusal_reason(
        self, item: ticket.Ticket, resumed: bool, now: float
    ) -> ticket.ShedReason | None:
        if not resumed and self._accounts.wait_s(item.account, now, 1.0) > 0:
            return ticket.ShedReason.ACCOUNT_LIMIT
        return ticket.ShedReason.HOPELESS if item.time_left_s <= 0 else None

    def _push(self, item: ticket.Ticket, arrived: float, expires_at: float, at_head: bool) -> None:
        self._sequence += 1
        self._queued.append(_Queued(item, self._sequence, arrived, expires_at, at_head))

    def _end(self, event: ticket.Release | ticket.Withdraw) -> None:
        tokens = event.tokens if isinstance(event, ticket.Release) else 0
        for queued in list(self._queued):
            if queued.item.ticket_id == event.ticket_id:
                self._queued.remove(queued)
                self._accounts.record_end(queued.item.account, 0)
        for running in list(self._running):
            if running.item.ticket_id == event.ticket_id:
                self._running.remove(running)
                self._accounts.record_end(running.item.account, tokens)
        self._finished.setdefault(event.ticket_id, None)

    def _expire(self, now: float) -> None:
        for queued in sorted(self._queued, key=lambda queued: (queued.expires_at, queued.number)):
            if queued.expires_at <= now:
                self._shed(queued, ticket.ShedReason.HOPELESS)
        for running in list(self._running):
            if running.expires_at <= now:
                self._running.remove(running)
                self._accounts.record_end(running.item.account, 0)
                self._finished[running.item.ticket_id] = None
        if any(self._is_usable(upstream_id) for upstream_id in self._announcement_by_id):
            self._unusable_since = None
            return
        if self._unusable_since is None:
            self._unusable_since = now
        if now - self._unusable_since >= self._options.no_upstream_grace_s:
            while self._queued:
                self._shed(self._next_to_shed(), ticket.ShedReason.NO_UPSTREAM)

    def _next_to_shed(self) -> _Queued:
        return max(
            self._queued, key=lambda queued: (queued.item.tier, queued.arrived, queued.number)
        )

    def _shed(self, queued: _Queued, reason: ticket.ShedReason) -> None:
        self._queued.remove(queued)
        self._accounts.record_end(queued.item.account, 0)
        self._refuse(queued.item, reason)

    def _refuse(self, item: ticket.Ticket, reason: ticket.ShedReason) -> None:
        shed = ticket.Shed(item.ticket_id, item.entry_id, self._name, reason, 0.0)
        self._finished[item.ticket_id] = shed
        self._actions.append(shed)

    def _start(self, now: float) -> None:
        while self._queued:
            tier = min(queued.item.tier for queued in self._queued)
            queued = self._next_in_tier(tier)
            chosen = self._choose_upstream()
            if chosen is None:
                return
            self._queued.remove(queued)
            if not queued.at_head:
                self._charge(tier, queued.item.account)
            self._grant(queued, chosen)

    def _next_in_tier(self, tier: int) -> _Queued:
        in_tier = [queued for queued in self._queued if queued.item.tier == tier]
        resumed = [queued for queued in in_tier if queued.at_head]
        if resumed:
            return min(resumed, key=lambda queued: (queued.arrived, queued.number))
        lowest_tag = min(self._start_tag(tier, queued.item.account) for queued in in_tier)
        eligible = [
            queued for queued in in_tier if self._start_tag(tier, queued.item.account) == lowest_tag
        ]
        return min(eligible, key=lambda queued: (queued.arrived, queued.number))

    def _start_tag(self, tier: int, account: str) -> float:
        finish_tag = self._finish_tags_by_tier.get(tier, {}).get(account, 0.0)
        return max(self._virtual_time_by_tier.get(tier, 0.0), finish_tag)

    def _charge(self, tier: int, account: str) -> None:
        tag = self._start_tag(tier, account)
        self._virtual_time_by_tier[tier] = tag
        finish_tags = self._finish_tags_by_tier.setdefault(tier, {})
        finish_tags[account] = tag + 1.0 / self._accounts.weight(account)

    def _choose_upstream(self) -> str | None:
        load_by_id = {
            upstream_id: self._relative_load(upstream_id)
            for upstream_id in self._announcement_by_id
            if self._is_usable(upstream_id)
        }
        with_free_slot = [upstream_id for upstream_id, load in load_by_id.items() if load <= 1.0]
        if not with_free_slot:
            return None
        return min(
            with_free_slot,
            key=lambda upstream_id: (
                load_by_id[upstream_id],
                self._last_grant_by_upstream.get(upstream_id, 0),
                upstream_id,
            ),
        )

    def _relative_load(self, upstream_id: str) -> float:
        announcement = self._announcement_by_id[upstream_id]
        slots = announcement.slots or self._default_slots
        current = (upstream_id, announcement.incarnation)
        running = sum((other.upstream_id, other.incarnation) == current for other in self._running)
        return (running + 1) / slots if slots else math.inf

    def _is_usable(self, upstream_id: str) -> bool:
        ready = self._announcement_by_id[upstream_id].state == upstream.UpstreamState.READY
        return ready and upstream_id not in self._drained

    def _grant(self, queued: _Queued, upstream_id: str) -> None:
        item = queued.item
        announcement = self._announcement_by_id[upstream_id]
        grant = ticket.Grant(
            item.ticket_id,
            item.entry_id,
            self._name,
            upstream_id,
            announcement.address,
            version=announcement.version,
        )
        self._grant_count += 1
        self._last_grant_by_upstream[upstream_id] = self._grant_count
        expires_at = queued.expires_at + self._options.release_grace_s
        self._running.append(
            _Running(item, upstream_id, announcement.incarnation, expires_at, grant)
        )
        self._actions.append(grant)

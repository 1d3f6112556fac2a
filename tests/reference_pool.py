"""Schedule one pool the plain way: scan everything, keep nothing clever.

This is the reference that ``pool.Pool`` is tested against with its adaptive rules off
(``pool_options.NON_ADAPTIVE``). Every decision looks at one list of queued and one of running tickets.
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
    """Decide like a pool without adaptive rules; slow and easy to check by reading."""

    def __init__(self, *, name: str, options: pool_options.PoolOptions) -> None:
        """Create an empty pool; only the options that ``PLAIN`` leaves on are read."""
        self._name = name
        self._options = options
        self._queued: list[_Queued] = []
        self._running: list[_Running] = []
        self._finished: dict[str, ticket.Shed | None] = {}
        self._announcement_by_id: dict[str, upstream.Announcement] = {}
        self._granted_by_upstream: dict[str, int] = {}
        self._grants = 0
        self._numbers = 0
        self._drained: tuple[str, ...] = ()
        self._default_slots = 1
        self._accounts = _account_limiter.AccountLimiter()
        self._used_by_tier: dict[int, dict[str, float]] = {}
        self._virtual_by_tier: dict[int, float] = {}
        self._unusable_since: float | None = None
        self._actions: list[Any] = []

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event at a monotonic time in seconds and return grants and sheds."""
        self._actions = []
        self._apply(event, now)
        self._expire(now)
        self._start(now)
        while len(self._queued) > self._options.max_queued:
            self._shed(self._first_to_shed(), ticket.ShedReason.OVERLOADED)
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
        known = self._announcement_by_id.get(announcement.upstream_id)
        if known is None or known.incarnation < announcement.incarnation:
            self._granted_by_upstream.pop(announcement.upstream_id, None)
        elif known.state == upstream.UpstreamState.LEAVING:
            return
        self._announcement_by_id[announcement.upstream_id] = announcement

    def _arrive(self, item: ticket.Ticket, now: float) -> None:
        running = [held for held in self._running if held.item.ticket_id == item.ticket_id]
        if running:
            self._actions.append(running[0].grant)
            return
        if item.ticket_id in self._finished:
            shed = self._finished[item.ticket_id]
            self._actions.extend([] if shed is None else [shed])
            return
        if any(held.item.ticket_id == item.ticket_id for held in self._queued):
            return
        resumed = item.resume_offset > 0
        refused = self._refusal(item, resumed, now)
        if refused is not None:
            self._answer(item, refused)
            return
        self._accounts.admitted(item.account, counted=not resumed)
        self._push(item, now - item.waited_s, now + item.time_left_s, resumed)

    def _refusal(self, item: ticket.Ticket, resumed: bool, now: float) -> ticket.ShedReason | None:
        if not resumed and self._accounts.wait_s(item.account, now, 1.0) > 0:
            return ticket.ShedReason.ACCOUNT_LIMIT
        return ticket.ShedReason.HOPELESS if item.time_left_s <= 0 else None

    def _push(self, item: ticket.Ticket, arrived: float, expires_at: float, head: bool) -> None:
        self._numbers += 1
        self._queued.append(_Queued(item, self._numbers, arrived, expires_at, head))

    def _end(self, event: ticket.Release | ticket.Withdraw) -> None:
        tokens = event.tokens if isinstance(event, ticket.Release) else 0
        for held in list(self._queued):
            if held.item.ticket_id == event.ticket_id:
                self._queued.remove(held)
                self._accounts.ended(held.item.account, 0)
        for started in list(self._running):
            if started.item.ticket_id == event.ticket_id:
                self._running.remove(started)
                self._accounts.ended(started.item.account, tokens)
        self._finished.setdefault(event.ticket_id, None)

    def _expire(self, now: float) -> None:
        for held in sorted(self._queued, key=lambda held: (held.expires_at, held.number)):
            if held.expires_at <= now:
                self._shed(held, ticket.ShedReason.HOPELESS)
        for started in list(self._running):
            if started.expires_at <= now:
                self._running.remove(started)
                self._accounts.ended(started.item.account, 0)
                self._finished[started.item.ticket_id] = None
        if any(self._is_usable(upstream_id) for upstream_id in self._announcement_by_id):
            self._unusable_since = None
            return
        if self._unusable_since is None:
            self._unusable_since = now
        if now - self._unusable_since >= self._options.no_upstream_grace_s:
            while self._queued:
                self._shed(self._first_to_shed(), ticket.ShedReason.NO_UPSTREAM)

    def _first_to_shed(self) -> _Queued:
        return max(self._queued, key=lambda held: (held.item.tier, held.arrived, held.number))

    def _shed(self, held: _Queued, reason: ticket.ShedReason) -> None:
        self._queued.remove(held)
        self._accounts.ended(held.item.account, 0)
        self._answer(held.item, reason)

    def _answer(self, item: ticket.Ticket, reason: ticket.ShedReason) -> None:
        shed = ticket.Shed(item.ticket_id, item.entry_id, self._name, reason, 0.0)
        self._finished[item.ticket_id] = shed
        self._actions.append(shed)

    def _start(self, now: float) -> None:
        while self._queued:
            tier = min(held.item.tier for held in self._queued)
            held = self._first_of(tier)
            chosen = self._place()
            if chosen is None:
                return
            self._queued.remove(held)
            if not held.at_head:
                self._charge(tier, held.item.account)
            self._grant(held, chosen)

    def _first_of(self, tier: int) -> _Queued:
        of_tier = [held for held in self._queued if held.item.tier == tier]
        resumed = [held for held in of_tier if held.at_head]
        if resumed:
            return min(resumed, key=lambda held: (held.arrived, held.number))
        least_used = min(self._start_tag(tier, held.item.account) for held in of_tier)
        fair = [held for held in of_tier if self._start_tag(tier, held.item.account) == least_used]
        return min(fair, key=lambda held: (held.arrived, held.number))

    def _start_tag(self, tier: int, account: str) -> float:
        used = self._used_by_tier.get(tier, {}).get(account, 0.0)
        return max(self._virtual_by_tier.get(tier, 0.0), used)

    def _charge(self, tier: int, account: str) -> None:
        tag = self._start_tag(tier, account)
        self._virtual_by_tier[tier] = tag
        used = self._used_by_tier.setdefault(tier, {})
        used[account] = tag + 1.0 / self._accounts.weight(account)

    def _place(self) -> str | None:
        load_by_id = {
            upstream_id: self._share(upstream_id)
            for upstream_id in self._announcement_by_id
            if self._is_usable(upstream_id)
        }
        free = [upstream_id for upstream_id, share in load_by_id.items() if share <= 1.0]
        if not free:
            return None
        return min(
            free,
            key=lambda known: (load_by_id[known], self._granted_by_upstream.get(known, 0), known),
        )

    def _share(self, upstream_id: str) -> float:
        announcement = self._announcement_by_id[upstream_id]
        slots = announcement.slots or self._default_slots
        here = (upstream_id, announcement.incarnation)
        running = sum((held.upstream_id, held.incarnation) == here for held in self._running)
        return (running + 1) / slots if slots else math.inf

    def _is_usable(self, upstream_id: str) -> bool:
        ready = self._announcement_by_id[upstream_id].state == upstream.UpstreamState.READY
        return ready and upstream_id not in self._drained

    def _grant(self, held: _Queued, upstream_id: str) -> None:
        item = held.item
        announcement = self._announcement_by_id[upstream_id]
        grant = ticket.Grant(
            item.ticket_id, item.entry_id, self._name, upstream_id, announcement.address
        )
        self._grants += 1
        self._granted_by_upstream[upstream_id] = self._grants
        expires_at = held.expires_at + self._options.release_grace_s
        self._running.append(
            _Running(item, upstream_id, announcement.incarnation, expires_at, grant)
        )
        self._actions.append(grant)

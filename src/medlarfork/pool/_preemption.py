"""Choose which running ticket to preempt, and bound how often that happens."""

from __future__ import annotations

import collections
import heapq
import itertools
import math
from collections.abc import Callable

from medlarfork.pool import _pool_ticket, _token_bucket, pool_options

_ASK_AGAIN_S = 1.0
"""How long an unanswered preemption counts as a slot about to be freed, in seconds."""
_MAX_LOOKS = 32
"""Running tickets looked at for one preemption."""
_MAX_REQUESTS = 8192
"""Preempted requests remembered; the oldest go first."""

_Candidate = tuple[int, float, int, _pool_ticket.RunningTicket]
"""Times preempted, start time negated, a number that settles ties, and the ticket."""


class Preemption:
    """Hold the tickets that may be preempted, by tier.

    The least often preempted go first, so that no few requests bear it all, and among them the
    most recently started.
    """

    def __init__(self, options: pool_options.PoolOptions) -> None:
        """Create an empty set."""
        self._options = options
        self._bucket: _token_bucket.TokenBucket | None = None
        self._heap_by_tier: dict[int, list[_Candidate]] = {}
        self._number = itertools.count()
        self._asked: collections.OrderedDict[str, _pool_ticket.RunningTicket]
        self._asked = collections.OrderedDict()
        self._suffered_by_request: collections.OrderedDict[str, tuple[int, float]]
        self._suffered_by_request = collections.OrderedDict()

    def add(self, running: _pool_ticket.RunningTicket) -> None:
        """Add a ticket that has started; one that may not be preempted is not kept."""
        item = running.ticket
        if not (item.preemptible and item.repeatable) or running.by_floor:
            return
        heap = self._heap_by_tier.setdefault(item.tier, [])
        times, _ = self._suffering(running)
        heapq.heappush(heap, (times, -running.started, next(self._number), running))

    def trim(self, running_by_tier: dict[int, int]) -> None:
        """Drop ended tickets once they outnumber the running ones."""
        for tier, heap in tuple(self._heap_by_tier.items()):
            if len(heap) > 2 * running_by_tier.get(tier, 0) + _MAX_LOOKS:
                live = [item for item in heap if item[3].live]
                heapq.heapify(live)
                self._heap_by_tier[tier] = live
                if not live:
                    del self._heap_by_tier[tier]

    def suffered(self, ticket_id: str) -> bool:
        """Return whether the ticket's request was preempted before."""
        return _pool_ticket.request_key(ticket_id) in self._suffered_by_request

    def ended(self, running: _pool_ticket.RunningTicket, *, preempted: bool, now: float) -> None:
        """Note that a ticket has ended, by preemption or otherwise."""
        self._asked.pop(running.ticket.ticket_id, None)
        key = _pool_ticket.request_key(running.ticket.ticket_id)
        if not preempted:
            self._suffered_by_request.pop(key, None)
            return
        times = self._suffered_by_request.pop(key, (0, 0.0))[0]
        self._suffered_by_request[key] = (times + 1, now)
        if len(self._suffered_by_request) > _MAX_REQUESTS:
            self._suffered_by_request.popitem(last=False)

    def pending(self, now: float) -> int:
        """Return how many preemptions have been asked for and will free a slot soon."""
        while self._asked:
            oldest = next(iter(self._asked.values()))
            if self._is_pending(oldest, now):
                break
            del self._asked[oldest.ticket.ticket_id]
        return len(self._asked)

    def choose(
        self,
        above: int,
        spare: Callable[[int], bool],
        slots: int,
        now: float,
    ) -> _pool_ticket.RunningTicket | None:
        """Return a ticket of a tier lower than ``above`` to preempt, the lowest tier first.

        Args:
            above: Tier that needs the slot.
            spare: Returns whether a tier runs more than its floor.
            slots: The pool's slots, by which the rate is bounded.
            now: Monotonic time in seconds.
        """
        if self._bucket is None or self._bucket.burst != slots:
            rate = self._options.preempt_per_slot_s * slots
            self._bucket = _token_bucket.TokenBucket(rate, slots, now)
        if self._bucket.wait_s(now, 1.0) > 0:
            return None
        for tier in sorted(self._heap_by_tier, reverse=True):
            if tier <= above:
                return None
            chosen = self._latest(tier, now) if spare(tier) else None
            if chosen is not None:
                self._bucket.take(1.0)
                chosen.preempt_asked = now
                self._asked[chosen.ticket.ticket_id] = chosen
                return chosen
        return None

    def _latest(self, tier: int, now: float) -> _pool_ticket.RunningTicket | None:
        heap = self._heap_by_tier[tier]
        aside = []
        chosen = None
        while heap and chosen is None and len(aside) < _MAX_LOOKS:
            item = heapq.heappop(heap)
            if not item[3].live:
                continue
            aside.append(item)
            if self._is_allowed(item[3], now):
                chosen = item[3]
        for item in aside:
            heapq.heappush(heap, item)
        return chosen

    def _is_allowed(self, running: _pool_ticket.RunningTicket, now: float) -> bool:
        if running.orphaned or running.stalled_at is not None or self._is_pending(running, now):
            return False
        times, last = self._suffering(running)
        if times >= self._options.preempt_per_request:
            return False
        return now - last >= self._options.preempt_cooldown_s

    def _suffering(self, running: _pool_ticket.RunningTicket) -> tuple[int, float]:
        key = _pool_ticket.request_key(running.ticket.ticket_id)
        return self._suffered_by_request.get(key, (0, -math.inf))

    def _is_pending(self, running: _pool_ticket.RunningTicket, now: float) -> bool:
        asked = running.preempt_asked
        return running.live and asked is not None and now - asked < _ASK_AGAIN_S

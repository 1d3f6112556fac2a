"""Preemption: which running ticket to preempt, and how often."""

from __future__ import annotations

import collections
import heapq
import itertools
import math
from collections.abc import Callable

from medlarfork.pool import _pool_ticket, _token_bucket, pool_options

_PENDING_TIMEOUT_S = 1.0
"""How long a requested preemption counts as a slot about to be freed, in seconds."""
_MAX_EXAMINED = 32
"""Running tickets of a tier examined for one preemption."""
_MAX_REQUESTS = 8192
"""Preempted requests kept; the least recently preempted are evicted first."""

_Candidate = tuple[int, float, int, _pool_ticket.RunningTicket]
"""Number of preemptions, negated start time, sequence number as tie-breaker, and the ticket."""


class Preemption:
    """Hold the preemptible running tickets, by tier.

    The least often preempted ticket is chosen first, so that preemptions are spread over requests;
    among equals, the most recently started one.
    """

    def __init__(self, options: pool_options.PoolOptions) -> None:
        """Start without tickets."""
        self._options = options
        self._bucket: _token_bucket.TokenBucket | None = None
        self._heap_by_tier: dict[int, list[_Candidate]] = {}
        self._sequence = itertools.count()
        self._pending_by_id: collections.OrderedDict[str, _pool_ticket.RunningTicket]
        self._pending_by_id = collections.OrderedDict()
        self._preemptions_by_request: collections.OrderedDict[str, tuple[int, float]]
        self._preemptions_by_request = collections.OrderedDict()

    def add(self, running: _pool_ticket.RunningTicket) -> None:
        """Add a started ticket; one that may not be preempted is ignored."""
        item = running.ticket
        if not (item.preemptible and item.repeatable) or running.by_floor:
            return
        heap = self._heap_by_tier.setdefault(item.tier, [])
        count, _ = self._preemption_history(running)
        heapq.heappush(heap, (count, -running.started, next(self._sequence), running))

    def trim(self, running_by_tier: dict[int, int]) -> None:
        """Drop finished tickets from a heap that holds many more than are running."""
        for tier, heap in tuple(self._heap_by_tier.items()):
            if len(heap) > 2 * running_by_tier.get(tier, 0) + _MAX_EXAMINED:
                live = [item for item in heap if item[3].live]
                heapq.heapify(live)
                self._heap_by_tier[tier] = live
                if not live:
                    del self._heap_by_tier[tier]

    def was_preempted(self, ticket_id: str) -> bool:
        """Return whether an earlier ticket of the request was preempted."""
        return _pool_ticket.request_key(ticket_id) in self._preemptions_by_request

    def record_end(
        self, running: _pool_ticket.RunningTicket, *, preempted: bool, now: float
    ) -> None:
        """Record the end of a ticket, by preemption or otherwise."""
        self._pending_by_id.pop(running.ticket.ticket_id, None)
        key = _pool_ticket.request_key(running.ticket.ticket_id)
        if not preempted:
            self._preemptions_by_request.pop(key, None)
            return
        count = self._preemptions_by_request.pop(key, (0, 0.0))[0]
        self._preemptions_by_request[key] = (count + 1, now)
        if len(self._preemptions_by_request) > _MAX_REQUESTS:
            self._preemptions_by_request.popitem(last=False)

    def count_pending(self, now: float) -> int:
        """Return how many requested preemptions are expected to free a slot soon."""
        while self._pending_by_id:
            oldest = next(iter(self._pending_by_id.values()))
            if self._is_pending(oldest, now):
                break
            del self._pending_by_id[oldest.ticket.ticket_id]
        return len(self._pending_by_id)

    def choose_victim(
        self,
        needing_tier: int,
        may_preempt: Callable[[int], bool],
        slots: int,
        now: float,
    ) -> _pool_ticket.RunningTicket | None:
        """Return a ticket to preempt from a tier below ``needing_tier``, the lowest tier first.

        Args:
            needing_tier: Tier that needs the slot.
            may_preempt: Returns whether a tier runs more than its floor.
            slots: The pool's slots; they scale the preemption rate limit.
            now: Monotonic time in seconds.
        """
        if self._bucket is None or self._bucket.burst != slots:
            rate = self._options.preempt_per_slot_s * slots
            self._bucket = _token_bucket.TokenBucket(rate, slots, now)
        if self._bucket.wait_s(now, 1.0) > 0:
            return None
        for tier in sorted(self._heap_by_tier, reverse=True):
            if tier <= needing_tier:
                return None
            chosen = self._first_allowed(tier, now) if may_preempt(tier) else None
            if chosen is not None:
                self._bucket.consume(1.0)
                chosen.preempt_requested_at = now
                self._pending_by_id[chosen.ticket.ticket_id] = chosen
                return chosen
        return None

    def _first_allowed(self, tier: int, now: float) -> _pool_ticket.RunningTicket | None:
        heap = self._heap_by_tier[tier]
        examined = []
        chosen = None
        while heap and chosen is None and len(examined) < _MAX_EXAMINED:
            item = heapq.heappop(heap)
            if not item[3].live:
                continue
            examined.append(item)
            if self._is_allowed(item[3], now):
                chosen = item[3]
        for item in examined:
            heapq.heappush(heap, item)
        return chosen

    def _is_allowed(self, running: _pool_ticket.RunningTicket, now: float) -> bool:
        if (
            running.orphaned
            or running.recall_requested_at is not None
            or self._is_pending(running, now)
        ):
            return False
        count, last_at = self._preemption_history(running)
        if count >= self._options.preempt_per_request:
            return False
        return now - last_at >= self._options.preempt_cooldown_s

    def _preemption_history(self, running: _pool_ticket.RunningTicket) -> tuple[int, float]:
        key = _pool_ticket.request_key(running.ticket.ticket_id)
        return self._preemptions_by_request.get(key, (0, -math.inf))

    def _is_pending(self, running: _pool_ticket.RunningTicket, now: float) -> bool:
        requested_at = running.preempt_requested_at
        return running.live and requested_at is not None and now - requested_at < _PENDING_TIMEOUT_S

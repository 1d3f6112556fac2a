"""Queue of one tier: weighted fair queueing between accounts, ordered within each account."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from medlarfork import ticket
from medlarfork.pool import _pool_ticket

CostOf = Callable[[ticket.Ticket], float]
"""Return a ticket's cost to its account: its slot time divided by the account's weight."""

_MAX_STALE = 64
"""Stale entries that a heap may hold before it is rebuilt, besides one for each queued ticket."""
_MAX_ACCOUNTS = 1024
"""Accounts whose virtual finish times are kept before those already passed are dropped."""

_Item = tuple[float, int, _pool_ticket.QueuedTicket]
"""Sort key, sequence number as tie-breaker, and the ticket."""
_Position = tuple[float, float, int, str]
"""An account's start tag, the sort key and sequence number of its first ticket, and its name."""


class _VirtualClock:
    """Virtual time of the accounts: an account's use of the tier divided by its weight."""

    def __init__(self) -> None:
        self.now = 0.0
        self._finish_by_account: dict[str, float] = {}

    def start_tag(self, account: str) -> float:
        """Return the virtual time at which the account's next ticket starts."""
        return max(self.now, self._finish_by_account.get(account, 0.0))

    def charge(self, account: str, cost: float) -> None:
        """Charge an account for a started ticket; idle time earns it no credit."""
        tag = self.start_tag(account)
        self.now = max(self.now, tag)
        self._finish_by_account[account] = tag + cost
        if len(self._finish_by_account) > _MAX_ACCOUNTS:
            self._evict_past()

    def _evict_past(self) -> None:
        ahead = {
            account: finish
            for account, finish in self._finish_by_account.items()
            if finish > self.now
        }
        self._finish_by_account = ahead


class _FairQueue:
    """Fair queue of one heap per account, with a heap of the accounts by virtual time.

    Accounts of equal virtual time are ordered by their first tickets. An account's position is
    checked when it is popped, because its virtual time or first ticket may have changed since.
    """

    def __init__(self, clock: _VirtualClock) -> None:
        self._clock = clock
        self._heap_by_account: dict[str, list[_Item]] = {}
        self._position_by_account: dict[str, _Position] = {}
        self._account_heap: list[_Position] = []
        self._sequence = itertools.count()

    def push(self, queued: _pool_ticket.QueuedTicket, key: float) -> None:
        """Add a ticket to its account; the lowest key starts first."""
        account = queued.ticket.account
        heap = self._heap_by_account.setdefault(account, [])
        item = (key, next(self._sequence), queued)
        heapq.heappush(heap, item)
        if heap[0] is item:
            self._update_position(account)

    def pop(self) -> _pool_ticket.QueuedTicket | None:
        """Remove and return the first queued ticket of the account with the lowest start tag."""
        while self._account_heap:
            position = heapq.heappop(self._account_heap)
            account = position[3]
            if self._position_by_account.get(account) is not position:
                continue
            current = self._current_position(account)
            if current is None:
                self._remove_account(account)
            elif current != position:
                self._update_position(account)
            else:
                return self._pop_first(account)
        return None

    def rebuild(self) -> None:
        """Drop the entries of tickets that are no longer queued."""
        heaps = self._heap_by_account
        self._heap_by_account = {}
        self._position_by_account = {}
        self._account_heap = []
        for account, heap in heaps.items():
            live = [item for item in heap if item[2].live]
            if live:
                heapq.heapify(live)
                self._heap_by_account[account] = live
                self._update_position(account)

    def _pop_first(self, account: str) -> _pool_ticket.QueuedTicket:
        heap = self._heap_by_account[account]
        queued = heapq.heappop(heap)[2]
        if heap:
            self._update_position(account)
        else:
            self._remove_account(account)
        return queued

    def _update_position(self, account: str) -> None:
        position = self._current_position(account)
        if position is None:
            self._remove_account(account)
            return
        self._position_by_account[account] = position
        heapq.heappush(self._account_heap, position)

    def _current_position(self, account: str) -> _Position | None:
        heap = self._heap_by_account[account]
        while heap and not heap[0][2].live:
            heapq.heappop(heap)
        return (self._clock.start_tag(account), *heap[0][:2], account) if heap else None

    def _remove_account(self, account: str) -> None:
        del self._heap_by_account[account]
        self._position_by_account.pop(account, None)


class TierQueue:
    """Queue the tickets of one tier.

    Resumed tickets come first, by arrival, then those that can still meet their target. With
    ``late_last``, tickets that can no longer meet it come last, the newest first.
    """

    def __init__(self, *, late_last: bool) -> None:
        """Create an empty queue."""
        self._late_last = late_last
        self._clock = _VirtualClock()
        self._resumed: list[_Item] = []
        self._on_time = _FairQueue(self._clock)
        self._late = _FairQueue(self._clock)
        self._newest: list[_Item] = []
        self._sequence = itertools.count()
        self._count = 0

    def __len__(self) -> int:
        """Return the number of queued tickets."""
        return self._count

    def push(self, queued: _pool_ticket.QueuedTicket, *, at_head: bool) -> None:
        """Add a ticket, at the head of the tier if its request has been started before."""
        number = next(self._sequence)
        heapq.heappush(self._newest, (-queued.arrived, -number, queued))
        self._count += 1
        if at_head:
            heapq.heappush(self._resumed, (queued.arrived, number, queued))
        else:
            self._on_time.push(queued, queued.order_key)

    def pop(self, now: float, cost_of: CostOf) -> _pool_ticket.QueuedTicket:
        """Remove and return the ticket to start next; the queue must not be empty."""
        queued = self._pop_resumed()
        if queued is None:
            queued = self._pop_on_time(now)
            if queued is None:
                queued = self._late.pop()
            if queued is None:
                raise IndexError("pop from an empty queue")
            self._clock.charge(queued.ticket.account, cost_of(queued.ticket))
        self.remove(queued)
        return queued

    def remove(self, queued: _pool_ticket.QueuedTicket) -> None:
        """Remove a ticket; its heap entries become stale and are dropped later."""
        queued.live = False
        self._count -= 1
        if len(self._newest) > 2 * self._count + _MAX_STALE:
            self._rebuild()

    def newest(self) -> _pool_ticket.QueuedTicket | None:
        """Return the ticket that arrived last, which is shed first."""
        while self._newest and not self._newest[0][2].live:
            heapq.heappop(self._newest)
        return self._newest[0][2] if self._newest else None

    def _pop_resumed(self) -> _pool_ticket.QueuedTicket | None:
        while self._resumed:
            queued = heapq.heappop(self._resumed)[2]
            if queued.live:
                return queued
        return None

    def _pop_on_time(self, now: float) -> _pool_ticket.QueuedTicket | None:
        while (queued := self._on_time.pop()) is not None:
            if not self._late_last or queued.latest_start >= now:
                return queued
            self._late.push(queued, -queued.arrived)
        return None

    def _rebuild(self) -> None:
        self._newest = [item for item in self._newest if item[2].live]
        heapq.heapify(self._newest)
        self._resumed = [item for item in self._resumed if item[2].live]
        heapq.heapify(self._resumed)
        self._on_time.rebuild()
        self._late.rebuild()

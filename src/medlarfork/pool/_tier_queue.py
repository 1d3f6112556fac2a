"""Queue one tier's tickets: fair between accounts, ordered within each account."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from medlarfork import ticket
from medlarfork.pool import _pool_ticket

CostOf = Callable[[ticket.Ticket], float]
"""Return what a ticket costs its account: its slot time divided by the account's weight."""

_SLACK = 64
"""Withdrawn entries that a heap may hold beyond its live ones before it is rebuilt."""
_MAX_IDLE_ACCOUNTS = 1024
"""Accounts without queued tickets whose past use is remembered."""

_Item = tuple[float, int, _pool_ticket.QueuedTicket]
"""Key, a number that settles ties, and the ticket."""
_Place = tuple[float, float, int, str]
"""An account's virtual time, the key and number of its first ticket, and its name."""


class _FairClock:
    """Keep each account's virtual time: its use of the tier divided by its weight."""

    def __init__(self) -> None:
        self.now = 0.0
        self._finish_by_account: dict[str, float] = {}

    def tag(self, account: str) -> float:
        """Return when the account's next ticket starts in virtual time."""
        return max(self.now, self._finish_by_account.get(account, 0.0))

    def charge(self, account: str, cost: float) -> None:
        """Count a start; an account that was idle gains nothing from its idle time."""
        start = self.tag(account)
        self.now = max(self.now, start)
        self._finish_by_account[account] = start + cost
        if len(self._finish_by_account) > _MAX_IDLE_ACCOUNTS:
            self._forget_idle()

    def _forget_idle(self) -> None:
        ahead = {name: tag for name, tag in self._finish_by_account.items() if tag > self.now}
        self._finish_by_account = ahead


class _FairLane:
    """Hold queued tickets in one heap per account, and the accounts by virtual time.

    Accounts of equal virtual time go by their first tickets. An account's place is looked up
    again when it is reached, since its virtual time or first ticket may have changed meanwhile.
    """

    def __init__(self, clock: _FairClock) -> None:
        self._clock = clock
        self._heap_by_account: dict[str, list[_Item]] = {}
        self._place_by_account: dict[str, _Place] = {}
        self._places: list[_Place] = []
        self._number = itertools.count()

    def push(self, entry: _pool_ticket.QueuedTicket, key: float) -> None:
        """Add a ticket to its account; the lowest key starts first."""
        account = entry.ticket.account
        heap = self._heap_by_account.setdefault(account, [])
        item = (key, next(self._number), entry)
        heapq.heappush(heap, item)
        if heap[0] is item:
            self._place(account)

    def pop(self) -> _pool_ticket.QueuedTicket | None:
        """Take the first live ticket of the account that has used least."""
        while self._places:
            place = heapq.heappop(self._places)
            account = place[3]
            if self._place_by_account.get(account) is not place:
                continue
            current = self._current_place(account)
            if current is None:
                self._remove_account(account)
            elif current != place:
                self._place(account)
            else:
                return self._take_first(account)
        return None

    def rebuild(self) -> None:
        """Drop tickets that are not queued any more."""
        heaps = self._heap_by_account
        self._heap_by_account = {}
        self._place_by_account = {}
        self._places = []
        for account, heap in heaps.items():
            live = [item for item in heap if item[2].live]
            if live:
                heapq.heapify(live)
                self._heap_by_account[account] = live
                self._place(account)

    def _take_first(self, account: str) -> _pool_ticket.QueuedTicket:
        heap = self._heap_by_account[account]
        entry = heapq.heappop(heap)[2]
        if heap:
            self._place(account)
        else:
            self._remove_account(account)
        return entry

    def _place(self, account: str) -> None:
        place = self._current_place(account)
        if place is None:
            self._remove_account(account)
            return
        self._place_by_account[account] = place
        heapq.heappush(self._places, place)

    def _current_place(self, account: str) -> _Place | None:
        heap = self._heap_by_account[account]
        while heap and not heap[0][2].live:
            heapq.heappop(heap)
        return (self._clock.tag(account), *heap[0][:2], account) if heap else None

    def _remove_account(self, account: str) -> None:
        del self._heap_by_account[account]
        self._place_by_account.pop(account, None)


class TierQueue:
    """Queue the tickets of one tier.

    Resumed tickets come first, by arrival. Then come those that can still meet their target,
    and last those that must miss it.
    """

    def __init__(self, *, late_last: bool) -> None:
        """Create an empty queue."""
        self._late_last = late_last
        self._clock = _FairClock()
        self._resumed: list[_Item] = []
        self._on_time = _FairLane(self._clock)
        self._late = _FairLane(self._clock)
        self._newest: list[_Item] = []
        self._number = itertools.count()
        self._count = 0

    def __len__(self) -> int:
        """Return the number of queued tickets."""
        return self._count

    def push(self, entry: _pool_ticket.QueuedTicket, *, at_head: bool) -> None:
        """Queue a ticket, at the head of the tier if it was started before."""
        number = next(self._number)
        heapq.heappush(self._newest, (-entry.arrived, -number, entry))
        self._count += 1
        if at_head:
            heapq.heappush(self._resumed, (entry.arrived, number, entry))
        else:
            self._on_time.push(entry, entry.order_key)

    def pop(self, now: float, cost_of: CostOf) -> _pool_ticket.QueuedTicket:
        """Take the ticket to start next; the queue must not be empty."""
        entry = self._pop_resumed()
        if entry is None:
            entry = self._pop_on_time(now)
            if entry is None:
                entry = self._late.pop()
            if entry is None:
                raise IndexError("pop from an empty queue")
            self._clock.charge(entry.ticket.account, cost_of(entry.ticket))
        self.remove(entry)
        return entry

    def remove(self, entry: _pool_ticket.QueuedTicket) -> None:
        """Take a ticket out, wherever it stands; its heap entries go later."""
        entry.live = False
        self._count -= 1
        if len(self._newest) > 2 * self._count + _SLACK:
            self._rebuild()

    def newest(self) -> _pool_ticket.QueuedTicket | None:
        """Return the ticket that arrived last, the first to be shed."""
        while self._newest and not self._newest[0][2].live:
            heapq.heappop(self._newest)
        return self._newest[0][2] if self._newest else None

    def _pop_resumed(self) -> _pool_ticket.QueuedTicket | None:
        while self._resumed:
            entry = heapq.heappop(self._resumed)[2]
            if entry.live:
                return entry
        return None

    def _pop_on_time(self, now: float) -> _pool_ticket.QueuedTicket | None:
        while (entry := self._on_time.pop()) is not None:
            if not self._late_last or entry.latest_start >= now:
                return entry
            self._late.push(entry, -entry.arrived)
        return None

    def _rebuild(self) -> None:
        self._newest = [item for item in self._newest if item[2].live]
        heapq.heapify(self._newest)
        self._resumed = [item for item in self._resumed if item[2].live]
        heapq.heapify(self._resumed)
        self._on_time.rebuild()
        self._late.rebuild()

"""Priority queue of the requests that wait for an upstream."""

from __future__ import annotations

import bisect
import collections
import math
from collections.abc import Callable, Iterator

from medlarfork.placement import account_shares, kind_queue, waiting_request

WaitingRequest = waiting_request.WaitingRequest

MAX_WAITING = 2000
"""Longest queue, in requests; beyond it new ones are refused, which bounds memory."""


class WaitQueue:
    """Keep queued requests sorted. Pure: no I/O, no clock.

    The highest tier goes first, then the shortest target; ``kind_queue`` has the order inside a
    kind.
    """

    def __init__(self, shares: account_shares.AccountShares | None = None) -> None:
        """Start with an empty queue.

        Args:
            shares: The upstream time charged to accounts; None to start without charges.
        """
        self._shares = shares or account_shares.AccountShares()
        self._by_ticket: dict[str, WaitingRequest] = {}
        self._queue_by_kind: dict[account_shares.Kind, kind_queue.KindQueue] = {}
        self._latest_starts: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._by_ticket)

    def __contains__(self, ticket_id: str) -> bool:
        """Return whether a request is queued."""
        return ticket_id in self._by_ticket

    @property
    def is_full(self) -> bool:
        """Return whether a further request would exceed the longest queue."""
        return len(self._by_ticket) >= MAX_WAITING

    @property
    def prefill_ms(self) -> float:
        """Return the prefill of all queued requests, in milliseconds."""
        return sum(waiting.prefill_ms for waiting in self._by_ticket.values())

    def count_by_account(self) -> dict[str, int]:
        """Return the number of queued requests of each account."""
        counts: collections.Counter[str] = collections.Counter()
        for queue in self._queue_by_kind.values():
            for account, items in queue.items_by_account.items():
                counts[account] += len(items)
        return dict(counts)

    def in_order(
        self, now: float, may_start: Callable[[account_shares.Kind], bool] = lambda kind: True
    ) -> Iterator[WaitingRequest]:
        """Return the queued requests that may start, the first to start first.

        Those whose latest useful start has passed follow, whether or not they may start.

        Args:
            now: The time in seconds.
            may_start: Whether requests of a kind may still start; asked before each of them.
        """
        for kind in sorted(self._queue_by_kind):
            if may_start(kind):
                yield from self._queue_by_kind[kind].in_order(now, may_start)
        yield from self._past_latest_start(now)

    def _past_latest_start(self, now: float) -> tuple[WaitingRequest, ...]:
        """Return the requests whose latest useful start has passed, the most overdue first."""
        count = bisect.bisect_right(self._latest_starts, now, key=lambda item: item[0])
        return tuple(self._by_ticket[ticket_id] for _, ticket_id in self._latest_starts[:count])

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request that is not queued yet."""
        ticket_id = waiting.request.ticket_id
        self._by_ticket[ticket_id] = waiting
        queue = self._queue_by_kind.get(waiting.kind)
        if queue is None:
            queue = kind_queue.KindQueue(waiting.kind, self._shares)
            self._queue_by_kind[waiting.kind] = queue
        queue.add(waiting)
        bisect.insort(self._latest_starts, (waiting.latest_start, ticket_id))

    def remove(self, ticket_id: str) -> None:
        """Remove a request, if it is queued."""
        waiting = self._by_ticket.pop(ticket_id, None)
        if waiting is None:
            return
        queue = self._queue_by_kind[waiting.kind]
        queue.remove(waiting)
        if not queue.items_by_account:
            del self._queue_by_kind[waiting.kind]
        latest_start = (waiting.latest_start, ticket_id)
        del self._latest_starts[bisect.bisect_left(self._latest_starts, latest_start)]

    def remove_entry(self, entry_id: str) -> None:
        """Remove the requests of an entry host."""
        for ticket_id, waiting in tuple(self._by_ticket.items()):
            if waiting.entry_id == entry_id:
                self.remove(ticket_id)

    def with_constraints(self) -> tuple[WaitingRequest, ...]:
        """Return the queued requests that only some upstreams may run."""
        return tuple(
            waiting
            for waiting in self._by_ticket.values()
            if waiting.request.excluded or waiting.request.version is not None
        )

    def is_fair(self, kind: account_shares.Kind, newcomer: str = "") -> bool:
        """Return whether at least two accounts have requests of a kind.

        Args:
            kind: The kind.
            newcomer: An account that has a request besides the queued ones; empty for none.
        """
        queue = self._queue_by_kind.get(kind)
        return queue is not None and queue.is_fair(newcomer)

    def first_before(self, waiting: WaitingRequest, now: float) -> WaitingRequest | None:
        """Return the first request of the same kind if it goes before a new one."""
        queue = self._queue_by_kind.get(waiting.kind)
        return None if queue is None else queue.first_before(waiting, now)

    def has_more_urgent(self, kind: account_shares.Kind) -> bool:
        """Return whether requests of a kind that goes before another one are queued."""
        return any(other < kind for other in self._queue_by_kind)

    def first_returning(self, now: float) -> WaitingRequest | None:
        """Return the first request of the queue if it is a scheduled retry."""
        if not self._queue_by_kind:
            return None
        queue = self._queue_by_kind[min(self._queue_by_kind)]
        if not queue.has_returning:
            return None
        first = next(queue.in_order(now, lambda kind: True))
        return first if first.is_returning else None

    def displace(self, newcomer: WaitingRequest) -> tuple[WaitingRequest, str]:
        """Return the request to refuse if a new one finds the queue full, and the reason.

        It is removed if it is queued. It is the newest request of the account of the lowest tier
        that exceeds its share most: the one with the most upstream time charged and queued. If
        fewer than two accounts have requests, it is the new one, unless that has an account and
        goes before the newest request of the lowest tier.
        """
        counts = self.count_by_account()
        accounts = (counts.keys() | {newcomer.request.account}) - {""}
        tier = max(kind[0] for kind in self._queue_by_kind)
        goes_before = newcomer.request.tier < tier or newcomer.is_returning
        if len(accounts) < 2 and not (newcomer.request.account and goes_before):
            return newcomer, "the queue is full"
        refused = newcomer if newcomer.request.tier > tier else self._most_excessive(newcomer, tier)
        self.remove(refused.request.ticket_id)
        if len(accounts) < 2:
            return refused, "the queue is full"
        count = counts.get(refused.request.account, 0)
        total = sum(counts.values())
        why = (
            f"the queue is full, and its account has {count} of the {total} requests in it,"
            f" where an equal share is {total // len(accounts)}"
        )
        return refused, why

    def _most_excessive(self, newcomer: WaitingRequest, tier: int) -> WaitingRequest:
        """Return the newest request of the account that exceeds its share of a tier most.

        Scheduled retries count as older than new requests.
        """
        queued_ms_by_account: dict[str, float] = collections.defaultdict(float)
        newest_by_account: dict[str, WaitingRequest] = {}
        for kind, queue in self._queue_by_kind.items():
            if kind[0] != tier:
                continue
            slot_ms = self._shares.slot_cost_ms(kind)
            for account, items in queue.items_by_account.items():
                queued_ms = len(items) * slot_ms + sum(item.prefill_ms for item in items)
                queued_ms_by_account[account] += queued_ms
                newest = newest_by_account.get(account, items[-1])
                newest_by_account[account] = max(newest, items[-1], key=_newness)
        if newcomer.request.tier == tier:
            account = newcomer.request.account
            own_ms = self._shares.slot_cost_ms(newcomer.kind) + newcomer.prefill_ms
            queued_ms_by_account[account] += own_ms
            newest = newest_by_account.get(account, newcomer)
            newest_by_account[account] = max(newcomer, newest, key=_newness)
        virtual_ms = self._shares.virtual_ms(tier)
        charged_ms_by_account = self._shares.charged_ms_by_account(tier)

        def excess(account: str) -> tuple[float, bool]:
            start_ms = max(virtual_ms, charged_ms_by_account.get(account, 0.0))
            is_own = account == newcomer.request.account
            return start_ms + queued_ms_by_account[account], is_own

        return newest_by_account[max(queued_ms_by_account, key=excess)]

    def count_before(self, waiting: WaitingRequest, now: float = -math.inf) -> int:
        """Return how many requests start before a new one; without a time, as if none is late."""
        more_urgent = sum(len(items) for items in self._more_urgent(waiting.kind))
        return more_urgent + self.count_before_in_kind(waiting, now)

    def count_before_in_kind(self, waiting: WaitingRequest, now: float) -> int:
        """Return how many requests of its kind start before a new one."""
        return sum(1 for _ in self._before_in_kind(waiting, now))

    def prefill_ms_before(self, waiting: WaitingRequest, now: float) -> float:
        """Return the prefill of all requests that start before a new one, in milliseconds."""
        more_urgent_ms = sum(
            item.prefill_ms for items in self._more_urgent(waiting.kind) for item in items
        )
        before = self._before_in_kind(waiting, now)
        return more_urgent_ms + sum(item.prefill_ms for item in before)

    def holds_back_others(self, first: WaitingRequest) -> bool:
        """Return whether a queued request waits for its version before others that may start."""
        if first.request.version is None:
            return False
        items_by_account = self._queue_by_kind[first.kind].items_by_account
        return any(
            item.request.version is None for items in items_by_account.values() for item in items
        )

    def prefill_ms_of_version(self, version: str) -> float:
        """Return the prefill of all requests that need a version, in milliseconds."""
        waiting = self._by_ticket.values()
        return sum(item.prefill_ms for item in waiting if item.request.version == version)

    def _more_urgent(self, kind: account_shares.Kind) -> Iterator[list[WaitingRequest]]:
        """Return the requests of the kinds that start before one, by account."""
        for other, queue in self._queue_by_kind.items():
            if other < kind:
                yield from queue.items_by_account.values()

    def _before_in_kind(self, waiting: WaitingRequest, now: float) -> Iterator[WaitingRequest]:
        queue = self._queue_by_kind.get(waiting.kind)
        return iter(()) if queue is None else queue.before(waiting, now)


def _newness(waiting: WaitingRequest) -> tuple[bool, float]:
    return not waiting.is_returning, waiting.queued_at

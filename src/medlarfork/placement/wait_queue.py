"""Priority queue of the requests that wait for an upstream."""

from __future__ import annotations

import bisect
import collections
import dataclasses
import heapq
from collections.abc import Callable, Iterator, Sequence

from medlarfork.placement import account_shares, placement_messages

ANSWER_LATENCY_MS = 100.0
"""How long before its caller leaves a queued request is refused, in milliseconds: the latency of
the answer over two links."""

MAX_WAITING = 2000
"""Longest queue, in requests; beyond it new ones are refused, which bounds memory."""

SortKey = tuple[int, float, float, str]
"""Sort key of queued requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A queued request.

    Attributes:
        entry_id: The entry host that sent it.
        request: The placement request.
        queued_at: When it arrived, in seconds.
        prefill_ms: Its prefill on the engine that held its longest prefix on arrival, in
            milliseconds.
        decode_ms: How long its answer takes after the first event, in milliseconds.
        virtual_ms: The virtual time of its tier on arrival (see ``account_shares``).
    """

    entry_id: str
    request: placement_messages.PlaceRequest
    queued_at: float
    prefill_ms: float = 0.0
    decode_ms: float = 0.0
    virtual_ms: float = 0.0

    @property
    def deadline(self) -> float:
        """Return when its caller gives up, in seconds."""
        return self.queued_at + self.request.left_ms / 1000.0

    @property
    def answer_by(self) -> float:
        """Return when it is answered at the latest if it has not started: before its caller leaves.

        A caller that leaves is lost; one that gets a retry delay comes back.
        """
        wait_ms = max(0.0, self.request.max_wait_ms - ANSWER_LATENCY_MS)
        return self.queued_at + wait_ms / 1000.0

    @property
    def latest_start(self) -> float:
        """Return the latest start, in seconds, that is still of use to its caller.

        From it, the request ends before its caller gives up, and has an event before the caller
        leaves.
        """
        latest_to_end = self.deadline - (self.prefill_ms + self.decode_ms) / 1000.0
        return min(latest_to_end, self.answer_by - self.prefill_ms / 1000.0)

    def is_late(self, now: float) -> bool:
        """Return whether a request with a prompt has waited beyond its target."""
        target_ms = self.request.target_ms
        return bool(self.request.parts) and 0 < target_ms <= (now - self.queued_at) * 1000.0

    @property
    def kind(self) -> tuple[int, float]:
        """Return the group of requests with about the same prospects."""
        return self.request.tier, self.request.target_ms

    @property
    def order(self) -> SortKey:
        """Return the sort key: tier, then target, then age.

        Sorted by due time instead, overdue long prompts would go before every short one.
        """
        request = self.request
        return request.tier, request.target_ms, self.queued_at, request.ticket_id


class WaitQueue:
    """Keep queued requests sorted. Pure: no I/O, no clock.

    Requests of one kind start in the fair order of their accounts if at least two accounts have
    some, otherwise in the order of their age.
    """

    def __init__(self, shares: account_shares.AccountShares | None = None) -> None:
        """Start with an empty queue.

        Args:
            shares: The upstream time charged to accounts; None to start without charges.
        """
        self._shares = shares or account_shares.AccountShares()
        self._by_ticket: dict[str, WaitingRequest] = {}
        self._by_account_by_kind: dict[account_shares.Kind, dict[str, list[WaitingRequest]]] = {}
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
        for by_account in self._by_account_by_kind.values():
            for account, items in by_account.items():
                counts[account] += len(items)
        return dict(counts)

    def in_order(
        self, now: float, may_start: Callable[[account_shares.Kind], bool] = lambda kind: True
    ) -> Iterator[WaitingRequest]:
        """Return the queued requests that may start, the first to start first.

        Those whose latest useful start has passed follow, whether or not they may start.

        Within a kind, requests that are already late go last: they lose little by waiting longer,
        and would make the others late. With the oldest first, an overload makes all of them late.

        Args:
            now: The time in seconds.
            may_start: Whether requests of a kind may still start; asked before each of them.
        """
        for kind in sorted(self._by_account_by_kind):
            if may_start(kind):
                yield from self._kind_in_order(kind, now, may_start)
        yield from self._past_latest_start(now)

    def _past_latest_start(self, now: float) -> tuple[WaitingRequest, ...]:
        """Return the requests whose latest useful start has passed, the most overdue first."""
        count = bisect.bisect_right(self._latest_starts, now, key=lambda item: item[0])
        return tuple(self._by_ticket[ticket_id] for _, ticket_id in self._latest_starts[:count])

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request that is not queued yet."""
        ticket_id = waiting.request.ticket_id
        self._by_ticket[ticket_id] = waiting
        by_account = self._by_account_by_kind.setdefault(waiting.kind, {})
        items = by_account.setdefault(waiting.request.account, [])
        bisect.insort(items, waiting, key=_order)
        bisect.insort(self._latest_starts, (waiting.latest_start, ticket_id))

    def remove(self, ticket_id: str) -> None:
        """Remove a request, if it is queued."""
        waiting = self._by_ticket.pop(ticket_id, None)
        if waiting is None:
            return
        by_account = self._by_account_by_kind[waiting.kind]
        items = by_account[waiting.request.account]
        del items[bisect.bisect_left(items, waiting.order, key=_order)]
        if not items:
            del by_account[waiting.request.account]
        if not by_account:
            del self._by_account_by_kind[waiting.kind]
        latest_start = (waiting.latest_start, ticket_id)
        del self._latest_starts[bisect.bisect_left(self._latest_starts, latest_start)]

    def remove_entry(self, entry_id: str) -> None:
        """Remove the requests of an entry host."""
        for ticket_id, waiting in tuple(self._by_ticket.items()):
            if waiting.entry_id == entry_id:
                self.remove(ticket_id)

    def is_fair(self, kind: account_shares.Kind, newcomer: str = "") -> bool:
        """Return whether at least two accounts have requests of a kind.

        Args:
            kind: The kind.
            newcomer: An account that has a request besides the queued ones; empty for none.
        """
        accounts = self._by_account_by_kind.get(kind, {}).keys()
        named = len(accounts) - ("" in accounts)
        return named + (newcomer != "" and newcomer not in accounts) >= 2

    def first_before(self, waiting: WaitingRequest, now: float) -> WaitingRequest | None:
        """Return the first request of the same kind if it goes before a new one by the shares.

        A request that goes first only because it is older is not returned, and neither is a late
        one or one whose caller is about to leave.
        """
        if not self.is_fair(waiting.kind, waiting.request.account):
            return None
        charged_ms_by_account = self._shares.charged_ms_by_account(waiting.request.tier)
        best: tuple[float, SortKey] | None = None
        for account, items in self._by_account_by_kind[waiting.kind].items():
            head = next((item for item in items if not item.is_late(now)), None)
            if head is not None and head.answer_by > now:
                tag = max(charged_ms_by_account.get(account, 0.0), head.virtual_ms)
                best = min(best or (tag, head.order), (tag, head.order))
        if best is None or best[0] >= self._tag(waiting):
            return None
        return self._by_ticket[best[1][-1]]

    def displace(self, newcomer: WaitingRequest) -> tuple[WaitingRequest, str]:
        """Return the request to refuse if a new one finds the queue full, and the reason.

        It is removed if it is queued. It is the newest request of the account of the lowest tier
        that exceeds its share most: the one with the most upstream time charged and queued. If
        fewer than two accounts have requests, it is the new one.
        """
        counts = self.count_by_account()
        accounts = (counts.keys() | {newcomer.request.account}) - {""}
        if len(accounts) < 2:
            return newcomer, "the queue is full"
        tier = max(kind[0] for kind in self._by_account_by_kind)
        refused = newcomer if newcomer.request.tier > tier else self._most_excessive(newcomer, tier)
        self.remove(refused.request.ticket_id)
        count = counts.get(refused.request.account, 0)
        total = sum(counts.values())
        why = (
            f"the queue is full, and its account has {count} of the {total} requests in it,"
            f" where an equal share is {total // len(accounts)}"
        )
        return refused, why

    def _most_excessive(self, newcomer: WaitingRequest, tier: int) -> WaitingRequest:
        """Return the newest request of the account that exceeds its share of a tier most."""
        queued_ms_by_account: dict[str, float] = collections.defaultdict(float)
        newest_by_account: dict[str, WaitingRequest] = {}
        for kind, by_account in self._by_account_by_kind.items():
            if kind[0] != tier:
                continue
            slot_ms = self._shares.slot_cost_ms(kind)
            for account, items in by_account.items():
                queued_ms = len(items) * slot_ms + sum(item.prefill_ms for item in items)
                queued_ms_by_account[account] += queued_ms
                newest = newest_by_account.setdefault(account, items[-1])
                if items[-1].queued_at > newest.queued_at:
                    newest_by_account[account] = items[-1]
        if newcomer.request.tier == tier:
            own_ms = self._shares.slot_cost_ms(newcomer.kind) + newcomer.prefill_ms
            queued_ms_by_account[newcomer.request.account] += own_ms
            newest_by_account[newcomer.request.account] = newcomer
        virtual_ms = self._shares.virtual_ms(tier)
        charged_ms_by_account = self._shares.charged_ms_by_account(tier)

        def excess(account: str) -> tuple[float, bool]:
            start_ms = max(virtual_ms, charged_ms_by_account.get(account, 0.0))
            is_own = account == newcomer.request.account
            return start_ms + queued_ms_by_account[account], is_own

        return newest_by_account[max(queued_ms_by_account, key=excess)]

    def count_before(self, waiting: WaitingRequest) -> int:
        """Return how many requests start before a new one, if none of them is late."""
        more_urgent = sum(len(items) for items in self._more_urgent(waiting.kind))
        return more_urgent + sum(1 for _ in self._before_in_kind(waiting))

    def prefill_ms_before(self, waiting: WaitingRequest, now: float) -> float:
        """Return the prefill of all requests that start before a new one, in milliseconds."""
        more_urgent_ms = sum(
            item.prefill_ms for items in self._more_urgent(waiting.kind) for item in items
        )
        return more_urgent_ms + sum(
            item.prefill_ms for item in self._before_in_kind(waiting) if not item.is_late(now)
        )

    def _more_urgent(self, kind: account_shares.Kind) -> Iterator[list[WaitingRequest]]:
        """Return the requests of the kinds that start before one, by account."""
        for other, by_account in self._by_account_by_kind.items():
            if other < kind:
                yield from by_account.values()

    def _before_in_kind(self, waiting: WaitingRequest) -> Iterator[WaitingRequest]:
        """Return those of its kind that start before one if none is late, in no order."""
        by_account = self._by_account_by_kind.get(waiting.kind, {})
        is_fair = self.is_fair(waiting.kind, waiting.request.account)
        own_tag = self._tag(waiting) if is_fair else 0.0
        for account, items in by_account.items():
            if not is_fair or account == waiting.request.account:
                yield from items[: bisect.bisect_left(items, waiting.order, key=_order)]
                continue
            for tag, item in self._tagged(account, items):
                if tag > own_tag or (tag == own_tag and item.order >= waiting.order):
                    break
                yield item

    def _kind_in_order(
        self,
        kind: account_shares.Kind,
        now: float,
        may_start: Callable[[account_shares.Kind], bool],
    ) -> Iterator[WaitingRequest]:
        """Return requests of one kind by start tag and age, those that are late last.

        Requests may be removed meanwhile. Only as many are ordered as are read: there may be
        hundreds of accounts with thousands of requests, of which a pass tries the first few.
        """
        is_fair = self.is_fair(kind)
        slot_ms = self._shares.slot_cost_ms(kind)
        charged_ms_by_account = self._shares.charged_ms_by_account(kind[0])
        queues = self._by_account_by_kind[kind].items()
        split = [(account, *_split_late(items, now)) for account, items in queues]
        for which in (1, 2):
            heap = []
            for part in split:
                if part[which]:
                    head = part[which][0]
                    tag = max(charged_ms_by_account.get(part[0], 0.0), head.virtual_ms)
                    age = head.queued_at, head.request.ticket_id
                    heap.append((tag if is_fair else 0.0, *age, 0, part[which]))
            heapq.heapify(heap)
            while heap and may_start(kind):
                tag, *_, index, items = heap[0]
                waiting = items[index]
                yield waiting
                if index + 1 == len(items):
                    heapq.heappop(heap)
                    continue
                following = items[index + 1]
                if is_fair:
                    tag = max(tag + waiting.prefill_ms + slot_ms, following.virtual_ms)
                age = following.queued_at, following.request.ticket_id
                heapq.heapreplace(heap, (tag, *age, index + 1, items))

    def _tagged(
        self, account: str, items: Sequence[WaitingRequest]
    ) -> Iterator[tuple[float, WaitingRequest]]:
        """Return an account's requests of one kind with their start tags."""
        if not items:
            return
        kind = items[0].kind
        slot_ms = self._shares.slot_cost_ms(kind)
        tag = self._shares.charged_ms_by_account(kind[0]).get(account, 0.0)
        for item in items:
            tag = max(tag, item.virtual_ms)
            yield tag, item
            tag += item.prefill_ms + slot_ms

    def _tag(self, waiting: WaitingRequest) -> float:
        """Return the start tag of a request behind the queued ones of its account and kind."""
        account = waiting.request.account
        items = self._by_account_by_kind.get(waiting.kind, {}).get(account, [])
        earlier = items[: bisect.bisect_left(items, waiting.order, key=_order)]
        *_, (tag, _) = self._tagged(account, (*earlier, waiting))
        return tag


def _order(waiting: WaitingRequest) -> SortKey:
    return waiting.order


def _split_late(
    items: list[WaitingRequest], now: float
) -> tuple[Sequence[WaitingRequest], Sequence[WaitingRequest]]:
    """Return those of one kind, sorted by age, that are not late, and those that are."""
    target_ms = items[0].request.target_ms
    if target_ms <= 0 or (now - items[0].queued_at) * 1000.0 < target_ms:
        return items[:], ()
    count = bisect.bisect_left(
        items, True, key=lambda item: (now - item.queued_at) * 1000.0 < target_ms
    )
    late = [item for item in items[:count] if item.request.parts]
    on_time = (
        [item for item in items[:count] if not item.request.parts] if len(late) < count else []
    )
    return on_time + items[count:], late

"""Order the queued requests of one kind: by lateness, scheduled retries, and fair shares. Pure.

It handles an overload in which accounts compete and refused callers return. Requests that are
already late go last: they lose little by waiting longer, and would make the others late. At plain
services they go first again shortly before their callers leave. Inside these groups, scheduled
retries go before new requests. Inside these, requests start in the fair order of their accounts if
at least two accounts have some, otherwise in the order of their age.
"""

from __future__ import annotations

import bisect
import heapq
import itertools
from collections.abc import Callable, Iterator, Sequence

from medlarfork.placement import account_shares, waiting_request

GROUPS = 6
"""Groups of one kind, in the order in which they start: late requests without a prompt whose
callers leave soon, requests that are not late, and late ones; of each of these, the scheduled
retries before the new requests."""

FIRST_ON_TIME_GROUP = 2
"""Group of the scheduled retries that are not late."""

_Groups = Sequence[Sequence[waiting_request.WaitingRequest]]
"""One account's requests by group, each sorted by age."""

NO_GROUPS: _Groups = ((),) * GROUPS
"""Groups of an account without requests."""


class KindQueue:
    """Queued requests of one kind (tier and target); callers pass the time, in seconds."""

    def __init__(self, kind: account_shares.Kind, shares: account_shares.AccountShares) -> None:
        """Start with an empty queue.

        Args:
            kind: The kind.
            shares: The upstream time charged to accounts.
        """
        self._kind = kind
        self._shares = shares
        self.items_by_account: dict[str, list[waiting_request.WaitingRequest]] = {}
        self._latest_starts: list[float] = []
        self._prompts = 0

    def add(self, waiting: waiting_request.WaitingRequest) -> None:
        """Add a request that is not queued yet."""
        items = self.items_by_account.setdefault(waiting.request.account, [])
        bisect.insort(items, waiting, key=_order)
        bisect.insort(self._latest_starts, waiting.latest_start)
        self._prompts += bool(waiting.request.parts)

    def remove(self, waiting: waiting_request.WaitingRequest) -> None:
        """Remove a queued request."""
        items = self.items_by_account[waiting.request.account]
        del items[bisect.bisect_left(items, waiting.order, key=_order)]
        if not items:
            del self.items_by_account[waiting.request.account]
        del self._latest_starts[bisect.bisect_left(self._latest_starts, waiting.latest_start)]
        self._prompts -= bool(waiting.request.parts)

    @property
    def has_returning(self) -> bool:
        """Return whether a scheduled retry is queued."""
        return any(items[0].is_returning for items in self.items_by_account.values())

    def is_fair(self, newcomer: str = "") -> bool:
        """Return whether at least two accounts have requests.

        Args:
            newcomer: An account that has a request besides the queued ones; empty for none.
        """
        accounts = self.items_by_account.keys()
        named = len(accounts) - ("" in accounts)
        return named + (newcomer != "" and newcomer not in accounts) >= 2

    def in_order(
        self, now: float, may_start: Callable[[account_shares.Kind], bool]
    ) -> Iterator[waiting_request.WaitingRequest]:
        """Return the requests in the order in which they start, while any may.

        Requests may be removed meanwhile. Only as many are ordered as are read: there may be
        hundreds of accounts with thousands of requests, of which a pass tries the first few.
        """
        is_fair = self.is_fair()
        slot_ms = self._shares.slot_cost_ms(self._kind)
        tag_by_account = dict(self._shares.charged_ms_by_account(self._kind[0])) if is_fair else {}
        groups_by_account = {
            account: self._groups(items, now) for account, items in self.items_by_account.items()
        }
        for group in range(GROUPS):
            heap = []
            for account, groups in groups_by_account.items():
                items = groups[group]
                if items:
                    tag = max(tag_by_account.get(account, 0.0), items[0].virtual_ms)
                    heap.append((tag if is_fair else 0.0, *_age(items[0]), 0, account, items))
            heapq.heapify(heap)
            while heap and may_start(self._kind):
                tag, *_, index, account, items = heap[0]
                waiting = items[index]
                yield waiting
                if is_fair:
                    tag_by_account[account] = tag = tag + waiting.prefill_ms + slot_ms
                if index + 1 == len(items):
                    heapq.heappop(heap)
                    continue
                following = items[index + 1]
                tag = max(tag, following.virtual_ms) if is_fair else 0.0
                heapq.heapreplace(heap, (tag, *_age(following), index + 1, account, items))

    def before(
        self, waiting: waiting_request.WaitingRequest, now: float
    ) -> Iterator[waiting_request.WaitingRequest]:
        """Return the requests that start before one that is not late, in no order."""
        is_fair = self.is_fair(waiting.request.account)
        own_group = _on_time_group(waiting)
        own_tag = self._tag(waiting, now) if is_fair else 0.0
        for account, items in self.items_by_account.items():
            groups = self._groups(items, now)
            yield from itertools.chain.from_iterable(groups[:own_group])
            rivals = groups[own_group]
            if not is_fair or account == waiting.request.account:
                yield from rivals[: bisect.bisect_left(rivals, waiting.order, key=_order)]
                continue
            for tag, item in self._tagged(account, groups, own_group):
                if (tag, item.order) >= (own_tag, waiting.order):
                    break
                yield item

    def first_before(
        self, waiting: waiting_request.WaitingRequest, now: float
    ) -> waiting_request.WaitingRequest | None:
        """Return the first request if it goes before a new one.

        It is None if it goes first only because it is older and the new one has no account, and
        requests whose callers are about to leave do not count.
        """
        is_fair = self.is_fair(waiting.request.account)
        own_group = _on_time_group(waiting)
        groups_by_account = {
            account: self._groups(items, now) for account, items in self.items_by_account.items()
        }
        for group in range(own_group + 1):
            heads = []
            for account, groups in groups_by_account.items():
                if not groups[group]:
                    continue
                head = next((item for item in groups[group] if item.answer_by > now), None)
                if head is not None:
                    tag = self._first_tag(account, groups, group) if is_fair else 0.0
                    heads.append((max(tag, head.virtual_ms) if is_fair else 0.0, head.order, head))
            if not heads:
                continue
            tag, order, head = min(heads, key=lambda item: item[:2])
            if group < own_group:
                return head
            if not is_fair and not waiting.request.account:
                return None
            own_tag = self._tag(waiting, now) if is_fair else 0.0
            return head if (tag, order) < (own_tag, waiting.order) else None
        return None

    def _groups(self, items: Sequence[waiting_request.WaitingRequest], now: float) -> _Groups:
        """Return the requests of one account by group."""
        if not items:
            return NO_GROUPS
        if not items[0].is_returning:
            urgent, on_time, late = self._split_late(items, now)
            return (), urgent, (), on_time, (), late
        first_new = bisect.bisect_left(items, True, key=lambda item: not item.is_returning)
        returning = self._split_late(items[:first_new], now)
        new = self._split_late(items[first_new:], now)
        return tuple(itertools.chain.from_iterable(zip(returning, new, strict=True)))

    def _split_late(self, items: Sequence[waiting_request.WaitingRequest], now: float) -> _Groups:
        """Return those of one account that are late and urgent, that are not late, and the others.

        The requests are sorted by age. They are examined one by one only if some may be urgent, or
        if some of the kind have a prompt and others don't, so that they are late at other times.
        """
        if not items or not self._kind[1]:
            return (), items[:], ()
        run_ms = self._shares.run_ms(self._kind)
        is_mixed = 0 < self._prompts < len(self._latest_starts)
        first_ms = self._kind[1] / 2.0 if is_mixed else items[0].late_after_ms(run_ms)
        if (now - items[0].queued_at) * 1000.0 < first_ms:
            return (), items[:], ()
        count = bisect.bisect_left(
            items, True, key=lambda item: (now - item.queued_at) * 1000.0 < first_ms
        )
        if not is_mixed and self._latest_starts[0] - now >= waiting_request.urgent_s(run_ms):
            return (), items[count:], items[:count]
        urgent, on_time, late = [], [], []
        for item in items[:count]:
            if not item.is_late(now, run_ms):
                on_time.append(item)
            elif item.is_urgent(now, run_ms):
                urgent.append(item)
            else:
                late.append(item)
        return urgent, [*on_time, *items[count:]], late

    def _first_tag(self, account: str, groups: _Groups, group: int) -> float:
        """Return the start tag of an account's first request of a group."""
        slot_ms = self._shares.slot_cost_ms(self._kind)
        tag = self._shares.charged_ms_by_account(self._kind[0]).get(account, 0.0)
        if not any(groups[:group]):
            return tag
        for item in itertools.chain.from_iterable(groups[:group]):
            tag = max(tag, item.virtual_ms) + item.prefill_ms + slot_ms
        return tag

    def _tagged(
        self, account: str, groups: _Groups, group: int
    ) -> Iterator[tuple[float, waiting_request.WaitingRequest]]:
        """Return an account's requests of one group with their start tags."""
        if not groups[group]:
            return
        slot_ms = self._shares.slot_cost_ms(self._kind)
        tag = self._first_tag(account, groups, group)
        for item in groups[group]:
            tag = max(tag, item.virtual_ms)
            yield tag, item
            tag += item.prefill_ms + slot_ms

    def _tag(self, waiting: waiting_request.WaitingRequest, now: float) -> float:
        """Return the start tag of a request behind the queued ones of its account that precede."""
        account = waiting.request.account
        groups = list(self._groups(self.items_by_account.get(account, []), now))
        own_group = _on_time_group(waiting)
        items = groups[own_group]
        earlier = items[: bisect.bisect_left(items, waiting.order, key=_order)]
        groups[own_group] = [*earlier, waiting]
        *_, (tag, _) = self._tagged(account, groups, own_group)
        return tag


def _order(waiting: waiting_request.WaitingRequest) -> waiting_request.SortKey:
    return waiting.order


def _age(waiting: waiting_request.WaitingRequest) -> tuple[float, str]:
    return waiting.queued_at, waiting.request.ticket_id


def _on_time_group(waiting: waiting_request.WaitingRequest) -> int:
    """Return the group of a request that is not late."""
    return FIRST_ON_TIME_GROUP + (not waiting.is_returning)

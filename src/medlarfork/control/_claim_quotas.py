"""Share the claim table among client accounts, so that none can fill it for the others."""

from __future__ import annotations

import heapq
import sys
from collections.abc import Iterable

ACCOUNTS_LIMIT = 1 << 16
"""Most accounts with claims at once; a claim holds its account's number in two bytes."""


class ClaimQuotas:
    """Count claims by account and decide who may have one more.

    Half of the table is cut into equal parts, one for each of a number of accounts, so an account
    that holds few claims finds room whatever the others do. From the other half an account takes
    no more than what is left of it: a single account gets half of it, a few get equal shares, and
    nobody has to know their number. What an account holds is never taken away.

    Attributes:
        part: Claims that are kept free for each account.
    """

    def __init__(self, *, claims: int, accounts: int, names: Iterable[str] = ()) -> None:
        """Start without claims; ``names`` are a snapshot's accounts, an empty one a free number."""
        self.part = claims // (2 * accounts)
        self._claims = claims
        self._shared = claims - self.part * accounts
        self._total = 0
        self._shared_used = 0
        self._names = [sys.intern(name) for name in names]
        self._counts = [0] * len(self._names)
        self._number_by_name = {name: n for n, name in enumerate(self._names) if name}
        self._free = [number for number, name in enumerate(self._names) if not name]

    @property
    def names(self) -> tuple[str, ...]:
        """Return the accounts in the order of their numbers; an empty name is a free number."""
        return tuple(self._names)

    def may_add(self, account: str) -> bool:
        """Return whether the account may have one claim more."""
        number = self._number_by_name.get(account)
        if number is None and not self._free and len(self._names) >= ACCOUNTS_LIMIT:
            return False
        if self._total >= self._claims:
            return False
        count = 0 if number is None else self._counts[number]
        # Within its part this is negative, so it is never refused for what others share.
        beyond_part = count - self.part
        return beyond_part < self._shared - self._shared_used

    def number_of(self, account: str) -> int:
        """Return the account's number, a free one if it has no claims yet."""
        number = self._number_by_name.get(account)
        if number is not None:
            return number
        if not self._free:
            self._names.append("")
            self._counts.append(0)
            self._free.append(len(self._names) - 1)
        # The lowest free number depends on the table alone, not on how it came about.
        number = heapq.heappop(self._free)
        self._names[number] = sys.intern(account)
        self._number_by_name[self._names[number]] = number
        return number

    def add(self, number: int, claims: int = 1) -> None:
        """Count claims more."""
        self._total += claims
        before = max(0, self._counts[number] - self.part)
        self._counts[number] += claims
        self._shared_used += max(0, self._counts[number] - self.part) - before

    def remove(self, number: int) -> None:
        """Count one claim less; an account without claims loses its number."""
        self._total -= 1
        self._counts[number] -= 1
        self._shared_used -= self._counts[number] >= self.part
        if not self._counts[number]:
            del self._number_by_name[self._names[number]]
            self._names[number] = ""
            heapq.heappush(self._free, number)

"""Quotas of client accounts in the claim table, so that none can fill it for the others."""

from __future__ import annotations

import heapq
import sys
from collections.abc import Iterable

ACCOUNTS_LIMIT = 1 << 16
"""Maximum accounts with claims at once; a claim stores its account's number in two bytes."""


class ClaimQuotas:
    """Counts claims by account and decides who may add one.

    Half of the table is divided into equal reservations, one for each of a number of accounts, so
    an account with few claims finds room whatever the others do. The other half is shared: an
    account may take no more of it than is then left. So a single account gets half of it, a few get
    equal shares, and no configuration of their number is needed. Claims are never taken away from
    an account.

    Attributes:
        reserved: Number of claims reserved for each account.
    """

    def __init__(self, *, claims: int, accounts: int, names: Iterable[str] = ()) -> None:
        """Start without claims; ``names`` are a snapshot's accounts, empty for an unused number."""
        self.reserved = claims // (2 * accounts)
        self._claims = claims
        self._shared = claims - self.reserved * accounts
        self._total = 0
        self._shared_used = 0
        self._names = [sys.intern(name) for name in names]
        self._counts = [0] * len(self._names)
        self._number_by_name = {name: n for n, name in enumerate(self._names) if name}
        self._free = [number for number, name in enumerate(self._names) if not name]

    @property
    def names(self) -> tuple[str, ...]:
        """Return the accounts in the order of their numbers; an empty name is an unused number."""
        return tuple(self._names)

    def can_add(self, account: str) -> bool:
        """Return whether the account may add one more claim."""
        number = self._number_by_name.get(account)
        if number is None and not self._free and len(self._names) >= ACCOUNTS_LIMIT:
            return False
        if self._total >= self._claims:
            return False
        count = 0 if number is None else self._counts[number]
        # Negative within the reservation, which is never refused for what others share.
        beyond_reserved = count - self.reserved
        return beyond_reserved < self._shared - self._shared_used

    def assign_number(self, account: str) -> int:
        """Return the account's number; assign an unused one if it has no claims yet."""
        number = self._number_by_name.get(account)
        if number is not None:
            return number
        if not self._free:
            self._names.append("")
            self._counts.append(0)
            self._free.append(len(self._names) - 1)
        # The lowest unused number depends only on the table, not on its history.
        number = heapq.heappop(self._free)
        self._names[number] = sys.intern(account)
        self._number_by_name[self._names[number]] = number
        return number

    def add(self, number: int, claims: int = 1) -> None:
        """Add claims to an account's count."""
        self._total += claims
        before = max(0, self._counts[number] - self.reserved)
        self._counts[number] += claims
        self._shared_used += max(0, self._counts[number] - self.reserved) - before

    def remove(self, number: int) -> None:
        """Remove one claim from an account's count; an account without claims loses its number."""
        self._total -= 1
        self._counts[number] -= 1
        self._shared_used -= self._counts[number] >= self.reserved
        if not self._counts[number]:
            del self._number_by_name[self._names[number]]
            self._names[number] = ""
            heapq.heappush(self._free, number)

"""Enforce the limits of client accounts and keep their weights."""

from __future__ import annotations

import math
from collections.abc import Iterable

from medlarfork.declared import configuration
from medlarfork.pool import _token_bucket

_MIN_BURST = 1.0
"""Requests that a bucket admits at once, however low its rate."""
_MIN_WEIGHT = 0.001
"""Smallest weight, so that a share is never divided by nothing."""
_UNLIMITED = configuration.AccountLimits()


class AccountLimiter:
    """Admit tickets within their account's limits, divided over the service's pools."""

    def __init__(self) -> None:
        """Create limits for no account."""
        self._account_by_name: dict[str, configuration.Account] = {}
        self._shards = 1
        self._outstanding_by_account: dict[str, int] = {}
        self._requests_by_account: dict[str, _token_bucket.TokenBucket] = {}
        self._tokens_by_account: dict[str, _token_bucket.TokenBucket] = {}

    def configure(self, accounts: Iterable[configuration.Account], shards: int, now: float) -> None:
        """Put accounts in force; buckets whose rate is unchanged keep their level."""
        self._account_by_name = {account.name: account for account in accounts}
        self._shards = max(1, shards)
        for buckets, rates in (
            (self._requests_by_account, self._request_rates()),
            (self._tokens_by_account, self._token_rates()),
        ):
            for name in tuple(buckets):
                if name not in rates:
                    del buckets[name]
            for name, (per_s, burst) in rates.items():
                kept = buckets.get(name)
                if kept is None or kept.per_s != per_s:
                    buckets[name] = _token_bucket.TokenBucket(per_s, burst, now)

    def weight(self, account: str) -> float:
        """Return the account's share among accounts of a tier."""
        known = self._account_by_name.get(account)
        return 1.0 if known is None else max(known.weight, _MIN_WEIGHT)

    def wait_s(self, account: str, now: float, slot_s: float) -> float:
        """Return 0 if the account may have one more ticket, else when to try again."""
        concurrent = self._limits(account).concurrent
        if concurrent is not None:
            bound = max(1, math.ceil(concurrent / self._shards)) if concurrent > 0 else 0
            if self._outstanding_by_account.get(account, 0) >= bound:
                return max(slot_s / max(1, bound), 0.1)
        waits = [0.0]
        if (requests := self._requests_by_account.get(account)) is not None:
            waits.append(requests.wait_s(now, 1.0))
        if (tokens := self._tokens_by_account.get(account)) is not None:
            waits.append(tokens.wait_s(now, 1.0))
        return max(waits)

    def admitted(self, account: str, *, counted: bool) -> None:
        """Count an outstanding ticket; a resumed one was charged for its request before."""
        self._outstanding_by_account[account] = self._outstanding_by_account.get(account, 0) + 1
        if counted and (requests := self._requests_by_account.get(account)) is not None:
            requests.take(1.0)

    def ended(self, account: str, tokens: int) -> None:
        """Count a ticket out and charge the tokens that it received."""
        left = self._outstanding_by_account.get(account, 0) - 1
        if left > 0:
            self._outstanding_by_account[account] = left
        else:
            self._outstanding_by_account.pop(account, None)
        if (bucket := self._tokens_by_account.get(account)) is not None:
            bucket.take(tokens)

    def _limits(self, account: str) -> configuration.AccountLimits:
        known = self._account_by_name.get(account)
        return _UNLIMITED if known is None else known.limits

    def _request_rates(self) -> dict[str, tuple[float, float]]:
        rates = {}
        for name, account in self._account_by_name.items():
            limit = account.limits.requests_per_second
            if limit is not None:
                per_s = limit / self._shards
                rates[name] = (per_s, max(_MIN_BURST, per_s))
        return rates

    def _token_rates(self) -> dict[str, tuple[float, float]]:
        rates = {}
        for name, account in self._account_by_name.items():
            limit = account.limits.tokens_per_minute
            if limit is not None:
                per_minute = limit / self._shards
                rates[name] = (per_minute / 60, max(1.0, per_minute))
        return rates

"""Enforce the concurrency and rate limits of client accounts, and look up their weights."""

from __future__ import annotations

import math
from collections.abc import Iterable

from medlarfork.declared import configuration
from medlarfork.pool import _token_bucket

_MIN_BURST = 1.0
"""Smallest burst of a request bucket, so that a low rate still admits single requests."""
_MIN_WEIGHT = 0.001
"""Lower bound of an account's weight; costs are divided by it."""
_UNLIMITED = configuration.AccountLimits()


class AccountLimiter:
    """Check tickets against their account's limits; each pool enforces an equal part of a limit."""

    def __init__(self) -> None:
        """Start with no accounts and no limits."""
        self._account_by_name: dict[str, configuration.Account] = {}
        self._shards = 1
        self._outstanding_by_account: dict[str, int] = {}
        self._request_bucket_by_account: dict[str, _token_bucket.TokenBucket] = {}
        self._token_bucket_by_account: dict[str, _token_bucket.TokenBucket] = {}

    def configure(self, accounts: Iterable[configuration.Account], shards: int, now: float) -> None:
        """Replace the accounts; token buckets whose rate is unchanged keep their level."""
        self._account_by_name = {account.name: account for account in accounts}
        self._shards = max(1, shards)
        for buckets, rates in (
            (self._request_bucket_by_account, self._request_rates()),
            (self._token_bucket_by_account, self._token_rates()),
        ):
            for name in tuple(buckets):
                if name not in rates:
                    del buckets[name]
            for name, (per_s, burst) in rates.items():
                current = buckets.get(name)
                if current is None or current.per_s != per_s:
                    buckets[name] = _token_bucket.TokenBucket(per_s, burst, now)

    def weight(self, account: str) -> float:
        """Return the account's weight in fair queueing within a tier."""
        declared = self._account_by_name.get(account)
        return 1.0 if declared is None else max(declared.weight, _MIN_WEIGHT)

    def wait_s(self, account: str, now: float, slot_s: float) -> float:
        """Return 0 if the account may have one more ticket, else the time until a retry in seconds.

        ``slot_s`` is the mean time that such a ticket holds a slot.
        """
        concurrent = self._limits(account).concurrent
        if concurrent is not None:
            max_concurrent = max(1, math.ceil(concurrent / self._shards)) if concurrent > 0 else 0
            if self._outstanding_by_account.get(account, 0) >= max_concurrent:
                return max(slot_s / max(1, max_concurrent), 0.1)
        waits = [0.0]
        if (bucket := self._request_bucket_by_account.get(account)) is not None:
            waits.append(bucket.wait_s(now, 1.0))
        if (bucket := self._token_bucket_by_account.get(account)) is not None:
            waits.append(bucket.wait_s(now, 1.0))
        return max(waits)

    def record_admission(self, account: str, *, charge_request: bool) -> None:
        """Count a ticket as outstanding.

        ``charge_request`` is False for a resumed ticket: its request has been charged already.
        """
        self._outstanding_by_account[account] = self._outstanding_by_account.get(account, 0) + 1
        if charge_request and (bucket := self._request_bucket_by_account.get(account)) is not None:
            bucket.consume(1.0)

    def record_end(self, account: str, tokens: int) -> None:
        """Remove a ticket from the outstanding count and charge the output tokens it received."""
        remaining = self._outstanding_by_account.get(account, 0) - 1
        if remaining > 0:
            self._outstanding_by_account[account] = remaining
        else:
            self._outstanding_by_account.pop(account, None)
        if (bucket := self._token_bucket_by_account.get(account)) is not None:
            bucket.consume(tokens)

    def _limits(self, account: str) -> configuration.AccountLimits:
        declared = self._account_by_name.get(account)
        return _UNLIMITED if declared is None else declared.limits

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

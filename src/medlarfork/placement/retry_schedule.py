"""Schedule the retries of callers that were refused for overload. Pure: no I/O, no clock.

It handles the time after a burst. All refused requests returned at the same moment, were overtaken
by new requests, and were refused for good. So each gets a place in a schedule that advances at the
rate at which slots become free, and goes before new requests when it returns then. The schedule
reserves order and never a slot: capacity at the place of a caller that does not return is used by
others.

Requests with a prompt get no scheduled retry. In trials, returning requests, whose target had
passed since their callers first asked, displaced new ones that could still be on time: in a burst
of 5 times the usual load, 188 were on time instead of 260.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
from collections.abc import Iterable

from medlarfork.placement import admission_policy, placement_messages, start_rate, wait_queue

MAX_PROMISES = 2000
"""Promises that are outstanding at the same time, which bounds memory."""

RETENTION_S = 2.0
"""How long after its promised time a request may return, in seconds: callers wait for a connection,
and entry hosts for the owner."""

EARLY_S = 0.1
"""How long before its promised time a request may return, in seconds: clocks of callers and the
latencies of the refusal and the retry differ by less. Earlier ones would gain from not waiting."""

MAX_DUE_S = 60.0
"""Latest promised time that an entry host may hand over, in seconds: a third of the time that the
most patient callers have. It bounds how long a false one is kept."""

MAX_SHARE = 1.0 / 3.0
"""Share of its remaining time that a caller waits before a retry at the most."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryState:
    """The promises of a shard.

    Attributes:
        outstanding: Promises whose requests have not returned and may still do so.
        kept: Requests that returned in time and were started.
        missed: Requests that returned in time and were refused.
    """

    outstanding: int
    kept: int
    missed: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Promise:
    """A scheduled retry.

    Attributes:
        due_at: When the request is to return, in seconds.
        retry_key: Identifies the request.
        tier: Its priority.
        entry_id: The entry host that passed the retry time to the caller.
    """

    due_at: float
    retry_key: str
    tier: int
    entry_id: str


def _may_return(request: placement_messages.PlaceRequest) -> bool:
    """Return whether retries of a request are scheduled."""
    return bool(request.account) and not request.parts


def _due_at(promise: _Promise) -> float:
    return promise.due_at


def _remove_sorted(promises: list[_Promise], promise: _Promise) -> None:
    """Remove one promise from a list that is sorted by time."""
    first = bisect.bisect_left(promises, promise.due_at, key=_due_at)
    del promises[promises.index(promise, first)]


class RetrySchedule:
    """Hold the promises of one shard; callers pass the time, in seconds."""

    def __init__(self, rate: start_rate.StartRate) -> None:
        """Start without promises; ``rate`` is the measured rate of the shard."""
        self._rate = rate
        self._promises_by_tier: dict[int, list[_Promise]] = {}
        self._promises_by_key: dict[str, list[_Promise]] = {}
        self._count_by_entry: collections.Counter[str] = collections.Counter()
        self._kept = 0
        self._missed = 0

    def assign(self, waiting: wait_queue.WaitingRequest, now: float) -> float | None:
        """Return the time to a scheduled retry of a refused request, in milliseconds.

        It is None if the place in the schedule is unknown or later than its caller waits, for a
        request with a prompt, and for a scheduled retry, since callers retry once.
        """
        request = waiting.request
        if waiting.is_returning or not request.retry_key or not _may_return(request):
            return None
        per_s = self._rate.per_s(request.tier)
        if not per_s:
            return None
        self._drop_old(now)
        if self._size >= MAX_PROMISES:
            return None
        place_ms = (self._due_before(request.tier, now) + 1) / per_s * 1000.0
        retry_ms = max(place_ms, admission_policy.MIN_RETRY_MS)
        if retry_ms > MAX_SHARE * (waiting.deadline - now) * 1000.0:
            return None
        due_at = now + retry_ms / 1000.0
        self._add(_Promise(due_at, request.retry_key, request.tier, waiting.entry_id))
        return retry_ms

    def claim(self, request: placement_messages.PlaceRequest, now: float) -> float | None:
        """Use the promise of a request that returns at its time; return that time, or None."""
        if not _may_return(request):
            return None
        for promise in self._promises_by_key.get(request.retry_key, ()):
            is_in_time = promise.due_at - EARLY_S <= now <= promise.due_at + RETENTION_S
            if is_in_time and promise.tier == request.tier:
                self._remove(promise)
                return promise.due_at
        return None

    def restore(self, waiting: wait_queue.WaitingRequest) -> None:
        """Take back a claim: the request asks another shard first, and may come again."""
        if waiting.promised_at is not None:
            key, tier = waiting.request.retry_key, waiting.request.tier
            self._add(_Promise(waiting.promised_at, key, tier, waiting.entry_id))

    def record_end(self, waiting: wait_queue.WaitingRequest, *, is_started: bool) -> None:
        """Count a scheduled retry that starts or is refused; others do not count."""
        self._kept += waiting.is_returning and is_started
        self._missed += waiting.is_returning and not is_started

    def adopt(
        self, entry_id: str, promises: Iterable[placement_messages.RetryPromise], now: float
    ) -> None:
        """Replace the promises that were given through an entry host by those that it states."""
        self._drop_old(now)
        if self._count_by_entry[entry_id]:
            for tier_promises in tuple(self._promises_by_tier.values()):
                for promise in [item for item in tier_promises if item.entry_id == entry_id]:
                    self._remove(promise)
        for stated in promises:
            due_s = stated.due_in_ms / 1000.0
            if (
                self._size < MAX_PROMISES
                and stated.retry_key
                and -RETENTION_S <= due_s <= MAX_DUE_S
            ):
                self._add(_Promise(now + due_s, stated.retry_key, stated.tier, entry_id))

    def state(self, now: float) -> RetryState:
        """Return the numbers of promises."""
        self._drop_old(now)
        return RetryState(self._size, self._kept, self._missed)

    @property
    def _size(self) -> int:
        return sum(len(promises) for promises in self._promises_by_tier.values())

    def _due_before(self, tier: int, now: float) -> int:
        """Return the number of places that are taken by requests as urgent as this tier."""
        return sum(
            len(promises) - bisect.bisect_left(promises, now, key=_due_at)
            for other, promises in self._promises_by_tier.items()
            if other <= tier
        )

    def _add(self, promise: _Promise) -> None:
        bisect.insort(self._promises_by_tier.setdefault(promise.tier, []), promise, key=_due_at)
        bisect.insort(self._promises_by_key.setdefault(promise.retry_key, []), promise, key=_due_at)
        self._count_by_entry[promise.entry_id] += 1

    def _remove(self, promise: _Promise) -> None:
        _remove_sorted(self._promises_by_tier[promise.tier], promise)
        _remove_sorted(self._promises_by_key[promise.retry_key], promise)
        if not self._promises_by_tier[promise.tier]:
            del self._promises_by_tier[promise.tier]
        if not self._promises_by_key[promise.retry_key]:
            del self._promises_by_key[promise.retry_key]
        self._count_by_entry[promise.entry_id] -= 1
        if not self._count_by_entry[promise.entry_id]:
            del self._count_by_entry[promise.entry_id]

    def _drop_old(self, now: float) -> None:
        """Remove the promises whose requests may no longer return."""
        for promises in tuple(self._promises_by_tier.values()):
            while promises and promises[0].due_at < now - RETENTION_S:
                self._remove(promises[0])

"""Prompt prefix cache of a stand-in engine, whose changes are reported late and with gaps."""

from __future__ import annotations

import collections

from medlarfork import upstream

_LOSS_INTERVAL = 7
"""One event in this many is lost, that is, never reported."""

_MAX_PENDING = 1000
"""Maximum number of events that wait to be reported; the oldest beyond are lost."""


class PrefixCache:
    """LRU cache of prompt prefixes."""

    def __init__(self, *, limit: int, lag_s: float) -> None:
        """Start empty.

        Args:
            limit: Maximum number of prefixes.
            lag_s: Delay with which changes are reported, in seconds.
        """
        self._limit = limit
        self._lag_s = lag_s
        self._prefixes: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._pending: collections.deque[tuple[float, upstream.CacheEvent]] = collections.deque(
            maxlen=_MAX_PENDING
        )
        self._number = 0

    @property
    def used(self) -> float:
        """Return the used share of the cache, from 0 to 1."""
        return len(self._prefixes) / self._limit if self._limit else 1.0

    def use(self, prefix: str, now: float) -> bool:
        """Return whether a prefix was cached, and cache it."""
        hit = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if not hit:
            self._record_change(upstream.CacheChange.STORED, prefix, now)
        if len(self._prefixes) > self._limit:
            evicted, _ = self._prefixes.popitem(last=False)
            self._record_change(upstream.CacheChange.EVICTED, evicted, now)
        return hit

    def take_events(self, now: float) -> tuple[upstream.CacheEvent, ...]:
        """Return and remove the changes that are old enough to be reported."""
        due = []
        while self._pending and self._pending[0][0] <= now - self._lag_s:
            due.append(self._pending.popleft()[1])
        return tuple(due)

    def _record_change(self, change: upstream.CacheChange, prefix: str, now: float) -> None:
        self._number += 1
        if self._number % _LOSS_INTERVAL:
            self._pending.append((now, upstream.CacheEvent(self._number, change, prefix)))

"""Model the prompt cache of one engine, and what entry hosts hear of it."""

from __future__ import annotations

import collections
import random

from medlarfork import upstream

_LOST = 0.1
"""Share of cache events that are never heard."""


class PrefixCache:
    """Keep the prefixes used last, and note changes for the next announcement."""

    def __init__(self, size: int, generator: random.Random) -> None:
        """Create an empty cache for ``size`` prefixes."""
        self._size = size
        self._random = generator
        self._held: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._events: collections.deque[tuple[float, upstream.CacheEvent]] = collections.deque()
        self._number = 0

    def use(self, prefix: str, now: float) -> bool:
        """Read a prompt's prefix; return whether it was held."""
        hit = prefix in self._held
        self._held[prefix] = None
        self._held.move_to_end(prefix)
        if not hit:
            self._note(upstream.CacheChange.STORED, prefix, now)
        if len(self._held) > self._size:
            evicted, _ = self._held.popitem(last=False)
            self._note(upstream.CacheChange.EVICTED, evicted, now)
        return hit

    def take_events(self, until: float) -> tuple[upstream.CacheEvent, ...]:
        """Return the changes up to a time that were not returned before and are not lost."""
        events = []
        while self._events and self._events[0][0] <= until:
            events.append(self._events.popleft()[1])
        return tuple(event for event in events if self._random.random() >= _LOST)

    def _note(self, change: upstream.CacheChange, prefix: str, now: float) -> None:
        self._number += 1
        self._events.append((now, upstream.CacheEvent(self._number, change, prefix)))

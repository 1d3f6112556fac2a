"""Index of the upstreams that cache each prompt prefix.

It is a hint only: cache events arrive late and may be lost.
"""

from __future__ import annotations

import collections

from medlarfork import upstream

_MAX_PREFIXES = 20_000
"""Prefixes kept; the least recently recorded one is evicted first."""
_MAX_HOLDERS = 4
"""Upstreams kept for each prefix, the most recent ones."""


class PrefixIndex:
    """Map prompt prefixes to the upstreams that cache them."""

    def __init__(self) -> None:
        """Create an empty index."""
        self._holders_by_prefix: collections.OrderedDict[str, tuple[str, ...]]
        self._holders_by_prefix = collections.OrderedDict()
        self._last_event_by_upstream: dict[str, int] = {}

    def holders(self, prefix: str) -> tuple[str, ...]:
        """Return the upstreams likely to cache a prefix, the most recent first."""
        return self._holders_by_prefix.get(prefix, ())

    def record_holder(self, prefix: str, upstream_id: str) -> None:
        """Record that an upstream caches a prefix or was granted a request with it."""
        if not prefix:
            return
        others = tuple(held for held in self.holders(prefix) if held != upstream_id)
        self._holders_by_prefix[prefix] = (upstream_id, *others)[:_MAX_HOLDERS]
        self._holders_by_prefix.move_to_end(prefix)
        if len(self._holders_by_prefix) > _MAX_PREFIXES:
            self._holders_by_prefix.popitem(last=False)

    def apply(self, upstream_id: str, events: tuple[upstream.CacheEvent, ...]) -> None:
        """Apply cache events; repeated and out-of-order ones are ignored, gaps are tolerated."""
        newest = self._last_event_by_upstream.get(upstream_id, -1)
        for event in events:
            if event.number <= newest:
                continue
            newest = event.number
            match event.change:
                case upstream.CacheChange.STORED:
                    self.record_holder(event.prefix, upstream_id)
                case upstream.CacheChange.EVICTED:
                    self._remove_holder(event.prefix, upstream_id)
        self._last_event_by_upstream[upstream_id] = newest

    def remove_upstream(self, upstream_id: str) -> None:
        """Remove an upstream's event number; callers ignore prefix entries of unknown upstreams."""
        self._last_event_by_upstream.pop(upstream_id, None)

    def _remove_holder(self, prefix: str, upstream_id: str) -> None:
        remaining = tuple(held for held in self.holders(prefix) if held != upstream_id)
        if remaining:
            self._holders_by_prefix[prefix] = remaining
        else:
            self._holders_by_prefix.pop(prefix, None)

"""Remember which upstreams hold which prompt prefix; a hint, since cache events lag and skip."""

from __future__ import annotations

import collections

from medlarfork import upstream

_MAX_PREFIXES = 20_000
"""Prefixes remembered; the one unused for longest goes first."""
_MAX_HOLDERS = 4
"""Upstreams remembered for each prefix; the latest stay."""


class PrefixIndex:
    """Map prefixes to the upstreams that hold them."""

    def __init__(self) -> None:
        """Create an empty index."""
        self._holders_by_prefix: collections.OrderedDict[str, tuple[str, ...]]
        self._holders_by_prefix = collections.OrderedDict()
        self._number_by_upstream: dict[str, int] = {}

    def holders(self, prefix: str) -> tuple[str, ...]:
        """Return upstreams likely to hold a prefix, the latest first."""
        return self._holders_by_prefix.get(prefix, ())

    def hint(self, prefix: str, upstream_id: str) -> None:
        """Note that a request with the prefix was granted to an upstream."""
        if not prefix:
            return
        others = tuple(held for held in self.holders(prefix) if held != upstream_id)
        self._holders_by_prefix[prefix] = (upstream_id, *others)[:_MAX_HOLDERS]
        self._holders_by_prefix.move_to_end(prefix)
        if len(self._holders_by_prefix) > _MAX_PREFIXES:
            self._holders_by_prefix.popitem(last=False)

    def apply(self, upstream_id: str, events: tuple[upstream.CacheEvent, ...]) -> None:
        """Apply cache events; repeated and overtaken ones are ignored, gaps are lived with."""
        newest = self._number_by_upstream.get(upstream_id, -1)
        for event in events:
            if event.number <= newest:
                continue
            newest = event.number
            match event.change:
                case upstream.CacheChange.STORED:
                    self.hint(event.prefix, upstream_id)
                case upstream.CacheChange.EVICTED:
                    self._drop(event.prefix, upstream_id)
        self._number_by_upstream[upstream_id] = newest

    def forget(self, upstream_id: str) -> None:
        """Forget an upstream's event number; its hints lapse when they are next looked up."""
        self._number_by_upstream.pop(upstream_id, None)

    def _drop(self, prefix: str, upstream_id: str) -> None:
        left = tuple(held for held in self.holders(prefix) if held != upstream_id)
        if left:
            self._holders_by_prefix[prefix] = left
        else:
            self._holders_by_prefix.pop(prefix, None)
